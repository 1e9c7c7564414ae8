"""At most once: the grantor of a shard decides who may dispatch a request.

A request that may not be repeated is claimed before it is dispatched, and the
claim is granted only when it is known to be in the platform's store. Whoever
claims the same digest later gets the first answer, or learns that the request
runs or may have run. No more than one attempt is ever granted, over all
entries and grantors, unless the earlier one was released undispatched.

The dispatcher's part: an attempt is dispatched once at most, only after
GRANTED and within its deadline; RELEASED is sent only when the attempt was
not and never will be dispatched. So asking again for the same attempt is safe
at any time, also at the next grantor.
"""

import hashlib

from lentilmoor import claimcommits
from lentilmoor import claimlogs
from lentilmoor import claimreads
from lentilmoor import claimsets
from lentilmoor import claimsettlements
from lentilmoor import claimtables
from lentilmoor import claimverdicts
from lentilmoor import outcomes
from lentilmoor import stores

_Table = claimtables.ClaimTable
_Action = claimtables.Action
_Kind = claimlogs.SettlementKind
_Phase = claimtables.Phase
_Verdict = claimtables.Verdict


def make_digest(service: str, caller: str, idempotency_key: str) -> bytes:
    """Returns the 16 bytes that name a request that may not be repeated."""
    return _hash(claimlogs.DIGEST_BYTES, service, caller, idempotency_key)


def make_fingerprint(method: str, path: str, body_digest: bytes) -> bytes:
    """Returns 8 bytes that tell whether a key is reused for another request."""
    return _hash(claimlogs.FINGERPRINT_BYTES, method, path, body_digest.hex())


def step_claims(table: _Table, now: float) -> list[_Action]:
    """Does what has become due.

    Args:
      table: The claims of one shard.
      now: Milliseconds.

    Returns:
      Replies, and a call of the store if one is due. Its outcome comes back
      by `apply`.
    """
    actions = _expire_waiting(table, now)
    claimsettlements.expire(table, now)
    wall_ms = now + table.wall_offset_ms
    table.counters.forgotten += claimsets.expire(table.ended, wall_ms)
    claimcommits.refill(table, now)
    if table.call is None and now >= table.retry_at and _may_call(table):
        table.call = _plan_call(table, now)
        if table.call is not None:
            actions.append(table.call)
    return actions


def next_step_at(table: _Table, now: float) -> float | None:
    """Returns when `step_claims` is to be called next, or None if by events.

    Waits that run out and a store that comes back are found by it too; call
    `step_claims` at least every `retry_ms` besides.
    """
    if table.call is not None or not _may_call(table):
        return None
    if table.phase is not _Phase.SERVING:
        return max(now, table.retry_at)
    if claimcommits.needs_archive(table, now):
        return max(now, table.retry_at)
    return claimcommits.due_at(table, now)


def apply(table: _Table, event: claimtables.Event, now: float) -> list[_Action]:
    """Takes in one event.

    Args:
      table: The claims of one shard.
      event: What happened.
      now: Milliseconds.

    Returns:
      Replies that are due at once.
    """
    match event:
        case claimtables.ClaimAsked():
            return _take_question(table, event, now)
        case claimtables.SettleAsked():
            return claimsettlements.settle(table, event, now)
        case claimtables.SegmentsRead():
            return _take_read(table, event, now)
        case claimtables.SegmentSwapped():
            return _take_swap(table, event, now)
        case claimtables.InstanceLost():
            claimsettlements.lose_instance(table, event.instance, now)
        case claimtables.AuthorityHeld():
            table.authority_until = max(table.authority_until, event.until)
    return []


def _hash(size: int, *parts: str) -> bytes:
    state = hashlib.blake2b(digest_size=size)
    for part in parts:
        data = part.encode()
        state.update(len(data).to_bytes(4, 'big'))
        state.update(data)
    return state.digest()


def _may_call(table: _Table) -> bool:
    """Returns whether this grantor may use the log.

    Until it has held authority, an older one may still tell callers that what
    it does not know was not run; so nothing may be granted here before.
    """
    return table.authority_until > 0 and table.phase is not _Phase.FENCED


def _plan_call(table: _Table, now: float):
    if table.phase is _Phase.READING:
        return claimreads.plan_read(table)
    if table.phase is _Phase.FENCING:
        return claimreads.plan_fence(table, now)
    if claimcommits.needs_archive(table, now):
        return claimcommits.plan_archive(table, now)
    due = claimcommits.due_at(table, now)
    if due is None or due > now or not claimlogs.has_room(table.log):
        return None
    return claimcommits.plan_commit(table, now)


