"""Tests that no reader takes a status that HTTP doesn't have for an answer."""

import io
import socket
import unittest

from lentilmoor import clients
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import proxytables
from lentilmoor.edge import tables
from lentilmoor.platform import headerformat
from lentilmoor.platform import servers
from tests import bytepeers
from tests import exchangehelp

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 1_000.0
_OWN_HEADERS = (b'Lentilmoor-Attempt-Id: r1\r\n'
                b'Lentilmoor-Upstream-Seal: 3e1b.07.c9f2\r\n')
_STATUSES = (b'000', b'0', b'00', b'099', b'0200', b'1000', b'20', b'+20',
             b'-20', b'600', b'700', b'999')


class OddStatusTest(unittest.TestCase):
    """Callers got answers with status 600 to 999 as those of their server."""

    def setUp(self):
        super().setUp()
        self._peer = bytepeers.Peer(self)
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        self._watch = exchange.CallerWatch(mine)

    def _make_pool(self) -> connections.Pool:
        pool = connections.Pool(
            self._peer.address,
            connections.PoolLimits(opens_per_s=1_000.0, burst=1_000.0), _CLOCK)
        self.addCleanup(pool.close)
        return pool

    def _for_each_status(self, call, is_refused) -> None:
        """Calls a peer that answers with each status, before a whole answer."""
        for status in _STATUSES:
            for follows in (b'', bytepeers.frame(b'ok', headers=_OWN_HEADERS)):
                self._peer.reply = bytepeers.frame(
                    b'ok', status, headers=_OWN_HEADERS) + follows
                with self.subTest(status=status, follows=bool(follows)):
                    result = call()
                    self.assertTrue(is_refused(result), result)

    def test_answer_of_a_server(self):
        pool = self._make_pool()

        def send() -> exchange.Result:
            outgoing = exchangehelp.make_request(_CLOCK.now() + _TIMEOUT_MS)
            return exchange.send(
                pool, outgoing, self._watch,
                headerformat.make_header_format().parse_answer_headers, _CLOCK)

        self._for_each_status(
            send, lambda result: isinstance(result, exchange.RefusedAnswer))

    def test_streamed_answer(self):
        pool = self._make_pool()
        outbound = transport.OutboundRequest('GET', '/', {}, None, False,
                                             _TIMEOUT_MS, True, True)
        self._for_each_status(
            lambda: transport.send_request(pool, outbound).result,
            lambda result: isinstance(result, outcomes.Unknown))

    def test_reply_of_the_store_or_another_entry(self):
        client = httpclient.Client(_CLOCK, 2)
        self._for_each_status(
            lambda: client.call(self._peer.address,
                                httpclient.Request('GET', '/'), _TIMEOUT_MS),
            lambda result: isinstance(result, outcomes.Failed))

    def test_answer_to_a_control_call(self):
        calls = servers.connect_servers(_CLOCK,
                                        logs.make_logger('a', io.StringIO()))
        server = tables.Server('s1', 'x', self._peer.address, 'a', 2, False,
                               0.0, 0.0)
        keys = keyranges.KeyRange(0, 1, 's1', 1)
        unknown = ownership.CallOutcome.UNKNOWN
        self._for_each_status(
            lambda: calls.grant(
                ownership.Grant('x', server, keys, 1, 1_000.0, '')),
            lambda result: result.outcome is unknown)
        self._for_each_status(
            lambda: calls.release(ownership.Release('x', server, keys)),
            lambda result: result == (unknown, ''))
        self._for_each_status(lambda: calls.probe(ownership.Probe('x', server)),
                              lambda result: result is unknown)

    def test_reply_to_the_command_line(self):
        target = clients.Target(self._peer.address)
        self._for_each_status(
            lambda: clients.call(target, 'POST', '/x'),
            lambda result: isinstance(result, outcomes.Unknown))

    def test_outcome_from_another_entry(self):
        for status in (1, 99, 199):
            data = proxytables.encode(
                proxytables.ProxiedOutcome(status, request_id='r1'))
            self.assertIsNone(proxytables.decode_outcome(data, 'r1'))


if __name__ == '__main__':
    unittest.main()
