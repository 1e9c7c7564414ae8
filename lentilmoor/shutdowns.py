"""Graceful shutdown: finishes all requests before the process ends.

The caller of this module first ends the readiness of the process, so that the
load balancer sends no new callers; requests that still arrive are answered.
Idle connections are closed only after a delay, as a caller may be about to use
one.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import clocks

# Time until the load balancer and the peers have detected the shutdown.
BALANCER_DELAY_MS = 2_000.0
# Time without requests after which all of them count as finished.
QUIET_MS = 500.0
MAX_WAIT_MS = 60_000.0
_POLL_INTERVAL_MS = 20.0


@dataclasses.dataclass(slots=True)
class RequestCount:
    """Count of the requests of callers and peers in flight.

    Attributes:
      in_flight: Number of requests being answered.
      close_connections: Whether connections are closed after their request.
      arrived: Number of requests received since the start.
      lock: Guards the counts.
    """

    in_flight: int = 0
    close_connections: bool = False
    arrived: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def enter(self) -> None:
        """Records the arrival of a request."""
        with self.lock:
            self.in_flight += 1
            self.arrived += 1

    def leave(self) -> None:
        """Records the end of a request."""
        with self.lock:
            self.in_flight -= 1


def finish_requests(count: RequestCount,
                    clock: clocks.Clock,
                    wait: Callable[[float], object],
                    balancer_delay_ms: float = BALANCER_DELAY_MS) -> bool:
    """Waits until no requests are in flight and none arrive.

    Args:
      count: Count of the requests.
      clock: Clock for the delays.
      wait: Waits for a time, s.
      balancer_delay_ms: Time until the load balancer and the peers have
        detected the shutdown.

    Returns:
      Whether all requests finished in time.
    """
    started_at = clock.now()
    while clock.now() - started_at < balancer_delay_ms:
        wait(_POLL_INTERVAL_MS / clocks.MS_PER_S)
    count.close_connections = True
    quiet_since = clock.now()
    arrived = count.arrived
    while clock.now() - started_at < MAX_WAIT_MS:
        if count.in_flight or count.arrived != arrived:
            arrived = count.arrived
            quiet_since = clock.now()
        elif clock.now() - quiet_since >= QUIET_MS:
            return True
        wait(_POLL_INTERVAL_MS / clocks.MS_PER_S)
    return False
