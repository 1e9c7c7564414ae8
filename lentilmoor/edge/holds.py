"""Upper bounds on how long backend servers may hold keys.

A hold starts when the grant arrives at the server, whose clock may be slow. A
grant arrives before it is answered or times out, as its connection is aborted
at the timeout. A grant without an answer may be applied later, but its hold
starts at its arrival too. Its expiry is therefore known as well, but a release
in between may be processed before the grant and then doesn't end the hold.
"""

from collections.abc import Iterable
import dataclasses

from lentilmoor.edge import keyranges

# Clocks of servers may be 2% slow: 1 / 0.98.
CLOCK_DRIFT_FACTOR = 1.0205
# Covers the delivery of a grant and the rounding of clocks. The longest one-way
# delay between failure domains of one region is a few ms.
DELIVERY_MARGIN_MS = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """A range of keys that a server may hold, with its expiry.

    Attributes:
      first: First key.
      last: Last key, included.
      server: The server's id.
      fence: Fencing token of the grant.
      expires_at: Time from which the server can no longer hold the keys, ms.
      acknowledged: Whether the server answered the grant.
    """

    first: int
    last: int
    server: str
    fence: int
    expires_at: float
    acknowledged: bool


def compute_expiry(arrived_by: float, hold_ms: float) -> float:
    """Returns the latest time at which a hold can expire, ms.

    Args:
      arrived_by: Latest time at which the grant arrived, ms.
      hold_ms: Duration of the hold by the server's clock, ms.
    """
    return arrived_by + hold_ms * CLOCK_DRIFT_FACTOR + DELIVERY_MARGIN_MS


def compute_longest_hold(until: float, arrived_by: float) -> float:
    """Returns the longest hold that is sure to expire by a given time, ms.

    Args:
      until: When the hold must have expired, ms.
      arrived_by: Latest time at which the grant arrives, ms.
    """
    return (until - DELIVERY_MARGIN_MS - arrived_by) / CLOCK_DRIFT_FACTOR


def find_expiry(holds: Iterable[Hold], server: str, first: int,
                last: int) -> float:
    """Returns until when a server may hold any of the keys, ms, or 0."""
    return max(
        (item.expires_at
         for item in holds
         if item.server == server and keyranges.overlaps(item, first, last)),
        default=0.0)


def find_expiry_elsewhere(holds: Iterable[Hold], server: str, first: int,
                          last: int) -> float:
    """Returns until when another server may hold any of the keys, ms, or 0."""
    return max(
        (item.expires_at
         for item in holds
         if item.server != server and keyranges.overlaps(item, first, last)),
        default=0.0)


def add(holds: Iterable[Hold], new: Hold) -> list[Hold]:
    """Returns holds with a new one, without those that it replaces.

    A server that answered a fencing token refuses grants with lower ones.
    Grants with the same token may still be applied late.

    Args:
      holds: The existing holds.
      new: The hold to add.
    """
    kept = []
    for item in holds:
        replaceable = item.server == new.server and keyranges.overlaps(
            item, new.first, new.last)
        if replaceable and new.acknowledged and (item.acknowledged or
                                                 item.fence < new.fence):
            kept.extend(_cut_out(item, new.first, new.last))
        else:
            kept.append(item)
    return [*kept, new]


def release(holds: Iterable[Hold], server: str, first: int,
            last: int) -> list[Hold]:
    """Returns holds without those that an answered release ends.

    A release ends only acknowledged holds: an unanswered grant may be applied
    after it.
    """
    kept = []
    for item in holds:
        if (item.server == server and item.acknowledged and
                keyranges.overlaps(item, first, last)):
            kept.extend(_cut_out(item, first, last))
        else:
            kept.append(item)
    return kept


def transfer_to_replacement(holds: Iterable[Hold], server: str,
                            replacement: str) -> list[Hold]:
    """Returns holds with those of an ended server assigned to its replacement.

    A grant is sent to an address and reaches the process that listens there
    when it arrives.

    Args:
      holds: All holds.
      server: Id of the server whose process has ended.
      replacement: Id of the server that now listens at its address.
    """
    return [
        dataclasses.replace(item, server=replacement, acknowledged=False)
        if item.server == server else item for item in holds
    ]


def drop_expired(holds: Iterable[Hold], now: float) -> list[Hold]:
    """Returns the holds that have not expired."""
    return [item for item in holds if item.expires_at > now]


def _cut_out(item: Hold, first: int, last: int) -> list[Hold]:
    pieces = []
    if item.first < first:
        pieces.append(dataclasses.replace(item, last=first - 1))
    if item.last > last:
        pieces.append(dataclasses.replace(item, first=last + 1))
    return pieces
