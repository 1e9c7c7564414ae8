"""Composition root of an entry on a platform that enforces grants.

Creates the parts of the process, runs it, and shuts it down after SIGTERM.
"""

from collections.abc import Callable
import dataclasses
import functools
import math
import signal
import socket
import threading

import pykka

from lentilmoor import bytebudgets
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import shutdowns
from lentilmoor import signals
from lentilmoor import transport
from lentilmoor.edge import control
from lentilmoor.edge import controlstate
from lentilmoor.edge import departures
from lentilmoor.edge import entrycounts
from lentilmoor.edge import exchange
from lentilmoor.edge import following
from lentilmoor.edge import forwarding
from lentilmoor.edge import learning
from lentilmoor.edge import learningtables
from lentilmoor.edge import listening
from lentilmoor.edge import pauses
from lentilmoor.edge import permits
from lentilmoor.edge import ports
from lentilmoor.edge import proxying
from lentilmoor.edge import proxytables
from lentilmoor.edge import reachability
from lentilmoor.edge import refusedanswers
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requestmetrics
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import subscriptions
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from lentilmoor.edge import trials
from lentilmoor.edge import trialtables

# Initial and maximum number of threads that answer callers. Each waits for one
# server at a time.
CALLER_THREAD_LIMITS = (16, 64)
PAGE_THREAD_LIMITS = (2, 2)
# Threads that answer other entries, and the time limit for writing a reply. An
# entry that doesn't read its reply occupies a thread, which must not keep the
# hub from sending news to the others. The sender of a report gives up after
# about 1 s. Requests for news wait in these threads too.
PEER_THREAD_LIMITS = (8, 16 + storecopy.MAX_WAITING_REQUESTS +
                      proxying.MAX_ACCEPTED)
