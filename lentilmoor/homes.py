"""Homes of servers: which delegate keeps the one queue of a server, and when.

While a server has room to spare, every delegate sends requests straight to
it. Once it is contended, requests are relayed to its home, whose queue alone
decides who goes next.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from lentilmoor import roles

HIGH_USE = 1.3
LOW_USE = 0.85
CALM_MS = 1_000.0
QUEUED_MANY = 4
USE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An id and the failure domain it is in."""

    id: str
    failure_domain: str


def rank_homes(server: Place, delegates: Iterable[Place]) -> list[Place]:
    """Returns the delegates that may be home to a server, best first.

    Those in the server's own failure domain go first: the hop to the server is
    then short, so a slot hardly idles between two requests, and the loss of
    the domain takes the home only where it takes the server too.
    """
    role = f'home/{server.id}'
    return sorted(delegates,
                  key=lambda place:
                  (place.failure_domain != server.failure_domain, -roles.score(
                      role, place.id), place.id))


def assign_homes(servers: Sequence[Place],
                 delegates: Sequence[Place]) -> dict[str, str]:
    """Returns the home of each server: rendezvous with a bounded load.

    No delegate is home to more than its even share of the servers, rounded up;
    a server goes to the best-ranked delegate that has room.

    Args:
      servers: Servers of one shard.
      delegates: Delegates of the shard; may be empty.

    Returns:
      Delegate id by server id.
    """
    if not delegates:
        return {}
    share = -(-len(servers) // len(delegates))
    room = {place.id: share for place in delegates}
    chosen = {}
    for server in sorted(servers, key=lambda place: place.id):
        ranked = rank_homes(server, delegates)
        home = next(place.id for place in ranked if room[place.id])
        room[home] -= 1
        chosen[server.id] = home
    return chosen


def pick_next(server: Place, delegates: Iterable[Place],
              avoid: Collection[str]) -> str | None:
    """Returns the delegate to relay to when the home doesn't answer.

    Every entry picks alike, so the server has one queue again without anybody
    being asked; sending straight instead would undo the priorities.

    Args:
      server: The server.
      delegates: Delegates of its shard.
      avoid: Delegates that did not answer, the home among them.
    """
    ranked = rank_homes(server, delegates)
    return next((place.id for place in ranked if place.id not in avoid), None)


@dataclasses.dataclass(slots=True)
class Contention:
    """Whether requests for a server go by its home.

    Attributes:
      contended: The present verdict.
      use: Moving mean of the reported use.
      calm_since: Since when the use has been low, ms; None if it is not.
    """

    contended: bool = False
    use: float = 0.0
    calm_since: float | None = None


def judge_contention(state: Contention, use: float, queued: int,
                     now: float) -> bool:
    """Brings the verdict up to date; returns whether it is contended.

    Args:
      state: The server's row; changed in place.
      use: Requests in flight from all delegates over the server's slots, as
        just reported; above 1 if some wait in the server's own queue. Reports
        lag and are single moments, so they are averaged.
      queued: Requests that wait for it anywhere.
      now: Milliseconds.
    """
    state.use += USE_WEIGHT * (use - state.use)
    if queued >= QUEUED_MANY or state.use >= HIGH_USE:
        state.contended = True
    if queued >= QUEUED_MANY or state.use > LOW_USE:
        state.calm_since = None
    elif state.calm_since is None:
        state.calm_since = now
    elif now - state.calm_since >= CALM_MS:
        state.contended = False
    return state.contended


def straight_share(contended: bool) -> int:
    """Returns how many requests a delegate that is not home may send at once.

    Args:
      contended: Whether the server is contended.
    """
    return 0 if contended else 1
