"""Versioned items that every entry holds a copy of, with a digest tree.

An item's version only ever grows: whatever arrives late, twice or out of order
leaves the newest in place. The tree is the exclusive or of one mark per item,
kept up to date by each change, so two entries find the few items in which they
differ by comparing digests from the root down. A retired item has no mark: it
is held for a while, so that an older version is known for what it is, but
entries that forget it at different times do not differ.
"""

from array import array
from collections.abc import Iterable
import dataclasses

import xxhash

FAN_OUT = 64
BUCKETS = FAN_OUT * FAN_OUT

_MASK = BUCKETS - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """One item at one version.

    Attributes:
      key: Its key, such as 'settings/team'.
      version: Its version; at least 1.
      value: Its value; of no use if deleted.
      deleted: Whether it was deleted at this version; that is held for good.
      retired: Whether it is to be forgotten after a while.
    """

    key: str
    version: int
    value: bytes = b''
    deleted: bool = False
    retired: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """That an item has a version, without its value."""

    key: str
    version: int


@dataclasses.dataclass(slots=True)
class ItemTable:
    """All items of one entry.

    Attributes:
      items: Rows by key.
      buckets: Digest of each bucket; typecode Q.
      branches: Digest of each run of `FAN_OUT` buckets; typecode Q.
      root: Digest of all.
    """

    items: dict[str, Item] = dataclasses.field(default_factory=dict)
    buckets: array = dataclasses.field(
        default_factory=lambda: array('Q', bytes(8 * BUCKETS)))
    branches: array = dataclasses.field(
        default_factory=lambda: array('Q', bytes(8 * FAN_OUT)))
    root: int = 0


def put(table: ItemTable, item: Item) -> bool:
    """Takes an item over if it is newer than the one held.

    Args:
      table: Gets the item.
      item: Any version of it.

    Returns:
      Whether it was newer.
    """
    held = table.items.get(item.key)
    if held is not None and item.version <= held.version:
        return False
    if held is not None:
        _mark(table, held)
    _mark(table, item)
    table.items[item.key] = item
    return True


def drop(table: ItemTable, key: str) -> None:
    """Forgets an item altogether, its version too."""
    held = table.items.pop(key, None)
    if held is not None:
        _mark(table, held)


def version_of(table: ItemTable, key: str) -> int:
    """Returns the version held of a key; 0 if none is."""
    held = table.items.get(key)
    return 0 if held is None else held.version


def bucket_of(key: str) -> int:
    """Returns the bucket of a key."""
    return xxhash.xxh3_64_intdigest(key.encode()) & _MASK


def list_buckets(table: ItemTable, buckets: Iterable[int]) -> list[Notice]:
    """Returns the versions of the unretired items in some buckets."""
    wanted = frozenset(buckets)
    return [
        Notice(item.key, item.version)
        for item in table.items.values()
        if not item.retired and bucket_of(item.key) in wanted
    ]


def read_branch(table: ItemTable, branch: int) -> array:
    """Returns the digests of the buckets below a branch."""
    return table.buckets[branch * FAN_OUT:(branch + 1) * FAN_OUT]


def find_differences(ours: Iterable[int], theirs: Iterable[int]) -> list[int]:
    """Returns the positions at which two runs of digests differ."""
    pairs = enumerate(zip(ours, theirs, strict=True))
    return [index for index, (our, their) in pairs if our != their]


def _mark(table: ItemTable, item: Item) -> None:
    if item.retired:
        return
    # Exclusive or: marking an item a second time takes the mark away.
    mark = xxhash.xxh3_64_intdigest(f'{item.key}\0{item.version}'.encode())
    bucket = bucket_of(item.key)
    table.buckets[bucket] ^= mark
    table.branches[bucket // FAN_OUT] ^= mark
    table.root ^= mark
