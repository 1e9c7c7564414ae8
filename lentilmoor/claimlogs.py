"""The log in which a shard's claims are committed, and its fence.

Each group commit writes one new *tail* segment by compare-and-swap: segment
`sequence` goes to slot `sequence % TAIL_SLOTS`, once, and the next one only
follows when it is known to have landed. So there is one place at most where a
grantor of an older epoch can still write: the slot after the last segment. A
new grantor reads the log and then writes its own segment into that slot; if
the older one was faster, it takes that segment in and tries the next slot.
Afterwards no write of the older one can land any more.

Many tail segments are merged into one *archive* segment, 12 bytes a claim,
before their slots are written again. Archives are written again in turn when
all their claims are past the retention, so the number of keys is bounded.
"""

from array import array
import dataclasses
import enum

from lentilmoor import claimsets

TAIL_SLOTS = 512
ARCHIVE_AT = 256  # Tail segments that are merged into one archive at most.
PAGE_ARCHIVES = 16
ARCHIVE_BYTES = 192 * 1024  # A longer one is not added to any more.
ARCHIVE_CLAIMS = 30_000  # Added at once, at most, and one more segment.
ARCHIVE_ANSWER_BYTES = 32 * 1024
MAX_BATCH_CLAIMS = 4096
MAX_BATCH_ANSWER_BYTES = 256 * 1024
DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8


class SettlementKind(enum.Enum):
    """What became of a claimed request; values are the wire's."""

    RELEASED = 0
    ENDED = 1
    ANSWERED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The right of one attempt to dispatch a request.

    Attributes:
      digest: 16 bytes over service, caller and idempotency key.
      fingerprint: 8 bytes over method, path and body.
      instance: The entry that may dispatch.
      attempt: Which of its requests; up to 64 bits. Never used again, not by
        a restarted process of the same instance either: start from a random
        number.
    """

    digest: bytes
    fingerprint: bytes
    instance: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """What became of a claim.

    Attributes:
      claim: The claim.
      kind: What became of it.
      answer: A serialized StoredAnswer, if kind is ANSWERED.
    """

    claim: Claim
    kind: SettlementKind
    answer: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Tail:
    """One group commit.

    Attributes:
      epoch: Of the grantor that wrote it.
      sequence: Place in the log, from 1.
      wall_ms: When it was written, by its writer's clock.
      settlements: Apply before the claims.
      claims: New claims.
    """

    epoch: int
    sequence: int
    wall_ms: float
    settlements: tuple[Settlement, ...] = ()
    claims: tuple[Claim, ...] = ()


@dataclasses.dataclass(slots=True)
class Archive:
    """What became of the claims of many group commits.

    Attributes:
      epoch: Of the grantor that wrote it.
      last_sequence: Tail segments up to here are not needed any more.
      newest_ms: Wall time of its newest claim.
      ended: Ended claims.
      running: Claims that ran when it was written.
      settlements: Releases of earlier claims, and answers.
    """

    epoch: int
    last_sequence: int
    newest_ms: float
    ended: claimsets.Run
    running: tuple[Claim, ...] = ()
    settlements: tuple[Settlement, ...] = ()


@dataclasses.dataclass(slots=True)
class Log:
    """What a grantor knows of its shard's log.

    Attributes:
      shard: 'team/service/number'.
      sequence: The last tail segment known to have landed.
      archived: The last tail segment that is merged into an archive.
      versions: The store's version of each tail slot, 0 if absent; typecode Q.
      archive_versions: The same of each archive.
      archive_newest_ms: When the newest claim of each archive was made.
    """

    shard: str
    sequence: int = 0
    archived: int = 0
    versions: array = dataclasses.field(
        default_factory=lambda: array('Q', bytes(8 * TAIL_SLOTS)))
    archive_versions: list[int] = dataclasses.field(default_factory=list)
    archive_newest_ms: list[float] = dataclasses.field(default_factory=list)


def tail_key(shard: str, sequence: int) -> str:
    """Returns the store's key of a tail segment."""
    return f'{tail_prefix(shard)}{sequence % TAIL_SLOTS:03d}'


def tail_prefix(shard: str) -> str:
    """Returns the prefix of the keys of all tail segments."""
    return f'claims/{shard}/tail/'


def archive_key(shard: str, index: int) -> str:
    """Returns the store's key of an archive."""
    page, place = divmod(index, PAGE_ARCHIVES)
    return f'{archive_prefix(shard, page)}{place:02d}'


def archive_prefix(shard: str, page: int) -> str:
    """Returns the prefix of the keys of `PAGE_ARCHIVES` archives."""
    return f'claims/{shard}/archive/{page:04d}/'


def next_version(log: Log) -> int:
    """Returns the version that the slot after the last segment must have."""
    return log.versions[(log.sequence + 1) % TAIL_SLOTS]


def has_room(log: Log) -> bool:
    """Returns whether the next slot holds nothing that is still needed."""
    return log.sequence + 1 - log.archived < TAIL_SLOTS


def note_tail(log: Log, sequence: int, version: int) -> None:
    """Notes that a tail segment landed as the log's last."""
    log.sequence = sequence
    log.versions[sequence % TAIL_SLOTS] = version


def note_archive(log: Log, index: int, version: int, newest_ms: float) -> None:
    """Notes that an archive is at this version."""
    while len(log.archive_versions) <= index:
        log.archive_versions.append(0)
        log.archive_newest_ms.append(0.0)
    log.archive_versions[index] = version
    log.archive_newest_ms[index] = newest_ms


def pick_archive(log: Log, oldest_ms: float) -> int:
    """Returns the index of an archive that may be written anew.

    Args:
      log: The log.
      oldest_ms: Claims made before this wall time are past the retention.
    """
    for index, newest_ms in enumerate(log.archive_newest_ms):
        if newest_ms < oldest_ms:
            return index
    return len(log.archive_versions)


def find_gap(log: Log, tails: list[Tail]) -> bool:
    """Returns whether tail segments between the archives and the end lack."""
    held = {tail.sequence for tail in tails}
    needed = range(log.archived + 1, max(held, default=0) + 1)
    return any(sequence not in held for sequence in needed)
