"""Tests of entry processes whose store comes back from an older copy."""

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


class _RestoreTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.deployment = platformhelp.Deployment(entries=2)
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

    def test_draining_server_gets_no_late_requests(self):
        self._lose_writes()
        server = self.deployment.orders[1]
        self.assertEqual(self._count_late_arrivals(server), 0)
