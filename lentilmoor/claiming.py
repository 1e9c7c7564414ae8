"""The dispatcher's side of at most once: claim, then settle.

A claim is asked for at the grantor of the shard, again and again for the same
attempt until there is an answer or the deadline has come: asking again is
safe. Whatever was granted is settled, also if nothing was dispatched.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
from concurrent import futures
import dataclasses
import itertools
import secrets

from lentilmoor import calls
from lentilmoor import claims
from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import inbox
from lentilmoor import outcomes
from lentilmoor import peers
from lentilmoor import runs
from lentilmoor import transport
from lentilmoor.protocol import peer_pb2

ASK_TIMEOUT_MS = 1_200.0
SETTLE_TIMEOUT_MS = 1_000.0
SETTLE_TRIES = 5
RETRY_MS = 40.0
RUNNING_LOOKS = 4
RUNNING_LOOK_MS = 25.0
LONGEST_ASKING_MS = 2_000.0
RETRY_AFTER_MS = 1_000
MAX_KEPT_BODY = 2_048
_ATTEMPT_BITS = 63

_Reason = outcomes.Reason
_Verdict = peer_pb2.ClaimReply
# An attempt's number must not come again, not even after a restart.
_attempts = itertools.count(secrets.randbits(_ATTEMPT_BITS))


@dataclasses.dataclass(frozen=True, slots=True)
class Lines:
    """How the grantor of a shard is asked.

    Attributes:
      tell: Sends the own control actor a message.
      peers: Returns the peer protocol, once it has started.
      later: Does work on another thread.
    """

    tell: Callable[[object], None]
    peers: Callable[[], peers.Peers]
    later: Callable[[Callable[[], None]], None]


def make_claim(dispatcher: dispatchers.Dispatcher,
               lines: Lines) -> Callable[[calls.Call, bytes], runs.ClaimResult]:
    """Returns the closure that claims a call's idempotency key.

    Args:
      dispatcher: Has the snapshot that names the grantor.
      lines: How it is asked.
    """

    def claim(call: calls.Call, fingerprint: bytes) -> runs.ClaimResult:
        message = _make_request(dispatcher.instance, call, fingerprint)
        reply = _ask_until(dispatcher, lines, call, message)
        if reply is None or reply.verdict == _Verdict.NOT_GRANTOR:
            # This attempt is not run, but an earlier one with the same key
            # may have been, and nobody who would know has answered.
            _settle(dispatcher, lines, message, not_run=True)
            return outcomes.Unknown(_Reason.CLAIM_UNAVAILABLE,
                                    'whether the key was used is not known',
                                    RETRY_AFTER_MS)
        if reply.verdict == _Verdict.UNAVAILABLE:
            # Its commit may have landed all the same.
            _settle(dispatcher, lines, message, not_run=True)
        if reply.verdict != _Verdict.GRANTED:
            return _read_verdict(reply)
        return runs.Claimed(
            lambda result: _settle_result(dispatcher, lines, message, result))

    return claim


def _make_request(instance: str, call: calls.Call,
                  fingerprint: bytes) -> peer_pb2.ClaimRequest:
    service = f'{call.team}/{call.service}'
    digest = claims.make_digest(service, call.caller, call.idempotency_key)
    return peer_pb2.ClaimRequest(shard=call.shard_id,
                                 digest=digest,
                                 fingerprint=claims.make_fingerprint(
                                     call.raw.method, call.target, fingerprint),
                                 instance=instance,
                                 attempt=next(_attempts))


def _ask_until(dispatcher: dispatchers.Dispatcher, lines: Lines,
               call: calls.Call,
               message: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply | None:
    """Asks until there is an answer; None if there is none in time.

    A request that is running is asked after a few more times: its settlement
    is often on the way when a caller sends it again at once.
    """
    looks = RUNNING_LOOKS
    until = min(call.deadline, dispatcher.clock.now() + LONGEST_ASKING_MS)
    while True:
        left = until - dispatcher.clock.now()
        if left <= 0:
            return None
        message.remaining_ms = max(1,
                                   int(call.deadline - dispatcher.clock.now()))
        snapshot = dispatcher.snapshot
        reply = _ask(dispatcher, lines, message, min(left, ASK_TIMEOUT_MS))
        if reply is not None and reply.verdict == _Verdict.RUNNING and looks:
            looks -= 1
            clocks.pause(RUNNING_LOOK_MS)
            continue
        if reply is not None and reply.verdict != _Verdict.NOT_GRANTOR:
            return reply
        dispatcher.hold(snapshot, min(left, RETRY_MS))
        clocks.pause(RETRY_MS / 4)


def _ask(dispatcher: dispatchers.Dispatcher, lines: Lines,
         message: peer_pb2.ClaimRequest,
         timeout_ms: float) -> peer_pb2.ClaimReply | None:
    reply = _send(
        dispatcher, message.shard,
        lambda future: lines.tell(inbox.ClaimAsked(message, future)),
        lambda address: lines.peers().call_claim(address, message, timeout_ms),
        timeout_ms)
    return reply if isinstance(reply, peer_pb2.ClaimReply) else None


def _send(dispatcher: dispatchers.Dispatcher, shard: str,
          tell: Callable[[futures.Future], None],
          call: Callable[[str], futures.Future], timeout_ms: float) -> object:
    """Sends to the shard's grantor, be it this entry or another."""
    snapshot = dispatcher.snapshot
    route = snapshot.shards.get(shard)
    grantor = route.grantor if route else ''
    future: futures.Future = futures.Future()
    if grantor == dispatcher.instance:
        tell(future)
    elif grantor in snapshot.peers:
        future = call(snapshot.peers[grantor])
    else:
        return None
    try:
        return future.result(timeout_ms / clocks.MS_PER_S)
    except futures.TimeoutError:
        return None


