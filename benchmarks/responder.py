"""A server that answers every request at once with the same small answer.

It is faster than what is measured in front of it, checks no grant and counts
as live by any answer to a probe.
"""

import asyncio
import pathlib

from absl import app
from absl import flags

_PORT_FILE = flags.DEFINE_string('port_file', '', 'Where to write host:port.')

_BODY = b'x' * 200
_ANSWER = (b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
           b'Content-Length: %d\r\n\r\n' % len(_BODY)) + _BODY
_HEADERS_END = b'\r\n\r\n'


class Responder(asyncio.Protocol):
    """Answers each request head; bodies are not expected."""

    def __init__(self):
        self._transport = None
        self._rest = b''

    def connection_made(self, transport) -> None:
        """Keeps the connection to write to."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answers as many requests as have arrived."""
        parts = (self._rest + data).split(_HEADERS_END)
        self._rest = parts.pop()
        self._transport.write(_ANSWER * len(parts))


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Responder, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    pathlib.Path(_PORT_FILE.value).write_text(f'127.0.0.1:{port}',
                                              encoding='utf-8')
    await server.serve_forever()


def main(argv: list[str]) -> None:
    """Serves until it is ended."""
    del argv
    asyncio.run(_serve())


if __name__ == '__main__':
    app.run(main)