REPLY_WRITE_TIMEOUT_MS = 1_000.0
# Connections to another entry: one for reports, one for news.
MAX_PEER_CONNECTIONS = 2
# Part of the machine's memory for the bodies of callers' requests and their
# answers, and as much for the messages of other entries and what is proxied for
# them. docs/CAPACITY.md has the sum of what is kept.
MESSAGE_MEMORY_FRACTION = 0.16
# What each request may use beyond that, so that large bodies leave room for
# those of a usual size.
OWN_MEMORY_BYTES = 64 * 1024
# How long after SIGTERM new connections may still arrive: the load balancer
# checks readiness once a second and needs two failed checks.
BALANCER_NOTICE_MS = 3_100.0
# Time to write the answers to requests that the end of this process aborts.
FINAL_ANSWERS_MS = 150.0
# SIGTERM starts the shutdown; SIGHUP requests a reload of the settings.
SIGNALS = (signal.SIGTERM, signal.SIGHUP)
READY_PATH = '/-/readyz'
METRICS_PATH = '/metrics'
# A slower write of a reply is logged: its reader occupied a thread.
SLOW_WRITE_MS = 100.0
_POLL_INTERVAL_MS = 50.0
_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry.

    Attributes:
      platform: Adapter of the platform.
      clock: Clock of the process.
      logger: Logger of the process.
      forwarder: State shared by request threads.
      request_count: Count of the requests in flight.
      metrics: Counts and durations of requests.
      actor: The control actor.
      reporter: Exchanges reports with other entries.
      listeners: HTTP servers for callers, readiness and other entries.
      follower: Follows the store.
      actor_timing: Delay and duration of the control actor's steps.
      tick_requested: Set when the control actor needs a tick soon.
    """

    platform: ports.Platform
    clock: clocks.Clock
    logger: logs.Logger
    forwarder: requests.Forwarder
    request_count: shutdowns.RequestCount
    metrics: requestmetrics.RequestMetrics
    actor: pykka.ActorRef | None = None
    reporter: reporting.Reporter | None = None
    listeners: list[listening.Listener] = dataclasses.field(
        default_factory=list)
    follower: storecopy.StoreFollower | None = None
    actor_timing: controlstate.ActorTiming | None = None
    tick_requested: threading.Event = dataclasses.field(
        default_factory=threading.Event)


def run(platform: ports.Platform, instance: str, clock: clocks.Clock,
        logger: logs.Logger, socket_options: tuple,
        callers: socket.socket | None, started_at: float) -> None:
    """Runs an entry until SIGTERM.

    Args:
      platform: Adapter of the platform.
      instance: Id of this process, new with each start.
      clock: Clock of the process.
      logger: Logger of the process.
      socket_options: Options of connections to servers and entries.
      callers: Listening socket that already accepts connections of callers; if
        None, one is opened.
      started_at: When the process started, before it blocked `SIGNALS`, ms.
    """
    logs.quiet_libraries()
    entry = _make_entry(platform, instance, clock, logger, socket_options,
                        started_at)
    entry.listeners[0].listening_socket = callers
    record_absent = functools.partial(departures.record_sigterm_absent,
                                      entry.forwarder.departure,
                                      platform.settings.bounds.grace_ms)
    record_absent(started_at)
    for listener in entry.listeners:
        listener.prepare()
        _start_thread(listener.serve)
    _serve_metrics(entry)
    following.restart_following(entry.follower)
    _start_thread(functools.partial(_tick_forever, entry))
    _start_thread(functools.partial(reporting.report_forever, entry.reporter))
    _start_thread(functools.partial(learning.learn_forever, entry.forwarder))
    _start_thread(
        functools.partial(subscriptions.request_news_forever, entry.follower))
    logger.info('entry_started', callers=platform.settings.callers)
    # Threads started from here on could receive signals.
    arrived = signals.watch(*SIGNALS)
    while signals.receive(arrived, clock, record_absent) != signal.SIGTERM:
        logger.info('reload_asked')
    _shut_down(entry)
    logger.info('entry_stopped')


def _start_thread(run_thread: Callable[[], object]) -> None:
    threading.Thread(target=run_thread, daemon=True).start()


def _make_entry(platform: ports.Platform, instance: str, clock: clocks.Clock,
                logger: logs.Logger, socket_options: tuple,
                started_at: float) -> Entry:
    rules = connections.PoolLimits(max_open=12,
                                   max_idle_ms=8_000.0,
                                   non_idempotent_idle_ms=8_000.0,
                                   connect_timeout_ms=250.0,
                                   opens_per_s=40.0,
                                   burst=12.0,
                                   socket_options=socket_options)
    first = platform.settings.first_start
    forwarder = requests.Forwarder(
        clock,
        platform,
        logger,
        rules,
        suspects=suspects.make_quarantine(),
        started_at=-math.inf if first else started_at)
    forwarder.age_limits = platform.settings.limits
    forwarder.sharing_terms = entrycounts.Terms(
        platform.settings.bounds.retry_window_ms,
        forwarder.age_limits.max_send_age_ms)
    forwarder.permit_table = permits.make_permit_table(
        platform.settings.control, clock, logger, socket_options)
    forwarder.trials = trialtables.make_trial_table(clock, logger,
                                                    socket_options)
    forwarder.learning = learningtables.make_learning_table(
        clock, logger, socket_options)
    entry = Entry(platform, clock, logger, forwarder, shutdowns.RequestCount(),
                  requestmetrics.RequestMetrics(clock))
    owned = controlstate.ControlState(instance)
    entry.actor_timing = owned.timing
    entry.actor = control.Control.start(
        owned,
        forwarder,
        platform,
        logger,
        lambda: following.restart_following(entry.follower),
        request_tick=entry.tick_requested.set)
    entry.reporter = reporting.Reporter(
        instance, forwarder,
        httpclient.Client(clock, MAX_PEER_CONNECTIONS, socket_options),
        entry.actor.tell)
    entry.follower = storecopy.StoreFollower(
        ports.make_peer(instance, platform.settings),
        entry.reporter, platform.store, clock, logger,
        functools.partial(_apply_snapshot, entry),
        lambda reason: entry.actor.tell(control.StoreLost(reason)))
    entry.follower.probe = lambda: entry.actor.tell(control.RenewEntryLease())
    platform.store.on_restore(
        functools.partial(following.restart_with_full_read, entry.follower))
    entry.reporter.on_news = functools.partial(storecopy.apply_news,
                                               entry.follower)
    log_error = listening.make_error_log(logger)
    callers = listening.make_listener(
        platform.settings.callers,
        listening.make_caller_gateway(
            platform.header_format,
            functools.partial(forwarding.forward, forwarder),
            functools.partial(_record_outcome, entry), entry.request_count,
            lambda: _find_caller_limits(entry).max_body_bytes, clock,
            _make_budget(platform.settings)), CALLER_THREAD_LIMITS, log_error,
        clock)
    ready = listening.make_listener(
        platform.settings.ready,
        listening.make_page_gateway(
            {READY_PATH: functools.partial(_render_readiness, entry)}, clock),
        PAGE_THREAD_LIMITS, log_error, clock)
    peers = listening.make_listener(
        platform.settings.control,
        listening.make_page_gateway(
            {
                reporting.PATH:
                    functools.partial(
                        _answer_message, reports.decode_report,
                        functools.partial(reporting.handle_report,
                                          entry.reporter),
                        reports.encode_report_reply),
                reporting.STATE_PATH:
                    functools.partial(_render_state, entry),
                subscriptions.PATH:
                    functools.partial(_answer_news_request, entry),
                permits.PATH:
                    functools.partial(
                        _answer_message, reports.decode_permit_request,
                        functools.partial(_issue_permit, forwarder),
                        reports.encode_permit),
                trialtables.PATH:
                    functools.partial(
                        _answer_message, reports.decode_trial_request,
                        functools.partial(trials.handle_request, forwarder),
                        reports.encode_trial),
                learningtables.PATH:
                    functools.partial(_render_suspects, forwarder),
            }, clock, functools.partial(_log_slow_write, logger),
            REPLY_WRITE_TIMEOUT_MS, {
                proxytables.PATH:
                    functools.partial(
                        proxying.handle_request, forwarder,
                        functools.partial(forwarding.forward, forwarder))
            }, _make_budget(platform.settings)), PEER_THREAD_LIMITS, log_error,
        clock)
    entry.listeners = [callers, ready, peers]
    return entry


def _make_budget(settings: ports.Settings) -> bytebudgets.ByteBudget:
    return bytebudgets.ByteBudget(
        MESSAGE_MEMORY_FRACTION * settings.memory_mb * _BYTES_PER_MB,
        OWN_MEMORY_BYTES)


def _log_slow_write(logger: logs.Logger, peer: str, byte_count: int,
                    took_ms: float) -> None:
    """Logs a peer that reads its reply slowly and so occupies a thread."""
    if took_ms >= SLOW_WRITE_MS:
        logger.info('reply_held',
                    peer=peer,
                    reply_bytes=byte_count,
                    took_ms=round(took_ms))


def _serve_metrics(entry: Entry) -> None:
    """Serves metrics; the entry runs without them if their port is in use."""
    address = entry.platform.settings.metrics
    listener = listening.make_listener(
        address,
        listening.make_page_gateway(
            {METRICS_PATH: functools.partial(_render_metrics, entry)},
            entry.clock), (1, 1), listening.make_error_log(entry.logger),
        entry.clock)
    try:
        listener.prepare()
    except OSError as error:
        entry.logger.warning('metrics_not_served',
                             address=address,
                             reason=str(error))
        return
    _start_thread(listener.serve)


def _render_metrics(entry: Entry, unused_body: bytes) -> tuple[int, bytes, str]:
    snapshot = entry.forwarder.snapshot
    share = requests.find_share(entry.forwarder)
    budgets = list(entry.forwarder.retry_budgets.values())
    gauges = {
        'inside':
            float(entry.request_count.in_flight),
        'servers':
            float(sum(len(rows) for rows in snapshot.servers.values())),
        'entries':
            float(len(snapshot.entries)),
        'sharing_entries':
            float(share.entries),
        'share_usable':
            float(share.state is entrycounts.ShareState.USABLE),
        'retries_granted':
            float(sum(budget.granted for budget in budgets)),
        'retries_refused':
            float(sum(budget.refused for budget in budgets)),
        'configuration_version':
            float(snapshot.configuration.version if snapshot.
                  configuration else 0),
        'unserved_ranges':
            float(
                sum(
                    len(rows)
                    for rows in entry.forwarder.unserved_ranges.values())),
        'store_watches':
            float(entry.follower.start_count),
        'store_era':
            float(entry.platform.store.find_era()),
        'news_age_ms':
            requests.find_knowledge_age(entry.forwarder),
        'configuration_age_ms':
            requests.find_age(
                entry.forwarder,
                entry.forwarder.freshness.known_times.configuration_at),
        'unapplied_changes':
            float(len(entry.forwarder.freshness.pending_changes)),
        'suspected_requests':
            float(len(entry.forwarder.suspects.suspects)),
        'quarantined_requests':
            float(len(entry.forwarder.logged_blocked)),
        'crashed_servers':
            float(len(entry.forwarder.suspects.server_crashes)),
        'servers_unreachable':
            float(entry.forwarder.reachability.is_lost),
        'suspects_age_ms':
            learning.find_table_age(entry.forwarder),
        'limited_servers':
            float(len(entry.forwarder.rate_limits.by_server)),
        'sigterm_check_age_ms':
            requests.find_age(entry.forwarder,
                              entry.forwarder.departure.checked_at),
        'last_pause_ms':
            entry.forwarder.pause_times.duration_ms,
        'control_late_ms':
            entry.actor_timing.tick_delay_ms,
        'control_steps':
            float(entry.actor_timing.steps),
        'control_step_ms':
            entry.actor_timing.step_ms,
    }
    calls = entry.platform.store.count_calls()
    gauges |= {f'store_calls_{kind}': float(calls[kind]) for kind in calls}
    refused = refusedanswers.list_counts(entry.forwarder.refused_answers)
    return (200, entry.metrics.render(gauges,
                                      refused), 'text/plain; version=0.0.4')


def _find_caller_limits(entry: Entry) -> tables.CallerLimits:
    configuration = entry.forwarder.snapshot.configuration
    if configuration is None:
        return tables.CallerLimits()
    return configuration.limits


def _record_outcome(entry: Entry, request: requests.Request,
                    outcome: requests.Outcome) -> None:
    """Records the outcome of a request; logs it if no server answered."""
    age_ms = round(entry.clock.now() - request.arrived_at)
    if isinstance(outcome, transport.Answer):
        entry.metrics.record('answered', str(outcome.status), age_ms)
        return
    if isinstance(outcome, exchange.CallerDisconnected):
        entry.metrics.record('left', 'caller-left', age_ms)
        entry.logger.info('caller_left',
                          request=request.fields.request_id,
                          where=outcome.where,
                          waited_ms=round(outcome.waited_ms),
                          age_ms=age_ms)
        return
    refused = isinstance(outcome, outcomes.NotRun)
    entry.metrics.record('not-run' if refused else 'unknown',
                         outcome.reason.value, age_ms)
    entry.logger.info('request_refused' if refused else 'request_failed',
                      request=request.fields.request_id,
                      reason=outcome.reason.value,
                      detail=outcome.detail,
                      path=request.path,
                      age_ms=age_ms)


def _render_readiness(entry: Entry,
                      unused_body: bytes) -> tuple[int, bytes, str]:
    snapshot = entry.forwarder.snapshot
    ready = (snapshot.configuration is not None and
             not entry.forwarder.departure.sigterm_received and
             requests.is_server_data_recent(entry.forwarder) and
             requests.is_configuration_recent(entry.forwarder) and
             all(name in snapshot.assignments
                 for name in snapshot.configuration.list_keyed()))
    return (200 if ready else 503), b'', 'text/plain'


def _render_state(entry: Entry, body: bytes) -> tuple[int, bytes, str]:
    """Returns changes of the store to an entry that can't reach it."""
    if body and not body.isdigit():
        return 400, b'', 'text/plain'
    dump = entry.platform.store.dump(int(body or 0))
    return 200, dump, 'application/octet-stream'


