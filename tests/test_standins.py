"""Tests of the stand-ins, so that what is proved against them counts."""

import contextlib
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

import hypothesis
from hypothesis import strategies
import urllib3

from lentilmoor import clocks
from lentilmoor import servers
from lentilmoor import stores
from standins import backend
from standins import backend_state
from standins import grants_held
from standins import serving
from standins import store_state
from tests import waits

_SETTINGS = hypothesis.settings(derandomize=True,
                                deadline=None,
                                database=None,
                                max_examples=200)
_Refusal = backend_state.Refusal
_Ending = backend_state.Ending
_ROOT = str(pathlib.Path(__file__).parents[1])


def _make_grant(epoch, sequence, echo, owned, lifetime=500.0):
    return servers.GrantOrder('t/s/0', epoch, sequence, echo, lifetime, owned)


_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just('offer'), strategies.integers(1, 3),
                          strategies.integers(0, 2), strategies.integers(0, 9),
                          strategies.booleans()),
        strategies.tuples(strategies.just('raise'), strategies.integers(1, 3)),
        strategies.tuples(strategies.just('wait'), strategies.integers(1, 9))))


class HeldGrantTest(unittest.TestCase):

    @_SETTINGS
    @hypothesis.given(_STEPS)
    def test_invariants(self, steps):
        """Fences never go back; points are covered only by a live order."""
        held = grants_held.HeldGrant()
        now = 10.0
        orders = []
        for step in steps:
            fence = held.fence
            if step[0] == 'offer':
                _, epoch, sequence, age, full = step
                owned = ((epoch, sequence + 3),) if full else None
                order = _make_grant(epoch, sequence, now - age, owned, 5.0)
                if held.offer(order, now):
                    orders.append(order)
                    self.assertEqual(held.granted, (epoch, sequence))
                    self.assertEqual(held.owned, ((epoch, sequence + 3),))
                    self.assertGreaterEqual((epoch, sequence), fence)
            elif step[0] == 'raise':
                held.raise_fence(step[1])
                self.assertGreaterEqual(held.fence, (step[1], 0))
            else:
                now += step[1]
            self.assertGreaterEqual(held.fence, fence)
            ends = max((order.clock_echo_ms + 5.0
                        for order in orders
                        if (order.epoch, order.sequence) == held.granted),
                       default=0.0)
            points = [point for point in range(6) if held.covers(point, now)]
            self.assertEqual(bool(points), bool(held.owned) and now < ends)

    def test_naive_rule_brings_an_old_owner_back(self):
        """Without the fence, a late order of an old grantor wins."""

        def covers_after(fenced):
            held = grants_held.HeldGrant()
            held.offer(_make_grant(2, 0, 100.0, ()), 100.0)
            late = _make_grant(1, 5, 90.0, ((0, 9),))
            if fenced:
                held.offer(late, 110.0)
            else:
                held = grants_held.HeldGrant()
                held.offer(late, 110.0)
            return held.covers(3, 110.0)

        self.assertTrue(covers_after(fenced=False))
        self.assertFalse(covers_after(fenced=True))

    def test_raised_fence_does_not_let_old_points_be_renewed(self):
        held = grants_held.HeldGrant()
        held.offer(_make_grant(1, 4, 0.0, ((0, 9),)), 0.0)
        held.raise_fence(2)
        self.assertFalse(held.offer(_make_grant(2, 0, 400.0, None), 400.0))
        self.assertFalse(held.offer(_make_grant(1, 4, 400.0, None), 400.0))
        self.assertTrue(held.covers(3, 499.0))
        self.assertFalse(held.covers(3, 500.0))

    def test_echo_of_an_earlier_run_is_refused(self):
        held = grants_held.HeldGrant()
        order = _make_grant(1, 0, 90_000.0, ((0, 9),))
        self.assertFalse(held.offer(order, 10.0))

    def test_delayed_renewal_does_not_shorten(self):
        held = grants_held.HeldGrant()
        held.offer(_make_grant(1, 0, 100.0, ((0, 9),)), 100.0)
        held.offer(_make_grant(1, 0, 50.0, None), 110.0)
        self.assertEqual(held.expires_at, 600.0)

    def test_other_points_under_the_same_fence_are_refused(self):
        held = grants_held.HeldGrant()
        held.offer(_make_grant(1, 0, 0.0, ((0, 9),)), 0.0)
        self.assertFalse(held.offer(_make_grant(1, 0, 0.0, ((0, 99),)), 0.0))


class BackendStateTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(1_000.0)
        self.state = backend_state.BackendState('s1', self.time.clock(),
                                                backend_state.Switches())

    def order(self, request_id='r', key='', point=0, deadline=None):
        if deadline is None:
            deadline = self.time.at + 60_000.0
        return backend_state.Order(request_id, '', key, point, 1, 1, deadline)

    def start_waiting(self, request_id, **fields):
        """Starts a request in a thread, once all slots are taken."""
        started = []
        queued = self.state.read_load().queued
        thread = threading.Thread(target=lambda: started.append(
            self.state.start(self.order(request_id, **fields))))
        thread.start()
        waits.wait_for(lambda: self.state.read_load().queued > queued)
        return thread, started

    def test_slots_and_queue_in_order(self):
        first = self.state.start(self.order('1'))
        second = self.state.start(self.order('2'))
        third, third_started = self.start_waiting('3')
        fourth, fourth_started = self.start_waiting('4')
        self.state.end(first, _Ending.DONE)
        third.join()
        self.assertEqual(fourth_started, [])
        self.assertEqual(self.state.read_load().running, 2)
        self.state.end(second, _Ending.DONE)
        fourth.join()
        self.state.end(third_started[0], _Ending.DONE)
        self.state.end(fourth_started[0], _Ending.DONE)
        self.assertEqual(
            [run.order.request_id for run in self.state.list_runs()],
            ['1', '2', '3', '4'])
        self.assertEqual(self.state.read_load().running, 0)

    def test_grant_that_ended_while_waiting(self):
        self.state.offer(_make_grant(1, 0, self.time.at, ((0, 9),)))
        runs = [self.state.start(self.order()) for _ in range(2)]
        thread, started = self.start_waiting('late', key='k', point=5)
        self.time.advance(500.0)
        self.state.end(runs[0], _Ending.DONE)
        thread.join()
        self.assertEqual(started, [_Refusal.NOT_GRANTED])
        self.assertIsInstance(self.state.start(self.order()), backend_state.Run)

    def test_refusals(self):
        start = self.state.start
        self.assertEqual(start(self.order(key='k')), _Refusal.NOT_GRANTED)
        self.assertEqual(start(self.order(deadline=self.time.at)),
                         _Refusal.DEADLINE)
        self.state.switches.shed_beyond = 0
        start(self.order())
        start(self.order())
        self.assertEqual(start(self.order()), _Refusal.SHED)
        self.assertEqual(len(self.state.list_runs()), 2)

    def test_deadline_that_passes_while_waiting(self):
        self.state.start(self.order())
        self.state.start(self.order())
        self.assertEqual(
            self.state.start(self.order(deadline=self.time.at + 20.0)),
            _Refusal.DEADLINE)
        self.assertEqual(self.state.read_load().queued, 0)

    def test_cancelled_while_waiting(self):
        self.state.start(self.order())
        self.state.start(self.order())
        thread, started = self.start_waiting('gone')
        self.assertTrue(self.state.cancel('gone'))
        thread.join()
        self.assertEqual(started, [_Refusal.CANCELLED])
        self.assertFalse(self.state.cancel('gone'))

    def test_drain_takes_new_work_for_a_while(self):
        self.state.drain()
        self.time.advance(2_999.0)
        self.state.drain()
        run = self.state.start(self.order())
        self.time.advance(1.0)
        self.assertEqual(self.state.start(self.order()), _Refusal.LEAVING)
        self.state.end(run, _Ending.DONE)
        self.assertEqual(run.ending, _Ending.DONE)

    def test_stray_is_counted_until_it_ends(self):
        self.state.offer(_make_grant(1, 0, self.time.at, ((0, 9),)))
        run = self.state.start(self.order(key='k', point=5))
        self.assertEqual(self.state.count_strays(), 0)
        self.state.offer(_make_grant(1, 1, self.time.at, ((6, 9),)))
        self.assertEqual(self.state.count_strays(), 1)
        self.state.end(run, _Ending.DONE)
        self.assertEqual(self.state.count_strays(), 0)

    def test_slice_is_cold_once_and_again_after_it_came_back(self):

        def is_cold(point):
            run = self.state.start(self.order(key='k', point=point))
            self.state.end(run, _Ending.DONE)
            return run.cold

        def grant(sequence, *owned):
            self.state.offer(_make_grant(1, sequence, self.time.at, owned))

        grant(0, (0, 9), (20, 29))
        self.assertEqual([is_cold(point) for point in (1, 2, 21)],
                         [True, False, True])
        grant(1, (0, 4), (5, 9))
        self.assertEqual([is_cold(point) for point in (1, 8)], [False, False])
        grant(2, (0, 9), (20, 29))
        self.assertEqual([is_cold(point) for point in (1, 21)], [False, True])

    def test_server_that_checks_nothing(self):
        self.state.switches.check_grants = False
        self.assertTrue(self.state.offer(_make_grant(1, 0, 0.0, None)))
        run = self.state.start(self.order(key='k', point=5))
        self.assertIsInstance(run, backend_state.Run)
        self.assertEqual(self.state.count_strays(), 0)


