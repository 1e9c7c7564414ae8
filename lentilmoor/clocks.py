"""Clocks that return time in milliseconds.

The functions called during a tick don't read a clock: `now` is an argument. A
runner reads `Clock.now` once per tick, the request path once per request.
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
    """Returns a clock that continues while the instance is suspended.

    Leases and holds still expire elsewhere during that time.
    """
    return Clock(now=_read_boottime)


def pause(ms: float) -> None:
    """Sleeps for a duration of real time."""
    time.sleep(max(0.0, ms) / MS_PER_S)


@dataclasses.dataclass(slots=True)
class ManualTime:
    """Manually advanced time for tests and benchmarks, in milliseconds."""

    at: float = 0.0

    def advance(self, ms: float) -> None:
        """Advances the time.

        Args:
          ms: Milliseconds to add; not negative.

        Raises:
          ValueError: The value is negative.
        """
        if ms < 0:
            raise ValueError(
                f'time cannot be advanced by a negative value: {ms} ms')
        self.at += ms

    def clock(self) -> Clock:
        """Returns a clock whose two sources both return this time."""
        return Clock(now=lambda: self.at, wall=lambda: self.at)
