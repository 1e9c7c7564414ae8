"""Sends one request to one backend server and reads its answer.

While the server processes the request, the caller's connection is polled too.
If the caller disconnects, the exchange ends and the server's connection is
closed, which makes the server stop. An answer with the request id of another
request is skipped. A connection is reused only if the last answer was read
completely and nothing follows it.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import http.client
import math
import select
import socket

import urllib3
import urllib3.exceptions

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import headers as header_names
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import ports

# Answers to earlier requests that are skipped before the connection is closed.
MAX_SKIPPED_ANSWERS = 3

_Reason = outcomes.Reason
_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException,
                      OSError, ValueError)
_NO_BODY_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to a backend server.

    Attributes:
      request_id: The id that the answer must carry; '' if the request has none.
      method: HTTP method.
      target: Path and query.
      make_headers: Called right before the request is sent. Returns its
        headers without hop-by-hop headers; None if it must not be sent any
        more.
      body: The complete body.
      idempotent: Whether the request may be run more than once.
      deadline_at: When the exchange times out, ms.
    """

    request_id: str
    method: str
    target: str
    make_headers: Callable[[], dict[str, str] | None]
    body: bytes
    idempotent: bool
    deadline_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswer:
    """A server's answer.

    Attributes:
      answer: The answer to forward to the caller.
      fields: The values parsed from its headers.
      connection_opened_at: When the connection it came over was opened, ms.
    """

    answer: transport.Answer
    fields: ports.AnswerHeaders
    connection_opened_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before it got an answer.

    Attributes:
      where: Where the request was then: the id of the server that it had been
        sent to, or a description of what it waited for.
      waited_ms: Time since it was sent to the server.
    """

    where: str = ''
    waited_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, as there was no connection."""

    reason: outcomes.Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """`make_headers` returned None once a connection was available."""


Result = (ServerAnswer | CallerDisconnected | NotSent | Withheld |
          outcomes.Unknown)
ParseAnswerHeaders = Callable[[int, Mapping[str, str]], ports.AnswerHeaders]


class Event(enum.Enum):
    """What happened first while a server processed a request.

    Attributes:
      ANSWER: The server's connection became readable.
      GONE: The caller disconnected.
      TIMEOUT: None of the others happened in time.
      TALKS: The caller sent more data, such as its next request.
    """

    ANSWER = 'answer'
    GONE = 'gone'
    TIMEOUT = 'timeout'
    TALKS = 'talks'


