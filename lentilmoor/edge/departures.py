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
BALANCER_DELAY_MS = 3_000.0
# Requests under way are given up so long before SIGKILL.
KILL_MARGIN_MS = 400.0
# A process that hasn't checked for SIGTERM for longer may be about to end.
MAX_CHECK_AGE_MS = 1_000.0
# Times of work vary as much as their mean: one in twenty takes so many times as
# long as expected.
SLOW_ANSWER_FACTOR = 3.0
# Time to come back, at another entry.
RETRY_AFTER_MS = 60


@dataclasses.dataclass(slots=True)
class Departure:
    """When this process ends.

    SIGTERM may be noticed long after it was sent, and the grace period runs
    meanwhile. So all times are counted from when it had surely not been sent.

    Attributes:
      sigterm_received: Whether SIGTERM has been noticed.
      checked_at: It had surely not been sent by then, ms.
      last_arrival_at: Requests that arrive later are refused, ms.
      ends_at: When requests under way are given up if SIGTERM came right after
        `checked_at`, ms.
    """

    sigterm_received: bool = False
    checked_at: float = math.inf
    last_arrival_at: float = math.inf
    ends_at: float = math.inf


def record_sigterm_absent(departure: Departure, grace_ms: float,
                          checked_at: float) -> None:
    """Notes that nobody had asked the process to end by a time.

    Args:
      departure: What is changed.
      grace_ms: From SIGTERM to SIGKILL.
      checked_at: SIGTERM had not been sent by then, ms.
    """
    departure.checked_at = checked_at
    departure.ends_at = checked_at + max(0.0, grace_ms - KILL_MARGIN_MS)
    departure.last_arrival_at = min(checked_at + BALANCER_DELAY_MS,
                                    departure.ends_at)


def find_deadline(departure: Departure, now: float) -> float:
    """Returns when requests have to be over, ms; inf if the process stays."""
    if (not departure.sigterm_received and
            now - departure.checked_at <= MAX_CHECK_AGE_MS):
        return math.inf
    return departure.ends_at


def refuse_late_arrival(departure: Departure,
                        arrived_at: float) -> outcomes.NotRun | None:
    """Returns the refusal of a request that arrived too late, or None."""
    if arrived_at <= departure.last_arrival_at:
        return None
    return _refuse()


def refuse_late_send(departure: Departure, until: float, repeatable: bool,
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
    ends_at = find_deadline(departure, now)
    if until <= ends_at:
        return None
    if repeatable and now + SLOW_ANSWER_FACTOR * expected_ms <= ends_at:
        return None
    return _refuse()


def _refuse() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.SHUTTING_DOWN,
                           'this entry is about to end', RETRY_AFTER_MS)
