"""A serving grantor commits claims in groups, and archives old segments.

A budget of group commits a second decides how long a claim waits for others:
hardly at all while writes are few, and longer the nearer they are to the
budget. One call of the store is under way at a time.
"""

from array import array

from lentilmoor import claimcodecs
from lentilmoor import claimlogs
from lentilmoor import claimreads
from lentilmoor import claimsets
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores

_Table = claimtables.ClaimTable
_Kind = claimlogs.SettlementKind


def refill(table: _Table, now: float) -> None:
    """Adds the group commits that became due since the last call."""
    gained = (now - table.tokens_at) * table.limits.writes_per_s
    gained /= clocks.MS_PER_S
    table.tokens = min(table.tokens + gained, table.limits.burst)
    table.tokens_at = now


def due_at(table: _Table, now: float) -> float | None:
    """Returns when the next group commit is due, or None if none is."""
    if table.dirty or table.down:
        return table.retry_at
    wanted = []
    if table.waiting:
        first = next(iter(table.waiting.values())).asked_at
        wanted.append(first + gather_ms(table))
    if table.unlogged:
        wanted.append(table.unlogged[0].queued_at + table.limits.settle_ms)
    if not wanted:
        return None
    missing = max(0.0, 1.0 - table.tokens)
    next_token = now + missing * clocks.MS_PER_S / table.limits.writes_per_s
    return max(min(wanted), next_token, table.retry_at)


def gather_ms(table: _Table) -> float:
    """Returns how long a claim waits for others at the present load.

    Nothing while all the burst is left, and the mean time between two group
    commits of the budget when none is.
    """
    limits = table.limits
    spent = 1.0 - table.tokens / limits.burst
    return spent * clocks.MS_PER_S / limits.writes_per_s


def plan_commit(table: _Table, now: float) -> claimtables.SwapSegment:
    """Returns the call that commits all that waits."""
    settlements = []
    room = claimlogs.MAX_BATCH_ANSWER_BYTES
    for item in table.unlogged:
        room -= len(item.settlement.answer)
        if room < 0:
            break
        settlements.append(item.settlement)
    claims = [item.claim for item in table.waiting.values()]
    table.sent = claimlogs.Tail(table.epoch, table.log.sequence + 1,
                                now + table.wall_offset_ms, tuple(settlements),
                                tuple(claims[:claimlogs.MAX_BATCH_CLAIMS]))
    table.tokens -= 1.0
    return claimtables.SwapSegment(
        claimlogs.tail_key(table.log.shard, table.sent.sequence),
        claimcodecs.encode_tail(table.sent), claimlogs.next_version(table.log))


def find_landed(
        table: _Table,
        result: stores.Record | stores.Conflict) -> claimlogs.Tail | int:
    """Returns the segment that landed in the slot of `table.sent`.

    Args:
      table: The claims.
      result: Of the compare-and-swap.

    Returns:
      The segment: the one sent, or an earlier one of this grantor whose
      landing was not known; or the epoch of a newer grantor; or 0 if the slot
      holds none of these.
    """
    if isinstance(result, stores.Record):
        return table.sent
    table.counters.conflicts += 1
    tail = claimreads.decode_own(table, result.current)
    if tail is None:
        return 0
    if tail.epoch > table.epoch:
        return tail.epoch
    if tail.epoch < table.epoch or tail.sequence != table.sent.sequence:
        return 0
    return tail


def note_landed(table: _Table, tail: claimlogs.Tail, version: int) -> None:
    """Notes that a segment of this grantor is the log's last."""
    claimlogs.note_tail(table.log, tail.sequence, version)
    table.unarchived.append(claimreads.list_unarchived(tail))
    table.counters.commits += 1
    table.down = False
    table.dirty = False


def needs_archive(table: _Table, now: float) -> bool:
    """Returns whether tail segments are to be merged into an archive now."""
    return (len(table.unarchived) >= claimlogs.ARCHIVE_AT and not table.down and
            now >= table.archive_retry_at)


