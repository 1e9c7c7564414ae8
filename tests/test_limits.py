"""Tests of the limit of requests in flight and of the ramp."""

import random
import unittest

from lentilmoor import limits


def feed(limiter, draw, windows):
    for _ in range(windows * limits.WINDOW):
        limits.observe(limiter, draw(), limiter.limit)


class LimiterTest(unittest.TestCase):

    def setUp(self):
        self.generator = random.Random(3)
        self.limiter = limits.make_limiter(3)

    def draw(self, mean):
        return lambda: self.generator.expovariate(1.0 / mean)

    def test_steady_times_leave_the_limit_alone(self):
        feed(self.limiter, self.draw(8.0), 200)
        self.assertEqual(3, self.limiter.limit)

    def test_crowding_by_others_shrinks_it_and_its_end_restores_it(self):
        feed(self.limiter, self.draw(8.0), 10)
        feed(self.limiter, self.draw(60.0), 4)
        self.assertEqual(1, self.limiter.limit)
        feed(self.limiter, self.draw(8.0), 6)
        self.assertEqual(3, self.limiter.limit)

    def test_few_long_downloads_do_not_move_it(self):
        means = []

        def draw():
            long = self.generator.random() < 0.03
            value = 4_000.0 if long else self.generator.uniform(4.0, 12.0)
            means.append(value)
            return value

        least = 3
        for _ in range(100):
            feed(self.limiter, draw, 1)
            least = min(least, self.limiter.limit)
        self.assertEqual(3, least)
        windows = [
            sum(means[i:i + limits.WINDOW])
            for i in range(0, len(means), limits.WINDOW)
        ]
        self.assertGreater(max(windows), 3 * min(windows))  # Naive: would.

    def test_refusal_for_load_shrinks_it_at_once(self):
        limits.back_off(self.limiter)
        self.assertEqual(2, self.limiter.limit)
        for _ in range(5):
            limits.back_off(self.limiter)
        self.assertEqual(1, self.limiter.limit)

    def test_ceiling_takes_a_full_limit_along(self):
        limits.set_ceiling(self.limiter, 4)
        self.assertEqual(4, self.limiter.limit)
        limits.back_off(self.limiter)
        limits.set_ceiling(self.limiter, 5)
        self.assertEqual(2, self.limiter.limit)
        limits.set_ceiling(self.limiter, 1)
        self.assertEqual(1, self.limiter.limit)


class PipelineTest(unittest.TestCase):

    def test_short_gap_needs_none_and_long_gap_one(self):
        self.assertEqual(0, limits.pick_pipeline(1, 0.3, 12.0))
        self.assertEqual(1, limits.pick_pipeline(0, 3.0, 8.0))

    def test_choice_does_not_flap_when_it_changes_the_response_time(self):
        for gap_ms in (0.1, 0.3, 0.45, 0.6, 1.0, 3.0):
            pipeline, changes = 1, 0
            for _ in range(20):
                response_ms = 12.0 if pipeline else 8.0
                chosen = limits.pick_pipeline(pipeline, gap_ms, response_ms)
                changes += chosen != pipeline
                pipeline = chosen
            self.assertLessEqual(changes, 1, gap_ms)


class RampTest(unittest.TestCase):

    def test_limit_grows_with_what_was_served(self):
        step = limits.RAMP_REQUESTS
        found = [
            limits.ramp(3, served, 10.0, 1_000.0)
            for served in (0, step - 1, step, 2 * step, 9 * step)
        ]
        self.assertEqual([1, 1, 2, 3, 3], found)

    def test_ramp_ends_in_time(self):
        self.assertEqual(3, limits.ramp(3, 0, 1_000.0, 1_000.0))


if __name__ == '__main__':
    unittest.main()
