"""Following the store by the hub's news."""

import threading
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import control
from lentilmoor.edge import following
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import requests
from lentilmoor.edge import tables
from lentilmoor.platform import store
from standins import platform_store
from tests import platformhelp


def _make_everything(revision: int, version: int = 1) -> ports.Everything:
    configuration = tables.Configuration(version, {}, {}, tables.CallerLimits())
    return ports.Everything(configuration, {}, {}, {}, {}, revision)


class MergeTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        clock = clocks.make_suspend_clock()
        logger = logs.make_logger('test')
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.hub, self.store = (store.connect_store(self.standin.address, clock,
                                                    logger) for _ in range(2))
        self.forwarder = requests.Forwarder(clock, None, logger, None)
        self.taken: list[ports.Everything] = []
        self.follower = following.Follower(
            reporting.Reporter('e1', self.forwarder, None, None), self.store,
            clock, logger, lambda found, heard: self.taken.append(found),
            mock.Mock())
        self.standin.put('op/config', platformhelp.make_configuration(3))
        self.first = self.store.load()
        self.hub_first = self.hub.load()

    def _hear(self, since: int) -> tables.News:
        known = self.hub.watch(self.hub_first)
        return tables.News(known.revision, 0.0, since,
                           self.hub.tell_news(since))

    def test_news_bring_what_changed(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        heard = self._hear(self.first.revision)
        found = following.merge_news(self.follower, self.first, heard)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(found.revision, heard.revision)
        self.assertEqual(self.taken, [found])

    def test_news_that_would_leave_a_gap_are_not_used(self):
        # A second thread followed too: news that began where it was were taken
        # in by the first, which lacked what came between.
        self.standin.put('op/config', platformhelp.make_configuration(4))
        heard = self._hear(self.first.revision + 1)
        self.assertEqual(heard.changes, b'')
        self.assertIsNone(following.merge_news(self.follower, self.first,
                                               heard))
        self.assertFalse(self.taken)

    def test_what_is_too_long_ago_is_not_told(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.hub.watch(self.hub_first)
        self.assertIsNone(self.hub.tell_news(self.first.revision - 1))
        self.assertIsNotNone(self.hub.tell_news(self.first.revision))
        for number in range(store.MOST_NEWS + 5):
            self.standin.put('lentilmoor/entry/e',
                             f'["e{number}", "a:1", false]'.encode())
        self.hub.watch(self.hub_first)
        self.assertIsNone(self.hub.tell_news(self.first.revision))

    def test_what_does_not_parse_is_not_used(self):
        heard = tables.News(99, 0.0, self.first.revision, b'{"x": 1')
        self.assertIsNone(following.merge_news(self.follower, self.first,
                                               heard))

    def test_following_ends_when_it_has_begun_anew(self):
        self.follower.begun = 1
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        thread.start()
        platformhelp.wait_until(lambda: self.taken, 3.0)
        self.follower.begun = 2
        thread.join(2.0)
        self.assertFalse(thread.is_alive())


class ConfigurationTest(unittest.TestCase):

    def test_it_never_goes_back(self):
        platform = mock.Mock(
            **{
                'store.open_lease.return_value': ports.Lease(1, 9_000.0),
                'store.register.return_value': None
            })
        forwarder = requests.Forwarder(clocks.make_suspend_clock(), platform,
                                       logs.make_logger('test'), None)
        actor = control.Control.start(control.beliefs.Beliefs('e1'), forwarder,
                                      platform, logs.make_logger('test'),
                                      mock.Mock())
        self.addCleanup(actor.stop)
        actor.tell(control.StoreSeen(_make_everything(10, 13)))
        actor.tell(control.StoreSeen(_make_everything(12, 10), heard=True))
        actor.tell(control.StoreSeen(_make_everything(13, 14)))
        platformhelp.wait_until(
            lambda: forwarder.snapshot.configuration and forwarder.snapshot.
            configuration.version == 14, 3.0)
        actor.tell(control.StoreSeen(_make_everything(15, 10), heard=True))
        actor.ask(control.Tick())
        self.assertEqual(forwarder.snapshot.configuration.version, 14)


if __name__ == '__main__':
    unittest.main()