def plan_archive(table: _Table, now: float) -> claimtables.SwapSegment:
    """Returns the call that merges the oldest tail segments."""
    wall_ms = now + table.wall_offset_ms
    if table.archive is None:
        oldest_ms = wall_ms - table.ended.retention_ms
        index = claimlogs.pick_archive(table.log, oldest_ms)
        table.archive = claimtables.OpenArchive(index)
    batch = _pick_batch(table)
    _merge(table, table.archive, batch)
    table.sent = _build(table, table.archive, batch[-1].sequence, wall_ms)
    index = table.archive.index
    known = index < len(table.log.archive_versions)
    return claimtables.SwapSegment(
        claimlogs.archive_key(table.log.shard, index),
        claimcodecs.encode_archive(table.sent),
        table.log.archive_versions[index] if known else 0)


def take_archive(table: _Table, event: claimtables.SegmentSwapped,
                 now: float) -> int:
    """Takes in the outcome of `plan_archive`.

    What an older grantor may have written there is known to this one in full,
    so it is written over.

    Returns:
      The epoch of a newer grantor met there, or 0.
    """
    result = event.outcome
    index = table.archive.index
    if isinstance(result, outcomes.Failed):
        table.counters.failures += 1
        table.archive_retry_at = now + table.limits.retry_ms
        return 0
    if isinstance(result, stores.Conflict):
        table.counters.conflicts += 1
        return _take_conflict(table, result.current, index)
    claimlogs.note_archive(table.log, index, result.version,
                           table.sent.newest_ms)
    table.log.archived = table.sent.last_sequence
    while table.unarchived and (table.unarchived[0].sequence
                                <= table.log.archived):
        table.unarchived.popleft()
    table.counters.archives += 1
    if len(result.value) >= claimlogs.ARCHIVE_BYTES:
        table.archive = None
    return 0


def _take_conflict(table: _Table, current: stores.Record | None,
                   index: int) -> int:
    if current is None:
        claimlogs.note_archive(table.log, index, 0, 0.0)
        return 0
    held = claimcodecs.decode_archive(current)
    if isinstance(held, claimlogs.Archive) and held.epoch > table.epoch:
        return held.epoch
    claimlogs.note_archive(table.log, index, current.version, 0.0)
    return 0


def _pick_batch(table: _Table) -> list[claimtables.Unarchived]:
    """Returns the oldest segments, as many as one archive can take."""
    batch = []
    claims = 0
    for item in table.unarchived:
        batch.append(item)
        claims += len(item.digests)
        if (claims >= claimlogs.ARCHIVE_CLAIMS or
                len(batch) >= claimlogs.ARCHIVE_AT):
            break
    return batch


def _merge(table: _Table, archive: claimtables.OpenArchive,
           batch: list[claimtables.Unarchived]) -> None:
    digests = dict.fromkeys(archive.running)
    for item in batch:
        digests.update(dict.fromkeys(item.digests))
        archive.released.extend(
            claim for claim in item.released if claim not in archive.released)
        archive.answered.update(dict.fromkeys(item.answered))
    archive.running = {}
    for digest in digests:
        running = table.running.get(digest)
        if running is not None:
            archive.running[digest] = running.claim
            continue
        mark = claimsets.find(table.ended, digest)
        if mark is not None:
            archive.ended[claimsets.get_prefix(digest)] = mark


def _build(table: _Table, archive: claimtables.OpenArchive, last: int,
           wall_ms: float) -> claimlogs.Archive:
    prefixes = array('Q', sorted(archive.ended))
    marks = array('I', map(archive.ended.__getitem__, prefixes))
    settlements = [
        claimlogs.Settlement(claim, _Kind.RELEASED)
        for claim in archive.released
    ]
    settlements += _list_answers(table, archive)
    return claimlogs.Archive(table.epoch, last, wall_ms,
                             claimsets.Run(prefixes, marks, wall_ms),
                             tuple(archive.running.values()),
                             tuple(settlements))


def _list_answers(
        table: _Table,
        archive: claimtables.OpenArchive) -> list[claimlogs.Settlement]:
    """Returns the newest kept answers that an archive has room for."""
    settlements = []
    room = claimlogs.ARCHIVE_ANSWER_BYTES
    for digest in reversed(archive.answered):
        answer = table.answers.rows.get(digest)
        mark = claimsets.find(table.ended, digest)
        if answer is None or mark is None:
            continue
        room -= len(answer) + claimlogs.DIGEST_BYTES
        if room < 0:
            break
        fingerprint = mark.to_bytes(claimsets.MARK_BYTES, 'big')
        claim = claimlogs.Claim(digest, fingerprint, '', 0)
        settlements.append(claimlogs.Settlement(claim, _Kind.ANSWERED, answer))
    return settlements
