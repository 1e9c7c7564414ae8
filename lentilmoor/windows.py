"""Sums that decay forwards: the ground of moving means.

What is added at time t counts exp((t - landmark) / length), so that no sweep
is needed as time passes; the landmark moves now and then.
"""

from array import array
import dataclasses
import math

from lentilmoor import clocks
from lentilmoor import sketches

_LARGEST_EXPONENT = 40.0


@dataclasses.dataclass(slots=True)
class Window:
    """Weighted sums, one row for each slice.

    Attributes:
      length_ms: Time constant.
      landmark: When the weight of an addition is 1, ms.
      costs: Service time by slice; typecode d.
      requests: Requests by slice, if they are counted; typecode d.
      counted: Whether requests are counted.
      sketch: The points that cost most.
    """

    length_ms: float
    landmark: float
    costs: array
    requests: array
    counted: bool
    sketch: sketches.Sketch


def make_window(length_ms: float, now: float, count: int, counted: bool,
                capacity: int) -> Window:
    """Returns empty sums.

    Args:
      length_ms: Time constant.
      now: Time, ms.
      count: Rows.
      counted: Whether requests are counted.
      capacity: Hot points kept.
    """
    window = Window(length_ms, now, array('d'), array('d'), counted,
                    sketches.Sketch(capacity))
    empty(window, count)
    return window


def empty(window: Window, count: int) -> None:
    """Sets a number of rows to zero; the sketch stays."""
    window.costs = array('d', [0.0]) * count
    window.requests = array('d', [0.0]) * (count if window.counted else 0)


def weigh(window: Window, now: float) -> float:
    """Returns the weight of an addition; moves a landmark long past."""
    exponent = (now - window.landmark) / window.length_ms
    if exponent <= _LARGEST_EXPONENT:
        return math.exp(exponent)
    factor = math.exp(-exponent)
    window.landmark = now
    window.costs = array('d', (cost * factor for cost in window.costs))
    window.requests = array('d', (item * factor for item in window.requests))
    sketches.scale(window.sketch, factor)
    return 1.0


def fill_of(window: Window, observed_ms: float) -> float:
    """Returns the seconds that a mean rests on after a time of observation."""
    length_s = window.length_ms / clocks.MS_PER_S
    share = 1.0 - math.exp(-max(observed_ms, 1.0) / window.length_ms)
    return length_s * share
