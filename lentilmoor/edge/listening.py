"""HTTP servers for callers, the load balancer and other entries, on cheroot."""

from collections.abc import Callable
import logging
import socket
import threading

from cheroot import server as cheroot_server
from cheroot.workers import threadpool
from urllib3 import util

from lentilmoor import bytebudgets
from lentilmoor import chunks
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import problems
from lentilmoor import readychecks
from lentilmoor import requestconnections
from lentilmoor import requestheads
from lentilmoor import responses
from lentilmoor import shutdowns
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import sockets

# Added to the time for which callers may reuse an idle connection, as cheroot
# measures idle time by the wall clock, which may jump by seconds.
IDLE_TIMEOUT_MARGIN_S = 5.0
# Size of the largest head of a request, unless the configuration sets a limit.
MAX_HEAD_BYTES = 64 * 1024
# A body is read until the caller stops waiting, but not longer than this: each
# one takes a thread.
MAX_BODY_TIME_MS = 30_000.0
# Size of the largest body of another entry's message, and the time in which it
# must have arrived.
MAX_PAGE_BODY_BYTES = 16 * 1024 * 1024
PAGE_BODY_TIMEOUT_MS = 3_000.0
# Retry-After of a request refused because bodies take all the memory.
MEMORY_RETRY_AFTER_MS = 200

_Reason = outcomes.Reason
_READ_BLOCK_BYTES = 64 * 1024
# Threads started in addition to the missing ones, as more requests are likely
# to follow when all threads are busy.
EXTRA_THREADS = 4

_PAGE_STATUSES = {
    _Reason.BAD_REQUEST: 400,
    _Reason.DEADLINE_PASSED: 408,
    _Reason.BODY_TOO_LARGE: 413,
    _Reason.OVERLOADED: 503,
}

ForwardRequest = Callable[[requests.Request], requests.Outcome]
RecordOutcome = Callable[[requests.Request, requests.Outcome], None]
PageHandler = Callable[[bytes], tuple[int, bytes, str]]
"""Called with the request's body; returns status, body and content type."""
WatchedPageHandler = Callable[[bytes, exchange.CallerWatch, bytebudgets.Usage],
                              tuple[int, bytes]]
"""Called with the body, a watch of the client, and where to reserve memory;
returns status and body."""
RecordWrite = Callable[[str, int, float], None]
"""Called with the client's address, the page's bytes and the write's ms."""


class WorkerPool(threadpool.ThreadPool):
    """Threads that answer requests; more are started when all are busy.

    Most entries need only a few, and each thread takes memory and prolongs the
    start.
    """

    def __init__(self, server: cheroot_server.HTTPServer, min_threads: int,
                 max_threads: int):
        super().__init__(server, min=min_threads, max=max_threads)
        self._grow_lock = threading.Lock()

    def put(self, obj) -> None:
        """Queues a connection on which a request has arrived."""
        super().put(obj)
        if self._count_missing_threads() > 0 and len(self._threads) < self.max:
            # `grow` blocks until a new thread runs, which must not delay the
            # thread that accepts connections.
            threading.Thread(target=self._add_missing_threads,
                             daemon=True).start()

    def _count_missing_threads(self) -> int:
        return self._queue.qsize() - self.idle

    def _add_missing_threads(self) -> None:
        with self._grow_lock:
            missing_threads = self._count_missing_threads()
            if missing_threads > 0:
                self.grow(missing_threads + EXTRA_THREADS)


