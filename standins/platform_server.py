"""Stand-in of the users' backend servers, over HTTP.

Registers in the store, enforces grants of keys, runs a few requests at a time
and can misbehave: lose, cut, double and spoil its answers, crash, apply grants
late. It keeps a journal of what it ran.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import http.server
import io
import json
import random
import socket
import sys
import threading
import time
import uuid

from standins import broken_answers

_MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that was run."""

    request_id: str
    key: int | None
    method: str
    path: str
    body: bytes
    began: float
    ended: float


@dataclasses.dataclass
class Faults:
    """How the server misbehaves.

    Attributes:
      answer: What becomes of the next answers: 'lost', 'cut', 'double',
        'spoiled', 'unframed', 'failed', 'endless', 'endless head' or one of
        `broken_answers.FORMS`; '' is whole.
      count: How many answers it befalls.
      control: What becomes of the next answers to grants and releases:
        'double' or one of `broken_answers.FORMS`; '' is whole.
      control_count: How many answers to them it befalls.
      share: Part of the other answers to requests that are broken.
      drawn: Decides which answers of that part are broken, and how.
      late_grant_s: Grants are applied so much later, and not answered.
    """

    answer: str = ''
    count: int = 0
    control: str = ''
    control_count: int = 0
    share: float = 0.0
    drawn: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0))
    late_grant_s: float = 0.0

    def take_answer_fault(self) -> str:
        """Returns what becomes of the next answer to a request."""
        if self.count > 0:
            self.count -= 1
            return self.answer
        if self.share and self.drawn.random() < self.share:
            return self.drawn.choice(broken_answers.FORMS)
        return ''

    def take_control_fault(self) -> str:
        """Returns what becomes of the next answer to a control call."""
        if self.control_count <= 0:
            return ''
        self.control_count -= 1
        return self.control


class PlatformServer:
    """A server; `address` is where it listens."""

    def __init__(self,
                 store,
                 service: str,
                 keyed: bool = False,
                 port: int = 0,
                 registers: bool = True,
                 tells_start: bool = True):
        self.id = 'i-' + uuid.uuid4().hex[:10]
        self.born = _tell_time_of_day() if tells_start else None
        self.service, self.keyed, self.store = service, keyed, store
        self.work_s = 0.005
        # Ids of the requests that it has begun to run.
        self.begun: set[str] = set()
        self.journal: list[Run] = []
        self.arrivals = 0
        self.arrival_times: list[float] = []
        self.cancelled = 0
        self.grants: list[dict] = []
        # Those that it took, and when.
        self.taken: list[tuple[float, dict]] = []
        self.held: list[tuple[int, int, int, float]] = []
        self.seen: list[tuple[int, int, int]] = []
        self.open: set[socket.socket] = set()
        self.faults = Faults()
        self.rate_limit: float | None = None
        self.leaving = False
        self.retry_after_s: float | None = None
        # Part of the requests that it rejects, as if it were full.
        self.reject_share = 0.0
        # When each request arrived, and its id.
        self.arrived: list[tuple[float, str]] = []
        # Called with the path of each request that it begins to run.
        self.on_begin: Callable[[str], None] = lambda path: None
        self._crashed = False
        self._reset = threading.Event()
        self.lock = threading.Lock()
        self.slots = threading.Semaphore(2)
        self._server = _Server(('127.0.0.1', port), _make_handler(self))
        self._server.daemon_threads = True
        host, port = self._server.server_address
        self.port, self.address = port, f'{host}:{port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        if registers:
            self.register()

    def register(self, state: str = 'ready') -> None:
        """Writes its entry."""
        self.store.put(
            f'servers/{self.id}', {
                'Service': self.service,
                'Addr': self.address,
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': 2,
                'State': state,
                'WarmupLeftMs': 0,
                'Seq': 1,
                'born': self.born
            })

    def restart(self, register: bool = True) -> None:
        """Ends as a crash does and starts again under its id.

        Args:
          register: Whether it writes its entry at once.
        """
        with self.lock:
            self.held.clear()
            self.seen.clear()
            self.born = max(self.born + 1, _tell_time_of_day())
            self._reset_all()
        if register:
            self.register()

    def close(self) -> None:
        """Ends as a crash does; its entry stays until it is deleted."""
        self._server.shutdown()
        self._server.server_close()
        with self.lock:
            self.held.clear()
            self._reset_all()

    def crash(self) -> bool:
        """Ends from within a request, but for open connections.

        Its entry stays until it is deleted.

        Returns:
          Whether it was up until now.
        """
        with self.lock:
            if self._crashed:
                return False
            self._crashed = True
        threading.Thread(target=self._server.shutdown, daemon=True).start()
        # The thread that accepts would keep the port open.
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.socket.close()
        return True

    def refuse_connections(self) -> None:
        """Refuses new connections; breaks half of the open ones."""
        self._server.shutdown()
        self._server.socket.close()
        with self.lock:
            for connection in list(self.open)[::2]:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)

    def accept_connections(self) -> None:
        """Accepts new connections again."""
        self._server.socket = socket.create_server(('127.0.0.1', self.port),
                                                   backlog=128)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def check_up(self) -> None:
        """Waits for the end of connections if it has crashed.

        Raises:
          ConnectionResetError: It has.
        """
        if self._crashed:
            self._reset.wait()
            raise ConnectionResetError('crashed')

    def reset(self) -> None:
        """Forgets its keys and breaks open connections."""
        self._reset.set()
        with self.lock:
            self.held.clear()
            self._reset_all()

    def _reset_all(self) -> None:
        for connection in self.open:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def leave(self) -> None:
        """Deletes its entry and ends."""
        self.store.delete(f'servers/{self.id}')
        self.close()

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key now."""
        now = time.monotonic()
        with self.lock:
            return any(first <= key <= last and until > now
                       for first, last, _, until in self.held)

    def grant(self, fields: dict, arrived: float) -> int:
        """Applies a grant and returns the status of its answer.

        Args:
          fields: Its body.
          arrived: When it arrived, from which its time counts.
        """
        first, last = fields['From'], fields['To']
        with self.lock:
            self.grants.append(fields)
            if any(f <= last and t >= first and fence > fields['fence']
                   for f, t, fence in self.seen):
                return 409
            self.seen.append((first, last, fields['fence']))
            self.taken.append((time.monotonic(), fields))
            self._cut(first, last)
            until = arrived + fields['HoldMs'] / _MS_PER_S
            self.held.append((first, last, fields['fence'], until))
            return 200

    def release(self, fields: dict) -> None:
        """Takes keys back."""
        with self.lock:
            self._cut(fields['From'], fields['To'])

    def _cut(self, first: int, last: int) -> None:
        kept = []
        for f, t, fence, until in self.held:
            if t < first or f > last:
                kept.append((f, t, fence, until))
                continue
            if f < first:
                kept.append((f, first - 1, fence, until))
            if t > last:
                kept.append((last + 1, t, fence, until))
        self.held = kept


class _Server(http.server.ThreadingHTTPServer):
    """Takes connections that callers may reset."""

    def handle_error(self, request, client_address) -> None:
        """Writes what failed, unless the caller closed or reset."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)


