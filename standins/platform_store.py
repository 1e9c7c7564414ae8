"""Stand-in of the users' platform: its key-value store, over HTTP.

Keeps items with revisions, leases, a history for watches, and can misbehave:
be away, turn some callers away, lose answers, carry writes out late, forget
its history, come back from an older copy.
"""

import base64
import collections
import contextlib
import dataclasses
import http.server
import io
import json
import random
import threading
import time
import urllib.parse

from standins import broken_answers

_MS_PER_S = 1000.0
# Keys that the operator and backend servers write.
_OUTSIDE_PREFIXES = ('op/', 'servers/')


@dataclasses.dataclass
class Faults:
    """How the store misbehaves.

    Attributes:
      away: 'busy' answers 503, 'silent' doesn't answer; '' is well.
      refused: Ports of callers' listeners that are turned away; see `call`.
      lose_answers: Writes that are done and not answered.
      late_s: Writes are done so much later and not answered; 0: at once.
      cut_share: Part of the answers that break off in their head.
      drawn: Decides which answers these are, and where they break off.
    """

    away: str = ''
    refused: frozenset[str] = frozenset()
    lose_answers: int = 0
    late_s: float = 0.0
    cut_share: float = 0.0
    drawn: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0))


@dataclasses.dataclass(frozen=True)
class Copy:
    """The store's state at a time.

    Attributes:
      items: By key.
      events: The history that watches are answered from.
      leases: Time left and time to live of each lease, s.
      revision: The revision of the last change.
      forgotten: The revision up to which the history was dropped.
    """

    items: dict[str, dict]
    events: list[dict]
    leases: dict[int, tuple[float, float]]
    revision: int
    forgotten: int


