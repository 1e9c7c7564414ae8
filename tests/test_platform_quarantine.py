"""Tests of entry processes with requests that crash their servers."""

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
# The operator's requirement: at most this many crashes later than the delay
# after the third crash.
_MAX_LATE_CRASHES = 3
_BLOCK_DELAY_S = 3.0


class DeadlyRequestCase(unittest.TestCase):
    """Three entry processes, and a request that crashes its servers.

    At most `_MAX_LATE_CRASHES` copies of it may reach servers once it is known.
    """

    _ORDERS = 6

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(catalogs=1,
                                                  orders=self._ORDERS,
                                                  entries=3)
        self.addCleanup(self.deployment.close)
        self.statuses: list[int] = []

    def _attach_request(self, **options) -> deadly_request.DeadlyRequest:
        deadly = deadly_request.DeadlyRequest(_PATH, **options)
        self.addCleanup(deadly.close)
        deadly.attach(self.deployment.orders)
        return deadly

    def _send(self, entry: platformhelp.Entry, path: str = _PATH) -> int:
        with contextlib.suppress(OSError, http.client.HTTPException):
            return entry.call(path, request_id=uuid.uuid4().hex[:16])[0]
        return 0

    def _assert_blocked(self, deadly: deadly_request.DeadlyRequest) -> None:
        self.assertGreaterEqual(len(deadly.crashes), 3)
        self._assert_few_late(deadly.crashes)

    def _assert_few_late(self, crashes: list[float]) -> None:
        late = deadly_request.find_late(crashes, _BLOCK_DELAY_S)
        self.assertLessEqual(
            len(late), _MAX_LATE_CRASHES,
            [round(at - crashes[0], 1) for at in sorted(crashes)])


class DeadlyRequestTest(DeadlyRequestCase):
    """The request is sent again and again, one copy after the other."""

    def _send_repeatedly(self,
                         seconds: float,
                         pause_s: float,
                         after_each: Callable[[], None] = lambda: None) -> None:
        """Sends the request to the entries in turn, with a pause after each."""
        until = time.monotonic() + seconds
        for turn in itertools.count():
            if time.monotonic() >= until:
                return
            entries = self.deployment.entries
            self.statuses.append(self._send(entries[turn % len(entries)]))
            after_each()
            time.sleep(pause_s)

    def test_blocked_without_other_requests(self):
        deadly = self._attach_request()
        self._send_repeatedly(14.0, 0.7)
        self._assert_blocked(deadly)
        self.assertEqual(self.statuses[-3:], [503] * 3)

    def test_blocked_if_sent_rarely(self):
        deadly = self._attach_request()
        self._send_repeatedly(22.0, 3.0)
        self._assert_blocked(deadly)

    def test_blocked_if_servers_stop_answering(self):
        deadly = self._attach_request(silent=True)
        self._send_repeatedly(16.0, 0.7)
        self._assert_blocked(deadly)

    def test_blocked_if_machines_lose_power(self):
        deadly = self._attach_request(powerless=True, away_s=4.0, listed_s=2.6)
        self._send_repeatedly(16.0, 0.7)
        self._assert_blocked(deadly)

    def test_blocked_if_the_coordinator_is_killed(self):
        deadly = self._attach_request()

        def kill_leader() -> None:
            if len(deadly.crashes) < 3 or self.deployment.ended:
                return
            leader = self.deployment.find_leader()
            self.deployment.entries.remove(leader)
            self.deployment.ended.append(leader)
            leader.close()

        self._send_repeatedly(14.0, 0.7, kill_leader)
        self.assertEqual(len(self.deployment.entries), 2)
        self._assert_blocked(deadly)

    def test_stays_blocked_after_all_entries_restart(self):
        deadly = self._attach_request()
        self._send_repeatedly(6.0, 0.3)
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
        self._send_repeatedly(4.0, 0.3)
        self.assertEqual(len(deadly.crashes), crashed)

    def test_a_frequent_harmless_request_is_served(self):
        for server in self.deployment.orders:
            server.work_s = 0.05
        deadly = self._attach_request()
        stopped = threading.Event()
        harmless_results: list[tuple[float, int]] = []

        def send_harmless(number: int) -> None:
            while not stopped.is_set():
                status = self._send(self.deployment.entries[number],
                                    '/report/sound')
                harmless_results.append((time.monotonic(), status))
                time.sleep(0.02)

        threads = [
            threading.Thread(target=send_harmless, args=(number,))
            for number in range(3)
        ]
        for thread in threads:
            thread.start()
        self._send_repeatedly(14.0, 0.7)
        stopped.set()
        for thread in threads:
            thread.join()
        self._assert_blocked(deadly)
        statuses = [
            status for at, status in harmless_results
            if at > max(deadly.crashes) + _BLOCK_DELAY_S
        ]
        self.assertGreater(len(statuses), 100)
        self.assertGreaterEqual(statuses.count(200), 0.98 * len(statuses))


