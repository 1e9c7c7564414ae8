"""One request from its arrival to its outcome.

Finds the route, picks a server or the owner of the key, sends, and tries again
where that is safe: requests that may be repeated, and those that certainly
did not run. What is given up on is answered at once.
"""

from collections.abc import Callable
import dataclasses

from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import attemptresults
from lentilmoor.edge import departures
from lentilmoor.edge import exchange
from lentilmoor.edge import matching
from lentilmoor.edge import placement
from lentilmoor.edge import ratelimits
from lentilmoor.edge import requests
from lentilmoor.edge import retrybudgets
from lentilmoor.edge import selection
from lentilmoor.edge import staleness
from lentilmoor.edge import suspects
from lentilmoor.edge import tables

# Servers that are looked at for one request, those included that can't be
# connected to.
MOST_PICKS = 6
# Left for the way back of an answer to the caller, ms.
WAY_BACK_MS = 8.0
# A caller that doesn't say how long it waits.
PATIENCE_MS = 10_000.0
# Time to come back while an entry starts, which takes some 0.5 s.
START_RETRY_MS = 300
# Part of its time that a request waits at most for the configuration, or for
# newer knowledge: it leaves the caller time to come back elsewhere.
START_WAIT_PART = 0.15
# Knowledge turns recent without a notice if others answer that they know
# nothing newer.
AWAIT_MS = 50.0
# Time to come back after a request that this entry knows too little for: others
# may know more.
OUTDATED_RETRY_MS = 60
# Minimum interval between log lines about requests that are refused or sent by
# an old copy of the store.
OUTDATED_LOG_INTERVAL_MS = 100.0
# Minimum interval between log lines about requests to draining or paused
# servers.
UNAVAILABLE_LOG_INTERVAL_MS = 100.0

_Reason = outcomes.Reason


def forward(forwarder: requests.Forwarder,
            request: requests.Request) -> requests.Outcome:
    """Carries a request to its outcome."""
    # Its body may have come long after its headers.
    whole_at = forwarder.clock.now()
    return (departures.refuse_late_arrival(forwarder.departure, whole_at) or
            _route(forwarder, request))


def _route(forwarder: requests.Forwarder,
           request: requests.Request) -> requests.Outcome:
    """Finds the service of a request and carries it there."""
    snapshot = _await_configuration(forwarder, request)
    if snapshot.configuration is None:
        return outcomes.NotRun(_Reason.STARTING, 'no configuration yet',
                               START_RETRY_MS)
    route = _find_route(forwarder, request)
    if isinstance(route, outcomes.NotRun):
        return route
    verdict = suspects.check(forwarder, request)
    if verdict is quarantine.Verdict.BLOCKED:
        return suspects.make_refusal()
    name = matching.pick_service(route, forwarder.generator.random())
    snapshot = forwarder.snapshot
    service = snapshot.configuration.services.get(name)
    if service is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no such service',
                               selection.SERVICE_RETRY_MS)
    if service.keyed and request.fields.key is None:
        return outcomes.NotRun(_Reason.MISSING_KEY, 'the request has no key')
    patience_ms = request.fields.caller_timeout_ms or PATIENCE_MS
    until = request.arrived_at + min(patience_ms - WAY_BACK_MS,
                                     route.timeout_ms)
    run = requests.Run(request, route, service, until)
    if verdict is quarantine.Verdict.SUSPECT:
        run.on_trial = suspects.begin_trial(forwarder, request)
    with forwarder.lock:
        retrybudgets.record_request(_budget_of(forwarder, name),
                                    forwarder.platform.settings.bounds,
                                    request.arrived_at)
    forwarder.in_flight.add(run)
    try:
        return _carry(forwarder, run)
    finally:
        forwarder.in_flight.discard(run)


def _await_configuration(forwarder: requests.Forwarder,
                         request: requests.Request) -> tables.RoutingSnapshot:
    """Waits a little for the configuration of an entry that has just started.

    It comes some 25 ms after the first requests are read; a caller that is
    refused meanwhile has spent its only repeat.
    """
    snapshot = forwarder.snapshot
    until = _find_wait_end(request)
    while snapshot.configuration is None:
        left_ms = until - forwarder.clock.now()
        if left_ms <= 0:
            break
        selection.await_snapshot(forwarder, snapshot, left_ms)
        snapshot = forwarder.snapshot
    return snapshot


def _find_route(forwarder: requests.Forwarder,
                request: requests.Request) -> tables.Route | outcomes.NotRun:
    """Returns a request's route by a recent configuration, or a refusal."""
    if not _await(forwarder, request, requests.is_configuration_recent):
        return _refuse_outdated(forwarder, request)
    route = matching.find_route(forwarder.route_index, request.host,
                                request.path)
    if route is not None:
        return route
    if not _await(forwarder, request, requests.may_reject_unknown_route):
        return _refuse_outdated(forwarder, request)
    # It may have come while this waited.
    route = matching.find_route(forwarder.route_index, request.host,
                                request.path)
    return route or outcomes.NotRun(_Reason.UNKNOWN_SERVICE, 'no such route')


