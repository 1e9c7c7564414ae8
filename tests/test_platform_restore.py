"""Tests of entry processes whose store is restored from an older copy."""

import json
import time
import unittest

from standins import platform_server
from tests import platformhelp

# Writes between the copy and the restore, all of which are lost.
_LOST_WRITES = 60
# Time from the acknowledgement of a change until it must be in force.
_APPLY_S = 2.0
# Time after which a draining server must receive no more requests.
_DRAIN_S = 2.0
_PROBED_KEYS = range(0, 65_536, 1_021)
# Timeout of a takeover, of moves of keys and of a recovery.
_SETTLE_S = 15.0


class _RestoreTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(catalogs=3, entries=2)
        self.addCleanup(self.deployment.close)
        self.store = self.deployment.store

    def _lose_writes(self) -> None:
        """Writes, waits until the entries have read it, and restores a copy."""
        copy = self.store.copy()
        for _ in range(_LOST_WRITES):
            self.deployment.orders[0].register()
        self.deployment.add_route(2, '/old/')
        time.sleep(1.0)
        self.store.restore(copy)
        time.sleep(0.5)


class ConfigurationAfterRestoreTest(_RestoreTest):
    """Guards the order of configuration versions across a restore.

    Revisions start again from the copy's, so a new version may have a revision
    number that the entries have already seen.
    """

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
    """Guards against requests to servers that were draining or had left.

    The restored store may have lost that a server drains or was deleted.
    """

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
        """Sends requests for a time; returns how many the server received."""
        server.arrival_times.clear()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for entry in self.deployment.entries:
                entry.call('/report/x')
        return len(server.arrival_times)

    def test_draining_that_the_store_lost_stays_in_force(self):
        server = self.deployment.orders[1]
        copy = self.store.copy()
        server.register('draining')
        time.sleep(_DRAIN_S)
        self.store.restore(copy, writes_again=False)
        self.assertEqual(self._count_arrivals(server, 3.0), 0)

    def test_deleted_server_gets_no_requests(self):
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
    """Guards against two owners of a key after a restore.

    The lost writes include moves of keys or a change of the coordinator.
    """

    def _read_logs(self) -> str:
        return '\n'.join(entry.read_log() for entry in self.deployment.entries)

    def _find_coordinator(self) -> platformhelp.Entry | None:
        """Returns the coordinator named in the store, if it is running."""
        data = self.store.read('lentilmoor/coordinator/catalog')
        if data is None:
            return None
        address = json.loads(data)[1]
        return next(
            (item for item in self.deployment.entries
             if item.control == address and item.process.poll() is None), None)

    def _kill(self, entry: platformhelp.Entry) -> None:
        entry.process.kill()
        entry.process.wait()

    def _wait_until_owned(self) -> None:
        """Waits until some server holds each of the probed keys."""
        platformhelp.wait_until(
            lambda: all(
                any(server.holds(key)
                    for server in self.deployment.catalogs)
                for key in _PROBED_KEYS), _SETTLE_S, self._read_logs)

    def _move_keys(self) -> None:
        """Drains a server and waits until its keys have moved."""
        server = self.deployment.catalogs[0]
        server.register('draining')
        platformhelp.wait_until(
            lambda: not any(server.holds(key) for key in _PROBED_KEYS),
            _SETTLE_S, self._read_logs)
        self._wait_until_owned()

    def _check_no_shared_keys(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            shared = platformhelp.find_shared(self.deployment.catalogs,
                                              _PROBED_KEYS)
            self.assertEqual(shared, [], self._read_logs()[-3000:])
            time.sleep(0.01)

    def _change_coordinator(self) -> None:
        self._kill(self._find_coordinator())
        platformhelp.wait_until(lambda: self._find_coordinator() is not None,
                                _SETTLE_S, self._read_logs)

    def _check_owners(self) -> None:
        """Checks that no key gets two owners and that all keys get one."""
        self._check_no_shared_keys(4.0)
        self._wait_until_owned()
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
            self._kill(entry)
        self.deployment.add_entry().await_ready()
        self._check_owners()

    def test_running_coordinator_is_written_to_the_store_again(self):
        copy = self.store.copy()
        self._change_coordinator()
        self.store.restore(copy)
        platformhelp.wait_until(lambda: self._find_coordinator() is not None,
                                2.0, self._read_logs)


class RegistrationAfterRestoreTest(_RestoreTest):
    """Guards against an entry that stays unregistered after a restore.

    Its registration is among the lost writes.
    """

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
