"""Waiting in tests for what another thread or process is about to do."""

from collections.abc import Callable
import time

_LOOKS = 10_000
_LOOK_EVERY_S = 0.002


def wait_for(condition: Callable[[], object]) -> None:
    """Returns once a condition holds; fails if it never does."""
    for _ in range(_LOOKS):
        if condition():
            return
        time.sleep(_LOOK_EVERY_S)
    raise AssertionError('it never came')
