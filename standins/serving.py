"""What both stand-ins share: a small HTTP server that can also misbehave.

A handler is a plain function from a `Call` to a `Reply`. Beside answering, it
may cut an answer short, close a connection without an answer, or leave a
connection open and silent for good.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http.client
import json
import pathlib
import socket
import sys
import threading
import time
from typing import Any
import urllib.parse

from absl import flags
from cheroot import server as http_server
from cheroot import wsgi

from lentilmoor import clocks

PORT = flags.DEFINE_integer('port', 0, 'TCP port on loopback; 0: any.')
PORT_FILE = flags.DEFINE_string('port_file', '', 'Where to write host:port.')

_CONNECTION = 'standins.connection'


class Connection(http_server.HTTPConnection):
    """A connection that can go silent: open for good, but never answering."""

    silent = False

    def __init__(self, server, sock, makefile=http_server.MakeFile):
        super().__init__(server, sock, makefile)
        self._accepted = server.note_opened(self)
        self._new = True

    def communicate(self) -> bool:
        """Answers one request; returns whether the connection stays."""
        if self.silent or not self._accepted:
            return False
        if self._new:
            time.sleep(self.server.connect_ms / clocks.MS_PER_S)
            self._new = False
        return super().communicate()

    def close(self) -> None:
        """Closes the connection, unless it is to stay open and silent."""
        if not self.silent:
            self.server.note_closed(self)
            super().close()

    def cut(self) -> None:
        """Closes the connection at once, whatever was being answered."""
        self.linger = False
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # The other end was first.


class _Gateway(wsgi.Gateway_10):

    def get_environ(self):
        environ = super().get_environ()
        environ[_CONNECTION] = self.req.conn
        return environ

    def respond(self):
        try:
            super().respond()
        except _NoAnswerError:
            self.req.sent_headers = True
            self.req.close_connection = True


class _NoAnswerError(Exception):
    """Ends a call without a byte of answer."""


class Server(wsgi.Server):
    """A cheroot server that knows its open connections.

    Attributes:
      max_connections: More than these are closed unanswered.
      connect_ms: What accepting a connection costs.
    """

    ConnectionClass = Connection
    max_connections = sys.maxsize
    connect_ms = 0.0
    # How long a stop may go unnoticed, seconds.
    expiration_interval = 0.05

    def __init__(self, app, port: int, threads: int):
        self._open: set[Connection] = set()
        self._open_lock = threading.Lock()
        super().__init__(('127.0.0.1', port),
                         app,
                         numthreads=threads,
                         request_queue_size=256)
        self.gateway = _Gateway
        # cheroot's own limit of 10 would close most connections in use.
        self.keep_alive_conn_limit = None

    @property
    def address(self) -> str:
        """host:port, once it listens."""
        host, port = self.bind_addr[:2]
        return f'{host}:{port}'

    def note_opened(self, connection: Connection) -> bool:
        """Counts a connection; returns whether it is within the limit."""
        with self._open_lock:
            accepted = len(self._open) < self.max_connections
            if accepted:
                self._open.add(connection)
            return accepted

    def note_closed(self, connection: Connection) -> None:
        """No longer counts a connection."""
        with self._open_lock:
            self._open.discard(connection)

    def list_connections(self) -> list[Connection]:
        """Returns the connections that are open, silent ones included."""
        with self._open_lock:
            return list(self._open)

    def silence_connections(self, spared: Connection | None) -> int:
        """Makes all open connections but one silent; returns how many."""
        connections = [
            connection for connection in self.list_connections()
            if connection is not spared
        ]
        for connection in connections:
            connection.silent = True
        return len(connections)

    def error_log(self, msg='', level=20, traceback=False):
        """Drops cheroot's lines: cut connections are what is asked for."""


@dataclasses.dataclass(slots=True)
class Call:
    """One HTTP request as handlers see it."""

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, Any]

    @property
    def connection(self) -> Connection:
        """The connection that it came on."""
        return self.environ[_CONNECTION]

    def header(self, name: str, default: str = '') -> str:
        """Returns a request header by its usual name."""
        key = 'HTTP_' + name.upper().replace('-', '_')
        return self.environ.get(key, default)

    def blocks(self, size: int = 65536) -> Iterable[bytes]:
        """Yields the request body in blocks."""
        source = self.environ['wsgi.input']
        while block := source.read(size):
            yield block

    def body(self) -> bytes:
        """Returns the whole request body."""
        return b''.join(self.blocks())

    def json(self) -> Any:
        """Returns the body parsed as JSON, or None if it is not JSON."""
        try:
            return json.loads(self.body() or b'{}')
        except ValueError:
            return None


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What to answer.

    Attributes:
      status: HTTP status.
      headers: Header fields.
      body: The body, whole or in blocks.
      length: Content-Length to claim; None for what fits (or chunked).
      cut: Close the connection after the body, however long it claimed to be.
      dropped: Close the connection instead of answering.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | Iterable[bytes] = b''
    length: int | None = None
    cut: bool = False
    dropped: bool = False


DROPPED = Reply(dropped=True)


def reply_json(value: Any, status: int = 200, **headers: str) -> Reply:
    """Returns a JSON reply; header names are given with underscores."""
    fields = [('Content-Type', 'application/json')]
    fields += [(name.replace('_', '-'), text) for name, text in headers.items()]
    return Reply(status, tuple(fields), json.dumps(value).encode())


def make_server(handler: Callable[[Call], Reply], port: int,
                threads: int) -> Server:
    """Returns a listening server that is not served yet.

    Args:
      handler: Answers each call; it may block.
      port: TCP port on loopback, or 0 for one that the system picks.
      threads: Calls that are handled at once.
    """

    def app(environ, start_response):
        call = _read_call(environ)
        reply = handler(call)
        if reply.dropped or call.connection.silent:
            if not call.connection.silent:
                call.connection.cut()
            raise _NoAnswerError
        return _send(call, reply, start_response)

    server = Server(app, port, threads)
    server.prepare()
    return server


def serve_in_thread(server: Server) -> Callable[[], None]:
    """Serves in a thread; returns a function that stops it."""
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()

    def stop():
        server.stop()
        thread.join()

    return stop


def serve(server: Server) -> None:
    """Serves until it is ended; first tells its port, if a file is named."""
    if PORT_FILE.value:
        # Whole or not at all: somebody waits for this file.
        partial = pathlib.Path(PORT_FILE.value + '.partial')
        partial.write_text(server.address, encoding='utf-8')
        partial.rename(PORT_FILE.value)
    server.serve()


def _read_call(environ) -> Call:
    query = urllib.parse.parse_qsl(environ['QUERY_STRING'],
                                   keep_blank_values=True)
    path = environ['PATH_INFO'].encode('latin-1').decode('utf-8', 'replace')
    return Call(environ['REQUEST_METHOD'], path, dict(query), environ)


def _send(call: Call, reply: Reply, start_response) -> Iterable[bytes]:
    headers = list(reply.headers)
    blocks = reply.body
    length = reply.length
    if isinstance(blocks, bytes):
        length = len(blocks) if length is None else length
        blocks = [blocks]
    if length is not None:
        headers.append(('Content-Length', str(length)))
    start_response(f'{int(reply.status)} {_phrase(reply.status)}', headers)
    return _while_heard(call.connection, blocks, reply.cut)


def _phrase(status: int) -> str:
    return http.client.responses.get(status, 'Other')


def _while_heard(connection: Connection, blocks: Iterable[bytes],
                 cut: bool) -> Iterable[bytes]:
    for block in blocks:
        if connection.silent:
            raise _NoAnswerError
        yield block
    if cut:
        connection.cut()
