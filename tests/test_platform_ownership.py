"""Tests that no two processes hold a key, against stand-ins of the platform."""

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
    """Tests grants over a path that is cut in both directions for some time."""

    def test_a_grant_that_was_given_up_is_not_applied_later(self):
        path = self.deployment.paths[0]
        path.hold()
        platformhelp.wait_until(
            lambda: all(self.other.holds(key) for key in _PROBED_KEYS),
            3.0 * ownership.HOLD_MS / 1000.0, self.entry.read_log)
        path.release()
        self._watch_owners(3.0)


class ReplacedProcessTest(_DeploymentTest):
    """Tests grants to a process whose start the store hasn't reported yet.

    It has replaced another process at the address of a server.
    """

    def test_it_is_granted_no_key_under_a_fence_of_its_predecessor(self):
        # A server that had crashed 1.3 s earlier was granted its keys again
        # under the same fences, and the new process at its address accepted
        # them.
        server = self.server
        highest = max(fields['fence'] for fields in server.grants)
        known = len(server.grants)
        server.restart(register=False)
        time.sleep(1.5)
        self.assertTrue(server.grants[known:])
        for fields in server.grants[known:]:
            self.assertGreater(fields['fence'], highest)

    def test_fences_also_rise_if_the_address_was_unavailable_meanwhile(self):
        server = self.server
        highest = max(fields['fence'] for fields in server.grants)
        server.close()
        time.sleep(1.0)
        successor = platform_server.PlatformServer(self.deployment.store,
                                                   'catalog',
                                                   True,
                                                   server.port,
                                                   registers=False)
        self.addCleanup(successor.close)
        platformhelp.wait_until(lambda: successor.grants, 2.0,
                                self.entry.read_log)
        time.sleep(0.5)
        for fields in successor.grants:
            self.assertGreater(fields['fence'], highest)


class StaleRegistrationTest(_DeploymentTest):
    """Tests a registration that is written after its process was replaced."""

    servers_tell_start = False

    def _replace(self) -> platform_server.PlatformServer:
        """Ends the first server's process and starts another at its address."""
        self.server.close()
        successor = platform_server.PlatformServer(self.deployment.store,
                                                   'catalog',
                                                   True,
                                                   self.server.port,
                                                   registers=False,
                                                   tells_start=False)
        self.addCleanup(successor.close)
        successor.address = self.server.address
        successor.register()
        self.deployment.catalogs[0] = successor
        platformhelp.wait_until(
            lambda: all(
                any(server.holds(key)
                    for server in self.deployment.catalogs)
                for key in _PROBED_KEYS), 5.0, self.entry.read_log)
        return successor

    def test_it_takes_no_keys_from_the_running_process(self):
        successor = self._replace()
        self.deployment.store.delete(f'servers/{self.server.id}')
        platformhelp.wait_until(
            lambda: '"servers_gone"' in self.entry.read_log(), 8.0,
            self.entry.read_log)
        held = [key for key in _PROBED_KEYS if successor.holds(key)]
        self.assertTrue(held)
        self.server.register()
        self._watch_owners(3.0)
        self.assertTrue(any(successor.holds(key) for key in held))


if __name__ == '__main__':
    unittest.main()
