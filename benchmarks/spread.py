"""Spread of settings: calls of the store, rounds, messages and bytes.

Entries run in one process under simulated time, with delays of five regions of
three failure domains each; messages are serialized to be counted. Beside it
stands the naive way, in which each entry watches the store.
"""

import dataclasses
import math
import random
import statistics

from benchmarks import bounds
from lentilmoor import counts
from lentilmoor import domains as failuredomains
from lentilmoor import gossip
from lentilmoor import items
from lentilmoor import members as membership
from lentilmoor import neighbours
from lentilmoor import roles
from lentilmoor import spread
from lentilmoor import tables
from tests import fleets

CHANGES_PER_DAY = 17_000
CHANGES_PER_HOUR = CHANGES_PER_DAY / 24
WATCH_S = 30.0
VALUE_BYTES = 4_000
# Measured by benchmarks.peers: bytes on the wire of a call and its reply beyond
# those of the two messages, headers of TCP and IP included.
CALL_OVERHEAD = 250
SIZES = (12, 100, 1_000, 4_900)
LIMIT_BYTES_PER_S = 13_000

_CHANGES = {12: 20, 100: 10, 1_000: 2, 4_900: 1}
_REST_MS = 1_000.0
_CANDIDATES = 60


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCalls:
    """Calls of the store for settings.

    Attributes:
      nodes: Entries.
      watchers: Entries that watch.
      per_change: Calls for each change.
      per_hour: Calls an hour at 17,000 changes a day.
      naive_per_change: The same if each entry watches.
      naive_per_hour: The same if each entry watches.
    """

    nodes: int
    watchers: int
    per_change: float
    per_hour: float
    naive_per_change: float
    naive_per_hour: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadCost:
    """What a change and a quiet second cost an entry.

    Attributes:
      nodes: Entries.
      rounds: Hops from the changed entry to the farthest, over links.
      p50_ms: Median time for a change to be everywhere.
      max_ms: Longest time.
      messages: Calls per entry and change.
      bytes: Bytes per entry and change, with their overhead.
      most_bytes: The same of the entry with the most, messages only.
      rest_calls: Calls per entry and second at rest.
      rest_bytes: Bytes per entry and second at rest, with their overhead.
      day_bytes: Bytes per entry and second on an ordinary day.
    """

    nodes: int
    rounds: int
    p50_ms: float
    max_ms: float
    messages: float
    bytes: float
    most_bytes: float
    rest_calls: float
    rest_bytes: float
    day_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Traffic:
    """Calls and bytes of messages per entry in a span of time."""

    took_ms: float
    messages: float
    size: float
    most: int


def measure_store(nodes: int) -> StoreCalls:
    """Counts the watch calls of an hour, drawn with seeded changes."""
    rows = fleets.make_rows(nodes, *place(nodes))
    watchers = sum(len(ids) for ids in roles.pick_watchers(rows).values())
    rng = random.Random(nodes)
    calls = _count_watches(rng)
    quiet = 3_600 / WATCH_S
    per_change = (calls - quiet) / CHANGES_PER_HOUR
    return StoreCalls(nodes, watchers,
                      watchers * max(per_change, 1.0), watchers * calls,
                      nodes * max(per_change, 1.0), nodes * calls)


def place(nodes: int) -> tuple[int, int]:
    """Returns the failure domains and regions of a fleet of a size."""
    return (3, 1) if nodes <= 12 else (15, 5)


def measure_spread(nodes: int) -> SpreadCost:
    """Runs a quiet time and then changes one after another."""
    fleet = make_linked_fleet(nodes)
    rest = _measure_rest(fleet)
    changes = [
        _measure_change(fleet, number + 1, rest)
        for number in range(_CHANGES[nodes])
    ]
    messages = statistics.mean(change.messages for change in changes)
    size = statistics.mean(change.size for change in changes)
    size += messages * CALL_OVERHEAD
    rest_bytes = rest.size + rest.messages * CALL_OVERHEAD
    return SpreadCost(nodes=nodes,
                      rounds=_count_rounds(fleet),
                      p50_ms=statistics.median(x.took_ms for x in changes),
                      max_ms=max(x.took_ms for x in changes),
                      messages=messages,
                      bytes=size,
                      most_bytes=max(x.most for x in changes),
                      rest_calls=rest.messages,
                      rest_bytes=rest_bytes,
                      day_bytes=rest_bytes + size * CHANGES_PER_DAY / 86_400)


def make_linked_fleet(nodes: int) -> fleets.Fleet:
    """Returns a fleet whose entries hold rows of their links only.

    A whole table in each of thousands of entries would not fit this process;
    links are drawn as in a whole one, remote ones from a seeded sample.
    """
    fleet = fleets.Fleet(random.Random(nodes))
    fleet.delay = delay_by_place(fleet)
    rows = fleets.make_rows(nodes, *place(nodes))
    domains: dict[str, list[tables.Instance]] = {}
    for row in rows:
        fleet.rows[row.id] = row
        domains.setdefault(row.failure_domain, []).append(row)
    for row in rows:
        sample = fleet.rng.sample(rows, min(_CANDIDATES, len(rows)))
        near = domains[row.failure_domain]
        known = {x.id: x for x in near + sample}
        node = _make_linked(fleet, row, known, sorted(domains))
        fleet.add(row.id, node)
    for name, node in fleet.nodes.items():
        for peer in node.links.list_all():
            _know(fleet.nodes[peer], fleet.rows[name])
    return fleet


