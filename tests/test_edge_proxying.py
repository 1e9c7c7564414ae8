"""Tests of requests that entries pass to other entries."""

import dataclasses
import functools
import socket
import threading
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import listening
from lentilmoor.edge import ports
from lentilmoor.edge import proxying
from lentilmoor.edge import proxytables
from lentilmoor.edge import requests
from lentilmoor.edge import tables
from tests import platformhelp
from tests import waits

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 2_000.0


class _Entry:
    """An entry that takes requests; `outcome` is what becomes of them."""

    def __init__(self, outcome=None):
        self.forwarder = platformhelp.make_proxy_forwarder()
        self.outcome = outcome
        self.taken: list[requests.Request] = []
        with socket.create_server(('127.0.0.1', 0)) as free:
            self.address = f'127.0.0.1:{free.getsockname()[1]}'
        gateway = listening.make_page_gateway(
            {},
            _CLOCK,
            watched_pages={
                proxytables.PATH:
                    functools.partial(proxying.handle_request, self.forwarder,
                                      self._forward)
            })
        self._listener = listening.make_listener(self.address, gateway, (4, 8),
                                                 lambda *a, **k: None, _CLOCK)
        self._listener.prepare()
        threading.Thread(target=self._listener.serve, daemon=True).start()

    def _forward(self, request: requests.Request) -> requests.Outcome:
        self.taken.append(request)
        return self.outcome(request) if callable(self.outcome) else self.outcome

    def close(self) -> None:
        self._listener.stop()


class ProxyCase(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.forwarder = platformhelp.make_proxy_forwarder()
        self.addCleanup(self._close_connections)
        caller, self.caller = socket.socketpair()
        self.addCleanup(caller.close)
        self.addCleanup(self.caller.close)
        self.request = requests.Request(
            ports.CallerHeaders('r1', _TIMEOUT_MS, 7), 'POST', 'h', '/p',
            '/p?q=1', {'Content-Type': 'text/plain'}, b'\x00body',
            exchange.CallerWatch(caller), _CLOCK.now())

    def _close_connections(self) -> None:
        for pool in self.forwarder.proxies.pools.values():
            pool.close()

    def _add_entry(self, outcome=None, domain: str = 'a') -> _Entry:
        entry = _Entry(outcome)
        self.addCleanup(entry.close)
        entries = dict(self.forwarder.snapshot.entries)
        entries[entry.address] = ports.Peer(entry.address,
                                            entry.address,
                                            domain=domain)
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, {}, entries)
        return entry

    def _pass_on(self, idempotent: bool = False) -> requests.Outcome | None:
        return proxying.pass_on(self.forwarder, self.request, idempotent, False,
                                _CLOCK.now() + _TIMEOUT_MS)


class OutcomeTest(ProxyCase):

    def test_whole_request_and_its_answer(self):
        answer = transport.make_complete_answer(200, [('A', 'b')], b'\xffok')
        entry = self._add_entry(answer)
        outcome = self._pass_on()
        self.assertEqual((outcome.status, outcome.headers, outcome.body),
                         (200, [('A', 'b')], b'\xffok'))
        taken = entry.taken[0]
        for field in ('method', 'host', 'path', 'target', 'headers', 'body'):
            self.assertEqual(getattr(taken, field),
                             getattr(self.request, field))
        self.assertEqual((taken.fields.request_id, taken.fields.key), ('r1', 7))
        self.assertLess(taken.fields.caller_timeout_ms, _TIMEOUT_MS)
        self.assertTrue(taken.proxied)

    def test_requests_without_an_id_share_no_connection(self):
        self._add_entry(transport.make_complete_answer(200, [], b'ok'))
        for request_id, opened_count in (('', 1), ('', 2), ('r1', 3), ('r2',
                                                                       3)):
            self.request = dataclasses.replace(self.request,
                                               fields=ports.CallerHeaders(
                                                   request_id, _TIMEOUT_MS, 7),
                                               used_connections=set())
            self.assertEqual(self._pass_on().status, 200)
            pool = list(self.forwarder.proxies.pools.values())[0]
            self.assertEqual(pool.state.opened_count, opened_count)

    def test_connections_to_gone_entries_are_closed(self):
        answer = transport.make_complete_answer(200, [], b'ok')
        for _ in range(3):
            self.forwarder.snapshot = tables.RoutingSnapshot(
                None, {}, {}, {}, {})
            entry = self._add_entry(answer)
            self.assertEqual(self._pass_on().status, 200)
            self.assertEqual(list(self.forwarder.proxies.pools),
                             [entry.address])

    def test_refusal_and_unknown_outcome(self):
        for kind in (outcomes.NotRun, outcomes.Unknown):
            expected = kind(outcomes.Reason.OVERLOADED, 'detail', 120)
            self._add_entry(expected)
            self.assertEqual(self._pass_on(), expected)
            self.forwarder.snapshot.entries.clear()

    def test_order_is_not_sent_again_after_an_entry_failed(self):

        def fail(unused_request) -> None:
            raise RuntimeError('failed after the run')

        entries = [self._add_entry(fail) for _ in range(2)]
        outcome = self._pass_on()
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(sum(len(entry.taken) for entry in entries), 1)

    def test_proxied_request_is_not_passed_on_again(self):
        entry = self._add_entry()
        self.request = mock.Mock(proxied=True)
        self.assertIsNone(self._pass_on())
        self.assertEqual(entry.taken, [])


