"""What the coordinator of a keyed service knows, and what it has done.

The tables that `coordination` keeps, and questions about them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from lentilmoor.edge import holds
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables

# The coordinator's lease. Its successor takes over after the lease has run
# out, which must leave time to renew grants before they run out in turn.
COORDINATOR_LEASE_MS = 1_500.0
# How long a server holds keys without a renewal. Keys of a server that went
# silent stay unserved for so long; a coordinator that is lost must be
# replaced within what a renewal leaves of it.
HOLD_MS = 3_000.0
# A hold is renewed when this part of it has passed.
RENEW_FRACTION = 0.25
# Shortest hold that is granted: a few times the way to a server and back.
MIN_HOLD_MS = 200.0
# Time limit of a grant; a server that is up answers at once. After it the
# connection is reset, so that the grant can't arrive any more.
GRANT_TIMEOUT_MS = 400.0
# Time limit for getting a free connection, before that of the grant.
POOL_TIMEOUT_MS = 400.0
# Keys whose grant got no answer are granted again after this.
GRANT_RETRY_MS = 300.0
# A coordinator that can't reach the store goes on renewing for so long, so
# that keys stay served through the store's outages, the longest of which took
# 9 s. A successor counts with it for servers that it can't reach.
MAX_OFFLINE_MS = 12_000.0
# A save that failed is tried again after this.
SAVE_RETRY_MS = 300.0
# Servers that don't answer are tried again this often.
PROBE_INTERVAL_MS = 1_000.0
# A grant that could not be sent for so long after it was decided is dropped.
MAX_GRANT_AGE_MS = 500.0
# Fences that a coordinator may use beyond the saved ones, so that a new fence
# needs no save. Its successor begins above them.
MAX_UNSAVED_FENCES = 100_000
# Pause between two plans that even out load.
REBALANCE_PAUSE_MS = 500.0
# A server that leaves the list while the store was away may come back for so
# long after its return.
RETURN_GRACE_MS = 2_500.0


class Phase(enum.Enum):
    """How far a move of keys has come."""

    RELEASE = 'release'
    RELEASING = 'releasing'
    WAIT = 'wait'
    SAVING = 'saving'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Grant keys to a server, or renew them.

    Attributes:
      service: Name of the service.
      server: The server.
      item: The keys, as assigned.
      fence: The number to grant them under.
      hold_ms: How long it is to hold them.
      token: What their last holder handed over; empty if nothing.
      planned_at: When it was decided, ms. It is not to be sent much later.
      link: The only connection that may carry it; None if any may.
    """

    service: str
    server: tables.Server
    key_range: keyranges.KeyRange
    fence: int
    hold_ms: float
    handover_token: str
    planned_at: float = 0.0
    link: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Take keys back from a server."""

    service: str
    server: tables.Server
    key_range: keyranges.KeyRange


@dataclasses.dataclass(frozen=True, slots=True)
class Save:
    """Write an assignment over the revision that it follows."""

    service: str
    assignment: keyranges.Assignment
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server that didn't answer whether it does again."""

    service: str
    server: tables.Server


Action = Grant | Release | Save | Probe


class CallOutcome(enum.Enum):
    """What came of a grant, a release or a probe.

    DONE: carried out.
    REFUSED: the server has seen a higher fence.
    DECLINED: answered, and not carried out.
    NOT_SENT: nothing was sent.
    UNLINKED: not sent, as the connection that the grant is bound to has ended.
    UNKNOWN: no answer; it may have been carried out.
    """

    DONE = 'done'
    REFUSED = 'refused'
    DECLINED = 'declined'
    NOT_SENT = 'not-sent'
    UNLINKED = 'unlinked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResult:
    """What came of a grant.

    Attributes:
      answer: The outcome.
      link: Number of the connection that carried it; None if none did.
    """

    outcome: CallOutcome
    link: int | None = None


@dataclasses.dataclass(slots=True)
class Move:
    """Keys on their way from one server to another.

    Attributes:
      transfer: Which keys, from whom, to whom.
      phase: How far it has come.
      began_at: When it was planned, ms.
      token: What the source handed over; empty if nothing.
      unsettled: Whether a save of it may have been carried out.
    """

    transfer: rebalancing.Transfer
    phase: Phase
    planned_at: float
    handover_token: str = ''
    may_be_saved: bool = False


