"""State of the coordinator of a keyed service.

Defines the state that `coordination` keeps, the actions that it plans, and
queries on both.
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

# A successor takes over when the coordinator's lease has expired. It must then
# still have time to renew grants before they expire too.
COORDINATOR_LEASE_MS = 1_500.0
# How long a server may serve keys without a renewal. Keys of a server that
# stops answering remain unserved for this time. A failed coordinator must be
# replaced within what is left of a hold when its renewal is due.
HOLD_MS = 3_000.0
# A hold is renewed when this fraction of it has passed.
RENEW_FRACTION = 0.25
# A few times the round trip to a server, so that a hold can be renewed.
MIN_HOLD_MS = 200.0
# A server that is up answers at once. After this time the connection is reset,
# so that the grant can no longer arrive.
GRANT_TIMEOUT_MS = 400.0
# Time limit for getting a free connection. It precedes `GRANT_TIMEOUT_MS`.
POOL_TIMEOUT_MS = 400.0
# Delay before keys whose grant got no answer are granted again.
GRANT_RETRY_MS = 300.0
# How long a coordinator that can't reach the store continues to renew grants.
# The longest known outage of the store took 9 s; keys remain served throughout.
# For servers that it can't reach, a successor assumes renewals for this long.
MAX_OFFLINE_MS = 12_000.0
# Delay before a failed save is retried.
SAVE_RETRY_MS = 300.0
# Interval between probes of servers that don't answer.
PROBE_INTERVAL_MS = 1_000.0
# A grant that could not be sent within this time of its planning is dropped.
MAX_GRANT_AGE_MS = 500.0
# A coordinator may use this many fencing tokens above the saved ones, so that a
# new one needs no save. Its successor starts above them.
MAX_UNSAVED_FENCES = 100_000
# Pause between two rebalancing plans.
REBALANCE_PAUSE_MS = 500.0
# A server whose registration expires during an outage of the store may register
# again within this time of the store's recovery.
RETURN_GRACE_MS = 2_500.0


class Phase(enum.Enum):
    """Phase of a move: release planned, in flight, waiting, being saved."""

    RELEASE = 'release'
    RELEASING = 'releasing'
    WAIT = 'wait'
    SAVING = 'saving'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Action: grant keys to a server, or renew its grant.

    Attributes:
      service: Name of the service.
      server: The server that receives the grant.
      key_range: The keys, as assigned.
      fence: Fencing token of the grant.
      hold_ms: How long the server may serve the keys, ms.
      handover_token: Token that the previous owner returned at the release;
        empty if there is none.
      planned_at: When the grant was planned, ms. It is dropped if it isn't sent
        within `MAX_GRANT_AGE_MS`.
      link: Number of the only connection that may carry it; None for any.
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
    """Action: withdraw keys from a server."""

    service: str
    server: tables.Server
    key_range: keyranges.KeyRange


@dataclasses.dataclass(frozen=True, slots=True)
class Save:
    """Action: save an assignment if the store still holds `revision`."""

    service: str
    assignment: keyranges.Assignment
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Action: check whether an unresponsive server answers again."""

    service: str
    server: tables.Server


Action = Grant | Release | Save | Probe


class CallOutcome(enum.Enum):
    """Outcome of a grant, a release or a probe.

    DONE: executed.
    REFUSED: the server has seen a higher fencing token.
    DECLINED: answered, but not executed.
    NOT_SENT: nothing was sent.
    UNLINKED: not sent, as the connection that the grant is bound to is closed.
    UNKNOWN: no answer; it may have been executed.
    """

    DONE = 'done'
    REFUSED = 'refused'
    DECLINED = 'declined'
    NOT_SENT = 'not-sent'
    UNLINKED = 'unlinked'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class GrantResult:
    """Result of a grant.

    Attributes:
      outcome: Whether the grant was executed.
      link: Number of the connection that carried it; None if it wasn't sent.
    """

    outcome: CallOutcome
    link: int | None = None


