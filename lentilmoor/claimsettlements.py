"""How a committed claim ends: settled, released or given up for lost."""

from lentilmoor import answers
from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import claimtables
from lentilmoor import claimverdicts

_Table = claimtables.ClaimTable
_Action = claimtables.Action
_Kind = claimlogs.SettlementKind
_Phase = claimtables.Phase


def settle(table: _Table, event: claimtables.SettleAsked,
           now: float) -> list[_Action]:
    """Takes in what became of a claimed request, and replies."""
    if table.phase is not _Phase.SERVING:
        return [claimtables.SettleReply(event.token, False)]
    if event.kind is _Kind.RELEASED:
        return _release(table, event, now)
    running = table.running.get(event.digest)
    if running is not None and running.claim.attempt == event.attempt:
        _end(table, running.claim, now)
        kept = _keep(table, event)
        kind = _Kind.ANSWERED if kept else _Kind.ENDED
        log(
            table,
            claimlogs.Settlement(running.claim, kind,
                                 event.answer if kept else b''), now)
        return [claimtables.SettleReply(event.token, True)]
    mark = claimsets.find(table.ended, event.digest)
    if mark is not None and _keep(table, event):
        fingerprint = mark.to_bytes(claimsets.MARK_BYTES, 'big')
        claim = claimlogs.Claim(event.digest, fingerprint, '', event.attempt)
        log(table, claimlogs.Settlement(claim, _Kind.ANSWERED, event.answer),
            now)
    return [claimtables.SettleReply(event.token, mark is not None)]


def _release(table: _Table, event: claimtables.SettleAsked,
             now: float) -> list[_Action]:
    actions = []
    waiting = table.waiting.get(event.digest)
    if waiting is not None and waiting.claim.attempt == event.attempt:
        del table.waiting[event.digest]
        actions.append(
            claimverdicts.refuse(table, waiting.token, now, 'given up'))
    running = table.running.get(event.digest)
    if running is not None and running.claim.attempt == event.attempt:
        del table.running[event.digest]
    elif claimsets.find(table.ended, event.digest) is not None:
        return actions + [claimtables.SettleReply(event.token, False)]
    claim = claimlogs.Claim(event.digest, b'', '', event.attempt)
    log(table, claimlogs.Settlement(claim, _Kind.RELEASED), now, event.token)
    return actions


def _keep(table: _Table, event: claimtables.SettleAsked) -> bool:
    return (event.kind is _Kind.ANSWERED and
            answers.keep(table.answers, event.digest, event.answer))


def _end(table: _Table, claim: claimlogs.Claim, now: float) -> None:
    table.running.pop(claim.digest, None)
    claimsets.add(table.ended, claim.digest, claim.fingerprint,
                  now + table.wall_offset_ms)


def log(table: _Table,
        settlement: claimlogs.Settlement,
        now: float,
        token: int | None = None) -> None:
    """Queues a settlement for the next group commit."""
    table.unlogged.append(claimtables.Unlogged(settlement, now, token))


def finish(table: _Table, landed: claimlogs.Tail) -> list[_Action]:
    """Replies to whom waited for settlements that have landed."""
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


def lose_instance(table: _Table, instance: str, now: float) -> None:
    """Ends the claims of an entry that is gone."""
    for item in list(table.running.values()):
        if item.claim.instance == instance:
            _end(table, item.claim, now)


def expire(table: _Table, now: float) -> None:
    """Ends the claims that have run for too long."""
    if now < table.expire_at:
        return
    table.expire_at = now + table.limits.expire_ms
    for item in list(table.running.values()):
        if now >= item.ends_at:
            _end(table, item.claim, now)
