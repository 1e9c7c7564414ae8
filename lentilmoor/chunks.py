"""Reader of bodies in chunked coding (RFC 9112, section 7.1).

cheroot's own reader holds a whole chunk in memory, whatever its size; this one
reads no more than the requested number of bytes.
"""

import re
from typing import BinaryIO

from lentilmoor import headers

_MAX_LINE_BYTES = 4_096
_MAX_TRAILERS = 64
_SIZE_LINE = re.compile(rb'([0-9a-fA-F]{1,16})'
                        rb'(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n')
_BLANK_LINE = b'\r\n'


class ChunkedBody:
    """The body of one message in chunked coding.

    Attributes:
      finished: Whether the body and its trailers were read completely.
    """

    def __init__(self, source: BinaryIO):
        self._source = source
        self._remaining_bytes = 0
        self.finished = False

    def read(self, size: int) -> bytes:
        """Returns at most `size` bytes of the body; b'' at its end.

        Args:
          size: Maximum number of bytes to return; more than 0.

        Raises:
          ValueError: The body is malformed or ends early.
        """
        if self.finished:
            return b''
        if not self._remaining_bytes:
            self._remaining_bytes = self._read_size()
        if not self._remaining_bytes:
            self._read_trailers()
            self.finished = True
            return b''
        data = self._source.read(min(size, self._remaining_bytes))
        if not data:
            raise ValueError('the body ended within a chunk')
        self._remaining_bytes -= len(data)
        if not self._remaining_bytes and self._source.read(
                len(_BLANK_LINE)) != _BLANK_LINE:
            raise ValueError('a chunk is longer than its size')
        return data

    def _read_size(self) -> int:
        line = _SIZE_LINE.fullmatch(self._source.readline(_MAX_LINE_BYTES))
        if line is None:
            raise ValueError('malformed size line of a chunk')
        return int(line[1], 16)

    def _read_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self._source.readline(_MAX_LINE_BYTES)
            if line == _BLANK_LINE:
                return
            if not headers.LINE.fullmatch(line):
                break
        raise ValueError('malformed trailers')
