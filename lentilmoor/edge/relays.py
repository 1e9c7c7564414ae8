"""Which entry tells an entry of changes.

The hub follows the store and tells a few entries of each failure domain, its
relays; each of those tells some others of its domain, and so on. So a change
reaches all in a few steps, and no entry tells more than a handful, however
many there are. All work the tree out for themselves from the entries that are
registered.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import ports

# Entries that one tells. Each asks a few times a second.
RELAY_FANOUT = 16
# Entries of a failure domain that the hub tells itself.
RELAYS_PER_DOMAIN = 3
# Up to so many entries the hub tells all, in its replies to their reports.
MAX_DIRECT_ENTRIES = 31


@dataclasses.dataclass(frozen=True, slots=True)
class TreePosition:
    """An entry's place in the tree.

    Attributes:
      relay: Whether it is told by the hub itself.
      parents: Addresses of those that may tell it, its own parent first.
    """

    is_relay: bool
    parents: tuple[str, ...]


def find_position(own: ports.Peer, entries: Mapping[str, ports.Peer],
                  hubs: Collection[str]) -> TreePosition | None:
    """Returns an entry's place in the tree.

    Args:
      own: The entry.
      entries: Those that are registered, by instance id.
      hubs: Addresses of the hubs.

    Returns:
      None if the hubs tell all, or it is one of them.
    """
    if own.address in hubs or not hubs:
        return None
    addresses = {peer.address for peer in entries.values()}
    if len(addresses) <= MAX_DIRECT_ENTRIES:
        return None
    ranked = rank(own, entries.values(), hubs)
    position = ranked.index(own.address)
    relays = count_relays(len(ranked))
    others = [item for item in ranked[:relays] if item != own.address]
    roots = sorted(hubs)
    if position < relays:
        return TreePosition(True, (*roots, *others))
    parent = ranked[(position - relays) // RELAY_FANOUT]
    # Each goes through the others in another order, so that those of a lost
    # relay are shared out.
    turn = position % len(others)
    others = [item for item in others[turn:] + others[:turn] if item != parent]
    return TreePosition(False, (parent, *others, *roots))


def rank(own: ports.Peer, entries: Iterable[ports.Peer],
         hubs: Collection[str]) -> list[str]:
    """Returns the addresses of a failure domain's entries, relays first.

    Large machines come first; an entry that started again keeps its place.
    Hubs have none.
    """
    small = {
        peer.address: peer.small
        for peer in (*entries, own)
        if peer.domain == own.domain and peer.address not in hubs
    }
    return sorted(small, key=lambda address: (small[address], address))


def count_relays(entries: int) -> int:
    """Returns how many of a failure domain's entries the hub tells itself."""
    return min(RELAYS_PER_DOMAIN, -(-entries // (RELAY_FANOUT + 1)))
