"""Policies of assignment: the naive ones, and planners behind load tables."""

from collections.abc import Callable
import dataclasses
import random
import time

import numpy as np

from benchmarks import balance_model as model
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import plans
from lentilmoor import slices
from lentilmoor import tables

DELEGATES = 12
PLAN_EVERY_S = 2
LOST_REPORTS = 0.05
LAGS_S = (0, 1, 2)
SLICES_PER_SERVER = 32
_GREEDY_MOVES = 64
_GREEDY_TOLERANCE = 0.02

Place = Callable[[model.World], np.ndarray]
Planner = Callable[..., plans.Plan]


def _place_on_change(place: Place) -> model.Policy:
    """Returns a policy that places all keys anew when servers change."""
    placed = {}

    def assign(world: model.World, now: int,
               sample: model.Sample | None) -> np.ndarray:
        del now, sample
        live = tuple(sorted(world.live))
        if live not in placed:
            placed.clear()
            placed[live] = place(world)
        return placed[live]

    return assign


def make_modulo() -> model.Policy:
    """Returns mod-N over the live servers."""

    def place(world: model.World) -> np.ndarray:
        live = np.array(sorted(world.live))
        return live[world.points % np.uint64(len(live))]

    return _place_on_change(place)


def make_ring(virtual_nodes: int = 128) -> model.Policy:
    """Returns a consistent-hash ring."""

    def find_places(server: int) -> np.ndarray:
        rng = np.random.default_rng([7, server])
        return rng.integers(0,
                            slices.HASH_SPAN,
                            size=virtual_nodes,
                            dtype=np.uint64)

    def place(world: model.World) -> np.ndarray:
        places = np.concatenate([find_places(server) for server in world.live])
        owners = np.repeat(world.live, virtual_nodes)
        order = np.argsort(places)
        index = np.searchsorted(places[order], world.points) % len(order)
        return owners[order][index]

    return _place_on_change(place)


def make_rendezvous() -> model.Policy:
    """Returns rendezvous hashing."""

    def place(world: model.World) -> np.ndarray:
        scores = np.stack([
            np.random.default_rng([8, server]).random(len(world.points))
            for server in world.live
        ])
        return np.array(world.live)[scores.argmax(axis=0)]

    return _place_on_change(place)


@dataclasses.dataclass(slots=True)
class Grantor:
    """What stands for a shard's grantor and its delegates.

    Attributes:
      slice_map: The map in force.
      table: The grantor's means.
      recorders: One for each delegate.
      under_way: Reports that have not arrived: (due, report).
      rng: Lags and losses of reports.
      owners: Owner of each key by the map.
      known: Servers at the last plan.
      versions: Plans that changed the map.
      changes: Rows that those plans changed.
      plans: Plans made.
      plan_s: Processor time of reading loads and planning, s.
    """

    slice_map: slices.SliceMap
    table: means.LoadTable
    recorders: list[loads.Recorder]
    under_way: list[tuple[int, loads.Report]]
    rng: random.Random
    owners: np.ndarray | None = None
    known: tuple[int, ...] = ()
    versions: int = 0
    changes: int = 0
    plans: int = 0
    plan_s: float = 0.0


def make_grantor(scenario: model.Scenario) -> Grantor:
    """Returns a grantor with a first map."""
    names = tuple(str(s) for s in range(scenario.service.servers))
    slice_map = slices.make_map(names, SLICES_PER_SERVER)
    recorders = [loads.make_recorder(slice_map) for _ in range(DELEGATES)]
    return Grantor(slice_map, means.make_table(slice_map, 0.0), recorders, [],
                   random.Random(scenario.seed))


def make_planned(grantor: Grantor, planner: Planner,
                 limits: plans.Limits) -> model.Policy:
    """Returns a planner that is called every few seconds and on losses."""

    def assign(world: model.World, now: int,
               sample: model.Sample | None) -> np.ndarray:
        if sample is not None:
            _report(grantor, world, now, sample)
        known = (*world.live, *world.leaving)
        if known != grantor.known or now % PLAN_EVERY_S == 0:
            grantor.known = known
            _plan(grantor, planner, limits, world, now)
        return grantor.owners

    return assign


