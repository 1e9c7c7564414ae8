"""Handing ranges over from one server to another, never two owners.

A range is held (not routed), drained at the delegates, revoked at its owner or
waited out, proposed and committed, granted to its next owner, and routed
again. A lost owner is waited out at once, without draining.
"""

from array import array

from lentilmoor import grants
from lentilmoor import plans
from lentilmoor import ranges
from lentilmoor import slices

HOLD_LIMIT_MS = 1_000.0
"""How long requests are held for a drain before the move is given up."""

_Stage = grants.MoveStage


def plan(row: grants.GrantorRow, wanted: plans.Plan, now: float) -> None:
    """Takes in a plan for the committed assignment.

    What does not fit the assignment any more is left out. While the store
    fails, only the slices of lost servers begin to move.

    Args:
      row: The shard's row, serving.
      wanted: The plan.
      now: Time, ms.
    """
    if row.committed is None:
        return
    row.splits.update(item.point for item in wanted.splits)
    row.merges.update(item.point for item in wanted.merges)
    shape = _reshape(row.committed, row.splits, row.merges)
    for move in wanted.moves:
        index = shape.find(move.point)
        item = (shape.bounds[index], shape.last_point(index))
        source = shape.owner_of(move.point) or ''
        if shape.bounds[index] == move.point and source == (move.source or ''):
            _begin(row, item, source, move.target, now)


def _begin(row: grants.GrantorRow, item: ranges.Range, source: str, target: str,
           now: float) -> None:
    server = row.servers.get(target)
    if server is None or server.lost or source == target:
        return
    if not row.store_ok and not is_lost(row, source):
        return
    current = row.moves.get(item[0])
    if current is not None and current.last == item[1]:
        _retarget(current, target)
        return
    if any(
            ranges.overlaps(item, (move.first, move.last))
            for move in row.moves.values()):
        return
    row.moves[item[0]] = grants.SliceMove(item[0],
                                          item[1],
                                          source,
                                          target,
                                          started_at=now)


def _retarget(move: grants.SliceMove, target: str) -> None:
    if move.stage in (_Stage.HOLDING, _Stage.REVOKING, _Stage.READY):
        move.target = target
    else:
        move.then = target


def is_lost(row: grants.GrantorRow, source: str) -> bool:
    """Returns whether an owner cannot be drained."""
    server = row.servers.get(source)
    return server is None or server.lost


def find_held(row: grants.GrantorRow) -> tuple[ranges.Range, ...]:
    """Returns what is not to be routed now."""
    if row.committed is None:
        return row.uncertain
    held = [(move.first, move.last) for move in row.moves.values()]
    lost = [item for item in row.committed.servers if is_lost(row, item)]
    if lost:
        owned = _collect_owned(row)
        for server in lost:
            held.extend(owned.get(server, ()))
    return ranges.join(held)


def find_owned(row: grants.GrantorRow) -> dict[str, tuple[ranges.Range, ...]]:
    """Returns what each server is to be granted now."""
    assert row.committed is not None
    revoked = [(move.first, move.last)
               for move in row.moves.values()
               if move.stage in (_Stage.REVOKING, _Stage.READY, _Stage.PROPOSED)
              ]
    owned = _collect_owned(row)
    return {
        server.id: () if server.lost else ranges.subtract(
            owned.get(server.id,
                      ()), revoked) for server in row.servers.values()
    }


def _collect_owned(row: grants.GrantorRow) -> dict[str, list[ranges.Range]]:
    """Returns the ranges of each server, worked out once for each map."""
    if row.collected is None or row.collected[0] is not row.committed:
        row.collected = (row.committed, ranges.collect_owned(row.committed))
    return row.collected[1]


def mark_published(row: grants.GrantorRow) -> None:
    """Notes, in a new sequence, which leases may still route what is held."""
    for move in row.moves.values():
        if move.sequence == 0:
            move.sequence = row.sequence
            move.leases = {
                lease.id: lease.until for lease in row.delegates.values()
            }


def note_ack(row: grants.GrantorRow, lease: grants.DelegateLease,
             now: float) -> None:
    """Notes that a delegate holds what it was told to hold."""
    for move in row.moves.values():
        if move.sequence and lease.sequence >= move.sequence:
            move.holds.setdefault(lease.id, now)


def step(row: grants.GrantorRow, now: float) -> None:
    """Takes every move as far as it can go now."""
    for move in list(row.moves.values()):
        if move.stage is _Stage.HOLDING:
            _step_holding(row, move, now)
        if move.stage is _Stage.REVOKING:
            _step_revoking(row, move, now)
        if move.stage is _Stage.GRANTING:
            _step_granting(row, move, now)


def is_draining(row: grants.GrantorRow, lease: grants.DelegateLease) -> bool:
    """Returns whether a move waits for this delegate to drain."""
    return any(move.stage is _Stage.HOLDING and move.sequence and
               lease.drained < move.sequence for move in row.moves.values())


