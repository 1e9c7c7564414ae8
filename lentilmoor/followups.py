"""What follows a try that ended without a whole answer."""

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import retries
from lentilmoor import runs
from lentilmoor import tables
from lentilmoor import transport

_Reason = outcomes.Reason

# Ends of a try after which another one can't do better.
_FINAL = frozenset(
    (_Reason.DEADLINE_PASSED, _Reason.BAD_REQUEST, _Reason.CANCELLED))


def weigh(run: runs.Run, server: str, sent: transport.Attempt,
          version: tuple[int, int]) -> transport.Result | None:
    """Decides whether another try follows; None if it does."""
    dispatcher, call, result = run.dispatcher, run.call, sent.result
    now = dispatcher.clock.now()
    ending = retries.Ending(server=server,
                            reason=result.reason,
                            at=now,
                            may_have_run=isinstance(result, outcomes.Unknown),
                            version=version,
                            reused=sent.reused,
                            retry_after_ms=result.retry_after_ms)
    budget = dispatcher.budget_of(call)
    if not run.body.is_resendable or result.reason in _FINAL:
        if isinstance(result, outcomes.NotRun):
            return runs.conclude(run, result)
        return result
    step = retries.decide(run.progress, ending, _see_route(run, server), budget,
                          now, dispatcher.generator)
    if isinstance(step, retries.AwaitChange):
        _await_change(run, ending, step.until)
        step = retries.resume(run.progress, ending, _see_route(run,
                                                               server), budget,
                              dispatcher.clock.now(), dispatcher.generator)
    if isinstance(step, retries.GiveUp):
        return step.outcome
    run.fresh = step.fresh
    if step.delay_ms:
        clocks.pause(step.delay_ms)
    return None


def _await_change(run: runs.Run, ending: retries.Ending, until: float) -> None:
    dispatcher = run.dispatcher
    while True:
        snapshot = dispatcher.snapshot
        route = _see_route(run, ending.server)
        if route.server not in (None, ending.server):
            return
        if route.server and route.version > ending.version:
            return
        if not dispatcher.hold(snapshot, until - dispatcher.clock.now()):
            return


def _see_route(run: runs.Run, tried: str) -> retries.Route:
    """Returns where the call would go now, after a try at `tried`."""
    dispatcher, call = run.dispatcher, run.call
    shard = dispatcher.snapshot.shards.get(call.shard_id)
    if shard is None or shard.map is None:
        return retries.Route(None)
    version = (shard.epoch, shard.sequence)
    if not shard.keyed:
        run.avoid |= {tried}
        others = shard.servers.keys() - run.avoid
        return retries.Route(min(others, default=None), version=version)
    owner = shard.map.owner_of(call.point)
    if owner is None or owner not in shard.servers:
        return retries.Route(None, moving=True, version=version)
    liveness = shard.servers[owner].liveness
    proven_at = dispatcher.proven.get((shard.id, owner), 0.0)
    return retries.Route(owner, liveness is not tables.Liveness.LIVE, proven_at,
                         version)
