"""Load by key, as entries report it."""

import bisect
from collections.abc import Mapping

from lentilmoor.edge import tables

# Part of the load that is taken as spread evenly over all keys, so that keys
# without a sample count too.
UNIFORM_FRACTION = 0.15


class KeyLoads:
    """Load by key, with a part that is spread evenly.

    Attributes:
      total: Sum over all keys; at least 1.
    """

    def __init__(self, loads: Mapping[int, float]):
        """Makes a table.

        Args:
          loads: Requests of each key that was seen, per unit of time.
        """
        seen = sum(loads.values())
        self.total = max(1.0, seen / (1 - UNIFORM_FRACTION))
        self._even = (self.total - seen) / tables.KEY_COUNT
        self._loads = sorted(loads.items())
        self._keys = [key for key, _ in self._loads]

    def sum_loads(self, first: int, last: int) -> float:
        """Returns the load of the keys from first to last."""
        seen = sum(load for key, load in self.list_keys(first, last))
        return seen + self._even * (last - first + 1)

    def list_keys(self, first: int, last: int) -> list[tuple[int, float]]:
        """Returns the keys that were seen between first and last."""
        begin = bisect.bisect_left(self._keys, first)
        end = bisect.bisect_right(self._keys, last)
        return self._loads[begin:end]

    def list_heavy(self, least: float) -> list[tuple[int, float]]:
        """Returns keys with at least a load, the heaviest first."""
        heavy = [item for item in self._loads if item[1] >= least]
        return sorted(heavy, key=lambda item: item[1], reverse=True)

    def find_narrowest_range(self, first: int, last: int,
                             amount: float) -> tuple[int, int] | None:
        """Returns the narrowest run of keys with about a load, if any.

        Args:
          first: First key that may be in the run.
          last: Last key that may be in it.
          amount: Load wanted.
        """
        keys = self.list_keys(first, last)
        runs = []
        start, load = 0, 0.0
        for end, (key, added) in enumerate(keys):
            load += added
            while start < end and load - keys[start][1] >= amount:
                load -= keys[start][1]
                start += 1
            if load >= amount:
                runs.append((keys[start][0], key))
        return min(runs, key=find_span, default=None)

    def split_by_load(self, first: int, last: int,
                      pieces: int) -> list[tuple[int, int]]:
        """Cuts keys from first to last into pieces of about equal load."""
        goal = self.sum_loads(first, last) / pieces
        cuts, begin, load = [], first, 0.0
        for key, added in self.list_keys(first, last):
            load += added
            if load >= goal and key < last and len(cuts) < pieces - 1:
                cuts.append((begin, key))
                begin, load = key + 1, 0.0
        if len(cuts) < pieces // 2:
            return _split_by_width(first, last, pieces)
        return [*cuts, (begin, last)]


def _split_by_width(first: int, last: int,
                    pieces: int) -> list[tuple[int, int]]:
    width = last - first + 1
    ends = [first + width * part // pieces for part in range(pieces + 1)]
    return [(ends[part], ends[part + 1] - 1) for part in range(pieces)]


def find_span(run: tuple[int, int]) -> int:
    """Returns how many keys a run has more than one."""
    return run[1] - run[0]
