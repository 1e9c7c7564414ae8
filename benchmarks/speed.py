"""One entry process beside a bare pass-through, on the same machine.

Rounds of the two alternate, so that both see the same machine. What counts
are the ratios; wall-clock figures mean nothing on another machine.
"""

import dataclasses
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tempfile

from hdrh import histogram
import yaml

from standins import fleet as fleets

ROUNDS = 5
ROUND_S = 3.0
PROCESSES = 2
CALLERS = 4
SERVERS = 3
TEAM = 'bench'
_KEYS = ('lot-1', 'lot-2')
_HIGHEST_US = 60_000_000
_BOUNDS = pathlib.Path(__file__).with_name('bounds_speed.yaml')


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """What callers saw in one round.

    Attributes:
      per_s: Requests a second.
      p50_ms: Median time.
      p99_ms: Time of 99 in 100.
      failures: Answers that were not 200.
    """

    per_s: float
    p50_ms: float
    p99_ms: float
    failures: int


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Medians over all rounds and their ratios, entry over pass-through."""

    entry: Round
    baseline: Round
    per_s_ratio: float
    p99_ratio: float


def measure() -> Speed:
    """Measures both in alternating rounds."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='lentilmoor-'))
    fleet = fleets.Fleet(folder)
    try:
        entry = _start_entry(fleet)
        baseline = _start_baseline(fleet)
        _run_round(baseline, '/x')
        _run_round(entry, f'/{TEAM}/stock/x')
        rounds = [(_run_round(entry,
                              f'/{TEAM}/stock/x'), _run_round(baseline, '/x'))
                  for _ in range(ROUNDS)]
    finally:
        fleets.stop_all(fleet)
        shutil.rmtree(folder, ignore_errors=True)
    ours = _take_medians([pair[0] for pair in rounds])
    bare = _take_medians([pair[1] for pair in rounds])
    return Speed(
        ours, bare,
        statistics.median(pair[0].per_s / pair[1].per_s for pair in rounds),
        statistics.median(pair[0].p99_ms / pair[1].p99_ms for pair in rounds))


def run() -> list[str]:
    """Prints the table and returns the bounds that were passed."""
    speed = measure()
    print('speed: one entry beside a bare pass-through')
    for name, row in (('entry', speed.entry), ('pass-through', speed.baseline)):
        print(f'  {name:13} {row.per_s:7.0f} requests/s  p50 {row.p50_ms:6.2f} '
              f'ms  p99 {row.p99_ms:6.2f} ms  failures {row.failures}')
    print(f'  ratio         {speed.per_s_ratio:7.2f}             p99 ratio '
          f'{speed.p99_ratio:.2f}')
    return find_breaches(speed)


def find_breaches(speed: Speed) -> list[str]:
    """Returns the committed bounds that a measurement passes."""
    bounds = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    breaches = []
    if speed.per_s_ratio < bounds['least_per_s_ratio']:
        breaches.append(f'speed: {speed.per_s_ratio:.2f} of the pass-through, '
                        f'at least {bounds["least_per_s_ratio"]} expected')
    if speed.p99_ratio > bounds['most_p99_ratio']:
        breaches.append(f'speed: p99 {speed.p99_ratio:.2f} times the '
                        f'pass-through, at most {bounds["most_p99_ratio"]} '
                        'expected')
    if speed.entry.failures:
        breaches.append(f'speed: {speed.entry.failures} requests failed')
    return breaches


def _start_entry(fleet: fleets.Fleet) -> str:
    fleets.start_store(fleet)
    for number in range(SERVERS):
        _start_responder(fleet, f's{number}')
    entry = fleets.start_entry(fleet,
                               'entry-1',
                               trace={
                                   'exporter': 'file',
                                   'path': str(fleet.folder / 'spans'),
                                   'sample_rate': 0.01
                               })
    token = fleets.make_token(fleet, TEAM)
    fleets.put_branch(fleet, token, _make_branch(fleet))
    fleets.await_ready(fleet, f'/{TEAM}/stock/x', {'Lentilmoor-Key': _KEYS[0]})
    return entry.callers


def _make_branch(fleet: fleets.Fleet) -> dict[str, object]:
    return {
        'team': TEAM,
        'services': {
            'stock': {
                'servers': [{
                    'id': name,
                    'address': address,
                    'failure_domain': 'domain-1',
                    'slots': 64,
                    'checks_grants': False
                } for name, address in fleet.addresses.items()]
            }
        }
    }


def _start_responder(fleet: fleets.Fleet, name: str) -> None:
    path = fleet.folder / f'{name}.port'
    process = fleets.start_module(fleet, 'benchmarks.responder', name,
                                  ['--port_file', str(path)])
    fleet.servers[name] = process
    fleet.addresses[name] = fleets.await_file(path, process)


def _start_baseline(fleet: fleets.Fleet) -> str:
    path = fleet.folder / 'baseline.port'
    process = fleets.start_module(fleet, 'benchmarks.passthrough', 'baseline', [
        '--server', fleet.addresses['s0'], '--port_file',
        str(path), '--threads', '32'
    ])
    return '127.0.0.1:' + fleets.await_file(path, process)


def _run_round(address: str, path: str) -> Round:
    """Sends from a few processes at once and adds up what they saw."""
    # pylint: disable=consider-using-with
    processes = [
        subprocess.Popen([
            sys.executable, '-m', 'benchmarks.callers', '--address', address,
            '--path', path, '--header', f'Lentilmoor-Key: {key}', '--callers',
            str(CALLERS), '--seconds',
            str(ROUND_S)
        ],
                         stdout=subprocess.PIPE) for key in _KEYS[:PROCESSES]
    ]
    parts = [json.loads(process.communicate()[0]) for process in processes]
    times = histogram.HdrHistogram(1, _HIGHEST_US, 3)
    for part in parts:
        for item in part['times_ms']:
            times.record_value(max(1, int(item * 1e3)))
    return Round(sum(len(part['times_ms']) / part['seconds'] for part in parts),
                 times.get_value_at_percentile(50) / 1e3,
                 times.get_value_at_percentile(99) / 1e3,
                 sum(part['failures'] for part in parts))


def _take_medians(rounds: list[Round]) -> Round:
    return Round(statistics.median(item.per_s for item in rounds),
                 statistics.median(item.p50_ms for item in rounds),
                 statistics.median(item.p99_ms for item in rounds),
                 sum(item.failures for item in rounds))


if __name__ == '__main__':
    sys.exit('\n'.join(run()))
