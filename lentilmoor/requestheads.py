"""Heads of requests, parsed strictly.

cheroot overwrites repeated headers, joins folded lines and accepts numbers in
any form that Python does. Here each line must be a header, and how the body
ends must follow from the head in one way only.
"""

import io
import logging
import re
from typing import BinaryIO

from cheroot import server as cheroot_server

from lentilmoor import headers as header_lines

_REQUEST_LINE = re.compile(header_lines.TOKEN +
                           rb' [\x21-\x7e\x80-\xff]+ HTTP/[0-9]\.[0-9]\r\n')
_LENGTH = re.compile(rb'[0-9]{1,18}')
_BLANK_LINE = b'\r\n'
_MAX_LOGGED_BYTES = 80

_CONTENT_LENGTH = b'Content-Length'
_TRANSFER_ENCODING = b'Transfer-Encoding'
_SINGLE_HEADERS = frozenset((b'Host', _CONTENT_LENGTH, _TRANSFER_ENCODING))
_LIST_HEADERS = frozenset(cheroot_server.comma_separated_headers)


class Request(cheroot_server.HTTPRequest):
    """A request whose head is parsed strictly.

    Attributes:
      repeated_headers: Names, in title case, of headers that stand more than
        once.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.rfile = None  # Set by `parse_request`.
        self.repeated_headers: set[bytes] = set()

    def read_request_line(self) -> bool:
        """Reads the first line; returns whether it is valid."""
        head = self.rfile
        line = head.readline()
        if line == _BLANK_LINE:
            line = head.readline()  # RFC 9112, section 2.2.
        if line and not _REQUEST_LINE.fullmatch(line):
            self.simple_response('400 Bad Request',
                                 f'no request line: {_shorten(line)}')
            return False
        self.rfile = io.BytesIO(line)
        try:
            return super().read_request_line()
        finally:
            self.rfile = head

    def header_reader(self, head: BinaryIO, headers: dict[bytes,
                                                          bytes]) -> None:
        """Reads the lines after the first one; cheroot calls it.

        Args:
          head: Where they are read from.
          headers: Set to the values by title-case name.

        Raises:
          ValueError: The head is cut, malformed or ambiguous.
        """
        while (line := head.readline()) != _BLANK_LINE:
            match = header_lines.LINE.fullmatch(line)
            if match is None:
                raise ValueError(f'no header: {_shorten(line)}')
            name, value = match[1].title(), match[2].strip(b' \t')
            if name in headers:
                self.repeated_headers.add(name)
                if name in _LIST_HEADERS and headers[name]:
                    value = headers[name] + b', ' + value
            headers[name] = value
        _check_framing(self.response_protocol, headers)
        repeated = self.repeated_headers & _SINGLE_HEADERS
        if repeated:
            raise ValueError(f'repeated headers: {sorted(repeated)}')

    def simple_response(self, status: str, msg: str = '') -> None:
        """Writes an error response of cheroot; logs why the head is refused."""
        if msg and not self.ready:
            log_refusal(self, f'{status}: {msg}')
        super().simple_response(status, msg)


def log_refusal(request: cheroot_server.HTTPRequest, reason: str) -> None:
    """Logs that a request is refused since its bytes are no whole request."""
    request.server.error_log(
        f'request of {request.conn.remote_addr} refused: {reason}',
        level=logging.WARNING)


def _check_framing(protocol: str, headers: dict[bytes, bytes]) -> None:
    length = headers.get(_CONTENT_LENGTH)
    coding = headers.get(_TRANSFER_ENCODING)
    if length is not None and not _LENGTH.fullmatch(length):
        raise ValueError(f'Content-Length {_shorten(length)}')
    if coding is None:
        return
    if coding.lower() != b'chunked' or protocol != 'HTTP/1.1':
        raise ValueError(f'transfer coding {_shorten(coding)} of {protocol}')
    if length is not None:
        raise ValueError('Content-Length with a chunked body')


def _shorten(data: bytes) -> str:
    return repr(data[:_MAX_LOGGED_BYTES])
