"""Time in milliseconds, read in one place.

Systems never read a clock: they are handed `now`. A runner reads `Clock.now`
once per tick and the request path reads it per request.
"""

from collections.abc import Callable
import dataclasses
import time

MS_PER_S = 1000.0
_NS_PER_MS = 1_000_000


def _read_monotonic() -> float:
    return time.monotonic_ns() / _NS_PER_MS


def _read_boottime() -> float:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / _NS_PER_MS


def _read_wall() -> float:
    return time.time_ns() / _NS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Clock:
    """A pair of time sources.

    Attributes:
      now: Monotonic milliseconds; only differences have a meaning.
      wall: Milliseconds since the Unix epoch; never used for leases.
    """

    now: Callable[[], float] = _read_monotonic
    wall: Callable[[], float] = _read_wall


def make_suspend_clock() -> Clock:
    """Returns a clock that goes on while the instance is suspended.

    Leases and holds run on elsewhere meanwhile.
    """
    return Clock(now=_read_boottime)


def pause(ms: float) -> None:
    """Waits for a time of the real clock."""
    time.sleep(max(0.0, ms) / MS_PER_S)


@dataclasses.dataclass(slots=True)
class ManualTime:
    """Hand-moved time for tests and benchmarks, in milliseconds."""

    at: float = 0.0

    def advance(self, ms: float) -> None:
        """Moves time forward.

        Args:
          ms: Milliseconds to add; not negative.
        """
        if ms < 0:
            raise ValueError(f'time does not run backwards: {ms}')
        self.at += ms

    def clock(self) -> Clock:
        """Returns a clock whose two sources both read this time."""
        return Clock(now=lambda: self.at, wall=lambda: self.at)