class ChoiceTest(ProxyCase):

    def test_entry_that_reaches_no_server_is_passed_over(self):
        cut = self._add_entry()
        cut.forwarder.reachability.unreachable_since = 1.0
        other = self._add_entry(transport.make_complete_answer(200, [], b''),
                                'b')
        self.assertEqual(self._pass_on().status, 200)
        self.assertEqual((len(cut.taken), len(other.taken)), (0, 1))
        self.assertEqual(self._pass_on().status, 200)
        self.assertIn(cut.address, self.forwarder.proxies.unwilling_until)

    def test_nobody_is_asked_for_a_while_after_none_accepted(self):
        cut = self._add_entry()
        cut.forwarder.reachability.unreachable_since = 1.0
        self.assertIsNone(self._pass_on())
        cut.forwarder.reachability.unreachable_since = None
        self.forwarder.proxies.unwilling_until.clear()
        self.assertIsNone(self._pass_on())
        self.assertEqual(cut.taken, [])

    def test_entry_accepts_a_limited_number(self):
        entry = self._add_entry()
        entry.forwarder.proxies.accepted_count = proxying.MAX_ACCEPTED
        self.assertIsNone(self._pass_on())
        self.assertEqual(entry.taken, [])


class LossTest(ProxyCase):

    def _add_failing_entries(self) -> list[_Entry]:

        def fail(unused_request):
            raise SystemExit  # cheroot closes the connection.

        return [self._add_entry(fail) for _ in range(2)]

    def test_order_whose_connection_is_lost_is_passed_on_once(self):
        entries = self._add_failing_entries()
        self.assertIsInstance(self._pass_on(), outcomes.Unknown)
        self.assertEqual(sum(len(entry.taken) for entry in entries), 1)

    def test_idempotent_request_is_passed_to_another_entry(self):
        entries = self._add_failing_entries()
        outcome = self._pass_on(idempotent=True)
        self.assertEqual(sum(len(entry.taken) for entry in entries), 2)
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_second_entry_learns_that_the_request_may_have_run(self):
        entries = self._add_failing_entries()
        self._pass_on(idempotent=True)
        taken = sorted((entry.taken[0] for entry in entries),
                       key=lambda request: request.arrived_at)
        self.assertEqual(
            [(request.counted, request.may_have_run) for request in taken],
            [(False, False), (True, True)])

    def test_refusal_after_a_loss_is_no_promise(self):
        lost = self._add_failing_entries()[0]
        refusal = outcomes.NotRun(outcomes.Reason.OVERLOADED, 'detail', 120)
        other = self._add_entry(refusal, 'b')
        del self.forwarder.snapshot.entries[next(
            address for address in self.forwarder.snapshot.entries
            if address not in (lost.address, other.address))]
        outcome = self._pass_on(idempotent=True)
        self.assertEqual((len(lost.taken), len(other.taken)), (1, 1))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_caller_that_leaves_cancels_the_request(self):
        left = threading.Event()

        def wait_for_caller(request):
            waits.wait_for(request.watch.is_disconnected)
            left.set()
            return exchange.CallerDisconnected()

        self._add_entry(wait_for_caller)
        threading.Timer(0.1, self.caller.close).start()
        self.assertIsInstance(self._pass_on(), exchange.CallerDisconnected)
        self.assertTrue(left.wait(5.0))


if __name__ == '__main__':
    unittest.main()
