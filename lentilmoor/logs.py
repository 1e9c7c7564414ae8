"""Logging: JSON lines by structlog, written only when a state changes.

Rates and durations are recorded as metrics (see `metrics`) instead.
"""

from collections.abc import Callable
import dataclasses
import logging
import sys
import threading
from typing import Any
from typing import TextIO

import structlog

_MAX_STATES = 10_000
_SILENCED_LOGGERS = ('asyncio', 'grpclib', 'urllib3', 'cheroot')

Logger = Any  # structlog creates the classes of bound loggers at run time.


def make_logger(instance: str, stream: TextIO | None = None) -> Logger:
    """Returns a logger that writes one JSON object per line.

    Args:
      instance: Instance id, added to each line.
      stream: The output stream; standard error if None.
    """
    processors = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt='iso', utc=True),
        structlog.processors.format_exc_info,
        structlog.processors.JSONRenderer(default=str),
    ]
    return structlog.wrap_logger(structlog.WriteLogger(stream or sys.stderr),
                                 processors=processors,
                                 wrapper_class=structlog.BoundLogger,
                                 cache_logger_on_first_use=True,
                                 instance=instance)


def quiet_libraries() -> None:
    """Suppresses log messages of libraries below the level critical.

    Broken connections are common here; they are counted instead of logged.
    """
    for name in _SILENCED_LOGGERS:
        logging.getLogger(name).setLevel(logging.CRITICAL)


@dataclasses.dataclass(slots=True)
class StateLog:
    """Logs a state only when it differs from the last one of its subject.

    Attributes:
      logger: The logger for changes.
      states: Last state by (event, subject); the oldest is removed when there
        are too many.
      lock: Guards changes of `states`.
    """

    logger: Logger
    states: dict[tuple[str, str],
                 object] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def log_change(self, event: str, subject: str, state: object,
                   **fields: object) -> bool:
        """Logs the state of a subject if it has changed.

        Args:
          event: Kind of state, such as 'server_liveness'.
          subject: What has the state, such as a server's id.
          state: The current state; an enum member is logged by its value.
          **fields: Additional fields of the line.

        Returns:
          Whether a line was written.
        """
        key = (event, subject)
        if self.states.get(key) == state:
            return False
        with self.lock:
            before = self.states.pop(key, None)
            if before == state:
                self.states[key] = state
                return False
            if len(self.states) >= _MAX_STATES:
                del self.states[next(iter(self.states))]
            self.states[key] = state
        self.logger.info(event,
                         subject=subject,
                         state=_get_value(state),
                         before=_get_value(before),
                         **fields)
        return True


def make_change_logger(logger: Logger) -> Callable[..., bool]:
    """Returns the `log_change` method of a new `StateLog`."""
    return StateLog(logger).log_change


def _get_value(state: object) -> object:
    return getattr(state, 'value', state)
