"""The client of the platform's key-value store."""

import base64
import collections
from collections.abc import Mapping
import dataclasses
import json
import secrets
import socket
import threading
import urllib.parse

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.platform import documents

CONFIGURATION = 'op/config'
SERVERS = 'servers/'
COORDINATORS = 'lentilmoor/coordinator/'
ASSIGNMENTS = 'lentilmoor/assignment/'
ENTRIES = 'lentilmoor/entry/'

# The store answers in 4 ms, and 60 times slower on its slow days.
CALL_MS = 1_200.0
# A watch without events is answered after this; each costs a call.
WATCH_MS = 20_000.0
# Beyond it, a watch counts as lost.
WATCH_SLACK_MS = 2_000.0
# Times that a conditional write without an answer is sent again.
TRIES = 4
_PAGE_GUARD = 1_000

# A watch whose connection went silent is noticed after about 3 s by probes of
# the kernel, which cost no call.
KEEPALIVE = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_500),
)

_Reason = outcomes.Reason
_REASONS = {
    404: _Reason.NOT_FOUND,
    410: _Reason.NOT_FOUND,
    412: _Reason.CONFLICT,
    429: _Reason.OVERLOADED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    key: str
    value: bytes | None  # None: it was deleted.
    revision: int


class _Client:
    """Calls to one store."""

    def __init__(self, address: str, clock: clocks.Clock):
        self._address = address
        # A waiting watch must not keep other calls from their connection.
        self._caller = httpcalls.Caller(clock, 4, KEEPALIVE)
        self._watcher = httpcalls.Caller(clock, 1, KEEPALIVE)

    def call(self,
             method: str,
             target: str,
             body: Mapping | None = None,
             timeout_ms: float = CALL_MS) -> dict | outcomes.Failed:
        """Makes a call; returns the fields of a successful answer.

        For CONFLICT the detail is the answer's body.
        """
        data = None if body is None else json.dumps(body).encode()
        caller = self._caller if timeout_ms == CALL_MS else self._watcher
        reply = caller.call(
            self._address,
            httpcalls.Request(method, target, data,
                              {'Content-Type': 'application/json'}), timeout_ms)
        if isinstance(reply, outcomes.Failed):
            return reply
        if reply.status == 200:
            try:
                return json.loads(reply.body or b'{}')
            except ValueError:
                return outcomes.Failed(_Reason.CONNECTION_LOST, 'not JSON')
        reason = _REASONS.get(reply.status, _Reason.STORE_UNAVAILABLE)
        return outcomes.Failed(reason, reply.body.decode('utf-8', 'replace'))

    def read_all(self,
                 prefix: str) -> tuple[list[_Item], int] | outcomes.Failed:
        """Reads all items of a prefix, and the revision before the first."""
        items: list[_Item] = []
        revision, after = None, ''
        for _ in range(_PAGE_GUARD):
            query = {'Prefix': prefix}
            if after:
                query['after'] = after
            fields = self.call('GET',
                               '/-/kv-range?' + urllib.parse.urlencode(query))
            if isinstance(fields, outcomes.Failed):
                return fields
            revision = fields['CurrentRev'] if revision is None else revision
            items += [_read_item(row) for row in fields['items']]
            if not fields.get('Truncated'):
                break
            after = items[-1].key
        return items, revision

    def swap(self, key: str, value: bytes, revision: int,
             lease: int) -> int | outcomes.Failed:
        """Writes a key if it is at a revision; returns the new revision.

        A call without an answer may be carried out later; it is repeated
        until the outcome is certain, or TIMED_OUT is returned.
        """
        write = {'Key': key, 'Value': base64.b64encode(value).decode()}
        if lease:
            write['Lease'] = lease
        body = {
            'ExpectRev': [{
                'Key': key,
                'Rev': revision
            }],
            'Writes': [write],
            'Delete': [],
        }
        fields: dict | outcomes.Failed = outcomes.Failed(_Reason.TIMED_OUT)
        for _ in range(TRIES):
            fields = self.call('POST', '/-/kv-txn', body)
            if not isinstance(fields, outcomes.Failed):
                return fields['Rev']
            if fields.reason is _Reason.CONFLICT:
                return _read_conflict(fields, value)
            if fields.reason not in (_Reason.TIMED_OUT,
                                     _Reason.CONNECTION_LOST):
                return fields
        return fields


def _read_item(row: Mapping) -> _Item:
    value = None
    if not row.get('Tombstone'):
        value = base64.b64decode(row.get('Value', ''))
    return _Item(row['Key'], value, row['Rev'])


def _write_item(item: _Item) -> dict[str, object]:
    row: dict[str, object] = {'Key': item.key, 'Rev': item.revision}
    if item.value is None:
        return row | {'Tombstone': True}
    return row | {'Value': base64.b64encode(item.value).decode()}


def _read_conflict(failed: outcomes.Failed,
                   value: bytes) -> int | outcomes.Failed:
    """Tells our own earlier write, whose answer was lost, from a rival's."""
    try:
        items = json.loads(failed.detail)['items']
    except (ValueError, KeyError):
        return failed
    for row in items:
        item = _read_item(row) if row.get('Rev') else None
        if item is not None and item.value == value:
            return item.revision
    return outcomes.Failed(_Reason.CONFLICT, 'another write came first')


def connect_store(address: str, clock: clocks.Clock,
                  logger: logs.Logger) -> ports.Store:
    """Returns the store at an address.

    Args:
      address: host:port.
      clock: This process's time.
      logger: Takes lines on entries that don't parse.
    """
    client = _Client(address, clock)
    fold = _Folder(clock, logger)

    def load() -> ports.Everything | outcomes.Failed:
        found = client.read_all('')
        if isinstance(found, outcomes.Failed):
            return found
        items, revision = found
        return fold.replace(items, revision)

    def watch(before: ports.Everything) -> ports.Everything | outcomes.Failed:
        query = urllib.parse.urlencode({
            'Prefix': '',
            'after': before.revision,
            'WaitMs': int(WATCH_MS)
        })
        fields = client.call('GET',
                             f'/-/kv-watch?{query}',
                             timeout_ms=WATCH_MS + WATCH_SLACK_MS)
        if isinstance(fields, outcomes.Failed):
            return fields
        items = [_read_item(row) for row in fields['events']]
        return fold.apply(before, items, fields['CurrentRev'])

    def open_lease(ttl_ms: float) -> ports.Lease | outcomes.Failed:
        fields = client.call('POST', '/-/kv-lease', {'TtlMs': int(ttl_ms)})
        if isinstance(fields, outcomes.Failed):
            return fields
        return ports.Lease(fields['Lease'], fields['TtlMs'])

    def keep_lease(lease: ports.Lease) -> outcomes.Failed | None:
        fields = client.call('POST', f'/-/kv-keep/{lease.id}')
        return fields if isinstance(fields, outcomes.Failed) else None

    def end_lease(lease: ports.Lease) -> outcomes.Failed | None:
        fields = client.call('DELETE', f'/-/kv-lease-end/{lease.id}')
        return fields if isinstance(fields, outcomes.Failed) else None

    def take_role(service: str, coordinator: ports.Peer,
                  lease: ports.Lease) -> outcomes.Failed | None:
        done = client.swap(COORDINATORS + service,
                           documents.write_peer(coordinator), 0, lease.id)
        return done if isinstance(done, outcomes.Failed) else None

    def register(peer: ports.Peer,
                 lease: ports.Lease) -> outcomes.Failed | None:
        done = client.swap(ENTRIES + peer.instance, documents.write_peer(peer),
                           0, lease.id)
        return done if isinstance(done, outcomes.Failed) else None

    def save(assignment: keyranges.Assignment,
             revision: int) -> int | outcomes.Failed:
        value = documents.write_assignment(assignment, secrets.token_hex(8))
        return client.swap(ASSIGNMENTS + assignment.service, value, revision, 0)

    def load_assignment(
            service: str) -> ports.SavedAssignment | None | outcomes.Failed:
        query = urllib.parse.urlencode({'Key': ASSIGNMENTS + service})
        fields = client.call('GET', f'/-/kv-key?{query}')
        if isinstance(fields, outcomes.Failed):
            missing = fields.reason is _Reason.NOT_FOUND
            return None if missing else fields
        item = _read_item(fields)
        return _make_reader(item)(item.value)

    return ports.Store(load, watch, open_lease, keep_lease, end_lease,
                       take_role, register, load_assignment, fold.tell_news,
                       fold.merge_news, fold.dump, fold.restore, save)


_EMPTY = ports.Everything(None, {}, {}, {}, {}, 0)

# Changes that are kept for others: some minutes of a busy day's.
MOST_NEWS = 500
# What a server says of its warming up varies by the way of its heartbeats.
WARM_SLACK_MS = 1_000.0


class _Folder:
    """Applies changes of items to what an entry knows."""

    def __init__(self, clock: clocks.Clock, logger: logs.Logger):
        self._clock = clock
        self._logger = logger
        self._servers: dict[str, tables.Server] = {}
        self._items: dict[str, _Item] = {}
        self._revision = 0
        # News, in order, and the revision since when they are complete.
        self._news: collections.deque[_Item] = collections.deque()
        self._news_since = 0
        self._lock = threading.Lock()

    def replace(self, items: list[_Item], revision: int) -> ports.Everything:
        """Returns what is known from all that the store holds."""
        with self._lock:
            self._items = {}
        everything = self.apply(_EMPTY, items, revision)
        with self._lock:
            self._news.clear()
            self._news_since = revision
        return everything

    def tell_news(self, after: int) -> bytes | None:
        """Returns what has changed since a revision; None if it isn't known."""
        with self._lock:
            if after < self._news_since:
                return None
            rows = [
                _write_item(item)
                for item in self._news
                if item.revision > after
            ]
        return json.dumps(rows).encode() if rows else b''

    def merge_news(self, before: ports.Everything, data: bytes,
                   revision: int) -> ports.Everything | None:
        """Takes in what another entry told; None if it doesn't parse."""
        try:
            items = [_read_item(row) for row in json.loads(data)]
        except (ValueError, KeyError, TypeError) as error:
            self._logger.warning('news_refused', reason=str(error))
            return None
        return self.apply(before, items, revision)

    def dump(self) -> bytes:
        """Returns all that is known, in the store's own form."""
        with self._lock:
            rows = [_write_item(item) for item in self._items.values()]
            return json.dumps({
                'items': rows,
                'CurrentRev': self._revision
            }).encode()

    def restore(self, data: bytes) -> ports.Everything | None:
        """Returns what another entry knew; None if it knows nothing newer."""
        try:
            fields = json.loads(data)
            items = [_read_item(row) for row in fields['items']]
            revision = fields['CurrentRev']
        except (ValueError, KeyError, TypeError) as error:
            self._logger.warning('dump_refused', reason=str(error))
            return None
        if revision <= self._revision:
            return None
        return self.replace(items, revision)

    def apply(self, before: ports.Everything, items: list[_Item],
              revision: int) -> ports.Everything:
        """Returns what is known after some items changed.

        Args:
          before: What was known.
          items: New, changed and deleted items, in order.
          revision: The store's revision after them.
        """
        self._keep(items, revision)
        configuration = before.configuration
        servers = dict(before.servers)
        coordinators = dict(before.coordinators)
        assignments = dict(before.assignments)
        entries = dict(before.entries)
        news = before.news
        for item in items:
            if item.key == CONFIGURATION:
                configuration = self._read_configuration(item, configuration)
            elif item.key.startswith(SERVERS):
                if not self._put_server(servers, item):
                    continue
            elif item.key.startswith(COORDINATORS):
                self._put(coordinators, item, COORDINATORS, documents.read_peer)
            elif item.key.startswith(ASSIGNMENTS):
                self._put(assignments, item, ASSIGNMENTS, _make_reader(item))
                continue
            elif item.key.startswith(ENTRIES):
                self._put(entries, item, ENTRIES, documents.read_peer)
            news = max(news, item.revision)
            self._note_news(item)
        return ports.Everything(configuration, servers, coordinators,
                                assignments, entries, revision, news)

    def _note_news(self, item: _Item) -> None:
        with self._lock:
            self._news.append(item)
            while len(self._news) > MOST_NEWS:
                self._news_since = self._news.popleft().revision

    def _keep(self, items: list[_Item], revision: int) -> None:
        with self._lock:
            self._revision = revision
            for item in items:
                if item.value is None:
                    self._items.pop(item.key, None)
                else:
                    self._items[item.key] = item

    def _read_configuration(
            self, item: _Item,
            before: tables.Configuration | None) -> tables.Configuration | None:
        if item.value is None:
            return before
        found = documents.parse_configuration(item.value)
        if isinstance(found, str):
            self._logger.error('configuration_refused',
                               revision=item.revision,
                               reason=found)
            return before
        if before is not None and found.version < before.version:
            self._logger.warning('configuration_older',
                                 version=found.version,
                                 in_force=before.version)
            return before
        return found

    def _put(self, rows: dict, item: _Item, prefix: str, read) -> None:
        """Takes in an entry of our own, unless it does not parse.

        The last good one stays in force.
        """
        name = item.key.removeprefix(prefix)
        if item.value is None:
            rows.pop(name, None)
            return
        try:
            rows[name] = read(item.value)
        except ValueError as error:
            self._logger.error('entry_refused',
                               key=item.key,
                               revision=item.revision,
                               reason=str(error))

    def _put_server(self, servers: dict[str, tables.Server],
                    item: _Item) -> bool:
        """Takes in a server's entry; returns if it is more than a heartbeat."""
        name = item.key.removeprefix(SERVERS)
        known = self._servers.get(name)
        if item.value is None:
            return known is not None and servers.pop(known.id, None) is not None
        found = documents.parse_server(name, item.value, self._clock.now())
        if isinstance(found, str):
            self._refuse_server(name, item, found)
            return known is not None and servers.pop(known.id, None) is not None
        if known is not None and known.id == found.id:
            found = dataclasses.replace(found, seen_at=known.seen_at)
            if _is_heartbeat(known, found, self._clock.now()):
                found = known
        elif known is not None and tables.follows(known, found):
            self._refuse_server(name, item, 'of an earlier start')
            return False
        elif known is not None:
            servers.pop(known.id, None)
        changed = servers.get(found.id) is not found
        self._servers[name] = servers[found.id] = found
        return changed

    def _refuse_server(self, name: str, item: _Item, reason: str) -> None:
        self._logger.error('server_entry_refused',
                           server=name,
                           revision=item.revision,
                           reason=reason)


def _is_heartbeat(known: tables.Server, found: tables.Server,
                  now: float) -> bool:
    """Returns whether nothing has changed but what a heartbeat counts down."""
    same = dataclasses.replace(found, warm_at=known.warm_at) == known
    return same and found.warm_at < max(known.warm_at, now) + WARM_SLACK_MS


def _make_reader(item: _Item):

    def read(data: bytes) -> ports.SavedAssignment:
        return ports.SavedAssignment(documents.read_assignment(data),
                                     item.revision)

    return read
