"""Callers that send the same request again and again, as one process.

Each keeps one connection and sends its next request when the last one is
answered. Prints one line of JSON with the counts and all times.
"""

import json
import socket
import threading
import time

from absl import app
from absl import flags

_ADDRESS = flags.DEFINE_string('address', '', 'host:port.')
_PATH = flags.DEFINE_string('path', '/', 'Path to ask for.')
_HEADER = flags.DEFINE_multi_string('header', [], 'Header line.')
_CALLERS = flags.DEFINE_integer('callers', 4, 'Callers at once.')
_SECONDS = flags.DEFINE_float('seconds', 3.0, 'How long.')


def _call(request: bytes, until: float, times_ms: list[float],
          failures: list[bytes]) -> None:
    host, _, port = _ADDRESS.value.rpartition(':')
    connection = socket.create_connection((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader = connection.makefile('rb')
    while time.monotonic() < until:
        began = time.perf_counter()
        connection.sendall(request)
        status = reader.readline()
        length = 0
        while (line := reader.readline()) not in (b'\r\n', b''):
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        reader.read(length)
        if b' 200 ' not in status:
            failures.append(status)
            if not status:
                return
        times_ms.append((time.perf_counter() - began) * 1e3)


def main(argv: list[str]) -> None:
    """Sends requests for some seconds and prints what came of them."""
    del argv
    lines = [f'GET {_PATH.value} HTTP/1.1', f'Host: {_ADDRESS.value}']
    request = '\r\n'.join([*lines, *_HEADER.value, '', '']).encode()
    times_ms: list[float] = []
    failures: list[bytes] = []
    began = time.monotonic()
    until = began + _SECONDS.value
    threads = [
        threading.Thread(target=_call,
                         args=(request, until, times_ms, failures))
        for _ in range(_CALLERS.value)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(
        json.dumps({
            'seconds': time.monotonic() - began,
            'failures': len(failures),
            'times_ms': times_ms
        }))


if __name__ == '__main__':
    app.run(main)
