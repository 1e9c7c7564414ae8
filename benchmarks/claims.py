"""At most once: store writes and added latency, beside naive versions.

Claims and the store run in simulated time and seeded; the store serves writes
one after the other at a fixed rate, 100 others a second among them. Processor
time and the time to load a log are this machine's and carry no bound.
"""

from array import array
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import pathlib
import random
import time
import tracemalloc

import numpy as np
import yaml

from lentilmoor import claimcodecs
from lentilmoor import claimlogs
from lentilmoor import claims
from lentilmoor import claimsets
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import stores
from tests import claimworlds

SEED = 1
STORE_WRITES_PER_S = 400.0
OTHER_WRITES_PER_S = 100.0
SERVICE_MS = 10.0
UTILIZATION = 0.6
SLOTS = 2
ANSWER_BYTES = 300
GIVE_UP_MS = 1_000.0
SCHEDULES = 300
STEPS = 120
NAIVE = (claimworlds.EntryMemory, claimworlds.GrantorMemory,
         claimworlds.Unfenced)
_BOUNDS = pathlib.Path(__file__).with_name('bounds_claims.yaml')
_Kind = claimlogs.SettlementKind


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Where a service runs, and how much of it may not be repeated.

    Attributes:
      name: Team and service.
      servers: Its backend servers.
      share: Of its requests, those that may not be repeated; assumed.
      hop_ms: One way between two failure domains.
    """

    name: str
    servers: int
    share: float
    hop_ms: float

    @property
    def rate(self) -> float:
        """Claims a second at `UTILIZATION`."""
        capacity = self.servers * SLOTS * clocks.MS_PER_S / SERVICE_MS
        return capacity * UTILIZATION * self.share


SITES = (Site('hsinchu orders', 8, 0.25,
              1.5), Site('nilebridge bookings', 7, 0.40, 0.5))
BUDGETS = (20.0, 40.0, 80.0, 120.0)
LETTER_REQUESTS_PER_S = 32e6
LETTER_NODES = 4_900
LETTER_DOMAINS = 15
LETTER_SHARES = (0.001, 0.01, 0.05)
LOADS = (0.02, 0.1, 0.3, 1.0, 4.0)  # Of a site's rate.


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One version at one rate.

    Attributes:
      site: Where.
      rate: Claims a second.
      version: Which way of claiming.
      writes_per_s: Of the store, for claims.
      kb_per_s: Written to the store for claims.
      p50_ms: Added before dispatch.
      p99_ms: The same.
      refused: Share of the claims that were refused.
    """

    site: str
    rate: float
    version: str
    writes_per_s: float
    kb_per_s: float
    p50_ms: float
    p99_ms: float
    refused: float


