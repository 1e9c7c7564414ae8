"""Forwards a request to a backend server and returns its outcome.

Finds the route, selects a server (the key's owner for a keyed service), sends
the request, and retries where that is safe: if the request is idempotent or has
certainly not run. A request that won't be retried is answered at once.
"""

from collections.abc import Callable
import dataclasses
import math

from lentilmoor import answerheads
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import arrivals
from lentilmoor.edge import attemptresults
from lentilmoor.edge import departures
from lentilmoor.edge import exchange
from lentilmoor.edge import learning
from lentilmoor.edge import matching
from lentilmoor.edge import pauses
from lentilmoor.edge import placement
from lentilmoor.edge import proxying
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reachability
from lentilmoor.edge import refusedanswers
from lentilmoor.edge import requests
from lentilmoor.edge import retrybudgets
from lentilmoor.edge import selection
from lentilmoor.edge import staleness
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from lentilmoor.edge import trials

# Server selections per request, including those of servers that it can't
# connect to.
MAX_SELECTIONS = 6
# Part of the caller's timeout that is reserved for delivering the answer.
ANSWER_DELIVERY_MS = 8.0
# Time from sending to arrival, on an undisturbed path with a new connection.
TRANSIT_MS = 50.0
# Retry-After while an entry starts, which takes some 0.5 s.
STARTING_RETRY_AFTER_MS = 300
# Fraction of the caller's timeout that a request waits at most for the
# configuration or for newer data; the rest lets the caller retry elsewhere.
FRESHNESS_WAIT_FRACTION = 0.15
# Interval between checks whether the data is recent: it also becomes so without
# a notification, when other entries reply that they have nothing newer.
FRESHNESS_CHECK_MS = 50.0
# Retry-After of a request refused because this entry's copy of the store is
# stale; another entry may have a newer copy.
STALE_RETRY_AFTER_MS = 60
# Minimum interval between log lines about requests that are refused or sent on
# the basis of a stale copy of the store.
STALE_LOG_INTERVAL_MS = 100.0
# Minimum interval between log lines about requests to draining or paused
# servers.
UNAVAILABLE_LOG_INTERVAL_MS = 100.0

_Reason = outcomes.Reason


def forward(forwarder: requests.Forwarder,
            request: requests.Request) -> requests.Outcome:
    """Forwards a request and returns its outcome."""
    # The body may have arrived long after the headers.
    received_at = forwarder.clock.now()
    return (departures.refuse_late_arrival(forwarder.departure, received_at) or
            _route(forwarder, request))


def _route(forwarder: requests.Forwarder,
           request: requests.Request) -> requests.Outcome:
    """Finds the service of a request and forwards it to the service."""
    snapshot = _wait_for_configuration(forwarder, request)
    if snapshot.configuration is None:
        return outcomes.NotRun(_Reason.STARTING, 'no configuration yet',
                               STARTING_RETRY_AFTER_MS)
    route = _find_route(forwarder, request)
    if isinstance(route, outcomes.NotRun):
        return route
    if suspects.check(forwarder, request) is quarantine.Verdict.BLOCKED:
        return suspects.make_refusal()
    service_name = matching.pick_service(route, forwarder.generator.random())
    snapshot = forwarder.snapshot
    service = snapshot.configuration.services.get(service_name)
    if service is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no such service',
                               selection.SERVICE_RETRY_MS)
    if service.keyed and request.fields.key is None:
        return outcomes.NotRun(_Reason.MISSING_KEY, 'the request has no key')
    caller_wait_ms = requests.find_caller_timeout(request.fields)
    deadline_at = request.arrived_at + min(caller_wait_ms - ANSWER_DELIVERY_MS,
                                           route.timeout_ms)
    return _find_way(forwarder,
                     requests.make_run(request, route, service, deadline_at))


