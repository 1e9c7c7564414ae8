"""Tests of the threads that answer callers and other entries."""

import socket
import threading
import time
import unittest
import urllib.request

from lentilmoor import clocks
from lentilmoor.edge import listening


class WorkerPoolTest(unittest.TestCase):
    """Threads are started on demand, up to a maximum.

    A fixed 98 threads per entry was more than the entries of a fleet of 195
    need, and more than an entry can start in time.
    """

    def setUp(self):
        super().setUp()
        self.expected_in_flight = 0
        self.in_flight = 0
        self.max_in_flight = 0
        self.lock = threading.Lock()
        self.may_finish = threading.Event()
        gateway = listening.make_page_gateway({'/wait': self._block},
                                              clocks.make_suspend_clock())
        self.listener = listening.make_listener('127.0.0.1:0', gateway, (2, 12),
                                                lambda *_, **__: None,
                                                clocks.make_suspend_clock())
        self.listener.prepare()
        threading.Thread(target=self.listener.serve, daemon=True).start()
        self.addCleanup(self.listener.stop)
        self.addCleanup(self.may_finish.set)
        self.all_arrived = threading.Event()

    def _block(self, unused_body):
        with self.lock:
            self.in_flight += 1
            self.max_in_flight = max(self.max_in_flight, self.in_flight)
            if self.in_flight >= self.expected_in_flight:
                self.all_arrived.set()
        self.may_finish.wait(10.0)
        with self.lock:
            self.in_flight -= 1
        return 200, b'', 'text/plain'

    def _send_requests(self, count):
        host, port = self.listener.bind_addr

        def send_request():
            with urllib.request.urlopen(f'http://{host}:{port}/wait',
                                        timeout=10) as reply:
                reply.read()

        threads = [threading.Thread(target=send_request) for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def test_starts_threads_when_all_are_busy(self):
        self.expected_in_flight = 12
        threads = self._send_requests(12)
        # All requests are in progress at once, as none of them ends yet.
        self.assertTrue(self.all_arrived.wait(3.0), self.max_in_flight)
        self.may_finish.set()
        for thread in threads:
            thread.join(5.0)

    def test_starts_no_more_than_max_threads(self):
        self.expected_in_flight = 13
        threads = self._send_requests(20)
        self.assertFalse(self.all_arrived.wait(1.0))
        self.may_finish.set()
        for thread in threads:
            thread.join(5.0)
        self.assertEqual(self.max_in_flight, 12)

    def test_starts_no_extra_threads_for_one_request(self):
        self.expected_in_flight = 1
        threads_before = threading.active_count()
        threads = self._send_requests(1)
        self.assertTrue(self.all_arrived.wait(3.0))
        self.assertLessEqual(threading.active_count(), threads_before + 2)
        self.may_finish.set()
        threads[0].join(5.0)

    def test_connections_without_a_request_take_no_threads(self):
        # 64 of them stopped an entry for up to 20 s.
        idle = [
            socket.create_connection(self.listener.bind_addr, 5.0)
            for _ in range(40)
        ]
        for connection in idle:
            self.addCleanup(connection.close)
        self.may_finish.set()
        time.sleep(0.2)
        started_at = time.monotonic()
        self._send_requests(1)[0].join(5.0)
        self.assertLess(time.monotonic() - started_at, 2.0)
        for connection in (idle[0], idle[-1]):
            connection.sendall(b'GET /wait HTTP/1.1\r\nHost: a.example\r\n\r\n')
            self.assertTrue(connection.recv(64).startswith(b'HTTP/1.1 200'))


if __name__ == '__main__':
    unittest.main()
