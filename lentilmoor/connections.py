"""Pool of keep-alive connections to one backend server.

A connection that timed out, was cut or failed is never reused. An old
connection can lose its path for good although the server is healthy, so a
timeout on one connection makes stale all that have not answered since it was
acquired; a new connection then shows whether the server itself is down. A
request that is not idempotent goes only on a connection that answered recently
or on a new one. A request avoids the connections that have carried it, or
another one with its id, where a late copy of an earlier answer can't be told
from its own.
The number and the rate of new connections are limited, so closing stale
connections can't cause a connection storm. The rules are plain functions of the
pool's limits and state; `Pool` applies them.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import socket
import struct
import threading

from urllib3 import exceptions as http_exceptions

from lentilmoor import boundedreads
from lentilmoor import clocks
from lentilmoor import outcomes

# A connection is no longer used this long before its server would close it:
# otherwise a request may cross the server's close on the network.
KEEP_ALIVE_MARGIN_MS = 500.0

# Closing a connection resets it, so that what was sent and not delivered is
# dropped. The kernel would retransmit it, and it would arrive when a network
# partition ends.
ABORT_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))

# Ids of requests that a connection remembers. A copy of an answer that comes
# after this many others is no longer told from the answer to a repeated id.
MAX_REMEMBERED_IDS = 32

_NEVER = float('-inf')
# Fraction of a server's connections left for probes and operators.
_RESERVED_FRACTION = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a pool of connections to one server.

    Attributes:
      max_open: Connections that may be open at once.
      max_idle_ms: A connection that was unused for longer is closed.
      non_idempotent_idle_ms: A request that is not idempotent reuses only a
        connection that was unused for at most this time.
      reused_answer_timeout_ms: Timeout for the start of the answer to an
        idempotent request on a reused connection.
      connect_timeout_ms: Timeout for opening a connection.
      opens_per_s: Connections opened per second, after a first burst.
      burst: Size of that burst.
      max_body_bytes: Size of the largest body of an answer.
      socket_options: Socket options of each connection; urllib3's defaults if
        empty.
    """

    max_open: int = 8
    max_idle_ms: float = 15_000.0
    non_idempotent_idle_ms: float = 1_000.0
    reused_answer_timeout_ms: float = 250.0
    connect_timeout_ms: float = 250.0
    opens_per_s: float = 20.0
    burst: float = 8.0
    max_body_bytes: int = 64 * 1024 * 1024
    socket_options: tuple = ()


@dataclasses.dataclass(slots=True)
class PoolState:
    """State and counters of a pool of connections; times in ms.

    Attributes:
      open_count: Connections that are open or being opened.
      tokens: Connections that may be opened now.
      tokens_updated_at: When `tokens` was last updated.
      stale_before: A connection whose last answer is not later than this is
        not used again.
      last_opened_at: When a connection was last opened.
      last_failed_at: When opening a connection last failed.
      opened_count: Connections opened since the start.
      failed_count: Failures to open a connection since the start.
      timed_out_count: Connections that did not begin an answer in time.
      stale_closed_count: Connections closed because another one timed out.
      wait_count: Times that a request waited for a connection or got none.
    """

    open_count: int = 0
    tokens: float = 0.0
    tokens_updated_at: float = _NEVER
    stale_before: float = _NEVER
    last_opened_at: float = _NEVER
    last_failed_at: float = _NEVER
    opened_count: int = 0
    failed_count: int = 0
    timed_out_count: int = 0
    stale_closed_count: int = 0
    wait_count: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One open connection; times in ms.

    Attributes:
      http: The underlying connection.
      opened_at: When it was opened.
      answered_at: When a complete answer was last read from it.
      acquired_at: When it was last acquired for a request.
      use_count: Number of requests it was acquired for.
      keep_alive_ms: How long the server keeps it open without a request.
      carried_ids: Hashes of the ids of the last requests that it carried.
    """

    http: boundedreads.BoundedConnection
    opened_at: float
    answered_at: float = _NEVER
    acquired_at: float = _NEVER
    use_count: int = 0
    keep_alive_ms: float = float('inf')
    carried_ids: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_REMEMBERED_IDS))

    @property
    def reused(self) -> bool:
        """Whether it carried another request before the current one."""
        return self.use_count > 1

    def note_carried(self, request_id: str) -> None:
        """Remembers the id of a request that is sent over it."""
        self.carried_ids.append(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Returns whether it may have carried a request with an id lately."""
        return hash(request_id) in self.carried_ids


def compute_connection_share(connections: int, entries: int) -> int:
    """Returns how many connections an entry may open to a server.

    Args:
      connections: Connections that the server accepts from all entries
        together.
      entries: Number of entries that send requests to it.
    """
    usable = connections * (1.0 - _RESERVED_FRACTION)
    return max(1, int(usable / max(1, entries)))


def may_reuse(limits: PoolLimits, state: PoolState, connection: Connection,
              idempotent: bool, now: float) -> bool:
    """Returns whether a request may be sent on an idle connection."""
    if connection.answered_at <= state.stale_before:
        return False
    idle_ms = now - connection.answered_at
    if idle_ms > connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS:
        return False
    return idle_ms <= (limits.max_idle_ms
                       if idempotent else limits.non_idempotent_idle_ms)


