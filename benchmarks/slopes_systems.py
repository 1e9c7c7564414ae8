"""Processor time of each control system against the rows of its tables.

Each measurement runs a system in process over tables of three or more sizes
and gives microseconds of processor time per step. Times are this machine's.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
import dataclasses
import random
import time

from benchmarks import claims as claims_benchmark
from benchmarks import membership as membership_benchmark
from benchmarks import slopes_fits as fits
from lentilmoor import admission
from lentilmoor import balance
from lentilmoor import catalogs
from lentilmoor import delegates
from lentilmoor import entries
from lentilmoor import evidence
from lentilmoor import grantors
from lentilmoor import grants
from lentilmoor import leasing
from lentilmoor import liveness
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import models
from lentilmoor import plans
from lentilmoor import probes
from lentilmoor import quarantine
from lentilmoor import queues
from lentilmoor import records
from lentilmoor import roles
from lentilmoor import shardstates
from lentilmoor import slices
from lentilmoor import snapshots
from lentilmoor import tables
from lentilmoor.protocol import peer_pb2
from tests import fleets

SHARD = 'team/service/0'
SEED = 1
TICK_MS = entries.TICK_MS
SERVERS = (4, 40, 400)
NODES = (12, 120, 1_200)
SLICES = (480, 4_800, 48_000)
SUSPECTS = (40, 400, 4_000)
SLICES_PER_SERVER = 32

_LEAST_S = 0.03
_SETTLED_MS = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Processor time of one system.

    Attributes:
      name: The system and what it did.
      unit: What the rows are.
      line: Points and the line through them, microseconds.
    """

    name: str
    unit: str
    line: fits.Line


def spend(work: Callable[[], object]) -> float:
    """Returns the processor time of a call, microseconds."""
    work()
    count = 1
    while True:
        began = time.process_time()
        for _ in range(count):
            work()
        spent = time.process_time() - began
        if spent >= _LEAST_S:
            return spent / count * 1e6
        count = max(2 * count, int(count * _LEAST_S / max(spent, 1e-4)))


def measure() -> list[Cost]:
    """Measures all systems."""
    return [
        _sweep('liveness.step, all quiet', 'servers', SERVERS, _step_quiet),
        _sweep('liveness.step, all failing', 'servers', SERVERS, _step_failing),
        _sweep('evidence.record', 'servers', SERVERS, _record),
        _sweep('probes.step', 'servers', SERVERS, _step_probes),
        _sweep('roles.pick_delegates', 'nodes', NODES, _pick_delegates),
        _sweep('roles.pick_watchers', 'nodes', NODES, _pick_watchers),
        _sweep('shardstates.step, no grantor', 'nodes', NODES, _step_idle),
        _sweep('grantor, a second', 'servers', (4, 15, 40, 400),
               _grant_servers),
        _sweep('grantor, a second', 'delegates', (3, 12, 48, 300),
               _grant_delegates),
        _sweep('grantor, longest step, a third lost', 'servers',
               (6, 24, 48, 96), _lose_third),
        _sweep('lease order with map, both sides', 'slices', SLICES,
               _convert_map),
        _sweep('lease order without map, both sides', 'servers', SERVERS,
               _convert_order),
        _sweep('lease reply with report, both sides', 'slices', SLICES,
               _convert_report),
        _sweep('means.fold and read', 'slices', SLICES, _fold),
        _sweep('balance.plan, even', 'servers', SERVERS, _plan_even),
        _sweep('balance.plan, a server lost', 'servers', SERVERS, _plan_lost),
        _sweep('snapshots.make_route', 'servers', SERVERS, _make_route),
        _sweep('snapshots.make_relays, members change', 'nodes', NODES,
               _make_relays),
        _sweep('quarantine.step', 'suspects', SUSPECTS, _step_quarantine),
        _sweep('quarantine.check', 'suspects', SUSPECTS, _check_quarantine),
        _sweep('admission enter and leave', 'servers', (1, 10, 100), _admit),
        _sweep('gossip beat', 'nodes', (100, 1_000, 10_000), _beat),
        _sweep('claim', 'claims', (1, 10, 100), _claim),
    ]


def _sweep(name: str, unit: str, sizes: tuple[int, ...],
           make: Callable[[int], Callable[[], object] | float]) -> Cost:
    points = []
    for size in sizes:
        made = make(size)
        points.append((size, spend(made) if callable(made) else made))
    return Cost(name, unit, fits.fit(points))


