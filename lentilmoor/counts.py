"""How many entries have which version in force, added up along a tree.

The entries of a failure domain form a heap in the order of a hash. Each tells
its parent how many entries at or below it have the newest version of a lately
changed item in force; the root of each domain knows the domain's count, and an
operator's question goes to these few roots.
"""

from collections.abc import Iterable
import dataclasses

from lentilmoor import roles
from lentilmoor import tables

CHILDREN = 8
KEPT_KEYS = 64

_HEAP = 'count'


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """How many entries have at least a version in force."""

    key: str
    version: int
    entries: int


@dataclasses.dataclass(slots=True)
class Counts:
    """What one entry knows of itself and of its children.

    Attributes:
      own: Versions in force here, of lately changed keys.
      children: Last counts told by each child, by key.
      told: What the parent was told last, by key.
      parent: Id of the parent; empty at the root.
    """

    own: dict[str, int] = dataclasses.field(default_factory=dict)
    children: dict[str, dict[str,
                             Count]] = dataclasses.field(default_factory=dict)
    told: dict[str, Count] = dataclasses.field(default_factory=dict)
    parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An entry's place in the heap of its failure domain."""

    parent: str
    children: tuple[str, ...]


def find_place(own: tables.Instance,
               instances: Iterable[tables.Instance]) -> Place:
    """Returns the place of an entry among the entries of its domain."""
    order = order_domain(own.failure_domain, instances)
    if own.id not in order:
        return Place('', ())
    index = order.index(own.id)
    first = index * CHILDREN + 1
    parent = order[(index - 1) // CHILDREN] if index else ''
    return Place(parent, tuple(order[first:first + CHILDREN]))


def order_domain(domain: str,
                 instances: Iterable[tables.Instance]) -> list[str]:
    """Returns the ids of a failure domain's live entries; the root first."""
    home = (row for row in instances if row.failure_domain == domain)
    return [row.id for row in roles.rank(_HEAP, home)]


def set_place(counts: Counts, place: Place) -> None:
    """Takes a new place: a new parent is told everything again."""
    if place.parent != counts.parent:
        counts.parent = place.parent
        counts.told = {}
    counts.children = {
        child: told
        for child, told in counts.children.items()
        if child in place.children
    }
    for child in place.children:
        counts.children.setdefault(child, {})


def note_applied(counts: Counts, key: str, version: int) -> None:
    """Notes that a version is in force at this entry."""
    counts.own.pop(key, None)
    counts.own[key] = version  # Last in the order of keys: the newest.
    while len(counts.own) > KEPT_KEYS:
        oldest = next(iter(counts.own))
        del counts.own[oldest]
        counts.told.pop(oldest, None)


def take_counts(counts: Counts, child: str, told: Iterable[Count]) -> None:
    """Takes over what a child tells; others are not listened to."""
    known = counts.children.get(child)
    if known is None:
        return
    for count in told:
        known[count.key] = count
    for key in list(known)[:-KEPT_KEYS]:
        del known[key]


def read_count(counts: Counts, key: str) -> Count:
    """Returns the count of a key at the version in force here."""
    version = counts.own.get(key, 0)
    below = (told.get(key) for told in counts.children.values())
    entries = sum(count.entries
                  for count in below
                  if count is not None and count.version >= version)
    return Count(key, version, entries + (1 if version else 0))


def list_untold(counts: Counts) -> list[Count]:
    """Returns the counts that the parent has not been told."""
    current = (read_count(counts, key) for key in counts.own)
    return [count for count in current if counts.told.get(count.key) != count]


def note_told(counts: Counts, told: Iterable[Count]) -> None:
    """Notes that the parent has been told."""
    for count in told:
        counts.told[count.key] = count
