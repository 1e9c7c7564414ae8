"""Requests in flight, and the state that all requests of an entry share."""

from collections.abc import Mapping
import dataclasses
import random
import threading

from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import transport
from lentilmoor.edge import departures
from lentilmoor.edge import entrycounts
from lentilmoor.edge import exchange
from lentilmoor.edge import learningtables
from lentilmoor.edge import matching
from lentilmoor.edge import pauses
from lentilmoor.edge import permits
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import proxytables
from lentilmoor.edge import ratelimits
from lentilmoor.edge import refusedanswers
from lentilmoor.edge import reports
from lentilmoor.edge import retrybudgets
from lentilmoor.edge import serverpaths
from lentilmoor.edge import staleness
from lentilmoor.edge import tables
from lentilmoor.edge import trialtables

# Timeout of a caller whose request doesn't state one.
DEFAULT_CALLER_TIMEOUT_MS = 10_000.0
# Stands for the server that another entry may have sent a request to. It is no
# id of a server.
UNKNOWN_SERVER = '?'


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
      fields: Headers that are addressed to entries.
      method: HTTP method.
      host: Host header.
      path: Path without the query, as received.
      target: Path and query, as received.
      headers: Headers that are forwarded to the server.
      body: The complete body.
      watch: Detects whether the caller has closed its connection.
      arrived_at: Time of arrival, ms.
      proxied: Whether another entry has passed it on.
      counted: Whether it counts in the retry budget of another entry.
      memory: Where the bytes of its body and of its answers are reserved.
      max_delay_ms: How long before `arrived_at` it may have arrived, at most.
      may_have_run: Whether another entry may have sent it to a server.
      used_connections: Connections to servers and to other entries that have
        carried it.
    """

    fields: ports.CallerHeaders
    method: str
    host: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes | bytearray
    watch: exchange.CallerWatch
    arrived_at: float
    proxied: bool = False
    counted: bool = False
    may_have_run: bool = False
    max_delay_ms: float = 0.0
    memory: bytebudgets.Usage = dataclasses.field(
        default_factory=bytebudgets.Usage)
    used_connections: set[connections.Connection] = dataclasses.field(
        default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """A request for a key, as reported to the coordinator.

    Refused requests are reported as well: demand that a server can't serve
    shows the coordinator that its keys have to move.

    Attributes:
      service: Name of the service.
      key: The request's key.
      server: Id of the server.
      work_ms: Processing time; 0 if the server did not run the request.
    """

    service: str
    key: int
    server: str
    work_ms: float


@dataclasses.dataclass(slots=True)
class Forwarder:
    """State shared by all request threads of an entry.

    Attributes:
      clock: Clock.
      platform: Platform adapter.
      logger: Logs each request that isn't answered by a server.
      rules: Limits of the connection pools.
      route_index: Routes of the configuration in force.
      snapshot: Known entries, servers, assignments and configuration; replaced
        as a whole.
      changed: Notified when the snapshot is replaced.
      server_states: Observations of servers, by id.
      pools: Connection pools, by server id.
      retry_budgets: Retry budgets, by service.
      entry_counts: The entries that share limits with this one.
      sharing_terms: Times by which entries use their shares of limits.
      pause_times: Pauses of this process.
      in_flight: Requests in flight.
      rate_limits: Rate limits that servers have set.
      permit_table: Requests and issues permits for servers with a rate limit.
      samples: Requests for keys that have not been reported yet.
      report_now: Set when the next report must be sent immediately because a
        key has moved.
      unserved_ranges: First and last keys that no server holds now, by service.
      coordinated: State that this entry reports to the others for each service
        that it coordinates; replaced as a whole.
      reachability: What this entry observes of its paths to servers.
      refused_answers: Answers of faulty servers.
      proxies: Requests that pass through other entries.
      suspects: Requests that crash servers (see `suspects`).
      lost_requests: Requests that servers have not answered, by server id.
      clean_runs: When requests last ran without crashing their server, ms, by
        fingerprint; the newest ones.
      refusals: Servers that refuse connections, and since when, ms, by server
        id, until another server proves that this entry has a path to servers.
      logged_blocked: Fingerprints of blocked requests that were logged.
      trials: Trials of suspects that this entry grants and runs (see
        `trials`).
      learning: How recent `suspects` is (see `learning`).
      started_at: When this process started, ms.
      departure: When this process ends.
      age_limits: Maximum age of the data that requests are routed and sent by.
      freshness: Times up to which the copy of the store is complete.
      followed_revision: Revision of the store that this entry has followed,
        from the store or from the hub.
      configuration_version: Version of the configuration in the copy.
      configuration_revision: Revision of the store up to which no configuration
        is newer.
      newest_configuration_version: Version of the newest configuration that is
        known to be in force.
      own_progress: Progress of this entry in following the store itself.
      hub_progress: Progress of the hub, and changes, as last reported by it.
      stale_logged_at: When a request that was refused or sent by a stale copy
        of the store was last logged, ms.
      unavailable_logged_at: When a request to a draining or paused server was
        last logged, ms.
      lock: Guards `server_states`, `pools`, `retry_budgets`, `lost_requests`,
        `clean_runs` and `refusals`.
      generator: Source of the random numbers for routing.
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
    entry_counts: entrycounts.EntryCounts = dataclasses.field(
        default_factory=entrycounts.EntryCounts)
    sharing_terms: entrycounts.Terms = entrycounts.Terms()
    pause_times: pauses.Pauses = dataclasses.field(
        default_factory=pauses.Pauses)
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
    reachability: serverpaths.Reachability = dataclasses.field(
        default_factory=serverpaths.Reachability)
    refused_answers: refusedanswers.RefusedAnswers = dataclasses.field(
        default_factory=refusedanswers.RefusedAnswers)
    proxies: proxytables.ProxyTable = dataclasses.field(
        default_factory=proxytables.ProxyTable)
    suspects: quarantine.Quarantine = dataclasses.field(
        default_factory=quarantine.Quarantine)
    clean_runs: dict[bytes, float] = dataclasses.field(default_factory=dict)
    refusals: dict[str, tuple[tables.Server,
                              float]] = dataclasses.field(default_factory=dict)
    lost_requests: dict[str, list] = dataclasses.field(default_factory=dict)
    logged_blocked: frozenset[bytes] = frozenset()
    trials: trialtables.TrialTable = dataclasses.field(
        default_factory=trialtables.TrialTable)
    learning: learningtables.LearningTable = dataclasses.field(
        default_factory=learningtables.LearningTable)
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


