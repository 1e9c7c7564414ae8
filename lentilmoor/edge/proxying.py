"""Passes whole requests to entries that reach the backend servers.

An entry that reaches no server (see `reachability`) passes its requests on
to other entries. The headers, body and id of a request and the time its caller
still waits go along, and its outcome comes back, so permits, retries and the
quarantine apply once: where it is sent from. If the caller leaves, the
connection to the other entry is closed, which cancels the request there.

A request is passed on once: the other entry refuses it if it reaches no server
either, or has no room. Such a refusal says that it has not run, so another
entry may be asked. A request whose connection is lost may have run; only an
idempotent one is then passed to another entry, which charges its retry budget
for the first server that it sends the request to.
"""

from collections.abc import Callable
import dataclasses

import msgspec

from lentilmoor import bytebudgets
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import transport
from lentilmoor.edge import exchange
from lentilmoor.edge import ports
from lentilmoor.edge import proxytables
from lentilmoor.edge import refusedanswers
from lentilmoor.edge import requests

# Entries that are asked to take a request.
MAX_ASKED = 4
# Requests of other entries that are in progress here at most. Each takes a
# thread and a place at a server that this entry's own callers may need.
MAX_ACCEPTED = 24
# Time for which an entry that took no request isn't asked again.
UNWILLING_MS = 300.0
# The same for all entries, if none took a request.
NONE_WILLING_MS = 250.0
# Part of the caller's time that is reserved for delivering the answer.
_DELIVERY_MS = 4.0
_POOL_LIMITS = connections.PoolLimits(max_open=16,
                                      max_idle_ms=5_000.0,
                                      non_idempotent_idle_ms=2_000.0,
                                      connect_timeout_ms=100.0,
                                      opens_per_s=100.0,
                                      burst=16.0)
_ACCEPTED = 200
_UNAVAILABLE = 503
_FAILED = 500
# Statuses by which an entry, or the reader of its requests, accepts none.
_NOT_ACCEPTED = frozenset((400, 404, 408, 413, _UNAVAILABLE))

_NO_MEMORY = 'no memory is left for the answer'

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class _Lost:
    """The connection to an entry was lost; the request may have run."""

    result: outcomes.Unknown


def pass_on(forwarder: requests.Forwarder, request: requests.Request,
            idempotent: bool, counted: bool,
            deadline_at: float) -> requests.Outcome | None:
    """Passes a request to another entry.

    Args:
      forwarder: State of this entry.
      request: The request; it must not have been sent to any server.
      counted: Whether this entry has counted it in its retry budget. Otherwise
        the one that takes it does.
      idempotent: Whether it may run more than once.
      deadline_at: When it times out, ms.

    Returns:
      Its outcome; None if no entry has taken it, so that it has not run.
    """
    now = forwarder.clock.now()
    # The message holds a copy of the body.
    if (request.proxied or now < forwarder.proxies.asked_again_at or
            not bytebudgets.reserve(request.memory, len(request.body))):
        return None
    lost: outcomes.Unknown | None = None
    for address in _pick_entries(forwarder, now):
        message = _make_message(request, counted or lost is not None, lost
                                is not None)
        outcome = _ask(forwarder, request, message, address, deadline_at)
        if not isinstance(outcome, _Lost):
            if isinstance(outcome, outcomes.NotRun) and lost is not None:
                return lost
            if outcome is not None:
                return outcome
        elif idempotent and outcome.result.reason is not _Reason.TIMED_OUT:
            lost = outcome.result
        else:
            return outcome.result
    if lost is not None:
        return lost
    forwarder.proxies.asked_again_at = forwarder.clock.now() + NONE_WILLING_MS
    return None


