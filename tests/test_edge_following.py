"""Following the store by the hub's news."""

import dataclasses
import json
import threading
import time
import unittest
from unittest import mock
import zlib

import pykka

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import control
from lentilmoor.edge import following
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables
from lentilmoor.platform import store
from lentilmoor.platform import views
from standins import platform_store
from tests import platformhelp

# More than any news here.
_ROOM = 2**20


def _make_everything(revision: int, version: int = 1) -> ports.StoreSnapshot:
    configuration = tables.Configuration(version, {}, {}, tables.CallerLimits())
    return ports.StoreSnapshot(configuration, {}, {}, {}, {}, revision)


def _start_control() -> tuple[pykka.ActorRef, requests.Forwarder]:
    platform = mock.Mock(
        **{
            'store.open_lease.return_value': ports.Lease(1, 9_000.0),
            'store.register.return_value': None
        })
    forwarder = requests.Forwarder(clocks.make_suspend_clock(), platform,
                                   logs.make_logger('test'), None)
    actor = control.Control.start(control.controlstate.ControlState('e1'),
                                  forwarder, platform, logs.make_logger('test'),
                                  mock.Mock())
    return actor, forwarder


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
        self.taken: list[ports.StoreSnapshot] = []
        self.follower = storecopy.StoreFollower(
            ports.Peer('e1', 'a:1'),
            reporting.Reporter('e1', self.forwarder, None, None), self.store,
            clock, logger, lambda found, heard: self.taken.append(found),
            mock.Mock())
        self.standin.put('op/config', platformhelp.make_configuration(3))
        self.first = self.store.load()
        self.hub_first = self.hub.load()

    def _hear(self, since: int) -> tables.News:
        known = self.hub.watch(self.hub_first)
        return tables.News(known.revision, 0.0, since,
                           self.hub.encode_news(since, _ROOM))

    def test_news_bring_what_changed(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        heard = self._hear(self.first.revision)
        found = storecopy.merge_news(self.follower, self.first, heard)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(found.revision, heard.revision)
        self.assertEqual(self.taken, [found])

    def test_news_that_would_leave_a_gap_are_not_used(self):
        # A second thread followed too: news that began where it was were taken
        # in by the first, which lacked what came between.
        self.standin.put('op/config', platformhelp.make_configuration(4))
        heard = self._hear(self.first.revision + 1)
        self.assertEqual(heard.changes, b'')
        self.assertIsNone(storecopy.merge_news(self.follower, self.first,
                                               heard))
        self.assertFalse(self.taken)

    def test_what_is_too_long_ago_is_not_told(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.hub.watch(self.hub_first)
        self.assertIsNone(self.hub.encode_news(self.first.revision - 1, _ROOM))
        self.assertIsNotNone(self.hub.encode_news(self.first.revision, _ROOM))
        for number in range(views.MOST_NEWS + 5):
            self.standin.put('lentilmoor/entry/e',
                             f'["e{number}", "a:1", false]'.encode())
        self.hub.watch(self.hub_first)
        self.assertIsNone(self.hub.encode_news(self.first.revision, _ROOM))

    def test_what_does_not_parse_is_not_used(self):
        heard = tables.News(99, 0.0, self.first.revision, b'{"x": 1')
        self.assertIsNone(storecopy.merge_news(self.follower, self.first,
                                               heard))

    def test_older_changes_replace_nothing_whenever_they_come(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.standin.delete('lentilmoor/entry/e')
        heard = self._hear(self.first.revision)
        storecopy.apply_news(self.follower, heard)  # Nothing is known yet.
        self.follower.store_snapshot = self.first
        storecopy.apply_news(self.follower, heard)
        self.assertEqual(self.follower.store_snapshot.configuration.version, 4)
        old = json.dumps([
            views.write_item(
                views.Item('lentilmoor/entry/e', b'["e", "a:1", false]',
                           heard.revision - 1))
        ]).encode()
        found = self.store.merge_news(old, heard.revision)
        self.assertFalse(found.entries)
        self.assertEqual(found.revision, heard.revision)

    def test_news_are_taken_in_beside_a_watch_that_is_not_answered(self):
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        self.follower.start_count = 1
        thread.start()
        platformhelp.wait_until(lambda: self.taken, 3.0)
        self.standin.put('op/config', platformhelp.make_configuration(4))
        known = self.hub.watch(self.hub_first)
        self.standin.faults.away = 'silent'
        self.follower.read_now.set()
        began = time.monotonic()
        time.sleep(0.2)
        storecopy.apply_news(
            self.follower,
            tables.News(known.revision, 0.0, self.first.revision,
                        self.hub.encode_news(self.first.revision, _ROOM)))
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(self.taken[-1].configuration.version, 4)
        self.follower.start_count = 2
        thread.join(8.0)
        self.assertFalse(thread.is_alive())

    def test_a_whole_read_leaves_no_gap_in_what_is_told_to_others(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.hub.watch(self.hub_first)
        self.standin.delete('lentilmoor/entry/e')
        self.standin.put('op/config', platformhelp.make_configuration(5))
        self.standin.forget()
        whole = self.hub.load()
        heard = tables.News(whole.revision, 0.0, self.first.revision,
                            self.hub.encode_news(self.first.revision, _ROOM))
        found = storecopy.merge_news(self.follower, self.first, heard)
        self.assertEqual(found.configuration.version, 5)
        self.assertFalse(found.entries)

    def test_a_peer_tells_what_changed_rather_than_all(self):
        # All that the store holds with 250 servers and a large configuration
        # doesn't come over a link of 10 Mbit/s in the 300 ms that were waited,
        # and was asked for again and again by who the store turned away.
        for number in range(200):
            self.standin.put(f'lentilmoor/entry/e{number}',
                             f'["e{number}", "a:1", false]'.encode())
        known = self.store.load()
        self.hub.load()
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/assignment/s', b'{"broken": 1}')
        self.hub.watch(self.hub.load())
        part = self.hub.dump(known.revision)
        # Both are compressed on their way.
        changed, everything = map(zlib.decompress, (part, self.hub.dump(0)))
        self.assertLess(len(changed), len(everything) / 5)
        self.assertLess(len(part), len(self.hub.dump(0)))
        self.assertIn('assignment/s', changed.decode())
        found = self.store.restore(part)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(len(found.entries), 200)
        self.assertIsNone(self.store.restore(part))

    def test_what_begins_later_than_what_is_known_is_not_restored(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        known = self.hub.load()
        self.standin.put('op/config', platformhelp.make_configuration(5))
        self.hub.watch(known)
        part = self.hub.dump(known.revision)
        self.assertIsNone(self.store.restore(part))
        self.assertEqual(
            self.store.restore(self.hub.dump(0)).configuration.version, 5)

    def test_large_changes_are_read_from_the_store(self):
        # The hub told 0.5 MB to each of 88 entries, in replies that are waited
        # for 1.4 s at most; from then on its news reached nobody.
        route = platformhelp.make_configuration()['Routes']['report']
        routes = {
            f'r{number}': route | {
                'Prefix': f'/r{number}/'
            } for number in range(1_400)
        }
        self.standin.put('op/config',
                         platformhelp.make_configuration(4, **routes))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        known = self.hub.watch(self.hub_first)
        since = self.first.revision
        self.assertIn(b'op/config',
                      zlib.decompress(self.hub.encode_news(since, _ROOM)))
        heard = tables.News(known.revision, 0.0, since,
                            self.hub.encode_news(since, 4 * 1024), 4)
        self.follower.store_snapshot, self.follower.needs_full_read = (
            self.first, False)
        storecopy.apply_news(self.follower, heard)
        # What fits is known at once: a server that leaves was learned of 2.9 s
        # late, as all news waited for a large configuration.
        self.assertEqual(list(self.taken[-1].entries), ['e'])
        self.assertEqual(self.follower.store_snapshot.revision, known.revision)
        # Not by a watch: it answers with each of the versions since, which at
        # five of them was more than a link of 10 Mbit/s brings in its 3.3 s.
        self.assertEqual(self.follower.peer_version, 4)
        found = self.store.load_configuration()
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(list(found.entries), ['e'])
        self.assertEqual(found.revision, known.revision)

    def test_only_the_last_change_of_a_key_is_told(self):
        # Replies of half a megabyte, most of it replaced configurations, kept
        # small machines' links busy for 7 s; each that was given up grew.
        since = self.first.revision
        for version in (4, 5, 6):
            self.standin.put('op/config',
                             platformhelp.make_configuration(version))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.standin.delete('lentilmoor/entry/e')
        known = self.hub.watch(self.hub_first)
        rows = json.loads(zlib.decompress(self.hub.encode_news(since, _ROOM)))
        self.assertEqual([row['Key'] for row in rows],
                         ['op/config', 'lentilmoor/entry/e'])
        part = json.loads(zlib.decompress(self.hub.dump(since)))
        self.assertEqual(len(part['items']), 2)
        heard = tables.News(known.revision, 0.0, since,
                            self.hub.encode_news(since, _ROOM))
        found = storecopy.merge_news(self.follower, self.first, heard)
        self.assertEqual(found.configuration.version, 6)
        self.assertFalse(found.entries)
        self.assertEqual(found.revision, known.revision)

    def test_news_are_a_small_part_of_what_they_tell(self):
        # Two versions were 309 KB to each of 88 entries: a small one's link
        # brings that too late, and it asked again.
        route = platformhelp.make_configuration()['Routes']['report']
        routes = {
            f'r{number}': route | {
                'Prefix': f'/r{number}/'
            } for number in range(400)
        }
        value = platformhelp.make_configuration(4, **routes)
        self.standin.put('op/config', value)
        known = self.hub.watch(self.hub_first)
        since = self.first.revision
        told = self.hub.encode_news(since, _ROOM)
        self.assertLess(len(told), len(json.dumps(value)) / 5)
        self.assertIs(self.hub.encode_news(since, _ROOM), told)
        found = self.store.merge_news(told, known.revision)
        self.assertEqual(len(found.configuration.routes), 403)
        self.standin.put('op/config', platformhelp.make_configuration(5))
        known = self.hub.watch(known)
        found = self.store.merge_news(self.hub.encode_news(since, _ROOM),
                                      known.revision)
        self.assertEqual(found.configuration.version, 5)

    def test_a_configuration_that_was_left_out_is_told_to_who_lacks_it(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        known = self.hub.watch(self.hub_first)
        after = known.revision
        self.assertEqual(self.hub.encode_news(after, _ROOM), b'')
        self.assertEqual(self.hub.encode_news(after, _ROOM, 4), b'')
        found = self.store.merge_news(self.hub.encode_news(after, _ROOM, 3),
                                      after)
        self.assertEqual(found.configuration.version, 4)

    def test_a_peer_tells_what_was_too_large_for_news(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        known = self.hub.watch(self.hub_first)
        since = self.first.revision
        small = self.store.merge_news(self.hub.encode_news(since, 10.0),
                                      known.revision)
        self.assertEqual(small.configuration.version, 3)
        self.assertEqual(small.revision, known.revision)
        self.assertIsNone(self.store.restore(self.hub.dump(small.revision)))
        found = self.store.restore(self.hub.dump(0))
        self.assertEqual(found.configuration.version, 4)
        self.assertIsNone(self.store.restore(self.hub.dump(0)))

    def test_after_a_gap_a_watch_brings_the_rest(self):
        self.follower.store_snapshot, self.follower.needs_full_read = (
            self.first, False)
        storecopy.apply_news(
            self.follower,
            tables.News(self.first.revision + 9, 0.0, self.first.revision + 5,
                        b''))
        self.assertFalse(self.follower.needs_full_read)
        self.assertTrue(self.follower.read_now.is_set())

    def test_who_lacks_the_configuration_of_the_hub_reads_just_that(self):
        # All was read before: 19 calls each of 195 entries, and the heartbeats
        # of 719 servers.
        storecopy.apply_news(self.follower, tables.News(99, 0.0, 0, b'', 4))
        self.assertFalse(self.follower.read_now.is_set())
        self.follower.store_snapshot, self.follower.needs_full_read = (
            self.first, False)
        storecopy.apply_news(
            self.follower,
            tables.News(self.first.revision, 0.0, self.first.revision, b'', 3))
        self.assertEqual(self.follower.peer_version, 0)
        self.standin.put('op/config', platformhelp.make_configuration(4))
        storecopy.apply_news(
            self.follower,
            tables.News(self.first.revision, 0.0, self.first.revision, b'', 4))
        self.assertEqual(self.follower.peer_version, 4)
        calls = self.standin.calls
        self.follower.start_count = 1
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        thread.start()
        platformhelp.wait_until(lambda: self.taken, 3.0)
        self.follower.start_count = 2
        thread.join(2.0)
        self.assertEqual(self.taken[0].configuration.version, 4)
        self.assertEqual(self.standin.paths['/-/kv-key'], 1)
        self.assertLessEqual(self.standin.calls, calls + 2)

    def test_following_is_not_begun_anew_while_somebody_tells(self):
        self.follower.start_count = 1
        now = self.follower.clock.now()
        self.forwarder.hub_progress = tables.News(5, now)
        following.restart_following(self.follower)
        self.assertEqual(self.follower.start_count, 1)
        self.forwarder.hub_progress = tables.News(5, now - 10_000.0)
        following.restart_following(self.follower)
        self.assertEqual(self.follower.start_count, 2)
        self.follower.start_count = 3

    def test_who_hears_from_nobody_begins_anew(self):
        now = self.follower.clock.now()
        self.follower.start_count, self.follower.started_at = 1, now - 60_000.0
        silent_ms = self.forwarder.age_limits.silence_timeout_ms
        self.forwarder.hub_progress = tables.News(5, now - silent_ms / 2)
        following.restart_if_silent(self.follower)
        self.assertEqual(self.follower.start_count, 1)
        self.forwarder.hub_progress = tables.News(5, now - silent_ms - 1.0)
        following.restart_if_silent(self.follower)
        self.assertEqual(self.follower.start_count, 2)
        following.restart_if_silent(self.follower)
        self.assertEqual(self.follower.start_count, 2)
        platformhelp.wait_until(lambda: self.taken, 3.0)
        self.follower.start_count = 3

    def test_following_ends_when_it_has_begun_anew(self):
        self.follower.start_count = 1
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        thread.start()
        platformhelp.wait_until(lambda: self.taken, 3.0)
        self.follower.start_count = 2
        thread.join(2.0)
        self.assertFalse(thread.is_alive())


class ConfigurationTest(unittest.TestCase):

    def test_it_never_goes_back(self):
        actor, forwarder = _start_control()
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


class UnlistedTest(unittest.TestCase):
    """A server's entry is gone after the store was away."""

    def test_it_may_come_back_and_is_known_to_be_missing(self):
        actor, forwarder = _start_control()
        self.addCleanup(actor.stop)
        configuration = tables.Configuration(
            1, {}, {'x': tables.Service('x', False, 100, 0.0)},
            tables.CallerLimits())
        server = tables.Server('i-1', 'x', 'a:1', 'd', 2, False, 0.0, 0.0)
        staleness.record_known_times(forwarder.freshness, forwarder.clock.now())
        listed, missing = (ports.StoreSnapshot(configuration, servers, {}, {},
                                               {}, revision)
                           for revision, servers in ((10, {
                               'i-1': server
                           }), (11, {})))
        actor.tell(control.StoreSeen(listed))
        actor.tell(control.StoreLost(outcomes.Reason.TIMED_OUT))
        actor.tell(control.StoreSeen(missing))
        actor.ask(control.Tick())
        self.assertGreater(forwarder.snapshot.servers['x']['i-1'].leaves_at, 0)
        actor.tell(control.StoreSeen(dataclasses.replace(listed, revision=12)))
        actor.ask(control.Tick())
        self.assertIsNone(forwarder.snapshot.servers['x']['i-1'].leaves_at)
        # Nobody has lost the store now: one that is missing has left.
        actor.tell(control.StoreSeen(dataclasses.replace(missing, revision=13)))
        time.sleep((ownership.RETURN_GRACE_MS + 500.0) / clocks.MS_PER_S)
        actor.ask(control.Tick())
        self.assertNotIn('x', forwarder.snapshot.servers)


if __name__ == '__main__':
    unittest.main()
