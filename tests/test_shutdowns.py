"""Tests of graceful shutdown, with a manual clock."""

import unittest

from lentilmoor import clocks
from lentilmoor import shutdowns

_POLL_INTERVAL_MS = 20.0


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

    def test_connections_stay_open_until_others_detect_the_shutdown(self):
        seen = []
        self.plan = {
            at: lambda: seen.append(self.count.close_connections)
            for at in (0.0, 1_900.0)
        }
        self.assertTrue(self._finish())
        self.assertEqual(seen, [False, False])
        self.assertTrue(self.count.close_connections)
        self.assertLess(self.time.at, 3_000.0)

    def test_request_in_flight_is_awaited(self):
        self.count.enter()
        self.plan = {9_000.0: self.count.leave}
        self.assertTrue(self._finish())
        # The end of the request is detected at most one poll interval late.
        self.assertGreaterEqual(
            self.time.at, 9_000.0 + shutdowns.QUIET_MS - _POLL_INTERVAL_MS)

    def test_late_arrival_restarts_the_quiet_time(self):

        def come_and_go():
            self.count.enter()
            self.count.leave()

        self.plan = {2_300.0: come_and_go, 2_700.0: come_and_go}
        self.assertTrue(self._finish())
        self.assertGreaterEqual(
            self.time.at, 2_700.0 + shutdowns.QUIET_MS - _POLL_INTERVAL_MS)

    def test_request_that_never_finishes_is_reported(self):
        self.count.enter()
        self.assertFalse(self._finish())
        self.assertGreaterEqual(self.time.at, shutdowns.MAX_WAIT_MS)


if __name__ == '__main__':
    unittest.main()
