"""One attempt: sends a request to one server or entry and reads the answer.

It distinguishes requests that certainly did not run (no byte was sent, or the
server rejected the request before it began) from those that may have run, and
never returns a truncated answer as a complete one.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import http.client
import math

import urllib3
import urllib3.exceptions

from lentilmoor import answerheads
from lentilmoor import bodies
from lentilmoor import boundedreads
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import headers as header_names
from lentilmoor import outcomes

CHUNK_BYTES = 64 * 1024
# A streamed answer is given up when no byte arrives for this long.
STREAM_IDLE_TIMEOUT_MS = 10_000.0
# A streamed answer that began by the request's deadline ends after this time at
# the latest, however its bytes arrive.
MAX_STREAM_MS = 300_000.0
# The timeout on a reused connection is at least this multiple of the server's
# mean service time, so that a slow server isn't taken for a lost connection.
REUSED_TIMEOUT_FACTOR = 6.0

_Reason = outcomes.Reason
_NO_BODY_STATUSES = frozenset((204, 304))
_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException,
                      OSError)


class TruncatedAnswerError(Exception):
    """The answer ended before its declared length or its last chunk."""


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer whose status line and headers have been received.

    Attributes:
      status: HTTP status.
      headers: Name and value pairs, without hop-by-hop headers.
      body: The complete body if it was small enough to be read at once.
      remaining_chunks: Chunks that follow `body`, or None if `body` is
        complete. Iterating raises `TruncatedAnswerError` if the answer ends
        early.
      close: Closes the connection; must be called unless all chunks are read.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | bytearray
    remaining_chunks: Iterator[bytes] | None
    close: Callable[[], None]


Result = Answer | outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """The request that one attempt sends.

    Attributes:
      method: HTTP method.
      target: Path and query.
      headers: Headers without hop-by-hop ones.
      body: The complete body, an iterator of its chunks, or None.
      chunked: Whether to send the body in chunked coding, as its length is
        unknown.
      remaining_ms: Time left until the deadline.
      idempotent: Whether the request may be run more than once.
      new_connection: Whether only a new connection may be used.
      mean_service_ms: Mean service time of the server.
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
    """The result of one attempt and the state of its connection.

    Attributes:
      result: The answer, or why there is none.
      reused: Whether the connection had carried another request before.
      opened_at: When the connection was opened, ms; 0 if there was none.
    """

    result: Result
    reused: bool = False
    opened_at: float = 0.0


def make_complete_answer(status: int, headers: list[tuple[str, str]],
                         body: bytes | bytearray) -> Answer:
    """Returns an answer whose body has been received completely."""
    return Answer(status, headers, body, None, _do_nothing_on_close)


def send_request(pool: connections.Pool, outbound: OutboundRequest) -> Attempt:
    """Sends a request and reads the start of its answer.

    Args:
      pool: Connections to the server.
      outbound: The request to send.

    Returns:
      The result: the answer (complete if it is small) or why there is none.
    """
    deadline_at = pool.clock.now() + outbound.remaining_ms
    connection = pool.acquire(outbound.idempotent, outbound.new_connection,
                              outbound.remaining_ms)
    if isinstance(connection, outcomes.Failed):
        return Attempt(outcomes.NotRun(connection.reason, connection.detail))
    return Attempt(_exchange(pool, connection, outbound, deadline_at),
                   connection.reused, connection.opened_at)


def _exchange(pool: connections.Pool, connection: connections.Connection,
              outbound: OutboundRequest, deadline_at: float) -> Result:
    # The connection forgets its reader if the server announces its close.
    reader = connection.http.reader
    try:
        response = _send(pool.limits, connection, outbound)
    except bodies.BodyError as error:
        pool.discard(connection)
        return outcomes.Unknown(_Reason.BAD_REQUEST, str(error))
    except TimeoutError:
        pool.discard(connection, timed_out=True)
        return outcomes.Unknown(_Reason.TIMED_OUT, 'no answer in time')
    except _CONNECTION_ERRORS as error:
        pool.discard(connection)
        return _describe_error(error, _Reason.CONNECTION_LOST)
    reader.deadline_at = deadline_at
    reader.remaining_bytes = math.inf  # Long answers are streamed.
    reader.idle_timeout_ms = STREAM_IDLE_TIMEOUT_MS
    return _read_answer(pool, connection, reader, response, outbound.method)


def _send(limits: connections.PoolLimits, connection: connections.Connection,
          outbound: OutboundRequest) -> urllib3.HTTPResponse:
    timeout_ms = connections.find_answer_timeout(limits, connection,
                                                 outbound.idempotent,
                                                 outbound.remaining_ms)
    timeout_ms = min(
        max(timeout_ms, outbound.mean_service_ms * REUSED_TIMEOUT_FACTOR),
        outbound.remaining_ms)
    connection.http.timeout = timeout_ms / clocks.MS_PER_S
    try:
        connection.http.request(outbound.method,
                                outbound.target,
                                body=outbound.body,
                                headers=outbound.headers,
                                chunked=outbound.chunked,
                                preload_content=False,
                                decode_content=False)
    except (BrokenPipeError, ConnectionResetError):
        # The server may have answered before it read the complete body.
        if outbound.body is None:
            raise
    return connection.http.getresponse()


def _read_answer(pool: connections.Pool, connection: connections.Connection,
                 reader: boundedreads.SocketReader,
                 response: urllib3.HTTPResponse, method: str) -> Result:
    headers = [(name, value)
               for name, value in response.headers.items()
               if name.lower() not in header_names.HOP_BY_HOP]
    if method == 'HEAD' or response.status in _NO_BODY_STATUSES:
        pool.release(connection)
        return make_complete_answer(response.status, headers, b'')
    length = response.length_remaining
    if length is None and not response.chunked:
        pool.discard(connection)
        return outcomes.Unknown(
            _Reason.ANSWER_CUT,
            'the answer has no length and no chunks, so its end is unknown')
    if length is None or length > CHUNK_BYTES:
        reader.deadline_at = max(reader.deadline_at,
                                 pool.clock.now() + MAX_STREAM_MS)
        return Answer(response.status, headers, b'',
                      _stream(pool, connection, response),
                      lambda: pool.discard(connection))
    try:
        body = response.read(decode_content=False)
    except _CONNECTION_ERRORS as error:
        pool.discard(connection)
        return _describe_error(error, _Reason.ANSWER_CUT)
    pool.release(connection)
    return make_complete_answer(response.status, headers, body)


def _stream(pool: connections.Pool, connection: connections.Connection,
            response: urllib3.HTTPResponse) -> Iterator[bytes]:
    try:
        while data := response.read(CHUNK_BYTES, decode_content=False):
            yield data
    except _CONNECTION_ERRORS as error:
        raise TruncatedAnswerError(str(error)) from error
    pool.release(connection)


def _describe_error(error: Exception,
                    reason: outcomes.Reason) -> outcomes.Unknown:
    """Returns the outcome of an error, with its fault or for a reason."""
    malformed = answerheads.find_malformed(error)
    if malformed is not None:
        return outcomes.Unknown(_Reason.ANSWER_CUT, str(malformed))
    return outcomes.Unknown(reason, type(error).__name__)


def _do_nothing_on_close() -> None:
    """Replaces `Answer.close` where there is no connection to close."""