class BackendTest(unittest.TestCase):
    """The backend server over HTTP."""

    def setUp(self):
        switches = backend_state.Switches(service_ms=0.0)
        self.state = backend_state.BackendState('s1', clocks.Clock(), switches)
        self.server = backend.make_server(self.state, connections=6)
        self.addCleanup(serving.serve_in_thread(self.server))
        self.http = urllib3.PoolManager(retries=False, timeout=20.0)

    def ask(self, target, method='GET', **fields):
        return self.http.request(method,
                                 f'http://{self.server.address}{target}',
                                 **fields)

    def test_echo_and_journal(self):
        headers = {
            'Request-Id': 'r1',
            'Idempotency-Key': 'i1',
            'Grant-Epoch': '3',
            'Grant-Sequence': '4'
        }
        reply = self.ask('/a', 'POST', body=b'x' * 100_000, headers=headers)
        self.assertEqual(reply.json()['bytes'], 100_000)
        run, = self.ask('/control/journal').json()
        self.assertEqual((run['request_id'], run['idempotency_key'],
                          run['epoch'], run['sequence'], run['ending']),
                         ('r1', 'i1', 3, 4, 'done'))
        self.assertLessEqual(run['started_ms'], run['ended_ms'])

    def test_point_that_is_not_granted(self):
        reply = self.ask('/a', headers={'Key': 'k', 'Key-Point': '7'})
        self.assertEqual((reply.status, reply.headers['Not-Run']),
                         (421, 'not-granted'))
        self.assertEqual(self.ask('/control/journal').json(), [])

    def test_deadline_that_has_passed(self):
        reply = self.ask('/a', headers={'Deadline-Ms': '0'})
        self.assertEqual((reply.status, reply.headers['Not-Run']),
                         (504, 'deadline'))

    def test_cut_answers(self):
        for target in ('/a?cut=1', '/a?cut=1&bytes=300000'):
            with self.assertRaises(urllib3.exceptions.ProtocolError):
                self.ask(target)
        self.assertEqual(len(self.ask('/a?bytes=300000').data), 300_000)
        self.assertEqual([run.ending for run in self.state.list_runs()],
                         [_Ending.CUT, _Ending.CUT, _Ending.DONE])

    def test_bad_requests(self):
        self.assertEqual(self.ask('/a', headers={'Key-Point': 'x'}).status, 400)
        self.assertEqual(self.ask('/control/none').status, 404)
        for target in ('grant', 'cancel', 'switches', 'freeze'):
            reply = self.ask(f'/control/{target}', 'POST', body=b'{"x": 1}')
            self.assertEqual(reply.status, 400, target)
            reply = self.ask(f'/control/{target}', 'POST', body=b'[')
            self.assertEqual(reply.status, 400, target)

    def test_cancelled_while_running(self):
        replies = []
        thread = threading.Thread(target=lambda: replies.append(
            self.ask('/a?ms=60000', headers={'Request-Id': 'r1'})))
        thread.start()
        waits.wait_for(self.state.list_runs)
        reply = self.ask('/control/cancel', 'POST', json={'request_id': 'r1'})
        self.assertTrue(reply.json()['cancelled'])
        thread.join()
        self.assertEqual(replies[0].status, 499)
        self.assertEqual(self.state.list_runs()[0].ending, _Ending.CANCELLED)

    def test_silent_connections(self):
        self.ask('/a')
        other = urllib3.PoolManager(retries=False, timeout=20.0)
        reply = other.request('POST',
                              f'http://{self.server.address}/control/silence')
        self.assertEqual(reply.json(), {'silenced': 1})
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self.ask('/a', timeout=0.1)
        self.assertEqual(self.ask('/a').status, 200)

    def test_frozen_server_answers_nothing(self):
        self.state.frozen_until = float('inf')
        for target in ('/a', '/control/health'):
            with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
                self.ask(target, timeout=0.1)
        self.state.frozen_until = 0.0
        self.assertEqual(self.ask('/control/health').status, 200)

    def test_connections_beyond_the_limit_are_closed(self):
        address = self.server.bind_addr[:2]
        held = [socket.create_connection(address) for _ in range(6)]
        for connection in held:
            self.addCleanup(connection.close)
        waits.wait_for(lambda: len(self.server.list_connections()) == 6)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.ask('/a')
        held.pop().close()
        waits.wait_for(lambda: len(self.server.list_connections()) < 6)
        self.assertEqual(self.ask('/a').status, 200)