class Listener(cheroot_server.HTTPServer):
    """An HTTP server that can use a socket that is already listening.

    Attributes:
      listening_socket: That socket; None to open one.
      clock: The clock of `find_empty_at`.
      find_empty_at: Returns the last known time at which no connection waited
        to be accepted, ms.
    """

    listening_socket: socket.socket | None = None
    clock: clocks.Clock
    find_empty_at: Callable[[], float]

    def prepare(self) -> None:
        """Prepares to serve; notes when no request waits to be read."""
        super().prepare()
        manager = self._connections
        # cheroot has no public way to see when a connection becomes ready.
        # pylint: disable-next=protected-access
        manager._selector = selector = readychecks.CheckedSelector(
            manager._selector, self, self.clock)  # pylint: disable=protected-access
        self.find_empty_at = lambda: selector.backlog_empty_at

    def process_conn(self, conn: requestconnections.RequestConnection) -> None:
        """Passes a connection to a thread once something has arrived on it.

        cheroot passes on new connections at once, so that idle ones would take
        all threads.
        """
        was_new, conn.is_new = conn.is_new, False
        if was_new and not conn.reader.is_ready():
            self._connections.put(conn)
        else:
            super().process_conn(conn)

    def bind(self, family, type, proto=0):  # pylint: disable=redefined-builtin
        """Uses `listening_socket`, or opens a socket if it is None."""
        if self.listening_socket is None:
            return super().bind(family, type, proto)
        # pylint: disable-next=attribute-defined-outside-init
        self.socket = self.listening_socket
        self.bind_addr = self.resolve_real_bind_addr(self.socket)
        return self.socket


def make_listener(address: str, gateway: type[cheroot_server.Gateway],
                  threads: tuple[int, int], log_error: Callable[..., None],
                  clock: clocks.Clock) -> Listener:
    """Returns a server that passes each request to a gateway.

    Args:
      address: host:port.
      gateway: Answers requests.
      threads: Minimum and maximum number of threads, each of which answers one
        request at a time.
      log_error: Called with cheroot's error messages.
      clock: Clock of the deadlines of requests.
    """
    host, _, port = address.rpartition(':')
    listener = Listener((host, int(port)), gateway, server_name='lentilmoor')
    listener.requests = WorkerPool(listener, *threads)
    listener.request_queue_size = sockets.BACKLOG
    listener.keep_alive_conn_limit = None
    listener.error_log = log_error
    listener.max_request_header_size = MAX_HEAD_BYTES
    requestconnections.limit_requests(listener, clock)
    return listener


def make_error_log(logger) -> Callable[..., None]:
    """Returns a function that logs cheroot's errors."""

    def log_error(message: str = '',
                  level: int = logging.INFO,
                  traceback: bool = False) -> None:
        if level >= logging.ERROR:
            logger.error('request_error', error=message, exc_info=traceback)
        elif level >= logging.WARNING:
            logger.warning('request_error', error=message)

    return log_error


def make_caller_gateway(
        header_format: ports.HeaderFormat, forward: ForwardRequest,
        record_outcome: RecordOutcome, request_count: shutdowns.RequestCount,
        find_max_body_bytes: Callable[[], int], clock: clocks.Clock,
        memory: bytebudgets.ByteBudget) -> type[cheroot_server.Gateway]:
    """Returns the gateway class for callers.

    Args:
      header_format: Parses callers' headers.
      forward: Forwards a request and returns its outcome.
      record_outcome: Called with each request and its outcome.
      request_count: Counts the requests in flight; says whether the process is
        shutting down, so that connections must be closed.
      find_max_body_bytes: Returns the size limit of a request's body.
      clock: The clock of a request's arrival time.
      memory: Memory for the bodies of requests and answers.
    """

    class CallerGateway(cheroot_server.Gateway):
        """Answers one request of a caller."""

        def respond(self) -> None:
            """Reads the request, forwards it and writes its outcome."""
            request_count.enter()
            usage = bytebudgets.Usage(memory)
            try:
                request = _read_request(self.req, header_format,
                                        find_max_body_bytes(), clock, usage)
                if isinstance(request, outcomes.NotRun):
                    self.req.close_connection = True
                    _write_problem(self.req, request)
                    return
                outcome = forward(request)
                record_outcome(request, outcome)
                if not request.watch.has_sent_data:
                    # The next request follows the answer to this one.
                    self.req.conn.empty_at = clock.now()
                # Read after forwarding, as a shutdown may have begun meanwhile.
                self.req.close_connection |= request_count.close_connections
                _write_outcome(self.req, request, outcome)
            finally:
                bytebudgets.release(usage)
                request_count.leave()

    return CallerGateway


