"""State of an entry's control actor, and the context that it works in."""

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
    """State of this entry as coordinator of one service, or candidate for it.

    Attributes:
      candidacy_at: When to stand for election, ms; 0 if the entry isn't a
        candidate.
      is_call_pending: Whether a call to the store for it is in flight.
      coordination_state: State of the coordinator; None while this entry isn't
        the coordinator.
      load_table: Loads that entries reported.
    """

    candidacy_at: float = 0.0
    is_call_pending: bool = False
    coordination_state: ownership.Coordination | None = None
    load_table: loads.LoadTable = dataclasses.field(
        default_factory=loads.LoadTable)


@dataclasses.dataclass(slots=True)
class ActorTiming:
    """Measures whether the actor keeps up with its messages.

    Attributes:
      pause_ms: Pause between two steps; each step carries out what is due.
      steps: Number of steps so far.
      step_ms: Total time of all steps.
      tick_delay_ms: How long the last tick waited in the actor's inbox.
      logged_at: When the log last reported that the actor is late, ms.
    """

    pause_ms: float = 0.0
    steps: int = 0
    step_ms: float = 0.0
    tick_delay_ms: float = 0.0
    logged_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class ControlState:
    """All state that only the control actor's thread changes.

    Attributes:
      instance: Instance id of this process.
      store_snapshot: The newest snapshot of the store; None before the first.
      store_lost_at: Since when the store is unreachable, ms; 0 if it is
        reachable.
      store_regained_at: When the store was last reachable again, ms.
      servers: Backend servers by id. Those that disappeared while the store was
        unavailable are kept.
      draining_since: When a server was first reported to be draining, ms, by
        id.
      removal_times: When servers that are missing from the list count as gone,
        ms, by id.
      departed_servers: Servers that left, with their last entry, by id.
      unconfirmed_servers: When servers that had left before a restore of the
        store, and that it lists again, count as up if it still lists them then,
        ms, by id.
      ended_servers: Ids of servers whose process has certainly ended.
      peer_assignments: Assignments that other entries sent, by service.
      roles: Roles by keyed service.
      coordinator_lease: Lease of the coordinator; None if there is none.
      lease_renewed_at: When its last successful renewal was sent, ms.
      lease_due_at: When to renew or end it next, ms.
      handover_reason: Why the lease is being ended; empty if it isn't.
      new_connection_grants: Grants in flight that may open a new connection.
      entry_lease: Lease of the entry's registration.
      entry_lease_due_at: When to renew it next, ms.
      is_entry_lease_pending: Whether a call to the store for it is in flight.
      suspects_due_at: When blocked requests may next be written to the store,
        ms.
      is_renewal_unanswered: Whether the store didn't answer the last renewal.
      is_stopping: Whether the entry is shutting down.
      handover_done: Set when the entry is shutting down and has no coordinator
        lease left to end.
      timing: Whether the actor keeps up with its messages.
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
    """What the modules of the control actor share.

    Attributes:
      peer: The `Peer` under which this entry registers.
      owned: State of the actor; only its thread changes it.
      forwarder: State shared with request threads.
      platform: The adapter of the platform.
      logger: Logs each change of the state.
      states: Logs a line when a server's answers change.
      clock: Clock of this process.
      call: (work, take, pool or None) runs a call in a thread; its result and
        the time it began are passed to `take` in the actor's thread.
      publish: Makes the current state visible to request threads.
      restart_following: Restarts following of the store.
      server_calls: Threads for grants.
      release_calls: Threads for releases, which wait until requests have ended.
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
    """Returns whether the store answered that a lease has expired."""
    return (isinstance(result, outcomes.Failed) and
            result.reason is outcomes.Reason.NOT_FOUND)
