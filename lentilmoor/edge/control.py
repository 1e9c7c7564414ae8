"""The control actor: owns the control state of an entry.

It applies the content of the store, publishes snapshots for request threads,
and runs a step of `leases`, `elections` and `roles` soon after messages, with
pauses in between so that other work isn't delayed. Blocking calls are made by
its thread pools; their results return as messages.
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
from lentilmoor.edge import entrycounts
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
# Minimum interval between steps: the larger of this value and the next one
# multiplied by the number of servers. With a step after each message, a hub of
# many entries has no time left to send them changes.
MIN_STEP_INTERVAL_MS = 5.0
STEP_INTERVAL_PER_SERVER_MS = 0.12
STORE_THREADS = 4
# For grants and probes. Unresponsive servers occupy threads until their calls
# time out, and must not prevent the renewal of other servers' grants. Threads
# are started on demand.
SERVER_THREADS = 64
# A release is answered only after the requests in flight have finished.
RELEASE_THREADS = 16
# Maximum number of servers that a log line lists.
MAX_LOGGED_SERVERS = 20
# A longer delay of a tick is logged, at most once per log interval.
MIN_LOGGED_DELAY_MS = 250.0
DELAY_LOG_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUpdate:
    """New content of the store.

    Attributes:
      snapshot: All that the store holds for an entry.
      from_peer: Whether it was received from another entry instead of the
        store.
      change_number: Number of the change (see `staleness.add_pending_change`).
    """

    snapshot: ports.StoreSnapshot
    from_peer: bool = False
    change_number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost:
    """The store is unreachable."""

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Lets the actor do what has become due.

    Attributes:
      sent_at: When it was sent, ms; None if its delay isn't measured.
    """

    sent_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call made by a thread pool has completed.

    Attributes:
      handle_result: Applies the result; run by the actor.
    """

    handle_result: Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestsReported:
    """An entry reported samples of its requests, by service."""

    samples: dict[str, list[reports.RequestSample]]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingReported:
    """An entry reported servers that announced draining in their answers."""

    servers: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class AssignmentReceived:
    """Another entry sent an assignment of key ranges."""

    assignment: keyranges.Assignment


@dataclasses.dataclass(frozen=True, slots=True)
class RenewEntryLease:
    """Renews the entry's lease now, to check whether the store answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareShutdown:
    """Gives up all leases, as this process is shutting down.

    Attributes:
      done: Set when other entries can take over.
    """

    done: threading.Event


