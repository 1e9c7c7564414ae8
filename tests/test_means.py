"""Tests of means: moving means of cost by slice and by hot point."""

from array import array
import dataclasses
import math
import random
import unittest

from lentilmoor import loads
from lentilmoor import means
from lentilmoor import slices

FOUR = slices.make_map(('a', 'b'), 2)
QUARTER = slices.HASH_SPAN // 4


def add_bounds(slice_map, *points):
    bounds = array('Q', sorted({*slice_map.bounds, *points}))
    owners = array('H', (slice_map.owners[slice_map.find(b)] for b in bounds))
    return dataclasses.replace(slice_map,
                               sequence=slice_map.sequence + 1,
                               bounds=bounds,
                               owners=owners)


def observe(table, recorder, seconds, points, cost, now=0.0):
    """Serves each point once a second and reports; returns the time."""
    for _ in range(seconds):
        now += 1000.0
        loads.record(recorder, points, [cost] * len(points))
        means.fold(table, loads.take_report(recorder), now)
    return now


class LoadTableTest(unittest.TestCase):

    def test_rate_is_cost_per_second_from_the_first_report_on(self):
        for seconds in (1, 10, 100, 1000):
            table = means.make_table(FOUR, 0.0)
            now = observe(table, loads.make_recorder(FOUR), seconds, [1], 40.0)
            rates = means.read(table, now).rates
            self.assertAlmostEqual(40.0, rates[0], delta=3.0)
            self.assertEqual(0.0, rates[1])

    def test_change_shows_within_seconds(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        observe(table, recorder, 300, [1] * 100, 1.0)
        now = observe(table, recorder, 6, [QUARTER] * 100, 1.0, 300_000.0)
        seen = means.read(table, now)
        self.assertLess(seen.rates[0], 20.0)
        self.assertGreater(seen.rates[1], 80.0)
        self.assertEqual(QUARTER, seen.hot[0].point)
        self.assertGreater(seen.hot[0].cost, 80.0)

    def test_noise_moves_the_mean_less_than_a_mean_as_fast(self):
        rng = random.Random(3)
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        errors = []
        fast_errors = []
        for second in range(1, 400):
            loads.record(recorder, [1] * 20,
                         [rng.expovariate(0.1) for _ in range(20)])
            now = 1000.0 * second
            means.fold(table, loads.take_report(recorder), now)
            rate = means.read(table, now).rates[0]
            weight = math.exp((now - table.fast.landmark) / means.FAST_MS)
            fast = table.fast.costs[0] / weight / 3.0
            if second > 100:
                errors.append((rate - 200.0)**2)
                fast_errors.append((fast - 200.0)**2)
        self.assertLess(sum(errors), sum(fast_errors) / 4)

    def test_rows_counted_under_older_bounds_are_passed_over(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        means.follow_map(table, add_bounds(FOUR, 100), 0.0)
        loads.record(recorder, [200, QUARTER], [5.0, 3.0])
        means.fold(table, loads.take_report(recorder), 1000.0)
        rates = means.read(table, 1000.0).rates
        self.assertEqual(0.0, rates[0])
        self.assertGreater(rates[2], 0.0)

    def test_cut_out_hot_point_takes_its_cost_along(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        points = [700] * 9 + [5]
        now = observe(table, recorder, 60, points, 1.0)
        means.follow_map(table, add_bounds(FOUR, 700, 701), now)
        rates = means.read(table, now).rates
        self.assertAlmostEqual(9.0, rates[1], delta=0.5)
        self.assertAlmostEqual(1.0, rates[0] + rates[2], delta=0.1)

    def test_single_point_counts_from_reports_under_older_bounds(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        loads.record(recorder, [700, 701], [5.0, 3.0])
        means.follow_map(table, add_bounds(FOUR, 700, 701), 0.0)
        means.fold(table, loads.take_report(recorder), 1000.0)
        costs = list(table.slow.costs)
        self.assertEqual([0.0, 0.0], [costs[0], costs[2]])
        self.assertGreater(costs[1], 4.9)

    def test_key_that_just_became_hot_takes_its_cost_along(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        observe(table, recorder, 300, [5] * 100, 1.0)
        now = observe(table, recorder, 4, [5] * 100 + [700] * 200, 1.0, 3e5)
        means.follow_map(table, add_bounds(FOUR, 700, 701), now)
        rates = means.read(table, now).rates
        # The slow mean alone would give the key a seventh of this.
        self.assertGreater(rates[1], 1.2 * (rates[0] + rates[2]))

    def test_late_reports_do_not_look_like_changes(self):
        table = means.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        points = [1] * 300 + [QUARTER] * 100
        now = observe(table, recorder, 300, points, 1.0) + 5_000.0
        weight = math.exp((now - table.fast.landmark) / means.FAST_MS)
        fast = table.fast.costs[0] / weight / 3.0
        seen = means.read(table, now)
        self.assertLess(fast, 100.0)
        self.assertGreater(seen.rates[0], 240.0)
        self.assertAlmostEqual(3.0, seen.rates[0] / seen.rates[1], delta=0.1)

    def test_merge_and_split_keep_the_total(self):
        table = means.make_table(FOUR, 0.0)
        now = observe(table, loads.make_recorder(FOUR), 30,
                      [1, QUARTER, 3 * QUARTER], 4.0)
        total = sum(means.read(table, now).rates)
        merged = slices.SliceMap(0, 1, ('a', 'b'),
                                 array('Q', [0, 5 * QUARTER // 2]),
                                 array('H', [0, 1]))
        means.follow_map(table, merged, now)
        self.assertAlmostEqual(total, sum(means.read(table, now).rates))

    def test_owned_since_follows_the_owner_by_name(self):
        table = means.make_table(FOUR, 0.0)
        moved = dataclasses.replace(FOUR,
                                    sequence=1,
                                    servers=('b', 'a'),
                                    owners=array('H', [1, 0, 0, 0]))
        means.follow_map(table, moved, 500.0)
        since = list(means.read(table, 500.0).owned_since)
        self.assertEqual(500.0, since[2])
        self.assertLess(max(since[0], since[1], since[3]), 0.0)


if __name__ == '__main__':
    unittest.main()