def propose(row: grants.GrantorRow) -> slices.SliceMap | None:
    """Returns the next assignment, if any change is ready for it."""
    assert row.committed is not None
    if not row.keyed:
        return _propose_servers(row)
    ready = [move for move in row.moves.values() if move.stage is _Stage.READY]
    if not ready and not row.splits and not row.merges:
        return None
    shape = _reshape(row.committed, row.splits, ())
    servers = list(shape.servers)
    for move in ready:
        if move.target not in servers:
            servers.append(move.target)
        ranges.paint(shape.bounds, shape.owners, (move.first, move.last),
                     servers.index(move.target))
        move.stage = _Stage.PROPOSED
    row.sequence += 1
    drawn = slices.SliceMap(row.epoch, row.sequence, tuple(servers),
                            shape.bounds, shape.owners)
    drawn = _drop_servers(row, _reshape(drawn, (), row.merges))
    row.splits.clear()
    row.merges.clear()
    return drawn


def _drop_servers(row: grants.GrantorRow,
                  drawn: slices.SliceMap) -> slices.SliceMap:
    used = set(drawn.owners)
    kept = [
        index for index, server in enumerate(drawn.servers)
        if index in used or server in row.servers
    ]
    places = {index: place for place, index in enumerate(kept)}
    owners = (places.get(owner, slices.NO_OWNER) for owner in drawn.owners)
    return slices.SliceMap(drawn.epoch, drawn.sequence,
                           tuple(drawn.servers[index] for index in kept),
                           drawn.bounds, array('H', owners))


def _propose_servers(row: grants.GrantorRow) -> slices.SliceMap | None:
    assert row.committed is not None
    servers = tuple(sorted(row.servers))
    if servers == row.committed.servers:
        return None
    row.sequence += 1
    return slices.SliceMap(row.epoch, row.sequence, servers,
                           row.committed.bounds, row.committed.owners)


def note_commit(row: grants.GrantorRow) -> None:
    """Lets the moves of the committed proposal be granted."""
    for move in row.moves.values():
        if move.stage is _Stage.PROPOSED:
            move.stage = _Stage.GRANTING


def _step_holding(row: grants.GrantorRow, move: grants.SliceMove,
                  now: float) -> None:
    lost = is_lost(row, move.source)
    server = row.servers.get(move.source)
    checks = server is not None and server.checks_grants
    if not move.sequence and not (lost and checks):
        return
    overdue = now >= move.started_at + HOLD_LIMIT_MS
    forced = lost or (overdue and server is not None and server.leaving)
    if checks and forced:
        _revoke(row, move)
    elif all(
            _is_clear(row, move, member, checks, forced, now)
            for member in move.leases):
        _revoke(row, move)
    elif overdue and not forced:
        del row.moves[move.first]


def _is_clear(row: grants.GrantorRow, move: grants.SliceMove, member: str,
              checks: bool, forced: bool, now: float) -> bool:
    delay = 0.0 if checks else row.order_delay_ms
    lease = row.delegates.get(member)
    if lease is not None and lease.drained >= move.sequence:
        return True
    held_at = move.holds.get(member)
    if held_at is None:
        return now >= move.leases[member] + delay
    return forced and now >= held_at + delay


def _revoke(row: grants.GrantorRow, move: grants.SliceMove) -> None:
    move.stage = _Stage.REVOKING
    server = row.servers.get(move.source)
    move.revoke_ends = grants.NEVER if server is None else server.until


def _step_revoking(row: grants.GrantorRow, move: grants.SliceMove,
                   now: float) -> None:
    server = row.servers.get(move.source)
    checks = server is not None and server.checks_grants
    settled_at = row.settled_at + (0.0 if checks else row.order_delay_ms)
    if now < settled_at:
        return
    if not checks or now >= move.revoke_ends or _has_let_go(server, move):
        move.stage = _Stage.READY


def _has_let_go(server: grants.ServerGrant, move: grants.SliceMove) -> bool:
    item = (move.first, move.last)
    return (server.acked == server.sequence and
            not any(ranges.overlaps(item, owned) for owned in server.owned))


def _step_granting(row: grants.GrantorRow, move: grants.SliceMove,
                   now: float) -> None:
    target = row.servers.get(move.target)
    if (target is None or target.lost or not target.checks_grants or
        (target.acked == target.sequence and
         any(first <= move.first and move.last <= last
             for first, last in target.owned))):
        del row.moves[move.first]
        if is_lost(row, move.target) and move.then:
            _begin(row, (move.first, move.last), move.target, move.then, now)


def _reshape(slice_map: slices.SliceMap, splits, merges) -> slices.SliceMap:
    bounds = array('Q', slice_map.bounds)
    owners = array('H', slice_map.owners)
    for point in splits:
        ranges.cut_at(bounds, owners, point)
    for index in range(len(bounds) - 1, 0, -1):
        if bounds[index] in merges and owners[index] == owners[index - 1]:
            del bounds[index]
            del owners[index]
    return slices.SliceMap(slice_map.epoch, slice_map.sequence,
                           slice_map.servers, bounds, owners)
