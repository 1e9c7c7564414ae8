"""Which requests an entry still sends once it has been asked to end.

Callers can go to another entry if they are told at once; a request that the end
of the process interrupts may have run, and nobody knows. So a request is sent
only if its answer is due before that end.
"""

import dataclasses
import math

from lentilmoor import outcomes

# The balancer needs so long to send new callers elsewhere. Requests that arrive
# later are refused.
LAST_ARRIVAL_MS = 3_000.0
# Requests under way are given up so long before SIGKILL.
MARGIN_MS = 400.0
# Times of work vary as much as their mean: one in twenty takes so many times as
# long as expected.
LONGEST = 3.0
# Time to come back, at another entry.
RETRY_MS = 60


@dataclasses.dataclass(slots=True)
class Departure:
    """When this process ends.

    Attributes:
      asked_after: Nobody had asked the process to end by then, ms.
      last_arrival_at: Requests that arrive later are refused, ms.
      ends_at: When requests under way are interrupted, ms; inf as long as
        nobody has asked the process to end.
    """

    asked_after: float = -math.inf
    last_arrival_at: float = math.inf
    ends_at: float = math.inf


def begin(departure: Departure, grace_ms: float, now: float) -> None:
    """Notes that the process was asked to end.

    Args:
      departure: What is changed.
      grace_ms: From now to the kill.
      now: ms.
    """
    departure.ends_at = now + max(0.0, grace_ms - MARGIN_MS)
    departure.last_arrival_at = min(now + LAST_ARRIVAL_MS, departure.ends_at)


def check_arrival(departure: Departure,
                  arrived_at: float) -> outcomes.NotRun | None:
    """Returns the refusal of a request that arrived too late, or None."""
    if arrived_at <= departure.last_arrival_at:
        return None
    return _refuse()


def check_send(departure: Departure, until: float, repeatable: bool,
               expected_ms: float, now: float) -> outcomes.NotRun | None:
    """Returns the refusal of a request that can't be answered in time, or None.

    Args:
      departure: When the process ends.
      until: When the request is given up, ms.
      repeatable: Whether it may be run more than once. Its caller may then send
        it again if it is interrupted after all.
      expected_ms: Expected time to its answer.
      now: ms.
    """
    if until <= departure.ends_at:
        return None
    if repeatable and now + LONGEST * expected_ms <= departure.ends_at:
        return None
    return _refuse()


def _refuse() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.SHUTTING_DOWN,
                           'this entry is about to end', RETRY_MS)
