"""Mean times of work of servers, learned from the answers of all entries.

Times of work vary as much as their mean, so a hundred answers tell a server's
mean to within a tenth. A server that turns slow, or well again, is told from
chance by its last answers: the mean begins anew when they are far off it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Weight of the newest answer once there are many.
NEWEST = 0.01
# Weight of the newest answer in the mean of the last ones, about a dozen.
RECENT = 0.15
# The mean begins anew when the mean of the last ones is so many times as large,
# or as small a part of it: far enough apart that a few long requests in a row
# aren't taken for a slow server.
SLOWER, FASTER = 3.0, 0.3
# Answers that a mean counts for that has begun anew, or that needs to be known
# before it can.
FEW = 8
# Answers of the service's mean that a server is taken to have given besides its
# own: one long answer as the first made entries refuse what a server had room
# for.
PRIOR = 2


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
    recent: float = 0.0


def add(mean: WorkMean, work_ms: float) -> None:
    """Takes in an answer."""
    mean.count += 1
    mean.ms = advance(mean.ms, mean.count, NEWEST, work_ms)
    mean.recent = advance(mean.recent, mean.count, RECENT, work_ms)
    changed = not mean.ms * FASTER <= mean.recent <= mean.ms * SLOWER
    if mean.count > FEW and changed:
        mean.ms, mean.count = mean.recent, FEW


def advance(mean_ms: float, count: int, newest: float, work_ms: float) -> float:
    """Returns a running mean with one more answer.

    Args:
      mean_ms: The mean before.
      count: Answers, this one included.
      newest: Weight of the newest answer once there are many.
      work_ms: The answer's time of work.
    """
    return mean_ms + max(newest, 1.0 / count) * (work_ms - mean_ms)


def blend(mean_ms: float, count: int, newest: float, usual_ms: float) -> float:
    """Returns a server's mean, drawn towards its service's by few answers.

    Args:
      mean_ms: The server's own mean.
      count: Answers that it was learned from.
      newest: Weight of the newest answer in it once there are many.
      usual_ms: Mean of the service.
    """
    weight = min(count, 1 / newest)
    return (weight * mean_ms + PRIOR * usual_ms) / (weight + PRIOR)


def average(known: Iterable[WorkMean]) -> float:
    """Returns the mean over servers, by answers; 0 if none is known."""
    known = list(known)
    count = sum(item.count for item in known)
    return sum(item.ms * item.count for item in known) / count if count else 0.0


def estimate(means: Mapping[str, WorkMean],
             names: Iterable[str]) -> dict[str, float]:
    """Returns the mean time of work of servers, ms; empty if none is known.

    A server with few answers is taken to be much like the others.

    Args:
      means: What is known, by server id.
      names: Ids of the servers of one service.
    """
    names = list(names)
    usual = average(means[name] for name in names if name in means)
    if not usual:
        return {}
    estimates = {}
    for name in names:
        mean = means.get(name, _UNKNOWN)
        estimates[name] = round(blend(mean.ms, mean.count, NEWEST, usual), 1)
    return estimates


_UNKNOWN = WorkMean()
