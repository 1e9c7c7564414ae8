"""Checks that bound how long ago the bytes of a connection arrived.

A busy process reads requests later than they arrive, and a connection doesn't
tell when they did. They arrived after the last moment at which nothing was
there to be read: when the thread that waits for requests began to wait, and
the connection, or the queue of new ones, was not ready.
"""

import math
import selectors
import socket
from typing import Protocol

from lentilmoor import clocks


class CheckedConnection(Protocol):
    """A connection whose unread bytes have a known age.

    Attributes:
      empty_at: The last known time at which no unread byte had arrived, ms.
      watched_at: When waiting for its next request began, ms.
    """

    empty_at: float
    watched_at: float


class CheckedSelector:
    """A selector of cheroot's that notes when connections were not ready.

    Attributes:
      backlog_empty_at: The last known time at which no connection waited to be
        accepted, ms.
    """

    def __init__(self, selector, listener, clock: clocks.Clock):
        """Wraps a selector.

        Args:
          selector: cheroot's selector.
          listener: Stands for the listening socket among the ready connections.
          clock: The clock of all times.
        """
        self.backlog_empty_at = -math.inf
        self._selector = selector
        self._listener = listener
        self._clock = clock
        self._previous_began_at = -math.inf

    def __len__(self) -> int:
        """Returns the number of registered connections."""
        return len(self._selector)

    @property
    def connections(self):
        """The registered connections, as cheroot lists them."""
        return self._selector.connections

    def register(
            self,
            fileobj: int | socket.socket,
            events: int,
            data: CheckedConnection | None = None) -> selectors.SelectorKey:
        """Starts to wait for the next request of a connection."""
        if data is not None and data is not self._listener:
            data.watched_at = self._clock.now()
        return self._selector.register(fileobj, events, data)

    def unregister(self, fileobj: int | socket.socket) -> selectors.SelectorKey:
        """Stops to wait for requests of a connection."""
        return self._selector.unregister(fileobj)

    def close(self) -> None:
        """Closes the selector."""
        self._selector.close()

    def select(self, timeout: float | None = None) -> list:
        """Waits for requests and returns the connections that are ready.

        A connection that is ready now was not so when the previous wait began,
        if it was registered by then: that wait would have returned it.
        """
        began_at = self._clock.now()
        ready = list(self._selector.select(timeout))
        is_backlog_empty = True
        for _, connection in ready:
            if connection is self._listener:
                is_backlog_empty = False
            elif connection.watched_at < self._previous_began_at:
                connection.empty_at = max(connection.empty_at,
                                          self._previous_began_at)
        if is_backlog_empty:
            self.backlog_empty_at = began_at
        self._previous_began_at = began_at
        return ready
