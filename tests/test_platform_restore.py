"""Tests of entry processes whose store comes back from an older copy."""

import json
import time
import unittest

from standins import platform_server
from tests import platformhelp

# Writes between the copy and the return, all of which are lost.
_LOST_WRITES = 60
# Time from a change's acknowledgement until it must be in force.
_APPLY_S = 2.0
# Time after which a draining server must get no more requests.
_DRAIN_S = 2.0
_PROBED_KEYS = range(0, 65_536, 1_021)
# Time in which a takeover, moves of keys and a recovery must be done.
_SETTLE_S = 15.0


class _RestoreTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(catalogs=3, entries=2)
        self.addCleanup(self.deployment.close)
        self.store = self.deployment.store

    def _lose_writes(self) -> None:
        """Makes writes, lets the entries learn of them, and loses them."""
        copy = self.store.copy()
        for _ in range(_LOST_WRITES):
            self.deployment.orders[0].register()
        self.deployment.add_route(2, '/old/')
        time.sleep(1.0)
        self.store.restore(copy)
        time.sleep(0.5)


class ConfigurationAfterRestoreTest(_RestoreTest):
    """The operator changes the configuration after the return."""

    def test_new_route_is_served_in_time(self):
        self._lose_writes()
        self.deployment.add_route(3, '/new/')
        time.sleep(_APPLY_S)
        statuses = [
            entry.call('/new/x')[0] for entry in self.deployment.entries
        ]
        self.assertEqual(statuses, [200, 200],
                         self.deployment.entries[0].read_log()[-3000:])

    def test_lost_version_stays_in_force_for_entries_that_start(self):
        copy = self.store.copy()
        self.deployment.add_route(2, '/old/')
        time.sleep(1.0)
        self.store.restore(copy, writes_again=False)
        time.sleep(0.5)
        entry = self.deployment.add_entry()
        entry.await_ready()
        time.sleep(_APPLY_S)
        statuses = [
            entry.call('/old/x')[0] for entry in self.deployment.entries
        ]
        self.assertEqual(statuses, [200, 200, 200])


class DrainingAfterRestoreTest(_RestoreTest):
    """A server reports draining in the store after the return."""

    def _count_late_arrivals(self,
                             server: platform_server.PlatformServer) -> int:
        server.register('draining')
        until = time.monotonic() + _DRAIN_S
        time.sleep(_DRAIN_S)
        for _ in range(30):
            for entry in self.deployment.entries:
                entry.call('/report/x')
        return sum(at > until for at in server.arrival_times)

    def _count_arrivals(self, server: platform_server.PlatformServer,
                        seconds: float) -> int:
        """Sends requests for a time; returns how many reach a server."""
        server.arrival_times.clear()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for entry in self.deployment.entries:
                entry.call('/report/x')
        return len(server.arrival_times)

    def test_draining_that_the_store_has_lost_is_kept(self):
        server = self.deployment.orders[1]
        copy = self.store.copy()
        server.register('draining')
        time.sleep(_DRAIN_S)
        self.store.restore(copy, writes_again=False)
        self.assertEqual(self._count_arrivals(server, 3.0), 0)

    def test_server_that_has_left_gets_no_requests(self):
        server = self.deployment.orders[1]
        copy = self.store.copy()
        self.store.delete(f'servers/{server.id}')
        time.sleep(_DRAIN_S)
        self.store.restore(copy, writes_again=False)
        self.assertEqual(self._count_arrivals(server, 3.0), 0)

    def test_server_that_stays_listed_gets_requests_again(self):
        server = self.deployment.orders[1]
        copy = self.store.copy()
        self.store.delete(f'servers/{server.id}')
        time.sleep(_DRAIN_S)
        self.store.restore(copy, writes_again=False)
        time.sleep(5.0)
        self.assertGreater(self._count_arrivals(server, 1.0), 0)

    def test_draining_server_gets_no_late_requests(self):
        self._lose_writes()
        server = self.deployment.orders[1]
        self.assertEqual(self._count_late_arrivals(server), 0)


class OwnershipAfterRestoreTest(_RestoreTest):
    """Keys move, or the coordinator changes, in the part that is lost."""

    def _read_logs(self) -> str:
        return '\n'.join(entry.read_log() for entry in self.deployment.entries)

    def _find_coordinator(self) -> platformhelp.Entry | None:
        """Returns the entry that stands in the store, if it is up."""
        data = self.store.read('lentilmoor/coordinator/catalog')
        if data is None:
            return None
        address = json.loads(data)[1]
        return next(
            (item for item in self.deployment.entries
             if item.control == address and item.process.poll() is None), None)

    def _end(self, entry: platformhelp.Entry) -> None:
        entry.process.kill()
        entry.process.wait()

    def _await_owners(self) -> None:
        """Waits until all keys are held, by servers that stay."""
        platformhelp.wait_until(
            lambda: all(
                any(server.holds(key)
                    for server in self.deployment.catalogs)
                for key in _PROBED_KEYS), _SETTLE_S, self._read_logs)

    def _move_keys(self) -> None:
        """Has a server leave, so that its keys move."""
        server = self.deployment.catalogs[0]
        server.register('draining')
        platformhelp.wait_until(
            lambda: not any(server.holds(key) for key in _PROBED_KEYS),
            _SETTLE_S, self._read_logs)
        self._await_owners()

    def _watch_owners(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            shared = platformhelp.find_shared(self.deployment.catalogs,
                                              _PROBED_KEYS)
            self.assertEqual(shared, [], self._read_logs()[-3000:])
            time.sleep(0.01)

    def _change_coordinator(self) -> None:
        self._end(self._find_coordinator())
        platformhelp.wait_until(lambda: self._find_coordinator() is not None,
                                _SETTLE_S, self._read_logs)

    def _check_owners(self) -> None:
        """Checks that keys have one owner each, now and in the end."""
        self._watch_owners(4.0)
        self._await_owners()
        self.assertEqual(platformhelp.find_low_fences(self.deployment.catalogs),
                         [])

    def test_moved_keys_have_one_owner(self):
        copy = self.store.copy()
        self._move_keys()
        self.store.restore(copy)
        self._check_owners()

    def test_fences_rise_when_the_coordinator_changed(self):
        copy = self.store.copy()
        self._change_coordinator()
        self._move_keys()
        self.store.restore(copy)
        self._check_owners()

    def test_fences_rise_when_every_entry_is_replaced(self):
        copy = self.store.copy()
        self._change_coordinator()
        self._move_keys()
        self.store.restore(copy)
        for entry in self.deployment.entries:
            self._end(entry)
        self.deployment.add_entry().await_ready()
        self._check_owners()

    def test_living_coordinator_stands_in_the_store_again(self):
        copy = self.store.copy()
        self._change_coordinator()
        self.store.restore(copy)
        platformhelp.wait_until(lambda: self._find_coordinator() is not None,
                                2.0, self._read_logs)


class RegistrationAfterRestoreTest(_RestoreTest):
    """An entry registers in the part that is lost."""

    def test_entry_is_registered_again(self):
        copy = self.store.copy()
        entry = self.deployment.add_entry()
        entry.await_ready()
        platformhelp.wait_until(self._is_registered, 5.0, entry.read_log)
        self.store.restore(copy)
        platformhelp.wait_until(self._is_registered, 2.0, entry.read_log)

    def _is_registered(self) -> bool:
        with self.store.changed:
            return any(
                key.startswith('lentilmoor/entry/edge-3.')
                for key in self.store.items)