def _report(grantor: Grantor, world: model.World, now: int,
            sample: model.Sample) -> None:
    """Lets the delegates report; some reports lag and some get lost."""
    points = world.points[sample.keys].tolist()
    costs = sample.costs.tolist()
    for index, recorder in enumerate(grantor.recorders):
        loads.record(recorder, points[index::DELEGATES],
                     costs[index::DELEGATES])
        report = loads.take_report(recorder)
        if grantor.rng.random() >= LOST_REPORTS:
            due = now + grantor.rng.choice(LAGS_S)
            grantor.under_way.append((due, report))
        loads.follow(recorder, grantor.slice_map)
    for due, report in grantor.under_way:
        if due <= now:
            means.fold(grantor.table, report, now * model.MS_PER_S)
    grantor.under_way = [item for item in grantor.under_way if item[0] > now]


def _plan(grantor: Grantor, planner: Planner, limits: plans.Limits,
          world: model.World, now: int) -> None:
    now_ms = now * model.MS_PER_S
    servers = _list_servers(world)
    started = time.process_time()
    seen = means.read(grantor.table, now_ms)
    made = planner(grantor.slice_map, seen, servers,
                   world.scenario.service.weights, limits, now_ms)
    grantor.plan_s += time.process_time() - started
    grantor.plans += 1
    changes = len(made.splits) + len(made.merges) + len(made.moves)
    if changes:
        grantor.versions += 1
        grantor.changes += changes
        grantor.slice_map = plans.apply(grantor.slice_map, made)
        means.follow_map(grantor.table, grantor.slice_map, now_ms)
    if changes or grantor.owners is None:
        grantor.owners = _spread(grantor.slice_map, world)


def _list_servers(world: model.World) -> dict[str, tables.Server]:
    states = dict.fromkeys(world.live, tables.Liveness.LIVE)
    states.update(dict.fromkeys(world.leaving, tables.Liveness.LEAVING))
    return {
        str(server):
            tables.Server(str(server),
                          '',
                          't/s/0',
                          'd',
                          liveness=state,
                          warm_since=model.MS_PER_S * world.started[server])
        for server, state in states.items()
    }


def _spread(slice_map: slices.SliceMap, world: model.World) -> np.ndarray:
    """Returns the owner of each key."""
    names = np.array([int(name) for name in slice_map.servers])
    bounds = np.array(slice_map.bounds, dtype=np.uint64)
    starts = np.searchsorted(world.points, bounds)
    widths = np.diff(np.append(starts, len(world.points)))
    return np.repeat(names[np.array(slice_map.owners)], widths)


def plan_greedily(slice_map: slices.SliceMap, seen: means.Loads,
                  servers: dict[str, tables.Server], *_) -> plans.Plan:
    """Plans like a rebalancer without a price of churn, from the same loads.

    It moves the slice that fits best from the fullest to the emptiest server
    until they are within two in a hundred of each other; it does not split.
    """
    live = [
        server.id
        for server in servers.values()
        if server.liveness is tables.Liveness.LIVE
    ]
    sums = dict.fromkeys(live, 0.0)
    owners = [slice_map.servers[owner] for owner in slice_map.owners]
    before = list(owners)
    for index, owner in enumerate(owners):
        if owner in sums:
            sums[owner] += seen.rates[index]
    for index in sorted(range(len(owners)), key=lambda i: -seen.rates[i]):
        if owners[index] not in sums:
            owners[index] = min(sums, key=sums.get)
            sums[owners[index]] += seen.rates[index]
    if seen.observed_ms > model.MS_PER_S:
        for _ in range(_GREEDY_MOVES):
            _even_out(owners, seen, sums)
    moves = tuple(
        plans.Move(bound, was, owner, plans.Cause.IMBALANCE)
        for bound, was, owner in zip(
            slice_map.bounds, before, owners, strict=True)
        if was != owner)
    return plans.Plan(moves=moves)


def _even_out(owners: list[str], seen: means.Loads, sums: dict[str,
                                                               float]) -> None:
    high = max(sums, key=sums.get)
    low = min(sums, key=sums.get)
    gap = sums[high] - sums[low]
    if gap < _GREEDY_TOLERANCE * sums[high]:
        return
    fits = [
        index for index, owner in enumerate(owners)
        if owner == high and 0.0 < seen.rates[index] < gap
    ]
    if not fits:
        return
    index = min(fits, key=lambda i: abs(seen.rates[i] - gap / 2))
    owners[index] = low
    sums[high] -= seen.rates[index]
    sums[low] += seen.rates[index]
