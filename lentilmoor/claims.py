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

from lentilmoor import answers
from lentilmoor import claimcommits
from lentilmoor import claimlogs
from lentilmoor import claimreads
from lentilmoor import claimsets
from lentilmoor import claimtables
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
    _expire_running(table, now)
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
            return _settle(table, event, now)
        case claimtables.SegmentsRead():
            return _take_read(table, event, now)
        case claimtables.SegmentSwapped():
            return _take_swap(table, event, now)
        case claimtables.InstanceLost():
            _lose_instance(table, event.instance, now)
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
    return _ask(table,
                claimtables.Waiting(event.claim, event.token, now, ends_at),
                now)


def _ask(table: _Table, asked: claimtables.Waiting,
         now: float) -> list[_Action]:
    if table.phase is _Phase.FENCED:
        return [_not_grantor(asked.token)]
    if table.phase is _Phase.SERVING:
        known = _look_up(table, asked)
        if known is not None:
            return [known]
    earlier = table.waiting.get(asked.claim.digest)
    if earlier is not None:
        return [_join(table, earlier, asked)]
    obstacle = _find_obstacle(table)
    if obstacle:
        return [_refuse(table, asked.token, now, obstacle)]
    table.waiting[asked.claim.digest] = asked
    return []


def _look_up(table: _Table,
             asked: claimtables.Waiting) -> claimtables.Reply | None:
    claim = asked.claim
    running = table.running.get(claim.digest)
    if running is not None:
        if running.claim == claim:
            return claimtables.Reply(asked.token, _Verdict.GRANTED)
        return _compare(table, running.claim, asked)
    mark = claimsets.find(table.ended, claim.digest)
    if mark is None:
        return None
    if mark != claimsets.get_mark(claim.fingerprint):
        return _mismatch(table, asked.token)
    table.counters.repeated += 1
    answer = answers.find(table.answers, claim.digest)
    if answer is not None:
        return claimtables.Reply(asked.token, _Verdict.ANSWERED, answer)
    return claimtables.Reply(asked.token,
                             _Verdict.ENDED,
                             detail='it ran or may have run')


def _find_obstacle(table: _Table) -> str:
    """Returns why no new claim can be committed, or ''."""
    if table.phase is _Phase.SERVING and table.down:
        return 'the store is down'
    if len(table.waiting) >= table.limits.max_waiting:
        return 'too many claims wait'
    if claimsets.count(table.ended) >= table.limits.max_claims:
        return 'no more claims can be remembered'
    return ''


def _join(table: _Table, earlier: claimtables.Waiting,
          asked: claimtables.Waiting) -> claimtables.Reply:
    """Answers a claim whose digest waits already."""
    if earlier.claim != asked.claim:
        return _compare(table, earlier.claim, asked)
    table.waiting[asked.claim.digest] = asked
    return _still_running(table, earlier.token)


def _compare(table: _Table, holder: claimlogs.Claim,
             asked: claimtables.Waiting) -> claimtables.Reply:
    """Answers a claim whose digest another attempt holds."""
    if holder.fingerprint != asked.claim.fingerprint:
        return _mismatch(table, asked.token)
    return _still_running(table, asked.token)


def _settle(table: _Table, event: claimtables.SettleAsked,
            now: float) -> list[_Action]:
    if table.phase is not _Phase.SERVING:
        return [claimtables.SettleReply(event.token, False)]
    if event.kind is _Kind.RELEASED:
        return _release(table, event, now)
    running = table.running.get(event.digest)
    if running is not None and running.claim.attempt == event.attempt:
        _end(table, running.claim, now)
        kept = _keep(table, event)
        kind = _Kind.ANSWERED if kept else _Kind.ENDED
        _log(
            table,
            claimlogs.Settlement(running.claim, kind,
                                 event.answer if kept else b''), now)
        return [claimtables.SettleReply(event.token, True)]
    mark = claimsets.find(table.ended, event.digest)
    if mark is not None and _keep(table, event):
        fingerprint = mark.to_bytes(claimsets.MARK_BYTES, 'big')
        claim = claimlogs.Claim(event.digest, fingerprint, '', event.attempt)
        _log(table, claimlogs.Settlement(claim, _Kind.ANSWERED, event.answer),
             now)
    return [claimtables.SettleReply(event.token, mark is not None)]


def _release(table: _Table, event: claimtables.SettleAsked,
             now: float) -> list[_Action]:
    actions = []
    waiting = table.waiting.get(event.digest)
    if waiting is not None and waiting.claim.attempt == event.attempt:
        del table.waiting[event.digest]
        actions.append(_refuse(table, waiting.token, now, 'given up'))
    running = table.running.get(event.digest)
    if running is not None and running.claim.attempt == event.attempt:
        del table.running[event.digest]
    elif claimsets.find(table.ended, event.digest) is not None:
        return actions + [claimtables.SettleReply(event.token, False)]
    claim = claimlogs.Claim(event.digest, b'', '', event.attempt)
    _log(table, claimlogs.Settlement(claim, _Kind.RELEASED), now, event.token)
    return actions