def _find_wait_end(request: requests.Request) -> float:
    patience_ms = request.fields.caller_timeout_ms or PATIENCE_MS
    return request.arrived_at + START_WAIT_PART * patience_ms


def _await(forwarder: requests.Forwarder, request: requests.Request,
           is_recent: Callable[[requests.Forwarder], bool]) -> bool:
    """Waits a little for newer knowledge; returns whether it is recent."""
    until = _find_wait_end(request)
    while not is_recent(forwarder):
        left_ms = until - forwarder.clock.now()
        if left_ms <= 0:
            return False
        staleness.wait_for_change(forwarder.freshness, min(left_ms, AWAIT_MS))
    return True


def _refuse_outdated(forwarder: requests.Forwarder,
                     request: requests.Request) -> outcomes.NotRun:
    """Refuses a request that this entry knows too little for."""
    _log_outdated(forwarder, request, 'refused_by_old_copy')
    return outcomes.NotRun(_Reason.OUTDATED,
                           'what is known of the store is too old',
                           OUTDATED_RETRY_MS)


def _carry(forwarder: requests.Forwarder,
           run: requests.Run) -> requests.Outcome:
    for _ in range(MOST_PICKS):
        if not _await(forwarder, run.request, requests.is_server_data_recent):
            return attemptresults.find_outcome(
                run, _refuse_outdated(forwarder, run.request))
        choice = selection.select_server(forwarder, run)
        if not isinstance(choice, placement.Choice):
            return attemptresults.find_outcome(run, choice)
        refusal = (_check_blocked(forwarder, run) or
                   _check_departure(forwarder, run, choice) or
                   _check_repeat(forwarder, run, choice))
        if refusal is not None:
            return attemptresults.find_outcome(run, refusal)
        refusal = selection.take_permit(forwarder, run, choice.server)
        if refusal is not None:
            if run.service.keyed:
                return attemptresults.find_outcome(run, refusal)
            continue
        result = _try(forwarder, run, choice)
        if result is not None:
            return result
    return attemptresults.find_outcome(
        run,
        outcomes.NotRun(_Reason.NO_SERVER, 'no server takes the request',
                        selection.SERVICE_RETRY_MS))


def _check_blocked(forwarder: requests.Forwarder,
                   run: requests.Run) -> outcomes.NotRun | None:
    """Returns the refusal of a request that has been blocked since it came."""
    if run.on_trial or suspects.check(forwarder,
                                      run.request) is quarantine.Verdict.CLEAR:
        return None
    return suspects.make_refusal()


def _check_departure(forwarder: requests.Forwarder, run: requests.Run,
                     choice: placement.Choice) -> outcomes.NotRun | None:
    """Returns the refusal of a request that can't end before this process."""
    return departures.refuse_late_send(forwarder.departure, run.deadline_at,
                                       run.idempotent, choice.expected_ms,
                                       forwarder.clock.now())


def _check_repeat(forwarder: requests.Forwarder, run: requests.Run,
                  choice: placement.Choice) -> outcomes.NotRun | None:
    """Returns the refusal of a try for which no repeat is left."""
    if not run.sent_to or _may_repeat(forwarder, run, choice):
        return None
    return outcomes.NotRun(_Reason.OVERLOADED,
                           'no repeats are left for the service',
                           selection.SERVICE_RETRY_MS)


def _may_repeat(forwarder: requests.Forwarder, run: requests.Run,
                choice: placement.Choice) -> bool:
    if not suspects.may_retry(forwarder, run):
        return False
    # The new owner of a moving key may have turned the request away before it
    # was granted the key; asking it again takes it to no other server.
    if len(run.sent_to | {choice.server.id}) > max(1, run.route.max_attempts):
        return False
    with forwarder.lock:
        return retrybudgets.take_retry(_budget_of(forwarder, run.service.name),
                                       forwarder.platform.settings.bounds,
                                       max(1, len(forwarder.snapshot.entries)),
                                       forwarder.clock.now())


