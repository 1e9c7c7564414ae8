"""The record of a shard in the platform's store, and its encoding.

The record decides who the grantor is and which assignment is durable. It is
only ever replaced by compare-and-swap.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from array import array
import dataclasses

from google.protobuf import message as messages

from lentilmoor import exceptions
from lentilmoor import slices
from lentilmoor.protocol import records_pb2

KEY_PREFIX = 'shards/'


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRecord:
    """One shard's record.

    Attributes:
      epoch: Raised by each takeover.
      holder: Id of the grantor; a restarted process has a new id.
      lifetime_ms: Longest lease that the holder gives in this epoch.
      delegates: Ids of the entries whose majority carries the holder.
      assignment: The newest durable assignment; its version says by whom it
        was proposed and never exceeds `epoch`.
    """

    epoch: int
    holder: str
    lifetime_ms: int
    delegates: tuple[str, ...]
    assignment: slices.SliceMap


def make_key(shard: str) -> str:
    """Returns the store key of a shard's record."""
    return KEY_PREFIX + shard


def encode(record: ShardRecord) -> bytes:
    """Encodes a record for the store."""
    assignment = record.assignment
    return records_pb2.ShardRecordMessage(
        epoch=record.epoch,
        holder=record.holder,
        lifetime_ms=record.lifetime_ms,
        delegates=record.delegates,
        assignment=records_pb2.AssignmentMessage(
            epoch=assignment.epoch,
            sequence=assignment.sequence,
            servers=assignment.servers,
            bounds=assignment.bounds,
            owners=assignment.owners,
        ),
    ).SerializeToString()


def decode(payload: bytes) -> ShardRecord:
    """Decodes a record from the store.

    Args:
      payload: What `encode` made.

    Returns:
      The record.

    Raises:
      InvariantError: The payload is no record; nothing may be assumed of
        the shard's ownership then.
    """
    try:
        parsed = records_pb2.ShardRecordMessage.FromString(payload)
    except messages.DecodeError as error:
        raise exceptions.InvariantError(f'shard record: {error}') from error
    assignment = parsed.assignment
    return ShardRecord(
        epoch=parsed.epoch,
        holder=parsed.holder,
        lifetime_ms=parsed.lifetime_ms,
        delegates=tuple(parsed.delegates),
        assignment=slices.SliceMap(
            epoch=assignment.epoch,
            sequence=assignment.sequence,
            servers=tuple(assignment.servers),
            bounds=array('Q', assignment.bounds),
            owners=array('H', assignment.owners),
        ),
    )
