"""One request sent to one backend server, and what came of it.

While the server works, the caller's connection is watched too: a caller that
leaves ends the exchange, and closing the server's connection has it stop. An
answer that belongs to another request is skipped by its id. A connection is
used again only after a whole answer to the last request and with nothing left
to read.
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

# Answers of earlier requests that are skipped before a connection is given up.
MOST_STRAYS = 3

_Reason = outcomes.Reason
_BROKEN = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError,
           ValueError)
_NO_BODY_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What to send.

    Attributes:
      request_id: The id that the answer must carry; '' if the request has none.
      method: HTTP method.
      target: Path and query.
      make_headers: () -> headers as they are right before it is sent, those of
        one connection left out; None if it isn't to be sent any more.
      body: The whole body.
      repeatable: Whether the request may be run more than once.
      until: When to give up, ms.
    """

    request_id: str
    method: str
    target: str
    make_headers: Callable[[], dict[str, str] | None]
    body: bytes
    repeatable: bool
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A server's answer.

    Attributes:
      answer: What to pass on to the caller.
      fields: What its headers say.
      opened_at: When its connection was opened, ms.
    """

    answer: transport.Answer
    fields: ports.AnswerHeaders
    opened_at: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """The caller left; nobody waits for an answer.

    Attributes:
      where: Where the request was: a server's id, or what it waited for.
      waited_ms: How long it waited at the server.
    """

    where: str = ''
    waited_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte left."""

    reason: outcomes.Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withheld:
    """It was not to be sent any more once there was a connection."""


Result = Reply | Gone | NotSent | Withheld | outcomes.Unknown
ReadAnswer = Callable[[int, Mapping[str, str]], ports.AnswerHeaders]


class Event(enum.Enum):
    """What came first while a server worked."""

    ANSWER = 'answer'
    GONE = 'gone'
    TIMEOUT = 'timeout'
    TALKS = 'talks'


class CallerWatch:
    """Tells whether a caller has closed its connection."""

    def __init__(self, connection: socket.socket):
        self._connection = connection
        self._talks = False

    def await_either(self, other: socket.socket, timeout_ms: float) -> Event:
        """Waits until a server's connection can be read or the caller left.

        Args:
          other: The server's connection.
          timeout_ms: How long to wait.

        Returns:
          What came first; `TALKS` if the caller sent something instead, as the
          next request may come before this one's answer.
        """
        poll = select.poll()
        poll.register(other, select.POLLIN)
        if not self._talks:
            poll.register(self._connection, select.POLLIN)
        ready = dict(poll.poll(max(0.0, timeout_ms)))
        if other.fileno() in ready:
            return Event.ANSWER
        if not ready:
            return Event.TIMEOUT
        return Event.GONE if self.is_gone() else Event.TALKS

    def is_gone(self) -> bool:
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
        # The next request may lie here already; then nothing tells any more.
        self._talks = bool(data)
        return not data


class _SharedReader:
    """Lets all answers of a connection be read from one buffer.

    The library's answers each have a buffer of their own, and the bytes that
    follow an answer would be lost with it.
    """

    def __init__(self, reader):
        self._reader = reader

    def makefile(self, *unused_args, **unused_kwargs):
        """Returns the buffer in a form that outlives an answer."""
        return _KeptReader(self._reader)


class _KeptReader:
    """A reader whose close leaves the buffer open."""

    def __init__(self, reader):
        self._reader = reader
        self.readline = reader.readline
        self.read = reader.read
        self.read1 = reader.read1
        self.readinto = reader.readinto
        self.peek = reader.peek
        self.closed = False

    def flush(self) -> None:
        """Does nothing; there is nothing to flush."""

    def close(self) -> None:
        """Ends this answer's use of the buffer."""
        self.closed = True


def prepare(connection: connections.Connection) -> None:
    """Makes a new connection read all its answers from one buffer."""
    sock = connection.http.sock
    reader = sock.makefile('rb')
    shared = _SharedReader(reader)
    connection.http.lentilmoor_reader = reader

    def make_response(unused_sock, *args, **kwargs):
        return http.client.HTTPResponse(shared, *args, **kwargs)

    connection.http.response_class = make_response


