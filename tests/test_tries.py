"""Tests of single tries: what ran, what did not, what cannot be told."""

import socket
import unittest

from lentilmoor import adapters
from lentilmoor import bodies
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import routes
from lentilmoor import runs
from lentilmoor import traces
from lentilmoor import transport
from standins import backend
from standins import backend_state
from standins import serving
from tests import pathhelp

_Reason = outcomes.Reason
_LONG = 5 * transport.CHUNK_BYTES
_WHOLE = pathhelp.HEAD + b'Content-Length: 2\r\n\r\nok'


def _order(**fields) -> transport.OutboundRequest:
    return transport.OutboundRequest(
        **{
            'method': 'POST',
            'target': '/x',
            'headers': {},
            'body': b'b',
            'chunked': False,
            'remaining_ms': 20_000.0,
            'idempotent': False
        } | fields)


class TryTest(unittest.TestCase):

    def _serve(self, *steps):
        server = pathhelp.ScriptedServer(*steps)
        self.addCleanup(server.close)
        pool = pathhelp.make_pool(server.address, connect_timeout_ms=20_000.0)
        self.addCleanup(pool.close)
        return server, pool

    def _assert_unknown(self, sent, reason):
        self.assertIsInstance(sent.result, outcomes.Unknown)
        self.assertIs(sent.result.reason, reason)

    def test_a_refused_connection_is_not_run(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
        sent = transport.send_request(pathhelp.make_pool(address), _order())
        self.assertIsInstance(sent.result, outcomes.NotRun)
        self.assertIs(sent.result.reason, _Reason.CONNECT_FAILED)

    def test_a_whole_answer_keeps_its_connection(self):
        server, pool = self._serve(_WHOLE, _WHOLE)
        for reused in (False, True):
            sent = transport.send_request(pool, _order())
            self.assertEqual((sent.result.body, sent.reused), (b'ok', reused))
        self.assertEqual(len(server.accepted), 1)

    def test_a_cut_answer_is_never_whole(self):
        for head in (b'Content-Length: 9\r\n\r\nhalf',
                     b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'):
            _, pool = self._serve(pathhelp.HEAD + head + b'CUT', _WHOLE)
            sent = transport.send_request(pool, _order())
            if isinstance(sent.result, transport.Answer):
                with self.assertRaises(transport.TruncatedAnswerError):
                    list(sent.result.remaining_chunks)
                sent.result.close()
            else:
                self._assert_unknown(sent, _Reason.ANSWER_CUT)
            self.assertFalse(transport.send_request(pool, _order()).reused)

    def test_a_cut_stream_raises_after_what_came(self):
        half = b'x' * (_LONG // 2)
        head = f'Content-Length: {_LONG}\r\n\r\n'.encode()
        _, pool = self._serve(pathhelp.HEAD + head + half + b'CUT')
        answer = transport.send_request(pool, _order()).result
        got = bytearray()
        with self.assertRaises(transport.TruncatedAnswerError):
            for chunk in answer.remaining_chunks:
                self.assertLessEqual(len(chunk), transport.CHUNK_BYTES)
                got += chunk
        self.assertLess(len(got), _LONG)
        answer.close()
        self.assertEqual(pool.state.open_count, 0)

    def test_an_answer_without_length_is_unknown(self):
        _, pool = self._serve(pathhelp.HEAD + b'\r\nwhole?CUT')
        self._assert_unknown(transport.send_request(pool, _order()),
                             _Reason.ANSWER_CUT)

    def test_a_lost_connection_after_sending_is_unknown(self):
        _, pool = self._serve(b'CUT')
        self._assert_unknown(transport.send_request(pool, _order()),
                             _Reason.CONNECTION_LOST)

    def test_after_a_timeout_the_connection_is_not_used_again(self):
        server, pool = self._serve(_WHOLE, None, _WHOLE)
        transport.send_request(pool, _order())
        sent = transport.send_request(pool, _order(remaining_ms=100.0))
        self.assertTrue(sent.reused)
        self._assert_unknown(sent, _Reason.TIMED_OUT)
        after = transport.send_request(pool, _order())
        self.assertEqual((after.result.body, after.reused), (b'ok', False))
        self.assertEqual(len(server.accepted), 2)

    def test_a_body_that_fails_on_the_way_is_unknown(self):

        def chunks():
            yield b'x'
            raise bodies.BodyError('cut')

        _, pool = self._serve(None)
        sent = transport.send_request(pool, _order(body=chunks(), chunked=True))
        self._assert_unknown(sent, _Reason.BAD_REQUEST)
        self.assertEqual(pool.state.open_count, 0)

    def test_head_and_no_content_have_no_body(self):
        head = pathhelp.HEAD + b'Content-Length: 99\r\n\r\n'
        _, pool = self._serve(head, b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual(
            transport.send_request(pool, _order(method='HEAD',
                                                body=None)).result.body, b'')
        after = transport.send_request(pool, _order())
        self.assertEqual((after.result.status, after.reused), (204, True))


class SendTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = clocks.Clock()
        self.state = backend_state.BackendState('a', self.clock,
                                                backend_state.Switches())
        server = backend.make_server(self.state)
        self.addCleanup(serving.serve_in_thread(server))
        self.address = server.address
        self.send = adapters.make_send(
            adapters.Pools(connections.PoolLimits(), self.clock), self.clock)

    def _try(self, **fields):
        settings = pathhelp.make_settings()
        call = pathhelp.make_call(settings, self.clock.now(), **fields)
        body = bodies.Body(call.raw.read, call.raw.length, 1 << 20)
        server = routes.ServerRoute('a', self.address)
        return self.send(routes.Straight(server, 1, 1),
                         runs.Outgoing(call, body, traces.NO_SPAN))

    def test_a_servers_own_refusal_is_not_run(self):
        sent = self._try()
        self.assertIsInstance(sent.result, outcomes.NotRun)
        self.assertIs(sent.result.reason, _Reason.NOT_GRANTED)
        self.assertEqual(self.state.list_runs(), [])

    def test_what_a_server_says_as_an_entry_is_dropped(self):
        self.state.switches.check_grants = False
        sent = self._try()
        self.assertIsInstance(sent.result, transport.Answer)
        names = {name.lower() for name, _ in sent.result.headers}
        self.assertNotIn('lentilmoor-outcome', names)
        self.assertEqual(len(self.state.list_runs()), 1)

    def test_reserved_and_hop_by_hop_headers_do_not_pass(self):
        self.state.switches.check_grants = False
        server = pathhelp.ScriptedServer(_WHOLE)
        self.addCleanup(server.close)
        self.address = server.address
        self._try(connection='X-Private',
                  x_private='1',
                  lentilmoor_relay_secret='s',
                  grant_epoch='99',
                  x_kept='2')
        text = server.requests[0].decode().lower()
        self.assertIn('x-kept: 2', text)
        for name in ('x-private: 1', 'relay-secret', 'grant-epoch: 99'):
            self.assertNotIn(name, text)


if __name__ == '__main__':
    unittest.main()
