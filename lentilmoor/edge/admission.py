"""Admission control: whether a request is sent to a server or refused.

Protects against overload: bursts, hot keys and servers that shed load. A
request is admitted if it is expected to be answered before its deadline. The
caller of a refused request is told immediately when to retry: when the excess
load is expected to have been processed.

The latency goal isn't used. In the load model, admitting only requests that
meet their goal while a queue persists lowered the value earned by 0.01 to 0.03:
a queue of a few requests is too short to build up, and its length too noisy a
signal.
"""

import dataclasses

# Limits of the retry delay of a refused caller. The delay is the time after
# which the excess load is expected to have been processed, but at least a
# fraction of the time left until the deadline. With a shorter delay the retry
# would meet the same queue; with a longer one it might come after the deadline.
MIN_RETRY_AFTER_MS = 40.0
RETRY_AFTER_FRACTION = 0.15
MAX_RETRY_AFTER_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Expected response time of a request at a server.

    Attributes:
      expected_ms: Expected time until the response.
      full: Whether the server would probably reject the request.
      left_ms: Time left until the request's deadline.
    """

    expected_ms: float
    full: bool
    left_ms: float


def find_retry_after(estimate: WaitEstimate) -> float | None:
    """Returns the retry delay of a request that isn't admitted.

    Args:
      estimate: Expected response time of the request.

    Returns:
      None if the request is admitted, otherwise the delay after which its
      caller may retry, ms.
    """
    if not estimate.full and estimate.expected_ms <= estimate.left_ms:
        return None
    return clamp_retry_after(
        max(estimate.expected_ms - estimate.left_ms,
            estimate.left_ms * RETRY_AFTER_FRACTION))


def clamp_retry_after(excess_ms: float) -> float:
    """Returns the retry delay of a refused caller, ms, within its limits.

    Args:
      excess_ms: Time until the excess load is expected to be processed.
    """
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms))
