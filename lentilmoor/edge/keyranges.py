"""Owners of key ranges: the assignment of one keyed service.

An assignment covers keys 0 to `tables.KEYS` - 1 by ranges that don't overlap.
Each range carries the fence under which it was last granted. Whatever changes
hands gets a fence above all that were ever used for the service.
"""

import bisect
from collections.abc import Iterable
import dataclasses

from lentilmoor.edge import tables


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """A range of keys and its owner.

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
    """

    service: str
    term: int
    next_fence: int
    ranges: tuple[KeyRange, ...]


def find_owner(assignment: Assignment, key: int) -> KeyRange | None:
    """Returns the range that holds a key, or None if it has no owner."""
    index = bisect.bisect_right(assignment.ranges,
                                key,
                                key=lambda item: item.first) - 1
    if index < 0:
        return None
    found = assignment.ranges[index]
    return found if key <= found.last else None


def divide_evenly(servers: Iterable[str], weights: dict[str, float],
                  fence: int) -> tuple[KeyRange, ...]:
    """Divides all keys into one range for each server, by weight."""
    names = sorted(servers)
    total = sum(weights.get(name, 1.0) for name in names)
    ranges = []
    first, seen = 0, 0.0
    for name in names:
        seen += weights.get(name, 1.0)
        end = round(tables.KEYS * seen / total)
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
    return merge(sorted(kept + new, key=lambda item: item.first))


def merge(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Joins neighbours with the same owner and fence."""
    merged: list[KeyRange] = []
    for item in ranges:
        before = merged[-1] if merged else None
        if (before and before.last + 1 == item.first and
                before.server == item.server and before.fence == item.fence):
            merged[-1] = dataclasses.replace(before, last=item.last)
        else:
            merged.append(item)
    return tuple(merged)


def intersect(ranges: Iterable[KeyRange], first: int,
              last: int) -> list[KeyRange]:
    """Returns what ranges hold of the keys from first to last."""
    return [
        dataclasses.replace(item,
                            first=max(item.first, first),
                            last=min(item.last, last))
        for item in ranges
        if item.first <= last and item.last >= first
    ]


def _cut(item: KeyRange, holes: list[KeyRange]) -> list[KeyRange]:
    pieces = []
    first = item.first
    for hole in holes:
        if hole.last < first or hole.first > item.last:
            continue
        if hole.first > first:
            pieces.append(
                dataclasses.replace(item, first=first, last=hole.first - 1))
        first = hole.last + 1
    if first <= item.last:
        pieces.append(dataclasses.replace(item, first=first))
    return pieces
