"""Requests on their way to servers: for drains, cancellation and shutdown.

A request registers and then looks at its route once more, so that a routing
lease that takes a slice away either sees the request here or stops it. The
lock is held for the update of one row.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import slices


@dataclasses.dataclass(frozen=True, slots=True)
class InflightRequest:
    """One request that may be at a server.

    Attributes:
      request_id: Its id.
      shard: Its shard.
      server: Server id.
      address: The server's address, or the relay address it went to.
      point: Point of its key.
      version: (epoch, sequence) that routed it.
      started_at: When it was sent, ms.
      caller_gone: Whether its caller has closed its connection.
    """

    request_id: str
    shard: str
    server: str
    address: str
    point: int
    version: tuple[int, int]
    started_at: float
    caller_gone: Callable[[], bool]


class InflightTable:
    """The table of requests in flight.

    Attributes:
      busy: Requests in flight by server id, straight ones only.
    """

    def __init__(self):
        self._rows: dict[str, InflightRequest] = {}
        self._lock = threading.Lock()
        self.busy: dict[str, int] = {}

    def begin(self, request: InflightRequest) -> None:
        """Registers a request, before its route is checked once more."""
        with self._lock:
            self._rows[request.request_id] = request
            self.busy[request.server] = self.busy.get(request.server, 0) + 1

    def end(self, request: InflightRequest) -> None:
        """Takes a request off."""
        with self._lock:
            if self._rows.pop(request.request_id, None) is not None:
                self.busy[request.server] -= 1

    def count_at(self, server: str) -> int:
        """Returns how many requests are at a server."""
        return self.busy.get(server, 0)

    def count(self) -> int:
        """Returns how many requests are in request."""
        return len(self._rows)

    def list_all(self) -> list[InflightRequest]:
        """Returns the requests in flight."""
        with self._lock:
            return list(self._rows.values())

    def find_oldest(self, shard: str,
                    routed: slices.SliceMap) -> tuple[int, int] | None:
        """Returns the oldest version that a request still depends on.

        A request whose point the present map sends to the same server is as
        good as routed by it, so long answers hold up no other slice's move.

        Args:
          shard: Shard id.
          routed: The map now in force at this entry.
        """
        stray = [
            row.version
            for row in self.list_all()
            if row.shard == shard and routed.owner_of(row.point) != row.server
        ]
        return min(stray, default=None)