class _Queue:
    """The store's writes, one after the other; others' come in between."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._free_at = 0.0
        self._next_other = 0.0
        self._other_ms = clocks.MS_PER_S / OTHER_WRITES_PER_S

    def end_at(self, now: float) -> float:
        """Returns when a write that arrives now is done; in order of `now`."""
        while self._next_other <= now:
            self._serve(self._next_other)
            self._next_other += self._rng.expovariate(1 / self._other_ms)
        return self._serve(now)

    def _serve(self, now: float) -> float:
        write_ms = clocks.MS_PER_S / STORE_WRITES_PER_S
        self._free_at = max(self._free_at, now) + write_ms
        return self._free_at


class _Simulation:
    """One grantor, its entries and the store."""

    def __init__(self, site: Site, rate: float, seconds: float):
        self.rng = random.Random(SEED)
        self.time = clocks.ManualTime(0.0)
        self.site = site
        self.rate = rate
        self.ends = seconds * clocks.MS_PER_S
        self.store = claimworlds.FakeStore()
        self.queue = _Queue(self.rng)
        self.table = claimtables.make_table(claimworlds.SHARD, 1, 3600,
                                            self.time.clock())
        self.asked: dict[int, tuple[float, claimlogs.Claim]] = {}
        self.waits: list[float] = []
        self.refused = 0
        self.bytes = 0
        self.spent_s = 0.0
        self._order = itertools.count()
        self._events: list = []

    def run(self) -> None:
        """Runs to the end."""
        self._apply(claimtables.AuthorityHeld(1e12))
        self._at(100.0, self._arrive)
        self._wake()
        while self._events:
            at, _, act = heapq.heappop(self._events)
            if at > self.ends:
                break
            self.time.at = at
            act()
            self._wake()

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _wake(self) -> None:
        started = time.perf_counter()
        actions = claims.step_claims(self.table, self.time.at)
        self.spent_s += time.perf_counter() - started
        self._take(actions)
        due = claims.next_step_at(self.table, self.time.at)
        if due is not None:
            self._at(max(due, self.time.at + 0.1), lambda: None)

    def _arrive(self) -> None:
        now = self.time.at
        number = len(self.asked)
        claim = claimlogs.Claim(self.rng.randbytes(16), self.rng.randbytes(8),
                                f'entry-{number % 12}', number)
        self.asked[number] = (now, claim)
        asked = claimtables.ClaimAsked(number, claim, 2_000)
        self._at(now + self.site.hop_ms, lambda: self._apply(asked))
        self._at(now + self.rng.expovariate(self.rate) * clocks.MS_PER_S,
                 self._arrive)

    def _apply(self, event: claimtables.Event) -> None:
        started = time.perf_counter()
        actions = claims.apply(self.table, event, self.time.at)
        self.spent_s += time.perf_counter() - started
        self._take(actions)

    def _take(self, actions: list[claimtables.Action]) -> None:
        for action in actions:
            if isinstance(action, claimtables.Reply):
                self._reply(action)
            elif isinstance(action, claimtables.ReadSegments):
                read = claimtables.SegmentsRead(action.prefix, ())
                self._at(self.time.at + 5, lambda read=read: self._apply(read))
            elif isinstance(action, claimtables.SwapSegment):
                self._swap(action)

    def _swap(self, action: claimtables.SwapSegment) -> None:
        self.bytes += len(action.payload)
        done = self.queue.end_at(self.time.at) + 2 * self.site.hop_ms
        self._at(
            done, lambda: self._apply(
                claimtables.SegmentSwapped(action.key, self.store.run(action))))

    def _reply(self, reply: claimtables.Reply) -> None:
        asked_at, claim = self.asked[reply.token]
        if reply.verdict is not claimtables.Verdict.GRANTED:
            self.refused += 1
            return
        self.waits.append(self.time.at + self.site.hop_ms - asked_at)
        settled = claimtables.SettleAsked(-1, claim.digest, claim.attempt,
                                          _Kind.ANSWERED, bytes(ANSWER_BYTES))
        self._at(
            self.time.at + self.rng.expovariate(1 / SERVICE_MS) +
            2 * self.site.hop_ms, lambda: self._apply(settled))


def simulate_grouped(site: Site, rate: float, seconds: float) -> Row:
    """Returns the figures of grouped claims."""
    simulation = _Simulation(site, rate, seconds)
    simulation.run()
    answered = len(simulation.waits) + simulation.refused
    p50, p99 = np.percentile(simulation.waits, (50, 99))
    return Row(site.name, rate, 'grouped (ours)',
               simulation.store.writes / seconds,
               simulation.bytes / seconds / 1000, float(p50), float(p99),
               simulation.refused / answered)


def simulate_single(site: Site, rate: float, seconds: float) -> Row:
    """Returns the figures of one write per request, by the dispatcher."""
    rng = random.Random(SEED)
    queue = _Queue(rng)
    now = 0.0
    waits = []
    while now < seconds * clocks.MS_PER_S:
        now += rng.expovariate(rate) * clocks.MS_PER_S
        waits.append(queue.end_at(now) + 2 * site.hop_ms - now)
    kept = [wait for wait in waits if wait < GIVE_UP_MS]
    p50, p99 = np.percentile(kept, (50, 99))
    return Row(site.name, rate, 'one write each',
               len(waits) / seconds,
               len(waits) * 40 / seconds / 1000, float(p50), float(p99),
               1 - len(kept) / len(waits))


def measure() -> list[Row]:
    """Returns all rows: sites, loads and versions."""
    rows = []
    for site in SITES:
        for load in LOADS:
            rate = site.rate * load
            seconds = min(60.0, max(10.0, 4_000 / rate))
            rows.append(simulate_grouped(site, rate, seconds))
            rows.append(simulate_single(site, rate, seconds))
            rows.append(Row(site.name, rate, 'no claims', 0, 0, 0, 0, 0))
    return rows


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """Costs of one claim.

    Attributes:
      tail_bytes: In the tail segment that commits it.
      archive_bytes: In its archive.
      memory_bytes: At the grantor once it has ended.
      cpu_us: To claim, grant, settle and archive it, at a site's rate.
      load_us: To load it from an archive.
      load_tail_us: To load it from a tail segment.
    """

    tail_bytes: float
    archive_bytes: float
    memory_bytes: float
    cpu_us: float
    load_us: float
    load_tail_us: float


def measure_slopes(number: int = 100_000) -> Slopes:
    """Returns the costs of one claim, over so many claims."""
    rng = random.Random(SEED)
    simulation = _Simulation(SITES[0], SITES[0].rate, 20.0)
    simulation.run()
    cpu_us = simulation.spent_s * 1e6 / len(simulation.waits)
    claimed = tuple(
        claimlogs.Claim(rng.randbytes(16), rng.randbytes(8),
                        f'entry-{index % 12}', index) for index in range(1000))
    tail = claimcodecs.encode_tail(claimlogs.Tail(1, 1, 0.0, (), claimed))
    records = _make_archives(rng, number)
    archived = sum(len(record.value) for record in records)
    memory, load_us = _load(records, number)
    record = stores.Record(claimlogs.tail_key(claimworlds.SHARD, 1), tail, 1)
    load_tail_us = _load([record], len(claimed))[1]
    return Slopes(
        len(tail) / len(claimed), archived / number, memory / number, cpu_us,
        load_us, load_tail_us)


def _make_archives(rng: random.Random, number: int) -> list[stores.Record]:
    size = claimlogs.ARCHIVE_BYTES // 12
    records = []
    for index, start in enumerate(range(0, number, size)):
        count = min(size, number - start)
        prefixes = array('Q', sorted(rng.getrandbits(64) for _ in range(count)))
        marks = array('I', (rng.getrandbits(32) for _ in range(count)))
        archive = claimlogs.Archive(1, index + 1, 1e6 + index,
                                    claimsets.Run(prefixes, marks, 0.0))
        key = claimlogs.archive_key(claimworlds.SHARD, index)
        value = claimcodecs.encode_archive(archive)
        records.append(stores.Record(key, value, 1))
    last = claimlogs.Tail(1, len(records), 1e6)
    key = claimlogs.tail_key(claimworlds.SHARD, last.sequence)
    records.append(stores.Record(key, claimcodecs.encode_tail(last), 1))
    return records


def _load(records: list[stores.Record], number: int) -> tuple[float, float]:
    """Returns the bytes and the us a claim that a new grantor needs."""
    elapsed = []
    for traced in (False, True):
        held = claimworlds.FakeStore()
        held.records = {record.key: record for record in records}
        clock = clocks.ManualTime(1e6).clock()
        table = claimtables.make_table(claimworlds.SHARD, 2, 3600, clock)
        claims.apply(table, claimtables.AuthorityHeld(1e12), 1e6)
        if traced:
            tracemalloc.start()
        started = time.process_time()
        while table.phase is claimtables.Phase.READING:
            call = claims.step_claims(table, 1e6)[-1]
            read = claimtables.SegmentsRead(call.prefix, held.run(call))
            claims.apply(table, read, 1e6)
        elapsed.append(time.process_time() - started)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert claimsets.count(table.ended) + len(table.running) == number
    return memory, elapsed[0] * 1e6 / number


@dataclasses.dataclass(frozen=True, slots=True)
class Violations:
    """How many of `SCHEDULES` seeded schedules of faults one version breaks.

    Attributes:
      version: Name of the version.
      broken: Schedules in which any promise is broken.
      doubled: Of these, those in which a request runs twice or would.
    """

    version: str
    broken: int
    doubled: int


def count_violations(make) -> Violations:
    """Returns what one version does with the schedules."""
    found = [
        claimworlds.find_violation(seed, STEPS, make)
        for seed in range(SCHEDULES)
    ]
    doubled = sum(
        found.count(violation) for violation in (claimworlds.DISPATCHED_TWICE,
                                                 claimworlds.GRANTED_AGAIN))
    return Violations(make.__name__, SCHEDULES - found.count(''), doubled)


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a budget of writes costs in latency.

    Attributes:
      site: Where, at its full rate.
      writes_per_s: The budget of the shard.
      p50_ms: Added before dispatch.
      p99_ms: The same.
    """

    site: str
    writes_per_s: float
    p50_ms: float
    p99_ms: float


