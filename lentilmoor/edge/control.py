"""The control actor: owns what an entry believes.

It takes in what the store tells, publishes snapshots for request threads, and
has `leases`, `elections` and `roles` do their part soon after messages, at a
pace that leaves time for everything else. Calls that wait are made by its
threads; what came of them returns as a message.
"""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import dataclasses
import itertools
import threading

import pykka

from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import keyranges
from lentilmoor.edge import leases
from lentilmoor.edge import lifetimes
from lentilmoor.edge import matching
from lentilmoor.edge import ownership
from lentilmoor.edge import permits
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import revisions
from lentilmoor.edge import roles
from lentilmoor.edge import savedsuspects
from lentilmoor.edge import staleness
from lentilmoor.edge import suspects
from lentilmoor.edge import tables

TICK_INTERVAL_MS = 100.0
# What is due is worked out no closer than this, or than the second figure for
# each server, whichever is more: working it out after each message leaves a hub
# of many entries no time to tell them what has changed.
MIN_STEP_INTERVAL_MS = 5.0
STEP_INTERVAL_PER_SERVER_MS = 0.12
STORE_THREADS = 4
# Grants and probes. Silent servers hold some until their calls time out, and
# must not keep the others' grants from being renewed. Threads start when they
# are needed.
SERVER_THREADS = 64
# A release is answered when the work under way has ended.
RELEASE_THREADS = 16
# Servers that one line names.
MAX_LOGGED_SERVERS = 20
# A tick that waited for longer is told, at most once in the second figure.
MIN_LOGGED_DELAY_MS = 250.0
DELAY_LOG_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUpdate:
    """What the store holds now.

    Attributes:
      snapshot: What it holds.
      from_peer: Whether another entry told it.
      change_number: Of the change (see `staleness.add_pending_change`).
    """

    snapshot: ports.StoreSnapshot
    from_peer: bool = False
    change_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """The store can't be reached."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed.

    Attributes:
      sent_at: When it was sent, ms.
    """

    sent_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call has ended; `handle_result` takes in its result.

    Attributes:
      handle_result: Run by the actor.
    """

    handle_result: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsReported:
    """Requests for keys that an entry reports, by service."""

    samples: dict[str, list[reports.RequestSample]]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingReported:
    """An entry reported servers whose answers say that they are draining."""

    servers: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentReceived:
    """Another entry told of an assignment."""

    assignment: keyranges.Assignment


@dataclasses.dataclass(frozen=True, slots=True)
class RenewEntryLease:
    """The entry's lease is to be renewed now, to learn if the store answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareShutdown:
    """This entry is about to end.

    Attributes:
      done: Set when others can take over.
    """

    done: threading.Event


