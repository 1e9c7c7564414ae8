"""Slices: ranges of the 64-bit key hash space, and the map of their owners.

No state is kept per key: a key hashes to a point and a slice covers a range
of points. A hot key gets a slice of its own by splitting around its point.
"""

from array import array
import bisect
import dataclasses

import xxhash

HASH_BITS = 64
HASH_SPAN = 1 << HASH_BITS
NO_OWNER = 0xFFFF


def hash_key(key: str) -> int:
    """Returns the point of a key in the 64-bit hash space."""
    return xxhash.xxh3_64_intdigest(key.encode())


def pick_shard(point: int, shards: int) -> int:
    """Returns the shard of a point; shards are equal, contiguous ranges."""
    return (point * shards) >> HASH_BITS


@dataclasses.dataclass(frozen=True, slots=True)
class SliceMap:
    """Who owns which slice of one shard, at one version.

    Attributes:
      epoch: The grantor's epoch that made this version.
      sequence: Version within the epoch; (epoch, sequence) never goes back.
      servers: Server ids; `owners` holds indexes into it.
      bounds: First point of each slice, ascending; typecode Q.
      owners: Index of the owner of each slice, or `NO_OWNER`; typecode H.
    """

    epoch: int
    sequence: int
    servers: tuple[str, ...]
    bounds: array
    owners: array

    @property
    def version(self) -> tuple[int, int]:
        """The fence: (epoch, sequence)."""
        return (self.epoch, self.sequence)

    def find(self, point: int) -> int:
        """Returns the index of the slice that covers a point."""
        return bisect.bisect_right(self.bounds, point) - 1

    def owner_of(self, point: int) -> str | None:
        """Returns the id of the server that owns a point, if any does."""
        owner = self.owners[bisect.bisect_right(self.bounds, point) - 1]
        return None if owner == NO_OWNER else self.servers[owner]

    def owned_by(self, server: str) -> list[tuple[int, int]]:
        """Returns the [first, last] point ranges that a server owns."""
        ranges = []
        for index, owner in enumerate(self.owners):
            if owner == NO_OWNER or self.servers[owner] != server:
                continue
            ranges.append((self.bounds[index], self.last_point(index)))
        return ranges

    def last_point(self, index: int) -> int:
        """Returns the last point that a slice covers."""
        if index + 1 < len(self.bounds):
            return self.bounds[index + 1] - 1
        return HASH_SPAN - 1


def make_map(servers: tuple[str, ...],
             slices_per_server: int,
             shard: int = 0,
             shards: int = 1) -> SliceMap:
    """Returns a first map: equal slices dealt to the servers in turn.

    Args:
      servers: Server ids; at least one.
      slices_per_server: Slices for each server.
      shard: Number of the shard; its points only are cut into slices.
      shards: How many there are.

    Returns:
      A map of epoch 0 and sequence 0. Its first slice begins at 0, so that it
      covers all points.
    """
    count = len(servers) * slices_per_server
    # The first point that `pick_shard` gives to this shard, and to the next.
    start = -(-(shard << HASH_BITS) // shards)
    stop = -(-((shard + 1) << HASH_BITS) // shards)
    bounds = array(
        'Q',
        (start + index * (stop - start) // count for index in range(count)))
    if count:
        bounds[0] = 0
    owners = array('H', (index % len(servers) for index in range(count)))
    return SliceMap(0, 0, servers, bounds, owners)
