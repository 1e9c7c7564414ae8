"""Counters, gauges and summaries, cheap to update on the request path.

A counter keeps a cell per thread, so that updates need no lock. A summary
appends durations to a queue and adds them to its histogram later, in batches.
The registry renders all metrics in the Prometheus text format, summaries with
quantiles.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
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
_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_BUCKET_BITS = 8  # Resolution of a histogram with two significant digits.
_MAX_QUEUED = 1_024

_Metric = TypeVar('_Metric')


class Counter:
    """A monotonic counter, the sum of a cell for each thread."""

    __slots__ = ('_base', '_cells', '_local', '_lock')

    def __init__(self):
        self._base = 0
        self._cells: list[tuple[threading.Thread, list[int]]] = []
        self._local = threading.local()
        self._lock = threading.Lock()

    def add(self, amount: int = 1) -> None:
        """Adds to the cell of the current thread, without a lock."""
        try:
            self._local.cell[0] += amount
        except AttributeError:
            self._add_cell(amount)

    def read(self) -> int:
        """Returns the sum; merges the cells of ended threads."""
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
    """A value that is set, or read from a function when it is rendered."""

    __slots__ = ('read', '_value')

    def __init__(self, read: Callable[[], float] | None = None):
        self._value = 0.0
        self.read = read or (lambda: self._value)

    def set(self, value: float) -> None:
        """Sets the value."""
        self._value = value


@dataclasses.dataclass(frozen=True, slots=True)
class SummarySnapshot:
    """The state of a `Summary`.

    Attributes:
      count: Number of durations since the start.
      sum_ms: Sum of the durations since the start.
      quantiles_ms: Values at `QUANTILES` over the last one to two windows.
    """

    count: int
    sum_ms: float
    quantiles_ms: tuple[float, ...]


class Summary:
    """Durations in two HDR histograms, for the current and the last window."""

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
        """Queues a duration; flushes the queue when it is full."""
        self._queue.append(ms)
        if len(self._queue) >= _MAX_QUEUED:
            self.flush()

    def flush(self) -> None:
        """Adds queued durations to the histogram.

        Does nothing if another thread is already doing so.
        """
        # pylint: disable-next=consider-using-with
        if not self._lock.acquire(blocking=False):
            return
        try:
            self._drain()
        finally:
            self._lock.release()

    def read(self) -> SummarySnapshot:
        """Returns count, sum and quantiles, including queued durations."""
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
        counts = collections.Counter(map(_find_bucket_start, batch))
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
    """Metrics of one name, one for each combination of label values.

    At most `MAX_CHILDREN` combinations have their own metric; the others share
    the one whose labels are all `OVERFLOW_LABEL`. So callers that choose label
    values can't exhaust the memory.
    """

    __slots__ = ('_children', '_lock', '_make', 'labels', 'name', 'help_text')

    def __init__(self, name: str, help_text: str, labels: tuple[str, ...],
                 make: Callable[[], _Metric]):
        self.name = name
        self.help_text = help_text
        self.labels = labels
        self._make = make
        self._children: dict[tuple[str, ...], _Metric] = {}
        self._lock = threading.Lock()

    def labeled(self, *values: str) -> _Metric:
        """Returns the metric for label values, in the order of `labels`."""
        child = self._children.get(values)
        return self._add(values) if child is None else child

    def children(self) -> list[tuple[tuple[str, ...], _Metric]]:
        """Returns all metrics with their label values."""
        with self._lock:
            return list(self._children.items())

    def keep(self, kept: Collection[tuple[str, ...]]) -> None:
        """Removes the metrics of all other label values."""
        with self._lock:
            for values in self._children.keys() - kept:
                del self._children[values]

    def _add(self, values: tuple[str, ...]) -> _Metric:
        if len(values) != len(self.labels):
            raise ValueError(
                f'metric {self.name}: expected values for labels {self.labels}')
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
        self._summaries: list[Family[Summary]] = []
        self._exporter = prometheus_client.CollectorRegistry()
        self._exporter.register(self)

    def counter(self, name: str, help_text: str, *labels:
                str) -> Family[Counter]:
        """Registers a family of counters; `_total` is added when rendered."""
        family = Family(name, help_text, labels, Counter)
        self._counters.append(family)
        return family

    def gauge(self,
              name: str,
              help_text: str,
              *labels: str,
              read: Callable[[], float] | None = None) -> Family[Gauge]:
        """Registers a family of gauges, read by a function if one is given."""
        family = Family(name, help_text, labels, lambda: Gauge(read))
        self._gauges.append(family)
        if read is not None and not labels:
            family.labeled()
        return family

    def summary(self, name: str, help_text: str, *labels:
                str) -> Family[Summary]:
        """Registers a family of summaries; the name should end in `_ms`."""
        family = Family(name, help_text, labels, lambda: Summary(self._clock))
        self._summaries.append(family)
        return family

    def flush(self) -> None:
        """Flushes the queues of all summaries; called at most once a tick."""
        for family in self._summaries:
            for _, child in family.children():
                child.flush()

    def render_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._exporter)

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields all families; called by prometheus_client."""
        for family in self._counters:
            yield _make_counter_family(family)
        for family in self._gauges:
            yield _make_gauge_family(family)
        for family in self._summaries:
            yield _make_summary_family(family)


def _find_bucket_start(ms: float) -> int:
    """Returns the lowest value, us, of the histogram bucket of a duration.

    Recording equal values together is cheaper than recording them one by one.

    Args:
      ms: A duration; out of range it goes to the nearest bucket.
    """
    value = min(max(int(ms * _US_PER_MS), _MIN_US), _MAX_US)
    shift = max(value.bit_length() - _BUCKET_BITS, 0)
    return value >> shift << shift


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)


def _make_counter_family(family: Family[Counter]) -> metrics_core.Metric:
    shown = metrics_core.CounterMetricFamily(family.name,
                                             family.help_text,
                                             labels=family.labels)
    for values, child in family.children():
        shown.add_metric(values, child.read())
    return shown


def _make_gauge_family(family: Family[Gauge]) -> metrics_core.Metric:
    shown = metrics_core.GaugeMetricFamily(family.name,
                                           family.help_text,
                                           labels=family.labels)
    for values, child in family.children():
        shown.add_metric(values, child.read())
    return shown


def _make_summary_family(family: Family[Summary]) -> metrics_core.Metric:
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
