"""Reads the heads of HTTP/1 answers.

A head is proved whole by its empty line, and every line before it must be a
header field. How the body ends must follow from it in one way only. Anything
else is no answer: `MalformedAnswerError` tells why.
"""

import dataclasses
import enum
import http.client
import re
from typing import BinaryIO

_MAX_LINE_BYTES = 64 * 1024
_MAX_FIELDS = 100
# Digits of the largest length; longer ones are no lengths of bodies.
_MAX_LENGTH_DIGITS = 18

_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?')
_FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_LENGTH = re.compile(r'[0-9]{1,%d}' % _MAX_LENGTH_DIGITS)

_INTERIM_STATUSES = range(100, 200)
# After it, the bytes of the connection are of another protocol.
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class Fault(enum.Enum):
    """Why bytes are no whole answer."""

    HEAD_CUT = 'head-cut'
    HEAD_TOO_LARGE = 'head-too-large'
    STATUS_LINE = 'status-line'
    HEADER_LINE = 'header-line'
    FRAMING = 'framing'
    CHUNK = 'chunk'
    BODY_CUT = 'body-cut'


class MalformedAnswerError(http.client.HTTPException):
    """The peer sent bytes that are no whole answer.

    Attributes:
      fault: What is wrong with them.
    """

    def __init__(self, fault: Fault, detail: str):
        super().__init__(f'{fault.value}: {detail}')
        self.fault = fault


class Framing(enum.Enum):
    """How the end of a body is found."""

    EMPTY = 'empty'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'close'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """A complete head.

    Attributes:
      version: 10 or 11, as `http.client` has it.
      status: HTTP status.
      reason: Reason phrase.
      fields: Name and value pairs, in order.
      framing: How the body ends.
      length: Bytes of the body, if `framing` is EMPTY or LENGTH.
      closes: Whether the peer closes the connection after the answer.
    """

    version: int
    status: int
    reason: str
    fields: list[tuple[str, str]]
    framing: Framing
    length: int | None
    closes: bool


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
    lines = read_lines(reader)
    while (status := _read_status(lines)) in _INTERIM_STATUSES:
        if status == _SWITCHING_PROTOCOLS:
            raise MalformedAnswerError(Fault.STATUS_LINE,
                                       'the peer switches protocols')
        parse_head(lines, method)
        lines = read_lines(reader)
    return parse_head(lines, method)


def read_lines(reader: BinaryIO) -> list[bytes]:
    """Reads a head; returns its lines without their ends and the empty line.

    Raises:
      MalformedAnswerError: The head does not end with an empty line.
      http.client.RemoteDisconnected: The connection ended before its first
        byte.
    """
    lines: list[bytes] = []
    while True:
        line = reader.readline(_MAX_LINE_BYTES + 1)
        if line == b'\r\n':
            return lines
        if not line and not lines:
            raise http.client.RemoteDisconnected(
                'the connection ended without an answer')
        if line[-2:] != b'\r\n':
            raise _describe_line_end(line)
        if len(lines) > _MAX_FIELDS:
            raise MalformedAnswerError(Fault.HEAD_TOO_LARGE,
                                       f'more than {_MAX_FIELDS} headers')
        lines.append(line[:-2])


def _describe_line_end(line: bytes) -> MalformedAnswerError:
    """Returns the error for a line that does not end with CR LF."""
    if len(line) > _MAX_LINE_BYTES:
        return MalformedAnswerError(Fault.HEAD_TOO_LARGE, 'a line is too long')
    if line[-1:] == b'\n':
        return MalformedAnswerError(
            Fault.HEADER_LINE, f'a line ends with LF alone: {line[:80]!r}')
    return MalformedAnswerError(
        Fault.HEAD_CUT, f'the connection ended after {line[-40:]!r} in a head')


def _read_status(lines: list[bytes]) -> int:
    match = _STATUS_LINE.fullmatch(lines[0]) if lines else None
    if match is None:
        raise MalformedAnswerError(
            Fault.STATUS_LINE,
            f'no status line: {lines[0][:80]!r}' if lines else 'no status line')
    return int(match[2])


def parse_head(lines: list[bytes], method: str) -> Head:
    """Parses the lines of a complete head.

    Args:
      lines: The status line and the header lines.
      method: Method of the request that the answer is for.

    Raises:
      MalformedAnswerError: A line is no header, or the framing is ambiguous.
    """
    status = _read_status(lines)
    match = _STATUS_LINE.fullmatch(lines[0])
    version = 10 + int(match[1])
    fields = [_parse_field(line) for line in lines[1:]]
    framing, length = _find_framing(version, status, method, fields)
    return Head(version, status, (match[3] or
                                  b'').decode('latin-1'), fields, framing,
                length, framing is Framing.CLOSE or _closes(version, fields))


def _parse_field(line: bytes) -> tuple[str, str]:
    name, colon, value = line.partition(b':')
    value = value.strip(b' \t')
    if (not colon or not _FIELD_NAME.fullmatch(name) or
            _CONTROL_CHARACTER.search(value)):
        raise MalformedAnswerError(Fault.HEADER_LINE,
                                   f'no header: {line[:80]!r}')
    return name.decode('ascii'), value.decode('latin-1')


def _list_values(fields: list[tuple[str, str]], name: str) -> list[str]:
    return [value for key, value in fields if key.lower() == name]


def _find_framing(version: int, status: int, method: str,
                  fields: list[tuple[str, str]]) -> tuple[Framing, int | None]:
    lengths = _list_values(fields, 'content-length')
    codings = _list_values(fields, 'transfer-encoding')
    if len(lengths) + len(codings) > 1:
        raise MalformedAnswerError(
            Fault.FRAMING,
            f'lengths {lengths} and transfer codings {codings}'[:200])
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise MalformedAnswerError(Fault.FRAMING,
                                   f'no length: {lengths[0][:80]!r}')
    if codings and (codings[0].lower() != 'chunked' or version == 10):
        raise MalformedAnswerError(
            Fault.FRAMING, f'transfer coding {codings[0][:80]!r}, '
            f'HTTP version {version}')
    if method == 'HEAD' or status == _NOT_MODIFIED:
        return Framing.EMPTY, 0
    if status == _NO_CONTENT or status in _INTERIM_STATUSES:
        if codings or lengths and int(lengths[0]):
            raise MalformedAnswerError(Fault.FRAMING,
                                       f'a body after status {status}')
        return Framing.EMPTY, 0
    if codings:
        return Framing.CHUNKS, None
    if lengths:
        return Framing.LENGTH, int(lengths[0])
    return Framing.CLOSE, None


def _closes(version: int, fields: list[tuple[str, str]]) -> bool:
    options = {
        option.strip()
        for value in _list_values(fields, 'connection')
        for option in value.lower().split(',')
    }
    return 'close' in options or version == 10 and 'keep-alive' not in options
