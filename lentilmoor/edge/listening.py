"""HTTP towards callers, the balancer and the other entries, by cheroot."""

from collections.abc import Callable
import logging
import socket
import threading

from cheroot import server as cheroot_server
from cheroot.workers import threadpool
from urllib3 import util

from lentilmoor import chunks
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import problems
from lentilmoor import responses
from lentilmoor import shutdowns
from lentilmoor import tries
from lentilmoor.edge import exchange
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import sockets

# Kept on top of the time that callers may reuse an idle connection: the
# library measures idle time by the time of day, which may jump by seconds.
IDLE_TIMEOUT_MARGIN_S = 5.0

_Reason = outcomes.Reason
_CHUNK_BYTES = 64 * 1024
# Started beyond what is lacking: where all are busy, more requests come.
EXTRA_THREADS = 4

ForwardRequest = Callable[[requests.Request], requests.Outcome]
RecordOutcome = Callable[[requests.Request, requests.Outcome], None]
PageHandler = Callable[[bytes], tuple[int, bytes, str]]
"""(body) -> status, body and content type of a page."""
RecordWrite = Callable[[str, int, float], None]
"""(address of who asked, bytes, ms) takes in how long a page took to write."""


class WorkerPool(threadpool.ThreadPool):
    """Threads that answer requests; more are started when all are busy.

    Most entries need a few, and each takes memory and a part of a start.
    """

    def __init__(self, server: cheroot_server.HTTPServer, min_threads: int,
                 max_threads: int):
        super().__init__(server, min=min_threads, max=max_threads)
        self._grow_lock = threading.Lock()

    def put(self, obj) -> None:
        """Hands over a connection on which a request has come."""
        super().put(obj)
        if self._count_missing_threads() > 0 and len(self._threads) < self.max:
            # The library waits until a new thread runs; who accepts
            # connections must not.
            threading.Thread(target=self._add_missing_threads,
                             daemon=True).start()

    def _count_missing_threads(self) -> int:
        return self._queue.qsize() - self.idle

    def _add_missing_threads(self) -> None:
        with self._grow_lock:
            lacking = self._count_missing_threads()
            if lacking > 0:
                self.grow(lacking + EXTRA_THREADS)


class Listener(cheroot_server.HTTPServer):
    """A server that may be handed a socket that listens already.

    Attributes:
      opened: That socket; None to open one.
    """

    listening_socket: socket.socket | None = None

    def bind(self, family, type, proto=0):  # pylint: disable=redefined-builtin
        """Takes the socket that was handed over, or opens one."""
        if self.listening_socket is None:
            return super().bind(family, type, proto)
        # pylint: disable-next=attribute-defined-outside-init
        self.socket = self.listening_socket
        self.bind_addr = self.resolve_real_bind_addr(self.socket)
        return self.socket


def make_listener(address: str, gateway: type[cheroot_server.Gateway],
                  threads: tuple[int, int],
                  log_error: Callable[..., None]) -> Listener:
    """Returns a server that hands each request to a gateway.

    Args:
      address: host:port.
      gateway: Answers requests.
      threads: Requests answered at once: without starting more threads, and at
        most.
      log_error: Takes the library's errors.
    """
    host, _, port = address.rpartition(':')
    server = Listener((host, int(port)), gateway, server_name='lentilmoor')
    server.requests = WorkerPool(server, *threads)
    server.request_queue_size = sockets.BACKLOG
    server.keep_alive_conn_limit = None
    server.error_log = log_error
    return server


def make_error_log(logger) -> Callable[..., None]:
    """Returns what takes the library's errors."""

    def log_error(message: str = '',
                  level: int = logging.INFO,
                  traceback: bool = False) -> None:
        if level >= logging.ERROR:
            logger.error('request_error', error=message, exc_info=traceback)

    return log_error


def make_caller_gateway(header_format: ports.HeaderFormat,
                        forward: ForwardRequest, record_outcome: RecordOutcome,
                        request_count: shutdowns.RequestCount,
                        find_max_body_bytes: Callable[[], int],
                        clock: clocks.Clock) -> type[cheroot_server.Gateway]:
    """Returns the gateway class for callers.

    Args:
      header_format: Parses callers' headers.
      forward: Forwards a request and returns its outcome.
      record_outcome: Called with each request and its outcome.
      request_count: Counts the requests in flight; says whether the process is
        shutting down, so that connections must be closed.
      find_max_body_bytes: Returns the size limit of a request's body.
      clock: Time.
    """

    class CallerGateway(cheroot_server.Gateway):
        """Answers one request of a caller."""

        def respond(self) -> None:
            """Reads the request, carries it and writes its outcome."""
            request_count.enter()
            try:
                request = _read_request(self.req, header_format,
                                        find_max_body_bytes(), clock)
                if isinstance(request, outcomes.NotRun):
                    self.req.close_connection = True
                    _refuse(self.req, request)
                    return
                outcome = forward(request)
                record_outcome(request, outcome)
                # Set last: a shutdown may have begun meanwhile.
                self.req.close_connection |= request_count.closing
                _write(self.req, request, outcome)
            finally:
                request_count.leave()

    return CallerGateway