@dataclasses.dataclass(slots=True)
class Renewal:
    """How a range is granted.

    A grant names an address, and whoever listens there takes it. So that no
    two processes are granted keys under one fence, a fence goes over one
    connection only; once that has ended the keys get another one.

    Attributes:
      fence: The number that its owner is granted it under: that of the range,
        or a higher one.
      link: The connection that has carried this fence; None if none has.
      due_at: When to grant it again, ms.
      pending: Whether a grant is under way.
      answered: Whether its owner has answered.
    """

    fence: int
    link: int | None = None
    due_at: float = 0.0
    pending: bool = False
    owner_answered: bool = False


@dataclasses.dataclass(slots=True)
class Coordination:
    """State of the coordinator of one keyed service.

    Attributes:
      assignment: Who owns what, as saved.
      revision: The store's revision of it.
      since: From when on this entry may grant keys, ms.
      next_fence: Above every fence used so far, saved or not.
      hold_ms: How long servers hold keys without a renewal.
      held: What servers may hold.
      renewals: By range.
      tokens: Hand-over tokens of ranges that were not granted yet.
      moves: Keys on their way.
      saving: Whether a save is under way.
      save_at: No save is tried before, ms.
      predecessor: Instance id of the coordinator before; empty if none.
      predecessor_save_revision: Store revision of the assignment that the
        predecessor saved last; 0 if none.
      balanced_at: When load was last evened out, ms.
      sent: Grants under way; what they grant is not in `held` yet.
      proven: Servers that answered their last call.
      unreleased: Servers that didn't answer a release: none is tried again
        before they have answered something.
      answered: When servers last answered a call, ms; when they were first
        seen, for those that were not called yet.
      probed_at: When servers that don't answer were last tried, ms.
      probed: Servers whose probe is under way.
      loose: Keys that could not move, as a grant without an answer may still
        be applied after a release. Their owner is granted them once more under
        a higher fence: from its answer on it refuses the lower one.
      lost: Whether another coordinator was seen.
      era: The store's era that it has taken in.
      restored_revision: The store's revision when it was first read in that
        era; 0 if it was not restored while this entry coordinated.
    """

    assignment: keyranges.Assignment
    revision: int
    active_since: float
    next_fence: int
    hold_ms: float = HOLD_MS
    server_holds: list[holds.Hold] = dataclasses.field(default_factory=list)
    renewals: dict[keyranges.KeyRange,
                   Renewal] = dataclasses.field(default_factory=dict)
    handover_tokens: dict[keyranges.KeyRange,
                          str] = dataclasses.field(default_factory=dict)
    moves: list[Move] = dataclasses.field(default_factory=list)
    saving: bool = False
    next_save_at: float = 0.0
    predecessor: str = ''
    predecessor_save_revision: int = 0
    rebalanced_at: float = 0.0
    grants_in_flight: list[keyranges.KeyRange] = dataclasses.field(
        default_factory=list)
    responsive: set[str] = dataclasses.field(default_factory=set)
    release_suspended: set[str] = dataclasses.field(default_factory=set)
    answered_at: dict[str, float] = dataclasses.field(default_factory=dict)
    probed_at: float = 0.0
    probes_in_flight: set[str] = dataclasses.field(default_factory=set)
    pending_regrants: list[rebalancing.Transfer] = dataclasses.field(
        default_factory=list)
    superseded: bool = False
    era: int = 0
    restored_revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """What the coordinator sees of the servers of its service.

    Attributes:
      servers: By id; those that left are missing.
      ended: Ids whose process has surely ended.
      left: Addresses that servers were last known at, by id.
      loads: Load by key.
      capacities: Relative speed by server id; 1 if unknown.
      works: Mean time of work by server id, ms.
    """

    servers: Mapping[str, tables.Server]
    ended: frozenset[str]
    departed: Mapping[str, tables.Server]
    loads: keyloads.KeyLoads
    capacities: Mapping[str, float]
    works: Mapping[str, float] = dataclasses.field(default_factory=dict)


def may_open_connection(kept_at: float, now: float) -> bool:
    """Returns whether a grant may go over a new connection.

    A process that has just started refuses no fence yet, so it would take a
    lower one than a successor has granted elsewhere. A grant over a new
    connection must therefore arrive while the lease surely holds, including the
    wait for a connection.

    Args:
      kept_at: When the last renewal of the coordinator's lease was sent, ms.
      now: ms.
    """
    return (now - kept_at
            <= COORDINATOR_LEASE_MS - POOL_TIMEOUT_MS - GRANT_TIMEOUT_MS)


