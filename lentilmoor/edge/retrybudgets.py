"""Repeats to a service, kept under a share of the requests for it.

All entries share the budget without a call per repeat: the share of requests
adds up by itself, as each entry allows it of its own requests; the fixed part
is divided by the number of entries.
"""

import collections
import dataclasses
import math

from lentilmoor.edge import ports

# Part of what is allowed that is used; the rest covers entries that count
# differently at the edges of a window.
USED_PART = 0.8
_STEP_MS = 500.0


@dataclasses.dataclass(slots=True)
class Step:
    """Counts of one step of the window."""

    number: int
    requests: int = 0
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class Budget:
    """Requests and repeats to one service within the window.

    Attributes:
      steps: Counts of the window.
      began_at: When the entry started, ms.
    """

    steps: collections.deque[Step] = dataclasses.field(
        default_factory=collections.deque)
    began_at: float = -math.inf


def note_request(budget: Budget, bounds: ports.Bounds, now: float) -> None:
    """Counts a caller's request for the service."""
    _current(budget, bounds, now).requests += 1


def take_repeat(budget: Budget, bounds: ports.Bounds, entries: int,
                now: float) -> bool:
    """Takes a repeat from the budget, if there is one left.

    Args:
      budget: The service's.
      bounds: What the operator allows.
      entries: Entries that share the fixed part.
      now: ms.
    """
    step = _current(budget, bounds, now)
    requests = sum(item.requests for item in budget.steps)
    repeats = sum(item.repeats for item in budget.steps)
    fixed = bounds.retry_slack / max(1, entries)
    if now < budget.began_at + bounds.retry_window_ms:
        # An earlier process of this entry may have used it.
        fixed = 0.0
    allowed = USED_PART * (bounds.retry_ratio * requests + fixed)
    if repeats + 1 > allowed:
        return False
    step.repeats += 1
    return True


def _current(budget: Budget, bounds: ports.Bounds, now: float) -> Step:
    number = int(now // _STEP_MS)
    oldest = number - int(bounds.retry_window_ms // _STEP_MS)
    while budget.steps and budget.steps[0].number < oldest:
        budget.steps.popleft()
    if not budget.steps or budget.steps[-1].number != number:
        budget.steps.append(Step(number))
    return budget.steps[-1]
