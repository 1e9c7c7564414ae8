"""Selects the server of a request's next attempt, or refuses the request.

A request for a key goes to the owner of the key, and waits for a short time
while the key moves to another owner. Any other request goes to the server with
the lowest expected response time. A request that can't be served before its
deadline is refused immediately.
"""

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor.edge import admission
from lentilmoor.edge import keyranges
from lentilmoor.edge import permits
from lentilmoor.edge import placement
from lentilmoor.edge import ratelimits
from lentilmoor.edge import requests
from lentilmoor.edge import tables

# Maximum time for which a request waits for an owner of its key: slightly more
# than the handover of a key takes.
MAX_OWNER_WAIT_MS = 400.0
# Minimum time for which a request waits for another owner after a server has
# rejected it as not the owner. It is the server's processing time if that is
# longer, since a server releases a key only when its requests have ended.
MIN_OWNER_WAIT_MS = 60.0
# Retry-After of a refusal, ms: if no server of the service takes the request,
# and if the key has no usable owner.
SERVICE_RETRY_MS = 120
OWNER_RETRY_MS = 200

_Reason = outcomes.Reason


def select_server(forwarder: requests.Forwarder,
                  run: requests.Run) -> placement.Choice | outcomes.NotRun:
    """Returns the server for the next attempt of a request, or the refusal."""
    if run.service.keyed:
        return _select_owner(forwarder, run)
    now = forwarder.clock.now()
    candidates = [
        server for server in forwarder.snapshot.servers.get(
            run.service.name, {}).values()
        if _find_draining_at(forwarder, server) is None and server.id not in
        run.excluded_servers and not _is_past_drain(forwarder, server)
    ]
    waits_ms = {
        server.id: _find_wait(forwarder, server, now) for server in candidates
    }
    servers = [server for server in candidates if not waits_ms[server.id]]
    with forwarder.lock:
        criteria = placement.ChoiceCriteria(
            forwarder.platform.settings.domain, run.route.large_answers,
            placement.average_work(servers, forwarder.server_states))
        choice = placement.choose_server(servers, forwarder.server_states,
                                         criteria, now,
                                         forwarder.generator.random)
    if choice is None and not servers and waits_ms:
        return outcomes.NotRun(
            _Reason.OVERLOADED, 'all servers are paused or rate-limited',
            round(admission.clamp_retry_after(min(waits_ms.values()))))
    if choice is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no server is available',
                               SERVICE_RETRY_MS)
    return _check_admission(run, choice, now)


def may_send(forwarder: requests.Forwarder, service: tables.Service,
             server_id: str) -> bool:
    """Returns whether a request may be sent to a server now.

    Nothing is sent if the data on servers is too old, or to a server that has
    left or is paused. A draining server gets only requests that no other server
    may run, those for its keys, and only for a limited time: its keys may stay
    with it for longer if the coordinator can't move them.
    """
    if not requests.is_server_data_recent(forwarder):
        return False
    server = forwarder.snapshot.servers.get(service.name, {}).get(server_id)
    if server is None or _find_pause_left(forwarder, server,
                                          forwarder.clock.now()):
        return False
    if not service.keyed and _find_draining_at(forwarder, server) is not None:
        return False
    return not _is_past_drain(forwarder, server)


def may_check(forwarder: requests.Forwarder, server: tables.Server) -> bool:
    """Returns whether a server may be sent a health check now.

    What a server says of itself binds checks as it binds requests: none is sent
    to one that leaves, is paused or has set a rate limit.
    """
    return (server.leaves_at is None and
            _find_draining_at(forwarder, server) is None and
            server.id not in forwarder.rate_limits.by_server and
            not _find_pause_left(forwarder, server, forwarder.clock.now()))


