"""Counters, gauges and times, cheap to update on the request path.

A counter keeps a cell per thread, so that an update takes no lock. A time is
appended to a queue and enters its histogram later, in batches. The registry
shows everything in the Prometheus text form, times with quantiles.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import threading
from typing import Generic
from typing import TypeVar

from hdrh import histogram
import prometheus_client
from prometheus_client import metrics_core

from lentilmoor import clocks

QUANTILES = (0.5, 0.9, 0.99, 0.999)
MAX_CHILDREN = 1_000
OVERFLOW_LABEL = 'other'
WINDOW_MS = 60_000.0
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

_PERCENTILES = [quantile * 100 for quantile in QUANTILES]
_US_PER_MS = 1_000
_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 2
_BUCKET_BITS = 8  # What two digits take.
_QUEUE_LIMIT = 1_024

_Metric = TypeVar('_Metric')


class Counter:
    """A number that only grows, summed over a cell of each thread."""

    __slots__ = ('_base', '_cells', '_local', '_lock')

    def __init__(self):
        self._base = 0
        self._cells: list[tuple[threading.Thread, list[int]]] = []
        self._local = threading.local()
        self._lock = threading.Lock()

    def add(self, amount: int = 1) -> None:
        """Adds to this thread's cell, without a lock."""
        try:
            self._local.cell[0] += amount
        except AttributeError:
            self._add_cell(amount)

    def read(self) -> int:
        """Returns the sum; cells of ended threads are folded into it."""
        with self._lock:
            kept = []
            for thread, cell in self._cells:
                if thread.is_alive():
                    kept.append((thread, cell))
                else:
                    self._base += cell[0]
            self._cells = kept
            return self._base + sum(cell[0] for _, cell in kept)

    def _add_cell(self, amount: int) -> None:
        cell = [amount]
        self._local.cell = cell
        with self._lock:
            self._cells.append((threading.current_thread(), cell))


class Gauge:
    """A number that is set, or read from a closure when it is shown."""

    __slots__ = ('read', '_value')

    def __init__(self, read: Callable[[], float] | None = None):
        self._value = 0.0
        self.read = read or (lambda: self._value)

    def set(self, value: float) -> None:
        """Sets the value."""
        self._value = value


@dataclasses.dataclass(frozen=True, slots=True)
class SummarySnapshot:
    """Times seen so far.

    Attributes:
      count: How many, since the start.
      sum_ms: Their sum, since the start.
      quantiles_ms: Values at `QUANTILES` over the last one to two windows.
    """

    count: int
    sum_ms: float
    quantiles_ms: tuple[float, ...]


class Summary:
    """Durations in two HDR histograms, of this window and of the last."""

    __slots__ = ('_clock', '_count', '_current', '_last', '_lock', '_queue',
                 '_sum_ms', '_window_end')

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._queue: collections.deque[float] = collections.deque()
        self._lock = threading.Lock()
        self._count = 0
        self._sum_ms = 0.0
        self._current = _make_histogram()
        self._last = _make_histogram()
        self._window_end = clock.now() + WINDOW_MS

    def record(self, ms: float) -> None:
        """Queues a duration; every thousandth call also empties the queue."""
        self._queue.append(ms)
        if len(self._queue) >= _QUEUE_LIMIT:
            self.flush()

    def flush(self) -> None:
        """Moves queued durations into the histogram, unless one does so."""
        # pylint: disable-next=consider-using-with
        if not self._lock.acquire(blocking=False):
            return
        try:
            self._drain()
        finally:
            self._lock.release()

    def read(self) -> SummarySnapshot:
        """Returns counts and quantiles with everything queued included."""
        with self._lock:
            self._drain()
            merged = _make_histogram()
            merged.add(self._last)
            merged.add(self._current)
            values = merged.get_percentile_to_value_dict(_PERCENTILES)
            quantiles = tuple(
                values[percentile] / _US_PER_MS for percentile in _PERCENTILES)
            return SummarySnapshot(self._count, self._sum_ms, quantiles)

    def _drain(self) -> None:
        self._rotate()
        queue = self._queue
        batch = [queue.popleft() for _ in range(len(queue))]
        counts = collections.Counter(map(_find_bucket, batch))
        for value, count in counts.items():
            self._current.record_value(value, count)
        self._count += len(batch)
        self._sum_ms += sum(batch)

    def _rotate(self) -> None:
        now = self._clock.now()
        if now < self._window_end:
            return
        stale = now >= self._window_end + WINDOW_MS
        self._last, self._current = self._current, self._last
        self._current.reset()
        if stale:
            self._last.reset()
        self._window_end = now + WINDOW_MS


