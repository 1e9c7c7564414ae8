"""State and messages of requests that entries pass to other entries."""

import dataclasses
import threading
from typing import Annotated

import msgspec

from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import ports

PATH = '/proxy'
# Lower ones belong to interim answers.
_MIN_FINAL_STATUS = 200


class ProxiedRequest(msgspec.Struct, frozen=True):
    """A caller's request that another entry is to forward to a server.

    Attributes:
      request_id: Id of the request, as the caller sent it.
      caller_timeout_ms: How long the caller still waits.
      key: The request's key; None if there is none.
      method: HTTP method.
      host: Host header.
      path: Path without the query.
      target: Path and query.
      headers: Headers that are forwarded to the server.
      body: The complete body.
      counted: Whether it counts as a request in the retry budget of an entry
        already.
      may_have_run: Whether another entry may have sent it to a server.
      age_ms: How long ago the caller may have sent it, at most.
    """

    request_id: str
    caller_timeout_ms: float
    key: int | None
    method: str
    host: str
    path: str
    target: str
    headers: dict[str, str]
    body: bytes
    counted: bool = False
    may_have_run: bool = False
    age_ms: float = 0.0


class ProxiedOutcome(msgspec.Struct, frozen=True):
    """The outcome of a proxied request.

    Attributes:
      status: Status of a server's answer; 0 if there is none.
      headers: Headers of the answer.
      body: Body of the answer.
      reason: Value of the reason if there is no answer.
      detail: A sentence for people.
      retry_after_ms: As in the outcome.
      may_have_run: Whether the request may have run.
      request_id: Id of the request; empty from an entry of an earlier release.
    """

    status: Annotated[int, msgspec.Meta(ge=0, le=599)] = 0
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    reason: str = ''
    detail: str = ''
    retry_after_ms: int = 0
    may_have_run: bool = False
    request_id: str = ''


@dataclasses.dataclass(slots=True)
class ProxyTable:
    """Requests that pass through other entries; thread-safe.

    Attributes:
      pools: Connections to other entries, by address.
      willing: Addresses of entries that accepted a request last time.
      unwilling_until: When an entry that accepted none is asked again, ms, by
        address.
      asked_again_at: When any entry is asked again after none accepted a
        request, ms.
      accepted_count: Requests of other entries that are in progress here.
      lock: Guards all other attributes.
    """

    pools: dict[str, connections.Pool] = dataclasses.field(default_factory=dict)
    willing: set[str] = dataclasses.field(default_factory=set)
    unwilling_until: dict[str, float] = dataclasses.field(default_factory=dict)
    asked_again_at: float = 0.0
    accepted_count: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


encode = msgspec.msgpack.Encoder().encode
_decode_request = msgspec.msgpack.Decoder(ProxiedRequest).decode
_decode_outcome = msgspec.msgpack.Decoder(ProxiedOutcome).decode


def decode_request(data: bytes) -> ProxiedRequest | None:
    """Returns a decoded request, or None if it is invalid."""
    try:
        return _decode_request(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def decode_outcome(
    data: bytes, request_id: str
) -> transport.Answer | outcomes.NotRun | outcomes.Unknown | None:
    """Returns a decoded outcome, or None if it is invalid or foreign.

    Args:
      data: The encoded outcome.
      request_id: Id of the request that was passed on. Entries of an earlier
        release don't say whose outcome it is, which is accepted.
    """
    try:
        message = _decode_outcome(data)
        if message.request_id not in ('', request_id):
            return None
        if 0 < message.status < _MIN_FINAL_STATUS:
            return None
        if message.status:
            return transport.make_complete_answer(message.status,
                                                  message.headers, message.body)
        kind = outcomes.Unknown if message.may_have_run else outcomes.NotRun
        return kind(outcomes.Reason(message.reason), message.detail,
                    message.retry_after_ms)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


def encode_outcome(outcome: transport.Answer | outcomes.NotRun |
                   outcomes.Unknown, request_id: str) -> bytes:
    """Returns the encoded outcome of a request."""
    if isinstance(outcome, transport.Answer):
        return encode(
            ProxiedOutcome(outcome.status,
                           outcome.headers,
                           outcome.body,
                           request_id=request_id))
    return encode(
        ProxiedOutcome(reason=outcome.reason.value,
                       detail=outcome.detail,
                       retry_after_ms=outcome.retry_after_ms,
                       may_have_run=isinstance(outcome, outcomes.Unknown),
                       request_id=request_id))


def parse_answer_headers(unused_status, unused_headers) -> ports.AnswerHeaders:
    """Returns what the headers of another entry's reply state: nothing."""
    return ports.AnswerHeaders(request_id='',
                               not_run=False,
                               has_proof=True,
                               load=None,
                               keep_alive_ms=None,
                               closes_connection=False)
