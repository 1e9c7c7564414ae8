"""Reads from sockets that end by a deadline and by a number of bytes.

A socket's timeout applies to each read, so a peer that sends a byte now and
then, or bytes without end, could be read forever. A `SocketReader` ends with
the deadline of the whole message, and after the bytes that a message may have.
`BoundedConnection` reads the answers of a server through one.
"""

from collections.abc import Callable
import functools
import http.client
import io
import math
import select
import socket

from urllib3 import connection as http_connection

from lentilmoor import answerheads
from lentilmoor import chunks
from lentilmoor import clocks

# Status line and headers of an answer, and of interim answers before it.
MAX_HEAD_BYTES = 64 * 1024
# Factor between the bytes of a body and those read, which include the framing
# of its chunks. Bodies have their own limits; this one ends what is skipped.
_MAX_FRAMING_FACTOR = 4

_READ_BYTES = 64 * 1024

# Waits for data are no longer than this, so that a deadline is checked against
# the clock: a suspension of the machine prolongs the timeout of a poll, and so
# does a stop of the process where `poll` is made of `ppoll`, as on arm64.
MAX_POLL_MS = 100.0

Wait = Callable[[socket.socket, float], None]
"""Waits until a socket is readable, or ms have passed, or for a shorter time;
may raise."""


class MessageTooLargeError(OSError):
    """The peer sent more bytes than a message may have."""


def wait_until_readable(sock: socket.socket, timeout_ms: float) -> None:
    """Waits until a socket is readable, for at most `timeout_ms`.

    It may return earlier, as it waits for `MAX_POLL_MS` at most.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    poll.poll(limit_poll(timeout_ms) if timeout_ms < math.inf else None)


def limit_poll(timeout_ms: float) -> float:
    """Returns how long one poll may take of a time that is left, ms."""
    return min(max(0.0, timeout_ms), MAX_POLL_MS)


class SocketReader(io.RawIOBase):
    """Reads a socket until a deadline and up to a number of bytes.

    The socket is set to non-blocking mode; whoever writes to it must set its
    timeout again.

    Attributes:
      deadline_at: When reads time out, ms.
      idle_timeout_ms: How long one read waits for data.
      first_byte_timeout_ms: If not None, the deadline is this time after the
        arrival of the next byte.
      remaining_bytes: How many bytes may still be read.
      wait: Waits for data.
      waits: Whether reads wait for data; if not, they return what is there.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock):
        super().__init__()
        self._socket = sock
        # Keeps the socket open if the connection is closed before the answer
        # has been read.
        self._file = sock.makefile('rb', buffering=0)
        self._clock = clock
        self.deadline_at = math.inf
        self.idle_timeout_ms = math.inf
        self.first_byte_timeout_ms: float | None = None
        self.remaining_bytes = math.inf
        self.wait: Wait = wait_until_readable
        self.waits = True

    def readable(self) -> bool:
        """Returns whether data can be read: always."""
        return True

    def readinto(self, buffer) -> int | None:
        """Reads into a buffer; returns the number of bytes, 0 at the end.

        Raises:
          TimeoutError: The deadline has passed.
          MessageTooLargeError: More bytes arrived than may be read.
        """
        count = self._receive(buffer)
        started_at = self._clock.now()
        while count is None and self.waits:
            now = self._clock.now()
            waits_until = min(self.deadline_at,
                              started_at + self.idle_timeout_ms)
            if now >= waits_until:
                # The text is the one of socket timeouts, which cheroot expects.
                raise TimeoutError('timed out')
            self.wait(self._socket, waits_until - now)
            count = self._receive(buffer)
        if count:
            self._record_received(count)
        return count

    def _receive(self, buffer) -> int | None:
        if self._socket.gettimeout() != 0.0:
            self._socket.settimeout(0.0)
        return self._file.readinto(buffer)

    def _record_received(self, count: int) -> None:
        now = self._clock.now()
        if self.first_byte_timeout_ms is not None:
            self.deadline_at = now + self.first_byte_timeout_ms
            self.first_byte_timeout_ms = None
        if now > self.deadline_at:
            raise TimeoutError('timed out')
        self.remaining_bytes -= count
        if self.remaining_bytes < 0:
            raise MessageTooLargeError('the message is too large')

    def close(self) -> None:
        """Closes the file; the socket is closed by its connection."""
        if not self.closed:
            self._file.close()
        super().close()


class BlockingSocketReader(SocketReader):
    """A `SocketReader` of a socket that stays in its mode.

    It costs one more system call for each read. It is for sockets that are
    written to by code that doesn't set their timeout.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock):
        super().__init__(sock, clock)
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    def is_ready(self) -> bool:
        """Returns whether data, or the end, can be read at once."""
        return bool(self._poll.poll(0))

    def _receive(self, buffer) -> int | None:
        return self._file.readinto(buffer) if self.is_ready() else None


class _SharedReader:
    """Stands in for a socket so that all answers share one read buffer.

    `http.client` creates a buffer for each answer and discards it with the
    bytes of the next answer that it already holds.
    """

    def __init__(self, reader: io.BufferedReader, on_end: Callable[[], None]):
        self._reader = reader
        self._on_end = on_end

    def makefile(self, *unused_args, **unused_kwargs):
        """Returns a reader whose close doesn't close the shared buffer."""
        return _AnswerReader(self._reader, self._on_end)


class _AnswerReader:
    """A reader of one answer; closing it leaves the shared buffer open."""

    def __init__(self, reader: io.BufferedReader, on_end: Callable[[], None]):
        self._on_end = on_end
        self.readline = reader.readline
        self.read = reader.read
        self.read1 = reader.read1
        self.readinto = reader.readinto
        self.peek = reader.peek
        self.closed = False

    def flush(self) -> None:
        """Does nothing, as a reader has no pending writes."""

    def close(self) -> None:
        """Marks this reader as closed."""
        self.closed = True
        self._on_end()


