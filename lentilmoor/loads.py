"""What each slice and each hot key costs its server, as measured.

A delegate keeps a `Recorder`: the service time of the requests it dispatched,
summed by slice, and a bounded sketch of the points that cost most. It reports
both every second or so. The grantor folds the reports into a `LoadTable` of
moving means, which `read` turns into the `Loads` that the planner weighs.
Rates are milliseconds of service time per second: 1000 is one busy slot.
"""

from array import array
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

from lentilmoor import clocks
from lentilmoor import slices

WINDOW_MS = 10_000.0
SKETCH_POINTS = 256
REPORTED_POINTS = 32
_LARGEST_EXPONENT = 40.0


@dataclasses.dataclass(frozen=True, slots=True)
class SliceCost:
    """What one slice cost since the last report.

    Attributes:
      first: First point of the slice.
      cost_ms: Service time spent, ms.
      requests: Requests served.
    """

    first: int
    cost_ms: float
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class HotPoint:
    """A point that costs much.

    Attributes:
      point: The hash of a key.
      cost: In a report, service time since the last one, ms; in `Loads`, the
        rate, ms per second. Never more than the truth but for noise.
    """

    point: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """One delegate's costs since its last report.

    Attributes:
      version: The slice map's version that the rows were counted under.
      slices: Slices that served something.
      hot: The points that cost most, dearest first.
    """

    version: tuple[int, int]
    slices: tuple[SliceCost, ...]
    hot: tuple[HotPoint, ...]


@dataclasses.dataclass(slots=True)
class Sketch:
    """A bounded summary of the points that cost most (Misra-Gries).

    Attributes:
      capacity: Points kept by a cut; at most twice as many between cuts.
      costs: Cost by point, low by at most `undercount`.
      undercount: What the cuts took from each point at most.
    """

    capacity: int = SKETCH_POINTS
    costs: dict[int, float] = dataclasses.field(default_factory=dict)
    undercount: float = 0.0


def add(sketch: Sketch, point: int, cost: float) -> None:
    """Adds the cost of a point; constant time but for a cut now and then."""
    costs = sketch.costs
    costs[point] = costs.get(point, 0.0) + cost
    if len(costs) >= 2 * sketch.capacity:
        _cut(sketch)


def _cut(sketch: Sketch) -> None:
    ranked = sorted(sketch.costs.values(), reverse=True)
    floor = ranked[sketch.capacity]
    sketch.costs = {
        point: cost - floor
        for point, cost in sketch.costs.items()
        if cost > floor
    }
    sketch.undercount += floor


def find_hottest(sketch: Sketch, count: int) -> list[tuple[int, float]]:
    """Returns up to `count` (point, cost) pairs, dearest first."""
    ranked = sorted(sketch.costs.items(), key=lambda item: (-item[1], item[0]))
    return ranked[:count]


@dataclasses.dataclass(slots=True)
class Recorder:
    """A delegate's sums since its last report, one row for each slice.

    Attributes:
      slice_map: The map that the rows follow.
      costs: Service time by slice, ms.
      requests: Requests by slice.
      sketch: The points that cost most.
    """

    slice_map: slices.SliceMap
    costs: array
    requests: array
    sketch: Sketch


def make_recorder(slice_map: slices.SliceMap,
                  capacity: int = SKETCH_POINTS) -> Recorder:
    """Returns an empty recorder for a map."""
    count = len(slice_map.bounds)
    return Recorder(slice_map, _zeros('d', count), _zeros('L', count),
                    Sketch(capacity))


def record(recorder: Recorder, points: Iterable[int],
           costs: Iterable[float]) -> None:
    """Adds a batch of served requests.

    Args:
      recorder: Is changed.
      points: The point of each request's key.
      costs: The service time of each request, ms.
    """
    find = recorder.slice_map.find
    for point, cost in zip(points, costs, strict=True):
        index = find(point)
        recorder.costs[index] += cost
        recorder.requests[index] += 1
        add(recorder.sketch, point, cost)