Outcome = (transport.Answer | outcomes.NotRun | outcomes.Unknown |
           exchange.CallerDisconnected)


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request in flight, with the state of its attempts.

    Attributes:
      request: The request.
      route: Route that the request matches.
      service: The service that runs the request.
      deadline_at: When the request times out, ms.
      server: Id of the server that processes the request; '' while it waits.
      sent_at: When it was sent to that server, ms.
      sent_to: Ids of servers that it was sent to; `UNKNOWN_SERVER` for one that
        another entry may have sent it to.
      excluded_servers: Ids of servers that must not be tried again.
      lacks_path: Whether a server could not be reached that isn't known to have
        crashed; another entry may reach it.
      fingerprint: Fingerprint of the request, once it has been needed (see
        `suspects`); empty before.
      retry_deadline_at: Deadline of the retry that is in flight, ms; None if
        none is.
      may_have_run: Whether an attempt ended with an unknown outcome.
      last_failure: A server's error response, returned to the caller if no
        later attempt succeeds.
      trial: The trial as which it runs; None if it is no suspect.
      logs_result: Whether the result of its attempt is logged, as it is a
        suspect (see `arrivals`).
    """

    request: Request
    route: tables.Route
    service: tables.Service
    deadline_at: float
    server: str = ''
    sent_at: float = 0.0
    sent_to: set[str] = dataclasses.field(default_factory=set)
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    lacks_path: bool = False
    fingerprint: bytes = b''
    retry_deadline_at: float | None = None
    may_have_run: bool = False
    last_failure: transport.Answer | None = None
    trial: trialtables.HeldTrial | None = None
    logs_result: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether the request may be run more than once."""
        return self.route.repeat is tables.RepeatPolicy.IDEMPOTENT


def find_caller_timeout(fields: ports.CallerHeaders) -> float:
    """Returns how long a caller waits for its answer, ms."""
    return fields.caller_timeout_ms or DEFAULT_CALLER_TIMEOUT_MS


