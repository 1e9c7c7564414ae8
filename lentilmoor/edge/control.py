"""The control actor: owns what an entry believes, and coordinates keys.

It takes in what the store tells, publishes snapshots for request threads,
stands for coordinator of keyed services that have none, and carries out the
coordinator's decisions. Calls that wait are made by its threads; what came of
them returns as a message.
"""

from collections.abc import Callable
from concurrent import futures
import dataclasses
import threading

import pykka

from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import coordination
from lentilmoor.edge import forwarding
from lentilmoor.edge import keyranges
from lentilmoor.edge import loads
from lentilmoor.edge import matching
from lentilmoor.edge import moves
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import reports
from lentilmoor.edge import tables

# The coordinator's lease. Its successor takes over after the lease has run
# out, which must leave time to renew grants before they run out in turn.
LEASE_MS = 1_500.0
KEEP_MS = 450.0
# An entry's own lease, by which the others count it.
ENTRY_LEASE_MS = 9_000.0
ENTRY_KEEP_MS = 1_000.0
# A lease that could not be kept for so long: the store may be away.
STORE_DOUBT_MS = 1_300.0
TICK_MS = 100.0
# Longest pause before an entry stands for coordinator: the first to do so
# spares the others the call.
STAND_MS = 150.0
STAND_AGAIN_MS = 500.0
# A service gets its first assignment after its servers had this time to
# register, unless none came.
SETTLE_MS = 1_500.0
STORE_THREADS = 4
SERVER_THREADS = 12
# A release is answered when the work under way has ended.
RELEASE_THREADS = 16

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen:
    """What the store holds now.

    Attributes:
      everything: What it holds.
      heard: Whether another entry told it.
    """

    everything: ports.Everything
    heard: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """The store can't be reached."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """A call has ended; `take` takes in its result.

    Attributes:
      take: Run by the actor.
    """

    take: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """Requests for keys that an entry reports, by service."""

    rows: dict[str, list[reports.Row]]


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentHeard:
    """Another entry told of an assignment."""

    assignment: keyranges.Assignment


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """This entry is about to end."""

    done: threading.Event


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
class Tables:
    """All that the actor owns.

    Attributes:
      instance: This process's id.
      everything: What the store held when it was last seen.
      lost_at: Since when the store can't be reached; 0 if it can.
      back_at: When it was last back, ms.
      servers: By id; those that left while the store was away are kept.
      missing: Servers that left the list, and when they count as gone.
      left: Servers that left, with their last entry.
      ended: Servers whose process has surely ended.
      heard: Assignments that other entries told of, by service.
      roles: By keyed service.
      lease: The coordinator's lease.
      lease_sent_at: When it was last kept, as of sending, ms.
      keep_at: When to keep it again, ms.
      entry_lease: The entry's own lease.
      entry_keep_at: When to keep it again, ms.
      entry_keeping: Whether a call for it is under way.
      doubted: Whether the store didn't answer the last renewal.
      leaving: Whether the entry is about to end.
    """

    instance: str
    everything: ports.Everything | None = None
    lost_at: float = 0.0
    back_at: float = float('-inf')
    servers: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    missing: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    ended: set[str] = dataclasses.field(default_factory=set)
    heard: dict[str,
                keyranges.Assignment] = dataclasses.field(default_factory=dict)
    roles: dict[str, Role] = dataclasses.field(default_factory=dict)
    lease: ports.Lease | None = None
    lease_sent_at: float = 0.0
    keep_at: float = 0.0
    entry_lease: ports.Lease | None = None
    entry_keep_at: float = 0.0
    entry_keeping: bool = False
    doubted: bool = False
    leaving: bool = False


class Control(pykka.ThreadingActor):
    """Takes messages in turn; all state is in its tables."""

    use_daemon_thread = True

    def __init__(self, owned: Tables, forwarder: forwarding.Forwarder,
                 platform: ports.Platform, logger, watch_again: Callable[[],
                                                                         None]):
        super().__init__()
        self._owned = owned
        self._forwarder = forwarder
        self._platform = platform
        self._logger = logger
        self._watch_again = watch_again
        self._states = logs.StateLog(logger)
        self._clock = forwarder.clock
        # Servers that don't answer must not keep leases from being kept.
        self._store_calls = futures.ThreadPoolExecutor(STORE_THREADS, 'store')
        self._server_calls = futures.ThreadPoolExecutor(SERVER_THREADS,
                                                        'servers')
        self._release_calls = futures.ThreadPoolExecutor(
            RELEASE_THREADS, 'releases')

    def on_receive(self, message) -> None:
        """Takes one message."""
        if isinstance(message, Returned):
            message.take()
        elif isinstance(message, StoreSeen):
            self._take_store(message.everything, message.heard)
        elif isinstance(message, StoreLost):
            self._take_loss(message.reason)
        elif isinstance(message, Reported):
            self._take_rows(message.rows)
        elif isinstance(message, AssignmentHeard):
            self._owned.heard[message.assignment.service] = message.assignment
            self._publish()
        elif isinstance(message, Leave):
            self._leave(message.done)
        self._work()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Logs a broken invariant; the process ends by itself."""
        self._logger.error('control_failed',
                           exc_info=(exception_type, exception_value,
                                     traceback))

    def _work(self) -> None:
        now = self._clock.now()
        if self._owned.everything is None:
            return
        self._expire_servers(now)
        self._keep_leases(now)
        for name, role in self._owned.roles.items():
            self._stand(name, role, now)
            self._coordinate(name, role, now)

    def _call(self,
              work: Callable[[], object],
              take: Callable[[object, float], None],
              pool: futures.Executor | None = None) -> None:
        """Has a thread make a call; its result returns as a message."""
        actor = self.actor_ref

        def run() -> None:
            sent_at = self._clock.now()
            result = work()
            if actor.is_alive():
                actor.tell(Returned(lambda: take(result, sent_at)))

        (pool or self._store_calls).submit(run)

    def _take_store(self, everything: ports.Everything, heard: bool) -> None:
        owned, now = self._owned, self._clock.now()
        if owned.everything and everything.revision < owned.everything.revision:
            return
        if owned.lost_at and not heard:
            self._logger.info('store_regained',
                              away_ms=round(now - owned.lost_at),
                              revision=everything.revision)
            owned.lost_at, owned.back_at = 0.0, now
        before = owned.everything
        owned.everything = everything
        self._take_servers(before, everything, now)
        configuration = everything.configuration
        if configuration is not None and (before is None or before.configuration
                                          is not configuration):
            self._logger.info('configuration_applied',
                              version=configuration.version,
                              revision=everything.revision)
            self._forwarder.index = matching.make_index(configuration.routes)
            for service in configuration.services.values():
                if service.keyed:
                    owned.roles.setdefault(service.name, Role())
        self._follow_rivals()
        self._publish()

    def _take_servers(self, before: ports.Everything | None,
                      everything: ports.Everything, now: float) -> None:
        owned = self._owned
        known = before.servers if before else {}
        for name, server in everything.servers.items():
            if known.get(name) is not server or name not in owned.servers:
                self._logger.info('server_seen',
                                  server=name,
                                  service=server.service,
                                  address=server.address,
                                  draining=server.draining,
                                  revision=everything.revision)
            if name not in owned.servers:
                self._end_predecessors(server)
            owned.servers[name] = server
            owned.missing.pop(name, None)
        for name in owned.servers:
            if name not in everything.servers and name not in owned.missing:
                grace = owned.back_at + ownership.RETURN_MS
                owned.missing[name] = max(now, grace)

    def _end_predecessors(self, server: tables.Server) -> None:
        """A new lifetime at an address proves the end of the one before."""
        owned = self._owned
        for other in [*owned.servers.values(), *owned.left.values()]:
            if other.address == server.address and other.id != server.id:
                owned.ended.add(other.id)

    def _expire_servers(self, now: float) -> None:
        owned = self._owned
        gone = [name for name, at in owned.missing.items() if at <= now]
        if not gone or owned.lost_at:
            return
        for name in gone:
            del owned.missing[name]
            owned.left[name] = owned.servers.pop(name)
            self._logger.info('server_gone', server=name)
        self._publish()

    def _take_loss(self, reason: outcomes.Reason) -> None:
        owned = self._owned
        if not owned.lost_at:
            owned.lost_at = self._clock.now()
            self._logger.warning('store_lost', reason=reason.value)

    def _publish(self) -> None:
        owned = self._owned
        everything = owned.everything
        servers: dict[str, dict[str, tables.Server]] = {}
        for server in owned.servers.values():
            if server.id not in owned.ended:
                servers.setdefault(server.service, {})[server.id] = server
        assignments = {
            name: saved.assignment
            for name, saved in everything.assignments.items()
        }
        for name, heard in owned.heard.items():
            known = assignments.get(name)
            if known is None or keyranges.is_newer(heard, known):
                assignments[name] = heard
        for name, role in owned.roles.items():
            if role.state is not None:
                assignments[name] = role.state.assignment
        forwarder = self._forwarder
        with forwarder.changed:
            forwarder.snapshot = tables.Snapshot(everything.configuration,
                                                 servers, assignments,
                                                 dict(everything.coordinators),
                                                 dict(everything.entries))
            forwarder.changed.notify_all()

    def _keep_leases(self, now: float) -> None:
        owned = self._owned
        if owned.entry_lease is None:
            self._open_entry_lease(now)
        elif owned.entry_keep_at <= now and not owned.entry_keeping:
            owned.entry_keep_at = now + ENTRY_KEEP_MS
            owned.entry_keeping = True
            lease = owned.entry_lease
            self._call(lambda: self._platform.store.keep_lease(lease),
                       lambda result, sent: self._entry_kept(result))
        if owned.lease is not None and owned.keep_at <= now:
            owned.keep_at = now + KEEP_MS
            lease = owned.lease
            self._call(lambda: self._platform.store.keep_lease(lease),
                       self._kept)

    def _open_entry_lease(self, now: float) -> None:
        owned = self._owned
        if owned.entry_keep_at > now or owned.entry_keeping or owned.leaving:
            return
        owned.entry_keep_at = now + ENTRY_KEEP_MS
        owned.entry_keeping = True
        store = self._platform.store

        def register() -> ports.Lease | outcomes.Failed:
            lease = store.open_lease(ENTRY_LEASE_MS)
            if isinstance(lease, outcomes.Failed):
                return lease
            peer = ports.Peer(owned.instance, self._platform.settings.control)
            return store.register(peer, lease) or lease

        def take(result, unused_sent_at) -> None:
            owned.entry_keeping = False
            if isinstance(result, ports.Lease):
                owned.entry_lease = result
            self._note_store(isinstance(result, ports.Lease))

        self._call(register, take)

    def _entry_kept(self, result) -> None:
        """Takes in a renewal; the store may have been away unnoticed.

        A watch that waited meanwhile may never be answered.
        """
        owned = self._owned
        owned.entry_keeping = False
        if _is_ended(result):
            owned.entry_lease = None
        self._note_store(result is None or _is_ended(result))

    def _note_store(self, answers: bool) -> None:
        owned = self._owned
        if not answers:
            owned.doubted = True
        elif owned.doubted:
            owned.doubted = False
            self._logger.info('store_answers_again')
            self._watch_again()

    def _kept(self, result, sent_at: float) -> None:
        owned = self._owned
        if result is None:
            owned.lease_sent_at = max(owned.lease_sent_at, sent_at)
        elif _is_ended(result):
            self._logger.warning('coordinator_lease_lapsed')
            owned.lease = None

    def _follow_rivals(self) -> None:
        """Gives up roles that another entry has taken."""
        for name, role in self._owned.roles.items():
            coordinator = self._owned.everything.coordinators.get(name)
            mine = (coordinator is not None and
                    coordinator.instance == self._owned.instance)
            if role.state is None:
                continue
            saved = self._owned.everything.assignments.get(name)
            if coordinator is not None and not mine:
                self._resign(name, role, 'another entry coordinates')
            elif saved and saved.assignment.term > role.state.assignment.term:
                self._resign(name, role, 'another entry has coordinated')

    def _resign(self, name: str, role: Role, reason: str) -> None:
        self._logger.info('coordination_ended', service=name, reason=reason)
        role.state = None
        self._forwarder.coordinated = {
            service: told
            for service, told in self._forwarder.coordinated.items()
            if service != name
        }

    def _stand(self, name: str, role: Role, now: float) -> None:
        """Stands for coordinator if there is none."""
        owned = self._owned
        coordinator = owned.everything.coordinators.get(name)
        if owned.leaving or role.busy or owned.lost_at:
            return
        if coordinator is not None and coordinator.instance != owned.instance:
            role.stand_at = 0.0
            return
        if coordinator is not None and role.state is not None:
            return
        if not role.stand_at:
            pause_ms = STAND_MS * self._forwarder.generator.random()
            role.stand_at = now + (0.0 if role.state else pause_ms)
        if now < role.stand_at or not self._may_begin(name, now):
            return
        role.stand_at = now + STAND_AGAIN_MS
        role.busy = True
        self._call(lambda: self._take_role(name),
                   lambda result, sent: self._role_taken(name, role, result))

    def _may_begin(self, name: str, now: float) -> bool:
        servers = [
            item for item in self._owned.servers.values()
            if item.service == name and not item.draining
        ]
        if name in self._owned.everything.assignments:
            return True
        return bool(servers) and (now - min(item.seen_at for item in servers)
                                  >= SETTLE_MS)

    def _take_role(self, name: str) -> object:
        """Takes the role in the store; run by a thread."""
        owned, store = self._owned, self._platform.store
        lease = owned.lease
        sent_at = self._clock.now()
        if lease is None:
            lease = store.open_lease(LEASE_MS)
            if isinstance(lease, outcomes.Failed):
                return lease
        settings = self._platform.settings
        taken = store.take_role(name,
                                ports.Peer(owned.instance, settings.control),
                                lease)
        if isinstance(taken, outcomes.Failed):
            return taken
        return lease, sent_at

    def _role_taken(self, name: str, role: Role, result) -> None:
        owned = self._owned
        if isinstance(result, outcomes.Failed):
            role.busy = False
            if _is_ended(result):
                owned.lease = None
            return
        lease, sent_at = result
        if owned.lease is None or owned.lease.id != lease.id:
            owned.lease, owned.lease_sent_at = lease, sent_at
            owned.keep_at = self._clock.now() + KEEP_MS
        if role.state is not None and not role.state.lost:
            role.busy = False
            return
        self._begin(name, role)

    def _begin(self, name: str, role: Role) -> None:
        """Saves the assignment that this coordinator begins with."""
        saved = self._owned.everything.assignments.get(name)
        if saved is None:
            servers = {
                item.id: item
                for item in self._owned.servers.values()
                if item.service == name
            }
            assignment, revision = coordination.make_first(
                name, servers, self._owned.instance), 0
        else:
            assignment = coordination.make_next(saved.assignment,
                                                self._owned.instance)
            revision = saved.revision
        predecessor = saved.assignment.author if saved else None

        def take(result, unused_sent_at) -> None:
            role.busy = False
            if isinstance(result, outcomes.Failed):
                self._logger.info('coordination_not_begun',
                                  service=name,
                                  reason=result.reason.value)
                return
            self._logger.info('coordination_begun',
                              service=name,
                              term=assignment.term,
                              revision=result,
                              ranges=len(assignment.ranges))
            role.measured.seed_works(assignment.works)
            role.state = coordination.begin(assignment, result,
                                            self._clock.now(), predecessor)
            self._publish()

        self._call(lambda: self._platform.store.save(assignment, revision),
                   take)

    def _coordinate(self, name: str, role: Role, now: float) -> None:
        state, owned = role.state, self._owned
        if state is None:
            return
        if state.lost:
            self._resign(name, role, 'a server has seen a higher fence')
            return
        if now - owned.lease_sent_at > ownership.TENURE_MS:
            self._resign(name, role, 'the lease was not renewed for too long')
            return
        if self._is_replaced(state.predecessor):
            coordination.note_predecessor_ended(state, now)
        servers = {
            item.id: item
            for item in owned.servers.values()
            if item.service == name and item.id not in owned.ended
        }
        view = ownership.View(servers, frozenset(owned.ended), owned.left,
                              role.measured.key_loads(now),
                              role.measured.capacities(servers.values(), now),
                              role.measured.list_works(servers.values()))
        for action in coordination.plan(state, view, now):
            self._carry_out(state, action)
        told = tables.Coordinated(
            moves.list_unserved(state),
            role.measured.estimate_works(servers.values()))
        self._forwarder.coordinated = self._forwarder.coordinated | {name: told}

    def _is_replaced(self, instance: str) -> bool:
        """Returns whether another process runs where an entry once ran."""
        place = instance.rpartition('.')[0]
        return bool(place) and any(
            other.rpartition('.')[0] == place and other != instance
            for other in self._owned.everything.entries)

    def _carry_out(self, state: ownership.Coordination,
                   action: ownership.Action) -> None:
        if isinstance(action, ownership.Grant):
            self._call(
                lambda: self._send_grant(action),
                lambda result, sent: self._granted(state, action, result, sent),
                self._server_calls)
        elif isinstance(action, ownership.Release):
            self._call(
                lambda: self._platform.servers.release(action),
                lambda result, sent: self._released(state, action, *result),
                self._release_calls)
        else:
            self._call(
                lambda: self._platform.store.save(action.assignment, action.
                                                  revision),
                lambda result, sent: self._saved(state, action, result))

    def _granted(self, state: ownership.Coordination, grant: ownership.Grant,
                 answer: ownership.Answer, sent_at: float) -> None:
        coordination.note_granted(state, grant, answer, sent_at,
                                  self._clock.now())
        self._states.note('grant_answer',
                          grant.server.id,
                          answer,
                          service=grant.service,
                          fence=grant.item.fence,
                          first=grant.item.first)

    def _released(self, state: ownership.Coordination,
                  release: ownership.Release, answer: ownership.Answer,
                  token: str) -> None:
        coordination.note_released(state, release, answer, token,
                                   self._clock.now())
        self._logger.info('keys_released',
                          server=release.server.id,
                          first=release.item.first,
                          last=release.item.last,
                          fence=release.item.fence,
                          answer=answer.value,
                          handed_over=bool(token))

    def _send_grant(self, grant: ownership.Grant) -> ownership.Answer:
        """Sends a grant unless it is out of date; run by a thread."""
        now = self._clock.now()
        if (now - self._owned.lease_sent_at > ownership.TENURE_MS or
                now - grant.planned_at > ownership.STALE_MS):
            return ownership.Answer.NOT_SENT
        return self._platform.servers.grant(grant)

    def _saved(self, state: ownership.Coordination, save: ownership.Save,
               result) -> None:
        if not isinstance(result, outcomes.Failed):
            coordination.note_saved(state, save, result, self._clock.now())
            self._logger.info('assignment_saved',
                              service=save.service,
                              revision=result,
                              ranges=len(save.assignment.ranges))
            self._publish()
            return
        if result.reason is _Reason.CONFLICT:
            state.lost = True
        coordination.note_saved(state, save, None, self._clock.now())
        self._logger.warning('assignment_not_saved',
                             service=save.service,
                             reason=result.reason.value)

    def _take_rows(self, found: dict[str, list[reports.Row]]) -> None:
        for service, rows in found.items():
            role = self._owned.roles.get(service)
            if role is not None:
                role.measured.add(rows, self._clock.now())

    def _leave(self, done: threading.Event) -> None:
        owned = self._owned
        owned.leaving = True
        if self._clock.now() - owned.lease_sent_at > STORE_DOUBT_MS:
            # Nobody can follow now; go on until the process ends.
            done.set()
            return
        for name, role in owned.roles.items():
            if role.state is not None:
                self._resign(name, role, 'this entry is about to end')
        leases = [lease for lease in (owned.lease, owned.entry_lease) if lease]
        owned.lease = owned.entry_lease = None

        def end() -> None:
            for lease in leases:
                self._platform.store.end_lease(lease)

        self._call(end, lambda result, sent: done.set())


def _is_ended(result) -> bool:
    return (isinstance(result, outcomes.Failed) and
            result.reason is _Reason.NOT_FOUND)
