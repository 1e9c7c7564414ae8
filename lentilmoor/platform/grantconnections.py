"""Connections that carry grants of keys to backend servers.

A fence goes over one of them only, so each has a number, and a grant may be
bound to one.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import socket
import struct
import threading

from urllib3 import connection as http_connection

from lentilmoor import clocks
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import store

# Links to one server. A grant that is answered late must not keep the others
# beyond their time limit; each server takes a limited number of connections.
MOST_LINKS = 8
# Links to servers that are sent no grants any more are closed after this.
IDLE_MS = 30_000.0
# Closing a connection resets it, also when the process is killed. Otherwise the
# system would go on sending what was given up, for as long as its path is cut.
ABORT_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
OPTIONS = (*store.KEEPALIVE_OPTIONS, ABORT_ON_CLOSE)

_Answer = ownership.CallOutcome


@dataclasses.dataclass(slots=True)
class Link:
    """A connection that carries one server's grants, one at a time.

    Attributes:
      lock: Held while a grant is under way.
      users: Grants that are under way on it or wait for it.
      http: The connection; None before the first, or once it has ended.
      number: Its number; no other connection ever has the same.
    """

    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    users: int = 0
    http: http_connection.HTTPConnection | None = None
    number: int | None = None

    def close(self) -> None:
        """Aborts the connection: what is on its way is lost."""
        if self.http is not None:
            self.http.close()
        self.http = self.number = None


@dataclasses.dataclass(slots=True)
class _Group:
    """The links to one server.

    Attributes:
      links: At most `MOST_LINKS`, free or not.
      used_at: When one was last asked for, ms.
    """

    used_at: float
    links: list[Link] = dataclasses.field(default_factory=list)


class Links:
    """The links to all servers; for many threads."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._groups: dict[tuple[str, str], _Group] = {}
        self._numbers = itertools.count(1)
        self._idle_checked_at = clock.now()

    @contextlib.contextmanager
    def take(self,
             action: ownership.Grant) -> Iterator[Link | ownership.CallOutcome]:
        """Gives the link for a grant, with its lock held.

        Yields:
          A link, perhaps not connected yet; or why there is none: UNLINKED, or
          NOT_SENT if it didn't get free in time.
        """
        with self._lock:
            self._close_idle()
            links = self._list_links(action.server)
            link = _choose_or_add(links, action.link)
            if link is not None:
                link.users += 1
        if link is None:
            yield _Answer.UNLINKED
            return
        wait_s = ownership.POOL_TIMEOUT_MS / clocks.MS_PER_S
        held = link.lock.acquire(timeout=wait_s)
        try:
            yield link if held else _Answer.NOT_SENT
        finally:
            if held:
                link.lock.release()
            with self._lock:
                link.users -= 1

    def _list_links(self, server: tables.Server) -> list[Link]:
        """Returns the links to a server; the lock is held."""
        now = self._clock.now()
        group = self._groups.setdefault((server.id, server.address),
                                        _Group(now))
        group.used_at = now
        return group.links

    def _close_idle(self) -> None:
        now = self._clock.now()
        if now - self._idle_checked_at < IDLE_MS:
            return
        self._idle_checked_at = now
        idle = [
            key for key, group in self._groups.items()
            if now - group.used_at > IDLE_MS
        ]
        for key in idle:
            for link in self._groups.pop(key).links:
                if not link.users:
                    link.close()

    def connect(self, link: Link, address: str, until: float) -> None:
        """Connects a link, whose lock is held, if it isn't connected.

        Raises:
          urllib3.exceptions.HTTPError: It can't be connected in time.
        """
        if link.http is not None:
            return
        host, _, port = address.rpartition(':')
        left_s = find_left_s(self._clock, until)
        connection = http_connection.HTTPConnection(host.strip('[]'),
                                                    int(port),
                                                    timeout=left_s,
                                                    socket_options=OPTIONS)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        link.http, link.number = connection, next(self._numbers)


def _choose_or_add(links: list[Link], number: int | None) -> Link | None:
    """Returns the link for a grant; None if the one it is bound to has ended.

    Args:
      links: Those to the server; a new one may join them.
      number: The link that it is bound to; None if any will do.
    """
    if number is not None:
        return next((link for link in links if link.number == number), None)
    least = min(links, key=lambda link: link.users, default=None)
    if least is not None and (not least.users or len(links) == MOST_LINKS):
        return least
    links.append(Link())
    return links[-1]


def find_left_s(clock: clocks.Clock, until: float) -> float:
    """Returns the time left, in seconds; never 0, which would not wait."""
    return max(1.0, until - clock.now()) / clocks.MS_PER_S
