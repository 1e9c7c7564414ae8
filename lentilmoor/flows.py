"""Fair shares between the callers of one class, by the cost of their requests.

Start-time fair queueing: each caller with waiting requests is a flow with a
virtual start; the flow with the least start goes next, and its start moves on
by what the request costs. What a request really cost is charged afterwards.
"""

import collections
from collections.abc import Iterable
import dataclasses
import heapq
import itertools
from typing import Protocol

from lentilmoor import exceptions

_MIN_CHARGE_MS = 0.001
_IDLE_FLOWS = 64


class Item(Protocol):
    """What may wait in a flow: hashable by identity."""

    caller: str
    cost_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """The waiting requests of one caller.

    Attributes:
      items: Oldest first; an ordered set.
      backlog_ms: Their cost together.
      finish: Virtual time at which the service given so far ends.
      debt_ms: Service used beyond what was charged; below 0 if short of it.
      scheduled: Whether it stands in the schedule.
      return_at: When the last of its refused requests may come back, ms.
    """

    items: 'collections.OrderedDict[Item, None]' = dataclasses.field(
        default_factory=collections.OrderedDict)
    backlog_ms: float = 0.0
    finish: float = 0.0
    debt_ms: float = 0.0
    scheduled: bool = False
    return_at: float = 0.0

    def first(self, newest_first: bool) -> Item:
        """Returns the item that is served first."""
        if newest_first:
            return next(reversed(self.items))
        return next(iter(self.items))

    def last(self, newest_first: bool) -> Item:
        """Returns the item that is served last."""
        return self.first(not newest_first)


class FairQueue:
    """Waiting requests of one class.

    Attributes:
      length: How many wait.
      backlog_ms: Their cost together.
    """

    def __init__(self, newest_first: bool = False):
        """Makes an empty queue.

        Args:
          newest_first: Which of one caller's requests is served first.
        """
        self.length = 0
        self.backlog_ms = 0.0
        self._newest_first = newest_first
        self._virtual = 0.0
        self._last_finish = 0.0
        self._flows: dict[str, Flow] = {}
        self._schedule: list[tuple[float, int, Flow]] = []
        self._numbers = itertools.count()

    def add(self, item: Item) -> None:
        """Adds an item behind the others of its caller."""
        flow = self._flows.get(item.caller)
        if flow is None:
            if len(self._flows) > 2 * self.length + _IDLE_FLOWS:
                self._prune()
            flow = self._flows[item.caller] = Flow(finish=self._virtual)
        if not flow.scheduled:
            self._enlist(flow, max(self._virtual, flow.finish))
        flow.items[item] = None
        flow.backlog_ms += item.cost_ms
        self.backlog_ms += item.cost_ms
        self.length += 1

    def remove(self, item: Item) -> None:
        """Takes an item out without charging its caller."""
        flow = self._flows[item.caller]
        del flow.items[item]
        self.length -= 1
        flow.backlog_ms -= item.cost_ms
        self.backlog_ms -= item.cost_ms
        if not flow.items:
            flow.backlog_ms = 0.0
        if not self.length:
            self.backlog_ms = 0.0

    def take(self) -> Item:
        """Takes the item whose turn it is and charges its caller."""
        start, flow = self._next_flow()
        item = flow.first(self._newest_first)
        self.remove(item)
        self._virtual = start
        charge = max(item.cost_ms + flow.debt_ms, _MIN_CHARGE_MS)
        flow.debt_ms += item.cost_ms - charge
        flow.finish = start + charge
        self._last_finish = max(self._last_finish, flow.finish)
        heapq.heappop(self._schedule)
        flow.scheduled = False
        if flow.items:
            self._enlist(flow, flow.finish)
        if not self.length:
            self._end_busy_period()
        return item

    def charge(self, caller: str, extra_ms: float) -> None:
        """Charges a caller, with its next request, for service already used."""
        flow = self._flows.get(caller)
        if flow is not None:
            flow.debt_ms += extra_ms

    def find_flow(self, caller: str) -> Flow | None:
        """Returns the flow of a caller that has, or lately had, requests."""
        return self._flows.get(caller)

    def longest(self) -> Item:
        """Returns the item to be given up first: the longest flow's last."""
        flow = max((flow for flow in self._flows.values() if flow.items),
                   key=lambda flow: flow.backlog_ms)
        return flow.last(self._newest_first)

    def work_before(self, caller: str, cost_ms: float) -> float:
        """Returns the cost of what goes before a new item of a caller, ms."""
        own = self._flows.get(caller)
        mine = own.backlog_ms if own else 0.0
        if self.length == (len(own.items) if own else 0):
            return mine
        place = mine + cost_ms
        others = (min(flow.backlog_ms, place)
                  for flow in self._flows.values()
                  if flow is not own)
        return mine + sum(others)

    def count_active(self) -> int:
        """Returns how many callers have waiting requests."""
        return sum(1 for flow in self._flows.values() if flow.items)

    def items(self) -> Iterable[Item]:
        """Yields every waiting item."""
        for flow in self._flows.values():
            yield from flow.items

    def _enlist(self, flow: Flow, start: float) -> None:
        heapq.heappush(self._schedule, (start, next(self._numbers), flow))
        flow.scheduled = True

    def _next_flow(self) -> tuple[float, Flow]:
        while self._schedule:
            start, _, flow = self._schedule[0]
            if flow.items:
                return start, flow
            heapq.heappop(self._schedule)
            flow.scheduled = False
            flow.finish = start
        raise exceptions.InvariantError('no flow has a waiting item')

    def _prune(self) -> None:
        """Drops callers that have nothing here and owe nothing."""
        self._flows = {
            caller: flow
            for caller, flow in self._flows.items()
            if flow.scheduled or flow.finish > self._virtual
        }

    def _end_busy_period(self) -> None:
        """Past service gives no claim once nobody waits."""
        self._virtual = self._last_finish
        self._schedule.clear()
        self._flows.clear()
