"""Client side of the peer protocol: one link to each peer that is called.

Everything here runs on the peer adapter's asyncio loop, but for the futures
that callers on other threads wait for. A link bounds its calls, ends each by
its deadline, and is given up when it goes silent: nothing came back while a
call timed out. A peer that fails again and again is held off for a while, so
that no storm of connections falls on it.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import asyncio
import collections
from concurrent import futures
import dataclasses
import ssl

import grpclib
from grpclib import client
from grpclib import const
from grpclib import exceptions as grpc_exceptions

from lentilmoor import clocks
from lentilmoor import listeners
from lentilmoor import outcomes
from lentilmoor.protocol import peer_grpc
from lentilmoor.protocol import peer_pb2

_LONGEST_SHIFT = 16
_Cause = peer_pb2.Refusal.Cause

_REASONS = {
    _Cause.UNAVAILABLE: outcomes.Reason.PEER_UNAVAILABLE,
    _Cause.OVERLOADED: outcomes.Reason.OVERLOADED,
    _Cause.NOT_UNDERSTOOD: outcomes.Reason.INVALID,
}


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLimits:
    """Bounds of the client side.

    Attributes:
      in_flight: Calls to one peer at once.
      queue: Calls to one peer that wait for their turn.
      links: Peers to which a link is kept open.
      idle_ms: A link that carried no call for so long is closed.
      failures_before_hold: Failures in a row before a peer is held off.
      hold_ms: First hold; doubles with each further failure.
      longest_hold_ms: Upper bound of a hold.
    """

    in_flight: int = 16
    queue: int = 64
    links: int = 64
    idle_ms: float = 45_000.0
    failures_before_hold: int = 3
    hold_ms: float = 50.0
    longest_hold_ms: float = 1_000.0


@dataclasses.dataclass(slots=True)
class LinkCounters:
    """Counters of the client side; only its loop writes them."""

    calls: int = 0
    timed_out: int = 0
    failed: int = 0
    overloaded: int = 0
    held: int = 0
    connections: int = 0


@dataclasses.dataclass(slots=True)
class _Call:
    """One call that has not ended yet."""

    envelope: peer_pb2.Envelope
    future: futures.Future
    deadline: float
    timer: asyncio.TimerHandle
    began: float


@dataclasses.dataclass(slots=True)
class _Link:
    """One peer; `task` runs while a connection to it stands or is tried."""

    address: str
    waiting: collections.deque[_Call] = dataclasses.field(
        default_factory=collections.deque)
    pending: dict[int, _Call] = dataclasses.field(default_factory=dict)
    work: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None
    failures: int = 0
    held_until: float = 0.0
    heard_at: float = 0.0
    used_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Links:
    """All links of one entry."""

    limits: LinkLimits
    clock: clocks.Clock
    token: str
    tls: ssl.SSLContext | None
    counters: LinkCounters
    by_address: dict[str, _Link] = dataclasses.field(default_factory=dict)
    last_id: int = 0
    stopping: bool = False


def submit(links: Links, address: str, envelope: peer_pb2.Envelope,
           timeout_ms: float, future: futures.Future) -> None:
    """Starts a call.

    Args:
      links: All links.
      address: host:port of the peer.
      envelope: The request; gets its id and what remains of the deadline.
      timeout_ms: When the call ends at the latest.
      future: Gets the reply's message or an `outcomes.Failed`.
    """
    links.counters.calls += 1
    now = links.clock.now()
    if links.stopping:
        future.set_result(outcomes.Failed(outcomes.Reason.SHUTTING_DOWN))
        return
    link = _find_link(links, address)
    refusal = _find_refusal(links, link, now)
    if refusal is not None:
        future.set_result(refusal)
        return
    links.last_id += 1
    link.used_at = now
    envelope.id = links.last_id
    timer = asyncio.get_running_loop().call_later(timeout_ms / clocks.MS_PER_S,
                                                  _expire, links, link,
                                                  envelope.id)
    call = _Call(envelope, future, now + timeout_ms, timer, now)
    link.pending[envelope.id] = call
    link.waiting.append(call)
    link.work.set()
    if link.task is None:
        running = _run_link(links, link)
        link.task = asyncio.get_running_loop().create_task(running)


def read_heard(links: Links, address: str) -> float:
    """Returns when a peer last sent something, ms; 0 if never."""
    link = links.by_address.get(address)
    return 0.0 if link is None else link.heard_at


def close_idle(links: Links) -> None:
    """Closes links that carried no call for long."""
    oldest = links.clock.now() - links.limits.idle_ms
    for link in list(links.by_address.values()):
        if not link.pending and link.used_at <= oldest:
            _forget(links, link)


def stop(links: Links) -> None:
    """Closes all links; calls that run fail."""
    links.stopping = True
    for link in list(links.by_address.values()):
        _forget(links, link)


def _find_link(links: Links, address: str) -> _Link:
    link = links.by_address.get(address)
    if link is None:
        _make_room(links)
        link = _Link(address)
        links.by_address[address] = link
    return link


def _make_room(links: Links) -> None:
    if len(links.by_address) < links.limits.links:
        return
    idle = [link for link in links.by_address.values() if not link.pending]
    if idle:
        _forget(links, min(idle, key=lambda link: link.used_at))


def _forget(links: Links, link: _Link) -> None:
    del links.by_address[link.address]
    _close(links, link)


def _close(links: Links, link: _Link) -> None:
    # Its calls end here: a task that has not begun runs no clean-up.
    _fail_calls(links, link, outcomes.Reason.PEER_UNAVAILABLE, 'link closed')
    if link.task is not None:
        link.task.cancel()


def _find_refusal(links: Links, link: _Link,
                  now: float) -> outcomes.Failed | None:
    if now < link.held_until:
        links.counters.held += 1
        return outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE,
                               f'{link.address}: held off after failures')
    limits = links.limits
    if len(link.pending) >= limits.in_flight + limits.queue:
        links.counters.overloaded += 1
        return outcomes.Failed(outcomes.Reason.OVERLOADED,
                               f'{link.address}: queue is full')
    return None


def _expire(links: Links, link: _Link, call_id: int) -> None:
    call = link.pending.pop(call_id, None)
    if call is None:
        return
    links.counters.timed_out += 1
    call.future.set_result(
        outcomes.Failed(outcomes.Reason.TIMED_OUT, link.address))
    sent = call not in link.waiting
    if not sent:
        link.waiting.remove(call)
    link.work.set()
    if sent and link.heard_at <= call.began and link.task is not None:
        _give_up(links, link)


def _give_up(links: Links, link: _Link) -> None:
    # Silent: the next call gets a fresh connection at once.
    _close(links, link)
    fresh = _Link(link.address,
                  failures=link.failures,
                  heard_at=link.heard_at,
                  used_at=link.used_at)
    _note_failure(links, fresh)
    if links.by_address.get(link.address) is link:
        links.by_address[link.address] = fresh


async def _run_link(links: Links, link: _Link) -> None:
    reason = outcomes.Reason.PEER_UNAVAILABLE
    detail = 'link closed'
    host, _, port = link.address.rpartition(':')
    channel = client.Channel(host.strip('[]'), int(port), ssl=links.tls)
    try:
        links.counters.connections += 1
        await _carry(links, link, channel)
    except grpclib.GRPCError as error:
        detail = str(error.message)
        if error.status is const.Status.UNAUTHENTICATED:
            reason = outcomes.Reason.NOT_AUTHORIZED
    except (OSError, grpc_exceptions.ProtocolError,
            grpc_exceptions.StreamTerminatedError) as error:
        detail = str(error)
    finally:
        channel.close()
        link.task = None
        _note_failure(links, link)
        _fail_calls(links, link, reason, detail)


async def _carry(links: Links, link: _Link, channel: client.Channel) -> None:
    opened = peer_grpc.PeerStub(channel).Link.open(
        metadata={listeners.SECRET_HEADER: links.token})
    async with opened as stream:
        await stream.send_request()
        writing = asyncio.create_task(_write(links, link, stream))
        try:
            await stream.recv_initial_metadata()
            async for envelope in stream:
                _take_reply(links, link, envelope)
        finally:
            # Should writing fail, reading fails as well and tells why.
            writing.cancel()
            await asyncio.gather(writing, return_exceptions=True)


async def _write(links: Links, link: _Link, stream: client.Stream) -> None:
    while True:
        await link.work.wait()
        link.work.clear()
        while link.waiting and _count_sent(link) < links.limits.in_flight:
            call = link.waiting.popleft()
            left = call.deadline - links.clock.now()
            call.envelope.remaining_ms = max(int(left), 1)
            await stream.send_message(call.envelope)


def _count_sent(link: _Link) -> int:
    return len(link.pending) - len(link.waiting)


def _take_reply(links: Links, link: _Link, envelope: peer_pb2.Envelope) -> None:
    link.heard_at = links.clock.now()
    link.failures = 0
    call = link.pending.pop(envelope.id, None)
    if call is None:
        return  # It came after its deadline.
    call.timer.cancel()
    if link.waiting:
        link.work.set()
    call.future.set_result(_unwrap(links, link, envelope))


def _unwrap(links: Links, link: _Link, envelope: peer_pb2.Envelope):
    kind = envelope.WhichOneof('body')
    if kind is None:
        links.counters.failed += 1
        return outcomes.Failed(outcomes.Reason.INVALID, link.address)
    body = getattr(envelope, kind)
    if not isinstance(body, peer_pb2.Refusal):
        return body
    links.counters.failed += 1
    reason = _REASONS.get(body.cause, outcomes.Reason.PEER_UNAVAILABLE)
    return outcomes.Failed(reason, f'{link.address}: {body.detail}')


def _note_failure(links: Links, link: _Link) -> None:
    link.failures += 1
    excess = link.failures - links.limits.failures_before_hold
    if excess < 0:
        return
    hold = links.limits.hold_ms * 2**min(excess, _LONGEST_SHIFT)
    hold = min(hold, links.limits.longest_hold_ms)
    link.held_until = links.clock.now() + hold


def _fail_calls(links: Links, link: _Link, reason: outcomes.Reason,
                detail: str) -> None:
    calls = list(link.pending.values())
    link.pending.clear()
    link.waiting.clear()
    for call in calls:
        links.counters.failed += 1
        call.timer.cancel()
        call.future.set_result(
            outcomes.Failed(reason, f'{link.address}: {detail}'))
