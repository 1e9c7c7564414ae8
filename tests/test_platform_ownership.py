"""Tests that no two processes hold a key, over stand-ins of the platform."""

import time
import unittest

from lentilmoor.edge import ownership
from standins import platform_server
from tests import platformhelp

_PROBED_KEYS = range(0, 65_536, 1_021)


class _DeploymentTest(unittest.TestCase):

    servers_tell_start = True

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(
            held_paths=True, servers_tell_start=self.servers_tell_start)
        self.addCleanup(self.deployment.close)
        self.entry = self.deployment.entries[0]
        self.server, self.other = self.deployment.catalogs

    def _watch_owners(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.assertEqual(
                platformhelp.find_shared(self.deployment.catalogs,
                                         _PROBED_KEYS), [])
            time.sleep(0.01)


class SilentPathTest(_DeploymentTest):
    """The path to a server goes silent both ways, and comes back later."""

    def test_a_grant_that_was_given_up_is_not_applied_later(self):
        path = self.deployment.paths[0]
        path.hold()
        platformhelp.wait_until(
            lambda: all(self.other.holds(key) for key in _PROBED_KEYS),
            3.0 * ownership.HOLD_MS / 1000.0, self.entry.read_log)
        path.release()
        self._watch_owners(3.0)


class ReplacedProcessTest(_DeploymentTest):
    """Another process starts at a server's address before the store tells."""

    def test_it_is_granted_no_key_under_a_fence_of_the_one_before(self):
        # A server that had crashed 1.3 s before was granted its keys again;
        # the process at its address took them, under the fences it had had.
        server = self.server
        highest = max(fields['fence'] for fields in server.grants)
        known = len(server.grants)
        server.restart(register=False)
        time.sleep(1.5)
        self.assertTrue(server.grants[known:])
        for fields in server.grants[known:]:
            self.assertGreater(fields['fence'], highest)

    def test_nor_if_its_address_answered_nobody_in_between(self):
        server = self.server
        highest = max(fields['fence'] for fields in server.grants)
        server.close()
        time.sleep(1.0)
        following = platform_server.PlatformServer(self.deployment.store,
                                                   'catalog',
                                                   True,
                                                   server.port,
                                                   registers=False)
        self.addCleanup(following.close)
        platformhelp.wait_until(lambda: following.grants, 2.0,
                                self.entry.read_log)
        time.sleep(0.5)
        for fields in following.grants:
            self.assertGreater(fields['fence'], highest)


class StaleEntryTest(_DeploymentTest):
    """An entry is written late, when its process has long been replaced."""

    servers_tell_start = False

    def _replace(self) -> platform_server.PlatformServer:
        """Ends the first server's process; another starts at its address."""
        self.server.close()
        following = platform_server.PlatformServer(self.deployment.store,
                                                   'catalog',
                                                   True,
                                                   self.server.port,
                                                   registers=False,
                                                   tells_start=False)
        self.addCleanup(following.close)
        following.address = self.server.address
        following.register()
        self.deployment.catalogs[0] = following
        platformhelp.wait_until(
            lambda: all(
                any(server.holds(key)
                    for server in self.deployment.catalogs)
                for key in _PROBED_KEYS), 5.0, self.entry.read_log)
        return following

    def test_it_takes_no_keys_from_the_process_that_is_up(self):
        following = self._replace()
        self.deployment.store.delete(f'servers/{self.server.id}')
        platformhelp.wait_until(
            lambda: '"servers_gone"' in self.entry.read_log(), 8.0,
            self.entry.read_log)
        held = [key for key in _PROBED_KEYS if following.holds(key)]
        self.assertTrue(held)
        self.server.register()
        self._watch_owners(3.0)
        self.assertTrue(any(following.holds(key) for key in held))


if __name__ == '__main__':
    unittest.main()
