"""Tests of the connection pool of one server.

They guard against requests on a connection whose path was lost, against taking
such a connection for a dead server, and against a storm of new connections to
a server that is down.
"""

import contextlib
import socket
import threading
import unittest

from urllib3 import exceptions as http_exceptions

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from tests import waits

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_TIMEOUT_MS = 5_000.0


class FakeServer:
    """Answers every request, except on connections that were silenced."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.accepted: list[socket.socket] = []
        self.silent_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """Stops answers on all open connections; new connections work."""
        self.silent_count = len(self.accepted)

    def refuse_connections(self):
        """Refuses new connections; open ones work."""
        # Unblocks the thread in accept(), which close() alone would not do.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def close(self):
        self.refuse_connections()
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
                if number > self.silent_count:
                    accepted.sendall(_ANSWER)


class PoolTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.server = FakeServer()
        self.addCleanup(self.server.close)
        self.pool = self._make_pool()

    def _make_pool(self, **fields):
        pool_limits = connections.PoolLimits(**fields)
        pool = connections.Pool(self.server.address, pool_limits,
                                clocks.Clock())
        self.addCleanup(pool.close)
        return pool

    def _acquire(self,
                 idempotent=True,
                 new_only=False,
                 timeout_ms=_TIMEOUT_MS,
                 avoided=()):
        taken = self.pool.acquire(idempotent, new_only, timeout_ms, avoided)
        if isinstance(taken, connections.Connection):
            self.addCleanup(taken.http.close)
        return taken

    def _send_request(self, connection, timeout_ms=_TIMEOUT_MS):
        connection.http.timeout = timeout_ms / clocks.MS_PER_S
        connection.http.request('GET', '/', preload_content=False)
        return connection.http.getresponse().read()

    def _use_connections(self, count):
        taken = [self._acquire() for _ in range(count)]
        for item in taken:
            self._send_request(item)
        for item in taken:
            self.pool.release(item)

    def test_whole_answer_lets_the_connection_be_used_again(self):
        self._use_connections(1)
        again = self._acquire()
        self.assertTrue(again.reused)
        self.assertEqual(self._send_request(again), b'ok')
        self.assertEqual(self.pool.state.opened_count, 1)

    def test_avoided_connection_stays_for_other_requests(self):
        self._use_connections(2)
        newest = self._acquire()
        self.pool.release(newest)
        other = self._acquire(avoided=(newest,))
        self.assertIsNot(other, newest)
        self.assertTrue(other.reused)
        self.assertIs(self._acquire(), newest)
        self.assertEqual(self.pool.state.opened_count, 2)

    def test_connection_is_opened_if_all_idle_ones_are_avoided(self):
        self.pool = self._make_pool(max_open=1, burst=1, opens_per_s=20.0)
        self._use_connections(1)
        used = self._acquire()
        self.pool.release(used)
        self.assertFalse(self._acquire(avoided=(used,)).reused)
        self.assertEqual(self.pool.state.opened_count, 2)
        self.assertEqual(self.pool.state.open_count, 1)

    def test_waiting_thread_gets_a_connection_that_another_one_avoids(self):
        self.pool = self._make_pool(max_open=1, burst=1, opens_per_s=0.001)
        used = self._acquire()
        self._send_request(used)
        taken = []
        threads = [
            threading.Thread(target=self._acquire_into,
                             args=(taken, avoided, timeout_ms))
            for avoided, timeout_ms in (((used,), 500.0), ((), _TIMEOUT_MS))
        ]
        for count, thread in enumerate(threads, 1):
            thread.start()
            waits.wait_for(
                lambda count=count: self.pool.state.wait_count >= count)
        self.pool.release(used)
        for thread in threads:
            thread.join()
        # The one that avoids it doesn't delay the other.
        self.assertEqual([getattr(item, 'reason', item) for item in taken],
                         [used, outcomes.Reason.OVERLOADED])

    def _acquire_into(self, taken, avoided, timeout_ms):
        taken.append(self._acquire(timeout_ms=timeout_ms, avoided=avoided))

    def test_silent_connection_is_distinguished_from_a_dead_server(self):
        self._use_connections(3)
        self.server.silence_open_connections()
        silent = self._acquire()
        with self.assertRaises((http_exceptions.HTTPError, OSError)):
            self._send_request(silent, timeout_ms=50)
        self.pool.discard(silent, timed_out=True)
        new = self._acquire(new_only=True)
        self.assertEqual(self._send_request(new), b'ok')
        self.pool.release(new)
        self._use_connections(3)  # The other old connections aren't reused.
        self.assertEqual(
            (self.pool.state.stale_closed_count, self.pool.state.open_count),
            (2, 3))

    def test_dead_server_fails_fast_without_a_connection_storm(self):
        self.pool = self._make_pool(burst=3, opens_per_s=0.001)
        self._use_connections(1)
        self.server.close()
        reasons = []
        for _ in range(50):
            result = self._acquire()
            self.assertIsInstance(result, outcomes.Failed)
            reasons.append(result.reason)
        self.assertEqual(reasons.count(outcomes.Reason.CONNECT_FAILED), 2)
        self.assertEqual(reasons.count(outcomes.Reason.NO_SERVER), 48)
        self.assertEqual(self.pool.state.open_count, 0)

    def test_refusing_server_is_still_reached_over_open_connections(self):
        self.pool = self._make_pool(burst=2,
                                    opens_per_s=0.001,
                                    connect_timeout_ms=60_000.0)
        first = self._acquire()
        self._send_request(first)  # Its answer shows that it was accepted.
        self.server.refuse_connections()
        first_failure = self._acquire()
        self.assertIs(first_failure.reason, outcomes.Reason.CONNECT_FAILED)
        taken = []
        waiting = threading.Thread(target=lambda: taken.append(self._acquire()))
        waiting.start()
        self._send_request(first)
        self.pool.release(first)
        waiting.join()
        self.assertIs(taken[0], first)
        second_failure = self._acquire(new_only=True)
        self.assertIs(second_failure.reason, outcomes.Reason.NO_SERVER)

    def test_number_of_connections_is_bounded(self):
        self.pool = self._make_pool(max_open=2)
        taken = [self._acquire(), self._acquire()]
        failure = self._acquire(timeout_ms=1)
        self.assertIs(failure.reason, outcomes.Reason.OVERLOADED)
        waiting = threading.Thread(target=lambda: taken.append(self._acquire()))
        waiting.start()
        self._send_request(taken[0])
        self.pool.release(taken[0])
        waiting.join()
        self.assertIs(taken[2], taken[0])
        self.assertEqual(self.pool.state.opened_count, 2)


class RuleTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.limits = connections.PoolLimits()
        self.state = connections.PoolState()

    def test_non_idempotent_request_needs_a_recently_answered_connection(self):
        item = connections.Connection(None,
                                      0.0,
                                      answered_at=1_000.0,
                                      use_count=2)
        for now, idempotent, allowed in ((1_900.0, False, True), (2_100.0,
                                                                  False, False),
                                         (2_100.0, True, True), (17_000.0, True,
                                                                 False)):
            self.assertIs(
                connections.may_reuse(self.limits, self.state, item, idempotent,
                                      now), allowed)

    def test_only_idempotent_requests_on_reused_connections_time_out_early(
            self):
        used = connections.Connection(None, 0.0, use_count=2)
        new = connections.Connection(None, 0.0, use_count=1)
        timeouts = [
            connections.find_answer_timeout(self.limits, item, idempotent,
                                            2_000.0)
            for item in (used, new)
            for idempotent in (True, False)
        ]
        self.assertEqual(timeouts, [250.0, 2_000.0, 2_000.0, 2_000.0])

    def test_rate_of_new_connections_is_limited(self):
        opened = 0
        for now in range(1_000, 11_000):
            if connections.find_open_delay(self.limits, self.state, now) == 0:
                self.state.tokens -= 1
                opened += 1
        self.assertAlmostEqual(opened, 8 + 200, delta=1)

    def test_connection_share_leaves_a_reserve(self):
        self.assertEqual(connections.compute_connection_share(125, 12), 9)
        self.assertEqual(connections.compute_connection_share(3, 12), 1)


class DiscardTest(unittest.TestCase):

    # A retry that a silent cut held up arrived after its exchange had ended.
    def test_a_discarded_connection_delivers_nothing_later(self):
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        pool = connections.Pool(f'127.0.0.1:{listener.getsockname()[1]}',
                                connections.PoolLimits(), clocks.Clock())
        connection = pool.acquire(True, True, _TIMEOUT_MS)
        connection.http.sock.sendall(b'GET / HTTP/1.1\r\n\r\n')
        accepted, _ = listener.accept()
        self.addCleanup(accepted.close)
        pool.discard(connection)
        with self.assertRaises(ConnectionResetError):
            while accepted.recv(100):
                pass


if __name__ == '__main__':
    unittest.main()
