"""Tests of the age of an entry's copy of the store, and its limits."""

import dataclasses
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import exceptions
from lentilmoor import logs
from lentilmoor.edge import control
from lentilmoor.edge import following
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import revisions
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables
from lentilmoor.platform import store
from standins import platform_store
from tests import copyfleets
from tests import platformhelp


class EventOrderTest(unittest.TestCase):
    """An old copy must not count as recent, whatever the order of events.

    For example, the revision of the copy may pass a change of the configuration
    that the copy does not contain.
    """

    def setUp(self):
        super().setUp()
        self.clock = clocks.make_suspend_clock()
        logger = logs.make_logger('test')
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.store = store.connect_store(self.standin.address, self.clock,
                                         logger)
        settings = ports.Settings('e1', 'd0', 'a:1', 'a:2', 'a:1', 'a:3', (),
                                  1.0, 1_000.0, copyfleets.BOUNDS)
        platform = ports.Platform(settings, self.store, mock.Mock(),
                                  mock.Mock())
        self.forwarder = requests.Forwarder(self.clock, platform, logger, None)
        self.forwarder.age_limits = settings.limits
        self.handed: list[ports.StoreSnapshot] = []
        self.reporter = reporting.Reporter('e1', self.forwarder, mock.Mock(),
                                           mock.Mock())
        self.follower = storecopy.StoreFollower(ports.Peer('e1', 'a:1'),
                                                self.reporter, self.store,
                                                self.clock, logger, self._apply,
                                                mock.Mock())
        self.reporter.on_news = lambda heard: storecopy.apply_news(
            self.follower, heard)
        self.standin.put('op/config', platformhelp.make_configuration(1))
        self.assertTrue(following.read_store(self.follower, 0))

    def _apply(self, found, unused_heard):
        freshness = self.forwarder.freshness
        self.handed.append(found)  # As if the actor applied it at once.
        staleness.mark_applied(freshness,
                               staleness.add_pending_change(freshness))

    def _restore_dump_without_newest_configuration(self):
        """Restores the dump of an entry that is ahead but has an old version.

        Returns:
          When the newest configuration was acknowledged, ms.
        """
        other = store.connect_store(self.standin.address, self.clock,
                                    logs.make_logger('other'))
        other.load()
        self.standin.put('op/config', platformhelp.make_configuration(2))
        acked_at = self.clock.now()
        self.standin.put('lentilmoor/entry/e', b'["e", "a:9", false]')
        revision = revisions.combine(
            revisions.find_era(self.forwarder.followed_revision),
            self.standin.revision)
        other.merge_news(b'', revision)
        storecopy.apply_snapshot(self.follower,
                                 self.store.restore(other.dump(0)), True)
        self.assertEqual(self.forwarder.followed_revision, revision)
        return acked_at

    def _assert_newest_is_read(self, acked_at):
        self.standin.put('lentilmoor/entry/f', b'["f", "a:8", false]')
        self.assertLess(self.forwarder.freshness.known_times.configuration_at,
                        acked_at)
        following.read_store(self.follower, 0)
        self.assertEqual(self.forwarder.configuration_version, 2)

    def test_own_report_does_not_prove_the_newest_configuration(self):
        acked_at = self._restore_dump_without_newest_configuration()
        own = reports.Report('e1', {}, {}, {}, self.forwarder.followed_revision)
        told = reporting.HubReply(reporting.handle_report(self.reporter, own),
                                  self.clock.now())
        reporting.apply_replies(self.reporter, [told])
        self._assert_newest_is_read(acked_at)

    def test_older_news_does_not_prove_the_newest_configuration(self):
        before = self.follower.store_snapshot.revision
        heard = tables.News(before, self.clock.now(), before, b'', 1,
                            self.clock.now(), before)
        acked_at = self._restore_dump_without_newest_configuration()
        storecopy.apply_news(self.follower, heard)
        self._assert_newest_is_read(acked_at)

    def test_late_watch_does_not_bring_back_an_older_configuration(self):
        before = self.follower.store_snapshot
        self.standin.put('lentilmoor/entry/e', b'["e", "a:9", false]')
        found = self.store.watch(before)
        other = store.connect_store(self.standin.address, self.clock,
                                    logs.make_logger('other'))
        known = other.load()
        self.standin.put('op/config', platformhelp.make_configuration(2))
        other.watch(known)
        now = self.clock.now()
        storecopy.apply_news(
            self.follower,
            tables.News(found.revision, now, before.revision,
                        other.encode_news(found.revision, 2**20, 1), 2, now,
                        found.revision))
        self.assertEqual(self.forwarder.configuration_version, 2)
        storecopy.apply_snapshot(self.follower, found, False)
        self.assertEqual(self.forwarder.newest_configuration_version, 2)
        self.assertEqual(self.forwarder.configuration_version, 2)


