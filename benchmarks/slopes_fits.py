"""Lines through measured points: what a row adds, and what is paid at rest."""

from collections.abc import Sequence
import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through points of (rows, value).

    Attributes:
      points: What was measured.
      base: Value at no rows.
      slope: What each row adds.
    """

    points: tuple[tuple[float, float], ...]
    base: float
    slope: float

    def at(self, rows: float) -> float:
        """Returns the value at so many rows.

        Between measured sizes it follows the points, beyond them the last
        two of them; so a line that bends is not taken for a straight one.
        """
        for (low, under), (high, over) in itertools.pairwise(self.points):
            if rows <= high or high == self.points[-1][0]:
                return under + (rows - low) * (over - under) / (high - low)
        return self.base


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fits a line with least squares of relative errors.

    Args:
      points: At least two of different rows, ascending; values above 0.
    """
    weights = [1 / value**2 for _, value in points]
    total = sum(weights)
    middle = sum(
        w * rows for w, (rows, _) in zip(weights, points, strict=True)) / total
    mean = sum(w * value
               for w, (_, value) in zip(weights, points, strict=True)) / total
    spread = sum(w * (rows - middle)**2
                 for w, (rows, _) in zip(weights, points, strict=True))
    slope = sum(
        w * (rows - middle) * (value - mean)
        for w, (rows, value) in zip(weights, points, strict=True)) / spread
    return Line(tuple(points), mean - slope * middle, slope)
