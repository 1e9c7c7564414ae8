"""Retry budgets: limit the retries to a service to a ratio of its requests.

All entries share a budget without communicating per retry. The operator's bound
holds for each start `a` of a window of length `W`, over all entries:

  retries in [a, a + W] <= ratio * requests + allowance

where `requests` is the largest number of requests in [a, a + W], in
[a - W/2, a + W/2] and in [a - W, a], and `allowance` is fixed. An entry that
compared the retries of one window of its own with its requests in that window
would break it: two bursts may lie in its window and in none of the operator's.

So an entry grants a retry only if its own retries stay within its part of the
bound for every window in which that retry may arrive. Let R be its retries that
may arrive in [a, a + W]: those whose exchange doesn't end before a. Let N0, N1
and N2 be its requests in the three windows, and c its part of the allowance. It
keeps, for each a from W before the grant to the retry's deadline,

  R <= ratio * (N0 + N1 + N2) / 3 + c

Proof that the bound then holds:

1. For one entry: consider the last retry that it grants and that may arrive in
   [a, a + W]. When it was granted, the inequality held for `a`, this retry
   included, with the requests known until then. Afterwards R can only
   shrink, as exchanges end, and N0, N1, N2 can only grow.
2. For all entries: the right sides add up to ratio * (sum of N0 + sum of N1 +
   sum of N2) / 3 + sum of c. The mean of three sums is at most the largest,
   and `entrycounts` shows that the sum of c is at most the allowance. With
   the largest of N0, N1, N2 in place of their mean, this would fail: it may be
   another one at each entry, and their sum exceeds the largest of the sums.
3. A request may have been sent before it was read, by an unknown time (see
   `readychecks`). It counts for a window only if that contains both the
   earliest time at which it may have been sent and the time at which it was
   read.
4. Times are rounded to intervals. The starts that lie in one interval are
   checked together, with the retries that may arrive in the window of any of
   them and the requests that lie in the windows of all of them.

The proof needs that a retry doesn't arrive after its exchange has ended. Its
connection is reset then (see `connections`), so that nothing is held up. It is
taken right before it is sent, so it ends soon where nothing holds it up.
"""

import collections
import dataclasses
import itertools
import math

from lentilmoor.edge import entrycounts
from lentilmoor.edge import ports

# Intervals of a window. One of them is lost to rounding.
INTERVALS = 40
_HALF = INTERVALS // 2
# The earliest of the operator's windows begins two windows ago.
_RETAINED = 2 * INTERVALS + 1
# No request that is known now lies in the windows of later starts.
_LATER = 2 * INTERVALS
# Minimum interval between two summaries of a budget.
SUMMARY_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Requests and retries to one service, by intervals of equal length.

    Attributes:
      newest: Consecutive number of the newest interval.
      sent: Requests of callers in each of the last intervals, by the earliest
        time at which they may have been sent.
      read: The same requests, by when they were read.
      unread_before: Requests that may have been sent before these intervals and
        were read in them.
      ended: Retries that have ended in each of the last intervals, and in the
        next one.
      in_flight: Retries that have not ended, by the interval of their deadline.
      granted: Retries granted since the start.
      refused: Refusals of a retry since the start.
      summarized_at: Time of the last summary, ms.
      summarized: `granted` and `refused` at that time.
    """

    newest: int = 0
    sent: list[int] = dataclasses.field(default_factory=lambda: [0] * _RETAINED)
    read: list[int] = dataclasses.field(default_factory=lambda: [0] * _RETAINED)
    unread_before: int = 0
    ended: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (_RETAINED + 1))
    in_flight: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter)
    granted: int = 0
    refused: int = 0
    summarized_at: float = -math.inf
    summarized: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The use of a budget, for logs.

    Attributes:
      granted: Retries granted since the previous summary.
      refused: Retries refused since the previous summary.
      retries: Retries in the window.
      operator_windows: Requests in the windows by which the operator may count
        these retries: the same one, one half a window earlier, and the one
        before.
      left: Retries that may be sent now; negative after a share has shrunk.
    """

    granted: int
    refused: int
    retries: int
    operator_windows: tuple[int, int, int]
    left: int


def record_request(budget: RetryBudget, bounds: ports.Bounds, sent_at: float,
                   now: float) -> None:
    """Records a caller's request for the service.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      sent_at: The earliest time at which it may have been sent, ms.
      now: Current time, ms.
    """
    _advance(budget, bounds, now)
    budget.read[-1] += 1
    oldest = budget.newest - _RETAINED + 1
    # An unknown age is infinite.
    sent_at = max(min(sent_at, now), now - 3 * bounds.retry_window_ms)
    interval = _find_interval(bounds, sent_at)
    if interval < oldest:
        budget.unread_before += 1
    else:
        budget.sent[interval - oldest] += 1


def has_retry(budget: RetryBudget, bounds: ports.Bounds,
              share: entrycounts.Share, deadline_at: float, now: float) -> bool:
    """Returns whether a retry is left; counts a refusal if none is.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      share: This entry's share of the fixed allowance.
      deadline_at: When the exchange of the retry will have ended, ms.
      now: Current time, ms.
    """
    _advance(budget, bounds, now)
    deadline = _find_interval(bounds, deadline_at)
    if _find_left(budget, bounds, share, deadline) >= 1:
        return True
    budget.refused += 1
    return False


