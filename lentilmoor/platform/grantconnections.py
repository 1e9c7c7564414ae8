"""A pool of the connections over which backend servers are granted keys.

A fencing token is only ever sent over one connection. Each connection therefore
has a number, and a grant may be bound to the connection with a number.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import threading

from lentilmoor import boundedreads
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import store

# More than one, so that a grant that is answered late doesn't delay the others
# beyond their timeout; few, as each server accepts a limited number.
MAX_CONNECTIONS_PER_SERVER = 8
# Size of the largest answer to a grant, which states nothing but its status.
MAX_ANSWER_BYTES = 64 * 1024
# Connections to a server that is sent no grants are closed after this time.
IDLE_TIMEOUT_MS = 30_000.0
# Also applies when the process is killed, with a grant on its way.
SOCKET_OPTIONS = (*store.KEEPALIVE_OPTIONS, connections.ABORT_ON_CLOSE)

_Outcome = ownership.CallOutcome


@dataclasses.dataclass(slots=True)
class GrantConnection:
    """A connection that carries one server's grants, one at a time.

    Attributes:
      lock: Held while a grant is in flight.
      users: Number of grants that are in flight or wait for the connection.
      http: The connection; None before it is opened and after it is closed.
      number: The connection's number, which is never used again.
    """

    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    users: int = 0
    http: boundedreads.BoundedConnection | None = None
    number: int | None = None

    def close(self) -> None:
        """Resets the connection; data in transit is lost."""
        if self.http is not None:
            self.http.close()
        self.http = self.number = None


@dataclasses.dataclass(slots=True)
class _ServerConnections:
    """The connections to one server.

    Attributes:
      used_at: When a connection was last reserved, ms.
      connections: At most `MAX_CONNECTIONS_PER_SERVER`, idle or in use.
    """

    used_at: float
    connections: list[GrantConnection] = dataclasses.field(default_factory=list)


class GrantConnectionPool:
    """The connections to all servers; thread-safe."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._groups: dict[tuple[str, str], _ServerConnections] = {}
        self._numbers = itertools.count(1)
        self._idle_checked_at = clock.now()

    @contextlib.contextmanager
    def reserve(
        self, action: ownership.Grant
    ) -> Iterator[GrantConnection | ownership.CallOutcome]:
        """Reserves a connection for a grant and holds its lock meanwhile.

        Args:
          action: The grant.

        Yields:
          The connection, which may not be open yet; or why there is none:
          UNLINKED if the connection that the grant is bound to has ended,
          NOT_SENT if it didn't become free in time.
        """
        with self._lock:
            self._close_idle()
            existing = self._list_connections(action.server)
            connection = _select_or_add(existing, action.link)
            if connection is not None:
                connection.users += 1
        if connection is None:
            yield _Outcome.UNLINKED
            return
        wait_s = ownership.POOL_TIMEOUT_MS / clocks.MS_PER_S
        acquired = connection.lock.acquire(timeout=wait_s)
        try:
            yield connection if acquired else _Outcome.NOT_SENT
        finally:
            if acquired:
                connection.lock.release()
            with self._lock:
                connection.users -= 1

    def _list_connections(self, server: tables.Server) -> list[GrantConnection]:
        """Returns the connections to a server; the caller holds the lock."""
        now = self._clock.now()
        group = self._groups.setdefault((server.id, server.address),
                                        _ServerConnections(now))
        group.used_at = now
        return group.connections

    def _close_idle(self) -> None:
        now = self._clock.now()
        if now - self._idle_checked_at < IDLE_TIMEOUT_MS:
            return
        self._idle_checked_at = now
        idle = [
            key for key, group in self._groups.items()
            if now - group.used_at > IDLE_TIMEOUT_MS
        ]
        for key in idle:
            for connection in self._groups.pop(key).connections:
                if not connection.users:
                    connection.close()

    def connect(self, target: GrantConnection, address: str,
                deadline_at: float) -> None:
        """Opens a connection, whose lock the caller holds, if it isn't open.

        Args:
          target: The connection.
          address: host:port of the server.
          deadline_at: When the attempt to connect times out, ms.

        Raises:
          urllib3.exceptions.HTTPError: The connection can't be opened in time.
        """
        if target.http is not None:
            return
        host, _, port = address.rpartition(':')
        remaining_s = find_remaining_s(self._clock, deadline_at)
        connection = boundedreads.BoundedConnection(
            host.strip('[]'),
            int(port),
            clock=self._clock,
            max_body_bytes=MAX_ANSWER_BYTES,
            timeout=remaining_s,
            socket_options=SOCKET_OPTIONS)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        target.http, target.number = connection, next(self._numbers)


def _select_or_add(existing: list[GrantConnection],
                   number: int | None) -> GrantConnection | None:
    """Returns a connection for a grant; None if the bound one has ended.

    Args:
      existing: The connections to the server; a new one may be added.
      number: The number of the connection that the grant is bound to; None if
        it may use any.
    """
    if number is not None:
        return next((link for link in existing if link.number == number), None)
    least_used = min(existing, key=lambda link: link.users, default=None)
    if least_used is not None and (not least_used.users or
                                   len(existing) == MAX_CONNECTIONS_PER_SERVER):
        return least_used
    existing.append(GrantConnection())
    return existing[-1]


def find_remaining_s(clock: clocks.Clock, deadline_at: float) -> float:
    """Returns the time until a deadline, s; at least 1 ms, as 0 never waits."""
    return max(1.0, deadline_at - clock.now()) / clocks.MS_PER_S
