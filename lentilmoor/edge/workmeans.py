"""Mean processing times of servers, from the responses to all entries.

The standard deviation of processing times is about as large as their mean, so
100 responses determine a server's mean to within 10%. A server that becomes
slow or recovers is distinguished from random variation by its recent responses:
the mean restarts when their mean differs from it by a large factor.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Weight of the newest response in a mean of many.
NEWEST_WEIGHT = 0.01
# Weight of the newest response in the mean of the recent ones, about a dozen.
RECENT_WEIGHT = 0.15
# The mean restarts when the mean of the recent responses is more than the first
# or less than the second factor times the mean. The factors are far enough
# apart that a few long requests in a row aren't mistaken for a slow server.
SLOWER_FACTOR, FASTER_FACTOR = 3.0, 0.3
# Number of responses that a restarted mean counts for, and after which a mean
# may restart.
MIN_ANSWERS = 8
# Number of responses with the service's mean that are added to a server's own.
# Without them, a single long first response made entries refuse requests for
# which the server had capacity.
PRIOR_ANSWERS = 2


@dataclasses.dataclass(slots=True)
class WorkMean:
    """Mean processing time of a server.

    Attributes:
      ms: The mean.
      count: Number of responses that the mean counts for.
      recent_ms: Exponentially weighted mean of the recent responses.
    """

    ms: float = 0.0
    count: int = 0
    recent_ms: float = 0.0


def record(mean: WorkMean, work_ms: float) -> None:
    """Adds the processing time of a response; restarts the mean if needed."""
    mean.count += 1
    mean.ms = update_mean(mean.ms, mean.count, NEWEST_WEIGHT, work_ms)
    mean.recent_ms = update_mean(mean.recent_ms, mean.count, RECENT_WEIGHT,
                                 work_ms)
    changed = not (mean.ms * FASTER_FACTOR <= mean.recent_ms <=
                   mean.ms * SLOWER_FACTOR)
    if mean.count > MIN_ANSWERS and changed:
        mean.ms, mean.count = mean.recent_ms, MIN_ANSWERS


def update_mean(mean_ms: float, count: int, newest_weight: float,
                work_ms: float) -> float:
    """Returns a running mean with one more response.

    It is the arithmetic mean of the first responses, and exponentially weighted
    after that.

    Args:
      mean_ms: The mean before.
      count: Number of responses, including this one.
      newest_weight: Weight of the newest response in a mean of many.
      work_ms: Processing time of the response.
    """
    return mean_ms + max(newest_weight, 1.0 / count) * (work_ms - mean_ms)


def blend_means(mean_ms: float, count: int, newest_weight: float,
                service_ms: float) -> float:
    """Returns a server's mean, shrunk towards the mean of its service.

    The fewer responses the server's mean counts for, the closer the result is
    to the mean of the service.

    Args:
      mean_ms: The server's own mean.
      count: Number of responses that it counts for.
      newest_weight: Weight of the newest response in a mean of many.
      service_ms: Mean of the service.
    """
    weight = min(count, 1 / newest_weight)
    return (weight * mean_ms + PRIOR_ANSWERS * service_ms) / (weight +
                                                              PRIOR_ANSWERS)


def average_means(means: Iterable[WorkMean]) -> float:
    """Returns the mean over servers, weighted by responses; 0 if unknown."""
    means = list(means)
    count = sum(item.count for item in means)
    return sum(item.ms * item.count for item in means) / count if count else 0.0


def estimate_means(means: Mapping[str, WorkMean],
                   names: Iterable[str]) -> dict[str, float]:
    """Returns the mean processing times of servers, ms; empty if none is known.

    For a server with few responses, the mean of the service dominates.

    Args:
      means: Known means, by server id.
      names: Ids of the servers of one service.
    """
    names = list(names)
    service_ms = average_means(means[name] for name in names if name in means)
    if not service_ms:
        return {}
    estimates = {}
    for name in names:
        mean = means.get(name, _UNKNOWN)
        estimates[name] = round(
            blend_means(mean.ms, mean.count, NEWEST_WEIGHT, service_ms), 1)
    return estimates


_UNKNOWN = WorkMean()
