"""Tests of the controller of one server."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import controllers
from lentilmoor import limits
from lentilmoor import queues

CLASSES = (queues.ClassPolicy('urgent',
                              0), queues.ClassPolicy('sync', 6,
                                                     deferrable=True))
FAR = 1e9


def make_controller(**changes):
    return controllers.Controller(controllers.GateSettings(CLASSES, **changes))


def ticket(caller='a', rank=0, deadline=FAR, cost=0.0):
    return queues.Ticket(caller, rank, deadline, cost)


class ControllerTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=100)
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 4),
                      strategies.integers(0, 2))
    def test_limit_holds_and_no_slot_idles_while_work_waits(
            self, seed, slots, pipeline):
        generator = random.Random(seed)
        controller = make_controller(slots=slots,
                                     pipeline=pipeline,
                                     queue_limit=8)
        running, now = [], 0.0
        for _ in range(200):
            now += generator.uniform(0.0, 4.0)
            if running and generator.random() < 0.5:
                item = running.pop(generator.randrange(len(running)))
                ending = generator.choices(list(controllers.Ending),
                                           [20, 1, 1, 1])[0]
                decision = controller.leave(item, generator.expovariate(0.1),
                                            now, ending)
            else:
                item = ticket(str(generator.randrange(3)),
                              generator.randrange(2),
                              now + generator.uniform(0.0, 60.0))
                if controller.take(item, now, controller.limit):
                    running.append(item)
                    continue
                decision = controller.wait(item, now)
            for item in decision.started:
                self.assertGreaterEqual(item.latest_start, now)
            running += decision.started
            self.assertEqual(len(running), controller.in_flight)
            self.assertLessEqual(len(decision.started), controller.limit)
            if controller.queue.length:
                self.assertGreaterEqual(controller.in_flight, controller.limit)
            self.assertLessEqual(controller.in_flight, slots + pipeline)

    def test_share_bounds_what_goes_straight(self):
        controller = make_controller()
        self.assertTrue(controller.take(ticket(), 0.0, 1))
        self.assertFalse(controller.take(ticket(), 0.0, 1))
        self.assertTrue(controller.take(ticket(), 0.0, 2))
        self.assertFalse(controller.take(ticket(), 0.0, 0))

    def test_work_that_cannot_finish_is_not_started(self):
        controller = make_controller()
        for _ in range(2_000):
            self.run_one(controller, 20.0)
        self.assertFalse(controller.take(ticket(deadline=10.0), 0.0, 3))

    def test_estimate_that_refuses_all_is_doubted_until_one_passes(self):
        controller = make_controller()
        for _ in range(2_000):
            self.run_one(controller, 500.0)
        passed = [
            controller.take(ticket(deadline=100.0), 0.0, 3) for _ in range(40)
        ]
        self.assertFalse(passed[0])
        self.assertIn(True, passed)

    def test_passed_deadline_tells_nothing_about_the_server(self):
        controller = make_controller()
        for _ in range(2_000):
            self.run_one(controller, 500.0)
        before = controller.least_ms[0]
        self.assertFalse(controller.take(ticket(deadline=1.0), 2.0, 3))
        self.assertEqual(before, controller.least_ms[0])

    def test_cold_server_is_ramped_up(self):
        controller = make_controller(slots=2, pipeline=0, warm_up_ms=1_000.0)
        controller.warm(100.0)
        found = []
        for _ in range(limits.RAMP_REQUESTS):
            found.append(controller.limit)
            self.run_one(controller, 5.0, 200.0)
        self.assertEqual([1] * limits.RAMP_REQUESTS, found)
        self.assertEqual(2, controller.limit)

    def test_ramp_ends_by_time_where_little_is_asked(self):
        controller = make_controller(slots=2, pipeline=0, warm_up_ms=1_000.0)
        controller.warm(100.0)
        self.run_one(controller, 5.0, 1_100.0)
        self.assertEqual(2, controller.limit)

    def test_pipeline_follows_gap_and_response_time(self):
        near = make_controller(gap_ms=0.3)
        far = make_controller(gap_ms=3.0)
        for _ in range(400):
            self.run_one(near, 20.0)
            self.run_one(far, 20.0)
        self.assertEqual([2, 3], [near.limit, far.limit])

    def run_one(self, controller, response_ms, now=0.0):
        item = ticket()
        self.assertTrue(controller.take(item, now, 1))
        controller.leave(item, response_ms, now, controllers.Ending.SERVED)


if __name__ == '__main__':
    unittest.main()
