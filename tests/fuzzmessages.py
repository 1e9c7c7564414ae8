"""Mutated messages for `fuzzing`, and a strict reader to judge others by."""

import dataclasses
import random
import re

_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_NUMBERS = (b'0', b'-1', b'1e999', b'NaN', b'9' * 30, b'9' * 5_000,
            b'18446744073709551616', b'0x10', b'1.5', b'\xd9\xa3', b'+4')
_ODD_TEXT = (b'\x00', b'\xff\xfe', b'\xc3', b'\xed\xa0\x80',
             b'\xf0\x9f\x92\xa9', b'\r', b'\n', b'\r\n', b'\r\n\r\n', b' ',
             b'\t', b':', b',', b'"', b'{', b']', b'null', b'true', b'\\ud800')
_NESTED = (b'[' * 5_000, b'[' * 200 + b']' * 200, b'{"a":' * 2_000)
_NUMBER = re.compile(rb'-?[0-9]+')
_MOST_MUTATIONS = 3


def mutate(drawn: random.Random, message: bytes, other: bytes) -> bytes:
    """Returns a message with a few mutations.

    Args:
      drawn: Where they are drawn from.
      message: A valid message.
      other: Another one, parts of which may be spliced in.
    """
    for _ in range(drawn.randint(1, _MOST_MUTATIONS)):
        message = drawn.choice(_MUTATORS)(drawn, message, other)
    return message


def cut(drawn: random.Random, message: bytes, unused_other: bytes) -> bytes:
    """Returns a strict prefix of a message."""
    return message[:drawn.randrange(len(message))] if message else b''


def _flip(drawn: random.Random, message: bytes, unused_other: bytes) -> bytes:
    if not message:
        return message
    at = drawn.randrange(len(message))
    flipped = message[at] ^ (1 << drawn.randrange(8))
    return message[:at] + bytes((flipped,)) + message[at + 1:]


def _insert(drawn: random.Random, message: bytes, unused_other: bytes) -> bytes:
    at = drawn.randint(0, len(message))
    return message[:at] + drawn.choice(_ODD_TEXT) + message[at:]


def _delete(drawn: random.Random, message: bytes, unused_other: bytes) -> bytes:
    begin = drawn.randint(0, len(message))
    return message[:begin] + message[begin + drawn.randint(1, 12):]


def _repeat_line(drawn: random.Random, message: bytes,
                 unused_other: bytes) -> bytes:
    separator = _LINE_END if _LINE_END in message else b','
    lines = message.split(separator)
    at = drawn.randrange(len(lines))
    lines.insert(drawn.randint(0, len(lines)), lines[at])
    return separator.join(lines)


def _splice(drawn: random.Random, message: bytes, other: bytes) -> bytes:
    return (message[:drawn.randint(0, len(message))] +
            other[drawn.randint(0, len(other)):])


def _change_number(drawn: random.Random, message: bytes,
                   unused_other: bytes) -> bytes:
    found = list(_NUMBER.finditer(message))
    if not found:
        return message
    match = drawn.choice(found)
    return (message[:match.start()] + drawn.choice(_NUMBERS) +
            message[match.end():])


def _nest(drawn: random.Random, message: bytes, unused_other: bytes) -> bytes:
    at = drawn.randint(0, len(message))
    return message[:at] + drawn.choice(_NESTED) + message[at:]


_MUTATORS = (cut, _flip, _insert, _delete, _repeat_line, _splice,
             _change_number, _nest)


@dataclasses.dataclass(frozen=True)
class Message:
    """A message as the strict reader understands it.

    Attributes:
      start: The parts of its first line.
      headers: Name in lower case, and value, in order.
      body: The whole body.
      following: What follows it on the connection.
      ends_with_connection: Whether nothing but the connection's end ends it.
    """

    start: tuple[bytes, ...]
    headers: tuple[tuple[str, str], ...]
    body: bytes
    following: bytes
    ends_with_connection: bool

    def find(self, name: str) -> str:
        """Returns the values of a header, separated by commas."""
        return ', '.join(self.list_values(name))

    def list_values(self, name: str) -> list[str]:
        """Returns the values of a header."""
        return [value for key, value in self.headers if key == name]


_STATUS_LINE = re.compile(
    rb'HTTP/(1\.[01]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?')
_HEADER = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):"
                     rb'([\t\x20-\x7e\x80-\xff]*)')
_CHUNK = re.compile(rb'([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n')
_NO_BODY_STATUSES = (204, 304)


