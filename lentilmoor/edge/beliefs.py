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
class Role:
    """This entry's part in coordinating one service.

    Attributes:
      stand_at: When to stand for coordinator; 0: not wanted now.
      busy: Whether a call for it is under way.
      state: The coordinator's state; None while it is not one.
      measured: Loads that entries reported.
    """

    stand_at: float = 0.0
    busy: bool = False
    state: ownership.Coordination | None = None
    measured: loads.LoadTable = dataclasses.field(
        default_factory=loads.LoadTable)


@dataclasses.dataclass(slots=True)
class Pace:
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
    late_ms: float = 0.0
    told_at: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Beliefs:
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
    everything: ports.StoreSnapshot | None = None
    lost_at: float = 0.0
    back_at: float = float('-inf')
    servers: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    draining: dict[str, float] = dataclasses.field(default_factory=dict)
    missing: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    unproven: dict[str, float] = dataclasses.field(default_factory=dict)
    ended: set[str] = dataclasses.field(default_factory=set)
    heard: dict[str,
                keyranges.Assignment] = dataclasses.field(default_factory=dict)
    roles: dict[str, Role] = dataclasses.field(default_factory=dict)
    lease: ports.Lease | None = None
    lease_sent_at: float = 0.0
    keep_at: float = 0.0
    handing_over: str = ''
    unlinked_grants: int = 0
    entry_lease: ports.Lease | None = None
    entry_keep_at: float = 0.0
    entry_keeping: bool = False
    suspects_at: float = 0.0
    doubted: bool = False
    leaving: bool = False
    handed_over: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    pace: Pace = dataclasses.field(default_factory=Pace)


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
    owned: Beliefs
    forwarder: requests.Forwarder
    platform: ports.Platform
    logger: logs.Logger
    states: logs.StateLog
    clock: clocks.Clock
    call: Callable[..., None]
    publish: Callable[[], None]
    watch_again: Callable[[], None]
    server_calls: futures.Executor
    release_calls: futures.Executor


def is_ended(result) -> bool:
    """Returns whether the store answered that a lease has ended."""
    return (isinstance(result, outcomes.Failed) and
            result.reason is outcomes.Reason.NOT_FOUND)
