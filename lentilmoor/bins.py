"""The servers of a plan in the making, as bins with a capacity and a load.

Loads are milliseconds of service time per second (see `means`); capacities
are slots.
"""

from collections.abc import Mapping
import dataclasses

from lentilmoor import means
from lentilmoor import plans
from lentilmoor import slices
from lentilmoor import tables

# Of its capacity, what a server takes that has just begun to serve.
_COLDEST_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Bin:
    """One server.

    Attributes:
      name: Server id.
      capacity: Slots; 0 unless the server is live or suspect.
      accepts: Slots as its warm-up stands; 0 unless the server is live.
      leaving: Whether it is to be emptied.
      slices: How many slices it owns.
      load: Cost of its slices, ms per second.
      requests: Number of requests that the load rests on.
      oversized: Cost of its key that exceeds its fair share, or 0.
      oversized_point: The point of that key, or None.
    """

    name: str
    capacity: float = 0.0
    accepts: float = 0.0
    leaving: bool = False
    slices: int = 0
    load: float = 0.0
    requests: float = 0.0
    oversized: float = 0.0
    oversized_point: int | None = None

    @property
    def carries(self) -> float:
        """Slots that count in fair shares; a suspect keeps what it has."""
        return self.accepts or self.capacity

    @property
    def gone(self) -> bool:
        """Whether it must own nothing."""
        return not self.capacity


def make_bins(slice_map: slices.SliceMap, seen: means.Loads,
              servers: Mapping[str, tables.Server], limits: plans.Limits,
              now: float) -> list[Bin]:
    """Returns the servers of a map in its order, then the others by name."""
    names = list(slice_map.servers)
    known = set(names)
    names.extend(name for name in sorted(servers) if name not in known)
    bins = [_make_bin(name, servers.get(name), limits, now) for name in names]
    rows = zip(slice_map.owners, seen.rates, seen.requests, strict=True)
    for owner, rate, requests in rows:
        if owner != slices.NO_OWNER:
            item = bins[owner]
            item.slices += 1
            item.load += rate
            item.requests += requests
    return bins


def _make_bin(name: str, server: tables.Server | None, limits: plans.Limits,
              now: float) -> Bin:
    if server is None or server.liveness is tables.Liveness.DEAD:
        return Bin(name)
    if server.liveness is tables.Liveness.LEAVING:
        return Bin(name, leaving=True)
    if server.liveness is tables.Liveness.SUSPECT:
        return Bin(name, capacity=server.slots)
    warmth = _rate_warmth(server, limits, now)
    return Bin(name, capacity=server.slots, accepts=server.slots * warmth)


def _rate_warmth(server: tables.Server, limits: plans.Limits,
                 now: float) -> float:
    if server.warm_since <= 0.0 or limits.warm_up_ms <= 0.0:
        return 1.0
    share = (now - server.warm_since) / limits.warm_up_ms
    return min(max(share, _COLDEST_SHARE), 1.0)


def measure_peak(bins: list[Bin]) -> float:
    """Returns the highest load for a slot over the mean for a slot."""
    powered = [item for item in bins if item.capacity]
    slots = sum(item.capacity for item in powered)
    carried = sum(item.load for item in powered)
    if carried <= 0.0:
        return 0.0
    highest = max(item.load / item.capacity for item in powered)
    return highest * slots / carried
