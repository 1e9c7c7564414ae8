"""Connections of callers whose requests are read strictly, within deadlines.

cheroot applies a timeout to each read, so a caller that sends a byte now and
then would keep a thread for as long as it liked.
"""

import math
import socket
import struct

from cheroot import makefile
from cheroot import server as cheroot_server

from lentilmoor import boundedreads
from lentilmoor import clocks
from lentilmoor import requestheads

# Time from the first byte of a request to the end of its head, unless a
# configuration sets a limit.
HEAD_TIMEOUT_MS = 10_000.0

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class _RequestStream(makefile.StreamReader):
    """The buffered requests of one connection, read by a `SocketReader`."""

    def __init__(self, reader: boundedreads.SocketReader, buffer_bytes: int):
        # The base class would read the socket itself, without a deadline.
        # pylint: disable-next=bad-super-call
        super(makefile.StreamReader, self).__init__(reader, buffer_bytes)
        self.bytes_read = 0


class RequestConnection(cheroot_server.HTTPConnection):
    """A connection whose requests are read within deadlines.

    Its server has the attributes `clock`, `head_timeout_ms` and
    `find_empty_at`.

    Attributes:
      reader: Reads the socket.
      empty_at: The last known time at which no unread byte had arrived, ms.
      watched_at: When waiting for its next request began, ms.
      is_new: Whether it hasn't been passed to a thread or a selector yet.
      is_reset: Whether closing it resets it, so that what was sent can't pass
        for a whole answer.
    """

    RequestHandlerClass = requestheads.Request

    def __init__(self, server: cheroot_server.HTTPServer, sock: socket.socket,
                 *unused_makefile):
        """Takes over a connection that was accepted."""
        self.reader = boundedreads.BlockingSocketReader(sock, server.clock)
        self.empty_at = server.find_empty_at()
        self.watched_at = math.inf
        self.is_new = True
        self.is_reset = False
        super().__init__(server, sock, self._make_file)

    def _make_file(self, sock: socket.socket, mode: str, buffer_bytes: int):
        if 'r' in mode:
            return _RequestStream(self.reader, buffer_bytes)
        return makefile.StreamWriter(sock, mode, buffer_bytes)

    def communicate(self) -> bool:
        """Reads and answers one request; returns whether to stay open.

        The time limit of the head starts with its first byte.
        """
        reader, head_timeout_ms = self.reader, self.server.head_timeout_ms
        reader.idle_timeout_ms = self.server.timeout * clocks.MS_PER_S
        reader.deadline_at = math.inf
        reader.first_byte_timeout_ms = head_timeout_ms
        if self.rfile.has_data():
            reader.deadline_at = self.server.clock.now() + head_timeout_ms
            reader.first_byte_timeout_ms = None
        return super().communicate()

    def _close_kernel_socket(self) -> None:
        if self.is_reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   _RESET_ON_CLOSE)
        else:
            super()._close_kernel_socket()

    def limit_body(self, deadline_at: float) -> None:
        """Sets the time by which the body must have arrived, ms."""
        self.reader.deadline_at = deadline_at


def limit_requests(server: cheroot_server.HTTPServer,
                   clock: clocks.Clock) -> None:
    """Makes a server that hasn't started read requests within deadlines."""
    server.ConnectionClass = RequestConnection
    server.clock = clock
    server.head_timeout_ms = HEAD_TIMEOUT_MS
    server.find_empty_at = lambda: -math.inf
