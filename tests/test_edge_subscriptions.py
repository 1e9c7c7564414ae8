"""Tests of how changes spread from the hub through relays to all entries."""

import functools
import threading
import time
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import following
from lentilmoor.edge import ports
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import subscriptions
from lentilmoor.edge import tables
from lentilmoor.platform import store
from standins import platform_store
from tests import platformhelp

_HUB = '10.0.0.1:1'


def _make_fleet(domains: int, per_domain: int) -> dict[str, ports.Peer]:
    """Returns entries by id; three of each domain are on large machines."""
    peers = [
        ports.Peer(f'e-{domain}-{number}.1', f'10.0.{domain}.{number + 1}:1',
                   number >= 3, f'd{domain}')
        for domain in range(domains)
        for number in range(per_domain)
    ]
    return {peer.instance: peer for peer in peers}


class PlaceTest(unittest.TestCase):

    def _place_all(self, fleet, hubs=(_HUB,)):
        return {
            peer.address: relays.find_position(peer, fleet, set(hubs))
            for peer in fleet.values()
        }

    def test_no_relays_in_a_small_fleet(self):
        self.assertEqual(set(self._place_all(_make_fleet(3, 10)).values()),
                         {None})

    def test_fanout_and_depth_of_the_tree_are_limited(self):
        for domains, per_domain, most_steps in ((5, 39, 2), (15, 327, 3)):
            with self.subTest(domains * per_domain):
                fleet = _make_fleet(domains, per_domain)
                sample = self._place_all(fleet) if domains == 5 else {
                    peer.address: relays.find_position(peer, fleet, {_HUB})
                    for peer in fleet.values()
                    if peer.domain in ('d0', 'd7')
                }
                child_counts: dict[str, int] = {}
                for address, place in sample.items():
                    if place is None:
                        self.assertEqual(address, _HUB)
                        continue
                    child_counts[place.parents[0]] = child_counts.get(
                        place.parents[0], 0) + 1
                    self.assertNotIn(address, place.parents)
                    steps, parent = 1, place.parents[0]
                    while parent != _HUB:
                        steps, parent = steps + 1, sample[parent].parents[0]
                    self.assertLessEqual(steps, most_steps)
                    self.assertEqual(place.is_relay, steps == 1)
                self.assertLessEqual(child_counts.pop(_HUB),
                                     domains * relays.RELAYS_PER_DOMAIN)
                self.assertLessEqual(max(child_counts.values()),
                                     relays.RELAY_FANOUT)

    def test_relays_are_on_large_machines_of_the_same_domain(self):
        fleet = _make_fleet(5, 39)
        by_address = {peer.address: peer for peer in fleet.values()}
        for address, place in self._place_all(fleet).items():
            if place is None or place.is_relay:
                continue
            parent = by_address[place.parents[0]]
            if parent.domain != 'd0':  # One of its large machines has the hub.
                self.assertFalse(parent.small)
            self.assertEqual(parent.domain, by_address[address].domain)

    def test_restarted_entry_changes_no_other_place(self):
        fleet = _make_fleet(5, 39)
        before = self._place_all(fleet)
        again = ports.Peer('e-1-20.2', '10.0.1.21:1', True, 'd1')
        self.assertEqual(self._place_all(fleet | {again.instance: again}),
                         before)

    def test_children_of_a_failed_relay_are_distributed(self):
        fleet = _make_fleet(5, 39)
        lost = '10.0.1.1:1'
        second_parents = [
            place.parents[1]
            for place in self._place_all(fleet).values()
            if place and not place.is_relay and place.parents[0] == lost
        ]
        self.assertEqual(len(set(second_parents)), 2)

    def test_avoided_parents_are_chosen_last(self):
        place = relays.TreePosition(False, ('a', 'b', 'c'))
        self.assertEqual(subscriptions.choose_parent(place, {}, 100.0), 'a')
        self.assertEqual(
            subscriptions.choose_parent(place, {'a': 200.0}, 100.0), 'b')
        self.assertEqual(subscriptions.choose_parent(place, {'a': 90.0}, 100.0),
                         'a')
        self.assertEqual(
            subscriptions.choose_parent(place, {
                'a': 300.0,
                'b': 200.0,
                'c': 400.0
            }, 100.0), 'b')


class _Peers:
    """Carries calls between entries in one process."""

    def __init__(self):
        self.handlers = {}
        self.failed: set[str] = set()

    def call(self, address, request, unused_timeout_ms, unused_connect_ms=None):
        """Makes a call, as `httpclient.Client` does."""
        if address in self.failed:
            return outcomes.Failed(outcomes.Reason.CONNECT_FAILED, address)
        status, body = self.handlers[address, request.target](request.body)
        return httpclient.Reply(status, {}, body)


