"""The queue of requests that wait for one backend server.

A pure data structure: no clock, no threads. Classes are served by priority
with a floor against starvation; within a class, callers share fairly (see
`flows`). Work that can no longer finish by its deadline is cut before it
runs. The queue is bounded, and what it sheds comes with the time after which
it is worth coming back.
"""

from collections.abc import Sequence
import dataclasses
import enum
import heapq
import itertools

from lentilmoor import exceptions
from lentilmoor import flows

MAX_RETRY_AFTER_MS = 30_000
BEST_PATIENCE = 8  # Requests owed before the best class gives way.
_HEAP_SLACK = 32


class Order(enum.Enum):
    """Which of one caller's waiting requests is served first."""

    OLDEST_FIRST = 'oldest-first'
    NEWEST_FIRST = 'newest-first'


class Cut(enum.Enum):
    """Why a waiting request left the queue without being handed out."""

    DEADLINE = 'deadline'  # It can no longer finish in time.
    BACKLOG = 'backlog'  # The work ahead of it takes longer than it may wait.
    FULL = 'full'  # The queue is full and others have a better claim.


@dataclasses.dataclass(frozen=True, slots=True)
class ClassPolicy:
    """How one class of requests is served.

    Attributes:
      name: Name of the class in the settings.
      priority: Lower is served first.
      floor: Share of the server's time, and of the room in the queue, that the
        class keeps however much waits in classes of better priority.
    """

    name: str
    priority: int = 0
    floor: float = 0.05


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request that asks to be run by a server.

    Attributes:
      caller: Who sent it; callers share fairly within a class.
      rank: Index of its class in the queue's classes.
      deadline: When the answer is worth nothing, ms.
      cost_ms: Expected time from sending to the answer; 0 lets the gate put
        in its estimate.
      waiting: Whether it is in the queue; kept by the queue.
    """

    caller: str
    rank: int
    deadline: float
    cost_ms: float = 0.0
    waiting: bool = False

    @property
    def latest_start(self) -> float:
        """The last moment at which it can still finish in time, ms."""
        return self.deadline - self.cost_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """A ticket that the queue gave up; its request was not run.

    Attributes:
      ticket: The ticket.
      cut: Why.
      retry_after_ms: When its caller may come back.
    """

    ticket: Ticket
    cut: Cut
    retry_after_ms: int


@dataclasses.dataclass(slots=True, eq=False)
class _Class:
    """One class: its callers' requests and what the floor owes it."""

    priority: int
    floor: float
    reserved: int
    fair: flows.FairQueue
    credit_ms: float = 0.0


