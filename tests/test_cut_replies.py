"""Tests that replies and answers which break off are refused."""

import io
import unittest

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import servers
from tests import bytepeers

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 1_000.0


class ClientTest(unittest.TestCase):
    """A reply that was cut in its head counted as one with an empty body."""

    def _call(self, peer: bytepeers.Peer, single_use: bool = False):
        client = httpclient.Client(_CLOCK, 2, single_use=single_use)
        return client.call(peer.address, httpclient.Request('GET', '/'),
                           _TIMEOUT_MS)

    def test_reply_cut_at_any_byte_is_refused(self):
        peer = bytepeers.Peer(self)
        for framing in ('length', 'chunks'):
            whole = bytepeers.frame(b'0123456789abcdef', framing=framing)
            for size in range(len(whole)):
                peer.reply = whole[:size]
                with self.subTest(framing=framing, size=size):
                    self.assertIsInstance(self._call(peer), outcomes.Failed)
            peer.reply = whole
            self.assertEqual(self._call(peer).body, b'0123456789abcdef')

    def test_reply_that_ends_with_its_connection_is_refused(self):
        peer = bytepeers.Peer(self,
                              bytepeers.frame(b'{"items":[]', framing='close'))
        result = self._call(peer)
        self.assertIs(result.reason, outcomes.Reason.CONNECTION_LOST)
        self.assertEqual(self._call(peer, single_use=True).status, 200)

    def test_connection_with_bytes_behind_a_reply_is_not_used_again(self):
        peer = bytepeers.Peer(self, bytepeers.frame(b'a') * 2, closes=False)
        client = httpclient.Client(_CLOCK, 2)
        for number in range(1, 4):
            reply = client.call(peer.address, httpclient.Request('GET', '/'),
                                _TIMEOUT_MS)
            self.assertEqual(reply.body, b'a')
            self.assertEqual(peer.connections, number)

    def test_sound_connection_is_used_again(self):
        peer = bytepeers.Peer(self, bytepeers.frame(b'a'), closes=False)
        client = httpclient.Client(_CLOCK, 2)
        for _ in range(3):
            client.call(peer.address, httpclient.Request('GET', '/'),
                        _TIMEOUT_MS)
        self.assertEqual(peer.connections, 1)


class ControlCallTest(unittest.TestCase):
    """A release counted as done, with a part of its handover."""

    def setUp(self):
        super().setUp()
        self._calls = servers.connect_servers(
            _CLOCK, logs.make_logger('a', io.StringIO()))

    def _make_calls(self, peer: bytepeers.Peer) -> list[object]:
        """Returns the outcomes of all kinds of calls."""
        server = tables.Server('a', 'stock', peer.address, 'd', 2, True, 0.0,
                               0.0)
        keys = keyranges.KeyRange(0, 9, 'a', 2)
        grant = ownership.Grant('stock', server, keys, 2, 3_000.0, '',
                                _CLOCK.now())
        return [
            self._calls.grant(grant).outcome,
            self._calls.release(ownership.Release('stock', server, keys)),
            self._calls.probe(ownership.Probe('stock', server)),
            self._calls.check(server, '/healthz', _TIMEOUT_MS)
        ]

    def test_answer_cut_at_any_byte_is_no_answer(self):
        unknown = ownership.CallOutcome.UNKNOWN
        peer = bytepeers.Peer(self)
        for framing in ('length', 'chunks', 'close'):
            whole = bytepeers.frame(
                b'ok',
                framing=framing,
                headers=b'Lentilmoor-Handover: 5c0e7a21d94b36f8\r\n')
            needed = len(whole) - (len(b'ok') if framing == 'close' else 0)
            for size in range(needed):
                peer.reply = whole[:size]
                with self.subTest(framing=framing, size=size):
                    self.assertEqual(self._make_calls(peer),
                                     [unknown, (unknown, ''), unknown, False])

    def test_answer_without_a_length_counts(self):
        done = ownership.CallOutcome.DONE
        peer = bytepeers.Peer(
            self,
            bytepeers.frame(
                b'',
                framing='close',
                headers=b'Lentilmoor-Handover: 5c0e7a21d94b36f8\r\n'))
        self.assertEqual(self._make_calls(peer),
                         [done, (done, '5c0e7a21d94b36f8'), done, True])


if __name__ == '__main__':
    unittest.main()
