"""Owners of key ranges: the assignment of one keyed service.

An assignment covers keys 0 to `tables.KEY_COUNT` - 1 by ranges that don't
overlap.
Each range carries the fence under which it was last granted. Whatever changes
hands gets a fence above all that were ever used for the service.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

import msgspec
from msgspec import structs

from lentilmoor.edge import tables

_FENCES_PER_ERA = 1 << 32


class KeyRange(msgspec.Struct, frozen=True, array_like=True):
    """A range of keys and its owner.

    Coordinators make thousands of them a second and send them to every entry;
    as an array one takes 40 bytes in place of 75.

    Attributes:
      first: First key.
      last: Last key, included.
      server: Id of the owner.
      fence: The number under which it was granted.
    """

    first: int
    last: int
    server: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Owners of all keys of a service.

    Attributes:
      service: Name of the service.
      term: Grows with each change of the coordinator.
      next_fence: Above every fence used so far.
      ranges: Sorted by key.
      works: Mean time of work by server id, ms: what a successor would have to
        learn anew.
      addresses: Addresses of owners, by server id: one may leave the list while
        it still holds keys.
      author: Instance id of the coordinator that made it.
      era: The store's era in which it was saved (see `revisions`). What was
        saved after it in an earlier era may be lost.
    """

    service: str
    term: int
    next_fence: int
    ranges: tuple[KeyRange, ...]
    works: Mapping[str, float] = dataclasses.field(default_factory=dict,
                                                   compare=False)
    addresses: Mapping[str, str] = dataclasses.field(default_factory=dict,
                                                     compare=False)
    author: str = dataclasses.field(default='', compare=False)
    era: int = 0


def find_owner(assignment: Assignment, key: int) -> KeyRange | None:
    """Returns the range that holds a key, or None if it has no owner."""
    return find_range(assignment.ranges, key)


def find_range(ranges: Sequence[KeyRange], key: int) -> KeyRange | None:
    """Returns which of sorted ranges holds a key, or None."""
    index = bisect.bisect_right(ranges, key, key=lambda item: item.first) - 1
    if index < 0:
        return None
    found = ranges[index]
    return found if key <= found.last else None


def is_newer(one: Assignment, other: Assignment) -> bool:
    """Returns whether an assignment follows another of the same service."""
    return _find_order(one) > _find_order(other)


def is_later_term(one: Assignment, other: Assignment) -> bool:
    """Returns whether another coordinator made an assignment, later."""
    return (one.era, one.term) > (other.era, other.term)


def find_newest(assignments: Iterable[Assignment | None]) -> Assignment | None:
    """Returns the newest of a service's assignments; None if there is none."""
    known = [item for item in assignments if item is not None]
    return max(known, key=_find_order, default=None)


def find_first_fence(era: int) -> int:
    """Returns the first fence of an era of the store.

    What was saved last in an earlier era may be lost, and with it which fences
    were used; those of a new era are above them all.
    """
    return era * _FENCES_PER_ERA + 1


def _find_order(assignment: Assignment) -> tuple[int, int, int]:
    return assignment.era, assignment.term, assignment.next_fence


def divide_by_weight(servers: Iterable[str], weights: dict[str, float],
                     fence: int) -> tuple[KeyRange, ...]:
    """Divides all keys into one range for each server, by weight."""
    names = sorted(servers)
    total = sum(weights.get(name, 1.0) for name in names)
    ranges = []
    first, seen = 0, 0.0
    for name in names:
        seen += weights.get(name, 1.0)
        end = round(tables.KEY_COUNT * seen / total)
        if end > first:
            ranges.append(KeyRange(first, end - 1, name, fence))
            first = end
    return tuple(ranges)


def reassign(ranges: Iterable[KeyRange],
             changed: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Lays changed ranges over others, cutting these where they overlap."""
    new = sorted(changed, key=lambda item: item.first)
    kept = []
    for item in ranges:
        kept.extend(_cut(item, new))
    return merge_adjacent(sorted(kept + new, key=lambda item: item.first))


def merge_adjacent(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Joins neighbours with the same owner and fence."""
    merged: list[KeyRange] = []
    for item in ranges:
        before = merged[-1] if merged else None
        if (before and before.last + 1 == item.first and
                before.server == item.server and before.fence == item.fence):
            merged[-1] = structs.replace(before, last=item.last)
        else:
            merged.append(item)
    return tuple(merged)


def merge_under_new_fences(
        ranges: Iterable[KeyRange], fence: int,
        kept: Iterable[tuple[int, int]]) -> tuple[tuple[KeyRange, ...], int]:
    """Joins neighbours with the same owner under new fences.

    Each range is renewed by a call of its own; hot keys that moved would leave
    ever more of them.

    Args:
      ranges: Sorted by key.
      fence: Above every fence used so far.
      kept: First and last keys of ranges that are to stay as they are.

    Returns:
      The ranges, and the next fence.
    """
    fixed = set(kept)
    joined: list[KeyRange] = []
    fresh = False
    for item in ranges:
        before = joined[-1] if joined else None
        if (before and before.last + 1 == item.first and
                before.server == item.server and
            (item.first, item.last) not in fixed and
            (before.first, before.last) not in fixed):
            fence += not fresh
            joined[-1] = structs.replace(before,
                                         last=item.last,
                                         fence=fence - 1)
            fresh = True
        else:
            joined.append(item)
            fresh = False
    return tuple(joined), fence


def overlaps(item, first: int, last: int) -> bool:
    """Returns whether what has a first and a last key meets other keys."""
    return item.first <= last and item.last >= first


def intersect(ranges: Iterable[KeyRange], first: int,
              last: int) -> list[KeyRange]:
    """Returns what ranges hold of the keys from first to last."""
    return [
        structs.replace(item,
                        first=max(item.first, first),
                        last=min(item.last, last))
        for item in ranges
        if overlaps(item, first, last)
    ]


def _cut(item: KeyRange, holes: list[KeyRange]) -> list[KeyRange]:
    pieces = []
    first = item.first
    for hole in holes:
        if hole.last < first or hole.first > item.last:
            continue
        if hole.first > first:
            pieces.append(
                structs.replace(item, first=first, last=hole.first - 1))
        first = hole.last + 1
    if first <= item.last:
        pieces.append(structs.replace(item, first=first))
    return pieces
