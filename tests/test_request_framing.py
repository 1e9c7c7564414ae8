"""Tests that only bytes proved to be one whole request are acted on."""

import logging
import re
import socket
import threading
import unittest

from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import shutdowns
from lentilmoor import transport
from lentilmoor.edge import listening
from lentilmoor.platform import headerformat

_CLOCK = clocks.make_suspend_clock()
_TIMEOUT_S = 1.0
_BODY = b'0123456789abcdef'
_FIRST_LINE = b'POST /page HTTP/1.1\r\n'
_HOST = b'Host: jepu9.example\r\n'
_OWN_HEADERS = (b'Lentilmoor-Attempt-Id: r1\r\n'
                b'Lentilmoor-Deadline-Ms: 900\r\n')
_LENGTH = b'Content-Length: 16\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_CHUNKS = b'10\r\n' + _BODY + b'\r\n0\r\n\r\n'
_NEXT_REQUEST = (b'GET /page HTTP/1.1\r\nHost: jepu9.example\r\n'
                 b'Lentilmoor-Attempt-Id: r2\r\n\r\n')

_MALFORMED_HEADERS = {
    'no colon': b'Nonsense\r\n',
    'no name': b': value\r\n',
    'folded': b'X-One: 1\r\n 2\r\n',
    'folded host': b' other.example\r\n',
    'folded by a tab': b'X-One: 1\r\n\t2\r\n',
    'space before the colon': b'X-One : 1\r\n',
    'space before the name': b'\x0bX-One: 1\r\n',
    'line feed alone': b'X-One: 1\n',
    'line feed alone within': b'X-One: 1\nX-Two: 2\r\n',
    'carriage return alone': b'X-One: 1\rX-Two: 2\r\n',
    'nul in a value': b'X-One: a\0b\r\n',
    'control character in a value': b'X-One: a\x07b\r\n',
    'delete in a value': b'X-One: a\x7fb\r\n',
    'nul in a name': b'X-\0One: 1\r\n',
    'separator in a name': b'X(One): 1\r\n',
    'bytes beyond ASCII in a name': b'X-\xc3\xb6: 1\r\n',
    'another host': b'Host: other.example\r\n',
    'the same host': _HOST,
    'length twice': _LENGTH,
    'length twice, different': b'Content-Length: 3\r\n',
    'length and chunks': _CHUNKED,
}
# Each stands in place of the request's Content-Length.
_MALFORMED_FRAMINGS = {
    'signed': b'Content-Length: +16\r\n',
    'negative': b'Content-Length: -16\r\n',
    'underscore': b'Content-Length: 1_6\r\n',
    'list': b'Content-Length: 16, 16\r\n',
    'empty': b'Content-Length:\r\n',
    'vertical tab': b'Content-Length: \x0b16\r\n',
    'not ASCII': 'Content-Length: \u0661\u0666\r\n'.encode(),
    'hexadecimal': b'Content-Length: 0x10\r\n',
    'fraction': b'Content-Length: 16.0\r\n',
    'endless': b'Content-Length: ' + b'9' * 5_000 + b'\r\n',
    'chunks and length': _CHUNKED + _LENGTH,
    'chunked twice': _CHUNKED + _CHUNKED,
    'chunked twice in one': b'Transfer-Encoding: chunked, chunked\r\n',
    'other coding': b'Transfer-Encoding: gzip\r\n',
    'other coding, then chunked': b'Transfer-Encoding: gzip, chunked\r\n',
    'identity': b'Transfer-Encoding: identity\r\n',
    'no coding': b'Transfer-Encoding:\r\n',
    'list with an empty member': b'Transfer-Encoding: chunked,\r\n',
}
_MALFORMED_CHUNKS = {
    'plus': b'+10\r\n',
    'minus': b'-10\r\n',
    'prefix': b'0x10\r\n',
    'underscore': b'1_0\r\n',
    'space before': b' 10\r\n',
    'space after': b'10 \r\n',
    'none': b'\r\n',
    'line feed alone': b'10\n',
    'nul in an extension': b'10;a\0b\r\n',
    'too long': b'0' * 17 + b'10\r\n',
}
_MALFORMED_FIRST_LINES = {
    'space before': b' POST /page HTTP/1.1\r\n',
    'space after': b'POST /page HTTP/1.1 \r\n',
    'two spaces': b'POST  /page HTTP/1.1\r\n',
    'tabs': b'POST\t/page\tHTTP/1.1\r\n',
    'tab in the target': b'POST /pa\tge HTTP/1.1\r\n',
    'nul in the target': b'POST /page?\0 HTTP/1.1\r\n',
    'no target': b'POST HTTP/1.1\r\n',
    'signed version': b'POST /page HTTP/+1.1\r\n',
    'underscore in the version': b'POST /page HTTP/1.0_1\r\n',
    'negative version': b'POST /page HTTP/1.-1\r\n',
    'no version': b'POST /page\r\n',
    'line feed alone': b'POST /page HTTP/1.1\n',
    'no token': b'PO(ST /page HTTP/1.1\r\n',
}