def delay_by_place(fleet: fleets.Fleet):
    """Returns one way delays, ms: 0.25 in a domain, 0.75 in a region, 15-75."""

    def delay(one: str, two: str) -> float:
        first, second = fleet.rows[one], fleet.rows[two]
        if first.failure_domain == second.failure_domain:
            return 0.25
        if first.region == second.region:
            return 0.75
        regions = sorted((first.region, second.region))
        return 15.0 + roles.score(*regions) % 60

    return delay


def measure() -> tuple[list[StoreCalls], list[SpreadCost]]:
    """Returns both tables, a row for each size."""
    return ([measure_store(nodes) for nodes in SIZES],
            [measure_spread(nodes) for nodes in SIZES])


def run() -> list[str]:
    """Prints the tables and returns the breached bounds."""
    stores, spreads = measure()
    print('nodes watchers  calls/change  calls/hour | each watches: '
          'calls/change  calls/hour')
    for row in stores:
        print(f'{row.nodes:5} {row.watchers:8} {row.per_change:13.1f} '
              f'{row.per_hour:11.0f} | {row.naive_per_change:26.1f} '
              f'{row.naive_per_hour:11.0f}')
    print('nodes rounds  p50 ms  max ms  calls  bytes/change  most | at rest: '
          'calls/s  B/s | ordinary day B/s')
    for row in spreads:
        print(f'{row.nodes:5} {row.rounds:6} {row.p50_ms:7.0f} '
              f'{row.max_ms:7.0f} {row.messages:6.1f} {row.bytes:13.0f} '
              f'{row.most_bytes:5.0f} | {row.rest_calls:16.1f} '
              f'{row.rest_bytes:4.0f} | {row.day_bytes:16.0f}')
    return bounds.check('spread', _name_values(stores, spreads))


def _name_values(stores: list[StoreCalls],
                 spreads: list[SpreadCost]) -> dict[str, float]:
    values = {}
    for calls in stores:
        values[f'{calls.nodes}: store calls per hour'] = calls.per_hour
    for row in spreads:
        values[f'{row.nodes}: rounds'] = row.rounds
        values[f'{row.nodes}: ms to all'] = row.max_ms
        values[f'{row.nodes}: bytes per change'] = row.bytes
        values[f'{row.nodes}: bytes per second'] = row.day_bytes
    return values


def _count_watches(rng: random.Random) -> int:
    """Returns one watcher's calls in an hour; each change ends its wait."""
    now, calls = 0.0, 0
    change = rng.expovariate(CHANGES_PER_HOUR / 3_600)
    while now < 3_600:
        calls += 1
        if change < now + WATCH_S:
            now = max(now, change)
            change = now + rng.expovariate(CHANGES_PER_HOUR / 3_600)
        else:
            now += WATCH_S
    return calls


def _make_linked(fleet: fleets.Fleet, row: tables.Instance,
                 known: dict[str, tables.Instance],
                 domains: list[str]) -> gossip.Gossip:
    own = dataclasses.replace(row)
    members = membership.make_members(own, 1, fleet.now)
    for domain in domains:
        failuredomains.add(members.domains, domain, fleet.now)
    links = neighbours.choose(row, known.values())
    place_in_heap = counts.find_place(row, known.values())
    wanted = links.list_all() + place_in_heap.children
    if place_in_heap.parent:
        wanted += (place_in_heap.parent,)
    node = gossip.Gossip(members,
                         spread.Replica(),
                         counts.Counts(),
                         random.Random(row.id),
                         gossip.GossipSettings(),
                         links=links,
                         joined=True,
                         linked_changes=members.changes)
    for name in wanted:
        _know(node, known[name])
    node.replica.unsent = {peer: {} for peer in links.list_all()}
    counts.set_place(node.counts, place_in_heap)
    return node


def _know(node: gossip.Gossip, row: tables.Instance) -> None:
    node.members.rows.setdefault(
        row.id,
        membership.Member(dataclasses.replace(row), membership.FIRST_VERSION))


def _measure_rest(fleet: fleets.Fleet) -> _Traffic:
    calls, size = fleet.calls, fleet.size
    fleet.run(_REST_MS)
    seconds = _REST_MS / 1_000 * len(fleet.nodes)
    return _Traffic(_REST_MS, (fleet.calls - calls) / seconds,
                    (fleet.size - size) / seconds, 0)


def _measure_change(fleet: fleets.Fleet, number: int,
                    rest: _Traffic) -> _Traffic:
    """Returns what a change cost beyond what a quiet time would have."""
    calls, size, fleet.sizes = fleet.calls, fleet.size, {}
    took = _run_change(fleet, number)
    nodes = len(fleet.nodes)
    quiet = took / 1_000
    return _Traffic(took, (fleet.calls - calls) / nodes - rest.messages * quiet,
                    (fleet.size - size) / nodes - rest.size * quiet,
                    max(fleet.sizes.values()))


def _run_change(fleet: fleets.Fleet, number: int) -> float:
    key = f'settings/{number}'
    item = items.Item(key, number, fleet.rng.randbytes(VALUE_BYTES))
    start = fleet.rng.choice(sorted(fleet.nodes))
    gossip.put_items(fleet.nodes[start], [item], fleet.now)
    return fleet.run_until(
        lambda: all(
            items.version_of(node.replica.table, key) == number
            for node in fleet.nodes.values()), 30_000.0)


def _count_rounds(fleet: fleets.Fleet) -> int:
    """Returns the most hops over links from one entry to any other."""
    start = next(iter(fleet.nodes))
    seen, edge, rounds = {start}, [start], 0
    while edge:
        reached = {
            peer for name in edge
            for peer in fleet.nodes[name].links.list_all()
        } - seen
        seen |= reached
        edge = list(reached)
        rounds += 1 if reached else 0
    return rounds if len(seen) == len(fleet.nodes) else math.inf


if __name__ == '__main__':
    run()
