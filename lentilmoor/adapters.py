"""Requests on the wire: to backend servers and to other entries.

Makes the closures by which the request path sends one try: the headers a
server or an entry is to see, the pool of connections, and the reading of a
refusal that says the request was not run.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import headers as header_names
from lentilmoor import outcomes
from lentilmoor import problems
from lentilmoor import routes
from lentilmoor import runs
from lentilmoor import servers
from lentilmoor import transport

_Reason = outcomes.Reason
_VIA = '1.1 lentilmoor'


def _lower(*names: str) -> frozenset[str]:
    return frozenset(name.lower() for name in names)


# Headers that a caller may not set, or that are written anew for each hop.
_DROPPED = header_names.HOP_BY_HOP | _lower(
    *servers.RESERVED_HEADERS, 'Host', 'Expect', 'Content-Length',
    header_names.TRACEPARENT, header_names.RELAY_SECRET,
    header_names.RELAY_REQUEST_ID, header_names.RELAY_SERVER,
    header_names.RELAY_SUSPECT, header_names.DEADLINE_MS)
# What a server is told in headers of its own, or has no use for.
_DROPPED_AT_SERVERS = _DROPPED | _lower(header_names.KEY, header_names.CLASS)
# Headers of an entry's answer that the next entry writes itself.
_OUTCOME_HEADERS = _lower(problems.OUTCOME_HEADER, problems.REASON_HEADER,
                          header_names.REQUEST_ID)


class Pools:
    """Pools of connections by address, made on first use."""

    def __init__(self, rules: connections.PoolLimits, clock: clocks.Clock):
        self._rules = rules
        self._clock = clock
        self._rows: dict[str, connections.Pool] = {}
        self._lock = threading.Lock()

    def find(self, address: str) -> connections.Pool:
        """Returns the pool of an address."""
        pool = self._rows.get(address)
        if pool is not None:
            return pool
        with self._lock:
            return self._rows.setdefault(
                address, connections.Pool(address, self._rules, self._clock))

    def close_worn(self) -> None:
        """Closes connections that are not to be used again."""
        for pool in list(self._rows.values()):
            pool.close_stale()


Send = Callable[[routes.Straight, runs.Outgoing], transport.Attempt]
Hand = Callable[[routes.Relay, runs.Outgoing], transport.Attempt]


def make_send(pools: Pools, clock: clocks.Clock) -> Send:
    """Returns the closure that tries a call at a server."""

    def send(route: routes.Straight,
             outgoing: runs.Outgoing) -> transport.Attempt:
        call = outgoing.call
        remaining_ms = call.deadline - clock.now()
        if remaining_ms <= 0:
            return _LATE
        headers = _copy_headers(outgoing, _DROPPED_AT_SERVERS)
        servers.put_headers(
            headers,
            servers.OrderHeaders(call.request_id, remaining_ms, call.key,
                                 call.point, route.epoch, route.sequence))
        sent = transport.send_request(
            pools.find(route.server.address),
            _make_order(outgoing, call.target, headers, remaining_ms))
        result = sent.result
        if not isinstance(result, transport.Answer):
            return sent
        reason = servers.read_refusal(result.headers, result.status)
        if reason is None:
            # Only entries may say these of an answer.
            result.headers = _drop_outcome(result.headers)
            return sent
        result.close()
        refusal = outcomes.NotRun(reason,
                                  f'server {route.server.id} refused it')
        return dataclasses.replace(sent, result=refusal)

    return send


def make_hand(pools: Pools, clock: clocks.Clock, secret: str) -> Hand:
    """Returns the closure that hands a call over to another entry."""

    def hand(route: routes.Relay, outgoing: runs.Outgoing) -> transport.Attempt:
        call = outgoing.call
        remaining_ms = call.deadline - clock.now()
        if remaining_ms <= 0:
            return _LATE
        headers = _copy_headers(outgoing, _DROPPED)
        headers[header_names.RELAY_SECRET] = secret
        headers[header_names.RELAY_REQUEST_ID] = call.request_id
        if route.server:
            headers[header_names.RELAY_SERVER] = route.server
        if outgoing.suspect:
            headers[header_names.RELAY_SUSPECT] = 'yes'
        headers[header_names.DEADLINE_MS] = str(max(1, int(remaining_ms)))
        target = f'/{call.team}/{call.service}{call.target}'
        sent = transport.send_request(
            pools.find(route.address),
            _make_order(outgoing, target, headers, remaining_ms))
        if isinstance(sent.result, outcomes.NotRun):
            refusal = outcomes.NotRun(_Reason.PEER_UNAVAILABLE,
                                      sent.result.detail)
            return dataclasses.replace(sent, result=refusal)
        if isinstance(sent.result, outcomes.Unknown):
            return sent
        return dataclasses.replace(sent, result=_read_outcome(sent.result))

    return hand


_LATE = transport.Attempt(
    outcomes.NotRun(_Reason.DEADLINE_PASSED,
                    'the deadline passed before it was sent'))


def _make_order(outgoing: runs.Outgoing, target: str, headers: dict[str, str],
                remaining_ms: float) -> transport.OutboundRequest:
    call, body = outgoing.call, outgoing.body
    return transport.OutboundRequest(method=call.raw.method,
                                     target=target,
                                     headers=headers,
                                     body=body.make_payload(),
                                     chunked=not body.fully_buffered and
                                     body.length is None,
                                     remaining_ms=remaining_ms,
                                     idempotent=call.repeatable,
                                     new_connection=outgoing.fresh,
                                     mean_service_ms=outgoing.service_ms)


def _copy_headers(outgoing: runs.Outgoing,
                  dropped: frozenset[str]) -> dict[str, str]:
    call, body = outgoing.call, outgoing.body
    listed = call.raw.header('Connection')
    if listed:
        named = (name.strip() for name in listed.split(','))
        dropped = dropped | _lower(*named)
    headers = {}
    for name, value in call.raw.headers.items():
        text = name.decode('latin-1')
        if text.lower() not in dropped:
            headers[text] = value.decode('latin-1')
    headers['Via'] = _VIA
    if body.fully_buffered:
        if body.buffered or body.length:
            headers['Content-Length'] = str(len(body.buffered))
    elif body.length is not None:
        headers['Content-Length'] = str(body.length)
    traceparent = outgoing.span.traceparent or call.raw.header(
        header_names.TRACEPARENT)
    if traceparent:
        headers[header_names.TRACEPARENT] = traceparent
    return headers


def _read_outcome(answer: transport.Answer) -> transport.Result:
    """Reads an entry's answer: a server's, or the entry's own refusal."""
    told = {
        name.lower(): value
        for name, value in answer.headers
        if name.lower() in _OUTCOME_HEADERS
    }
    answer.headers = _drop_outcome(answer.headers)
    refusal = problems.parse(told.get(problems.OUTCOME_HEADER.lower()),
                             told.get(problems.REASON_HEADER.lower()),
                             answer.body)
    if refusal is None:
        return answer
    answer.close()
    return refusal


def _drop_outcome(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return [(name, value)
            for name, value in headers
            if name.lower() not in _OUTCOME_HEADERS]
