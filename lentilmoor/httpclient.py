"""HTTP client for short calls with a deadline to other systems.

A connection that timed out or failed is never reused, and neither are the idle
connections to the same address: a network device that dropped the state of one
may have dropped that of all. Neither is one that holds bytes behind a reply:
they could count as the reply to the next call.
"""

import dataclasses
import threading

import urllib3
import urllib3.exceptions

from lentilmoor import boundedreads
from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import outcomes

# Size of the largest reply: a page of a store, or all that an entry knows of
# it. Machines have 200 MB or more.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# The same for calls whose replies are short.
MAX_SHORT_REPLY_BYTES = 1024 * 1024
# Why a reply counts as none although its status is 200, for logs.
INVALID_REPLY = 'invalid-reply'
# What each call may use although another one holds a reply of the largest size.
_OWN_MEMORY_BYTES = 256 * 1024
_READ_BYTES = 256 * 1024

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to send.

    Attributes:
      method: HTTP method.
      target: Path and query.
      body: Body, or None.
      headers: Header fields.
    """

    method: str
    target: str
    body: bytes | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply that was received completely."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes | bytearray


def find_failure(result: Reply | outcomes.Failed) -> str:
    """Returns why a call failed, for logs; '' if its status is 200."""
    if isinstance(result, outcomes.Failed):
        return result.reason.value
    return '' if result.status == 200 else str(result.status)


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Connections whose replies are read within bounds.

    Attributes:
      single_use: Whether a connection carries one call only.
    """

    ConnectionCls = boundedreads.BoundedConnection
    single_use = False

    def _put_conn(self, conn: boundedreads.BoundedConnection | None) -> None:
        """Returns a connection to the pool; a closed one is opened anew."""
        if conn is not None and (self.single_use or conn.has_unread_data()):
            conn.close()
        super()._put_conn(conn)


class Client:
    """Makes calls over keep-alive connections.

    Failures are CONNECT_FAILED (the request was certainly not sent), and
    TIMED_OUT or CONNECTION_LOST (it may have been sent and executed).
    """

    def __init__(self,
                 clock: clocks.Clock,
                 idle_connections: int,
                 socket_options: tuple = (),
                 max_reply_bytes: int = MAX_REPLY_BYTES,
                 single_use: bool = False):
        """Makes a client without connections.

        Args:
          clock: Clock of this process.
          idle_connections: Idle connections kept open to each address.
          socket_options: Socket options of each connection; urllib3's defaults
            if empty.
          max_reply_bytes: Size of the largest reply.
          single_use: Whether each call has a connection of its own, for peers
            whose replies don't tell which call they belong to. Only then may a
            reply end with its connection: its status and headers are whole, its
            body isn't proved to be.
        """
        self._clock = clock
        self._idle_connections = idle_connections
        self._max_reply_bytes = max_reply_bytes
        self._single_use = single_use
        self._memory = bytebudgets.ByteBudget(max_reply_bytes,
                                              _OWN_MEMORY_BYTES)
        self._connection_options = {
            'clock': clock,
            'max_body_bytes': max_reply_bytes
        }
        if socket_options:
            self._connection_options['socket_options'] = socket_options
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def may_have_idle(self, address: str) -> bool:
        """Returns whether there may be an idle connection to an address."""
        pool = self._pools.get(address)
        return pool is not None and pool.num_requests > 0

    def call(
            self,
            address: str,
            request: Request,
            timeout_ms: float,
            connect_timeout_ms: float | None = None) -> Reply | outcomes.Failed:
        """Makes one call.

        Args:
          address: host:port.
          request: What to send.
          timeout_ms: Timeout from now to the end of the reply.
          connect_timeout_ms: Timeout for opening a connection; `timeout_ms` if
            None.

        Returns:
          The reply, whatever its status, or the failure.
        """
        deadline = self._clock.now() + timeout_ms
        memory = bytebudgets.Usage(self._memory)
        try:
            response = self._find_pool(address).urlopen(request.method,
                                                        request.target,
                                                        body=request.body,
                                                        headers=request.headers,
                                                        timeout=_make_timeout(
                                                            timeout_ms,
                                                            connect_timeout_ms),
                                                        retries=False,
                                                        redirect=False,
                                                        preload_content=False)
            body = self._read_body(response, deadline, memory)
        except (urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError) as error:
            return outcomes.Failed(_Reason.CONNECT_FAILED, str(error))
        except urllib3.exceptions.TimeoutError as error:
            self.discard_connections(address)
            return outcomes.Failed(_Reason.TIMED_OUT, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.discard_connections(address)
            return outcomes.Failed(_Reason.CONNECTION_LOST, str(error))
        finally:
            bytebudgets.release(memory)
        if body is None:
            response.close()
            return outcomes.Failed(
                _Reason.TIMED_OUT,
                'the reply is too large, or there is no memory for it')
        return Reply(response.status, response.headers, body)

    def discard_connections(self, address: str) -> None:
        """Closes the idle connections to an address; none is reused."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _find_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, _, port = address.rpartition(':')
                pool = ConnectionPool(host.strip('[]'),
                                      int(port),
                                      maxsize=self._idle_connections,
                                      **self._connection_options)
                pool.single_use = self._single_use
                self._pools[address] = pool
            return pool

    def _read_body(self, response: urllib3.BaseHTTPResponse, deadline: float,
                   memory: bytebudgets.Usage) -> bytes | bytearray | None:
        """Returns the body, or None if there is no room for it.

        Raises:
          urllib3.exceptions.ProtocolError: The end of the body isn't proved.
          urllib3.exceptions.TimeoutError: It takes too long.
        """
        if (not self._single_use and not response.chunked and
                response.length_remaining is None):
            response.close()
            raise urllib3.exceptions.ProtocolError(
                'the reply has neither a length nor chunks')

        def read_block() -> bytes:
            if self._clock.now() > deadline:
                response.close()
                raise urllib3.exceptions.TimeoutError('timed out')
            return response.read1(_READ_BYTES)

        body = bytebudgets.collect(read_block, memory, self._max_reply_bytes)
        if isinstance(body, bytebudgets.Excess):
            return None
        response.release_conn()
        return body


def _make_timeout(timeout_ms: float,
                  connect_timeout_ms: float | None) -> urllib3.Timeout:
    timeouts = {'total': timeout_ms / clocks.MS_PER_S}
    if connect_timeout_ms is not None:
        timeouts['connect'] = connect_timeout_ms / clocks.MS_PER_S
    return urllib3.Timeout(**timeouts)
