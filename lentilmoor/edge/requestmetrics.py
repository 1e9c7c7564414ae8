"""Counters and durations of requests, recorded at low cost per request.

They are kept as plain numbers. The metrics library is imported when the metrics
are first requested, since importing it takes a tenth of the startup time.
"""

import collections
from collections.abc import Mapping
import threading

from lentilmoor import clocks

_MAX_TIMES = 20_000


class RequestMetrics:
    """Request counts by outcome and reason, and durations by outcome."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._counts: collections.Counter = collections.Counter()
        self._times: collections.deque = collections.deque(maxlen=_MAX_TIMES)
        self._lock = threading.Lock()
        self._registry = None
        self._requests = None
        self._request_ms = None
        self._refused = None
        self._gauges: dict = {}

    def record(self, outcome: str, reason: str, ms: float) -> None:
        """Records a completed request.

        Args:
          outcome: 'answered', 'not-run', 'unknown' or 'left'.
          reason: Why the request was not answered; the response status if it
            was.
          ms: Time from the arrival of the request to its outcome.
        """
        with self._lock:
            self._counts[outcome, reason] += 1
            self._times.append((outcome, ms))

    def render(self, gauges: dict[str, float], refused: Mapping[tuple[str, str],
                                                                int]) -> bytes:
        """Returns the metrics in the Prometheus text format.

        Args:
          gauges: Current values of gauges, by name without prefix.
          refused: Counts of refused answers, by server and fault.
        """
        # Imported on first use, see the module's doc comment.
        # pylint: disable-next=import-outside-toplevel
        from lentilmoor import metrics
        if self._registry is None:
            self._registry = metrics.Registry(self._clock)
            self._requests = self._registry.counter('lentilmoor_requests',
                                                    'Requests by outcome.',
                                                    'outcome', 'reason')
            self._request_ms = self._registry.summary(
                'lentilmoor_request_ms', 'Time from arrival to outcome.',
                'outcome')
            self._refused = self._registry.counter(
                'lentilmoor_refused_answers',
                'Answers of servers that are no whole answers.', 'server',
                'fault')
        self._refused.keep(refused)
        for labels, count in refused.items():
            child = self._refused.labeled(*labels)
            child.add(count - child.read())
        with self._lock:
            counts, self._counts = self._counts, collections.Counter()
            times = list(self._times)
            self._times.clear()
        for (outcome, reason), count in counts.items():
            self._requests.labeled(outcome, reason).add(count)
        for outcome, ms in times:
            self._request_ms.labeled(outcome).record(ms)
        for name, value in gauges.items():
            if name not in self._gauges:
                self._gauges[name] = self._registry.gauge(
                    'lentilmoor_' + name, name.replace('_', ' ')).labeled()
            self._gauges[name].set(value)
        return self._registry.render_text()
