"""Tests of the answers that the platform's stand-ins break."""

import http.client
import json
import random
import socket
import unittest

from standins import broken_answers
from standins import platform_server
from standins import platform_store

_ANSWER = (b'HTTP/1.1 200 OK\r\nLentilmoor-Upstream-Seal: seal.r2\r\n'
           b'Content-Length: 4\r\n\r\nbody')
_PREVIOUS = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
_HEAD_BYTES = len(_ANSWER) - len(b'body')
_DRAWS = 200


def _draw_all(form: str, seed: int = 1) -> list[tuple[bytes, bool]]:
    drawn = random.Random(seed)
    return [
        broken_answers.make(form, _ANSWER, _PREVIOUS, drawn)
        for _ in range(_DRAWS)
    ]


class MakeTest(unittest.TestCase):

    def test_seed_repeats_all_forms(self):
        for form in broken_answers.FORMS:
            self.assertEqual(_draw_all(form), _draw_all(form))

    def test_head_breaks_off_at_any_byte(self):
        lengths = {len(data) for data, _ in _draw_all(broken_answers.CUT)}
        self.assertGreater(len(lengths), 50)
        for data, closes in _draw_all(broken_answers.CUT):
            self.assertTrue(closes)
            self.assertTrue(data and _ANSWER.startswith(data))
            self.assertLess(len(data), _HEAD_BYTES)

    def test_head_breaks_off_after_the_proof_has_begun(self):
        for data, _ in _draw_all(broken_answers.CUT_AFTER_PROOF):
            self.assertIn(b'Upstream-Seal: s', data)
            self.assertLess(len(data), _HEAD_BYTES)

    def test_line_is_added_to_the_head(self):
        for form in (broken_answers.ODD_LINE, broken_answers.TWO_LENGTHS):
            for data, closes in _draw_all(form):
                self.assertFalse(closes)
                kept = [
                    line for line in data.split(b'\r\n')
                    if line in _ANSWER.split(b'\r\n')
                ]
                self.assertGreaterEqual(len(kept), 5)
                self.assertGreater(len(data), len(_ANSWER))
        for data, _ in _draw_all(broken_answers.TWO_LENGTHS):
            self.assertEqual(data.count(b'Content-Length'), 2)

    def test_previous_answer_comes_first(self):
        for data, closes in _draw_all(broken_answers.LATE_DOUBLE):
            self.assertEqual((data, closes), (_PREVIOUS + _ANSWER, False))


class FaultsTest(unittest.TestCase):

    def test_share_of_answers_is_broken_in_all_forms(self):

        def draw() -> list[str]:
            faults = platform_server.Faults(share=0.25)
            return [faults.take_answer_fault() for _ in range(400)]

        forms = draw()
        self.assertEqual(set(forms), {'', *broken_answers.FORMS})
        self.assertTrue(60 <= 400 - forms.count('') <= 140, forms)
        self.assertEqual(draw(), forms)


class ServerTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.store = platform_store.PlatformStore()
        self.addCleanup(self.store.close)
        self.server = platform_server.PlatformServer(self.store, 'orders')
        self.addCleanup(self.server.close)

    def _connect(self, address: str) -> socket.socket:
        host, port = address.split(':')
        connection = socket.create_connection((host, int(port)), 0.3)
        self.addCleanup(connection.close)
        return connection

    def _exchange(self,
                  connection: socket.socket,
                  path: str,
                  request_id: str = 'r1',
                  body: bytes = b'') -> bytes:
        """Sends a request; returns all that comes within some time."""
        connection.sendall(f'POST {path} HTTP/1.1\r\nHost: x\r\n'
                           f'Lentilmoor-Attempt-Id: {request_id}\r\n'
                           f'Lentilmoor-Expect-Instance: {self.server.id}\r\n'
                           f'Content-Length: {len(body)}\r\n\r\n'.encode() +
                           body)
        received = b''
        try:
            while data := connection.recv(65_536):
                received += data
        except TimeoutError:
            pass
        return received

    def test_late_double_brings_the_answer_before_once_more(self):
        connection = self._connect(self.server.address)
        first = self._exchange(connection, '/x', 'r1')
        self.server.faults.answer = broken_answers.LATE_DOUBLE
        self.server.faults.count = 1
        received = self._exchange(connection, '/x', 'r2')
        self.assertTrue(received.startswith(first))
        self.assertEqual(received.count(b'seal.r2'), 1)
        self.assertEqual(
            self._exchange(connection, '/x', 'r3').count(b'HTTP/1.1'), 1)

    def test_answers_to_control_calls_are_broken(self):
        grant = json.dumps({
            'From': 0,
            'To': 9,
            'fence': 1,
            'HoldMs': 9
        }).encode()
        for path in ('/-/grant', '/-/release'):
            for fault, answers in (('double', 2), (broken_answers.CUT, 0)):
                with self.subTest(path=path, fault=fault):
                    faults = self.server.faults
                    faults.control, faults.control_count = fault, 1
                    received = self._exchange(self._connect(
                        self.server.address),
                                              path,
                                              body=grant)
                    self.assertEqual(received.count(b'\r\n\r\n'), answers)

    def test_answer_to_a_control_call_comes_late_once_more(self):
        connection = self._connect(self.server.address)
        body = json.dumps({'From': 0, 'To': 9, 'fence': 1}).encode()
        first = self._exchange(connection, '/-/release', body=body)
        faults = self.server.faults
        faults.control, faults.control_count = broken_answers.LATE_DOUBLE, 1
        received = self._exchange(connection, '/-/release', body=body)
        self.assertTrue(received.startswith(first))
        self.assertEqual(received.count(b'HTTP/1.1'), 2)

    def test_store_breaks_off_in_a_share_of_its_heads(self):
        self.store.faults.cut_share = 0.5
        whole = 0
        for _ in range(40):
            connection = http.client.HTTPConnection(self.store.address)
            try:
                connection.request('GET', '/-/kv-range?Prefix=')
                response = connection.getresponse()
                whole += 'Content-Length' in response.headers and bool(
                    json.loads(response.read() or b'0'))
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
        self.assertTrue(10 <= whole <= 30, whole)


if __name__ == '__main__':
    unittest.main()
