"""The claims of the shards that this entry is grantor of.

Connects the claim system to messages: questions of dispatchers come in with a
future each, and the system's replies are put into them.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
from concurrent import futures
import dataclasses
import itertools

from lentilmoor import claimlogs
from lentilmoor import claims
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import replies
from lentilmoor.protocol import peer_pb2

StoreCall = claimtables.ReadSegments | claimtables.SwapSegment
RunStoreCall = Callable[[str, StoreCall], None]
"""(shard, call): makes it and brings its outcome back."""

_Kind = claimlogs.SettlementKind


@dataclasses.dataclass(slots=True)
class ShardClaims:
    """Claim tables by shard, and who waits for which reply.

    Attributes:
      clock: Time, for the ages of claims.
      run: Makes a call of the store.
      tables: By shard id.
      waiting: Futures by token.
      tokens: Numbers the questions.
    """

    clock: clocks.Clock
    run: RunStoreCall
    tables: dict[str, claimtables.ClaimTable] = dataclasses.field(
        default_factory=dict)
    waiting: dict[int, futures.Future] = dataclasses.field(default_factory=dict)
    tokens: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1))


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """This entry's time as grantor of a shard.

    Attributes:
      shard: Shard id.
      epoch: Its epoch.
      until: When its authority ends, ms.
      retention_s: How long claims are remembered.
      shards: Shards that share the store's writes.
    """

    shard: str
    epoch: int
    until: float
    retention_s: float
    shards: int


def serve(state: ShardClaims, term: Term, now: float) -> None:
    """Serves a shard's claims under an epoch, until its authority ends."""
    shard = term.shard
    table = state.tables.get(shard)
    if table is None or table.epoch != term.epoch:
        drop(state, shard)
        limits = claimtables.share_budget(term.shards)
        state.tables[shard] = claimtables.make_table(shard, term.epoch,
                                                     term.retention_s,
                                                     state.clock, limits)
    _apply(state, shard, claimtables.AuthorityHeld(term.until), now)


def drop(state: ShardClaims, shard: str) -> None:
    """Stops serving a shard; whoever waits is told to ask elsewhere."""
    table = state.tables.pop(shard, None)
    if table is None:
        return
    for waiting in table.waiting.values():
        _finish(state, waiting.token, refuse())
    for unlogged in table.unlogged:
        if unlogged.token is not None:
            _finish(state, unlogged.token, peer_pb2.SettleReply(accepted=False))


def ask(state: ShardClaims, message: peer_pb2.ClaimRequest,
        reply: futures.Future, now: float) -> None:
    """Takes in a dispatcher's question."""
    if message.shard not in state.tables:
        replies.give(reply, refuse())
        return
    token = next(state.tokens)
    state.waiting[token] = reply
    claim = claimlogs.Claim(digest=message.digest,
                            fingerprint=message.fingerprint,
                            instance=message.instance,
                            attempt=message.attempt)
    _apply(state, message.shard,
           claimtables.ClaimAsked(token, claim, message.remaining_ms), now)
    step_shard(state, message.shard, now)


def settle(state: ShardClaims, message: peer_pb2.SettleRequest,
           reply: futures.Future, now: float) -> None:
    """Takes in what became of a claimed request."""
    if message.shard not in state.tables:
        replies.give(reply, peer_pb2.SettleReply(accepted=False))
        return
    token = next(state.tokens)
    state.waiting[token] = reply
    answer = b''
    kind = _Kind.ENDED
    if message.not_run:
        kind = _Kind.RELEASED
    elif message.HasField('answer'):
        kind = _Kind.ANSWERED
        answer = message.answer.SerializeToString()
    event = claimtables.SettleAsked(token, message.digest, message.attempt,
                                    kind, answer)
    _apply(state, message.shard, event, now)
    step_shard(state, message.shard, now)


def take_event(state: ShardClaims, shard: str, event: claimtables.Event,
               now: float) -> None:
    """Takes in the outcome of a call of the store."""
    if shard in state.tables:
        _apply(state, shard, event, now)
        step_shard(state, shard, now)


def lose_instance(state: ShardClaims, instance: str, now: float) -> None:
    """Notes that an entry is gone."""
    for shard in list(state.tables):
        _apply(state, shard, claimtables.InstanceLost(instance), now)


def step(state: ShardClaims, now: float) -> None:
    """Does what is due for all shards."""
    for shard in list(state.tables):
        step_shard(state, shard, now)


def step_shard(state: ShardClaims, shard: str, now: float) -> None:
    """Does what is due for one shard."""
    table = state.tables.get(shard)
    if table is not None:
        _carry_out(state, shard, claims.step_claims(table, now))


def refuse() -> peer_pb2.ClaimReply:
    """Returns the reply of an entry that does not serve a shard's claims."""
    return peer_pb2.ClaimReply(verdict=peer_pb2.ClaimReply.NOT_GRANTOR)


def _apply(state: ShardClaims, shard: str, event: claimtables.Event,
           now: float) -> None:
    _carry_out(state, shard, claims.apply(state.tables[shard], event, now))


def _carry_out(state: ShardClaims, shard: str,
               actions: list[claimtables.Action]) -> None:
    for action in actions:
        match action:
            case claimtables.Reply():
                _finish(state, action.token, _write(action))
            case claimtables.SettleReply():
                _finish(state, action.token,
                        peer_pb2.SettleReply(accepted=action.accepted))
            case claimtables.StepDown():
                pass  # The table is kept: it tells whoever asks to go on.
            case _:
                state.run(shard, action)


def _finish(state: ShardClaims, token: int, message: object) -> None:
    reply = state.waiting.pop(token, None)
    if reply is not None:
        replies.give(reply, message)


def _write(action: claimtables.Reply) -> peer_pb2.ClaimReply:
    message = peer_pb2.ClaimReply(verdict=action.verdict.value,
                                  detail=action.detail,
                                  retry_after_ms=action.retry_after_ms)
    if action.answer:
        message.answer.ParseFromString(action.answer)
    return message
