"""Admission of requests to backend servers.

A `Controller` decides, without clock or threads: it bounds the requests in
flight to one server and lets the others wait in its queue (see `queues`). A
`Gate` is the controller for the threads that carry requests. Each gate has a
lock of its own; no lock is shared by all requests.
"""

from collections.abc import Sequence
import dataclasses
import enum
import threading

from lentilmoor import clocks
from lentilmoor import limits
from lentilmoor import outcomes
from lentilmoor import queues

DEFAULT_GAP_MS = 1.5
DEFAULT_QUEUE_LIMIT = 64
FIRST_RESPONSE_MS = 5.0
_MEAN_WEIGHT = 0.05


class Ending(enum.Enum):
    """How a slot's use ended, as far as the server's capacity goes."""

    SERVED = 'served'
    SHED = 'shed'  # The server refused it for load.
    FAILED = 'failed'  # Connection lost or timed out; tells no response time.
    UNUSED = 'unused'  # Nothing was sent.


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """What a gate is made from.

    Attributes:
      classes: Policies by rank.
      slots: Requests that the server runs at once.
      gap_ms: From the server's answer to the arrival there of the request
        that is sent next: a round trip and this entry's own work.
      pipeline: Requests sent beyond the slots, so that none idles during the
        gap; None chooses by the gap and the measured response times.
      queue_limit: Most requests that may wait.
      warm_up_ms: How long a cold server is ramped up.
      order: Which of one caller's requests goes first.
      patience: Part of a request's slack that it may be expected to wait in a
        standing queue; see `queues`.
    """

    classes: tuple[queues.ClassPolicy, ...]
    slots: int = 2
    gap_ms: float = DEFAULT_GAP_MS
    pipeline: int | None = None
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    warm_up_ms: float = 3_000.0
    order: queues.Order = queues.Order.OLDEST_FIRST
    patience: float = queues.PATIENCE


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of waiting requests.

    Attributes:
      started: Tickets that may be sent now.
      shed: Tickets that were given up.
    """

    started: Sequence[queues.Ticket] = ()
    shed: Sequence[queues.Shed] = ()


NOTHING = Decision()


class Controller:
    """Decides who may be sent to one server, and who waits.

    Attributes:
      in_flight: Requests sent and not yet ended.
      served: Requests served since the start.
      response_ms: Moving mean from sending to the answer, by rank.
      queue: Those that wait.
      limiter: Bound of `in_flight`.
    """

    def __init__(self, settings: GateSettings):
        self.in_flight = 0
        self.served = 0
        self.response_ms = [FIRST_RESPONSE_MS] * len(settings.classes)
        self._slots = settings.slots
        self._gap_ms = settings.gap_ms
        self._pipeline = 1 if settings.pipeline is None else settings.pipeline
        self._may_choose = settings.pipeline is None
        self.limiter = limits.make_limiter(self._slots + self._pipeline)
        self.queue = queues.ServerQueue(settings.classes, settings.queue_limit,
                                        self.limiter.limit, settings.order,
                                        settings.patience)
        self._warm_since = 0.0
        self._warm_up_ms = settings.warm_up_ms

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return self.limiter.limit

    def take(self, ticket: queues.Ticket, now: float, share: int) -> bool:
        """Starts a ticket if less than `share` are in flight and none waits.

        A ticket that can't finish in time is not started.
        """
        if not ticket.cost_ms:
            ticket.cost_ms = self.response_ms[ticket.rank]
        if (self.queue.length or self.in_flight >= share or
                self.in_flight >= self.limiter.limit or
                ticket.latest_start < now):
            return False
        self.in_flight += 1
        return True

    def wait(self, ticket: queues.Ticket, now: float) -> Decision:
        """Puts a ticket that could not be started in the queue."""
        shed = self.queue.offer(ticket, now)
        return self._start_waiting(now, shed)

    def leave(self, ticket: queues.Ticket, response_ms: float, now: float,
              ending: Ending) -> Decision:
        """Ends a started ticket; see `Gate.leave`."""
        if ending is Ending.SERVED:
            self._learn(ticket, response_ms)
        elif ending is Ending.SHED:
            limits.back_off(self.limiter)
        self.in_flight -= 1
        if self._warm_since:
            self._ramp_up(now)
        if not self.queue.length:
            return NOTHING
        return self._start_waiting(now, [])

    def warm(self, since: float) -> None:
        """Starts the ramp of a server that came up cold at `since`, ms."""
        self._warm_since = since
        self.limiter.limit = 1

    def _learn(self, ticket: queues.Ticket, response_ms: float) -> None:
        self.served += 1
        mean = self.response_ms[ticket.rank]
        mean += _MEAN_WEIGHT * (response_ms - mean)
        self.response_ms[ticket.rank] = mean
        self.queue.settle(ticket, response_ms)
        limits.observe(self.limiter, response_ms, self.in_flight)
        if self._may_choose and not self.served % limits.WINDOW:
            self._choose_pipeline()

    def _choose_pipeline(self) -> None:
        usual_ms = sum(self.response_ms) / len(self.response_ms)
        chosen = limits.pick_pipeline(self._pipeline, self._gap_ms, usual_ms)
        if chosen != self._pipeline:
            self._pipeline = chosen
            limits.set_ceiling(self.limiter, self._slots + chosen)

    def _ramp_up(self, now: float) -> None:
        share = limits.ramp(self._warm_since, self._warm_up_ms, now)
        limit = max(1, int(share * self.limiter.ceiling))
        self.limiter.limit = min(limit, self.limiter.limit + 1)
        if share >= 1.0:
            self._warm_since = 0.0

    def _start_waiting(self, now: float, shed: list[queues.Shed]) -> Decision:
        queue = self.queue
        queue.lanes = self.limiter.limit
        started = []
        while queue.length and self.in_flight < self.limiter.limit:
            ticket, cut = queue.pop(now)
            shed += cut
            if ticket is not None:
                self.in_flight += 1
                started.append(ticket)
        return Decision(started, shed)


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


class Gate:
    """A controller for threads: one lock per server, waiting by deadline."""

    def __init__(self, server: str, settings: GateSettings):
        self.server = server
        self.settings = settings
        self._controller = Controller(settings)
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """Requests sent and not yet ended."""
        return self._controller.in_flight

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return self._controller.queue.length

    @property
    def limit(self) -> int:
        """Requests that may be in flight now."""
        return self._controller.limit

    @property
    def served(self) -> int:
        """Requests served since the start."""
        return self._controller.served

    @property
    def response_ms(self) -> float:
        """Moving mean from sending to the answer, the slowest class's."""
        return max(self._controller.response_ms)

    def warm(self, since: float) -> None:
        """Starts the ramp of a server that came up cold at `since`, ms."""
        with self._lock:
            self._controller.warm(since)

    def try_enter(self, ticket: queues.Ticket, now: float,
                  share: int) -> Slot | None:
        """Takes a slot if less than `share` are used here and nobody waits.

        For an entry that is not the server's home; None says to relay.
        """
        with self._lock:
            taken = self._controller.take(ticket, now, share)
        return Slot(self.server, ticket, now) if taken else None

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
            if self._controller.take(ticket, now, self._controller.limit):
                return Slot(self.server, ticket, now)
            waiter = _Waiter(ticket.caller,
                             ticket.rank,
                             ticket.deadline,
                             ticket.cost_ms,
                             arrived=now)
            self._carry_out(self._controller.wait(waiter, now), now)
        return self._await_verdict(waiter)

    def leave(self,
              slot: Slot,
              response_ms: float,
              now: float,
              ending: Ending = Ending.SERVED) -> None:
        """Gives a slot back and hands it to the next that waits.

        Args:
          slot: From `enter` or `try_enter`; given back exactly once.
          response_ms: From sending to the whole answer.
          now: Milliseconds.
          ending: How it ended.
        """
        with self._lock:
            decision = self._controller.leave(slot.ticket, response_ms, now,
                                              ending)
            if decision is not NOTHING:
                self._carry_out(decision, now)

    def evict(self, reason: outcomes.Reason, detail: str) -> int:
        """Answers all that wait as not run; returns how many.

        For a server that lost a slice or went away: the request path may route
        them again within their deadlines.
        """
        verdict = outcomes.NotRun(reason, detail)
        with self._lock:
            waiters = self._controller.queue.drain()
            for waiter in waiters:
                _tell(waiter, verdict)
        return len(waiters)

    def _await_verdict(self, waiter: _Waiter) -> Slot | outcomes.NotRun:
        patience_ms = max(0.0, waiter.latest_start - waiter.arrived)
        if waiter.signal.acquire(timeout=patience_ms / clocks.MS_PER_S):
            return waiter.verdict
        with self._lock:
            queue = self._controller.queue
            if queue.withdraw(waiter):
                shed = queue.refuse(waiter, queues.Cut.DEADLINE,
                                    waiter.latest_start)
                return explain(shed)
        return waiter.verdict

    def _carry_out(self, decision: Decision, now: float) -> None:
        for waiter in decision.started:
            waited_ms = now - waiter.arrived
            _tell(waiter, Slot(self.server, waiter, now, waited_ms))
        for shed in decision.shed:
            _tell(shed.ticket, explain(shed))


def _tell(waiter: _Waiter, verdict: Slot | outcomes.NotRun) -> None:
    waiter.verdict = verdict
    waiter.signal.release()


_REASONS = {
    queues.Cut.DEADLINE: outcomes.Reason.DEADLINE_PASSED,
    queues.Cut.BACKLOG: outcomes.Reason.OVERLOADED,
    queues.Cut.FULL: outcomes.Reason.OVERLOADED,
}
_DETAILS = {
    queues.Cut.DEADLINE: 'it can no longer finish before its deadline',
    queues.Cut.BACKLOG: 'the work ahead of it takes longer than its deadline',
    queues.Cut.FULL: 'the queue of its server is full',
}


def explain(shed: queues.Shed) -> outcomes.NotRun:
    """Returns the outcome that a shed request's caller is told."""
    return outcomes.NotRun(_REASONS[shed.cut], _DETAILS[shed.cut],
                           shed.retry_after_ms)
