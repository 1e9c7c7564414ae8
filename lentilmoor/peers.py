"""The one adapter for the protocol between entries, over grpclib.

An asyncio loop in a thread of its own serves other entries' calls and makes
ours. Callers on other threads get a `concurrent.futures.Future` that always
ends with a reply or an `outcomes.Failed`, at the latest at the deadline. Calls
to one peer are bounded in flight and in queue; a channel on which a call timed
out is not used again, and a peer that keeps failing is held off for a while.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import asyncio
from collections.abc import Callable
from concurrent import futures
import dataclasses
import functools
import hashlib
import hmac
import logging
import socket
import ssl
import threading
from typing import Any
import weakref

from google.protobuf import message as protobuf
import grpclib
from grpclib import client
from grpclib import config
from grpclib import const
from grpclib import events
from grpclib import protocol
from grpclib import server

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor.protocol import peer_grpc
from lentilmoor.protocol import peer_pb2

PROTOCOL = 1

_SERVICE_PATH = '/lentilmoor.v1.Peer/'
_SECRET_HEADER = 'peer-secret'
_SECRET_CONTEXT = b'lentilmoor peer\0'
_CLOSE_MS = 250.0

_REASONS = {
    const.Status.DEADLINE_EXCEEDED: outcomes.Reason.TIMED_OUT,
    const.Status.UNAUTHENTICATED: outcomes.Reason.NOT_AUTHORIZED,
    const.Status.RESOURCE_EXHAUSTED: outcomes.Reason.OVERLOADED,
}

Reply = Any  # A protobuf message, a Future of one, or an outcomes.Failed.


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What answers the calls of other entries.

    Each is called on the loop's thread with the request message and must not
    block. It returns the reply, an `outcomes.Failed`, or a
    `concurrent.futures.Future` of one of these.
    """

    exchange: Callable[[peer_pb2.ExchangeMessage], Reply]
    fetch: Callable[[peer_pb2.FetchRequest], Reply]
    lease: Callable[[peer_pb2.LeaseRequest], Reply]
    claim: Callable[[peer_pb2.ClaimRequest], Reply]
    settle: Callable[[peer_pb2.SettleRequest], Reply]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Address, secret and limits of the peer protocol.

    Attributes:
      address: host:port to listen on; port 0 lets the system pick.
      secret: Shared by all entries; a caller without it is refused.
      in_flight: Calls to one peer at once.
      queue: Calls to one peer that wait for their turn.
      serving: Calls of all peers handled at once.
      links: Peers to which a channel is kept open.
      failures_before_hold: Failures in a row before a peer is held off.
      hold_ms: First hold; doubles with each further failure.
      longest_hold_ms: Upper bound of a hold.
      server_tls: TLS of the listener, if any.
      client_tls: TLS towards peers, if any.
    """

    address: str
    secret: bytes
    in_flight: int = 16
    queue: int = 64
    serving: int = 256
    links: int = 64
    failures_before_hold: int = 3
    hold_ms: float = 50.0
    longest_hold_ms: float = 1_000.0
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


@dataclasses.dataclass(slots=True)
class PeerCounters:
    """Counters of the adapter; only its loop writes them."""

    calls: int = 0
    served: int = 0
    timed_out: int = 0
    failed: int = 0
    overloaded: int = 0
    held: int = 0
    refused: int = 0
    connections: int = 0


Call = Callable[[str, protobuf.Message, float], futures.Future]


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """A running adapter.

    Each call takes (address, message, timeout_ms), may be made from any
    thread and returns a Future of the reply or an `outcomes.Failed`.

    Attributes:
      address: host:port that is listened on.
      heard_at: When a peer at an address last answered, ms; 0 if never.
      counters: Counters.
      stop: Ends it: refuses new calls, gives running ones `grace_ms`.
    """

    address: str
    call_exchange: Call
    call_fetch: Call
    call_lease: Call
    call_claim: Call
    call_settle: Call
    heard_at: Callable[[str], float]
    counters: PeerCounters
    stop: Callable[[float], None]


@dataclasses.dataclass(slots=True)
class _Link:
    """Client side of one peer."""

    gate: asyncio.Semaphore
    channel: client.Channel | None = None
    running: int = 0
    waiting: int = 0
    failures: int = 0
    held_until: float = 0.0
    heard_at: float = 0.0
    used_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _State:
    """What the loop's thread owns."""

    settings: PeerSettings
    handlers: Handlers
    clock: clocks.Clock
    token: str
    loop: asyncio.AbstractEventLoop
    counters: PeerCounters
    links: dict[str, _Link]
    serving: int = 0
    stopping: bool = False


