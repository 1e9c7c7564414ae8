"""Tests of one attempt: what certainly did not run and what may have run.

They guard against a request that may have run and is reported as not run (so
that it is sent again), and against a truncated answer that passes for a
complete one.
"""

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
_LONG_BYTES = 5 * transport.CHUNK_BYTES
_COMPLETE_ANSWER = pathhelp.HEAD + b'Content-Length: 2\r\n\r\nok'


def _make_request(**fields) -> transport.OutboundRequest:
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


class SendRequestTest(unittest.TestCase):

    def _start_server(self, *steps):
        server = pathhelp.ScriptedServer(*steps)
        self.addCleanup(server.close)
        pool = pathhelp.make_pool(server.address, connect_timeout_ms=20_000.0)
        self.addCleanup(pool.close)
        return server, pool

    def _assert_unknown(self, attempt, reason):
        self.assertIsInstance(attempt.result, outcomes.Unknown)
        self.assertIs(attempt.result.reason, reason)

    def test_a_refused_connection_is_not_run(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = f'127.0.0.1:{listener.getsockname()[1]}'
        attempt = transport.send_request(pathhelp.make_pool(address),
                                         _make_request())
        self.assertIsInstance(attempt.result, outcomes.NotRun)
        self.assertIs(attempt.result.reason, _Reason.CONNECT_FAILED)

    def test_after_a_complete_answer_the_connection_is_reused(self):
        server, pool = self._start_server(_COMPLETE_ANSWER, _COMPLETE_ANSWER)
        for reused in (False, True):
            attempt = transport.send_request(pool, _make_request())
            self.assertEqual((attempt.result.body, attempt.reused),
                             (b'ok', reused))
        self.assertEqual(len(server.accepted), 1)

    def test_a_truncated_answer_is_never_complete(self):
        for head in (b'Content-Length: 9\r\n\r\nhalf',
                     b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n'):
            _, pool = self._start_server(pathhelp.HEAD + head + b'CUT',
                                         _COMPLETE_ANSWER)
            attempt = transport.send_request(pool, _make_request())
            if isinstance(attempt.result, transport.Answer):
                with self.assertRaises(transport.TruncatedAnswerError):
                    list(attempt.result.remaining_chunks)
                attempt.result.close()
            else:
                self._assert_unknown(attempt, _Reason.ANSWER_CUT)
            self.assertFalse(
                transport.send_request(pool, _make_request()).reused)

    def test_a_truncated_stream_raises_after_the_received_chunks(self):
        first_half = b'x' * (_LONG_BYTES // 2)
        head = f'Content-Length: {_LONG_BYTES}\r\n\r\n'.encode()
        _, pool = self._start_server(pathhelp.HEAD + head + first_half + b'CUT')
        answer = transport.send_request(pool, _make_request()).result
        received = bytearray()
        with self.assertRaises(transport.TruncatedAnswerError):
            for chunk in answer.remaining_chunks:
                self.assertLessEqual(len(chunk), transport.CHUNK_BYTES)
                received += chunk
        self.assertLess(len(received), _LONG_BYTES)
        answer.close()
        self.assertEqual(pool.state.open_count, 0)

    def test_an_answer_without_length_is_unknown(self):
        _, pool = self._start_server(pathhelp.HEAD + b'\r\nwhole?CUT')
        self._assert_unknown(transport.send_request(pool, _make_request()),
                             _Reason.ANSWER_CUT)

    def test_a_refused_answer_states_its_fault(self):
        head = pathhelp.HEAD + b'Content-Length: 9\r\n'
        for fault, answer in (('malformed-head', b'odd\r\n\r\n'),
                              ('head-cut', head), ('body-cut',
                                                   head + b'\r\nhalf')):
            with self.subTest(fault=fault):
                _, pool = self._start_server(answer + b'CUT')
                attempt = transport.send_request(pool, _make_request())
                self._assert_unknown(attempt, _Reason.ANSWER_CUT)
                self.assertEqual(attempt.result.detail.split(':')[0], fault)

    def test_a_connection_with_bytes_behind_an_answer_is_not_reused(self):
        _, pool = self._start_server(_COMPLETE_ANSWER + _COMPLETE_ANSWER,
                                     _COMPLETE_ANSWER)
        transport.send_request(pool, _make_request())
        self.assertFalse(transport.send_request(pool, _make_request()).reused)

    def test_a_lost_connection_after_sending_is_unknown(self):
        _, pool = self._start_server(b'CUT')
        self._assert_unknown(transport.send_request(pool, _make_request()),
                             _Reason.CONNECTION_LOST)

    def test_after_a_timeout_the_connection_is_not_reused(self):
        server, pool = self._start_server(_COMPLETE_ANSWER, None,
                                          _COMPLETE_ANSWER)
        transport.send_request(pool, _make_request())
        attempt = transport.send_request(pool,
                                         _make_request(remaining_ms=100.0))
        self.assertTrue(attempt.reused)
        self._assert_unknown(attempt, _Reason.TIMED_OUT)
        after = transport.send_request(pool, _make_request())
        self.assertEqual((after.result.body, after.reused), (b'ok', False))
        self.assertEqual(len(server.accepted), 2)

    def test_a_body_that_fails_while_it_is_sent_is_unknown(self):

        def chunks():
            yield b'x'
            raise bodies.BodyError('cut')

        _, pool = self._start_server(None)
        attempt = transport.send_request(
            pool, _make_request(body=chunks(), chunked=True))
        self._assert_unknown(attempt, _Reason.BAD_REQUEST)
        self.assertEqual(pool.state.open_count, 0)

    def test_head_and_no_content_have_no_body(self):
        head = pathhelp.HEAD + b'Content-Length: 99\r\n\r\n'
        _, pool = self._start_server(head, b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual(
            transport.send_request(pool, _make_request(method='HEAD',
                                                       body=None)).result.body,
            b'')
        after = transport.send_request(pool, _make_request())
        self.assertEqual((after.result.status, after.reused), (204, True))


class AdapterTest(unittest.TestCase):

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

    def _send_call(self, **fields):
        settings = pathhelp.make_settings()
        call = pathhelp.make_call(settings, self.clock.now(), **fields)
        body = bodies.Body(call.raw.read, call.raw.length, 1 << 20)
        server = routes.ServerRoute('a', self.address)
        return self.send(routes.Straight(server, 1, 1),
                         runs.Outgoing(call, body, traces.NO_SPAN))

    def test_a_refusal_by_the_server_is_not_run(self):
        attempt = self._send_call()
        self.assertIsInstance(attempt.result, outcomes.NotRun)
        self.assertIs(attempt.result.reason, _Reason.NOT_GRANTED)
        self.assertEqual(self.state.list_runs(), [])

    def test_headers_reserved_for_entries_are_removed_from_answers(self):
        self.state.switches.check_grants = False
        attempt = self._send_call()
        self.assertIsInstance(attempt.result, transport.Answer)
        names = {name.lower() for name, _ in attempt.result.headers}
        self.assertNotIn('lentilmoor-outcome', names)
        self.assertEqual(len(self.state.list_runs()), 1)

    def test_reserved_and_hop_by_hop_headers_are_not_forwarded(self):
        self.state.switches.check_grants = False
        server = pathhelp.ScriptedServer(_COMPLETE_ANSWER)
        self.addCleanup(server.close)
        self.address = server.address
        self._send_call(connection='X-Private',
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