def _make_instances(count: int) -> dict[str, tables.Instance]:
    domains, regions = (3, 1) if count <= 12 else (15, 5)
    return {row.id: row for row in fleets.make_rows(count, domains, regions)}


def make_views(count: int) -> evidence.LivenessTable:
    """Returns a table of servers that were all just answered."""
    table = evidence.LivenessTable('i0001', 'domain-01')
    for index in range(count):
        key = (SHARD, f's{index}')
        evidence.add_server(table, key)
        for source in evidence.Source:
            evidence.record(table, key, source, evidence.Result.ANSWERED, 999.0,
                            1_000.0)
    return table


def _step_quiet(count: int) -> Callable[[], object]:
    table = make_views(count)
    instances = _make_instances(12)
    return lambda: liveness.step(table, instances, 1_010.0)


def _step_failing(count: int) -> Callable[[], object]:
    table = make_views(count)
    instances = _make_instances(12)
    for index in range(count):
        for peer in ('i0001', 'i0002'):
            row = evidence.Evidence(SHARD, f's{index}', evidence.Source.PROBE,
                                    2, 0, 5.0, 30.0)
            evidence.merge(table, peer, 'domain-02', [row], 1_010.0)
        evidence.record(table, (SHARD, f's{index}'), evidence.Source.PROBE,
                        evidence.Result.TIMED_OUT, 1_005.0, 1_010.0)
    return lambda: liveness.step(table, instances, 1_015.0)


def _record(count: int) -> Callable[[], object]:
    table = make_views(count)
    return lambda: evidence.record(table,
                                   (SHARD, 's1'), evidence.Source.REQUEST,
                                   evidence.Result.ANSWERED, 1_009.0, 1_010.0)


def make_probes(count: int) -> probes.ProbeTable:
    """Returns probe rows of which a quarter are this entry's to probe."""
    table = probes.ProbeTable()
    addresses = {(SHARD, f's{index}'): '127.0.0.1:1' for index in range(count)}
    mine = set(list(addresses)[::4])
    probes.assign(table, addresses, mine, set())
    return table


def _step_probes(count: int) -> Callable[[], object]:
    table = make_probes(count)
    views = make_views(count)
    probes.step(table, views, 1_000.0)
    return lambda: probes.step(table, views, 1_010.0)


def _pick_delegates(count: int) -> Callable[[], object]:
    instances = _make_instances(count)
    return lambda: roles.pick_delegates(SHARD, instances.values())


def _pick_watchers(count: int) -> Callable[[], object]:
    instances = _make_instances(count)
    return lambda: roles.pick_watchers(instances.values())


def make_shard(servers: int) -> catalogs.Shard:
    """Returns a keyed shard of so many servers."""
    rows = {
        f's{index}':
            models.ServerSettings(id=f's{index}',
                                  address=f'127.0.0.1:{index + 1}',
                                  failure_domain=f'domain-{index % 3 + 1}')
        for index in range(servers)
    }
    settings = models.ServiceSettings(servers=list(rows.values()))
    return catalogs.Shard(SHARD, 0, settings, models.Weights(), rows)


def _step_idle(count: int) -> Callable[[], object]:
    instances = _make_instances(count)
    state = shardstates.make_state(make_shard(15), 'none', 0.0)
    return lambda: shardstates.step(state, instances, 1, 'none', 1.0)


@dataclasses.dataclass(slots=True)
class Store:
    """The record of a grantor's shard."""

    record: records.ShardRecord | None = None
    version: int = 0


def make_grantor(servers: int, members: int,
                 store: Store) -> grants.GrantorTable:
    """Returns a grantor that serves, after its takeover."""
    row = grantors.make_row(SHARD,
                            'd0',
                            500.0,
                            125.0,
                            1_000.0,
                            slices_per_server=SLICES_PER_SERVER)
    table = {SHARD: row}
    for index in range(servers):
        added = grants.ServerAdded(SHARD, f's{index}', '127.0.0.1:1')
        grantors.apply_event(table, added, 0.0)
    names = tuple(f'd{index}' for index in range(members))
    grantors.apply_event(table, grants.ChooseDelegates(SHARD, names), 0.0)
    grantors.apply_event(table, grants.Takeover(SHARD), 0.0)
    run_grantor(table, store, 0.0, _SETTLED_MS)
    assert grantors.is_authoritative(row, _SETTLED_MS)
    return table