def make_run(request: Request, route: tables.Route, service: tables.Service,
             deadline_at: float) -> Run:
    """Returns the run of a request that this entry hasn't sent yet."""
    run = Run(request, route, service, deadline_at)
    if request.may_have_run:
        run.sent_to.add(UNKNOWN_SERVER)
        run.may_have_run = True
    return run


def note_lacking_path(forwarder: Forwarder, run: Run, server: str) -> None:
    """Notes that a server can't be reached, unless it has crashed."""
    if not quarantine.has_crashed(forwarder.suspects, server):
        run.lacks_path = True


def find_knowledge_age(forwarder: Forwarder) -> float:
    """Returns the age of this entry's data on servers, ms."""
    return find_age(forwarder, forwarder.freshness.known_times.servers_at)


def find_share(forwarder: Forwarder) -> entrycounts.Share:
    """Returns this entry's share of limits that hold for all entries."""
    complete_at = staleness.find_applied_times(forwarder.freshness).servers_at
    return entrycounts.find_share(forwarder.entry_counts,
                                  forwarder.sharing_terms, complete_at,
                                  forwarder.clock.now())


def count_running_entries(forwarder: Forwarder) -> int:
    """Returns the number of entries that run, this one included."""
    return entrycounts.count_running(forwarder.entry_counts,
                                     forwarder.sharing_terms,
                                     forwarder.clock.now())


def list_sharing_peers(forwarder: Forwarder) -> list[ports.Peer]:
    """Returns the entries that may use limits that hold for all entries."""
    return entrycounts.list_peers(forwarder.entry_counts,
                                  forwarder.sharing_terms,
                                  forwarder.clock.now())


def find_age(forwarder: Forwarder, known_at: float) -> float:
    """Returns the age of `known_at`, ms, at most `reports.UNKNOWN_AGE_MS`."""
    return min(forwarder.clock.now() - known_at, reports.UNKNOWN_AGE_MS)


def list_other_entries(forwarder: Forwarder) -> set[str]:
    """Returns the control addresses of the other entries, seeds included."""
    settings = forwarder.platform.settings
    known = {peer.address for peer in forwarder.snapshot.entries.values()
            } | set(settings.seeds)
    known.discard(settings.control)
    return known


def may_be_replaced(forwarder: Forwarder) -> bool:
    """Returns whether others may not find this entry in the store.

    They then share limits, and choose who issues permits, without it.
    """
    state = find_share(forwarder).state
    if state is entrycounts.ShareState.OUTDATED:
        return not is_store_unavailable(forwarder)
    return state is entrycounts.ShareState.UNREGISTERED


def is_server_data_recent(forwarder: Forwarder) -> bool:
    """Returns whether the data on servers is recent enough to send requests.

    While the store is unavailable to all entries, older data is used.
    """
    known_at = staleness.find_applied_times(forwarder.freshness).servers_at
    return _is_usable(forwarder, known_at, forwarder.age_limits.max_send_age_ms)


def is_configuration_recent(forwarder: Forwarder) -> bool:
    """Returns whether the configuration is recent enough to route requests.

    While the store is unavailable to all entries, an older one is used.
    """
    known_at = (staleness.find_applied_times(
        forwarder.freshness).configuration_at)
    return _is_usable(forwarder, known_at,
                      forwarder.age_limits.max_route_age_ms)


def may_reject_unknown_route(forwarder: Forwarder) -> bool:
    """Returns whether the configuration is recent enough to reject a route.

    A route that is missing from an older configuration may have been added
    since.
    """
    known_at = (staleness.find_applied_times(
        forwarder.freshness).configuration_at)
    return find_age(forwarder, known_at) <= forwarder.age_limits.max_deny_age_ms


def _is_usable(forwarder: Forwarder, known_at: float, limit_ms: float) -> bool:
    return find_age(forwarder,
                    known_at) <= limit_ms or is_store_unavailable(forwarder)


def is_store_unavailable(forwarder: Forwarder) -> bool:
    """Returns whether the store appears to be unavailable to all entries."""
    return staleness.is_store_unavailable(
        forwarder.freshness, list_other_entries(forwarder),
        forwarder.platform.store.find_unanswered_ms(), forwarder.clock.now(),
        forwarder.age_limits)
