"""Moves of keys from one server to another: planning, releases and saves.

Keys move off servers that leave or don't answer, and to balance load. Each move
consists of a release by the source, a wait until the holds of other servers
have expired, and a save. The target is granted the keys after the save.
"""

from collections.abc import Mapping
import dataclasses

from msgspec import structs

from lentilmoor.edge import holds
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import rebalancing


def plan_moves(state: ownership.Coordination, view: ownership.ServiceView,
               now: float) -> None:
    """Adds moves of keys of leaving servers, then moves that balance load.

    Args:
      state: State of the coordinator.
      view: The service's servers and load.
      now: Current time, ms.
    """
    if state.saving:
        return
    capacities = {
        name: view.capacities.get(name, 1.0)
        for name, server in view.servers.items()
        if not server.draining and
        not ownership.has_timed_out(state, name, now)
    }
    if not capacities:
        return
    state.moves = [
        move for move in state.moves
        if move.phase is not ownership.Phase.WAIT or move.handover_token or
        move.may_be_saved or not _has_returned(state, view, move, now)
    ]
    _plan_departures(state, view, capacities, now)
    defer = any(
        move.phase is not ownership.Phase.WAIT for move in state.moves) or any(
            ownership.may_return(state, view, item.server, now)
            for item in state.assignment.ranges)
    if not defer and now - state.rebalanced_at >= ownership.REBALANCE_PAUSE_MS:
        state.rebalanced_at = now
        _plan_balance(state, view, capacities, now)


def _plan_departures(state: ownership.Coordination, view: ownership.ServiceView,
                     capacities: Mapping[str, float], now: float) -> None:
    """Adds moves of the keys of servers that leave or don't answer."""
    owned = ownership.list_unmoved_ranges(state)
    for item in owned:
        if item.server in capacities:
            continue
        if not _must_move(state, view, item, now):
            continue
        if ownership.may_return(state, view, item.server, now):
            continue
        if item.server in view.servers and ownership.awaits_first_answer(
                state, item, now):
            continue
        release = item.server not in view.ended and not ownership.has_timed_out(
            state, item.server, now)
        phase = ownership.Phase.RELEASE if release else ownership.Phase.WAIT
        replacement = ownership.find_replacement(state, view, item.server)
        if item.server in view.ended and replacement in capacities:
            # The replacement may hold the keys already, so that any other
            # target would have to wait until that hold has expired.
            transfers = [
                rebalancing.Transfer(item.first, item.last, item.server,
                                     replacement)
            ]
        else:
            transfers = rebalancing.plan_departure(item, owned, view.loads,
                                                   capacities)
        for transfer in transfers:
            state.moves.append(ownership.Move(transfer, phase, now))


def _plan_balance(state: ownership.Coordination, view: ownership.ServiceView,
                  capacities: Mapping[str, float], now: float) -> None:
    """Adds moves that balance load or else merge small ranges."""
    owned = ownership.list_unmoved_ranges(state)
    transfers = rebalancing.plan_transfers(owned, view.loads, capacities)
    if not transfers:
        transfers = rebalancing.plan_range_merges(owned, view.loads, capacities)
    for transfer in transfers:
        if _has_unanswered_grant(state, transfer):
            state.pending_regrants.append(transfer)
        else:
            state.moves.append(
                ownership.Move(transfer, ownership.Phase.RELEASE, now))


def _has_returned(state: ownership.Coordination, view: ownership.ServiceView,
                  move: ownership.Move, now: float) -> bool:
    """Returns whether the source of a move is back and may keep its keys."""
    source = move.transfer.source
    server = view.servers.get(source)
    return (server is not None and not server.draining and
            source not in view.ended and
            not ownership.has_timed_out(state, source, now) and
            state.answered_at[source] > move.planned_at)


def _has_unanswered_grant(state: ownership.Coordination,
                          transfer: rebalancing.Transfer) -> bool:
    """Returns whether an unanswered grant may be applied after a release."""
    return any(item.server == transfer.source and not item.acknowledged and
               keyranges.overlaps(item, transfer.first, transfer.last)
               for item in state.server_holds)


def _must_move(state: ownership.Coordination, view: ownership.ServiceView,
               item: keyranges.KeyRange, now: float) -> bool:
    server = view.servers.get(item.server)
    if server is None or server.draining or item.server in view.ended:
        return True
    if not ownership.has_timed_out(state, item.server, now):
        return False
    return holds.find_expiry(state.server_holds, item.server, item.first,
                             item.last) <= now


def plan_releases(state: ownership.Coordination, view: ownership.ServiceView,
                  now: float) -> list[ownership.Action]:
    """Returns releases that are due.

    Moves that need no release enter the phase `WAIT`.
    """
    actions: list[ownership.Action] = []
    awaiting_answer = {
        move.transfer.source
        for move in state.moves
        if move.phase is ownership.Phase.RELEASING and
        move.transfer.source not in state.responsive
    }
    for move in state.moves:
        if move.phase is not ownership.Phase.RELEASE:
            continue
        transfer = move.transfer
        server = ownership.find_server(state, view, transfer.source)
        pieces = keyranges.intersect(state.assignment.ranges, transfer.first,
                                     transfer.last)
        if ownership.has_grant_in_flight(state, transfer):
            continue  # A grant that arrives after the release would undo it.
        if transfer.source in state.release_suspended:
            move.phase = ownership.Phase.WAIT
            continue
        if transfer.source in awaiting_answer:
            continue  # Its answer to an earlier call is awaited first.
        if server is None or len(pieces) != 1:
            move.phase = ownership.Phase.WAIT
            continue
        if not holds.find_expiry(state.server_holds, transfer.source,
                                 transfer.first, transfer.last) > now:
            move.phase = ownership.Phase.WAIT
            continue
        move.phase = ownership.Phase.RELEASING
        if transfer.source not in state.responsive:
            awaiting_answer.add(transfer.source)
        actions.append(
            ownership.Release(state.assignment.service, server,
                              _with_granted_fence(state, pieces[0])))
    return actions


