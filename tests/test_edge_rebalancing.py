"""Tests of the planning of transfers that balance load."""

import random
import unittest

from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables

HOT = 30_000
SPEEDS = {
    'fast': 1.6
} | {
    f's{index}': speed for index, speed in enumerate((0.6, 0.9, 1.0) * 8)
}


def _spread(total: float) -> dict[int, float]:
    """Returns a load spread over random keys, with a fixed seed."""
    draw = random.Random(7)
    loads: dict[int, float] = {}
    for _ in range(int(total)):
        key = draw.randrange(tables.KEY_COUNT)
        loads[key] = loads.get(key, 0.0) + 1.0
    return loads


def _carry_out(ranges, transfers):
    return keyranges.reassign(ranges, [
        keyranges.KeyRange(item.first, item.last, item.target, 9)
        for item in transfers
    ])


class LowCapacityTest(unittest.TestCase):
    """One server, such as a rate-limited one, has a very low capacity."""

    def setUp(self):
        super().setUp()
        self.capacities = {'low': 0.05, 'a': 1.0, 'b': 1.0, 'c': 1.0}
        self.ranges = keyranges.divide_by_weight(self.capacities, {}, 1)
        self.loads = keyloads.KeyLoads(
            {key: 5.0 for key in range(0, tables.KEY_COUNT, 1_024)})

    def test_keys_move_in_runs(self):
        # Keys must not move one by one or to their current owner.
        transfers = rebalancing.plan_transfers(self.ranges, self.loads,
                                               self.capacities)
        self.assertTrue(all(item.source != item.target for item in transfers))
        outgoing = [item for item in transfers if item.source == 'low']
        moved = sum(
            self.loads.sum_loads(item.first, item.last) for item in outgoing)
        self.assertGreater(moved, self.loads.total / 4 * 0.8)
        self.assertLessEqual(len(outgoing), 2 * len(self.capacities))
        self.assertNotIn('low', {item.target for item in transfers})


class HeavyKeyTest(unittest.TestCase):
    """The load of one key exceeds every server's share."""

    def setUp(self):
        super().setUp()
        self.ranges = keyranges.divide_by_weight(SPEEDS, {}, 1)
        loads = _spread(140)
        loads[HOT] = 60.0
        self.loads = keyloads.KeyLoads(loads)

    def _settle(self, rounds: int = 6):
        ranges = self.ranges
        for _ in range(rounds):
            ranges = _carry_out(
                ranges, rebalancing.plan_transfers(ranges, self.loads, SPEEDS))
        return ranges

    def test_it_goes_to_the_fastest_server(self):
        ranges = self._settle()
        self.assertEqual(keyranges.find_range(ranges, HOT).server, 'fast')

    def test_the_server_that_has_it_gives_other_keys_away(self):
        ranges = self._settle()
        rest = self.loads.total - 60.0
        capacity = sum(speed**rebalancing.SPEED_EXPONENT
                       for server, speed in SPEEDS.items()
                       if server != 'fast')
        for server, speed in SPEEDS.items():
            load = sum(
                self.loads.sum_loads(item.first, item.last)
                for item in ranges
                if item.server == server)
            share = rest * speed**rebalancing.SPEED_EXPONENT / capacity
            most = 60.0 if server == 'fast' else share
            self.assertLess(load, most * 1.1 + most**0.5)

    def test_the_imbalance_summary_names_the_heavy_key(self):
        found = rebalancing.measure_imbalance(self.ranges, self.loads, SPEEDS)
        self.assertEqual((found.heaviest_key, found.heaviest_load), (HOT, 60.0))
        owner = keyranges.find_range(self.ranges, HOT).server
        self.assertEqual(found.busiest, owner)
        self.assertGreater(found.ratio, 3.0)
        empty = rebalancing.measure_imbalance([], keyloads.KeyLoads({}), {})
        self.assertEqual((empty.busiest, empty.heaviest_key), ('', -1))

    def test_it_stays_where_no_server_is_much_faster(self):
        speeds = dict.fromkeys(SPEEDS, 1.0)
        owner = keyranges.find_range(self.ranges, HOT).server
        for item in rebalancing.plan_transfers(self.ranges, self.loads, speeds):
            self.assertFalse(item.first <= HOT <= item.last)
            self.assertNotEqual(item.target, owner)

    def test_two_heavy_keys_go_to_different_servers(self):
        loads = _spread(140)
        loads.update({HOT: 60.0, HOT + 1: 50.0})
        self.loads = keyloads.KeyLoads(loads)
        ranges = self._settle()
        owners = {
            keyranges.find_range(ranges, key).server for key in (HOT, HOT + 1)
        }
        self.assertEqual(len(owners), 2)
        self.assertIn('fast', owners)

    def test_a_few_requests_for_a_key_move_nothing(self):
        loads = _spread(60)
        loads[10] = loads.get(10, 0.0) + 3.0
        capacities = dict.fromkeys((f's{index}' for index in range(16)), 1.0)
        capacities['fast'] = 2.0
        ranges = keyranges.divide_by_weight(capacities, capacities, 1)
        for item in rebalancing.plan_transfers(ranges, keyloads.KeyLoads(loads),
                                               capacities):
            self.assertNotEqual((item.first, item.last), (10, 10))


if __name__ == '__main__':
    unittest.main()