def _find_way(forwarder: requests.Forwarder,
              run: requests.Run) -> requests.Outcome:
    """Sends a request to a server, itself or through another entry."""
    if forwarder.reachability.is_lost:
        outcome = proxying.pass_on(forwarder, run.request, run.idempotent,
                                   False, run.deadline_at)
        if outcome is not None:
            return outcome
        # If no entry reaches servers, they may just be slow: try it here.
    if not run.request.counted:
        _count_request(forwarder, run)
    forwarder.in_flight.add(run)
    try:
        outcome = _send_with_retries(forwarder, run)
    finally:
        forwarder.in_flight.discard(run)
        trials.finish(forwarder, run)
    if (isinstance(outcome, outcomes.NotRun) and run.lacks_path and
            not run.sent_to):
        return proxying.pass_on(forwarder, run.request, run.idempotent, True,
                                run.deadline_at) or outcome
    return outcome


def _count_request(forwarder: requests.Forwarder, run: requests.Run) -> None:
    """Counts a request in the retry budget of its service."""
    request, now = run.request, forwarder.clock.now()
    sent_at = pauses.find_earliest_send(
        forwarder.pause_times, requests.find_caller_timeout(request.fields),
        now)
    if sent_at < now and request.watch.is_disconnected():
        sent_at = pauses.find_earliest_send(forwarder.pause_times, math.inf,
                                            now)
    sent_at = min(sent_at,
                  request.arrived_at - request.max_delay_ms) - TRANSIT_MS
    with forwarder.lock:
        retrybudgets.record_request(
            _find_retry_budget(forwarder, run.service.name),
            forwarder.platform.settings.bounds, sent_at, now)


def _wait_for_configuration(
        forwarder: requests.Forwarder,
        request: requests.Request) -> tables.RoutingSnapshot:
    """Waits briefly for the configuration of an entry that has just started.

    It arrives some 25 ms after the first requests are read. A caller that is
    refused before that has used its only retry.
    """
    snapshot = forwarder.snapshot
    wait_until = _find_wait_deadline(request)
    while snapshot.configuration is None:
        remaining_ms = wait_until - forwarder.clock.now()
        if remaining_ms <= 0:
            break
        selection.await_snapshot(forwarder, snapshot, remaining_ms)
        snapshot = forwarder.snapshot
    return snapshot


def _find_route(forwarder: requests.Forwarder,
                request: requests.Request) -> tables.Route | outcomes.NotRun:
    """Returns a request's route in a recent configuration, or a refusal."""
    if not _wait_until_recent(forwarder, request,
                              requests.is_configuration_recent):
        return _refuse_stale(forwarder, request)
    route = matching.find_route(forwarder.route_index, request.host,
                                request.path)
    if route is not None:
        return route
    if not _wait_until_recent(forwarder, request,
                              requests.may_reject_unknown_route):
        return _refuse_stale(forwarder, request)
    # The route may have been added during the wait.
    route = matching.find_route(forwarder.route_index, request.host,
                                request.path)
    return route or outcomes.NotRun(_Reason.UNKNOWN_SERVICE, 'no such route')


def _find_wait_deadline(request: requests.Request) -> float:
    caller_wait_ms = requests.find_caller_timeout(request.fields)
    return request.arrived_at + FRESHNESS_WAIT_FRACTION * caller_wait_ms


def _wait_until_recent(forwarder: requests.Forwarder, request: requests.Request,
                       is_recent: Callable[[requests.Forwarder], bool]) -> bool:
    """Waits briefly for newer data; returns whether the data is recent."""
    wait_until = _find_wait_deadline(request)
    while not is_recent(forwarder):
        remaining_ms = wait_until - forwarder.clock.now()
        if remaining_ms <= 0:
            return False
        staleness.wait_for_change(forwarder.freshness,
                                  min(remaining_ms, FRESHNESS_CHECK_MS))
    return True


def _refuse_stale(forwarder: requests.Forwarder,
                  request: requests.Request) -> outcomes.NotRun:
    """Refuses a request because this entry's copy of the store is stale."""
    _log_stale(forwarder, request, 'refused_by_old_copy')
    return outcomes.NotRun(_Reason.OUTDATED, 'the copy of the store is stale',
                           STALE_RETRY_AFTER_MS)


