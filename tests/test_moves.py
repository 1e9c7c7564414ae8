"""Hand-over of ranges, and the shard's record."""

import unittest

from lentilmoor import exceptions
from lentilmoor import grants
from lentilmoor import plans
from lentilmoor import ranges
from lentilmoor import records
from lentilmoor import slices
from tests import worlds

SHARD = worlds.SHARD
Stage = grants.MoveStage


class MoveTest(unittest.TestCase):

    def start(self, **options):
        world = worlds.World(3, moving=0.0, **options)
        world.run(300.0)
        return world, world.entries['e0'].table[SHARD]

    def plan(self, world, target='s1', **fields):
        move = plans.Move(0, 's0', target, plans.Cause.IMBALANCE)
        plan = plans.Plan(moves=(move,), **fields)
        world.apply(world.entries['e0'], grants.PlanMoves(SHARD, plan))

    def list_stages(self, world, row, until):
        stages = []
        while world.now < until:
            world.run(world.now + 1.0)
            now = [item.stage for item in row.moves.values()] or [None]
            if stages[-1:] != now:
                stages += now
        return stages

    def test_a_planned_move_holds_drains_revokes_commits_and_grants(self):
        world, row = self.start()
        self.plan(world)
        stages = self.list_stages(world, row, 1_000.0)
        self.assertEqual(stages, [
            Stage.HOLDING, Stage.REVOKING, Stage.PROPOSED, Stage.GRANTING, None
        ])
        self.assertEqual(row.committed.owner_of(0), 's1')
        world.run(1_500.0)
        world.check_served()

    def test_a_move_that_does_not_drain_is_given_up(self):
        for checks in (True, False):
            world, row = self.start(checks=checks)
            world.end_running = lambda entry: 1e9
            self.plan(world)
            world.run(900.0)
            self.assertEqual(row.held, ((0, row.committed.last_point(0)),))
            world.run(1_500.0)
            self.assertEqual((row.held, row.committed.owner_of(0)), ((), 's0'))

    def test_a_leaving_server_does_not_keep_what_does_not_drain(self):
        for checks in (True, False):
            world, row = self.start(checks=checks)
            world.end_running = lambda entry: 1e9
            world.check_routes = lambda entry: None
            world.apply(world.entries['e0'], grants.ServerLeaving(SHARD, 's0'))
            self.plan(world)
            world.run(1_700.0)
            self.assertEqual(row.committed.owner_of(0), 's1')

    def test_a_lost_server_keeps_its_ranges_until_its_grant_has_ended(self):
        world, row = self.start()
        world.servers['s0'].paused_until = 10_000.0
        ends = world.entries['e0'].real_time(row.servers['s0'].until)
        world.apply(world.entries['e0'], grants.ServerLost(SHARD, 's0'))
        self.plan(world)
        world.run(ends - 10.0)
        self.assertEqual(row.committed.owner_of(0), 's0')
        self.assertTrue(ranges.covers(row.held, 0))
        world.run(ends + 60.0)
        self.assertEqual(row.committed.owner_of(0), 's1')

    def test_a_target_lost_on_the_way_is_replaced(self):
        world, row = self.start()
        world.plan = lambda *_: None
        self.plan(world)
        while row.moves[0].stage is not Stage.PROPOSED:
            world.run(world.now + 0.5)
        world.servers['s1'].paused_until = 10_000.0
        world.apply(world.entries['e0'], grants.ServerLost(SHARD, 's1'))
        self.plan(world, 's2')
        world.run(world.now + 700.0)
        self.assertEqual(row.committed.owner_of(0), 's2')

    def test_splits_and_merges_move_nothing(self):
        world, row = self.start()
        before = row.committed
        plan = plans.Plan(splits=(plans.Split(77),))
        world.apply(world.entries['e0'], grants.PlanMoves(SHARD, plan))
        world.run(400.0)
        self.assertEqual(list(row.committed.bounds)[:2], [0, 77])
        plan = plans.Plan(merges=(plans.Merge(77),))
        world.apply(world.entries['e0'], grants.PlanMoves(SHARD, plan))
        world.run(500.0)
        self.assertEqual(row.committed.bounds, before.bounds)
        self.assertEqual(ranges.find_differences(before, row.committed), ())

    def test_nothing_planned_begins_while_the_store_fails(self):
        world, row = self.start()
        row.store_ok = False
        self.plan(world)
        self.assertEqual(row.moves, {})


class RecordTest(unittest.TestCase):

    def test_what_is_decoded_is_what_was_encoded(self):
        record = records.ShardRecord(7, 'e1.ab', 500, ('a', 'b'),
                                     slices.make_map(('s0', 's1'), 3))
        self.assertEqual(records.decode(records.encode(record)), record)

    def test_a_damaged_record_stops_the_process(self):
        with self.assertRaises(exceptions.InvariantError):
            records.decode(b'\xff\xff\xff')