def _read_verdict(reply: peer_pb2.ClaimReply) -> transport.Result:
    if reply.verdict == _Verdict.ANSWERED:
        return _read_answer(reply.answer)
    if reply.verdict == _Verdict.RUNNING:
        return outcomes.Unknown(
            _Reason.ALREADY_CLAIMED, reply.detail or
            'the first request is still running', reply.retry_after_ms)
    if reply.verdict == _Verdict.ENDED:
        return outcomes.Unknown(
            _Reason.RESULT_NOT_KEPT, reply.detail or
            'the first request ran or may have run; its answer is not kept',
            reply.retry_after_ms)
    if reply.verdict == _Verdict.MISMATCH:
        return outcomes.NotRun(_Reason.KEY_REUSED,
                               'the key was used for another request')
    return outcomes.NotRun(_Reason.CLAIM_UNAVAILABLE, reply.detail or
                           'the claim could not be made',
                           reply.retry_after_ms or RETRY_AFTER_MS)


def _read_answer(kept: peer_pb2.StoredAnswer) -> transport.Answer:
    headers = [(item.name, item.value) for item in kept.headers]
    return transport.make_complete_answer(kept.status, headers, kept.body)


def _settle_result(dispatcher: dispatchers.Dispatcher, lines: Lines,
                   message: peer_pb2.ClaimRequest,
                   result: transport.Result) -> None:
    if isinstance(result, outcomes.NotRun):
        _settle(dispatcher, lines, message, not_run=True)
        return
    if isinstance(result, outcomes.Unknown):
        _settle(dispatcher, lines, message, unknown=True)
        return
    _settle(dispatcher, lines, message, answer=_keep_answer(result))


def _keep_answer(answer: transport.Answer) -> peer_pb2.StoredAnswer | None:
    if answer.remaining_chunks is not None or len(answer.body) > MAX_KEPT_BODY:
        return None
    kept = peer_pb2.StoredAnswer(status=answer.status, body=answer.body)
    for name, value in answer.headers:
        kept.headers.add(name=name, value=value)
    return kept


def _settle(dispatcher: dispatchers.Dispatcher,
            lines: Lines,
            claim: peer_pb2.ClaimRequest,
            not_run: bool = False,
            unknown: bool = False,
            answer: peer_pb2.StoredAnswer | None = None) -> None:
    """Reports in the background what became of a claim."""
    message = peer_pb2.SettleRequest(shard=claim.shard,
                                     digest=claim.digest,
                                     attempt=claim.attempt,
                                     not_run=not_run,
                                     unknown=unknown,
                                     instance=dispatcher.instance)
    if answer is not None:
        message.answer.CopyFrom(answer)
    lines.later(lambda: _settle_until(dispatcher, lines, message))


def _settle_until(dispatcher: dispatchers.Dispatcher, lines: Lines,
                  message: peer_pb2.SettleRequest) -> None:
    for _ in range(SETTLE_TRIES):
        reply = _send(
            dispatcher, message.shard,
            lambda future: lines.tell(inbox.SettleAsked(message, future)),
            lambda address: lines.peers().call_settle(
                address, message, SETTLE_TIMEOUT_MS), SETTLE_TIMEOUT_MS)
        if isinstance(reply, peer_pb2.SettleReply) and reply.accepted:
            return
        clocks.pause(RETRY_MS)
