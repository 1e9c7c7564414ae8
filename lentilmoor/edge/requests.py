"""A request on its way, and what all requests of an entry share."""

from collections.abc import Mapping
import dataclasses
import random
import threading

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import transport
from lentilmoor.edge import departures
from lentilmoor.edge import exchange
from lentilmoor.edge import matching
from lentilmoor.edge import permits
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reports
from lentilmoor.edge import retrybudgets
from lentilmoor.edge import staleness
from lentilmoor.edge import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
      fields: What its headers say to entries.
      method: HTTP method.
      host: Host header.
      path: Path without its query, as it was sent.
      target: Path and query, as they were sent.
      headers: What goes on to the server.
      body: Its whole body.
      watch: Watches the caller's connection.
      arrived_at: ms.
    """

    fields: ports.CallerHeaders
    method: str
    host: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    watch: exchange.CallerWatch
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What was seen of a request for a key; reported to the coordinator.

    Requests that were refused count too: what a server could not serve is
    what tells that its keys are to move.

    Attributes:
      service: Name of the service.
      key: The request's key.
      server: Id of the server.
      work_ms: Time of work; 0 if the server did not run it.
    """

    service: str
    key: int
    server: str
    work_ms: float


@dataclasses.dataclass(slots=True)
class Forwarder:
    """What request threads share.

    Attributes:
      clock: Time.
      platform: The adapter.
      logger: Takes a line for each request that isn't answered by a server.
      index: Routes of the configuration in force.
      snapshot: What is known; replaced as a whole.
      changed: Notified when the snapshot was replaced.
      states: What was seen of servers, by id.
      pools: Connections, by server id.
      repeats: Repeats, by service.
      running: Requests on their way.
      rate_limits: Rate limits that servers have set.
      permit_table: Requests and issues permits for servers with a rate limit.
      samples: Requests for keys that are still to be reported.
      hurry: Set when a report should not wait: a key has moved.
      unserved: First and last keys that no server holds now, by service.
      coordinated: What this entry tells the others, of each service that it
        coordinates; replaced as a whole.
      suspects: Requests that crash servers (see `suspects`).
      losses: Requests that servers have not answered, by server id.
      blocked: Fingerprints of blocked requests that were logged.
      tries_suspects: Whether this entry tries blocked requests once more.
      tried: When it did so last, ms, by fingerprint.
      started_at: When this process started, ms.
      departure: When this process ends.
      limits: How old what is known may be.
      freshness: Up to when what is known of the store is complete.
      followed: How far this entry has followed the store, by itself or by the
        hub.
      version: Of the configuration that it knows.
      configuration_revision: Up to which revision of the store no configuration
        is newer.
      newest_version: Of the newest configuration that it knows to be in force.
      news: How far it has by itself.
      heard: How far the hub has, and what changed, as it told last.
      outdated_logged_at: When a request that was refused or sent by an old
        copy of the store was last logged, ms.
      unavailable_logged_at: When a request to a draining or paused server was
        last logged, ms.
      lock: Guards states, pools, repeats, losses and trials.
    """

    clock: clocks.Clock
    platform: ports.Platform
    logger: object
    rules: connections.PoolLimits
    route_index: matching.RouteIndex = dataclasses.field(
        default_factory=lambda: matching.make_index({}))
    snapshot: tables.RoutingSnapshot = dataclasses.field(
        default_factory=lambda: tables.RoutingSnapshot(None, {}, {}, {}, {}))
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)
    server_states: dict[str, placement.ServerState] = dataclasses.field(
        default_factory=dict)
    pools: dict[str, connections.Pool] = dataclasses.field(default_factory=dict)
    retry_budgets: dict[str, retrybudgets.RetryBudget] = dataclasses.field(
        default_factory=dict)
    in_flight: set['Run'] = dataclasses.field(default_factory=set)
    rate_limits: ratelimits.RateLimits = dataclasses.field(
        default_factory=ratelimits.RateLimits)
    permit_table: permits.PermitTable = dataclasses.field(
        default_factory=permits.PermitTable)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    report_now: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    unserved_ranges: dict[str, list[tuple[int, int]]] = dataclasses.field(
        default_factory=dict)
    coordinated: dict[str, tables.CoordinatorStatus] = dataclasses.field(
        default_factory=dict)
    suspects: quarantine.Quarantine = dataclasses.field(
        default_factory=quarantine.Quarantine)
    lost_requests: dict[str, list] = dataclasses.field(default_factory=dict)
    logged_blocked: frozenset[bytes] = frozenset()
    runs_trials: bool = False
    last_trials_at: dict[bytes, float] = dataclasses.field(default_factory=dict)
    started_at: float = float('-inf')
    departure: departures.Departure = dataclasses.field(
        default_factory=departures.Departure)
    age_limits: staleness.Limits = dataclasses.field(
        default_factory=staleness.make_limits)
    freshness: staleness.Freshness = dataclasses.field(
        default_factory=staleness.Freshness)
    followed_revision: int = 0
    configuration_version: int = 0
    configuration_revision: int = 0
    newest_configuration_version: int = 0
    own_progress: tables.News = tables.News()
    hub_progress: tables.News = tables.News()
    stale_logged_at: float = float('-inf')
    unavailable_logged_at: float = float('-inf')
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    generator: random.Random = dataclasses.field(default_factory=random.Random)


