"""Tests of following the store by news from the hub and by watches."""

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

# Exceeds the size of any news in these tests.
_MAX_BYTES = 2**20


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
        self.applied: list[ports.StoreSnapshot] = []
        self.follower = storecopy.StoreFollower(
            ports.Peer('e1', 'a:1'),
            reporting.Reporter('e1', self.forwarder, None, None), self.store,
            clock, logger, lambda found, heard: self.applied.append(found),
            mock.Mock())
        self.standin.put('op/config', platformhelp.make_configuration(3))
        self.first = self.store.load()
        self.hub_first = self.hub.load()

    def _receive_news(self, since: int) -> tables.News:
        hub_state = self.hub.watch(self.hub_first)
        return tables.News(hub_state.revision, 0.0, since,
                           self.hub.encode_news(since, _MAX_BYTES))

    def test_news_contain_changes(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        news = self._receive_news(self.first.revision)
        found = storecopy.merge_news(self.follower, self.first, news)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(found.revision, news.revision)
        self.assertEqual(self.applied, [found])

    def test_news_that_leave_a_gap_are_not_applied(self):
        # When a second thread followed the store too, news that began at its
        # revision was applied by the first, which lacked the changes between.
        self.standin.put('op/config', platformhelp.make_configuration(4))
        news = self._receive_news(self.first.revision + 1)
        self.assertEqual(news.changes, b'')
        self.assertIsNone(storecopy.merge_news(self.follower, self.first, news))
        self.assertFalse(self.applied)

    def test_no_news_for_old_revisions(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.hub.watch(self.hub_first)
        self.assertIsNone(
            self.hub.encode_news(self.first.revision - 1, _MAX_BYTES))
        self.assertIsNotNone(
            self.hub.encode_news(self.first.revision, _MAX_BYTES))
        for number in range(views.MAX_NEWS + 5):
            self.standin.put(f'lentilmoor/entry/e{number}',
                             f'["e{number}", "a:1", false]'.encode())
        self.hub.watch(self.hub_first)
        self.assertIsNone(self.hub.encode_news(self.first.revision, _MAX_BYTES))

    def test_invalid_news_are_not_applied(self):
        news = tables.News(99, 0.0, self.first.revision, b'{"x": 1')
        self.assertIsNone(storecopy.merge_news(self.follower, self.first, news))

    def test_older_changes_replace_nothing(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.standin.delete('lentilmoor/entry/e')
        news = self._receive_news(self.first.revision)
        storecopy.apply_news(self.follower, news)  # No copy of the store yet.
        self.follower.store_snapshot = self.first
        storecopy.apply_news(self.follower, news)
        self.assertEqual(self.follower.store_snapshot.configuration.version, 4)
        old = json.dumps([
            views.write_item(
                views.Item('lentilmoor/entry/e', b'["e", "a:1", false]',
                           news.revision - 1))
        ]).encode()
        found = self.store.merge_news(old, news.revision)
        self.assertFalse(found.entries)
        self.assertEqual(found.revision, news.revision)

    def test_news_are_applied_while_a_watch_hangs(self):
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        self.follower.start_count = 1
        thread.start()
        platformhelp.wait_until(lambda: self.applied, 3.0)
        self.standin.put('op/config', platformhelp.make_configuration(4))
        hub_state = self.hub.watch(self.hub_first)
        self.standin.faults.away = 'silent'
        self.follower.read_now.set()
        began = time.monotonic()
        time.sleep(0.2)
        storecopy.apply_news(
            self.follower,
            tables.News(hub_state.revision, 0.0, self.first.revision,
                        self.hub.encode_news(self.first.revision, _MAX_BYTES)))
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(self.applied[-1].configuration.version, 4)
        self.follower.start_count = 2
        thread.join(8.0)
        self.assertFalse(thread.is_alive())

    def test_full_read_leaves_no_gap_in_news(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.hub.watch(self.hub_first)
        self.standin.delete('lentilmoor/entry/e')
        self.standin.put('op/config', platformhelp.make_configuration(5))
        self.standin.forget()
        whole = self.hub.load()
        news = tables.News(
            whole.revision, 0.0, self.first.revision,
            self.hub.encode_news(self.first.revision, _MAX_BYTES))
        found = storecopy.merge_news(self.follower, self.first, news)
        self.assertEqual(found.configuration.version, 5)
        self.assertFalse(found.entries)

    def test_dump_contains_only_changes(self):
        # The full state with 250 servers and a large configuration doesn't
        # arrive over a link of 10 Mbit/s within a timeout of 300 ms, so entries
        # that the store refused requested it again and again.
        for number in range(200):
            self.standin.put(f'lentilmoor/entry/e{number}',
                             f'["e{number}", "a:1", false]'.encode())
        entry_state = self.store.load()
        self.hub.load()
        self.standin.put('op/config', platformhelp.make_configuration(4))
        self.standin.put('lentilmoor/assignment/s', b'{"broken": 1}')
        self.hub.watch(self.hub.load())
        part = self.hub.dump(entry_state.revision)
        # Both dumps are compressed.
        changed, everything = map(zlib.decompress, (part, self.hub.dump(0)))
        self.assertLess(len(changed), len(everything) / 5)
        self.assertLess(len(part), len(self.hub.dump(0)))
        self.assertIn('assignment/s', changed.decode())
        found = self.store.restore(part)
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(len(found.entries), 200)
        self.assertIsNone(self.store.restore(part))

    def test_dump_that_leaves_a_gap_is_not_restored(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        hub_state = self.hub.load()
        self.standin.put('op/config', platformhelp.make_configuration(5))
        self.hub.watch(hub_state)
        part = self.hub.dump(hub_state.revision)
        self.assertIsNone(self.store.restore(part))
        self.assertEqual(
            self.store.restore(self.hub.dump(0)).configuration.version, 5)

    def test_large_changes_are_read_from_the_store(self):
        # Sending 0.5 MB to each of 88 entries, in replies with a timeout of at
        # most 1.4 s, prevented all further news of the hub from arriving.
        route = platformhelp.make_configuration()['Routes']['report']
        routes = {
            f'r{number}': route | {
                'Prefix': f'/r{number}/'
            } for number in range(1_400)
        }
        self.standin.put('op/config',
                         platformhelp.make_configuration(4, **routes))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        hub_state = self.hub.watch(self.hub_first)
        since = self.first.revision
        self.assertIn(b'op/config',
                      zlib.decompress(self.hub.encode_news(since, _MAX_BYTES)))
        news = tables.News(hub_state.revision, 0.0, since,
                           self.hub.encode_news(since, 4 * 1024), 4)
        self.follower.store_snapshot, self.follower.needs_full_read = (
            self.first, False)
        storecopy.apply_news(self.follower, news)
        # Changes that fit are applied immediately. When all news waited for a
        # large configuration, an entry noticed a leaving server 2.9 s late.
        self.assertEqual(list(self.applied[-1].entries), ['e'])
        self.assertEqual(self.follower.store_snapshot.revision,
                         hub_state.revision)
        # The configuration isn't read by a watch, as that returns each version
        # since the known one: with five versions, more than a link of 10 Mbit/s
        # transfers within the watch's timeout of 3.3 s.
        self.assertEqual(self.follower.peer_version, 4)
        found = self.store.load_configuration()
        self.assertEqual(found.configuration.version, 4)
        self.assertEqual(list(found.entries), ['e'])
        self.assertEqual(found.revision, hub_state.revision)

    def test_news_contain_only_last_change_of_a_key(self):
        # Replies of half a megabyte, mostly of superseded configurations,
        # saturated the links of small machines for 7 s. After each timeout the
        # next reply was larger.
        since = self.first.revision
        for version in (4, 5, 6):
            self.standin.put('op/config',
                             platformhelp.make_configuration(version))
        self.standin.put('lentilmoor/entry/e', b'["e", "a:1", false]')
        self.standin.delete('lentilmoor/entry/e')
        hub_state = self.hub.watch(self.hub_first)
        rows = json.loads(
            zlib.decompress(self.hub.encode_news(since, _MAX_BYTES)))
        self.assertEqual([row['Key'] for row in rows],
                         ['op/config', 'lentilmoor/entry/e'])
        part = json.loads(zlib.decompress(self.hub.dump(since)))
        self.assertEqual(len(part['items']), 2)
        news = tables.News(hub_state.revision, 0.0, since,
                           self.hub.encode_news(since, _MAX_BYTES))
        found = storecopy.merge_news(self.follower, self.first, news)
        self.assertEqual(found.configuration.version, 6)
        self.assertFalse(found.entries)
        self.assertEqual(found.revision, hub_state.revision)

    def test_news_are_compressed(self):
        # Two versions of the configuration were 309 KB for each of 88 entries.
        # On the link of a small machine they arrived after the timeout, and the
        # entry requested them again.
        route = platformhelp.make_configuration()['Routes']['report']
        routes = {
            f'r{number}': route | {
                'Prefix': f'/r{number}/'
            } for number in range(400)
        }
        value = platformhelp.make_configuration(4, **routes)
        self.standin.put('op/config', value)
        hub_state = self.hub.watch(self.hub_first)
        since = self.first.revision
        news = self.hub.encode_news(since, _MAX_BYTES)
        self.assertLess(len(news), len(json.dumps(value)) / 5)
        self.assertIs(self.hub.encode_news(since, _MAX_BYTES), news)
        found = self.store.merge_news(news, hub_state.revision)
        self.assertEqual(len(found.configuration.routes), 403)
        self.standin.put('op/config', platformhelp.make_configuration(5))
        hub_state = self.hub.watch(hub_state)
        found = self.store.merge_news(self.hub.encode_news(since, _MAX_BYTES),
                                      hub_state.revision)
        self.assertEqual(found.configuration.version, 5)

    def test_omitted_configuration_is_sent_to_entry_with_older_one(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        hub_state = self.hub.watch(self.hub_first)
        after = hub_state.revision
        self.assertEqual(self.hub.encode_news(after, _MAX_BYTES), b'')
        self.assertEqual(self.hub.encode_news(after, _MAX_BYTES, 4), b'')
        found = self.store.merge_news(
            self.hub.encode_news(after, _MAX_BYTES, 3), after)
        self.assertEqual(found.configuration.version, 4)

    def test_dump_contains_what_was_too_large_for_news(self):
        self.standin.put('op/config', platformhelp.make_configuration(4))
        hub_state = self.hub.watch(self.hub_first)
        since = self.first.revision
        small = self.store.merge_news(self.hub.encode_news(since, 10.0),
                                      hub_state.revision)
        self.assertEqual(small.configuration.version, 3)
        self.assertEqual(small.revision, hub_state.revision)
        self.assertIsNone(self.store.restore(self.hub.dump(small.revision)))
        found = self.store.restore(self.hub.dump(0))
        self.assertEqual(found.configuration.version, 4)
        self.assertIsNone(self.store.restore(self.hub.dump(0)))

    def test_gap_in_news_triggers_a_watch(self):
        self.follower.store_snapshot, self.follower.needs_full_read = (
            self.first, False)
        storecopy.apply_news(
            self.follower,
            tables.News(self.first.revision + 9, 0.0, self.first.revision + 5,
                        b''))
        self.assertFalse(self.follower.needs_full_read)
        self.assertTrue(self.follower.read_now.is_set())

    def test_entry_with_older_configuration_reads_only_that(self):
        # A full read instead took 19 calls by each of 195 entries and returned
        # the heartbeats of 719 servers.
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
        platformhelp.wait_until(lambda: self.applied, 3.0)
        self.follower.start_count = 2
        thread.join(2.0)
        self.assertEqual(self.applied[0].configuration.version, 4)
        self.assertEqual(self.standin.paths['/-/kv-key'], 1)
        self.assertLessEqual(self.standin.calls, calls + 2)

    def test_following_is_not_restarted_while_news_arrive(self):
        self.follower.start_count = 1
        now = self.follower.clock.now()
        self.forwarder.hub_progress = tables.News(5, now)
        following.restart_following(self.follower)
        self.assertEqual(self.follower.start_count, 1)
        self.forwarder.hub_progress = tables.News(5, now - 10_000.0)
        following.restart_following(self.follower)
        self.assertEqual(self.follower.start_count, 2)
        self.follower.start_count = 3

    def test_following_is_restarted_without_news(self):
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
        platformhelp.wait_until(lambda: self.applied, 3.0)
        self.follower.start_count = 3

    def test_old_thread_ends_after_restart(self):
        self.follower.start_count = 1
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        thread.start()
        platformhelp.wait_until(lambda: self.applied, 3.0)
        self.follower.start_count = 2
        thread.join(2.0)
        self.assertFalse(thread.is_alive())


class ConfigurationTest(unittest.TestCase):

    def test_configuration_version_never_decreases(self):
        actor, forwarder = _start_control()
        self.addCleanup(actor.stop)
        actor.tell(control.StoreUpdate(_make_everything(10, 13)))
        actor.tell(control.StoreUpdate(_make_everything(12, 10),
                                       from_peer=True))
        actor.tell(control.StoreUpdate(_make_everything(13, 14)))
        platformhelp.wait_until(
            lambda: forwarder.snapshot.configuration and forwarder.snapshot.
            configuration.version == 14, 3.0)
        actor.tell(control.StoreUpdate(_make_everything(15, 10),
                                       from_peer=True))
        actor.ask(control.Tick())
        self.assertEqual(forwarder.snapshot.configuration.version, 14)


class MissingServerTest(unittest.TestCase):
    """A server's registration is missing after an outage of the store."""

    def test_missing_server_leaves_unless_it_is_listed_again(self):
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
        actor.tell(control.StoreUpdate(listed))
        actor.tell(control.StoreLost(outcomes.Reason.TIMED_OUT))
        actor.tell(control.StoreUpdate(missing))
        actor.ask(control.Tick())
        self.assertGreater(forwarder.snapshot.servers['x']['i-1'].leaves_at, 0)
        actor.tell(control.StoreUpdate(dataclasses.replace(listed,
                                                           revision=12)))
        actor.ask(control.Tick())
        self.assertIsNone(forwarder.snapshot.servers['x']['i-1'].leaves_at)
        # The store is available now, so a missing server has left.
        actor.tell(
            control.StoreUpdate(dataclasses.replace(missing, revision=13)))
        time.sleep((ownership.RETURN_GRACE_MS + 500.0) / clocks.MS_PER_S)
        actor.ask(control.Tick())
        self.assertNotIn('x', forwarder.snapshot.servers)


if __name__ == '__main__':
    unittest.main()