def take_permit(forwarder: requests.Forwarder, run: requests.Run,
                server: tables.Server) -> outcomes.NotRun | None:
    """Takes a permit to send a request if the server has set a rate limit.

    If no permit is available, adds the server to `run.excluded_servers`.

    Returns:
      None if the request may be sent; otherwise the refusal.
    """
    limit = forwarder.rate_limits.by_server.get(server.id)
    if limit is None:
        return None
    clock = forwarder.clock
    wait_ms = ratelimits.find_wait(forwarder.rate_limits, server.id,
                                   clock.now())
    if not wait_ms:
        wait_ms = permits.take(forwarder.permit_table, server.id, limit.rate,
                               requests.list_sharing_peers(forwarder), clock,
                               requests.may_be_replaced(forwarder))
        if not wait_ms:
            return None
        ratelimits.note_denied(forwarder.rate_limits, server.id, wait_ms,
                               clock.now())
    run.excluded_servers.add(server.id)
    if run.service.keyed:
        _record_refused_demand(forwarder, run, server)
    left_ms = run.deadline_at - clock.now()
    return outcomes.NotRun(
        _Reason.OVERLOADED,
        f'{server.id} has a rate limit of {limit.rate} requests per second',
        round(
            admission.clamp_retry_after(
                max(wait_ms, left_ms * admission.RETRY_AFTER_FRACTION))))


def _is_past_drain(forwarder: requests.Forwarder,
                   server: tables.Server) -> bool:
    """Returns whether the time to send requests to a leaving server is over."""
    times = (server.leaves_at, _find_draining_at(forwarder, server))
    leaves_at = min((at for at in times if at is not None), default=None)
    if leaves_at is None:
        return False
    bounds = forwarder.platform.settings.bounds
    last_send_at = (leaves_at + bounds.drain_ms -
                    forwarder.age_limits.last_request_margin_ms)
    return forwarder.clock.now() >= last_send_at


def _find_draining_at(forwarder: requests.Forwarder,
                      server: tables.Server) -> float | None:
    """Returns when this entry received that a server is draining, ms.

    A server's responses report draining even if the store is unavailable.
    """
    state = forwarder.server_states.get(server.id)
    if state is not None and state.draining_at is not None:
        return state.draining_at
    return server.draining_at if server.draining else None


def _find_wait(forwarder: requests.Forwarder, server: tables.Server,
               now: float) -> float:
    """Returns the time until a pause or a rate limit allows requests, ms."""
    return max(_find_pause_left(forwarder, server, now),
               ratelimits.find_wait(forwarder.rate_limits, server.id, now))


def _find_pause_left(forwarder: requests.Forwarder, server: tables.Server,
                     now: float) -> float:
    """Returns the time left of the pause that a server requested, ms."""
    state = forwarder.server_states.get(server.id)
    return 0.0 if state is None else max(0.0, state.paused_until - now)


def _check_admission(run: requests.Run, choice: placement.Choice,
                     now: float) -> placement.Choice | outcomes.NotRun:
    """Refuses a request that can't be served before its deadline."""
    estimate = admission.WaitEstimate(choice.expected_ms, choice.full,
                                      run.deadline_at - now)
    retry_after_ms = admission.find_retry_after(estimate)
    if retry_after_ms is None:
        return choice
    return outcomes.NotRun(
        _Reason.OVERLOADED, f'{choice.server.id} is expected to respond in '
        f'{choice.expected_ms:.0f} ms, with {estimate.left_ms:.0f} ms left' +
        (', and its queue is full' if choice.full else ''),
        round(retry_after_ms))