def take_retry(budget: RetryBudget, bounds: ports.Bounds,
               share: entrycounts.Share, deadline_at: float,
               now: float) -> bool:
    """Takes a retry from the budget; returns whether one was left.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      share: This entry's share of the fixed allowance.
      deadline_at: When the exchange of the retry will have ended, ms.
      now: Current time, ms.
    """
    if not has_retry(budget, bounds, share, deadline_at, now):
        return False
    budget.in_flight[_find_interval(bounds, deadline_at)] += 1
    budget.granted += 1
    return True


def end_retry(budget: RetryBudget, bounds: ports.Bounds, deadline_at: float,
              arrived_by: float, now: float) -> None:
    """Records that a retry is no longer in flight.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      deadline_at: As the retry was taken with, ms.
      arrived_by: When it had arrived, or can't arrive any more, ms.
      now: Current time, ms.
    """
    _advance(budget, bounds, now)
    deadline = _find_interval(bounds, deadline_at)
    budget.in_flight[deadline] -= 1
    if not budget.in_flight[deadline]:
        del budget.in_flight[deadline]
    age = budget.newest - _find_interval(bounds, arrived_by)
    budget.ended[-2 - max(-1, age)] += 1


def summarize(budget: RetryBudget, bounds: ports.Bounds,
              share: entrycounts.Share, now: float) -> Summary | None:
    """Returns the use of a budget since the last summary.

    Args:
      budget: Budget of the service.
      bounds: Limits set by the operator.
      share: This entry's share of the fixed allowance.
      now: Current time, ms.

    Returns:
      The summary; None if the last one is too recent.
    """
    if now - budget.summarized_at < SUMMARY_INTERVAL_MS:
        return None
    granted, refused = budget.summarized
    summary = Summary(
        budget.granted - granted, budget.refused - refused,
        sum(budget.ended[-INTERVALS - 1:]) + budget.in_flight.total(),
        _count_operator_windows(budget),
        math.floor(_find_left(budget, bounds, share, budget.newest)))
    budget.summarized_at = now
    budget.summarized = (budget.granted, budget.refused)
    return summary


def _find_left(budget: RetryBudget, bounds: ports.Bounds,
               share: entrycounts.Share, deadline: int) -> float:
    """Returns how many retries all windows leave; may be negative.

    A retry that is sent now may arrive in windows that start in the newest
    interval, in one of the `INTERVALS` before it, or in a later one until its
    deadline. The retries that may arrive in a later window change only at
    deadlines, and fewer of the known requests lie in it the later it starts.
    """
    read, sent = _accumulate_requests(budget)
    ended = list(itertools.accumulate(budget.ended, initial=0))
    arrived, end = ended[-1], _RETAINED
    in_flight = budget.in_flight.total()
    left = min(bounds.retry_ratio * _find_mean(read, sent, start) - in_flight -
               arrived + ended[start]
               for start in range(end - 1 - INTERVALS, end))
    for later in {deadline, *budget.in_flight}:
        if not budget.newest < later <= deadline:
            continue
        start = min(end - 1 + later - budget.newest, end + INTERVALS)
        arriving = arrived - ended[min(end + 1, start)] + sum(
            count for at, count in budget.in_flight.items() if at >= later)
        left = min(
            left,
            bounds.retry_ratio * _find_mean(read, sent, start) - arriving)
    return left + share.divide(bounds.retry_slack)


def _find_mean(read: list[int], sent: list[int], start: int) -> float:
    """Returns the mean of the operator's counts for windows from an interval.

    Args:
      read: As `_accumulate_requests` returns it.
      sent: The same.
      start: The interval in which the windows start; may be a later one.
    """
    same = read[start + INTERVALS] - sent[start + 1]
    half = read[start + _HALF] - sent[start + 1 - _HALF]
    before = read[start] - sent[start + 1 - INTERVALS]
    return ((same if same > 0 else 0) + (half if half > 0 else 0) +
            (before if before > 0 else 0)) / 3


def _accumulate_requests(budget: RetryBudget) -> tuple[list[int], list[int]]:
    """Returns the requests before each interval, as read and as sent at worst.

    read[j] - sent[i] requests or more were sent from interval i to the end of
    interval j - 1. Both go on for later intervals, in which none are known.
    """
    read = list(itertools.accumulate(budget.read, initial=0))
    sent = list(itertools.accumulate(budget.sent, initial=budget.unread_before))
    read.extend(_LATER * read[-1:])
    sent.extend(_LATER * sent[-1:])
    return read, sent


def _count_operator_windows(budget: RetryBudget) -> tuple[int, int, int]:
    """Returns the operator's counts of requests for the oldest window."""
    read, sent = _accumulate_requests(budget)
    end = len(budget.read)
    same, half, before = (max(0, read[last] - sent[last - INTERVALS])
                          for last in (end, end - _HALF, end - INTERVALS))
    return same, half, before


def _advance(budget: RetryBudget, bounds: ports.Bounds, now: float) -> None:
    """Makes the interval of the current time the newest one."""
    number = _find_interval(bounds, now)
    passed = number - budget.newest
    if passed <= 0:
        return
    for counts in (budget.sent, budget.read, budget.ended):
        counts.extend([0] * min(passed, _RETAINED))
    budget.unread_before += (sum(budget.sent[:-_RETAINED]) -
                             sum(budget.read[:-_RETAINED]))
    del budget.sent[:-_RETAINED]
    del budget.read[:-_RETAINED]
    del budget.ended[:-_RETAINED - 1]
    budget.newest = number


def _find_interval(bounds: ports.Bounds, at: float) -> int:
    return math.floor(at * INTERVALS / bounds.retry_window_ms)
