"""The queue of requests that wait for one backend server.

A pure data structure: no clock, no threads. Classes are served by priority
with a floor against starvation; within a class, callers share by start-time
fair queueing over the cost of their requests. Work that can no longer finish
by its deadline is cut before it runs. The queue is bounded, and what it sheds
comes with the time after which it is worth coming back.
"""

import collections
from collections.abc import Sequence
import dataclasses
import enum
import heapq
import itertools

from lentilmoor import exceptions

MAX_RETRY_AFTER_MS = 30_000
_MIN_CHARGE_MS = 0.001
_HEAP_SLACK = 32


class Order(enum.Enum):
    """Which of one caller's waiting requests is served first."""

    OLDEST_FIRST = 'oldest-first'
    NEWEST_FIRST = 'newest-first'


class Cut(enum.Enum):
    """Why a waiting request left the queue without being handed out."""

    DEADLINE = 'deadline'  # It could no longer finish in time.
    BACKLOG = 'backlog'  # The work ahead of it takes longer than it may wait.
    FULL = 'full'  # The queue is full and others have a better claim.
    WITHDRAWN = 'withdrawn'  # Taken out by its owner.


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
      cost_ms: Expected service time, ms; 0 lets the gate put in its estimate.
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
class _Flow:
    """The waiting requests of one caller in one class."""

    caller: str
    tickets: 'collections.OrderedDict[Ticket, None]' = dataclasses.field(
        default_factory=collections.OrderedDict)
    backlog_ms: float = 0.0
    finish: float = 0.0  # Virtual time at which its last service ends.
    debt_ms: float = 0.0  # Service used beyond (or short of) what was charged.
    scheduled: bool = False
    return_at: float = 0.0  # When the last refused request may come back.


@dataclasses.dataclass(slots=True, eq=False)
class _ClassQueue:
    """The flows of one class under start-time fair queueing."""

    policy: ClassPolicy
    floor: float
    reserved: int
    length: int = 0
    backlog_ms: float = 0.0
    credit_ms: float = 0.0  # Service owed by the floor.
    virtual: float = 0.0
    last_finish: float = 0.0
    flows: dict[str, _Flow] = dataclasses.field(default_factory=dict)
    schedule: list[tuple[float, int,
                         _Flow]] = dataclasses.field(default_factory=list)


