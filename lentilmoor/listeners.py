"""Server side of the peer protocol: accepts links and answers their requests.

Everything here runs on the peer adapter's asyncio loop. A link is a stream of
envelopes; requests on it are handled in turn, replies that come later from
another thread are sent when they come. A caller without the shared secret is
refused before any of its requests is read.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

import asyncio
from collections.abc import Callable
from concurrent import futures
import dataclasses
import hmac
import socket
import ssl
import time
from typing import Any
import weakref

import grpclib
from grpclib import const
from grpclib import events
from grpclib import exceptions as grpc_exceptions
from grpclib import protocol
from grpclib import server

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor.protocol import peer_pb2

LINK_PATH = '/lentilmoor.v1.Peer/Link'
SECRET_HEADER = 'peer-secret'
REPLY_SUFFIX = '_reply'

_POLL_S = 0.01
_Cause = peer_pb2.Refusal.Cause

Handler = Callable[[Any], Any]


@dataclasses.dataclass(slots=True)
class ServerCounters:
    """Counters of the server side; only its loop writes them."""

    links: int = 0
    served: int = 0
    refused: int = 0
    overloaded: int = 0
    abandoned: int = 0
    closed: int = 0


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening server side.

    Attributes:
      handlers: What answers each kind of request, by the envelope's field.
      token: What a caller's secret header must hold.
      limit: Requests handled at once; more are refused.
      counters: Counters.
      address: host:port that is listened on.
      serving: Requests handled now.
      stopping: Whether new requests are refused.
    """

    handlers: dict[str, Handler]
    token: str
    limit: int
    counters: ServerCounters
    address: str = ''
    serving: int = 0
    stopping: bool = False
    grpc: '_GrpcServer | None' = None
    waiting: set[asyncio.Task] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class _Service:
    """What grpclib asks of a service: its methods by path."""

    methods: dict[str, const.Handler]

    def __mapping__(self) -> dict[str, const.Handler]:
        return self.methods


class _GrpcServer(server.Server):
    """A server that can close its connections, which the library's can't."""

    def __init__(self, service: _Service):
        super().__init__([service])
        self.accepted: weakref.WeakKeyDictionary = weakref.WeakKeyDictionary()

    def _protocol_factory(self) -> protocol.H2Protocol:
        accepted = super()._protocol_factory()
        self.accepted[accepted] = time.monotonic()
        return accepted

    def close_silent(self, longest_s: float) -> int:
        """Closes connections on which nothing came for so long."""
        closed = 0
        oldest = time.monotonic() - longest_s
        for accepted, since in list(self.accepted.items()):
            connection = getattr(accepted, 'connection', None)
            if connection is None:
                continue  # No TLS handshake; the library ends it by itself.
            if (connection.last_data_received or since) <= oldest:
                del self.accepted[accepted]
                accepted.processor.close('silent')
                closed += 1
        return closed


