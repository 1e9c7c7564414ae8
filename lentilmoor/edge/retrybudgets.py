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
USED_FRACTION = 0.8
_BUCKET_MS = 500.0


@dataclasses.dataclass(slots=True)
class TimeBucket:
    """Counts of one step of the window."""

    number: int
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Requests and repeats to one service within the window.

    Attributes:
      steps: Counts of the window.
      began_at: When the entry started, ms.
    """

    buckets: collections.deque[TimeBucket] = dataclasses.field(
        default_factory=collections.deque)
    entry_started_at: float = -math.inf


def record_request(budget: RetryBudget, bounds: ports.Bounds,
                   now: float) -> None:
    """Counts a caller's request for the service."""
    _find_bucket(budget, bounds, now).requests += 1


def take_retry(budget: RetryBudget, bounds: ports.Bounds, entries: int,
               now: float) -> bool:
    """Takes a repeat from the budget, if there is one left.

    Args:
      budget: The service's.
      bounds: What the operator allows.
      entries: Entries that share the fixed part.
      now: ms.
    """
    step = _find_bucket(budget, bounds, now)
    requests = sum(item.requests for item in budget.buckets)
    repeats = sum(item.retries for item in budget.buckets)
    fixed = bounds.retry_slack / max(1, entries)
    if now < budget.entry_started_at + bounds.retry_window_ms:
        # An earlier process of this entry may have used it.
        fixed = 0.0
    allowed = USED_FRACTION * (bounds.retry_ratio * requests + fixed)
    if repeats + 1 > allowed:
        return False
    step.retries += 1
    return True


def _find_bucket(budget: RetryBudget, bounds: ports.Bounds,
                 now: float) -> TimeBucket:
    number = int(now // _BUCKET_MS)
    oldest = number - int(bounds.retry_window_ms // _BUCKET_MS)
    while budget.buckets and budget.buckets[0].number < oldest:
        budget.buckets.popleft()
    if not budget.buckets or budget.buckets[-1].number != number:
        budget.buckets.append(TimeBucket(number))
    return budget.buckets[-1]