def measure_budgets(seconds: float = 15.0) -> list[Budget]:
    """Returns added latency by budget, at the sites' full rates."""
    rows = []
    for site in SITES:
        for writes_per_s in BUDGETS:
            simulation = _Simulation(site, site.rate, seconds)
            limits = claimtables.Limits(writes_per_s=writes_per_s,
                                        burst=writes_per_s / 5)
            simulation.table.limits = limits
            simulation.table.tokens = limits.burst
            simulation.run()
            p50, p99 = np.percentile(simulation.waits, (50, 99))
            rows.append(Budget(site.name, writes_per_s, float(p50), float(p99)))
    return rows


@dataclasses.dataclass(frozen=True, slots=True)
class Sized:
    """Claims at the letter's size, worked out from slopes; nothing was run.

    Attributes:
      share: Of the requests, those that may not be repeated.
      claims_per_s: Over all nodes.
      node_claims_per_s: At each node.
      node_writes_per_s: Of the store, if each node commits by itself at the
        interval that the budget gives today's shards.
      commit_ms: Between two group commits of one failure domain's committer,
        if they share the budget.
      commit_kb: In each of these.
      node_cpu: Share of a core.
      node_mb: For ended claims at a retention of an hour.
      store_gb: The same in the store.
    """

    share: float
    claims_per_s: float
    node_claims_per_s: float
    node_writes_per_s: float
    commit_ms: float
    commit_kb: float
    node_cpu: float
    node_mb: float
    store_gb: float