def make_page_gateway(
        pages: dict[str, PageHandler],
        clock: clocks.Clock,
        record_write: RecordWrite | None = None,
        write_timeout_ms: float | None = None) -> type[cheroot_server.Gateway]:
    """Returns a gateway class for small pages by path.

    Args:
      pages: By path.
      clock: Time.
      record_write: Called with the duration of each page's write, if given.
      write_timeout_ms: Time after which a write to a client that reads nothing
        is aborted; the library's timeout if None.
    """

    class PageGateway(cheroot_server.Gateway):
        """Answers one request for a page."""

        def respond(self) -> None:
            """Writes the page."""
            page = pages.get(self.req.path.decode('latin-1'))
            status, body, kind = 404, b'', 'text/plain'
            if page is not None:
                length = int(self.req.inheaders.get(b'Content-Length', 0))
                status, body, kind = page(
                    self.req.rfile.read(length) if length else b'')
            if write_timeout_ms is not None:
                self.req.conn.socket.settimeout(write_timeout_ms /
                                                clocks.MS_PER_S)
            began = clock.now()
            try:
                responses.write_problem(
                    self.req,
                    problems.Problem(status,
                                     (('Content-Type', kind),
                                      ('Content-Length', str(len(body)))),
                                     body))
            finally:
                if record_write is not None:
                    record_write(self.req.conn.remote_addr, len(body),
                                 clock.now() - began)
            self.req.conn.socket.settimeout(self.req.server.timeout)

    return PageGateway


def _read_request(request: cheroot_server.HTTPRequest,
                  dialect: ports.HeaderFormat, limit: int,
                  clock: clocks.Clock) -> requests.Request | outcomes.NotRun:
    arrived_at = clock.now()
    body = _read_body(request, limit)
    if isinstance(body, outcomes.NotRun):
        return body
    path, _, _ = request.uri.partition(b'?')
    return requests.Request(
        fields=dialect.parse_caller_headers(request.inheaders),
        method=request.method.decode('latin-1'),
        host=request.inheaders.get(b'Host', b'').decode('latin-1'),
        path=path.decode('latin-1'),
        target=request.uri.decode('latin-1'),
        headers=_copy_headers(request, dialect, body),
        body=body,
        watch=exchange.CallerWatch(request.conn.socket),
        arrived_at=arrived_at)


def _read_body(request: cheroot_server.HTTPRequest,
               limit: int) -> bytes | outcomes.NotRun:
    length = _find_length(request)
    if isinstance(length, outcomes.NotRun):
        return length
    if length == 0:
        return b''
    parts, size = [], 0
    try:
        while part := request.rfile.read(_CHUNK_BYTES):
            parts.append(part)
            size += len(part)
            if size > limit:
                return outcomes.NotRun(_Reason.BODY_TOO_LARGE,
                                       f'expected at most {limit} bytes')
    except (OSError, ValueError) as error:
        return outcomes.NotRun(_Reason.BAD_REQUEST, str(error))
    if length is not None and size != length:
        return outcomes.NotRun(_Reason.BAD_REQUEST, 'the body ended early')
    return b''.join(parts)


def _find_length(
        request: cheroot_server.HTTPRequest) -> int | None | outcomes.NotRun:
    """Returns the declared length of a body; None if it comes in chunks."""
    if not request.chunked_read:
        length = int(request.inheaders.get(b'Content-Length', 0))
        if length < 0:
            return outcomes.NotRun(_Reason.BAD_REQUEST, 'a length below 0')
        return length
    request.rfile = chunks.ChunkedBody(request.conn.rfile)
    if b'Content-Length' in request.inheaders:
        return outcomes.NotRun(_Reason.BAD_REQUEST,
                               'a length beside a chunked body')
    return None


def _copy_headers(request: cheroot_server.HTTPRequest,
                  dialect: ports.HeaderFormat, body: bytes) -> dict[str, str]:
    dropped = dialect.dropped_headers
    listed = request.inheaders.get(b'Connection')
    if listed:
        dropped = dropped | frozenset(
            name.strip().lower()
            for name in listed.decode('latin-1').split(','))
    headers = {}
    for name, value in request.inheaders.items():
        text = name.decode('latin-1')
        if text.lower() not in dropped:
            headers[text] = value.decode('latin-1')
    if body or request.chunked_read or b'Content-Length' in request.inheaders:
        headers['Content-Length'] = str(len(body))
    for name in ('User-Agent', 'Accept-Encoding'):
        # The library would add its own, which would speak for the caller.
        headers.setdefault(name, util.SKIP_HEADER)
    return headers


def _write(request: cheroot_server.HTTPRequest, call: requests.Request,
           outcome: requests.Outcome) -> None:
    if isinstance(outcome, exchange.CallerDisconnected):
        request.close_connection = True
        request.sent_headers = True  # Nobody reads an answer.
    elif isinstance(outcome, tries.Answer):
        responses.write_answer(request, call.fields.request_id, outcome)
    else:
        _refuse(request, outcome)


def _refuse(request: cheroot_server.HTTPRequest,
            outcome: outcomes.NotRun | outcomes.Unknown) -> None:
    responses.write_problem(
        request,
        problems.make(outcome, fractional_seconds=True, invite_retries=True))
