"""Tests of loads: measured cost by slice and by hot point."""

from array import array
import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lentilmoor import loads
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


def observe(table, recorder, seconds, points, cost):
    """Serves each point once a second and reports; returns the time."""
    now = table.started_at
    for _ in range(seconds):
        now += 1000.0
        loads.record(recorder, points, [cost] * len(points))
        loads.fold(table, loads.take_report(recorder), now)
    return now


class SketchTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(st.lists(st.tuples(st.integers(0, 40), st.integers(1, 50))),
           st.integers(2, 8))
    def test_error_is_bounded(self, items, capacity):
        sketch = loads.Sketch(capacity)
        truth = dict.fromkeys(range(41), 0)
        for point, cost in items:
            truth[point] += cost
            loads.add(sketch, point, cost)
        total = sum(truth.values())
        self.assertLess(len(sketch.costs), 2 * capacity)
        self.assertLessEqual(sketch.undercount, total / (capacity + 1))
        for point, cost in truth.items():
            kept = sketch.costs.get(point, 0)
            self.assertLessEqual(kept, cost)
            self.assertGreaterEqual(kept, cost - sketch.undercount)

    def test_heavy_point_is_found_where_the_first_points_hide_it(self):
        rng = random.Random(4)
        stream = [rng.getrandbits(64) for _ in range(5000)] + [7] * 400
        rng.shuffle(stream)
        stream = list(range(100, 150)) + stream
        sketch = loads.Sketch(32)
        naive = {}
        for point in stream:
            loads.add(sketch, point, 1.0)
            if point in naive or len(naive) < 32:
                naive[point] = naive.get(point, 0) + 1
        self.assertNotIn(7, naive)
        self.assertEqual(7, loads.find_hottest(sketch, 1)[0][0])


class RecorderTest(unittest.TestCase):

    def test_report_sums_by_slice_and_starts_anew(self):
        recorder = loads.make_recorder(FOUR)
        loads.record(recorder, [1, 2, QUARTER], [5.0, 7.0, 2.0])
        report = loads.take_report(recorder)
        self.assertEqual(
            (loads.SliceCost(0, 12.0, 2), loads.SliceCost(QUARTER, 2.0, 1)),
            report.slices)
        self.assertEqual(2, report.hot[0].point)
        self.assertEqual((), loads.take_report(recorder).slices)

    def test_follow_keeps_rows_of_unchanged_slices_only(self):
        recorder = loads.make_recorder(FOUR)
        loads.record(recorder, [1, QUARTER], [5.0, 2.0])
        loads.follow(recorder, add_bounds(FOUR, QUARTER + 9))
        report = loads.take_report(recorder)
        self.assertEqual((loads.SliceCost(0, 5.0, 1),), report.slices)
        self.assertEqual((0, 1), report.version)


class LoadTableTest(unittest.TestCase):

    def test_rate_is_cost_per_second_from_the_first_report_on(self):
        for seconds in (1, 10, 100, 1000):
            table = loads.make_table(FOUR, 0.0)
            now = observe(table, loads.make_recorder(FOUR), seconds, [1], 40.0)
            rates = loads.read(table, now).rates
            self.assertAlmostEqual(40.0, rates[0], delta=3.0)
            self.assertEqual(0.0, rates[1])

    def test_means_forget(self):
        table = loads.make_table(FOUR, 0.0)
        now = observe(table, loads.make_recorder(FOUR), 100, [1], 40.0)
        later = loads.read(table, now + 5 * loads.WINDOW_MS)
        self.assertLess(later.rates[0], 1.0)
        self.assertLess(later.hot[0].cost, 1.0)

    def test_rows_counted_under_older_bounds_are_passed_over(self):
        table = loads.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        loads.follow_map(table, add_bounds(FOUR, 100), 0.0)
        loads.record(recorder, [200, QUARTER], [5.0, 3.0])
        loads.fold(table, loads.take_report(recorder), 1000.0)
        rates = loads.read(table, 1000.0).rates
        self.assertEqual(0.0, rates[0])
        self.assertGreater(rates[2], 0.0)

    def test_cut_out_hot_point_takes_its_cost_along(self):
        table = loads.make_table(FOUR, 0.0)
        recorder = loads.make_recorder(FOUR)
        points = [700] * 9 + [5]
        now = observe(table, recorder, 60, points, 1.0)
        loads.follow_map(table, add_bounds(FOUR, 700, 701), now)
        rates = loads.read(table, now).rates
        self.assertAlmostEqual(9.0, rates[1], delta=0.5)
        self.assertAlmostEqual(1.0, rates[0] + rates[2], delta=0.1)

    def test_merge_and_split_keep_the_total(self):
        table = loads.make_table(FOUR, 0.0)
        now = observe(table, loads.make_recorder(FOUR), 30,
                      [1, QUARTER, 3 * QUARTER], 4.0)
        total = sum(loads.read(table, now).rates)
        merged = slices.SliceMap(0, 1, ('a', 'b'),
                                 array('Q', [0, 5 * QUARTER // 2]),
                                 array('H', [0, 1]))
        loads.follow_map(table, merged, now)
        self.assertAlmostEqual(total, sum(loads.read(table, now).rates))

    def test_owned_since_follows_the_owner_by_name(self):
        table = loads.make_table(FOUR, 0.0)
        moved = dataclasses.replace(FOUR,
                                    sequence=1,
                                    servers=('b', 'a'),
                                    owners=array('H', [1, 0, 0, 0]))
        loads.follow_map(table, moved, 500.0)
        since = list(loads.read(table, 500.0).owned_since)
        self.assertEqual(500.0, since[2])
        self.assertLess(max(since[0], since[1], since[3]), 0.0)


if __name__ == '__main__':
    unittest.main()