class RequestCase(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.accepted = []
        self.reasons = []
        self.answer = transport.make_complete_answer(200,
                                                     [('Content-Length', '2')],
                                                     b'ok')
        callers = listening.make_caller_gateway(
            headerformat.make_header_format(), self._forward, lambda *_: None,
            shutdowns.RequestCount(), lambda: 1_000_000, _CLOCK,
            bytebudgets.ByteBudget())
        pages = listening.make_page_gateway({'/page': self._handle}, _CLOCK)
        self.listeners = {
            'callers': self._listen(callers),
            'pages': self._listen(pages)
        }

    def _listen(self, gateway) -> listening.Listener:
        listener = listening.make_listener('127.0.0.1:0', gateway, (2, 4),
                                           self._log, _CLOCK)
        listener.prepare()
        threading.Thread(target=listener.serve, daemon=True).start()
        self.addCleanup(listener.stop)
        return listener

    def _forward(self, request):
        self.accepted.append(request.body)
        return self.answer

    def _handle(self, body):
        self.accepted.append(body)
        return 200, b'ok', 'text/plain'

    def _log(self, message='', level=logging.INFO, **_):
        if level >= logging.WARNING:
            self.reasons.append(message)

    def _send(self, listener: str, data: bytes, cut: bool) -> bytes:
        """Returns all that comes back until the connection is closed.

        Args:
          listener: Name of the listener.
          data: What is sent.
          cut: Whether the sending side is closed after the data.
        """
        received = b''
        with socket.create_connection(self.listeners[listener].bind_addr,
                                      _TIMEOUT_S) as connection:
            try:
                connection.sendall(data)
                if cut:
                    connection.shutdown(socket.SHUT_WR)
                while block := connection.recv(65_536):
                    received += block
            except ConnectionError:
                pass  # Closed with unread data.
        return received

    def _check_refusal(self, data: bytes, cut: bool = False) -> None:
        for listener in self.listeners:
            with self.subTest(listener=listener, data=data[:400]):
                self.accepted.clear()
                self.reasons.clear()
                received = self._send(listener, data, cut)
                self.assertEqual(self.accepted, [])
                self.assertRegex(received, rb'\A(HTTP/1\.1 400 |\Z)')
                self.assertEqual(
                    len(re.findall(rb'HTTP/1\.1 [0-9]{3} ', received)),
                    int(received != b''))
                if data:
                    self.assertNotEqual(self.reasons, [])

    def _check_acceptance(self, data: bytes, bodies: list[bytes]) -> None:
        for listener in self.listeners:
            with self.subTest(listener=listener, data=data[:400]):
                self.accepted.clear()
                self.reasons.clear()
                received = self._send(listener, data, True)
                self.assertEqual(self.accepted, bodies)
                self.assertEqual(received.count(b' 200 OK\r\n'), len(bodies))
                self.assertEqual(self.reasons, [])


class CutRequestTest(RequestCase):
    """A request that breaks off was passed to pages with a part of its body."""

    def _check_each_cut(self, request: bytes) -> None:
        for count in range(len(request)):
            self._check_refusal(request[:count], cut=True)
        self._check_acceptance(request, [_BODY])

    def test_body_with_a_length(self):
        self._check_each_cut(_FIRST_LINE + _HOST + _OWN_HEADERS + _LENGTH +
                             b'\r\n' + _BODY)

    def test_body_in_chunks(self):
        self._check_each_cut(_FIRST_LINE + _HOST + _OWN_HEADERS + _CHUNKED +
                             b'\r\n' + _CHUNKS)

    def test_framing_before_the_other_headers(self):
        self._check_each_cut(_FIRST_LINE + _LENGTH + _OWN_HEADERS + _HOST +
                             b'\r\n' + _BODY)


class MalformedRequestTest(RequestCase):
    """Ambiguous heads were forwarded with one of their meanings."""

    def test_headers(self):
        for name, header in _MALFORMED_HEADERS.items():
            with self.subTest(name):
                self._check_refusal(_FIRST_LINE + _HOST + header +
                                    _OWN_HEADERS + _LENGTH + b'\r\n' + _BODY +
                                    _NEXT_REQUEST)

    def test_framings(self):
        for name, framing in _MALFORMED_FRAMINGS.items():
            for body in (_BODY, _CHUNKS):
                with self.subTest(name):
                    self._check_refusal(_FIRST_LINE + _HOST + _OWN_HEADERS +
                                        framing + b'\r\n' + body +
                                        _NEXT_REQUEST)

    def test_chunks_of_an_older_version(self):
        self._check_refusal(b'POST /page HTTP/1.0\r\nConnection: Keep-Alive'
                            b'\r\n' + _HOST + _CHUNKED + b'\r\n' + _CHUNKS +
                            _NEXT_REQUEST)

    def test_chunk_sizes(self):
        for name, size in _MALFORMED_CHUNKS.items():
            with self.subTest(name):
                self._check_refusal(_FIRST_LINE + _HOST + _CHUNKED + b'\r\n' +
                                    size + _BODY + b'\r\n0\r\n\r\n' +
                                    _NEXT_REQUEST)

    def test_chunk_ends(self):
        for body in (b'10\r\n' + _BODY + b'\n0\r\n\r\n',
                     b'10\r\n' + _BODY + b'gh\r\n0\r\n\r\n',
                     b'10\r\n' + _BODY + b'\r\n0\r\nNonsense\r\n\r\n',
                     b'10\r\n' + _BODY + b'\r\n0\r\n' + _NEXT_REQUEST):
            self._check_refusal(_FIRST_LINE + _HOST + _CHUNKED + b'\r\n' +
                                body + _NEXT_REQUEST)

    def test_first_lines(self):
        for name, line in _MALFORMED_FIRST_LINES.items():
            with self.subTest(name):
                self._check_refusal(line + _HOST + _OWN_HEADERS + _LENGTH +
                                    b'\r\n' + _BODY + _NEXT_REQUEST)

    def test_repeated_headers_of_the_platform(self):
        del self.listeners['pages']
        for header in (b'Lentilmoor-Attempt-Id: r2\r\n',
                       b'lentilmoor-deadline-ms: 800\r\n',
                       b'Lentilmoor-Shard-Key: 1\r\n'
                       b'Lentilmoor-Shard-Key: 2\r\n'):
            for framing, body in ((_LENGTH, _BODY), (_CHUNKED, _CHUNKS)):
                self._check_refusal(_FIRST_LINE + _HOST + _OWN_HEADERS +
                                    header + framing + b'\r\n' + body +
                                    _NEXT_REQUEST)


class ProperRequestTest(RequestCase):
    """Requests that only look unusual are answered."""

    def test_bytes_after_a_body_are_the_next_request(self):
        for framing, body in ((_LENGTH, _BODY), (_CHUNKED, _CHUNKS)):
            self._check_acceptance(
                _FIRST_LINE + _HOST + framing + b'\r\n' + body + _NEXT_REQUEST,
                [_BODY, b''])

    def test_body_that_looks_like_a_request_is_a_body(self):
        size = len(_NEXT_REQUEST)
        head = _FIRST_LINE + _HOST
        self._check_acceptance(
            head + b'Content-Length: %d\r\n\r\n' % size + _NEXT_REQUEST,
            [_NEXT_REQUEST])
        self._check_acceptance(
            head + _CHUNKED + b'\r\n%x\r\n' % size + _NEXT_REQUEST +
            b'\r\n0\r\n\r\n', [_NEXT_REQUEST])

    def test_unusual_heads(self):
        for header in (b'Cookie: a=1\r\nCookie: b=2\r\n',
                       b'Accept: text/plain\r\nAccept: text/html\r\n',
                       b'X-One:\r\n', b'X-One:1\r\n', b'x-one: \t 1 \t\r\n',
                       b'X-One: gr\xfc\xdfe\r\n', b'X_One: 1\r\n',
                       b'X-One: a:b\tc\r\n'):
            self._check_acceptance(
                _FIRST_LINE + _HOST + header + _LENGTH + b'\r\n' + _BODY,
                [_BODY])

    def test_unusual_framings(self):
        for framing, body in ((b'content-length:16\r\n',
                               _BODY), (b'Content-Length: 016 \r\n', _BODY),
                              (b'Transfer-Encoding: Chunked\r\n', _CHUNKS),
                              (_CHUNKED, b'8\r\n01234567\r\n008;a="b"\r\n'
                               b'89abcdef\r\n0\r\nX-Sum: 1\r\n\r\n')):
            self._check_acceptance(
                _FIRST_LINE + _HOST + framing + b'\r\n' + body, [_BODY])

    def test_chunks_for_a_page_that_is_unknown(self):
        received = self._send(
            'pages', b'POST /none HTTP/1.1\r\n' + _HOST + _CHUNKED + b'\r\n' +
            _CHUNKS + _NEXT_REQUEST, False)
        self.assertRegex(received, rb'\AHTTP/1\.1 404 ')
        self.assertEqual(self.accepted, [])

    def test_empty_line_before_a_request(self):
        self._check_acceptance(b'\r\n' + _NEXT_REQUEST, [b''])

    def test_older_version(self):
        self._check_acceptance(
            b'POST /page HTTP/1.0\r\n' + _LENGTH + b'\r\n' + _BODY, [_BODY])


if __name__ == '__main__':
    unittest.main()
