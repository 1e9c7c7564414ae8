"""Retry budgets: limit the retries to a service to a ratio of its requests.

All entries share a budget without communicating per retry. Each entry applies
the ratio to its own requests, so the ratio holds for all of them together; the
fixed allowance is divided by the number of entries.
"""

import collections
import dataclasses
import math

from lentilmoor.edge import ports

# Fraction of the allowed retries that is used. The rest covers differences
# between the counts of entries at the edges of a window.
USED_FRACTION = 0.8
_BUCKET_MS = 500.0


@dataclasses.dataclass(slots=True)
class TimeBucket:
    """Counts of requests and retries in one interval of the window.

    Attributes:
      number: Consecutive number of the interval.
      requests: Requests of callers.
      retries: Retries.
    """

    number: int
    requests: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Requests and retries to one service within the window.

    Attributes:
      buckets: Counts of the window, the oldest first.
      entry_started_at: When the entry started, ms.
    """

    buckets: collections.deque[TimeBucket] = dataclasses.field(
        default_factory=collections.deque)
    entry_started_at: float = -math.inf


def record_request(budget: RetryBudget, bounds: ports.Bounds,
                   now: float) -> None:
    """Records a caller's request for the service."""
    _find_bucket(budget, bounds, now).requests += 1


def take_retry(budget: RetryBudget, bounds: ports.Bounds, entries: int,
               now: float) -> bool:
    """Takes a retry from the budget; returns whether one was left.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      entries: Number of entries that share the fixed allowance.
      now: Current time, ms.
    """
    bucket = _find_bucket(budget, bounds, now)
    requests = sum(item.requests for item in budget.buckets)
    retries = sum(item.retries for item in budget.buckets)
    fixed_allowance = bounds.retry_slack / max(1, entries)
    if now < budget.entry_started_at + bounds.retry_window_ms:
        # An earlier process of this entry may have used the fixed allowance in
        # the same window.
        fixed_allowance = 0.0
    max_retries = USED_FRACTION * (bounds.retry_ratio * requests +
                                   fixed_allowance)
    if retries + 1 > max_retries:
        return False
    bucket.retries += 1
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
