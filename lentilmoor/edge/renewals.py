"""Grants that are due: new ones, renewals, and probes of silent servers."""

from lentilmoor.edge import holds
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables


def plan_grants(state: ownership.Coordination, view: ownership.ServiceView,
                now: float) -> list[ownership.Action]:
    """Returns grants that are due."""
    actions: list[ownership.Action] = []
    calling = {item.server for item in state.grants_in_flight}
    for item in state.assignment.ranges:
        server = view.servers.get(item.server)
        if ownership.may_return(state, view, item.server, now):
            server = ownership.find_server(state, view, item.server)
        if server is None or item.server in view.ended:
            continue
        if ownership.has_timed_out(state, item.server, now):
            continue  # It is probed, and its keys are about to move.
        renewal = state.renewals.setdefault(item, ownership.Renewal(item.fence))
        if renewal.pending or renewal.due_at > now:
            continue
        if item.server not in state.responsive:
            if item.server in calling:
                continue  # One that doesn't answer must not hold up others.
            calling.add(item.server)
        pieces = _list_kept(item, state.moves)
        if pieces != [item]:
            # A part is on its way out: renewing it would undo the release.
            renewal.due_at = now + ownership.GRANT_RETRY_MS
            if renewal.owner_answered:
                state.grants_in_flight += pieces
                actions += [
                    _make_grant(state, server, piece, renewal, now)
                    for piece in pieces
                ]
                renewal.due_at = now + state.hold_ms * ownership.RENEW_FRACTION
            continue
        renewal.pending = True
        state.grants_in_flight.append(item)
        actions.append(_make_grant(state, server, item, renewal, now))
    return actions


def _make_grant(state: ownership.Coordination, server: tables.Server,
                item: keyranges.KeyRange, renewal: ownership.Renewal,
                now: float) -> ownership.Grant:
    return ownership.Grant(state.assignment.service,
                           server,
                           item,
                           renewal.fence,
                           _find_hold(state, item, now),
                           state.handover_tokens.get(item, ''),
                           planned_at=now,
                           link=renewal.link)


def _find_hold(state: ownership.Coordination, item: keyranges.KeyRange,
               now: float) -> float:
    """Returns how long a server is to hold keys, ms.

    One that didn't answer may have taken the grant all the same, and its keys
    can't move before that has run out. What it is sent again adds nothing.
    """
    if item.server in state.responsive:
        return state.hold_ms
    until = holds.find_expiry(state.server_holds, item.server, item.first,
                              item.last)
    left_ms = holds.compute_longest_hold(until,
                                         now + ownership.GRANT_TIMEOUT_MS)
    if left_ms <= 0:
        return state.hold_ms
    return min(state.hold_ms, max(ownership.MIN_HOLD_MS, left_ms))


def _list_kept(item: keyranges.KeyRange,
               moves: list[ownership.Move]) -> list[keyranges.KeyRange]:
    leaving = [move for move in moves if move.transfer.source == item.server]
    return ownership.subtract_moves([item], leaving) if leaving else [item]


def plan_probes(state: ownership.Coordination, view: ownership.ServiceView,
                now: float) -> list[ownership.Action]:
    """Calls servers that are to lose their keys as they didn't answer.

    They are sent no grants any more. One probe at a time is under way to each.
    """
    if now - state.probed_at < ownership.PROBE_INTERVAL_MS:
        return []
    state.probed_at = now
    silent = [
        server for name, server in view.servers.items()
        if name not in state.probes_in_flight and
        ownership.has_timed_out(state, name, now)
    ]
    state.probes_in_flight.update(server.id for server in silent)
    return [
        ownership.Probe(state.assignment.service, server) for server in silent
    ]
