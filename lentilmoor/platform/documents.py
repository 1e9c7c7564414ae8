"""Decodes the values that the operator and the servers write to the store.

It also encodes and decodes lentilmoor's own values there. The private
structures check the types of the fields; the functions return the types of the
rest of the program.

The structures use `msgspec`, as importing pydantic and building its models took
0.10 s of the 0.36 s of CPU time that the start of an entry takes.
"""

from typing import Annotated
from typing import Literal

import msgspec

from lentilmoor import clocks
from lentilmoor import crashes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import tables

# The type `download`: idempotent requests with large answers.
_DOWNLOAD = 'download'
_IDEMPOTENT_TYPES = ('idempotent', _DOWNLOAD)

_Positive = Annotated[float, msgspec.Meta(gt=0)]


# Unknown fields are ignored. On the wire, field names are in Pascal case:
# `MaxConns`.
class _RouteTarget(msgspec.Struct, rename='pascal'):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, rename='pascal'):
    host: str
    prefix: str
    # Whether a request may run more than once; see `_IDEMPOTENT_TYPES`.
    type: str
    timeout_ms: _Positive
    # Answers within this time have their full value to the caller.
    latency_target_ms: _Positive
    priority: int = 0
    # Number of servers that one request may be sent to.
    attempts: int = 1
    service: str = ''
    split: tuple[_RouteTarget, ...] = ()


class _Service(msgspec.Struct, rename='pascal'):
    # Connections that each server accepts in total.
    max_conns: int = 100
    # Whether each key is owned by one server at a time.
    sharded: bool = False
    # For how long keys that were granted without a handover token are slow.
    warm_s: float = 0.0
    health_path: str = '/'


class _Limits(msgspec.Struct, rename='pascal'):
    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


class _Configuration(msgspec.Struct, rename='pascal'):
    version: int
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename='pascal'):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    addr: Annotated[str, msgspec.Meta(pattern=r'^[^:\s]+:\d+$')]
    # The server's failure domain.
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal['ready', 'draining']
    # For how long the server is still slow after its start.
    warmup_left_ms: float
    # Number of the heartbeat, counted by the process.
    seq: int
    # When the process started, Unix ms. A restarted server may keep its id.
    born: int | None = msgspec.field(name='born', default=None)


class _Peer(msgspec.Struct, array_like=True):
    instance: str
    address: str
    small: bool
    domain: str = ''


class _Crash(msgspec.Struct, array_like=True):
    server: str
    # Unix ms.
    at: float


class _Suspect(msgspec.Struct, array_like=True):
    service: str
    crashes: list[_Crash]
    # Unix ms, by id; earlier releases write none.
    trials: dict[str, float] = {}
    is_only_cause: bool = False


# The store has validated the configuration, so numbers in text and 5.0 for 5
# are accepted.
_read_configuration = msgspec.json.Decoder(_Configuration, strict=False).decode
# Anyone may have written the key of a server, so decoding is strict.
_read_server = msgspec.json.Decoder(_Server).decode
_read_assignment = msgspec.json.Decoder(keyranges.Assignment).decode
_read_peer = msgspec.json.Decoder(_Peer).decode
_read_suspect = msgspec.json.Decoder(_Suspect).decode
_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError)


def parse_configuration(data: bytes) -> tables.Configuration | str:
    """Returns the operator's configuration, or why it doesn't parse."""
    try:
        model = _read_configuration(data)
    except _ERRORS as error:
        return str(error)
    services = {
        name:
            tables.Service(name, item.sharded, item.max_conns,
                           item.warm_s * 1000.0, item.health_path)
        for name, item in model.services.items()
    }
    limits = tables.CallerLimits(model.limits.max_header_bytes,
                                 model.limits.max_body_bytes,
                                 model.limits.header_timeout_ms,
                                 model.limits.idle_timeout_ms)
    return tables.Configuration(model.version, {
        name: _convert_route(name, item) for name, item in model.routes.items()
    }, services, limits)


def _convert_route(name: str, item: _Route) -> tables.Route:
    if item.split:
        targets = tuple(
            tables.RouteTarget(part.service, part.weight)
            for part in item.split)
    else:
        targets = (tables.RouteTarget(item.service, 1.0),)
    # A request of an unknown type may not be safe to retry.
    once = item.type not in _IDEMPOTENT_TYPES
    return tables.Route(
        name, item.host.lower(), item.prefix,
        tables.RepeatPolicy.ONCE if once else tables.RepeatPolicy.IDEMPOTENT,
        item.type == _DOWNLOAD, targets, item.attempts, item.timeout_ms,
        item.latency_target_ms, item.priority)


def parse_server(name: str, data: bytes, now: float) -> tables.Server | str:
    """Returns a backend server, or why its registration doesn't parse.

    Args:
      name: The server's id in the store.
      data: The registration.
      now: The current time, ms.
    """
    try:
        model = _read_server(data)
    except _ERRORS as error:
        return str(error)
    lifetime = name if model.born is None else f'{name}@{model.born}'
    return tables.Server(lifetime, model.service, model.addr, model.zone,
                         model.slots, model.state == 'draining',
                         now + model.warmup_left_ms, now, name, model.born,
                         now if model.state == 'draining' else 0.0)


def write_assignment(assignment: keyranges.Assignment, mark: str) -> bytes:
    """Encodes an assignment for the store.

    Args:
      assignment: The assignment.
      mark: A value unique to this write, which distinguishes it from the same
        assignment written by another entry.
    """
    return msgspec.json.encode(msgspec.to_builtins(assignment) | {'mark': mark})


def read_assignment(data: bytes) -> keyranges.Assignment:
    """Decodes a value that `write_assignment` returned.

    Raises:
      MsgspecError: The value doesn't parse.
    """
    return _read_assignment(data)


def write_peer(peer: ports.Peer) -> bytes:
    """Encodes an entry's registration for the store."""
    return msgspec.json.encode(
        _Peer(peer.instance, peer.address, peer.small, peer.domain))


def read_peer(data: bytes) -> ports.Peer:
    """Decodes a value that `write_peer` returned.

    Raises:
      MsgspecError: The value doesn't parse.
    """
    model = _read_peer(data)
    return ports.Peer(model.instance, model.address, model.small, model.domain)


def write_suspect(suspect: ports.SavedSuspect, clock: clocks.Clock) -> bytes:
    """Encodes a suspect request for the store, with times in Unix time."""
    wall_offset_ms = clock.wall() - clock.now()
    return msgspec.json.encode(
        _Suspect(suspect.service, [
            _Crash(item.server, item.at + wall_offset_ms)
            for item in suspect.crashes
        ], {
            trial: at + wall_offset_ms for trial, at in suspect.trials.items()
        }, suspect.is_only_cause))


def read_suspect(fingerprint: bytes, data: bytes, revision: int,
                 clock: clocks.Clock) -> ports.SavedSuspect:
    """Decodes a value that `write_suspect` returned.

    Args:
      fingerprint: The request's fingerprint, from the key.
      data: The value.
      revision: The store's revision of the key's last change.
      clock: This process's clock; times are converted to it.

    Raises:
      MsgspecError: The value doesn't parse.
    """
    model, now = _read_suspect(data), clock.now()
    wall_offset_ms = clock.wall() - now
    return ports.SavedSuspect(
        fingerprint, model.service,
        tuple(
            crashes.Crash(item.server, min(now, item.at - wall_offset_ms))
            for item in model.crashes), {
                trial: min(now, at - wall_offset_ms)
                for trial, at in model.trials.items()
            }, revision, model.is_only_cause)
