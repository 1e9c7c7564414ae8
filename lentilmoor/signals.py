"""Process signals as values that the main thread waits for.

Python runs a handler in the main thread between any two bytecode instructions,
even while that thread holds a lock. So handlers acquire no locks: they put the
signal's number into a `queue.SimpleQueue`, whose `put` is reentrant.
"""

from collections.abc import Callable
import contextlib
import queue
import signal

from lentilmoor import clocks

# Interval between records that no signal had been sent.
_CHECK_INTERVAL_S = 0.2


def block(*numbers: int) -> None:
    """Blocks signals, which stay pending until the main thread watches them.

    Threads that are started meanwhile, and threads started by these, inherit
    the mask and never receive them. A signal received by another thread would
    not interrupt the main thread, which could record its absence although it
    had been sent.

    Args:
      *numbers: The signal numbers.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def watch(*numbers: int) -> queue.SimpleQueue:
    """Unblocks signals and returns a queue of those received, in order.

    Args:
      *numbers: The signal numbers.
    """
    arrived = queue.SimpleQueue()
    for number in numbers:
        signal.signal(number, lambda number, _: arrived.put(number))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
    return arrived


def receive(arrived: queue.SimpleQueue, clock: clocks.Clock,
            record_absent: Callable[[float], None]) -> int:
    """Waits for the next signal and returns its number.

    A stalled process receives signals long after they were sent.

    Args:
      arrived: The queue that `watch` returned.
      clock: Clock for the times passed to `record_absent`.
      record_absent: Called repeatedly with a time by which no further signal
        had been sent, ms. The time is correct only if the signals were blocked
        before other threads were started.
    """
    while True:
        now = clock.now()
        # The handler of a signal sent before `now` has run at this point.
        if arrived.empty():
            record_absent(now)
        with contextlib.suppress(queue.Empty):
            return arrived.get(timeout=_CHECK_INTERVAL_S)
