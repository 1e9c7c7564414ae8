"""Tests that answers which break off, or are no answers, are not passed on."""

from collections.abc import Callable
import contextlib
import re
import socket
import struct
import threading
import unittest

from lentilmoor import answerheads
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor.edge import exchange
from lentilmoor.platform import headerformat
from tests import exchangehelp

_Fault = answerheads.Fault

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

    def _send(
            self,
            request_id: str = 'r1',
            make_headers: Callable[[], dict[str,
                                            str]] = dict) -> exchange.Result:
        outgoing = exchangehelp.make_request(_CLOCK.now() + _TIMEOUT_MS,
                                             request_id, make_headers)
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

    def test_length_of_thousands_of_digits_makes_no_answer(self):
        head = b'HTTP/1.1 200 OK\r\n' + _OWN_HEADERS
        for digits in (b'0' * 5_000, b'0' * 5_000 + b'2', b'9' * 5_000):
            with self.subTest(digits=digits[-3:]):
                result = self._send_once(head + b'Content-Length: ' + digits +
                                         b'\r\n\r\nok')
                self.assertIsInstance(result, exchange.RefusedAnswer)

    def test_ambiguous_length_makes_no_answer(self):
        self._assert_refused(b'Content-Length: 7',
                             b'Content-Length: %d' % len(_BODY),
                             b'Transfer-Encoding: chunked',
                             b'Transfer-Encoding: gzip')


class CodedBodyTest(CutAnswerCase):
    """Callers ask for no coding, so a coded body is not the server's."""

    def test_answer_with_a_content_encoding_is_no_answer(self):
        for status in (b'200 OK', b'404 Not Found', b'503 Busy'):
            for value in (b'gzip', b'identity', b''):
                head, body = _make_answer('length', status=status)
                line = b'content-encoding: ' + value + b'\r\n'
                with self.subTest(status=status, value=value):
                    result = self._send_once(head[:-2] + line + b'\r\n' + body)
                    self.assertIsInstance(result, exchange.RefusedAnswer)
                    self.assertIs(result.fault, _Fault.CODED_BODY)
                    self.assertEqual(self._pool.state.open_count, 0)


class FaultTest(CutAnswerCase):

    def test_refused_answer_states_its_fault(self):
        head, body = _make_answer('length')
        chunks_head, chunks_body = _make_answer('chunks')
        for fault, answer in ((_Fault.HEAD_CUT, head[:-2]),
                              (_Fault.MALFORMED_HEAD, b'odd\r\n\r\n'),
                              (_Fault.AMBIGUOUS_LENGTH,
                               chunks_head.replace(b'chunked', b'gzip')),
                              (_Fault.BODY_CUT,
                               head + body[:-1]), (_Fault.BODY_CUT, head),
                              (_Fault.MALFORMED_CHUNK,
                               chunks_head + chunks_body[:-3]),
                              (_Fault.MALFORMED_CHUNK,
                               chunks_head + b'odd\r\n' + chunks_body)):
            with self.subTest(fault=fault, answer=answer[-30:]):
                result = self._send_once(answer)
                self.assertIsInstance(result, exchange.RefusedAnswer)
                self.assertIs(result.reason, outcomes.Reason.ANSWER_CUT)
                self.assertIs(result.fault, fault)
                self.assertEqual(result.detail.split(':')[0], fault.value)

    def test_connection_that_ends_without_a_byte_is_lost(self):
        result = self._send_once(b'')
        self.assertIs(result.reason, outcomes.Reason.CONNECTION_LOST)


