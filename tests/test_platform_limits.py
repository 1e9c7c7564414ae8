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
_KEYS = range(0, 65_536, 1_637)
_CALL_PAUSE_S = 0.04


class RateLimitTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.deployment: platformhelp.Deployment | None = None

    def _deploy(self, catalogs: int = 2, orders: int = 2) -> None:
        self.deployment = platformhelp.Deployment(catalogs, orders, entries=3)
        self.addCleanup(self.deployment.close)

    def _send_load(self,
                   path: str,
                   key: int | None,
                   entries: list[platformhelp.Entry] | None = None,
                   load_s: float = _LOAD_S) -> list[int]:
        """Sends requests to entries in parallel; returns the statuses."""
        statuses: list[int] = []
        until = time.monotonic() + load_s

        def call(entry: platformhelp.Entry) -> None:
            while time.monotonic() < until:
                statuses.append(entry.call(path, key)[0])
                time.sleep(_CALL_PAUSE_S)

        threads = [
            threading.Thread(target=call, args=(entry,))
            for entry in entries or self.deployment.entries
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def _count_served_requests(self) -> int:
        """Requests each key from each entry; returns the number served."""
        return sum(
            entry.call('/stock/x', key)[0] == 200
            for entry in self.deployment.entries
            for key in _KEYS)

    def _set_rate_limit(self, server: platform_server.PlatformServer, path: str,
                        key: int | None) -> None:
        """Sets a server's limit and waits until every entry has received it."""
        server.rate_limit = _RATE
        first = self.deployment.entries[0]
        platformhelp.wait_until(
            lambda: 'Server-Limit' in first.call(path, key)[1], 5.0,
            first.read_log)
        for entry in self.deployment.entries:
            platformhelp.wait_until(
                lambda entry=entry: self._list_limit_lines(entry, server),
                5.0,
                entry.read_log)
        time.sleep(_SETTLE_S)
        server.arrival_times.clear()

    def _list_limit_lines(self, entry: platformhelp.Entry,
                          server: platform_server.PlatformServer) -> list[str]:
        """Returns the log lines about the start and end of a limit."""
        return [
            line for line in entry.read_log().splitlines()
            if 'server_rate_limit' in line and server.id in line
        ]

    def _count_max_in_window(self,
                             server: platform_server.PlatformServer) -> int:
        """Returns the maximum number of arrivals in any window."""
        times = sorted(server.arrival_times)
        return max((sum(start <= at < start + _WINDOW_S
                        for at in times)
                    for start in times),
                   default=0)

    def test_a_keyed_server_gets_no_more_than_its_limit(self):
        # A single server, so that the key stays with it.
        self._deploy(catalogs=1)
        owner = self.deployment.catalogs[0]
        self._set_rate_limit(owner, '/stock/x', 7)
        statuses = self._send_load('/stock/x', 7)
        self.assertLessEqual(self._count_max_in_window(owner), _MAX_REQUESTS)
        self.assertLessEqual(set(statuses), {200, 503})

    def test_requests_beyond_a_servers_limit_go_to_others(self):
        self._deploy()
        limited = self.deployment.orders[0]
        self._set_rate_limit(limited, '/report/x', None)
        statuses = self._send_load('/report/x', None)
        self.assertLessEqual(self._count_max_in_window(limited), _MAX_REQUESTS)
        self.assertEqual(set(statuses), {200})
        self.assertGreater(len(limited.arrival_times), 0)

    def test_keys_move_away_from_a_rate_limited_server(self):
        # Requests are refused while a limited server owns too many keys.
        self._deploy()
        limited = self.deployment.catalogs[0]
        key = next(key for key in range(65_536) if limited.holds(key))
        self._set_rate_limit(limited, '/stock/x', key)
        requests = len(_KEYS) * len(self.deployment.entries)
        platformhelp.wait_until(
            lambda: self._count_served_requests() >= 0.9 * requests, 15.0,
            self.deployment.entries[0].read_log)

    def test_end_of_a_limit_reaches_all_entries(self):
        # An entry that sends a server no requests must not enforce a limit that
        # has ended. A single server, so that the first entry sends it some.
        self._deploy(orders=1)
        limited = self.deployment.orders[0]
        self._set_rate_limit(limited, '/report/x', None)
        limited.rate_limit = None
        self._send_load('/report/x', None, self.deployment.entries[:1], 1.5)
        self.assertGreater(len(limited.arrival_times), 0)
        for entry in self.deployment.entries:
            lines = self._list_limit_lines(entry, limited)
            self.assertIn('server_rate_limit_ended', lines[-1])
