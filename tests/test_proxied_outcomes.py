"""Tests that only the whole outcome of its own request counts."""

import io
import socket
import unittest
from unittest import mock

import msgspec

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import ports
from lentilmoor.edge import proxying
from lentilmoor.edge import proxytables
from lentilmoor.edge import requests
from lentilmoor.edge import tables
from tests import bytepeers

_CLOCK = clocks.make_suspend_clock()


class ProxiedOutcomeTest(unittest.TestCase):
    """The outcome of another request counted as this one's."""

    def setUp(self):
        super().setUp()
        self._log = io.StringIO()
        platform = mock.Mock()
        platform.settings.control, platform.settings.domain = 'self:1', 'a'
        self._forwarder = requests.Forwarder(_CLOCK, platform,
                                             logs.make_logger('a', self._log),
                                             connections.PoolLimits())
        self._peer = bytepeers.Peer(self, closes=False)
        self._forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, {}, {'e': ports.Peer('e', self._peer.address)})
        caller, self._caller = socket.socketpair()
        self.addCleanup(caller.close)
        self.addCleanup(self._caller.close)
        self._request = requests.Request(ports.CallerHeaders('r1', 1_000.0, 7),
                                         'POST', 'h', '/p', '/p', {}, b'',
                                         exchange.CallerWatch(caller),
                                         _CLOCK.now())
        self.addCleanup(self._close_connections)

    def _close_connections(self) -> None:
        for pool in self._forwarder.proxies.pools.values():
            pool.close()

    def _pass_on(self, body: bytes) -> requests.Outcome | None:
        self._peer.reply = bytepeers.frame(body)
        return proxying.pass_on(self._forwarder, self._request, False, False,
                                _CLOCK.now() + 1_000.0)

    def _check_refused(self, body: bytes) -> None:
        outcome = self._pass_on(body)
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertIn('proxied_outcome_refused', self._log.getvalue())
        self._log.seek(0)
        self._log.truncate()

    def test_outcome_of_another_request_is_refused(self):
        answer = transport.make_complete_answer(200, [], b'x')
        for outcome in (answer, outcomes.NotRun(outcomes.Reason.OVERLOADED,
                                                '')):
            self._check_refused(proxytables.encode_outcome(outcome, 'r0'))

    def test_outcome_cut_at_any_byte_is_refused(self):
        whole = proxytables.encode_outcome(
            transport.make_complete_answer(200, [('A', 'b')], b'x'), 'r1')
        for size in range(len(whole)):
            with self.subTest(size=size):
                self._check_refused(whole[:size])
        self.assertEqual(self._pass_on(whole).body, b'x')

    def test_odd_outcome_is_refused(self):
        for fields in ({}, {
                'status': 70_000
        }, {
                'status': -1
        }, {
                'status': 200,
                'headers': 'x'
        }, {
                'reason': 'overloaded',
                'request_id': 7
        }):
            with self.subTest(fields=fields):
                self._check_refused(msgspec.msgpack.encode(fields))

    def test_outcome_of_an_earlier_release_is_taken(self):
        body = msgspec.msgpack.encode({'status': 200, 'body': b'x'})
        self.assertEqual(self._pass_on(body).body, b'x')


if __name__ == '__main__':
    unittest.main()