class DrainingTest(unittest.TestCase):

    def test_the_store_may_date_draining_before_the_report_of_it(self):
        ready = tables.Server('s', 'orders', 'a:1', 'd0', 2, False, 0.0, 0.0)
        reported = dataclasses.replace(ready,
                                       draining=True,
                                       draining_at=1_200.0)
        listed = dataclasses.replace(ready, draining=True)
        self.assertEqual(
            control.add_draining_time(listed, reported, 0.0).draining_at, 0.0)


class LimitsTest(unittest.TestCase):

    def test_the_longest_path_from_the_store_fits_the_bound(self):
        for bound in (2_000.0, 2_500.0, 3_000.0):
            limits = staleness.make_limits(bound, bound)
            usual = limits.hub_watch_pause_ms + 2 * limits.poll_wait_ms
            self.assertLess(usual, limits.refresh_age_ms)
            # One request to an entry that hangs, then one to a random entry.
            self.assertLessEqual(limits.refresh_age_ms + limits.poll_reply_ms,
                                 limits.max_send_age_ms)
            self.assertLess(limits.max_send_age_ms, bound)
            self.assertLess(limits.watch_wait_ms + limits.watch_reply_ms,
                            limits.refresh_age_ms)

    def test_a_bound_below_the_minimum_is_rejected(self):
        for bounds in ((400.0, 2_000.0), (2_000.0, 400.0)):
            with self.assertRaisesRegex(exceptions.SettingsError, '400 ms'):
                staleness.make_limits(*bounds)


class StoreUnavailableTest(unittest.TestCase):
    """When the store counts as unavailable to all entries."""

    def setUp(self):
        super().setUp()
        self.freshness = staleness.Freshness()
        self.limits = staleness.make_limits(2_000.0, 2_000.0)

    def _is_unavailable(self, others, now, unanswered_ms=60_000.0):
        return staleness.is_store_unavailable(self.freshness, others,
                                              unanswered_ms, now, self.limits)

    def test_half_of_the_other_entries_must_report_it(self):
        for name in 'abc':
            staleness.record_unreachable_report(self.freshness, name, 5_000.0)
        self.assertTrue(self._is_unavailable('abcdef', 5_100.0))
        self.assertFalse(self._is_unavailable('abcdefg', 5_100.0))
        self.assertFalse(self._is_unavailable('abcdef', 9_001.0))

    def test_store_that_answers_this_entry_is_available(self):
        staleness.record_unreachable_report(self.freshness, 'a', 5_000.0)
        self.assertFalse(self._is_unavailable('a', 5_100.0, 100.0))
        self.assertFalse(self._is_unavailable((), 5_100.0, 100.0))

    def test_recent_copy_of_another_entry_shows_that_it_is_available(self):
        for name in 'abc':
            staleness.record_unreachable_report(self.freshness, name, 5_000.0)
        staleness.record_peer_copy(self.freshness, 4_900.0)
        self.assertFalse(self._is_unavailable('abc', 5_100.0))
        staleness.record_peer_copy(self.freshness, 5_001.0)
        self.assertFalse(self._is_unavailable('abc', 6_500.0))


if __name__ == '__main__':
    unittest.main()
