"""Tests of signals that arrive while the main thread waits for them."""

import signal
import subprocess
import sys
import time
import unittest

from lentilmoor import clocks

# Sends itself a signal before each line of the function that waits for one.
_PROGRAM = '''
import os
import signal
import sys
from lentilmoor import clocks
from lentilmoor import signals

def receive():
    return signals.receive(arrived, clocks.Clock(), lambda _: None)

arrived = signals.watch(signal.SIGHUP, signal.SIGTERM)
def trace(frame, event, argument):
    if event == 'line':
        os.kill(os.getpid(), signal.SIGHUP)
    return trace
for _ in range(20):
    sys.settrace(trace)
    assert receive() == signal.SIGHUP
    sys.settrace(None)
os.kill(os.getpid(), signal.SIGTERM)
while receive() != signal.SIGTERM:
    pass
'''

# Prints the last recorded time without a signal, while other threads compute.
# Says when it watches for signals and when it has recorded the first time.
_STARVED_PROGRAM = '''
import signal
import threading
from lentilmoor import clocks
from lentilmoor import signals

def compute():
    while True:
        sum(range(1000))

absent = []
def record(now):
    absent.append(now)
    if len(absent) == 1:
        print('recorded', flush=True)

signals.block(signal.SIGTERM)
for _ in range(8):
    threading.Thread(target=compute, daemon=True).start()
arrived = signals.watch(signal.SIGTERM)
print('watching', flush=True)
signals.receive(arrived, clocks.Clock(), record)
print('last', *absent[-1:], flush=True)
'''


class SignalTest(unittest.TestCase):

    def test_handler_never_waits_for_the_interrupted_thread(self):
        # A handler that sets an event deadlocks if the thread is about to wait
        # for that event and holds its lock.
        subprocess.run([sys.executable, '-c', _PROGRAM],
                       timeout=10.0,
                       check=True)

    def test_signal_is_never_recorded_as_absent_after_it_was_sent(self):
        for stopped_s in (0.0, 0.3):
            for delay_s in (0.05, 0.21, 0.4):
                with self.subTest(stopped_s=stopped_s, delay_s=delay_s):
                    sent_at, recorded = self._send('recorded', stopped_s,
                                                   delay_s)
                    self.assertEqual(len(recorded), 1)
                    self.assertLessEqual(recorded[0], sent_at)

    def test_signal_before_the_first_record_is_not_recorded_as_absent(self):
        for stopped_s in (0.0, 0.3):
            with self.subTest(stopped_s=stopped_s):
                sent_at, recorded = self._send('watching', stopped_s, 0.0)
                for time_ms in recorded:
                    self.assertLessEqual(time_ms, sent_at)

    def _send(self, event: str, stopped_s: float,
              delay_s: float) -> tuple[float, list[float]]:
        """Sends SIGTERM some time after an event of the starved program.

        Returns:
          When it was sent, ms, and the time recorded last, if any, ms.
        """
        command = [sys.executable, '-c', _STARVED_PROGRAM]
        with subprocess.Popen(command, stdout=subprocess.PIPE,
                              text=True) as process:
            try:
                self._read_until(process, event)
                time.sleep(delay_s)
                if stopped_s:
                    process.send_signal(signal.SIGSTOP)
                    time.sleep(0.05)
                sent_at = clocks.Clock().now()
                process.send_signal(signal.SIGTERM)
                time.sleep(stopped_s)
                process.send_signal(signal.SIGCONT)
                times = self._read_until(process, 'last')
                return sent_at, [float(time_ms) for time_ms in times]
            finally:
                process.kill()

    def _read_until(self, process: subprocess.Popen, event: str) -> list[str]:
        for line in process.stdout:
            name, *values = line.split()
            if name == event:
                return values
        return self.fail(f'ended before it said {event}')


if __name__ == '__main__':
    unittest.main()