def read_answer(data: bytes) -> Message | None:
    """Returns the first final answer of a connection that then ends.

    Returns:
      The answer to a request that isn't HEAD; None unless it is whole, each
      line is valid, and its length is unambiguous.
    """
    while True:
        head, end, rest = data.partition(_HEAD_END)
        first, *lines = head.split(_LINE_END)
        start = _STATUS_LINE.fullmatch(first)
        headers = _read_headers(lines)
        if not end or start is None or headers is None:
            return None
        status = int(start[2])
        if not 100 <= status < 200:
            break
        data = rest
    answer = Message((start[1], start[2]), headers, b'', rest, False)
    if status in _NO_BODY_STATUSES:
        return answer
    return _read_body(answer)


def _read_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...] | None:
    headers = []
    for line in lines:
        match = _HEADER.fullmatch(line)
        if match is None:
            return None
        headers.append((match[1].decode('ascii').lower(),
                        match[2].strip(b' \t').decode('latin-1')))
    return tuple(headers)


def _read_body(head: Message) -> Message | None:
    lengths = head.list_values('content-length')
    codings = head.list_values('transfer-encoding')
    if len(lengths) + len(codings) > 1:
        return None
    if codings:
        return (_read_chunks(head) if codings[0].lower() == 'chunked' else None)
    if not lengths:
        return dataclasses.replace(head,
                                   body=head.following,
                                   following=b'',
                                   ends_with_connection=True)
    if not re.fullmatch('[0-9]{1,18}', lengths[0]):
        return None
    length = int(lengths[0])
    if len(head.following) < length:
        return None
    return dataclasses.replace(head,
                               body=head.following[:length],
                               following=head.following[length:])


def _read_chunks(head: Message) -> Message | None:
    body, data = b'', head.following
    while match := _CHUNK.match(data):
        size, data = int(match[1], 16), data[match.end():]
        if not size:
            following = _skip_trailers(data)
            if following is None:
                return None
            return dataclasses.replace(head, body=body, following=following)
        if data[size:size + 2] != _LINE_END:
            return None
        body, data = body + data[:size], data[size + 2:]
    return None


def _skip_trailers(data: bytes) -> bytes | None:
    """Returns what follows the trailers and the empty line; None if invalid."""
    if data.startswith(_LINE_END):
        return data[len(_LINE_END):]
    trailers, end, following = data.partition(_HEAD_END)
    is_valid = end and _read_headers(trailers.split(_LINE_END)) is not None
    return following if is_valid else None


def read_request(data: bytes) -> Message | None:
    """Returns the first request of a connection, if it is valid."""
    head, end, rest = data.partition(_HEAD_END)
    first, *lines = head.split(_LINE_END)
    headers = _read_headers(lines)
    parts = tuple(first.split(b' '))
    if not end or len(parts) != 3 or headers is None:
        return None
    request = Message(parts, headers, b'', rest, False)
    if any(
            request.list_values(name)
            for name in ('content-length', 'transfer-encoding')):
        return _read_body(request)
    return request


def draw_answer(drawn: random.Random, request_id: str, body: bytes,
                status: int) -> bytes:
    """Returns a valid answer with a length, in chunks, or without a length."""
    headers = [
        b'Lentilmoor-Attempt-Id: ' + request_id.encode(),
        b'Lentilmoor-Upstream-Seal: seal.' + request_id.encode(),
        b'Lentilmoor-Upstream-Load: 1,0,2', b'Store-Era: 1',
        b'Keep-Alive: timeout=5',
        b'Retry-After: %d' % drawn.randrange(9)
    ]
    framing = drawn.choice(('length', 'length', 'chunks', 'close'))
    if framing == 'length':
        headers.append(b'Content-Length: %d' % len(body))
    elif framing == 'chunks':
        headers.append(b'Transfer-Encoding: chunked')
        body = _chunk(drawn, body)
    drawn.shuffle(headers)
    interim = drawn.choice((b'', b'', b'HTTP/1.1 100 Continue\r\n\r\n'))
    return (interim + b'HTTP/1.1 %d OK\r\n' % status +
            b''.join(line + _LINE_END for line in headers) + _LINE_END + body)


def _chunk(drawn: random.Random, body: bytes) -> bytes:
    coded = b''
    while body:
        size = drawn.randint(1, len(body))
        coded += b'%x\r\n%s\r\n' % (size, body[:size])
        body = body[size:]
    return coded + b'0\r\n' + drawn.choice((b'', b'Trailer: x\r\n')) + _LINE_END
