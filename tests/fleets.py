"""A fleet of entries' gossip in one process, under hand-moved time.

Calls are delivered with a delay and counted with their real serialized size; a
test cuts pairs, pauses entries, loses, repeats and re-orders messages.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lentilmoor import gossip
from lentilmoor import outcomes
from lentilmoor import stores
from lentilmoor import tables

TICK_MS = 100.0
_REFUSED = outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE)


def make_rows(count: int, domains: int = 3, regions: int = 1):
    """Returns rows of instances dealt over failure domains and regions."""
    rows = []
    for index in range(count):
        domain = index % domains
        rows.append(
            tables.Instance(f'i{index:04d}',
                            f'10.0.{index >> 8}.{index & 255}:7000',
                            f'10.0.{index >> 8}.{index & 255}:7001',
                            f'region-{domain % regions}',
                            f'domain-{domain:02d}'))
    return rows


def list_rows(rows) -> list[stores.ListedInstance]:
    """Returns the platform's list of some rows."""
    return [
        stores.ListedInstance(row.id, row.peer_address, row.relay_address,
                              row.region, row.failure_domain) for row in rows
    ]


@dataclasses.dataclass
class Fleet:
    """Entries by id, calls under way, and what they cost.

    Attributes:
      nodes: Gossip of each running entry.
      paused: Ids that neither tick nor answer.
      cut: Whether a pair of ids can't reach each other.
      delay: One way delay of a message between two ids, ms.
      loss: Part of the messages that are lost.
      repeats: Part of the requests that are delivered twice.
    """

    rng: random.Random
    nodes: dict[str, gossip.Gossip] = dataclasses.field(default_factory=dict)
    rows: dict[str, tables.Instance] = dataclasses.field(default_factory=dict)
    paused: set[str] = dataclasses.field(default_factory=set)
    cut: Callable[[str, str], bool] = lambda one, two: False
    delay: Callable[[str, str], float] = lambda one, two: 1.0
    loss: float = 0.0
    repeats: float = 0.0
    now: float = 1_000_000.0
    calls: int = 0
    size: int = 0
    sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    _events: list = dataclasses.field(default_factory=list)
    _order: itertools.count = dataclasses.field(default_factory=itertools.count)

    def start(self, row: tables.Instance, listed=(), incarnation=1):
        """Starts an entry that has read a list."""
        self.rows[row.id] = row
        node = gossip.make_gossip(row, incarnation, self.now,
                                  random.Random(row.id))
        gossip.take_list(node, listed, self.now)
        self.add(row.id, node)
        return node

    def add(self, instance: str, node: gossip.Gossip) -> None:
        """Lets an entry run."""
        self.nodes[instance] = node
        phase = self.rng.random() * gossip.GossipSettings().beat_ms
        self._at(self.now + phase, lambda: self._tick(instance, node))

    def kill(self, instance: str) -> None:
        """Stops an entry at once."""
        del self.nodes[instance]

    def run(self, ms: float) -> None:
        """Moves time on and lets everything due happen."""
        end = self.now + ms
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, reached: Callable[[], bool], limit_ms: float) -> float:
        """Runs until something holds; returns how long it took, ms."""
        start = self.now
        while not reached():
            if self.now - start >= limit_ms:
                raise AssertionError(f'not reached within {limit_ms} ms')
            self.run(TICK_MS)
        return self.now - start

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _tick(self, instance: str, node: gossip.Gossip) -> None:
        if self.nodes.get(instance) is not node:
            return
        if instance not in self.paused:
            for outgoing in gossip.tick(node, self.now):
                self._call(instance, node, outgoing)
        self._at(self.now + TICK_MS, lambda: self._tick(instance, node))

    def _call(self, caller: str, node, outgoing: gossip.Outgoing) -> None:
        sent_at = self.now
        self.calls += 1
        self._count(caller, outgoing.message)
        ended = []

        def end(outcome) -> None:
            if ended or self.nodes.get(caller) is not node:
                return
            ended.append(True)
            follow = gossip.take_reply(node, outgoing, outcome, self.now)
            for further in follow:
                self._call(caller, node, further)

        def fail() -> None:
            end(outcomes.Failed(outcomes.Reason.TIMED_OUT))

        def arrive() -> None:
            self._arrive(caller, outgoing, end)

        self._at(sent_at + outgoing.timeout_ms, fail)
        copies = 2 if self.rng.random() < self.repeats else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                wait = self.delay(caller, outgoing.peer)
                self._at(sent_at + wait * (1 + self.rng.random()), arrive)

    def _arrive(self, caller: str, outgoing, end) -> None:
        peer = outgoing.peer
        if self.cut(caller, peer) or peer in self.paused:
            return  # Silence: the caller's deadline ends it.
        node = self.nodes.get(peer)
        if node is None:
            self._at(self.now, lambda: end(_REFUSED))
            return
        message = type(outgoing.message).FromString(
            outgoing.message.SerializeToString())
        if outgoing.call is gossip.Call.FETCH:
            reply = gossip.answer_fetch(node, message)
        else:
            reply = gossip.answer_exchange(node, message, self.now)
        self._count(peer, reply)
        if self.rng.random() >= self.loss:
            wait = self.delay(peer, caller) * (1 + self.rng.random())
            self._at(self.now + wait, lambda: end(reply))

    def _count(self, sender: str, message) -> None:
        size = message.ByteSize()
        self.size += size
        self.sizes[sender] = self.sizes.get(sender, 0) + size


def make_fleet(count: int,
               domains: int = 3,
               regions: int = 1,
               seed: int = 1) -> Fleet:
    """Returns a fleet that has started at once from one list."""
    fleet = Fleet(random.Random(seed))
    rows = make_rows(count, domains, regions)
    listed = list_rows(rows)
    for row in rows:
        fleet.start(row, listed)
    return fleet
