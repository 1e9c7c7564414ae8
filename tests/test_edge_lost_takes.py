"""Tests that a snapshot is applied although news arrives during the read."""

import dataclasses
import threading
import time
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import following
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import requests
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables
from lentilmoor.platform import documents
from lentilmoor.platform import store
from standins import platform_store
from tests import platformhelp


class LostSnapshotTest(unittest.TestCase):
    """News without changes must not hide a configuration that is being read.

    The news raises the revision of the copy while a read of the new
    configuration is in progress. The configuration was then in the copy, but
    was never passed to the control actor.
    """

    def setUp(self):
        super().setUp()
        clock, logger = clocks.make_suspend_clock(), logs.make_logger('test')
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.store = store.connect_store(self.standin.address, clock, logger)
        self.taken: list[ports.StoreSnapshot] = []
        self.follower = storecopy.StoreFollower(
            ports.Peer('e1', 'a:1'),
            reporting.Reporter('e1',
                               requests.Forwarder(clock, None, logger, None),
                               None, None), self.store, clock, logger,
            lambda found, heard: self.taken.append(found), mock.Mock())
        self.standin.put('op/config', platformhelp.make_configuration(3))
        storecopy.apply_snapshot(self.follower, self.store.load(), False)
        self.follower.needs_full_read, self.follower.start_count = False, 1
        self.standin.put('op/config', platformhelp.make_configuration(4))
        # The hub has version 4, which is too large for news.
        self._receive_news(self.follower.store_snapshot.revision + 1)
        self.assertEqual(self.follower.peer_version, 4)

    def _receive_news(self, revision: int) -> None:
        """Applies news in which nothing but the revision has changed."""
        storecopy.apply_news(
            self.follower,
            tables.News(revision, self.follower.clock.now(),
                        self.follower.store_snapshot.revision, b'', 4))

    def _assert_configuration_applied(self) -> None:
        self.assertEqual(self.follower.store_snapshot.configuration.version, 4)
        self.assertEqual(self.taken[-1].configuration.version, 4,
                         'in the copy, but not passed to the control actor')

    def test_news_between_read_and_apply(self):
        load = self.store.load_configuration

        def load_beside_news():
            found = load()
            self._receive_news(self.follower.store_snapshot.revision + 1)
            return found

        self.follower.store = dataclasses.replace(
            self.store, load_configuration=load_beside_news)
        following.read_store(self.follower, 1)
        self._assert_configuration_applied()

    def test_news_while_the_configuration_is_parsed(self):
        # The order of events is certain: the news holds the follower's lock
        # while it waits for the view's lock, so the read has to wait for the
        # follower's lock.
        parse = documents.parse_configuration
        threads = []

        def parse_slowly(data):
            thread = threading.Thread(
                target=self._receive_news,
                args=(self.follower.store_snapshot.revision + 1,))
            thread.start()
            threads.append(thread)
            time.sleep(0.1)
            return parse(data)

        with mock.patch.object(documents, 'parse_configuration', parse_slowly):
            following.read_store(self.follower, 1)
        for thread in threads:
            thread.join(3.0)
        self._assert_configuration_applied()

    def test_read_without_concurrent_news(self):
        following.read_store(self.follower, 1)
        self._assert_configuration_applied()


if __name__ == '__main__':
    unittest.main()
