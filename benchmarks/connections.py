"""Connections and hops: who talks to a backend server, at which price.

Weighs, on a seeded matrix of five regions of three failure domains each, that
each entry dispatches straight, that a subset of entries (the delegates of a
shard) does, and that one home entry of each server does. Then weighs ways to
choose the delegates: by rendezvous alone, dealt over regions and domains, and
by covering all entries within a bound of latency, as Huang and Abdelzaher place
replicas in content distribution networks, with their safety margin of 0.75. A
second matrix has, in each region, one domain that is far from the others.
"""

from collections.abc import Callable
import dataclasses
import random
import statistics

from benchmarks import bounds
from lentilmoor import roles
from lentilmoor import tables
from tests import fleets

SIZES = (12, 100, 1_000, 4_900)
CONNECTIONS = 125
SERVERS_PER_SHARD = 15
SHARDS = 60
MARGIN = 0.75

_DOMAINS = 15
_REGIONS = 5
_HOP_IN_DOMAIN = 0.5
_HOP_IN_REGION = 1.5
_HOP_BETWEEN = (30.0, 150.0)
_NOISE = 0.3
_SHIFT = 0.2
_COVER_BOUND_MS = 3.0
_FAR_OFF_MS = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """One way to reach the servers of a shard, at one size of the fleet.

    Attributes:
      name: Which way.
      nodes: Entries.
      connections: Connections that each server holds, at 2 for each entry
        that dispatches to it.
      hop_ms: Mean time of the hop between entries, requests of all entries.
      hop_p99_ms: Its 99th percentile.
      share: Largest part of a shard's requests that pass one entry, over the
        mean of those that carry them.
      blast: Part of a shard's requests that the loss of one entry touches.
    """

    name: str
    nodes: int
    connections: int
    hop_ms: float
    hop_p99_ms: float
    share: float
    blast: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """One way to choose the delegates of a shard.

    Attributes:
      name: Which way.
      mean_ms: Mean round trip from an entry to its nearest delegate.
      p99_ms: 99th percentile.
      uncovered: Part of entries without a delegate within the bound.
      regions: Least number of regions that have one.
      domain_loss: Part of entries uncovered once the worst domain is lost.
      moved: Delegates that change when one entry goes; mean over shards.
      stale: Part of entries uncovered after latencies have shifted.
    """

    name: str
    mean_ms: float
    p99_ms: float
    uncovered: float
    regions: int
    domain_loss: float
    moved: float
    stale: float


@dataclasses.dataclass(slots=True)
class Matrix:
    """Round trips between failure domains, ms; what is added within one."""

    between: dict[tuple[str, str], float]

    def read(self, one: tables.Instance, two: tables.Instance) -> float:
        """Returns the round trip between two entries."""
        if one.id == two.id:
            return 0.0
        return self.between[one.failure_domain, two.failure_domain]


Pick = Callable[[str, list[tables.Instance], Matrix], list[tables.Instance]]


def make_matrix(rows: list[tables.Instance],
                seed: int,
                far_off: bool = False) -> Matrix:
    """Returns a seeded matrix: near in a domain, farther in a region.

    Args:
      rows: Entries with their places.
      seed: Seed of regions' distances and of noise.
      far_off: Whether each region's first domain is far from its others.
    """
    rng = random.Random(seed)
    places = {row.failure_domain: row.region for row in rows}
    firsts = {places[name]: name for name in sorted(places, reverse=True)}
    regions: dict[tuple[str, str], float] = {}
    between = {}
    for one in sorted(places):
        for two in sorted(places):
            if two < one:
                continue
            pair = tuple(sorted((places[one], places[two])))
            base = regions.setdefault(pair, rng.uniform(*_HOP_BETWEEN))
            if one == two:
                base = _HOP_IN_DOMAIN
            elif places[one] == places[two]:
                base = _HOP_IN_REGION
                if far_off and firsts[places[one]] in (one, two):
                    base = _FAR_OFF_MS
            value = base * rng.uniform(1.0, 1.0 + _NOISE)
            between[one, two] = between[two, one] = value
    return Matrix(between)


def shift_matrix(matrix: Matrix, seed: int) -> Matrix:
    """Returns the matrix after latencies have risen here and there."""
    rng = random.Random(seed)
    between = {}
    for (one, two), value in matrix.between.items():
        if one <= two:
            risen = value * (1.0 + rng.uniform(0.0, 2.0 * _SHIFT))
            between[one, two] = between[two, one] = risen
    return Matrix(between)