def _pick_entries(forwarder: requests.Forwarder, now: float) -> list[str]:
    """Returns the entries to ask, the most likely ones first.

    These are entries that accepted the last request, then those of the same
    failure domain; in random order, which spreads the load.
    """
    table, settings = forwarder.proxies, forwarder.platform.settings
    peers = {
        peer.address: peer
        for peer in forwarder.snapshot.entries.values()
        if peer.address != settings.control and
        table.unwilling_until.get(peer.address, 0.0) <= now
    }
    addresses = sorted(peers)
    forwarder.generator.shuffle(addresses)
    addresses.sort(key=lambda address: (address not in table.willing, peers[
        address].domain != settings.domain))
    return addresses[:MAX_ASKED]


def _ask(forwarder: requests.Forwarder, request: requests.Request,
         message: proxytables.ProxiedRequest, address: str,
         deadline_at: float) -> requests.Outcome | _Lost | None:
    """Asks an entry to take a request.

    Args:
      forwarder: State of this entry.
      request: The request.
      message: The message about it, without the time left.
      address: Address of the other entry.
      deadline_at: When it times out, ms.

    Returns:
      Its outcome; `_Lost` if the connection was lost; None if the entry didn't
      take it.
    """
    clock = forwarder.clock

    def make_headers() -> dict[str, str] | None:
        return {'Content-Type': 'application/msgpack'}

    remaining_ms = deadline_at - clock.now()
    if remaining_ms <= _DELIVERY_MS:
        return None
    body = proxytables.encode(
        msgspec.structs.replace(message,
                                caller_timeout_ms=remaining_ms - _DELIVERY_MS,
                                age_ms=clock.now() - request.arrived_at +
                                request.max_delay_ms))
    outgoing = exchange.OutgoingRequest('',
                                        'POST',
                                        proxytables.PATH,
                                        make_headers,
                                        body,
                                        False,
                                        deadline_at,
                                        request.memory,
                                        request.used_connections,
                                        carried_id=request.fields.request_id)
    result = exchange.send(_find_pool(forwarder,
                                      address), outgoing, request.watch,
                           proxytables.parse_answer_headers, clock)
    if isinstance(result, exchange.RefusedAnswer):
        refusedanswers.note(forwarder.refused_answers, forwarder.logger,
                            request.fields.request_id, address, result.fault,
                            result.detail)
    outcome = _read_result(forwarder, result, address, request)
    is_lost = isinstance(result, outcomes.Unknown)
    _note_willing(forwarder, address, outcome is not None and not is_lost)
    forwarder.logger.info('request_proxied',
                          request=request.fields.request_id,
                          entry=address,
                          accepted=outcome is not None,
                          lost=is_lost)
    return _Lost(result) if is_lost else outcome


def _make_message(request: requests.Request, counted: bool,
                  may_have_run: bool) -> proxytables.ProxiedRequest:
    return proxytables.ProxiedRequest(request.fields.request_id, 0.0,
                                      request.fields.key, request.method,
                                      request.host,
                                      request.path, request.target,
                                      dict(request.headers), request.body,
                                      counted, may_have_run)


def _read_result(forwarder: requests.Forwarder, result: exchange.Result,
                 address: str,
                 request: requests.Request) -> requests.Outcome | None:
    """Returns the outcome of a request; None if it was surely not accepted."""
    if isinstance(result, exchange.CallerDisconnected):
        return dataclasses.replace(result, where=address)
    if (not isinstance(result, exchange.ServerAnswer) or
            result.answer.status in _NOT_ACCEPTED):
        return None
    if result.answer.status != _ACCEPTED:
        # A handler that failed may have had the request run before.
        return outcomes.Unknown(
            _Reason.PEER_UNAVAILABLE,
            f'{address} replied with status {result.answer.status}')
    encoded = result.answer.body
    if not bytebudgets.reserve(request.memory, len(encoded)):
        return outcomes.Unknown(_Reason.OVERLOADED, _NO_MEMORY)
    request_id = request.fields.request_id
    outcome = proxytables.decode_outcome(encoded, request_id)
    if outcome is not None:
        return outcome
    forwarder.logger.warning('proxied_outcome_refused',
                             request=request_id,
                             entry=address,
                             body_bytes=len(encoded))
    return outcomes.Unknown(_Reason.PEER_UNAVAILABLE,
                            f'{address} sent no outcome of the request')


