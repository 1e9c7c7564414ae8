"""A bounded summary of the points that cost most (Misra-Gries).

At most twice `capacity` points are kept. A point that costs more than its
share of 1/(capacity + 1) of the whole is always among them, and no point's
cost is overstated.
"""

from collections.abc import Iterable
import dataclasses

CAPACITY = 256


@dataclasses.dataclass(slots=True)
class Sketch:
    """A summary.

    Attributes:
      capacity: Points kept by a cut; fewer than twice as many between cuts.
      costs: Cost by point, low by at most `undercount`.
      undercount: What the cuts took from a point at most.
    """

    capacity: int = CAPACITY
    costs: dict[int, float] = dataclasses.field(default_factory=dict)
    undercount: float = 0.0


def add(sketch: Sketch, points: Iterable[int], costs: Iterable[float]) -> None:
    """Adds costs of points; constant time each but for a cut now and then."""
    sums = sketch.costs
    most = 2 * sketch.capacity
    for point, cost in zip(points, costs, strict=True):
        sums[point] = sums.get(point, 0.0) + cost
        if len(sums) >= most:
            _cut(sketch)
            sums = sketch.costs


def _cut(sketch: Sketch) -> None:
    ranked = sorted(sketch.costs.values(), reverse=True)
    floor = ranked[sketch.capacity]
    sketch.costs = {
        point: cost - floor
        for point, cost in sketch.costs.items()
        if cost > floor
    }
    sketch.undercount += floor


def scale(sketch: Sketch, factor: float) -> None:
    """Multiplies all costs."""
    costs = sketch.costs
    sketch.costs = {point: costs[point] * factor for point in costs}
    sketch.undercount *= factor


def find_hottest(sketch: Sketch, count: int) -> list[tuple[int, float]]:
    """Returns up to `count` (point, cost) pairs, dearest first."""
    ranked = sorted(sketch.costs.items(), key=lambda item: (-item[1], item[0]))
    return ranked[:count]
