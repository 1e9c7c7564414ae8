"""Which entry carries which control role, worked out alike by every entry.

A role goes to the live entries with the highest rendezvous score for its name,
dealt over regions, then failure domains. No message elects anybody: entries
with the same table agree, and a changed instance moves only its own roles.
Roles are hints: what must be exclusive is decided by the store's
compare-and-swap, so two entries that disagree for a while do no harm.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import math

import xxhash

from lentilmoor import tables

DELEGATES = 12
WATCHERS_PER_DOMAIN = 1
LEAST_WATCHERS = 3
PROBERS = 3

_WATCHER_ROLE = 'watcher'


def score(role: str, member: str) -> int:
    """Returns the rendezvous score of a member for a role; 64 bits."""
    return xxhash.xxh3_64_intdigest(f'{role}\0{member}'.encode())


def list_eligible(
        instances: Iterable[tables.Instance]) -> list[tables.Instance]:
    """Returns the instances that may carry a role.

    Leaving and dead ones never do. Suspects do only if nobody is live, so
    that an entry that lost sight of all others still has somebody to try.
    """
    rows = list(instances)
    live = [row for row in rows if row.liveness is tables.Liveness.LIVE]
    if live:
        return live
    return [row for row in rows if row.liveness is tables.Liveness.SUSPECT]


def rank(role: str,
         instances: Iterable[tables.Instance]) -> list[tables.Instance]:
    """Returns the eligible instances, highest score for the role first."""
    return sorted(list_eligible(instances),
                  key=lambda row: (score(role, row.id), row.id),
                  reverse=True)


def deal(role: str, instances: Iterable[tables.Instance],
         count: int) -> list[tables.Instance]:
    """Deals a role over regions, within them over failure domains.

    Each region is asked in turn for one instance, each region asks its failure
    domains in turn, and each failure domain gives its next in rank. The order
    of regions and domains is by their own scores for the role.

    Args:
      role: Name of the role, such as 'delegate/team/service/0'.
      instances: Rows to choose from; those not eligible are left out.
      count: How many to choose.

    Returns:
      At most `count` instances, best first.
    """
    regions: dict[str, dict[str, list[tables.Instance]]] = {}
    for row in list_eligible(instances):
        domains = regions.setdefault(row.region, {})
        domains.setdefault(row.failure_domain, []).append(row)
    turns = [
        _take_turns(role, domains)
        for _, domains in _order_groups(role, regions)
    ]
    return list(itertools.islice(_round_robin(turns), count))


def pick_watchers(
        instances: Iterable[tables.Instance],
        per_domain: int = WATCHERS_PER_DOMAIN) -> dict[str, tuple[str, ...]]:
    """Returns the ids of the store's watchers by failure domain.

    Args:
      instances: Rows to choose from.
      per_domain: Watchers in each failure domain; more if there would be
        fewer than `LEAST_WATCHERS` in all. One is enough where the others'
        domains go on hearing from theirs.
    """
    domains: dict[str, list[tables.Instance]] = {}
    for row in list_eligible(instances):
        domains.setdefault(row.failure_domain, []).append(row)
    least = math.ceil(LEAST_WATCHERS / max(len(domains), 1))
    count = max(per_domain, least)
    return {
        name:
            tuple(row.id for row in itertools.islice(
                _rank_lazily(_WATCHER_ROLE, rows), count))
        for name, rows in domains.items()
    }


def is_watcher(instance: str,
               instances: Iterable[tables.Instance],
               per_domain: int = WATCHERS_PER_DOMAIN) -> bool:
    """Returns whether an instance is to watch the store."""
    watchers = pick_watchers(instances, per_domain)
    return any(instance in chosen for chosen in watchers.values())


def pick_delegates(shard: str,
                   instances: Iterable[tables.Instance],
                   count: int = DELEGATES) -> list[tables.Instance]:
    """Returns the delegates of a shard, dealt over failure domains."""
    return deal(f'delegate/{shard}', instances, count)


def rank_grantors(shard: str,
                  instances: Iterable[tables.Instance],
                  region: str = '') -> list[tables.Instance]:
    """Returns the candidates for grantor of a shard, best first.

    Args:
      shard: Shard id.
      instances: Candidates, as a rule the shard's delegates.
      region: Region of the shard's servers; its entries go first, because a
        renewal across regions eats into the lifetime of a grant.
    """
    ranked = rank(f'grantor/{shard}', instances)
    return sorted(ranked, key=lambda row: row.region != region)


def pick_probers(server: str,
                 instances: Iterable[tables.Instance],
                 count: int = PROBERS) -> list[tables.Instance]:
    """Returns the entries that probe a server, from several domains."""
    return deal(f'probe/{server}', instances, count)


def pick_home(server: str,
              delegates: Iterable[tables.Instance]) -> tables.Instance | None:
    """Returns the home entry of a server: the one that keeps its queue."""
    ranked = rank(f'home/{server}', delegates)
    return ranked[0] if ranked else None


def _order_groups(role: str, groups: dict) -> list[tuple]:
    return sorted(groups.items(),
                  key=lambda item: (score(role, item[0]), item[0]),
                  reverse=True)


def _take_turns(
        role: str,
        domains: dict[str, list[tables.Instance]]) -> Iterator[tables.Instance]:
    queues = [
        _rank_lazily(role, rows) for _, rows in _order_groups(role, domains)
    ]
    yield from _round_robin(queues)


def _rank_lazily(role: str,
                 rows: list[tables.Instance]) -> Iterator[tables.Instance]:
    """Yields rows in rank; ranks them only as far as they are asked for."""
    best = max(rows, key=lambda row: (score(role, row.id), row.id))
    yield best
    yield from rank(role, (row for row in rows if row is not best))


def _round_robin(queues: list[Iterator]) -> Iterator:
    waiting = list(queues)
    while waiting:
        left = []
        for queue in waiting:
            row = next(queue, None)
            if row is None:
                continue
            left.append(queue)
            yield row
        waiting = left
