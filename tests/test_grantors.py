"""The grantor's decisions one by one, with answers fed in by hand."""

import unittest

from lentilmoor import authority
from lentilmoor import grantors
from lentilmoor import grants
from lentilmoor import records
from lentilmoor import slices
from tests import worlds

SHARD = worlds.SHARD
NAMES = ('a', 'b', 'c')


def make_table(**options):
    row = grantors.make_row(SHARD, 'a', 500.0, 125.0, 1000.0, **options)
    table = {SHARD: row}
    for server in ('s0', 's1'):
        grantors.apply_event(table, grants.ServerAdded(SHARD, server, 'x:1'),
                             0.0)
    grantors.apply_event(table, grants.ChooseDelegates(SHARD, NAMES), 0.0)
    grantors.apply_event(table, grants.Takeover(SHARD), 0.0)
    return table


def make_record(sequence=7):
    first = slices.make_map(('s0', 's1'), 1)
    held = slices.SliceMap(4, sequence, first.servers, first.bounds,
                           first.owners)
    return records.ShardRecord(4, 'z', 500, NAMES, held)


def pick(actions, kind):
    return [item for item in actions if isinstance(item, kind)]


def step_one(table, now):
    actions = grantors.step_grantor(table, now)
    assert len(actions) == 1, actions
    return actions[0]


def accept(action, now, quiet_ms=0.0, assignment=None):
    order = action.order
    version = order.map_version if not order.gather else (0, 0)
    return grants.LeaseAnswered(
        action,
        grants.LeaseReply(action.delegate,
                          True,
                          order.epoch,
                          order.sequence,
                          version,
                          clock_ms=now,
                          quiet_ms=quiet_ms,
                          assignment=assignment))


def take_over(table, record=None, now=0.0):
    """Feeds a takeover up to the gathering; returns its calls."""
    read = step_one(table, now)
    version = 0 if record is None else 3
    grantors.apply_event(table, grants.RecordRead(read, record, version), now)
    swap = step_one(table, now)
    grantors.apply_event(table, grants.RecordSwapped(swap, version + 1), now)
    return swap, grantors.step_grantor(table, now)


def gather(table, actions, count, now, **fields):
    for action in pick(actions, grants.SendLease)[:count]:
        grantors.apply_event(table, accept(action, now, **fields), now)


def serve(table, now=0.0):
    """Takes over with all delegates and the store answering."""
    _, actions = take_over(table, make_record(), now)
    gather(table, actions, 3, now, quiet_ms=10_000.0)
    answer_servers(table, actions, now)
    actions = grantors.step_grantor(table, now)
    swap, = pick(actions, grants.SwapRecord)
    grantors.apply_event(table, grants.RecordSwapped(swap, 5), now)
    return grantors.step_grantor(table, now)


def answer_servers(table, actions, now):
    for action in pick(actions, grants.AskServer):
        grantors.apply_event(table, grants.ServerAnswered(action, now), now)