def _tell_time_of_day() -> int:
    return int(time.time() * _MS_PER_S)


def _make_handler(server: PlatformServer):
    # pylint: disable=too-many-statements

    class Handler(http.server.BaseHTTPRequestHandler):
        """Answers requests and control calls."""

        protocol_version = 'HTTP/1.1'
        # The answer before on this connection, whatever was sent of it.
        _previous = b''

        def setup(self) -> None:
            """Remembers the connection."""
            super().setup()
            with server.lock:
                server.open.add(self.connection)

        def finish(self) -> None:
            """Forgets the connection; the caller may be gone."""
            with server.lock:
                server.open.discard(self.connection)
            with contextlib.suppress(OSError):
                super().finish()

        def log_message(self, *unused_args) -> None:
            """Writes nothing."""

        def handle_call(self) -> None:
            """Answers one call."""
            server.check_up()
            length = int(self.headers.get('Content-Length') or 0)
            body = self.rfile.read(length)
            if self.path == '/-/grant':
                self._grant(json.loads(body))
            elif self.path == '/-/release':
                server.release(json.loads(body))
                self._send_control(200, {'Lentilmoor-Handover': 'token'})
            else:
                self._serve(body)

        def _grant(self, fields: dict) -> None:
            if server.faults.late_grant_s:
                threading.Timer(server.faults.late_grant_s, server.grant,
                                (fields, time.monotonic())).start()
                time.sleep(1.0)
                self.close_connection = True
                return
            self._send_control(server.grant(fields, time.monotonic()))

        def _send_control(self,
                          status: int,
                          headers: dict | None = None) -> None:
            fault = server.faults.take_control_fault()
            self._send_with_fault(fault, status, b'', headers)

        def _serve(self, body: bytes) -> None:
            server.arrivals += 1
            server.arrival_times.append(time.monotonic())
            server.arrived.append((server.arrival_times[-1],
                                   self.headers.get('Lentilmoor-Attempt-Id',
                                                    '')))
            expected = self.headers.get('Lentilmoor-Expect-Instance')
            text = self.headers.get('Lentilmoor-Shard-Key')
            key = int(text) if text else None
            if expected != server.id or (server.keyed and
                                         not server.holds(key)):
                self._send(421, b'', {'Lentilmoor-Not-Executed': '1'})
                return
            if server.retry_after_s is not None:
                self._send(
                    503, b'', {
                        'Lentilmoor-Not-Executed': '1',
                        'Retry-After': str(server.retry_after_s)
                    })
                return
            if random.random() < server.reject_share:
                self._send(503, b'', {'Lentilmoor-Not-Executed': '1'})
                return
            with server.slots:
                began = time.monotonic()
                request_id = self.headers.get('Lentilmoor-Attempt-Id', '')
                server.begun.add(request_id)
                server.on_begin(self.path)
                if not self._work():
                    server.cancelled += 1
                    self.close_connection = True
                    return
                server.journal.append(
                    Run(request_id, key, self.command, self.path, body, began,
                        time.monotonic()))
            self._reply(request_id)

        def _work(self) -> bool:
            """Works; returns whether the caller stayed."""
            until = time.monotonic() + server.work_s
            while (left := until - time.monotonic()) > 0:
                time.sleep(min(left, 0.02))
                self.connection.settimeout(0.0)
                try:
                    if not self.connection.recv(1, socket.MSG_PEEK):
                        return False
                except BlockingIOError:
                    pass
                except OSError:
                    return False
                finally:
                    with contextlib.suppress(OSError):
                        self.connection.settimeout(None)
            return True

        def _reply(self, request_id: str) -> None:
            fault = server.faults.take_answer_fault()
            body = f'{server.id} {self.path}'.encode()
            headers = {
                'Lentilmoor-Attempt-Id': request_id,
                'Lentilmoor-Upstream-Seal': 'seal.' + request_id,
                'Lentilmoor-Upstream-Load': '1,0,2'
            }
            if fault == 'lost':
                self.close_connection = True
            elif fault == 'spoiled':
                self.wfile.write(b'\x00garbage\r\n\r\n')
                self.close_connection = True
            elif fault == 'cut':
                self._send(200, body[:3], headers, len(body))
                self.close_connection = True
            elif fault == 'failed':
                self._send(500, b'failed', headers)
            elif fault.startswith('endless'):
                self._send_endlessly(fault == 'endless')
            elif fault == 'unframed':
                self._send(200, body, headers | {'Connection': 'close'}, -1)
                self.close_connection = True
            else:
                self._send_with_fault(fault, 200, body, headers)

        def _send_with_fault(self, fault: str, status: int, body: bytes,
                             headers: dict | None) -> None:
            """Sends an answer whole, twice or broken."""
            answer = self._render(status, body, headers)
            parts, closes = [answer], False
            if fault == 'double':
                parts = [answer, answer]
            elif fault:
                broken, closes = broken_answers.make(fault, answer,
                                                     self._previous,
                                                     server.faults.drawn)
                parts = [broken]
            self.close_connection |= closes
            self._previous = answer
            with contextlib.suppress(OSError):  # The caller may be gone.
                for part in parts:
                    self.wfile.write(part)

        def _render(self, *args) -> bytes:
            """Returns what `_send` would send."""
            wfile, self.wfile = self.wfile, io.BytesIO()
            try:
                self._send(*args)
                return self.wfile.getvalue()
            finally:
                self.wfile = wfile

        def _send_endlessly(self, is_head_complete: bool) -> None:
            """Sends a body, or a header, until the caller closes."""
            self.close_connection = True
            with contextlib.suppress(OSError):
                self.wfile.write(b'HTTP/1.1 200 OK\r\n' +
                                 (b'\r\n' if is_head_complete else b'A: '))
                while True:
                    self.wfile.write(b'x' * (65_536 if is_head_complete else 1))
                    time.sleep(0.01)

        def _send(self,
                  status: int,
                  body: bytes,
                  headers: dict | None = None,
                  length: int | None = None) -> None:
            server.check_up()
            self.send_response(status)
            if server.rate_limit is not None:
                self.send_header('Server-Limit', str(server.rate_limit))
            if server.leaving:
                self.send_header('Server-Leaving', '1')
            request_id = self.headers.get('Lentilmoor-Attempt-Id')
            echoed = {'Lentilmoor-Attempt-Id': request_id} if request_id else {}
            for name, value in (echoed | (headers or {})).items():
                self.send_header(name, value)
            if length != -1:
                length = len(body) if length is None else length
                self.send_header('Content-Length', str(length))
            with contextlib.suppress(OSError):  # The caller may be gone.
                self.end_headers()
                self.wfile.write(body)

    for method in ('GET', 'POST', 'PUT'):
        setattr(Handler, f'do_{method}', Handler.handle_call)
    return Handler
