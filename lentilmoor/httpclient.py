"""Small HTTP calls with a deadline, for the adapters of outside systems.

A connection that timed out or broke is never used again, nor are those that
lie idle beside it: whatever lost track of one may have lost track of all.
"""

import dataclasses
import threading

import urllib3
import urllib3.exceptions

from lentilmoor import clocks
from lentilmoor import outcomes

MAX_REPLY_BYTES = 256 * 1024 * 1024
_BLOCK_BYTES = 256 * 1024

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What to send.

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
    """A whole reply."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


class Client:
    """Makes calls over kept connections.

    Failures are CONNECT_FAILED (certainly not sent), TIMED_OUT or
    CONNECTION_LOST (it may have been sent and carried out).
    """

    def __init__(self,
                 clock: clocks.Clock,
                 idle_connections: int,
                 socket_options: tuple = ()):
        """Makes a caller without connections.

        Args:
          clock: This process's time.
          idle_connections: Connections kept open to each address.
          socket_options: Set on each connection; the library's own if empty.
        """
        self._clock = clock
        self._idle_connections = idle_connections
        self._options = ({
            'socket_options': socket_options
        } if socket_options else {})
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def may_have_idle(self, address: str) -> bool:
        """Returns whether a connection to an address may lie idle."""
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
          timeout_ms: Time limit from now to the end of the reply.
          connect_timeout_ms: Timeout of opening a connection; `timeout_ms` if
            None.
        """
        pool = self._find(address)
        ends = self._clock.now() + timeout_ms
        try:
            response = pool.urlopen(request.method,
                                    request.target,
                                    body=request.body,
                                    headers=request.headers,
                                    timeout=_make_timeout(
                                        timeout_ms, connect_timeout_ms),
                                    retries=False,
                                    redirect=False,
                                    preload_content=False)
            body = self._read(response, ends)
        except (urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError) as error:
            return outcomes.Failed(_Reason.CONNECT_FAILED, str(error))
        except urllib3.exceptions.TimeoutError as error:
            self.discard_connections(address)
            return outcomes.Failed(_Reason.TIMED_OUT, str(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.discard_connections(address)
            return outcomes.Failed(_Reason.CONNECTION_LOST, str(error))
        if body is None:
            response.close()
            return outcomes.Failed(_Reason.TIMED_OUT, 'reply too slow or long')
        return Reply(response.status, response.headers, body)

    def discard_connections(self, address: str) -> None:
        """Closes the idle connections to an address; none is used again."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _find(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, _, port = address.rpartition(':')
                pool = urllib3.HTTPConnectionPool(
                    host.strip('[]'),
                    int(port),
                    maxsize=self._idle_connections,
                    **self._options)
                self._pools[address] = pool
            return pool

    def _read(self, response: urllib3.BaseHTTPResponse,
              ends: float) -> bytes | None:
        """Returns the whole body, or None if it takes too long."""
        blocks = []
        size = 0
        while block := response.read1(_BLOCK_BYTES):
            blocks.append(block)
            size += len(block)
            if self._clock.now() > ends or size > MAX_REPLY_BYTES:
                return None
        response.release_conn()
        return b''.join(blocks)


def _make_timeout(timeout_ms: float,
                  connect_timeout_ms: float | None) -> urllib3.Timeout:
    limits = {'total': timeout_ms / clocks.MS_PER_S}
    if connect_timeout_ms is not None:
        limits['connect'] = connect_timeout_ms / clocks.MS_PER_S
    return urllib3.Timeout(**limits)
