"""What each event does to a grantor's row.

An answer counts only for the epoch and the call that it belongs to; one that
comes late or twice changes nothing that still matters.
"""

import math

from lentilmoor import authority
from lentilmoor import commits
from lentilmoor import grants
from lentilmoor import leases
from lentilmoor import moves
from lentilmoor import records

_Stage = grants.Stage
_HELD = (_Stage.GATHERING, _Stage.SERVING)


def apply(row: grants.GrantorRow, event: grants.Event, now: float) -> None:
    """Takes in one event of the row's shard.

    Args:
      row: The row; changed.
      event: What happened.
      now: Time, ms; not before the event.
    """
    _HANDLERS[type(event)](row, event, now)


def _on_takeover(row: grants.GrantorRow, event: grants.Takeover,
                 now: float) -> None:
    del event
    if row.stage in (_Stage.READING, _Stage.TAKING):
        return
    commits.stand_down(row)
    row.stage = _Stage.READING
    row.read_at = now


def _on_resign(row: grants.GrantorRow, event: grants.Resign,
               now: float) -> None:
    del event, now
    commits.stand_down(row)


def _on_read(row: grants.GrantorRow, event: grants.RecordRead,
             now: float) -> None:
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = True
    if row.stage is _Stage.READING:
        row.record = event.record
        row.record_version = event.version
        row.stage = _Stage.TAKING
        row.read_at = now
    elif row.stage in _HELD:
        commits.observe(row, event.record, event.version)


def _on_swapped(row: grants.GrantorRow, event: grants.RecordSwapped,
                now: float) -> None:
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = True
    if row.stage is _Stage.TAKING:
        _take(row, event.action.record, event.version, now)
    elif row.stage in _HELD:
        commits.observe(row, event.action.record, event.version)


def _on_conflict(row: grants.GrantorRow, event: grants.SwapConflict,
                 now: float) -> None:
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
            commits.stand_down(row)
    elif row.stage in _HELD:
        commits.observe(row, record, event.version)


def _on_store_failed(row: grants.GrantorRow, event: grants.StoreFailed,
                     now: float) -> None:
    if event.action is not row.store_call:
        return
    row.store_call = None
    row.store_ok = False
    row.read_at = now + commits.STORE_RETRY_MS


def _take(row: grants.GrantorRow, record: records.ShardRecord, version: int,
          now: float) -> None:
    row.record = record
    row.record_version = version
    row.stage = _Stage.GATHERING
    row.settled_at = math.inf
    leases.start_epoch(row)
    leases.track_members(row, now)
    leases.call_all(row)


def _on_lease(row: grants.GrantorRow, event: grants.LeaseAnswered,
              now: float) -> None:
    lease = leases.note_lease(row, event, now)
    if lease is None or row.stage not in _HELD:
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
    elif lease.map_version != commits.find_published(row, now).version:
        lease.next_at = grants.NEVER
    elif moves.is_draining(row, lease):
        lease.next_at = min(lease.next_at, now + leases.DRAIN_POLL_MS)


def _on_added(row: grants.GrantorRow, event: grants.ServerAdded,
              now: float) -> None:
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


def _on_removed(row: grants.GrantorRow, event: grants.ServerRemoved,
                now: float) -> None:
    del now
    if event.server in row.servers:
        row.servers[event.server].removed = True
        row.servers[event.server].leaving = True


def _on_lost(row: grants.GrantorRow, event: grants.ServerLost,
             now: float) -> None:
    del now
    if event.server in row.servers:
        row.servers[event.server].lost = True


def _on_back(row: grants.GrantorRow, event: grants.ServerBack,
             now: float) -> None:
    del now
    if event.server in row.servers:
        row.servers[event.server].lost = False


def _on_leaving(row: grants.GrantorRow, event: grants.ServerLeaving,
                now: float) -> None:
    del now
    if event.server in row.servers:
        row.servers[event.server].leaving = True


def _on_delegates(row: grants.GrantorRow, event: grants.ChooseDelegates,
                  now: float) -> None:
    del now
    row.wanted = event.delegates


def _on_ended(row: grants.GrantorRow, event: grants.DelegateEnded,
              now: float) -> None:
    row.ended.setdefault(event.delegate, now)


def _on_homes(row: grants.GrantorRow, event: grants.SetHomes,
              now: float) -> None:
    del now
    row.homes = dict(event.homes)
    row.contended = event.contended


def _on_plan(row: grants.GrantorRow, event: grants.PlanMoves,
             now: float) -> None:
    if row.stage is _Stage.SERVING:
        moves.plan(row, event.plan, now)


def _ignore(row: grants.GrantorRow, event: grants.CallFailed,
            now: float) -> None:
    """Does nothing: the call is made again when it is next due."""
    del row, event, now


_HANDLERS = {
    grants.Takeover: _on_takeover,
    grants.Resign: _on_resign,
    grants.RecordRead: _on_read,
    grants.RecordSwapped: _on_swapped,
    grants.SwapConflict: _on_conflict,
    grants.StoreFailed: _on_store_failed,
    grants.LeaseAnswered: _on_lease,
    grants.ServerAnswered: leases.note_server,
    grants.GrantAnswered: leases.note_grant,
    grants.GrantRefused: leases.note_refusal,
    grants.CallFailed: _ignore,
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
