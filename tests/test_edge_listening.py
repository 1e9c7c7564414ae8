"""Threads that answer callers and other entries."""

import threading
import unittest
import urllib.request

from lentilmoor import clocks
from lentilmoor.edge import listening


class ThreadsTest(unittest.TestCase):
    """98 threads an entry were more than 195 entries need, or a start bears."""

    def setUp(self):
        super().setUp()
        self.expected = 0
        self.inside = 0
        self.most = 0
        self.lock = threading.Lock()
        self.released = threading.Event()
        gateway = listening.make_page_gateway({'/wait': self._wait},
                                              clocks.make_suspend_clock())
        self.listener = listening.make_listener('127.0.0.1:0', gateway, (2, 12),
                                                lambda *_, **__: None)
        self.listener.prepare()
        threading.Thread(target=self.listener.serve, daemon=True).start()
        self.addCleanup(self.listener.stop)
        self.addCleanup(self.released.set)
        self.full = threading.Event()

    def _wait(self, unused_body):
        with self.lock:
            self.inside += 1
            self.most = max(self.most, self.inside)
            if self.inside >= self.expected:
                self.full.set()
        self.released.wait(10.0)
        with self.lock:
            self.inside -= 1
        return 200, b'', 'text/plain'

    def _ask(self, count):
        host, port = self.listener.bind_addr

        def ask():
            with urllib.request.urlopen(f'http://{host}:{port}/wait',
                                        timeout=10) as reply:
                reply.read()

        threads = [threading.Thread(target=ask) for _ in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def test_more_are_started_when_all_are_busy(self):
        self.expected = 12
        threads = self._ask(12)
        # All at once are answered, though none of them ends.
        self.assertTrue(self.full.wait(3.0), self.most)
        self.released.set()
        for thread in threads:
            thread.join(5.0)

    def test_there_is_a_limit(self):
        self.expected = 13
        threads = self._ask(20)
        self.assertFalse(self.full.wait(1.0))
        self.released.set()
        for thread in threads:
            thread.join(5.0)
        self.assertEqual(self.most, 12)

    def test_few_are_there_while_few_are_needed(self):
        self.expected = 1
        before = threading.active_count()
        threads = self._ask(1)
        self.assertTrue(self.full.wait(3.0))
        self.assertLessEqual(threading.active_count(), before + 2)
        self.released.set()
        threads[0].join(5.0)


if __name__ == '__main__':
    unittest.main()
