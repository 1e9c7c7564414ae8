"""Tests which requests an entry still sends during its shutdown."""

import math
import threading
import unittest

from lentilmoor import outcomes
from lentilmoor.edge import departures
from lentilmoor.edge import placement
from lentilmoor.edge import requests
from tests import test_edge_forwarding

_GRACE_MS = 6_000.0


class SendTest(unittest.TestCase):
    """A request is refused if its answer may come after the process has ended.

    A fixed time limit after SIGTERM is either too short or too long for some
    classes of requests.
    """

    def setUp(self):
        super().setUp()
        self.departure = departures.Departure()
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 10_000.0)
        self.departure.sigterm_received = True

    def _check(self, left_ms: float, idempotent: bool, expected_ms: float,
               at: float) -> bool:
        return departures.refuse_late_send(self.departure, at + left_ms,
                                           idempotent, expected_ms, at) is None

    def test_request_with_deadline_before_the_end_is_sent(self):
        for idempotent in (True, False):
            self.assertTrue(self._check(2_500.0, idempotent, 9_000.0, 13_000.0))

    def test_request_that_may_outlast_the_end_is_sent_only_if_idempotent(self):
        self.assertTrue(self._check(5_000.0, True, 800.0, 12_000.0))
        self.assertFalse(self._check(5_000.0, False, 800.0, 12_000.0))

    def test_request_expected_to_outlast_the_end_is_refused(self):
        self.assertFalse(self._check(5_000.0, True, 1_300.0, 12_000.0))

    def test_nothing_is_refused_before_sigterm(self):
        running = departures.Departure()
        self.assertIsNone(departures.refuse_late_arrival(running, 1e12))
        self.assertIsNone(
            departures.refuse_late_send(running, 1e12, False, 1e9, 1e12 - 1.0))

    def test_late_arrivals_are_refused_by_arrival_time(self):
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 12_999.0))
        self.assertIsNotNone(
            departures.refuse_late_arrival(self.departure, 13_001.0))


class StaleSignalCheckTest(unittest.TestCase):
    """A stalled process accepted requests after SIGTERM had been sent.

    It had not yet received the signal, and was killed before they finished.
    """

    def setUp(self):
        super().setUp()
        self.departure = departures.Departure()
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 10_000.0)

    def _check(self, at: float, idempotent: bool = False) -> bool:
        return departures.refuse_late_send(self.departure, at + 5_000.0,
                                           idempotent, 800.0, at) is None

    def test_long_requests_are_sent_after_a_recent_sigterm_check(self):
        self.assertTrue(self._check(11_000.0))
        self.assertEqual(departures.find_deadline(self.departure, 11_000.0),
                         math.inf)

    def test_request_that_may_outlast_a_stalled_process_is_refused(self):
        self.assertFalse(self._check(11_001.0))
        self.assertTrue(self._check(11_001.0, idempotent=True))
        self.assertFalse(self._check(13_300.0, idempotent=True))

    def test_request_that_arrives_after_a_long_stall_is_refused(self):
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 13_000.0))
        self.assertIsNotNone(
            departures.refuse_late_arrival(self.departure, 13_001.0))

    def test_later_sigterm_check_lifts_the_refusals(self):
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 14_000.0)
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 14_100.0))
        self.assertTrue(self._check(14_100.0))


class WaitingRequestTest(test_edge_forwarding.ForwardingTestCase):
    """Requests that waited during SIGTERM were sent just before the end."""

    def _shut_down(self, remaining_ms: float) -> None:
        """Starts a shutdown with a remaining time for requests."""
        departures.record_sigterm_absent(
            self.forwarder.departure, remaining_ms + departures.KILL_MARGIN_MS,
            self.forwarder.clock.now())
        self.forwarder.departure.sigterm_received = True

    def _shut_down_before_the_key_moves(self) -> None:
        for timer in (threading.Timer(0.02, self._shut_down, (400.0,)),
                      threading.Timer(0.05, self._publish,
                                      (self.new_owner.id,))):
            timer.start()
            self.addCleanup(timer.join)

    def _assert_refused(self, outcome: requests.Outcome) -> None:
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertIs(outcome.reason, outcomes.Reason.SHUTTING_DOWN)

    def test_request_waiting_for_the_owner_is_not_sent(self):
        self.forwarder.server_states[self.new_owner.id] = placement.ServerState(
            shared_work_ms=220.0)
        self._publish('nobody')
        self._shut_down_before_the_key_moves()
        self._assert_refused(self._forward())
        self.assertEqual(self.new_owner.arrivals, 0)

    def test_request_waiting_for_a_connection_is_not_sent(self):
        self._publish(self.new_owner.id)
        self.forwarder.server_states[self.new_owner.id] = placement.ServerState(
            shared_work_ms=100.0)
        pool = requests.connections.Pool(self.new_owner.address,
                                         self.forwarder.rules,
                                         self.forwarder.clock)
        self.forwarder.pools[self.new_owner.id] = pool
        open_connection = pool.acquire

        def take(*args):
            self._shut_down(200.0)
            return open_connection(*args)

        pool.acquire = take
        self._assert_refused(self._forward())
        self.assertEqual(self.new_owner.arrivals, 0)

    def test_rejected_request_is_not_sent_again(self):
        self.forwarder.server_states[self.new_owner.id] = placement.ServerState(
            shared_work_ms=220.0)
        self._shut_down_before_the_key_moves()
        self._assert_refused(self._forward())
        self.assertEqual(self.old_owner.arrivals, 1)
        self.assertEqual(self.new_owner.arrivals, 0)


if __name__ == '__main__':
    unittest.main()