def _render_suspects(forwarder: requests.Forwarder,
                     unused_body: bytes) -> tuple[int, bytes, str]:
    """Returns the evidence on suspects to an entry that may lack some."""
    reply = learning.handle_request(forwarder)
    return 200, reports.encode_suspects_reply(reply), 'application/json'


def _answer_news_request(entry: Entry, body: bytes) -> tuple[int, bytes, str]:
    news_request = reports.decode_news_request(body)
    if news_request is None:
        return 400, b'', 'text/plain'
    reply = subscriptions.handle_news_request(entry.follower, news_request)
    if reply is None:
        return 503, b'', 'text/plain'
    return 200, reports.encode_news(reply), 'application/json'


def _answer_message(decode: Callable[[bytes], object | None], handle: Callable,
                    encode: Callable[..., bytes],
                    body: bytes) -> tuple[int, bytes, str]:
    """Answers a message of another entry, which has a reply in any case."""
    message = decode(body)
    if message is None:
        return 400, b'', 'text/plain'
    return 200, encode(handle(message)), 'application/json'


def _issue_permit(forwarder: requests.Forwarder,
                  request: reports.PermitRequest) -> reports.PermitReply:
    return permits.issue(forwarder.permit_table, request, forwarder.clock.now(),
                         requests.may_be_replaced(forwarder))