def take_report(recorder: Recorder,
                hot_points: int = REPORTED_POINTS) -> Report:
    """Returns what was recorded since the last report, and starts anew."""
    rows = zip(recorder.slice_map.bounds,
               recorder.costs,
               recorder.requests,
               strict=True)
    costs = tuple(SliceCost(*row) for row in rows if row[2])
    hottest = find_hottest(recorder.sketch, hot_points)
    hot = tuple(HotPoint(point, cost) for point, cost in hottest)
    _empty(recorder, recorder.slice_map)
    recorder.sketch = Sketch(recorder.sketch.capacity)
    return Report(recorder.slice_map.version, costs, hot)


def _empty(recorder: Recorder, slice_map: slices.SliceMap) -> None:
    count = len(slice_map.bounds)
    recorder.slice_map = slice_map
    recorder.costs = _zeros('d', count)
    recorder.requests = _zeros('L', count)


def follow(recorder: Recorder, slice_map: slices.SliceMap) -> None:
    """Takes up a newer map; sums of slices that changed bounds are dropped."""
    old = recorder.slice_map
    costs = recorder.costs
    requests = recorder.requests
    _empty(recorder, slice_map)
    for index, was in _match_rows(old, slice_map):
        recorder.costs[index] = costs[was]
        recorder.requests[index] = requests[was]


@dataclasses.dataclass(slots=True)
class LoadTable:
    """The grantor's moving means, one row for each slice.

    The sums are decayed forwards: what is added at time t counts
    exp((t - landmark) / window), so that no sweep is needed as time passes.

    Attributes:
      slice_map: The map that the rows follow.
      window_ms: Time constant of the means.
      started_at: When the table began to observe, ms.
      landmark: Time at which the weight of an addition is 1, ms.
      costs: Decayed service time by slice.
      requests: Decayed requests by slice.
      changed: Sequence of the map that gave the slice its bounds.
      owned_since: When the slice came to its owner, ms.
      sketch: The points that cost most, decayed alike.
    """

    slice_map: slices.SliceMap
    window_ms: float
    started_at: float
    landmark: float
    costs: array
    requests: array
    changed: array
    owned_since: array
    sketch: Sketch


@dataclasses.dataclass(frozen=True, slots=True)
class Loads:
    """What the planner is handed: rows aligned with a slice map.

    Attributes:
      rates: Rate of each slice, ms of service time per second; typecode d.
      requests: Decayed number of requests behind each rate; typecode d.
      owned_since: When each slice came to its owner, ms; typecode d.
      hot: Points that cost most, dearest first, with rates.
      observed_ms: How long loads have been observed.
    """

    rates: array
    requests: array
    owned_since: array
    hot: tuple[HotPoint, ...]
    observed_ms: float


def make_table(slice_map: slices.SliceMap,
               now: float,
               window_ms: float = WINDOW_MS,
               capacity: int = 2 * SKETCH_POINTS) -> LoadTable:
    """Returns an empty table for a map."""
    count = len(slice_map.bounds)
    return LoadTable(slice_map, window_ms, now, now, _zeros('d', count),
                     _zeros('d', count),
                     array('Q', [slice_map.sequence]) * count,
                     array('d', [-math.inf]) * count, Sketch(capacity))


def fold(table: LoadTable, report: Report, now: float) -> None:
    """Folds a delegate's report into the means.

    Rows counted before a slice got its present bounds are passed over, as
    are all rows of another epoch: they can't be told apart by slice.

    Args:
      table: Is changed.
      report: What a delegate counted.
      now: Time, ms.
    """
    weight = _weigh(table, now)
    epoch, sequence = report.version
    if epoch == table.slice_map.epoch:
        for row in report.slices:
            index = table.slice_map.find(row.first)
            if table.changed[index] > sequence:
                continue
            table.costs[index] += row.cost_ms * weight
            table.requests[index] += row.requests * weight
    for hot in report.hot:
        add(table.sketch, hot.point, hot.cost * weight)


def _weigh(table: LoadTable, now: float) -> float:
    exponent = (now - table.landmark) / table.window_ms
    if exponent > _LARGEST_EXPONENT:
        _move_landmark(table, now, math.exp(-exponent))
        exponent = 0.0
    return math.exp(exponent)


