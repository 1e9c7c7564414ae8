"""When a grantor may grant: what a majority of its delegates promised.

A delegate that accepts an order of an epoch promises the grantor that no
older epoch is accepted afterwards. A grantor has authority until one lifetime
after the time at which it sent the orders that a majority accepted, and all
that it grants ends by then. A later grantor whose epoch a majority accepted
knows, from when each of that majority last accepted an older epoch, when the
authority of all older epochs has ended: any two majorities share a delegate.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math

from lentilmoor import grants


def count_majority(size: int) -> int:
    """Returns how many of a list are a majority of it."""
    return size // 2 + 1


def list_electorates(row: grants.GrantorRow) -> list[tuple[str, ...]]:
    """Returns the lists of delegates that a next grantor may read.

    Two while a swap that changes the list is not settled: a majority of each
    is needed then.
    """
    if row.record is None:
        return []
    lists = [row.record.delegates]
    if row.unsettled is not None:
        lists.append(row.unsettled.record.delegates)
    return lists


def list_members(row: grants.GrantorRow) -> list[str]:
    """Returns all delegates of all electorates, each once."""
    return list(dict.fromkeys(sum(list_electorates(row), ())))


def has_majorities(row: grants.GrantorRow,
                   agrees: Callable[[grants.DelegateLease], bool]) -> bool:
    """Returns whether a majority of each electorate fulfils a condition."""
    lists = list_electorates(row)
    return bool(lists) and all(
        sum(agrees(row.delegates[member])
            for member in members) >= count_majority(len(members))
        for members in lists)


def can_return(row: grants.GrantorRow) -> bool:
    """Returns whether a majority of each electorate may answer yet."""
    return has_majorities(row, lambda lease: lease.id not in row.ended)


def find_end(row: grants.GrantorRow) -> float:
    """Returns when this grantor's authority ends, ms; -inf if it has none."""
    lists = list_electorates(row)
    if not lists:
        return grants.NEVER
    return row.lifetime_ms + min(
        _pick_majority(
            members, lambda member: -row.delegates[member].acked_sent_at) * -1.0
        for members in lists)


def find_settled(row: grants.GrantorRow) -> float:
    """Returns when all that older epochs granted has ended; inf: unknown."""
    if row.record is None:
        return math.inf
    return _pick_majority(row.record.delegates,
                          lambda member: _find_freed(row, member))


def _find_freed(row: grants.GrantorRow, member: str) -> float:
    freed_at = row.delegates[member].freed_at
    ended_at = row.ended.get(member, math.inf)
    return min(freed_at, ended_at + row.earlier_ms * (1 + grants.DRIFT))


def _pick_majority(members: Sequence[str], key: Callable[[str],
                                                         float]) -> float:
    """Returns the smallest value that a majority does not exceed."""
    if not members:
        return math.inf
    return sorted(
        key(member) for member in members)[count_majority(len(members)) - 1]