class BurstCase(DeadlyRequestCase):
    """Copies of the request are sent in bursts, to all entries at once."""

    def _send_burst(self, path: str, copies: int, spread_s: float) -> None:
        threads = []
        for number in range(copies):
            entry = self.deployment.entries[number % 3]
            threads.append(
                threading.Thread(target=lambda entry=entry: self.statuses.
                                 append(self._send(entry, path))))
            threads[-1].start()
            time.sleep(spread_s)
        for thread in threads:
            thread.join()


class BurstTest(BurstCase):
    """Bursts follow one another."""

    def _send_bursts(self,
                     seconds: float,
                     spread_s: float = 0.07,
                     copies: int = 6,
                     before_each: Callable[[], None] = lambda: None) -> None:
        """Sends a burst whenever the servers are back from the last one."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            before_each()
            self._send_burst(_PATH, copies, spread_s)
            time.sleep(2.3)

    def test_a_hot_request_is_served_after_a_loss_of_servers(self):
        for server in self.deployment.orders:
            server.work_s = 0.05
        stopped = threading.Event()
        results: list[tuple[float, int]] = []

        def send_hot(number: int) -> None:
            while not stopped.is_set():
                began = time.monotonic()
                status = self._send(self.deployment.entries[number % 3],
                                    '/report/hot')
                results.append((began, status))

        threads = [
            threading.Thread(target=send_hot, args=(number,))
            for number in range(6)
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        lost = self.deployment.orders[:3]
        for server in lost:
            server.crash()
        for server in lost:
            server.reset()
        lost_at = time.monotonic()
        time.sleep(1.5)
        for server in lost:
            self.deployment.store.delete(f'servers/{server.id}')
        time.sleep(3.5)
        stopped.set()
        for thread in threads:
            thread.join()
        statuses = [
            status for began, status in results if began > lost_at + 1.0
        ]
        self.assertGreater(len(statuses), 100)
        self.assertGreaterEqual(statuses.count(200), 0.98 * len(statuses))

    def test_bursts_that_crash_all_servers_are_blocked(self):
        deadly = self._attach_request()
        self._send_bursts(20.0)
        self._assert_blocked(deadly)
        self.assertEqual(set(self.statuses[-6:]), {503})

    def test_bursts_at_one_moment_are_blocked(self):
        deadly = self._attach_request()
        self._send_bursts(16.0, spread_s=0.0)
        self._assert_blocked(deadly)

    def test_bursts_beside_other_requests_are_blocked(self):
        deadly = self._attach_request()
        stopped = threading.Event()

        def send_others() -> None:
            while not stopped.is_set():
                self._send(self.deployment.entries[0],
                           f'/report/{uuid.uuid4().hex}')
                time.sleep(0.02)

        thread = threading.Thread(target=send_others)
        thread.start()
        self._send_bursts(16.0)
        stopped.set()
        thread.join()
        self._assert_blocked(deadly)

    def test_bursts_beside_other_crashes_are_blocked(self):
        deadly = self._attach_request()
        other_path = itertools.count()

        def crash_a_server() -> None:
            path = f'/report/other{next(other_path)}'
            deadly.add_path(path)
            self._send_burst(path, 1, 0.1)

        self._send_bursts(16.0, before_each=crash_a_server)
        self._assert_blocked(deadly)

    def test_two_requests_in_turn_are_blocked(self):
        deadly = self._attach_request()
        other_crashes = deadly.add_path('/report/other')
        self._send_bursts(
            16.0,
            copies=3,
            before_each=lambda: self._send_burst('/report/other', 3, 0.07))
        self._assert_blocked(deadly)
        self._assert_few_late(other_crashes)


class RestartTest(BurstCase):
    """Entries are killed and started again, the coordinator first."""

    _ORDERS = 12
    _CALLER_PAUSE_S = 0.03
    _RESTARTS = 8
    _RESTART_PAUSE_S = 0.6
    # Detection of the crashes of the burst.
    _DETECTION_S = 0.3

    def setUp(self):
        super().setUp()
        self.stopped = threading.Event()

    def _send_always(self, number: int) -> None:
        while not self.stopped.wait(self._CALLER_PAUSE_S):
            self.statuses.append(self._send(self.deployment.entries[number]))

    def _restart(self, number: int) -> None:
        old = self.deployment.entries[number]
        old.process.kill()
        self.deployment.ended.append(old)
        self.deployment.entries[number] = platformhelp.Entry(
            self.deployment.store, number + 1)

    def test_entries_that_start_send_no_known_suspect(self):
        deadly = self._attach_request()
        leader = self.deployment.entries.index(self.deployment.find_leader())
        self._send_burst(_PATH, 6, 0.0)
        time.sleep(self._DETECTION_S)
        threads = [
            threading.Thread(target=self._send_always, args=(number,))
            for number in range(3)
        ]
        for turn in range(self._RESTARTS):
            self._restart((leader + turn) % 3)
            if not turn:
                for thread in threads:
                    thread.start()
            time.sleep(self._RESTART_PAUSE_S)
        time.sleep(2.0)
        self.stopped.set()
        for thread in threads:
            thread.join()
        self._assert_blocked(deadly)


if __name__ == '__main__':
    unittest.main()
