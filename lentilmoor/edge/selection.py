"""Which server a request is sent to next, or why it is refused.

A request for a key goes to the key's owner, and waits a little while the key
moves; any other goes to the server that is expected to answer first. What
can't be served in time is refused at once.
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

# How long a request waits for its key to get an owner: a little more than the
# time in which keys are handed over.
MAX_OWNER_WAIT_MS = 400.0
# How long a request waits at least after the owner of its key said that it
# isn't, if no other owner is known yet. Keys are released when the work that
# runs on them has ended, so it is the server's time of work where that is more.
MIN_OWNER_WAIT_MS = 60.0
# Times to come back, ms: after a service was full, and after a key had no
# owner.
SERVICE_RETRY_MS = 120
OWNER_RETRY_MS = 200

_Reason = outcomes.Reason


def select_server(forwarder: requests.Forwarder,
                  run: requests.Run) -> placement.Choice | outcomes.NotRun:
    """Returns where the next try of a request goes, or why there is none."""
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
        wish = placement.ChoiceCriteria(
            forwarder.platform.settings.domain, run.route.large_answers,
            placement.average_work(servers, forwarder.server_states))
        choice = placement.choose_server(servers, forwarder.server_states, wish,
                                         now, forwarder.generator.random)
    if choice is None and not servers and waits_ms:
        return outcomes.NotRun(
            _Reason.OVERLOADED, 'no server takes requests',
            round(admission.clamp_retry_after(min(waits_ms.values()))))
    if choice is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no server is up',
                               SERVICE_RETRY_MS)
    return _check_admission(run, choice, now)


def may_send(forwarder: requests.Forwarder, service: tables.Service,
             server_id: str) -> bool:
    """Returns whether a server may be sent a request now.

    Nothing is sent by knowledge that is too old. Not one that has left; one
    that leaves, only what it alone may run, and only for a while: its keys may
    stay with it for longer, if the coordinator can't move them.
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


def take_permit(forwarder: requests.Forwarder, run: requests.Run,
                server: tables.Server) -> outcomes.NotRun | None:
    """Takes a permit to send a request if the server has set a rate limit.

    If no permit is available, adds the server to `run.avoid`.

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
                               forwarder.snapshot.entries.values(), clock)
        if not wait_ms:
            return None
        ratelimits.note_denied(forwarder.rate_limits, server.id, wait_ms,
                               clock.now())
    run.excluded_servers.add(server.id)
    if run.service.keyed:
        _record_refused_demand(forwarder, run, server)
    left_ms = run.deadline_at - clock.now()
    return outcomes.NotRun(
        _Reason.OVERLOADED, f'{server.id} takes {limit.rate} requests a second',
        round(
            admission.clamp_retry_after(
                max(wait_ms, left_ms * admission.RETRY_AFTER_FRACTION))))


def _is_past_drain(forwarder: requests.Forwarder,
                   server: tables.Server) -> bool:
    """Returns whether a server that leaves may be sent nothing any more."""
    times = (server.leaves_at, _find_draining_at(forwarder, server))
    leaves_at = min((at for at in times if at is not None), default=None)
    if leaves_at is None:
        return False
    bounds = forwarder.platform.settings.bounds
    last = (leaves_at + bounds.drain_ms -
            forwarder.age_limits.last_request_margin_ms)
    return forwarder.clock.now() >= last


def _find_draining_at(forwarder: requests.Forwarder,
                      server: tables.Server) -> float | None:
    """Returns when this entry learned that a server is draining, ms.

    A server's answers report draining even if the store is unavailable.
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
    """Refuses at once what can't be served in time."""
    prospect = admission.WaitEstimate(choice.expected_ms, choice.full,
                                      run.deadline_at - now)
    back_ms = admission.find_retry_after(prospect)
    if back_ms is None:
        return choice
    return outcomes.NotRun(
        _Reason.OVERLOADED, f'{choice.server.id} is expected to answer in '
        f'{choice.expected_ms:.0f} ms, of {prospect.left_ms:.0f} ms left' +
        (', and is full' if choice.full else ''), round(back_ms))


def _select_owner(forwarder: requests.Forwarder,
                  run: requests.Run) -> placement.Choice | outcomes.NotRun:
    """Finds the owner of the request's key; waits a little for a new one."""
    key = run.request.fields.key
    began = forwarder.clock.now()
    wait_until = min(run.deadline_at, began + MAX_OWNER_WAIT_MS)
    if _is_unserved(forwarder, run.service.name, key):
        return outcomes.NotRun(_Reason.NO_OWNER, 'no server holds the key now',
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
                f'{server.id} takes no requests for {pause_left_ms:.0f} ms',
                round(admission.clamp_retry_after(pause_left_ms)))
        if server is not None and not may_send(forwarder, run.service,
                                               server.id):
            server = None
        if server is not None and (server.id not in run.excluded_servers or
                                   now >= began +
                                   _find_min_owner_wait(forwarder, server)):
            break
        if now >= wait_until:
            return outcomes.NotRun(_Reason.NO_OWNER, 'the key has no owner',
                                   OWNER_RETRY_MS)
        if run.request.watch.is_disconnected():
            return outcomes.NotRun(
                _Reason.CANCELLED, f'waited for an owner of key {key}, '
                f'sent to {run.excluded_servers}')
        forwarder.report_now.set()
        await_snapshot(forwarder, snapshot,
                       min(wait_until, now + MIN_OWNER_WAIT_MS) - now)
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        if state.backoff_until > now:
            return outcomes.NotRun(_Reason.NO_SERVER,
                                   'the owner of the key is down',
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
    """Returns how long to look for another owner of a key, ms."""
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
    """Waits until another snapshot has replaced one, or a time is over.

    Args:
      forwarder: What request threads share.
      seen: The snapshot.
      wait_ms: The longest time.
    """
    with forwarder.changed:
        if forwarder.snapshot is seen:
            forwarder.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)
