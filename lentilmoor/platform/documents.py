"""Decodes what the operator and the backend servers keep in the store.

Also the forms of what lentilmoor itself keeps there. The structures check
types; what the functions return has the product's own names.

They are of `msgspec`, as loading pydantic and making its models took 0.10 s of
the 0.36 s of processor time in which an entry starts.
"""

from typing import Annotated
from typing import Literal

import msgspec

from lentilmoor import clocks
from lentilmoor import crashes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import tables

# `download` is a large answer to a request that may be repeated.
_DOWNLOAD = 'download'
_REPEATABLE = ('idempotent', _DOWNLOAD)

_Positive = Annotated[float, msgspec.Meta(gt=0)]


# What isn't known is ignored; fields are spelled `MaxConns` on the wire.
class _Part(msgspec.Struct, rename='pascal'):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct, rename='pascal'):
    host: str
    prefix: str
    # How often a request may run.
    type: str
    timeout_ms: _Positive
    # Answers within it are worth all they can be.
    latency_target_ms: _Positive
    priority: int = 0
    # Servers that one request may be sent to.
    attempts: int = 1
    service: str = ''
    split: tuple[_Part, ...] = ()


class _Service(msgspec.Struct, rename='pascal'):
    # Connections that each server accepts from all callers together.
    max_conns: int = 100
    # Whether each key has one owner.
    sharded: bool = False
    # How long keys that came without a token are slow.
    warm_s: float = 0.0


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
    # Its failure domain.
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal['ready', 'draining']
    # How much longer it is slow after its start.
    warmup_left_ms: float
    # Counts the process's heartbeats.
    seq: int
    # When the process started, Unix ms: one that starts again may keep its id.
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


# The store has checked it. Numbers that came as text are taken, 5.0 for 5 too.
_read_configuration = msgspec.json.Decoder(_Configuration, strict=False).decode
# Anybody may have written it: what isn't as a server writes it names none.
_read_server = msgspec.json.Decoder(_Server).decode
_read_assignment = msgspec.json.Decoder(keyranges.Assignment).decode
_read_peer = msgspec.json.Decoder(_Peer).decode
_read_suspect = msgspec.json.Decoder(_Suspect).decode
_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError)


def parse_configuration(data: bytes) -> tables.Configuration | str:
    """Returns the operator's configuration, or why it isn't one."""
    try:
        model = _read_configuration(data)
    except _ERRORS as error:
        return str(error)
    services = {
        name:
            tables.Service(name, item.sharded, item.max_conns,
                           item.warm_s * 1000.0)
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
        parts = tuple(
            tables.RouteTarget(part.service, part.weight)
            for part in item.split)
    else:
        parts = (tables.RouteTarget(item.service, 1.0),)
    # What isn't known to be safe to repeat isn't repeated.
    once = item.type not in _REPEATABLE
    return tables.Route(
        name, item.host.lower(), item.prefix,
        tables.RepeatPolicy.ONCE if once else tables.RepeatPolicy.IDEMPOTENT,
        item.type == _DOWNLOAD, parts, item.attempts, item.timeout_ms,
        item.latency_target_ms, item.priority)


def parse_server(name: str, data: bytes, now: float) -> tables.Server | str:
    """Returns a backend server, or why its entry doesn't parse.

    Args:
      name: Its id there.
      data: Its entry.
      now: ms.
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
    """Returns the form in which an assignment is kept.

    Args:
      assignment: The assignment.
      mark: What no other write has, to tell it from a rival's.
    """
    return msgspec.json.encode(msgspec.to_builtins(assignment) | {'mark': mark})


def read_assignment(data: bytes) -> keyranges.Assignment:
    """Reads what `write_assignment` wrote.

    Raises:
      MsgspecError: It is something else.
    """
    return _read_assignment(data)


def write_peer(peer: ports.Peer) -> bytes:
    """Returns the form in which an entry is kept."""
    return msgspec.json.encode(
        _Peer(peer.instance, peer.address, peer.small, peer.domain))


def read_peer(data: bytes) -> ports.Peer:
    """Reads what `write_peer` wrote.

    Raises:
      MsgspecError: It is something else.
    """
    model = _read_peer(data)
    return ports.Peer(model.instance, model.address, model.small, model.domain)


def write_suspect(suspect: ports.SavedSuspect, clock: clocks.Clock) -> bytes:
    """Returns the form in which a request that crashes servers is kept."""
    ahead_ms = clock.wall() - clock.now()
    return msgspec.json.encode(
        _Suspect(suspect.service, [
            _Crash(item.server, item.at + ahead_ms) for item in suspect.crashes
        ]))


def read_suspect(fingerprint: bytes, data: bytes, revision: int,
                 clock: clocks.Clock) -> ports.SavedSuspect:
    """Reads what `write_suspect` wrote.

    Raises:
      MsgspecError: It is something else.
    """
    model, now = _read_suspect(data), clock.now()
    ahead_ms = clock.wall() - now
    return ports.SavedSuspect(
        fingerprint, model.service,
        tuple(
            crashes.Crash(item.server, min(now, item.at - ahead_ms))
            for item in model.crashes), revision)
