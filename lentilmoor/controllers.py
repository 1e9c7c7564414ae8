"""Who may be sent to one backend server now, and who waits.

A controller decides without clock or threads: it bounds the requests in flight
to one server and lets the others wait in its queue (see `queues`).
"""

from collections.abc import Sequence
import dataclasses
import enum

from lentilmoor import limits
from lentilmoor import queues

DEFAULT_GAP_MS = 1.5
DEFAULT_QUEUE_LIMIT = 64
FIRST_RESPONSE_MS = 5.0
_MEAN_WEIGHT = 0.05
_LEAST_FALL = 0.5
_LEAST_RISE = 0.005
_LEAST_DOUBT = 0.9


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
      warm_up_ms: How long the ramp of a cold server takes at most.
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
      least_ms: Time that nearly every response takes, by rank.
      queue: Those that wait.
      limiter: Bound of `in_flight`.
    """

    def __init__(self, settings: GateSettings):
        self.in_flight = 0
        self.served = 0
        self.response_ms = [FIRST_RESPONSE_MS] * len(settings.classes)
        self.least_ms = [0.0] * len(settings.classes)
        self._slots = settings.slots
        self._gap_ms = settings.gap_ms
        self._pipeline = 1 if settings.pipeline is None else settings.pipeline
        self._may_choose = settings.pipeline is None
        self.limiter = limits.make_limiter(self._slots + self._pipeline)
        self.queue = queues.ServerQueue(settings.classes, settings.queue_limit,
                                        self.limiter.limit, settings.order,
                                        settings.patience)
        self._ramping = False
        self._warm_since = 0.0
        self._served_cold = 0
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
            ticket.least_ms = self.least_ms[ticket.rank]
        if (self.queue.length or self.in_flight >= share or
                self.in_flight >= self.limiter.limit):
            return False
        if ticket.latest_start < now:
            if ticket.deadline > now:
                self._doubt_least(ticket)
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
        if self._ramping:
            self._ramp_up(now)
        if not self.queue.length:
            return NOTHING
        return self._start_waiting(now, [])

    def warm(self, since: float) -> None:
        """Starts the ramp of a server that came up cold at `since`, ms."""
        self._ramping = True
        self._warm_since = since
        self._served_cold = self.served
        self.limiter.limit = 1

    def _learn(self, ticket: queues.Ticket, response_ms: float) -> None:
        self.served += 1
        rank = ticket.rank
        self.response_ms[rank] += _MEAN_WEIGHT * (response_ms -
                                                  self.response_ms[rank])
        rise = response_ms - self.least_ms[rank]
        weight = _LEAST_FALL if rise < 0 else _LEAST_RISE
        self.least_ms[rank] += weight * rise
        self.queue.settle(ticket, response_ms)
        limits.observe(self.limiter, response_ms, self.in_flight)
        if self._may_choose and not self.served % limits.WINDOW:
            self._choose_pipeline()

    def _doubt_least(self, ticket: queues.Ticket) -> None:
        """Lets a request pass in the end though none seemed able to finish."""
        self.least_ms[ticket.rank] *= _LEAST_DOUBT

    def _choose_pipeline(self) -> None:
        usual_ms = sum(self.response_ms) / len(self.response_ms)
        chosen = limits.pick_pipeline(self._pipeline, self._gap_ms, usual_ms)
        if chosen != self._pipeline:
            self._pipeline = chosen
            limits.set_ceiling(self.limiter, self._slots + chosen)

    def _ramp_up(self, now: float) -> None:
        limiter = self.limiter
        limiter.limit = limits.ramp(limiter.ceiling,
                                    self.served - self._served_cold,
                                    now - self._warm_since, self._warm_up_ms)
        self._ramping = limiter.limit < limiter.ceiling

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