def _try(forwarder: requests.Forwarder, run: requests.Run,
         choice: placement.Choice) -> requests.Outcome | None:
    """Sends the request to a server; None if another may be tried."""
    request, server = run.request, choice.server
    state, pool = _enter(forwarder, run.service, server)
    sent_at = forwarder.clock.now()
    until = min(run.deadline_at,
                departures.find_deadline(forwarder.departure, sent_at))

    def make_headers() -> dict[str, str] | None:
        # A connection may take 0.5 s on a small machine, in which news come.
        if (not selection.may_send(forwarder, run.service, server.id) or
                _check_departure(forwarder, run, choice) is not None or
                _check_blocked(forwarder, run) is not None):
            return None
        if requests.find_knowledge_age(
                forwarder) > forwarder.age_limits.max_send_age_ms:
            _log_outdated(forwarder, request, 'sent_by_old_copy')
        _log_if_unavailable(forwarder, run, server, state)
        ratelimits.note_sent(forwarder.rate_limits, server.id,
                             bool(run.sent_to), forwarder.clock.now(),
                             forwarder.logger)
        headers = dict(request.headers)
        run.server, run.sent_at = server.id, forwarder.clock.now()
        forwarder.platform.header_format.add_server_headers(
            headers, server.name or server.id, until - run.sent_at)
        return headers

    order = exchange.Order(request.fields.request_id, request.method,
                           request.target, make_headers, request.body,
                           run.idempotent, until)
    result = exchange.send(
        pool, order, request.watch,
        forwarder.platform.header_format.parse_answer_headers, forwarder.clock)
    now = forwarder.clock.now()
    run.server = ''
    if isinstance(result, exchange.Gone):
        with forwarder.lock:
            placement.record_abandoned(state)
        suspects.note_lost_request(forwarder, run, server, pool, False)
        return exchange.Gone(server.id, now - sent_at)
    if isinstance(result, exchange.Withheld):
        with forwarder.lock:
            placement.record_abandoned(state)
        run.excluded_servers.add(server.id)
        late = _check_departure(forwarder, run, choice)
        return None if late is None else attemptresults.find_outcome(run, late)
    if isinstance(result, exchange.NotSent):
        with forwarder.lock:
            placement.record_connect_failure(state, now)
        if result.reason is _Reason.CONNECT_FAILED:
            suspects.note_connection_refused(forwarder, server)
        run.excluded_servers.add(server.id)
        return None
    run.sent_to.add(server.id)
    if isinstance(result, outcomes.Unknown):
        suspects.note_lost_request(forwarder, run, server, pool, result.reason
                                   is _Reason.TIMED_OUT)
        return attemptresults.handle_loss(forwarder, run, choice, state, result,
                                          now - sent_at)
    return attemptresults.handle_answer(forwarder, run, server, state, result,
                                        now - sent_at)


def _log_outdated(forwarder: requests.Forwarder, request: requests.Request,
                  event: str) -> None:
    """Logs what became of a request by an old copy, rate-limited."""
    now = forwarder.clock.now()
    if now - forwarder.stale_logged_at < OUTDATED_LOG_INTERVAL_MS:
        return
    forwarder.stale_logged_at = now
    applied = staleness.find_applied_times(forwarder.freshness)
    forwarder.logger.info(event,
                          request=request.fields.request_id,
                          servers_age_ms=round(
                              requests.find_age(forwarder, applied.servers_at)),
                          configuration_age_ms=round(
                              requests.find_age(forwarder,
                                                applied.configuration_at)),
                          unapplied=len(forwarder.freshness.pending_changes),
                          replies=len(forwarder.freshness.unreachable_reports),
                          age_ms=round(now - request.arrived_at))


def _log_if_unavailable(forwarder: requests.Forwarder, run: requests.Run,
                        server: tables.Server,
                        state: placement.ServerState) -> None:
    """Logs a request sent to a draining or paused server, rate-limited."""
    now = forwarder.clock.now()
    if state.draining_at is None and state.paused_until <= now:
        return
    if now - forwarder.unavailable_logged_at < UNAVAILABLE_LOG_INTERVAL_MS:
        return
    forwarder.unavailable_logged_at = now
    draining_ms = 0 if state.draining_at is None else now - state.draining_at
    forwarder.logger.info('request_to_unavailable_server',
                          request=run.request.fields.request_id,
                          server=server.id,
                          draining_ms=round(draining_ms),
                          pause_left_ms=round(max(0, state.paused_until - now)),
                          repeat=bool(run.sent_to))


def _enter(
        forwarder: requests.Forwarder, service: tables.Service,
        server: tables.Server
) -> tuple[placement.ServerState, connections.Pool]:
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        placement.record_sent(state)
        pool = forwarder.pools.get(server.id)
        if pool is None:
            pool = connections.Pool(server.address,
                                    _find_rules(forwarder, service),
                                    forwarder.clock)
            forwarder.pools[server.id] = pool
        return state, pool


def _find_rules(forwarder: requests.Forwarder,
                service: tables.Service) -> connections.Rules:
    """Returns the rules of connections to a server of a service.

    Servers reset what is beyond their limit: 237 connections on a day of 60
    entries that kept up to 12 each.
    """
    # An entry that started again is registered twice for a while.
    entries = {peer.address for peer in forwarder.snapshot.entries.values()}
    share = connections.share_connections(service.max_connections, len(entries))
    return dataclasses.replace(forwarder.rules,
                               most=min(forwarder.rules.most, share))


def _budget_of(forwarder: requests.Forwarder,
               service: str) -> retrybudgets.RetryBudget:
    return forwarder.retry_budgets.setdefault(
        service,
        retrybudgets.RetryBudget(entry_started_at=forwarder.started_at))
