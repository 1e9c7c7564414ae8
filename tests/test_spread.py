"""Tests of the spread of items: nothing goes back, everything arrives."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import gossip
from lentilmoor import items
from lentilmoor import spread
from tests import fleets

LIMIT_MS = 9_000.0
KEYS = ('settings/a', 'settings/b', 'settings/c')
EXAMPLES = hypothesis.settings(derandomize=True,
                               deadline=None,
                               database=None,
                               max_examples=12)


def read_version(node, key):
    return items.version_of(node.replica.table, key)


def have_all(fleet, key, version):
    return all(
        read_version(node, key) == version for node in fleet.nodes.values())


class ItemTableTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=100)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from(KEYS),
                              strategies.integers(1, 9))))
    def test_order_and_repetition_do_not_matter(self, puts):
        tables = [items.ItemTable(), items.ItemTable()]
        orders = (puts, sorted(puts) + puts)
        for table, order in zip(tables, orders, strict=True):
            for key, version in order:
                items.put(table, items.Item(key, version, b'v'))
        self.assertEqual(tables[0], tables[1])

    def test_an_older_version_is_not_taken(self):
        table = items.ItemTable()
        self.assertTrue(items.put(table, items.Item('k', 5, b'new')))
        self.assertFalse(items.put(table, items.Item('k', 4, b'old')))
        self.assertFalse(items.put(table, items.Item('k', 5, b'other')))
        self.assertEqual(table.items['k'].value, b'new')

    def test_a_deleted_item_stays_in_the_digest(self):
        table = items.ItemTable()
        items.put(table, items.Item('k', 6, deleted=True))
        self.assertFalse(items.put(table, items.Item('k', 5, b'old')))
        self.assertNotEqual(table.root, 0)

    def test_a_retired_item_is_known_but_not_in_the_digest(self):
        table = items.ItemTable()
        items.put(table, items.Item('k', 5, b'new'))
        items.put(table, items.Item('k', 6, retired=True))
        self.assertFalse(items.put(table, items.Item('k', 5, b'new')))
        self.assertEqual(table.root, 0)
        items.drop(table, 'k')
        self.assertEqual(table, items.ItemTable())

    def test_the_tree_leads_to_the_one_difference(self):
        replicas = [spread.Replica(), spread.Replica()]
        for number in range(5_000):
            for replica in replicas:
                items.put(replica.table, items.Item(f'k{number}', 1))
        one, two = replicas
        items.put(two.table, items.Item('k77', 2))
        branches = spread.pick_branches(one, two.table.branches)
        below = list(items.read_branch(two.table, branches[0]))
        buckets = spread.pick_buckets(one, branches, below)
        self.assertEqual(buckets, [items.bucket_of('k77')])
        listed = items.list_buckets(two.table, buckets)
        self.assertIn(items.Notice('k77', 2), listed)
        self.assertLess(len(listed), 20)


class FleetTest(unittest.TestCase):

    def start(self, count=12, domains=3):
        fleet = fleets.make_fleet(count, domains)
        fleet.run(3_000.0)
        return fleet

    def put(self, fleet, item, instance='i0000'):
        gossip.put_items(fleet.nodes[instance], [item], fleet.now)

    def test_a_change_reaches_everybody(self):
        fleet = self.start(60, 15)
        self.put(fleet, items.Item('settings/a', 7, b'x' * 4_000))
        fleet.run_until(lambda: have_all(fleet, 'settings/a', 7), LIMIT_MS)
        for node in fleet.nodes.values():
            changed = gossip.collect_settings(node)
            self.assertEqual([item.version for item in changed], [7])

    def test_a_large_value_is_fetched_once(self):
        fleet = self.start()
        before = fleet.size
        self.put(fleet, items.Item('settings/a', 7, b'x' * 100_000))
        fleet.run_until(lambda: have_all(fleet, 'settings/a', 7), LIMIT_MS)
        self.assertLess(fleet.size - before, 100_000 * len(fleet.nodes))

    def test_a_deletion_reaches_everybody_and_stays(self):
        fleet = self.start()
        self.put(fleet, items.Item('settings/a', 7, b'x'))
        fleet.run(2_000.0)
        self.put(fleet, items.Item('settings/a', 8, deleted=True), 'i0005')
        fleet.run_until(lambda: have_all(fleet, 'settings/a', 8), LIMIT_MS)
        self.put(fleet, items.Item('settings/a', 7, b'x'))
        fleet.run(2_000.0)
        self.assertTrue(have_all(fleet, 'settings/a', 8))

    def test_a_restarted_entry_gets_everything(self):
        fleet = self.start()
        self.put(fleet, items.Item('settings/a', 7, b'x' * 4_000))
        fleet.run(2_000.0)
        fleet.kill('i0003')
        row = fleet.rows['i0003']
        fresh = fleet.start(row, fleets.list_rows(fleet.rows.values()), 2)
        fleet.run_until(lambda: read_version(fresh, 'settings/a') == 7,
                        LIMIT_MS)
        self.assertTrue(fresh.joined)

    def test_only_anti_entropy_closes_what_was_lost_by_all_pushes(self):
        fleet = self.start()
        node = fleet.nodes['i0003']
        item = items.Item('settings/a', 7, b'x')
        for name, other in fleet.nodes.items():
            if name != 'i0003':
                gossip.put_items(other, [item], fleet.now)
                for queue in other.replica.unsent.values():
                    queue.clear()  # Each push of it was lost.
        fleet.run_until(lambda: read_version(node, 'settings/a') == 7, LIMIT_MS)

    def test_counts_reach_the_roots(self):
        fleet = self.start(60, 3)
        self.put(fleet, items.Item('settings/a', 7, b'x'))
        fleet.run(1_000.0)
        for node in fleet.nodes.values():
            for item in gossip.collect_settings(node):
                gossip.note_applied(node, item.key, item.version)
        fleet.run(5_000.0)
        asked = gossip.ask_counts(fleet.nodes['i0000'], ['settings/a'],
                                  fleet.now)
        total = 0
        for outgoing in asked:
            reply = gossip.answer_exchange(fleet.nodes[outgoing.peer],
                                           outgoing.message, fleet.now)
            total += sum(count.entries for count in reply.counts)
        own = gossip.read_own_count(fleet.nodes['i0000'], 'settings/a')
        if len(asked) < 3:
            total += own.entries
        self.assertEqual(total, 60)


class ScheduleTest(unittest.TestCase):
    """Loss, repetition, re-ordering, restarts and pauses, drawn at random."""

    @EXAMPLES
    @hypothesis.given(strategies.integers(0, 2**32), strategies.floats(0, 0.4),
                      strategies.floats(0, 0.5), strategies.floats(1, 80))
    def test_nothing_goes_back_and_all_arrives(self, seed, loss, repeats,
                                               delay):
        fleet = fleets.make_fleet(9, 3, seed=seed)
        fleet.loss, fleet.repeats = loss, repeats
        fleet.delay = lambda one, two: delay
        rng = random.Random(seed)
        highest: dict[tuple[str, str], int] = {}
        newest: dict[str, int] = {}
        for _ in range(40):
            self.disturb(fleet, rng, newest, highest)
            fleet.run(200.0)
            self.check(fleet, highest)
        fleet.paused.clear()
        fleet.loss = 0.0
        for key, version in newest.items():
            fleet.run_until(lambda k=key, v=version: have_all(fleet, k, v),
                            30_000.0)
        self.check(fleet, highest)

    def disturb(self, fleet, rng, newest, highest):
        act = rng.randrange(6)
        name = rng.choice(sorted(fleet.nodes))
        if act <= 2:
            # A watcher reads the store: the newest, or an older one late.
            key = rng.choice(KEYS)
            newest[key] = newest.get(key, 0) + 1
            late = max(1, newest[key] - rng.randrange(3))
            for version in (newest[key], late):
                item = items.Item(key, version, b'%d' % version * 300,
                                  version % 5 == 0)
                gossip.put_items(fleet.nodes[name], [item], fleet.now)
        elif act == 3 and name not in fleet.paused:
            fleet.kill(name)
            for key in KEYS:
                highest.pop((name, key), None)
            fleet.start(fleet.rows[name], fleets.list_rows(fleet.rows.values()),
                        int(fleet.now))
            self.reread(fleet, name, newest)
        elif act == 4:
            fleet.paused.add(name)
        else:
            fleet.paused.discard(name)

    def reread(self, fleet, name, newest):
        # What only the killed entry had is read from the store again.
        news = [
            items.Item(key, version, b'%d' % version * 300, version % 5 == 0)
            for key, version in newest.items()
        ]
        gossip.put_items(fleet.nodes[name], news, fleet.now)

    def check(self, fleet, highest):
        for name, node in fleet.nodes.items():
            for key in KEYS:
                version = read_version(node, key)
                self.assertGreaterEqual(version, highest.get((name, key), 0))
                highest[name, key] = version


if __name__ == '__main__':
    unittest.main()