def _keep(table: _Table, event: claimtables.SettleAsked) -> bool:
    return (event.kind is _Kind.ANSWERED and
            answers.keep(table.answers, event.digest, event.answer))


def _end(table: _Table, claim: claimlogs.Claim, now: float) -> None:
    table.running.pop(claim.digest, None)
    claimsets.add(table.ended, claim.digest, claim.fingerprint,
                  now + table.wall_offset_ms)


def _log(table: _Table,
         settlement: claimlogs.Settlement,
         now: float,
         token: int | None = None) -> None:
    table.unlogged.append(claimtables.Unlogged(settlement, now, token))


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
    return _grant(table, landed, now) + _finish_settlements(table, landed)


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
        _refuse(table, item.token, now, 'the store is down')
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
            _log(table, claimlogs.Settlement(claim, _Kind.RELEASED), now)
            continue
        del table.waiting[claim.digest]
        table.running[claim.digest] = claimtables.Running(
            claim, waiting.ends_at + table.limits.grace_ms)
        table.counters.granted += 1
        actions.append(claimtables.Reply(waiting.token, _Verdict.GRANTED))
    return actions


def _finish_settlements(table: _Table, landed: claimlogs.Tail) -> list[_Action]:
    done = set(landed.settlements)
    actions = [
        claimtables.SettleReply(item.token, True)
        for item in table.unlogged
        if item.settlement in done and item.token is not None
    ]
    table.unlogged = [
        item for item in table.unlogged if item.settlement not in done
    ]
    return actions


def _follow(table: _Table, newer_epoch: int) -> list[_Action]:
    """Steps down if a newer grantor was met."""
    if not newer_epoch:
        return []
    table.phase = _Phase.FENCED
    waiting, table.waiting = table.waiting, {}
    actions = [_not_grantor(item.token) for item in waiting.values()]
    return actions + [claimtables.StepDown(newer_epoch)]


def _serve_waiting(table: _Table, now: float) -> list[_Action]:
    """Looks up what waited until the log was read."""
    if table.phase is not _Phase.SERVING:
        return []
    waiting, table.waiting = table.waiting, {}
    return [
        action for item in waiting.values()
        for action in _ask(table, item, now)
    ]


def _expire_waiting(table: _Table, now: float) -> list[_Action]:
    actions = []
    longest = table.limits.max_wait_ms
    for digest, item in list(table.waiting.items()):
        if now >= min(item.ends_at, item.asked_at + longest):
            del table.waiting[digest]
            actions.append(
                _refuse(table, item.token, now, 'not committed in time'))
    return actions


def _expire_running(table: _Table, now: float) -> None:
    if now < table.expire_at:
        return
    table.expire_at = now + table.limits.expire_ms
    for item in list(table.running.values()):
        if now >= item.ends_at:
            _end(table, item.claim, now)


def _lose_instance(table: _Table, instance: str, now: float) -> None:
    for item in list(table.running.values()):
        if item.claim.instance == instance:
            _end(table, item.claim, now)


def _refuse(table: _Table, token: int, now: float,
            detail: str) -> claimtables.Reply:
    """Refuses a claim that was not granted.

    Only a grantor that has read the log, and that no newer one can have
    replaced, knows that no earlier attempt of this digest was dispatched.
    """
    retry_ms = int(table.limits.retry_ms)
    sure = table.phase is _Phase.SERVING and now < table.authority_until
    if sure:
        table.counters.refused += 1
        return claimtables.Reply(token,
                                 _Verdict.UNAVAILABLE,
                                 retry_after_ms=retry_ms,
                                 detail=detail)
    table.counters.unknown += 1
    return claimtables.Reply(token,
                             _Verdict.ENDED,
                             retry_after_ms=retry_ms,
                             detail=f'not claimed now ({detail}); an earlier '
                             'attempt may have run')


def _mismatch(table: _Table, token: int) -> claimtables.Reply:
    table.counters.mismatched += 1
    return claimtables.Reply(token,
                             _Verdict.MISMATCH,
                             detail='the idempotency key names another request')


def _still_running(table: _Table, token: int) -> claimtables.Reply:
    table.counters.repeated += 1
    return claimtables.Reply(token,
                             _Verdict.RUNNING,
                             retry_after_ms=int(table.limits.retry_ms),
                             detail='an earlier attempt is running')


def _not_grantor(token: int) -> claimtables.Reply:
    return claimtables.Reply(token, _Verdict.NOT_GRANTOR)