class OtherAnswerTest(CutAnswerCase):
    """Answers that can't be told from those to other requests."""

    _WITHOUT_ID = (b'HTTP/1.1 200 OK\r\nLentilmoor-Upstream-Seal: s\r\n'
                   b'Content-Length: 2\r\n\r\nok')

    def _make_other(self, request_id: bytes) -> bytes:
        return b''.join(_make_answer('length')).replace(b'r1', request_id)

    def _assert_refused(self, result: exchange.Result, fault: str) -> None:
        self.assertIsInstance(result, outcomes.Unknown)
        self.assertIs(result.reason, outcomes.Reason.ANSWER_CUT)
        self.assertEqual(result.detail.split(':')[0], fault)
        self.assertEqual(self._pool.state.open_count, 0)

    def test_late_answer_without_an_id_is_no_answer(self):
        # Its request is unknown, as the connection has carried two.
        self._serve(b''.join(_make_answer('length')), self._WITHOUT_ID)
        self.assertIsInstance(self._send(), exchange.ServerAnswer)
        self._assert_refused(self._send('r2'), 'no-request-id')

    def test_answer_without_an_id_behind_another_one_is_no_answer(self):
        self._assert_refused(
            self._send_once(self._make_other(b'r0') + self._WITHOUT_ID),
            'no-request-id')

    def test_answer_without_an_id_counts_on_a_new_connection(self):
        result = self._send_once(self._WITHOUT_ID)
        self.assertIsInstance(result, exchange.ServerAnswer)
        self.assertEqual(result.answer.body, b'ok')

    def test_only_answers_to_other_requests_are_no_answer(self):
        self._assert_refused(
            self._send_once(
                self._make_other(b'r0') * (exchange.MAX_SKIPPED_ANSWERS + 1)),
            'other-request')

    def test_connection_is_not_used_again_after_an_answer_was_skipped(self):
        result = self._send_once(
            self._make_other(b'r0') + b''.join(_make_answer('length')))
        self.assertIsInstance(result, exchange.ServerAnswer)
        self.assertEqual(result.answer.body, _BODY)
        self.assertEqual(self._pool.state.open_count, 0)

    def test_answer_to_another_request_is_not_that_of_one_without_an_id(self):
        self._serve(self._make_other(b'r1') + self._WITHOUT_ID)
        result = self._send('')
        self.assertIsInstance(result, exchange.ServerAnswer)
        self.assertEqual(result.answer.body, b'ok')

    def test_head_that_breaks_off_before_a_whole_answer_is_no_answer(self):
        whole = b''.join(_make_answer('length'))
        for cut in (b'HTTP/1.1 421 Mis',
                    b'HTTP/1.1 503 Busy\r\nLentilmoor-Not-Executed: 1',
                    b'HTTP/1.1 200 O',
                    b'HTTP/1.1 200 OK\r\nLentilmoor-Upstream-Seal: 3e1b.07'):
            with self.subTest(cut=cut):
                self._assert_refused(self._send_once(cut + whole),
                                     'malformed-head')


class LateCopyTest(CutAnswerCase):
    """Answers are sent again where the next one on their connection is due."""

    def setUp(self):
        super().setUp()
        self._request_count = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._answer,
                                 args=(connection,),
                                 daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
        copy = b''
        with contextlib.suppress(OSError), connection:
            while request := connection.recv(65_536):
                self._request_count += 1
                ids = re.findall(rb'(?i)lentilmoor-attempt-id: .*\r\n', request)
                answer = (b'HTTP/1.1 200 OK\r\n' + b''.join(ids) +
                          b'Lentilmoor-Upstream-Seal: s\r\n'
                          b'Content-Length: 1\r\n\r\n%d' % self._request_count)
                connection.sendall(copy + answer)
                copy = answer

    def _send_twice(self, request_id: str) -> list[bytes]:
        headers = {'Lentilmoor-Attempt-Id': request_id} if request_id else {}
        return [
            self._send(request_id, headers.copy).answer.body for _ in range(2)
        ]

    def test_request_without_an_id_gets_no_copy_of_an_earlier_answer(self):
        self.assertEqual(self._send_twice(''), [b'1', b'2'])

    def test_request_with_the_id_of_an_earlier_one_gets_no_copy(self):
        self.assertEqual(self._send_twice('r1'), [b'1', b'2'])


if __name__ == '__main__':
    unittest.main()