@contextlib.contextmanager
def _run_program(module, *arguments):
    """Runs a program; yields its process, its address and its folder."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        command = [sys.executable, '-m', module, '--port_file=port']
        with subprocess.Popen([*command, *arguments],
                              cwd=folder,
                              env={'PYTHONPATH': _ROOT}) as process:
            try:
                waits.wait_for(lambda: process.poll() is not None or
                               (folder / 'port').exists())
                yield process, (folder / 'port').read_text('utf-8'), folder
            finally:
                process.kill()


class ProgramTest(unittest.TestCase):
    """The programs as processes."""

    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, timeout=20.0)

    def test_journal_outlives_a_crash(self):
        with _run_program('standins.backend',
                          '--journal_file=journal') as (process, address,
                                                        folder):
            self.http.request('GET', f'http://{address}/a')
            with self.assertRaises(urllib3.exceptions.ProtocolError):
                self.http.request('GET',
                                  f'http://{address}/a?crash=1',
                                  headers={'Request-Id': 'r2'})
            self.assertEqual(process.wait(), 1)
            lines = (folder / 'journal').read_text('utf-8').splitlines()
        endings = [json.loads(line)['ending'] for line in lines]
        self.assertEqual(endings, ['running', 'done', 'running'])
        self.assertEqual(json.loads(lines[-1])['request_id'], 'r2')

    def test_store(self):
        with _run_program('standins.store') as (_, address, _):
            reply = self.http.request('PUT',
                                      f'http://{address}/v1/kv/k',
                                      body=b'v',
                                      headers={'If-None-Match': '*'})
            self.assertEqual((reply.status, reply.headers['ETag']),
                             (200, '"1"'))
            calls = self.http.request('GET', f'http://{address}/v1/calls')
            self.assertEqual(calls.json(), {'write': 1})


class StoreStateTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(1.0)
        self.state = store_state.StoreState(self.time.clock())

    def test_version_never_comes_back(self):
        first = self.state.put('k', b'', 0).entry.version
        self.state.delete('k', first)
        second = self.state.put('k', b'', 0).entry.version
        self.assertGreater(second, first)
        self.assertEqual(
            self.state.delete('k', first).status, store_state.Status.CONFLICT)

    def test_lease_takes_its_keys_along(self):
        lease = self.state.grant_lease(100.0)
        self.state.put('k', b'', 0, lease.id)
        self.time.advance(99.0)
        self.assertIsNotNone(self.state.keep_alive(lease.id))
        self.time.advance(99.0)
        self.assertIsNotNone(self.state.get('k'))
        self.time.advance(1.0)
        self.assertIsNone(self.state.get('k'))
        self.assertEqual(self.state.changes('', 1).deleted, ('k',))
        self.assertIsNone(self.state.keep_alive(lease.id))
        self.assertEqual(
            self.state.put('k', b'', 0, lease.id).status,
            store_state.Status.NO_LEASE)

    def test_history_that_no_longer_reaches_back_is_a_snapshot(self):
        self.state.put('gone', b'', None)
        self.state.delete('gone', None)
        for number in range(5_000):
            self.state.put('k', str(number).encode(), None)
        self.assertTrue(self.state.changes('', 1).snapshot)
        self.assertTrue(self.state.changes('', 9_999).snapshot)
        later = self.state.changes('', 5_000)
        self.assertEqual((later.snapshot, len(later.records)), (False, 1))

    def test_value_size(self):
        limit = store_state.MAX_VALUE_BYTES
        self.assertEqual(
            self.state.put('k', b'v' * limit, 0).status,
            store_state.Status.DONE)
        self.assertEqual(
            self.state.put('k', b'v' * (limit + 1), 1).status,
            store_state.Status.TOO_LARGE)

    def test_instance_list_lags(self):
        listed = stores.ListedInstance('e1', 'a', 'b', 'r', 'd')
        self.state.switches.list_lag_ms = 100.0
        self.state.register(listed)
        self.time.advance(99.0)
        self.assertEqual(self.state.instances(), ())
        self.state.unregister('e1')
        self.time.advance(1.0)
        self.assertEqual(self.state.instances(), (listed,))
        self.time.advance(99.0)
        self.assertEqual(self.state.instances(), ())


if __name__ == '__main__':
    unittest.main()
