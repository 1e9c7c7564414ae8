"""Tests of membership and spread between entries over real sockets."""

import random
import threading
import unittest

from lentilmoor import clocks
from lentilmoor import gossip
from lentilmoor import items
from lentilmoor import outcomes
from lentilmoor import peers
from lentilmoor import stores
from lentilmoor import tables

TICKS = 60
_REFUSAL = outcomes.Failed(outcomes.Reason.INVALID)


class Entry:
    """An entry's gossip behind a real peer adapter, ticked by hand."""

    def __init__(self, name: str, domain: str, time: clocks.ManualTime):
        self.time = time
        self.lock = threading.Lock()
        self.peers = peers.start_peers(
            peers.PeerSettings('127.0.0.1:0', b'secret'),
            peers.Handlers(exchange=self.answer_exchange,
                           fetch=self.answer_fetch,
                           lease=lambda _: _REFUSAL,
                           claim=lambda _: _REFUSAL,
                           settle=lambda _: _REFUSAL), clocks.Clock())
        self.row = tables.Instance(name, self.peers.address, '127.0.0.1:1',
                                   'region', domain)
        self.gossip = gossip.make_gossip(self.row, 1, time.at,
                                         random.Random(name))

    def answer_exchange(self, message):
        with self.lock:
            return gossip.answer_exchange(self.gossip, message, self.time.at)

    def answer_fetch(self, request):
        with self.lock:
            return gossip.answer_fetch(self.gossip, request)

    def tick(self) -> None:
        with self.lock:
            calls = gossip.tick(self.gossip, self.time.at)
        while calls:
            outgoing = calls.pop()
            call = (self.peers.call_fetch if outgoing.call is gossip.Call.FETCH
                    else self.peers.call_exchange)
            reply = call(outgoing.address, outgoing.message, 10_000.0).result()
            with self.lock:
                calls += gossip.take_reply(self.gossip, outgoing, reply,
                                           self.time.at)

    def read_version(self, key: str) -> int:
        return items.version_of(self.gossip.replica.table, key)


class GossipTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(1_000.0)
        self.entries = [self.start(f'i{n}', f'd{n % 2}') for n in range(4)]
        listed = [self.list_one(entry.row) for entry in self.entries]
        for entry in self.entries:
            gossip.take_list(entry.gossip, listed, self.time.at)

    def start(self, name: str, domain: str) -> Entry:
        entry = Entry(name, domain, self.time)
        self.addCleanup(entry.peers.stop, 0.0)
        return entry

    def list_one(self, row: tables.Instance) -> stores.ListedInstance:
        return stores.ListedInstance(row.id, row.peer_address,
                                     row.relay_address, row.region,
                                     row.failure_domain)

    def run_until(self, reached) -> None:
        for _ in range(TICKS):
            if reached():
                return
            self.time.advance(100.0)
            for entry in self.entries:
                entry.tick()
        self.fail('not reached')

    def test_a_change_and_its_count_reach_all_over_the_wire(self):
        item = items.Item('settings/a', 7, b'x' * 200_000)
        gossip.put_items(self.entries[0].gossip, [item], self.time.at)
        self.run_until(lambda: all(
            entry.read_version('settings/a') == 7 for entry in self.entries))
        for entry in self.entries:
            for changed in gossip.collect_settings(entry.gossip):
                gossip.note_applied(entry.gossip, changed.key, changed.version)
        self.run_until(lambda: self.count('settings/a') == 4)

    def count(self, key: str) -> int:
        asker = self.entries[0]
        asked = gossip.ask_counts(asker.gossip, [key], self.time.at)
        replies = [
            asker.peers.call_exchange(outgoing.address, outgoing.message,
                                      10_000.0).result() for outgoing in asked
        ]
        total = sum(
            count.entries for reply in replies for count in reply.counts)
        if not asker.gossip.counts.parent:  # The root of its own domain.
            total += gossip.read_own_count(asker.gossip, key).entries
        return total

    def test_a_late_entry_gets_everything_over_the_wire(self):
        news = [items.Item(f'settings/{n}', 1, b'x' * 30_000) for n in range(9)]
        gossip.put_items(self.entries[0].gossip, news, self.time.at)
        late = self.start('i9', 'd0')
        listed = [self.list_one(entry.row) for entry in self.entries]
        gossip.take_list(late.gossip, listed, self.time.at)
        self.entries.append(late)
        self.run_until(
            lambda: late.gossip.joined and late.read_version('settings/8') == 1)

    def test_a_stopped_entry_is_held_dead(self):
        self.entries.pop().peers.stop(0.0)
        self.run_until(lambda: all(entry.gossip.members.rows['i3'].instance.
                                   liveness is tables.Liveness.DEAD
                                   for entry in self.entries))


if __name__ == '__main__':
    unittest.main()