class ServerQueue:
    """Requests waiting for one server.

    Attributes:
      limit: Most requests that may wait.
      lanes: Requests in flight at once; turns work into time.
      length: Requests that wait.
    """

    def __init__(self,
                 classes: Sequence[ClassPolicy],
                 limit: int,
                 lanes: int,
                 order: Order = Order.OLDEST_FIRST,
                 predict: bool = True):
        """Makes an empty queue.

        Args:
          classes: At least one; a ticket's rank is an index into it.
          limit: Most requests that may wait.
          lanes: Requests in flight at once.
          order: Which of one caller's requests goes first.
          predict: Whether a request is refused on arrival when the work ahead
            of it takes longer than it may wait.
        """
        total = max(1.0, sum(policy.floor for policy in classes))
        newest_first = order is Order.NEWEST_FIRST
        self._classes = [
            _Class(policy.priority, policy.floor / total,
                   max(1, int(policy.floor / total * limit)),
                   flows.FairQueue(newest_first)) for policy in classes
        ]
        self._by_priority = sorted(self._classes,
                                   key=lambda item: item.priority)
        self._predict = predict
        self._numbers = itertools.count()
        self._by_start: list[tuple[float, int, Ticket]] = []
        self.limit = limit
        self.lanes = lanes
        self.length = 0

    def offer(self, ticket: Ticket, now: float) -> list[Shed]:
        """Puts a ticket in the queue, or sheds it or others in its favour.

        Args:
          ticket: Its `cost_ms` must be positive.
          now: Milliseconds.

        Returns:
          What was shed, perhaps the ticket itself; else it waits.
        """
        if ticket.latest_start < now:
            return [self.refuse(ticket, Cut.DEADLINE, now)]
        if (self._predict and
                now + self.predict_wait(ticket) > ticket.latest_start):
            return [self.refuse(ticket, Cut.BACKLOG, now)]
        self._add(ticket)
        if self.length <= self.limit:
            return []
        shed = self.expire(now)
        while self.length > self.limit:
            victim = self._pick_victim(ticket)
            self._remove(victim)
            shed.append(self.refuse(victim, Cut.FULL, now))
        return shed

    def pop(self, now: float) -> tuple[Ticket | None, list[Shed]]:
        """Takes the next ticket to run.

        Args:
          now: Milliseconds.

        Returns:
          The ticket, None if none waits; and what was cut on the way.
        """
        shed = self.expire(now)
        if not self.length:
            return None, shed
        chosen = self._pick_class()
        ticket = chosen.fair.take()
        ticket.waiting = False
        self.length -= 1
        self._credit(chosen, ticket.cost_ms)
        return ticket, shed

    def expire(self, now: float) -> list[Shed]:
        """Cuts the tickets that can no longer finish in time."""
        shed = []
        heap = self._by_start
        while heap and heap[0][0] < now:
            ticket = heapq.heappop(heap)[2]
            if ticket.waiting:
                self._remove(ticket)
                shed.append(self.refuse(ticket, Cut.DEADLINE, now))
        return shed

    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a ticket out; returns whether it was waiting."""
        if not ticket.waiting:
            return False
        self._remove(ticket)
        return True

    def drain(self) -> list[Ticket]:
        """Takes out every ticket."""
        tickets = [
            ticket for item in self._classes for ticket in item.fair.items()
        ]
        for ticket in tickets:
            self._remove(ticket)
        return tickets

    def settle(self, ticket: Ticket, actual_ms: float) -> None:
        """Charges the difference between expected and actual service time."""
        fair = self._classes[ticket.rank].fair
        fair.charge(ticket.caller, actual_ms - ticket.cost_ms)

    def predict_wait(self, ticket: Ticket) -> float:
        """Returns how long a ticket would wait behind what waits now, ms.

        Requests of better classes that arrive later are not foreseen.
        """
        own = self._classes[ticket.rank]
        better = sum(item.fair.backlog_ms
                     for item in self._classes
                     if item.priority < own.priority)
        before = own.fair.work_before(ticket.caller, ticket.cost_ms)
        return (better + before) / self.lanes

    def lengths(self) -> list[int]:
        """Returns how many requests wait in each class, by rank."""
        return [item.fair.length for item in self._classes]

    def refuse(self, ticket: Ticket, cut: Cut, now: float) -> Shed:
        """Names a time to come back, when a request may start at once.

        One caller's refused requests are given times one after the other, at
        the pace of its share, so that they don't come back together.
        """
        own = self._classes[ticket.rank]
        wait = self.predict_wait(ticket)
        flow = own.fair.find_flow(ticket.caller)
        if flow is None:
            return Shed(ticket, cut, _round_up(wait + ticket.cost_ms))
        share = max(1, own.fair.count_active())
        step = ticket.cost_ms * share / self.lanes
        flow.return_at = max(flow.return_at, now + wait) + step
        return Shed(ticket, cut, _round_up(flow.return_at - now))

    def _add(self, ticket: Ticket) -> None:
        ticket.waiting = True
        self._classes[ticket.rank].fair.add(ticket)
        self.length += 1
        heap = self._by_start
        heapq.heappush(heap, (ticket.latest_start, next(self._numbers), ticket))
        if len(heap) > 2 * self.length + _HEAP_SLACK:
            self._by_start = [item for item in heap if item[2].waiting]
            heapq.heapify(self._by_start)

    def _remove(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self._classes[ticket.rank].fair.remove(ticket)
        self.length -= 1

    def _pick_class(self) -> _Class:
        """Returns the best class, or one that the floor owes a request.

        The best class gives way only to a large debt: as a rule there is a
        moment without it in which the floor is paid.
        """
        waiting = [item for item in self._by_priority if item.fair.length]
        if not waiting:
            raise exceptions.InvariantError('an empty queue was asked')
        first = waiting[0]
        patience = BEST_PATIENCE if first is self._by_priority[0] else 1
        for item in waiting[1:]:
            mean_ms = item.fair.backlog_ms / item.fair.length
            if item.credit_ms >= patience * mean_ms:
                return item
        return first

    def _credit(self, chosen: _Class, cost_ms: float) -> None:
        chosen.credit_ms -= cost_ms
        for item in self._classes:
            waits = item.fair.length or item is chosen
            earned = item.credit_ms + item.floor * cost_ms
            item.credit_ms = max(0.0, earned) if waits else 0.0

    def _pick_victim(self, arrived: Ticket) -> Ticket:
        for item in reversed(self._by_priority):
            if item.fair.length > item.reserved:
                return item.fair.longest()
        return self._classes[arrived.rank].fair.longest()


def _round_up(ms: float) -> int:
    return min(MAX_RETRY_AFTER_MS, max(1, int(ms) + 1))