def make_page_gateway(
    pages: dict[str, PageHandler],
    clock: clocks.Clock,
    record_write: RecordWrite | None = None,
    write_timeout_ms: float | None = None,
    watched_pages: dict[str, WatchedPageHandler] | None = None,
    memory: bytebudgets.ByteBudget | None = None
) -> type[cheroot_server.Gateway]:
    """Returns a gateway class that serves small pages.

    Args:
      pages: Handlers by path; other paths get status 404.
      clock: Measures the duration of writes.
      record_write: Called with the duration of each page's write, if given.
      write_timeout_ms: Time after which a write to a client that reads nothing
        is aborted; cheroot's timeout if None.
      watched_pages: Handlers that watch whether the client disconnects, by
        path.
      memory: Memory for the bodies of requests; unlimited if None.
    """
    memory = memory or bytebudgets.ByteBudget()

    class PageGateway(cheroot_server.Gateway):
        """Answers one request for a page."""

        def respond(self) -> None:
            """Writes the page of the request's path."""
            usage = bytebudgets.Usage(memory)
            try:
                self._write_page(*self._find_page(usage))
            finally:
                bytebudgets.release(usage)

        def _write_page(self, status: int, body: bytes,
                        content_type: str) -> None:
            if write_timeout_ms is not None:
                self.req.conn.socket.settimeout(write_timeout_ms /
                                                clocks.MS_PER_S)
            started_at = clock.now()
            try:
                responses.write_problem(
                    self.req,
                    problems.Problem(status,
                                     (('Content-Type', content_type),
                                      ('Content-Length', str(len(body)))),
                                     body))
            finally:
                if record_write is not None:
                    record_write(self.req.conn.remote_addr, len(body),
                                 clock.now() - started_at)
            self.req.conn.socket.settimeout(self.req.server.timeout)

        def _find_page(self,
                       usage: bytebudgets.Usage) -> tuple[int, bytes, str]:
            path = self.req.path.decode('latin-1')
            watched = (watched_pages or {}).get(path)
            if path not in pages and watched is None:
                return 404, b'', 'text/plain'
            self.req.conn.limit_body(clock.now() + PAGE_BODY_TIMEOUT_MS)
            body = _read_body(self.req, MAX_PAGE_BODY_BYTES, usage)
            if isinstance(body, outcomes.NotRun):
                self.req.close_connection = True
                return _PAGE_STATUSES[body.reason], b'', 'text/plain'
            if watched is None:
                return pages[path](body)
            watch = exchange.CallerWatch(self.req.conn.socket)
            return (*watched(body, watch, usage), 'application/octet-stream')

    return PageGateway


def _read_request(
        request: cheroot_server.HTTPRequest, header_format: ports.HeaderFormat,
        max_bytes: int, clock: clocks.Clock,
        memory: bytebudgets.Usage) -> requests.Request | outcomes.NotRun:
    arrived_at = clock.now()
    repeated = request.repeated_headers & header_format.single_headers
    if repeated:
        return _refuse(request, f'repeated headers: {sorted(repeated)}')
    fields = header_format.parse_caller_headers(request.inheaders)
    request.conn.limit_body(
        arrived_at +
        min(requests.find_caller_timeout(fields), MAX_BODY_TIME_MS))
    body = _read_body(request, max_bytes, memory)
    if isinstance(body, outcomes.NotRun):
        return body
    path, _, _ = request.uri.partition(b'?')
    return requests.Request(fields=fields,
                            method=request.method.decode('latin-1'),
                            host=request.inheaders.get(b'Host',
                                                       b'').decode('latin-1'),
                            path=path.decode('latin-1'),
                            target=request.uri.decode('latin-1'),
                            headers=_copy_headers(request, header_format, body),
                            body=body,
                            watch=exchange.CallerWatch(request.conn.socket),
                            arrived_at=arrived_at,
                            max_delay_ms=arrived_at - request.conn.empty_at,
                            memory=memory)