def _select_owner(forwarder: requests.Forwarder,
                  run: requests.Run) -> placement.Choice | outcomes.NotRun:
    """Returns the owner of the request's key, or the refusal.

    Waits for a short time if the key has no usable owner.
    """
    key = run.request.fields.key
    began_at = forwarder.clock.now()
    wait_until = min(run.deadline_at, began_at + MAX_OWNER_WAIT_MS)
    if _is_unserved(forwarder, run.service.name, key):
        return outcomes.NotRun(_Reason.NO_OWNER,
                               'no server currently holds the key',
                               OWNER_RETRY_MS)
    while True:
        snapshot = forwarder.snapshot
        server = _find_owner(snapshot, run.service.name, key)
        now = forwarder.clock.now()
        pause_left_ms = _find_pause_left(forwarder, server,
                                         now) if server else 0.0
        if pause_left_ms:
            _record_refused_demand(forwarder, run, server)
            return outcomes.NotRun(
                _Reason.OVERLOADED,
                f'{server.id} is paused for another {pause_left_ms:.0f} ms',
                round(admission.clamp_retry_after(pause_left_ms)))
        if server is not None and not may_send(forwarder, run.service,
                                               server.id):
            server = None
        if server is not None and (server.id not in run.excluded_servers or
                                   now >= began_at +
                                   _find_min_owner_wait(forwarder, server)):
            break
        if now >= wait_until:
            return outcomes.NotRun(_Reason.NO_OWNER,
                                   'the key has no usable owner',
                                   OWNER_RETRY_MS)
        if run.request.watch.is_disconnected():
            return outcomes.NotRun(
                _Reason.CANCELLED,
                f'cancelled while waiting for an owner of key {key}; '
                f'excluded servers: {run.excluded_servers}')
        forwarder.report_now.set()
        await_snapshot(forwarder, snapshot,
                       min(wait_until, now + MIN_OWNER_WAIT_MS) - now)
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        if state.backoff_until > now:
            requests.note_lacking_path(forwarder, run, server.id)
            return outcomes.NotRun(_Reason.NO_SERVER,
                                   'the owner of the key is unreachable',
                                   OWNER_RETRY_MS)
        work_ms = state.shared_work_ms or placement.average_work(
            snapshot.servers[run.service.name].values(),
            forwarder.server_states)
        expected_ms, full = placement.estimate_response(server, state, work_ms,
                                                        now, True)
        choice = placement.Choice(
            server, expected_ms, full,
            placement.estimate_server_work(state, work_ms))
    checked = _check_admission(run, choice, now)
    if isinstance(checked, outcomes.NotRun):
        _record_refused_demand(forwarder, run, server)
    return checked


def _record_refused_demand(forwarder: requests.Forwarder, run: requests.Run,
                           server: tables.Server) -> None:
    """Reports a refused request as demand.

    The coordinator can then move its key to another server.
    """
    forwarder.samples.append(
        requests.Sample(run.service.name, run.request.fields.key, server.id,
                        0.0))


def _find_min_owner_wait(forwarder: requests.Forwarder,
                         server: tables.Server) -> float:
    """Returns the minimum time to wait for another owner of a key, ms."""
    state = forwarder.server_states.get(server.id)
    work_ms = state.shared_work_ms if state is not None else 0.0
    return min(MAX_OWNER_WAIT_MS, max(MIN_OWNER_WAIT_MS, work_ms))


def _is_unserved(forwarder: requests.Forwarder, service: str, key: int) -> bool:
    return any(first <= key <= last
               for first, last in forwarder.unserved_ranges.get(service, ()))


def _find_owner(snapshot: tables.RoutingSnapshot, service: str,
                key: int) -> tables.Server | None:
    assignment = snapshot.assignments.get(service)
    if assignment is None:
        return None
    found = keyranges.find_owner(assignment, key)
    if found is None:
        return None
    return snapshot.servers.get(service, {}).get(found.server)


def await_snapshot(forwarder: requests.Forwarder, seen: tables.RoutingSnapshot,
                   wait_ms: float) -> None:
    """Waits until a snapshot is replaced by another one.

    Args:
      forwarder: State shared by request threads.
      seen: The snapshot.
      wait_ms: Maximum time to wait.
    """
    with forwarder.changed:
        if forwarder.snapshot is seen:
            forwarder.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)
