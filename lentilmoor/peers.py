"""The one adapter for the protocol between entries, over grpclib.

An asyncio loop in a thread of its own serves other entries' requests and makes
ours. Callers on other threads get a `concurrent.futures.Future` that always
ends with a reply or an `outcomes.Failed`, at the latest at the deadline.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import asyncio
import collections
from collections.abc import Callable
from concurrent import futures
import dataclasses
import hashlib
import logging
import ssl
import threading
from typing import Any

from google.protobuf import message as protobuf

from lentilmoor import clocks
from lentilmoor import links as peer_links
from lentilmoor import listeners
from lentilmoor.protocol import peer_pb2

_SECRET_CONTEXT = b'lentilmoor peer\0'
_CLOSE_S = 0.25

Reply = Any  # A protobuf message, a Future of one, or an outcomes.Failed.


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """What answers the requests of other entries.

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
      serving: Requests of all peers that are handled at once.
      limits: Bounds of our own calls.
      silent_ms: A peer's link on which nothing came for so long is closed.
      check_ms: How often idle and silent links are looked for.
      server_tls: TLS of the listener, if any.
      client_tls: TLS towards peers, if any.
    """

    address: str
    secret: bytes
    serving: int = 256
    limits: peer_links.LinkLimits = peer_links.LinkLimits()
    silent_ms: float = 120_000.0
    check_ms: float = 15_000.0
    server_tls: ssl.SSLContext | None = None
    client_tls: ssl.SSLContext | None = None


Call = Callable[[str, protobuf.Message, float], futures.Future]


@dataclasses.dataclass(frozen=True, slots=True)
class Peers:
    """A running adapter.

    Each call takes (address, message, timeout_ms), may be made from any
    thread and returns a Future of the reply or an `outcomes.Failed`. The
    Future's callbacks run on the loop's thread and must not block.

    Attributes:
      address: host:port that is listened on.
      heard_at: When a peer at an address last answered, ms; 0 if never.
      served: Counters of other entries' requests.
      called: Counters of our own calls.
      stop: Ends it: refuses new requests, gives running ones `grace_ms`.
    """

    address: str
    call_exchange: Call
    call_fetch: Call
    call_lease: Call
    call_claim: Call
    call_settle: Call
    heard_at: Callable[[str], float]
    served: listeners.ServerCounters
    called: peer_links.LinkCounters
    stop: Callable[[float], None]


@dataclasses.dataclass(slots=True)
class _Inbox:
    """Calls on their way from other threads to the loop's."""

    loop: asyncio.AbstractEventLoop
    links: peer_links.Links
    calls: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    awake: bool = False


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
    token = hashlib.sha256(_SECRET_CONTEXT + settings.secret).hexdigest()
    listener = _make_listener(settings, handlers, token)
    links = peer_links.Links(settings.limits, clock, token, settings.client_tls,
                             peer_links.LinkCounters())
    loop = asyncio.new_event_loop()
    inbox = _Inbox(loop, links)
    thread = threading.Thread(target=_run_loop,
                              args=(loop,),
                              name='peers',
                              daemon=True)
    thread.start()
    try:
        _run_on(loop, _start(listener, links, settings))
    except OSError:
        _end_loop(inbox, thread)
        raise

    def stop(grace_ms: float = 0.0) -> None:
        if loop.is_closed():
            return
        _run_on(loop, _stop(listener, links, clock, grace_ms))
        _end_loop(inbox, thread)

    return Peers(address=listener.address,
                 call_exchange=_make_call(inbox, 'exchange'),
                 call_fetch=_make_call(inbox, 'fetch'),
                 call_lease=_make_call(inbox, 'lease'),
                 call_claim=_make_call(inbox, 'claim'),
                 call_settle=_make_call(inbox, 'settle'),
                 heard_at=lambda peer: peer_links.read_heard(links, peer),
                 served=listener.counters,
                 called=links.counters,
                 stop=stop)


def _make_listener(settings: PeerSettings, handlers: Handlers,
                   token: str) -> listeners.Listener:
    by_kind = {
        'exchange': handlers.exchange,
        'fetch': handlers.fetch,
        'lease': handlers.lease,
        'claim': handlers.claim,
        'settle': handlers.settle,
    }
    return listeners.Listener(by_kind, token, settings.serving,
                              listeners.ServerCounters())


def _make_call(inbox: _Inbox, kind: str) -> Call:

    def call(address: str, message: protobuf.Message,
             timeout_ms: float) -> futures.Future:
        future: futures.Future = futures.Future()
        future.set_running_or_notify_cancel()  # It can't be cancelled.
        envelope = peer_pb2.Envelope(**{kind: message})
        inbox.calls.append((address, envelope, timeout_ms, future))
        _wake(inbox)
        return future

    return call


def _wake(inbox: _Inbox) -> None:
    # A burst of calls wakes the loop once: waking it is a system call.
    if inbox.awake:
        return
    inbox.awake = True
    try:
        inbox.loop.call_soon_threadsafe(_drain, inbox)
    except RuntimeError:  # The loop is closed.
        inbox.links.stopping = True
        _drain(inbox)


def _drain(inbox: _Inbox) -> None:
    inbox.awake = False  # First: what is appended from now on wakes again.
    while inbox.calls:
        address, envelope, timeout_ms, future = inbox.calls.popleft()
        peer_links.submit(inbox.links, address, envelope, timeout_ms, future)


def _run_loop(loop: asyncio.AbstractEventLoop) -> None:
    asyncio.set_event_loop(loop)
    # The library tells of each lost stream; outcomes are counted instead.
    logging.getLogger('grpclib').setLevel(logging.ERROR)
    try:
        loop.run_forever()
    finally:
        loop.close()


def _run_on(loop: asyncio.AbstractEventLoop, coroutine) -> None:
    asyncio.run_coroutine_threadsafe(coroutine, loop).result()


def _end_loop(inbox: _Inbox, thread: threading.Thread) -> None:
    inbox.loop.call_soon_threadsafe(inbox.loop.stop)
    thread.join()
    inbox.links.stopping = True
    _drain(inbox)  # Calls that came too late for the loop.


async def _start(listener: listeners.Listener, links: peer_links.Links,
                 settings: PeerSettings) -> None:
    host, _, port = settings.address.rpartition(':')
    await listeners.start(listener, host.strip('[]'), int(port),
                          settings.server_tls)
    _check_idle(listener, links, settings)


def _check_idle(listener: listeners.Listener, links: peer_links.Links,
                settings: PeerSettings) -> None:
    peer_links.close_idle(links)
    listeners.close_silent(listener, settings.silent_ms)
    asyncio.get_running_loop().call_later(settings.check_ms / clocks.MS_PER_S,
                                          _check_idle, listener, links,
                                          settings)


async def _stop(listener: listeners.Listener, links: peer_links.Links,
                clock: clocks.Clock, grace_ms: float) -> None:
    await listeners.stop(listener, clock, grace_ms)
    peer_links.stop(links)
    others = asyncio.all_tasks() - {asyncio.current_task()}
    if others:
        _, left = await asyncio.wait(others, timeout=_CLOSE_S)
        for task in left:
            task.cancel()
    await asyncio.sleep(0)