def start_peers(settings: PeerSettings, handlers: Handlers,
                clock: clocks.Clock) -> Peers:
    """Starts to listen and returns the running adapter.

    Args:
      settings: Address, secret and limits.
      handlers: What answers other entries.
      clock: Source of time.

    Raises:
      OSError: The address can't be listened on.
    """
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=_run_loop,
                              args=(loop,),
                              name='peers',
                              daemon=True)
    thread.start()
    token = hashlib.sha256(_SECRET_CONTEXT + settings.secret).hexdigest()
    state = _State(settings, handlers, clock, token, loop, PeerCounters(), {})
    starting = asyncio.run_coroutine_threadsafe(_start_server(state), loop)
    try:
        listener, address = starting.result()
    except OSError:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        raise

    def stop(grace_ms: float = 0.0) -> None:
        if loop.is_closed():
            return
        ending = asyncio.run_coroutine_threadsafe(
            _stop(state, listener, grace_ms), loop)
        ending.result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()

    return Peers(address=address,
                 call_exchange=_make_call(state, 'Exchange'),
                 call_fetch=_make_call(state, 'Fetch'),
                 call_lease=_make_call(state, 'Lease'),
                 call_claim=_make_call(state, 'Claim'),
                 call_settle=_make_call(state, 'Settle'),
                 heard_at=lambda peer: _read_heard(state, peer),
                 counters=state.counters,
                 stop=stop)


def _run_loop(loop: asyncio.AbstractEventLoop) -> None:
    asyncio.set_event_loop(loop)
    # The library logs each passed deadline; outcomes are counted instead.
    logging.getLogger('grpclib').setLevel(logging.CRITICAL)
    try:
        loop.run_forever()
    finally:
        loop.close()


def _read_heard(state: _State, address: str) -> float:
    link = state.links.get(address)
    return 0.0 if link is None else link.heard_at


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


# Server side.


@dataclasses.dataclass(frozen=True, slots=True)
class _Service:
    """What grpclib asks of a service: its methods by path."""

    methods: dict[str, const.Handler]

    def __mapping__(self) -> dict[str, const.Handler]:
        return self.methods


class _Listener(server.Server):
    """A server that can close its connections, which the library's can't."""

    def __init__(self, service: _Service):
        super().__init__([service])
        self.connections: weakref.WeakSet = weakref.WeakSet()

    def _protocol_factory(self) -> protocol.H2Protocol:
        connection = super()._protocol_factory()
        self.connections.add(connection)
        return connection

    def close_connections(self) -> None:
        """Closes every connection that was accepted."""
        for connection in self.connections:
            connection.processor.close('stopped')


def _make_service(state: _State) -> _Service:
    handlers = state.handlers
    served = (
        ('Exchange', handlers.exchange, peer_pb2.ExchangeMessage,
         peer_pb2.ExchangeMessage),
        ('Fetch', handlers.fetch, peer_pb2.FetchRequest, peer_pb2.FetchReply),
        ('Lease', handlers.lease, peer_pb2.LeaseRequest, peer_pb2.LeaseReply),
        ('Claim', handlers.claim, peer_pb2.ClaimRequest, peer_pb2.ClaimReply),
        ('Settle', handlers.settle, peer_pb2.SettleRequest,
         peer_pb2.SettleReply),
    )
    return _Service({
        f'{_SERVICE_PATH}{name}':
            const.Handler(functools.partial(_serve, state, handler),
                          const.Cardinality.UNARY_UNARY, request, reply)
        for name, handler, request, reply in served
    })


async def _start_server(state: _State) -> tuple[_Listener, str]:
    host, port = _split_address(state.settings.address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family)
    port = listening.getsockname()[1]
    listener = _Listener(_make_service(state))

    async def check(event: events.RecvRequest) -> None:
        given = event.metadata.get(_SECRET_HEADER, '')
        if not hmac.compare_digest(str(given).encode(), state.token.encode()):
            state.counters.refused += 1
            raise grpclib.GRPCError(const.Status.UNAUTHENTICATED,
                                    'peer secret missing or wrong')

    events.listen(listener, events.RecvRequest, check)
    await listener.start(sock=listening, ssl=state.settings.server_tls)
    return listener, f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


async def _serve(state: _State, handler: Callable[[Any], Reply],
                 stream: server.Stream) -> None:
    if state.stopping:
        raise grpclib.GRPCError(const.Status.UNAVAILABLE, 'stopping')
    if state.serving >= state.settings.serving:
        state.counters.overloaded += 1
        raise grpclib.GRPCError(const.Status.RESOURCE_EXHAUSTED, 'too many')
    state.serving += 1
    try:
        request = await stream.recv_message()
        reply = handler(request)
        if isinstance(reply, futures.Future):
            reply = await asyncio.wrap_future(reply)
        if isinstance(reply, outcomes.Failed):
            raise grpclib.GRPCError(const.Status.UNAVAILABLE,
                                    reply.reason.value)
        await stream.send_message(reply)
        state.counters.served += 1
    finally:
        state.serving -= 1


