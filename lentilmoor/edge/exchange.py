"""Sends one request to one backend server and reads its answer.

While the server processes the request and sends its answer, the caller's
connection is polled too. If the caller disconnects, the exchange ends and the
server's connection is closed, which makes the server stop. An answer ends by
the deadline of the request and has a limited size. An answer with the request
id of another request is skipped; one without an id counts only if nothing else
can have been answered on its connection. A connection is reused only if the
last answer was read completely and nothing follows it, and never for a request
that it has carried before: a late second copy of the first answer has the same
id. A request whose answer can't name it has a connection of its own.
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

from lentilmoor import answerheads
from lentilmoor import boundedreads
from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import headers as header_names
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import ports

# Size of the largest body of an answer. Answers are held in memory until they
# are written to the caller.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Answers to earlier requests that are skipped before the connection is closed.
MAX_SKIPPED_ANSWERS = 3
_READ_BYTES = 64 * 1024
_MAX_DETAIL_CHARS = 200

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
      memory: Where the bytes of the answer are reserved.
      used_connections: Connections that have carried the request; `send` adds
        its own.
      carried_id: The id of the request that is sent, also if the answer names
        it in its body; '' if nothing tells its answer from others, so that it
        has a connection of its own.
    """

    request_id: str
    method: str
    target: str
    make_headers: Callable[[], dict[str, str] | None]
    body: bytes | bytearray
    idempotent: bool
    deadline_at: float
    memory: bytebudgets.Usage = dataclasses.field(
        default_factory=bytebudgets.Usage)
    used_connections: set[connections.Connection] = dataclasses.field(
        default_factory=set)
    carried_id: str = dataclasses.field(kw_only=True)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswer:
    """A server's answer.

    Attributes:
      answer: The answer to forward to the caller.
      fields: The values parsed from its headers.
      connection_opened_at: When the connection it came over was opened, ms.
      skipped_count: Answers to other requests that came before it.
    """

    answer: transport.Answer
    fields: ports.AnswerHeaders
    connection_opened_at: float = math.inf
    skipped_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedAnswer(outcomes.Unknown):
    """The server sent bytes that are no whole answer to the request.

    Attributes:
      fault: What is wrong with them; the first word of `detail`.
    """

    fault: answerheads.Fault = dataclasses.field(kw_only=True)


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
    """Detects that a caller closes its connection.

    Attributes:
      has_sent_data: Whether the caller has sent more than this request.
    """

    def __init__(self, connection: socket.socket):
        self._connection = connection
        self.has_sent_data = False

    def wait_for_event(self, server_socket: socket.socket,
                       timeout_ms: float) -> Event:
        """Waits for the server's answer or for the caller to disconnect.

        Args:
          server_socket: The socket of the connection to the server.
          timeout_ms: How long to wait; it may be shorter, see
            `boundedreads.MAX_POLL_MS`.

        Returns:
          What happened first; `TALKS` if the caller sent data, as a pipelined
          request may arrive before the answer to this one.
        """
        poll = select.poll()
        poll.register(server_socket, select.POLLIN)
        if not self.has_sent_data:
            poll.register(self._connection, select.POLLIN)
        ready = dict(poll.poll(boundedreads.limit_poll(timeout_ms)))
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
        self.has_sent_data = bool(data)
        return not data


class _CallerDisconnectedError(Exception):
    """The caller disconnected while the answer was read."""


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
    connection = pool.acquire(outgoing.idempotent, not outgoing.carried_id,
                              outgoing.deadline_at - clock.now(),
                              outgoing.used_connections, outgoing.carried_id)
    if isinstance(connection, outcomes.Failed):
        return NotSent(connection.reason, connection.detail)
    headers = outgoing.make_headers()
    if headers is None:
        pool.discard(connection)
        return Withheld()
    outgoing.used_connections.add(connection)
    if outgoing.carried_id:
        connection.note_carried(outgoing.carried_id)
    try:
        return _exchange(pool, connection, outgoing, headers, watch,
                         parse_answer_headers, clock)
    except _CallerDisconnectedError:
        pool.discard(connection)
        return CallerDisconnected()
    except (TimeoutError, urllib3.exceptions.TimeoutError):
        pool.discard(connection)
        return outcomes.Unknown(_Reason.TIMED_OUT,
                                'timed out before the answer was complete')
    except _CONNECTION_ERRORS as error:
        pool.discard(connection)
        return _describe_error(error)


def _describe_error(error: Exception) -> outcomes.Unknown:
    malformed = answerheads.find_malformed(error)
    if malformed is not None:
        return RefusedAnswer(_Reason.ANSWER_CUT,
                             str(malformed)[:_MAX_DETAIL_CHARS],
                             fault=malformed.fault)
    return outcomes.Unknown(
        _Reason.CONNECTION_LOST,
        f'{type(error).__name__}: {error}'[:_MAX_DETAIL_CHARS])


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
    event = _wait_for_answer(connection, outgoing, watch, clock)
    if event is Event.GONE:
        pool.discard(connection)
        return CallerDisconnected()
    if event is Event.TIMEOUT:
        pool.discard(connection, timed_out=connection.reused)
        return outcomes.Unknown(_Reason.TIMED_OUT,
                                'timed out before the answer began')
    _set_timeout(connection, outgoing, clock)
    connection.http.reader.wait = _make_wait(watch)
    response, fields, skipped_count = _read_own_head(connection, outgoing,
                                                     parse_answer_headers)
    answer = _read_body(pool, connection, outgoing, response, fields)
    return dataclasses.replace(answer, skipped_count=skipped_count)


