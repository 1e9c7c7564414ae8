"""Decodes the values that the operator and the servers write to the store.

It also encodes and decodes lentilmoor's own values there. The private
structures check the types of the fields; the functions return the types of the
rest of the program.

The structures use `msgspec`, as importing pydantic and building its models took
0.10 s of the 0.36 s of CPU time that the start of an entry takes.
"""

from collections.abc import Callable
from typing import Annotated
from typing import Literal

import msgspec

from lentilmoor import clocks
from lentilmoor import crashes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.edge import tables

# The type `download`: idempotent requests with large answers.
_DOWNLOAD = 'download'
_IDEMPOTENT_TYPES = ('idempotent', _DOWNLOAD)

# Largest integer that a double holds exactly, as do all decoders of JSON.
MAX_INTEGER = 2**53 - 1
# Fencing tokens and terms are signed 64-bit integers, and rise from here.
MAX_FENCE = 2**62
# Longest timeout of a socket: it is passed to `poll` as a C int.
MAX_DURATION_MS = 2**31 - 1
# A server with more slots than this is not believed.
MAX_SLOTS = 10_000
MAX_TEXT_LENGTH = 256
# A host name of the longest kind, and a port.
MAX_ADDRESS_LENGTH = 253 + len(':65535')

_LABEL = '[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
# An address of IPv6 is in brackets.
_HOST = rf'({_LABEL}(\.{_LABEL})*|\[[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*\])'
_PORT = ('([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|'
         '655[0-2][0-9]|6553[0-5])')

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Timeout = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
_Fence = Annotated[int, msgspec.Meta(ge=0, le=MAX_FENCE)]
_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]
# host:port to which a connection can be opened.
_Address = Annotated[str,
                     msgspec.Meta(max_length=MAX_ADDRESS_LENGTH,
                                  pattern=rf'\A{_HOST}:{_PORT}\Z')]


# Unknown fields are ignored. On the wire, field names are in Pascal case:
# `MaxConns`.
class _RouteTarget(msgspec.Struct, rename='pascal'):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Route(msgspec.Struct, rename='pascal'):
    host: str
    prefix: str
    # Whether a request may run more than once; see `_IDEMPOTENT_TYPES`.
    type: str
    timeout_ms: _Positive
    # Answers within this time have their full value to the caller.
    latency_target_ms: _Positive
    priority: _Integer = 0
    # Number of servers that one request may be sent to.
    attempts: _Integer = 1
    service: str = ''
    split: tuple[_RouteTarget, ...] = ()


class _Service(msgspec.Struct, rename='pascal'):
    # Connections that each server accepts in total.
    max_conns: _Integer = 100
    # Whether each key is owned by one server at a time.
    sharded: bool = False
    # For how long keys that were granted without a handover token are slow.
    warm_s: _NotNegative = 0.0
    health_path: str = '/'


class _Limits(msgspec.Struct, rename='pascal'):
    max_header_bytes: _Integer = 64 * 1024
    max_body_bytes: _Integer = 64 * 1024 * 1024
    header_timeout_ms: _NotNegative = 10_000.0
    idle_timeout_ms: _NotNegative = 30_000.0


class _Configuration(msgspec.Struct, rename='pascal'):
    version: _Integer
    routes: dict[str, _Route]
    services: dict[str, _Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct, rename='pascal'):
    service: _Name
    addr: _Address
    # The server's failure domain.
    zone: _Text
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal['ready', 'draining']
    # For how long the server is still slow after its start.
    warmup_left_ms: Annotated[float,
                              msgspec.Meta(ge=-MAX_INTEGER, le=MAX_DURATION_MS)]
    # Number of the heartbeat, counted by the process.
    seq: _Count
    # When the process started, Unix ms. A restarted server may keep its id.
    born: _Count | None = msgspec.field(name='born', default=None)


class _Peer(msgspec.Struct, array_like=True):
    instance: _Name
    address: _Address
    small: bool
    domain: _Text = ''


