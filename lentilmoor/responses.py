"""Writes answers of servers and error responses to a connection of cheroot.

A complete answer of a usual size is sent with a single write: each write to a
socket releases the interpreter lock and lets other threads run, which costs a
busy entry more than the bytes. A larger body is written from where it is, as
cheroot's writer would copy it, and its rest again after each write. A streamed
answer that is truncated is never ended as if it were complete.
"""

import email.utils
import functools
import http
import time

from cheroot import errors
from cheroot import server as cheroot_server

from lentilmoor import bodies
from lentilmoor import headers as header_names
from lentilmoor import problems
from lentilmoor import transport

# Bodies up to this size are copied behind their head.
MAX_COPIED_BODY_BYTES = 64 * 1024

_Request = cheroot_server.HTTPRequest
_Header = tuple[bytes, bytes]

_STATUS_LINES = {
    item.value: f'{item.value} {item.phrase}'.encode()
    for item in http.HTTPStatus
}
_OUTCOME = problems.OUTCOME_HEADER.encode()
_ANSWERED = problems.Outcome.ANSWERED.value.encode()
_REQUEST_ID = header_names.REQUEST_ID.encode()
_STATUSES_WITHOUT_BODY = frozenset((b'204', b'304'))
_GENERATED_HEADERS = frozenset((b'date', b'server', b'connection'))


def write_answer(request: _Request, request_id: str,
                 answer: transport.Answer) -> None:
    """Writes a server's answer and closes it, even if the caller has left."""
    headers = [(name.encode('latin-1'), value.encode('latin-1'))
               for name, value in answer.headers]
    headers.append((_OUTCOME, _ANSWERED))
    headers.append((_REQUEST_ID, request_id.encode('latin-1')))
    status = _STATUS_LINES.get(answer.status, str(answer.status).encode())
    try:
        if answer.remaining_chunks is None:
            _write_complete(request, status, headers, answer.body)
        else:
            _close_if_body_unread(request)
            _send_headers(request, status, headers)
            _stream(request, answer)
    except OSError as error:
        if error.errno not in errors.socket_errors_to_ignore:
            raise
        _abort(request)
    finally:
        answer.close()


def write_problem(request: _Request,
                  problem: problems.Problem,
                  request_id: str = '') -> None:
    """Writes an error response of the entry itself (RFC 9457)."""
    headers = [(name.encode(), value.encode('latin-1'))
               for name, value in problem.headers]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode('latin-1')))
    _write_complete(request, problem.status_line.encode(), headers,
                    problem.body)


def _write_complete(request: _Request, status: bytes, headers: list[_Header],
                    body: bytes | bytearray) -> None:
    _close_if_body_unread(request)
    if request.method == b'HEAD' or status[:3] in _STATUSES_WITHOUT_BODY:
        body = b''
    if not _can_write_directly(request):
        _send_headers(request, status, headers)
        _write_in_blocks(request, body)
        return
    request.sent_headers = True
    lines = [b'HTTP/1.1 ' + status]
    lines += [
        name + b': ' + value
        for name, value in headers
        if name.lower() not in _GENERATED_HEADERS
    ]
    lines.append(_format_date(int(time.time())))
    if request.close_connection:
        lines.append(b'Connection: close')
    lines.append(b'')
    if len(body) <= MAX_COPIED_BODY_BYTES:
        lines.append(body)
        request.conn.wfile.write(b'\r\n'.join(lines))
        return
    lines.append(b'')
    request.conn.wfile.write(b'\r\n'.join(lines))
    _write_in_blocks(request, body)


def _write_in_blocks(request: _Request, body: bytes | bytearray) -> None:
    """Writes a body with a copy of no more than one block of it."""
    view = memoryview(body)
    for start in range(0, len(view), MAX_COPIED_BODY_BYTES):
        request.write(bytes(view[start:start + MAX_COPIED_BODY_BYTES]))


def _close_if_body_unread(request: _Request) -> None:
    """Closes the connection after the response if the body is not read yet.

    cheroot would read the rest of a long body into memory at once, or parse the
    rest of a chunked body as the next request.
    """
    source = request.rfile
    if request.chunked_read:
        # cheroot's own reader doesn't tell.
        unread = not getattr(source, 'finished', False)
    else:
        unread = not 0 <= source.remaining <= bodies.BUFFER_BYTES
    request.close_connection |= unread


def _can_write_directly(request: _Request) -> bool:
    """Returns whether a response may be written without cheroot's own code.

    That code handles other versions of HTTP, request bodies in chunked coding
    and bodies that aren't read completely.
    """
    return (request.response_protocol == 'HTTP/1.1' and
            not request.chunked_read and
            not getattr(request.rfile, 'remaining', 0))


@functools.lru_cache(maxsize=2)
def _format_date(second: int) -> bytes:
    date = email.utils.formatdate(second, usegmt=True)
    return f'Date: {date}\r\nServer: lentilmoor'.encode()


def _send_headers(request: _Request, status: bytes,
                  headers: list[_Header]) -> None:
    request.status = status
    request.outheaders.extend(headers)
    request.sent_headers = True
    request.send_headers()


def _stream(request: _Request, answer: transport.Answer) -> None:
    # Callers of HTTP/1.0 take the end of the connection for the answer's.
    request.conn.is_reset = request.response_protocol == 'HTTP/1.0'
    try:
        for chunk in answer.remaining_chunks:
            request.write(chunk)
        request.conn.is_reset = False
    except transport.TruncatedAnswerError:
        _abort(request)


def _abort(request: _Request) -> None:
    """Closes the connection without the last chunk that ends an answer."""
    request.chunked_write = False
    request.close_connection = True