def run_grantor(table: grants.GrantorTable, store: Store, began: float,
                ended: float) -> int:
    """Steps a grantor each tick and answers all it does; returns the calls."""
    calls = 0
    now = began
    while now < ended:
        now += TICK_MS
        while actions := grantors.step_grantor(table, now):
            calls += len(actions)
            for action in actions:
                event = _answer(action, store, now)
                grantors.apply_event(table, event, now)
    return calls


def _answer(action: grants.Action, store: Store, now: float) -> grants.Event:
    match action:
        case grants.ReadRecord():
            return grants.RecordRead(action, store.record, store.version)
        case grants.SwapRecord():
            store.record = action.record
            store.version += 1
            return grants.RecordSwapped(action, store.version)
        case grants.AskServer():
            return grants.ServerAnswered(action, now)
        case grants.SendGrant():
            return grants.GrantAnswered(action, now)
    order = action.order
    held = (0, 0) if order.gather else order.map_version
    reply = grants.LeaseReply(action.delegate,
                              True,
                              order.epoch,
                              order.sequence,
                              held,
                              clock_ms=now,
                              drained=order.sequence)
    return grants.LeaseAnswered(action, reply)


def _grant(servers: int, members: int) -> Callable[[], object]:
    store = Store()
    table = make_grantor(servers, members, store)
    at = [4_000.0]

    def work() -> None:
        run_grantor(table, store, at[0], at[0] + 1_000.0)
        at[0] += 1_000.0

    return work


def _grant_servers(count: int) -> Callable[[], object]:
    return _grant(count, 12)


def _grant_delegates(count: int) -> Callable[[], object]:
    return _grant(15, count)


def _lose_third(count: int) -> float:
    """Returns a grantor's longest step after it lost a third, microseconds."""
    store = Store()
    table = make_grantor(count, 4, store)
    row = table[SHARD]
    rows = _make_servers(list(row.committed.servers))
    lost = [f's{index}' for index in range(0, count, 3)]
    for name in lost:
        rows[name].liveness = tables.Liveness.DEAD
        grantors.apply_event(table, grants.ServerLost(SHARD, name), _SETTLED_MS)
    seen = means.read(means.make_table(row.committed, 0.0), _SETTLED_MS)
    plan = balance.plan(row.committed, seen, rows, models.Weights(),
                        plans.Limits(), _SETTLED_MS)
    grantors.apply_event(table, grants.PlanMoves(SHARD, plan), _SETTLED_MS)
    longest = 0.0
    now = _SETTLED_MS
    while now < _SETTLED_MS + 1_000.0:
        now += TICK_MS
        longest = max(longest, _step_lossy(table, store, lost, now))
    return longest * 1e6


def _step_lossy(table: grants.GrantorTable, store: Store, lost: list[str],
                now: float) -> float:
    """Steps until nothing is due; returns the longest step, s."""
    longest = 0.0
    while True:
        began = time.process_time()
        actions = grantors.step_grantor(table, now)
        longest = max(longest, time.process_time() - began)
        if not actions:
            return longest
        for action in actions:
            if getattr(action, 'server', '') in lost:
                event = grants.CallFailed(action)
            else:
                event = _answer(action, store, now)
            grantors.apply_event(table, event, now)


def _make_servers(names: list[str]) -> dict[str, tables.Server]:
    return {
        name:
            tables.Server(name, '127.0.0.1:1', SHARD, f'domain-{index % 3 + 1}')
        for index, name in enumerate(names)
    }