class Control(pykka.ThreadingActor):
    """Takes messages in turn; all state is in what it believes."""

    use_daemon_thread = True

    def __init__(self,
                 owned: controlstate.ControlState,
                 forwarder: requests.Forwarder,
                 platform: ports.Platform,
                 logger,
                 restart_following: Callable[[], None],
                 call: Callable[..., None] | None = None,
                 request_tick: Callable[[], None] = lambda: None):
        """Makes the actor.

        Args:
          owned: What it believes.
          forwarder: What request threads share.
          platform: The adapter.
          logger: Takes lines.
          restart_following: Starts to follow the store anew.
          call: Has a thread make a call (see `controlstate.Context`); threads
            of its own if None.
          request_tick: Asks for a tick soon, as something may be due.
        """
        super().__init__()
        self._wake = request_tick
        self._stepped_at = float('-inf')
        # What the store lists, with servers that are left out for now.
        self._listed: ports.StoreSnapshot | None = None
        self._owned = owned
        self._forwarder = forwarder
        self._logger = logger
        self._clock = forwarder.clock
        # Servers that don't answer must not keep leases from being kept.
        self._store_calls = futures.ThreadPoolExecutor(STORE_THREADS, 'store')
        self._context = controlstate.Context(
            ports.make_peer(owned.instance, platform.settings),
            owned,
            forwarder,
            platform,
            logger,
            logs.StateLog(logger),
            forwarder.clock,
            call or self._call,
            self._publish,
            restart_following,
            server_calls=futures.ThreadPoolExecutor(SERVER_THREADS, 'servers'),
            release_calls=futures.ThreadPoolExecutor(RELEASE_THREADS,
                                                     'releases'))

    def on_receive(self, message) -> None:
        """Takes one message."""
        if isinstance(message, CallCompleted):
            message.handle_result()
        elif isinstance(message, StoreUpdate):
            self._apply_snapshot(message.snapshot, message.from_peer)
            staleness.mark_applied(self._forwarder.freshness,
                                   message.change_number)
        elif isinstance(message, StoreLost):
            self._handle_store_loss(message.reason)
        elif isinstance(message, RequestsReported):
            self._add_samples(message.samples)
        elif isinstance(message, DrainingReported):
            self._record_draining(message.servers)
        elif isinstance(message, AssignmentReceived):
            self._owned.peer_assignments[
                message.assignment.service] = message.assignment
            self._publish()
        elif isinstance(message, RenewEntryLease):
            self._owned.entry_lease_due_at = 0.0
        elif isinstance(message, PrepareShutdown):
            leases.leave(self._context, message.done)
        elif isinstance(message, Tick):
            self._log_delay(message)
        self._step_if_due()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Logs a broken invariant; the process ends by itself."""
        self._logger.error('control_failed',
                           exc_info=(exception_type, exception_value,
                                     traceback))

    def _log_delay(self, tick: Tick) -> None:
        """Tells if messages wait: all that this entry decides is late then."""
        pace, now = self._owned.timing, self._clock.now()
        pace.tick_delay_ms = now - (now
                                    if tick.sent_at is None else tick.sent_at)
        if (pace.tick_delay_ms < MIN_LOGGED_DELAY_MS or
                now - pace.logged_at < DELAY_LOG_INTERVAL_MS):
            return
        pace.logged_at = now
        self._logger.warning('control_late',
                             late_ms=round(pace.tick_delay_ms),
                             waiting=self.actor_inbox.qsize(),
                             steps=pace.steps,
                             step_ms=round(pace.step_ms))

    def _step_if_due(self) -> None:
        now = self._clock.now()
        if self._owned.store_snapshot is None:
            return
        pace = self._owned.timing
        pace.pause_ms = find_step_interval(len(self._owned.servers))
        if now - self._stepped_at < pace.pause_ms:
            self._wake()
            return
        self._stepped_at = now
        self._step(now)
        pace.steps += 1
        pace.step_ms += self._clock.now() - now

    def _step(self, now: float) -> None:
        self._include_confirmed(now)
        self._expire_servers(now)
        leases.keep(self._context, now)
        for name, role in self._owned.roles.items():
            elections.stand(self._context, name, role, now)
            roles.coordinate(self._context, name, role, now)
        elections.make_way(self._context, now)
        savedsuspects.update_store(self._context, now)

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
                actor.tell(CallCompleted(lambda: take(result, sent_at)))

        (pool or self._store_calls).submit(run)

    def _apply_snapshot(self, everything: ports.StoreSnapshot,
                        heard: bool) -> None:
        owned, now = self._owned, self._clock.now()
        if (owned.store_snapshot and
                everything.revision < owned.store_snapshot.revision):
            return
        if owned.store_lost_at and not heard:
            self._logger.info('store_regained',
                              away_ms=round(now - owned.store_lost_at),
                              revision=revisions.format_revision(
                                  everything.revision))
            owned.store_lost_at, owned.store_regained_at = 0.0, now
        before = owned.store_snapshot
        listed = self._exclude_unconfigured(_keep_newer(before, everything))
        restored = before is not None and _is_restored(before, listed)
        if restored:
            lifetimes.mark_unconfirmed(owned, listed, now)
        everything = lifetimes.exclude_unconfirmed(owned, listed)
        self._listed, owned.store_snapshot = listed, everything
        if restored:
            self._handle_restore(before)
        self._apply_servers(everything, now)
        savedsuspects.merge_stored(self._context, before, everything)
        self._log_servers(before, everything, heard)
        configuration = everything.configuration
        if configuration is not None and (before is None or before.configuration
                                          is not configuration):
            self._logger.info('configuration_applied',
                              version=configuration.version,
                              revision=revisions.format_revision(
                                  everything.revision))
            self._forwarder.route_index = matching.make_index(
                configuration.routes)
            for name in configuration.list_keyed():
                owned.roles.setdefault(name, controlstate.CoordinatorRole())
        elections.follow_rivals(self._context)
        self._publish()

    def _handle_restore(self, before: ports.StoreSnapshot) -> None:
        """Keeps or writes again what a restored store may have lost."""
        owned = self._owned
        elections.keep_assignments(owned, before)
        leases.drop_lost(owned)

    def _apply_servers(self, everything: ports.StoreSnapshot,
                       now: float) -> None:
        owned = self._owned
        ended_before = set(owned.ended_servers)
        lifetimes.mark_replaced(owned, everything)
        for name in (owned.ended_servers - ended_before) & owned.servers.keys():
            suspects.note_process_replaced(self._forwarder, owned.servers[name])
        for name in lifetimes.reinstate_listed_alone(owned, everything):
            self._logger.info('server_up_after_all', server=name)
        known_at = self._find_known_time(now)
        for name, server in everything.servers.items():
            owned.servers[name] = self._mark_draining(
                add_draining_time(server, owned.servers.get(name), known_at))
            owned.removal_times.pop(name, None)
        # Entries run out while a store is away that nobody has found silent
        # yet: its news come before it is known to be back.
        back_at = (now
                   if owned.is_renewal_unanswered else owned.store_regained_at)
        for name in owned.servers:
            if (name not in everything.servers and
                    name not in owned.removal_times):
                suspects.note_unlisted(self._forwarder, owned.servers[name])
                owned.removal_times[name] = max(
                    now, back_at + ownership.RETURN_GRACE_MS)
                owned.servers[name] = dataclasses.replace(owned.servers[name],
                                                          unlisted_at=known_at)

    def _find_known_time(self, now: float) -> float:
        """Returns when what is taken in now may first have been acknowledged.

        That isn't while the store was away from everybody.
        """
        forwarder = self._forwarder
        freshness = forwarder.freshness
        if (now - freshness.store_unavailable_at
                <= forwarder.age_limits.refresh_age_ms):
            return now
        return staleness.find_applied_times(freshness).servers_at

    def _record_draining(self, servers: list[str]) -> None:
        """Marks servers as draining that an entry reported as such."""
        owned = self._owned
        newly_draining = [
            name for name in servers
            if name in owned.servers and name not in owned.draining_since
        ]
        if not newly_draining:
            return
        known_at = self._find_known_time(self._clock.now())
        for name in newly_draining:
            owned.draining_since[name] = known_at
            owned.servers[name] = self._mark_draining(owned.servers[name])
        self._logger.info('servers_reported_draining',
                          servers=newly_draining[:MAX_LOGGED_SERVERS])
        self._publish()

    def _mark_draining(self, server: tables.Server) -> tables.Server:
        """Returns the server, marked as draining if an entry reported it."""
        draining_at = self._owned.draining_since.get(server.id)
        if draining_at is None or server.draining:
            return server
        return dataclasses.replace(server,
                                   draining=True,
                                   draining_at=draining_at)

    def _log_servers(self, before: ports.StoreSnapshot | None,
                     everything: ports.StoreSnapshot, heard: bool) -> None:
        """Tells of servers that changed.

        Each is told by who read the store; the others name them in one line,
        or the lines would grow with entries times servers.
        """
        known = before.servers if before else {}
        changed = [
            server for name, server in everything.servers.items()
            if known.get(name) is not server
        ]
        if not before:
            self._logger.info('servers_known',
                              servers=len(changed),
                              revision=revisions.format_revision(
                                  everything.revision))
        elif heard and changed:
            self._logger.info(
                'servers_heard',
                servers=len(changed),
                draining=_list_first_ids(
                    item for item in changed if item.draining),
                ready=_list_first_ids(
                    item for item in changed if not item.draining),
                revision=revisions.format_revision(everything.revision))
        else:
            for server in changed:
                self._logger.info('server_seen',
                                  server=server.id,
                                  service=server.service,
                                  address=server.address,
                                  draining=server.draining,
                                  revision=revisions.format_revision(
                                      everything.revision))

    def _exclude_unconfigured(
            self, found: ports.StoreSnapshot) -> ports.StoreSnapshot:
        """Leaves out entries of servers whose service nobody configured.

        Such an entry may name the address of a server that is up, and must not
        prove that one's end.
        """
        services = found.configuration.services if found.configuration else {}
        kept = {}
        for name, server in found.servers.items():
            if server.service in services:
                kept[name] = server
            else:
                self._context.states.log_change('server_entry_refused',
                                                name,
                                                'its service is not configured',
                                                service=server.service)
        return dataclasses.replace(found, servers=kept)

    def _include_confirmed(self, now: float) -> None:
        """Takes in servers that a restored store has listed long enough."""
        proven = lifetimes.confirm_returned(self._owned, now)
        if proven:
            self._logger.info('servers_returned',
                              servers=proven[:MAX_LOGGED_SERVERS])
            self._apply_snapshot(self._listed, True)

    def _expire_servers(self, now: float) -> None:
        owned = self._owned
        gone = [name for name, at in owned.removal_times.items() if at <= now]
        if not gone or owned.store_lost_at:
            return
        for name in gone:
            del owned.removal_times[name]
            owned.draining_since.pop(name, None)
            owned.departed_servers[name] = owned.servers.pop(name)
        self._logger.info('servers_gone',
                          count=len(gone),
                          servers=gone[:MAX_LOGGED_SERVERS])
        self._publish()
        self._remove_servers(gone)

    def _remove_servers(self, gone: list[str]) -> None:
        """Drops what request threads keep of servers that left."""
        forwarder = self._forwarder
        with forwarder.lock:
            pools = [forwarder.pools.pop(name, None) for name in gone]
            for name in gone:
                forwarder.server_states.pop(name, None)
        ratelimits.remove_servers(forwarder.rate_limits, gone)
        permits.remove_servers(forwarder.permit_table, gone)
        for pool in filter(None, pools):
            pool.close()

    def _handle_store_loss(self, reason: outcomes.Reason) -> None:
        owned = self._owned
        if not owned.store_lost_at:
            owned.store_lost_at = self._clock.now()
            self._logger.warning('store_lost', reason=reason.value)

    def _publish(self) -> None:
        owned = self._owned
        everything = owned.store_snapshot
        servers: dict[str, dict[str, tables.Server]] = {}
        for server in owned.servers.values():
            if server.id not in owned.ended_servers:
                servers.setdefault(server.service, {})[server.id] = server
        assignments = {
            name: saved.assignment
            for name, saved in everything.assignments.items()
        }
        for name, heard in owned.peer_assignments.items():
            known = assignments.get(name)
            if known is None or keyranges.is_newer(heard, known):
                assignments[name] = heard
        for name, role in owned.roles.items():
            if role.coordination_state is not None:
                assignments[name] = role.coordination_state.assignment
        forwarder = self._forwarder
        with forwarder.changed:
            forwarder.snapshot = tables.RoutingSnapshot(
                everything.configuration, servers, assignments,
                dict(everything.coordinators), dict(everything.entries))
            forwarder.changed.notify_all()

    def _add_samples(self, found: dict[str,
                                       list[reports.RequestSample]]) -> None:
        for service, rows in found.items():
            role = self._owned.roles.get(service)
            if role is not None:
                role.load_table.add(rows, self._clock.now())


def add_draining_time(server: tables.Server, known: tables.Server | None,
                      known_at: float) -> tables.Server:
    """Returns a server with the time from which on it may be draining.

    Args:
      server: As the store lists it.
      known: As it was known before; None if it wasn't.
      known_at: Up to when it was known whether it is.
    """
    if not server.draining:
        return server
    if known is not None and known.draining:
        known_at = min(known.draining_at, known_at)
    return dataclasses.replace(server, draining_at=known_at)


def _is_restored(before: ports.StoreSnapshot,
                 found: ports.StoreSnapshot) -> bool:
    """Returns whether the store was restored between two reads."""
    return (revisions.find_era(found.revision)
            > revisions.find_era(before.revision))


def _list_first_ids(servers: Iterable[tables.Server]) -> list[str]:
    return [
        server.id for server in itertools.islice(servers, MAX_LOGGED_SERVERS)
    ]


def find_step_interval(servers: int) -> float:
    """Returns the pause between two steps of the actor, ms."""
    return min(TICK_INTERVAL_MS,
               max(MIN_STEP_INTERVAL_MS, STEP_INTERVAL_PER_SERVER_MS * servers))


def _keep_newer(before: ports.StoreSnapshot | None,
                found: ports.StoreSnapshot) -> ports.StoreSnapshot:
    """Returns what was found, with the newer of both configurations."""
    known = before.configuration if before is not None else None
    if known is None or (found.configuration is not None and
                         found.configuration.version >= known.version):
        return found
    return dataclasses.replace(found, configuration=known)
