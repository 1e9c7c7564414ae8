"""Plans grants of key ranges, their renewals, and probes of servers.

Servers that have stopped answering are probed and get no grants.
"""

from lentilmoor.edge import holds
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables


def plan_grants(state: ownership.Coordination, view: ownership.ServiceView,
                now: float) -> list[ownership.Action]:
    """Returns the grants and renewals that are due."""
    actions: list[ownership.Action] = []
    servers_called = {item.server for item in state.grants_in_flight}
    for key_range in state.assignment.ranges:
        server = view.servers.get(key_range.server)
        if ownership.may_return(state, view, key_range.server, now):
            server = ownership.find_server(state, view, key_range.server)
        if server is None or key_range.server in view.ended:
            continue
        if ownership.has_timed_out(state, key_range.server, now):
            continue  # It is probed, and its keys are about to be moved.
        renewal = state.renewals.setdefault(key_range,
                                            ownership.Renewal(key_range.fence))
        if renewal.pending or renewal.due_at > now:
            continue
        if key_range.server not in state.responsive:
            if key_range.server in servers_called:
                continue  # It must not hold up the grants of other servers.
            servers_called.add(key_range.server)
        remaining = _list_remaining(key_range, state.moves)
        if remaining != [key_range]:
            # Part of the range is moving to another server. Renewing that part
            # would undo its release.
            renewal.due_at = now + ownership.GRANT_RETRY_MS
            if renewal.owner_answered:
                state.grants_in_flight += remaining
                actions += [
                    _make_grant(state, server, piece, renewal, now)
                    for piece in remaining
                ]
                renewal.due_at = now + state.hold_ms * ownership.RENEW_FRACTION
            continue
        renewal.pending = True
        state.grants_in_flight.append(key_range)
        actions.append(_make_grant(state, server, key_range, renewal, now))
    return actions


def _make_grant(state: ownership.Coordination, server: tables.Server,
                key_range: keyranges.KeyRange, renewal: ownership.Renewal,
                now: float) -> ownership.Grant:
    return ownership.Grant(state.assignment.service,
                           server,
                           key_range,
                           renewal.fence,
                           _compute_hold(state, key_range, now),
                           state.handover_tokens.get(key_range, ''),
                           planned_at=now,
                           link=renewal.link)


def _compute_hold(state: ownership.Coordination, key_range: keyranges.KeyRange,
                  now: float) -> float:
    """Returns the duration of the hold that a grant requests, ms.

    A server that didn't answer may have accepted the earlier grant all the
    same, and its keys can't be moved before that hold has expired. A repeated
    grant is therefore limited to the earlier hold and doesn't extend it.
    """
    if key_range.server in state.responsive:
        return state.hold_ms
    expires_at = holds.find_expiry(state.server_holds, key_range.server,
                                   key_range.first, key_range.last)
    remaining_ms = holds.compute_longest_hold(expires_at,
                                              now + ownership.GRANT_TIMEOUT_MS)
    if remaining_ms <= 0:
        return state.hold_ms
    return min(state.hold_ms, max(ownership.MIN_HOLD_MS, remaining_ms))


def _list_remaining(key_range: keyranges.KeyRange,
                    moves: list[ownership.Move]) -> list[keyranges.KeyRange]:
    leaving = [
        move for move in moves if move.transfer.source == key_range.server
    ]
    return ownership.subtract_moves([key_range],
                                    leaving) if leaving else [key_range]


def plan_probes(state: ownership.Coordination, view: ownership.ServiceView,
                now: float) -> list[ownership.Action]:
    """Returns probes of servers that lose their keys as they didn't answer.

    These servers are sent no more grants. Each has at most one probe in flight.
    """
    if now - state.probed_at < ownership.PROBE_INTERVAL_MS:
        return []
    state.probed_at = now
    silent_servers = [
        server for name, server in view.servers.items()
        if name not in state.probes_in_flight and
        ownership.has_timed_out(state, name, now)
    ]
    state.probes_in_flight.update(server.id for server in silent_servers)
    return [
        ownership.Probe(state.assignment.service, server)
        for server in silent_servers
    ]
