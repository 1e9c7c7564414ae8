"""Tests that callers can tell where each answer ends, and if it is whole."""

import socket
import threading
import unittest

from lentilmoor import outcomes
from lentilmoor import transport
from tests import test_request_framing

_HEAD_REQUEST = (b'HEAD /page HTTP/1.1\r\nHost: jepu9.example\r\n'
                 b'Lentilmoor-Attempt-Id: r1\r\n\r\n')
_GET_REQUEST = _HEAD_REQUEST.replace(b'HEAD', b'GET', 1)
_LONG_BODY = b'z' * 30_000_000
_STALL_S = 0.3


class AnswerWithoutBodyTest(test_request_framing.RequestCase):
    """Own errors had a body after HEAD, which the next answer began with."""

    def _check_heads(self, listener: str, statuses: list[bytes]) -> None:
        """Sends two requests; checks that only heads come back."""
        received = self._send(listener, _HEAD_REQUEST * 2, True)
        heads = received.split(b'\r\n\r\n')
        self.assertEqual(heads.pop(), b'')
        self.assertEqual([head.split(b' ')[1] for head in heads], statuses)

    def test_own_error(self):
        self.answer = outcomes.NotRun(outcomes.Reason.OVERLOADED, 'full')
        self._check_heads('callers', [b'503', b'503'])

    def test_page(self):
        self._check_heads('pages', [b'200', b'200'])

    def test_answers_of_servers(self):
        for status, headers in ((200, [('Content-Length', '2')]), (200, []),
                                (204, []), (304, [('Content-Length', '2')])):
            with self.subTest(status=status, headers=headers):
                self.answer = transport.make_complete_answer(
                    status, headers, b'')
                self._check_heads('callers', [b'%d' % status] * 2)

    def test_status_that_allows_no_body(self):
        for status in (204, 304):
            with self.subTest(status=status):
                self.answer = transport.make_complete_answer(status, [], b'ok')
                received = self._send('callers', _GET_REQUEST * 2, True)
                self.assertEqual(received.count(b'HTTP/1.1 %d ' % status), 2)
                self.assertNotIn(b'\r\n\r\nok', received)


class HeaderValueTest(test_request_framing.RequestCase):
    """Ids of requests were encoded in UTF-8, so callers didn't know them."""

    def test_values_are_written_as_they_came(self):
        value = b'gr\xfc\xdfe \xc3\xa4'
        self.answer = transport.make_complete_answer(
            200, [('Content-Length', '2'),
                  ('X-One', value.decode('latin-1'))], b'ok')
        received = self._send('callers', _GET_REQUEST, True)
        self.assertIn(b'\r\nX-One: ' + value + b'\r\n', received)

    def test_id_is_written_as_it_came(self):
        received = self._send('callers',
                              _GET_REQUEST.replace(b'Id: r1', b'Id: r\xfc1'),
                              True)
        self.assertIn(b'Id: r\xfc1\r\n', received)


class StalledCallerTest(test_request_framing.RequestCase):
    """A caller that reads too slowly gets no answer that looks whole."""

    def test_connection_is_closed_within_the_answer(self):
        self.answer = transport.make_complete_answer(
            200, [('Content-Length', str(len(_LONG_BODY)))], _LONG_BODY)
        listener = self.listeners['callers']
        listener.timeout = _STALL_S
        with socket.create_connection(listener.bind_addr, 5.0) as connection:
            connection.sendall(_GET_REQUEST * 2)
            threading.Event().wait(4 * _STALL_S)
            received = b''
            try:
                while block := connection.recv(1_000_000):
                    received += block
            except ConnectionError:
                pass
        self.assertEqual(received.count(b'HTTP/1.1 '), 1)
        self.assertLess(len(received), len(_LONG_BODY))
        self.assertEqual(len(self.accepted), 1)


if __name__ == '__main__':
    unittest.main()
