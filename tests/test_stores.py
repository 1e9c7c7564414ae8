"""Tests of the adapter of the platform's store."""

import dataclasses
import socket
import threading
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import clocks
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores
from standins import serving
from standins import store
from standins import store_state
from tests import waits

_Reason = outcomes.Reason


def _open(writer='a', state=None):
    clock = clocks.ManualTime(1.0).clock()
    state = state or store_state.StoreState(clock)
    return state, store_state.open_store(state, clock, writer)


def _swap_hopefully(transport, key, value, expected):
    """The naive version: what is not answered was not done."""
    result = transport.write(key, value, expected, 1.0)
    if isinstance(result, outcomes.Failed):
        return outcomes.Failed(_Reason.STORE_UNAVAILABLE)
    return result


def _swap_reading_back(transport, key, value, expected):
    """The next naive version: what cannot be read back was not done."""
    result = transport.write(key, value, expected, 1.0)
    if not isinstance(result, outcomes.Failed):
        return result
    found = transport.read(key, 1.0)
    if isinstance(found, stores.Record) and found.value == value:
        return found
    return stores.Conflict(found)


def _swap_settled(transport, key, value, expected):
    clock = clocks.ManualTime(1.0).clock()
    swap = stores.make_store(transport, clock, 100.0, 'a').swap
    return swap(key, value, expected)


_FAULTS = strategies.lists(strategies.sampled_from(
    ('lost', 'parked', 'answered', 'lost then replaced')),
                           max_size=8)


def _play(swap, faults):
    """Makes one swap under faults; returns its result and the value's life.

    Returns:
      What the swap said, and the versions at which its value was in force
      while it ran and after every late write had arrived.
    """
    clock = clocks.ManualTime(1.0).clock()
    state = store_state.StoreState(clock)
    plain = store_state.open_transport(state)
    plan = iter(faults)

    def write(key, value, expected, limit_ms):
        fault = next(plan, 'answered')
        state.switches.park_writes = int(fault == 'parked')
        state.switches.lose_replies = int(fault.startswith('lost'))
        result = plain.write(key, value, expected, limit_ms)
        if fault == 'lost then replaced':
            state.put(key, b'other', None)
        return result

    result = swap(dataclasses.replace(plain, write=write), 'k', b'mine', 0)
    during = _find_mine(state)
    state.deliver_parked()
    return result, during, _find_mine(state)


def _find_mine(state):
    return [
        record.version
        for record in state.list_history('k')
        if record.value.endswith(b'mine')
    ]


def _find_lie(swap, faults):
    result, during, later = _play(swap, faults)
    if later != during and not _is_open(result):
        return 'came into force after its outcome was told'
    if isinstance(result, stores.Record) and during != [result.version]:
        return 'told as done, but was not'
    if isinstance(result, stores.Conflict):
        if during and not getattr(result, 'maybe_applied', False):
            return 'told as not done, but was'
    if isinstance(result, outcomes.Failed) and during and not _is_open(result):
        return 'told as failed, but was done'
    return None


def _is_open(result):
    return (isinstance(result, outcomes.Failed) and
            result.reason is _Reason.TIMED_OUT)


class SettleTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=300)
    @hypothesis.given(_FAULTS)
    def test_swap_never_lies(self, faults):
        self.assertIsNone(_find_lie(_swap_settled, faults))

    def test_naive_swap_lies_about_lost_reply(self):
        self.assertIsNotNone(_find_lie(_swap_hopefully, ['lost']))

    def test_reading_back_is_fooled_by_late_write(self):
        self.assertIsNone(_find_lie(_swap_reading_back, ['lost']))
        self.assertIsNotNone(_find_lie(_swap_reading_back, ['parked']))
        self.assertIsNotNone(
            _find_lie(_swap_reading_back, ['lost then replaced']))

    def test_lost_reply_is_settled(self):
        state, opened = _open()
        state.switches.lose_replies = 1
        self.assertEqual(opened.swap('k', b'v', 0), stores.Record('k', b'v', 1))
        self.assertEqual(opened.counters.retries, 1)

    def test_late_write_conflicts_with_its_repetition(self):
        state, opened = _open()
        state.switches.park_writes = 1
        self.assertEqual(opened.swap('k', b'v', 0), stores.Record('k', b'v', 1))
        late = state.deliver_parked()
        self.assertEqual([item.status for item in late],
                         [store_state.Status.CONFLICT])
        self.assertEqual(opened.read('k').version, 1)

    def test_never_answered_is_told_as_open(self):
        state, opened = _open()
        state.switches.lose_share = 1.0
        result = opened.swap('k', b'v', 0)
        self.assertEqual(result.reason, _Reason.TIMED_OUT)

    def test_equal_value_of_another_writer_is_a_conflict(self):
        state, first = _open('a')
        _, second = _open('b', state)
        first.swap('k', b'v', 0)
        result = second.swap('k', b'v', 0)
        self.assertEqual(result, stores.Conflict(stores.Record('k', b'v', 1)))

    def test_equal_swaps_of_one_writer_differ(self):
        _, opened = _open()
        opened.swap('k', b'v', 0)
        self.assertIsInstance(opened.swap('k', b'v', 0), stores.Conflict)

    def test_conflict_with_absent_key(self):
        _, opened = _open()
        self.assertEqual(opened.swap('k', b'v', 7), stores.Conflict(None))

    def test_oversize_value_is_refused_before_it_is_sent(self):
        state, opened = _open()
        result = opened.swap('k', b'v' * stores.MAX_VALUE_BYTES, 0)
        self.assertEqual(result.reason, _Reason.INVALID)
        self.assertIn(str(stores.MAX_VALUE_BYTES), result.detail)
        self.assertEqual(state.calls['write'], 0)

    def test_value_without_envelope_is_read_as_it_is(self):
        state, opened = _open()
        state.put('k', b'by hand', None)
        self.assertEqual(opened.read('k').value, b'by hand')
        self.assertEqual(opened.list('')[0].value, b'by hand')
        self.assertEqual(opened.watch('', 0, 0).records[0].value, b'by hand')

    def test_outage_is_told_as_not_done(self):
        state, opened = _open()
        state.switches.outage = True
        for result in (opened.swap('k', b'v', 0), opened.read('k'),
                       opened.list(''), opened.watch('', 0,
                                                     0), opened.instances()):
            self.assertEqual(result.reason, _Reason.STORE_UNAVAILABLE)
        self.assertEqual(opened.counters.failures, 5)
        self.assertEqual(state.calls['write'], 1)