class _Crash(msgspec.Struct, array_like=True):
    server: _Text
    # Unix ms.
    at: _Time


class _Suspect(msgspec.Struct, array_like=True):
    service: _Text
    crashes: list[_Crash]
    # Unix ms, by id; earlier releases write none.
    trials: dict[_Text, _Time] = {}
    is_only_cause: bool = False


class _Assignment(msgspec.Struct):
    service: str
    term: _Fence
    next_fence: _Fence
    ranges: tuple[keyranges.KeyRange, ...]
    # Ms.
    works: dict[str, _Timeout] = {}
    addresses: dict[str, _Address] = {}
    author: str = ''
    era: Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_ERA)] = 0


def _make_decoder(model: type,
                  *,
                  strict: bool = True) -> Callable[[bytes], object]:
    """Returns a decoder that raises only `ValueError`."""
    decode = msgspec.json.Decoder(model, strict=strict).decode

    def read(data: bytes) -> object:
        if not data:
            raise ValueError('the value is empty or too large')
        try:
            return decode(data)
        except RecursionError as error:
            raise ValueError('nested too deeply') from error

    return read


# The store has validated the configuration, so numbers in text and 5.0 for 5
# are accepted.
_read_configuration = _make_decoder(_Configuration, strict=False)
# Anyone may have written the other keys, so decoding is strict.
_read_server = _make_decoder(_Server)
_read_assignment = _make_decoder(_Assignment)
_read_peer = _make_decoder(_Peer)
_read_suspect = _make_decoder(_Suspect)


def parse_configuration(data: bytes) -> tables.Configuration | str:
    """Returns the operator's configuration, or why it doesn't parse."""
    try:
        model = _read_configuration(data)
    except ValueError as error:
        return str(error)
    services = {
        name:
            tables.Service(name, item.sharded, item.max_conns,
                           _limit_duration(item.warm_s * clocks.MS_PER_S),
                           item.health_path)
        for name, item in model.services.items()
    }
    limits = tables.CallerLimits(
        model.limits.max_header_bytes, model.limits.max_body_bytes,
        _limit_duration(model.limits.header_timeout_ms),
        _limit_duration(model.limits.idle_timeout_ms))
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
        item.type == _DOWNLOAD, targets, item.attempts,
        _limit_duration(item.timeout_ms),
        _limit_duration(item.latency_target_ms), item.priority)


def _limit_duration(duration_ms: float) -> float:
    """Returns a duration that a timeout can have, as near as possible."""
    return min(duration_ms, float(MAX_DURATION_MS))


def parse_server(name: str, data: bytes, now: float) -> tables.Server | str:
    """Returns a backend server, or why its registration doesn't parse.

    Args:
      name: The server's id in the store.
      data: The registration.
      now: The current time, ms.
    """
    try:
        model = _read_server(data)
    except ValueError as error:
        return str(error)
    if model.born is None and '@' in name:
        return 'the name is that of a process that states its start'
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
      ValueError: The value doesn't parse, or its ranges are out of order.
    """
    model = _read_assignment(data)
    next_key = 0
    for item in model.ranges:
        if not (next_key <= item.first <= item.last and
                0 <= item.fence <= MAX_FENCE):
            raise ValueError(
                'a range is out of order or its fence out of bounds')
        next_key = item.last + 1
    if next_key > tables.KEY_COUNT:
        raise ValueError('a range beyond the last key')
    return keyranges.Assignment(model.service, model.term, model.next_fence,
                                model.ranges, model.works, model.addresses,
                                model.author, model.era)


def write_peer(peer: ports.Peer) -> bytes:
    """Encodes an entry's registration for the store."""
    return msgspec.json.encode(
        _Peer(peer.instance, peer.address, peer.small, peer.domain))


def read_peer(data: bytes) -> ports.Peer:
    """Decodes a value that `write_peer` returned.

    Raises:
      ValueError: The value doesn't parse.
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
      ValueError: The value doesn't parse.
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
