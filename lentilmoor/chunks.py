"""Reading of a request body in chunked coding (RFC 9112, section 7.1).

cheroot reads a whole chunk into memory, however long the caller says it is;
this reads no more than it is asked for.
"""

import re
from typing import BinaryIO

_LONGEST_LINE = 4_096
_MAX_TRAILERS = 64
_SIZE = re.compile(rb'([0-9a-fA-F]{1,16})[ \t]*(;.*)?\r?\n')
_BLANK = (b'\r\n', b'\n')


class ChunkedBody:
    """The body of one request.

    Attributes:
      finished: Whether it was read to its end.
    """

    def __init__(self, source: BinaryIO):
        self._source = source
        self._left = 0
        self.finished = False

    def read(self, size: int) -> bytes:
        """Returns at most `size` bytes; b'' at the end.

        Args:
          size: Bytes wanted; more than 0.

        Raises:
          ValueError: The body is malformed or ends early.
        """
        if self.finished:
            return b''
        if not self._left:
            self._left = self._read_size()
        if not self._left:
            self._read_trailers()
            self.finished = True
            return b''
        data = self._source.read(min(size, self._left))
        if not data:
            raise ValueError('the body ended within a chunk')
        self._left -= len(data)
        if not self._left and self._source.readline(3) not in _BLANK:
            raise ValueError('a chunk is longer than its size')
        return data

    def _read_size(self) -> int:
        line = _SIZE.fullmatch(self._source.readline(_LONGEST_LINE))
        if line is None:
            raise ValueError('malformed size of a chunk')
        return int(line[1], 16)

    def _read_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            line = self._source.readline(_LONGEST_LINE)
            if line in _BLANK:
                return
            if not line.endswith(b'\n'):
                break
        raise ValueError('malformed trailers')
