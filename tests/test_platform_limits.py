"""Entries as processes and servers that name a limit in their answers."""

import threading
import time
import unittest

from standins import platform_server
from tests import platformhelp

_RATE = 2.0
_LOAD_S = 6.0
_SETTLE_S = 0.5
_SPAN_S = 4.0
# The operator's rule: one and a half times the limit, and some requests.
_ALLOWED = 1.5 * _RATE * _SPAN_S + 5
_CALL_PAUSE_S = 0.04


class RateLimitTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.deployment = platformhelp.Deployment(entries=3)

    @classmethod
    def tearDownClass(cls):
        cls.deployment.close()

    def _press(self, path: str, key: int | None) -> list[int]:
        """Sends requests to all entries at once; returns the statuses."""
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

    def _limit(self, server: platform_server.PlatformServer, path: str,
               key: int | None) -> None:
        """Has a server name a limit, and each entry pass on such an answer."""
        server.rate_limit = _RATE
        self.addCleanup(setattr, server, 'rate_limit', None)
        for entry in self.deployment.entries:
            platformhelp.wait_until(lambda entry=entry: entry.call(path, key)[1]
                                    .get('Server-Limit'),
                                    5.0,
                                    entry.read_log)
        time.sleep(_SETTLE_S)
        server.arrived.clear()

    def _count_most(self, server: platform_server.PlatformServer) -> int:
        """Returns the most requests that arrived within the span."""
        times = sorted(server.arrived)
        return max((sum(begin <= at < begin + _SPAN_S
                        for at in times)
                    for begin in times),
                   default=0)

    def test_a_keyed_server_gets_no_more_than_its_limit(self):
        key = 7
        owner = next(
            server for server in self.deployment.catalogs if server.holds(key))
        self._limit(owner, '/stock/x', key)
        statuses = self._press('/stock/x', key)
        self.assertLessEqual(self._count_most(owner), _ALLOWED)
        self.assertLessEqual(set(statuses), {200, 503})

    def test_requests_beyond_a_servers_limit_go_to_others(self):
        limited = self.deployment.orders[0]
        self._limit(limited, '/report/x', None)
        statuses = self._press('/report/x', None)
        self.assertLessEqual(self._count_most(limited), _ALLOWED)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(limited.arrived), 0)