Outcome = transport.Answer | outcomes.NotRun | outcomes.Unknown | exchange.Gone


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request on its way.

    Attributes:
      request: The request.
      route: Its route.
      service: The service that runs it.
      until: When it is given up, ms.
      server: Id of the server that works on it; '' while it waits.
      sent_at: When it was sent there, ms.
      sent: Servers that it was sent to.
      avoid: Servers that are not to be tried again.
      may_have_run: Whether a try ended without a certain outcome.
      last: A server's failure that is passed on if no try does better.
      on_trial: Whether it is a blocked request that is tried once more.
    """

    request: Request
    route: tables.Route
    service: tables.Service
    deadline_at: float
    server: str = ''
    sent_at: float = 0.0
    sent_to: set[str] = dataclasses.field(default_factory=set)
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    last_failure: transport.Answer | None = None
    is_trial: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether it may be run more than once."""
        return self.route.repeat is tables.RepeatPolicy.IDEMPOTENT


def find_knowledge_age(forwarder: Forwarder) -> float:
    """Returns how long ago an entry knew all that the store held, ms."""
    return find_age(forwarder, forwarder.freshness.known_times.servers_at)


def find_age(forwarder: Forwarder, known_at: float) -> float:
    """Returns how long ago a time was, ms."""
    return min(forwarder.clock.now() - known_at, reports.UNKNOWN_AGE_MS)


def list_other_entries(forwarder: Forwarder) -> set[str]:
    """Returns the addresses of the other entries."""
    settings = forwarder.platform.settings
    known = {peer.address for peer in forwarder.snapshot.entries.values()
            } | set(settings.seeds)
    known.discard(settings.control)
    return known


def is_server_data_recent(forwarder: Forwarder) -> bool:
    """Returns whether requests may be sent by what is known of servers."""
    known_at = staleness.find_applied_times(forwarder.freshness).servers_at
    return _is_usable(forwarder, known_at, forwarder.age_limits.max_send_age_ms)


def is_configuration_recent(forwarder: Forwarder) -> bool:
    """Returns whether requests may be routed by the configuration."""
    known_at = staleness.find_applied_times(
        forwarder.freshness).configuration_at
    return _is_usable(forwarder, known_at,
                      forwarder.age_limits.max_route_age_ms)


def may_reject_unknown_route(forwarder: Forwarder) -> bool:
    """Returns whether a route that isn't known certainly doesn't exist."""
    known_at = staleness.find_applied_times(
        forwarder.freshness).configuration_at
    return find_age(forwarder, known_at) <= forwarder.age_limits.max_deny_age_ms


def _is_usable(forwarder: Forwarder, known_at: float, limit_ms: float) -> bool:
    return find_age(forwarder,
                    known_at) <= limit_ms or is_store_unavailable(forwarder)


def is_store_unavailable(forwarder: Forwarder) -> bool:
    """Returns whether the store seems to be away from everybody."""
    return staleness.is_store_unavailable(
        forwarder.freshness, list_other_entries(forwarder),
        forwarder.platform.store.find_unanswered_ms(), forwarder.clock.now(),
        forwarder.age_limits)