def is_stale(limits: PoolLimits, state: PoolState, connection: Connection,
             now: float) -> bool:
    """Returns whether no request may be sent on a connection any more."""
    return not may_reuse(limits, state, connection, True, now)


def find_open_delay(limits: PoolLimits, state: PoolState, now: float) -> float:
    """Returns how long to wait until a connection may be opened, ms.

    Args:
      limits: Limits of the pool.
      state: State of the pool; its tokens are updated.
      now: Current time, ms.
    """
    new_tokens = (
        now - state.tokens_updated_at) * limits.opens_per_s / clocks.MS_PER_S
    state.tokens = min(limits.burst, state.tokens + new_tokens)
    state.tokens_updated_at = now
    if state.tokens >= 1:
        return 0.0
    return (1 - state.tokens) * clocks.MS_PER_S / limits.opens_per_s


def is_connect_failing(state: PoolState) -> bool:
    """Returns whether the last attempt to open a connection failed."""
    return state.last_failed_at > state.last_opened_at


def find_answer_timeout(limits: PoolLimits, connection: Connection,
                        idempotent: bool, remaining_ms: float) -> float:
    """Returns the timeout for the start of an answer, ms.

    It is shorter than the time left until the deadline only if the request may
    be retried and the connection was reused, so that its path may be lost. A
    server that is merely slow has the rest of that time on a new connection.
    """
    if idempotent and connection.reused:
        return min(limits.reused_answer_timeout_ms, remaining_ms)
    return remaining_ms


def record_timeout(state: PoolState, connection: Connection) -> None:
    """Records that no answer began in time on a connection.

    A network device that dropped the state of this connection may have dropped
    that of others too: those that have not answered since this one was acquired
    become stale.
    """
    state.timed_out_count += 1
    state.stale_before = max(state.stale_before, connection.acquired_at)


