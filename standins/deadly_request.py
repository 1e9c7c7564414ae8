"""A request that crashes each backend server that begins to run it."""

from collections.abc import Iterable
import contextlib
import socket
import threading
import time

from standins import platform_server


class DeadlyRequest:
    """Crashes the servers that it is attached to; they start again.

    Attributes:
      path: Of the request.
      crashes: When servers crashed, s (monotonic).
      restarted: The servers that followed those that crashed.
    """

    def __init__(self,
                 path: str,
                 away_s: float = 2.0,
                 listed_s: float = 1.5,
                 silent: bool = False,
                 powerless: bool = False):
        """Makes a request that crashes servers.

        Args:
          path: Its path; requests for another one do no harm.
          away_s: How long a server stays away.
          listed_s: How long the entry of a crashed server stays in the store;
            for as long as it is away if that is less.
          silent: Whether connections to a crashed server stay open until it is
            back, rather than break at once.
          powerless: Whether new connections aren't refused but get no answer
            either, as from a machine without power.
        """
        self.path = path
        self.crashes: list[float] = []
        self._crashes_by_path = {path: self.crashes}
        self._away_s = away_s
        self._listed_s = min(listed_s, away_s)
        self._silent = silent or powerless
        self._powerless = powerless
        self._lock = threading.Lock()
        self.restarted: list[platform_server.PlatformServer] = []
        self._restarting: list[threading.Thread] = []
        self._closed = False

    def attach(self, servers: Iterable[platform_server.PlatformServer]) -> None:
        """Has the request crash these servers, and those that follow them."""
        for server in servers:
            server.on_begin = self._make_hook(server)

    def add_path(self, path: str) -> list[float]:
        """Has requests for another path crash the servers too.

        Returns:
          When servers crashed by them, s (monotonic).
        """
        return self._crashes_by_path.setdefault(path, [])

    def close(self) -> None:
        """Ends the servers that were started."""
        with self._lock:
            self._closed = True
        for thread in self._restarting:
            thread.join()
        for server in self.restarted:
            server.close()

    def _make_hook(self, server: platform_server.PlatformServer):

        def begin(path: str) -> None:
            crashes = self._crashes_by_path.get(path)
            if crashes is None:
                return
            with self._lock:
                crashes.append(time.monotonic())
            if not server.crash():
                server.check_up()
            ended = threading.Event()
            thread = threading.Thread(target=self._restart,
                                      args=(server, ended))
            with self._lock:
                self._restarting.append(thread)
            thread.start()
            with contextlib.ExitStack() as held:
                if self._powerless:
                    _hold_port(server.port, held)
                if self._silent:
                    time.sleep(self._away_s)
                server.reset()
            ended.set()
            raise ConnectionResetError('crashed')

        return begin

    def _restart(self, server: platform_server.PlatformServer,
                 ended: threading.Event) -> None:
        time.sleep(self._listed_s)
        server.store.delete(f'servers/{server.id}')
        time.sleep(self._away_s - self._listed_s)
        ended.wait()
        with self._lock:
            if self._closed:
                return
            new = platform_server.PlatformServer(server.store,
                                                 server.service,
                                                 server.keyed,
                                                 port=server.port)
            self.restarted.append(new)
        self.attach([new])


def find_late(crashes: list[float], stable_s: float) -> list[float]:
    """Returns the crashes that came so long after the third one, if any."""
    crashes = sorted(crashes)
    return [at for at in crashes[3:] if at > crashes[2] + stable_s]


def _hold_port(port: int, held: contextlib.ExitStack) -> None:
    """Has connections to a port get no answer."""
    listener = held.enter_context(socket.socket())
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(('127.0.0.1', port))
    listener.listen(0)
    for _ in range(2):  # The queue takes no more, and what comes is dropped.
        filler = held.enter_context(socket.socket())
        filler.setblocking(False)
        filler.connect_ex(('127.0.0.1', port))
