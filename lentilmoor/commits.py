"""A shard's record: taking the epoch, committing assignments, the list.

An assignment is committed once the store's record holds it, or, while the
store fails, once a majority of the record's delegates does. Assignments of
one epoch form a chain: each contains those proposed before it, so the newest
found is the one to go on from.
"""

from array import array
import math

from lentilmoor import authority
from lentilmoor import grants
from lentilmoor import leases
from lentilmoor import moves
from lentilmoor import records
from lentilmoor import slices

STORE_PATIENCE_MS = 100.0
"""How long a commit waits for the store before delegates are asked too."""

STORE_RETRY_MS = 250.0
"""How soon the store is tried again after it failed."""

STORE_CALL_LIMIT_MS = 5_000.0
"""When a store call that never came back counts as failed."""

CONFIRM_MS = 5_000.0
"""How often the record is read when nothing else calls for it."""

SHRINK_AFTER_MS = 1_500.0
"""How long a majority is missed before the list is changed without it.

Longer than a takeover lasts, so that the entries on the other side of a
partition, if they are the majority, take the epoch first.
"""


def is_store_busy(row: grants.GrantorRow, now: float) -> bool:
    """Returns whether a store call is out that may still be answered."""
    call = row.store_call
    return call is not None and now < call.sent_at + STORE_CALL_LIMIT_MS


def call_store(
    row: grants.GrantorRow, call: grants.ReadRecord | grants.SwapRecord
) -> grants.ReadRecord | grants.SwapRecord:
    """Notes a call as the one that is out, and returns it."""
    row.store_call = call
    row.read_at = call.sent_at + CONFIRM_MS
    return call


def take_epoch(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    """Returns the swap that makes this entry the shard's grantor.

    Delegates and assignment stay as they are: older epochs may rely on them.
    """
    if is_store_busy(row, now) or row.read_at > now:
        return []
    record = row.record or _make_first_record(row)
    if record is None:
        return []
    taken = records.ShardRecord(
        epoch=record.epoch + 1,
        holder=row.me,
        lifetime_ms=max(record.lifetime_ms, math.ceil(row.lifetime_ms)),
        delegates=record.delegates,
        assignment=record.assignment,
    )
    row.epoch = taken.epoch
    row.earlier_ms = record.lifetime_ms
    swap = grants.SwapRecord(row.shard, taken, row.record_version, now)
    return [call_store(row, swap)]


def _make_first_record(row: grants.GrantorRow) -> records.ShardRecord | None:
    if not row.wanted or not row.servers:
        return None
    servers = tuple(sorted(row.servers))
    if row.keyed:
        first = slices.make_map(servers, row.slices_per_server, row.number,
                                row.shards)
    else:
        first = slices.SliceMap(0, 0, servers, array('Q', [0]),
                                array('H', [slices.NO_OWNER]))
    return records.ShardRecord(0, '', 0, row.wanted, first)


def step_store(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    """Returns the store call that is due, if any."""
    if is_store_busy(row, now):
        return []
    if row.read_at <= now:
        return [call_store(row, grants.ReadRecord(row.shard, now))]
    if not row.store_ok:
        return []
    record = _draft_record(row, now)
    if not _differs(record, row.record):
        return []
    swap = grants.SwapRecord(row.shard, record, row.record_version, now)
    if record.delegates != row.record.delegates:
        row.unsettled = swap
        leases.track_members(row, now)
    return [call_store(row, swap)]


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
        lifetime_ms=math.ceil(row.lifetime_ms)
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


def observe(row: grants.GrantorRow, record: records.ShardRecord | None,
            version: int) -> None:
    """Takes in the record as it is, or was at that version."""
    if version < row.record_version and record is not None:
        return
    if record is None or (record.epoch, record.holder) != (row.epoch, row.me):
        stand_down(row)
        return
    row.record = record
    row.record_version = version
    if (row.unsettled is not None and version > row.unsettled.expected_version):
        row.unsettled = None
    if (row.proposed is not None and
            record.assignment.version >= row.proposed.version):
        _commit(row)


def commit_by_delegates(row: grants.GrantorRow) -> None:
    """Commits the proposal if a majority of each electorate holds it."""
    proposed = row.proposed
    if proposed is not None and authority.has_majorities(
            row, lambda lease: lease.map_version == proposed.version):
        _commit(row)


def _commit(row: grants.GrantorRow) -> None:
    row.committed = row.proposed
    row.proposed = None
    moves.note_commit(row)


def find_published(row: grants.GrantorRow, now: float) -> slices.SliceMap:
    """Returns the assignment that delegates are to hold.

    A proposal is shown to them only where the store does not commit it.
    """
    overdue = (not row.store_ok or row.committed is None or
               now >= row.proposed_at + STORE_PATIENCE_MS)
    if row.proposed is not None and overdue:
        return row.proposed
    return row.committed


def stand_down(row: grants.GrantorRow) -> None:
    """Stops being grantor; what was sent runs out by itself."""
    row.stage = grants.Stage.IDLE
    row.store_call = None
    row.unsettled = None
    row.committed = None
    row.proposed = None
    row.gathered = None
    row.moves.clear()
    row.splits.clear()
    row.merges.clear()
