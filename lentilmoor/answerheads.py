"""Reads the heads of HTTP/1 answers.

A head is proved whole by its empty line, and every line before it must be a
header. How the body ends must follow from it in one way only. Anything else is
no answer: `MalformedAnswerError` tells why.
"""

import dataclasses
import enum
import http.client
import re
from typing import BinaryIO

import httptools
import urllib3.exceptions

_MAX_LINE_BYTES = 64 * 1024
_MAX_HEADERS = 100

# The parser accepts other protocols, control characters in the reason, and
# statuses that HTTP doesn't have (RFC 9110, section 15).
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?\r\n')

# A head that breaks off, followed by a whole one, may have only lines that are
# headers.
_INNER_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [0-9]{3}')
# The parser accepts any number of leading zeros.
_LENGTH = re.compile(r'[0-9]{1,18}')

_INTERIM_STATUSES = range(100, 200)
# After it, the bytes of the connection are of another protocol.
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class Fault(enum.Enum):
    """Why bytes are no whole answer."""

    HEAD_CUT = 'head-cut'
    HEAD_TOO_LARGE = 'head-too-large'
    MALFORMED_HEAD = 'malformed-head'
    AMBIGUOUS_LENGTH = 'ambiguous-length'
    MALFORMED_CHUNK = 'malformed-chunk'
    BODY_CUT = 'body-cut'
    OTHER_REQUEST = 'other-request'
    NO_REQUEST_ID = 'no-request-id'
    CODED_BODY = 'coded-body'


# Faults that a peer which crashes while it sends an answer causes, too.
CUT_FAULTS = frozenset((Fault.HEAD_CUT, Fault.BODY_CUT, Fault.MALFORMED_CHUNK))


class MalformedAnswerError(http.client.HTTPException):
    """The peer sent bytes that are no whole answer.

    Attributes:
      fault: What is wrong with them.
    """

    def __init__(self, fault: Fault, detail: str):
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault


def find_malformed(error: Exception) -> MalformedAnswerError | None:
    """Returns how an error shows that an answer isn't whole.

    Args:
      error: An error of reading an answer; urllib3 wraps those of bodies.

    Returns:
      The error that states the fault; None if the error states none, such as
      that of a connection that was reset.
    """
    if isinstance(error, urllib3.exceptions.ProtocolError):
        error = error.__cause__ or error
    if isinstance(error, http.client.IncompleteRead):
        return MalformedAnswerError(Fault.BODY_CUT, str(error))
    return error if isinstance(error, MalformedAnswerError) else None


class Framing(enum.Enum):
    """How the end of a body is found."""

    NO_BODY = 'no-body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


