"""A caller's request body: a buffered start, then the rest as it streams.

A body that fits the buffer can be sent again; a longer one is read from the
caller's connection only once, so memory stays flat.
"""

from collections.abc import Callable
from collections.abc import Iterator

from lentilmoor import exceptions
from lentilmoor import fingerprints

BUFFER_BYTES = 64 * 1024


class BodyError(exceptions.LentilmoorError):
    """The caller's body could not be read to its end, or is too large."""


class Body:
    """The body of one request.

    Attributes:
      buffered: First bytes of the body, at most `BUFFER_BYTES`.
      fully_buffered: Whether `buffered` is the whole body.
      length: Declared length in bytes, or None if the body is chunked.
      stream_started: Whether `make_payload` has begun to stream the body past
        the buffer.
      digest: Digest of the bytes read so far.
    """

    def __init__(self, read: Callable[[int], bytes], length: int | None,
                 limit: int):
        self._read = read
        self._limit = limit
        self._seen = 0
        self.length = length
        self.stream_started = False
        self.digest = fingerprints.BodyDigest()
        self.buffered = b'' if length == 0 else self._read_start()
        self.fully_buffered = len(self.buffered) < BUFFER_BYTES
        if self.fully_buffered and length is not None and len(
                self.buffered) != length:
            raise BodyError('the body ended before its declared length')

    @property
    def is_resendable(self) -> bool:
        """Whether the whole body can be sent once more."""
        return self.fully_buffered or not self.stream_started

    def make_payload(self) -> bytes | Iterator[bytes] | None:
        """Returns what a try sends: bytes, or chunks, or None if empty."""
        if self.fully_buffered:
            return self.buffered or None
        return self._stream()

    def _read_start(self) -> bytes:
        parts = []
        room = BUFFER_BYTES
        while room > 0:
            chunk = self._read_chunk(room)
            if not chunk:
                break
            parts.append(chunk)
            room -= len(chunk)
        return b''.join(parts)

    def _stream(self) -> Iterator[bytes]:
        self.stream_started = True
        yield self.buffered
        while chunk := self._read_chunk(BUFFER_BYTES):
            yield chunk
        if self.length is not None and self._seen != self.length:
            raise BodyError('the body ended before its declared length')

    def _read_chunk(self, size: int) -> bytes:
        try:
            chunk = self._read(size)
        except (OSError, ValueError) as error:
            raise BodyError('the body could not be read') from error
        self._seen += len(chunk)
        if self._seen > self._limit:
            raise BodyError(f'expected at most {self._limit} bytes')
        fingerprints.update_digest(self.digest, chunk)
        return chunk
