"""Requests that crash their servers, against entries as processes."""

from collections.abc import Callable
import contextlib
import http.client
import itertools
import threading
import time
import unittest
import uuid

from standins import deadly_request
from tests import platformhelp

_PATH = '/report/bad'
# Of the platform: so many copies may crash servers so long after the third.
_MOST_LATE = 3
_STABLE_S = 3.0


class DeadlyRequestTest(unittest.TestCase):
    """A request that crashes its servers comes at any entry, again and again.

    As on the platform, at most `_MOST_LATE` copies of it may reach servers once
    it is known.
    """

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(catalogs=1,
                                                  orders=6,
                                                  entries=3)
        self.addCleanup(self.deployment.close)
        self.statuses: list[int] = []

    def _attach(self, **options) -> deadly_request.DeadlyRequest:
        deadly = deadly_request.DeadlyRequest(_PATH, **options)
        self.addCleanup(deadly.close)
        deadly.attach(self.deployment.orders)
        return deadly

    def _send(self, entry: platformhelp.Entry, path: str = _PATH) -> int:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return entry.call(path, request_id=uuid.uuid4().hex[:16])[0]
        return 0

    def _send_often(self,
                    seconds: float,
                    gap_s: float,
                    each: Callable[[], None] = lambda: None) -> None:
        """Sends the request to the entries in turn."""
        until = time.monotonic() + seconds
        for turn in itertools.count():
            if time.monotonic() >= until:
                return
            entries = self.deployment.entries
            self.statuses.append(self._send(entries[turn % len(entries)]))
            each()
            time.sleep(gap_s)

    def _assert_stopped(self, deadly: deadly_request.DeadlyRequest) -> None:
        self.assertGreaterEqual(len(deadly.crashes), 3)
        late = deadly.find_late(_STABLE_S)
        began = deadly.crashes[0]
        self.assertLessEqual(
            len(late), _MOST_LATE,
            [round(at - began, 1) for at in sorted(deadly.crashes)])

    def test_it_stops_where_nothing_else_is_sent(self):
        deadly = self._attach()
        self._send_often(14.0, 0.7)
        self._assert_stopped(deadly)
        self.assertEqual(self.statuses[-3:], [503] * 3)

    def test_it_stops_where_it_comes_seldom(self):
        deadly = self._attach()
        self._send_often(22.0, 3.0)
        self._assert_stopped(deadly)

    def test_it_stops_where_servers_fall_silent(self):
        deadly = self._attach(silent=True)
        self._send_often(16.0, 0.7)
        self._assert_stopped(deadly)

    def test_it_stops_where_machines_lose_power(self):
        deadly = self._attach(powerless=True, away_s=4.0, listed_s=2.6)
        self._send_often(16.0, 0.7)
        self._assert_stopped(deadly)

    def test_it_stops_where_the_coordinator_is_killed(self):
        deadly = self._attach()

        def kill_leader() -> None:
            if len(deadly.crashes) < 3 or self.deployment.ended:
                return
            leader = self.deployment.find_leader()
            self.deployment.entries.remove(leader)
            self.deployment.ended.append(leader)
            leader.close()

        self._send_often(14.0, 0.7, kill_leader)
        self.assertEqual(len(self.deployment.entries), 2)
        self._assert_stopped(deadly)

    def test_it_stays_stopped_where_all_entries_start_again(self):
        deadly = self._attach()
        self._send_often(6.0, 0.3)
        crashed = len(deadly.crashes)
        for entry in self.deployment.entries:
            entry.process.kill()
        self.deployment.ended += self.deployment.entries
        self.deployment.entries = [
            platformhelp.Entry(self.deployment.store, number)
            for number in range(4, 7)
        ]
        for entry in self.deployment.entries:
            entry.await_ready()
        self._send_often(4.0, 0.3)
        self.assertEqual(len(deadly.crashes), crashed)

    def test_a_frequent_sound_request_is_served_beside_it(self):
        for server in self.deployment.orders:
            server.work_s = 0.05
        deadly = self._attach()
        stopped = threading.Event()
        sound: list[tuple[float, int]] = []

        def send_sound(number: int) -> None:
            while not stopped.is_set():
                status = self._send(self.deployment.entries[number],
                                    '/report/sound')
                sound.append((time.monotonic(), status))
                time.sleep(0.02)

        threads = [
            threading.Thread(target=send_sound, args=(number,))
            for number in range(3)
        ]
        for thread in threads:
            thread.start()
        self._send_often(14.0, 0.7)
        stopped.set()
        for thread in threads:
            thread.join()
        self._assert_stopped(deadly)
        calm = [
            status for at, status in sound
            if at > max(deadly.crashes) + _STABLE_S
        ]
        self.assertGreater(len(calm), 100)
        self.assertGreaterEqual(calm.count(200), 0.98 * len(calm))


if __name__ == '__main__':
    unittest.main()
