"""The queue of requests that wait for one backend server.

A pure data structure: no clock, no threads. Classes are served by priority
with a floor against starvation; callers share the server fairly (see
`accounts`), and one that is over its share loses the priority of its class.
Work that can no longer finish by its deadline is cut before it runs. The queue
is bounded, and what it sheds comes with the time after which it is worth
coming back.
"""

from collections.abc import Sequence
import dataclasses
import enum
import heapq
import itertools

from lentilmoor import accounts
from lentilmoor import exceptions
from lentilmoor import flows

MAX_RETRY_AFTER_MS = 30_000
MAX_SPREAD_MS = 5_000.0
BEST_PATIENCE = 8  # Requests owed before the best class gives way.
STANDING_MS = 500.0
PATIENCE = 0.25
_SHARE_WEIGHT = 0.02
_LEAST_SHARE = 0.01
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
      deferrable: Whether its requests can wait: a caller may then run over its
        share in better classes while others wait only in this one.
    """

    name: str
    priority: int = 0
    floor: float = 0.05
    deferrable: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One request that asks to be run by a server.

    Attributes:
      caller: Who sent it; callers share fairly within a class.
      rank: Index of its class in the queue's classes.
      deadline: When the answer is worth nothing, ms.
      cost_ms: Expected time from sending to the answer; 0 lets the gate put
        in its estimate.
      least_ms: Time that it surely takes; also estimated by the gate.
      waiting: Whether it is in the queue; kept by the queue.
    """

    caller: str
    rank: int
    deadline: float
    cost_ms: float = 0.0
    least_ms: float = 0.0
    waiting: bool = False

    @property
    def latest_start(self) -> float:
        """The last moment at which it can still finish in time, ms."""
        return self.deadline - self.least_ms


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
    """One class: its requests, and what it is given and owed.

    `share` is the part of the service that went to it lately while it waited;
    `credit_ms` is the service that the floor owes it.
    """

    policy: ClassPolicy
    floor: float
    reserved: int
    fair: flows.FairQueue
    credit_ms: float = 0.0
    share: float = 1.0
    empty_at: float = 0.0

    @property
    def mean_ms(self) -> float:
        """Mean cost of the requests that wait; there must be one."""
        return self.fair.backlog_ms / self.fair.length


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
                 patience: float = PATIENCE):
        """Makes an empty queue.

        Args:
          classes: At least one; a ticket's rank is an index into it.
          limit: Most requests that may wait.
          lanes: Requests in flight at once.
          order: Which of one caller's requests goes first.
          patience: Part of a request's slack that it may be expected to wait
            when its class has not been empty for `STANDING_MS`.
        """
        total = max(1.0, sum(policy.floor for policy in classes))
        newest_first = order is Order.NEWEST_FIRST
        best = min(policy.priority for policy in classes)
        self._ledger = accounts.Ledger()
        self._classes = []
        for policy in classes:
            by_arrival = len(classes) > 1 and policy.priority == best
            fair = flows.FairQueue(self._ledger, policy.deferrable, by_arrival,
                                   newest_first)
            floor = policy.floor / total
            reserved = max(1, int(floor * limit))
            self._classes.append(_Class(policy, floor, reserved, fair))
        self._by_priority = sorted(self._classes,
                                   key=lambda item: item.policy.priority)
        self._patience = patience
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
        slack = ticket.latest_start - now
        if slack < 0:
            return [self.refuse(ticket, Cut.DEADLINE, now)]
        own = self._classes[ticket.rank]
        if not own.fair.length:
            own.empty_at = now
        if now - own.empty_at > STANDING_MS:
            slack *= self._patience
        if self.predict_wait(ticket) > slack:
            return [self.refuse(ticket, Cut.BACKLOG, now)]
        self._add(ticket)
        if self.length <= self.limit:
            return []
        shed = self.expire(now)
        while self.length > self.limit:
            victim = self._give_up(own)
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
        waiting = [item for item in self._by_priority if item.fair.length]
        chosen, flow = self._pick(waiting)
        ticket = chosen.fair.take(flow)
        self._count_out(ticket)
        self._note_service(waiting, chosen, ticket.cost_ms)
        return ticket, shed

    def expire(self, now: float) -> list[Shed]:
        """Cuts the tickets that can no longer finish in time."""
        shed = []
        heap = self._by_start
        while heap and heap[0][0] < now:
            ticket = heapq.heappop(heap)[2]
            if self.withdraw(ticket):
                shed.append(self.refuse(ticket, Cut.DEADLINE, now))
        return shed

    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a ticket out; returns whether it was waiting."""
        if not ticket.waiting:
            return False
        self._classes[ticket.rank].fair.remove(ticket)
        self._count_out(ticket)
        return True

    def drain(self) -> list[Ticket]:
        """Takes out every ticket."""
        tickets = [
            ticket for item in self._classes for ticket in item.fair.items()
        ]
        for ticket in tickets:
            self.withdraw(ticket)
        return tickets

    def settle(self, ticket: Ticket, actual_ms: float) -> None:
        """Charges the difference between expected and actual service time."""
        self._ledger.charge(ticket.caller, actual_ms - ticket.cost_ms)

    def predict_wait(self, ticket: Ticket) -> float:
        """Returns how long a ticket would wait behind what waits now, ms.

        What its class is given is taken to stay as it lately was.
        """
        own = self._classes[ticket.rank]
        before = own.fair.work_before(ticket.caller, ticket.cost_ms)
        return before / self._pace(own)

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
        account = self._ledger.find(ticket.caller)
        if account is None:
            return Shed(ticket, cut, _round_up(wait + ticket.cost_ms))
        callers = max(1, own.fair.count_callers())
        step = ticket.cost_ms * callers / self._pace(own)
        account.return_at = min(
            max(account.return_at, now + wait) + step,
            now + wait + MAX_SPREAD_MS)
        return Shed(ticket, cut, _round_up(account.return_at - now))

    def _pace(self, own: _Class) -> float:
        """Returns how much of a class's work is done in a millisecond, ms."""
        return self.lanes * max(own.share, own.floor, _LEAST_SHARE)

    def _add(self, ticket: Ticket) -> None:
        ticket.waiting = True
        self._classes[ticket.rank].fair.add(ticket)
        self.length += 1
        heap = self._by_start
        heapq.heappush(heap, (ticket.latest_start, next(self._numbers), ticket))
        if len(heap) > 2 * self.length + _HEAP_SLACK:
            self._by_start = [item for item in heap if item[2].waiting]
            heapq.heapify(self._by_start)

    def _count_out(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self.length -= 1
        if not self.length:
            self._ledger.forget()

    def _pick(self, waiting: list[_Class]) -> tuple[_Class, flows.Flow]:
        """Returns the best class, or one that the floor owes a request.

        Callers over their shares are passed over, but not by the floor, which
        is the class's. The best class gives way only to a large debt: as a
        rule there is a moment without it in which the floor is paid.
        """
        most_ms = self._ledger.raise_floor() + self._ledger.burst_ms
        found, owed = None, 1
        for item in waiting:
            flow = item.fair.next_flow(most_ms)
            if found is not None:
                if item.credit_ms >= owed * item.mean_ms:
                    return item, flow or item.fair.least_flow()
            elif flow is not None:
                found = item, flow
                if item is self._by_priority[0]:
                    owed = BEST_PATIENCE
        if found is None:
            raise exceptions.InvariantError('every caller is over its share')
        return found

    def _note_service(self, waited: list[_Class], chosen: _Class,
                      cost_ms: float) -> None:
        for item in waited:
            item.credit_ms += item.floor * cost_ms
            item.share -= _SHARE_WEIGHT * item.share
        chosen.share += _SHARE_WEIGHT
        chosen.credit_ms = max(0.0, chosen.credit_ms - cost_ms)
        for item in waited:
            if not item.fair.length:
                item.credit_ms = 0.0

    def _give_up(self, arrived: _Class) -> Ticket:
        """Takes out what has the least claim to its place in the queue."""
        victims = next((item for item in reversed(self._by_priority)
                        if item.fair.length > item.reserved), arrived)
        ticket = victims.fair.give_up()
        self._count_out(ticket)
        return ticket


def _round_up(ms: float) -> int:
    return min(MAX_RETRY_AFTER_MS, max(1, int(ms) + 1))
