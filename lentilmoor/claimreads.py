"""A new grantor reads its shard's log and fences the grantors before it.

Tail segments are read first and archives after them, so that what an older
grantor archives meanwhile is found in one place or the other; a gap in the
sequence means that slots were written again meanwhile, and all is read anew.
"""

from lentilmoor import answers
from lentilmoor import claimcodecs
from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import claimtables
from lentilmoor import outcomes
from lentilmoor import stores

_Table = claimtables.ClaimTable
_Phase = claimtables.Phase
_Kind = claimlogs.SettlementKind


def plan_read(table: _Table) -> claimtables.ReadSegments:
    """Returns the next call that reads the log."""
    if not table.pages:
        table.read = []
        table.pages = [claimlogs.tail_prefix(table.log.shard)]
    return claimtables.ReadSegments(table.pages[-1])


def plan_fence(table: _Table, now: float) -> claimtables.SwapSegment:
    """Returns the call that writes this grantor's first segment."""
    sequence = table.log.sequence + 1
    tail = claimlogs.Tail(table.epoch, sequence, now + table.wall_offset_ms)
    table.sent = tail
    return claimtables.SwapSegment(
        claimlogs.tail_key(table.log.shard, sequence),
        claimcodecs.encode_tail(tail), claimlogs.next_version(table.log))


def take_read(table: _Table, event: claimtables.SegmentsRead,
              now: float) -> int:
    """Takes in what was read.

    Returns:
      The epoch of a newer grantor met in the log, or 0.
    """
    if isinstance(event.outcome, outcomes.Failed):
        return _fail(table, now, event.outcome)
    table.read.extend(event.outcome)
    tail_page = event.prefix == claimlogs.tail_prefix(table.log.shard)
    if tail_page or event.outcome:
        page = len(table.pages) - 1
        table.pages.append(claimlogs.archive_prefix(table.log.shard, page))
        return 0
    records, table.read, table.pages = table.read, [], []
    return _absorb(table, records, now)


def take_fence(table: _Table, event: claimtables.SegmentSwapped,
               now: float) -> int:
    """Takes in the outcome of `plan_fence`; returns as `take_read` does."""
    result = event.outcome
    if isinstance(result, outcomes.Failed):
        return _fail(table, now, result)
    table.problem = ''
    if isinstance(result, stores.Record):
        claimlogs.note_tail(table.log, table.sent.sequence, result.version)
        _apply_tail(table, table.sent, now)
        table.phase = _Phase.SERVING
        return 0
    table.counters.conflicts += 1
    sequence = table.log.sequence + 1
    tail = decode_own(table, result.current)
    if tail is None or tail.sequence != sequence:
        table.phase = _Phase.READING
        return 0
    if tail.epoch > table.epoch:
        return tail.epoch
    claimlogs.note_tail(table.log, sequence, result.current.version)
    _apply_tail(table, tail, now)
    if tail.epoch == table.epoch:
        table.phase = _Phase.SERVING
    return 0


def decode_own(table: _Table,
               record: stores.Record | None) -> claimlogs.Tail | None:
    """Returns the tail segment in a record, or None if it holds none."""
    if record is None:
        return None
    tail = claimcodecs.decode_tail(record)
    if isinstance(tail, outcomes.Failed):
        return None
    right_key = claimlogs.tail_key(table.log.shard, tail.sequence)
    return tail if tail.sequence and right_key == record.key else None


def list_unarchived(tail: claimlogs.Tail) -> claimtables.Unarchived:
    """Returns what an archive has to tell of a tail segment."""
    return claimtables.Unarchived(
        tail.sequence, tail.wall_ms,
        tuple(claim.digest for claim in tail.claims),
        tuple(item.claim
              for item in tail.settlements
              if item.kind is _Kind.RELEASED),
        tuple(item.claim.digest
              for item in tail.settlements
              if item.kind is _Kind.ANSWERED))


def _fail(table: _Table, now: float, failed: outcomes.Failed) -> int:
    table.counters.failures += 1
    table.retry_at = now + table.limits.retry_ms
    table.problem = f'{failed.reason.value}: {failed.detail}'
    return 0