class CallerWatch:
    """Detects that a caller closes its connection."""

    def __init__(self, connection: socket.socket):
        self._connection = connection
        self._has_sent_data = False

    def wait_for_event(self, server_socket: socket.socket,
                       timeout_ms: float) -> Event:
        """Waits for the server's answer or for the caller to disconnect.

        Args:
          server_socket: The socket of the connection to the server.
          timeout_ms: How long to wait.

        Returns:
          What happened first; `TALKS` if the caller sent data, as a pipelined
          request may arrive before the answer to this one.
        """
        poll = select.poll()
        poll.register(server_socket, select.POLLIN)
        if not self._has_sent_data:
            poll.register(self._connection, select.POLLIN)
        ready = dict(poll.poll(max(0.0, timeout_ms)))
        if server_socket.fileno() in ready:
            return Event.ANSWER
        if not ready:
            return Event.TIMEOUT
        return Event.GONE if self.is_disconnected() else Event.TALKS

    def is_disconnected(self) -> bool:
        """Returns whether the caller has closed its connection."""
        poll = select.poll()
        try:
            poll.register(self._connection, select.POLLIN)
            # A socket with a timeout waits in `recv`, whatever its flags say.
            if not poll.poll(0):
                return False
            data = self._connection.recv(1,
                                         socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True
        # If the caller's next request is in the buffer already, polling can't
        # detect a disconnection any more.
        self._has_sent_data = bool(data)
        return not data


class _SharedBuffer:
    """Stands in for a socket so that all answers share one read buffer.

    `http.client` creates a buffer for each answer and discards it with the
    bytes of the next answer that it already holds.
    """

    def __init__(self, reader):
        self._reader = reader

    def makefile(self, *unused_args, **unused_kwargs):
        """Returns a reader whose close doesn't close the shared buffer."""
        return _UnclosedReader(self._reader)


class _UnclosedReader:
    """A reader of one answer; closing it leaves the shared buffer open."""

    def __init__(self, reader):
        self._reader = reader
        self.readline = reader.readline
        self.read = reader.read
        self.read1 = reader.read1
        self.readinto = reader.readinto
        self.peek = reader.peek
        self.closed = False

    def flush(self) -> None:
        """Does nothing, as a reader has no pending writes."""

    def close(self) -> None:
        """Marks this reader as closed."""
        self.closed = True


def share_read_buffer(connection: connections.Connection) -> None:
    """Makes all answers of a new connection share one read buffer."""
    sock = connection.http.sock
    reader = sock.makefile('rb')
    shared = _SharedBuffer(reader)
    connection.http.lentilmoor_reader = reader

    def make_response(unused_sock, *args, **kwargs):
        return http.client.HTTPResponse(shared, *args, **kwargs)

    connection.http.response_class = make_response


def send(pool: connections.Pool, outgoing: OutgoingRequest, watch: CallerWatch,
         parse_answer_headers: ParseAnswerHeaders,
         clock: clocks.Clock) -> Result:
    """Sends a request and reads its answer.

    Args:
      pool: Connections to the server.
      outgoing: The request to send.
      watch: Detects that the caller disconnects.
      parse_answer_headers: Parses the headers of an answer (see
        `ports.HeaderFormat`).
      clock: The clock of `outgoing.deadline_at`.
    """
    connection = pool.acquire(outgoing.idempotent, False,
                              outgoing.deadline_at - clock.now())
    if isinstance(connection, outcomes.Failed):
        return NotSent(connection.reason, connection.detail)
    headers = outgoing.make_headers()
    if headers is None:
        pool.discard(connection)
        return Withheld()
    if connection.use_count == 1:
        share_read_buffer(connection)
    try:
        return _exchange(pool, connection, outgoing, headers, watch,
                         parse_answer_headers, clock)
    except TimeoutError:
        pool.discard(connection)
        return outcomes.Unknown(_Reason.TIMED_OUT,
                                'timed out before the answer was complete')
    except _CONNECTION_ERRORS as error:
        pool.discard(connection)
        return outcomes.Unknown(_Reason.CONNECTION_LOST,
                                f'{type(error).__name__}: {error}'[:200])


def try_connect(pool: connections.Pool,
                timeout_ms: float) -> outcomes.Reason | None:
    """Opens a connection for later use.

    Args:
      pool: Connections to the server.
      timeout_ms: How long opening may acquire.

    Returns:
      Why the connection couldn't be opened; None if it is open.
    """
    connection = pool.acquire(True, True, timeout_ms)
    if isinstance(connection, outcomes.Failed):
        return connection.reason
    share_read_buffer(connection)
    pool.release(connection)
    return None


def _exchange(pool: connections.Pool, connection: connections.Connection,
              outgoing: OutgoingRequest, headers: dict[str, str],
              watch: CallerWatch, parse_answer_headers: ParseAnswerHeaders,
              clock: clocks.Clock) -> Result:
    _set_timeout(connection, outgoing, clock)
    connection.http.request(outgoing.method,
                            outgoing.target,
                            body=outgoing.body or None,
                            headers=headers,
                            preload_content=False,
                            decode_content=False)
    event = Event.TALKS
    while event is Event.TALKS:
        event = watch.wait_for_event(connection.http.sock,
                                     outgoing.deadline_at - clock.now())
    if event is Event.GONE:
        pool.discard(connection)
        return CallerDisconnected()
    if event is Event.TIMEOUT:
        pool.discard(connection, timed_out=connection.reused)
        return outcomes.Unknown(_Reason.TIMED_OUT,
                                'timed out before the answer began')
    _set_timeout(connection, outgoing, clock)
    response = connection.http.getresponse()
    fields = parse_answer_headers(response.status, response.headers)
    for _ in range(MAX_SKIPPED_ANSWERS):
        if not outgoing.request_id or fields.request_id in (
                '', outgoing.request_id):
            break
        response.read(decode_content=False)
        response = _read_next_response(connection, outgoing.method)
        fields = parse_answer_headers(response.status, response.headers)
        fields = dataclasses.replace(fields, closes_connection=True)
    else:
        pool.discard(connection)
        return outcomes.Unknown(_Reason.ANSWER_CUT,
                                'only answers to other requests were received')
    return _read_body(pool, connection, outgoing, response, fields)


def _set_timeout(connection: connections.Connection, outgoing: OutgoingRequest,
                 clock: clocks.Clock) -> None:
    remaining_s = max(1.0, outgoing.deadline_at - clock.now()) / clocks.MS_PER_S
    connection.http.timeout = remaining_s
    connection.http.sock.settimeout(remaining_s)


def _read_next_response(connection: connections.Connection,
                        method: str) -> urllib3.HTTPResponse:
    """Reads the answer after one that belonged to another request."""
    raw = connection.http.response_class(connection.http.sock, method=method)
    raw.begin()
    return urllib3.HTTPResponse(body=raw,
                                headers=urllib3.HTTPHeaderDict(raw.msg.items()),
                                status=raw.status,
                                preload_content=False,
                                decode_content=False,
                                request_method=method,
                                original_response=raw)


def _read_body(pool: connections.Pool, connection: connections.Connection,
               outgoing: OutgoingRequest, response: urllib3.HTTPResponse,
               fields: ports.AnswerHeaders) -> Result:
    headers = [(name, value)
               for name, value in response.headers.items()
               if name.lower() not in header_names.HOP_BY_HOP]
    has_no_body = (outgoing.method == 'HEAD' or
                   response.status in _NO_BODY_STATUSES)
    body = b'' if has_no_body else response.read(decode_content=False)
    has_defined_length = (has_no_body or 'Content-Length' in response.headers or
                          'Transfer-Encoding' in response.headers)
    if not has_no_body:
        headers = [
            item for item in headers if item[0].lower() != 'content-length'
        ]
        headers.append(('Content-Length', str(len(body))))
    if (has_defined_length and not fields.closes_connection and
            _is_fully_read(connection)):
        if fields.keep_alive_ms is not None:
            connection.keep_alive_ms = fields.keep_alive_ms
        pool.release(connection)
    else:
        pool.discard(connection)
    answer = transport.make_complete_answer(response.status, headers, body)
    return ServerAnswer(answer, fields, connection.opened_at)


def _is_fully_read(connection: connections.Connection) -> bool:
    """Returns whether no data follows the answer that was read."""
    sock = connection.http.sock
    if sock is None:
        return False
    sock.settimeout(0.0)
    try:
        return not connection.http.lentilmoor_reader.peek(1)
    except (OSError, ValueError):
        return False
