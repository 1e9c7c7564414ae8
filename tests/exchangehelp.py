"""Requests of one exchange with a server."""

from collections.abc import Callable

from lentilmoor import bytebudgets
from lentilmoor.edge import exchange


def make_request(
    deadline_at: float,
    request_id: str = 'r1',
    make_headers: Callable[[], dict[str, str]] = dict,
    memory: bytebudgets.Usage | None = None,
) -> exchange.OutgoingRequest:
    """Returns a request that may be repeated and has no body."""
    return exchange.OutgoingRequest(request_id,
                                    'GET',
                                    '/x',
                                    make_headers,
                                    b'',
                                    True,
                                    deadline_at,
                                    memory or bytebudgets.Usage(),
                                    carried_id=request_id)