@dataclasses.dataclass(slots=True)
class Head:
    """A complete head.

    Attributes:
      status: HTTP status.
      version: 10 or 11, as `http.client` has it.
      reason: Reason phrase.
      headers: Name and value pairs, in order.
      framing: How the body ends.
      length: Bytes of the body, if `framing` is LENGTH.
      closes: Whether the peer closes the connection after the answer.
    """

    status: int = 0
    version: int = 11
    reason: str = ''
    headers: list[tuple[str, str]] = dataclasses.field(default_factory=list)
    framing: Framing = Framing.NO_BODY
    length: int = 0
    closes: bool = False

    def on_status(self, reason: bytes) -> None:
        """Receives the reason phrase from the parser."""
        self.reason = reason.decode('latin-1')

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receives a header from the parser."""
        self.headers.append(
            (name.decode('ascii'), value.strip(b' \t').decode('latin-1')))


def read_head(reader: BinaryIO, method: str) -> Head:
    """Reads the head of the next final answer; skips interim answers.

    Args:
      reader: Where the answer is read from; left at its body.
      method: Method of the request that it answers.

    Raises:
      MalformedAnswerError: The bytes are no complete head.
      http.client.RemoteDisconnected: The connection ended before its first
        byte.
    """
    head = parse_head(read_lines(reader), method)
    while head.status in _INTERIM_STATUSES:
        head = parse_head(read_lines(reader), method)
    return head


def read_lines(reader: BinaryIO) -> list[bytes]:
    """Reads lines until the empty line, which ends them and is included.

    Raises:
      MalformedAnswerError: There is no empty line, or there are too many.
      http.client.RemoteDisconnected: The connection ended before the first
        byte.
    """
    lines: list[bytes] = []
    while True:
        line = reader.readline(_MAX_LINE_BYTES + 1)
        lines.append(line)
        if line == b'\r\n':
            return lines
        if line[-1:] != b'\n':
            raise _describe_cut(lines)
        if len(lines) > _MAX_HEADERS + 1:
            raise MalformedAnswerError(Fault.HEAD_TOO_LARGE,
                                       f'more than {_MAX_HEADERS} headers')


def _describe_cut(lines: list[bytes]) -> http.client.HTTPException:
    """Returns the error for a last line without an end."""
    if lines == [b'']:
        return http.client.RemoteDisconnected(
            'the connection ended without an answer')
    if len(lines[-1]) > _MAX_LINE_BYTES:
        return MalformedAnswerError(Fault.HEAD_TOO_LARGE, 'a line is too long')
    received = b''.join(lines)[-40:]
    return MalformedAnswerError(Fault.HEAD_CUT,
                                f'the connection ended after {received!r}')


def parse_head(lines: list[bytes], method: str) -> Head:
    """Parses a complete head.

    Args:
      lines: Its lines, with their ends and the empty line.
      method: Method of the request that the answer is for.

    Raises:
      MalformedAnswerError: A line is no header, or the framing is ambiguous.
    """
    if not _STATUS_LINE.fullmatch(lines[0]):
        raise MalformedAnswerError(Fault.MALFORMED_HEAD,
                                   f'no status line: {lines[0][:80]!r}')
    data = b''.join(lines)
    inner = _INNER_STATUS_LINE.search(data, 1)
    if inner is not None:
        raise MalformedAnswerError(Fault.MALFORMED_HEAD,
                                   f'a second status line: {inner[0]!r}')
    head = Head()
    parser = httptools.HttpResponseParser(head)
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise MalformedAnswerError(Fault.MALFORMED_HEAD,
                                   'the peer switches protocols') from error
    except httptools.HttpParserError as error:
        raise MalformedAnswerError(Fault.MALFORMED_HEAD, str(error)) from error
    head.status = parser.get_status_code()
    head.version = 10 if parser.get_http_version() == '1.0' else 11
    _find_framing(head, method)
    head.closes = (head.framing is Framing.CLOSE or _announces_close(head))
    return head


def _list_values(head: Head, name: str) -> list[str]:
    return [value for key, value in head.headers if key.lower() == name]


def _find_framing(head: Head, method: str) -> None:
    lengths = _list_values(head, 'content-length')
    codings = _list_values(head, 'transfer-encoding')
    is_coded = bool(codings)
    if len(lengths) + len(codings) > 1:
        raise MalformedAnswerError(Fault.AMBIGUOUS_LENGTH,
                                   f'{lengths} and {codings}'[:200])
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise MalformedAnswerError(Fault.AMBIGUOUS_LENGTH,
                                   f'Content-Length {lengths[0][:80]}')
    if is_coded and (codings[0].lower() != 'chunked' or head.version == 10):
        raise MalformedAnswerError(
            Fault.AMBIGUOUS_LENGTH,
            f'transfer coding {codings[0][:80]!r} of HTTP/{head.version / 10}')
    head.length = int(lengths[0]) if lengths else 0
    if head.status == _SWITCHING_PROTOCOLS:
        raise MalformedAnswerError(Fault.MALFORMED_HEAD,
                                   'the peer switches protocols')
    if method == 'HEAD' or head.status == _NOT_MODIFIED:
        head.framing = Framing.NO_BODY
    elif head.status == _NO_CONTENT or head.status in _INTERIM_STATUSES:
        if is_coded or head.length:
            raise MalformedAnswerError(Fault.AMBIGUOUS_LENGTH,
                                       f'a body after status {head.status}')
        head.framing = Framing.NO_BODY
    elif is_coded:
        head.framing = Framing.CHUNKS
    else:
        head.framing = Framing.LENGTH if lengths else Framing.CLOSE


def _announces_close(head: Head) -> bool:
    options = {
        option.strip()
        for value in _list_values(head, 'connection')
        for option in value.lower().split(',')
    }
    return 'close' in options or (head.version == 10 and
                                  'keep-alive' not in options)