class PlatformStore:
    """The store's state; `address` is where it listens."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.era = 1
        self.forgotten = 0
        self.calls = 0
        self.paths: collections.Counter[str] = collections.Counter()
        self.faults = Faults()
        self.changed = threading.Condition()
        self._server = http.server.ThreadingHTTPServer(('127.0.0.1', 0),
                                                       _make_handler(self))
        self._server.daemon_threads = True
        host, port = self._server.server_address
        self.address = f'{host}:{port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stops listening."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: dict | bytes, lease: int = 0) -> int:
        """Writes an item, as the operator and backend servers do."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            return self._write(key, base64.b64encode(data).decode(), lease)

    def delete(self, key: str) -> None:
        """Deletes an item."""
        with self.changed:
            self._delete(key)

    def revoke(self, prefix: str) -> None:
        """Ends the leases of all items under a prefix."""
        with self.changed:
            for key, item in list(self.items.items()):
                if key.startswith(prefix) and item['Lease'] in self.leases:
                    self.leases[item['Lease']] = (0.0, 0.0)
            self._expire()

    def read(self, key: str) -> bytes | None:
        """Returns an item's value."""
        with self.changed:
            item = self.items.get(key)
            return base64.b64decode(item['Value']) if item else None

    def forget(self) -> None:
        """Drops the history."""
        with self.changed:
            self.forgotten = self.revision
            self.events.clear()
            self.changed.notify_all()

    def copy(self) -> Copy:
        """Returns a copy of the state as it is now."""
        with self.changed:
            now = time.monotonic()
            leases = {
                number: (until - now, ttl_s)
                for number, (until, ttl_s) in self.leases.items()
            }
            return Copy(dict(self.items), list(self.events), leases,
                        self.revision, self.forgotten)

    def restore(self, copy: Copy, writes_again: bool = True) -> None:
        """Goes back to a copy; its leases run on from now.

        Args:
          copy: The copy.
          writes_again: Whether the operator and backend servers write again at
            once what they wrote since.
        """
        with self.changed:
            now = time.monotonic()
            lost = self.items
            self.items, self.events = dict(copy.items), list(copy.events)
            self.leases = {
                number: (now + left_s, ttl_s)
                for number, (left_s, ttl_s) in copy.leases.items()
            }
            self.revision, self.forgotten = copy.revision, copy.forgotten
            self.era += 1
            if writes_again:
                self._write_again(lost)
            self.changed.notify_all()

    def _write_again(self, lost: dict[str, dict]) -> None:
        for key in lost.keys() | self.items.keys():
            if not key.startswith(_OUTSIDE_PREFIXES):
                continue
            before, after = lost.get(key), self.items.get(key)
            if before is None:
                self._delete(key)
            elif after is None or after['Value'] != before['Value']:
                self._write(key, before['Value'], 0)

    def answer(self, method: str, path: str, query: dict,
               body: dict) -> tuple[int, dict]:
        """Answers a call."""
        with self.changed:
            self.calls += 1
            self.paths[path] += 1
            self._expire()
            if path == '/-/kv-range':
                return self._range(query)
            if path == '/-/kv-key':
                return self._get(query)
            if path == '/-/kv-watch':
                return self._watch(query)
            if path == '/-/kv-txn':
                return self._swap(body)
            if path == '/-/kv-lease':
                return self._open_lease(body)
            return self._touch_lease(method, int(path.rpartition('/')[2]))

    def _open_lease(self, body: dict) -> tuple[int, dict]:
        number = self.revision * 1_000 + len(self.leases) + 1
        ttl_s = body['TtlMs'] / _MS_PER_S
        self.leases[number] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {'Lease': number, 'TtlMs': body['TtlMs']}

    def _touch_lease(self, method: str, number: int) -> tuple[int, dict]:
        if number not in self.leases:
            return 404, {}
        if method == 'DELETE':
            self.leases[number] = (0.0, 0.0)
            self._expire()
            return 200, {}
        _, ttl_s = self.leases[number]
        self.leases[number] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {'TtlMs': ttl_s * _MS_PER_S}

    def _range(self, query: dict) -> tuple[int, dict]:
        prefix, after = query.get('Prefix', ''), query.get('after', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return 200, {
            'items': found[:50],
            'Truncated': len(found) > 50,
            'CurrentRev': self.revision
        }

    def _get(self, query: dict) -> tuple[int, dict]:
        item = self.items.get(query['Key'])
        if item is None:
            return 404, {}
        return 200, item | {'CurrentRev': self.revision}

    def _watch(self, query: dict) -> tuple[int, dict]:
        after, prefix = int(query['after']), query.get('Prefix', '')
        until = time.monotonic() + int(query['WaitMs']) / _MS_PER_S
        while True:
            if not self.forgotten <= after <= self.revision:
                return 410, {}
            events = [
                item for item in self.events
                if item['Rev'] > after and item['Key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'CurrentRev': self.revision}
            self.changed.wait(min(left, 0.1))
            self._expire()

    def _swap(self, body: dict) -> tuple[int, dict]:
        for row in body['ExpectRev']:
            item = self.items.get(row['Key'])
            if (item['Rev'] if item else 0) != row['Rev']:
                current = item or {'Key': row['Key'], 'Rev': 0}
                return 412, {'items': [current]}
        for row in body['Writes']:
            lease = row.get('Lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self._write(row['Key'], row['Value'], lease)
        for key in body['Delete']:
            self._delete(key)
        return 200, {'Rev': self.revision}

    def _write(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        item = {
            'Key': key,
            'Value': value,
            'Rev': self.revision,
            'Created': self.items.get(key, {}).get('Created', self.revision),
            'Lease': lease
        }
        self.items[key] = item
        self.events.append(item)
        self.changed.notify_all()
        return self.revision

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({
                'Key': key,
                'Rev': self.revision,
                'Tombstone': True
            })
            self.changed.notify_all()

    def _expire(self) -> None:
        now = time.monotonic()
        for number, (until, _) in list(self.leases.items()):
            if until <= now:
                del self.leases[number]
                for key, item in list(self.items.items()):
                    if item['Lease'] == number:
                        self._delete(key)


def _make_handler(store: PlatformStore):

    class Handler(http.server.BaseHTTPRequestHandler):
        """Answers the store's calls."""

        protocol_version = 'HTTP/1.1'

        def log_message(self, *unused_args) -> None:
            """Writes nothing."""

        def handle_call(self) -> None:
            """Answers one call."""
            length = int(self.headers.get('Content-Length') or 0)
            body = json.loads(self.rfile.read(length) or b'{}')
            path, _, text = self.path.partition('?')
            query = dict(urllib.parse.parse_qsl(text))
            faults = store.faults
            if faults.away == 'silent':
                time.sleep(30.0)  # Nor are these calls answered later.
                self.close_connection = True
                return
            if faults.away or self.client_address[0] in faults.refused:
                self._send(503, {})
                return
            writes = path == '/-/kv-txn'
            if writes and faults.late_s:
                threading.Timer(faults.late_s, store.answer,
                                (self.command, path, query, body)).start()
                self.close_connection = True
                return
            status, fields = store.answer(self.command, path, query, body)
            if writes and faults.lose_answers > 0:
                faults.lose_answers -= 1
                self.close_connection = True
                return
            self._send(status, fields)

        def _send(self, status: int, fields: dict) -> None:
            faults = store.faults
            if not faults.cut_share or faults.drawn.random(
            ) >= faults.cut_share:
                self._send_whole(status, fields)
                return
            wfile, self.wfile = self.wfile, io.BytesIO()
            try:
                self._send_whole(status, fields)
                answer = self.wfile.getvalue()
            finally:
                self.wfile = wfile
            cut, self.close_connection = broken_answers.make(
                broken_answers.CUT, answer, b'', faults.drawn)
            with contextlib.suppress(OSError):
                self.wfile.write(cut)

        def _send_whole(self, status: int, fields: dict) -> None:
            data = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header('Content-Type', 'application/json')
            if store.era:  # A store of an earlier release tells none.
                self.send_header('Store-Era', str(store.era))
            self.send_header('Content-Length', str(len(data)))
            with contextlib.suppress(OSError):  # The caller may be gone.
                self.end_headers()
                self.wfile.write(data)

    for method in ('GET', 'POST', 'DELETE'):
        setattr(Handler, f'do_{method}', Handler.handle_call)
    return Handler
