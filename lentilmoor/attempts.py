"""One admitted try of a request at a server.

Takes a slot, registers the request, looks at its route once more and sends
it; afterwards gives everything back and reports how it ended.
"""

from collections.abc import Callable
import dataclasses
import functools

from lentilmoor import admission
from lentilmoor import calls
from lentilmoor import dispatchers
from lentilmoor import homes
from lentilmoor import inflight
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import queues
from lentilmoor import routes
from lentilmoor import runs
from lentilmoor import transport

_Reason = outcomes.Reason
_End = dispatchers.TryEnd

_ENDS = {
    _Reason.CONNECT_FAILED: _End.REFUSED,
    _Reason.CONNECTION_LOST: _End.LOST,
    _Reason.ANSWER_CUT: _End.LOST,
    _Reason.TIMED_OUT: _End.TIMED_OUT,
    _Reason.NOT_GRANTED: _End.NOT_GRANTED,
    _Reason.DEADLINE_PASSED: _End.ABANDONED,
    _Reason.NO_SERVER: _End.ABANDONED,
    _Reason.OVERLOADED: _End.ABANDONED,
    _Reason.SHUTTING_DOWN: _End.ABANDONED,
    _Reason.BAD_REQUEST: _End.ABANDONED,
    _Reason.CANCELLED: _End.ABANDONED,
}
_SLOT_ENDINGS = {
    _End.ANSWERED: admission.Ending.SERVED,
    _End.REFUSED: admission.Ending.FAILED,
    _End.LOST: admission.Ending.FAILED,
    _End.TIMED_OUT: admission.Ending.FAILED,
    _End.SHED: admission.Ending.SHED,
    _End.NOT_GRANTED: admission.Ending.UNUSED,
    _End.ABANDONED: admission.Ending.UNUSED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class NotTried:
    """Nothing was sent, and another route is to be found."""


def try_server(
    run: runs.Run, route: routes.Straight
) -> transport.Attempt | routes.Relay | outcomes.NotRun | NotTried:
    """Tries a server.

    Args:
      run: The request.
      route: The server.

    Returns:
      The try; where to relay to instead; why no slot was given; or that the
      route no longer holds.
    """
    slot = _admit(run, route)
    if isinstance(slot, routes.Relay):
        return slot
    if isinstance(slot, outcomes.NotRun):
        return NotTried() if slot.reason is _Reason.NO_OWNER else slot
    row = _register(run, route)
    if row is None:
        _leave(run, route, slot, _End.ABANDONED, 0.0)
        return NotTried()
    finish = functools.partial(_finish, run, route, slot, row)
    try:
        sent = _send(run, route)
    except BaseException:
        finish(_End.ABANDONED)
        raise
    result = sent.result
    if isinstance(result,
                  transport.Answer) and result.remaining_chunks is not None:
        _finish_later(result, finish)
    else:
        finish(_judge(result), sent.opened_at)
    return sent


def _send(run: runs.Run, route: routes.Straight) -> transport.Attempt:
    gate = run.dispatcher.gate_of(run.call, route.server.id)
    with run.span.child('try') as span:
        span.note('server', route.server.id)
        return run.wiring.send(
            route,
            runs.Outgoing(run.call, run.body, span, run.fresh,
                          gate.response_ms))


def _admit(
        run: runs.Run, route: routes.Straight
) -> admission.Slot | routes.Relay | outcomes.NotRun:
    dispatcher, call = run.dispatcher, run.call
    gate = dispatcher.gate_of(call, route.server.id)
    now = dispatcher.clock.now()
    ticket = queues.Ticket(call.caller, call.class_index, call.deadline)
    home = routes.pick_home(route.server, run.avoid)
    if home not in ('', dispatcher.instance) and not call.relayed:
        share = homes.straight_share(route.server.contended)
        slot = gate.try_enter(ticket, now, share)
        if slot is not None:
            return slot
        address = dispatcher.snapshot.relays.get(home)
        if address:
            return routes.Relay(home, address, route.server.id)
    with run.span.child('queue'):
        slot = gate.enter(ticket, now)
    if isinstance(slot, admission.Slot):
        dispatcher.meters.queue_ms.labeled(
            call.service, call.class_name).record(slot.waited_ms)
    return slot


def _register(run: runs.Run,
              route: routes.Straight) -> inflight.InflightRequest | None:
    """Registers the try; None if its route no longer holds."""
    dispatcher, call = run.dispatcher, run.call
    now = dispatcher.clock.now()
    row = inflight.InflightRequest(call.request_id, call.shard_id,
                                   route.server.id, route.server.address,
                                   call.point, (route.epoch, route.sequence),
                                   now, call.raw.caller_gone)
    dispatcher.inflight.begin(row)
    if _still_holds(dispatcher.snapshot, call, route, now):
        return row
    dispatcher.inflight.end(row)
    return None


def _finish(run: runs.Run,
            route: routes.Straight,
            slot: admission.Slot,
            row: inflight.InflightRequest,
            end: _End,
            opened_at: float = 0.0) -> None:
    """Gives back what a try held and reports how it ended."""
    dispatcher, call = run.dispatcher, run.call
    now = dispatcher.clock.now()
    took_ms = now - row.started_at
    dispatcher.inflight.end(row)
    dispatcher.meters.tries.labeled(call.service, end.value).add()
    _leave(run, route, slot, end, took_ms)
    cost_ms = took_ms if end is _End.ANSWERED else 0.0
    dispatcher.observations.append(
        dispatchers.Observation(call.shard_id, route.server.id, end,
                                row.started_at, now, call.point, cost_ms))
    if end is _End.ANSWERED:
        dispatcher.proven[call.shard_id, route.server.id] = now
        _note_clean_run(run, route, opened_at, now)
    elif end is _End.LOST:
        _note_crash(run, route, now)


def _leave(run: runs.Run, route: routes.Straight, slot: admission.Slot,
           end: _End, took_ms: float) -> None:
    gate = run.dispatcher.gate_of(run.call, route.server.id)
    gate.leave(slot, took_ms, run.dispatcher.clock.now(), _SLOT_ENDINGS[end])


def _note_clean_run(run: runs.Run, route: routes.Straight, opened_at: float,
                    now: float) -> None:
    suspects = run.dispatcher.suspects
    if not suspects.suspects:
        return
    if opened_at:
        for item in quarantine.report_alive(suspects, route.server.id,
                                            opened_at, now):
            run.wiring.spread_crash(item)
    evidence = quarantine.report_clean_run(
        suspects, runs.make_fingerprint(run.call, run.body), route.server.id,
        now)
    if evidence is not None:
        run.wiring.spread_crash(evidence)


def _note_crash(run: runs.Run, route: routes.Straight, now: float) -> None:
    call = run.call
    evidence = quarantine.report_crash(run.dispatcher.suspects,
                                       runs.make_fingerprint(call, run.body),
                                       f'{call.team}/{call.service}',
                                       route.server.id, now)
    run.wiring.spread_crash(evidence)


def _finish_later(answer: transport.Answer, finish: Callable[[_End],
                                                             None]) -> None:
    """Keeps a try open until its streamed answer has ended or is given up."""
    chunks, close = answer.remaining_chunks, answer.close
    finished = False

    def end(how: _End) -> None:
        nonlocal finished
        if finished:
            return
        finished = True
        if how is not _End.ANSWERED:
            close()
        finish(how)

    def stream():
        try:
            yield from chunks
        except transport.TruncatedAnswerError:
            end(_End.LOST)
            raise
        end(_End.ANSWERED)

    answer.remaining_chunks = stream()
    answer.close = lambda: end(_End.ABANDONED)


def _judge(result: transport.Result) -> _End:
    if isinstance(result, transport.Answer):
        return _End.ANSWERED
    return _ENDS.get(result.reason, _End.SHED)


def _still_holds(snapshot: routes.Snapshot, call: calls.Call,
                 route: routes.Straight, now: float) -> bool:
    shard = snapshot.shards.get(call.shard_id)
    if shard is None or shard.expires_at <= now:
        return False
    if not shard.keyed:
        return route.server.id in shard.servers
    return shard.map.owner_of(call.point) == route.server.id