def _apply_snapshot(entry: Entry, snapshot: ports.StoreSnapshot,
                    from_peer: bool) -> None:
    number = staleness.add_pending_change(entry.forwarder.freshness)
    entry.actor.tell(control.StoreUpdate(snapshot, from_peer, number))
    if snapshot.configuration is None:
        return
    limits = snapshot.configuration.limits
    callers = entry.listeners[0]
    callers.timeout = (limits.idle_timeout_ms / clocks.MS_PER_S +
                       listening.IDLE_TIMEOUT_MARGIN_S)
    callers.max_request_header_size = limits.max_header_bytes
    callers.head_timeout_ms = limits.header_timeout_ms


def _tick_forever(entry: Entry) -> None:
    while True:
        pauses.note_running(entry.forwarder.pause_times, entry.clock.now())
        if entry.tick_requested.wait(control.TICK_INTERVAL_MS /
                                     clocks.MS_PER_S):
            clocks.pause(entry.actor_timing.pause_ms)
            entry.tick_requested.clear()
        entry.actor.tell(control.Tick(entry.clock.now()))
        following.restart_if_silent(entry.follower)
        subscriptions.ask_random_peers(entry.follower)
        reachability.step(entry.forwarder)


def _shut_down(entry: Entry) -> None:
    """Shuts down, interrupting requests only if the grace period ends."""
    received_at = entry.clock.now()
    departure = entry.forwarder.departure
    departure.sigterm_received = True
    entry.logger.info('entry_leaving',
                      inside=entry.request_count.in_flight,
                      late_ms=round(received_at - departure.checked_at),
                      left_ms=round(_find_remaining(entry, departure.ends_at)))
    handed_over = threading.Event()
    entry.actor.tell(control.PrepareShutdown(handed_over))
    entry.request_count.close_connections = True
    while entry.clock.now() < min(received_at + BALANCER_NOTICE_MS,
                                  departure.ends_at):
        clocks.pause(_POLL_INTERVAL_MS)
    # Accepts no new connections, closes idle ones and waits for the others. The
    # library would measure a timeout by the wall clock, which may jump.
    callers = entry.listeners[0]
    callers.shutdown_timeout = None
    stopping = threading.Thread(target=callers.stop, daemon=True)
    stopping.start()
    stopping.join(_find_remaining(entry, departure.ends_at) / clocks.MS_PER_S)
    # While the store is unavailable, no other entry can renew the servers'
    # grants, so this entry continues until shortly before it is killed.
    grace_ms = entry.platform.settings.bounds.grace_ms
    latest_end_at = received_at + grace_ms - departures.KILL_MARGIN_MS
    handed_over.wait(_find_remaining(entry, latest_end_at) / clocks.MS_PER_S)
    _log_interrupted(entry)
    entry.logger.info('entry_finished', inside=entry.request_count.in_flight)


def _find_remaining(entry: Entry, ends_at: float) -> float:
    """Returns the time until the final answers must be written, ms."""
    return max(0.0, ends_at + FINAL_ANSWERS_MS - entry.clock.now())


def _log_interrupted(entry: Entry) -> None:
    """Logs each request that the end of this process interrupts."""
    now = entry.clock.now()
    for interrupted in list(entry.forwarder.in_flight):
        worked_ms = round(now -
                          interrupted.sent_at) if interrupted.server else 0
        entry.logger.warning('request_interrupted',
                             request=interrupted.request.fields.request_id,
                             path=interrupted.request.path,
                             service=interrupted.service.name,
                             server=interrupted.server,
                             worked_ms=worked_ms,
                             age_ms=round(now - interrupted.request.arrived_at),
                             left_ms=round(interrupted.deadline_at - now))
