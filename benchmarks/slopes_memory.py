"""Memory of each row of the control tables, and of an entry's imports."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
import dataclasses
import gc
import subprocess
import sys
import tracemalloc

from benchmarks import claims as claims_benchmark
from benchmarks import membership as membership_benchmark
from benchmarks import slopes_fits as fits
from benchmarks import slopes_systems as systems
from lentilmoor import dispatchers
from lentilmoor import grantors
from lentilmoor import grants
from lentilmoor import items
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import shardstates

ROWS = (100, 1_000, 10_000)
SLICES = (480, 4_800, 48_000)
_VALUE = 4_000
# What an entry imports, step by step; each line gives the resident memory.
_IMPORTS = """
def show(name):
    for line in open('/proc/self/status', encoding='ascii'):
        if line.startswith('VmRSS'):
            print(name, int(line.split()[1]) * 1024)
show('interpreter')
import asyncio, http.client, json, threading, concurrent.futures
show('standard library')
import pydantic, yaml, structlog
show('pydantic yaml structlog')
import cheroot.server, cheroot.wsgi, urllib3, pykka
show('cheroot urllib3 pykka')
import grpclib.server, grpclib.client, google.protobuf.message
show('grpclib protobuf')
import hdrh.histogram, xxhash
show('hdrh xxhash')
from lentilmoor import entries
show('lentilmoor')
"""


@dataclasses.dataclass(frozen=True, slots=True)
class RowCost:
    """Memory of a table.

    Attributes:
      name: The table and its row.
      line: Points and the line through them, bytes.
    """

    name: str
    line: fits.Line


@dataclasses.dataclass(frozen=True, slots=True)
class ImportCost:
    """Resident memory of a process after an import, bytes."""

    name: str
    rss: int


def measure() -> list[RowCost]:
    """Measures all tables."""
    return [
        RowCost('member and its item', _read_members()),
        _sweep('item with 4 kB, beyond its value', ROWS, _make_items, _VALUE),
        _sweep('server: evidence', ROWS, systems.make_views),
        _sweep('server: probe row', ROWS, systems.make_probes),
        _sweep('server: rows of its shard', ROWS, _make_state),
        _sweep('server: grant row', ROWS, _make_grants),
        _sweep('slice: map', SLICES, systems.make_map),
        _sweep('slice: recorder beside its map', SLICES, _make_recorder, 10),
        _sweep('slice: load table beside its map', SLICES, _make_loads, 10),
        _sweep('suspect of a crash', systems.SUSPECTS, systems.make_suspects),
        _sweep('observation of a try', ROWS, _make_observations),
        RowCost('claim that has ended', _read_claims()),
    ]


def measure_imports() -> list[ImportCost]:
    """Runs an interpreter and reads its memory after each import."""
    ended = subprocess.run([sys.executable, '-c', _IMPORTS],
                           check=True,
                           capture_output=True,
                           text=True)
    costs = []
    for line in ended.stdout.splitlines():
        name, _, size = line.rpartition(' ')
        costs.append(ImportCost(name, int(size)))
    return costs


def _sweep(name: str,
           sizes: tuple[int, ...],
           make: Callable[[int], object],
           less: int = 0) -> RowCost:
    """Measures a table at some sizes; `less` is counted elsewhere per row."""
    points = [(size, _measure(make, size) - less * size) for size in sizes]
    return RowCost(name, fits.fit(points))


def _measure(make: Callable[[int], object], count: int) -> float:
    make(1)
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make(count)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def _read_members() -> fits.Line:
    points = []
    for count in ROWS:
        cost = membership_benchmark.measure_table(count)
        points.append((count, cost.row_bytes * count))
    return fits.fit(points)


def _read_claims() -> fits.Line:
    points = []
    for count in (10_000, 100_000):
        cost = claims_benchmark.measure_slopes(count)
        points.append((count, cost.memory_bytes * count))
    return fits.fit(points)


def _make_items(count: int) -> items.ItemTable:
    table = items.ItemTable()
    for index in range(count):
        value = index.to_bytes(4, 'big') * (_VALUE // 4)
        items.put(table, items.Item(f'teams/team-{index}', 1, value))
    return table


def _make_state(count: int) -> shardstates.ShardState:
    return shardstates.make_state(systems.make_shard(count), 'entry-1', 0.0)


def _make_grants(count: int) -> grants.GrantorRow:
    row = grantors.make_row(systems.SHARD, 'd0', 500.0, 125.0, 1_000.0)
    for index in range(count):
        added = grants.ServerAdded(systems.SHARD, f's{index}', '127.0.0.1:1')
        grantors.apply_event({systems.SHARD: row}, added, 0.0)
    return row


def _make_recorder(count: int) -> loads.Recorder:
    return loads.make_recorder(systems.make_map(max(count, 32)))


def _make_loads(count: int) -> means.LoadTable:
    return means.make_table(systems.make_map(max(count, 32)), 0.0)


def _make_observations(count: int) -> list[dispatchers.Observation]:
    return [
        dispatchers.Observation(systems.SHARD, 's1',
                                dispatchers.TryEnd.ANSWERED, index + 0.5,
                                index + 5.5, index << 40, 5.0)
        for index in range(count)
    ]