def _read_body(
        request: cheroot_server.HTTPRequest, max_bytes: int,
        memory: bytebudgets.Usage) -> bytes | bytearray | outcomes.NotRun:
    length = None
    if request.chunked_read:
        request.rfile = chunks.ChunkedBody(request.conn.rfile)
    else:
        length = int(request.inheaders.get(b'Content-Length', 0))
        if length > max_bytes:
            return outcomes.NotRun(_Reason.BODY_TOO_LARGE,
                                   f'expected at most {max_bytes} bytes')
    try:
        body = _collect_body(request, max_bytes, memory)
    except TimeoutError:
        return outcomes.NotRun(_Reason.DEADLINE_PASSED,
                               'the body did not arrive in time')
    except (OSError, ValueError) as error:
        return _refuse(request, str(error))
    if (not isinstance(body, outcomes.NotRun) and length is not None and
            len(body) != length):
        return _refuse(request, 'the body is shorter than its Content-Length')
    return body


def _refuse(request: cheroot_server.HTTPRequest,
            detail: str) -> outcomes.NotRun:
    requestheads.log_refusal(request, detail)
    return outcomes.NotRun(_Reason.BAD_REQUEST, detail)


def _collect_body(
        request: cheroot_server.HTTPRequest, max_bytes: int,
        memory: bytebudgets.Usage) -> bytes | bytearray | outcomes.NotRun:
    body = bytebudgets.collect(lambda: request.rfile.read(_READ_BLOCK_BYTES),
                               memory, max_bytes)
    if body is bytebudgets.Excess.TOO_LARGE:
        return outcomes.NotRun(_Reason.BODY_TOO_LARGE,
                               f'expected at most {max_bytes} bytes')
    if body is bytebudgets.Excess.NO_MEMORY:
        return outcomes.NotRun(_Reason.OVERLOADED,
                               'no memory is left for the body',
                               MEMORY_RETRY_AFTER_MS)
    return body


def _copy_headers(request: cheroot_server.HTTPRequest,
                  header_format: ports.HeaderFormat,
                  body: bytes) -> dict[str, str]:
    dropped = header_format.dropped_headers
    connection_options = request.inheaders.get(b'Connection')
    if connection_options:
        dropped = dropped | frozenset(
            name.strip().lower()
            for name in connection_options.decode('latin-1').split(','))
    headers = {}
    for name, value in request.inheaders.items():
        text = name.decode('latin-1')
        if text.lower() not in dropped:
            headers[text] = value.decode('latin-1')
    if body or request.chunked_read or b'Content-Length' in request.inheaders:
        headers['Content-Length'] = str(len(body))
    for name in ('User-Agent', 'Accept-Encoding'):
        # Otherwise urllib3 adds its own value, which the caller didn't send.
        headers.setdefault(name, util.SKIP_HEADER)
    return headers


def _write_outcome(request: cheroot_server.HTTPRequest,
                   parsed_request: requests.Request,
                   outcome: requests.Outcome) -> None:
    if isinstance(outcome, exchange.CallerDisconnected):
        request.close_connection = True
        request.sent_headers = True  # No answer is sent, as nobody reads it.
    elif isinstance(outcome, transport.Answer):
        responses.write_answer(request, parsed_request.fields.request_id,
                               outcome)
    else:
        _write_problem(request, outcome)


def _write_problem(request: cheroot_server.HTTPRequest,
                   outcome: outcomes.NotRun | outcomes.Unknown) -> None:
    responses.write_problem(
        request,
        problems.make(outcome, fractional_seconds=True, invite_retries=True))
