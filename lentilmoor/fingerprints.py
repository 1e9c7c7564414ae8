"""Fingerprints: what tells one request from another for the quarantine.

A fingerprint covers what decides the work a server does: service, method,
target, key, the headers that change the content, and the body. A body counts
by a digest of its bounded prefix and its length, so that it is known before
the first byte is passed on and costs no more memory than the prefix. Caller,
trace and idempotency headers are left out: they differ between resends.
"""

from collections.abc import Mapping
import dataclasses

import xxhash

# Read this much of a body, or all of it, before the request is dispatched.
PREFIX_BYTES = 65_536
UNKNOWN_LENGTH = -1
# Headers that change what a server runs, and that a resend repeats.
CONTENT_HEADERS = ('content-type', 'content-encoding', 'range')


@dataclasses.dataclass(slots=True)
class BodyDigest:
    """Digest of a body's prefix, fed as it arrives.

    Attributes:
      hasher: Running hash of the prefix.
      byte_count: Bytes added so far, including those past the prefix.
    """

    hasher: xxhash.xxh3_128 = dataclasses.field(default_factory=xxhash.xxh3_128)
    byte_count: int = 0


def update_digest(digest: BodyDigest, chunk: bytes) -> None:
    """Adds the next bytes of a body."""
    room = PREFIX_BYTES - digest.byte_count
    if room > 0:
        digest.hasher.update(chunk[:room])
    digest.byte_count += len(chunk)


def make_fingerprint(service: str,
                     method: str,
                     target: str,
                     key: str,
                     headers: Mapping[str, str],
                     body: BodyDigest | None = None,
                     length: int = UNKNOWN_LENGTH) -> bytes:
    """Returns the 16-byte fingerprint of a request.

    The caller's name is no part of it: the same request of another caller
    would crash the next server just as well, and clean runs by anybody speak
    for it.

    Args:
      service: 'team/service'.
      method: HTTP method.
      target: Path with query.
      key: Routing key.
      headers: Request headers by lower-case name.
      body: Digest of at least the first `PREFIX_BYTES`, or of all of it.
      length: Declared length; unknown for a chunked body past the prefix.
    """
    parts = [service, method, target, key]
    parts += [headers.get(name, '') for name in CONTENT_HEADERS]
    text = '\0'.join(parts)
    state = xxhash.xxh3_128(text.encode(errors='surrogateescape'))
    if body is not None and body.byte_count:
        if length == UNKNOWN_LENGTH and body.byte_count < PREFIX_BYTES:
            length = body.byte_count
        state.update(f'\0{length}\0'.encode())
        state.update(body.hasher.digest())
    return state.digest()
