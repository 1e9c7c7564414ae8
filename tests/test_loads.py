"""Tests of loads: measured cost by slice and by hot point."""

from array import array
import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lentilmoor import loads
from lentilmoor import sketches
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


class SketchTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None, database=None, max_examples=60)
    @given(
        st.lists(st.tuples(st.integers(0, 40), st.integers(1, 50)),
                 min_size=60), st.integers(2, 8))
    def test_error_is_bounded(self, items, capacity):
        sketch = sketches.Sketch(capacity)
        truth = dict.fromkeys(range(41), 0)
        for point, cost in items:
            truth[point] += cost
            sketches.add(sketch, [point], [cost])
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
        sketch = sketches.Sketch(32)
        naive = {}
        for point in stream:
            sketches.add(sketch, [point], [1.0])
            if point in naive or len(naive) < 32:
                naive[point] = naive.get(point, 0) + 1
        self.assertNotIn(7, naive)
        self.assertEqual(7, sketches.find_hottest(sketch, 1)[0][0])


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

    def test_report_is_bounded_and_leaves_nothing_out_for_good(self):
        rng = random.Random(5)
        slice_map = slices.make_map(('a', 'b'), 50)
        recorder = loads.make_recorder(slice_map)
        seen = dict.fromkeys(slice_map.bounds, 0.0)
        for _ in range(40):
            points = [rng.getrandbits(64) for _ in range(200)] + [7] * 50
            loads.record(recorder, points, [1.0] * 250)
            report = loads.take_report(recorder, rows=20, hot_points=4)
            self.assertLessEqual(len(report.slices), 20)
            self.assertLessEqual(len(report.hot), 4)
            self.assertEqual(0, report.slices[0].first)
            for item in report.slices:
                seen[item.first] += item.cost_ms
        self.assertEqual(40 * 250.0, sum(seen.values()) + sum(recorder.costs))
        self.assertLess(max(recorder.costs), 40.0)
        self.assertGreater(min(seen.values()), 40.0)

    def test_follow_keeps_rows_of_unchanged_slices_only(self):
        recorder = loads.make_recorder(FOUR)
        loads.record(recorder, [1, QUARTER], [5.0, 2.0])
        loads.follow(recorder, add_bounds(FOUR, QUARTER + 9))
        report = loads.take_report(recorder)
        self.assertEqual((loads.SliceCost(0, 5.0, 1),), report.slices)
        self.assertEqual((0, 1), report.version)


if __name__ == '__main__':
    unittest.main()
