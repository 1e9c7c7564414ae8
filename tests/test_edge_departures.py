"""Which requests an entry still sends once it was asked to end."""

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
    """A constant time after SIGTERM fits no class of requests for certain."""

    def setUp(self):
        super().setUp()
        self.departure = departures.Departure()
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 10_000.0)
        self.departure.sigterm_received = True

    def _check(self, left_ms: float, repeatable: bool, expected_ms: float,
               at: float) -> bool:
        return departures.refuse_late_send(self.departure, at + left_ms,
                                           repeatable, expected_ms, at) is None

    def test_what_is_given_up_before_the_end_is_sent(self):
        for repeatable in (True, False):
            self.assertTrue(self._check(2_500.0, repeatable, 9_000.0, 13_000.0))

    def test_what_may_outlast_the_end_is_sent_only_if_it_can_be_repeated(self):
        self.assertTrue(self._check(5_000.0, True, 800.0, 12_000.0))
        self.assertFalse(self._check(5_000.0, False, 800.0, 12_000.0))

    def test_what_is_expected_to_outlast_the_end_is_not_sent(self):
        self.assertFalse(self._check(5_000.0, True, 1_300.0, 12_000.0))

    def test_nothing_is_refused_before_sigterm(self):
        running = departures.Departure()
        self.assertIsNone(departures.refuse_late_arrival(running, 1e12))
        self.assertIsNone(
            departures.refuse_late_send(running, 1e12, False, 1e9, 1e12 - 1.0))

    def test_arrivals_are_judged_by_their_own_time(self):
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 12_999.0))
        self.assertIsNotNone(
            departures.refuse_late_arrival(self.departure, 13_001.0))


class UncheckedSignalTest(unittest.TestCase):
    """A stalled process took requests before it noticed SIGTERM."""

    def setUp(self):
        super().setUp()
        self.departure = departures.Departure()
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 10_000.0)

    def _check(self, at: float, repeatable: bool = False) -> bool:
        return departures.refuse_late_send(self.departure, at + 5_000.0,
                                           repeatable, 800.0, at) is None

    def test_long_requests_are_sent_while_it_surely_stays(self):
        self.assertTrue(self._check(11_000.0))
        self.assertEqual(departures.find_deadline(self.departure, 11_000.0),
                         math.inf)

    def test_what_may_outlast_a_stalled_process_is_not_sent(self):
        self.assertFalse(self._check(11_001.0))
        self.assertTrue(self._check(11_001.0, repeatable=True))
        self.assertFalse(self._check(13_300.0, repeatable=True))

    def test_what_arrives_after_a_long_stall_is_refused(self):
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 13_000.0))
        self.assertIsNotNone(
            departures.refuse_late_arrival(self.departure, 13_001.0))

    def test_a_later_check_clears_all(self):
        departures.record_sigterm_absent(self.departure, _GRACE_MS, 14_000.0)
        self.assertIsNone(
            departures.refuse_late_arrival(self.departure, 14_100.0))
        self.assertTrue(self._check(14_100.0))


class WaitingRequestTest(test_edge_forwarding.KeyCase):
    """Requests that waited when SIGTERM came were sent right before the end."""

    def _leave(self, left_ms: float) -> None:
        """Has the process end so soon from now."""
        departures.record_sigterm_absent(self.forwarder.departure,
                                         left_ms + departures.KILL_MARGIN_MS,
                                         self.forwarder.clock.now())
        self.forwarder.departure.sigterm_received = True

    def _leave_before_the_key_moves(self) -> None:
        for timer in (threading.Timer(0.02, self._leave, (400.0,)),
                      threading.Timer(0.05, self._publish, (self.after.id,))):
            timer.start()
            self.addCleanup(timer.join)

    def _assert_refused(self, outcome: requests.Outcome) -> None:
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertIs(outcome.reason, outcomes.Reason.SHUTTING_DOWN)

    def test_one_that_waits_for_its_owner_is_not_sent(self):
        self.forwarder.server_states[self.after.id] = placement.ServerState(
            shared_work_ms=220.0)
        self._publish('nobody')
        self._leave_before_the_key_moves()
        self._assert_refused(self._forward())
        self.assertEqual(self.after.arrivals, 0)

    def test_one_that_waits_for_a_connection_is_not_sent(self):
        self._publish(self.after.id)
        self.forwarder.server_states[self.after.id] = placement.ServerState(
            shared_work_ms=100.0)
        pool = requests.connections.Pool(self.after.address,
                                         self.forwarder.rules,
                                         self.forwarder.clock)
        self.forwarder.pools[self.after.id] = pool
        open_connection = pool.take

        def take(*args):
            self._leave(200.0)
            return open_connection(*args)

        pool.take = take
        self._assert_refused(self._forward())
        self.assertEqual(self.after.arrivals, 0)

    def test_one_that_was_turned_away_is_not_sent_again(self):
        self.forwarder.server_states[self.after.id] = placement.ServerState(
            shared_work_ms=220.0)
        self._leave_before_the_key_moves()
        self._assert_refused(self._forward())
        self.assertEqual(self.before.arrivals, 1)
        self.assertEqual(self.after.arrivals, 0)


if __name__ == '__main__':
    unittest.main()
