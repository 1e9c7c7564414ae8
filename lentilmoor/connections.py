"""Connections to one backend server: which is used, kept, opened or closed.

A connection that timed out, was cut or broke is never used again. An old
connection may have gone silent for good while the server is well: one that
timed out casts doubt on all that have not answered since, and a fresh one
tells a silent connection from a dead server. A request that may not be
repeated only goes on a connection that answered a moment ago, or a fresh one.
New connections are limited in number and in rate, so none of this turns into
a storm. The rules are plain functions of a row; `Pool` carries them out.
"""

import collections
import dataclasses
import threading

from urllib3 import connection as http_connection
from urllib3 import exceptions as http_exceptions

from lentilmoor import clocks
from lentilmoor import outcomes

# A connection is left unused this long before its server would close it: a
# request must not meet the close on its way.
KEEP_ALIVE_MARGIN_MS = 500.0

_NEVER = float('-inf')
# Part of a server's connections that entries leave for probes and operators.
_RESERVED_SHARE = 0.1


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


@dataclasses.dataclass(slots=True)
class Connection:
    """One open connection; times in ms.

    Attributes:
      http: The connection itself.
      opened_at: When it was opened.
      answered_at: When its last whole answer was read.
      acquired_at: When it was last taken for a request.
      use_count: Requests it has carried.
      keep_alive_ms: How long the server keeps it without a request.
    """

    http: http_connection.HTTPConnection
    opened_at: float
    answered_at: float = _NEVER
    acquired_at: float = _NEVER
    use_count: int = 0
    keep_alive_ms: float = float('inf')

    @property
    def reused(self) -> bool:
        """Whether it has carried another request before this one."""
        return self.use_count > 1


def compute_connection_share(connections: int, entries: int) -> int:
    """Returns how many connections an entry may hold to a server.

    Args:
      connections: What the server accepts from all entries together.
      entries: Entries that dispatch to it.
    """
    usable = connections * (1.0 - _RESERVED_SHARE)
    return max(1, int(usable / max(1, entries)))


def may_reuse(rules: PoolLimits, row: PoolState, connection: Connection,
              repeatable: bool, now: float) -> bool:
    """Returns whether a request may go on a connection that is open."""
    if connection.answered_at <= row.stale_before:
        return False
    idle_ms = now - connection.answered_at
    if idle_ms > connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS:
        return False
    return idle_ms <= (rules.max_idle_ms
                       if repeatable else rules.non_idempotent_idle_ms)


def is_stale(rules: PoolLimits, row: PoolState, connection: Connection,
             now: float) -> bool:
    """Returns whether a connection is to be closed, whoever asks for it."""
    return not may_reuse(rules, row, connection, True, now)


def find_open_delay(rules: PoolLimits, row: PoolState, now: float) -> float:
    """Returns how long to wait before a connection may be opened, ms.

    Args:
      rules: The limits.
      row: The pool's state; its tokens are counted up to now.
      now: ms.
    """
    earned = (now - row.tokens_updated_at) * rules.opens_per_s / clocks.MS_PER_S
    row.tokens = min(rules.burst, row.tokens + earned)
    row.tokens_updated_at = now
    if row.tokens >= 1:
        return 0.0
    return (1 - row.tokens) * clocks.MS_PER_S / rules.opens_per_s


def is_connect_failing(row: PoolState) -> bool:
    """Returns whether the last attempt to open a connection failed."""
    return row.last_failed_at > row.last_opened_at


def find_answer_timeout(rules: PoolLimits, connection: Connection,
                        repeatable: bool, remaining_ms: float) -> float:
    """Returns how long to wait for the begin of an answer, ms.

    Only where another try may follow, and only on a connection that can have
    gone silent, is it shorter than the deadline: a slow server gets the rest
    of the deadline on the fresh connection.
    """
    if repeatable and connection.reused:
        return min(rules.reused_answer_timeout_ms, remaining_ms)
    return remaining_ms


def record_timeout(row: PoolState, connection: Connection) -> None:
    """Notes that a connection brought no answer in time.

    Whatever lost track of it may have lost others: those that have not
    answered since it was taken are not used any more.
    """
    row.timed_out_count += 1
    row.stale_before = max(row.stale_before, connection.acquired_at)


