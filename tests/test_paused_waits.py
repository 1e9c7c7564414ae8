"""Tests that a pause of the process doesn't prolong its waits."""

import signal
import subprocess
import sys
import time
import unittest

_TIMEOUT_S = 1.0
_PAUSE_S = 0.6
# A wait is checked against the clock this often, and a busy machine is slow.
_SLACK_S = 0.4

_SEND = '''
import socket, time
from lentilmoor import clocks, connections, httpclient
from lentilmoor.edge import exchange
from lentilmoor.platform import headerformat

clock = clocks.make_suspend_clock()
listener = socket.create_server(('127.0.0.1', 0))
address = '127.0.0.1:%d' % listener.getsockname()[1]

def send():
    pool = connections.Pool(address, connections.PoolLimits(), clock)
    outgoing = exchange.OutgoingRequest(
        'r1', 'GET', '/x', dict, b'', False, clock.now() + 1_000.0,
        carried_id='r1')
    caller, other_end = socket.socketpair()
    with caller, other_end:
        return exchange.send(
            pool, outgoing, exchange.CallerWatch(caller),
            headerformat.make_header_format().parse_answer_headers, clock)

def call():
    return httpclient.Client(clock, 1).call(
        address, httpclient.Request('GET', '/'), 1_000.0)
'''


class PausedWaitTest(unittest.TestCase):
    """Requests outlived their deadline by the time of a stop, on arm64.

    An entry that was paused during its planned stop cut them as it ended.
    """

    def _measure_wait(self, function: str) -> float:
        """Pauses a process while it waits for an answer.

        Returns:
          How long it has waited, s.
        """
        script = (_SEND + 'started_at = time.monotonic()\n'
                  'print(flush=True)\n'
                  f'{function}()\n'
                  'print(time.monotonic() - started_at)\n')
        with subprocess.Popen([sys.executable, '-c', script],
                              stdout=subprocess.PIPE,
                              text=True) as process:
            process.stdout.readline()
            time.sleep(0.3)
            process.send_signal(signal.SIGSTOP)
            time.sleep(_PAUSE_S)
            process.send_signal(signal.SIGCONT)
            return float(process.stdout.read())

    def test_request_to_a_silent_server(self):
        self.assertLess(self._measure_wait('send'), _TIMEOUT_S + _SLACK_S)

    def test_call_to_a_silent_peer(self):
        self.assertLess(self._measure_wait('call'), _TIMEOUT_S + _SLACK_S)


if __name__ == '__main__':
    unittest.main()
