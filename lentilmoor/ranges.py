"""Arithmetic on ranges of points, and painting them onto a slice map."""

from array import array
import bisect
from collections.abc import Iterable

from lentilmoor import slices

Range = tuple[int, int]
"""[first, last] points, both included."""


def join(ranges: Iterable[Range]) -> tuple[Range, ...]:
    """Returns the same points as ascending ranges that do not touch."""
    joined: list[Range] = []
    for first, last in sorted(ranges):
        if joined and first <= joined[-1][1] + 1:
            joined[-1] = (joined[-1][0], max(joined[-1][1], last))
        else:
            joined.append((first, last))
    return tuple(joined)


def subtract(ranges: Iterable[Range],
             taken: Iterable[Range]) -> tuple[Range, ...]:
    """Returns the points of `ranges` that are not in `taken`, joined."""
    rest: list[Range] = []
    holes = join(taken)
    start = 0
    for first, last in join(ranges):
        while start < len(holes) and holes[start][1] < first:
            start += 1
        index = start
        while index < len(holes) and holes[index][0] <= last:
            if first < holes[index][0]:
                rest.append((first, holes[index][0] - 1))
            first = holes[index][1] + 1
            index += 1
        if first <= last:
            rest.append((first, last))
    return tuple(rest)


def covers(ranges: Iterable[Range], point: int) -> bool:
    """Returns whether a point is in one of the ranges."""
    return any(first <= point <= last for first, last in ranges)


def overlaps(item: Range, other: Range) -> bool:
    """Returns whether two ranges have a point in common."""
    return item[0] <= other[1] and other[0] <= item[1]


def collect_owned(slice_map: slices.SliceMap) -> dict[str, list[Range]]:
    """Returns the ranges of each server of a map."""
    owned: dict[str, list[Range]] = {}
    for index, owner in enumerate(slice_map.owners):
        if owner != slices.NO_OWNER:
            item = (slice_map.bounds[index], slice_map.last_point(index))
            owned.setdefault(slice_map.servers[owner], []).append(item)
    return owned


def cut_at(bounds: array, owners: array, point: int) -> int:
    """Makes a slice begin at a point.

    Args:
      bounds: First points; changed in place.
      owners: Owner indexes; changed in place.
      point: Where a slice is to begin; `HASH_SPAN` is past the last.

    Returns:
      The index of that slice.
    """
    index = bisect.bisect_left(bounds, point)
    if point == slices.HASH_SPAN or (index < len(bounds) and
                                     bounds[index] == point):
        return index
    bounds.insert(index, point)
    owners.insert(index, owners[index - 1])
    return index


def paint(bounds: array, owners: array, item: Range, owner: int) -> None:
    """Gives a range to an owner, cutting slices at its ends.

    Args:
      bounds: First points; changed in place.
      owners: Owner indexes; changed in place.
      item: The range.
      owner: Index of its owner, or `NO_OWNER`.
    """
    start = cut_at(bounds, owners, item[0])
    stop = cut_at(bounds, owners, item[1] + 1)
    for index in range(start, stop):
        owners[index] = owner


def hide(slice_map: slices.SliceMap, held: Iterable[Range]) -> slices.SliceMap:
    """Returns a map without an owner for the held ranges."""
    bounds = array('Q', slice_map.bounds)
    owners = array('H', slice_map.owners)
    for item in held:
        paint(bounds, owners, item, slices.NO_OWNER)
    return slices.SliceMap(slice_map.epoch, slice_map.sequence,
                           slice_map.servers, bounds, owners)


def find_differences(one: slices.SliceMap,
                     other: slices.SliceMap) -> tuple[Range, ...]:
    """Returns the ranges whose owner differs between two maps."""
    points = sorted(set(one.bounds) | set(other.bounds))
    ends = [point - 1 for point in points[1:]] + [slices.HASH_SPAN - 1]
    return join((first, last)
                for first, last in zip(points, ends, strict=True)
                if one.owner_of(first) != other.owner_of(first))
