"""Routes, services and backend servers as an entry has them in memory."""

import dataclasses
import enum

KEY_COUNT = 65_536
"""Keys of a keyed service are numbers from 0 to KEYS - 1."""


class RepeatPolicy(enum.Enum):
    """Whether a request may be retried when its outcome is unknown."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that takes a share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Its share, relative to the weights of the route's other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests for a host and a path prefix are sent, and how.

    Attributes:
      name: Name of the route.
      host: Host, in lower case, without a port.
      prefix: Path prefix; begins and ends with a slash.
      repeat: Whether requests may be run more than once.
      large_answers: Whether answers are large files.
      targets: The services that share the route.
      max_attempts: Upper limit of servers that one request is sent to.
      timeout_ms: Longest time that a request may be kept waiting.
      latency_target_ms: Time within which an answer is worth its full value.
      priority_rank: 0 is the most urgent.
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
    """A service that the operator has configured.

    Attributes:
      name: Name of the service.
      keyed: Whether servers run a request only while they hold its key.
      max_connections: Connections that a server accepts from all entries
        combined.
      warmup_ms: How long a server is slow with keys that it received without a
        hand-over token.
      health_path: Path of a server's health check.
    """

    name: str
    keyed: bool
    max_connections: int
    warmup_ms: float
    health_path: str = '/'


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what callers send.

    Attributes:
      max_header_bytes: Limit of the request line and the headers.
      max_body_bytes: Limit of the body.
      header_timeout_ms: Time limit for sending the headers.
      idle_timeout_ms: Time after which a connection without a request may be
        closed.
    """

    max_header_bytes: int = 64 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 30_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """The operator's configuration.

    Attributes:
      version: Number that grows with each change.
      routes: Routes by name.
      services: Services by name.
      limits: Limits on what callers send.
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
    """One process of a backend server.

    Attributes:
      id: Id of the process; each start has another one.
      service: Name of its service.
      address: host:port.
      domain: Its failure domain.
      slots: Requests that it runs at once.
      draining: Whether it is about to leave.
      warmup_ends_at: Until when it is slow after its start, ms.
      seen_at: When this entry first had it listed, ms.
      name: Name under which it is registered and called, which may survive a
        restart; the id is used if it is empty.
      started_at: When its process started, ms of the time of day; None if
        unknown.
      draining_at: When this entry received that it is about to leave, ms.
      unlisted_at: When its entry in the store was first missing, ms; 0 if it is
        listed. An entry that expired while the store was unavailable may come
        back.
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
        """When this entry found that it leaves, ms; None if it stays."""
        if self.draining:
            return self.draining_at
        return self.unlisted_at or None


def has_replaced(server: Server, other: Server) -> bool:
    """Returns whether a server's start proves that another process has ended.

    No two processes have the same address or the same name at the same time.
    If the start times of both are known, the later one has replaced the other;
    a process whose entry was written late but that started earlier proves
    nothing. Nor does an entry without a start time about a process that states
    its own: another writer may have written it.
    """
    if server.id == other.id:
        return False
    if server.started_at is None and other.started_at is not None:
        return False
    same = server.address == other.address or (server.name and
                                               server.name == other.name)
    if server.started_at is None or other.started_at is None:
        return bool(same)
    return bool(same) and server.started_at > other.started_at


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Changes of the store that entries send each other, and their age.

    Attributes:
      revision: Store revision up to which the sender has every change.
      seen_at: When the sender last had an answer from the store, ms.
      base_revision: Revision from which `changes` begin, as requested by the
        receiver.
      changes: Changes since `base_revision`, in the adapter's own encoding;
        None if that revision is too old.
      version: Version of the configuration that the sender has in force.
      configuration_at: When that configuration was known to be the newest, ms.
      configuration_revision: Revision up to which it was the newest.
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
    """What the coordinator of a keyed service reports to all entries.

    It is part of the reply to a report, so its field names are on the wire.

    Attributes:
      unserved: First and last keys of each range that no server holds now.
      works: Mean processing time of requests by server id, ms.
    """

    unserved: list[tuple[int, int]]
    works: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """Data that request threads read; replaced as a whole, never changed.

    Attributes:
      configuration: The configuration in force; None if there is none yet.
      servers: Backend servers by service, then by id.
      assignments: Owners of keys, by service (see `keyranges`).
      coordinators: Coordinators (see `ports.Peer`) by service.
      entries: Registered entries (see `ports.Peer`) by instance id.
    """

    configuration: Configuration | None
    servers: dict[str, dict[str, Server]]
    assignments: dict
    coordinators: dict
    entries: dict
