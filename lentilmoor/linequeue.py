"""A stream for log lines that never makes its writer wait.

Lines go through a bounded queue to a thread that writes them. What exceeds
the bounds is left out and counted, and the count is a line of its own. So a
reader that is slow or gone costs lines, not requests.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import threading
from typing import TextIO

from lentilmoor import clocks

# Lines a second: some three a request at the usual load of an entry, and a
# tenth of a core at most (about 0.1 ms a line).
MAX_LINES_PER_S = 300
# Lines that wait for a reader that is slow; about half a megabyte.
MAX_QUEUED_LINES = 2_000
# Longest write, but for one long line: a pipe takes it as a whole, and readers
# of logs may cut longer ones.
MAX_BLOCK_BYTES = 4_096
_CLOSE_S = 0.3


class LineQueue:
    """A text stream whose `write` returns at once."""

    def __init__(self, stream: TextIO, clock: clocks.Clock):
        """Starts the thread that writes.

        Args:
          stream: Where lines go.
          clock: Time.
        """
        self._stream = stream
        self._clock = clock
        self._lines: collections.deque[str] = collections.deque()
        self._changed = threading.Condition()
        self._second = 0
        self._written = 0
        self._left_out = 0
        self._closing = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def write(self, text: str) -> None:
        """Takes a line, or leaves it out."""
        second = int(self._clock.now() // clocks.MS_PER_S)
        with self._changed:
            if second != self._second:
                self._second, self._written = second, 0
            self._written += 1
            if (self._written > MAX_LINES_PER_S or
                    len(self._lines) >= MAX_QUEUED_LINES):
                self._left_out += 1
                return
            self._lines.append(text)
            self._changed.notify()

    def flush(self) -> None:
        """Does nothing: the thread writes as fast as it can."""

    def close(self) -> None:
        """Writes what waits, unless the reader doesn't take it."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._thread.join(_CLOSE_S)

    def _run(self) -> None:
        while True:
            with self._changed:
                while not self._lines and not self._closing:
                    self._changed.wait()
                if not self._lines:
                    return
                lines = list(self._lines)
                self._lines.clear()
                left_out, self._left_out = self._left_out, 0
            if left_out:
                fields = {'event': 'lines_left_out', 'count': left_out}
                lines.append(json.dumps(fields) + '\n')
            for text in _join_blocks(lines):
                try:
                    _write_whole(self._stream, text)
                except (OSError, ValueError):
                    # Nobody reads any more, and there is nowhere to say so.
                    with self._changed:
                        self._left_out += text.count('\n')


def _join_blocks(lines: Iterable[str]) -> Iterator[str]:
    """Yields lines in blocks; a longer line is a block of its own."""
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


def _write_whole(stream: TextIO, text: str) -> None:
    """Writes all of a text.

    A text stream over an unbuffered one ignores a short write, so bytes go to
    the stream below it.

    Raises:
      OSError: Nothing more is taken.
    """
    binary = getattr(stream, 'buffer', None)
    if binary is None:
        stream.write(text)
    else:
        left = memoryview(text.encode())
        while left:
            taken = binary.write(left)
            if not taken:
                raise OSError('nothing is taken')
            left = left[taken:]
    stream.flush()
