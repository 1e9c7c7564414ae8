"""Interface between an entry and the platform; an adapter implements it.

Nothing in this module depends on the platform's wire names. Calls block until
they are answered or time out, and return failures as values.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from lentilmoor import crashes
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import staleness
from lentilmoor.edge import tables

# A machine below either of these is too small to coordinate many entries: on
# its link, grants would queue behind the replies to the entries' reports until
# servers hold no keys.
MIN_COORDINATOR_LINK_MBPS = 50.0
MIN_COORDINATOR_CORES = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the operator guarantees or expects; times in ms.

    Attributes:
      drain_ms: Time after which a draining server accepts no requests.
      grace_ms: Time from SIGTERM to SIGKILL.
      retry_ratio: Retries to a service per request to it.
      retry_slack: Retries allowed beyond that, by all entries together.
      retry_window_ms: Time span over which retries are counted.
      hold_max_ms: Longest duration of a grant.
      config_apply_ms: Time after which a configuration is in force everywhere;
        infinite if the operator sets no bound.
    """

    drain_ms: float
    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    hold_max_ms: float
    config_apply_ms: float = math.inf


# Memory of the smallest machines.
MIN_MEMORY_MB = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """An entry's own settings.

    Attributes:
      instance: Instance id of the entry.
      domain: Failure domain of the entry.
      callers: host:port on which callers connect.
      ready: host:port of the readiness check for the load balancer.
      control: host:port on which other entries connect.
      metrics: host:port on which metrics are served.
      seeds: host:port of some other entries, which may be down.
      cores: Processor time that the entry may use, in cores.
      link_mbps: Speed of the network link, Mbit/s.
      bounds: Bounds that the operator guarantees or expects.
      first_start: Whether the whole system starts for the first time, so that
        no earlier process of this entry has run.
      memory_mb: Memory beyond which the process is killed, MB.
    """

    instance: str
    domain: str
    callers: str
    ready: str
    control: str
    metrics: str
    seeds: tuple[str, ...]
    cores: float
    link_mbps: float
    bounds: Bounds
    first_start: bool = False
    memory_mb: float = MIN_MEMORY_MB

    @property
    def small(self) -> bool:
        """Whether the machine is too small to coordinate many entries."""
        return (self.link_mbps < MIN_COORDINATOR_LINK_MBPS or
                self.cores < MIN_COORDINATOR_CORES)

    @property
    def limits(self) -> staleness.Limits:
        """How old the copy of the store may be for each kind of decision."""
        return staleness.make_limits(self.bounds.drain_ms,
                                     self.bounds.config_apply_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """An entry as registered with the platform and seen by other entries.

    Attributes:
      instance: Its id, new with each start of its process.
      address: host:port on which other entries connect.
      small: Whether its machine is too small to coordinate many entries.
      domain: Its failure domain; empty if it names none.
      registration_revision: Store revision of its registration, or of its
        election if it is a coordinator; 0 if unknown.
    """

    instance: str
    address: str
    small: bool = False
    domain: str = ''
    registration_revision: int = dataclasses.field(default=0, compare=False)


def make_peer(instance: str, settings: Settings) -> Peer:
    """Returns the `Peer` under which this entry registers."""
    return Peer(instance, settings.control, settings.small, settings.domain)


@dataclasses.dataclass(frozen=True, slots=True)
class SavedAssignment:
    """An assignment and the store revision at which it was saved."""

    assignment: keyranges.Assignment
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SavedSuspect:
    """A request that crashes the servers that run it (see `quarantine`).

    Attributes:
      fingerprint: Fingerprint of the request.
      service: The service whose servers crashed.
      crashes: Crashes of these servers.
      trials: When its trials without a clean run were sent, ms, by id.
      revision: Store revision at which it was saved; 0 if it isn't saved yet.
      is_only_cause: Whether it was blocked as the only cause of its crashes.
    """

    fingerprint: bytes
    service: str
    crashes: tuple[crashes.Crash, ...]
    trials: Mapping[str, float] = dataclasses.field(default_factory=dict)
    revision: int = 0
    is_only_cause: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Everything that the store holds for an entry, at one revision.

    Attributes:
      configuration: None if there is none yet, or if it doesn't parse.
      servers: Backend servers by id.
      coordinators: Coordinators by service.
      assignments: Saved assignments by service.
      entries: Registered entries, by instance id.
      revision: Revision from which to continue watching (see `revisions`).
      required_revision: Revision of the last change that entries must not miss,
        that is, of anything but heartbeats and assignments; the hub sends
        assignments separately.
      suspects: Blocked requests, by the hexadecimal form of the fingerprint.
    """

    configuration: tables.Configuration | None
    servers: Mapping[str, tables.Server]
    coordinators: Mapping[str, Peer]
    assignments: Mapping[str, SavedAssignment]
    entries: Mapping[str, Peer]
    revision: int
    required_revision: int = 0
    suspects: Mapping[str,
                      SavedSuspect] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store.

    Attributes:
      id: Number of the lease.
      ttl_ms: Time to live, counted from when a renewal arrives at the store.
    """

    id: int
    ttl_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """Calls to the platform's store.

    Attributes:
      load: Reads everything.
      load_configuration: Reads the configuration; returns a newer snapshot.
      list_entries: Reads which entries are registered; the list may be a few
        seconds old.
      watch: (snapshot) -> a newer snapshot; blocks until there is a change.
        NOT_FOUND: the store no longer has the changes since that revision, so
        everything has to be loaded again.
      open_lease: (ttl_ms) -> a lease.
      keep_lease: (lease) -> None, or NOT_FOUND if it has expired.
      end_lease: Ends a lease.
      claim_coordination: (service, peer, lease, revision of the coordinator
        that is replaced, 0 if there is none) -> None, or CONFLICT.
      register: (peer, lease) -> None; registers an entry.
      load_assignment: (service) -> the currently saved assignment, or None if
        there has never been one.
      encode_news: (revision, size limit in bytes, version or None) -> the
        changes since the revision, compressed, without assignments, heartbeats
        and changes that are larger than the limit when compressed; empty if
        there are none, None if the revision is too old. The configuration is
        included if the named version of it is older.
      merge_news: (result of `encode_news` of another entry, its revision) -> a
        newer snapshot, or None if the news doesn't parse.
      dump: (revision) -> the changes since the revision, or everything, for an
        entry that can't reach the store.
      restore: (dump) -> a snapshot, or None if the dump doesn't parse or begins
        later than what this entry knows.
      save: (assignment, revision or 0 if there is none, service) -> revision,
        CONFLICT, or another failure after which it may have been saved.
      save_suspect: (suspect, with the revision of what it replaces) -> None,
        CONFLICT, or another failure after which it may have been saved.
      delete_suspect: (suspect) -> None, or a failure; deletes it if it is still
        at its revision.
      find_unanswered_ms: Returns for how long the store has answered no call,
        ms; 0 if it answered the last one.
      find_era: Returns the newest era that the store has reported; 0 before the
        first report.
      on_restore: Sets the callable that is called when the store turns out to
        have been restored from an older copy; by default nothing is called.
      count_calls: Returns the number of calls made, by kind.
    """

    load: Callable[[], StoreSnapshot | outcomes.Failed]
    load_configuration: Callable[[], StoreSnapshot | outcomes.Failed]
    list_entries: Callable[[], list[Peer] | outcomes.Failed]
    watch: Callable[[StoreSnapshot], StoreSnapshot | outcomes.Failed]
    open_lease: Callable[[float], Lease | outcomes.Failed]
    keep_lease: Callable[[Lease], None | outcomes.Failed]
    end_lease: Callable[[Lease], None | outcomes.Failed]
    claim_coordination: Callable[[str, Peer, Lease, int],
                                 None | outcomes.Failed]
    register: Callable[[Peer, Lease], None | outcomes.Failed]
    load_assignment: Callable[[str], SavedAssignment | None | outcomes.Failed]
    encode_news: Callable[[int, float, int | None], bytes | None]
    merge_news: Callable[[bytes, int], StoreSnapshot | None]
    dump: Callable[[int], bytes]
    restore: Callable[[bytes], StoreSnapshot | None]
    save: Callable[[keyranges.Assignment, int], int | outcomes.Failed]
    save_suspect: Callable[[SavedSuspect], None | outcomes.Failed]
    delete_suspect: Callable[[SavedSuspect], None | outcomes.Failed]
    find_unanswered_ms: Callable[[], float]
    find_era: Callable[[], int]
    on_restore: Callable[[Callable[[], None]], None]
    count_calls: Callable[[], dict[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCalls:
    """Control calls to backend servers.

    Attributes:
      grant: (grant) -> the outcome, and the connection that carried it. After
        the call has returned, the grant can no longer arrive at the server.
      release: (release) -> the outcome, and a hand-over token or ''.
      probe: (probe) -> DONE if the server answers.
      check: (server, path of its health check, timeout in ms) -> whether the
        server answers over a new connection, whatever it states.
    """

    grant: Callable[[ownership.Grant], ownership.GrantResult]
    release: Callable[[ownership.Release], tuple[ownership.CallOutcome, str]]
    probe: Callable[[ownership.Probe], ownership.CallOutcome]
    check: Callable[[tables.Server, str, float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What the headers of a caller's request state.

    Attributes:
      request_id: Id of the request; empty if the caller set none.
      caller_timeout_ms: How long the caller waits; None if unknown.
      key: The request's key; None if there is none.
    """

    request_id: str
    caller_timeout_ms: float | None
    key: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a server reports.

    Attributes:
      running: Requests that it runs.
      waiting: Requests in its queue.
      slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What the headers of a server's answer state.

    Attributes:
      request_id: Id of the request that it answers; empty if not stated.
      not_run: Whether the server states that it did not run the request.
      has_proof: Whether the answer carries the server's proof.
      load: The server's load, if it reports it.
      keep_alive_ms: How long the server keeps the idle connection open; None if
        unknown.
      closes_connection: Whether the server closes the connection.
      rate_limit: Requests per second that the server accepts from all entries
        combined; None if the answer sets no limit.
      draining: Whether the server is about to leave.
      retry_after_ms: How long this entry should send the server no requests;
        None if the answer requests no pause.
    """

    request_id: str
    not_run: bool
    has_proof: bool
    load: ServerLoad | None
    keep_alive_ms: float | None
    closes_connection: bool
    rate_limit: float | None = None
    draining: bool = False
    retry_after_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderFormat:
    """The platform's headers of requests and answers.

    Attributes:
      parse_caller_headers: (headers of a caller's request) -> what they state.
      add_server_headers: (headers, server's name, time left in ms) -> None;
        adds the headers that a server requires.
      parse_answer_headers: (status, headers of a server's answer) -> what they
        state.
      dropped_headers: Names, in lower case, of request headers that are not
        passed on to servers.
      single_headers: Names, in title case, of request headers that may stand
        only once.
    """

    parse_caller_headers: Callable[[Mapping[bytes, bytes]], CallerHeaders]
    add_server_headers: Callable[[dict[str, str], str, float], None]
    parse_answer_headers: Callable[[int, Mapping[str, str]], AnswerHeaders]
    dropped_headers: frozenset[str]
    single_headers: frozenset[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The complete adapter of a platform."""

    settings: Settings
    store: Store
    servers: ServerCalls
    header_format: HeaderFormat