class NewsTest(unittest.TestCase):
    """Changes spread from the hub to a relay and from there to an entry."""

    def setUp(self):
        super().setUp()
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.standin.put('op/config', platformhelp.make_configuration(3))
        self.ended = threading.Event()
        self.peers = _Peers()
        self.hub, self.relay, self.entry = (
            self._make(f'e{number}') for number in range(3))
        storecopy.apply_snapshot(self.hub, self.hub.store.load(), False)
        for follower in (self.relay, self.entry):
            storecopy.apply_snapshot(
                follower, follower.store.restore(self.hub.store.dump(0)), True)

    def _make(self, name):
        clock = clocks.make_suspend_clock()
        logger = logs.make_logger('test')
        connected = store.connect_store(self.standin.address, clock, logger)
        forwarder = requests.Forwarder(
            clock, mock.Mock(**{
                'store': connected,
                'settings.link_mbps': 200.0
            }), logger, None)
        reporter = reporting.Reporter(name, forwarder, self.peers, None)
        follower = storecopy.StoreFollower(ports.Peer(name, name + ':1'),
                                           reporter, connected, clock, logger,
                                           mock.Mock(), mock.Mock())
        self.peers.handlers[name + ':1',
                            subscriptions.PATH] = functools.partial(
                                self._answer, follower)
        return follower

    def _answer(self, follower, body):
        reply = subscriptions.handle_news_request(
            follower, reports.decode_news_request(body))
        return (200, reports.encode_news(reply)) if reply else (503, b'')

    def _request_news(self, follower, *parents):
        """Makes an entry request news from parents until the test ends."""
        follower.position = relays.TreePosition(False, parents)
        avoided: dict[str, float] = {}

        def listen():
            while not self.ended.is_set():
                self.ended.wait(
                    subscriptions.request_news(follower, avoided) /
                    clocks.MS_PER_S)

        thread = threading.Thread(target=listen)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.ended.set)

    def _change_configuration(self, version):
        """Changes the configuration; the hub receives it by a watch."""
        self.standin.put('op/config', platformhelp.make_configuration(version))
        found = self.hub.store.watch(self.hub.store_snapshot)
        storecopy.apply_snapshot(self.hub, found, False)
        self._note_known(self.hub, 0.0)

    def _note_known(self, follower, age_ms):
        known_at = follower.clock.now() - age_ms
        staleness.record_known_times(follower.reporter.forwarder.freshness,
                                     known_at, known_at)

    def _await_version(self, follower, version, seconds):
        platformhelp.wait_until(
            lambda: follower.store_snapshot.configuration.version == version,
            seconds)

    def test_change_spreads_immediately_without_store_calls(self):
        self._request_news(self.relay, 'e0:1')
        self._request_news(self.entry, 'e1:1')
        time.sleep(0.6)
        for version in (4, 5):
            calls = self.standin.calls
            self._change_configuration(version)
            began = time.monotonic()
            self._await_version(self.entry, version, 2.0)
            # Requests at the relay and the hub time out after 250 ms each; a
            # change must not be delayed until then.
            self.assertLess(time.monotonic() - began, 0.2)
            self.assertEqual(self.standin.calls, calls + 1)

    def test_ages_add_up_along_the_tree(self):
        self._note_known(self.hub, 900.0)
        self._request_news(self.relay, 'e0:1')
        self._request_news(self.entry, 'e1:1')
        time.sleep(0.8)
        age_ms = requests.find_knowledge_age(self.entry.reporter.forwarder)
        self.assertGreaterEqual(age_ms, 1_600.0)
        self.assertLess(age_ms, 3_500.0)

    def test_another_entry_is_asked_when_the_relay_fails(self):
        self._request_news(self.relay, 'e0:1')
        self._request_news(self.entry, 'e1:1', 'e0:1')
        time.sleep(0.4)
        self.peers.failed.add('e1:1')
        self._change_configuration(4)
        self._await_version(self.entry, 4, 2.0)

    def test_another_entry_is_asked_when_the_relay_is_stale(self):
        # The relay answers but receives no news itself.
        self._request_news(self.entry, 'e1:1', 'e0:1')
        self._change_configuration(4)
        self._await_version(self.entry, 4, 2.0)

    def test_requests_beyond_the_limit_are_answered_immediately(self):
        for _ in range(storecopy.MAX_WAITING_REQUESTS):
            self.hub.wait_slots.acquire()
        asked = reports.NewsRequest('e9', self.hub.store_snapshot.revision)
        began = time.monotonic()
        reply = subscriptions.handle_news_request(self.hub, asked)
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertEqual(reply.changes, b'')

    def test_entry_without_a_copy_responds_with_503(self):
        self.hub.store_snapshot = None
        self.assertEqual(
            self._answer(self.hub,
                         reports.encode_news(reports.NewsRequest('e9', 0)))[0],
            503)

    def test_invalid_messages_decode_to_none(self):
        self.assertIsNone(reports.decode_news_request(b'{"entry": 5}'))
        self.assertIsNone(reports.decode_news_reply(b'{"revision": "x"}'))


