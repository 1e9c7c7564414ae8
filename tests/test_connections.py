"""Tests of connections: silent ones, dead servers, and no storm of new ones."""

import contextlib
import socket
import threading
import unittest

from urllib3 import exceptions as http_exceptions

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_PATIENCE_MS = 5_000.0


class FakeServer:
    """Answers every request, but for connections that were made silent."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.accepted: list[socket.socket] = []
        self.silent = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes all connections of now silent; new ones work."""
        self.silent = len(self.accepted)

    def refuse(self):
        """Refuses new connections; old ones work."""
        # Wakes the thread that accepts; closing alone would not.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def close(self):
        self.refuse()
        for item in self.accepted:
            with contextlib.suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                accepted, _ = self._listener.accept()
                self.accepted.append(accepted)
                threading.Thread(target=self._serve,
                                 args=(accepted, len(self.accepted)),
                                 daemon=True).start()

    def _serve(self, accepted, number):
        with contextlib.suppress(OSError), accepted:
            while accepted.recv(65_536):
                if number > self.silent:
                    accepted.sendall(_ANSWER)


class PoolTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.server = FakeServer()
        self.addCleanup(self.server.close)
        self.pool = self._make_pool()

    def _make_pool(self, **limits):
        rules = connections.PoolLimits(**limits)
        pool = connections.Pool(self.server.address, rules, clocks.Clock())
        self.addCleanup(pool.close)
        return pool

    def _take(self, repeatable=True, fresh=False, patience_ms=_PATIENCE_MS):
        taken = self.pool.acquire(repeatable, fresh, patience_ms)
        if isinstance(taken, connections.Connection):
            self.addCleanup(taken.http.close)
        return taken

    def _ask(self, connection, timeout_ms=_PATIENCE_MS):
        connection.http.timeout = timeout_ms / clocks.MS_PER_S
        connection.http.request('GET', '/', preload_content=False)
        return connection.http.getresponse().read()

    def _fill(self, count):
        taken = [self._take() for _ in range(count)]
        for item in taken:
            self._ask(item)
        for item in taken:
            self.pool.release(item)

    def test_whole_answer_lets_the_connection_be_used_again(self):
        self._fill(1)
        again = self._take()
        self.assertTrue(again.reused)
        self.assertEqual(self._ask(again), b'ok')
        self.assertEqual(self.pool.state.opened_count, 1)

    def test_silent_connection_is_told_from_a_dead_server(self):
        self._fill(3)
        self.server.silence()
        silent = self._take()
        with self.assertRaises((http_exceptions.HTTPError, OSError)):
            self._ask(silent, timeout_ms=50)
        self.pool.discard(silent, timed_out=True)
        fresh = self._take(fresh=True)
        self.assertEqual(self._ask(fresh), b'ok')
        self.pool.release(fresh)
        self._fill(3)  # None of the other old ones is met any more.
        self.assertEqual(
            (self.pool.state.stale_closed_count, self.pool.state.open_count),
            (2, 3))

    def test_dead_server_is_refused_and_gets_no_storm(self):
        self.pool = self._make_pool(burst=3, opens_per_s=0.001)
        self._fill(1)
        self.server.close()
        reasons = []
        for _ in range(50):
            result = self._take()
            self.assertIsInstance(result, outcomes.Failed)
            reasons.append(result.reason)
        self.assertEqual(reasons.count(outcomes.Reason.CONNECT_FAILED), 2)
        self.assertEqual(reasons.count(outcomes.Reason.NO_SERVER), 48)
        self.assertEqual(self.pool.state.open_count, 0)

    def test_server_without_room_is_still_reached_by_what_is_open(self):
        self.pool = self._make_pool(burst=2,
                                    opens_per_s=0.001,
                                    connect_timeout_ms=60_000.0)
        first = self._take()
        self._ask(first)  # It is accepted now.
        self.server.refuse()
        refused = self._take()
        self.assertIs(refused.reason, outcomes.Reason.CONNECT_FAILED)
        taken = []
        waiting = threading.Thread(target=lambda: taken.append(self._take()))
        waiting.start()
        self._ask(first)
        self.pool.release(first)
        waiting.join()
        self.assertIs(taken[0], first)
        hopeless = self._take(fresh=True)
        self.assertIs(hopeless.reason, outcomes.Reason.NO_SERVER)

    def test_number_of_connections_is_bounded(self):
        self.pool = self._make_pool(max_open=2)
        taken = [self._take(), self._take()]
        refused = self._take(patience_ms=1)
        self.assertIs(refused.reason, outcomes.Reason.OVERLOADED)
        waiting = threading.Thread(target=lambda: taken.append(self._take()))
        waiting.start()
        self._ask(taken[0])
        self.pool.release(taken[0])
        waiting.join()
        self.assertIs(taken[2], taken[0])
        self.assertEqual(self.pool.state.opened_count, 2)


class RuleTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.rules = connections.PoolLimits()
        self.row = connections.PoolState()

    def test_unrepeatable_request_needs_a_connection_just_proven(self):
        item = connections.Connection(None,
                                      0.0,
                                      answered_at=1_000.0,
                                      use_count=2)
        for now, repeatable, allowed in ((1_900.0, False, True), (2_100.0,
                                                                  False, False),
                                         (2_100.0, True, True), (17_000.0, True,
                                                                 False)):
            self.assertIs(
                connections.may_reuse(self.rules, self.row, item, repeatable,
                                      now), allowed)

    def test_only_what_can_be_tried_again_is_cut_short(self):
        used = connections.Connection(None, 0.0, use_count=2)
        new = connections.Connection(None, 0.0, use_count=1)
        limits = [
            connections.find_answer_timeout(self.rules, item, repeatable,
                                            2_000.0)
            for item in (used, new)
            for repeatable in (True, False)
        ]
        self.assertEqual(limits, [250.0, 2_000.0, 2_000.0, 2_000.0])

    def test_opening_keeps_to_its_rate(self):
        opened = 0
        for now in range(1_000, 11_000):
            if connections.find_open_delay(self.rules, self.row, now) == 0:
                self.row.tokens -= 1
                opened += 1
        self.assertAlmostEqual(opened, 8 + 200, delta=1)

    def test_shares_leave_room(self):
        self.assertEqual(connections.compute_connection_share(125, 12), 9)
        self.assertEqual(connections.compute_connection_share(3, 12), 1)


if __name__ == '__main__':
    unittest.main()