async def _stop(state: _State, listener: _Listener, grace_ms: float) -> None:
    state.stopping = True
    end = state.clock.now() + grace_ms
    while state.serving and state.clock.now() < end:
        await asyncio.sleep(0.01)
    listener.close()
    listener.close_connections()
    for link in state.links.values():
        _drop_channel(link)
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
        _, left = await asyncio.wait(others,
                                     timeout=_CLOSE_MS / clocks.MS_PER_S)
        for task in left:
            task.cancel()
    await asyncio.sleep(0)


# Client side.


def _make_call(state: _State, method: str) -> Call:

    def call(address: str, message: protobuf.Message,
             timeout_ms: float) -> futures.Future:
        running = _call(state, method, address, message, timeout_ms)
        try:
            return asyncio.run_coroutine_threadsafe(running, state.loop)
        except RuntimeError:
            running.close()
            return _make_stopped()

    return call


def _make_stopped() -> futures.Future:
    done: futures.Future = futures.Future()
    done.set_result(outcomes.Failed(outcomes.Reason.SHUTTING_DOWN))
    return done


async def _call(state: _State, method: str, address: str,
                message: protobuf.Message,
                timeout_ms: float) -> protobuf.Message | outcomes.Failed:
    now = state.clock.now()
    state.counters.calls += 1
    if state.stopping:
        return outcomes.Failed(outcomes.Reason.SHUTTING_DOWN)
    link = _find_link(state, address, now)
    if now < link.held_until:
        state.counters.held += 1
        return outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE,
                               f'{address}: held off after failures')
    if link.waiting >= state.settings.queue:
        state.counters.overloaded += 1
        return outcomes.Failed(outcomes.Reason.OVERLOADED,
                               f'{address}: queue is full')
    try:
        async with asyncio.timeout(timeout_ms / clocks.MS_PER_S):
            await _take_turn(link)
            try:
                left = now + timeout_ms - state.clock.now()
                return await _send(state, link, method, address, message, left)
            finally:
                link.running -= 1
                link.gate.release()
    except TimeoutError:
        state.counters.timed_out += 1
        return outcomes.Failed(outcomes.Reason.TIMED_OUT, address)


async def _take_turn(link: _Link) -> None:
    link.waiting += 1
    try:
        await link.gate.acquire()
    finally:
        link.waiting -= 1
    link.running += 1


async def _send(state: _State, link: _Link, method: str, address: str,
                message: protobuf.Message,
                left_ms: float) -> protobuf.Message | outcomes.Failed:
    channel = _open_channel(state, link, address)
    unary = getattr(peer_grpc.PeerStub(channel), method)
    try:
        reply = await unary(message,
                            timeout=max(left_ms, 1.0) / clocks.MS_PER_S,
                            metadata={_SECRET_HEADER: state.token})
    except grpclib.GRPCError as error:
        _note_heard(state, link)
        state.counters.failed += 1
        reason = _REASONS.get(error.status, outcomes.Reason.PEER_UNAVAILABLE)
        return outcomes.Failed(reason, f'{address}: {error.message}')
    except (TimeoutError, asyncio.CancelledError):
        # The deadline: the connection may have gone silent for good.
        _note_failure(state, link, channel)
        raise
    except (OSError, grpclib.exceptions.StreamTerminatedError) as error:
        _note_failure(state, link, channel)
        state.counters.failed += 1
        return outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE,
                               f'{address}: {error}')
    _note_heard(state, link)
    return reply


def _find_link(state: _State, address: str, now: float) -> _Link:
    link = state.links.get(address)
    if link is None:
        _trim_links(state)
        link = _Link(asyncio.Semaphore(state.settings.in_flight))
        state.links[address] = link
    link.used_at = now
    return link


def _trim_links(state: _State) -> None:
    if len(state.links) < state.settings.links:
        return
    idle = [(link.used_at, address)
            for address, link in state.links.items()
            if not link.running and not link.waiting]
    if idle:
        _, address = min(idle)
        _drop_channel(state.links.pop(address))


def _open_channel(state: _State, link: _Link, address: str) -> client.Channel:
    if link.channel is None:
        host, port = _split_address(address)
        link.channel = client.Channel(host,
                                      port,
                                      ssl=state.settings.client_tls,
                                      config=config.Configuration())
        state.counters.connections += 1
    return link.channel


def _note_heard(state: _State, link: _Link) -> None:
    link.failures = 0
    link.held_until = 0.0
    link.heard_at = state.clock.now()


def _note_failure(state: _State, link: _Link, channel: client.Channel) -> None:
    if link.channel is not channel:
        return  # An earlier call on the same channel has been counted.
    _drop_channel(link)
    link.failures += 1
    excess = link.failures - state.settings.failures_before_hold
    if excess < 0:
        return
    hold = min(state.settings.hold_ms * 2**min(excess, 16),
               state.settings.longest_hold_ms)
    link.held_until = state.clock.now() + hold


def _drop_channel(link: _Link) -> None:
    if link.channel is not None:
        link.channel.close()
        link.channel = None
