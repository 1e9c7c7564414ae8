"""Signals that arrive while the main thread waits for them."""

import subprocess
import sys
import unittest

# Sends itself a signal before each line that the wait for one runs.
_PROGRAM = '''
import os
import signal
import sys
from lentilmoor import signals

arrived = signals.watch(signal.SIGHUP, signal.SIGTERM)
def trace(frame, event, argument):
    if event == 'line':
        os.kill(os.getpid(), signal.SIGHUP)
    return trace
for _ in range(20):
    sys.settrace(trace)
    assert signals.receive(arrived) == signal.SIGHUP
    sys.settrace(None)
os.kill(os.getpid(), signal.SIGTERM)
while signals.receive(arrived) != signal.SIGTERM:
    pass
'''


class SignalTest(unittest.TestCase):

    def test_a_handler_never_waits_for_the_thread_that_it_interrupts(self):
        # One that sets an event does if the thread is about to wait for that.
        subprocess.run([sys.executable, '-c', _PROGRAM],
                       timeout=10.0,
                       check=True)


if __name__ == '__main__':
    unittest.main()
