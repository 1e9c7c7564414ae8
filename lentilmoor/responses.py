"""Writes answers and refusals to a connection of cheroot.

A whole answer leaves in one piece: each write to a socket lets other threads
run, and a busy entry pays for that more than for the bytes. A streamed answer
that is cut is never ended as if it were whole.
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

_Request = cheroot_server.HTTPRequest
_Header = tuple[bytes, bytes]

_PHRASES = {
    item.value: f'{item.value} {item.phrase}'.encode()
    for item in http.HTTPStatus
}
_OUTCOME = problems.OUTCOME_HEADER.encode()
_ANSWERED = problems.Outcome.ANSWERED.value.encode()
_REQUEST_ID = header_names.REQUEST_ID.encode()
_WRITTEN_HERE = frozenset((b'date', b'server', b'connection'))


def write_answer(request: _Request, request_id: str,
                 answer: transport.Answer) -> None:
    """Writes a server's answer; closes it if the caller goes away."""
    headers = [(name.encode('latin-1'), value.encode('latin-1'))
               for name, value in answer.headers]
    headers.append((_OUTCOME, _ANSWERED))
    headers.append((_REQUEST_ID, request_id.encode()))
    status = _PHRASES.get(answer.status, str(answer.status).encode())
    try:
        if answer.remaining_chunks is None:
            _write_whole(request, status, headers, answer.body)
        else:
            _leave_body(request)
            _send_headers(request, status, headers)
            _stream(request, answer)
    except OSError as error:
        if error.errno not in errors.socket_errors_to_ignore:
            raise
        _cut(request)
    finally:
        answer.close()


def write_problem(request: _Request,
                  problem: problems.Problem,
                  request_id: str = '') -> None:
    """Writes a refusal of the entry itself."""
    headers = [(name.encode(), value.encode('latin-1'))
               for name, value in problem.headers]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode()))
    _write_whole(request, problem.status_line.encode(), headers, problem.body)


def _write_whole(request: _Request, status: bytes, headers: list[_Header],
                 body: bytes) -> None:
    _leave_body(request)
    if not _is_plain(request):
        _send_headers(request, status, headers)
        request.write(body)
        return
    request.sent_headers = True
    lines = [b'HTTP/1.1 ' + status]
    lines += [
        name + b': ' + value
        for name, value in headers
        if name.lower() not in _WRITTEN_HERE
    ]
    lines.append(_format_date(int(time.time())))
    if request.close_connection:
        lines.append(b'Connection: close')
    lines.append(b'')
    lines.append(body)
    request.conn.wfile.write(b'\r\n'.join(lines))


def _leave_body(request: _Request) -> None:
    """Has the connection closed if part of the body is still to come.

    cheroot would read the rest into memory at once, or take the rest of a
    chunked body for the next request.
    """
    source = request.rfile
    if request.chunked_read:
        unread = not source.finished
    else:
        unread = not 0 <= source.remaining <= bodies.BUFFER_BYTES
    request.close_connection |= unread


def _is_plain(request: _Request) -> bool:
    """Returns whether nothing of the request needs cheroot's own care."""
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
    try:
        for chunk in answer.remaining_chunks:
            request.write(chunk)
    except transport.TruncatedAnswerError:
        _cut(request)


def _cut(request: _Request) -> None:
    """Closes the connection without the mark that ends a whole answer."""
    request.chunked_write = False
    request.close_connection = True
