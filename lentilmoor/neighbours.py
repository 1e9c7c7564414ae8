"""Which few entries an entry keeps links to.

In its failure domain an entry watches the next two on a ring ordered by hash,
so that each is watched by two others whatever the domain's size. A few links
to others of the domain, and to entries of other domains, make the graph of all
entries one in which news reaches everybody in a few hops. All are rendezvous
choices, so a changed instance moves only the links that it had.
"""

from collections.abc import Iterable
import dataclasses

from lentilmoor import roles
from lentilmoor import tables

WATCHED = 2
LOCAL_LINKS = 2
REMOTE_LINKS = 3

_RING = 'ring'


@dataclasses.dataclass(frozen=True, slots=True)
class Neighbours:
    """Links of one entry, by instance id.

    Attributes:
      watched: Next on the ring of the own failure domain.
      local: Others of the own failure domain.
      remote: Entries of other failure domains, each of another.
    """

    watched: tuple[str, ...] = ()
    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()

    def list_all(self) -> tuple[str, ...]:
        """Returns all links."""
        return self.watched + self.local + self.remote


def choose(own: tables.Instance,
           instances: Iterable[tables.Instance]) -> Neighbours:
    """Returns the links of an entry.

    Args:
      own: The entry.
      instances: All known; the dead are left out.
    """
    home = []
    away = []
    for row in instances:
        if row.id == own.id or row.liveness is tables.Liveness.DEAD:
            continue
        near = row.failure_domain == own.failure_domain
        (home if near else away).append(row)
    watched = _next_on_ring(own, home)
    others = [row for row in home if row.id not in watched]
    local = tuple(
        row.id for row in roles.rank(f'link/{own.id}', others)[:LOCAL_LINKS])
    return Neighbours(watched, local, _pick_remote(own, away))


def _next_on_ring(own: tables.Instance,
                  home: list[tables.Instance]) -> tuple[str, ...]:
    place = roles.score(_RING, own.id)
    # Those after us on the ring, then those before us: it wraps around.
    ordered = sorted(
        home,
        key=lambda row:
        (roles.score(_RING, row.id) <= place, roles.score(_RING, row.id)))
    return tuple(row.id for row in ordered[:WATCHED])


def _pick_remote(own: tables.Instance,
                 away: list[tables.Instance]) -> tuple[str, ...]:
    chosen = []
    domains = set()
    for row in roles.rank(f'link/{own.id}', away):
        if row.failure_domain in domains:
            continue
        domains.add(row.failure_domain)
        chosen.append(row.id)
        if len(chosen) == REMOTE_LINKS:
            break
    return tuple(chosen)