class Family(Generic[_Metric]):
    """Metrics of one name, one for each set of label values.

    At most `MAX_CHILDREN` sets get a metric of their own; the rest share the
    one whose labels are all `OVERFLOW_LABEL`, so that callers can't fill the
    memory.
    """

    __slots__ = ('_children', '_lock', '_make', 'labels', 'name', 'help_text')

    def __init__(self, name: str, text: str, labels: tuple[str, ...],
                 make: Callable[[], _Metric]):
        self.name = name
        self.help_text = text
        self.labels = labels
        self._make = make
        self._children: dict[tuple[str, ...], _Metric] = {}
        self._lock = threading.Lock()

    def labeled(self, *values: str) -> _Metric:
        """Returns the metric of these label values, in the labels' order."""
        child = self._children.get(values)
        return self._add(values) if child is None else child

    def children(self) -> list[tuple[tuple[str, ...], _Metric]]:
        """Returns the metrics with their label values."""
        with self._lock:
            return list(self._children.items())

    def _add(self, values: tuple[str, ...]) -> _Metric:
        if len(values) != len(self.labels):
            raise ValueError(f'{self.name}: expected labels {self.labels}')
        with self._lock:
            if len(self._children) >= MAX_CHILDREN:
                values = (OVERFLOW_LABEL,) * len(self.labels)
            return self._children.setdefault(values, self._make())


class Registry:
    """All metrics of a process."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._counters: list[Family[Counter]] = []
        self._gauges: list[Family[Gauge]] = []
        self._times: list[Family[Summary]] = []
        self._exposed = prometheus_client.CollectorRegistry()
        self._exposed.register(self)

    def counter(self, name: str, text: str, *labels: str) -> Family[Counter]:
        """Registers a family of counters; `_total` is added when shown."""
        family = Family(name, text, labels, Counter)
        self._counters.append(family)
        return family

    def gauge(self,
              name: str,
              text: str,
              *labels: str,
              read: Callable[[], float] | None = None) -> Family[Gauge]:
        """Registers a family of gauges, read by a closure if one is given."""
        family = Family(name, text, labels, lambda: Gauge(read))
        self._gauges.append(family)
        if read is not None and not labels:
            family.labeled()
        return family

    def summary(self, name: str, text: str, *labels: str) -> Family[Summary]:
        """Registers a family of durations; the name should end in `_ms`."""
        family = Family(name, text, labels, lambda: Summary(self._clock))
        self._times.append(family)
        return family

    def flush(self) -> None:
        """Empties the queues of all durations; called once a tick or less."""
        for family in self._times:
            for _, child in family.children():
                child.flush()

    def render_text(self) -> bytes:
        """Returns every metric in the Prometheus text form."""
        return prometheus_client.generate_latest(self._exposed)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields each family; called by prometheus_client."""
        for family in self._counters:
            yield _show_counters(family)
        for family in self._gauges:
            yield _show_gauges(family)
        for family in self._times:
            yield _show_times(family)


def _find_bucket(ms: float) -> int:
    """Returns the lowest value, us, of the histogram's bucket for a time.

    Equal ones are recorded at once, which costs less than one by one.

    Args:
      ms: A duration; out of range it goes to the nearest bucket.
    """
    value = min(max(int(ms * _US_PER_MS), _LOWEST_US), _HIGHEST_US)
    shift = max(value.bit_length() - _BUCKET_BITS, 0)
    return value >> shift << shift


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)


def _show_counters(family: Family[Counter]) -> metrics_core.Metric:
    shown = metrics_core.CounterMetricFamily(family.name,
                                             family.help_text,
                                             labels=family.labels)
    for values, child in family.children():
        shown.add_metric(values, child.read())
    return shown


def _show_gauges(family: Family[Gauge]) -> metrics_core.Metric:
    shown = metrics_core.GaugeMetricFamily(family.name,
                                           family.help_text,
                                           labels=family.labels)
    for values, child in family.children():
        shown.add_metric(values, child.read())
    return shown


def _show_times(family: Family[Summary]) -> metrics_core.Metric:
    shown = metrics_core.SummaryMetricFamily(family.name,
                                             family.help_text,
                                             labels=family.labels)
    for values, child in family.children():
        snapshot = child.read()
        shown.add_metric(values, snapshot.count, snapshot.sum_ms)
        labels = dict(zip(family.labels, values, strict=True))
        for quantile, ms in zip(QUANTILES, snapshot.quantiles_ms, strict=True):
            shown.add_sample(family.name, labels | {'quantile': str(quantile)},
                             ms)
    return shown
