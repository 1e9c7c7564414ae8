"""Signals of the process, as values that its main thread waits for.

A handler runs in the main thread between any two of its steps, also while that
holds a lock. So handlers take none: they put the signal's number into a queue
that allows it.
"""

import contextlib
import queue
import signal

# Another thread may receive a signal, which doesn't wake the main thread.
_LOOK_S = 0.2


def watch(*numbers: int) -> queue.SimpleQueue:
    """Returns a queue of the signals that arrive from now on, in order.

    Args:
      *numbers: Which signals.
    """
    arrived = queue.SimpleQueue()
    for number in numbers:
        signal.signal(number, lambda number, _: arrived.put(number))
    return arrived


def receive(arrived: queue.SimpleQueue) -> int | None:
    """Waits a little for the next signal; returns its number, or None."""
    with contextlib.suppress(queue.Empty):
        return arrived.get(timeout=_LOOK_S)
    return None