def pick_by_score(shard: str, rows: list[tables.Instance],
                  matrix: Matrix) -> list[tables.Instance]:
    """Picks the highest scores, wherever they are."""
    del matrix
    return roles.rank(shard, rows)[:roles.DELEGATES]


def pick_dealt(shard: str, rows: list[tables.Instance],
               matrix: Matrix) -> list[tables.Instance]:
    """Picks as the router does."""
    del matrix
    return roles.pick_delegates(shard, rows)


def pick_one_each(shard: str, rows: list[tables.Instance],
                  matrix: Matrix) -> list[tables.Instance]:
    """Picks as the router does, but one in each failure domain."""
    del matrix
    return roles.pick_delegates(shard, rows, _DOMAINS)


def pick_covering(shard: str, rows: list[tables.Instance],
                  matrix: Matrix) -> list[tables.Instance]:
    """Picks, one by one, the domain that covers most entries not yet covered.

    The greedy cover of the paper over failure domains, with the bound cut by
    its safety margin; what is left of the twelve is dealt for balance. Ties
    and the entry within the domain go by score.
    """
    domains: dict[str, list[tables.Instance]] = {}
    for row in rows:
        domains.setdefault(row.failure_domain, []).append(row)
    reach = MARGIN * _COVER_BOUND_MS
    left = set(domains)
    chosen: list[str] = []
    while left and len(chosen) < roles.DELEGATES:
        best = max(sorted(set(domains) - set(chosen)),
                   key=lambda name: (sum(
                       len(domains[other])
                       for other in left
                       if matrix.between[name, other] <= reach),
                                     roles.score(shard, name)))
        chosen.append(best)
        left -= {x for x in left if matrix.between[best, x] <= reach}
    picked = [roles.rank(shard, domains[name])[0] for name in chosen]
    for row in roles.pick_delegates(shard, rows):
        if len(picked) < roles.DELEGATES and row not in picked:
            picked.append(row)
    return picked


CHOICES: dict[str, Pick] = {
    'score alone': pick_by_score,
    'dealt': pick_dealt,
    'dealt, 15': pick_one_each,
    'covering': pick_covering,
}


def measure_choice(name: str, far_off: bool) -> Choice:
    """Weighs one way to choose delegates, at 300 entries."""
    rows = fleets.make_rows(300, _DOMAINS, _REGIONS)
    matrix = make_matrix(rows, 1, far_off)
    later = shift_matrix(matrix, 2)
    runs = [
        _measure_shard(CHOICES[name], f'team/service/{number}', rows, matrix,
                       later) for number in range(SHARDS)
    ]
    trips = [trip for run in runs for trip in run.trips]
    return Choice(name=name,
                  mean_ms=statistics.mean(trips),
                  p99_ms=_percentile(trips, 0.99),
                  uncovered=_part_above(trips),
                  regions=min(x.regions for x in runs),
                  domain_loss=statistics.mean(x.lost for x in runs),
                  moved=statistics.mean(x.moved for x in runs),
                  stale=statistics.mean(x.stale for x in runs))


