"""How long a backend server may still hold keys, as far as we can tell.

A grant runs from its arrival at the server, whose clock may be slow. It arrives
before it is answered or given up, as its connection is aborted then. One that
was not answered may be applied later, yet its time runs from its arrival too;
so it bounds the hold just as well, but a release in between doesn't end it.
"""

from collections.abc import Iterable
import dataclasses

from lentilmoor.edge import keyranges

# Clocks of servers that count grants down may be 2% slow: 1 / 0.98.
CLOCK_DRIFT_FACTOR = 1.0205
# Delivery of a grant and rounding of clocks, ms; the longest one-way delay
# between failure domains of one region is a few ms.
DELIVERY_MARGIN_MS = 150.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Keys that a server may hold until a time.

    Attributes:
      first: First key.
      last: Last key, included.
      server: The server's id.
      fence: The number under which they were granted.
      until: Time after which it surely holds them no more, ms.
      certain: Whether the grant was answered.
    """

    first: int
    last: int
    server: str
    fence: int
    expires_at: float
    acknowledged: bool


def compute_expiry(arrived_by: float, hold_ms: float) -> float:
    """Returns when a grant that arrived by a time has surely ended, ms."""
    return arrived_by + hold_ms * CLOCK_DRIFT_FACTOR + DELIVERY_MARGIN_MS


def compute_longest_hold(until: float, arrived_by: float) -> float:
    """Returns the longest hold that has surely ended by a time, ms."""
    return (until - DELIVERY_MARGIN_MS - arrived_by) / CLOCK_DRIFT_FACTOR


def find_expiry(holds: Iterable[Hold], server: str, first: int,
                last: int) -> float:
    """Returns until when a server may hold any of the keys; 0 if it can't."""
    return max(
        (item.expires_at
         for item in holds
         if item.server == server and keyranges.overlaps(item, first, last)),
        default=0.0)


def find_expiry_elsewhere(holds: Iterable[Hold], server: str, first: int,
                          last: int) -> float:
    """Returns until when any server but one may hold any of the keys."""
    return max(
        (item.expires_at
         for item in holds
         if item.server != server and keyranges.overlaps(item, first, last)),
        default=0.0)


def add(holds: Iterable[Hold], new: Hold) -> list[Hold]:
    """Adds a hold.

    A server that answered a fence refuses grants with lower ones. Grants with
    the same fence may still be applied late.

    Args:
      holds: The others.
      new: The one to add.
    """
    kept = []
    for item in holds:
        same = item.server == new.server and keyranges.overlaps(
            item, new.first, new.last)
        if same and new.acknowledged and (item.acknowledged or
                                          item.fence < new.fence):
            kept.extend(_outside(item, new.first, new.last))
        else:
            kept.append(item)
    return [*kept, new]


def release(holds: Iterable[Hold], server: str, first: int,
            last: int) -> list[Hold]:
    """Ends what an answered release ends: holds that were answered."""
    kept = []
    for item in holds:
        if (item.server == server and item.acknowledged and
                keyranges.overlaps(item, first, last)):
            kept.extend(_outside(item, first, last))
        else:
            kept.append(item)
    return kept


def transfer_to_replacement(holds: Iterable[Hold], server: str,
                            replacement: str) -> list[Hold]:
    """Takes what a process may hold for held by the one in its place.

    A grant names an address: it reaches whoever listens there when it comes.

    Args:
      holds: All holds.
      server: Id of the server whose process has ended.
      replacement: Id of the server at its address.
    """
    return [
        dataclasses.replace(item, server=replacement, acknowledged=False)
        if item.server == server else item for item in holds
    ]


def drop_expired(holds: Iterable[Hold], now: float) -> list[Hold]:
    """Leaves out what has ended."""
    return [item for item in holds if item.expires_at > now]


def _outside(item: Hold, first: int, last: int) -> list[Hold]:
    pieces = []
    if item.first < first:
        pieces.append(dataclasses.replace(item, last=first - 1))
    if item.last > last:
        pieces.append(dataclasses.replace(item, first=last + 1))
    return pieces
