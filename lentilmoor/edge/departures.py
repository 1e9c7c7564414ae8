"""Decides which requests an entry still sends during its shutdown.

A caller whose request is refused at once can use another entry, whereas the
outcome of a request that is interrupted by the end of the process is unknown.
So a request is sent only if its answer is expected before that end.
"""

import dataclasses
import math

from lentilmoor import outcomes

# Time until the load balancer sends new callers to other entries. Requests that
# arrive later are refused.
BALANCER_DELAY_MS = 3_000.0
# Requests in flight are aborted this long before SIGKILL.
KILL_MARGIN_MS = 400.0
# If the last check for SIGTERM is older, the signal may have been sent.
MAX_CHECK_AGE_MS = 1_000.0
# The standard deviation of processing times is as large as their mean: one
# request in twenty takes longer than expected by this factor.
SLOW_ANSWER_FACTOR = 3.0
# When callers may retry at another entry, ms.
RETRY_AFTER_MS = 60


@dataclasses.dataclass(slots=True)
class Departure:
    """Deadlines of the shutdown of this process.

    SIGTERM may be received long after it was sent, while the grace period is
    already running. So all times are relative to the latest time at which it
    had certainly not been sent.

    Attributes:
      sigterm_received: Whether SIGTERM has been received.
      checked_at: Latest time by which SIGTERM had certainly not been sent, ms.
      last_arrival_at: Requests that arrive later are refused, ms.
      ends_at: When requests in flight are aborted if SIGTERM was sent right
        after `checked_at`, ms.
    """

    sigterm_received: bool = False
    checked_at: float = math.inf
    last_arrival_at: float = math.inf
    ends_at: float = math.inf


def record_sigterm_absent(departure: Departure, grace_ms: float,
                          checked_at: float) -> None:
    """Records that SIGTERM had not been sent by a time.

    Args:
      departure: The deadlines; updated.
      grace_ms: Time from SIGTERM to SIGKILL.
      checked_at: Time by which SIGTERM had not been sent, ms.
    """
    departure.checked_at = checked_at
    departure.ends_at = checked_at + max(0.0, grace_ms - KILL_MARGIN_MS)
    departure.last_arrival_at = min(checked_at + BALANCER_DELAY_MS,
                                    departure.ends_at)


def find_deadline(departure: Departure, now: float) -> float:
    """Returns the deadline of all requests, ms; inf without a shutdown."""
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


def refuse_late_send(departure: Departure, deadline_at: float, idempotent: bool,
                     expected_ms: float, now: float) -> outcomes.NotRun | None:
    """Returns the refusal of a request that may not be answered in time.

    Args:
      departure: The deadlines of the shutdown.
      deadline_at: When the request times out, ms.
      idempotent: Whether it may be run more than once. Its caller may then
        retry if it is interrupted after all.
      expected_ms: Expected time until its answer.
      now: Current time, ms.

    Returns:
      The refusal, or None if the request may be sent.
    """
    ends_at = find_deadline(departure, now)
    if deadline_at <= ends_at:
        return None
    if idempotent and now + SLOW_ANSWER_FACTOR * expected_ms <= ends_at:
        return None
    return _refuse()


def _refuse() -> outcomes.NotRun:
    return outcomes.NotRun(outcomes.Reason.SHUTTING_DOWN,
                           'this entry is shutting down', RETRY_AFTER_MS)
