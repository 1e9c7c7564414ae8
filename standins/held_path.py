"""A path on loopback that goes silent both ways and comes back later.

What was written meanwhile is held back and let through when the path is back,
as the system at the other end sends lost segments again: also if the writer has
closed its connection since, but not if it has reset it.
"""

import contextlib
import socket
import threading

_BLOCK = 65_536


class HeldPath:
    """Forwards connections to a target; `address` is where it listens."""

    def __init__(self, target: str):
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._open = threading.Event()
        self._open.set()
        self._listening = socket.create_server(('127.0.0.1', 0))
        host, port = self._listening.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def hold(self) -> None:
        """Lets nothing through."""
        self._open.clear()

    def release(self) -> None:
        """Lets through what was held back, and all that follows."""
        self._open.set()

    def close(self) -> None:
        """Takes no more connections, and lets through what was held back."""
        self._listening.close()
        self._open.set()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listening.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,),
                             daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        target = None
        with contextlib.suppress(OSError):
            if self._open.is_set():
                target = socket.create_connection(self._target)
        pair = _Pair(self._open, self._target, caller, target)
        pair.forward()


class _Pair:
    """A connection of a caller, and the one that carries it on."""

    def __init__(self, path_open: threading.Event, address: tuple[str, int],
                 caller: socket.socket, target: socket.socket | None):
        self._path_open = path_open
        self._address = address
        self._caller = caller
        self._target = target
        self._changed = threading.Condition()
        self._held = b''
        self._ended = False

    def forward(self) -> None:
        """Carries both ways until one end is closed."""
        threading.Thread(target=self._read, daemon=True).start()
        if self._target is not None:
            threading.Thread(target=self._carry_back, daemon=True).start()
        while self._await_block():
            self._path_open.wait()
            self._write(self._take_block())
        self._path_open.wait()
        for end in (self._caller, self._target):
            with contextlib.suppress(OSError, AttributeError):
                end.close()

    def _read(self) -> None:
        """Takes what the caller writes; a reset takes back what is held."""
        reset = False
        while True:
            try:
                block = self._caller.recv(_BLOCK)
            except OSError:
                block, reset = b'', True
            with self._changed:
                self._held = b'' if reset else self._held + block
                self._ended = not block
                self._changed.notify()
            if not block:
                return

    def _await_block(self) -> bool:
        with self._changed:
            self._changed.wait_for(lambda: self._held or self._ended)
            return bool(self._held)

    def _take_block(self) -> bytes:
        with self._changed:
            block, self._held = self._held, b''
            return block

    def _write(self, block: bytes) -> None:
        if not block:
            return
        with contextlib.suppress(OSError):
            if self._target is None:
                self._target = socket.create_connection(self._address)
                threading.Thread(target=self._carry_back, daemon=True).start()
            self._target.sendall(block)

    def _carry_back(self) -> None:
        with contextlib.suppress(OSError):
            while block := self._target.recv(_BLOCK):
                self._path_open.wait()
                self._caller.sendall(block)
        with contextlib.suppress(OSError):
            self._caller.shutdown(socket.SHUT_RDWR)
