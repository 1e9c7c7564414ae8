"""What requests cost: a delegate's sums by slice and by hot point.

The request path hands in batches of points and service times; a `Recorder`
sums them by slice and keeps a sketch of the points that cost most. Every
second or so it reports both to the grantor, which folds them into moving
means (see `means`).
"""

from array import array
import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import heapq

from lentilmoor import sketches
from lentilmoor import slices

REPORTED_SLICES = 32
REPORTED_POINTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class SliceCost:
    """What one slice cost since it was last reported.

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
      slices: The slices that cost most since they were last reported.
      hot: The points that cost most, dearest first.
    """

    version: tuple[int, int]
    slices: tuple[SliceCost, ...]
    hot: tuple[HotPoint, ...]


@dataclasses.dataclass(slots=True)
class Recorder:
    """Sums since the last report, one row for each slice.

    Attributes:
      slice_map: The map that the rows follow.
      costs: Service time by slice, ms; typecode d.
      requests: Requests by slice; typecode L.
      sketch: The points that cost most.
    """

    slice_map: slices.SliceMap
    costs: array
    requests: array
    sketch: sketches.Sketch


def make_recorder(slice_map: slices.SliceMap,
                  capacity: int = sketches.CAPACITY) -> Recorder:
    """Returns an empty recorder for a map."""
    recorder = Recorder(slice_map, array('d'), array('L'),
                        sketches.Sketch(capacity))
    _clear(recorder, slice_map)
    return recorder


def record(recorder: Recorder, points: Sequence[int],
           costs: Sequence[float]) -> None:
    """Adds a batch of served requests.

    Args:
      recorder: Is changed.
      points: The point of each request's key.
      costs: The service time of each request, ms.
    """
    bounds = recorder.slice_map.bounds
    sums = recorder.costs
    requests = recorder.requests
    for point, cost in zip(points, costs, strict=True):
        index = bisect.bisect_right(bounds, point) - 1
        sums[index] += cost
        requests[index] += 1
    sketches.add(recorder.sketch, points, costs)


def take_report(recorder: Recorder,
                rows: int = REPORTED_SLICES,
                hot_points: int = REPORTED_POINTS) -> Report:
    """Returns the dearest of what was recorded and not yet reported.

    A report is bounded, as it goes over the network every second. The sums of
    slices that are left out grow until they are among the dearest.

    Args:
      recorder: What is reported is taken off its sums.
      rows: Most slices to report.
      hot_points: Most points to report.
    """
    served = (index for index, count in enumerate(recorder.requests) if count)
    dearest = heapq.nlargest(rows, served, key=recorder.costs.__getitem__)
    bounds = recorder.slice_map.bounds
    costs = tuple(
        SliceCost(bounds[index], recorder.costs[index],
                  recorder.requests[index]) for index in sorted(dearest))
    for index in dearest:
        recorder.costs[index] = 0.0
        recorder.requests[index] = 0
    hottest = sketches.find_hottest(recorder.sketch, hot_points)
    hot = tuple(HotPoint(point, cost) for point, cost in hottest)
    recorder.sketch = sketches.Sketch(recorder.sketch.capacity)
    return Report(recorder.slice_map.version, costs, hot)


def follow(recorder: Recorder, slice_map: slices.SliceMap) -> None:
    """Takes up a newer map; sums of slices that changed bounds are dropped."""
    old = recorder.slice_map
    if old.bounds == slice_map.bounds:
        recorder.slice_map = slice_map
        return
    costs = recorder.costs
    requests = recorder.requests
    _clear(recorder, slice_map)
    for index, was in match_rows(old, slice_map):
        recorder.costs[index] = costs[was]
        recorder.requests[index] = requests[was]


def _clear(recorder: Recorder, slice_map: slices.SliceMap) -> None:
    count = len(slice_map.bounds)
    recorder.slice_map = slice_map
    recorder.costs = array('d', [0.0]) * count
    recorder.requests = array('L', [0]) * count


def share_rate(rate: float, hot: Sequence[HotPoint], inside: Sequence[HotPoint],
               overlap: float) -> float:
    """Returns which part of a slice's cost falls in a part of its points.

    Args:
      rate: Cost of the slice, ms per second.
      hot: Its hot points.
      inside: Those of them in the part.
      overlap: Share of its points in the part.

    Returns:
      The hot points' share, and of the rest the part by its points.
    """
    if rate <= 0.0 or overlap >= 1.0:
        return overlap
    hottest = sum(item.cost for item in hot)
    scale = min(rate / hottest, 1.0) if hottest else 0.0
    named = sum(item.cost for item in inside) * scale
    return (named + (rate - hottest * scale) * overlap) / rate


def match_rows(old: slices.SliceMap,
               new: slices.SliceMap) -> Iterator[tuple[int, int]]:
    """Yields (new index, old index) of the slices with the same bounds."""
    was_at = {bound: was for was, bound in enumerate(old.bounds)}
    was_at[slices.HASH_SPAN] = len(old.bounds)
    last = len(new.bounds) - 1
    for index, bound in enumerate(new.bounds):
        was = was_at.get(bound)
        end = new.bounds[index + 1] if index < last else slices.HASH_SPAN
        if was is not None and was_at.get(end) == was + 1:
            yield index, was