class Control(pykka.ThreadingActor):
    """Handles messages one at a time; its state is a `ControlState`."""

    use_daemon_thread = True

    def __init__(self,
                 owned: controlstate.ControlState,
                 forwarder: requests.Forwarder,
                 platform: ports.Platform,
                 logger,
                 restart_following: Callable[[], None],
                 call: Callable[..., None] | None = None,
                 request_tick: Callable[[], None] = lambda: None):
        """Initializes the actor; `start` also starts its thread.

        Args:
          owned: The control state; only the actor changes it.
          forwarder: State shared by request threads.
          platform: Adapter of the platform.
          logger: Logger for state changes.
          restart_following: Restarts the watch of the store.
          call: Makes a call in another thread (see `controlstate.Context`); if
            None, the actor's own thread pools do.
          request_tick: Requests a tick soon, as something may be due.
        """
        super().__init__()
        self._request_tick = request_tick
        self._stepped_at = float('-inf')
        # The content of the store, including servers that aren't used until
        # they are confirmed.
        self._listed: ports.StoreSnapshot | None = None
        self._owned = owned
        self._forwarder = forwarder
        self._logger = logger
        self._clock = forwarder.clock
        # Calls to the store have their own pool: unresponsive servers must not
        # delay the renewal of leases.
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
        """Handles a message, then runs a step if one is due."""
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
            leases.release_leases(self._context, message.done)
        elif isinstance(message, Tick):
            self._log_delay(message)
        self._step_if_due()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Logs the exception that stops the actor."""
        self._logger.error('control_failed',
                           exc_info=(exception_type, exception_value,
                                     traceback))

    def _log_delay(self, tick: Tick) -> None:
        """Logs a long delay of a tick: all decisions are then late."""
        actor_timing, now = self._owned.timing, self._clock.now()
        actor_timing.tick_delay_ms = now - (now if tick.sent_at is None else
                                            tick.sent_at)
        if (actor_timing.tick_delay_ms < MIN_LOGGED_DELAY_MS or
                now - actor_timing.logged_at < DELAY_LOG_INTERVAL_MS):
            return
        actor_timing.logged_at = now
        self._logger.warning('control_late',
                             late_ms=round(actor_timing.tick_delay_ms),
                             waiting=self.actor_inbox.qsize(),
                             steps=actor_timing.steps,
                             step_ms=round(actor_timing.step_ms))

    def _step_if_due(self) -> None:
        now = self._clock.now()
        if self._owned.store_snapshot is None:
            return
        actor_timing = self._owned.timing
        actor_timing.pause_ms = find_step_interval(len(self._owned.servers))
        if now - self._stepped_at < actor_timing.pause_ms:
            self._request_tick()
            return
        self._stepped_at = now
        self._step(now)
        actor_timing.steps += 1
        actor_timing.step_ms += self._clock.now() - now

    def _step(self, now: float) -> None:
        self._include_confirmed(now)
        self._expire_servers(now)
        leases.maintain_leases(self._context, now)
        for name, role in self._owned.roles.items():
            elections.run_for_coordinator(self._context, name, role, now)
            roles.run_coordinator(self._context, name, role, now)
        elections.hand_over_to_larger(self._context, now)
        elections.hand_over_if_unreachable(self._context)
        savedsuspects.update_store(self._context, now)

    def _call(self,
              function: Callable[[], object],
              handle_result: Callable[[object, float], None],
              executor: futures.Executor | None = None) -> None:
        """Makes a call in a thread pool; its result returns as a message."""
        actor = self.actor_ref

        def run() -> None:
            sent_at = self._clock.now()
            result = function()
            if actor.is_alive():
                actor.tell(
                    CallCompleted(lambda: handle_result(result, sent_at)))

        (executor or self._store_calls).submit(run)

    def _apply_snapshot(self, snapshot: ports.StoreSnapshot,
                        from_peer: bool) -> None:
        owned, now = self._owned, self._clock.now()
        if (owned.store_snapshot and
                snapshot.revision < owned.store_snapshot.revision):
            return
        if owned.store_lost_at and not from_peer:
            self._logger.info('store_regained',
                              away_ms=round(now - owned.store_lost_at),
                              revision=revisions.format_revision(
                                  snapshot.revision))
            owned.store_lost_at, owned.store_regained_at = 0.0, now
        before = owned.store_snapshot
        listed = self._exclude_unconfigured(_keep_newer(before, snapshot))
        restored = before is not None and _is_restored(before, listed)
        if restored:
            lifetimes.mark_unconfirmed(owned, listed, now)
        snapshot = lifetimes.exclude_unconfirmed(owned, listed)
        self._listed, owned.store_snapshot = listed, snapshot
        if restored:
            self._handle_restore(before)
        self._apply_servers(snapshot, now)
        savedsuspects.merge_stored(self._context, before, snapshot)
        self._log_servers(before, snapshot, from_peer)
        configuration = snapshot.configuration
        if configuration is not None and (before is None or before.configuration
                                          is not configuration):
            self._logger.info('configuration_applied',
                              version=configuration.version,
                              revision=revisions.format_revision(
                                  snapshot.revision))
            self._forwarder.route_index = matching.make_index(
                configuration.routes)
            for name in configuration.list_keyed():
                owned.roles.setdefault(name, controlstate.CoordinatorRole())
        elections.resign_lost_roles(self._context)
        self._publish()

    def _handle_restore(self, before: ports.StoreSnapshot) -> None:
        """Preserves or rewrites what the restored store may have lost."""
        owned = self._owned
        elections.retain_assignments(owned, before)
        leases.drop_missing_leases(owned)

    def _apply_servers(self, snapshot: ports.StoreSnapshot, now: float) -> None:
        owned = self._owned
        ended_before = set(owned.ended_servers)
        lifetimes.mark_replaced(owned, snapshot)
        for name in (owned.ended_servers - ended_before) & owned.servers.keys():
            suspects.note_process_replaced(self._forwarder, owned.servers[name])
        for name in lifetimes.reinstate_listed_alone(owned, snapshot):
            self._logger.info('server_up_after_all', server=name)
        known_at = self._find_known_time(now)
        for name, server in snapshot.servers.items():
            owned.servers[name] = self._mark_draining(
                add_draining_time(server, owned.servers.get(name), known_at))
            owned.removal_times.pop(name, None)
        # Server records expire while the store is unavailable. Their removal
        # may be received before the outage has been detected, so an unanswered
        # renewal counts as an outage that ends now.
        back_at = (now
                   if owned.is_renewal_unanswered else owned.store_regained_at)
        for name in owned.servers:
            if (name not in snapshot.servers and
                    name not in owned.removal_times):
                suspects.note_unlisted(self._forwarder, owned.servers[name])
                owned.removal_times[name] = max(
                    now, back_at + ownership.RETURN_GRACE_MS)
                owned.servers[name] = dataclasses.replace(owned.servers[name],
                                                          unlisted_at=known_at)

    def _find_known_time(self, now: float) -> float:
        """Returns when a change received now may first have been acknowledged.

        The store acknowledges no change while it is unavailable to all entries.
        """
        forwarder = self._forwarder
        freshness = forwarder.freshness
        if (now - freshness.store_unavailable_at
                <= forwarder.age_limits.refresh_age_ms):
            return now
        return staleness.find_applied_times(freshness).servers_at

    def _record_draining(self, servers: list[str]) -> None:
        """Marks servers as draining that an entry reported as draining."""
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
                     snapshot: ports.StoreSnapshot, from_peer: bool) -> None:
        """Logs servers that changed.

        The entry that read the store writes a line for each; the others list
        them in one line. Otherwise the number of lines would grow with entries
        times servers.
        """
        known = before.servers if before else {}
        changed = [
            server for name, server in snapshot.servers.items()
            if known.get(name) is not server
        ]
        if not before:
            self._logger.info('servers_known',
                              servers=len(changed),
                              revision=revisions.format_revision(
                                  snapshot.revision))
        elif from_peer and changed:
            self._logger.info(
                'servers_heard',
                servers=len(changed),
                draining=_list_first_ids(
                    item for item in changed if item.draining),
                ready=_list_first_ids(
                    item for item in changed if not item.draining),
                revision=revisions.format_revision(snapshot.revision))
        else:
            for server in changed:
                self._logger.info('server_seen',
                                  server=server.id,
                                  service=server.service,
                                  address=server.address,
                                  draining=server.draining,
                                  revision=revisions.format_revision(
                                      snapshot.revision))

    def _exclude_unconfigured(
            self, found: ports.StoreSnapshot) -> ports.StoreSnapshot:
        """Excludes servers whose service is not configured.

        Such a record may have the address of a running server, which must not
        be considered replaced because of it.
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
        """Includes servers that a restored store has listed long enough."""
        confirmed = lifetimes.confirm_returned(self._owned, now)
        if confirmed:
            self._logger.info('servers_returned',
                              servers=confirmed[:MAX_LOGGED_SERVERS])
            self._apply_snapshot(self._listed, True)

    def _expire_servers(self, now: float) -> None:
        owned = self._owned
        expired = [
            name for name, at in owned.removal_times.items() if at <= now
        ]
        if not expired or owned.store_lost_at:
            return
        for name in expired:
            del owned.removal_times[name]
            owned.draining_since.pop(name, None)
            owned.departed_servers[name] = owned.servers.pop(name)
        self._logger.info('servers_gone',
                          count=len(expired),
                          servers=expired[:MAX_LOGGED_SERVERS])
        self._publish()
        self._remove_servers(expired)

    def _remove_servers(self, expired: list[str]) -> None:
        """Removes the state that request threads keep of departed servers."""
        forwarder = self._forwarder
        with forwarder.lock:
            pools = [forwarder.pools.pop(name, None) for name in expired]
            for name in expired:
                forwarder.server_states.pop(name, None)
        ratelimits.remove_servers(forwarder.rate_limits, expired)
        permits.remove_servers(forwarder.permit_table, expired)
        for pool in filter(None, pools):
            pool.close()

    def _handle_store_loss(self, reason: outcomes.Reason) -> None:
        owned = self._owned
        if not owned.store_lost_at:
            owned.store_lost_at = self._clock.now()
            self._logger.warning('store_lost', reason=reason.value)

    def _publish(self) -> None:
        owned = self._owned
        content = owned.store_snapshot
        servers: dict[str, dict[str, tables.Server]] = {}
        for server in owned.servers.values():
            if server.id not in owned.ended_servers:
                servers.setdefault(server.service, {})[server.id] = server
        assignments = {
            name: saved.assignment
            for name, saved in content.assignments.items()
        }
        for name, received in owned.peer_assignments.items():
            known = assignments.get(name)
            if known is None or keyranges.is_newer(received, known):
                assignments[name] = received
        for name, role in owned.roles.items():
            if role.coordination_state is not None:
                assignments[name] = role.coordination_state.assignment
        forwarder = self._forwarder
        # Request threads may see this list only once all entries on it count.
        entrycounts.update(
            forwarder.entry_counts, owned.instance, content.entries,
            forwarder.sharing_terms,
            staleness.find_applied_times(forwarder.freshness).servers_at,
            self._clock.now())
        with forwarder.changed:
            forwarder.snapshot = tables.RoutingSnapshot(
                content.configuration, servers, assignments,
                dict(content.coordinators), dict(content.entries))
            forwarder.changed.notify_all()

    def _add_samples(self, found: dict[str,
                                       list[reports.RequestSample]]) -> None:
        for service, rows in found.items():
            role = self._owned.roles.get(service)
            if role is not None:
                role.load_table.add(rows, self._clock.now())


def add_draining_time(server: tables.Server, known: tables.Server | None,
                      known_at: float) -> tables.Server:
    """Returns the server with the earliest time it may have begun to drain.

    Args:
      server: The server as the store lists it.
      known: The server as it was known before; None if it is new.
      known_at: Latest time for which the draining state is known, ms.
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
    """Returns the interval between two steps of the actor, ms."""
    return min(TICK_INTERVAL_MS,
               max(MIN_STEP_INTERVAL_MS, STEP_INTERVAL_PER_SERVER_MS * servers))


def _keep_newer(before: ports.StoreSnapshot | None,
                found: ports.StoreSnapshot) -> ports.StoreSnapshot:
    """Returns the found snapshot with the newer of both configurations."""
    known = before.configuration if before is not None else None
    if known is None or (found.configuration is not None and
                         found.configuration.version >= known.version):
        return found
    return dataclasses.replace(found, configuration=known)
