"""Tables, actions and events of ownership.

A grantor gives backend servers *grants* and delegates *routing leases*. Each
action names everything it was based on and comes back inside its event, so
that a late, doubled or re-ordered answer can only tell what is still true.

Times are milliseconds of this process's monotonic clock, except for fields
named `clock_ms` or `clock_echo_ms`: those are readings of the answering
side's clock, and only that side does arithmetic with them.
"""

from collections.abc import Mapping
import dataclasses
import enum
import math

from lentilmoor import plans
from lentilmoor import ranges
from lentilmoor import records
from lentilmoor import slices

Version = tuple[int, int]
"""(epoch, sequence); ordered, never goes back."""

NO_VERSION: Version = (0, 0)
NEVER = -math.inf

DRIFT = 0.01
"""Largest difference in rate between any two clocks, as a share."""


class Stage(enum.Enum):
    """How far this entry is in being a shard's grantor."""

    IDLE = 'idle'
    READING = 'reading'
    TAKING = 'taking'
    GATHERING = 'gathering'
    SERVING = 'serving'


class MoveStage(enum.Enum):
    """How far the move of a range is."""

    HOLDING = 'holding'
    REVOKING = 'revoking'
    READY = 'ready'
    PROPOSED = 'proposed'
    GRANTING = 'granting'


# Messages to and from delegates.


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseOrder:
    """What a grantor tells a delegate.

    Attributes:
      shard: The shard.
      delegate: Id of the delegate that is meant, one per process start.
      grantor: Id of the grantor.
      epoch: The grantor's epoch.
      sequence: Version of holds and assignment within the epoch.
      lifetime_ms: Counted from `clock_echo_ms`; 0 gives no lease.
      clock_echo_ms: The delegate's own clock in an earlier reply.
      map_version: Version of the assignment that applies.
      assignment: The assignment, where the delegate lacks it.
      held: Ranges that are not routed now.
      homes: Home entry of each server, by index in the assignment.
      contended: Servers whose requests go by their home.
      gather: A new grantor asks for the newest assignment held.
    """

    shard: str
    delegate: str
    grantor: str
    epoch: int
    sequence: int
    lifetime_ms: float = 0.0
    clock_echo_ms: float = 0.0
    map_version: Version = NO_VERSION
    assignment: slices.SliceMap | None = None
    held: tuple[ranges.Range, ...] = ()
    homes: tuple[str, ...] = ()
    contended: frozenset[str] = frozenset()
    gather: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReply:
    """What a delegate answers.

    Attributes:
      delegate: Id of the delegate that answers.
      accepted: The order's epoch is the highest seen, and its sequence.
      epoch: Highest epoch seen.
      sequence: Sequence held in that epoch.
      map_version: Version of the assignment held.
      clock_ms: The delegate's clock.
      quiet_ms: How long ago it last accepted an order of an older epoch.
      drained: No request routed by a lower sequence of this epoch, or by an
        older epoch, runs.
      assignment: The assignment held, if asked for and newer.
    """

    delegate: str
    accepted: bool
    epoch: int
    sequence: int
    map_version: Version
    clock_ms: float
    quiet_ms: float = 0.0
    drained: int = 0
    assignment: slices.SliceMap | None = None


# Actions.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the shard's record."""

    shard: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SwapRecord:
    """Replace the shard's record if it still has the expected version.

    Attributes:
      shard: The shard; `records.make_key` gives the key.
      record: The new record; `records.encode` gives the payload.
      expected_version: The store's version; 0 if there must be none.
      sent_at: When it was decided.
    """

    shard: str
    record: records.ShardRecord
    expected_version: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AskServer:
    """Read a backend server's clock and the fence it holds."""

    shard: str
    server: str
    address: str
    epoch: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendGrant:
    """Give a backend server its ranges.

    Attributes:
      shard: The shard.
      server: Id of the server.
      address: host:port of the server.
      epoch: First part of the fence.
      sequence: Second part of the fence.
      clock_echo_ms: The server's own clock in an earlier answer.
      lifetime_ms: Counted from `clock_echo_ms`.
      owned: Its ranges; None renews what it holds under this fence.
      sent_at: When it was decided.
    """

    shard: str
    server: str
    address: str
    epoch: int
    sequence: int
    clock_echo_ms: float
    lifetime_ms: float
    owned: tuple[ranges.Range, ...] | None
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class SendLease:
    """Give a delegate a routing lease, or ask for its acknowledgement."""

    shard: str
    delegate: str
    order: LeaseOrder
    sent_at: float


Action = ReadRecord | SwapRecord | AskServer | SendGrant | SendLease