def size_up(share: float, slopes: Slopes) -> Sized:
    """Returns what claims would cost at the letter's size."""
    rate = LETTER_REQUESTS_PER_S * share
    node = rate / LETTER_NODES
    writes = claimtables.STORE_WRITES_PER_S
    per_commit = rate / writes
    retention_s = 3600
    return Sized(share, rate, node,
                 LETTER_NODES * min(node,
                                    claimtables.Limits().writes_per_s),
                 clocks.MS_PER_S * LETTER_DOMAINS / writes,
                 per_commit * slopes.tail_bytes / 1e3,
                 node * slopes.cpu_us / 1e6,
                 node * retention_s * slopes.memory_bytes / 1e6,
                 rate * retention_s * slopes.archive_bytes / 1e9)


def find_breaches(rows: list[Row], slopes: Slopes,
                  violations: list[Violations]) -> list[str]:
    """Returns what passes a committed bound, one line each."""
    bounds = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    breaches = []

    def check(name: str, value: float, limit: float) -> None:
        if value > limit:
            breaches.append(f'claims: {name} is {value:.2f}, bound {limit}')

    for row in rows:
        if row.version != 'grouped (ours)':
            continue
        name = f'{row.site} at {row.rate:.0f}/s'
        check(f'{name}: writes/s', row.writes_per_s, bounds['writes_per_s'])
        check(f'{name}: p99 ms', row.p99_ms, bounds['p99_ms'][row.site])
        check(f'{name}: refused', row.refused, 0)
    for name in ('tail_bytes', 'archive_bytes', 'memory_bytes'):
        check(name, getattr(slopes, name), bounds[name])
    ours, *naive = violations
    check('schedules that ours breaks', ours.broken, 0)
    for item in naive:
        check(f'schedules in which {item.version} doubles nothing',
              SCHEDULES - item.doubled, SCHEDULES - 1)
    return breaches


def run() -> list[str]:
    """Prints the tables; returns the breaches of bounds."""
    rows = measure()
    print(f'At most once: a store of {STORE_WRITES_PER_S:.0f} writes/s, '
          f'{OTHER_WRITES_PER_S:.0f} of them others\'')
    print(f'{"service":20} {"claims/s":>8} {"version":15} {"writes/s":>8} '
          f'{"KB/s":>7} {"p50 ms":>7} {"p99 ms":>7} {"refused":>8}')
    for row in rows:
        print(f'{row.site:20} {row.rate:8.0f} {row.version:15} '
              f'{row.writes_per_s:8.1f} {row.kb_per_s:7.1f} '
              f'{row.p50_ms:7.1f} {row.p99_ms:7.1f} {row.refused:8.3f}')
    slopes = measure_slopes()
    for budget in measure_budgets():
        print(f'{budget.site}, {budget.writes_per_s:.0f} writes/s: added '
              f'p50 {budget.p50_ms:.1f} ms, p99 {budget.p99_ms:.1f} ms')
    print('One claim: ' +
          ', '.join(f'{name} {value:.2f}'
                    for name, value in dataclasses.asdict(slopes).items()))
    print('At the letter\'s size, worked out:')
    for share in LETTER_SHARES:
        print('  ' +
              ', '.join(f'{name} {value:.4g}' for name, value in
                        dataclasses.asdict(size_up(share, slopes)).items()))
    violations = [
        count_violations(make) for make in (claimworlds.Grantor, *NAIVE)
    ]
    print(f'Of {SCHEDULES} schedules of faults, broken (a request runs twice):')
    for item in violations:
        print(f'  {item.version}: {item.broken} ({item.doubled})')
    return find_breaches(rows, slopes, violations)


if __name__ == '__main__':
    for line in run():
        print(line)
