"""What an entry knows of routes, services and backend servers."""

import dataclasses
import enum

KEY_COUNT = 65_536
"""Keys of a keyed service are numbers from 0 to KEYS - 1."""


class RepeatPolicy(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service's part in a route.

    Attributes:
      service: Name of the service.
      weight: Its share, relative to the other parts' weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and a path prefix go.

    Attributes:
      name: Its name.
      host: Host, in lower case, without a port.
      prefix: Begins and ends with a slash.
      repeat: Whether requests may be run more than once.
      large: Whether answers are large files.
      parts: The services that share the route.
      attempts: Servers that one request may be sent to, at most.
      timeout_ms: Longest time that a request may be kept waiting.
      goal_ms: Time within which an answer is worth its full value.
      rank: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    large_answers: bool
    targets: tuple[RouteTarget, ...]
    max_attempts: int
    timeout_ms: float
    latency_target_ms: float
    priority_rank: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service.

    Attributes:
      name: Its name.
      keyed: Whether servers run a request only while they hold its key.
      connections: Connections that a server accepts from all entries.
      warm_ms: How long keys that come without a hand-over token are slow.
    """

    name: str
    keyed: bool
    max_connections: int
    warmup_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send.

    Attributes:
      header_bytes: Request line and headers.
      body_bytes: Body.
      header_ms: Time to send the headers.
      idle_ms: A connection without a request for so long may be closed.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's configuration.

    Attributes:
      version: Grows with each change.
      routes: By name.
      services: By name.
      limits: Bounds on what callers send.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    limits: CallerLimits

    def list_keyed(self) -> list[str]:
        """Returns the names of services whose keys have one owner each."""
        return [name for name, item in self.services.items() if item.keyed]


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """One lifetime of a backend server.

    Attributes:
      id: Its id; each start of its process has another one.
      service: Name of its service.
      address: host:port.
      domain: Its failure domain.
      slots: Requests that it runs at once.
      draining: Whether it is about to leave.
      warm_at: Until when it is slow after its start, ms.
      seen_at: When this entry first knew it, ms.
      name: What it is registered as and called, which a restart may keep; its
        id if empty.
      started_at: When its process started, ms of the time of day; None if it
        doesn't say.
      draining_at: When this entry learned that it is about to leave, ms.
      unlisted_at: When its entry was first missing, ms; 0 if it is listed. One
        that ran out while the store was away may come back.
    """

    id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    warmup_ends_at: float
    seen_at: float
    name: str = ''
    started_at: int | None = None
    draining_at: float = 0.0
    unlisted_at: float = 0.0

    @property
    def leaves_at(self) -> float | None:
        """When this entry learned that it leaves, ms; None if it doesn't."""
        if self.draining:
            return self.draining_at
        return self.unlisted_at or None


def has_replaced(server: Server, other: Server) -> bool:
    """Returns whether a server's start proves that another process has ended.

    Two processes have neither one address nor one name at a time. Where both
    say when they started, an entry that was written late proves nothing.
    """
    if server.id == other.id:
        return False
    same = server.address == other.address or (server.name and
                                               server.name == other.name)
    if server.started_at is None or other.started_at is None:
        return bool(same)
    return bool(same) and server.started_at > other.started_at


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """How far an entry has followed the store.

    Attributes:
      revision: The store's, up to which it knows of every change.
      seen_at: When it last heard from the store, ms.
      since: The revision that another entry named.
      changes: What has changed since then, in the adapter's own form; None if
        that is too long ago to tell.
      version: Of the configuration that another entry has in force.
      configuration_at: When that was the newest, ms.
      configuration_revision: Up to which revision it was.
    """

    revision: int = 0
    seen_at: float = float('-inf')
    base_revision: int = 0
    changes: bytes | None = None
    version: int = 0
    configuration_at: float = float('-inf')
    configuration_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorStatus:
    """What the coordinator of a keyed service tells all entries.

    Attributes:
      unserved: First and last keys that no server holds now.
      works: Mean time of work by server id, ms.
    """

    unserved: list[tuple[int, int]]
    works: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """What request threads read; replaced as a whole, never changed.

    Attributes:
      configuration: The configuration in force; None before the first.
      servers: By service, then by id.
      assignments: Owners of keys, by service (see `keyranges`).
      coordinators: Who coordinates a service (see `ports`), by service.
      entries: Entries that registered (see `ports`), by instance id.
    """

    configuration: Configuration | None
    servers: dict[str, dict[str, Server]]
    assignments: dict
    coordinators: dict
    entries: dict
