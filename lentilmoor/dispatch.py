"""One request from its arrival to its outcome.

Claimed if it may run only once, checked against the quarantine, then routed,
tried and perhaps tried again, until the outcome is certain. It is returned at
once; nothing is held back.
"""

from lentilmoor import attempts
from lentilmoor import bodies
from lentilmoor import calls
from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import followups
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import retries
from lentilmoor import routes
from lentilmoor import runs
from lentilmoor import traces
from lentilmoor import transport

# How long a request waits for a snapshot that can serve it: a little more
# than the second within which a lost server's keys are served again.
HOLD_MS = 1_500.0
MAX_ROUTES = 8
ALONE_LOOK_MS = 10.0

_Reason = outcomes.Reason
_BLOCKED = outcomes.NotRun(_Reason.QUARANTINED,
                           'this request has crashed its servers')
_NO_HOME = outcomes.NotRun(
    _Reason.QUARANTINED, 'a suspect runs alone, and nobody can see to it now',
    int(HOLD_MS))
_NOT_ALONE = outcomes.NotRun(_Reason.DEADLINE_PASSED,
                             'another suspect ran until the deadline')
_NO_VERSION = (0, 0)
_NO_LEASE = routes.Hold(_Reason.NO_LEASE)

# Refusals of an entry after which another route may serve.
_REROUTED = frozenset((_Reason.CONNECT_FAILED, _Reason.NO_LEASE,
                       _Reason.PEER_UNAVAILABLE, _Reason.SHUTTING_DOWN))


def dispatch_call(dispatcher: dispatchers.Dispatcher, wiring: runs.Wiring,
                  call: calls.Call, body: bodies.Body,
                  span: traces.Span) -> transport.Result:
    """Carries one call to its outcome.

    Args:
      dispatcher: What request threads share.
      wiring: What is called outside.
      call: The request.
      body: Its body.
      span: Its span.

    Returns:
      The answer, or why there is none.
    """
    run = runs.Run(dispatcher, wiring, call, body, span,
                   retries.Progress(call.repeatable, call.deadline))
    if call.repeatable or not call.idempotency_key or call.relayed:
        return _finish(run)
    with span.child('claim') as claim_span:
        claimed = wiring.claim(call, runs.make_fingerprint(call, body))
        claim_span.note('claimed', isinstance(claimed, runs.Claimed))
    if not isinstance(claimed, runs.Claimed):
        return claimed
    # What a fault of our own leaves behind may have run.
    result = outcomes.Unknown(_Reason.CONNECTION_LOST, 'the entry failed')
    try:
        result = _finish(run)
    finally:
        claimed.settle(result)
    return result


def _finish(run: runs.Run) -> transport.Result:
    """Routes and tries until there is an outcome."""
    retries.note_first_try(run.dispatcher.budget_of(run.call))
    for _ in range(MAX_ROUTES):
        if runs.is_blocked(run):
            return runs.conclude(run, _BLOCKED)
        route = _find_route(run)
        if isinstance(route, outcomes.NotRun):
            return runs.conclude(run, route)
        if isinstance(route, routes.Relay):
            result = _relay(run, route)
        else:
            result = _go_straight(run, route)
        if result is not None:
            return result
    return runs.conclude(
        run,
        outcomes.NotRun(_Reason.NO_OWNER, 'its owner keeps changing',
                        int(HOLD_MS)))


def _find_route(
        run: runs.Run) -> routes.Straight | routes.Relay | outcomes.NotRun:
    dispatcher, call = run.dispatcher, run.call
    until = min(call.deadline, dispatcher.clock.now() + HOLD_MS)
    while True:
        snapshot = dispatcher.snapshot
        now = dispatcher.clock.now()
        route = _pick_route(run, snapshot, now)
        if call.relayed and (route == _NO_LEASE or
                             isinstance(route, routes.Relay)):
            return outcomes.NotRun(_Reason.NO_LEASE,
                                   'handed to an entry without a lease', 1)
        if not isinstance(route, routes.Hold):
            return route
        if not dispatcher.hold(snapshot, until - now):
            return outcomes.NotRun(route.reason, 'nobody serves the key now',
                                   int(retries.TAKEOVER_MS))


def _pick_route(run: runs.Run, snapshot: routes.Snapshot,
                now: float) -> routes.Route:
    dispatcher, call = run.dispatcher, run.call
    if call.relayed and call.server:
        return routes.pick_relayed(snapshot, call.shard_id, call.point, now,
                                   call.server)
    return routes.pick_route(snapshot, call.shard_id, call.point, now,
                             dispatcher.instance, run.avoid, dispatcher.chance)


def _relay(run: runs.Run, route: routes.Relay) -> transport.Result | None:
    """Hands the call over; None if another route is to be found."""
    with run.span.child('relay') as span:
        span.note('entry', route.instance)
        sent = run.wiring.relay(
            route,
            runs.Outgoing(run.call,
                          run.body,
                          span,
                          run.fresh,
                          suspect=run.suspect))
    result = sent.result
    if isinstance(result, transport.Answer):
        return result
    if isinstance(result, outcomes.Unknown):
        run.avoid |= {route.instance}
        return followups.weigh(run, route.instance, sent, _NO_VERSION)
    if result.reason in _REROUTED:
        run.avoid |= {route.instance}
        return None
    return runs.conclude(run, result)


def _go_straight(run: runs.Run,
                 route: routes.Straight) -> transport.Result | None:
    """Tries a server; None if another route is to be found."""
    if not run.suspect:
        return _try_server(run, route)
    home = routes.pick_home(route.server, run.avoid)
    elsewhere = route.server.homes and home != run.dispatcher.instance
    if elsewhere and not run.call.relayed:
        address = run.dispatcher.snapshot.relays.get(home)
        if address is None:
            return runs.conclude(run, _NO_HOME)
        return _relay(run, routes.Relay(home, address, route.server.id))
    return _try_alone(run, route)


def _try_alone(run: runs.Run,
               route: routes.Straight) -> transport.Result | None:
    """Tries a server with no other suspect running there."""
    suspects = run.dispatcher.suspects
    fingerprint = runs.make_fingerprint(run.call, run.body)
    server = route.server.id
    while not quarantine.acquire_suspect_slot(suspects, server, fingerprint):
        if run.dispatcher.clock.now() >= run.call.deadline:
            return runs.conclude(run, _NOT_ALONE)
        clocks.pause(ALONE_LOOK_MS)
    try:
        if runs.is_blocked(run):
            return runs.conclude(run, _BLOCKED)
        return _try_server(run, route)
    finally:
        quarantine.release_suspect_slot(suspects, server)


def _try_server(run: runs.Run,
                route: routes.Straight) -> transport.Result | None:
    sent = attempts.try_server(run, route)
    if isinstance(sent, attempts.NotTried):
        return None
    if isinstance(sent, routes.Relay):
        return _relay(run, sent)
    if isinstance(sent, outcomes.NotRun):
        return runs.conclude(run, sent)
    if isinstance(sent.result, transport.Answer):
        return sent.result
    return followups.weigh(run, route.server.id, sent,
                           (route.epoch, route.sequence))
