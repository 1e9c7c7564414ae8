"""The codec of the segments of a claim log."""

# The members of the generated module are made when it is imported.
# pylint: disable=no-member

from array import array
import sys

from google.protobuf import message

from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import outcomes
from lentilmoor import stores
from lentilmoor.protocol import claims_pb2


def encode_tail(tail: claimlogs.Tail) -> bytes:
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


def decode_tail(record: stores.Record) -> claimlogs.Tail | outcomes.Failed:
    """Returns a tail segment, or Failed(INVALID)."""
    try:
        segment = claims_pb2.TailSegment.FromString(record.value)
        return claimlogs.Tail(
            segment.epoch, segment.sequence, float(segment.wall_ms),
            tuple(_read_settlement(item) for item in segment.settlements),
            tuple(
                _read_claim(item, segment.instances)
                for item in segment.claims))
    except (message.DecodeError, IndexError, ValueError) as error:
        return _describe(record, error)


def encode_archive(archive: claimlogs.Archive) -> bytes:
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


def decode_archive(
        record: stores.Record) -> claimlogs.Archive | outcomes.Failed:
    """Returns an archive, or Failed(INVALID)."""
    try:
        segment = claims_pb2.ArchiveSegment.FromString(record.value)
        newest_ms = float(segment.newest_ms)
        ended = claimsets.Run(_from_bytes('Q', segment.prefixes),
                              _from_bytes('I', segment.marks), newest_ms)
        if len(ended.prefixes) != len(ended.marks):
            raise ValueError('prefixes and marks differ in number')
        return claimlogs.Archive(
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


def _log_claim(claim: claimlogs.Claim, names: _Names) -> claims_pb2.LoggedClaim:
    return claims_pb2.LoggedClaim(digest=claim.digest,
                                  fingerprint=claim.fingerprint,
                                  attempt=claim.attempt,
                                  instance=names.find(claim.instance))


def _log_settlement(item: claimlogs.Settlement) -> claims_pb2.LoggedSettlement:
    return claims_pb2.LoggedSettlement(digest=item.claim.digest,
                                       attempt=item.claim.attempt,
                                       kind=item.kind.value,
                                       fingerprint=item.claim.fingerprint,
                                       answer=item.answer)


def _read_claim(item, instances) -> claimlogs.Claim:
    if len(item.digest) != claimlogs.DIGEST_BYTES:
        raise ValueError(f'digest of {len(item.digest)} bytes')
    return claimlogs.Claim(item.digest, item.fingerprint,
                           instances[item.instance], item.attempt)


def _read_settlement(item) -> claimlogs.Settlement:
    claim = claimlogs.Claim(item.digest, item.fingerprint, '', item.attempt)
    return claimlogs.Settlement(claim, claimlogs.SettlementKind(item.kind),
                                item.answer)


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