# Events: answers.


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """The record as the store holds it; None and version 0 if absent."""

    action: ReadRecord
    record: records.ShardRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSwapped:
    """The record was replaced and has this version now."""

    action: SwapRecord
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SwapConflict:
    """The record was not replaced: it had another version."""

    action: SwapRecord
    record: records.ShardRecord | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """No answer of the store; a swap may have taken effect."""

    action: ReadRecord | SwapRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswered:
    """A backend server's clock and fence."""

    action: AskServer
    clock_ms: float
    fence: Version = NO_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswered:
    """A backend server accepted a grant."""

    action: SendGrant
    clock_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRefused:
    """A backend server holds a newer fence, or nothing to renew."""

    action: SendGrant
    clock_ms: float
    fence: Version = NO_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAnswered:
    """A delegate answered."""

    action: SendLease
    reply: LeaseReply


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed:
    """A server or a delegate did not answer."""

    action: AskServer | SendGrant | SendLease


# Events: decisions of other parts.


@dataclasses.dataclass(frozen=True, slots=True)
class Takeover:
    """This entry is to become the shard's grantor (again)."""

    shard: str
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """This entry is to stop being the shard's grantor."""

    shard: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAdded:
    """A backend server is part of the shard."""

    shard: str
    server: str
    address: str
    checks_grants: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRemoved:
    """A backend server is no longer part of the shard's settings."""

    shard: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLost:
    """Liveness holds a backend server dead."""

    shard: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerBack:
    """Liveness holds a backend server live again."""

    shard: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLeaving:
    """A backend server is leaving; moves away from it are not given up."""

    shard: str
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChooseDelegates:
    """Membership's choice of delegates; takes effect through the record."""

    shard: str
    delegates: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DelegateEnded:
    """A delegate's process has certainly ended, as the platform states.

    Silence is no reason, however long and whoever noticed it: a delegate that
    is only out of reach may be carrying another grantor.
    """

    shard: str
    delegate: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetHomes:
    """Home entry of each server, and the servers that are contended."""

    shard: str
    homes: Mapping[str, str]
    contended: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class PlanMoves:
    """What the planner wants changed, made for a committed assignment."""

    shard: str
    plan: plans.Plan


Event = (RecordRead | RecordSwapped | SwapConflict | StoreFailed |
         ServerAnswered | GrantAnswered | GrantRefused | LeaseAnswered |
         CallFailed | Takeover | Resign | ServerAdded | ServerRemoved |
         ServerLost | ServerBack | ServerLeaving | ChooseDelegates |
         DelegateEnded | SetHomes | PlanMoves)

# Rows.


@dataclasses.dataclass(slots=True)
class Peer:
    """What a grantor knows of one that it leases to, server or delegate.

    Attributes:
      clock_echo_ms: Newest reading of its clock.
      echo_at: When that reading arrived here; it was taken no later.
      echo_sent_at: When the call that brought it was sent.
      until: When everything sent to it has ended, at the latest.
      next_at: When it is due to be sent to again.
    """

    clock_echo_ms: float = 0.0
    echo_at: float = NEVER
    echo_sent_at: float = NEVER
    until: float = NEVER
    next_at: float = NEVER


@dataclasses.dataclass(slots=True)
class ServerGrant(Peer):
    """A backend server's grant.

    Attributes:
      id: Server id.
      address: host:port.
      checks_grants: Whether it is sent grants at all.
      lost: Liveness holds it dead.
      leaving: It is leaving.
      removed: It is no longer in the settings; the row goes once it owns
        nothing.
      elsewhere_until: When what was sent to a former address has ended.
      owned: What it is to hold.
      sequence: When `owned` last changed.
      acked: Highest sequence that it accepted in this epoch.
    """

    id: str = ''
    address: str = ''
    checks_grants: bool = True
    lost: bool = False
    leaving: bool = False
    removed: bool = False
    elsewhere_until: float = NEVER
    owned: tuple[ranges.Range, ...] = ()
    sequence: int = 0
    acked: int = -1


@dataclasses.dataclass(slots=True)
class DelegateLease(Peer):
    """A delegate's routing lease, and what it acknowledged in this epoch.

    Attributes:
      id: Delegate id.
      acked_sent_at: When the newest order that it accepted was sent.
      sequence: Highest sequence that it accepted.
      map_version: Version of the assignment it holds.
      drained: As in `LeaseReply`.
      freed_at: By its answer, when all that older epochs were promised by
        it has ended; inf if it has not answered in this epoch.
    """

    id: str = ''
    acked_sent_at: float = NEVER
    sequence: int = 0
    map_version: Version = NO_VERSION
    drained: int = 0
    freed_at: float = math.inf


