"""Tests of entry processes with servers that set a rate limit."""

import threading
import time
import unittest

from standins import platform_server
from tests import platformhelp

_RATE = 2.0
_LOAD_S = 6.0
_SETTLE_S = 0.5
_WINDOW_S = 4.0
# The operator's requirement: at most 1.5 times the limit plus 5 requests.
_MAX_REQUESTS = 1.5 * _RATE * _WINDOW_S + 5
_CALL_PAUSE_S = 0.04


class RateLimitTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.deployment = platformhelp.Deployment(entries=3)

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()

    def _send_load(self, path: str, key: int | None) -> list[int]:
        """Sends requests to all entries in parallel; returns the statuses."""
        statuses: list[int] = []
        until = time.monotonic() + _LOAD_S

        def call(entry: platformhelp.Entry) -> None:
            while time.monotonic() < until:
                statuses.append(entry.call(path, key)[0])
                time.sleep(_CALL_PAUSE_S)

        threads = [
            threading.Thread(target=call, args=(entry,))
            for entry in self.deployment.entries
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def _set_rate_limit(self, server: platform_server.PlatformServer, path: str,
                        key: int | None) -> None:
        """Sets a server's limit and waits until every entry has received it."""
        server.rate_limit = _RATE
        self.addCleanup(setattr, server, 'rate_limit', None)
        for entry in self.deployment.entries:
            platformhelp.wait_until(lambda entry=entry: entry.call(path, key)[1]
                                    .get('Server-Limit'),
                                    5.0,
                                    entry.read_log)
        time.sleep(_SETTLE_S)
        server.arrival_times.clear()

    def _count_max_in_window(self,
                             server: platform_server.PlatformServer) -> int:
        """Returns the maximum number of arrivals in any window."""
        times = sorted(server.arrival_times)
        return max((sum(start <= at < start + _WINDOW_S
                        for at in times)
                    for start in times),
                   default=0)

    def test_a_keyed_server_gets_no_more_than_its_limit(self):
        key = 7
        owner = next(
            server for server in self.deployment.catalogs if server.holds(key))
        self._set_rate_limit(owner, '/stock/x', key)
        statuses = self._send_load('/stock/x', key)
        self.assertLessEqual(self._count_max_in_window(owner), _MAX_REQUESTS)
        self.assertLessEqual(set(statuses), {200, 503})

    def test_requests_beyond_a_servers_limit_go_to_others(self):
        limited = self.deployment.orders[0]
        self._set_rate_limit(limited, '/report/x', None)
        statuses = self._send_load('/report/x', None)
        self.assertLessEqual(self._count_max_in_window(limited), _MAX_REQUESTS)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(limited.arrival_times), 0)
