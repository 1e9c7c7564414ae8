"""Decodes what the operator and the backend servers keep in the store.

Also the forms of what lentilmoor itself keeps there. The models check types;
what they return has the product's own names.
"""

import json

import pydantic

from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import reports
from lentilmoor.edge import tables

# `download` is a large answer to a request that may be repeated.
_DOWNLOAD = 'download'
_ONCE = 'non_idempotent'


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Part(_Model):
    Service: str
    Weight: float = pydantic.Field(ge=0)


class _Route(_Model):
    Host: str
    Prefix: str
    Type: str
    TimeoutMs: float = pydantic.Field(gt=0)
    LatencyTargetMs: float = pydantic.Field(gt=0)
    Priority: int = 0
    Attempts: int = 1
    Service: str = ''
    Split: tuple[_Part, ...] = ()


class _Service(_Model):
    MaxConns: int = 100
    Sharded: bool = False
    WarmS: float = 0.0


class _Limits(_Model):
    MaxHeaderBytes: int = 64 * 1024
    MaxBodyBytes: int = 64 * 1024 * 1024
    HeaderTimeoutMs: float = 10_000.0
    IdleTimeoutMs: float = 30_000.0


class _Configuration(_Model):
    Version: int
    Routes: dict[str, _Route]
    Services: dict[str, _Service]
    Limits: _Limits = _Limits()


class _Server(_Model):
    Service: str
    Addr: str
    Zone: str = ''
    Slots: int = 1
    State: str = 'ready'
    WarmupLeftMs: float = 0.0


def parse_configuration(data: bytes) -> tables.Configuration | str:
    """Returns the operator's configuration, or why it isn't one."""
    try:
        model = _Configuration.model_validate_json(data)
    except pydantic.ValidationError as error:
        return str(error.errors(include_url=False, include_input=False)[:3])
    services = {
        name:
            tables.Service(name, item.Sharded, item.MaxConns,
                           item.WarmS * 1000.0)
        for name, item in model.Services.items()
    }
    limits = tables.CallerLimits(model.Limits.MaxHeaderBytes,
                                 model.Limits.MaxBodyBytes,
                                 model.Limits.HeaderTimeoutMs,
                                 model.Limits.IdleTimeoutMs)
    return tables.Configuration(model.Version, {
        name: _convert_route(name, item) for name, item in model.Routes.items()
    }, services, limits)


def _convert_route(name: str, item: _Route) -> tables.Route:
    if item.Split:
        parts = tuple(
            tables.Part(part.Service, part.Weight) for part in item.Split)
    else:
        parts = (tables.Part(item.Service, 1.0),)
    once = item.Type == _ONCE
    return tables.Route(
        name, item.Host.lower(), item.Prefix,
        tables.Repeat.ONCE if once else tables.Repeat.IDEMPOTENT,
        item.Type == _DOWNLOAD, parts, item.Attempts, item.TimeoutMs,
        item.LatencyTargetMs, item.Priority)


def parse_server(name: str, data: bytes, now: float) -> tables.Server | str:
    """Returns a backend server, or why its entry doesn't parse.

    Args:
      name: Its id.
      data: Its entry.
      now: ms.
    """
    try:
        model = _Server.model_validate_json(data)
    except pydantic.ValidationError as error:
        return str(error.errors(include_url=False, include_input=False)[:3])
    return tables.Server(name, model.Service, model.Addr, model.Zone,
                         model.Slots, model.State == 'draining',
                         now + model.WarmupLeftMs, now)


def write_assignment(assignment: keyranges.Assignment, mark: str) -> bytes:
    """Returns the form in which an assignment is kept.

    Args:
      assignment: The assignment.
      mark: What no other write has, to tell it from a rival's.
    """
    fields = reports.write_assignment(assignment)
    return json.dumps(fields | {'mark': mark}, separators=(',', ':')).encode()


def read_assignment(data: bytes) -> keyranges.Assignment:
    """Reads what `write_assignment` wrote."""
    return reports.read_assignment(json.loads(data))


def write_peer(peer: ports.Peer) -> bytes:
    """Returns the form in which an entry is kept."""
    return json.dumps([peer.instance, peer.address]).encode()


def read_peer(data: bytes) -> ports.Peer:
    """Reads what `write_peer` wrote."""
    return ports.Peer(*json.loads(data))
