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

# The members of the generated module are made when it is imported.
# pylint: disable=no-member

from array import array
import dataclasses
import enum
import sys

from google.protobuf import message

from lentilmoor import claimsets
from lentilmoor import outcomes
from lentilmoor import stores
from lentilmoor.protocol import claims_pb2

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


def encode_tail(tail: Tail) -> bytes:
    """Returns the store's value of a tail segment."""
    names = _Names()
    settlements = [_log_settlement(item) for item in tail.settlements]
    claims = [_log_claim(claim, names) for claim in tail.claims]
    return claims_pb2.TailSegment(epoch=tail.epoch,
                                  sequence=tail.sequence,
                                  wall_ms=int(tail.wall_ms),
                                  instances=list(names.indexes),
                                  settlements=settlements,
                                  claims=claims).SerializeToString()


def decode_tail(record: stores.Record) -> Tail | outcomes.Failed:
    """Returns a tail segment, or Failed(INVALID)."""
    try:
        segment = claims_pb2.TailSegment.FromString(record.value)
        return Tail(
            segment.epoch, segment.sequence, float(segment.wall_ms),
            tuple(_read_settlement(item) for item in segment.settlements),
            tuple(
                _read_claim(item, segment.instances)
                for item in segment.claims))
    except (message.DecodeError, IndexError, ValueError) as error:
        return _describe(record, error)


def encode_archive(archive: Archive) -> bytes:
    """Returns the store's value of an archive."""
    names = _Names()
    settlements = [_log_settlement(item) for item in archive.settlements]
    running = [_log_claim(claim, names) for claim in archive.running]
    return claims_pb2.ArchiveSegment(epoch=archive.epoch,
                                     last_sequence=archive.last_sequence,
                                     newest_ms=int(archive.newest_ms),
                                     instances=list(names.indexes),
                                     settlements=settlements,
                                     prefixes=_to_bytes(archive.ended.prefixes),
                                     marks=_to_bytes(archive.ended.marks),
                                     running=running).SerializeToString()


def decode_archive(record: stores.Record) -> Archive | outcomes.Failed:
    """Returns an archive, or Failed(INVALID)."""
    try:
        segment = claims_pb2.ArchiveSegment.FromString(record.value)
        newest_ms = float(segment.newest_ms)
        ended = claimsets.Run(_from_bytes('Q', segment.prefixes),
                              _from_bytes('I', segment.marks), newest_ms)
        if len(ended.prefixes) != len(ended.marks):
            raise ValueError('prefixes and marks differ in number')
        return Archive(
            segment.epoch, segment.last_sequence, newest_ms, ended,
            tuple(
                _read_claim(item, segment.instances)
                for item in segment.running),
            tuple(_read_settlement(item) for item in segment.settlements))
    except (message.DecodeError, IndexError, ValueError) as error:
        return _describe(record, error)


class _Names:
    """Numbers instances in the order in which they are first met."""

    def __init__(self):
        self.indexes: dict[str, int] = {}

    def find(self, name: str) -> int:
        return self.indexes.setdefault(name, len(self.indexes))


def _log_claim(claim: Claim, names: _Names) -> claims_pb2.LoggedClaim:
    return claims_pb2.LoggedClaim(digest=claim.digest,
                                  fingerprint=claim.fingerprint,
                                  attempt=claim.attempt,
                                  instance=names.find(claim.instance))


def _log_settlement(item: Settlement) -> claims_pb2.LoggedSettlement:
    return claims_pb2.LoggedSettlement(digest=item.claim.digest,
                                       attempt=item.claim.attempt,
                                       kind=item.kind.value,
                                       fingerprint=item.claim.fingerprint,
                                       answer=item.answer)


def _read_claim(item, instances) -> Claim:
    if len(item.digest) != DIGEST_BYTES:
        raise ValueError(f'digest of {len(item.digest)} bytes')
    return Claim(item.digest, item.fingerprint, instances[item.instance],
                 item.attempt)


def _read_settlement(item) -> Settlement:
    claim = Claim(item.digest, item.fingerprint, '', item.attempt)
    return Settlement(claim, SettlementKind(item.kind), item.answer)


def _describe(record: stores.Record, error: Exception) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Reason.INVALID, f'{record.key}: {error}')


def _to_bytes(values: array) -> bytes:
    return _to_little_endian(values).tobytes()


def _from_bytes(typecode: str, data: bytes) -> array:
    values = array(typecode)
    values.frombytes(data)
    return _to_little_endian(values)


def _to_little_endian(values: array) -> array:
    if sys.byteorder == 'little':
        return values
    swapped = array(values.typecode, values)
    swapped.byteswap()
    return swapped
