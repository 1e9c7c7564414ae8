"""What planning costs a grantor: processor time and memory against slices."""

from array import array
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
import time
import tracemalloc

from benchmarks import bounds
from lentilmoor import balance
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import models
from lentilmoor import plans
from lentilmoor import slices
from lentilmoor import tables

SIZES = (160, 1_600, 16_000)
_PER_SERVER = 32
_REPEATS = 5
_HOT_POINTS = 200
_REQUESTS = 20_000
_NOW = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one size of the table costs.

    Attributes:
      slices: Rows of the table.
      read_ms: Processor time to read the loads.
      even_ms: To plan when nothing is to be done.
      over_ms: To plan when a hot key has overloaded a server.
      lost_ms: To plan when a server is lost.
      table_bytes: Memory of a row at the grantor.
      recorder_bytes: Memory of a row at a delegate.
      record_us: Processor time to record a request at a delegate.
    """

    slices: int
    read_ms: float
    even_ms: float
    over_ms: float
    lost_ms: float
    table_bytes: float
    recorder_bytes: float
    record_us: float


def measure(sizes: Sequence[int] = SIZES) -> list[Cost]:
    """Measures all sizes."""
    return [_measure_size(size) for size in sizes]


def _measure_size(size: int) -> Cost:
    rng = random.Random(size)
    names = tuple(f's{index}' for index in range(size // _PER_SERVER))
    slice_map = slices.make_map(names, _PER_SERVER)
    servers = {name: tables.Server(name, '', 't/s/0', 'd') for name in names}
    without = dict(servers)
    del without['s0']
    table, table_bytes = _weigh_memory(lambda: means.make_table(slice_map, 0.0))
    recorder, recorder_bytes = _weigh_memory(
        lambda: loads.make_recorder(slice_map))
    points = [rng.getrandbits(64) for _ in range(_REQUESTS)]
    record_ms = _time(
        lambda: loads.record(recorder, points, [10.0] * len(points)))
    means.fold(table, loads.take_report(recorder), 1_000.0)
    even = _make_loads(slice_map, rng, 0.0)
    over = _make_loads(slice_map, rng, 30.0 * _PER_SERVER)
    return Cost(size, _time(lambda: means.read(table, 2_000.0)),
                _time(lambda: _plan(slice_map, even, servers)),
                _time(lambda: _plan(slice_map, over, servers)),
                _time(lambda: _plan(slice_map, even, without)),
                table_bytes / size, recorder_bytes / size,
                1000.0 * record_ms / len(points))


def _weigh_memory(make: Callable):
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made, size


def _make_loads(slice_map: slices.SliceMap, rng: random.Random,
                extra: float) -> means.Loads:
    """Returns even loads with hot points, and one point with more."""
    count = len(slice_map.bounds)
    rates = array('d', [30.0]) * count
    hot = [loads.HotPoint(12345, extra)] if extra else []
    rates[0] += extra
    hot.extend(
        loads.HotPoint(rng.getrandbits(64), 5.0) for _ in range(_HOT_POINTS))
    return means.Loads(rates,
                       array('d', [1e6]) * count,
                       array('d', [0.0]) * count, tuple(hot), _NOW)


def _plan(slice_map: slices.SliceMap, seen: means.Loads,
          servers: Mapping[str, tables.Server]) -> plans.Plan:
    return balance.plan(slice_map, seen, servers, models.Weights(),
                        plans.Limits(), _NOW)


def _time(work: Callable) -> float:
    """Returns the least processor time of a few calls, ms."""
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return 1000.0 * best


def print_table(costs: Sequence[Cost]) -> None:
    """Prints one line for each size."""
    print(f'{"slices":>7}{"read ms":>9}{"even ms":>9}{"hot ms":>9}'
          f'{"lost ms":>9}{"table B":>9}{"record B":>9}{"record us":>10}')
    for cost in costs:
        print(f'{cost.slices:7}{cost.read_ms:9.2f}{cost.even_ms:9.2f}'
              f'{cost.over_ms:9.2f}{cost.lost_ms:9.2f}{cost.table_bytes:9.1f}'
              f'{cost.recorder_bytes:9.1f}{cost.record_us:10.2f}')


def find_breaches(costs: Sequence[Cost], limits: Mapping[str,
                                                         float]) -> list[str]:
    """Returns breaches; of times, only how they grow with the slices."""
    small, large = costs[-2], costs[-1]
    growth = large.slices / small.slices
    values = {
        'table_bytes': large.table_bytes,
        'recorder_bytes': large.recorder_bytes,
        'read_growth': large.read_ms / small.read_ms / growth,
        'even_growth': large.even_ms / small.even_ms / growth,
    }
    return bounds.find_breaches('costs', limits, values)
