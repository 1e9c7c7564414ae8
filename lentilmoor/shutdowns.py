"""Graceful shutdown: ready no more, finish everything, then end.

Readiness goes first, so that the balancer sends no new callers; requests that
still arrive are answered. Idle connections are closed only after a while, as
a caller may be about to use one.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import clocks

# How long the balancer and the peers may take to notice.
BALANCER_DELAY_MS = 2_000.0
# How long nothing must have arrived before connections are closed.
QUIET_MS = 500.0
MAX_WAIT_MS = 60_000.0
_LOOK_EVERY_MS = 20.0


@dataclasses.dataclass(slots=True)
class RequestCount:
    """Requests of callers and peers that are being answered.

    Attributes:
      in_flight: How many.
      close_connections: Whether connections are closed after their request.
      arrived: How many have arrived since the start.
      lock: Guards the counts.
    """

    in_flight: int = 0
    close_connections: bool = False
    arrived: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def enter(self) -> None:
        """Counts a request in."""
        with self.lock:
            self.in_flight += 1
            self.arrived += 1

    def leave(self) -> None:
        """Counts a request out."""
        with self.lock:
            self.in_flight -= 1


def finish_requests(count: RequestCount,
                    clock: clocks.Clock,
                    wait: Callable[[float], object],
                    notice_ms: float = BALANCER_DELAY_MS) -> bool:
    """Waits until no request runs and none arrives any more.

    Args:
      count: The requests.
      clock: Time.
      wait: Waits for so many seconds.
      notice_ms: How long others may take to notice.

    Returns:
      Whether all were finished in time.
    """
    began = clock.now()
    while clock.now() - began < notice_ms:
        wait(_LOOK_EVERY_MS / clocks.MS_PER_S)
    count.close_connections = True
    quiet_since = clock.now()
    arrived = count.arrived
    while clock.now() - began < MAX_WAIT_MS:
        if count.in_flight or count.arrived != arrived:
            arrived = count.arrived
            quiet_since = clock.now()
        elif clock.now() - quiet_since >= QUIET_MS:
            return True
        wait(_LOOK_EVERY_MS / clocks.MS_PER_S)
    return False