def _move_landmark(table: LoadTable, now: float, factor: float) -> None:
    table.landmark = now
    table.costs = array('d', (cost * factor for cost in table.costs))
    table.requests = array('d', (count * factor for count in table.requests))
    costs = table.sketch.costs
    table.sketch.costs = {point: costs[point] * factor for point in costs}
    table.sketch.undercount *= factor


def follow_map(table: LoadTable, slice_map: slices.SliceMap,
               now: float) -> None:
    """Takes up a newer map.

    A slice with new bounds starts with its known hot points' cost and, by its
    share of points, its part of the rest of the slices it was cut from.

    Args:
      table: Is changed.
      slice_map: A map of the same epoch or a later one.
      now: Time, ms.
    """
    before = dataclasses.replace(table)
    count = len(slice_map.bounds)
    table.slice_map = slice_map
    table.costs = _zeros('d', count)
    table.requests = _zeros('d', count)
    table.changed = array('Q', [slice_map.sequence]) * count
    table.owned_since = array('d', [now]) * count
    kept = dict(_match_rows(before.slice_map, slice_map))
    for index in range(count):
        was = kept.get(index)
        if was is None:
            was = before.slice_map.find(slice_map.bounds[index])
            _derive(before, table, index, was)
        else:
            table.costs[index] = before.costs[was]
            table.requests[index] = before.requests[was]
            table.changed[index] = before.changed[was]
        if _name_owner(before.slice_map, was) == _name_owner(slice_map, index):
            table.owned_since[index] = before.owned_since[was]


def _derive(before: LoadTable, table: LoadTable, index: int, was: int) -> None:
    """Fills the row of a slice with new bounds from the rows it overlaps."""
    first = table.slice_map.bounds[index]
    last = table.slice_map.last_point(index)
    old = before.slice_map
    while was < len(old.bounds) and old.bounds[was] <= last:
        share = _share_cost(before, was, first, last)
        table.costs[index] += before.costs[was] * share
        table.requests[index] += before.requests[was] * share
        was += 1


def _share_cost(before: LoadTable, was: int, first: int, last: int) -> float:
    """Returns the part of an old slice's cost that falls in [first, last]."""
    low = before.slice_map.bounds[was]
    high = before.slice_map.last_point(was)
    if first <= low and high <= last:
        return 1.0
    cost = before.costs[was]
    if cost <= 0.0:
        return 0.0
    hot = 0.0
    inside = 0.0
    for point, value in before.sketch.costs.items():
        if low <= point <= high:
            hot += value
            inside += value if first <= point <= last else 0.0
    if hot > cost:
        inside *= cost / hot
        hot = cost
    overlap = min(high, last) - max(low, first) + 1
    return (inside + (cost - hot) * overlap / (high - low + 1)) / cost


def read(table: LoadTable, now: float) -> Loads:
    """Returns the rates as of now, aligned with the table's map."""
    window_s = table.window_ms / clocks.MS_PER_S
    observed = max(now - table.started_at, 0.0)
    filled = 1.0 - math.exp(-observed / table.window_ms)
    weight = _weigh(table, now)
    factor = 1.0 / (weight * window_s * filled) if filled > 0.0 else 0.0
    hot = find_hottest(table.sketch, table.sketch.capacity)
    return Loads(
        array('d', (cost * factor for cost in table.costs)),
        array('d', (count / weight for count in table.requests)),
        table.owned_since,
        tuple(HotPoint(point, cost * factor) for point, cost in hot),
        observed,
    )


def _name_owner(slice_map: slices.SliceMap, index: int) -> str | None:
    owner = slice_map.owners[index]
    return None if owner == slices.NO_OWNER else slice_map.servers[owner]


def _match_rows(old: slices.SliceMap,
                new: slices.SliceMap) -> Iterator[tuple[int, int]]:
    """Yields (new index, old index) of the slices with the same bounds."""
    was = 0
    for index, bound in enumerate(new.bounds):
        while was < len(old.bounds) and old.bounds[was] < bound:
            was += 1
        if was == len(old.bounds):
            return
        if (old.bounds[was] == bound and
                old.last_point(was) == new.last_point(index)):
            yield index, was


def _zeros(typecode: str, count: int) -> array:
    return array(typecode, [0]) * count
