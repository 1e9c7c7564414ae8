"""Peers that answer each request with given bytes."""

import socket
import threading
import unittest


def frame(body: bytes,
          status: bytes = b'200',
          framing: str = 'length',
          headers: bytes = b'') -> bytes:
    """Returns a reply whose length is the last of its headers."""
    head = b'HTTP/1.1 ' + status + b' X\r\n' + headers
    if framing == 'length':
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    if framing == 'chunks':
        return (head + b'Transfer-Encoding: chunked\r\n\r\n%x\r\n' % len(body) +
                body + b'\r\n0\r\n\r\n')
    return head + b'\r\n' + body


class Peer:
    """Sends the same bytes to each request, then waits or closes.

    Attributes:
      reply: The bytes.
      closes: Whether the connection ends after them.
      connections: Connections that were opened.
    """

    def __init__(self,
                 test: unittest.TestCase,
                 reply: bytes = b'',
                 closes: bool = True):
        self.reply, self.closes, self.connections = reply, closes, 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        test.addCleanup(self._listener.close)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve,
                             args=(connection,),
                             daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, connection.makefile('rb') as reader:
            try:
                while _read_request(reader):
                    connection.sendall(self.reply)
                    if self.closes:
                        return
            except OSError:
                pass


def _read_request(reader) -> bool:
    """Reads a whole request; returns False at the end of the connection.

    If some of it were unread, the close would reset the connection.
    """
    length = 0
    while (line := reader.readline()) != b'\r\n':
        if not line:
            return False
        name, _, value = line.partition(b':')
        length = int(value) if name.lower() == b'content-length' else length
    reader.read(length)
    return True
