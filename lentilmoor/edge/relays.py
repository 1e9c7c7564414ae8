"""Tree by which changes of the store are distributed to all entries.

The hub follows the store and sends changes to a few entries of each failure
domain, its relays. Each relay sends them to other entries of its domain. So a
change reaches all entries in a few steps, and no entry serves more than a
handful of others, however many there are. Every entry computes the tree by
itself from the registered entries.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import ports

# Entries that one relay serves. Each requests news a few times a second.
RELAY_FANOUT = 16
# Entries of a failure domain that the hub serves itself.
RELAYS_PER_DOMAIN = 3
# Up to this number of entries, the hub sends changes to all of them, in its
# replies to their reports.
MAX_DIRECT_ENTRIES = 31


@dataclasses.dataclass(frozen=True, slots=True)
class TreePosition:
    """An entry's place in the tree.

    Attributes:
      is_relay: Whether the hub itself serves it.
      parents: Addresses of the entries that may serve it, its own parent first.
    """

    is_relay: bool
    parents: tuple[str, ...]


def find_position(own: ports.Peer, entries: Mapping[str, ports.Peer],
                  hubs: Collection[str]) -> TreePosition | None:
    """Returns an entry's place in the tree.

    Args:
      own: The entry.
      entries: Registered entries by instance id.
      hubs: Addresses of the hubs.

    Returns:
      None if the hubs serve all entries, or if the entry is a hub.
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
    hub_addresses = sorted(hubs)
    if position < relays:
        return TreePosition(True, (*hub_addresses, *others))
    parent = ranked[(position - relays) // RELAY_FANOUT]
    # Entries try the other relays in different orders, so that the entries of a
    # lost relay are distributed over the others.
    offset = position % len(others)
    others = [
        item for item in others[offset:] + others[:offset] if item != parent
    ]
    return TreePosition(False, (parent, *others, *hub_addresses))


def rank(own: ports.Peer, entries: Iterable[ports.Peer],
         hubs: Collection[str]) -> list[str]:
    """Returns the addresses of a failure domain's entries, relays first.

    Entries on large machines come first. The order depends on addresses, so an
    entry that restarts keeps its place. Hubs are left out.
    """
    is_small = {
        peer.address: peer.small
        for peer in (*entries, own)
        if peer.domain == own.domain and peer.address not in hubs
    }
    return sorted(is_small, key=lambda address: (is_small[address], address))


def count_relays(entries: int) -> int:
    """Returns how many entries of a failure domain the hub serves itself."""
    return min(RELAYS_PER_DOMAIN, -(-entries // (RELAY_FANOUT + 1)))