def _send_with_retries(forwarder: requests.Forwarder,
                       run: requests.Run) -> requests.Outcome:
    for _ in range(MAX_SELECTIONS):
        if not _wait_until_recent(forwarder, run.request,
                                  requests.is_server_data_recent):
            return attemptresults.find_outcome(
                run, _refuse_stale(forwarder, run.request))
        choice = selection.select_server(forwarder, run)
        if not isinstance(choice, placement.Choice):
            return attemptresults.find_outcome(run, choice)
        refusal = (_check_departure(forwarder, run, choice) or
                   _check_retry(forwarder, run, choice) or
                   _check_suspect(forwarder, run))
        if refusal is not None:
            return attemptresults.find_outcome(run, refusal)
        refusal = selection.take_permit(forwarder, run, choice.server)
        if refusal is not None:
            if run.service.keyed:
                return attemptresults.find_outcome(run, refusal)
            continue
        result = _send_attempt(forwarder, run, choice)
        if result is not None:
            return result
    return attemptresults.find_outcome(
        run,
        outcomes.NotRun(_Reason.NO_SERVER, 'no server accepts the request',
                        selection.SERVICE_RETRY_MS))


def _check_suspect(forwarder: requests.Forwarder,
                   run: requests.Run) -> outcomes.NotRun | None:
    """Returns the refusal of a blocked request or of a suspect, or None.

    A suspect may be sent if its trial is granted.
    """
    if run.trial is None:
        refusal = learning.refuse_unjudged(forwarder, run,
                                           _find_wait_deadline(run.request))
        if refusal is not None:
            return refusal
    verdict = suspects.check_run(forwarder, run)
    if verdict is quarantine.Verdict.SUSPECT:
        return trials.begin(forwarder, run)
    return (suspects.make_refusal()
            if verdict is quarantine.Verdict.BLOCKED else None)


def _check_departure(forwarder: requests.Forwarder, run: requests.Run,
                     choice: placement.Choice) -> outcomes.NotRun | None:
    """Returns the refusal of a request that can't end before this process does.

    Returns:
      The refusal; None if the request may be sent.
    """
    return departures.refuse_late_send(forwarder.departure, run.deadline_at,
                                       run.idempotent, choice.expected_ms,
                                       forwarder.clock.now())


def _check_retry(forwarder: requests.Forwarder, run: requests.Run,
                 choice: placement.Choice) -> outcomes.NotRun | None:
    """Returns the refusal of a retry that isn't allowed, or None."""
    if not run.sent_to or _may_retry(forwarder, run, choice):
        return None
    return outcomes.NotRun(_Reason.OVERLOADED, 'no further attempt is allowed',
                           selection.SERVICE_RETRY_MS)


def _may_retry(forwarder: requests.Forwarder, run: requests.Run,
               choice: placement.Choice) -> bool:
    if not suspects.may_retry(forwarder, run):
        return False
    # The new owner of a moving key may have rejected the request before it was
    # granted the key. Sending it there again doesn't involve another server.
    if len(run.sent_to | {choice.server.id}) > max(1, run.route.max_attempts):
        return False
    return _use_retry_budget(forwarder, run, run.deadline_at,
                             retrybudgets.has_retry)


def _use_retry_budget(forwarder: requests.Forwarder, run: requests.Run,
                      deadline_at: float, use: Callable[..., bool]) -> bool:
    """Applies `has_retry` or `take_retry` to the budget of a run's service."""
    bounds = forwarder.platform.settings.bounds
    share = requests.find_share(forwarder)
    with forwarder.lock:
        now = forwarder.clock.now()
        budget = _find_retry_budget(forwarder, run.service.name)
        result = use(budget, bounds, share, deadline_at, now)
        summary = retrybudgets.summarize(budget, bounds, share, now)
    if summary is not None:
        forwarder.logger.info('retry_budget',
                              service=run.service.name,
                              granted=summary.granted,
                              refused=summary.refused,
                              retries=summary.retries,
                              operator_windows=summary.operator_windows,
                              left=summary.left,
                              entries=share.entries,
                              share=share.state.value)
    return result


