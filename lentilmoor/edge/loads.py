"""Load of keys and capacity of servers, from the reports of entries.

Several times per second, each entry reports to the coordinator which keys were
requested and how long servers processed the requests. The coordinator's counts
decay exponentially, so that keys that were hot some seconds ago lose their
weight.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from lentilmoor import clocks
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import rebalancing
from lentilmoor.edge import reports
from lentilmoor.edge import tables
from lentilmoor.edge import workmeans

# Half-life of request counts. It is short enough for hot keys to be moved
# within seconds, and long enough for the counts of a service's usual load to
# add up to some hundreds.
HALF_LIFE_MS = 2_000.0
# Number of responses that a mean from an earlier coordinator counts for.
SEED_ANSWERS = 30
MIN_CAPACITY, MAX_CAPACITY = 0.25, 3.0
# Maximum capacity of a server that is warming up. Its requests take twice as
# long.
COLD_CAPACITY = 0.6
# Converts a count with a half-life of `HALF_LIFE_MS` to requests per second.
_RATE_PER_COUNT = math.log(2) / (HALF_LIFE_MS / clocks.MS_PER_S)
# Fraction of a server's rate limit up to which load is assigned. The rest
# absorbs variations in load.
LIMIT_FRACTION = 0.8
# A server is assigned almost no load once at least this many requests for its
# keys in a row were refused, the first of them at least this long ago.
MIN_REFUSED_REQUESTS = 5
MIN_REFUSED_MS = 1_000.0
# Refusals are dropped if no further one is reported for this time. Without
# keys, a server gets no requests that could show that it has recovered.
REFUSAL_RETENTION_MS = 5_000.0
# Minimum weight of a rate-limited server, for limits close to zero.
MIN_WEIGHT = 1e-3
_REFRESH_MS = 500.0
_MIN_COUNT = 0.05


@dataclasses.dataclass(slots=True)
class RefusalStreak:
    """Consecutive refused requests for a server's keys.

    Attributes:
      first_at: When the first refusal was reported, ms.
      last_at: When the last refusal was reported, ms.
      count: Number of refused requests.
    """

    first_at: float
    last_at: float = 0.0
    count: int = 0


@dataclasses.dataclass(slots=True)
class LoadTable:
    """Requests by key and processing times by server, of one service.

    Attributes:
      counts: Request counts by key, decayed up to `decayed_at`.
      decayed_at: Time of the last decay, ms.
      work_means: Mean processing times by server id.
      refusal_streaks: Refusals since the server last ran a request, by server
        id.
      cached: Last result of `find_key_loads`.
      cached_at: When it was computed, ms.
    """

    counts: dict[int, float] = dataclasses.field(default_factory=dict)
    decayed_at: float = 0.0
    work_means: dict[str, workmeans.WorkMean] = dataclasses.field(
        default_factory=dict)
    refusal_streaks: dict[str, RefusalStreak] = dataclasses.field(
        default_factory=dict)
    cached: keyloads.KeyLoads = dataclasses.field(
        default_factory=lambda: keyloads.KeyLoads({}))
    cached_at: float = float('-inf')

    def add(self, rows: Iterable[reports.RequestSample], now: float) -> None:
        """Adds reported requests."""
        self._decay_counts(now)
        for key, server, work_ms in rows:
            self.counts[key] = self.counts.get(key, 0.0) + 1.0
            if work_ms <= 0:
                streak = self.refusal_streaks.setdefault(
                    server, RefusalStreak(now))
                streak.count += 1
                streak.last_at = now
            else:
                self.refusal_streaks.pop(server, None)
                workmeans.record(
                    self.work_means.setdefault(server, workmeans.WorkMean()),
                    work_ms)

    def seed_work_means(self, means_ms: Mapping[str, float]) -> None:
        """Adds mean processing times from an earlier coordinator.

        Means that are already known are kept.

        Args:
          means_ms: Mean processing times by server id, ms.
        """
        for name, work_ms in means_ms.items():
            self.work_means.setdefault(
                name, workmeans.WorkMean(work_ms, SEED_ANSWERS, work_ms))

    def list_work_means(self,
                        servers: Iterable[tables.Server]) -> dict[str, float]:
        """Returns the mean processing times of servers that have one, ms."""
        return {
            server.id: round(self.work_means[server.id].ms, 1)
            for server in servers
            if server.id in self.work_means
        }

    def find_key_loads(self, now: float) -> keyloads.KeyLoads:
        """Returns the load by key, at most `_REFRESH_MS` old."""
        if now - self.cached_at >= _REFRESH_MS:
            self._decay_counts(now)
            self.cached = keyloads.KeyLoads(self.counts)
            self.cached_at = now
        return self.cached

    def plan_transfers(self, ranges: Iterable[keyranges.KeyRange],
                       servers: Iterable[tables.Server],
                       now: float) -> list[rebalancing.Transfer]:
        """Plans transfers that balance load per capacity."""
        return rebalancing.plan_transfers(ranges, self.find_key_loads(now),
                                          self.find_capacities(servers, now))

    def estimate_work_means(
            self, servers: Iterable[tables.Server]) -> dict[str, float]:
        """Returns the estimated mean processing times of servers, ms."""
        return workmeans.estimate_means(self.work_means,
                                        [server.id for server in servers])

    def find_capacities(
            self,
            servers: Iterable[tables.Server],
            now: float,
            limits: Mapping[str, float] | None = None) -> dict[str, float]:
        """Returns the capacity of servers relative to their mean, by id.

        Args:
          servers: The servers.
          now: Current time, ms.
          limits: Rate limits by server id, requests per second.
        """
        servers = list(servers)
        estimates = self.estimate_work_means(servers)
        mean_work_ms = workmeans.average_means(self.work_means[server.id]
                                               for server in servers
                                               if server.id in self.work_means)
        capacities = {}
        for server in servers:
            work_ms = estimates.get(server.id)
            capacity = mean_work_ms / max(0.1, work_ms) if work_ms else 1.0
            if server.warmup_ends_at > now:
                capacity = min(capacity, COLD_CAPACITY)
            capacities[server.id] = min(MAX_CAPACITY,
                                        max(MIN_CAPACITY, capacity))
        zero_limits = dict.fromkeys(self._list_refusing_servers(now), 0.0)
        limits = {**(limits or {}), **zero_limits}
        if not limits or not capacities:
            return capacities
        self._decay_counts(now)
        rate = sum(self.counts.values()) * _RATE_PER_COUNT
        return _apply_limits(capacities, limits, rate)

    def _list_refusing_servers(self, now: float) -> list[str]:
        """Returns the ids of servers that run no requests for their keys.

        Drops expired refusals.
        """
        for server, streak in list(self.refusal_streaks.items()):
            if now - streak.last_at > REFUSAL_RETENTION_MS:
                del self.refusal_streaks[server]
        return [
            server for server, streak in self.refusal_streaks.items()
            if streak.count >= MIN_REFUSED_REQUESTS and now -
            streak.first_at >= MIN_REFUSED_MS
        ]

    def _decay_counts(self, now: float) -> None:
        factor = 0.5**((now - self.decayed_at) / HALF_LIFE_MS)
        if factor > 0.98:
            return
        self.decayed_at = now
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor > _MIN_COUNT
        }


def _apply_limits(capacities: dict[str, float], limits: Mapping[str, float],
                  rate: float) -> dict[str, float]:
    """Lowers capacities so that each server's load stays below its rate limit.

    Args:
      capacities: By server id.
      limits: Rate limits by server id, requests per second.
      rate: Requests per second to all servers combined.
    """
    weights = {
        server: capacity**rebalancing.SPEED_EXPONENT
        for server, capacity in capacities.items()
    }
    rate_per_weight = rate / sum(weights.values())
    target_rates = {
        server: limits[server] * LIMIT_FRACTION
        for server in weights
        if server in limits
    }
    limited = {
        server: target_rate
        for server, target_rate in target_rates.items()
        if target_rate < weights[server] * rate_per_weight
    }
    other_weight = sum(
        weights[server] for server in weights if server not in limited)
    other_rate = rate - sum(limited.values())
    if not limited or not other_weight:
        return capacities
    return capacities | {
        server:
            max(MIN_WEIGHT, other_weight * target_rate / other_rate)
            **(1 / rebalancing.SPEED_EXPONENT)
        for server, target_rate in limited.items()
    }