class TakeoverTest(unittest.TestCase):

    def test_keeps_list_and_assignment_while_older_epochs_may_act(self):
        swap, _ = take_over(make_table(), make_record())
        self.assertEqual((swap.record.epoch, swap.record.holder), (5, 'a'))
        self.assertEqual(swap.record.delegates, NAMES)
        self.assertEqual(swap.record.assignment.version, (4, 7))

    def test_a_lost_race_is_given_up(self):
        table = make_table()
        read = step_one(table, 0.0)
        grantors.apply_event(table, grants.RecordRead(read, make_record(), 3),
                             0.0)
        swap = step_one(table, 0.0)
        other = records.ShardRecord(5, 'b', 500, NAMES,
                                    make_record().assignment)
        grantors.apply_event(table, grants.SwapConflict(swap, other, 4), 0.0)
        self.assertIs(table[SHARD].stage, grants.Stage.IDLE)

    def test_a_lost_reply_is_settled_by_the_conflict_of_the_next_try(self):
        table = make_table()
        read = step_one(table, 0.0)
        grantors.apply_event(table, grants.RecordRead(read, make_record(), 3),
                             0.0)
        swap = step_one(table, 0.0)
        grantors.apply_event(table, grants.StoreFailed(swap), 500.0)
        again = step_one(table, 750.0)
        grantors.apply_event(table, grants.SwapConflict(again, swap.record, 4),
                             751.0)
        self.assertIs(table[SHARD].stage, grants.Stage.GATHERING)

    def test_grants_nothing_before_it_committed_what_it_gathered(self):
        table = make_table()
        _, actions = take_over(table, make_record())
        newer = make_record(sequence=9).assignment
        newer.owners[0] = 1
        gather(table, actions, 2, 1.0, assignment=newer)
        answer_servers(table, actions, 1.0)
        actions = grantors.step_grantor(table, 1.0)
        self.assertEqual(pick(actions, grants.SendGrant), [])
        self.assertEqual(table[SHARD].held, ((0, newer.last_point(0)),))
        swap, = pick(actions, grants.SwapRecord)
        self.assertEqual(list(swap.record.assignment.owners), [1, 1])
        self.assertEqual(swap.record.assignment.epoch, 5)
        grantors.apply_event(table, grants.RecordSwapped(swap, 5), 2.0)
        actions = grantors.step_grantor(table, 2.0)
        owned = {
            item.server: item.owned for item in pick(actions, grants.SendGrant)
        }
        self.assertEqual(owned['s0'], ())
        self.assertEqual(owned['s1'], ((0, slices.HASH_SPAN - 1),))

    def test_waits_from_when_a_majority_last_heard_an_older_epoch(self):
        table = make_table()
        _, actions = take_over(table, make_record())
        first, second, third = pick(actions, grants.SendLease)
        grantors.apply_event(table, accept(first, 10.0, quiet_ms=400.0), 10.0)
        self.assertIs(table[SHARD].stage, grants.Stage.GATHERING)
        grantors.apply_event(table, accept(second, 20.0, quiet_ms=100.0), 20.0)
        grantors.step_grantor(table, 20.0)
        self.assertAlmostEqual(table[SHARD].settled_at,
                               20.0 - 100.0 * 0.99 + 500.0 * 1.01)
        grantors.apply_event(table, accept(third, 30.0, quiet_ms=300.0), 30.0)
        grantors.step_grantor(table, 30.0)
        self.assertAlmostEqual(table[SHARD].settled_at,
                               30.0 - 300.0 * 0.99 + 500.0 * 1.01)

    def test_delegates_that_ended_count_and_are_replaced_after_the_wait(self):
        table = make_table()
        _, actions = take_over(table, make_record())
        gather(table, actions, 1, 1.0)
        for name in ('b', 'c'):
            grantors.apply_event(table, grants.DelegateEnded(SHARD, name), 2.0)
        grantors.apply_event(table, grants.ChooseDelegates(SHARD, ('a', 'd')),
                             2.0)
        swap, = pick(grantors.step_grantor(table, 2.0), grants.SwapRecord)
        self.assertEqual(swap.record.delegates, NAMES)
        grantors.apply_event(table, grants.RecordSwapped(swap, 5), 3.0)
        actions = grantors.step_grantor(table, 400.0)
        self.assertEqual(pick(actions, grants.SwapRecord), [])
        swap, = pick(grantors.step_grantor(table, 508.0), grants.SwapRecord)
        self.assertEqual(swap.record.delegates, ('a', 'd'))

    def test_a_service_without_keys_has_no_grants(self):
        table = make_table(keyed=False)
        swap, actions = take_over(table)
        self.assertEqual(swap.record.epoch, 1)
        gather(table, actions, 3, 1.0)
        actions = grantors.step_grantor(table, 2.0)
        self.assertEqual(len(pick(actions, grants.SendLease)), 3)
        self.assertEqual(pick(actions, (grants.AskServer, grants.SendGrant)),
                         [])


