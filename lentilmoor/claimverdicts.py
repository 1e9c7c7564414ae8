"""The verdict on a claim: what its digest is known for, or that it waits."""

from lentilmoor import answers
from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import claimtables

_Table = claimtables.ClaimTable
_Action = claimtables.Action
_Phase = claimtables.Phase
_Verdict = claimtables.Verdict


def ask(table: _Table, asked: claimtables.Waiting, now: float) -> list[_Action]:
    """Answers a claim, or lets it wait for the next group commit.

    Args:
      table: The claims of one shard.
      asked: The claim.
      now: Milliseconds.

    Returns:
      A reply, or nothing while the claim waits.
    """
    if table.phase is _Phase.FENCED:
        return [not_grantor(asked.token)]
    if table.phase is _Phase.SERVING:
        known = _look_up(table, asked)
        if known is not None:
            return [known]
    earlier = table.waiting.get(asked.claim.digest)
    if earlier is not None:
        return [_join(table, earlier, asked)]
    obstacle = _find_obstacle(table)
    if obstacle:
        return [refuse(table, asked.token, now, obstacle)]
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


def refuse(table: _Table, token: int, now: float,
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


def not_grantor(token: int) -> claimtables.Reply:
    """Refers the dispatcher to the grantor of a newer epoch."""
    return claimtables.Reply(token, _Verdict.NOT_GRANTOR)