def _absorb(table: _Table, records: list[stores.Record], now: float) -> int:
    prefix = claimlogs.tail_prefix(table.log.shard)
    tails = []
    archives = []
    log = claimlogs.Log(table.log.shard)
    for record in records:
        is_tail = record.key.startswith(prefix)
        segment = _decode(table, record, is_tail)
        if isinstance(segment, outcomes.Failed):
            return _fail(table, now, segment)
        if segment.epoch > table.epoch:
            return segment.epoch
        if is_tail:
            tails.append(segment)
            slot = segment.sequence % claimlogs.TAIL_SLOTS
            log.versions[slot] = record.version
        else:
            archives.append(segment)
            claimlogs.note_archive(log, _index(table, record), record.version,
                                   segment.newest_ms)
    log.archived = max((item.last_sequence for item in archives), default=0)
    log.sequence = max((item.sequence for item in tails), default=0)
    if claimlogs.find_gap(log, tails) or log.sequence < log.archived:
        return _fail(
            table, now,
            outcomes.Failed(outcomes.Reason.INVALID,
                            'the log changed while it was read'))
    table.log = log
    _apply_all(table, archives, tails, now)
    table.phase = _Phase.FENCING
    return 0


def _decode(table: _Table, record: stores.Record, is_tail: bool):
    if not is_tail:
        return claimcodecs.decode_archive(record)
    tail = decode_own(table, record)
    if tail is None:
        return outcomes.Failed(outcomes.Reason.INVALID,
                               f'{record.key}: no tail segment of this log')
    return tail


def _index(table: _Table, record: stores.Record) -> int:
    start = len(f'claims/{table.log.shard}/archive/')
    page, _, place = record.key[start:].partition('/')
    return int(page) * claimlogs.PAGE_ARCHIVES + int(place)


def _apply_all(table: _Table, archives: list[claimlogs.Archive],
               tails: list[claimlogs.Tail], now: float) -> None:
    table.unarchived.clear()
    table.archive = None
    oldest_ms = now + table.wall_offset_ms - table.ended.retention_ms
    for archive in sorted(archives, key=lambda item: item.last_sequence):
        if archive.newest_ms >= oldest_ms:
            _apply_archive(table, archive, now)
    for tail in sorted(tails, key=lambda item: item.sequence):
        if tail.sequence > table.log.archived:
            _apply_tail(table, tail, now)


def _apply_archive(table: _Table, archive: claimlogs.Archive,
                   now: float) -> None:
    claimsets.add_run(table.ended, archive.ended)
    for item in archive.settlements:
        _apply_settlement(table, item, archive.newest_ms)
    for claim in archive.running:
        _apply_claim(table, claim, archive.newest_ms, now)


def _apply_tail(table: _Table, tail: claimlogs.Tail, now: float) -> None:
    for item in tail.settlements:
        _apply_settlement(table, item, tail.wall_ms)
    for claim in tail.claims:
        _apply_claim(table, claim, tail.wall_ms, now)
    table.unarchived.append(list_unarchived(tail))


def _apply_claim(table: _Table, claim: claimlogs.Claim, wall_ms: float,
                 now: float) -> None:
    if claimsets.find(table.ended, claim.digest) is not None:
        return
    made_at = min(wall_ms - table.wall_offset_ms, now)
    ends_at = made_at + claimtables.LONGEST_RUN_MS
    table.running[claim.digest] = claimtables.Running(claim, ends_at)


def _apply_settlement(table: _Table, item: claimlogs.Settlement,
                      wall_ms: float) -> None:
    digest = item.claim.digest
    running = table.running.get(digest)
    if item.kind is _Kind.RELEASED:
        if running and running.claim.attempt == item.claim.attempt:
            del table.running[digest]
        return
    table.running.pop(digest, None)
    claimsets.add(table.ended, digest, item.claim.fingerprint, wall_ms)
    if item.kind is _Kind.ANSWERED:
        answers.keep(table.answers, digest, item.answer)