class Pool:
    """The connections of this entry to one server; thread-safe.

    Attributes:
      limits: Limits of the pool; may be replaced.
      state: State and counters.
      clock: Clock of this process.
    """

    def __init__(self, address: str, limits: PoolLimits, clock: clocks.Clock):
        host, _, port = address.rpartition(':')
        self._host = host.strip('[]')
        self._port = int(port)
        self.clock = clock
        self._idle: collections.deque[Connection] = collections.deque()
        self._state_changed = threading.Condition()
        # Threads in `acquire` that have to avoid connections.
        self._avoiding_count = 0
        self.limits = limits
        self.state = PoolState()

    def acquire(self,
                idempotent: bool,
                new_only: bool,
                timeout_ms: float,
                avoided: Collection[Connection] = (),
                request_id: str = '') -> Connection | outcomes.Failed:
        """Returns a connection for one request.

        Args:
          idempotent: Whether the request may be run more than once.
          new_only: Whether only a new connection may be used.
          timeout_ms: Longest time to wait for a connection.
          avoided: Connections that must not be used.
          request_id: Id of the request; connections that have carried it
            aren't used.

        Returns:
          A connection, which must be passed to `release` or `discard`; or the
          reason why there is none, in which case no byte was sent.
          CONNECT_FAILED: the server refused the connection. TIMED_OUT: the
          server could not be reached. OVERLOADED and NO_SERVER: no connection
          was attempted, so nothing new is known about the server.
        """
        started_at = self.clock.now()
        deadline = started_at + timeout_ms

        def take_idle() -> Connection | None:
            return (None if new_only else self._pop_idle(
                idempotent, avoided, request_id))

        with self._state_changed:
            connection = take_idle()
            if connection is None and not self._reserve_slot():
                avoids = bool(avoided) or any(
                    item.has_carried(request_id) for item in self._idle)
                connection = self._wait_for_connection(take_idle, avoids,
                                                       started_at, deadline,
                                                       new_only)
        if connection is None:
            connection = self._open(deadline)
        if isinstance(connection, Connection):
            connection.acquired_at = self.clock.now()
            connection.use_count += 1
        return connection

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool after a complete answer."""
        connection.answered_at = self.clock.now()
        with self._state_changed:
            # The limit may have been lowered since the connection was opened.
            is_surplus = self.state.open_count > self.limits.max_open
            if is_surplus or is_stale(self.limits, self.state, connection,
                                      connection.answered_at):
                self._close(connection)
            else:
                self._idle.append(connection)
            if self._avoiding_count:
                # The thread that is woken may have to avoid this connection.
                self._state_changed.notify_all()
            else:
                self._state_changed.notify()

    def discard(self, connection: Connection, timed_out: bool = False) -> None:
        """Resets a connection that must not be reused.

        Args:
          connection: A connection that failed, was cut, timed out or is in an
            unknown state.
          timed_out: Whether no byte of an answer arrived in time.
        """
        with self._state_changed:
            if timed_out:
                record_timeout(self.state, connection)
            if connection.http.sock is not None:
                connection.http.sock.setsockopt(*ABORT_ON_CLOSE)
            self._close(connection)
            self._state_changed.notify()

    def close_stale(self) -> None:
        """Closes the idle connections that may not be used any more."""
        now = self.clock.now()
        with self._state_changed:
            for connection in list(self._idle):
                if is_stale(self.limits, self.state, connection, now):
                    self._idle.remove(connection)
                    self._close(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._state_changed:
            while self._idle:
                self._close(self._idle.pop())

    def _pop_idle(self, idempotent: bool, avoided: Collection[Connection],
                  request_id: str) -> Connection | None:
        """Returns the idle connection that answered last, if it is usable.

        Connections to avoid are left out and stay idle.
        """
        now = self.clock.now()
        for connection in reversed(list(self._idle)):
            if connection in avoided or connection.has_carried(request_id):
                continue
            if is_stale(self.limits, self.state, connection, now):
                self.state.stale_closed_count += (connection.answered_at
                                                  <= self.state.stale_before)
            elif connection.http.is_connected:
                if not may_reuse(self.limits, self.state, connection,
                                 idempotent, now):
                    return None
                self._idle.remove(connection)
                return connection
            self._idle.remove(connection)
            self._close(connection)
        return None

    def _reserve_slot(self) -> bool:
        """Reserves a token and a slot for a new connection, if there are."""
        if find_open_delay(self.limits, self.state, self.clock.now()) > 0:
            return False
        if self.state.open_count >= self.limits.max_open:
            if not self._idle:
                return False
            self._close(self._idle.popleft())
        self.state.tokens -= 1
        self.state.open_count += 1
        return True

    def _wait_for_connection(
            self, take_idle: Callable[[], Connection | None], avoids: bool,
            started_at: float, deadline: float,
            new_only: bool) -> Connection | outcomes.Failed | None:
        """Waits for an idle connection, or for a slot to open one.

        Args:
          take_idle: Returns an idle connection that may be used, if there is.
          avoids: Whether there are connections that it leaves out.
          started_at: When the request asked for a connection, ms.
          deadline: When the wait ends, ms.
          new_only: Whether only a new connection may be used.

        Returns:
          The connection; None if a slot is reserved; or why neither is to be
          had.
        """
        self._avoiding_count += avoids
        try:
            while True:
                failure = self._wait_for_change(started_at, deadline, new_only)
                if failure is not None:
                    return failure
                connection = take_idle()
                if connection is not None or self._reserve_slot():
                    return connection
        finally:
            self._avoiding_count -= avoids

    def _wait_for_change(self, started_at: float, deadline: float,
                         new_only: bool) -> outcomes.Failed | None:
        """Waits for a change of the pool; returns a failure if none helps."""
        now = self.clock.now()
        self.state.wait_count += 1
        # While new connections fail, one in use may still be released.
        must_open = new_only or not self.state.open_count
        connect_timed_out = now >= started_at + self.limits.connect_timeout_ms
        if is_connect_failing(self.state) and (must_open or connect_timed_out):
            return outcomes.Failed(
                outcomes.Reason.NO_SERVER,
                'the last connection attempt failed; '
                'no other is allowed yet')
        if now >= deadline:
            return outcomes.Failed(outcomes.Reason.OVERLOADED,
                                   'all connections to the server are in use')
        wait_ms = deadline - now
        if is_connect_failing(self.state):
            wait_ms = min(wait_ms,
                          started_at + self.limits.connect_timeout_ms - now)
        # A new connection may take the place of one that is idle.
        if self.state.open_count < self.limits.max_open or self._idle:
            wait_ms = min(wait_ms, find_open_delay(self.limits, self.state,
                                                   now))
        self._state_changed.wait(wait_ms / clocks.MS_PER_S)
        return None

    def _open(self, deadline: float) -> Connection | outcomes.Failed:
        timeout_ms = min(self.limits.connect_timeout_ms,
                         deadline - self.clock.now())
        options = self.limits.socket_options
        connection = boundedreads.BoundedConnection(
            self._host,
            self._port,
            clock=self.clock,
            max_body_bytes=self.limits.max_body_bytes,
            timeout=max(timeout_ms, 1.0) / clocks.MS_PER_S,
            **({
                'socket_options': options
            } if options else {}))
        try:
            connection.connect()
        except (http_exceptions.HTTPError, OSError) as error:
            connection.close()
            return self._record_open_failure(error)
        now = self.clock.now()
        with self._state_changed:
            self.state.opened_count += 1
            self.state.last_opened_at = now
        return Connection(connection, now)

    def _record_open_failure(self, error: Exception) -> outcomes.Failed:
        with self._state_changed:
            self.state.open_count -= 1
            self.state.failed_count += 1
            self.state.last_failed_at = self.clock.now()
            self._state_changed.notify_all()
        reason = outcomes.Reason.TIMED_OUT
        if isinstance(error.__cause__, ConnectionRefusedError):
            reason = outcomes.Reason.CONNECT_FAILED
        return outcomes.Failed(reason, type(error).__name__)

    def _close(self, connection: Connection) -> None:
        """Closes a connection; the caller holds the lock."""
        connection.http.close()
        self.state.open_count -= 1
