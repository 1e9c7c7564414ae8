"""Tests that a second answer to one control call never counts as the next's."""

import io
import json
import socket
import threading
import time
import unittest

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import servers

_CLOCK = clocks.make_suspend_clock()
_Outcome = ownership.CallOutcome


def _read_request(reader) -> dict[str, str] | None:
    """Returns the headers of a request, and its body as 'body'."""
    if not reader.readline():
        return None
    headers = {}
    while (line := reader.readline()) not in (b'\r\n', b''):
        name, _, value = line.decode().partition(':')
        headers[name.strip().lower()] = value.strip()
    headers['body'] = reader.read(int(headers.get('content-length', '0')))
    return headers


class _Server:
    """A server that may send each answer again, at once or late.

    Attributes:
      doubles: 'at-once': a second copy follows each answer; 'late': it comes
        when the next call arrives, before that one's answer; '': never.
      heads: The headers of each call, by name in lower case.
      statuses: Status of each grant that arrives; 200 after the last.
      delay_s: Time before the answer.
      connections: Connections that were opened.
      bodies: Bodies of the calls.
    """

    def __init__(self, test: unittest.TestCase, doubles: str):
        self.doubles = doubles
        self.heads: list[dict[str, str]] = []
        self.statuses: list[int] = []
        self.delay_s = 0.0
        self.connections, self.bodies = 0, []
        self._calls = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        test.addCleanup(self._listener.close)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve,
                             args=(connection,),
                             daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        late = b''
        with connection, connection.makefile('rb') as reader:
            try:
                while (call := _read_request(reader)) is not None:
                    self.heads.append(call)
                    self.bodies.append(call['body'])
                    connection.sendall(late)
                    time.sleep(self.delay_s)
                    answer = self._make_answer()
                    at_once = self.doubles == 'at-once'
                    connection.sendall(answer * (2 if at_once else 1))
                    late = answer if self.doubles == 'late' else b''
            except OSError:
                pass

    def _make_answer(self) -> bytes:
        self._calls += 1
        status = self.statuses.pop(0) if self.statuses else 200
        return (f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n'
                f'Lentilmoor-Handover: token{self._calls}\r\n\r\n').encode()


class ForeignAnswerCase(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self._log = io.StringIO()
        self._calls = servers.connect_servers(_CLOCK,
                                              logs.make_logger('a', self._log))

    def _release(self, server: _Server, fence: int) -> tuple[_Outcome, str]:
        return self._calls.release(
            ownership.Release('stock', _describe(server),
                              keyranges.KeyRange(0, 9, 'a', fence)))

    def _grant(self,
               server: _Server,
               fence: int,
               link: int | None = None) -> ownership.GrantResult:
        return self._calls.grant(
            ownership.Grant('stock', _describe(server),
                            keyranges.KeyRange(0, 9, 'a', fence), fence,
                            3_000.0, '', _CLOCK.now(), link))


def _describe(server: _Server) -> tables.Server:
    return tables.Server('a', 'stock', server.address, 'd', 2, True, 0.0, 0.0)


class DoubledReleaseTest(ForeignAnswerCase):
    """A release counted as answered at once, with the handover of another."""

    def _check_tokens(self, doubles: str) -> None:
        server = _Server(self, doubles)
        for number in range(1, 6):
            self.assertEqual(self._release(server, number),
                             (_Outcome.DONE, f'token{number}'))

    def test_answer_doubled_at_once(self):
        self._check_tokens('at-once')

    def test_copy_that_comes_when_the_next_release_arrives(self):
        self._check_tokens('late')

    def test_probe_is_not_answered_by_an_earlier_release(self):
        server = _Server(self, 'late')
        self._release(server, 1)
        server.statuses = [503]
        probe = ownership.Probe('stock', _describe(server))
        self.assertEqual(self._calls.probe(probe), _Outcome.DECLINED)

    def test_only_a_success_hands_over(self):
        server = _Server(self, '')
        server.statuses = [503]
        self.assertEqual(self._release(server, 1), (_Outcome.DECLINED, ''))


class DoubledGrantTest(ForeignAnswerCase):
    """A grant counted as accepted, or refused, by the answer to another."""

    def test_answer_doubled_at_once_proves_nothing(self):
        server = _Server(self, 'at-once')
        result = self._grant(server, 2)
        self.assertEqual(result.outcome, _Outcome.UNKNOWN)
        self.assertEqual(
            self._grant(server, 2, result.link).outcome, _Outcome.UNLINKED)
        self.assertIn('bytes follow the answer', self._log.getvalue())

    def test_server_of_another_service_runs_no_call_as_a_request(self):
        # It would run whatever has a request id.
        server = _Server(self, '')
        self._grant(server, 2)
        self._release(server, 2)
        self.assertEqual(len(server.heads), 2)
        for head in server.heads:
            self.assertNotIn('lentilmoor-attempt-id', head)

    def test_late_copy_of_a_refusal_is_no_answer_to_the_next_grant(self):
        server = _Server(self, 'late')
        server.statuses = [409]
        self.assertEqual(self._grant(server, 2).outcome, _Outcome.REFUSED)
        server.delay_s = 0.05
        self.assertNotEqual(self._grant(server, 3).outcome, _Outcome.REFUSED)

    def test_late_copy_without_an_id_ends_the_connection(self):
        server = _Server(self, 'late')
        first = self._grant(server, 2)
        server.delay_s = 0.05
        self._grant(server, 2, first.link)
        time.sleep(0.1)
        self.assertEqual(
            self._grant(server, 2, first.link).outcome, _Outcome.UNLINKED)

    def test_sound_server_keeps_its_connection(self):
        server = _Server(self, '')
        link = None
        for _ in range(5):
            result = self._grant(server, 2, link)
            self.assertEqual(result.outcome, _Outcome.DONE)
            link = result.link
        self.assertEqual(server.connections, 1)
        self.assertEqual(json.loads(server.bodies[0])['fence'], 2)


if __name__ == '__main__':
    unittest.main()