def send(pool: connections.Pool, order: Order, watch: CallerWatch,
         read_answer: ReadAnswer, clock: clocks.Clock) -> Result:
    """Sends a request and reads its answer.

    Args:
      pool: Connections to the server.
      order: What to send.
      watch: Watches the caller.
      read_answer: Reads the headers of an answer (see `ports.HeaderFormat`).
      clock: Time.
    """
    taken = pool.acquire(order.repeatable, False, order.until - clock.now())
    if isinstance(taken, outcomes.Failed):
        return NotSent(taken.reason, taken.detail)
    headers = order.make_headers()
    if headers is None:
        pool.discard(taken)
        return Withheld()
    if taken.use_count == 1:
        prepare(taken)
    try:
        return _exchange(pool, taken, order, headers, watch, read_answer, clock)
    except TimeoutError:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.TIMED_OUT, 'no whole answer in time')
    except _BROKEN as error:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.CONNECTION_LOST,
                                f'{type(error).__name__}: {error}'[:200])


def check(pool: connections.Pool, patience_ms: float) -> outcomes.Reason | None:
    """Opens a connection for later use; returns why it couldn't be opened."""
    taken = pool.acquire(True, True, patience_ms)
    if isinstance(taken, outcomes.Failed):
        return taken.reason
    prepare(taken)
    pool.release(taken)
    return None


def _exchange(pool: connections.Pool, taken: connections.Connection,
              order: Order, headers: dict[str, str], watch: CallerWatch,
              read_answer: ReadAnswer, clock: clocks.Clock) -> Result:
    _set_timeout(taken, order, clock)
    taken.http.request(order.method,
                       order.target,
                       body=order.body or None,
                       headers=headers,
                       preload_content=False,
                       decode_content=False)
    event = Event.TALKS
    while event is Event.TALKS:
        event = watch.await_either(taken.http.sock, order.until - clock.now())
    if event is Event.GONE:
        pool.discard(taken)
        return Gone()
    if event is Event.TIMEOUT:
        pool.discard(taken, timed_out=taken.reused)
        return outcomes.Unknown(_Reason.TIMED_OUT, 'no answer in time')
    _set_timeout(taken, order, clock)
    response = taken.http.getresponse()
    fields = read_answer(response.status, response.headers)
    for _ in range(MOST_STRAYS):
        if not order.request_id or fields.request_id in ('', order.request_id):
            break
        response.read(decode_content=False)
        response = _read_next(taken, order.method)
        fields = read_answer(response.status, response.headers)
        fields = dataclasses.replace(fields, closes_connection=True)
    else:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.ANSWER_CUT, 'only answers to others')
    return _read_body(pool, taken, order, response, fields)


def _set_timeout(taken: connections.Connection, order: Order,
                 clock: clocks.Clock) -> None:
    left_s = max(1.0, order.until - clock.now()) / clocks.MS_PER_S
    taken.http.timeout = left_s
    taken.http.sock.settimeout(left_s)


def _read_next(taken: connections.Connection,
               method: str) -> urllib3.HTTPResponse:
    """Reads the answer that follows one that was not ours."""
    raw = taken.http.response_class(taken.http.sock, method=method)
    raw.begin()
    return urllib3.HTTPResponse(body=raw,
                                headers=urllib3.HTTPHeaderDict(raw.msg.items()),
                                status=raw.status,
                                preload_content=False,
                                decode_content=False,
                                request_method=method,
                                original_response=raw)


def _read_body(pool: connections.Pool, taken: connections.Connection,
               order: Order, response: urllib3.HTTPResponse,
               fields: ports.AnswerHeaders) -> Result:
    headers = [(name, value)
               for name, value in response.headers.items()
               if name.lower() not in header_names.HOP_BY_HOP]
    without = order.method == 'HEAD' or response.status in _NO_BODY_STATUSES
    body = b'' if without else response.read(decode_content=False)
    framed = (without or 'Content-Length' in response.headers or
              'Transfer-Encoding' in response.headers)
    if not without:
        headers = [
            item for item in headers if item[0].lower() != 'content-length'
        ]
        headers.append(('Content-Length', str(len(body))))
    if framed and not fields.closes_connection and _is_clean(taken):
        if fields.keep_alive_ms is not None:
            taken.keep_alive_ms = fields.keep_alive_ms
        pool.release(taken)
    else:
        pool.discard(taken)
    answer = transport.make_complete_answer(response.status, headers, body)
    return Reply(answer, fields, taken.opened_at)


def _is_clean(taken: connections.Connection) -> bool:
    """Returns whether nothing follows the answer that was read."""
    sock = taken.http.sock
    if sock is None:
        return False
    sock.settimeout(0.0)
    try:
        return not taken.http.lentilmoor_reader.peek(1)
    except (OSError, ValueError):
        return False
