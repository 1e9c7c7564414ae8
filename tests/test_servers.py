"""Tests of the adapter of backend servers."""

from concurrent import futures
import json
import socket
import threading
import time
import unittest

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor import servers
from standins import backend
from standins import backend_state
from standins import serving
from tests import waits

_Reason = outcomes.Reason
_LOW = ((0, 99),)
_HIGH = ((100, 199), (300, 399))


class ServersTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(50_000.0)
        self.state = backend_state.BackendState('s1', self.time.clock(),
                                                backend_state.Switches())
        self.server = backend.make_server(self.state, connections=12)
        self.addCleanup(serving.serve_in_thread(self.server))
        self.address = self.server.address
        self.servers = servers.connect_servers(clocks.Clock(), 5_000.0)

    def grant(self, epoch, sequence, owned, echo=None, lifetime=500.0):
        echo = self.time.at if echo is None else echo
        return self.servers.grant(
            self.address,
            servers.GrantOrder('t/s/0', epoch, sequence, echo, lifetime, owned))

    def serve(self, handler):
        server = serving.make_server(handler, 0, 4)
        self.addCleanup(serving.serve_in_thread(server))
        return server.address

    def test_grant_is_accepted_and_held(self):
        self.assertEqual(self.grant(2, 7, _HIGH),
                         servers.GrantAnswer(self.time.at, 0))
        self.time.advance(100.0)
        self.assertEqual(
            self.servers.ask(self.address, None),
            servers.HeldAnswer(self.time.at, 2, 7, 0, _HIGH, 400.0))

    def test_renewal_without_points(self):
        self.grant(2, 7, _LOW)
        self.time.advance(400.0)
        self.assertIsInstance(self.grant(2, 7, None), servers.GrantAnswer)
        held = self.servers.ask(self.address, None)
        self.assertEqual((held.owned, held.remaining_ms), (_LOW, 500.0))

    def test_older_fence_is_a_typed_refusal(self):
        self.grant(2, 7, _LOW)
        refused = servers.GrantRefused(self.time.at, 2, 7)
        self.assertEqual(self.grant(2, 6, _HIGH), refused)
        self.assertEqual(self.grant(1, 9, _HIGH), refused)
        self.assertEqual(self.servers.ask(self.address, None).owned, _LOW)

    def test_delayed_renewal_has_expired_on_arrival(self):
        echo = self.time.at
        self.grant(2, 7, _LOW)
        self.time.advance(600.0)
        self.assertIsInstance(self.grant(2, 7, None, echo), servers.GrantAnswer)
        held = self.servers.ask(self.address, None)
        self.assertEqual(held.remaining_ms, 0.0)

    def test_grant_without_a_clock_is_written_in_standard_json(self):
        bodies = []
        address = self.serve(
            lambda call: bodies.append(call.body()) or serving.DROPPED)
        self.servers.grant(
            address, servers.GrantOrder('t/s/0', 1, 1, float('-inf'), 1.0,
                                        None))
        self.assertEqual(json.loads(bodies[0])['clock_echo_ms'], 0.0)

    def test_first_grant_without_a_clock_has_expired_on_arrival(self):
        self.grant(2, 7, _LOW, echo=float('-inf'))
        held = self.servers.ask(self.address, None)
        self.assertEqual((held.owned, held.remaining_ms), (_LOW, 0.0))

    def test_ask_raises_the_fence_but_revokes_nothing(self):
        self.grant(2, 7, _LOW)
        held = self.servers.ask(self.address, 3)
        self.assertEqual((held.epoch, held.sequence), (3, 0))
        self.assertEqual((held.owned, held.remaining_ms), (_LOW, 500.0))
        self.assertEqual(self.grant(2, 8, _HIGH),
                         servers.GrantRefused(self.time.at, 3, 0))
        self.assertEqual(self.grant(2, 7, None),
                         servers.GrantRefused(self.time.at, 3, 0))
        self.assertIsInstance(self.grant(3, 0, _HIGH), servers.GrantAnswer)

    def test_drain_shows_in_health(self):
        self.assertEqual(self.servers.health(self.address, 5_000.0),
                         servers.Health(serving=True, leaving=False))
        self.assertIsNone(self.servers.drain(self.address))
        self.assertEqual(self.servers.health(self.address, 5_000.0),
                         servers.Health(serving=True, leaving=True))

    def test_health_that_lies(self):
        self.state.switches.health_lie = 'down'
        self.assertFalse(self.servers.health(self.address, 5_000.0).serving)

    def test_load(self):
        self.state.switches.load_lag_ms = 100.0
        run = self.state.start(_make_order('r1', self.time.at))
        self.assertEqual(self.servers.load(self.address),
                         servers.Load(0, 0, 100.0))
        self.time.advance(100.0)
        self.assertEqual(self.servers.load(self.address),
                         servers.Load(1, 0, 100.0))
        self.assertIsNone(self.servers.cancel(self.address, 'r1'))
        self.assertTrue(run.cancelled)

    def test_silent_connections_cost_one_share_of_the_deadline(self):
        control = servers.connect_servers(clocks.Clock(), 1_500.0)
        control.ask(self.address, None)
        old = self.server.list_connections()
        self.assertEqual(self.server.silence_connections(None), len(old))
        self.assertIsInstance(control.ask(self.address, None),
                              servers.HeldAnswer)
        self.assertIsInstance(control.ask(self.address, None),
                              servers.HeldAnswer)
        self.assertEqual(len(self.server.list_connections()), len(old) + 1)

    def test_naive_call_is_lost_on_a_silent_connection(self):
        caller = httpclient.Client(clocks.Clock(), 1)
        request = httpclient.Request('GET', servers.HEALTH_PATH)
        caller.call(self.address, request, 5_000.0)
        self.server.silence_connections(None)
        self.assertEqual(
            caller.call(self.address, request, 100.0).reason, _Reason.TIMED_OUT)

    def test_a_connection_that_does_not_come_about_has_a_limit_of_its_own(self):
        caller = httpclient.Client(clocks.Clock(), 1)
        request = httpclient.Request('GET', servers.HEALTH_PATH)
        with socket.create_server(('127.0.0.1', 0), backlog=0) as full:
            host, port = full.getsockname()
            waiting = socket.create_connection((host, port), 1.0)
            self.addCleanup(waiting.close)
            began = time.monotonic()
            lost = caller.call(f'{host}:{port}', request, 5_000.0, 100.0)
            self.assertLess(time.monotonic() - began, 1.0)
        self.assertEqual(lost.reason, _Reason.CONNECT_FAILED)

    def call_at_once(self, caller, limit_ms):
        """Makes three calls that are all under way at the same time."""
        request = httpclient.Request('GET', servers.HEALTH_PATH)
        before = self.server.list_connections()
        self.state.frozen_until = float('inf')
        with futures.ThreadPoolExecutor(3) as threads:
            calls = [
                threads.submit(caller.call, self.address, request, limit_ms)
                for _ in range(3)
            ]
            waits.wait_for(
                lambda: len(self.server.list_connections()) >= len(before) + 3)
            self.state.frozen_until = 0.0
            return [call.result() for call in calls]

    def test_idle_connections_beside_a_silent_one_are_not_used_again(self):
        caller = httpclient.Client(clocks.Clock(), 4)
        self.call_at_once(caller, 20_000.0)
        self.server.silence_connections(None)
        request = httpclient.Request('GET', servers.HEALTH_PATH)
        lost = caller.call(self.address, request, 100.0)
        self.assertEqual(lost.reason, _Reason.TIMED_OUT)
        replies = self.call_at_once(caller, 20_000.0)
        self.assertEqual([reply.status for reply in replies], [200] * 3)

    def test_connection_that_timed_out_is_not_used_again(self):
        caller = httpclient.Client(clocks.Clock(), 4)
        seen = []

        def handle(call):
            seen.append(call.connection)
            if call.path == '/slow':
                release.wait()
            return serving.Reply()

        release = threading.Event()
        address = self.serve(handle)
        self.addCleanup(release.set)
        caller.call(address, httpclient.Request('GET', '/'), 5_000.0)
        result = caller.call(address, httpclient.Request('GET', '/slow'), 100.0)
        self.assertEqual(result.reason, _Reason.TIMED_OUT)
        result = caller.call(address, httpclient.Request('GET', '/'), 5_000.0)
        self.assertEqual(result.status, 200)
        self.assertIs(seen[0], seen[1])
        self.assertIsNot(seen[1], seen[2])

    def test_refused_connection_is_told_from_a_silent_server(self):
        with socket.create_server(('127.0.0.1', 0)) as silent:
            address = f'127.0.0.1:{silent.getsockname()[1]}'
            self.assertEqual(
                self.servers.health(address, 100.0).reason, _Reason.TIMED_OUT)
        self.assertEqual(
            self.servers.health(address, 100.0).reason, _Reason.CONNECT_FAILED)
        self.assertEqual(
            self.servers.ask(address, None).reason, _Reason.CONNECT_FAILED)

    def test_dropped_call_is_told_as_lost(self):
        address = self.serve(lambda call: serving.DROPPED)
        self.assertEqual(
            self.servers.ask(address, None).reason, _Reason.CONNECTION_LOST)

    def test_garbage(self):
        for body in (b'', b'[]', b'7', b'{"clock_ms": "x"}', b'\xff'):
            address = self.serve(
                lambda call, body=body: serving.Reply(body=body))
            order = servers.GrantOrder('t/s/0', 1, 1, 0.0, 1.0, None)
            with self.subTest(body=body):
                for result in (self.servers.ask(address, None),
                               self.servers.grant(address, order),
                               self.servers.load(address)):
                    self.assertEqual(result.reason, _Reason.INVALID)
                # Any answer proves life.
                self.assertEqual(self.servers.health(address, 5_000.0),
                                 servers.Health(serving=False, leaving=False))

    def test_refusal_of_a_refused_grant_that_is_garbage(self):
        address = self.serve(lambda call: serving.Reply(409, body=b'{}'))
        order = servers.GrantOrder('t/s/0', 1, 1, 0.0, 1.0, None)
        self.assertEqual(
            self.servers.grant(address, order).reason, _Reason.INVALID)


class RefusalTest(unittest.TestCase):

    def test_reasons(self):
        for text, reason in (('shed', _Reason.SERVER_SHED),
                             ('leaving', _Reason.SERVER_SHED),
                             ('not-granted', _Reason.NOT_GRANTED),
                             ('deadline', _Reason.DEADLINE_PASSED),
                             ('cancelled', _Reason.CANCELLED),
                             ('new word', _Reason.SERVER_SHED)):
            headers = [('Server', 'x'), ('not-run', text)]
            self.assertIs(servers.read_refusal(headers, 503), reason)

    def test_success_was_run_whatever_it_says(self):
        self.assertIsNone(servers.read_refusal([('Not-Run', 'shed')], 200))

    def test_plain_error_is_no_refusal(self):
        self.assertIsNone(servers.read_refusal([('Server', 'x')], 503))


def _make_order(request_id, now, key='', point=0):
    return backend_state.Order(request_id, '', key, point, 0, 0, now + 1_000.0)


if __name__ == '__main__':
    unittest.main()