class AuthorityTest(unittest.TestCase):

    def test_nothing_sent_outlasts_what_a_majority_accepted(self):
        table = make_table()
        actions = serve(table, now=0.0)
        self.assertEqual(authority.find_end(table[SHARD]), 500.0)
        for action in pick(actions, grants.SendGrant):
            grantors.apply_event(table, grants.GrantAnswered(action, 100.0),
                                 100.0)
        for action in pick(grantors.step_grantor(table, 200.0),
                           grants.SendGrant):
            self.assertAlmostEqual(action.lifetime_ms, 400.0 / 1.01)
        actions = grantors.step_grantor(table, 501.0)
        self.assertEqual(pick(actions, grants.SendGrant), [])
        self.assertEqual(
            {
                item.order.lifetime_ms
                for item in pick(actions, grants.SendLease)
            }, {0.0})
        self.assertFalse(grantors.is_authoritative(table[SHARD], 501.0))

    def test_an_unsettled_change_of_the_list_needs_both_majorities(self):
        table = make_table()
        serve(table)
        row = table[SHARD]
        grantors.apply_event(table,
                             grants.ChooseDelegates(SHARD, ('a', 'd', 'e')),
                             1.0)
        swap, = pick(grantors.step_grantor(table, 1.0), grants.SwapRecord)
        self.assertEqual(authority.find_end(row), grants.NEVER)
        grantors.apply_event(table, grants.StoreFailed(swap), 300.0)
        leases = pick(grantors.step_grantor(table, 300.0), grants.SendLease)
        self.assertEqual({item.delegate for item in leases}, {*NAMES, 'd', 'e'})
        for action in leases:
            if action.delegate in 'abd':
                grantors.apply_event(table, accept(action, 301.0), 301.0)
        self.assertEqual(authority.find_end(row), 800.0)

    def test_a_record_of_a_newer_epoch_ends_the_role(self):
        table = make_table()
        serve(table)
        read, = pick(grantors.step_grantor(table, 6_000.0), grants.ReadRecord)
        newer = records.ShardRecord(6, 'b', 500, NAMES,
                                    make_record().assignment)
        grantors.apply_event(table, grants.RecordRead(read, newer, 9), 6_001.0)
        self.assertIs(table[SHARD].stage, grants.Stage.IDLE)
        self.assertEqual(grantors.step_grantor(table, 6_002.0), [])


class OutageTest(unittest.TestCase):

    def test_a_grantor_that_lost_most_delegates_changes_the_list(self):
        world = worlds.World(1, moving=0.0)
        world.run(100.0)
        for name in ('e1', 'e2'):
            world.entries[name].alive = False
        row = world.entries['e0'].table[SHARD]
        world.run(1_000.0)
        world.choose_live()
        world.run(2_000.0)
        self.assertFalse(row.had_authority)
        self.assertEqual(row.record.delegates, ('e0', 'e1', 'e2'))
        world.run(3_000.0)
        self.assertEqual(row.record.delegates, ('e0', 'e3'))
        world.check_served()

    def test_a_lost_servers_slices_move_once_a_majority_holds_it(self):
        world = worlds.World(1, moving=0.0)
        world.run(100.0)
        world.store.down = True
        world.servers['s0'].alive = False
        world.run(1_500.0)
        row = world.entries['e0'].table[SHARD]
        owners = {
            row.committed.servers[owner] for owner in row.committed.owners
        }
        self.assertEqual(owners, {'s1', 's2'})
        self.assertGreater(row.committed.version, row.record.assignment.version)
        world.entries['e0'].alive = False
        world.store.down = False
        world.run(4_000.0)
        world.choose_live()
        world.run(5_000.0)
        world.check_history()
        self.assertGreater(world.store.record.epoch, row.epoch)
        self.assertEqual(
            {
                world.store.record.assignment.servers[owner]
                for owner in world.store.record.assignment.owners
            }, {'s1', 's2'})