class ReadIntervalTest(unittest.TestCase):
    """Leaves don't read the store while relays send them recent news."""

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime(100_000.0)
        clock = self.time.clock()
        forwarder = requests.Forwarder(clock, None, logs.make_logger('test'),
                                       None)
        reporter = reporting.Reporter('e9', forwarder, mock.Mock(), None)
        lost = outcomes.Failed(outcomes.Reason.TIMED_OUT)
        unavailable = mock.Mock(**{'load.return_value': lost})
        self.follower = storecopy.StoreFollower(ports.Peer('e9', 'a:9'),
                                                reporter, unavailable, clock,
                                                mock.Mock(), mock.Mock(),
                                                mock.Mock())
        self.forwarder = forwarder

    def _find_read_interval(self, relay, news_age_ms, reply_age_ms=0.0):
        now = self.time.at
        self.follower.position = relays.TreePosition(relay, ('b:1',))
        self.follower.relay_answered_at = now - reply_age_ms
        self.forwarder.hub_progress = tables.News(1, now - news_age_ms)
        self.forwarder.freshness = staleness.Freshness(
            staleness.Times(now - news_age_ms, now - news_age_ms))
        return following.find_read_interval(self.follower)

    def test_informed_entries_do_not_read_the_store(self):
        for relay in (False, True):
            self.assertEqual(self._find_read_interval(relay, 900.0),
                             following.NO_READ_MS)

    def test_relays_read_the_store_when_the_hub_is_stale(self):
        self.assertEqual(self._find_read_interval(True, 1_300.0),
                         self.forwarder.age_limits.hub_watch_pause_ms)

    def test_few_leaves_read_the_store(self):
        # When all 195 entries read the store themselves while the hub couldn't
        # reach it, each made 15 calls.
        self.assertEqual(self._find_read_interval(False, 1_200.0),
                         following.NO_READ_MS)
        self.forwarder.snapshot = mock.Mock(entries=dict.fromkeys(
            range(195), ports.Peer('e1', 'a:1')),
                                            coordinators={})
        intervals = [
            self._find_read_interval(False, 9_000.0) for _ in range(10_000)
        ]
        # Each leaf checks 20 times per second whether to read.
        self.assertTrue(20 < intervals.count(0.0) < 100)

    def test_leaf_with_stale_news_reads_although_relays_answer(self):
        self.assertEqual(self._find_read_interval(False, 1_301.0), 0.0)

    def test_leaves_do_not_restart_after_an_outage_while_relays_answer(self):
        self._find_read_interval(False, 9_000.0)
        self.follower.start_count = 1
        following.restart_following(self.follower)
        following.restart_if_silent(self.follower)
        self.assertEqual(self.follower.start_count, 1)
        self._find_read_interval(False, 9_000.0, 9_000.0)
        self.forwarder.platform = mock.Mock(**{'settings.seeds': ()})
        following.restart_following(self.follower)
        self.assertEqual(self.follower.start_count, 2)
        self.follower.start_count = 3

    def _end_outage(self, what, news_age_ms):
        """Ends an outage of the store while a leaf's call is in flight.

        Returns:
          The generation of the thread that follows the store then.
        """
        self._find_read_interval(False, news_age_ms)
        self.forwarder.platform = mock.Mock(**{'settings.seeds': ()})
        self.follower.start_count = 1
        self.follower.activity = (what, self.time.at - 1_000.0)
        following.restart_following(self.follower)
        self.addCleanup(setattr, self.follower, 'start_count', 9)
        return self.follower.start_count

    def test_leaf_with_a_hung_watch_reads_again(self):
        # If the reply of a relay without recent news counted, the leaf would
        # wait up to another 3.3 s for the hung watch.
        self.assertEqual(self._end_outage('watch', 9_000.0), 2)
        platformhelp.wait_until(lambda: self.follower.store.load.called, 3.0)

    def test_informed_leaf_abandons_a_hung_watch_and_waits(self):
        # Otherwise its thread couldn't read the store once news stopped.
        self.follower.store_snapshot = ports.StoreSnapshot(
            None, {}, {}, {}, {}, 1)
        self.assertEqual(self._end_outage('watch', 100.0), 2)
        platformhelp.wait_until(lambda: self.follower.activity[0] == 'wait',
                                3.0)
        self.assertFalse(self.follower.store.watch.called)
        self.assertFalse(self.follower.store.load.called)

    def test_abandoned_call_is_logged_with_its_own_activity(self):
        # The activity of the newer thread was logged instead: a wait that had
        # timed out.
        ended = threading.Event()

        def hang():
            ended.wait()
            return outcomes.Failed(outcomes.Reason.TIMED_OUT)

        self.follower.store.load.side_effect = hang
        self.forwarder.platform = mock.Mock(**{'settings.seeds': ()})
        self.follower.start_count = 1
        thread = threading.Thread(target=following.follow,
                                  args=(self.follower, 1))
        thread.start()
        platformhelp.wait_until(lambda: self.follower.activity[0] == 'load',
                                3.0)
        self.time.advance(3_300.0)
        self.follower.start_count = 9
        self.follower.activity = ('wait', self.time.at)
        ended.set()
        thread.join(3.0)
        _, fields = self.follower.logger.info.call_args
        self.assertEqual((fields['what'], fields['took_ms']), ('load', 3_300))

    def test_long_read_continues_while_news_arrive(self):
        # Over a slow link a read takes longer than the time after which a watch
        # counts as hung.
        for what in ('load', 'configuration'):
            self.assertEqual(self._end_outage(what, 100.0), 1)