class ServerQueue:
    """Requests waiting for one server.

    Attributes:
      limit: Most requests that may wait.
      lanes: Requests that the server runs at once; turns work into time.
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
          lanes: Requests that the server runs at once.
          order: Which of one caller's requests goes first.
          predict: Whether a request is refused on arrival when the work ahead
            of it takes longer than it may wait.
        """
        total = sum(policy.floor for policy in classes)
        scale = 1.0 if total <= 1.0 else 1.0 / total
        self._classes = [
            _ClassQueue(policy, policy.floor * scale,
                        max(1, int(policy.floor * scale * limit)))
            for policy in classes
        ]
        self._by_priority = sorted(self._classes,
                                   key=lambda item: item.policy.priority)
        self._newest_first = order is Order.NEWEST_FIRST
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
            return [self._refuse(ticket, Cut.DEADLINE, now)]
        if self._predict:
            wait = self.predict_wait(ticket)
            if now + wait > ticket.latest_start:
                return [self._refuse(ticket, Cut.BACKLOG, now)]
        self._add(ticket)
        if self.length <= self.limit:
            return []
        shed = self.expire(now)
        while self.length > self.limit:
            victim = self._pick_victim(ticket)
            self._remove(victim)
            shed.append(self._refuse(victim, Cut.FULL, now))
        return shed

    def pop(self, now: float) -> tuple[Ticket | None, list[Shed]]:
        """Takes the next ticket to run.

        Args:
          now: Milliseconds.

        Returns:
          The ticket, None if none waits; and what was cut on the way.
        """
        shed = self.expire(now) if self._by_start else []
        if not self.length:
            return None, shed
        chosen = self._pick_class()
        flow = self._pick_flow(chosen)
        ticket = self._peek(flow)
        self._remove(ticket)
        self._charge(chosen, flow, ticket.cost_ms)
        return ticket, shed

    def expire(self, now: float) -> list[Shed]:
        """Cuts the tickets that can no longer finish in time."""
        shed = []
        heap = self._by_start
        while heap and heap[0][0] < now:
            ticket = heapq.heappop(heap)[2]
            if ticket.waiting:
                self._remove(ticket)
                shed.append(self._refuse(ticket, Cut.DEADLINE, now))
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
            ticket for item in self._classes for flow in item.flows.values()
            for ticket in flow.tickets
        ]
        for ticket in tickets:
            self._remove(ticket)
        return tickets

    def settle(self, ticket: Ticket, actual_ms: float) -> None:
        """Charges the difference between expected and actual service time."""
        flow = self._classes[ticket.rank].flows.get(ticket.caller)
        if flow is not None:
            flow.debt_ms += actual_ms - ticket.cost_ms

    def predict_wait(self, ticket: Ticket) -> float:
        """Returns how long a ticket would wait behind what waits now, ms.

        Requests of better classes that arrive later are not foreseen.
        """
        own = self._classes[ticket.rank]
        ahead = sum(item.backlog_ms
                    for item in self._classes
                    if item.policy.priority < own.policy.priority)
        flow = own.flows.get(ticket.caller)
        mine = flow.backlog_ms if flow else 0.0
        place = mine + ticket.cost_ms
        if own.length:
            ahead += sum(
                min(other.backlog_ms, place)
                for other in own.flows.values()
                if other is not flow)
        return (ahead + mine) / self.lanes

    def lengths(self) -> list[int]:
        """Returns how many requests wait in each class, by rank."""
        return [item.length for item in self._classes]

    def _add(self, ticket: Ticket) -> None:
        own = self._classes[ticket.rank]
        flow = own.flows.get(ticket.caller)
        if flow is None:
            flow = own.flows[ticket.caller] = _Flow(ticket.caller,
                                                    finish=own.virtual)
        if not flow.scheduled:
            start = max(own.virtual, flow.finish)
            heapq.heappush(own.schedule, (start, next(self._numbers), flow))
            flow.scheduled = True
        ticket.waiting = True
        flow.tickets[ticket] = None
        flow.backlog_ms += ticket.cost_ms
        own.backlog_ms += ticket.cost_ms
        own.length += 1
        self.length += 1
        heap = self._by_start
        heapq.heappush(heap, (ticket.latest_start, next(self._numbers), ticket))
        if len(heap) > 2 * self.length + _HEAP_SLACK:
            self._by_start = [item for item in heap if item[2].waiting]
            heapq.heapify(self._by_start)

    def _remove(self, ticket: Ticket) -> None:
        own = self._classes[ticket.rank]
        flow = own.flows[ticket.caller]
        del flow.tickets[ticket]
        ticket.waiting = False
        flow.backlog_ms -= ticket.cost_ms
        own.backlog_ms -= ticket.cost_ms
        own.length -= 1
        self.length -= 1
        if not flow.tickets:
            flow.backlog_ms = 0.0
        if not own.length:
            own.backlog_ms = 0.0

    def _pick_class(self) -> _ClassQueue:
        first = None
        for item in self._by_priority:
            if not item.length:
                item.credit_ms = 0.0
                continue
            if first is None:
                first = item
            elif item.credit_ms >= item.backlog_ms / item.length:
                return item
        if first is None:
            raise exceptions.InvariantError('an empty queue was asked')
        return first

    def _pick_flow(self, chosen: _ClassQueue) -> _Flow:
        while chosen.schedule:
            start, _, flow = chosen.schedule[0]
            if flow.tickets:
                chosen.virtual = start
                return flow
            heapq.heappop(chosen.schedule)
            flow.scheduled = False
            flow.finish = start
        raise exceptions.InvariantError('a class has waiting work but no flow')

    def _peek(self, flow: _Flow) -> Ticket:
        if self._newest_first:
            return next(reversed(flow.tickets))
        return next(iter(flow.tickets))

    def _charge(self, chosen: _ClassQueue, flow: _Flow, cost_ms: float) -> None:
        start = heapq.heappop(chosen.schedule)[0]
        charge = max(cost_ms + flow.debt_ms, _MIN_CHARGE_MS)
        flow.debt_ms += cost_ms - charge
        flow.finish = start + charge
        chosen.last_finish = max(chosen.last_finish, flow.finish)
        flow.scheduled = bool(flow.tickets)
        if flow.scheduled:
            entry = (flow.finish, next(self._numbers), flow)
            heapq.heappush(chosen.schedule, entry)
        for item in self._classes:
            if item.length:
                item.credit_ms += item.floor * cost_ms
        chosen.credit_ms = max(0.0, chosen.credit_ms - cost_ms)
        if not chosen.length:
            self._forget_flows(chosen)

    def _forget_flows(self, idle: _ClassQueue) -> None:
        """Ends a busy period: past service gives nobody a claim."""
        idle.virtual = idle.last_finish
        idle.schedule.clear()
        idle.flows.clear()

    def _pick_victim(self, arrived: Ticket) -> Ticket:
        own = self._classes[arrived.rank]
        for item in reversed(self._by_priority):
            if item.length > item.reserved:
                own = item
                break
        flow = max((flow for flow in own.flows.values() if flow.tickets),
                   key=lambda flow: flow.backlog_ms)
        if self._newest_first:
            return next(iter(flow.tickets))
        return next(reversed(flow.tickets))

    def _refuse(self, ticket: Ticket, cut: Cut, now: float) -> Shed:
        """Names a time to come back; refusals of one caller are spread."""
        own = self._classes[ticket.rank]
        wait = self.predict_wait(ticket)
        flow = own.flows.get(ticket.caller)
        if flow is None:
            return Shed(ticket, cut, _round_up(wait + ticket.cost_ms))
        active = max(1, sum(1 for item in own.flows.values() if item.tickets))
        step = ticket.cost_ms * active / self.lanes
        flow.return_at = max(flow.return_at, now + wait) + step
        return Shed(ticket, cut, _round_up(flow.return_at - now))


def _round_up(ms: float) -> int:
    return min(MAX_RETRY_AFTER_MS, max(1, int(ms) + 1))