@dataclasses.dataclass(slots=True)
class Move:
    """A move in progress of keys from one server to another.

    Attributes:
      transfer: The keys, their source and their target.
      phase: Phase of the move.
      planned_at: When it was planned, ms.
      handover_token: Token that the source returned at the release; empty if
        there is none.
      may_be_saved: Whether a save of the move failed with an unknown outcome,
        so that the store may hold it.
    """

    transfer: rebalancing.Transfer
    phase: Phase
    planned_at: float
    handover_token: str = ''
    may_be_saved: bool = False


@dataclasses.dataclass(slots=True)
class Renewal:
    """State of the periodic grants of a range.

    A grant is sent to an address, and the process listening there accepts it.
    To never grant keys to two processes with one fencing token, each token is
    sent over one connection only. When that is closed, the range gets a new
    token.

    Attributes:
      fence: Fencing token of the grants: that of the range, or a higher one.
      link: Number of the connection that carried this token; None if none has.
      due_at: When to send the next grant, ms.
      pending: Whether a grant is in flight.
      owner_answered: Whether the owner has answered a grant.
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
      assignment: The owners of the service's keys, as last saved.
      revision: Store revision of the saved assignment.
      active_since: Time from which this entry may grant keys, ms.
      next_fence: Next fencing token, above all used so far, saved or not.
      hold_ms: How long servers may serve keys without a renewal, ms.
      server_holds: Keys that servers may still hold.
      renewals: State of the periodic grants, by range.
      handover_tokens: Handover tokens of ranges that were not granted yet.
      moves: Moves in progress.
      saving: Whether a save is in flight.
      next_save_at: Earliest time of the next save, ms.
      predecessor: Instance id of the previous coordinator while it may still
        renew grants; otherwise empty.
      predecessor_save_revision: Store revision of the assignment that the
        predecessor saved last; 0 if there is none.
      rebalanced_at: When rebalancing was last planned, ms.
      grants_in_flight: Ranges whose grant is in flight. `server_holds` doesn't
        contain them yet.
      responsive: Ids of servers that answered their last call.
      release_suspended: Ids of servers that didn't answer a release or a probe.
        They are sent no release until they have answered a call.
      answered_at: When each server last answered a call, ms; if it wasn't
        called yet, when it was first seen.
      probed_at: When unresponsive servers were last probed, ms.
      probes_in_flight: Ids of servers whose probe is in flight.
      pending_regrants: Transfers that could not start, as a grant without an
        answer may still be applied after a release. The source is granted the
        keys again with a higher fencing token: once it has answered, it refuses
        the lower one.
      superseded: Whether another coordinator has taken over.
      era: The latest era of the store that was processed.
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
    """The coordinator's view of the servers of its service.

    Attributes:
      servers: Registered servers by id.
      ended: Ids of servers whose process is known to have ended.
      departed: Servers that are no longer registered, by id, as last known.
      loads: Load by key.
      capacities: Relative speed by server id; 1 if unknown.
      works: Mean execution time of requests by server id, ms.
    """

    servers: Mapping[str, tables.Server]
    ended: frozenset[str]
    departed: Mapping[str, tables.Server]
    loads: keyloads.KeyLoads
    capacities: Mapping[str, float]
    works: Mapping[str, float] = dataclasses.field(default_factory=dict)


def may_open_connection(kept_at: float, now: float) -> bool:
    """Returns whether a grant may be sent over a new connection.

    A process that has just started has seen no fencing token, so it would
    accept a lower one than a successor has granted elsewhere. A grant over a
    new connection must therefore arrive before the coordinator's lease can
    expire, including the wait for a connection.

    Args:
      kept_at: When the last renewal of the coordinator's lease was sent, ms.
      now: Current time, ms.
    """
    return (now - kept_at
            <= COORDINATOR_LEASE_MS - POOL_TIMEOUT_MS - GRANT_TIMEOUT_MS)


def replace_fence(state: Coordination, renewal: Renewal,
                  link: int | None) -> None:
    """Assigns a range a fencing token that no connection has carried.

    If none is left, the range keeps its token, bound to the connection that
    carried it.

    Args:
      state: State of the coordinator.
      renewal: State of the range's grants.
      link: Number of the connection that carried the current token last; None
        if none did.
    """
    if state.next_fence < state.assignment.next_fence + MAX_UNSAVED_FENCES:
        renewal.fence, renewal.link = state.next_fence, None
        state.next_fence += 1
    elif link is not None:
        renewal.link = link


def find_renewal(state: Coordination,
                 item: keyranges.KeyRange) -> Renewal | None:
    """Returns the grant state of a range or of the range that contains it."""
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
    """Returns the id of the server at the address of an ended one, or None.

    Grants sent after the replacement started, but before its registration was
    read, reached the replacement.
    """
    old = view.departed.get(name)
    address = old.address if old else state.assignment.addresses.get(name)
    return next((server.id
                 for server in view.servers.values()
                 if server.address == address and server.id != name), None)


def may_return(state: Coordination, view: ServiceView, name: str,
               now: float) -> bool:
    """Returns whether an owner may be up although it isn't registered.

    Registrations of servers expire during an outage of the store and are
    renewed soon after it. A coordinator that started in between saw 2 of 11
    servers and left the keys of the others unserved for 15 s. Such owners are
    therefore granted their keys first, and keep them if they answer.
    """
    if (now - state.active_since >= RETURN_GRACE_MS or name in view.servers or
            name in view.ended):
        return False
    address = state.assignment.addresses.get(name)
    return address is not None and all(
        server.address != address for server in view.servers.values())


def awaits_first_answer(state: Coordination, item: keyranges.KeyRange,
                        now: float) -> bool:
    """Returns whether an owner has not yet answered this coordinator.

    A grant of an earlier coordinator is known to be replaced only when the
    server has answered a higher fencing token. Before that, a release doesn't
    shorten the wait of 15 s.
    """
    return now - state.active_since < RETURN_GRACE_MS and any(
        hold.server == item.server and not hold.acknowledged and hold.fence <
        item.fence and keyranges.overlaps(hold, item.first, item.last)
        for hold in state.server_holds)


def has_timed_out(state: Coordination, name: str, now: float) -> bool:
    """Returns whether a server has not answered for longer than a hold."""
    return now - state.answered_at.get(name, now) > state.hold_ms


def list_unmoved_ranges(state: Coordination) -> list[keyranges.KeyRange]:
    """Returns the assigned ranges without the keys that are being moved."""
    return subtract_moves(state.assignment.ranges, state.moves)


def subtract_moves(ranges: Iterable[keyranges.KeyRange],
                   moves: Iterable[Move]) -> list[keyranges.KeyRange]:
    """Returns ranges without the keys of moves."""
    moving = [
        keyranges.KeyRange(move.transfer.first, move.transfer.last, '', -1)
        for move in moves
    ]
    remaining = keyranges.reassign(ranges, moving)
    return [item for item in remaining if item.server]


def has_grant_in_flight(state: Coordination,
                        transfer: rebalancing.Transfer) -> bool:
    """Returns whether a grant of keys of a transfer may still arrive."""
    return any(item.server == transfer.source and
               keyranges.overlaps(item, transfer.first, transfer.last)
               for item in state.grants_in_flight)


def find_server(state: Coordination, view: ServiceView,
                name: str) -> tables.Server | None:
    """Returns a server as registered, or else as last known."""
    server = view.servers.get(name) or view.departed.get(name)
    address = state.assignment.addresses.get(name)
    if server is None and address:
        server = tables.Server(name, state.assignment.service, address, '', 1,
                               True, 0.0, 0.0)
    return server
