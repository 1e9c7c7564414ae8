"""Admission of requests to backend servers, for the threads that carry them.

A gate per server bounds the requests in flight to it and lets the others wait
in its queue (see `queues`). Each gate has a lock of its own; no lock is shared
by all requests. Nothing here reads a clock: the request path hands in `now`.
"""

from collections.abc import Sequence
import dataclasses
import enum
import threading

from lentilmoor import outcomes
from lentilmoor import queues

MS_PER_S = 1000.0
DEFAULT_PIPELINE = 1
DEFAULT_QUEUE_LIMIT = 64
FIRST_SERVICE_MS = 5.0
_MEAN_WEIGHT = 0.05

_REASONS = {
    queues.Cut.DEADLINE: outcomes.Reason.DEADLINE_PASSED,
    queues.Cut.BACKLOG: outcomes.Reason.OVERLOADED,
    queues.Cut.FULL: outcomes.Reason.OVERLOADED,
    queues.Cut.WITHDRAWN: outcomes.Reason.CANCELLED,
}
_DETAILS = {
    queues.Cut.DEADLINE: 'it could no longer finish before its deadline',
    queues.Cut.BACKLOG: 'the work ahead of it takes longer than its deadline',
    queues.Cut.FULL: 'the queue of its server is full',
    queues.Cut.WITHDRAWN: 'its caller went away',
}


class Ending(enum.Enum):
    """How a slot's use ended, as far as the server's capacity goes."""

    SERVED = 'served'
    SHED = 'shed'  # The server refused it for load.
    FAILED = 'failed'  # Connection lost or timed out; tells no service time.
    UNUSED = 'unused'  # Nothing was sent.


@dataclasses.dataclass(slots=True, eq=False)
class Slot:
    """Leave to send one request to a server; to be given back by `leave`.

    Attributes:
      server: The server's id.
      ticket: Whose it is.
      started_at: When it was handed out, ms.
      waited_ms: How long the request waited for it.
    """

    server: str
    ticket: queues.Ticket
    started_at: float
    waited_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """What a gate is made from.

    Attributes:
      classes: Policies by rank.
      slots: Requests that the server runs at once.
      pipeline: Requests sent beyond the slots, so that a slot never idles for
        the time of a round trip.
      queue_limit: Most requests that may wait.
      warm_up_ms: How long a cold server is ramped up.
      order: Which of one caller's requests goes first.
    """

    classes: tuple[queues.ClassPolicy, ...]
    slots: int = 2
    pipeline: int = DEFAULT_PIPELINE
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    warm_up_ms: float = 3_000.0
    order: queues.Order = queues.Order.OLDEST_FIRST


def _make_signal() -> threading.Lock:
    signal = threading.Lock()
    signal.acquire()  # pylint: disable=consider-using-with
    return signal


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter(queues.Ticket):
    """A ticket with the thread that waits for its verdict."""

    arrived: float = 0.0
    verdict: Slot | outcomes.NotRun | None = None
    signal: threading.Lock = dataclasses.field(default_factory=_make_signal)


def ramp(warm_since: float, warm_up_ms: float, now: float) -> float:
    """Returns the share of its capacity that a cold server is given, 0 to 1.

    Args:
      warm_since: When it began to serve, ms; 0 if it was always warm.
      warm_up_ms: How long the ramp takes.
      now: Milliseconds.
    """
    if not warm_since or warm_up_ms <= 0:
        return 1.0
    return min(1.0, max(0.0, (now - warm_since) / warm_up_ms))


