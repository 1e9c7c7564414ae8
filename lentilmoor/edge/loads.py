"""What entries report of requests for keys, and what follows from it.

Each entry tells the coordinator every half second which keys it served and how
long the servers worked. The coordinator lets counts fade, so that keys that
were hot some seconds ago don't hold their place.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import rebalancing
from lentilmoor.edge import reports
from lentilmoor.edge import tables

# A request counts for half after this time: hot keys move within seconds, and
# the counts of a service's usual load still add up to some hundreds.
HALF_MS = 2_000.0
# Weight of the newest answer in a server's mean time of work: times of work
# vary as much as their mean, so a hundred of them tell it to within a tenth.
NEWEST = 0.01
# Answers that what an earlier coordinator learned counts for.
SEED_COUNT = 30
# Answers of the service's mean that a server without any is taken to have
# given: times of work vary as much as their mean.
PRIOR = 2
SLOWEST, FASTEST = 0.25, 3.0
# A cold server takes twice as long.
COLD_CAPACITY = 0.6
_REFRESH_MS = 500.0
_FORGOTTEN = 0.05


@dataclasses.dataclass(slots=True)
class WorkMean:
    """Mean time of work of a server.

    Attributes:
      ms: The mean.
      count: Answers seen.
    """

    ms: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class LoadTable:
    """Requests by key and times of work by server, of one service.

    Attributes:
      counts: By key, faded up to `faded_at`.
      faded_at: ms.
      works: By server id.
      cached: Loads as last handed out.
      cached_at: When that was, ms.
    """

    counts: dict[int, float] = dataclasses.field(default_factory=dict)
    faded_at: float = 0.0
    works: dict[str, WorkMean] = dataclasses.field(default_factory=dict)
    cached: keyloads.KeyLoads = dataclasses.field(
        default_factory=lambda: keyloads.KeyLoads({}))
    cached_at: float = float('-inf')

    def add(self, rows: Iterable[reports.Row], now: float) -> None:
        """Takes in reported requests."""
        self._fade(now)
        for key, server, work_ms in rows:
            self.counts[key] = self.counts.get(key, 0.0) + 1.0
            if work_ms > 0:
                _add(self.works.setdefault(server, WorkMean()), work_ms)

    def seed_works(self, works: Mapping[str, float]) -> None:
        """Takes over what an earlier coordinator learned of servers."""
        for name, work_ms in works.items():
            self.works.setdefault(name, WorkMean(work_ms, SEED_COUNT))

    def list_works(self, servers: Iterable[tables.Server]) -> dict[str, float]:
        """Returns the mean time of work of servers that are known, ms."""
        return {
            server.id: round(self.works[server.id].ms, 1)
            for server in servers
            if server.id in self.works
        }

    def key_loads(self, now: float) -> keyloads.KeyLoads:
        """Returns the load by key."""
        if now - self.cached_at >= _REFRESH_MS:
            self._fade(now)
            self.cached = keyloads.KeyLoads(self.counts)
            self.cached_at = now
        return self.cached

    def plan_transfers(self, ranges: Iterable[keyranges.KeyRange],
                       servers: Iterable[tables.Server],
                       now: float) -> list[rebalancing.Transfer]:
        """Plans what makes load per capacity even (see `rebalancing`)."""
        return rebalancing.plan_transfers(ranges, self.key_loads(now),
                                          self.capacities(servers, now))

    def estimate_works(self,
                       servers: Iterable[tables.Server]) -> dict[str, float]:
        """Returns the mean time of work of servers, ms; empty if none is known.

        A server with few answers is taken to be much like the others.
        """
        known = [
            self.works[server.id]
            for server in servers
            if server.id in self.works
        ]
        usual = _mean(known)
        if not usual:
            return {}
        estimates = {}
        for server in servers:
            mean = self.works.get(server.id, _UNKNOWN)
            weight = min(mean.count, 1 / NEWEST)
            estimates[server.id] = round(
                (weight * mean.ms + PRIOR * usual) / (weight + PRIOR), 1)
        return estimates

    def capacities(self, servers: Iterable[tables.Server],
                   now: float) -> dict[str, float]:
        """Returns the relative speed of servers, by id."""
        servers = list(servers)
        estimates = self.estimate_works(servers)
        usual = _mean([
            self.works[server.id]
            for server in servers
            if server.id in self.works
        ])
        capacities = {}
        for server in servers:
            work_ms = estimates.get(server.id)
            capacity = usual / max(0.1, work_ms) if work_ms else 1.0
            if server.warm_at > now:
                capacity = min(capacity, COLD_CAPACITY)
            capacities[server.id] = min(FASTEST, max(SLOWEST, capacity))
        return capacities

    def _fade(self, now: float) -> None:
        factor = 0.5**((now - self.faded_at) / HALF_MS)
        if factor > 0.98:
            return
        self.faded_at = now
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor > _FORGOTTEN
        }


def _add(mean: WorkMean, work_ms: float) -> None:
    mean.count += 1
    step = max(NEWEST, 1.0 / mean.count)
    mean.ms += step * (work_ms - mean.ms)


def _mean(known: list[WorkMean]) -> float:
    """Returns the mean over servers, by number of answers."""
    count = sum(item.count for item in known)
    return sum(item.ms * item.count for item in known) / count if count else 0.0


_UNKNOWN = WorkMean()