def _take_retry(forwarder: requests.Forwarder, run: requests.Run,
                deadline_at: float) -> bool:
    """Takes a retry from the budget; returns whether one was left."""
    is_taken = _use_retry_budget(forwarder, run, deadline_at,
                                 retrybudgets.take_retry)
    if is_taken:
        run.retry_deadline_at = deadline_at
    return is_taken


def _end_retry(forwarder: requests.Forwarder, run: requests.Run,
               is_answered: bool) -> None:
    """Records in the retry budget that a retry can't arrive any more."""
    deadline_at, run.retry_deadline_at = run.retry_deadline_at, None
    if deadline_at is None:
        return
    with forwarder.lock:
        now = forwarder.clock.now()
        # Without an answer, its last bytes may still be on their way.
        retrybudgets.end_retry(_find_retry_budget(forwarder, run.service.name),
                               forwarder.platform.settings.bounds, deadline_at,
                               now if is_answered else now + TRANSIT_MS, now)


def _exchange(forwarder: requests.Forwarder, run: requests.Run,
              pool: connections.Pool,
              outgoing: exchange.OutgoingRequest) -> exchange.Result:
    """Sends a request; a retry ends with its exchange."""
    result = None
    try:
        result = exchange.send(
            pool, outgoing, run.request.watch,
            forwarder.platform.header_format.parse_answer_headers,
            forwarder.clock)
        return result
    finally:
        _end_retry(forwarder, run, isinstance(result, exchange.ServerAnswer))


def _send_attempt(forwarder: requests.Forwarder, run: requests.Run,
                  choice: placement.Choice) -> requests.Outcome | None:
    """Sends the request to a server; returns None if it may be retried."""
    request, server = run.request, choice.server
    state, pool = _begin_attempt(forwarder, run.service, server)
    sent_at = forwarder.clock.now()
    attempt_deadline_at = min(
        run.deadline_at, departures.find_deadline(forwarder.departure, sent_at))

    def make_headers() -> dict[str, str] | None:
        # Opening a connection may take 0.5 s on a small machine; the server's
        # state may have changed meanwhile.
        if not _may_send(forwarder, run, choice):
            return None
        if run.sent_to and not _take_retry(forwarder, run, attempt_deadline_at):
            return None
        if requests.find_knowledge_age(
                forwarder) > forwarder.age_limits.max_send_age_ms:
            _log_stale(forwarder, request, 'sent_by_old_copy')
        _log_if_unavailable(forwarder, run, server, state)
        ratelimits.note_sent(forwarder.rate_limits, server.id,
                             bool(run.sent_to), forwarder.clock.now(),
                             forwarder.logger)
        headers = dict(request.headers)
        run.server, run.sent_at = server.id, forwarder.clock.now()
        arrivals.note_sent(forwarder, run, server.id)
        forwarder.platform.header_format.add_server_headers(
            headers, server.name or server.id,
            attempt_deadline_at - run.sent_at)
        return headers

    outgoing = exchange.OutgoingRequest(request.fields.request_id,
                                        request.method,
                                        request.target,
                                        make_headers,
                                        request.body,
                                        run.idempotent,
                                        attempt_deadline_at,
                                        request.memory,
                                        request.used_connections,
                                        carried_id=request.fields.request_id)
    result = _exchange(forwarder, run, pool, outgoing)
    now = forwarder.clock.now()
    run.server = ''
    arrivals.note_result(forwarder, run, server.id, result)
    if isinstance(result, exchange.CallerDisconnected):
        with forwarder.lock:
            placement.record_abandoned(state)
        suspects.note_lost_request(forwarder, run, server, pool, False)
        return exchange.CallerDisconnected(server.id, now - sent_at)
    if isinstance(result, exchange.Withheld):
        with forwarder.lock:
            placement.record_abandoned(state)
        run.excluded_servers.add(server.id)
        refusal = (_check_departure(forwarder, run, choice) or
                   _check_retry(forwarder, run, choice))
        return None if refusal is None else attemptresults.find_outcome(
            run, refusal)
    if isinstance(result, exchange.NotSent):
        with forwarder.lock:
            placement.record_connect_failure(state, now)
        if result.reason in (_Reason.CONNECT_FAILED, _Reason.TIMED_OUT):
            reachability.note_failure(forwarder, server.id)
            requests.note_lacking_path(forwarder, run, server.id)
        if result.reason is _Reason.CONNECT_FAILED:
            suspects.note_connection_refused(forwarder, server)
        run.excluded_servers.add(server.id)
        return None
    run.sent_to.add(server.id)
    if isinstance(result, exchange.RefusedAnswer):
        _note_refused(forwarder, run, server, state, result)
    elif isinstance(result, outcomes.Unknown):
        reachability.note_failure(forwarder, server.id)
    if isinstance(result, outcomes.Unknown):
        suspects.note_lost_request(forwarder, run, server, pool, result.reason
                                   is _Reason.TIMED_OUT)
        return attemptresults.handle_loss(forwarder, run, choice, state, result,
                                          now - sent_at)
    if result.skipped_count:
        refusedanswers.note(forwarder.refused_answers, forwarder.logger,
                            request.fields.request_id, server.id,
                            answerheads.Fault.OTHER_REQUEST,
                            f'{result.skipped_count} before its own answer')
    reachability.note_answer(forwarder)
    return attemptresults.handle_answer(forwarder, run, server, state, result,
                                        now - sent_at)


