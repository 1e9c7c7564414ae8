"""Membership and roles: time to notice, bytes, role moves, time and memory.

The first tables are in simulated time and seeded; the last gives processor time
and memory of this machine against the size of the fleet and is not bounded.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
import dataclasses
import random
import statistics
import time
import tracemalloc

from benchmarks import bounds
from benchmarks import spread as spread_benchmark
from lentilmoor import detectors
from lentilmoor import gossip
from lentilmoor import items
from lentilmoor import members as membership
from lentilmoor import messages
from lentilmoor import neighbours
from lentilmoor import roles
from lentilmoor import tables
from lentilmoor.protocol import peer_pb2
from tests import fleets

EVENT_NODES = (12, 45, 90)
ROLE_NODES = 300
SHARDS = 100
TABLE_ROWS = (100, 1_000, 10_000)

_SEEDS = 3
_LIMIT_MS = 30_000.0
_SETTLE_MS = 3_000.0
_QUIET_MS = 30_000.0
_EVERY_ENTRY = 5

Liveness = tables.Liveness


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """What an event costs the fleet.

    Attributes:
      nodes: Entries.
      name: What happened.
      median_ms: Median time until all others hold it to be so.
      max_ms: Longest time.
      bytes: Bytes sent per entry beyond those of a quiet time.
    """

    nodes: int
    name: str
    median_ms: float
    max_ms: float
    bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class Moves:
    """Roles that moved when one entry of many went.

    Attributes:
      name: Which choice.
      roles: Roles in all.
      moved: Roles that another entry carries after one went; mean.
      least: Roles that must move: those the entry carried; mean.
    """

    name: str
    roles: int
    moved: float
    least: float


@dataclasses.dataclass(frozen=True, slots=True)
class TableCost:
    """Processor time and memory against rows; of this machine.

    Attributes:
      rows: Members known.
      step_us: A quiet step of membership.
      beat_us: A whole beat: step and the exchanges to be sent.
      exchange_us: One exchange at rest: answered, and the reply taken.
      links_us: A new choice of links, after a change.
      delegates_us: A choice of the delegates of one shard.
      row_bytes: Memory for each member and its item.
    """

    rows: int
    step_us: float
    beat_us: float
    exchange_us: float
    links_us: float
    delegates_us: float
    row_bytes: float


def measure_events(nodes: int) -> list[Event]:
    """Runs each event under several seeds."""
    acts = {
        'joins': _join,
        'leaves': _leave,
        'is killed': _kill,
        'domain lost': _lose_domain,
    }
    table = []
    for name, act in acts.items():
        runs = [_run_event(nodes, seed, act) for seed in range(_SEEDS)]
        times = [took for took, _ in runs]
        table.append(
            Event(nodes, name, statistics.median(times), max(times),
                  statistics.mean(size for _, size in runs)))
    return table


def measure_false_alarms(nodes: int, loss: float) -> int:
    """Returns how many rows were held dead wrongly, with messages lost."""
    fleet = fleets.make_fleet(nodes, *spread_benchmark.place(nodes))
    fleet.loss = loss
    dead = 0
    for _ in range(int(_QUIET_MS / _SETTLE_MS)):
        fleet.run(_SETTLE_MS)
        dead += sum(row.instance.liveness is Liveness.DEAD
                    for node in fleet.nodes.values()
                    for row in node.members.rows.values())
    return dead


def measure_moves() -> list[Moves]:
    """Takes one entry out at a time and counts the roles that move."""
    rows = fleets.make_rows(ROLE_NODES, 15, 5)
    choices: list[tuple[str, Callable]] = [
        ('delegates', _choose_delegates),
        ('delegates, modulo', _choose_modulo),
        ('watchers', _choose_watchers),
    ]
    return [_measure_moves(name, choose, rows) for name, choose in choices]


def measure_table(count: int) -> TableCost:
    """Times the systems over a whole table of rows."""
    rows = fleets.make_rows(count, 15, 5)
    source = gossip.make_gossip(rows[0], 1, 0.0, random.Random(1))
    gossip.take_list(source, fleets.list_rows(rows), 0.0)
    page = [item.SerializeToString() for item in _list_all(source)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    node = gossip.make_gossip(rows[0], 1, 0.0, random.Random(1))
    for text in page:
        item = messages.read_item(peer_pb2.Item.FromString(text))
        gossip.put_items(node, [item], 0.0)
    gossip.collect_settings(node)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    instances = membership.list_instances(node.members)
    own = instances[0]
    call = gossip.tick(node, 1.0)[0]
    for queue in node.replica.unsent.values():
        queue.clear()
    return TableCost(
        rows=count,
        step_us=_time(lambda: detectors.step(node.members, 1_000.0)),
        beat_us=_time(lambda: _beat(node)),
        exchange_us=_time(lambda: _exchange(node, call)),
        links_us=_time(lambda: neighbours.choose(own, instances), 5),
        delegates_us=_time(lambda: roles.pick_delegates('a/b/0', instances), 5),
        row_bytes=(after - before - 8 * items.BUCKETS) / count)


def run() -> list[str]:
    """Prints the tables and returns the breached bounds."""
    values = {}
    print('nodes event        median ms  max ms  bytes per entry')
    for nodes in EVENT_NODES:
        for event in measure_events(nodes):
            print(f'{nodes:5} {event.name:12} {event.median_ms:9.0f} '
                  f'{event.max_ms:7.0f} {event.bytes:16.0f}')
            values[f'{nodes} {event.name}: max ms'] = event.max_ms
            values[f'{nodes} {event.name}: bytes'] = event.bytes
    for loss in (0.0, 0.01, 0.05):
        dead = measure_false_alarms(45, loss)
        print(f'45 nodes, {loss:.0%} of messages lost for 30 s: '
              f'{dead} held dead wrongly')
        values[f'held dead at {loss:.0%} loss'] = dead
    print('roles of 300 entries  roles  moved when one goes  least')
    for moves in measure_moves():
        print(f'{moves.name:20} {moves.roles:6} {moves.moved:20.1f} '
              f'{moves.least:6.1f}')
        values[f'{moves.name}: moved'] = moves.moved
    print('  rows  step us  beat us  exchange us  links us  delegates us  '
          'bytes a row')
    for count in TABLE_ROWS:
        cost = measure_table(count)
        print(f'{count:6} {cost.step_us:8.1f} {cost.beat_us:8.0f} '
              f'{cost.exchange_us:12.0f} {cost.links_us:9.0f} '
              f'{cost.delegates_us:13.0f} '
              f'{cost.row_bytes:12.0f}')
    return bounds.check('membership', values)


def _list_all(node: gossip.Gossip) -> list[peer_pb2.Item]:
    held = node.replica.table.items.values()
    return [messages.write_item(item) for item in held]


def _run_event(nodes: int, seed: int, act: Callable) -> tuple[float, float]:
    fleet = fleets.make_fleet(nodes, *spread_benchmark.place(nodes), seed=seed)
    fleet.delay = spread_benchmark.delay_by_place(fleet)
    fleet.run(_SETTLE_MS)
    size = fleet.size
    fleet.run(_SETTLE_MS)
    rest = (fleet.size - size) / _SETTLE_MS
    size, began = fleet.size, fleet.now
    reached = act(fleet)
    took = fleet.run_until(reached, _LIMIT_MS)
    fleet.run(_SETTLE_MS)
    quiet = rest * (fleet.now - began)
    return took, (fleet.size - size - quiet) / nodes


def _hold(fleet: fleets.Fleet, instance: str, *states: Liveness) -> bool:
    for name, node in fleet.nodes.items():
        row = node.members.rows.get(instance)
        if name == instance:
            continue
        if row is None or row.instance.liveness not in states:
            return False
    return True


def _join(fleet: fleets.Fleet) -> Callable[[], bool]:
    listed = fleets.list_rows(fleet.rows.values())
    count = len(fleet.rows)
    domains = len({row.failure_domain for row in fleet.rows.values()})
    fresh = fleets.make_rows(count + 1, domains, domains // 3)[-1]
    node = fleet.start(fresh, listed)
    return lambda: node.joined and _hold(fleet, fresh.id, Liveness.LIVE)


def _leave(fleet: fleets.Fleet) -> Callable[[], bool]:
    gossip.leave(fleet.nodes['i0004'], fleet.now)
    return lambda: _hold(fleet, 'i0004', Liveness.LEAVING)


def _kill(fleet: fleets.Fleet) -> Callable[[], bool]:
    fleet.kill('i0004')
    return lambda: _hold(fleet, 'i0004', Liveness.DEAD)


def _lose_domain(fleet: fleets.Fleet) -> Callable[[], bool]:
    lost = [
        name for name, row in fleet.rows.items()
        if row.failure_domain == 'domain-01'
    ]
    for name in lost:
        fleet.kill(name)
    return lambda: all(
        _hold(fleet, name, Liveness.SUSPECT, Liveness.DEAD) for name in lost)


def _choose_delegates(rows: list[tables.Instance]) -> list[frozenset[str]]:
    chosen = []
    for shard in range(SHARDS):
        picked = roles.pick_delegates(f'team/service/{shard}', rows)
        chosen.append(frozenset(row.id for row in picked))
    return chosen


def _choose_modulo(rows: list[tables.Instance]) -> list[frozenset[str]]:
    chosen = []
    for shard in range(SHARDS):
        first = roles.score('modulo', str(shard))
        chosen.append(
            frozenset(rows[(first + 7 * step) % len(rows)].id
                      for step in range(roles.DELEGATES)))
    return chosen


def _choose_watchers(rows: list[tables.Instance]) -> list[frozenset[str]]:
    watchers = roles.pick_watchers(rows)
    return [frozenset(watchers[domain]) for domain in sorted(watchers)]


def _measure_moves(name: str, choose: Callable,
                   rows: list[tables.Instance]) -> Moves:
    before = choose(rows)
    moved, least = [], []
    for index in range(0, len(rows), _EVERY_ENTRY):
        after = choose(rows[:index] + rows[index + 1:])
        pairs = list(zip(before, after, strict=True))
        moved.append(sum(len(new - old) for old, new in pairs))
        least.append(sum(rows[index].id in old for old in before))
    total = sum(len(chosen) for chosen in before)
    return Moves(name, total, statistics.mean(moved), statistics.mean(least))


def _beat(node: gossip.Gossip) -> None:
    node.beat_at = float('-inf')
    gossip.tick(node, 1_000.0)


def _exchange(node: gossip.Gossip, call: gossip.Outgoing) -> None:
    # The node answers itself: the work of both sides, without the wire.
    reply = gossip.answer_exchange(node, call.message, 1_000.0)
    gossip.take_reply(node, call, reply, 1_000.0)


def _time(act: Callable[[], object], times: int = 50) -> float:
    act()
    began = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - began) / times * 1e6


if __name__ == '__main__':
    run()
