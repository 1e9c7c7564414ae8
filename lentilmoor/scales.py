"""What a plan is weighed by: fair shares, tolerances, prices and gains.

Prices and gains are milliseconds of servers' work, so that a move's gain over
a horizon can be held against its cold starts and the requests that it holds.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilmoor import bins as bins_lib
from lentilmoor import clocks
from lentilmoor import models
from lentilmoor import plans

# How many standard deviations of a load's noise make no move.
_NOISE_DEVIATIONS = 1.5
# What a move costs by itself, in ms of work: messages and a larger map.
_MOVE_MS = 100.0
_WIDEST = 0.12
_SMALLEST_FACTOR = 0.5
_LARGEST_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class Scale:
    """What a draft is weighed by.

    Attributes:
      level: Fair load of one slot, ms per second.
      tolerance: Load over the fair share that makes no move by itself.
      weights: The team's weights.
      limits: Bounds and prices.
    """

    level: float
    tolerance: float
    weights: models.Weights
    limits: plans.Limits


def make_scale(total: float, bins: Iterable[bins_lib.Bin],
               weights: models.Weights, limits: plans.Limits) -> Scale:
    """Returns the scale of a draft.

    Args:
      total: Cost of all slices, ms per second.
      bins: The servers; one at least accepts slices.
      weights: The team's weights.
      limits: Bounds and prices.
    """
    slots = sum(item.carries for item in bins)
    return Scale(total / slots, limits.tolerance * _find_factor(weights),
                 weights, limits)


def _find_factor(weights: models.Weights) -> float:
    """Returns how the tolerance grows with what moves cost a team."""
    if weights.imbalance <= 0.0:
        return _LARGEST_FACTOR
    # Bands of a policy with fixed costs grow with the root of their ratio.
    dearness = (weights.unavailable + weights.churn) / 2.0
    factor = math.sqrt(dearness / weights.imbalance)
    return min(max(factor, _SMALLEST_FACTOR), _LARGEST_FACTOR)


def widen(scale: Scale, bins: Iterable[bins_lib.Bin]) -> None:
    """Widens the tolerance beside a key that exceeds a fair share.

    No move lowers the peak below that key; the others need only stay clear of
    it, and moves among them would be churn for little.
    """
    highest = max(
        item.oversized / item.carries for item in bins if item.carries)
    spare = (highest / scale.level - 1.0) / 2.0 if scale.level else 0.0
    scale.tolerance = max(scale.tolerance, min(spare, _WIDEST))


def find_settled(item: bins_lib.Bin, scale: Scale) -> float:
    """Returns the load down to which a bin is relieved, ms per second."""
    if item.oversized:
        return item.oversized
    return scale.level * item.capacity


def is_overloaded(item: bins_lib.Bin, scale: Scale) -> bool:
    """Returns whether a bin's load is over its tolerance and its noise."""
    if not item.accepts:
        return False
    noise = _NOISE_DEVIATIONS / math.sqrt(max(item.requests, 1.0))
    fair = scale.level * item.capacity
    return item.load > max(fair,
                           item.oversized) + fair * (scale.tolerance + noise)


def find_room(item: bins_lib.Bin, scale: Scale) -> float:
    """Returns the load that a bin may take on before it needs relief."""
    if item.oversized or not item.accepts:
        return 0.0
    warmth = item.accepts / item.capacity
    return find_settled(item, scale) * warmth - item.load


def measure_relief(giver: bins_lib.Bin, taker: bins_lib.Bin, rate: float,
                   scale: Scale) -> float:
    """Returns by how much a move lowers the load over the settled one.

    Args:
      giver: Bin that gives a piece.
      taker: Bin that takes it.
      rate: Cost of the piece, ms per second.
      scale: What is weighed by.

    Returns:
      Milliseconds per second; 0 if the taker would be as loaded as the giver.
    """
    if (taker.load + rate) / taker.capacity >= giver.load / giver.capacity:
        return 0.0
    relieved = min(rate, giver.load - find_settled(giver, scale))
    room = max(find_room(taker, scale), 0.0)
    return relieved - max(rate - room, 0.0)


def find_gain(relief: float, span: int, scale: Scale) -> float:
    """Returns what a relief gains over its horizon, ms of work."""
    horizon = scale.limits.horizon_ms
    if span == 1:
        horizon = scale.limits.hot_horizon_ms
    return relief * scale.weights.imbalance * horizon / clocks.MS_PER_S


def find_price(rate: float, span: int, whole: int, scale: Scale) -> float:
    """Returns what moving a piece costs, ms of work.

    Args:
      rate: Cost of the piece, ms per second.
      span: Points that it covers.
      whole: Points that the map covers.
      scale: What is weighed by.
    """
    limits = scale.limits
    keys = 1.0 + limits.keys * (span - 1) / whole
    cold = scale.weights.churn * limits.cold_start_ms * keys
    wait_s = (limits.hold_ms + limits.cold_start_ms) / clocks.MS_PER_S
    return cold + scale.weights.unavailable * rate * wait_s + _MOVE_MS
