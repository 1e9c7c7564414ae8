"""Tests that messages without end are read within their deadline and size."""

import functools
import io
import math
import socket
import threading
import time
import unittest
from unittest import mock

from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import shutdowns
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import keyranges
from lentilmoor.edge import listening
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import headerformat
from lentilmoor.platform import servers
from tests import endlesspeers
from tests import exchangehelp
from tests import waits

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 300.0
_SLACK_MS = 400.0
_FORMAT = headerformat.make_header_format()


class EndlessAnswerCase(unittest.TestCase):

    def _for_each_form(self, check) -> None:
        """Calls `check` with a server of each form and checks its duration."""
        for form in endlesspeers.ANSWERS:
            with self.subTest(form=form):
                server = endlesspeers.Server(form)
                self.addCleanup(server.close)
                started_at = _CLOCK.now()
                check(server)
                self.assertLess(_CLOCK.now() - started_at,
                                _TIMEOUT_MS + _SLACK_MS)
                waits.wait_for(lambda server=server: server.closed_count > 0)


class ServerAnswerTest(EndlessAnswerCase):

    def setUp(self):
        super().setUp()
        entry_socket, self.caller = socket.socketpair()
        self.addCleanup(entry_socket.close)
        self.addCleanup(self.caller.close)
        self.watch = exchange.CallerWatch(entry_socket)

    def _send(self,
              address: str,
              timeout_ms: float = _TIMEOUT_MS,
              memory: bytebudgets.Usage | None = None) -> exchange.Result:
        pool = connections.Pool(address, connections.PoolLimits(), _CLOCK)
        self.addCleanup(pool.close)
        outgoing = exchangehelp.make_request(_CLOCK.now() + timeout_ms,
                                             memory=memory)
        return exchange.send(pool, outgoing, self.watch,
                             _FORMAT.parse_answer_headers, _CLOCK)

    def test_each_form_ends_with_an_unknown_outcome(self):
        self._for_each_form(lambda server: self.assertIsInstance(
            self._send(server.address), outcomes.Unknown))

    def test_caller_that_leaves_ends_the_answer(self):
        for form in ('body', 'slow body', 'slow header'):
            with self.subTest(form=form):
                entry_socket, caller = socket.socketpair()
                self.addCleanup(entry_socket.close)
                self.watch = exchange.CallerWatch(entry_socket)
                server = endlesspeers.Server(form)
                self.addCleanup(server.close)
                threading.Timer(0.1, caller.close).start()
                started_at = _CLOCK.now()
                result = self._send(server.address, 10_000.0)
                self.assertLess(_CLOCK.now() - started_at, 100.0 + _SLACK_MS)
                self.assertIsInstance(result, exchange.CallerDisconnected)
                waits.wait_for(lambda server=server: server.closed_count > 0)

    def test_answers_together_have_a_limited_size(self):
        server = endlesspeers.Server('body')
        self.addCleanup(server.close)
        budget = bytebudgets.ByteBudget(1_000_000)
        usages = [bytebudgets.Usage(budget) for _ in range(4)]
        results = []
        threads = [
            threading.Thread(target=lambda usage=usage: results.append(
                self._send(server.address, 5_000.0, usage))) for usage in usages
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(5.0)
        self.assertEqual([type(result) for result in results],
                         [outcomes.Unknown] * 4)
        self.assertLessEqual(budget.used_bytes, 1_000_000)
        for usage in usages:
            bytebudgets.release(usage)
        self.assertEqual(budget.used_bytes, 0)

    def test_one_answer_has_a_limited_size(self):
        server = endlesspeers.Server('body')
        self.addCleanup(server.close)
        with mock.patch.object(exchange, 'MAX_ANSWER_BYTES', 1_000_000):
            result = self._send(server.address, 5_000.0)
        self.assertIsInstance(result, outcomes.Unknown)
        self.assertIn('1000000', result.detail)

    def test_long_answer_that_ends_is_complete(self):
        body = b'z' * 8_000_000
        forms = {
            'length':
                endlesspeers.OK +
                f'Content-Length: {len(body)}\r\n\r\n'.encode() + body,
            'chunks':
                endlesspeers.OK + b'Transfer-Encoding: chunked\r\n\r\n' +
                b''.join(b'2000\r\n' + body[at:at + 8_192].ljust(8_192, b'z') +
                         b'\r\n'
                         for at in range(0, len(body), 8_192)) + b'0\r\n\r\n',
            'until the close':
                endlesspeers.OK + b'\r\n' + body,
            'after interim answers':
                b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' * 3 +
                endlesspeers.OK +
                f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        }
        for form, data in forms.items():
            with self.subTest(form=form):
                result = self._send(_serve_once(self, data), 10_000.0)
                self.assertIsInstance(result, exchange.ServerAnswer)
                self.assertEqual(result.answer.status, 200)
                self.assertGreaterEqual(len(result.answer.body), len(body))
                self.assertEqual(set(result.answer.body), {ord('z')})


def _serve_once(case: unittest.TestCase, data: bytes) -> str:
    """Returns the address of a server that sends `data` and closes."""
    listener = socket.create_server(('127.0.0.1', 0))
    case.addCleanup(listener.close)

    def answer() -> None:
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(data)

    threading.Thread(target=answer, daemon=True).start()
    return f'127.0.0.1:{listener.getsockname()[1]}'


class CallTest(EndlessAnswerCase):
    """Replies of the store, of other entries and to control calls."""

    def test_each_form_fails(self):
        client = httpclient.Client(_CLOCK, 2)

        def check(server):
            result = client.call(server.address, httpclient.Request('GET', '/'),
                                 _TIMEOUT_MS)
            self.assertIsInstance(result, outcomes.Failed)

        forms = dict(endlesspeers.ANSWERS)
        # A client without request ids takes the first of these as its reply.
        del forms['other answers']
        with mock.patch.object(endlesspeers, 'ANSWERS', forms):
            self._for_each_form(check)

    def test_reply_of_more_than_the_largest_size_fails(self):
        client = httpclient.Client(_CLOCK, 2, (), 1_000_000)
        server = endlesspeers.Server('body')
        self.addCleanup(server.close)
        started_at = _CLOCK.now()
        result = client.call(server.address, httpclient.Request('GET', '/'),
                             10_000.0)
        self.assertIsInstance(result, outcomes.Failed)
        self.assertLess(_CLOCK.now() - started_at, 5_000.0)

    def test_grant_to_a_server_of_each_form_is_unknown(self):
        calls = servers.connect_servers(_CLOCK,
                                        logs.make_logger('a', io.StringIO()))
        forms = dict(endlesspeers.ANSWERS)
        # The status is read from the head of the first of these.
        del forms['other answers']

        def check(server):
            target = tables.Server('s1', 'x', server.address, 'a', 2, False,
                                   0.0, 0.0)
            with mock.patch.object(ownership, 'GRANT_TIMEOUT_MS', _TIMEOUT_MS):
                result = calls.grant(
                    ownership.Grant('x', target,
                                    keyranges.KeyRange(0, 1, 's1', 1), 1,
                                    1_000.0, ''))
            self.assertIs(result.outcome, ownership.CallOutcome.UNKNOWN)

        with mock.patch.object(endlesspeers, 'ANSWERS', forms):
            self._for_each_form(check)


class StreamedAnswerTest(EndlessAnswerCase):
    """Answers that are passed on while they are read."""

    @mock.patch.object(transport, 'MAX_STREAM_MS', _TIMEOUT_MS)
    def test_each_form_ends_in_time(self):

        def check(server):
            pool = connections.Pool(server.address, connections.PoolLimits(),
                                    _CLOCK)
            self.addCleanup(pool.close)
            result = transport.send_request(
                pool,
                transport.OutboundRequest('GET', '/', {}, None, False,
                                          _TIMEOUT_MS, True)).result
            if isinstance(result, transport.Answer):
                with self.assertRaises(transport.TruncatedAnswerError):
                    for _ in result.remaining_chunks:
                        pass
                result.close()
            else:
                self.assertIsInstance(result, outcomes.Unknown)

        forms = dict(endlesspeers.ANSWERS)
        # The first of these is a complete answer.
        del forms['other answers']
        with mock.patch.object(endlesspeers, 'ANSWERS', forms):
            self._for_each_form(check)


class CallerRequestTest(unittest.TestCase):
    """Heads and bodies that callers and other entries send without end."""

    def setUp(self):
        super().setUp()
        self.forwarded = []
        self.memory = bytebudgets.ByteBudget(math.inf)
        answer = transport.make_complete_answer(200, [], b'')

        def forward(request):
            self.forwarded.append(request)
            return answer

        gateway = listening.make_caller_gateway(_FORMAT, forward,
                                                lambda *_: None,
                                                shutdowns.RequestCount(),
                                                lambda: 1_000_000, _CLOCK,
                                                self.memory)
        self.callers = self._listen(gateway)
        self.callers.head_timeout_ms = _TIMEOUT_MS
        self.pages = self._listen(
            listening.make_page_gateway(
                {'/page': lambda body: (200, body, 'text/plain')},
                _CLOCK,
                memory=self.memory))
        self.pages.head_timeout_ms = _TIMEOUT_MS

    def _listen(self, gateway) -> listening.Listener:
        listener = listening.make_listener('127.0.0.1:0', gateway, (2, 4),
                                           lambda *_, **__: None, _CLOCK)
        listener.prepare()
        threading.Thread(target=listener.serve, daemon=True).start()
        self.addCleanup(listener.stop)
        return listener

    def _send_forever(self, listener: listening.Listener, first: bytes,
                      again: bytes, pause_s: float) -> bytes:
        """Returns the answer; fails if the connection stays open."""
        started_at = _CLOCK.now()
        with socket.create_connection(listener.bind_addr) as connection:
            connection.sendall(first)
            connection.settimeout(5.0)
            sender = threading.Thread(target=functools.partial(
                self._send_until_closed, connection, again, pause_s),
                                      daemon=True)
            sender.start()
            answer = b''
            try:
                while data := connection.recv(65_536):
                    answer += data
            except ConnectionError:
                pass
            self.assertLess(_CLOCK.now() - started_at,
                            _TIMEOUT_MS + 2 * _SLACK_MS)
        sender.join(2.0)
        return answer

    def _send_until_closed(self, connection: socket.socket, data: bytes,
                           pause_s: float) -> None:
        try:
            endlesspeers.send_forever(connection, data, pause_s)
        except OSError:
            pass

    def test_slow_head_is_refused_as_not_run(self):
        for listener in (self.callers, self.pages):
            for first in (b'G', b'GET / HTTP/1.1\r\nHost: h\r\nA: '):
                with self.subTest(first=first):
                    answer = self._send_forever(listener, first, b'y', 0.02)
                    self.assertIn(b'408', answer.split(b'\r\n', 1)[0])
        self.assertEqual(self.forwarded, [])

    def test_long_head_is_refused(self):
        for listener in (self.callers, self.pages):
            answer = self._send_forever(listener,
                                        b'GET / HTTP/1.1\r\nHost: h\r\nA: ',
                                        b'y' * 4_096, 0.001)
            if answer:  # A reset may discard it.
                self.assertIn(b'413', answer.split(b'\r\n', 1)[0])
        self.assertEqual(self.forwarded, [])

    def test_slow_body_ends_with_the_time_of_its_caller(self):
        head = (b'POST / HTTP/1.1\r\nHost: h\r\n'
                b'Lentilmoor-Deadline-Ms: 300\r\n')
        for framing, again in ((b'Content-Length: 1000\r\n\r\n',
                                b'x'), (b'Transfer-Encoding: chunked\r\n\r\n',
                                        b'1\r\nx\r\n'),
                               (b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
                                b'A: b\r\n')):
            with self.subTest(framing=framing):
                answer = self._send_forever(self.callers, head + framing, again,
                                            0.02)
                self.assertIn(b'503', answer.split(b'\r\n', 1)[0])
        self.assertEqual(self.forwarded, [])

    def test_body_without_memory_is_refused_as_not_run(self):
        self.memory.max_bytes = 100_000
        answer = self._send_forever(
            self.callers,
            b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n',
            b'x' * 65_536, 0.001)
        if answer:  # A reset may discard it.
            self.assertIn(b'503', answer.split(b'\r\n', 1)[0])
        self.assertEqual(self.forwarded, [])
        waits.wait_for(lambda: self.memory.used_bytes == 0)

    def test_large_message_of_another_entry_is_refused(self):
        for length, status in ((99_999_999_999, b'413'), (200_000, b'503')):
            self.memory.max_bytes = 100_000
            head = f'POST /page HTTP/1.1\r\nContent-Length: {length}\r\n\r\n'
            answer = self._send_forever(self.pages, head.encode(), b'x' * 4_096,
                                        0.01)
            if answer:  # A reset may discard it.
                self.assertIn(status, answer.split(b'\r\n', 1)[0])

    def test_slow_message_of_another_entry_ends(self):
        with mock.patch.object(listening, 'PAGE_BODY_TIMEOUT_MS', _TIMEOUT_MS):
            self._send_forever(
                self.pages,
                b'POST /page HTTP/1.1\r\nContent-Length: 1000\r\n\r\n', b'x',
                0.02)
        waits.wait_for(lambda: self.memory.used_bytes == 0)

    def test_idle_connection_may_send_requests_later(self):
        request = (b'POST / HTTP/1.1\r\nHost: h\r\n'
                   b'Content-Length: 3\r\n\r\nabc')
        with socket.create_connection(self.callers.bind_addr) as connection:
            connection.settimeout(3.0)
            for _ in range(3):
                time.sleep((_TIMEOUT_MS + 100.0) / clocks.MS_PER_S)
                connection.sendall(request)
                self.assertTrue(
                    connection.recv(65_536).startswith(b'HTTP/1.1 200'))
            connection.sendall(request * 2)
            answers = b''
            while answers.count(b'HTTP/1.1 200') < 2:
                answers += connection.recv(65_536)
        self.assertEqual([request.body for request in self.forwarded],
                         [b'abc'] * 5)
        waits.wait_for(lambda: self.memory.used_bytes == 0)


if __name__ == '__main__':
    unittest.main()