class HungWatchTest(unittest.TestCase):
    """A watch hangs because the store didn't answer for a while."""

    def test_new_configuration_is_applied_soon_after_the_outage(self):
        standin = platform_store.PlatformStore()
        self.addCleanup(standin.close)
        standin.put('op/config', platformhelp.make_configuration(4))
        clock, logger = clocks.make_suspend_clock(), logs.make_logger('test')
        forwarder = requests.Forwarder(clock,
                                       mock.Mock(**{'settings.seeds': ()}),
                                       logger, None)
        follower = storecopy.StoreFollower(
            ports.Peer('e1', 'a:1'),
            reporting.Reporter('e1', forwarder, mock.Mock(), mock.Mock()),
            store.connect_store(standin.address, clock, logger), clock, logger,
            mock.Mock(), mock.Mock())
        follower.position = relays.TreePosition(False, ('b:1',))
        self.addCleanup(setattr, follower, 'start_count', 9)
        following.restart_following(follower)
        platformhelp.wait_until(lambda: follower.activity[0] == 'wait', 3.0)
        standin.faults.away = 'silent'
        follower.read_now.set()
        platformhelp.wait_until(lambda: follower.activity[0] == 'watch', 3.0)
        # The copy becomes stale; the entry's relay answers without newer data.
        time.sleep(1.3)
        platformhelp.wait_until(
            lambda: follower.activity[0] == 'watch' and clock.now() - follower.
            activity[1] > following.HUNG_WATCH_MS, 3.0)
        standin.faults.away = ''
        standin.put('op/config', platformhelp.make_configuration(6))
        follower.relay_answered_at = clock.now()
        following.restart_following(follower)
        platformhelp.wait_until(
            lambda: follower.store_snapshot.configuration.version == 6, 1.0)


class StartTest(unittest.TestCase):
    """An entry on a small machine starts."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.deployment = platformhelp.Deployment(catalogs=1, orders=1)
        cls.addClassCleanup(cls.deployment.close)

    def test_state_is_fetched_from_an_entry_on_a_larger_machine(self):
        # After a power failure, 195 entries otherwise read the store at the
        # same time with 19 calls each.
        before = self.deployment.store.paths.copy()
        entry = self.deployment.add_entry(link_mbps=10.0)
        entry.await_ready()
        log = entry.read_log()
        self.assertIn('"store_learned"', log)
        pages = self.deployment.store.paths['/-/kv-range']
        self.assertEqual(pages - before['/-/kv-range'], 1)
        status, _, _ = entry.call('/stock/1', key=7)
        self.assertEqual(status, 200)

    def test_single_entry_reads_the_store(self):
        deployment = platformhelp.Deployment(catalogs=1,
                                             orders=1,
                                             link_mbps=10.0)
        self.addCleanup(deployment.close)
        self.assertNotIn('"store_learned"', deployment.entries[0].read_log())


if __name__ == '__main__':
    unittest.main()