@dataclasses.dataclass(slots=True)
class SliceMove:
    """A range on its way from one server to another.

    Attributes:
      first: First point.
      last: Last point.
      source: Its owner; '' if it has none.
      target: Its next owner.
      stage: How far it is.
      started_at: When it was first held.
      sequence: Version that held it; when revoking, that revoked it.
      leases: Per delegate, when leases of older versions have ended.
      holds: Per delegate, when it acknowledged the hold.
      revoke_ends: When the source's grant has ended without its answer.
      then: Where it is to go on to if the target is lost meanwhile.
    """

    first: int
    last: int
    source: str
    target: str
    stage: MoveStage = MoveStage.HOLDING
    started_at: float = 0.0
    sequence: int = 0
    leases: dict[str, float] = dataclasses.field(default_factory=dict)
    holds: dict[str, float] = dataclasses.field(default_factory=dict)
    revoke_ends: float = 0.0
    then: str = ''


@dataclasses.dataclass(slots=True)
class GrantorRow:
    """One shard that this entry is, or is to be, grantor of.

    Attributes:
      shard: Shard id.
      me: Id of this entry, one per process start.
      lifetime_ms: Longest lifetime of grants and leases.
      renew_ms: How often they are renewed.
      order_delay_ms: Longest way of a request to a server.
      slices_per_server: For the first assignment.
      number: Number of the shard within its service.
      shards: How many shards the service has.
      keyed: Whether the shard has grants and slices at all.
      stage: How far this entry is.
      epoch: This entry's epoch; 0 before it has one.
      sequence: Newest version of holds, grants and assignment.
      record: Newest record seen of this epoch.
      record_version: The store's version of it.
      committed: Newest assignment that cannot be lost; grants follow it.
      proposed: Assignment that awaits its commit.
      proposed_at: When it was proposed.
      gathered: Newest assignment found in a takeover.
      uncertain: Where that differs from the record; held until committed.
      earlier_ms: Longest lifetime of the epochs before.
      settled_at: When all that older epochs granted has ended.
      store_call: The store call that is out, if any.
      store_ok: The last store call succeeded.
      read_at: When the record is due to be read again.
      wanted: Membership's choice of delegates.
      ended: Delegates whose processes have certainly ended, and since when.
      unsettled: A swap that may yet take effect, if it changes the list.
      had_authority: At the last step.
      lapsed_at: When authority was last lost, or serving began.
      servers: By id.
      delegates: By id.
      moves: By first point.
      splits: First points of slices to make.
      merges: First points of slices to join with the one before.
      homes: Home entry by server.
      contended: Contended servers.
      held: Ranges not routed in `sequence`.
      collected: Ranges of each server, and the map they were worked out for.
      grants_key: What `owned` of the servers was worked out from.
      lease_key: What was published in `sequence`.
      due_at: Until when a step finds nothing to do, unless an event comes.
    """

    shard: str
    me: str
    lifetime_ms: float = 500.0
    renew_ms: float = 125.0
    order_delay_ms: float = 1_000.0
    slices_per_server: int = 32
    keyed: bool = True
    number: int = 0
    shards: int = 1
    stage: Stage = Stage.IDLE
    epoch: int = 0
    sequence: int = 0
    record: records.ShardRecord | None = None
    record_version: int = 0
    committed: slices.SliceMap | None = None
    proposed: slices.SliceMap | None = None
    proposed_at: float = 0.0
    gathered: slices.SliceMap | None = None
    uncertain: tuple[ranges.Range, ...] = ()
    earlier_ms: float = 0.0
    settled_at: float = math.inf
    store_call: ReadRecord | SwapRecord | None = None
    store_ok: bool = True
    read_at: float = NEVER
    wanted: tuple[str, ...] = ()
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    unsettled: SwapRecord | None = None
    had_authority: bool = False
    lapsed_at: float = 0.0
    servers: dict[str, ServerGrant] = dataclasses.field(default_factory=dict)
    delegates: dict[str,
                    DelegateLease] = dataclasses.field(default_factory=dict)
    moves: dict[int, SliceMove] = dataclasses.field(default_factory=dict)
    splits: set[int] = dataclasses.field(default_factory=set)
    merges: set[int] = dataclasses.field(default_factory=set)
    homes: dict[str, str] = dataclasses.field(default_factory=dict)
    contended: frozenset[str] = frozenset()
    held: tuple[ranges.Range, ...] = ()
    collected: tuple[slices.SliceMap, dict[str,
                                           list[ranges.Range]]] | None = None
    grants_key: object = None
    lease_key: object = None
    due_at: float = NEVER


GrantorTable = dict[str, GrantorRow]