def _note_refused(forwarder: requests.Forwarder, run: requests.Run,
                  server: tables.Server, state: placement.ServerState,
                  refused: exchange.RefusedAnswer) -> None:
    """Records an answer that was refused.

    The server was reached, and is alive unless its end has cut the answer. The
    request counts as lost all the same, as it may crash the server yet.
    """
    refusedanswers.note(forwarder.refused_answers, forwarder.logger,
                        run.request.fields.request_id, server.id, refused.fault,
                        refused.detail)
    if refused.fault not in answerheads.CUT_FAULTS:
        state.answered_at = forwarder.clock.now()


def _may_send(forwarder: requests.Forwarder, run: requests.Run,
              choice: placement.Choice) -> bool:
    """Returns whether a request may still be sent to a server."""
    return (selection.may_send(forwarder, run.service, choice.server.id) and
            _check_departure(forwarder, run, choice) is None and
            learning.may_send(forwarder, run) and
            suspects.check_run(forwarder, run) is quarantine.Verdict.CLEAR)


def _log_stale(forwarder: requests.Forwarder, request: requests.Request,
               event: str) -> None:
    """Logs a request handled with a stale copy of the store, rate-limited."""
    now = forwarder.clock.now()
    if now - forwarder.stale_logged_at < STALE_LOG_INTERVAL_MS:
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


def _begin_attempt(
        forwarder: requests.Forwarder, service: tables.Service,
        server: tables.Server
) -> tuple[placement.ServerState, connections.Pool]:
    max_open = _find_max_open(forwarder, service)
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        placement.record_sent(state)
        pool = forwarder.pools.get(server.id)
        if pool is None:
            pool = connections.Pool(server.address, forwarder.rules,
                                    forwarder.clock)
            forwarder.pools[server.id] = pool
        # The number of entries may have changed since the last request.
        if pool.limits.max_open != max_open:
            pool.limits = dataclasses.replace(pool.limits, max_open=max_open)
        return state, pool


def _find_max_open(forwarder: requests.Forwarder,
                   service: tables.Service) -> int:
    """Returns how many connections to a server of a service may be open.

    The entries share the connections that a server accepts, as it resets those
    beyond its limit: with 60 entries that kept up to 12 each, servers reset 237
    connections within a day.
    """
    connection_share = connections.compute_connection_share(
        service.max_connections, requests.count_running_entries(forwarder))
    return min(forwarder.rules.max_open, connection_share)


def _find_retry_budget(forwarder: requests.Forwarder,
                       service: str) -> retrybudgets.RetryBudget:
    return forwarder.retry_budgets.setdefault(service,
                                              retrybudgets.RetryBudget())
