"""A non-blocking stream for log lines.

Lines go through a bounded queue to a thread that writes them. Lines beyond the
limits are dropped and counted, and the count is logged. So a slow or missing
reader of the log causes lost lines but doesn't delay requests.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import threading
from typing import TextIO

from lentilmoor import clocks

# About three lines a request at the usual load of an entry. Writing takes about
# 0.1 ms a line, so a tenth of a core is the most it can take.
MAX_LINES_PER_S = 300
# Lines that wait for a slow reader; about half a megabyte.
MAX_QUEUED_LINES = 2_000
# Size limit of a write, which only a single longer line exceeds. A pipe accepts
# a write of this size as a whole; readers of logs may truncate larger ones.
MAX_BLOCK_BYTES = 4_096
_CLOSE_S = 0.3


class LineQueue:
    """A text stream whose `write` never blocks on the reader."""

    def __init__(self, stream: TextIO, clock: clocks.Clock):
        """Starts the writing thread.

        Args:
          stream: The stream that lines are written to.
          clock: Clock for the limit of lines per second.
        """
        self._stream = stream
        self._clock = clock
        self._queue: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()
        self._second = 0
        self._line_count = 0
        self._dropped = 0
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Queues a line, or drops it if a limit is exceeded."""
        second = int(self._clock.now() // clocks.MS_PER_S)
        with self._changed:
            if second != self._second:
                self._second, self._line_count = second, 0
            self._line_count += 1
            if (self._line_count > MAX_LINES_PER_S or
                    len(self._queue) >= MAX_QUEUED_LINES):
                self._dropped += 1
                return
            self._queue.append(text)
            self._changed.notify()

    def flush(self) -> None:
        """Does nothing: the thread writes lines without delay."""

    def close(self) -> None:
        """Waits a short time for the thread to write the queued lines."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(_CLOSE_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._queue and not self._closing:
                    self._changed.wait()
                if not self._queue:
                    return
                lines = list(self._queue)
                self._queue.clear()
                dropped, self._dropped = self._dropped, 0
            if dropped:
                fields = {'event': 'lines_left_out', 'count': dropped}
                lines.append(json.dumps(fields) + '\n')
            for text in _join_blocks(lines):
                try:
                    _write_all(self._stream, text)
                except (OSError, ValueError):
                    # The reader has closed the stream; errors can't be logged.
                    with self._changed:
                        self._dropped += text.count('\n')


def _join_blocks(lines: Iterable[str]) -> Iterator[str]:
    """Yields lines joined to blocks; a longer line is a block of its own."""
    block, size = [], 0
    for line in lines:
        length = len(line.encode())
        if block and size + length > MAX_BLOCK_BYTES:
            yield ''.join(block)
            block, size = [], 0
        block.append(line)
        size += length
    if block:
        yield ''.join(block)


def _write_all(stream: TextIO, text: str) -> None:
    """Writes the whole text.

    A text stream over an unbuffered one ignores partial writes, so bytes are
    written to the underlying binary stream.

    Raises:
      OSError: The stream accepts no more bytes.
    """
    binary = getattr(stream, 'buffer', None)
    if binary is None:
        stream.write(text)
    else:
        remaining = memoryview(text.encode())
        while remaining:
            written = binary.write(remaining)
            if not written:
                raise OSError('the stream accepts no more bytes')
            remaining = remaining[written:]
    stream.flush()
