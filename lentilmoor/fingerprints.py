"""Fingerprints, which identify requests for the quarantine.

A fingerprint covers the parts of a request that determine the work of a server:
service, method, target, key, the headers that affect the content, and the body.
Of the body, it covers the length and a digest of a prefix of limited size, so
that it can be computed before the first byte is forwarded and needs no more
memory than the prefix. Caller, trace and idempotency headers are excluded, as
they differ between resends.
"""

from collections.abc import Mapping
import dataclasses

import xxhash

# Size of the prefix. The prefix, or all of a shorter body, is read before the
# request is dispatched.
PREFIX_BYTES = 65_536
UNKNOWN_LENGTH = -1
# Headers that affect the work of a server and are the same in a resend.
CONTENT_HEADERS = ('content-type', 'content-encoding', 'range')


@dataclasses.dataclass(slots=True)
class BodyDigest:
    """Digest of a body's prefix, updated as the body arrives.

    Attributes:
      hasher: Running hash of the prefix.
      byte_count: Bytes added so far, including those past the prefix.
    """

    hasher: xxhash.xxh3_128 = dataclasses.field(default_factory=xxhash.xxh3_128)
    byte_count: int = 0


def update_digest(digest: BodyDigest, chunk: bytes) -> None:
    """Adds the next bytes of a body; hashes only those in the prefix."""
    remaining = PREFIX_BYTES - digest.byte_count
    if remaining > 0:
        digest.hasher.update(chunk[:remaining])
    digest.byte_count += len(chunk)


def make_fingerprint(service: str,
                     method: str,
                     target: str,
                     key: str,
                     headers: Mapping[str, str],
                     body: BodyDigest | None = None,
                     length: int = UNKNOWN_LENGTH) -> bytes:
    """Returns the 16-byte fingerprint of a request.

    The caller's name is excluded: the same request from another caller would
    crash the next server too, and a clean run for any caller clears it.

    Args:
      service: 'team/service'.
      method: HTTP method.
      target: Path with query.
      key: Routing key.
      headers: Request headers by lower-case name.
      body: Digest of at least the first `PREFIX_BYTES`, or of all of it.
      length: Declared length; `UNKNOWN_LENGTH` for a chunked body that is
        longer than the prefix.
    """
    parts = [service, method, target, key]
    parts += [headers.get(name, '') for name in CONTENT_HEADERS]
    joined = '\0'.join(parts)
    hasher = xxhash.xxh3_128(joined.encode(errors='surrogateescape'))
    if body is not None and body.byte_count:
        if length == UNKNOWN_LENGTH and body.byte_count < PREFIX_BYTES:
            length = body.byte_count
        hasher.update(f'\0{length}\0'.encode())
        hasher.update(body.hasher.digest())
    return hasher.digest()
