"""The grantor of a shard: taking the epoch, committing, renewing.

An assignment is committed once the store's record holds it, or, while the
store fails, once a majority of the record's delegates does. Assignments of
one epoch form a chain: each contains those proposed before it, so the newest
found is the one to go on from. A new grantor takes the epoch by compare-and-
swap, gathers from a majority of the record's delegates, commits what it found
under its own epoch, and only then grants. It changes no owner before all that
older epochs granted has ended.
"""

from array import array

from lentilmoor import authority
from lentilmoor import grants
from lentilmoor import leases
from lentilmoor import moves
from lentilmoor import ranges
from lentilmoor import records
from lentilmoor import slices

STORE_PATIENCE_MS = 100.0
"""How long a commit waits for the store before delegates are asked too."""

STORE_RETRY_MS = 250.0
STORE_CALL_LIMIT_MS = 5_000.0
"""When a store call that never came back counts as failed."""

CONFIRM_MS = 5_000.0
"""How often the record is read when nothing else calls for it."""

SHRINK_AFTER_MS = 1_500.0
"""How long a majority is missed before the list is changed without it."""

_Stage = grants.Stage


def make_row(shard: str, me: str, lifetime_ms: float, renew_ms: float,
             order_delay_ms: float, **options) -> grants.GrantorRow:
    """Returns the row of a shard that this entry may become grantor of.

    Args:
      shard: Shard id.
      me: Id of this entry, one per process start.
      lifetime_ms: Lifetime of grants and leases, from the next takeover on.
      renew_ms: How often they are renewed.
      order_delay_ms: Longest way of a request to a server.
      **options: `keyed` and `slices_per_server`.
    """
    return grants.GrantorRow(shard, me, lifetime_ms, renew_ms, order_delay_ms,
                             **options)


def is_authoritative(row: grants.GrantorRow, now: float) -> bool:
    """Returns whether this entry may act as the shard's grantor now."""
    return (row.stage is _Stage.SERVING and row.committed is not None and
            authority.find_end(row) > now)


def step_grantor(table: grants.GrantorTable, now: float) -> list[grants.Action]:
    """Returns what every shard's grantor does now.

    To be called each tick and after events; calls that are not due yet are
    not made again.

    Args:
      table: Rows by shard; changed.
      now: Time, ms.
    """
    actions: list[grants.Action] = []
    for row in table.values():
        actions.extend(_STEPS[row.stage](row, now))
    return actions


def apply_event(table: grants.GrantorTable, event: grants.Event,
                now: float) -> None:
    """Takes in an answer or a decision of another part.

    Args:
      table: Rows by shard; changed. Events of unknown shards are ignored.
      event: What happened.
      now: Time, ms; not before the answer arrived.
    """
    action = getattr(event, 'action', event)
    row = table.get(action.shard)
    if row is not None:
        _HANDLERS[type(event)](row, event, now)


# Steps.