class _ChunkedAnswer:
    """Decodes a body in chunked coding for `http.client`."""

    def __init__(self, reader: _AnswerReader):
        self._reader = reader
        self._body = chunks.ChunkedBody(reader)
        self.closed = False

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, or all up to the end of the body if it is less.

        Raises:
          MalformedAnswerError: The body is malformed or ends early.
        """
        blocks, remaining = [], math.inf if size < 0 else size
        while remaining and (block := self.read1(min(remaining, _READ_BYTES))):
            blocks.append(block)
            remaining -= len(block)
        return b''.join(blocks)

    def read1(self, size: int) -> bytes:
        """Returns at most `size` bytes; b'' at the end of the body."""
        try:
            return self._body.read(size)
        except ValueError as error:
            raise answerheads.MalformedAnswerError(
                answerheads.Fault.MALFORMED_CHUNK, str(error)) from error

    def flush(self) -> None:
        """Does nothing, as a reader has no pending writes."""

    def close(self) -> None:
        """Ends the answer."""
        self.closed = True
        self._reader.close()


class _FinalResponse(http.client.HTTPResponse):
    """An answer whose head is proved whole; interim answers are skipped."""

    def begin(self) -> None:
        """Reads the status line and the headers.

        Raises:
          MalformedAnswerError: They are no complete head.
        """
        head = answerheads.read_head(self.fp, self._method)
        self.status = head.status
        self.version, self.reason = head.version, head.reason
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.headers:
            self.headers[name] = value
        self.will_close = head.closes
        # Chunks are decoded by `_ChunkedAnswer`.
        self.chunked = False
        self.length = (head.length if head.framing
                       in (answerheads.Framing.LENGTH,
                           answerheads.Framing.NO_BODY) else None)
        if head.framing is answerheads.Framing.CHUNKS:
            self.fp = _ChunkedAnswer(self.fp)


class BoundedConnection(http_connection.HTTPConnection):
    """An HTTP connection whose answers are read within bounds.

    The timeout of a request covers its whole answer from the call of
    `getresponse`, not each read.

    Attributes:
      reader: Reads the socket; None while there is no connection.
    """

    def __init__(self, *args, clock: clocks.Clock, max_body_bytes: int,
                 **kwargs):
        """Makes a connection that isn't open.

        Args:
          *args: Of `urllib3.connection.HTTPConnection`.
          clock: Clock of deadlines.
          max_body_bytes: Size of the largest body.
          **kwargs: Of `urllib3.connection.HTTPConnection`.
        """
        super().__init__(*args, **kwargs)
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._answer_buffer: io.BufferedReader | None = None
        self._is_reading_head = False
        self.reader: SocketReader | None = None

    def connect(self) -> None:
        """Opens the connection."""
        self._close_reader()
        super().connect()
        self.reader = SocketReader(self.sock, self._clock)
        self._answer_buffer = io.BufferedReader(self.reader)
        self.response_class = functools.partial(
            _make_response,
            _SharedReader(self._answer_buffer, self._finish_answer))

    def getresponse(self):
        """Reads the status line and the headers of an answer."""
        reader = self.reader
        if reader is not None:
            timeout_ms = (self.timeout * clocks.MS_PER_S if isinstance(
                self.timeout, (int, float)) else math.inf)
            reader.deadline_at = self._clock.now() + timeout_ms
            reader.idle_timeout_ms = math.inf
            reader.remaining_bytes = MAX_HEAD_BYTES
        self._is_reading_head = True
        try:
            response = super().getresponse()
        except BaseException:
            self._close_reader()
            raise
        finally:
            self._is_reading_head = False
        if reader is not None:
            reader.remaining_bytes += _MAX_FRAMING_FACTOR * self._max_body_bytes
        return response

    def read_next_answer(self, method: str) -> http.client.HTTPResponse:
        """Reads the head of an answer that follows another one.

        Args:
          method: Method of the request that it answers.
        """
        if self.sock is None:
            raise http.client.RemoteDisconnected('no answer follows')
        response = self.response_class(self.sock, method=method)
        response.begin()
        return response

    @property
    def is_connected(self) -> bool:
        """Whether a request may be sent: nothing of an answer is unread.

        An extra answer may have been read into the buffer with the one before
        it, where polling the socket doesn't show it.
        """
        return super().is_connected and not self.has_unread_data()

    def has_unread_data(self) -> bool:
        """Returns whether data follows the answer that was read."""
        if self.reader is None or self.sock is None:
            return True
        self.reader.waits = False
        try:
            return bool(self._answer_buffer.peek(1))
        except (OSError, ValueError):
            return True
        finally:
            self.reader.waits = True

    def close(self) -> None:
        """Closes the connection.

        `http.client` closes it as soon as it has read that the server will. The
        body of that answer can be read all the same.
        """
        super().close()
        if not self._is_reading_head:
            self._close_reader()

    def _finish_answer(self) -> None:
        if self.sock is None and not self._is_reading_head:
            self._close_reader()

    def _close_reader(self) -> None:
        """Closes the socket for good, without waiting for a collection."""
        buffer, self._answer_buffer, self.reader = (self._answer_buffer, None,
                                                    None)
        if buffer is not None:
            buffer.close()


def _make_response(shared: _SharedReader, unused_sock, *args,
                   **kwargs) -> http.client.HTTPResponse:
    return _FinalResponse(shared, *args, **kwargs)
