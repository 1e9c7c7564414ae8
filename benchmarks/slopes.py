"""Slopes of control: processor time, memory, bytes and calls against size.

`python -m benchmarks.slopes` measures in this process, in half a minute; that
is the part with bounds. `python -m benchmarks.slopes fleet` runs both
deployments as real processes, `path` one entry under load, `profile` the
control actors under a profiler, `recovery` losses against servers. What
docs/CAPACITY.md works out from these figures is in `slopes_sizing`; `sizing`
prints it.
"""

import dataclasses
import pathlib
import sys

import yaml

from benchmarks import slopes_fleet
from benchmarks import slopes_memory
from benchmarks import slopes_messages
from benchmarks import slopes_path
from benchmarks import slopes_recovery
from benchmarks import slopes_sizing
from benchmarks import slopes_systems

_BOUNDS = pathlib.Path(__file__).with_name('bounds_slopes.yaml')
_GRANTOR_SIZES = ((4, 12), (15, 12), (40, 12), (15, 3), (15, 48))
_SETTLED_MS = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """Everything that is measured in this process."""

    costs: list[slopes_systems.Cost]
    rows: list[slopes_memory.RowCost]
    imports: list[slopes_memory.ImportCost]
    sizes: list[slopes_messages.Size]
    path: list[slopes_path.PathCost]
    grantor_calls: dict[tuple[int, int], float]


def measure() -> Slopes:
    """Measures all slopes that need no other process."""
    return Slopes(slopes_systems.measure(), slopes_memory.measure(),
                  slopes_memory.measure_imports(), slopes_messages.measure(),
                  slopes_path.measure_inside(), measure_grantor_calls())


def measure_grantor_calls() -> dict[tuple[int, int], float]:
    """Returns a grantor's calls a second by (servers, delegates)."""
    calls = {}
    for servers, delegates in _GRANTOR_SIZES:
        store = slopes_systems.Store()
        table = slopes_systems.make_grantor(servers, delegates, store)
        began = _SETTLED_MS
        count = slopes_systems.run_grantor(table, store, began, 5 * began)
        calls[servers, delegates] = count / (4 * began) * 1e3
    return calls


def show(slopes: Slopes) -> None:
    """Prints all tables."""
    print('Processor time of a step, microseconds, by rows')
    for cost in slopes.costs:
        print(f'  {cost.name:37} {cost.unit:10} {_format(cost.line, 1)}')
    print('Memory, bytes, by rows; each row adds')
    for row in slopes.rows:
        print(f'  {row.name:48} {_format(row.line, 0)}')
    print('Resident memory after imports, MB')
    for item in slopes.imports:
        print(f'  {item.name:48} {item.rss / 1e6:.1f}')
    print('Bytes of messages')
    for size in slopes.sizes:
        print(f'  {size.name:37} {size.unit:12} {_format(size.line, 0)}')
    print('Processor time of one request in process, microseconds')
    for item in slopes.path:
        print(f'  {item.name:48} {item.cpu_us:.1f}')
    print('Calls of a grantor a second, by servers and delegates')
    for (servers, delegates), count in slopes.grantor_calls.items():
        print(f'  {servers:4} {delegates:4} {count:.1f}')


def _format(line, digits: int) -> str:
    points = ' '.join(
        f'{rows:.0f}:{value:.{digits}f}' for rows, value in line.points)
    return f'{points} | {line.base:.{digits}f} + {line.slope:.3f} x'


def find_breaches(slopes: Slopes, bounds: dict) -> list[str]:
    """Returns one line per passed bound, and per bound without a value.

    Args:
      slopes: What was measured.
      bounds: By section: bytes a row, bytes of a message, calls a second, and
        how much longer a step may take over the largest table than over the
        smallest, where it is to depend on its rows not at all.
    """
    found = {
        'row_bytes': {
            row.name: row.line.slope for row in slopes.rows
        },
        'message_bytes': {
            size.name: size.line.points[0][1] for size in slopes.sizes
        },
        'message_bytes_each': {
            size.name: size.line.slope for size in slopes.sizes
        },
        'grantor_calls_per_s': {
            f'{servers} servers, {delegates} delegates': count
            for (servers, delegates), count in slopes.grantor_calls.items()
        },
        'flat': {
            cost.name: cost.line.points[-1][1] / cost.line.points[0][1]
            for cost in slopes.costs
        },
    }
    breaches = []
    for section, limits in bounds.items():
        for name, limit in limits.items():
            value = found.get(section, {}).get(name)
            if value is None:
                breaches.append(f'slopes, {section}, {name}: not measured')
            elif not value <= limit:
                breaches.append(f'slopes, {section}, {name}: {value:.2f}, the '
                                f'bound is {limit}')
    return breaches


def run() -> list[str]:
    """Prints the tables and returns the passed bounds."""
    slopes = measure()
    show(slopes)
    return find_breaches(slopes, yaml.safe_load(_BOUNDS.read_text('utf-8')))


def _show_path() -> None:
    for item in slopes_path.measure_process():
        print(f'{item.name:40} {item.cpu_us:.0f} us a request at '
              f'{item.per_s:.0f} a second')


_PARTS = {
    'fleet': slopes_fleet.main,
    'path': _show_path,
    'profile': slopes_fleet.show_profile,
    'recovery': slopes_recovery.main,
    'sizing': slopes_sizing.main,
}


def main(arguments: list[str]) -> int:
    """Measures a part by name, or the slopes; returns the exit code."""
    if arguments:
        _PARTS[arguments[0]]()
        return 0
    breaches = run()
    for breach in breaches:
        print(f'BOUND PASSED: {breach}')
    return bool(breaches)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
