"""What the control actor of an entry believes, and what it works with."""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import loads
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import tables


@dataclasses.dataclass(slots=True)
class CoordinatorRole:
    """This entry's part in coordinating one service.

    Attributes:
      stand_at: When to stand for coordinator; 0: not wanted now.
      busy: Whether a call for it is under way.
      state: The coordinator's state; None while it is not one.
      measured: Loads that entries reported.
    """

    candidacy_at: float = 0.0
    is_call_pending: bool = False
    coordination_state: ownership.Coordination | None = None
    load_table: loads.LoadTable = dataclasses.field(
        default_factory=loads.LoadTable)


@dataclasses.dataclass(slots=True)
class ActorTiming:
    """Whether the actor keeps up with its messages.

    Attributes:
      pause_ms: Between two steps, in each of which it works out what is due.
      steps: How many there were.
      step_ms: Time that they took in all.
      late_ms: How long its last tick waited to be taken.
      told_at: When a line last said that it is late, ms.
    """

    pause_ms: float = 0.0
    steps: int = 0
    step_ms: float = 0.0
    tick_delay_ms: float = 0.0
    logged_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class ControlState:
    """All that the actor owns.

    Attributes:
      instance: This process's id.
      everything: What the store held when it was last seen.
      lost_at: Since when the store can't be reached; 0 if it can.
      back_at: When it was last back, ms.
      servers: By id; those that left while the store was away are kept.
      draining: When a server was first reported to be draining, ms, by id.
      missing: Servers that left the list, and when they count as gone.
      left: Servers that left, with their last entry.
      unproven: Servers that had left before a restore of the store and that it
        lists again, and when they count as up if it still does, ms.
      ended: Servers whose process has surely ended.
      heard: Assignments that other entries told of, by service.
      roles: By keyed service.
      lease: The coordinator's lease.
      lease_sent_at: When it was last kept, as of sending, ms.
      keep_at: When to keep or end it again, ms.
      handing_over: Why it is being ended; '' if it isn't.
      unlinked_grants: Grants under way that may go over a new connection.
      entry_lease: The entry's own lease.
      entry_keep_at: When to keep it again, ms.
      entry_keeping: Whether a call for it is under way.
      suspects_at: When blocked requests may next be written to the store, ms.
      doubted: Whether the store didn't answer the last renewal.
      leaving: Whether the entry is about to end.
      handed_over: Set when it is and no coordinator's lease is left to end.
      pace: Whether the actor keeps up.
    """

    instance: str
    store_snapshot: ports.StoreSnapshot | None = None
    store_lost_at: float = 0.0
    store_regained_at: float = float('-inf')
    servers: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    draining_since: dict[str, float] = dataclasses.field(default_factory=dict)
    removal_times: dict[str, float] = dataclasses.field(default_factory=dict)
    departed_servers: dict[str, tables.Server] = dataclasses.field(
        default_factory=dict)
    unconfirmed_servers: dict[str,
                              float] = dataclasses.field(default_factory=dict)
    ended_servers: set[str] = dataclasses.field(default_factory=set)
    peer_assignments: dict[str, keyranges.Assignment] = dataclasses.field(
        default_factory=dict)
    roles: dict[str, CoordinatorRole] = dataclasses.field(default_factory=dict)
    coordinator_lease: ports.Lease | None = None
    lease_renewed_at: float = 0.0
    lease_due_at: float = 0.0
    handover_reason: str = ''
    new_connection_grants: int = 0
    entry_lease: ports.Lease | None = None
    entry_lease_due_at: float = 0.0
    is_entry_lease_pending: bool = False
    suspects_due_at: float = 0.0
    is_renewal_unanswered: bool = False
    is_stopping: bool = False
    handover_done: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    timing: ActorTiming = dataclasses.field(default_factory=ActorTiming)


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What the parts of the control actor share.

    Attributes:
      peer: This entry, as the others know it.
      owned: What the actor believes; only its thread changes it.
      forwarder: What request threads share.
      platform: The adapter.
      logger: Takes a line for each belief that changes.
      states: Writes a line when a server answers otherwise than before.
      clock: This process's time.
      call: (work, take, pool or None) has a thread make a call; its result,
        and when it began, are taken in by the actor.
      publish: Makes request threads see what is believed now.
      watch_again: Starts to follow the store anew.
      server_calls: Threads for grants.
      release_calls: Threads for releases, which wait for work to end.
    """

    peer: ports.Peer
    owned: ControlState
    forwarder: requests.Forwarder
    platform: ports.Platform
    logger: logs.Logger
    states: logs.StateLog
    clock: clocks.Clock
    call: Callable[..., None]
    publish: Callable[[], None]
    restart_following: Callable[[], None]
    server_calls: futures.Executor
    release_calls: futures.Executor


def is_lease_expired(result) -> bool:
    """Returns whether the store answered that a lease has ended."""
    return (isinstance(result, outcomes.Failed) and
            result.reason is outcomes.Reason.NOT_FOUND)