async def start(listener: Listener, host: str, port: int,
                tls: ssl.SSLContext | None) -> None:
    """Starts to listen.

    Args:
      listener: Its handlers, token and limit; gets its address.
      host: IP address.
      port: Port, or 0 to let the system pick.
      tls: Server side context, if any.

    Raises:
      OSError: The address can't be listened on.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family)
    port = listening.getsockname()[1]
    listener.address = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    listener.grpc = _GrpcServer(_make_service(listener))
    events.listen(listener.grpc, events.RecvRequest, _make_check(listener))
    await listener.grpc.start(sock=listening, ssl=tls)


async def stop(listener: Listener, clock: clocks.Clock,
               grace_ms: float) -> None:
    """Refuses new requests, lets running ones end, closes all connections."""
    listener.stopping = True
    end = clock.now() + grace_ms
    while listener.serving and clock.now() < end:
        await asyncio.sleep(_POLL_S)
    listener.grpc.close()
    listener.grpc.close_silent(0.0)


def close_silent(listener: Listener, longest_ms: float) -> None:
    """Closes links whose other end sent nothing for long; it may be gone."""
    seconds = longest_ms / clocks.MS_PER_S
    listener.counters.closed += listener.grpc.close_silent(seconds)


def _make_service(listener: Listener) -> _Service:

    async def link(stream: server.Stream) -> None:
        await _serve_link(listener, stream)

    return _Service({
        LINK_PATH:
            const.Handler(link, const.Cardinality.STREAM_STREAM,
                          peer_pb2.Envelope, peer_pb2.Envelope)
    })


def _make_check(listener: Listener) -> Callable:

    async def check(event: events.RecvRequest) -> None:
        given = str(event.metadata.get(SECRET_HEADER, ''))
        if not hmac.compare_digest(given.encode(), listener.token.encode()):
            listener.counters.refused += 1
            raise grpclib.GRPCError(const.Status.UNAUTHENTICATED,
                                    'peer secret missing or wrong')

    return check


async def _serve_link(listener: Listener, stream: server.Stream) -> None:
    listener.counters.links += 1
    sending = asyncio.Lock()
    # Tells the caller that the link stands, before any reply.
    await stream.send_initial_metadata()
    async for envelope in stream:
        await _answer(listener, stream, sending, envelope)


async def _answer(listener: Listener, stream: server.Stream,
                  sending: asyncio.Lock, envelope: peer_pb2.Envelope) -> None:
    kind = envelope.WhichOneof('body')
    handler = listener.handlers.get(kind)
    refusal = _find_refusal(listener, handler)
    if refusal is not None:
        reply = peer_pb2.Envelope(id=envelope.id, refusal=refusal)
        await _send(stream, sending, reply)
        return
    answer = handler(getattr(envelope, kind))
    if isinstance(answer, futures.Future):
        _answer_later(listener, stream, sending, envelope, kind, answer)
        return
    listener.counters.served += 1
    await _send(stream, sending, _wrap(envelope.id, kind, answer))


def _find_refusal(listener: Listener,
                  handler: Handler | None) -> peer_pb2.Refusal | None:
    if handler is None:
        return peer_pb2.Refusal(cause=_Cause.NOT_UNDERSTOOD)
    if listener.stopping:
        return peer_pb2.Refusal(cause=_Cause.UNAVAILABLE, detail='stopping')
    if listener.serving >= listener.limit:
        listener.counters.overloaded += 1
        return peer_pb2.Refusal(cause=_Cause.OVERLOADED)
    return None


def _answer_later(listener: Listener, stream: server.Stream,
                  sending: asyncio.Lock, envelope: peer_pb2.Envelope, kind: str,
                  answer: futures.Future) -> None:
    waiting = _wait_answer(listener, stream, sending, envelope, kind, answer)
    task = asyncio.get_running_loop().create_task(waiting)
    listener.waiting.add(task)
    task.add_done_callback(listener.waiting.discard)


async def _wait_answer(listener: Listener, stream: server.Stream,
                       sending: asyncio.Lock, envelope: peer_pb2.Envelope,
                       kind: str, answer: futures.Future) -> None:
    listener.serving += 1
    try:
        async with asyncio.timeout(envelope.remaining_ms / clocks.MS_PER_S):
            reply = await asyncio.wrap_future(answer)
        listener.counters.served += 1
        await _send(stream, sending, _wrap(envelope.id, kind, reply))
    except (TimeoutError, asyncio.CancelledError, OSError,
            grpc_exceptions.ProtocolError,
            grpc_exceptions.StreamTerminatedError):
        # The caller has stopped waiting, or its link is gone.
        listener.counters.abandoned += 1
    finally:
        listener.serving -= 1


def _wrap(request_id: int, kind: str, answer: Any) -> peer_pb2.Envelope:
    if isinstance(answer, outcomes.Failed):
        refusal = peer_pb2.Refusal(cause=_Cause.UNAVAILABLE,
                                   detail=answer.reason.value)
        return peer_pb2.Envelope(id=request_id, refusal=refusal)
    body = {kind + REPLY_SUFFIX: answer}
    return peer_pb2.Envelope(id=request_id, **body)


async def _send(stream: server.Stream, sending: asyncio.Lock,
                envelope: peer_pb2.Envelope) -> None:
    # One message at a time: a large one is sent in several frames.
    async with sending:
        await stream.send_message(envelope)
