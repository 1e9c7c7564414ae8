"""A compact set of ended claims: 13 to 14 bytes each, forgotten by age only.

A claim that has ended needs no more than enough to recognise its digest (8
bytes) and to tell whether another request reuses its key (4 bytes). Recent
claims lie in a dict; older ones in sorted arrays, each with the time of its
newest claim, which are merged while they are small. A bit filter of about one
byte a claim spares most searches: without it, a search of 53 arrays (864,000
claims) took 106 us.
"""

from array import array
import bisect
import dataclasses

PREFIX_BYTES = 8
MARK_BYTES = 4
RECENT_LIMIT = 2048
RUN_LIMIT = 24_576  # Two full archives are not merged into one run.
_AGES = 16  # Runs are merged only within this fraction of the retention.
_DICT_ROW_BYTES = 170


@dataclasses.dataclass(slots=True)
class Run:
    """Ended claims in ascending order.

    Attributes:
      prefixes: First 8 bytes of the digests; typecode Q.
      marks: First 4 bytes of the fingerprints; typecode I.
      newest_ms: Wall time of the newest.
      bits: A bit for each range of prefixes that holds any; empty until the
        run is part of a set.
      shift: How far a prefix is shifted to give the place of its bit.
    """

    prefixes: array
    marks: array
    newest_ms: float
    bits: bytearray = dataclasses.field(default_factory=bytearray)
    shift: int = 0


@dataclasses.dataclass(slots=True)
class ClaimSet:
    """The ended claims of one shard.

    Attributes:
      retention_ms: How long a claim is remembered, at least.
      recent: Mark by prefix, of the newest claims.
      recent_ms: Wall time of the newest of `recent`.
      runs: Older ones, oldest first.
    """

    retention_ms: float
    recent: dict[int, int] = dataclasses.field(default_factory=dict)
    recent_ms: float = 0.0
    runs: list[Run] = dataclasses.field(default_factory=list)


def get_prefix(digest: bytes) -> int:
    """Returns what the set keeps of a digest."""
    return int.from_bytes(digest[:PREFIX_BYTES], 'big')


def get_mark(fingerprint: bytes) -> int:
    """Returns what the set keeps of a fingerprint."""
    return int.from_bytes(fingerprint[:MARK_BYTES], 'big')


def add(claims: ClaimSet, digest: bytes, fingerprint: bytes,
        wall_ms: float) -> None:
    """Adds an ended claim."""
    claims.recent[get_prefix(digest)] = get_mark(fingerprint)
    claims.recent_ms = max(claims.recent_ms, wall_ms)
    if len(claims.recent) >= RECENT_LIMIT:
        _freeze(claims)


def add_run(claims: ClaimSet, run: Run) -> None:
    """Adds claims read from a log, oldest logs first."""
    _freeze(claims)
    if run.prefixes:
        _append(claims, run)


def find(claims: ClaimSet, digest: bytes) -> int | None:
    """Returns the mark of an ended claim, or None."""
    prefix = get_prefix(digest)
    mark = claims.recent.get(prefix)
    if mark is not None:
        return mark
    for run in reversed(claims.runs):
        place = prefix >> run.shift
        if not run.bits[place >> 3] & (1 << (place & 7)):
            continue
        index = bisect.bisect_left(run.prefixes, prefix)
        if index < len(run.prefixes) and run.prefixes[index] == prefix:
            return run.marks[index]
    return None


def expire(claims: ClaimSet, wall_ms: float) -> int:
    """Forgets runs whose newest claim is past the retention.

    Returns:
      How many claims were forgotten.
    """
    if claims.recent and _is_past(claims, claims.recent_ms, wall_ms):
        _freeze(claims)
    forgotten = 0
    while claims.runs and _is_past(claims, claims.runs[0].newest_ms, wall_ms):
        forgotten += len(claims.runs.pop(0).prefixes)
    return forgotten


def count(claims: ClaimSet) -> int:
    """Returns the number of claims remembered."""
    return len(claims.recent) + sum(len(run.prefixes) for run in claims.runs)


def count_bytes(claims: ClaimSet) -> int:
    """Returns roughly the memory that the set takes."""
    frozen = sum(len(run.prefixes) for run in claims.runs)
    filters = sum(len(run.bits) for run in claims.runs)
    return (frozen * (PREFIX_BYTES + MARK_BYTES) + filters +
            len(claims.recent) * _DICT_ROW_BYTES)


def _is_past(claims: ClaimSet, newest_ms: float, wall_ms: float) -> bool:
    return newest_ms + claims.retention_ms < wall_ms


def _freeze(claims: ClaimSet) -> None:
    if not claims.recent:
        return
    prefixes = array('Q', sorted(claims.recent))
    marks = array('I', map(claims.recent.__getitem__, prefixes))
    claims.recent = {}
    _append(claims, Run(prefixes, marks, claims.recent_ms))


def _append(claims: ClaimSet, run: Run) -> None:
    while claims.runs and _may_merge(claims, claims.runs[-1], run):
        run = _merge(claims.runs.pop(), run)
    _add_bits(run)
    claims.runs.append(run)


def _add_bits(run: Run) -> None:
    exponent = (len(run.prefixes) - 1).bit_length()
    bits = bytearray(1 << exponent)
    shift = 64 - 3 - exponent
    for prefix in run.prefixes:
        place = prefix >> shift
        bits[place >> 3] |= 1 << (place & 7)
    run.bits = bits
    run.shift = shift


def _may_merge(claims: ClaimSet, older: Run, newer: Run) -> bool:
    if len(older.prefixes) > 2 * len(newer.prefixes):
        return False
    if len(older.prefixes) + len(newer.prefixes) > RUN_LIMIT:
        return False
    span_ms = newer.newest_ms - older.newest_ms
    return span_ms <= claims.retention_ms / _AGES


def _merge(older: Run, newer: Run) -> Run:
    prefixes = older.prefixes + newer.prefixes
    marks = older.marks + newer.marks
    order = sorted(range(len(prefixes)), key=prefixes.__getitem__)
    return Run(array('Q', map(prefixes.__getitem__, order)),
               array('I', map(marks.__getitem__, order)),
               max(older.newest_ms, newer.newest_ms))
