"""What an entry needs of the platform; an adapter implements it.

Nothing here knows a wire name. Calls block until they are answered or their
time is over, and report failures as values.
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

# Below these a machine is small: on its link grants would wait behind replies
# to the reports of many entries, until servers hold no keys.
MIN_COORDINATOR_LINK_MBPS = 50.0
MIN_COORDINATOR_CORES = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the operator promises and expects; times in ms.

    Attributes:
      drain_ms: A draining server takes no request later than this.
      grace_ms: From SIGTERM to SIGKILL.
      retry_ratio: Repeats to a service per request for it.
      retry_slack: Repeats beyond that, by all entries together.
      retry_window_ms: Span over which repeats are counted.
      hold_max_ms: Longest grant.
      config_apply_ms: A configuration is in force everywhere by then; no limit
        if the operator names none.
    """

    drain_ms: float
    grace_ms: float
    retry_ratio: float
    retry_slack: float
    retry_window_ms: float
    hold_max_ms: float
    config_apply_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """An entry's own settings.

    Attributes:
      instance: Its instance id.
      domain: Its failure domain.
      callers: host:port for callers.
      ready: host:port of the balancer's readiness check.
      control: host:port for the other entries.
      metrics: host:port where metrics are shown.
      seeds: host:port of some other entries; they may be down.
      cores: Processor time it may use, in cores.
      link_mbps: Speed of its link, Mbit/s.
      bounds: What the operator promises and expects.
      first_start: Whether the whole system starts for the first time, so that
        no earlier process of this entry has run.
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

    @property
    def small(self) -> bool:
        """Whether the machine is too small to coordinate many entries."""
        return (self.link_mbps < MIN_COORDINATOR_LINK_MBPS or
                self.cores < MIN_COORDINATOR_CORES)

    @property
    def limits(self) -> staleness.Limits:
        """How old what is known of the store may be."""
        return staleness.make_limits(self.bounds.drain_ms,
                                     self.bounds.config_apply_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry, or this one as the others know it.

    Attributes:
      instance: Its id, new with each start of its process.
      address: host:port for the other entries.
      small: Whether its machine is too small to coordinate many entries.
      domain: Its failure domain; '' if it doesn't say.
      registration_revision: Store revision of its registration, or of its
        election if it is a coordinator; 0 if unknown.
    """

    instance: str
    address: str
    small: bool = False
    domain: str = ''
    registration_revision: int = dataclasses.field(default=0, compare=False)


def make_peer(instance: str, settings: Settings) -> Peer:
    """Returns this entry as the others know it."""
    return Peer(instance, settings.control, settings.small, settings.domain)


@dataclasses.dataclass(frozen=True, slots=True)
class SavedAssignment:
    """An assignment and the store's revision of it."""

    assignment: keyranges.Assignment
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SavedSuspect:
    """A request that crashes its servers (see `quarantine`).

    Attributes:
      fingerprint: Of the request.
      service: The service whose servers crashed.
      crashes: Their crashes.
      revision: The store's revision of it; 0 if it isn't saved yet.
    """

    fingerprint: bytes
    service: str
    crashes: tuple[crashes.Crash, ...]
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """All that the store holds for an entry.

    Attributes:
      configuration: None before the first, or if it doesn't parse.
      servers: By id.
      coordinators: By service.
      assignments: By service.
      entries: Entries that registered, by instance id.
      revision: Where to go on watching (see `revisions`).
      news: Revision of the last change that entries must not miss: of anything
        but assignments, which the hub tells by itself, and heartbeats.
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
      id: Its number.
      ttl_ms: How long it runs from a renewal's arrival.
    """

    id: int
    ttl_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """The platform's store.

    Attributes:
      load: Reads everything.
      load_configuration: Reads the configuration; a newer everything.
      list_entries: Reads which entries are registered, or were a few seconds
        ago.
      watch: (everything) -> a newer everything; blocks until there is a
        change. NOT_FOUND: the history is gone, load again.
      open_lease: (ttl_ms) -> a lease.
      keep_lease: (lease) -> None, or NOT_FOUND if it has ended.
      end_lease: Ends a lease.
      take_role: (service, peer, lease, revision of the coordinator that is
        replaced, 0 if there is none) -> None, or CONFLICT.
      register: (peer, lease) -> None: makes an entry known.
      load_assignment: (service) -> the saved assignment as it is now, or None
        if there never was one.
      tell_news: (revision, bytes, version or None) -> what has changed since,
        but for assignments, heartbeats and what has more than so many bytes
        when it is compressed, empty if nothing; None if that is too long ago
        to tell. The configuration is told to whoever names an older version.
      merge_news: (what `tell_news` of another entry returned, its revision) ->
        a newer everything, or None if it doesn't parse.
      dump: (revision) -> what has changed since, or all that is known, for an
        entry that can't reach the store.
      restore: (dump) -> everything, or None if it doesn't parse, or begins
        later than what is known.
      save: (assignment, revision or 0 if there is none, service) -> revision,
        CONFLICT, or another failure after which it may be done.
      save_suspect: (suspect, with the revision of what it replaces) -> None,
        CONFLICT, or another failure after which it may be done.
      forget_suspect: (suspect) -> None, or a failure; deletes it if it is still
        at its revision.
      find_silence: For how long the store has answered nothing, ms; 0 if it
        answered the last call.
      find_era: The newest era that the store has told; 0 before the first.
      on_restore: (callable) sets what is called when the store turns out to
        have been restored from an older copy; until then it does nothing.
      count_calls: How many calls were made, by kind.
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
      grant: (grant) -> what came of it, and which connection carried it.
        Once it is answered or given up it can't arrive any more.
      release: (release) -> what came of it, and a hand-over token or ''.
      probe: (probe) -> DONE if the server answers.
    """

    grant: Callable[[ownership.Grant], ownership.GrantResult]
    release: Callable[[ownership.Release], tuple[ownership.CallOutcome, str]]
    probe: Callable[[ownership.Probe], ownership.CallOutcome]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes:
      request_id: Names this request; '' if the caller named none.
      patience_ms: How long the caller waits; None if it doesn't say.
      key: The request's key; None if there is none.
    """

    request_id: str
    caller_timeout_ms: float | None
    key: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a server says of its load.

    Attributes:
      running: Requests that it runs.
      waiting: Requests that wait in its queue.
      slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What the headers of a server's answer say.

    Attributes:
      request_id: The request that it answers; '' if it doesn't say.
      not_run: Whether the server says that it did not run the request.
      proven: Whether the answer carries the server's proof.
      load: The server's load, if it tells.
      kept_ms: How long the server keeps the idle connection; None: unknown.
      closes: Whether the server closes the connection.
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
    """Names and forms of what callers and servers send.

    Attributes:
      read_caller: Headers of a caller's request -> what they say.
      mark: (headers, server's name, time left in ms) -> adds what a server is
        to be told.
      read_answer: (status, headers) -> what a server's answer says.
      dropped: Names, in lower case, that are not passed on to servers.
    """

    parse_caller_headers: Callable[[Mapping[bytes, bytes]], CallerHeaders]
    add_server_headers: Callable[[dict[str, str], str, float], None]
    parse_answer_headers: Callable[[int, Mapping[str, str]], AnswerHeaders]
    dropped_headers: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """The whole adapter."""

    settings: Settings
    store: Store
    servers: ServerCalls
    header_format: HeaderFormat
