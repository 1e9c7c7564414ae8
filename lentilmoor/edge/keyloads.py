"""Load by key, from the requests that entries report."""

import bisect
from collections.abc import Mapping

from lentilmoor.edge import tables

# Fraction of the load that is assumed to be distributed uniformly over all
# keys, so that keys without a reported request have a load as well.
UNIFORM_FRACTION = 0.15


class KeyLoads:
    """Load by key, with a fraction that is distributed uniformly.

    Attributes:
      total: Sum of the loads of all keys; at least 1.
    """

    def __init__(self, loads: Mapping[int, float]):
        """Initializes the table.

        Args:
          loads: Load by key, as requests per unit of time, of the keys with
            reported requests.
        """
        seen = sum(loads.values())
        self.total = max(1.0, seen / (1 - UNIFORM_FRACTION))
        self._even = (self.total - seen) / tables.KEY_COUNT
        self._loads = sorted(loads.items())
        self._keys = [key for key, _ in self._loads]

    def sum_loads(self, first: int, last: int) -> float:
        """Returns the load of the keys from first to last, both included."""
        seen = sum(load for key, load in self.list_keys(first, last))
        return seen + self._even * (last - first + 1)

    def list_keys(self, first: int, last: int) -> list[tuple[int, float]]:
        """Returns (key, load) of keys with requests from first to last."""
        begin = bisect.bisect_left(self._keys, first)
        end = bisect.bisect_right(self._keys, last)
        return self._loads[begin:end]

    def list_heavy(self, least: float) -> list[tuple[int, float]]:
        """Returns keys with at least a minimum load, the heaviest first."""
        heavy = [item for item in self._loads if item[1] >= least]
        return sorted(heavy, key=lambda item: item[1], reverse=True)

    def find_narrowest_range(self, first: int, last: int,
                             amount: float) -> tuple[int, int] | None:
        """Returns the narrowest range of keys with at least a load, if any.

        Args:
          first: First key that may be in the range.
          last: Last key that may be in the range.
          amount: Minimum load of the range.
        """
        keys = self.list_keys(first, last)
        ranges = []
        start, load = 0, 0.0
        for end, (key, added) in enumerate(keys):
            load += added
            while start < end and load - keys[start][1] >= amount:
                load -= keys[start][1]
                start += 1
            if load >= amount:
                ranges.append((keys[start][0], key))
        return min(ranges, key=find_span, default=None)

    def split_by_load(self, first: int, last: int,
                      pieces: int) -> list[tuple[int, int]]:
        """Splits the keys from first to last into ranges of about equal load.

        If too few keys have reported requests for that, the ranges have about
        equal width instead.

        Args:
          first: First key.
          last: Last key.
          pieces: Number of ranges.
        """
        target = self.sum_loads(first, last) / pieces
        ranges, begin, load = [], first, 0.0
        for key, added in self.list_keys(first, last):
            load += added
            if load >= target and key < last and len(ranges) < pieces - 1:
                ranges.append((begin, key))
                begin, load = key + 1, 0.0
        if len(ranges) < pieces // 2:
            return _split_by_width(first, last, pieces)
        return [*ranges, (begin, last)]


def _split_by_width(first: int, last: int,
                    pieces: int) -> list[tuple[int, int]]:
    width = last - first + 1
    ends = [first + width * part // pieces for part in range(pieces + 1)]
    return [(ends[part], ends[part + 1] - 1) for part in range(pieces)]


def find_span(key_range: tuple[int, int]) -> int:
    """Returns the number of keys of a range, minus one."""
    return key_range[1] - key_range[0]
