"""Which keys move to which server, so that load per capacity is even.

Answers loads in which a few neighbouring keys take a large part of the
requests and change within seconds: the narrowest run of keys that carries the
surplus is moved, so that hot neighbours are split apart while few keys change
hands. Servers that join get a share at once.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import keyranges
from lentilmoor.edge import tables

# A server gives keys away if it has this much more than its share.
SURPLUS_FACTOR = 1.1
# And if its surplus is this many times what chance alone makes of it: a count
# varies by its square root.
SURPLUS_DEVIATIONS = 1.0
# A server without keys takes this part of its share at once.
JOIN_PART = 0.7
# Servers get load by this power of their speed: at equal utilisation requests
# would wait longer at slow ones.
SPEED_POWER = 1.5
# Moves planned at once: each costs a release and a grant.
MOST_MOVES = 24
# Ranges for each server beyond which scraps are joined to their neighbours.
MOST_RANGES = 3
# A scrap has less than this part of a server's share of the load.
SCRAP_PART = 0.06
# Scraps joined at once.
MOST_JOINS = 8
# Part of the load that is taken as spread evenly over all keys, so that keys
# without a sample count too.
EVEN_PART = 0.15
# Pieces that a server's keys are cut into when it leaves, per server that
# stays.
PIECES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """Keys that are to move.

    Attributes:
      first: First key.
      last: Last key, included.
      source: Id of the server that gives them.
      target: Id of the server that gets them.
    """

    first: int
    last: int
    source: str
    target: str


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
        self.total = max(1.0, seen / (1 - EVEN_PART))
        self._even = (self.total - seen) / tables.KEYS
        self._loads = sorted(loads.items())
        self._keys = [key for key, _ in self._loads]

    def measure(self, first: int, last: int) -> float:
        """Returns the load of the keys from first to last."""
        seen = sum(load for key, load in self.list_keys(first, last))
        return seen + self._even * (last - first + 1)

    def list_keys(self, first: int, last: int) -> list[tuple[int, float]]:
        """Returns the keys that were seen between first and last."""
        begin = bisect.bisect_left(self._keys, first)
        end = bisect.bisect_right(self._keys, last)
        return self._loads[begin:end]

    def find_run(self, first: int, last: int,
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
        return min(runs, key=_find_width, default=None)

    def cut(self, first: int, last: int, pieces: int) -> list[tuple[int, int]]:
        """Cuts keys from first to last into pieces of about equal load."""
        goal = self.measure(first, last) / pieces
        cuts, begin, load = [], first, 0.0
        for key, added in self.list_keys(first, last):
            load += added
            if load >= goal and key < last and len(cuts) < pieces - 1:
                cuts.append((begin, key))
                begin, load = key + 1, 0.0
        if len(cuts) < pieces // 2:
            return _cut_evenly(first, last, pieces)
        return [*cuts, (begin, last)]


def plan_transfers(ranges: Iterable[keyranges.KeyRange], loads: KeyLoads,
                   capacities: Mapping[str, float]) -> list[Transfer]:
    """Plans what makes load per capacity even.

    Args:
      ranges: Keys by owner; owners without a capacity are left alone.
      loads: Load by key.
      capacities: Relative speed of each server that may hold keys.
    """
    owned = list(ranges)
    capacities = {
        name: speed**SPEED_POWER for name, speed in capacities.items()
    }
    held = _measure_servers(owned, loads, capacities)
    transfers: list[Transfer] = []
    while len(transfers) < MOST_MOVES:
        transfer = _plan_one(owned, held, loads, capacities)
        if transfer is None or _meets_any(transfer, transfers):
            break
        transfers.append(transfer)
        _apply(owned, held, loads, transfer)
    return transfers


def _meets_any(transfer: Transfer, others: Iterable[Transfer]) -> bool:
    """Returns whether keys would move on before they have arrived."""
    return any(
        keyranges.overlaps(item, transfer.first, transfer.last)
        for item in others)


def plan_joins(ranges: Iterable[keyranges.KeyRange], loads: KeyLoads,
               capacities: Mapping[str, float]) -> list[Transfer]:
    """Plans what gives scraps of keys back to their neighbours' owners.

    Keys that were hot leave scraps behind, and each range costs a renewal a
    second: 224 of them took a quarter of a core.

    Args:
      ranges: Keys by owner, sorted.
      loads: Load by key.
      capacities: Relative speed of each server that may hold keys; not empty.
    """
    owned = list(ranges)
    if len(owned) <= MOST_RANGES * len(capacities):
        return []
    least = loads.total / len(capacities) * SCRAP_PART
    transfers: list[Transfer] = []
    for before, item in zip(owned, owned[1:], strict=False):
        scrap, target = item, before.server
        if loads.measure(before.first,
                         before.last) < loads.measure(item.first, item.last):
            scrap, target = before, item.server
        transfer = Transfer(scrap.first, scrap.last, scrap.server, target)
        known = {target, scrap.server} <= capacities.keys()
        together = before.last + 1 == item.first and target != scrap.server
        small = loads.measure(scrap.first, scrap.last) < least
        if (known and together and small and
                not _meets_any(transfer, transfers)):
            transfers.append(transfer)
        if len(transfers) >= MOST_JOINS:
            break
    return transfers


def plan_leave(item: keyranges.KeyRange, ranges: Iterable[keyranges.KeyRange],
               loads: KeyLoads, capacities: Mapping[str,
                                                    float]) -> list[Transfer]:
    """Plans where the keys of a server that leaves go.

    Args:
      item: Its keys.
      ranges: Keys by owner.
      loads: Load by key.
      capacities: Relative speed of each server that stays; not empty.
    """
    held = _measure_servers(ranges, loads, capacities)
    share = loads.total / len(capacities)
    pieces = round(loads.measure(item.first, item.last) / share * PIECES)
    pieces = max(
        1, min(pieces, item.last - item.first + 1, PIECES * len(capacities)))
    transfers = []
    for first, last in loads.cut(item.first, item.last, pieces):
        target = min(held, key=lambda name: held[name] / capacities[name])
        held[target] += loads.measure(first, last)
        transfers.append(Transfer(first, last, item.server, target))
    return transfers


def _measure_servers(ranges: Iterable[keyranges.KeyRange], loads: KeyLoads,
                     capacities: Mapping[str, float]) -> dict[str, float]:
    held = dict.fromkeys(capacities, 0.0)
    for item in ranges:
        if item.server in held:
            held[item.server] += loads.measure(item.first, item.last)
    return held


def _plan_one(owned: list[keyranges.KeyRange], held: dict[str, float],
              loads: KeyLoads, capacities: Mapping[str,
                                                   float]) -> Transfer | None:
    if len(held) < 2:
        return None
    total, capacity = sum(held.values()), sum(capacities.values())
    if total <= 0:
        return None  # All keys are on their way.
    share = total / capacity
    ratios = {name: held[name] / (share * capacities[name]) for name in held}
    target = min(ratios, key=ratios.__getitem__)
    joins = not any(item.server == target for item in owned)
    room = (1.0 - ratios[target]) * capacities[target] * total / capacity
    if joins:
        room *= JOIN_PART
    for source in sorted(ratios, key=ratios.__getitem__, reverse=True):
        if source == target:
            return None
        least = 1.0 if joins else SURPLUS_FACTOR
        if ratios[source] < least:
            return None
        surplus = held[source] - capacities[source] * total / capacity
        if not joins and surplus < SURPLUS_DEVIATIONS * held[source]**0.5:
            continue
        if joins:
            surplus = max(surplus, room / 2)
        transfer = _pick_keys(owned, loads, source, target, min(surplus, room))
        if transfer is not None:
            return transfer
    return None


def _pick_keys(owned: list[keyranges.KeyRange], loads: KeyLoads, source: str,
               target: str, amount: float) -> Transfer | None:
    """Picks the narrowest run of the source's keys that carries a load."""
    runs = [
        loads.find_run(item.first, item.last, amount * 0.9)
        for item in owned
        if item.server == source
    ]
    best = min(filter(None, runs), key=_find_width, default=None)
    if best is None:
        return _pick_widest(owned, loads, source, target, amount)
    if loads.measure(*best) > amount * 1.6:
        return None  # One key is most of it: moving it moves the trouble.
    return Transfer(best[0], best[1], source, target)


