"""Request body of a caller: its start is buffered, the rest is streamed.

A body that fits into the buffer can be sent again. A longer one is read from
the caller's connection only once and in chunks, so its size doesn't increase
memory use.
"""

from collections.abc import Callable
from collections.abc import Iterator

from lentilmoor import exceptions
from lentilmoor import fingerprints

BUFFER_BYTES = 64 * 1024


class BodyError(exceptions.LentilmoorError):
    """The body could not be read completely, or is too large."""


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
                 max_bytes: int):
        self._read = read
        self._max_bytes = max_bytes
        self._byte_count = 0
        self.length = length
        self.stream_started = False
        self.digest = fingerprints.BodyDigest()
        self.buffered = b'' if length == 0 else self._fill_buffer()
        self.fully_buffered = len(self.buffered) < BUFFER_BYTES
        if self.fully_buffered and length is not None and len(
                self.buffered) != length:
            raise BodyError('the body ended before its declared length')

    @property
    def is_resendable(self) -> bool:
        """Whether the complete body can be sent again."""
        return self.fully_buffered or not self.stream_started

    def make_payload(self) -> bytes | Iterator[bytes] | None:
        """Returns what an attempt sends: bytes, chunks, or None if empty."""
        if self.fully_buffered:
            return self.buffered or None
        return self._stream()

    def _fill_buffer(self) -> bytes:
        chunks = []
        free_bytes = BUFFER_BYTES
        while free_bytes > 0:
            chunk = self._read_chunk(free_bytes)
            if not chunk:
                break
            chunks.append(chunk)
            free_bytes -= len(chunk)
        return b''.join(chunks)

    def _stream(self) -> Iterator[bytes]:
        self.stream_started = True
        yield self.buffered
        while chunk := self._read_chunk(BUFFER_BYTES):
            yield chunk
        if self.length is not None and self._byte_count != self.length:
            raise BodyError('the body ended before its declared length')

    def _read_chunk(self, size: int) -> bytes:
        try:
            chunk = self._read(size)
        except (OSError, ValueError) as error:
            raise BodyError('the body could not be read') from error
        self._byte_count += len(chunk)
        if self._byte_count > self._max_bytes:
            raise BodyError(f'expected at most {self._max_bytes} bytes')
        fingerprints.update_digest(self.digest, chunk)
        return chunk
