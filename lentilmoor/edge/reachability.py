"""Detects that this entry can't reach any backend server.

An entry can lose its paths to all servers while callers, the store and other
entries still reach it. Its connections then hang, are reset or are refused. It
can't tell this from servers that have failed by a single one, so it looks at
all of them: if several servers don't answer and no other one does, it checks a
few servers of different services. If none answers, the entry is unreachable for
servers until one answers again; meanwhile it checks one at a time.

What it observes while it is cut off says nothing about the servers.
"""

import concurrent.futures
import threading

from lentilmoor.edge import requests
from lentilmoor.edge import selection
from lentilmoor.edge import suspects
from lentilmoor.edge import tables

# A server that has not answered a request for this time is silent. It is
# longer than most answers take, and a check follows in any case.
SILENCE_MS = 400.0
# Minimum number of silent servers that raise the suspicion.
MIN_SILENT_SERVERS = 2
# Time for which a failure to reach a server counts.
FAILURE_RETENTION_MS = 2_000.0
# Number of servers that are checked, each at the same time.
CHECKED_SERVERS = 3
CHECK_TIMEOUT_MS = 500.0
# Time without an answered grant after which this entry can't grant keys. Grants
# are renewed more often.
GRANT_SILENCE_MS = 1_000.0
# Interval of checks while there is a suspicion, and while no server answers.
CHECK_INTERVAL_MS = 250.0


def note_answer(forwarder: requests.Forwarder) -> None:
    """Records that a server has answered, whatever it stated."""
    state, now = forwarder.reachability, forwarder.clock.now()
    state.answered_at = now
    if not state.failures and not state.is_lost:
        return
    with state.lock:
        state.failures.clear()
        since, state.unreachable_since = state.unreachable_since, None
    if since is not None:
        with forwarder.lock:
            for server_state in forwarder.server_states.values():
                server_state.backoff_until = 0.0
        forwarder.logger.warning('servers_reachable',
                                 after_ms=round(now - since))


def note_failure(forwarder: requests.Forwarder, server: str) -> None:
    """Records that a server could not be reached or did not answer."""
    state = forwarder.reachability
    with state.lock:
        state.failures[server] = forwarder.clock.now()


def note_grant_answer(forwarder: requests.Forwarder) -> None:
    """Records that a server has answered a grant of its keys."""
    forwarder.reachability.granted_at = forwarder.clock.now()


def may_grant(forwarder: requests.Forwarder) -> bool:
    """Returns whether this entry can grant servers their keys.

    Connections that carry grants may live on while new ones are refused, and
    servers that are too slow for checks may answer grants.
    """
    state, now = forwarder.reachability, forwarder.clock.now()
    return not state.is_lost or now < state.granted_at + GRANT_SILENCE_MS


def has_answered_since(forwarder: requests.Forwarder, since: float) -> bool:
    """Returns whether any server has answered this entry since a time, ms."""
    return forwarder.reachability.answered_at >= since


def step(forwarder: requests.Forwarder) -> None:
    """Starts checks in the background if they are due."""
    state, now = forwarder.reachability, forwarder.clock.now()
    with state.lock:
        if (state.is_checking or now < state.checked_at + CHECK_INTERVAL_MS or
                not (state.is_lost or forwarder.refusals or
                     _is_suspicious(forwarder, now))):
            return
        state.is_checking, state.checked_at = True, now
    threading.Thread(target=_run_checks, args=(forwarder,), daemon=True).start()


def _is_suspicious(forwarder: requests.Forwarder, now: float) -> bool:
    """Returns whether several servers are silent and no other has answered."""
    state = forwarder.reachability
    if now < state.answered_at + SILENCE_MS:
        return False
    silent = {
        server for server, at in state.failures.items()
        if at > now - FAILURE_RETENTION_MS
    }
    silent |= {
        run.server
        for run in list(forwarder.in_flight)
        if run.server and now >= run.sent_at + SILENCE_MS
    }
    return len(silent) >= MIN_SILENT_SERVERS


def _run_checks(forwarder: requests.Forwarder) -> None:
    try:
        check_servers(forwarder)
    finally:
        forwarder.reachability.is_checking = False


def check_servers(forwarder: requests.Forwarder) -> None:
    """Checks some servers, and records whether this entry reaches any."""
    state = forwarder.reachability
    began_at = forwarder.clock.now()
    servers = _pick_servers(forwarder, 1 if state.is_lost else CHECKED_SERVERS)
    answering = _check_all(forwarder, servers)
    if not servers:
        # Only requests can show whether the paths are back.
        state.unreachable_since = None
    if answering:
        note_answer(forwarder)
        suspects.confirm_refusals(forwarder, answering[0].id, began_at)
    with state.lock:
        is_new = (bool(servers) and not answering and not state.is_lost and
                  _is_suspicious(forwarder, forwarder.clock.now()))
        if is_new:
            state.unreachable_since = forwarder.clock.now()
    if is_new:
        _handle_lost_paths(forwarder, servers)


def _pick_servers(forwarder: requests.Forwarder,
                  count: int) -> list[tables.Server]:
    """Returns random servers, of different services if there are several.

    Servers that refuse connections are left out, and those that may not be
    sent requests.
    """
    refusing = set(forwarder.refusals)
    groups = [[
        server
        for server in rows.values()
        if server.id not in refusing and selection.may_check(forwarder, server)
    ]
              for rows in forwarder.snapshot.servers.values()]
    for group in groups:
        forwarder.generator.shuffle(group)
    forwarder.generator.shuffle(groups)
    picked: list[tables.Server] = []
    while len(picked) < count and any(groups):
        picked += [group.pop() for group in groups if group]
    return picked[:count]


def _check_all(forwarder: requests.Forwarder,
               servers: list[tables.Server]) -> list[tables.Server]:
    """Checks servers at the same time; returns those that have answered."""
    configuration = forwarder.snapshot.configuration

    def check(server: tables.Server) -> bool:
        service = configuration.services.get(server.service)
        path = service.health_path if service else '/'
        return forwarder.platform.servers.check(server, path, CHECK_TIMEOUT_MS)

    if not servers:
        return []
    with concurrent.futures.ThreadPoolExecutor(len(servers)) as threads:
        answers = list(threads.map(check, servers))
    return [
        server for server, found in zip(servers, answers, strict=True) if found
    ]


def _handle_lost_paths(forwarder: requests.Forwarder,
                       checked: list[tables.Server]) -> None:
    """Drops what was observed since the last answer, and idle connections.

    The connections may stay silent when the paths are back.
    """
    state = forwarder.reachability
    forwarder.logger.warning('servers_unreachable',
                             silent_ms=round(
                                 requests.find_age(forwarder,
                                                   state.answered_at)),
                             failures=len(state.failures),
                             checked=[server.id for server in checked])
    suspects.forget_losses(forwarder, state.answered_at)
    with forwarder.lock:
        pools = list(forwarder.pools.values())
    for pool in pools:
        pool.close()
