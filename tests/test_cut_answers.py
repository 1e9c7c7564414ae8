"""Tests that answers which break off, or are no answers, are not passed on."""

import socket
import struct
import threading
import unittest

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor.edge import exchange
from lentilmoor.platform import headerformat

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_MS = 1_000.0
_PARSE = headerformat.make_header_format().parse_answer_headers
_BODY = b'0123456789abcdef'
_OWN_HEADERS = (b'Lentilmoor-Attempt-Id: r1\r\n'
                b'Lentilmoor-Upstream-Seal: 3e1b.07.c9f2\r\n')
_FRAMINGS = {
    'length': b'Content-Length: %d\r\n' % len(_BODY),
    'chunks': b'Transfer-Encoding: chunked\r\n',
    'close': b''
}


def _make_answer(framing: str,
                 framing_first: bool = False,
                 status: bytes = b'200 OK') -> tuple[bytes, bytes]:
    """Returns the head and the body of an answer to request r1."""
    headers = [_OWN_HEADERS, _FRAMINGS[framing]]
    if framing_first:
        headers.reverse()
    body = (b'%x\r\n%s\r\n0\r\n\r\n' %
            (len(_BODY), _BODY) if framing == 'chunks' else _BODY)
    return b'HTTP/1.1 ' + status + b'\r\n' + b''.join(headers) + b'\r\n', body


class CutAnswerCase(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self._listener.close)
        self._pool = connections.Pool(
            f'127.0.0.1:{self._listener.getsockname()[1]}',
            connections.PoolLimits(opens_per_s=1_000.0, burst=1_000.0), _CLOCK)
        self.addCleanup(self._pool.close)
        mine, theirs = socket.socketpair()
        self.addCleanup(mine.close)
        self.addCleanup(theirs.close)
        self._watch = exchange.CallerWatch(mine)

    def _send(self, request_id: str = 'r1') -> exchange.Result:
        outgoing = exchange.OutgoingRequest(request_id, 'GET', '/x', dict, b'',
                                            True,
                                            _CLOCK.now() + _TIMEOUT_MS)
        return exchange.send(self._pool, outgoing, self._watch, _PARSE, _CLOCK)

    def _serve(self, *answers: bytes, resets: bool = False) -> threading.Thread:
        """Answers each request on one connection, then closes it."""

        def serve() -> None:
            connection, _ = self._listener.accept()
            with connection:
                for answer in answers:
                    connection.recv(65_536)
                    connection.sendall(answer)
                if resets:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack('ii', 1, 0))

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        return thread

    def _send_once(self,
                   answer: bytes,
                   resets: bool = False) -> exchange.Result:
        thread = self._serve(answer, resets=resets)
        result = self._send()
        thread.join()
        return result


class CutHeadTest(CutAnswerCase):

    def test_head_cut_at_any_byte_is_no_answer(self):
        for framing in _FRAMINGS:
            for framing_first in (False, True):
                head, _ = _make_answer(framing, framing_first)
                for end in range(1, len(head)):
                    with self.subTest(cut=head[:end][-30:]):
                        self.assertNotIsInstance(self._send_once(head[:end]),
                                                 exchange.ServerAnswer)

    def test_failure_cut_in_its_head_is_no_answer(self):
        head, _ = _make_answer('length', status=b'503 Busy')
        head = head[:-2] + b'Retry-After: 25\r\n\r\n'
        for end in range(1, len(head)):
            with self.subTest(cut=head[:end][-30:]):
                self.assertNotIsInstance(self._send_once(head[:end]),
                                         exchange.ServerAnswer)


class CutBodyTest(CutAnswerCase):

    def test_body_cut_at_any_byte_is_no_answer(self):
        for framing in ('length', 'chunks'):
            head, body = _make_answer(framing)
            for end in range(len(body)):
                with self.subTest(framing=framing, cut=body[:end][-30:]):
                    self.assertNotIsInstance(self._send_once(head + body[:end]),
                                             exchange.ServerAnswer)

    def test_body_that_is_reset_before_its_end_is_no_answer(self):
        head, body = _make_answer('close')
        for end in range(len(body)):
            with self.subTest(cut=body[:end]):
                self.assertNotIsInstance(
                    self._send_once(head + body[:end], resets=True),
                    exchange.ServerAnswer)

    def test_whole_answer_is_passed_on(self):
        for framing in _FRAMINGS:
            with self.subTest(framing=framing):
                result = self._send_once(b''.join(_make_answer(framing)))
                self.assertIsInstance(result, exchange.ServerAnswer)
                self.assertEqual(result.answer.body, _BODY)


class MalformedHeadTest(CutAnswerCase):

    def _assert_refused(self, *lines: bytes) -> None:
        head, body = _make_answer('length')
        for line in lines:
            with self.subTest(line=line):
                self.assertNotIsInstance(
                    self._send_once(head[:-2] + line + b'\r\n\r\n' + body),
                    exchange.ServerAnswer)

    def test_line_that_is_no_header_makes_no_answer(self):
        self._assert_refused(b'\x00\xff odd', b'HTTP/1.1 200 OK', b': none',
                             b' folded', b'A : b', b'A: b\rC: d', b'A: b\nC: d')

    def test_ambiguous_length_makes_no_answer(self):
        self._assert_refused(b'Content-Length: 7',
                             b'Content-Length: %d' % len(_BODY),
                             b'Transfer-Encoding: chunked',
                             b'Transfer-Encoding: gzip')


if __name__ == '__main__':
    unittest.main()
