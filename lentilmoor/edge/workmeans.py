"""Mean times of work of servers, learned from the answers of all entries.

Times of work vary as much as their mean, so a hundred answers tell a server's
mean to within a tenth. A server that turns slow, or well again, is told from
chance by its last answers: the mean begins anew when they are far off it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Weight of the newest answer once there are many.
NEWEST_WEIGHT = 0.01
# Weight of the newest answer in the mean of the last ones, about a dozen.
RECENT_WEIGHT = 0.15
# The mean begins anew when the mean of the last ones is so many times as large,
# or as small a part of it: far enough apart that a few long requests in a row
# aren't taken for a slow server.
SLOWER_FACTOR, FASTER_FACTOR = 3.0, 0.3
# Answers that a mean counts for that has begun anew, or that needs to be known
# before it can.
MIN_ANSWERS = 8
# Answers of the service's mean that a server is taken to have given besides its
# own: one long answer as the first made entries refuse what a server had room
# for.
PRIOR_ANSWERS = 2


@dataclasses.dataclass(slots=True)
class WorkMean:
    """Mean time of work of a server.

    Attributes:
      ms: The mean.
      count: Answers that it counts for.
      recent: Mean of the last answers, ms.
    """

    ms: float = 0.0
    count: int = 0
    recent_ms: float = 0.0


def record(mean: WorkMean, work_ms: float) -> None:
    """Takes in an answer."""
    mean.count += 1
    mean.ms = update_mean(mean.ms, mean.count, NEWEST_WEIGHT, work_ms)
    mean.recent_ms = update_mean(mean.recent_ms, mean.count, RECENT_WEIGHT,
                                 work_ms)
    changed = not (mean.ms * FASTER_FACTOR <= mean.recent_ms <=
                   mean.ms * SLOWER_FACTOR)
    if mean.count > MIN_ANSWERS and changed:
        mean.ms, mean.count = mean.recent_ms, MIN_ANSWERS


def update_mean(mean_ms: float, count: int, newest: float,
                work_ms: float) -> float:
    """Returns a running mean with one more answer.

    Args:
      mean_ms: The mean before.
      count: Answers, this one included.
      newest: Weight of the newest answer once there are many.
      work_ms: The answer's time of work.
    """
    return mean_ms + max(newest, 1.0 / count) * (work_ms - mean_ms)


def blend_means(mean_ms: float, count: int, newest: float,
                usual_ms: float) -> float:
    """Returns a server's mean, drawn towards its service's by few answers.

    Args:
      mean_ms: The server's own mean.
      count: Answers that it was learned from.
      newest: Weight of the newest answer in it once there are many.
      usual_ms: Mean of the service.
    """
    weight = min(count, 1 / newest)
    return (weight * mean_ms + PRIOR_ANSWERS * usual_ms) / (weight +
                                                            PRIOR_ANSWERS)


def average_means(known: Iterable[WorkMean]) -> float:
    """Returns the mean over servers, by answers; 0 if none is known."""
    known = list(known)
    count = sum(item.count for item in known)
    return sum(item.ms * item.count for item in known) / count if count else 0.0


def estimate_means(means: Mapping[str, WorkMean],
                   names: Iterable[str]) -> dict[str, float]:
    """Returns the mean time of work of servers, ms; empty if none is known.

    A server with few answers is taken to be much like the others.

    Args:
      means: What is known, by server id.
      names: Ids of the servers of one service.
    """
    names = list(names)
    usual = average_means(means[name] for name in names if name in means)
    if not usual:
        return {}
    estimates = {}
    for name in names:
        mean = means.get(name, _UNKNOWN)
        estimates[name] = round(
            blend_means(mean.ms, mean.count, NEWEST_WEIGHT, usual), 1)
    return estimates


_UNKNOWN = WorkMean()