def _with_granted_fence(state: ownership.Coordination,
                        item: keyranges.KeyRange) -> keyranges.KeyRange:
    """Returns keys with the fencing token of their last grant."""
    renewal = ownership.find_renewal(state, item)
    if renewal is None:
        return item
    return structs.replace(item, fence=renewal.fence)


def list_unserved(state: ownership.Coordination) -> list[tuple[int, int]]:
    """Returns first and last keys of moves that wait for holds to expire."""
    return [(move.transfer.first, move.transfer.last)
            for move in state.moves
            if move.phase is ownership.Phase.WAIT]


def plan_save(state: ownership.Coordination, view: ownership.ServiceView,
              now: float) -> list[ownership.Action]:
    """Returns a save if one is due.

    A save is due for moves whose wait is over, for ranges that are granted
    again, after a change of the store's era, and when half of the unsaved
    fencing tokens are used.
    """
    if state.saving or now < state.next_save_at:
        return []
    state.moves = [
        move for move in state.moves if _source_owns_keys(state, move)
    ]
    waiting = [
        move for move in state.moves if move.phase is ownership.Phase.WAIT and
        not ownership.has_grant_in_flight(state, move.transfer)
    ]
    _replace_departed_targets(state, view, waiting)
    ready = [
        move for move in waiting if holds.find_expiry_elsewhere(
            state.server_holds, move.transfer.target, move.transfer.first,
            move.transfer.last) <= now
    ]
    for move in ready:
        move.phase = ownership.Phase.SAVING
    changes = [(move.transfer.first, move.transfer.last, move.transfer.target)
               for move in ready]
    changes += _take_regrants(state)
    assignment = state.assignment
    # Before it may grant keys, the coordinator may lack moves of an earlier
    # era, so that its assignment must not be saved as one of the new era.
    era = state.era if now >= state.active_since else assignment.era
    unsaved = state.next_fence - assignment.next_fence
    if (not changes and unsaved < ownership.MAX_UNSAVED_FENCES / 2 and
            assignment.era == era):
        return []
    changed = [
        keyranges.KeyRange(first, last, server, state.next_fence + number)
        for number, (first, last, server) in enumerate(changes)
    ]
    state.saving = True
    ranges = keyranges.reassign(assignment.ranges, changed)
    ranges, state.next_fence = keyranges.merge_under_new_fences(
        ranges, state.next_fence + len(changed),
        [(item.first, item.last) for item in changed])
    following = dataclasses.replace(assignment,
                                    next_fence=state.next_fence,
                                    ranges=ranges,
                                    era=era,
                                    works=view.works,
                                    addresses=_list_addresses(
                                        state, view, ranges))
    return [ownership.Save(assignment.service, following, state.revision)]


def _take_regrants(state: ownership.Coordination) -> list[tuple[int, int, str]]:
    """Takes the pending regrants and returns the ranges for new tokens."""
    regrants, state.pending_regrants = state.pending_regrants, []
    unmoved = ownership.list_unmoved_ranges(state)
    return [(item.first, item.last, item.server)
            for item in unmoved
            if item.server in state.responsive and any(
                transfer.source == item.server and
                keyranges.overlaps(item, transfer.first, transfer.last)
                for transfer in regrants)]


def _list_addresses(state: ownership.Coordination, view: ownership.ServiceView,
                    ranges: tuple[keyranges.KeyRange, ...]) -> dict[str, str]:
    addresses = {}
    for item in ranges:
        server = ownership.find_server(state, view, item.server)
        if server is not None:
            addresses[item.server] = server.address
    return addresses


def _source_owns_keys(state: ownership.Coordination,
                      move: ownership.Move) -> bool:
    """Returns whether the source of a move still owns all its keys."""
    transfer = move.transfer
    pieces = keyranges.intersect(state.assignment.ranges, transfer.first,
                                 transfer.last)
    return all(piece.server == transfer.source for piece in pieces)


def _replace_departed_targets(state: ownership.Coordination,
                              view: ownership.ServiceView,
                              waiting: list[ownership.Move]) -> None:
    """Replaces targets that have left by the server with the fewest keys."""
    staying = [
        name for name, server in view.servers.items() if not server.draining
    ]
    for move in waiting:
        transfer = move.transfer
        if transfer.target not in staying and staying:
            counts = dict.fromkeys(staying, 0)
            for item in state.assignment.ranges:
                if item.server in counts:
                    counts[item.server] += item.last - item.first + 1
            target = min(counts, key=counts.__getitem__)
            move.transfer = dataclasses.replace(transfer, target=target)