class Gate:
    """Bounds the requests in flight to one server; the others wait.

    Attributes:
      server: The server's id.
      settings: What it was made from.
      in_flight: Requests sent and not yet ended.
      service_ms: Moving mean of the time from sending to the answer.
    """

    def __init__(self, server: str, settings: GateSettings):
        self.server = server
        self.settings = settings
        self.in_flight = 0
        self.service_ms = FIRST_SERVICE_MS
        self.served = 0
        self._warm_since = 0.0
        self._ceiling = settings.slots + settings.pipeline
        self._limit = self._ceiling
        self._lock = threading.Lock()
        self._queue = queues.ServerQueue(settings.classes, settings.queue_limit,
                                         settings.slots, settings.order)

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._queue.length

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return self._limit

    def warm(self, since: float) -> None:
        """Starts the ramp of a server that came up cold at `since`, ms."""
        with self._lock:
            self._warm_since = since
            self._limit = 1

    def try_enter(self, ticket: queues.Ticket, now: float,
                  share: int) -> Slot | None:
        """Takes a slot if at most `share` are used here and nobody waits."""
        with self._lock:
            limit = min(share, self._limit)
            if self.in_flight >= limit or self._queue.length:
                return None
            self.in_flight += 1
        return Slot(self.server, ticket, now)

    def enter(self, ticket: queues.Ticket,
              now: float) -> Slot | outcomes.NotRun:
        """Takes a slot, waiting for one as long as the deadline allows.

        Args:
          ticket: Whose request it is.
          now: Milliseconds.

        Returns:
          The slot, to be given back by `leave`, or why it was not run. That
          answer comes as soon as it is certain.
        """
        with self._lock:
            if not ticket.cost_ms:
                ticket.cost_ms = self.service_ms
            if not self._queue.length and self.in_flight < self._limit:
                if ticket.latest_start < now:
                    return _explain(queues.Shed(ticket, queues.Cut.DEADLINE, 0))
                self.in_flight += 1
                return Slot(self.server, ticket, now)
            waiter = _Waiter(ticket.caller,
                             ticket.rank,
                             ticket.deadline,
                             ticket.cost_ms,
                             arrived=now)
            self._answer(self._queue.offer(waiter, now))
            self._hand_out(now)
        return self._wait(waiter, now)

    def leave(self,
              slot: Slot,
              service_ms: float,
              now: float,
              ending: Ending = Ending.SERVED) -> None:
        """Gives a slot back and hands it to the next that waits.

        Args:
          slot: From `enter` or `try_enter`; given back exactly once.
          service_ms: From sending to the whole answer.
          now: Milliseconds.
          ending: How it ended.
        """
        with self._lock:
            self.in_flight -= 1
            if ending is Ending.SERVED:
                self.served += 1
                self.service_ms += _MEAN_WEIGHT * (service_ms - self.service_ms)
                self._queue.settle(slot.ticket, service_ms)
            self._adapt(ending, now)
            if self._queue.length:
                self._hand_out(now)

    def evict(self, reason: outcomes.Reason, detail: str) -> int:
        """Answers all that wait as not run; returns how many.

        For a server that lost a slice or went away: the request path may route
        them again within their deadlines.
        """
        with self._lock:
            waiters = self._queue.drain()
            for waiter in waiters:
                self._tell(waiter, outcomes.NotRun(reason, detail))
        return len(waiters)

    def _wait(self, waiter: _Waiter, now: float) -> Slot | outcomes.NotRun:
        patience_s = max(0.0, waiter.latest_start - now) / MS_PER_S
        if not waiter.signal.acquire(timeout=patience_s):
            with self._lock:
                if waiter.verdict is None:
                    self._queue.withdraw(waiter)
                    shed = queues.Shed(waiter, queues.Cut.DEADLINE, 0)
                    return _explain(shed)
        return waiter.verdict

    def _hand_out(self, now: float) -> None:
        while self.in_flight < self._limit and self._queue.length:
            waiter, shed = self._queue.pop(now)
            self._answer(shed)
            if waiter is None:
                return
            self.in_flight += 1
            slot = Slot(self.server, waiter, now, now - waiter.arrived)
            self._tell(waiter, slot)

    def _answer(self, shed: Sequence[queues.Shed]) -> None:
        for item in shed:
            self._tell(item.ticket, _explain(item))

    def _tell(self, waiter: _Waiter, verdict: Slot | outcomes.NotRun) -> None:
        waiter.verdict = verdict
        waiter.signal.release()

    def _adapt(self, ending: Ending, now: float) -> None:
        if self._warm_since:
            share = ramp(self._warm_since, self.settings.warm_up_ms, now)
            self._limit = max(1, int(share * self._ceiling))
            if share >= 1.0:
                self._warm_since = 0.0
        elif ending is Ending.SHED:
            self._limit = max(1, self._limit - 1)
        elif ending is Ending.SERVED and self._limit < self._ceiling:
            self._limit += 1


def _explain(shed: queues.Shed) -> outcomes.NotRun:
    return outcomes.NotRun(_REASONS[shed.cut], _DETAILS[shed.cut],
                           shed.retry_after_ms)
