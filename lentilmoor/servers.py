"""The adapter of backend servers: what they are told and asked.

This module alone knows their wire format: fenced grants, health, load, drain
and cancellation over HTTP, and the headers that go along with each request.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import math
from typing import Any
from typing import TypeVar

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor import ranges

REQUEST_ID_HEADER = 'Request-Id'
DEADLINE_HEADER = 'Deadline-Ms'
KEY_HEADER = 'Key'
POINT_HEADER = 'Key-Point'
EPOCH_HEADER = 'Grant-Epoch'
SEQUENCE_HEADER = 'Grant-Sequence'
NOT_RUN_HEADER = 'Not-Run'
RESERVED_HEADERS = (REQUEST_ID_HEADER, DEADLINE_HEADER, KEY_HEADER,
                    POINT_HEADER, EPOCH_HEADER, SEQUENCE_HEADER)

GRANT_PATH = '/control/grant'
ASK_PATH = '/control/ask'
DRAIN_PATH = '/control/drain'
CANCEL_PATH = '/control/cancel'
HEALTH_PATH = '/control/health'
LOAD_PATH = '/control/load'

# The share of a call's time that a kept connection gets to answer in.
KEPT_CONNECTION_SHARE = 0.4

_IDLE_CONNECTIONS = 2
_OK = 200
_FIRST_ERROR = 400
_CONFLICT = 409

_Reason = outcomes.Reason
_Parsed = TypeVar('_Parsed')

_REFUSALS = {
    'not-granted': _Reason.NOT_GRANTED,
    'shed': _Reason.SERVER_SHED,
    'leaving': _Reason.SERVER_SHED,
    'deadline': _Reason.DEADLINE_PASSED,
    'cancelled': _Reason.CANCELLED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OrderHeaders:
    """What a server is told with each request.

    Attributes:
      request_id: Unique over all entries; names it in a cancellation.
      remaining_ms: Time left until the deadline.
      key: The key, or ''.
      point: Its point in the hash space.
      epoch: Fence of the route, first part.
      sequence: Fence of the route, second part.
    """

    request_id: str
    remaining_ms: float
    key: str
    point: int
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantOrder:
    """A fenced grant of points of the hash space.

    Attributes:
      shard: The shard.
      epoch: Fence, first part.
      sequence: Fence, second part.
      clock_echo_ms: The server's own clock in an earlier answer.
      lifetime_ms: Counted from `clock_echo_ms`.
      owned: The points; None renews what it holds under this fence.
    """

    shard: str
    epoch: int
    sequence: int
    clock_echo_ms: float
    lifetime_ms: float
    owned: tuple[ranges.Range, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswer:
    """The server accepted a grant.

    Attributes:
      clock_ms: Its clock.
      running: Requests that still run on points it no longer holds.
    """

    clock_ms: float
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRefused:
    """The server holds a newer fence, or nothing to renew.

    Attributes:
      clock_ms: Its clock.
      epoch: Fence that it holds, first part.
      sequence: Fence that it holds, second part.
    """

    clock_ms: float
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldAnswer:
    """What a server holds.

    Attributes:
      clock_ms: Its clock.
      epoch: Fence, first part.
      sequence: Fence, second part.
      running: Requests that still run on points it does not hold.
      owned: The points that it holds, or held until its grant ended.
      remaining_ms: What is left of the grant; 0 if it has ended.
    """

    clock_ms: float
    epoch: int
    sequence: int
    running: int = 0
    owned: tuple[ranges.Range, ...] = ()
    remaining_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What a server says of itself; it may lag or mislead.

    Attributes:
      serving: Whether it claims to serve.
      leaving: Whether it wants no new work.
    """

    serving: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A server's own report of its load, which lags.

    Attributes:
      running: Requests that run.
      queued: Requests that wait in it.
      age_ms: Age of the report.
    """

    running: int
    queued: int
    age_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """Control of backend servers; every call ends by a deadline.

    Attributes:
      grant: (address, order) -> answer.
      ask: (address, epoch) -> what it holds; raises its fence to the epoch.
      drain: (address) -> None, or why not.
      cancel: (address, request id) -> None, or why not.
      health: (address, timeout_ms) -> health, over a fresh connection.
      load: (address) -> load.
    """

    grant: Callable[[str, GrantOrder],
                    GrantAnswer | GrantRefused | outcomes.Failed]
    ask: Callable[[str, int | None], HeldAnswer | outcomes.Failed]
    drain: Callable[[str], outcomes.Failed | None]
    cancel: Callable[[str, str], outcomes.Failed | None]
    health: Callable[[str, float], Health | outcomes.Failed]
    load: Callable[[str], Load | outcomes.Failed]


def connect_servers(clock: clocks.Clock, timeout_ms: float) -> Servers:
    """Returns the control of servers; connects when called.

    Args:
      clock: This process's time.
      timeout_ms: Deadline of a call.
    """
    kept = httpclient.Client(clock, _IDLE_CONNECTIONS)

    def post(address: str, path: str,
             body: dict[str, Any]) -> httpclient.Reply | outcomes.Failed:
        request = httpclient.Request('POST', path,
                                     json.dumps(body).encode(),
                                     {'Content-Type': 'application/json'})
        return _call_twice(kept, clock, address, request, timeout_ms)

    def get(address: str, path: str,
            limit_ms: float) -> httpclient.Reply | outcomes.Failed:
        """Reads over a connection of its own: an old one may be silent."""
        fresh = httpclient.Client(clock, _IDLE_CONNECTIONS)
        try:
            return fresh.call(address, httpclient.Request('GET', path),
                              limit_ms)
        finally:
            fresh.discard_connections(address)

    def grant(
            address: str,
            order: GrantOrder) -> GrantAnswer | GrantRefused | outcomes.Failed:
        return _read_grant(post(address, GRANT_PATH, _write_grant(order)))

    def ask(address: str, epoch: int | None) -> HeldAnswer | outcomes.Failed:
        return _parse(post(address, ASK_PATH, {'epoch': epoch}), _read_held)

    def drain(address: str) -> outcomes.Failed | None:
        return _read_done(post(address, DRAIN_PATH, {}))

    def cancel(address: str, request_id: str) -> outcomes.Failed | None:
        body = {'request_id': request_id}
        return _read_done(post(address, CANCEL_PATH, body))

    def health(address: str, limit_ms: float) -> Health | outcomes.Failed:
        reply = get(address, HEALTH_PATH, limit_ms)
        if isinstance(reply, outcomes.Failed):
            return reply
        health = _parse(reply, _read_health)
        # Any answer proves life, also one that makes no sense.
        if isinstance(health, outcomes.Failed):
            return Health(serving=False, leaving=False)
        return health

    def load(address: str) -> Load | outcomes.Failed:
        return _parse(get(address, LOAD_PATH, timeout_ms), _read_load)

    return Servers(grant, ask, drain, cancel, health, load)


def put_headers(headers: dict[str, str], order: OrderHeaders) -> None:
    """Adds what a server is told with a request to its headers."""
    headers[REQUEST_ID_HEADER] = order.request_id
    headers[DEADLINE_HEADER] = str(max(1, int(order.remaining_ms)))
    headers[EPOCH_HEADER] = str(order.epoch)
    headers[SEQUENCE_HEADER] = str(order.sequence)
    if order.key:
        headers[KEY_HEADER] = order.key
        headers[POINT_HEADER] = str(order.point)


def read_refusal(headers: Iterable[tuple[str, str]],
                 status: int) -> _Reason | None:
    """Returns why a server did not run a request, if its answer says so.

    Args:
      headers: Header fields of the answer.
      status: Its status; an answer that reports success was run, whatever its
        headers say.
    """
    if status < _FIRST_ERROR:
        return None
    for name, value in headers:
        if name.lower() == NOT_RUN_HEADER.lower():
            return _REFUSALS.get(value, _Reason.SERVER_SHED)
    return None


def _call_twice(kept: httpclient.Client, clock: clocks.Clock, address: str,
                request: httpclient.Request,
                timeout_ms: float) -> httpclient.Reply | outcomes.Failed:
    """Calls, and once more on a fresh connection if an old one was silent.

    Every call of control may be repeated: grants are fenced and count their
    lifetime from an echoed clock, so that a late duplicate changes nothing.
    """
    ends = clock.now() + timeout_ms
    if kept.may_have_idle(address):
        result = kept.call(address, request, timeout_ms * KEPT_CONNECTION_SHARE)
        if isinstance(result, httpclient.Reply):
            return result
        if result.reason is _Reason.CONNECT_FAILED:
            return result
    return kept.call(address, request, ends - clock.now())


def _write_grant(order: GrantOrder) -> dict[str, Any]:
    owned = None
    if order.owned is not None:
        owned = [list(item) for item in order.owned]
    echo = order.clock_echo_ms
    return {
        'shard': order.shard,
        'epoch': order.epoch,
        'sequence': order.sequence,
        # A clock not heard of yet: the grant has ended on arrival.
        'clock_echo_ms': echo if math.isfinite(echo) else 0.0,
        'lifetime_ms': order.lifetime_ms,
        'ranges': owned,
    }


def _read_grant(
    reply: httpclient.Reply | outcomes.Failed
) -> GrantAnswer | GrantRefused | outcomes.Failed:
    if isinstance(reply, httpclient.Reply) and reply.status == _CONFLICT:
        return _parse(reply, _read_grant_refusal)
    return _parse(reply, _read_grant_answer)


def _read_grant_answer(body: dict[str, Any]) -> GrantAnswer:
    return GrantAnswer(float(body['clock_ms']), int(body['running']))


def _read_grant_refusal(body: dict[str, Any]) -> GrantRefused:
    return GrantRefused(float(body['clock_ms']), int(body['epoch']),
                        int(body['sequence']))


def _read_held(body: dict[str, Any]) -> HeldAnswer:
    owned = tuple((int(first), int(last)) for first, last in body['ranges'])
    return HeldAnswer(float(body['clock_ms']), int(body['epoch']),
                      int(body['sequence']), int(body['running']), owned,
                      float(body['remaining_ms']))


def _read_health(body: dict[str, Any]) -> Health:
    return Health(bool(body['serving']), bool(body['leaving']))


def _read_load(body: dict[str, Any]) -> Load:
    return Load(int(body['running']), int(body['queued']),
                float(body['age_ms']))


def _parse(
        reply: httpclient.Reply | outcomes.Failed,
        read: Callable[[dict[str, Any]], _Parsed]) -> _Parsed | outcomes.Failed:
    if isinstance(reply, outcomes.Failed):
        return reply
    if reply.status not in (_OK, _CONFLICT):
        return outcomes.Failed(_Reason.INVALID, f'status {reply.status}')
    try:
        return read(json.loads(reply.body))
    except (ValueError, KeyError, TypeError) as error:
        return outcomes.Failed(_Reason.INVALID, f'unexpected answer: {error!r}')


def _read_done(
        reply: httpclient.Reply | outcomes.Failed) -> outcomes.Failed | None:
    if isinstance(reply, outcomes.Failed):
        return reply
    if reply.status != _OK:
        return outcomes.Failed(_Reason.INVALID, f'status {reply.status}')
    return None
