"""Key ranges and their owners: the assignment of one keyed service.

An assignment covers keys 0 to `tables.KEY_COUNT` - 1 with ranges that don't
overlap.
Each range carries its fencing token, in short its fence. A range whose owner
changes gets a fence above all that were ever used for the service.
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

    Coordinators create thousands of ranges a second and send them to every
    entry. Encoded as an array, a range takes 40 bytes instead of 75.

    Attributes:
      first: First key.
      last: Last key, included.
      server: Id of the owner.
      fence: Fencing token under which the range is granted.
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
      term: Increases with each change of the coordinator.
      next_fence: Next fencing token, above all used so far.
      ranges: Ranges sorted by key.
      works: Mean execution time of requests by server id, ms, so that a
        successor needn't measure it again.
      addresses: Addresses of owners by server id. A registration may expire
        while the server still holds keys.
      author: Instance id of the coordinator that created the assignment.
      era: The store's era in which it was saved (see `revisions`). Assignments
        that were saved after it in an earlier era may be lost.
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
    """Returns the range that contains a key, or None if it has no owner."""
    return find_range(assignment.ranges, key)


def find_range(ranges: Sequence[KeyRange], key: int) -> KeyRange | None:
    """Returns the range that contains a key, or None.

    Args:
      ranges: Ranges sorted by key.
      key: The key.
    """
    index = bisect.bisect_right(ranges, key, key=lambda item: item.first) - 1
    if index < 0:
        return None
    found = ranges[index]
    return found if key <= found.last else None


def is_newer(one: Assignment, other: Assignment) -> bool:
    """Returns whether an assignment is newer than another of its service."""
    return _make_sort_key(one) > _make_sort_key(other)


def is_later_term(one: Assignment, other: Assignment) -> bool:
    """Returns whether an assignment is from a later coordinator."""
    return (one.era, one.term) > (other.era, other.term)


def find_newest(assignments: Iterable[Assignment | None]) -> Assignment | None:
    """Returns the newest of a service's assignments; None if there is none."""
    known = [item for item in assignments if item is not None]
    return max(known, key=_make_sort_key, default=None)


def find_first_fence(era: int) -> int:
    """Returns the first fencing token of an era of the store.

    The last saves of an earlier era may be lost, and with them the record of
    the tokens used. Those of a new era are above them all.
    """
    return era * _FENCES_PER_ERA + 1


def _make_sort_key(assignment: Assignment) -> tuple[int, int, int]:
    return assignment.era, assignment.term, assignment.next_fence


def divide_by_weight(servers: Iterable[str], weights: dict[str, float],
                     fence: int) -> tuple[KeyRange, ...]:
    """Returns one range per server that together cover all keys.

    Args:
      servers: Ids of the servers.
      weights: Relative share of the keys by server id; 1 if missing.
      fence: Fencing token of the ranges.
    """
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
    """Returns ranges with changed ones put in place of what they overlap."""
    new = sorted(changed, key=lambda item: item.first)
    kept = []
    for item in ranges:
        kept.extend(_subtract(item, new))
    return merge_adjacent(sorted(kept + new, key=lambda item: item.first))


def merge_adjacent(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Merges adjacent ranges with the same owner and fencing token."""
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
    """Merges adjacent ranges with the same owner under new fencing tokens.

    Each range is renewed by a call of its own, and moves of hot keys would
    otherwise increase the number of ranges without limit.

    Args:
      ranges: Ranges sorted by key.
      fence: Next fencing token, above all used so far.
      kept: First and last keys of ranges that must remain unchanged.

    Returns:
      The ranges, and the next fencing token.
    """
    fixed = set(kept)
    joined: list[KeyRange] = []
    extends_merged = False
    for item in ranges:
        before = joined[-1] if joined else None
        if (before and before.last + 1 == item.first and
                before.server == item.server and
            (item.first, item.last) not in fixed and
            (before.first, before.last) not in fixed):
            fence += not extends_merged
            joined[-1] = structs.replace(before,
                                         last=item.last,
                                         fence=fence - 1)
            extends_merged = True
        else:
            joined.append(item)
            extends_merged = False
    return tuple(joined), fence


def overlaps(item, first: int, last: int) -> bool:
    """Returns whether an item with `first` and `last` overlaps other keys."""
    return item.first <= last and item.last >= first


def intersect(ranges: Iterable[KeyRange], first: int,
              last: int) -> list[KeyRange]:
    """Returns the parts of ranges that lie within first to last, included."""
    return [
        structs.replace(item,
                        first=max(item.first, first),
                        last=min(item.last, last))
        for item in ranges
        if overlaps(item, first, last)
    ]


def _subtract(item: KeyRange, gaps: list[KeyRange]) -> list[KeyRange]:
    pieces = []
    first = item.first
    for hole in gaps:
        if hole.last < first or hole.first > item.last:
            continue
        if hole.first > first:
            pieces.append(
                structs.replace(item, first=first, last=hole.first - 1))
        first = hole.last + 1
    if first <= item.last:
        pieces.append(structs.replace(item, first=first))
    return pieces
