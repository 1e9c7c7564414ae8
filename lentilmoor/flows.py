"""The waiting requests of one class, and whose turn it is.

Callers over their shares (see `accounts`) are passed over until the others
have caught up. Within their shares, callers are served in the order of arrival
in the best class, which is seldom crowded, and by least service in the others,
which keeps the accounts close.
"""

import collections
from collections.abc import Iterable
import dataclasses
import itertools
from typing import Protocol

from lentilmoor import accounts


class Item(Protocol):
    """What may wait in a flow: hashable by identity."""

    caller: str
    cost_ms: float


@dataclasses.dataclass(slots=True, eq=False)
class Flow:
    """The waiting requests of one caller in one class.

    Attributes:
      account: The caller's.
      items: Oldest first, with their numbers in the order of arrival.
      backlog_ms: Their cost together.
    """

    account: accounts.Account
    items: 'collections.OrderedDict[Item, int]' = dataclasses.field(
        default_factory=collections.OrderedDict)
    backlog_ms: float = 0.0


class FairQueue:
    """Waiting requests of one class.

    Attributes:
      length: How many wait.
      backlog_ms: Their cost together.
    """

    def __init__(self, ledger: accounts.Ledger, deferrable: bool,
                 by_arrival: bool, newest_first: bool):
        """Makes an empty queue.

        Args:
          ledger: Accounts, shared by the classes of a server.
          deferrable: Whether its requests hold nobody back.
          by_arrival: Whether callers within their shares take turns by
            arrival, not by least service.
          newest_first: Which of one caller's requests is served first.
        """
        self.length = 0
        self.backlog_ms = 0.0
        self._ledger = ledger
        self._deferrable = deferrable
        self._by_arrival = by_arrival
        self._newest_first = newest_first
        self._flows: dict[str, Flow] = {}
        self._numbers = itertools.count()

    def add(self, item: Item) -> None:
        """Adds an item behind the others of its caller."""
        account = self._ledger.join(item.caller, self._deferrable)
        flow = self._flows.get(item.caller)
        if flow is None:
            flow = self._flows[item.caller] = Flow(account)
        flow.items[item] = next(self._numbers)
        flow.backlog_ms += item.cost_ms
        self.backlog_ms += item.cost_ms
        self.length += 1

    def remove(self, item: Item) -> None:
        """Takes an item out; its caller is not charged."""
        flow = self._flows[item.caller]
        del flow.items[item]
        flow.backlog_ms -= item.cost_ms
        self.backlog_ms -= item.cost_ms
        self.length -= 1
        if not flow.items:
            del self._flows[item.caller]
        if not self.length:
            self.backlog_ms = 0.0
        self._ledger.part(item.caller, self._deferrable)

    def next_flow(self, most_ms: float) -> Flow | None:
        """Returns the flow whose turn it is.

        Args:
          most_ms: Callers whose accounts show more are over their shares.

        Returns:
          None if nobody is within the share.
        """
        within = [
            flow for flow in self._flows.values()
            if flow.account.used_ms <= most_ms
        ]
        return min(within, key=self._rank_flow, default=None)

    def least_flow(self) -> Flow:
        """Returns the flow of the caller with the least service."""
        return min(self._flows.values(), key=lambda flow: flow.account.used_ms)

    def _rank_flow(self, flow: Flow) -> float:
        if not self._by_arrival:
            return flow.account.used_ms
        if self._newest_first:
            return -next(reversed(flow.items.values()))
        return next(iter(flow.items.values()))

    def take(self, flow: Flow) -> Item:
        """Takes the first item of a flow and charges its caller."""
        item = next(
            reversed(flow.items) if self._newest_first else iter(flow.items))
        self.remove(item)
        flow.account.used_ms += item.cost_ms
        self._ledger.learn(item.cost_ms)
        return item

    def give_up(self) -> Item:
        """Takes out the item to be given up first: the longest flow's last.

        Of equally long flows, that of the caller that came last.
        """
        flow = max(reversed(self._flows.values()),
                   key=lambda flow: flow.backlog_ms)
        item = next(
            iter(flow.items) if self._newest_first else reversed(flow.items))
        self.remove(item)
        return item

    def work_before(self, caller: str, cost_ms: float) -> float:
        """Returns the cost of what goes before a new item of a caller, ms."""
        own = self._flows.get(caller)
        account = self._ledger.find(caller)
        mine = own.backlog_ms if own else 0.0
        used = account.used_ms if account else self._ledger.floor_ms
        turn = used + mine + cost_ms + (self._ledger.burst_ms
                                        if self._by_arrival else 0.0)
        total = mine
        for flow in self._flows.values():
            ahead = turn - flow.account.used_ms
            if flow is not own and ahead > 0:
                total += min(flow.backlog_ms, ahead)
        return total

    def count_callers(self) -> int:
        """Returns how many callers wait."""
        return len(self._flows)

    def items(self) -> Iterable[Item]:
        """Yields every waiting item."""
        for flow in self._flows.values():
            yield from flow.items
