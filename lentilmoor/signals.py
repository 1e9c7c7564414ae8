"""Signals of the process, as values that its main thread waits for.

A handler runs in the main thread between any two of its steps, also while that
holds a lock. So handlers take none: they put the signal's number into a queue
that allows it.
"""

from collections.abc import Callable
import contextlib
import queue
import signal

from lentilmoor import clocks

# Interval between notes that no signal had been sent.
_LOOK_S = 0.2


def block(*numbers: int) -> None:
    """Leaves signals pending until the main thread watches them.

    Threads that are started meanwhile, and all that these start, never receive
    them. One that did would not interrupt the main thread, which could find no
    signal although one had been sent.

    Args:
      *numbers: Which signals.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def watch(*numbers: int) -> queue.SimpleQueue:
    """Returns a queue of the signals that arrive from now on, in order.

    Args:
      *numbers: Which signals.
    """
    arrived = queue.SimpleQueue()
    for number in numbers:
        signal.signal(number, lambda number, _: arrived.put(number))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
    return arrived


def receive(arrived: queue.SimpleQueue, clock: clocks.Clock,
            note_absent: Callable[[float], None]) -> int:
    """Waits for the next signal and returns its number.

    A process that is stalled receives signals long after they were sent.

    Args:
      arrived: What `watch` returned.
      clock: Time.
      note_absent: Told, time and again, a time by which no further signal had
        been sent, ms. It is right only if signals were blocked before other
        threads started.
    """
    while True:
        now = clock.now()
        # The handler of a signal sent before then has run by here.
        if arrived.empty():
            note_absent(now)
        with contextlib.suppress(queue.Empty):
            return arrived.get(timeout=_LOOK_S)
