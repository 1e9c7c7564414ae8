"""How many requests one entry may have in flight to one server.

Load reports lag and mislead, so the limit follows the measured time from
sending to the answer: it shrinks when that grows well beyond what the server
takes when it is not crowded, and grows again when it falls back. Times are
compared by their geometric means, which a few long downloads hardly move.
"""

import dataclasses
import math

WINDOW = 32
SHRINK_RATIO = 3.0
GROW_RATIO = 2.0
SHRINK_FACTOR = 0.7
RAMP_REQUESTS = 20  # Served before the limit of a cold server grows by 1.
PIPELINE_ABOVE = 0.05
PIPELINE_BELOW = 0.03
_LEAST_MS = 0.001
_FALL_WEIGHT = 0.25
_RISE_WEIGHT = 0.005


@dataclasses.dataclass(slots=True)
class Limiter:
    """The limit of one server and what it is adapted from.

    Attributes:
      ceiling: Highest limit.
      limit: Requests that may be in flight.
      baseline: Logarithm of the response time when the server is not crowded.
        It follows the means over windows quickly down and slowly up, so that a
        server that got slower for good gets a new one. None until a window is
        full.
      total: Sum of the logarithms of the response times in this window.
      count: Responses in this window.
      crowded: Whether the limit was reached in this window.
    """

    ceiling: int
    limit: int
    baseline: float | None = None
    total: float = 0.0
    count: int = 0
    crowded: bool = False


def make_limiter(ceiling: int) -> Limiter:
    """Returns a limiter that starts at its ceiling."""
    return Limiter(ceiling, ceiling)


def set_ceiling(limiter: Limiter, ceiling: int) -> None:
    """Moves the ceiling, and with it a limit that stood at the old one."""
    if limiter.limit >= min(limiter.ceiling, ceiling):
        limiter.limit = ceiling
    limiter.ceiling = ceiling


def observe(limiter: Limiter, response_ms: float, in_flight: int) -> None:
    """Takes one response into account.

    Args:
      limiter: Changed in place.
      response_ms: From sending to the whole answer.
      in_flight: Requests in flight when it ended, itself included.
    """
    limiter.total += math.log(max(response_ms, _LEAST_MS))
    limiter.count += 1
    if in_flight >= limiter.limit:
        limiter.crowded = True
    if limiter.count >= WINDOW:
        _close_window(limiter)


def pick_pipeline(pipeline: int, gap_ms: float, response_ms: float) -> int:
    """Returns how many requests to send beyond a server's slots, 0 or 1.

    One keeps the slots busy during the gap between an answer and the next
    request, and costs an urgent request the wait behind it. It is worth that
    only if the gap is a fair part of the time. The two thresholds keep the
    choice from flapping, since a pipelined response takes longer.

    Args:
      pipeline: The present choice.
      gap_ms: From the server's answer to the next request's arrival there.
      response_ms: Mean time from sending to the answer.
    """
    if gap_ms > PIPELINE_ABOVE * response_ms:
        return 1
    if gap_ms < PIPELINE_BELOW * response_ms:
        return 0
    return pipeline


def back_off(limiter: Limiter) -> None:
    """Shrinks the limit at once: the server refused a request for load."""
    limiter.limit = max(1, int(limiter.limit * SHRINK_FACTOR))


def ramp(ceiling: int, served: int, age_ms: float, warm_up_ms: float) -> int:
    """Returns the limit of a server that came up cold.

    The limit grows with the requests served, since they are what warms a
    server: a ramp by time alone starves a server that is only a little cold.

    Args:
      ceiling: The limit at the end of the ramp.
      served: Requests served since it came up.
      age_ms: Time since it came up.
      warm_up_ms: When the ramp ends in any case.
    """
    if age_ms >= warm_up_ms:
        return ceiling
    return min(ceiling, 1 + served // RAMP_REQUESTS)


def _close_window(limiter: Limiter) -> None:
    mean = limiter.total / limiter.count
    crowded = limiter.crowded
    limiter.total = 0.0
    limiter.count = 0
    limiter.crowded = False
    if limiter.baseline is None:
        limiter.baseline = mean
    rise = mean - limiter.baseline
    limiter.baseline += rise * (_FALL_WEIGHT if rise < 0 else _RISE_WEIGHT)
    if rise > math.log(SHRINK_RATIO):
        back_off(limiter)
    elif crowded and rise < math.log(GROW_RATIO):
        limiter.limit = min(limiter.ceiling, limiter.limit + 1)