def _find_pool(forwarder: requests.Forwarder, address: str) -> connections.Pool:
    with forwarder.proxies.lock:
        pool = forwarder.proxies.pools.get(address)
        if pool is None:
            _close_pools_of_gone_entries(forwarder)
            limits = dataclasses.replace(
                _POOL_LIMITS, socket_options=forwarder.rules.socket_options)
            pool = connections.Pool(address, limits, forwarder.clock)
            forwarder.proxies.pools[address] = pool
        return pool


def _close_pools_of_gone_entries(forwarder: requests.Forwarder) -> None:
    """Closes the connections to entries that aren't listed any more.

    The caller holds the table's lock.
    """
    pools = forwarder.proxies.pools
    listed = {peer.address for peer in forwarder.snapshot.entries.values()}
    for address in pools.keys() - listed:
        pools.pop(address).close()


def _note_willing(forwarder: requests.Forwarder, address: str,
                  willing: bool) -> None:
    table = forwarder.proxies
    with table.lock:
        if willing:
            table.willing.add(address)
            table.unwilling_until.pop(address, None)
        else:
            table.willing.discard(address)
            table.unwilling_until[address] = (forwarder.clock.now() +
                                              UNWILLING_MS)


def handle_request(forwarder: requests.Forwarder,
                   forward: Callable[[requests.Request], requests.Outcome],
                   body: bytes, watch: exchange.CallerWatch,
                   memory: bytebudgets.Usage) -> tuple[int, bytes]:
    """Forwards a request of another entry.

    Args:
      forwarder: State of this entry.
      forward: Forwards a request to a server and returns its outcome.
      body: The encoded request.
      watch: Detects whether the other entry has closed its connection.
      memory: Where the bytes of answers are reserved.

    Returns:
      Status and body of the reply.
    """
    # The decoded request holds a copy of its body.
    if not bytebudgets.reserve(memory, len(body)):
        return _UNAVAILABLE, b''
    message = proxytables.decode_request(body)
    if message is None:
        return 400, b''
    if not _accept(forwarder):
        return _UNAVAILABLE, b''
    try:
        request = _make_request(message, watch, forwarder.clock.now(), memory)
        outcome = forward(request)
    finally:
        with forwarder.proxies.lock:
            forwarder.proxies.accepted_count -= 1
    if isinstance(outcome, exchange.CallerDisconnected):
        return _FAILED, b''  # Nobody reads it; the request may have run.
    if (isinstance(outcome, transport.Answer) and
            not bytebudgets.reserve(memory, len(outcome.body))):
        outcome = outcomes.Unknown(_Reason.OVERLOADED, _NO_MEMORY)
    return _ACCEPTED, proxytables.encode_outcome(outcome, message.request_id)


def _accept(forwarder: requests.Forwarder) -> bool:
    """Returns whether a request of another entry is accepted."""
    table = forwarder.proxies
    with table.lock:
        if (forwarder.departure.sigterm_received or
                forwarder.reachability.is_lost or
                table.accepted_count >= MAX_ACCEPTED):
            return False
        table.accepted_count += 1
        return True


def _make_request(message: proxytables.ProxiedRequest,
                  watch: exchange.CallerWatch, arrived_at: float,
                  memory: bytebudgets.Usage) -> requests.Request:
    return requests.Request(fields=ports.CallerHeaders(
        message.request_id, message.caller_timeout_ms, message.key),
                            method=message.method,
                            host=message.host,
                            path=message.path,
                            target=message.target,
                            headers=message.headers,
                            body=message.body,
                            watch=watch,
                            arrived_at=arrived_at,
                            max_delay_ms=message.age_ms,
                            proxied=True,
                            counted=message.counted,
                            may_have_run=message.may_have_run,
                            memory=memory)
