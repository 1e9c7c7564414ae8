"""Validated models at the border: process settings and teams' branches.

Everything read from a file, the store or the administration API passes
through here once; inside, the rest of the package trusts it.
"""

import fnmatch
import ipaddress
from typing import Annotated
from typing import Literal

import pydantic

from lentilmoor import documents
from lentilmoor import exceptions

MAX_BRANCH_BYTES = 512 * 1024

_MAX_PORT = 65_535
_ADDRESS_FORM = 'expected IP:port, for example 127.0.0.1:8080'

Name = Annotated[str,
                 pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$',
                                description='lower case, digits, hyphens')]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise ValueError(_ADDRESS_FORM) from error
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(_ADDRESS_FORM)
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True, strict=True)


class StoreSettings(_Model):
    """How to reach the platform's store and instance list."""

    addresses: list[Address] = pydantic.Field(min_length=1)
    timeout_ms: int = pydantic.Field(default=500, ge=10, le=30_000)


class TraceSettings(_Model):
    """Where spans go and which part of the requests is traced."""

    exporter: Literal['none', 'console', 'file'] = 'none'
    path: str = ''
    sample_rate: float = pydantic.Field(default=0.01, ge=0, le=1)

    @pydantic.model_validator(mode='after')
    def _check_path(self) -> 'TraceSettings':
        if self.exporter == 'file' and not self.path:
            raise ValueError('the file exporter needs a path')
        return self


class ProcessSettings(_Model):
    """One entry process: its addresses, its place, its secrets.

    Attributes:
      instance: Instance id; unique, never used again by a replacement.
      callers: Address for callers' requests.
      peers: Address of the peer protocol.
      relay: Address where peers hand over requests.
      admin: Address of the administration API, health and metrics.
      deployment: The group of entries that share one store.
      peer_secret_file: File with the secret that peers share.
      threads: Request threads for callers.
      relay_threads: Request threads for peers.
    """

    instance: Name
    region: Name
    failure_domain: Name
    callers: Address
    peers: Address
    relay: Address
    admin: Address
    store: StoreSettings
    deployment: Name = 'default'
    peer_secret_file: str
    threads: int = pydantic.Field(default=32, ge=1, le=1024)
    relay_threads: int = pydantic.Field(default=32, ge=1, le=1024)
    trace: TraceSettings = TraceSettings()


class ServerSettings(_Model):
    """One backend server of a service.

    Attributes:
      id: Unique within the service; never given to another process.
      shard: The group of servers that it belongs to; fixed.
      slots: Requests that it runs at once.
      connections: Connections that it takes from all entries together.
      checks_grants: Whether it refuses requests that no valid grant covers.
      leaving: Whether it is to hand over its keys and get no new work.
    """

    id: Name
    address: Address
    failure_domain: Name
    shard: int = pydantic.Field(default=0, ge=0)
    slots: int = pydantic.Field(default=2, ge=1, le=1024)
    connections: int = pydantic.Field(default=125, ge=1, le=100_000)
    checks_grants: bool = True
    leaving: bool = False


class ClassSettings(_Model):
    """A class of requests; a lower priority number is served first.

    Attributes:
      floor: Share of a server that lower classes keep from this one on, so
        that none starves.
      deferrable: Whether its requests can wait, like an overnight sync.
    """

    name: Name
    priority: int = pydantic.Field(default=0, ge=0, le=9)
    floor: float = pydantic.Field(default=0.05, ge=0, le=1)
    deferrable: bool = False


