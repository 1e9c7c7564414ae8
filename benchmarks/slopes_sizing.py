"""Works out, from slopes, what each role costs a node at a size.

Every line is slope x size; nothing here is measured. `python -m
benchmarks.slopes sizing` measures the slopes first and prints the lines for
the sizes of today and of the design.
"""

from collections.abc import Iterable
import dataclasses

from benchmarks import peers as peers_benchmark
from benchmarks import slopes_calls
from benchmarks import slopes_memory
from benchmarks import slopes_messages
from benchmarks import slopes_systems
from lentilmoor import clocks
from lentilmoor import entries
from lentilmoor import loads
from lentilmoor import models
from lentilmoor import probes
from lentilmoor import roles

TICKS_PER_S = clocks.MS_PER_S / entries.TICK_MS
RENEWALS_PER_S = clocks.MS_PER_S / models.GrantSettings().renew_ms
# Of one server by one prober, while nobody else asks it.
PROBES_PER_S = clocks.MS_PER_S / probes.Paces().idle_ms
REPORTS_PER_S = 1.0
PLANS_PER_S = 0.5
EXCHANGES_PER_S = 4.0
LISTS_PER_S = 1.0
SLICES_PER_SERVER = 32
LIMIT_CORE = 0.019
LIMIT_MB = 32.0
LIMIT_KB_PER_S = 13.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A deployment, or the reading of the size to design for.

    Attributes:
      name: Its name.
      nodes: Entries.
      servers: Backend servers.
      shards: Groups of servers, each with a grantor.
      domains: Failure domains.
      keyed: Part of the shards whose servers are granted ranges.
    """

    name: str
    nodes: int
    servers: int
    shards: int
    domains: int
    keyed: float = 1.0

    @property
    def servers_per_shard(self) -> float:
        """Mean servers of a grantor."""
        return self.servers / self.shards

    @property
    def delegates(self) -> int:
        """Delegates of a shard."""
        return min(roles.DELEGATES, self.nodes)


TODAY = Size('today', nodes=12, servers=36, shards=3, domains=3, keyed=1 / 3)
# 32 M requests/s at 5 ms on 2 slots used to 70 %: 114,286 servers.
LETTER = Size('letter', nodes=4_900, servers=114_286, shards=4_900, domains=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Prices:
    """The slopes that sizing needs; microseconds and bytes.

    Attributes:
      tick_us: Of a grantor's tick, beyond its calls.
      call_us: Of the grantor's systems for each call that it makes.
      grant_us: Renewal of a grant, at the caller.
      grant_bytes: On the wire, both ways.
      probe_us: Probe, at the caller.
      probe_bytes: On the wire, both ways.
      lease_us: Renewal of a routing lease, at either side.
      lease_bytes: On the wire, both ways.
      lease_server_bytes: Added for each server of the shard.
      lease_work_us: Conversion and acceptance, both sides.
      report_slice_us: Conversion and folding of a slice in a report.
      report_slice_bytes: Of a slice in a report.
      step_node_us: A quiet step of one shard, for each node known.
      step_us: The same at no nodes.
      probe_row_us: A step of probes for each server known.
      exchange_us: An exchange, at either side.
      exchange_bytes: On the wire, both ways.
      plan_server_us: A plan, for each server.
      server_bytes: Memory of a server known.
      slice_bytes: Memory of a slice at a delegate.
      granted_slice_bytes: Memory of a slice at its grantor.
      member_bytes: Memory of a node known.
      listed_bytes: Of a node in the platform's list.
      imports_mb: Resident memory of an entry's imports.
    """

    tick_us: float
    call_us: float
    grant_us: float
    grant_bytes: float
    probe_us: float
    probe_bytes: float
    lease_us: float
    lease_bytes: float
    lease_server_bytes: float
    lease_work_us: float
    report_slice_us: float
    report_slice_bytes: float
    step_node_us: float
    step_us: float
    probe_row_us: float
    exchange_us: float
    exchange_bytes: float
    plan_server_us: float
    server_bytes: float
    slice_bytes: float
    granted_slice_bytes: float
    member_bytes: float
    listed_bytes: float
    imports_mb: float


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One role's part in what a node spends on control, on average.

    Attributes:
      role: The role.
      what: What is counted, and how it was worked out.
      core: Share of a core.
      kb_per_s: Bytes sent and received, KB/s.
      mb: Memory, MB.
    """

    role: str
    what: str
    core: float = 0.0
    kb_per_s: float = 0.0
    mb: float = 0.0


