"""One try: a request sent to one server or entry, and what came of it.

The only place that sends callers' requests on. It tells apart what certainly
did not run (no byte left, or the server said so before starting) from what
may have run, and never takes a cut answer for a whole one.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import http.client

import urllib3
import urllib3.exceptions

from lentilmoor import bodies
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import headers as header_names
from lentilmoor import outcomes

CHUNK_BYTES = 64 * 1024
# A streamed answer that brings nothing for so long is cut.
STREAM_IDLE_TIMEOUT_MS = 10_000.0
# A used connection counts as silent only after this many mean times.
REUSED_TIMEOUT_FACTOR = 6.0

_Reason = outcomes.Reason
_NO_BODY_STATUSES = frozenset((204, 304))
_BROKEN = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


class TruncatedAnswerError(Exception):
    """The answer ended before its announced end."""


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer whose status line and headers have arrived.

    Attributes:
      status: HTTP status.
      headers: Name and value pairs, without hop-by-hop headers.
      body: The whole body, if it was small enough to be read at once.
      remaining_chunks: Chunks that follow `body`, or None if `body` is whole.
        Iterating raises `TruncatedAnswerError` if the answer ends early.
      close: Gives the connection up; to be called if not all chunks are read.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    remaining_chunks: Iterator[bytes] | None
    close: Callable[[], None]


Result = Answer | outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """What one try sends.

    Attributes:
      method: HTTP method.
      target: Path and query.
      headers: Headers, hop-by-hop ones left out.
      body: Whole body, an iterator of its chunks, or None.
      chunked: Whether the body's length is not known.
      remaining_ms: Time left until the deadline.
      idempotent: Whether the request may be run more than once.
      new_connection: Whether only a new connection will do.
      mean_service_ms: Mean time of service at the server.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | Iterator[bytes] | None
    chunked: bool
    remaining_ms: float
    idempotent: bool
    new_connection: bool = False
    mean_service_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try and what it tells of its connection.

    Attributes:
      result: What came of it.
      reused: Whether its connection had served before.
      opened_at: When its connection was opened, ms; 0 if there was none.
    """

    result: Result
    reused: bool = False
    opened_at: float = 0.0


def make_complete_answer(status: int, headers: list[tuple[str, str]],
                         body: bytes) -> Answer:
    """Returns an answer that is here as a whole."""
    return Answer(status, headers, body, None, _do_nothing)


def send_request(pool: connections.Pool, order: OutboundRequest) -> Attempt:
    """Sends a request and reads the start of its answer.

    Args:
      pool: Connections to the server.
      order: What to send.

    Returns:
      The answer (whole if it is small), or why there is none.
    """
    taken = pool.acquire(order.idempotent, order.new_connection,
                         order.remaining_ms)
    if isinstance(taken, outcomes.Failed):
        return Attempt(outcomes.NotRun(taken.reason, taken.detail))
    return Attempt(_exchange(pool, taken, order), taken.reused, taken.opened_at)


def _exchange(pool: connections.Pool, taken: connections.Connection,
              order: OutboundRequest) -> Result:
    try:
        response = _send(pool.limits, taken, order)
    except bodies.BodyError as error:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.BAD_REQUEST, str(error))
    except TimeoutError:
        pool.discard(taken, timed_out=True)
        return outcomes.Unknown(_Reason.TIMED_OUT, 'no answer in time')
    except _BROKEN as error:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.CONNECTION_LOST, type(error).__name__)
    return _read_start(pool, taken, response, order.method)


def _send(rules: connections.PoolLimits, taken: connections.Connection,
          order: OutboundRequest) -> urllib3.HTTPResponse:
    wait_ms = connections.find_answer_timeout(rules, taken, order.idempotent,
                                              order.remaining_ms)
    wait_ms = min(max(wait_ms, order.mean_service_ms * REUSED_TIMEOUT_FACTOR),
                  order.remaining_ms)
    taken.http.timeout = wait_ms / clocks.MS_PER_S
    try:
        taken.http.request(order.method,
                           order.target,
                           body=order.body,
                           headers=order.headers,
                           chunked=order.chunked,
                           preload_content=False,
                           decode_content=False)
    except (BrokenPipeError, ConnectionResetError):
        # The server may have answered before it had read the whole body.
        if order.body is None:
            raise
    return taken.http.getresponse()


def _read_start(pool: connections.Pool, taken: connections.Connection,
                response: urllib3.HTTPResponse, method: str) -> Result:
    headers = [(name, value)
               for name, value in response.headers.items()
               if name.lower() not in header_names.HOP_BY_HOP]
    if method == 'HEAD' or response.status in _NO_BODY_STATUSES:
        pool.release(taken)
        return make_complete_answer(response.status, headers, b'')
    length = response.length_remaining
    if length is None and not response.chunked:
        pool.discard(taken)
        return outcomes.Unknown(
            _Reason.ANSWER_CUT,
            'the answer has no length, so its end cannot be told')
    if length is None or length > CHUNK_BYTES:
        return Answer(response.status, headers, b'',
                      _stream(pool, taken, response),
                      lambda: pool.discard(taken))
    try:
        body = response.read(decode_content=False)
    except _BROKEN:
        pool.discard(taken)
        return outcomes.Unknown(_Reason.ANSWER_CUT,
                                'the answer ended before its announced end')
    pool.release(taken)
    return make_complete_answer(response.status, headers, body)


def _stream(pool: connections.Pool, taken: connections.Connection,
            response: urllib3.HTTPResponse) -> Iterator[bytes]:
    if taken.http.sock is not None:
        taken.http.sock.settimeout(STREAM_IDLE_TIMEOUT_MS / clocks.MS_PER_S)
    try:
        yield from response.stream(CHUNK_BYTES, decode_content=False)
    except _BROKEN as error:
        raise TruncatedAnswerError(str(error)) from error
    pool.release(taken)


def _do_nothing() -> None:
    """Stands where there is no connection to give up."""