def replace_fence(state: Coordination, renewal: Renewal,
                  link: int | None) -> None:
    """Has keys granted under a fence that no connection has carried.

    If none is left they keep theirs, bound to the connection that carried it.

    Args:
      state: The coordinator.
      renewal: How the keys are granted.
      link: The connection that carried their fence last; None if none did.
    """
    if state.next_fence < state.assignment.next_fence + MAX_UNSAVED_FENCES:
        renewal.fence, renewal.link = state.next_fence, None
        state.next_fence += 1
    elif link is not None:
        renewal.link = link


def find_renewal(state: Coordination,
                 item: keyranges.KeyRange) -> Renewal | None:
    """Returns how keys are granted, or the range that they are a part of."""
    found = state.renewals.get(item)
    if found is not None:
        return found
    assigned = keyranges.find_range(state.assignment.ranges, item.first)
    if (assigned is None or assigned.last < item.last or
            assigned.server != item.server or assigned.fence != item.fence):
        return None
    return state.renewals.get(assigned)


def find_replacement(state: Coordination, view: ServiceView,
                     name: str) -> str | None:
    """Returns the server at the address of one that has ended, if there is one.

    What was granted between its start and the news of it reached this one.
    """
    old = view.departed.get(name)
    address = old.address if old else state.assignment.addresses.get(name)
    return next((server.id
                 for server in view.servers.values()
                 if server.address == address and server.id != name), None)


def may_return(state: Coordination, view: ServiceView, name: str,
               now: float) -> bool:
    """Returns whether an owner may be up although it isn't listed.

    Entries of servers run out while the store is away, and are back soon after
    it. A coordinator that begins in between once saw 2 of 11 servers, and left
    the keys of the others unserved for 15 s. It grants them their keys first:
    who answers keeps them.
    """
    if (now - state.active_since >= RETURN_GRACE_MS or name in view.servers or
            name in view.ended):
        return False
    address = state.assignment.addresses.get(name)
    return address is not None and all(
        server.address != address for server in view.servers.values())


def awaits_first_answer(state: Coordination, item: keyranges.KeyRange,
                        now: float) -> bool:
    """Returns whether an owner is yet to answer this coordinator.

    What an earlier coordinator granted ends for sure only with an answer under
    a higher fence: without it a release saves none of the 15 s of waiting.
    """
    return now - state.active_since < RETURN_GRACE_MS and any(
        hold.server == item.server and not hold.acknowledged and hold.fence <
        item.fence and keyranges.overlaps(hold, item.first, item.last)
        for hold in state.server_holds)


def has_timed_out(state: Coordination, name: str, now: float) -> bool:
    """Returns whether a server has not answered for as long as a hold."""
    return now - state.answered_at.get(name, now) > state.hold_ms


def list_unmoved_ranges(state: Coordination) -> list[keyranges.KeyRange]:
    """Returns the assignment less what is on its way already."""
    return subtract_moves(state.assignment.ranges, state.moves)


def subtract_moves(ranges: Iterable[keyranges.KeyRange],
                   moves: Iterable[Move]) -> list[keyranges.KeyRange]:
    """Returns ranges less the keys of moves."""
    marks = [
        keyranges.KeyRange(move.transfer.first, move.transfer.last, '', -1)
        for move in moves
    ]
    laid = keyranges.reassign(ranges, marks)
    return [item for item in laid if item.server]


def has_grant_in_flight(state: Coordination,
                        transfer: rebalancing.Transfer) -> bool:
    """Returns whether a grant of keys that are to move may still arrive."""
    return any(item.server == transfer.source and
               keyranges.overlaps(item, transfer.first, transfer.last)
               for item in state.grants_in_flight)


def find_server(state: Coordination, view: ServiceView,
                name: str) -> tables.Server | None:
    """Returns a server as it is listed, or as it was last known."""
    server = view.servers.get(name) or view.departed.get(name)
    address = state.assignment.addresses.get(name)
    if server is None and address:
        server = tables.Server(name, state.assignment.service, address, '', 1,
                               True, 0.0, 0.0)
    return server