class Pool:
    """The connections of this entry to one server; for many threads.

    Attributes:
      limits: Limits of the pool.
      state: State and counters.
    """

    def __init__(self, address: str, rules: PoolLimits, clock: clocks.Clock):
        host, _, port = address.rpartition(':')
        self._host = host.strip('[]')
        self._port = int(port)
        self._clock = clock
        self._idle: collections.deque[Connection] = collections.deque()
        self._changed = threading.Condition()
        self.limits = rules
        self.state = PoolState()

    def acquire(self, repeatable: bool, fresh: bool,
                patience_ms: float) -> Connection | outcomes.Failed:
        """Returns a connection for one request.

        Args:
          repeatable: Whether the request may be run more than once.
          fresh: Whether only a new connection will do.
          patience_ms: How long to wait for one at most.

        Returns:
          A connection, to be given to `release` or `discard`; or why there is
          none, in which case no byte has left. CONNECT_FAILED: the server
          refused. TIMED_OUT: it was not reached. OVERLOADED and NO_SERVER:
          none was opened, so this says nothing new of the server.
        """
        began_at = self._clock.now()
        until = began_at + patience_ms
        with self._changed:
            connection = None if fresh else self._pick_idle(repeatable)
            while connection is None and not self._may_open():
                refusal = self._wait(began_at, until, fresh)
                if refusal is not None:
                    return refusal
                connection = None if fresh else self._pick_idle(repeatable)
        if connection is None:
            connection = self._open(until)
        if isinstance(connection, Connection):
            connection.acquired_at = self._clock.now()
            connection.use_count += 1
        return connection

    def release(self, connection: Connection) -> None:
        """Keeps a connection whose whole answer was read."""
        connection.answered_at = self._clock.now()
        with self._changed:
            if is_stale(self.limits, self.state, connection,
                        connection.answered_at):
                self._close(connection)
            else:
                self._idle.append(connection)
            self._changed.notify()

    def discard(self, connection: Connection, timed_out: bool = False) -> None:
        """Closes a connection for good.

        Args:
          connection: It broke, was cut, timed out or is in an unknown state.
          timed_out: Whether it brought no byte of an answer in time.
        """
        with self._changed:
            if timed_out:
                record_timeout(self.state, connection)
            self._close(connection)
            self._changed.notify()

    def close_stale(self) -> None:
        """Closes connections that are not to be used again."""
        now = self._clock.now()
        with self._changed:
            for connection in list(self._idle):
                if is_stale(self.limits, self.state, connection, now):
                    self._idle.remove(connection)
                    self._close(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._changed:
            while self._idle:
                self._close(self._idle.pop())

    def _pick_idle(self, repeatable: bool) -> Connection | None:
        """Takes the connection that answered last, if it may be used."""
        now = self._clock.now()
        while self._idle:
            connection = self._idle[-1]
            if is_stale(self.limits, self.state, connection, now):
                self.state.stale_closed_count += (connection.answered_at
                                                  <= self.state.stale_before)
            elif connection.http.is_connected:
                if not may_reuse(self.limits, self.state, connection,
                                 repeatable, now):
                    return None
                return self._idle.pop()
            self._close(self._idle.pop())
        return None

    def _may_open(self) -> bool:
        """Takes a token and a place for a new connection, if there are."""
        if find_open_delay(self.limits, self.state, self._clock.now()) > 0:
            return False
        if self.state.open_count >= self.limits.max_open:
            if not self._idle:
                return False
            self._close(self._idle.popleft())
        self.state.tokens -= 1
        self.state.open_count += 1
        return True

    def _wait(self, began_at: float, until: float,
              fresh: bool) -> outcomes.Failed | None:
        """Waits for a change; returns why it is no use, if so."""
        now = self._clock.now()
        self.state.wait_count += 1
        # While new connections fail, one in use may still be put back.
        hopeless = fresh or not self.state.open_count
        late = now >= began_at + self.limits.connect_timeout_ms
        if is_connect_failing(self.state) and (hopeless or late):
            return outcomes.Failed(outcomes.Reason.NO_SERVER,
                                   'new connections fail, none is tried now')
        if now >= until:
            return outcomes.Failed(outcomes.Reason.OVERLOADED,
                                   'all connections to the server are in use')
        wait_ms = until - now
        if is_connect_failing(self.state):
            wait_ms = min(wait_ms,
                          began_at + self.limits.connect_timeout_ms - now)
        if self.state.open_count < self.limits.max_open:
            wait_ms = min(wait_ms, find_open_delay(self.limits, self.state,
                                                   now))
        self._changed.wait(wait_ms / clocks.MS_PER_S)
        return None

    def _open(self, until: float) -> Connection | outcomes.Failed:
        patience_ms = min(self.limits.connect_timeout_ms,
                          until - self._clock.now())
        options = self.limits.socket_options
        http = http_connection.HTTPConnection(self._host,
                                              self._port,
                                              timeout=max(patience_ms, 1.0) /
                                              clocks.MS_PER_S,
                                              **({
                                                  'socket_options': options
                                              } if options else {}))
        try:
            http.connect()
        except (http_exceptions.HTTPError, OSError) as error:
            http.close()
            return self._note_failed(error)
        now = self._clock.now()
        with self._changed:
            self.state.opened_count += 1
            self.state.last_opened_at = now
        return Connection(http, now)

    def _note_failed(self, error: Exception) -> outcomes.Failed:
        with self._changed:
            self.state.open_count -= 1
            self.state.failed_count += 1
            self.state.last_failed_at = self._clock.now()
            self._changed.notify_all()
        reason = outcomes.Reason.TIMED_OUT
        if isinstance(error.__cause__, ConnectionRefusedError):
            reason = outcomes.Reason.CONNECT_FAILED
        return outcomes.Failed(reason, type(error).__name__)

    def _close(self, connection: Connection) -> None:
        """Closes a connection; the lock is held."""
        connection.http.close()
        self.state.open_count -= 1
