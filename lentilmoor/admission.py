"""Admission of requests to backend servers, for the threads that carry them.

A `Gate` lets requests through as its controller decides (see `controllers`)
and makes the others wait. Each gate has a lock of its own; no lock is shared
by all requests. Nothing here reads a clock: the request path hands in `now`.
"""

import dataclasses
import threading

from lentilmoor import clocks
from lentilmoor import controllers
from lentilmoor import outcomes
from lentilmoor import queues

Ending = controllers.Ending
GateSettings = controllers.GateSettings


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


class Pool:
    """Shares the threads that may wait between the gates of one entry.

    A gate may have as many waiting as there are threads left over, so that one
    crowded server takes half of them and two take a third each: the others'
    requests still find a thread. The count is taken without a lock and may be
    off by the threads that pass meanwhile.
    """

    def __init__(self, threads: int):
        """Makes an empty pool.

        Args:
          threads: How many may wait in all gates together.
        """
        self._threads = threads
        self._gates: list[Gate] = []

    def add(self, gate: 'Gate') -> None:
        """Lets a gate share in the pool."""
        self._gates.append(gate)

    def room(self) -> int:
        """Returns how many may wait at one gate now; at least 1."""
        waiting = sum(gate.queued for gate in self._gates)
        return max(1, self._threads - waiting)


class Gate:
    """A controller for threads: one lock per server, waiting by deadline."""

    def __init__(self,
                 server: str,
                 settings: GateSettings,
                 pool: Pool | None = None):
        """Makes an open gate.

        Args:
          server: The server's id.
          settings: See `controllers`.
          pool: Threads that may wait, shared with the entry's other gates.
        """
        self.server = server
        self.settings = settings
        self._controller = controllers.Controller(settings)
        self._lock = threading.Lock()
        self._pool = pool
        if pool is not None:
            pool.add(self)

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
                             ticket.least_ms,
                             arrived=now)
            self._bound_queue()
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
            if decision is not controllers.NOTHING:
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

    def _bound_queue(self) -> None:
        if self._pool is not None:
            limit = min(self.settings.queue_limit, self._pool.room())
            self._controller.queue.limit = limit

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

    def _carry_out(self, decision: controllers.Decision, now: float) -> None:
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