def measure_shapes(nodes: int) -> list[Shape]:
    """Weighs the three ways to reach servers at one size."""
    domains, regions = (3, 1) if nodes <= 12 else (_DOMAINS, _REGIONS)
    rows = fleets.make_rows(nodes, domains, regions)
    matrix = make_matrix(rows, 1)
    everybody = Shape('each entry', nodes, 2 * nodes, 0.0, 0.0, 1.0, 1 / nodes)
    by_delegate: list[_Load] = []
    by_home: list[_Load] = []
    for number in range(SHARDS if nodes <= 1_000 else SHARDS // 6):
        shard = f'team/service/{number}'
        delegates = roles.pick_delegates(shard, rows)
        by_delegate.append(_load_delegates(rows, delegates, matrix))
        by_home.append(_load_homes(rows, delegates, shard, matrix))
    return [
        everybody,
        _sum_loads('delegates', nodes, 2 * min(roles.DELEGATES, nodes),
                   by_delegate),
        _sum_loads('home of each server', nodes, 2, by_home),
    ]


def run() -> list[str]:
    """Prints the tables and returns the breached bounds."""
    values = {}
    print('nodes way                  connections  hop ms    p99  peak/mean  '
          'touched by one loss')
    for nodes in SIZES:
        for row in measure_shapes(nodes):
            fits = ' ' if row.connections <= CONNECTIONS else '!'
            print(f'{nodes:5} {row.name:20} {row.connections:11}{fits} '
                  f'{row.hop_ms:7.2f} {row.hop_p99_ms:6.1f} {row.share:10.2f} '
                  f'{row.blast:12.2%}')
            values[f'{nodes} {row.name}: connections'] = row.connections
            values[f'{nodes} {row.name}: peak'] = row.share
    for far_off in (False, True):
        where = 'one domain of each region far off' if far_off else 'near'
        print(f'delegates, {where}')
        print('chosen by     mean ms  p99 ms  beyond 3 ms  regions  '
              'domain lost  moved  latencies risen')
        for name in CHOICES:
            row = measure_choice(name, far_off)
            print(f'{name:12} {row.mean_ms:8.2f} {row.p99_ms:7.1f} '
                  f'{row.uncovered:11.1%} {row.regions:8} '
                  f'{row.domain_loss:11.1%} {row.moved:6.2f} {row.stale:11.1%}')
            values[f'{name}, {where}: beyond'] = row.uncovered
            values[f'{name}, {where}: moved'] = row.moved
    return bounds.check('connections', values)


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """Hops of all entries' requests, and requests by the entry they pass."""

    hops: list[float]
    by_entry: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    """How the delegates of one shard did."""

    trips: list[float]
    regions: int
    lost: float
    moved: int
    stale: float


def _measure_shard(pick: Pick, shard: str, rows: list[tables.Instance],
                   matrix: Matrix, later: Matrix) -> _Run:
    chosen = pick(shard, rows, matrix)
    rest = [row for row in rows if row is not chosen[0]]
    after = {row.id for row in pick(shard, rest, matrix)}
    return _Run(trips=_find_nearest(rows, chosen, matrix),
                regions=len({row.region for row in chosen}),
                lost=_lose_worst_domain(rows, chosen, matrix),
                moved=len(after - {row.id for row in chosen}),
                stale=_part_above(_find_nearest(rows, chosen, later)))


def _find_nearest(rows: list[tables.Instance], chosen: list[tables.Instance],
                  matrix: Matrix) -> list[float]:
    return [min(matrix.read(row, other) for other in chosen) for row in rows]


def _part_above(trips: list[float]) -> float:
    return sum(trip > _COVER_BOUND_MS for trip in trips) / len(trips)


def _lose_worst_domain(rows: list[tables.Instance],
                       chosen: list[tables.Instance], matrix: Matrix) -> float:
    worst = 0.0
    for domain in sorted({row.failure_domain for row in chosen}):
        left = [row for row in chosen if row.failure_domain != domain]
        alive = [row for row in rows if row.failure_domain != domain]
        worst = max(worst, _part_above(_find_nearest(alive, left, matrix)))
    return worst


def _load_delegates(rows: list[tables.Instance],
                    delegates: list[tables.Instance], matrix: Matrix) -> _Load:
    by_entry = {row.id: 0.0 for row in delegates}
    hops = []
    for row in rows:
        best = min(matrix.read(row, other) for other in delegates)
        near = [x for x in delegates if matrix.read(row, x) <= best * 1.5]
        for other in near:
            by_entry[other.id] += 1 / len(near)
        hops.append(best)
    return _Load(hops, by_entry)


def _load_homes(rows: list[tables.Instance], delegates: list[tables.Instance],
                shard: str, matrix: Matrix) -> _Load:
    by_entry: dict[str, float] = {}
    hops = []
    for server in range(SERVERS_PER_SHARD):
        home = roles.pick_home(f'{shard}/{server}', delegates)
        by_entry[home.id] = by_entry.get(home.id, 0.0) + len(rows)
        hops += [matrix.read(row, home) for row in rows]
    return _Load(hops, by_entry)


def _sum_loads(name: str, nodes: int, connections: int,
               loads: list[_Load]) -> Shape:
    hops = [hop for load in loads for hop in load.hops]
    peaks = [
        max(load.by_entry.values()) / statistics.mean(load.by_entry.values())
        for load in loads
    ]
    touched = [
        max(load.by_entry.values()) / sum(load.by_entry.values())
        for load in loads
    ]
    return Shape(name, nodes, connections, statistics.mean(hops),
                 _percentile(hops, 0.99), statistics.mean(peaks),
                 statistics.mean(touched))


def _percentile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


if __name__ == '__main__':
    run()