def _take_question(table: _Table, event: claimtables.ClaimAsked,
                   now: float) -> list[_Action]:
    table.counters.claims += 1
    ends_at = now + event.remaining_ms
    return claimverdicts.ask(
        table, claimtables.Waiting(event.claim, event.token, now, ends_at), now)


def _take_read(table: _Table, event: claimtables.SegmentsRead,
               now: float) -> list[_Action]:
    call = table.call
    if (not isinstance(call, claimtables.ReadSegments) or
            call.prefix != event.prefix):
        return []  # The call was made for an earlier table of this shard.
    table.call = None
    return _follow(table, claimreads.take_read(table, event, now))


def _take_swap(table: _Table, event: claimtables.SegmentSwapped,
               now: float) -> list[_Action]:
    if not _is_outcome(table.call, event):
        return []
    table.call = None
    if table.phase is _Phase.FENCING:
        newer = claimreads.take_fence(table, event, now)
        return _follow(table, newer) + _serve_waiting(table, now)
    if isinstance(table.sent, claimlogs.Archive):
        return _follow(table, claimcommits.take_archive(table, event, now))
    if isinstance(event.outcome, outcomes.Failed):
        return _take_failure(table, event.outcome, now)
    landed = claimcommits.find_landed(table, event.outcome)
    if isinstance(landed, int):
        if not landed:
            table.phase = _Phase.READING
        return _follow(table, landed)
    version = (event.outcome.version
               if landed is table.sent else event.outcome.current.version)
    claimcommits.note_landed(table, landed, version)
    return _grant(table, landed, now) + claimsettlements.finish(table, landed)


def _is_outcome(call: claimtables.ReadSegments | claimtables.SwapSegment | None,
                event: claimtables.SegmentSwapped) -> bool:
    """Returns whether an event tells of this call, or as much as it would.

    It may be that of a call for an earlier table of this shard: a conflict or
    a failure are then as good, another's success is not.
    """
    if not isinstance(call, claimtables.SwapSegment) or call.key != event.key:
        return False
    if isinstance(event.outcome, stores.Record):
        return event.outcome.value == call.payload
    return True


def _take_failure(table: _Table, failed: outcomes.Failed,
                  now: float) -> list[_Action]:
    """Refuses what waits; what may have landed is released afterwards."""
    table.counters.failures += 1
    table.down = True
    table.dirty |= failed.reason is outcomes.Reason.TIMED_OUT
    table.retry_at = now + table.limits.retry_ms
    waiting, table.waiting = table.waiting, {}
    actions = [
        claimverdicts.refuse(table, item.token, now, 'the store is down')
        for item in waiting.values()
    ]
    for item in table.unlogged:
        if item.token is not None:
            actions.append(claimtables.SettleReply(item.token, False))
            item.token = None
    return actions


def _grant(table: _Table, landed: claimlogs.Tail, now: float) -> list[_Action]:
    actions = []
    for claim in landed.claims:
        waiting = table.waiting.get(claim.digest)
        if waiting is None or waiting.claim != claim:
            # Nobody was or will be granted this.
            claimsettlements.log(table,
                                 claimlogs.Settlement(claim, _Kind.RELEASED),
                                 now)
            continue
        del table.waiting[claim.digest]
        table.running[claim.digest] = claimtables.Running(
            claim, waiting.ends_at + table.limits.grace_ms)
        table.counters.granted += 1
        actions.append(claimtables.Reply(waiting.token, _Verdict.GRANTED))
    return actions


def _follow(table: _Table, newer_epoch: int) -> list[_Action]:
    """Steps down if a newer grantor was met."""
    if not newer_epoch:
        return []
    table.phase = _Phase.FENCED
    waiting, table.waiting = table.waiting, {}
    actions = [
        claimverdicts.not_grantor(item.token) for item in waiting.values()
    ]
    return actions + [claimtables.StepDown(newer_epoch)]


def _serve_waiting(table: _Table, now: float) -> list[_Action]:
    """Looks up what waited until the log was read."""
    if table.phase is not _Phase.SERVING:
        return []
    waiting, table.waiting = table.waiting, {}
    return [
        action for item in waiting.values()
        for action in claimverdicts.ask(table, item, now)
    ]


def _expire_waiting(table: _Table, now: float) -> list[_Action]:
    actions = []
    longest = table.limits.max_wait_ms
    for digest, item in list(table.waiting.items()):
        if now >= min(item.ends_at, item.asked_at + longest):
            del table.waiting[digest]
            actions.append(
                claimverdicts.refuse(table, item.token, now,
                                     'not committed in time'))
    return actions
