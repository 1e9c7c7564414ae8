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
IDLE_SLACK_S = 5.0

_Reason = outcomes.Reason
_CHUNK_BYTES = 64 * 1024
# Started beyond what is lacking: where all are busy, more requests come.
SPARE_THREADS = 4

Forward = Callable[[requests.Request], requests.Outcome]
Note = Callable[[requests.Request, requests.Outcome], None]
Page = Callable[[bytes], tuple[int, bytes, str]]
"""(body) -> status, body and content type of a page."""
NoteWrite = Callable[[str, int, float], None]
"""(address of who asked, bytes, ms) takes in how long a page took to write."""


class Pool(threadpool.ThreadPool):
    """Threads that answer requests; more are started when all are busy.

    Most entries need a few, and each takes memory and a part of a start.
    """

    def __init__(self, server: cheroot_server.HTTPServer, least: int,
                 most: int):
        super().__init__(server, min=least, max=most)
        self._growing = threading.Lock()

    def put(self, obj) -> None:
        """Hands over a connection on which a request has come."""
        super().put(obj)
        if self._count_lacking() > 0 and len(self._threads) < self.max:
            # The library waits until a new thread runs; who accepts
            # connections must not.
            threading.Thread(target=self._add_lacking, daemon=True).start()

    def _count_lacking(self) -> int:
        return self._queue.qsize() - self.idle

    def _add_lacking(self) -> None:
        with self._growing:
            lacking = self._count_lacking()
            if lacking > 0:
                self.grow(lacking + SPARE_THREADS)


class Listener(cheroot_server.HTTPServer):
    """A server that may be handed a socket that listens already.

    Attributes:
      opened: That socket; None to open one.
    """

    opened: socket.socket | None = None

    def bind(self, family, type, proto=0):  # pylint: disable=redefined-builtin
        """Takes the socket that was handed over, or opens one."""
        if self.opened is None:
            return super().bind(family, type, proto)
        # pylint: disable-next=attribute-defined-outside-init
        self.socket = self.opened
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
    server.requests = Pool(server, *threads)
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


def make_caller_gateway(dialect: ports.HeaderFormat, forward: Forward,
                        note: Note, count: shutdowns.RequestCount,
                        limit: Callable[[], int],
                        clock: clocks.Clock) -> type[cheroot_server.Gateway]:
    """Returns the gateway class for callers.

    Args:
      dialect: Reads callers' headers.
      forward: Carries a request to its outcome.
      note: Told of each outcome.
      count: Counts requests; tells whether connections are to be closed.
      limit: Returns how long a body may be.
      clock: Time.
    """

    class CallerGateway(cheroot_server.Gateway):
        """Answers one request of a caller."""

        def respond(self) -> None:
            """Reads the request, carries it and writes its outcome."""
            count.enter()
            try:
                request = _read_request(self.req, dialect, limit(), clock)
                if isinstance(request, outcomes.NotRun):
                    self.req.close_connection = True
                    _refuse(self.req, request)
                    return
                outcome = forward(request)
                note(request, outcome)
                # Set last: a shutdown may have begun meanwhile.
                self.req.close_connection |= count.close_connections
                _write(self.req, request, outcome)
            finally:
                count.leave()

    return CallerGateway


def make_page_gateway(
        pages: dict[str, Page],
        clock: clocks.Clock,
        note_write: NoteWrite | None = None,
        write_ms: float | None = None) -> type[cheroot_server.Gateway]:
    """Returns a gateway class for small pages by path.

    Args:
      pages: By path.
      clock: Time.
      note_write: Told how long each page took to write, if given.
      write_ms: A reader that takes nothing for so long is given up; the
        library's time if None.
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
            if write_ms is not None:
                self.req.conn.socket.settimeout(write_ms / clocks.MS_PER_S)
            began = clock.now()
            try:
                responses.write_problem(
                    self.req,
                    problems.Problem(status,
                                     (('Content-Type', kind),
                                      ('Content-Length', str(len(body)))),
                                     body))
            finally:
                if note_write is not None:
                    note_write(self.req.conn.remote_addr, len(body),
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
    if isinstance(outcome, exchange.Gone):
        request.close_connection = True
        request.sent_headers = True  # Nobody reads an answer.
    elif isinstance(outcome, tries.Answer):
        responses.write_answer(request, call.fields.request_id, outcome)
    else:
        _refuse(request, outcome)


def _refuse(request: cheroot_server.HTTPRequest,
            outcome: outcomes.NotRun | outcomes.Unknown) -> None:
    responses.write_problem(request,
                            problems.make(outcome, exact=True, retryable=True))