def work_out(size: Size, prices: Prices) -> list[Line]:
    """Returns what each role costs the mean node."""
    return [
        *_size_grantor(size, prices),
        *_size_delegate(size, prices),
        *_size_tables(size, prices),
        *_size_others(size, prices),
    ]


def add_up(lines: Iterable[Line]) -> Line:
    """Returns the sum of some lines."""
    lines = list(lines)
    return Line('all', '', sum(line.core for line in lines),
                sum(line.kb_per_s for line in lines),
                sum(line.mb for line in lines))


def _line(role: str,
          what: str,
          per_s: float = 0.0,
          us: float = 0.0,
          size: float = 0.0,
          memory: float = 0.0) -> Line:
    return Line(role, what, per_s * us / 1e6, per_s * size / 1e3, memory / 1e6)


def _size_grantor(size: Size, prices: Prices) -> list[Line]:
    held = size.shards / size.nodes
    granted = held * size.servers_per_shard * size.keyed
    grants = granted * RENEWALS_PER_S
    leases = held * size.delegates * RENEWALS_PER_S
    slices = held * size.servers_per_shard * SLICES_PER_SERVER * size.keyed
    reports = held * size.delegates * _count_reported(size)
    lease_bytes = (prices.lease_bytes +
                   prices.lease_server_bytes * size.servers_per_shard)
    return [
        _line('grantor', f'{grants:.1f} renewals of grants/s', grants,
              prices.grant_us + prices.call_us, prices.grant_bytes),
        _line('grantor', f'{leases:.1f} renewals of leases/s', leases,
              prices.lease_us + prices.lease_work_us + prices.call_us,
              lease_bytes),
        _line('grantor', f'{reports:.0f} slices in reports/s', reports,
              prices.report_slice_us, prices.report_slice_bytes),
        _line('grantor', f'{held * TICKS_PER_S:.0f} ticks/s of its shards',
              held * TICKS_PER_S, prices.tick_us),
        _line('grantor', f'plans for {granted:.0f} servers',
              granted * PLANS_PER_S, prices.plan_server_us),
        _line('grantor',
              f'{slices:.0f} slices of loads',
              memory=slices * prices.granted_slice_bytes),
    ]


def _size_delegate(size: Size, prices: Prices) -> list[Line]:
    held = size.shards * size.delegates / size.nodes
    leases = held * RENEWALS_PER_S
    lease_bytes = (prices.lease_bytes +
                   prices.lease_server_bytes * size.servers_per_shard)
    slices = held * size.servers_per_shard * SLICES_PER_SERVER * size.keyed
    reported = held * _count_reported(size)
    return [
        _line('delegate', f'{leases:.1f} leases taken/s, {held:.0f} shards',
              leases, prices.lease_us + prices.lease_work_us, lease_bytes),
        _line('delegate', f'{reported:.0f} slices reported/s', reported,
              prices.report_slice_us / 2, prices.report_slice_bytes),
        _line('delegate',
              f'{slices:.0f} slices',
              memory=slices * prices.slice_bytes),
    ]


def _count_reported(size: Size) -> float:
    """Returns the slices that one delegate reports of a shard, each second."""
    slices = size.servers_per_shard * SLICES_PER_SERVER
    return size.keyed * min(slices, loads.REPORTED_SLICES) * REPORTS_PER_S


def _size_tables(size: Size, prices: Prices) -> list[Line]:
    """What is paid for each shard and server that the settings name."""
    per_step = prices.step_us + prices.step_node_us * size.nodes
    steps = size.shards * TICKS_PER_S
    return [
        _line('every node', f'{steps:.0f} steps of shards/s', steps, per_step),
        _line('every node', f'{size.servers} probe rows looked at each tick',
              size.servers * TICKS_PER_S, prices.probe_row_us),
        _line('every node',
              f'rows of {size.servers} servers',
              memory=size.servers * prices.server_bytes),
    ]