class WireTest(unittest.TestCase):
    """The adapter against the stand-in over HTTP."""

    def setUp(self):
        self.state = store_state.StoreState(clocks.Clock())
        server = self.serve(store.make_handler(self.state))
        self.address = server.address
        self.opened = self.connect(self.address)

    def serve(self, handler):
        server = serving.make_server(handler, 0, 8)
        self.addCleanup(serving.serve_in_thread(server))
        return server

    def connect(self, *addresses, timeout_ms=5_000, clock=None):
        settings = models.StoreSettings(addresses=list(addresses),
                                        timeout_ms=timeout_ms)
        return stores.connect_store(settings, clock or clocks.Clock(), 'a')

    def test_round_trip(self):
        opened = self.opened
        key = 'teams/größe %2F?#'
        value = bytes(range(256)) * 3900
        self.assertEqual(opened.read(key).reason, _Reason.NOT_FOUND)
        first = opened.swap(key, b'', 0)
        second = opened.swap(key, value, first.version)
        self.assertEqual(opened.read(key), stores.Record(key, value, 2))
        self.assertEqual(opened.list('teams/'), (second,))
        self.assertEqual(opened.list('other'), ())
        self.assertEqual(opened.swap(key, b'', 1), stores.Conflict(second))
        self.assertEqual(opened.swap('absent', b'', 1), stores.Conflict(None))

    def test_watch(self):
        opened = self.opened
        opened.swap('a/1', b'x', 0)
        opened.swap('b/1', b'y', 0)
        began = opened.watch('a/', 0, 0)
        self.assertTrue(began.snapshot)
        self.assertEqual([item.key for item in began.records], ['a/1'])
        self.assertEqual(opened.watch('a/', began.revision, 1),
                         stores.Changes(began.revision))
        self.state.delete('a/1', None)
        changed = opened.watch('a/', began.revision, 0)
        self.assertEqual(changed, stores.Changes(3, (), ('a/1',)))

    def test_waiting_watch_is_woken(self):
        found = []
        watcher = threading.Thread(
            target=lambda: found.append(self.opened.watch('k', 1, 20_000)))
        self.state.put('z', b'', None)
        watcher.start()
        waits.wait_for(lambda: self.state.calls['watch'])
        self.state.put('k', b'v', None)
        watcher.join()
        self.assertEqual(found[0].records, (stores.Record('k', b'v', 2),))

    def test_instances(self):
        listed = stores.ListedInstance('e1', '127.0.0.1:1', '127.0.0.1:2', 'r',
                                       'd', stores.InstanceState.LEAVING)
        self.assertIsNone(self.opened.register(listed))
        self.assertEqual(self.opened.instances(), (listed,))

    def test_lost_reply_and_late_write(self):
        self.state.switches.lose_replies = 1
        self.assertEqual(self.opened.swap('k', b'1', 0).version, 1)
        self.state.switches.park_writes = 1
        self.assertEqual(self.opened.swap('k', b'2', 1).version, 2)
        self.state.deliver_parked()
        self.assertEqual(self.opened.read('k').version, 2)

    def test_outage_answered_with_an_error_leaves_a_write_open(self):
        self.state.switches.outage = True
        opened = self.connect(self.address, timeout_ms=300)
        self.assertEqual(opened.swap('k', b'v', 0).reason, _Reason.TIMED_OUT)
        self.assertEqual(opened.read('k').reason, _Reason.STORE_UNAVAILABLE)

    def test_garbage(self):
        self.state.switches.garbage = True
        for result in (self.opened.read('k'), self.opened.swap('k', b'', 0),
                       self.opened.list(''), self.opened.watch('', 0, 0),
                       self.opened.instances()):
            self.assertEqual(result.reason, _Reason.INVALID)

    def test_answers_of_a_wrong_shape(self):
        for body in ('[]', '{"records": [7]}', '{"records": [{"key": "k"}]}',
                     '{"instances": 1, "records": null}',
                     '{"records": [{"key":"k","version":1,"value":"*"}]}'):
            server = self.serve(
                lambda call, body=body: serving.Reply(body=body.encode()))
            opened = self.connect(server.address)
            with self.subTest(body=body):
                self.assertEqual(opened.list('').reason, _Reason.INVALID)
                self.assertEqual(opened.watch('', 0, 0).reason, _Reason.INVALID)
                self.assertEqual(opened.instances().reason, _Reason.INVALID)

    def test_cut_answer_is_no_answer(self):
        server = self.serve(lambda call: serving.Reply(
            200, (('ETag', '"1"'),), b'half', 8, cut=True))
        opened = self.connect(server.address)
        self.assertEqual(opened.read('k').reason, _Reason.STORE_UNAVAILABLE)

    def test_slow_answer_ends_by_the_deadline(self):
        moved = clocks.ManualTime(1.0)

        def trickle():
            for _ in range(1000):
                moved.advance(100.0)
                yield b'x'

        server = self.serve(
            lambda call: serving.Reply(200, (('ETag', '"1"'),), trickle()))
        opened = self.connect(server.address,
                              timeout_ms=500,
                              clock=moved.clock())
        self.assertEqual(opened.read('k').reason, _Reason.TIMED_OUT)
        self.assertLess(moved.at, 100_000)

    def test_next_address_is_tried_if_nothing_was_sent(self):
        with socket.create_server(('127.0.0.1', 0)) as closed:
            dead = f'127.0.0.1:{closed.getsockname()[1]}'
        opened = self.connect(dead, self.address)
        self.assertEqual(opened.swap('k', b'v', 0).version, 1)
        self.assertEqual(opened.counters.retries, 0)
        alone = self.connect(dead)
        self.assertEqual(
            alone.swap('k', b'v', 1).reason, _Reason.STORE_UNAVAILABLE)

    def test_write_that_may_have_been_sent_goes_to_no_second_address(self):
        """Its conflict there would hide that it was in force for a while."""

        def write_and_drop(call):
            self.state.put('k', call.body(), None)
            self.state.put('k', b'other', None)
            return serving.DROPPED

        lossy = self.serve(write_and_drop).address
        result = self.connect(lossy, self.address).swap('k', b'v', 0)
        self.assertEqual(
            result,
            stores.Conflict(stores.Record('k', b'other', 2),
                            maybe_applied=True))

    def test_silent_store_is_left_for_the_next_address(self):
        with socket.create_server(('127.0.0.1', 0)) as silent:
            quiet = f'127.0.0.1:{silent.getsockname()[1]}'
            opened = self.connect(quiet, self.address, timeout_ms=800)
            self.assertEqual(opened.read('k').reason, _Reason.TIMED_OUT)
            self.assertEqual(opened.read('k').reason, _Reason.NOT_FOUND)


if __name__ == '__main__':
    unittest.main()
