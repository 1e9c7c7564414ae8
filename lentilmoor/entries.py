"""An entry: the one place where all parts are wired together."""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import dataclasses
import functools
import os
import pathlib
import random
import secrets
import signal
import threading

from cheroot import server as cheroot_server
from cheroot import wsgi
import pykka

from lentilmoor import admin
from lentilmoor import adminhooks
from lentilmoor import cancellations
from lentilmoor import clocks
from lentilmoor import control
from lentilmoor import controltables
from lentilmoor import dispatch
from lentilmoor import dispatchers
from lentilmoor import fleetwork
from lentilmoor import gateways
from lentilmoor import gauges
from lentilmoor import inbox
from lentilmoor import logs
from lentilmoor import members
from lentilmoor import metrics
from lentilmoor import models
from lentilmoor import peers
from lentilmoor import requestconnections
from lentilmoor import roles
from lentilmoor import runners
from lentilmoor import servers
from lentilmoor import shardstates
from lentilmoor import shutdowns
from lentilmoor import signals
from lentilmoor import stores
from lentilmoor import tables
from lentilmoor import traces
from lentilmoor import watchers
from lentilmoor import wirings

TICK_MS = 50.0
ADMIN_THREADS = 4
SERVER_TIMEOUT_MS = 300.0
# Of the request threads, those that may wait for a slice to move.
HOLDING_SHARE = 0.5
HANDOVER_MS = 3_000.0
EXIT_OK = 0
EXIT_FAILED = 70

_LOOK_EVERY_MS = 20.0
_FAILED_LOOK_MS = 200.0
_ASK_TIMEOUT_MS = 2_000.0
_STOP_GRACE_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """What all parts share.

    Attributes:
      id: Instance id of this process; new with each start.
      settings: The process's settings.
      secret: Shared by all entries.
      clock: Time.
      logger: For changes of state.
      registry: Metrics.
      tracer: Begins spans.
      generator: Random numbers.
      count: Requests that are being answered.
      stopped: Set when the process ends.
      failed: Set when the control actor broke an invariant.
    """

    id: str
    settings: models.ProcessSettings
    secret: str
    clock: clocks.Clock
    logger: logs.Logger
    registry: metrics.Registry
    tracer: traces.Tracer
    generator: random.Random
    count: shutdowns.RequestCount
    stopped: threading.Event
    failed: threading.Event


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry.

    Attributes:
      base: What all parts share.
      dispatcher: What request threads share.
      own: Its addresses, with the ports the system picked.
      addresses: host:port for callers and for administration.
      ready: Whether callers' requests are wanted.
      listeners: The HTTP servers: callers, relay, administration.
      runner: Makes control's calls.
      peers: The peer protocol.
      actor: The control actor.
    """

    base: Base
    dispatcher: dispatchers.Dispatcher
    own: tables.Instance | None = None
    callers_address: str = ''
    admin_address: str = ''
    ready: bool = False
    listeners: list[cheroot_server.HTTPServer] = dataclasses.field(
        default_factory=list)
    runner: runners.Runner | None = None
    peers: peers.Peers | None = None
    actor: pykka.ActorRef | None = None

    def tell(self, message: object) -> None:
        """Sends the control actor a message; none before it or after it."""
        if self.actor is None or self.base.stopped.is_set():
            return
        try:
            self.actor.tell(message)
        except pykka.ActorDeadError:
            self.base.failed.set()

    def ask(self, work: Callable[[controltables.ControlTables, float],
                                 object]) -> object:
        """Has work done on the control's tables and returns its result."""
        reply: futures.Future = futures.Future()
        self.tell(inbox.Ask(work, reply))
        return reply.result(_ASK_TIMEOUT_MS / clocks.MS_PER_S)


def start_entry(settings: models.ProcessSettings) -> Entry:
    """Starts an entry and returns it running.

    Args:
      settings: The process's settings.

    Raises:
      OSError: The peers' secret can't be read or an address not listened on.
    """
    secret = pathlib.Path(settings.peer_secret_file).read_text(encoding='utf-8')
    base = _make_base(settings, secret.strip())
    holding = int(settings.threads * HOLDING_SHARE)
    dispatcher = dispatchers.Dispatcher(base.id, base.clock,
                                        dispatchers.make_meters(base.registry),
                                        base.generator, holding)
    entry = Entry(base, dispatcher)
    store = stores.connect_store(settings.store, base.clock, base.id)
    control_of_servers = servers.connect_servers(base.clock, SERVER_TIMEOUT_MS)
    _listen(entry, store, control_of_servers)
    entry.runner = runners.Runner(
        runners.Outside(base.id, store, control_of_servers, entry.peers,
                        _make_finder(dispatcher), entry.tell))
    owned = wirings.make_tables(entry)
    gauges.register(base.registry, gauges.Parts(dispatcher, owned, store))
    entry.actor = control.Control.start(owned, base.failed)
    _start_threads(entry, store, control_of_servers)
    entry.ready = True
    base.logger.info('entry_started',
                     callers=entry.callers_address,
                     admin=entry.admin_address)
    return entry


def _make_finder(
        dispatcher: dispatchers.Dispatcher) -> Callable[[str], str | None]:

    def find_peer(name: str) -> str | None:
        return dispatcher.snapshot.peers.get(name)

    return find_peer