def _size_others(size: Size, prices: Prices) -> list[Line]:
    asked = size.servers * roles.PROBERS * PROBES_PER_S / size.nodes
    watchers = max(3, size.domains)
    listed = watchers * LISTS_PER_S / size.nodes
    return [
        _line('prober', f'{asked:.1f} probes/s', asked, prices.probe_us,
              prices.probe_bytes),
        _line('member', f'{EXCHANGES_PER_S:.0f} exchanges/s, both sides',
              EXCHANGES_PER_S, 2 * prices.exchange_us,
              2 * prices.exchange_bytes),
        _line('member',
              f'rows of {size.nodes} nodes',
              memory=size.nodes * prices.member_bytes),
        _line(
            'watcher', f'the list, of {size.nodes} lines, {watchers} a second '
            'over all nodes', listed, 0.0, size.nodes * prices.listed_bytes),
        Line('process', 'imports', mb=prices.imports_mb),
    ]


def measure_prices() -> Prices:
    """Measures every slope that sizing needs."""
    cost = {
        (item.name, item.unit): item.line for item in slopes_systems.measure()
    }
    sizes = {item.name: item.line for item in slopes_messages.measure()}
    grantor = cost['grantor, a second', 'servers']
    step = cost['shardstates.step, no grantor', 'nodes']
    converted = cost['lease order without map, both sides', 'servers']
    report = cost['lease reply with report, both sides', 'slices']
    call_us = grantor.slope / RENEWALS_PER_S
    fixed_us = grantor.base - roles.DELEGATES * RENEWALS_PER_S * call_us
    return Prices(
        **_measure_calls(),
        **_measure_rows(),
        tick_us=fixed_us / TICKS_PER_S,
        call_us=call_us,
        lease_server_bytes=sizes['lease order without map'].slope +
        sizes['lease reply with loads'].slope,
        lease_work_us=converted.at(24) / 2,
        report_slice_us=report.points[0][1] / loads.REPORTED_SLICES / 2 +
        cost['means.fold and read', 'slices'].slope,
        report_slice_bytes=sizes['lease reply with report'].points[0][1] /
        loads.REPORTED_SLICES,
        step_node_us=step.slope,
        step_us=step.base,
        probe_row_us=cost['probes.step', 'servers'].slope,
        plan_server_us=cost['balance.plan, even', 'servers'].slope,
    )


def _measure_calls() -> dict[str, float]:
    calls = {item.name: item for item in slopes_calls.measure()}
    peers = {item.name: item for item in peers_benchmark.measure()}
    lease, exchange = peers['lease, one by one'], peers['exchange, one by one']
    grant = calls['renewal of a grant']
    probe = calls['probe over a fresh connection']
    return {
        'grant_us': grant.cpu_us,
        'grant_bytes': grant.wire_bytes,
        'probe_us': probe.cpu_us,
        'probe_bytes': probe.wire_bytes,
        'lease_us': (lease.caller_us + lease.callee_us) / 2,
        'lease_bytes': lease.wire_bytes,
        'exchange_us': (exchange.caller_us + exchange.callee_us) / 2,
        'exchange_bytes': exchange.wire_bytes,
    }


def _measure_rows() -> dict[str, float]:
    rows = {item.name: item.line.slope for item in slopes_memory.measure()}
    map_bytes = rows['slice: map']
    return {
        'server_bytes':
            sum(value for name, value in rows.items()
                if name.startswith('server: ')),
        'slice_bytes':
            map_bytes + rows['slice: recorder beside its map'],
        'granted_slice_bytes':
            map_bytes + rows['slice: load table beside its map'],
        'member_bytes':
            rows['member and its item'],
        'listed_bytes':
            slopes_calls.measure_listed(),
        'imports_mb':
            slopes_memory.measure_imports()[-1].rss / 1e6,
    }


def main() -> None:
    """Measures the prices and prints what follows from them."""
    prices = measure_prices()
    for field in dataclasses.fields(prices):
        print(f'{field.name:22} {getattr(prices, field.name):10.3f}')
    for size in (TODAY, LETTER):
        lines = work_out(size, prices)
        print(f'{size.name}: {size.nodes} nodes, {size.servers} servers, '
              f'{size.shards} shards; per node, mean')
        for line in (*lines, add_up(lines)):
            print(f'  {line.role:12}{line.what:55} {line.core:9.2%} of a core '
                  f'{line.kb_per_s:8.2f} KB/s {line.mb:8.2f} MB')


if __name__ == '__main__':
    main()
