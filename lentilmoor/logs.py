"""Logs: JSON lines by structlog, written only when a state changes.

Rates and times are counters and histograms (see `metrics`); a line is for
something that was one thing and is now another.
"""

from collections.abc import Callable
import dataclasses
import logging
import sys
import threading
from typing import Any
from typing import TextIO

import structlog

_MAX_SUBJECTS = 10_000
_LIBRARIES = ('asyncio', 'grpclib', 'urllib3', 'cheroot')

Logger = Any  # structlog's bound loggers are made at run time.


def make_logger(instance: str, stream: TextIO | None = None) -> Logger:
    """Returns a logger that writes one JSON object a line.

    Args:
      instance: Instance id, a field of each line.
      stream: Where lines go; standard error if None.
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
    """Keeps the libraries' own lines out of the log.

    Broken connections are everyday here; they are counted, not written.
    """
    for name in _LIBRARIES:
        logging.getLogger(name).setLevel(logging.CRITICAL)


@dataclasses.dataclass(slots=True)
class StateLog:
    """Writes a line when the state of a subject differs from the last one.

    Attributes:
      logger: Where lines go.
      states: Last state by (event, subject).
      lock: Guards `states`.
    """

    logger: Logger
    states: dict[tuple[str, str],
                 object] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def log_change(self, event: str, subject: str, state: object,
                   **fields: object) -> bool:
        """Writes a line if the state is new for this subject.

        Args:
          event: What kind of state, such as 'server_liveness'.
          subject: Whose state, such as a server's id.
          state: The state now; its `str` is written.
          **fields: More fields of the line.

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
            if len(self.states) >= _MAX_SUBJECTS:
                del self.states[next(iter(self.states))]
            self.states[key] = state
        self.logger.info(event,
                         subject=subject,
                         state=_show(state),
                         before=_show(before),
                         **fields)
        return True


def make_change_logger(logger: Logger) -> Callable[..., bool]:
    """Returns `StateLog.note` of a new state log over a logger."""
    return StateLog(logger).log_change


def _show(state: object) -> object:
    return getattr(state, 'value', state)
