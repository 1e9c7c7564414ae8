"""Costs of counters, times and traces on the request path, beside the usual.

Naive versions: prometheus_client's counter, an HDR histogram under a lock,
and the OpenTelemetry SDK with its own sampler. Costs are processor time; the
bounds are on ratios within one run, as the machine's speed varies.
"""

from collections.abc import Callable
import dataclasses
import io
import itertools
import pathlib
import random
import threading
import time

from hdrh import histogram
from opentelemetry.sdk import trace
from opentelemetry.sdk.trace import sampling
import prometheus_client
import yaml

from lentilmoor import clocks
from lentilmoor import metrics
from lentilmoor import models
from lentilmoor import traces

_BOUNDS = pathlib.Path(__file__).with_name('bounds_instruments.yaml')
_CALLS = 20_000
_REPEATS = 5
_NS_PER_US = 1_000
_MEAN_MS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Cost of one use of an instrument.

    Attributes:
      name: The instrument.
      ours_us: Ours, microseconds.
      naive_us: The naive version's, microseconds.
    """

    name: str
    ours_us: float
    naive_us: float

    @property
    def ratio(self) -> float:
        """Ours over the naive one."""
        return self.ours_us / self.naive_us


def measure() -> list[Row]:
    """Returns the cost of each instrument."""
    return [_measure_counter(), _measure_times(), _measure_trace()]


def find_breaches(rows: list[Row]) -> list[str]:
    """Returns a line for each ratio that is over its committed bound."""
    bounds = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    return [
        f'instruments: {row.name}: ratio {row.ratio:.2f}, expected at most '
        f'{bounds[row.name]}' for row in rows if row.ratio > bounds[row.name]
    ]


def run() -> list[str]:
    """Prints the table and returns the breaches."""
    rows = measure()
    print(f'{"instrument":<24}{"ours us":>10}{"naive us":>10}{"ratio":>8}')
    for row in rows:
        print(f'{row.name:<24}{row.ours_us:>10.2f}{row.naive_us:>10.2f}'
              f'{row.ratio:>8.2f}')
    return find_breaches(rows)


def main() -> None:
    """Prints the table and the breaches."""
    for breach in run():
        print(breach)


def _time(work: Callable[[], object]) -> float:
    """Returns the least processor time of a call over the repeats, us."""
    best = float('inf')
    for _ in range(_REPEATS):
        started = time.thread_time_ns()
        for _ in range(_CALLS):
            work()
        best = min(best, time.thread_time_ns() - started)
    return best / _CALLS / _NS_PER_US


def _measure_counter() -> Row:
    ours = metrics.Counter()
    naive = prometheus_client.Counter('naive', 'Naive.', registry=None)
    return Row('counter', _time(ours.add), _time(naive.inc))


def _measure_times() -> Row:
    ours = metrics.Summary(clocks.Clock())
    naive = histogram.HdrHistogram(1, 600_000_000, 2)
    lock = threading.Lock()
    draw = random.Random(1)
    times_ms = [draw.expovariate(1 / _MEAN_MS) for _ in range(_CALLS)]
    following = itertools.cycle(times_ms).__next__

    def record() -> None:
        value = int(following() * _NS_PER_US)
        with lock:
            naive.record_value(value)

    return Row('time', _time(lambda: ours.record(following())), _time(record))


def _measure_trace() -> Row:
    settings = models.TraceSettings(exporter='console', sample_rate=0.0)
    tracer = traces.make_tracer(settings, 'entry-1', clocks.Clock(),
                                random.Random(1), io.StringIO())
    provider = trace.TracerProvider(sampler=sampling.TraceIdRatioBased(0.0))
    naive = provider.get_tracer('naive')

    def ours() -> None:
        with tracer.begin('entry', '') as span:
            with span.child('queue'):
                pass
            with span.child('try'):
                pass

    def usual() -> None:
        with naive.start_as_current_span('entry'):
            with naive.start_as_current_span('queue'):
                pass
            with naive.start_as_current_span('try'):
                pass

    row = Row('unsampled request', _time(ours), _time(usual))
    tracer.close()
    return row


if __name__ == '__main__':
    main()
