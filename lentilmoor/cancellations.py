"""Cancels requests at their servers when their callers have gone.

A thread looks at requests that have run for a while; a caller that closed its
connection wants no answer, and the server's slot is better used for others.
"""

from collections.abc import Callable
import threading

from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import inflight

LOOK_EVERY_MS = 100.0
RUNNING_MS = 100.0

Cancel = Callable[[str, str], None]
"""(address, request id): tells a server to stop a request; may block."""


def start_canceller(dispatcher: dispatchers.Dispatcher, cancel: Cancel,
                    stopped: threading.Event) -> threading.Thread:
    """Starts the thread.

    Args:
      dispatcher: Has the requests in flight.
      cancel: Tells a server.
      stopped: Set when the process ends.
    """

    def look() -> None:
        told: frozenset[str] = frozenset()
        while not stopped.wait(LOOK_EVERY_MS / clocks.MS_PER_S):
            rows = dispatcher.inflight.list_all()
            gone = find_gone(rows, dispatcher.clock.now())
            for row in gone:
                if row.request_id not in told:
                    cancel(row.address, row.request_id)
            told = frozenset(row.request_id for row in gone)

    thread = threading.Thread(target=look, name='cancellations', daemon=True)
    thread.start()
    return thread


def find_gone(rows: list[inflight.InflightRequest],
              now: float) -> list[inflight.InflightRequest]:
    """Returns the requests that have run for a while for nobody."""
    return [
        row for row in rows
        if now - row.started_at >= RUNNING_MS and row.caller_gone()
    ]
