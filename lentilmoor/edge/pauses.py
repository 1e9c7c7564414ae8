"""Pauses of this process, such as the suspension of its machine.

What callers send during a pause is read after it, in a short time. A limit that
depends on the requests of a time span counts them by when they may have been
sent, not by when they are read.
"""

import dataclasses
import math
import threading

# A process that shows no sign of running for this long has paused: several
# times the interval between two signs, as threads are late on a busy machine.
MIN_PAUSE_MS = 500.0
# A process that runs for less than this between two pauses may not have read
# all that was sent before. They count as one.
MIN_RUN_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Pauses:
    """The last pause of this process; times in ms.

    Attributes:
      seen_at: When the process was last seen running; None before the first
        time.
      paused_at: When the last pause began.
      resumed_at: When it ended.
      lock: Guards all other attributes.
    """

    seen_at: float | None = None
    paused_at: float = -math.inf
    resumed_at: float = -math.inf
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    @property
    def duration_ms(self) -> float:
        """How long the last pause took, ms; 0 if there was none."""
        has_paused = self.paused_at > -math.inf
        return self.resumed_at - self.paused_at if has_paused else 0.0


def note_running(pauses: Pauses, now: float) -> None:
    """Notes that the process runs; must be called regularly."""
    with pauses.lock:
        _note_running(pauses, now)


def _note_running(pauses: Pauses, now: float) -> None:
    seen_at = now if pauses.seen_at is None else pauses.seen_at
    if now - seen_at > MIN_PAUSE_MS:
        if seen_at - pauses.resumed_at > MIN_RUN_MS:
            pauses.paused_at = seen_at
        pauses.resumed_at = now
    pauses.seen_at = max(seen_at, now)


def find_earliest_send(pauses: Pauses, timeout_ms: float, now: float) -> float:
    """Returns when a request that is read now may have been sent, ms.

    Args:
      pauses: The pauses of this process; updated.
      timeout_ms: How long its caller waits for the answer; infinite if the
        caller has left.
      now: Current time, ms.

    Returns:
      The earliest possible time; `now` if the request was sent after the last
      pause, as it is then read soon after it was sent.
    """
    with pauses.lock:
        _note_running(pauses, now)
        earliest = now - timeout_ms
        if earliest >= pauses.resumed_at:
            return now
        return max(earliest, pauses.paused_at)
