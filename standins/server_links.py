"""Paths to backend servers from which single processes can be cut off.

Each server is reached through a `ServerLink`. It knows by the port of a
connection which process has opened it, so that some entries are cut from the
servers while the others reach them. A new connection of a process that is cut
off is either reset or accepted and silent; a real one would not be opened.
"""

from collections.abc import Iterable
import contextlib
import enum
import os
import pathlib
import select
import socket
import struct
import threading

_BLOCK_BYTES = 65_536
# Closing a socket with this option resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class OpenConnections(enum.Enum):
    """What becomes of open connections of a process that is cut off."""

    SILENT = 'silent'
    RESET = 'reset'
    LIVE = 'live'


class Partition:
    """Which processes are cut off, and how.

    Attributes:
      processes: All processes that may open connections, by id.
      links: The paths to the servers.
    """

    def __init__(self):
        self.processes: set[int] = set()
        self.links: list[ServerLink] = []
        self._cut: frozenset[int] = frozenset()
        self._open = OpenConnections.SILENT
        self._refuses = False
        self._changed = threading.Condition()

    def begin(self,
              processes: Iterable[int],
              open_connections: OpenConnections = OpenConnections.SILENT,
              refuses: bool = False) -> None:
        """Cuts processes off.

        Args:
          processes: Their ids.
          open_connections: What becomes of their open connections.
          refuses: Whether their new connections are reset; they are silent
            otherwise.
        """
        self._open, self._refuses = open_connections, refuses
        self._cut = frozenset(processes)
        if open_connections is OpenConnections.RESET:
            for link in self.links:
                link.reset(self._cut)

    def end(self) -> None:
        """Restores all paths."""
        with self._changed:
            self._cut = frozenset()
            self._changed.notify_all()

    def is_cut(self, process: int | None) -> bool:
        """Returns whether a process is cut off now."""
        return process in self._cut

    def is_refused(self, process: int | None) -> bool:
        """Returns whether new connections of a process are reset now."""
        return self._refuses and self.is_cut(process)

    def wait_for_path(self, process: int | None, is_new: bool) -> None:
        """Waits until bytes of a process's connection may pass."""
        if not self.is_cut(process) or (not is_new and
                                        self._open is OpenConnections.LIVE):
            return
        with self._changed:
            self._changed.wait_for(lambda: not self.is_cut(process))

    def find_owner(self, port: int, peer_port: int) -> int | None:
        """Returns the process that opened a loopback connection."""
        inode = _find_inode(port, peer_port)
        # Entries that start meanwhile are added by another thread.
        return next((process for process in list(self.processes)
                     if inode and _has_socket(process, inode)), None)


class ServerLink:
    """Passes the connections to one server on.

    Attributes:
      address: host:port that entries connect to.
    """

    def __init__(self, target: str, partition: Partition):
        host, _, port = target.rpartition(':')
        self._target, self._partition = (host, int(port)), partition
        self._open: list[tuple[int | None, socket.socket, socket.socket]] = []
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self._port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{self._port}'
        partition.links.append(self)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accepts no more connections and closes the open ones."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.reset(None)

    def reset(self, processes: Iterable[int] | None) -> None:
        """Resets the open connections of processes; of all if None."""
        for process, *ends in self._open:
            if processes is None or process in processes:
                for end in ends:
                    with contextlib.suppress(OSError):
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       _RESET_ON_CLOSE)
                        end.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, peer = self._listener.accept()
                threading.Thread(target=self._serve,
                                 args=(caller, peer[1]),
                                 daemon=True).start()

    def _serve(self, caller: socket.socket, peer_port: int) -> None:
        partition = self._partition
        process = partition.find_owner(self._port, peer_port)
        is_new = partition.is_cut(process)
        if partition.is_refused(process):
            _reset(caller)
            return
        if is_new:
            partition.wait_for_path(process, True)
        try:
            server = socket.create_connection(self._target)
        except OSError:
            _reset(caller)
            return
        self._open.append((process, caller, server))
        for source, sink in ((caller, server), (server, caller)):
            threading.Thread(target=self._copy,
                             args=(source, sink, process),
                             daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket,
              process: int | None) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_BLOCK_BYTES):
                self._partition.wait_for_path(process, False)
                if _is_reset(source):
                    break
                sink.sendall(data)
        for end in (source, sink):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              _RESET_ON_CLOSE)
    connection.close()


def _is_reset(connection: socket.socket) -> bool:
    """Returns whether the other end has reset a connection.

    What it had sent before is then lost, as nothing sends it again.
    """
    poll = select.poll()
    poll.register(connection, 0)
    return any(events & (select.POLLERR | select.POLLHUP)
               for _, events in poll.poll(0))


def _find_inode(port: int, peer_port: int) -> str | None:
    """Returns the inode of the other end of an accepted connection."""
    ends = [f'0100007F:{port:04X}', f'0100007F:{peer_port:04X}']
    text = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    for line in text.splitlines():
        fields = line.split()
        if fields[2:0:-1] == ends:
            return fields[9]
    return None


def _has_socket(process: int, inode: str) -> bool:
    name = f'socket:[{inode}]'
    folder = f'/proc/{process}/fd'
    with contextlib.suppress(OSError):
        for number in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f'{folder}/{number}') == name:
                    return True
    return False