def _wait_for_answer(connection: connections.Connection,
                     outgoing: OutgoingRequest, watch: CallerWatch,
                     clock: clocks.Clock) -> Event:
    """Waits until the answer begins, the caller leaves, or time is up."""
    while True:
        remaining_ms = outgoing.deadline_at - clock.now()
        event = watch.wait_for_event(connection.http.sock, remaining_ms)
        if event in (Event.ANSWER, Event.GONE):
            return event
        if remaining_ms <= 0:
            return Event.TIMEOUT


def _set_timeout(connection: connections.Connection, outgoing: OutgoingRequest,
                 clock: clocks.Clock) -> None:
    remaining_s = max(1.0, outgoing.deadline_at - clock.now()) / clocks.MS_PER_S
    connection.http.timeout = remaining_s
    connection.http.sock.settimeout(remaining_s)


def _read_own_head(
    connection: connections.Connection, outgoing: OutgoingRequest,
    parse_answer_headers: ParseAnswerHeaders
) -> tuple[urllib3.HTTPResponse, ports.AnswerHeaders, int]:
    """Reads the head of the answer to a request; skips other answers.

    Returns:
      The answer, what its headers state, and the number of skipped answers.

    Raises:
      MalformedAnswerError: No answer is known to belong to the request.
    """
    response = connection.http.getresponse()
    fields = parse_answer_headers(response.status, response.headers)
    skipped_count = 0
    while fields.request_id != outgoing.request_id:
        if not fields.request_id:
            if not connection.reused and not skipped_count:
                break
            raise answerheads.MalformedAnswerError(
                answerheads.Fault.NO_REQUEST_ID,
                f'status {response.status} on a connection with other requests')
        if skipped_count == MAX_SKIPPED_ANSWERS:
            raise answerheads.MalformedAnswerError(
                answerheads.Fault.OTHER_REQUEST,
                f'{skipped_count + 1} answers to other requests')
        skipped_count += 1
        _skip_body(response)
        response = _read_next_response(connection, outgoing.method)
        fields = parse_answer_headers(response.status, response.headers)
    if skipped_count:
        fields = dataclasses.replace(fields, closes_connection=True)
    return response, fields, skipped_count


def _read_next_response(connection: connections.Connection,
                        method: str) -> urllib3.HTTPResponse:
    """Reads the answer after one that belonged to another request."""
    raw = connection.http.read_next_answer(method)
    return urllib3.HTTPResponse(body=raw,
                                headers=urllib3.HTTPHeaderDict(raw.msg.items()),
                                status=raw.status,
                                preload_content=False,
                                decode_content=False,
                                request_method=method,
                                original_response=raw)


def _read_body(pool: connections.Pool, connection: connections.Connection,
               outgoing: OutgoingRequest, response: urllib3.HTTPResponse,
               fields: ports.AnswerHeaders) -> ServerAnswer:
    coding = response.headers.get('Content-Encoding')
    if coding is not None:
        # Callers ask for none, so these aren't the bytes of the server.
        raise answerheads.MalformedAnswerError(
            answerheads.Fault.CODED_BODY,
            f'the body has content coding {coding!r}')
    headers = [(name, value)
               for name, value in response.headers.items()
               if name.lower() not in header_names.HOP_BY_HOP]
    has_no_body = (outgoing.method == 'HEAD' or
                   response.status in _NO_BODY_STATUSES)
    body = b'' if has_no_body else _collect_body(response, outgoing.memory)
    has_defined_length = (has_no_body or 'Content-Length' in response.headers or
                          'Transfer-Encoding' in response.headers)
    if not has_no_body:
        headers = [
            item for item in headers if item[0].lower() != 'content-length'
        ]
        headers.append(('Content-Length', str(len(body))))
    if (has_defined_length and outgoing.carried_id and
            not fields.closes_connection and
            not connection.http.has_unread_data()):
        if fields.keep_alive_ms is not None:
            connection.keep_alive_ms = fields.keep_alive_ms
        pool.release(connection)
    else:
        pool.discard(connection)
    answer = transport.make_complete_answer(response.status, headers, body)
    return ServerAnswer(answer, fields, connection.opened_at)


def _collect_body(response: urllib3.HTTPResponse,
                  memory: bytebudgets.Usage) -> bytes | bytearray:
    """Reads a body into memory.

    Raises:
      MessageTooLargeError: It is too large, or there is no memory for it.
    """
    if (response.length_remaining or 0) > MAX_ANSWER_BYTES:
        raise boundedreads.MessageTooLargeError(
            f'the answer has {response.length_remaining} bytes')
    body = bytebudgets.collect(
        lambda: response.read(_READ_BYTES, decode_content=False), memory,
        MAX_ANSWER_BYTES)
    if body is bytebudgets.Excess.TOO_LARGE:
        raise boundedreads.MessageTooLargeError(
            f'the answer has more than {MAX_ANSWER_BYTES} bytes')
    if body is bytebudgets.Excess.NO_MEMORY:
        raise boundedreads.MessageTooLargeError(
            'the answers in memory leave no room for this one')
    return body


def _skip_body(response: urllib3.HTTPResponse) -> None:
    while response.read(_READ_BYTES, decode_content=False):
        pass


def _make_wait(watch: CallerWatch) -> boundedreads.Wait:
    """Returns a wait for the server's data that ends if the caller leaves."""

    def wait(server_socket: socket.socket, timeout_ms: float) -> None:
        if watch.wait_for_event(server_socket, timeout_ms) is Event.GONE:
            raise _CallerDisconnectedError()

    return wait