def _pick_widest(owned: list[keyranges.KeyRange], loads: KeyLoads, source: str,
                 target: str, amount: float) -> Transfer | None:
    """Takes part of the source's widest range, where no keys were seen."""
    mine = [item for item in owned if item.server == source]
    if not mine:
        return None
    widest = max(mine, key=lambda item: item.last - item.first)
    load = loads.measure(widest.first, widest.last)
    if load <= amount * 1.1:
        return Transfer(widest.first, widest.last, source, target)
    width = int((widest.last - widest.first + 1) * amount / load)
    if width < 1:
        return None
    return Transfer(widest.last - width + 1, widest.last, source, target)


def _apply(owned: list[keyranges.KeyRange], held: dict[str, float],
           loads: KeyLoads, transfer: Transfer) -> None:
    load = loads.measure(transfer.first, transfer.last)
    held[transfer.source] -= load
    held[transfer.target] += load
    owned[:] = keyranges.reassign(
        owned,
        [keyranges.KeyRange(transfer.first, transfer.last, transfer.target, 0)])


def _cut_evenly(first: int, last: int, pieces: int) -> list[tuple[int, int]]:
    width = last - first + 1
    ends = [first + width * part // pieces for part in range(pieces + 1)]
    return [(ends[part], ends[part + 1] - 1) for part in range(pieces)]


def _find_width(run: tuple[int, int]) -> int:
    return run[1] - run[0]