def _step_idle(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    del row, now
    return []


def _step_reading(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    if _is_store_busy(row, now) or row.read_at > now:
        return []
    return [_call_store(row, grants.ReadRecord(row.shard, now))]


def _step_taking(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    if _is_store_busy(row, now) or row.read_at > now:
        return []
    record = row.record or _make_first_record(row)
    if record is None:
        return []
    taken = records.ShardRecord(
        epoch=record.epoch + 1,
        holder=row.me,
        lifetime_ms=max(record.lifetime_ms, round(row.lifetime_ms)),
        delegates=record.delegates,
        assignment=record.assignment,
    )
    row.epoch = taken.epoch
    row.earlier_ms = record.lifetime_ms
    swap = grants.SwapRecord(row.shard, taken, row.record_version, now)
    return [_call_store(row, swap)]


def _make_first_record(row: grants.GrantorRow) -> records.ShardRecord | None:
    if not row.wanted or not row.servers:
        return None
    servers = tuple(sorted(row.servers))
    if row.keyed:
        first = slices.make_map(servers, row.slices_per_server)
    else:
        first = slices.SliceMap(0, 0, servers, array('Q', [0]),
                                array('H', [slices.NO_OWNER]))
    return records.ShardRecord(0, '', 0, row.wanted, first)


def _step_gathering(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    leases.track_members(row, now)
    if authority.find_settled(row) == float('inf'):
        actions = leases.send_gathers(row, now)
        actions.extend(leases.send_asks(row, now))
        return actions
    _adopt(row, now)
    return _step_serving(row, now)


def _adopt(row: grants.GrantorRow, now: float) -> None:
    assert row.record is not None
    newest = row.record.assignment
    if row.gathered is not None and row.gathered.version > newest.version:
        newest = row.gathered
    row.sequence += 1
    row.stage = _Stage.SERVING
    row.lapsed_at = now
    row.had_authority = False
    row.proposed = slices.SliceMap(row.epoch, row.sequence, newest.servers,
                                   newest.bounds, newest.owners)
    row.proposed_at = grants.NEVER


def _step_serving(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    leases.track_members(row, now)
    if now < row.settled_at:
        row.settled_at = authority.find_settled(row)
    _note_authority(row, authority.find_end(row) > now, now)
    _commit_by_delegates(row)
    if row.committed is not None:
        _drop_servers(row, now)
        moves.step(row, now)
        _propose(row, now)
        _refresh_grants(row)
    _publish(row, now)
    actions = _step_store(row, now)
    end = authority.find_end(row)
    actions.extend(leases.send_leases(row, _find_published(row, now), end, now))
    if row.committed is not None:
        actions.extend(leases.send_grants(row, end, now))
    return actions


def _note_authority(row: grants.GrantorRow, has: bool, now: float) -> None:
    if has and not row.had_authority:
        leases.call_all(row)
    if row.had_authority and not has:
        row.lapsed_at = now
    row.had_authority = has


def _drop_servers(row: grants.GrantorRow, now: float) -> None:
    for server in list(row.servers.values()):
        if (server.removed and server.until <= now and
                server.id not in ranges.collect_owned(row.committed) and
                server.id not in [item.source for item in row.moves.values()]):
            del row.servers[server.id]


def _propose(row: grants.GrantorRow, now: float) -> None:
    if row.proposed is None:
        row.proposed = moves.propose(row)
        row.proposed_at = now


def _commit_by_delegates(row: grants.GrantorRow) -> None:
    proposed = row.proposed
    if proposed is not None and authority.has_majorities(
            row, lambda lease: lease.map_version == proposed.version):
        _commit(row)


def _commit(row: grants.GrantorRow) -> None:
    row.committed = row.proposed
    row.proposed = None
    moves.note_commit(row)


def _refresh_grants(row: grants.GrantorRow) -> None:
    if not row.keyed:
        return
    key = (
        row.committed.version,
        frozenset(
            (move.first, move.last, move.stage) for move in row.moves.values()),
        frozenset((server.id, server.lost) for server in row.servers.values()))
    if key == row.grants_key:
        return
    row.grants_key = key
    owned = moves.find_owned(row)
    changed = [
        server for server in row.servers.values()
        if server.owned != owned[server.id] or not server.sequence
    ]
    row.sequence += bool(changed)
    for server in changed:
        server.owned = owned[server.id]
        server.sequence = row.sequence
        server.next_at = grants.NEVER


def _find_published(row: grants.GrantorRow, now: float) -> slices.SliceMap:
    overdue = (not row.store_ok or row.committed is None or
               now >= row.proposed_at + STORE_PATIENCE_MS)
    if row.proposed is not None and overdue:
        return row.proposed
    return row.committed


def _publish(row: grants.GrantorRow, now: float) -> None:
    row.held = moves.find_held(row)
    key = (_find_published(row, now).version, row.held,
           tuple(sorted(row.homes.items())), row.contended)
    begun = any(not move.sequence for move in row.moves.values())
    if key == row.lease_key and not begun:
        return
    row.lease_key = key
    row.sequence += 1
    moves.mark_published(row)
    leases.call_delegates(row)


# The store.


def _is_store_busy(row: grants.GrantorRow, now: float) -> bool:
    call = row.store_call
    return call is not None and now < call.sent_at + STORE_CALL_LIMIT_MS


def _call_store(
    row: grants.GrantorRow, call: grants.ReadRecord | grants.SwapRecord
) -> grants.ReadRecord | grants.SwapRecord:
    row.store_call = call
    row.read_at = call.sent_at + CONFIRM_MS
    return call


def _step_store(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    if _is_store_busy(row, now):
        return []
    if row.read_at <= now:
        return [_call_store(row, grants.ReadRecord(row.shard, now))]
    if not row.store_ok:
        return []
    record = _draft_record(row, now)
    if not _differs(record, row.record):
        return []
    swap = grants.SwapRecord(row.shard, record, row.record_version, now)
    if record.delegates != row.record.delegates:
        row.unsettled = swap
        leases.track_members(row, now)
    return [_call_store(row, swap)]


def _differs(one: records.ShardRecord, other: records.ShardRecord) -> bool:
    return (one.assignment.version != other.assignment.version or
            one.delegates != other.delegates or
            one.lifetime_ms != other.lifetime_ms)


def _draft_record(row: grants.GrantorRow, now: float) -> records.ShardRecord:
    assert row.record is not None
    settled = now >= row.settled_at
    newest = row.proposed or row.committed
    return records.ShardRecord(
        epoch=row.epoch,
        holder=row.me,
        lifetime_ms=round(row.lifetime_ms)
        if settled else row.record.lifetime_ms,
        delegates=_choose_list(row, settled, now),
        assignment=newest,
    )


def _choose_list(row: grants.GrantorRow, settled: bool,
                 now: float) -> tuple[str, ...]:
    present = row.record.delegates
    if row.unsettled is not None:
        return row.unsettled.record.delegates
    if not row.wanted or set(row.wanted) == set(present) or not settled:
        return present
    if (not row.had_authority and authority.can_return(row) and
            now < row.lapsed_at + SHRINK_AFTER_MS):
        return present
    return row.wanted


def _observe(row: grants.GrantorRow, record: records.ShardRecord | None,
             version: int) -> None:
    if version < row.record_version and record is not None:
        return
    if record is None or (record.epoch, record.holder) != (row.epoch, row.me):
        _stand_down(row)
        return
    row.record = record
    row.record_version = version
    if (row.unsettled is not None and version > row.unsettled.expected_version):
        row.unsettled = None
    if (row.proposed is not None and
            record.assignment.version >= row.proposed.version):
        _commit(row)


def _stand_down(row: grants.GrantorRow) -> None:
    row.stage = _Stage.IDLE
    row.store_call = None
    row.unsettled = None
    row.committed = None
    row.proposed = None
    row.gathered = None
    row.moves.clear()
    row.splits.clear()
    row.merges.clear()


# Events.


def _on_takeover(row, event, now):
    del event
    if row.stage in (_Stage.READING, _Stage.TAKING):
        return
    _stand_down(row)
    row.stage = _Stage.READING
    row.read_at = now


def _on_resign(row, event, now):
    del event, now
    _stand_down(row)


def _on_read(row, event, now):
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = True
    if row.stage is _Stage.READING:
        row.record = event.record
        row.record_version = event.version
        row.stage = _Stage.TAKING
        row.read_at = now
    elif row.stage in (_Stage.GATHERING, _Stage.SERVING):
        _observe(row, event.record, event.version)


def _on_swapped(row, event, now):
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = True
    if row.stage is _Stage.TAKING:
        _take(row, event.action.record, event.version, now)
    elif row.stage in (_Stage.GATHERING, _Stage.SERVING):
        _observe(row, event.action.record, event.version)


def _on_conflict(row, event, now):
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = True
    record = event.record
    if row.stage is _Stage.TAKING:
        if record is not None and (record.epoch, record.holder) == (row.epoch,
                                                                    row.me):
            _take(row, record, event.version, now)
        elif record is not None and record.epoch < row.epoch:
            row.stage = _Stage.READING
            row.read_at = now
        else:
            _stand_down(row)
    elif row.stage in (_Stage.GATHERING, _Stage.SERVING):
        _observe(row, record, event.version)


def _on_store_failed(row, event, now):
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = False
    row.read_at = now + STORE_RETRY_MS


def _take(row: grants.GrantorRow, record: records.ShardRecord, version: int,
          now: float) -> None:
    row.record = record
    row.record_version = version
    row.stage = _Stage.GATHERING
    row.settled_at = float('inf')
    leases.start_epoch(row)
    leases.track_members(row, now)
    leases.call_all(row)


def _on_lease(row, event, now):
    lease = leases.note_lease(row, event, now)
    if lease is None or row.stage not in (_Stage.GATHERING, _Stage.SERVING):
        return
    found = event.reply.assignment
    if row.stage is _Stage.GATHERING:
        if found is not None and (row.gathered is None or
                                  found.version > row.gathered.version):
            row.gathered = found
        return
    moves.note_ack(row, lease, now)
    order = event.action.order
    if order.lifetime_ms == 0 and authority.find_end(row) > now:
        lease.next_at = grants.NEVER
    elif lease.map_version != _find_published(row, now).version:
        lease.next_at = grants.NEVER
    elif moves.is_draining(row, lease):
        lease.next_at = min(lease.next_at, now + leases.DRAIN_POLL_MS)


def _on_server_answered(row, event, now):
    leases.note_server(row, event, now)


def _on_grant(row, event, now):
    leases.note_grant(row, event, now)


def _on_refusal(row, event, now):
    leases.note_refusal(row, event, now)


def _on_call_failed(row, event, now):
    del row, event, now


def _on_added(row, event, now):
    del now
    server = row.servers.setdefault(event.server,
                                    grants.ServerGrant(id=event.server))
    if server.address not in ('', event.address):
        server.elsewhere_until = max(server.elsewhere_until, server.until)
        server.acked = -1
    server.address = event.address
    server.checks_grants = event.checks_grants
    server.removed = False
    server.leaving = False


def _on_removed(row, event, now):
    del now
    if event.server in row.servers:
        row.servers[event.server].removed = True
        row.servers[event.server].leaving = True


def _on_lost(row, event, now):
    del now
    if event.server in row.servers:
        row.servers[event.server].lost = True


def _on_back(row, event, now):
    del now
    if event.server in row.servers:
        row.servers[event.server].lost = False


def _on_leaving(row, event, now):
    del now
    if event.server in row.servers:
        row.servers[event.server].leaving = True


def _on_delegates(row, event, now):
    del now
    row.wanted = event.delegates


def _on_ended(row, event, now):
    row.ended.setdefault(event.delegate, now)


def _on_homes(row, event, now):
    del now
    row.homes = dict(event.homes)
    row.contended = event.contended


def _on_plan(row, event, now):
    if row.stage is _Stage.SERVING:
        moves.plan(row, event.plan, now)


_STEPS = {
    _Stage.IDLE: _step_idle,
    _Stage.READING: _step_reading,
    _Stage.TAKING: _step_taking,
    _Stage.GATHERING: _step_gathering,
    _Stage.SERVING: _step_serving,
}

_HANDLERS = {
    grants.Takeover: _on_takeover,
    grants.Resign: _on_resign,
    grants.RecordRead: _on_read,
    grants.RecordSwapped: _on_swapped,
    grants.SwapConflict: _on_conflict,
    grants.StoreFailed: _on_store_failed,
    grants.LeaseAnswered: _on_lease,
    grants.ServerAnswered: _on_server_answered,
    grants.GrantAnswered: _on_grant,
    grants.GrantRefused: _on_refusal,
    grants.CallFailed: _on_call_failed,
    grants.ServerAdded: _on_added,
    grants.ServerRemoved: _on_removed,
    grants.ServerLost: _on_lost,
    grants.ServerBack: _on_back,
    grants.ServerLeaving: _on_leaving,
    grants.ChooseDelegates: _on_delegates,
    grants.DelegateEnded: _on_ended,
    grants.SetHomes: _on_homes,
    grants.PlanMoves: _on_plan,
}
