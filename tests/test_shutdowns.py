"""Tests of graceful shutdown, on hand-moved time."""

import unittest

from lentilmoor import clocks
from lentilmoor import shutdowns

_LOOK_MS = 20.0


class FinishTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime()
        self.count = shutdowns.RequestCount()
        self.plan = {}

    def _wait(self, seconds):
        self.time.advance(seconds * clocks.MS_PER_S)
        for at in [at for at in self.plan if at <= self.time.at]:
            self.plan.pop(at)()

    def _finish(self):
        return shutdowns.finish_requests(self.count, self.time.clock(),
                                         self._wait)

    def test_connections_stay_open_while_others_take_notice(self):
        seen = []
        self.plan = {
            at: lambda: seen.append(self.count.close_connections)
            for at in (0.0, 1_900.0)
        }
        self.assertTrue(self._finish())
        self.assertEqual(seen, [False, False])
        self.assertTrue(self.count.close_connections)
        self.assertLess(self.time.at, 3_000.0)

    def test_a_request_that_runs_is_waited_for(self):
        self.count.enter()
        self.plan = {9_000.0: self.count.leave}
        self.assertTrue(self._finish())
        # Whoever looks learns of the end one look late, at most.
        self.assertGreaterEqual(self.time.at,
                                9_000.0 + shutdowns.QUIET_MS - _LOOK_MS)

    def test_a_late_arrival_starts_the_quiet_time_anew(self):

        def come_and_go():
            self.count.enter()
            self.count.leave()

        self.plan = {2_300.0: come_and_go, 2_700.0: come_and_go}
        self.assertTrue(self._finish())
        self.assertGreaterEqual(self.time.at,
                                2_700.0 + shutdowns.QUIET_MS - _LOOK_MS)

    def test_a_request_without_end_is_reported(self):
        self.count.enter()
        self.assertFalse(self._finish())
        self.assertGreaterEqual(self.time.at, shutdowns.MAX_WAIT_MS)


if __name__ == '__main__':
    unittest.main()