def run(settings: models.ProcessSettings) -> int:
    """Runs an entry until SIGTERM or SIGINT; returns the exit code."""
    logs.quiet_libraries()
    entry = start_entry(settings)
    arrived = signals.watch(signal.SIGTERM, signal.SIGINT)
    while arrived.empty() and not entry.base.failed.is_set():
        clocks.pause(_FAILED_LOOK_MS)
    if entry.base.failed.is_set():
        entry.base.logger.error('invariant_broken')
        # Nothing of this process is to be trusted, its own clean-up included.
        os._exit(EXIT_FAILED)  # pylint: disable=protected-access
    stop_entry(entry)
    return EXIT_OK


def stop_entry(entry: Entry) -> None:
    """Stops an entry without interrupting a request."""
    base = entry.base
    entry.ready = False
    base.logger.info('entry_leaving')
    entry.ask(fleetwork.leave)
    _await_handover(entry)
    finished = shutdowns.finish_requests(base.count, base.clock,
                                         threading.Event().wait)
    for listener in entry.listeners:
        listener.stop()
    base.stopped.set()
    entry.actor.stop(block=False)
    entry.peers.stop(_STOP_GRACE_MS)
    entry.runner.stop()
    base.tracer.close()
    base.logger.info('entry_stopped', finished=finished)


def _make_base(settings: models.ProcessSettings, secret: str) -> Base:
    clock = clocks.Clock()
    name = f'{settings.instance}.{secrets.token_hex(4)}'
    generator = random.Random(secrets.randbits(64))
    return Base(id=name,
                settings=settings,
                secret=secret,
                clock=clock,
                logger=logs.make_logger(name),
                registry=metrics.Registry(clock),
                tracer=traces.make_tracer(settings.trace, name, clock,
                                          generator),
                generator=generator,
                count=shutdowns.RequestCount(),
                stopped=threading.Event(),
                failed=threading.Event())


def _listen(entry: Entry, store: stores.Store,
            control_of_servers: servers.Servers) -> None:
    """Opens all ports; nothing is served before the threads start."""
    del control_of_servers
    base, settings = entry.base, entry.base.settings
    carry = functools.partial(dispatch.dispatch_call, entry.dispatcher,
                              wirings.make_wiring(entry))
    log_error = wirings.make_error_log(base)
    callers = gateways.make_server(
        settings.callers,
        gateways.make_gateway(entry.dispatcher, carry, base.tracer, base.count),
        settings.threads, log_error, base.clock)
    relay = gateways.make_server(
        settings.relay,
        gateways.make_gateway(entry.dispatcher, carry, base.tracer, base.count,
                              base.secret), settings.relay_threads, log_error,
        base.clock)
    host, _, port = settings.admin.rpartition(':')
    app = admin.make_app(adminhooks.make_hooks(entry, store), base.clock)
    administration = wsgi.Server((host.strip('[]'), int(port)),
                                 app,
                                 numthreads=ADMIN_THREADS,
                                 server_name='lentilmoor')
    requestconnections.limit_requests(administration, base.clock)
    entry.listeners = [callers, relay, administration]
    for listener in entry.listeners:
        listener.prepare()
    entry.peers = peers.start_peers(
        peers.PeerSettings(settings.peers, base.secret.encode()),
        wirings.make_handlers(entry), base.clock)
    entry.callers_address = _read_address(callers)
    entry.admin_address = _read_address(administration)
    entry.own = tables.Instance(base.id, entry.peers.address,
                                _read_address(relay), settings.region,
                                settings.failure_domain)


def _read_address(listener: cheroot_server.HTTPServer) -> str:
    host, port = listener.bind_addr[:2]
    return f'{host}:{port}'


def _start_threads(entry: Entry, store: stores.Store,
                   control_of_servers: servers.Servers) -> None:
    base = entry.base
    for listener in entry.listeners:
        threading.Thread(target=listener.serve, daemon=True).start()
    threading.Thread(target=_tick, args=(entry,), daemon=True).start()
    watchers.start_watchers(
        watchers.WatchWiring(store=store,
                             own=lambda: _list_self(entry),
                             is_watcher=lambda: entry.ask(_is_watcher),
                             has_joined=lambda: entry.ask(_has_joined),
                             list_every_ms=lambda: entry.ask(_find_list_pace),
                             tell=entry.tell,
                             stopped=base.stopped))
    cancellations.start_canceller(
        entry.dispatcher, lambda address, request: entry.runner.run_server(
            lambda: control_of_servers.cancel(address, request)), base.stopped)


def _tick(entry: Entry) -> None:
    while not entry.base.stopped.wait(TICK_MS / clocks.MS_PER_S):
        entry.tell(inbox.Tick())


def _list_self(entry: Entry) -> stores.ListedInstance:
    own = entry.own
    return stores.ListedInstance(own.id, own.peer_address, own.relay_address,
                                 own.region, own.failure_domain)


def _is_watcher(tables_: controltables.ControlTables, now: float) -> bool:
    del now
    return roles.is_watcher(tables_.me, tables_.instances().values())


def _has_joined(tables_: controltables.ControlTables, now: float) -> bool:
    del now
    return tables_.gossip.joined


def _find_list_pace(tables_: controltables.ControlTables, now: float) -> float:
    """Returns how often this entry is to read the platform's list; 0: not."""
    known = tables_.gossip.members
    if _is_watcher(tables_, now) or members.wants_list(known):
        return members.list_every_ms(known)
    return 0.0


def _await_handover(entry: Entry) -> None:
    """Waits until other entries are grantors of what this one was."""
    until = entry.base.clock.now() + HANDOVER_MS
    while entry.base.clock.now() < until:
        if not entry.ask(_has_shards):
            return
        clocks.pause(_LOOK_EVERY_MS)


def _has_shards(tables_: controltables.ControlTables, now: float) -> bool:
    del now
    return any(
        shardstates.is_grantor(state) for state in tables_.shards.values())
