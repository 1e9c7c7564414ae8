"""A simulated service for the benchmark of assignment: keys, load, losses.

All is in simulated seconds and seeded. Costs and owners are kept for each key,
in numpy. Every policy sees the same keys, requests, hot keys that change and
losses.
"""

from collections.abc import Callable
import dataclasses

import numpy as np

from lentilmoor import models
from lentilmoor import slices

MS_PER_S = 1000.0
SLOTS = 2
SERVICE_MS = 10.0
UTILIZATION = 0.6
HOT_RANKS = 200
FAILURE_DOMAINS = 3
DRAIN_S = 5
# Measured from here on: the first assignment knows no load.
MEASURED_FROM_S = 60
COLD_START_MS = 20.0
# Marks of keys that no server holds.
_NEVER = -2
_LOST = -1

HSINCHU = models.Weights(imbalance=1.0, churn=1.0, unavailable=3.0)
NILEBRIDGE = models.Weights(imbalance=3.0, churn=1.0, unavailable=1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service of a deployment, at the size of today.

    Attributes:
      deployment: Who runs it.
      name: Its name.
      servers: How many backend servers it has.
      weights: The team's weights.
    """

    deployment: str
    name: str
    servers: int
    weights: models.Weights


SERVICES = (
    Service('hsinchu', 'catalogue', 15, HSINCHU),
    Service('hsinchu', 'orders', 8, HSINCHU),
    Service('hsinchu', 'certificates', 13, HSINCHU),
    Service('nilebridge', 'shifts', 12, NILEBRIDGE),
    Service('nilebridge', 'bookings', 7, NILEBRIDGE),
    Service('nilebridge', 'documents', 11, NILEBRIDGE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What a run is made of.

    Attributes:
      service: The service.
      zipf: Exponent of the keys' popularity.
      keys: Keys in use.
      seconds: Simulated time.
      turnover_s: Mean time that one of the hottest ranks stays with a key.
      cost_spread: Sigma of the lognormal factor of each key's cost.
      losses: Whether servers leave, die and come.
      seed: Seed of all random choices.
    """

    service: Service
    zipf: float = 1.0
    keys: int = 100_000
    seconds: int = 600
    turnover_s: float = 180.0
    cost_spread: float = 0.3
    losses: bool = True
    seed: int = 1


@dataclasses.dataclass(slots=True)
class World:
    """The true state.

    Attributes:
      scenario: What is simulated.
      rng: Source of all random choices.
      points: Points of the keys, ascending.
      factors: Cost of a request by key, over the mean.
      ranked: The key at each rank of popularity.
      shares: Share of the requests by rank.
      cumulated: Running sum of the shares.
      rates: True cost of each key, ms per second.
      live: Servers that are live.
      leaving: Servers that are leaving.
      started: When each server began to serve, s.
      forced: Shares of the servers that were lost, summed.
    """

    scenario: Scenario
    rng: np.random.Generator
    points: np.ndarray
    factors: np.ndarray
    ranked: np.ndarray
    shares: np.ndarray
    cumulated: np.ndarray
    rates: np.ndarray
    live: list[int]
    leaving: list[int]
    started: dict[int, int]
    forced: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The requests of one second.

    Attributes:
      keys: Key of each request.
      costs: Measured service time of each request, ms.
    """

    keys: np.ndarray
    costs: np.ndarray


@dataclasses.dataclass(slots=True)
class Figures:
    """What one policy came to in one scenario; one item a second in lists.

    Attributes:
      imbalance: Peak over mean of true cost on powered servers.
      floors: The lowest that the dearest single key leaves possible.
      key_churn: Share of the keys that changed owner, summed.
      load_churn: Share of the load that changed owner, summed.
      forced: Shares of the servers that were lost, summed.
      drifted: Share of the load that went from hot keys to others, summed.
      cold_starts: Requests that met a known key first at its new owner.
      requests: All requests.
    """

    imbalance: list[float] = dataclasses.field(default_factory=list)
    floors: list[float] = dataclasses.field(default_factory=list)
    key_churn: float = 0.0
    load_churn: float = 0.0
    forced: float = 0.0
    drifted: float = 0.0
    cold_starts: int = 0
    requests: int = 0


# Returns the owner of each key, given the time and the last second's requests.
Policy = Callable[[World, int, Sample | None], np.ndarray]


def make_world(scenario: Scenario) -> World:
    """Returns the state at the start."""
    rng = np.random.default_rng(scenario.seed)
    points = np.unique(
        rng.integers(0, slices.HASH_SPAN, size=scenario.keys, dtype=np.uint64))
    count = len(points)
    shares = 1.0 / np.arange(1, count + 1)**scenario.zipf
    shares /= shares.sum()
    spread = scenario.cost_spread
    factors = rng.lognormal(-spread * spread / 2, spread, count)
    servers = list(range(scenario.service.servers))
    world = World(scenario, rng, points, factors, rng.permutation(count),
                  shares, np.cumsum(shares), np.zeros(count), servers, [],
                  dict.fromkeys(servers, 0))
    _set_rates(world, np.arange(count))
    return world


def _set_rates(world: World, ranks: np.ndarray) -> None:
    keys = world.ranked[ranks]
    offered = _find_offered(world)
    world.rates[keys] = world.shares[ranks] * world.factors[keys] * offered


def _find_offered(world: World) -> float:
    """Returns the load that all requests make, ms per second."""
    return world.scenario.service.servers * SLOTS * MS_PER_S * UTILIZATION


def _drift(world: World) -> float:
    """Gives some of the hottest ranks to other keys.

    Args:
      world: Is changed.

    Returns:
      Share of the load that went to other keys.
    """
    drawn = world.rng.random(HOT_RANKS)
    ranks = np.flatnonzero(drawn < 1.0 / world.scenario.turnover_s)
    ranked = world.ranked
    drifted = 0.0
    for rank in ranks:
        pair = np.array([rank, world.rng.integers(HOT_RANKS, len(ranked))])
        keys = ranked[pair]
        before = world.rates[keys]
        ranked[pair] = keys[::-1]
        _set_rates(world, pair)
        gained = world.rates[keys] - before
        drifted += float(abs(gained).sum() / 2.0)
    return drifted / _find_offered(world)


def _draw(world: World) -> Sample:
    count = world.rng.poisson(_find_offered(world) / SERVICE_MS)
    drawn = world.rng.random(count) * world.cumulated[-1]
    keys = world.ranked[np.searchsorted(world.cumulated, drawn)]
    costs = world.rng.exponential(SERVICE_MS, count) * world.factors[keys]
    return Sample(keys, costs)


def _lose(world: World, servers: list[int]) -> None:
    powered = len(world.live) + len(world.leaving)
    world.forced += len(servers) / powered
    world.live = [server for server in world.live if server not in servers]


def _join(world: World, servers: list[int], now: int) -> None:
    world.live.extend(servers)
    world.started.update(dict.fromkeys(servers, now))


def _happen(world: World, now: int) -> bool:
    """Lets servers die, return, leave and come, and a failure domain go."""
    tenth = world.scenario.seconds // 10
    fresh = world.scenario.service.servers
    domain = [*range(1, fresh, FAILURE_DOMAINS), fresh]
    domain.remove(4)
    events = {
        2 * tenth: lambda: _lose(world, [2]),
        3 * tenth: lambda: _join(world, [2], now),
        4 * tenth: lambda: (_lose(world, [4]), world.leaving.append(4)),
        4 * tenth + DRAIN_S: world.leaving.clear,
        5 * tenth: lambda: _join(world, [fresh], now),
        6 * tenth: lambda: _lose(world, domain),
        8 * tenth: lambda: _join(world, domain, now),
    }
    if now not in events or not world.scenario.losses:
        return False
    events[now]()
    return True


def simulate(scenario: Scenario, policy: Policy) -> Figures:
    """Runs one policy through one scenario."""
    world = make_world(scenario)
    figures = Figures()
    owners = policy(world, 0, None)
    served_by = np.full(len(world.points), _NEVER)
    for now in range(1, scenario.seconds):
        drifted = _drift(world)
        sample = _draw(world)
        if now >= MEASURED_FROM_S:
            figures.drifted += drifted
            _measure(figures, world, owners)
        _warm(figures, now, sample, owners, served_by)
        if _happen(world, now):
            up = world.live + world.leaving
            lost = ~np.isin(served_by, [*up, _NEVER])
            served_by[lost] = _LOST
        fresh = policy(world, now, sample)
        if fresh is not owners and now >= MEASURED_FROM_S:
            _count_churn(figures, world, owners != fresh)
        owners = fresh
    figures.forced = world.forced
    return figures


def _measure(figures: Figures, world: World, owners: np.ndarray) -> None:
    powered = world.live + world.leaving
    sums = np.bincount(owners, world.rates, max(powered) + 1)[powered]
    mean = world.rates.sum() / len(powered)
    figures.imbalance.append(float(sums.max() / mean))
    figures.floors.append(max(1.0, float(world.rates.max() / mean)))


def _warm(figures: Figures, now: int, sample: Sample, owners: np.ndarray,
          served_by: np.ndarray) -> None:
    """Makes the first request of each key at a new owner dearer."""
    served = served_by[sample.keys]
    cold = (served != owners[sample.keys]) & (served != _NEVER)
    keys, first = np.unique(sample.keys[cold], return_index=True)
    sample.costs[np.flatnonzero(cold)[first]] += COLD_START_MS
    served_by[sample.keys] = owners[sample.keys]
    if now >= MEASURED_FROM_S:
        figures.cold_starts += len(keys)
        figures.requests += len(sample.keys)


def _count_churn(figures: Figures, world: World, moved: np.ndarray) -> None:
    figures.key_churn += float(moved.mean())
    figures.load_churn += float(world.rates[moved].sum() / world.rates.sum())