def make_map(count: int) -> slices.SliceMap:
    """Returns a map of so many slices, 32 to a server."""
    servers = tuple(f's{index}' for index in range(count // SLICES_PER_SERVER))
    return slices.make_map(servers, SLICES_PER_SERVER)


def make_order(slice_map: slices.SliceMap,
               with_map: bool,
               homes: int = 0) -> grants.LeaseOrder:
    """Returns a grantor's order as it is sent."""
    return grants.LeaseOrder(SHARD,
                             'entry-2.0a1b2c3d',
                             'entry-1.0a1b2c3d',
                             7,
                             42,
                             500.0,
                             123_456.5,
                             slice_map.version,
                             slice_map if with_map else None,
                             homes=('entry-3.0a1b2c3d',) * homes)


def _convert(order: grants.LeaseOrder) -> Callable[[], object]:
    lease = delegates.make_row(SHARD, order.delegate, 0.0)

    def work() -> None:
        text = leasing.write_order(order).SerializeToString()
        read = leasing.read_order(peer_pb2.LeaseRequest.FromString(text))
        reply = delegates.accept_lease(lease, read, 123_457.0)
        text = leasing.write_reply(delegates.add_drained(
            reply, None)).SerializeToString()
        leasing.read_reply(peer_pb2.LeaseReply.FromString(text))

    return work


def _convert_map(count: int) -> Callable[[], object]:
    return _convert(make_order(make_map(count), True))


def _convert_order(count: int) -> Callable[[], object]:
    return _convert(make_order(make_map(SLICES[0]), False, homes=count))


def make_report(slice_map: slices.SliceMap) -> loads.Report:
    """Returns a report in which each slice had a request."""
    rng = random.Random(SEED)
    recorder = loads.make_recorder(slice_map)
    points = [bound + rng.randrange(1_000) for bound in slice_map.bounds]
    loads.record(recorder, points, [rng.expovariate(0.2) for _ in points])
    return loads.take_report(recorder)


def _convert_report(count: int) -> Callable[[], object]:
    report = make_report(make_map(count))

    def work() -> None:
        message = peer_pb2.LeaseReply()
        leasing.write_report(message, report)
        text = message.SerializeToString()
        leasing.read_report(peer_pb2.LeaseReply.FromString(text))

    return work


def _make_loads(count: int) -> means.LoadTable:
    slice_map = make_map(count)
    table = means.make_table(slice_map, 0.0)
    for second in range(1, 31):
        means.fold(table, make_report(slice_map), second * 1_000.0)
    return table


def _fold(count: int) -> Callable[[], object]:
    table = _make_loads(count)
    report = make_report(table.slice_map)

    def work() -> None:
        means.fold(table, report, 31_000.0)
        means.read(table, 31_000.0)

    return work


def _plan(count: int, lost: bool) -> Callable[[], object]:
    table = _make_loads(count * SLICES_PER_SERVER)
    rows = {
        name:
            tables.Server(name, '127.0.0.1:1', SHARD, f'domain-{index % 3 + 1}')
        for index, name in enumerate(table.slice_map.servers)
    }
    if lost:
        rows['s1'].liveness = tables.Liveness.DEAD
    seen = means.read(table, 30_000.0)
    limits = plans.Limits()
    weights = models.Weights()
    return lambda: balance.plan(table.slice_map, seen, rows, weights, limits,
                                30_000.0)


def _plan_even(count: int) -> Callable[[], object]:
    return _plan(count, False)


def _plan_lost(count: int) -> Callable[[], object]:
    return _plan(count, True)


def _make_route(count: int) -> Callable[[], object]:
    state = shardstates.make_state(make_shard(count), 'entry-1', 0.0)
    slice_map = make_map(count * SLICES_PER_SERVER)
    order = make_order(slice_map, True)
    state.lease.me = order.delegate
    assert delegates.accept_lease(state.lease, order, 123_457.0).accepted
    nearest = list(_make_instances(12).values())
    return lambda: snapshots.make_route(state, nearest)


def _make_relays(count: int) -> Callable[[], object]:
    instances = _make_instances(count)
    return lambda: snapshots.make_relays(instances.values())


def make_suspects(count: int) -> quarantine.Quarantine:
    """Returns a quarantine with a crash of each of so many requests."""
    table = quarantine.Quarantine()
    for index in range(count):
        quarantine.report_crash(table, index.to_bytes(16, 'big'),
                                'team/service', f's{index % 15}', 1_000.0)
    return table


def _step_quarantine(count: int) -> Callable[[], object]:
    table = make_suspects(count)
    return lambda: quarantine.step(table, 1_001.0)


def _check_quarantine(count: int) -> Callable[[], object]:
    table = make_suspects(count)
    name = (1).to_bytes(16, 'big')
    return lambda: quarantine.check(table, name, 1_001.0)


def _admit(count: int) -> Callable[[], object]:
    policy = (queues.ClassPolicy('normal'),)
    gates = [
        admission.Gate(f's{index}', admission.GateSettings(policy))
        for index in range(count)
    ]
    at = [0]

    def work() -> None:
        at[0] += 1
        gate = gates[at[0] % count]
        slot = gate.enter(queues.Ticket('caller', 0, at[0] + 2_000.0), at[0])
        gate.leave(slot, 5.0, at[0] + 5.0)

    return work


def _beat(count: int) -> float:
    return membership_benchmark.measure_table(count).beat_us


def _claim(count: int) -> float:
    """Returns the time of so many claims, at a site's rate."""
    return claims_benchmark.measure_slopes(1_000).cpu_us * count