class RepeatRule(_Model):
    """Requests that may be run more than once."""

    methods: list[Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST',
                          'PATCH']]
    path: str = '/*'

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request may be repeated under this rule."""
        return method in self.methods and fnmatch.fnmatchcase(path, self.path)


class Limits(_Model):
    """Limits on what a caller may send, and default and longest deadlines."""

    header_bytes: int = pydantic.Field(default=32_768, ge=1024)
    body_bytes: int = pydantic.Field(default=256 * 1024 * 1024, ge=0)
    deadline_ms: int = pydantic.Field(default=2_000, ge=1)
    longest_deadline_ms: int = pydantic.Field(default=60_000, ge=1)

    @pydantic.model_validator(mode='after')
    def _check_deadlines(self) -> 'Limits':
        if self.deadline_ms > self.longest_deadline_ms:
            raise ValueError('deadline_ms must be at most longest_deadline_ms')
        return self


class GrantSettings(_Model):
    """Lifetimes of grants and routing leases.

    Attributes:
      lifetime_ms: How long a grant or a routing lease lasts.
      renew_ms: How often it is renewed.
      order_delay_ms: Longest delay of a request on its way to a server; the
        only protection where a server does not check grants.
    """

    lifetime_ms: int = pydantic.Field(default=625, ge=50)
    renew_ms: int = pydantic.Field(default=125, ge=10)
    order_delay_ms: int = pydantic.Field(default=1_000, ge=0)


class Weights(_Model):
    """What a team holds against an assignment."""

    imbalance: float = pydantic.Field(default=1.0, ge=0)
    churn: float = pydantic.Field(default=1.0, ge=0)
    unavailable: float = pydantic.Field(default=1.0, ge=0)


class ServiceSettings(_Model):
    """One service of a team.

    Attributes:
      keyed: Whether each key belongs to one server.
      shards: Groups of servers, each with a grantor; fixed once set.
      slices_per_server: Slices at the first assignment.
      claim_retention_s: How long an idempotency key is remembered.
      warm_up_ms: How long a cold server's share ramps up.
    """

    keyed: bool = True
    shards: int = pydantic.Field(default=1, ge=1, le=65_535)
    slices_per_server: int = pydantic.Field(default=32, ge=1, le=1024)
    servers: list[ServerSettings] = pydantic.Field(default_factory=list)
    classes: list[ClassSettings] = pydantic.Field(
        default_factory=lambda: [ClassSettings(name='normal')], min_length=1)
    repeatable: list[RepeatRule] = pydantic.Field(
        default_factory=lambda:
        [RepeatRule(methods=['GET', 'HEAD', 'OPTIONS'])])
    limits: Limits = Limits()
    grants: GrantSettings = GrantSettings()
    claim_retention_s: int = pydantic.Field(default=3_600, ge=1)
    warm_up_ms: int = pydantic.Field(default=3_000, ge=0)

    @pydantic.model_validator(mode='after')
    def _check_servers(self) -> 'ServiceSettings':
        ids = [server.id for server in self.servers]
        if len(set(ids)) != len(ids):
            raise ValueError('server ids must be unique within a service')
        for server in self.servers:
            if server.shard >= self.shards:
                raise ValueError(f'server {server.id}: shard must be below '
                                 f'{self.shards}')
        addresses = [server.address for server in self.servers]
        if len(set(addresses)) != len(addresses):
            raise ValueError('addresses must be unique within a service')
        names = [item.name for item in self.classes]
        if len(set(names)) != len(names):
            raise ValueError('class names must be unique within a service')
        if self.grants.renew_ms * 2 > self.grants.lifetime_ms:
            raise ValueError('grants: lifetime_ms must be at least twice '
                             'renew_ms')
        return self

    def may_repeat(self, method: str, path: str) -> bool:
        """Returns whether a request may be run more than once."""
        return any(rule.matches(method, path) for rule in self.repeatable)


class TeamSettings(_Model):
    """One team's branch of the settings tree."""

    team: Name
    weights: Weights = Weights()
    services: dict[Name, ServiceSettings] = pydantic.Field(default_factory=dict)


def parse_process(text: str) -> ProcessSettings:
    """Parses a process's own settings file.

    Args:
      text: YAML.

    Returns:
      The checked settings.

    Raises:
      SettingsError: It does not parse; each problem names its line or field.
    """
    return _parse(ProcessSettings, text)


def parse_team(text: str) -> TeamSettings:
    """Parses one team's branch.

    Args:
      text: YAML, at most `MAX_BRANCH_BYTES`.

    Returns:
      The checked branch.

    Raises:
      SettingsError: It does not parse; each problem names its line or field.
    """
    if len(text.encode()) > MAX_BRANCH_BYTES:
        raise exceptions.SettingsError(
            [f'branch: expected at most {MAX_BRANCH_BYTES} bytes'])
    return _parse(TeamSettings, text)


def _parse(model: type[pydantic.BaseModel], text: str):
    document = documents.load(text)
    try:
        return model.model_validate(document.value)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsError(_describe(document, error)) from error


def _describe(document: documents.Document,
              error: pydantic.ValidationError) -> list[str]:
    """Returns a line per problem, in the order of the document."""
    found = []
    for item in error.errors():
        line = document.find_line(item['loc'])
        field = '.'.join(str(part) for part in item['loc']) or 'document'
        found.append((line, f'line {line}: {field}: {item["msg"]}'))
    return [problem for _, problem in sorted(found)]
