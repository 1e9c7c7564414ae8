"""Detection and blocking of requests that crash the servers that run them.

A request without an answer is kept as lost on its server until one of three
observations proves that the server has crashed: it refuses connections, another
process has replaced it, or its registration has ended and it has not answered
any request since. `quarantine` decides which requests the crashes block.
Entries exchange crashes with their reports, and blocked requests are also
stored.
"""

from collections.abc import Iterable
import dataclasses
import math
import threading

from lentilmoor import causes
from lentilmoor import connections
from lentilmoor import crashes
from lentilmoor import fingerprints
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import exchange
from lentilmoor.edge import placement
from lentilmoor.edge import requests
from lentilmoor.edge import tables

# The threshold is three, because harmless requests can be in flight at two
# crashes in a row when servers are lost. Servers that are lost together count
# as one, or as two if the request is their only known cause (see `causes`). A
# crash stays a suspicion against every request that was in flight: a clean
# trial clears those that did not cause it. Trials that are rejected or not
# answered prove nothing, but each has reached a server.
BLOCK_POLICY = crashes.BlockPolicy(threshold=3,
                                   duplicate_window_ms=math.inf,
                                   common_cause_window_ms=500.0,
                                   clears_attributed=False,
                                   max_trials=3)
# A request with this many crashes runs only as a trial (see `trials`), and is
# not retried on another server.
SUSPECT_CRASHES = 2
# A lost request is not attributed to a crash that is detected later than this.
LOSS_RETENTION_MS = 10_000.0
_MAX_LOSSES_PER_SERVER = 64
# Timeout and minimum interval of the connection attempts that check whether a
# server has crashed after it lost a request.
_CHECK_TIMEOUT_MS = 100.0
_CHECK_INTERVAL_MS = 250.0
# Answers that a server sent before it crashed arrive within this time.
_LATE_ANSWER_MS = 250.0
# Delay before a blocked request is tried on one more server, if its crashes may
# have another cause.
TRIAL_DELAY_MS = 5_000.0
# Time after which the caller of a blocked request may retry.
RETRY_AFTER_MS = 30_000
# Number of requests whose last clean run is remembered: those of the seconds
# in which evidence of crashes arrives.
_MAX_CLEAN_RUNS = 512
# Maximum number of requests listed in one log line.
_MAX_LOGGED_FINGERPRINTS = 20

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that a server has not answered.

    Attributes:
      fingerprint: Fingerprint of the request.
      service: The server's service.
      sent_at: When it was sent, ms.
      lost_at: When the connection was lost or the request timed out, ms.
    """

    fingerprint: bytes
    service: str
    sent_at: float
    lost_at: float


def make_quarantine() -> quarantine.Quarantine:
    """Returns an empty quarantine for servers with a new id at each start."""
    return quarantine.Quarantine(policy=BLOCK_POLICY)


def make_fingerprint(request: requests.Request) -> bytes:
    """Returns the fingerprint of a request, which is the same for a resend."""
    digest = fingerprints.BodyDigest()
    fingerprints.update_digest(digest, request.body)
    content = {
        name.lower(): value
        for name, value in request.headers.items()
        if name.lower() in fingerprints.CONTENT_HEADERS
    }
    key = '' if request.fields.key is None else str(request.fields.key)
    return fingerprints.make_fingerprint(request.host, request.method,
                                         request.target, key, content, digest,
                                         len(request.body))


def find_fingerprint(run: requests.Run) -> bytes:
    """Returns the fingerprint of a run's request, made once for the run."""
    if not run.fingerprint:
        run.fingerprint = make_fingerprint(run.request)
    return run.fingerprint


def check_run(forwarder: requests.Forwarder,
              run: requests.Run) -> quarantine.Verdict:
    """Returns whether a request may be sent, with its trial if it has one."""
    if run.trial is not None or not forwarder.suspects.suspects:
        return quarantine.Verdict.CLEAR
    return check_fingerprint(forwarder, find_fingerprint(run))


def check(forwarder: requests.Forwarder,
          request: requests.Request) -> quarantine.Verdict:
    """Returns whether a request may be sent (see `check_fingerprint`)."""
    if not forwarder.suspects.suspects:
        return quarantine.Verdict.CLEAR
    return check_fingerprint(forwarder, make_fingerprint(request))


def check_fingerprint(forwarder: requests.Forwarder,
                      fingerprint: bytes) -> quarantine.Verdict:
    """Returns whether the requests with a fingerprint may be sent.

    Returns:
      CLEAR: they may be sent. BLOCKED: they must not be sent. SUSPECT: they may
      be sent only as trials (see `trials`).
    """
    table, now = forwarder.suspects, forwarder.clock.now()
    suspect = table.suspects.get(fingerprint)
    if suspect is None or len(suspect.crashes) < SUSPECT_CRASHES:
        return quarantine.Verdict.CLEAR
    causes.update_blocks(table)
    if (not suspect.blocked_until or now >= suspect.blocked_until or
            _may_try_blocked(table, suspect, now)):
        return quarantine.Verdict.SUSPECT
    return quarantine.Verdict.BLOCKED


def count_crashes(forwarder: requests.Forwarder, run: requests.Run) -> int:
    """Returns the number of crashes that are known for a request."""
    if not forwarder.suspects.suspects:
        return 0
    suspect = forwarder.suspects.suspects.get(find_fingerprint(run))
    return 0 if suspect is None else len(suspect.crashes)


def _may_try_blocked(table: quarantine.Quarantine, suspect: crashes.Suspect,
                     now: float) -> bool:
    """Returns whether a request's first block may have another cause."""
    last_at = max((crash.at for crash in suspect.crashes), default=now)
    is_first = suspect.blocked_until <= last_at + crashes.BLOCK_MS
    return (is_first and now >= last_at + TRIAL_DELAY_MS and
            crashes.has_trials_left(suspect) and
            causes.may_have_other_cause(table, suspect))


def is_undecided(forwarder: requests.Forwarder, fingerprint: bytes) -> bool:
    """Returns whether it is unknown if a lost request crashed its server."""
    with forwarder.lock:
        return any(loss.fingerprint == fingerprint
                   for losses in forwarder.lost_requests.values()
                   for loss in losses)


def make_refusal() -> outcomes.NotRun:
    """Returns the result for the caller of a blocked request."""
    return outcomes.NotRun(
        _Reason.QUARANTINED,
        'blocked: this request crashed the servers that ran it', RETRY_AFTER_MS)


def may_retry(forwarder: requests.Forwarder, run: requests.Run) -> bool:
    """Returns whether a request that has reached a server may be retried.

    A trial reaches one server, even if that has rejected it.
    """
    if run.trial is not None:
        return False
    return count_crashes(forwarder, run) < SUSPECT_CRASHES


def note_lost_request(forwarder: requests.Forwarder, run: requests.Run,
                      server: tables.Server, pool: connections.Pool,
                      timed_out: bool) -> None:
    """Records a request that a server did not answer.

    Opens a connection to check whether the server has crashed, unless it has
    answered other requests since. Requests that are lost on a server that is
    leaving are ignored, as it may end while requests are in flight, and so are
    all while this entry reaches no server.

    Args:
      forwarder: State of the entry.
      run: The request.
      server: The server that did not answer.
      pool: Connections to the server.
      timed_out: Whether the caller's deadline has passed; if so, another thread
        checks the server.
    """
    now = forwarder.clock.now()
    if (_is_leaving(forwarder, server, run.sent_at) or
            forwarder.reachability.is_lost):
        return
    loss = LostRequest(find_fingerprint(run), server.service, run.sent_at, now)
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        losses = forwarder.lost_requests.setdefault(server.id, [])
        losses.append(loss)
        del losses[:-_MAX_LOSSES_PER_SERVER]
        needs_check = (_is_unresponsive(state, loss) and
                       now >= state.checked_at + _CHECK_INTERVAL_MS)
        if needs_check:
            state.checked_at = now
    if quarantine.has_crashed(forwarder.suspects, server.id):
        _report_lost_requests(forwarder, server.id)
    elif _find_current_server(forwarder, server).unlisted_at:
        note_unlisted(forwarder, server)
    elif needs_check and timed_out:
        threading.Thread(target=_check_server,
                         args=(forwarder, server, pool),
                         daemon=True).start()
    elif needs_check:
        _check_server(forwarder, server, pool)


def _check_server(forwarder: requests.Forwarder, server: tables.Server,
                  pool: connections.Pool) -> None:
    """Notes whether a server refuses connections."""
    if exchange.try_connect(pool, _CHECK_TIMEOUT_MS) is _Reason.CONNECT_FAILED:
        note_connection_refused(forwarder, server)


def _find_current_server(forwarder: requests.Forwarder,
                         server: tables.Server) -> tables.Server:
    """Returns the newest known state of a server."""
    servers = forwarder.snapshot.servers.get(server.service, {})
    return servers.get(server.id, server)


def _is_leaving(forwarder: requests.Forwarder, server: tables.Server,
                now: float) -> bool:
    """Returns whether a server is draining or was unlisted at a time."""
    current = _find_current_server(forwarder, server)
    state = forwarder.server_states.get(server.id)
    return (current.draining or 0.0 < current.unlisted_at <= now or
            state is not None and state.draining_at is not None)


def _is_unresponsive(state: placement.ServerState, loss: LostRequest) -> bool:
    """Returns whether a server has answered no request since a lost one.

    Answers that it may have sent before it crashed are ignored.
    """
    return state.answered_at <= loss.sent_at + _LATE_ANSWER_MS


def note_answer(forwarder: requests.Forwarder, run: requests.Run,
                server: tables.Server, opened_at: float, ran: bool) -> None:
    """Records an answer.

    Args:
      forwarder: State of the entry.
      run: The request.
      server: The server that answered.
      opened_at: When the connection was opened, ms. Requests that were lost
        between then and the sending of this request did not crash the server,
        since the same process has answered.
      ran: Whether the answer proves that the request ran.
    """
    table, now = forwarder.suspects, forwarder.clock.now()
    if server.id in forwarder.lost_requests:
        with forwarder.lock:
            kept = [
                loss for loss in forwarder.lost_requests.pop(server.id, [])
                if not opened_at < loss.lost_at < run.sent_at
            ]
            if kept:
                forwarder.lost_requests[server.id] = kept
    _confirm_path(forwarder, run, server, opened_at, ran)
    if ran:
        _remember_clean_run(forwarder, find_fingerprint(run), now)
    if not table.suspects:
        return
    quarantine.report_alive(table, server.id, opened_at, now,
                            run.sent_at - quarantine.REPORTED_TIME_ERROR_MS)
    if ran:
        quarantine.report_clean_run(table, find_fingerprint(run), server.id,
                                    now)


def _remember_clean_run(forwarder: requests.Forwarder, fingerprint: bytes,
                        now: float) -> None:
    """Remembers a clean run, as evidence of a crash may arrive after it."""
    with forwarder.lock:
        runs = forwarder.clean_runs
        runs.pop(fingerprint, None)
        runs[fingerprint] = now
        if len(runs) > _MAX_CLEAN_RUNS:
            del runs[next(iter(runs))]


def _clear_by_clean_run(forwarder: requests.Forwarder,
                        fingerprint: bytes) -> None:
    """Clears a suspect that ran clean after its crashes."""
    suspect = forwarder.suspects.suspects.get(fingerprint)
    ran_at = forwarder.clean_runs.get(fingerprint)
    if suspect is None or ran_at is None or not suspect.crashes:
        return
    if ran_at > suspect.crashes[-1].at:
        quarantine.report_clean_run(forwarder.suspects, fingerprint, '', ran_at)
        forwarder.report_now.set()


def _confirm_path(forwarder: requests.Forwarder, run: requests.Run,
                  server: tables.Server, opened_at: float, ran: bool) -> None:
    """Applies what an answer proves of the paths to this server and others."""
    table = forwarder.suspects
    if forwarder.refusals:
        confirm_refusals(forwarder, server.id, run.sent_at)
    crash = table.server_crashes.get(server.id)
    if not ran or crash is None:
        return
    # A server that refuses connections may answer over those that are open. It
    # would seem to crash with each refusal if each answer refuted it.
    if (opened_at > crash.at + crash.time_error_ms or
            run.sent_at > crash.at + quarantine.REPORTED_TIME_ERROR_MS):
        quarantine.refute_server_crash(table, server.id, run.sent_at)


def note_connection_refused(forwarder: requests.Forwarder,
                            server: tables.Server) -> None:
    """Notes that a server refuses connections.

    It has crashed, unless this entry has lost its path: the crash is recorded
    when another server answers what was sent later (see `confirm_refusals`).
    """
    now = forwarder.clock.now()
    if _is_leaving(forwarder, server, now):
        return
    if quarantine.has_crashed(forwarder.suspects, server.id):
        _report_lost_requests(forwarder, server.id)
        return
    with forwarder.lock:
        forwarder.refusals.setdefault(server.id, (server, now))


def confirm_refusals(forwarder: requests.Forwarder, answering: str,
                     sent_at: float) -> None:
    """Records the crashes of servers that refused connections earlier.

    Args:
      forwarder: State of the entry.
      answering: Id of a server that has answered, so that this entry has a path
        to servers. If it refused connections itself, it is alive.
      sent_at: When the request was sent that it has answered, ms.
    """
    with forwarder.lock:
        confirmed = [
            server for server, at in forwarder.refusals.values()
            if at <= sent_at
        ]
        for server in confirmed:
            del forwarder.refusals[server.id]
    for server in confirmed:
        if server.id != answering:
            _record_server_crash(forwarder, server, 'refused')


def forget_losses(forwarder: requests.Forwarder, since: float) -> None:
    """Drops what was lost since a time when this entry had lost its paths."""
    with forwarder.lock:
        forwarder.refusals.clear()
        for server, losses in list(forwarder.lost_requests.items()):
            kept = [loss for loss in losses if loss.lost_at <= since]
            forwarder.lost_requests[server] = kept
            if not kept:
                del forwarder.lost_requests[server]


def note_process_replaced(forwarder: requests.Forwarder,
                          server: tables.Server) -> None:
    """Records a crash, since another process has replaced a server."""
    if not _is_leaving(forwarder, server, forwarder.clock.now()):
        _record_server_crash(forwarder, server, 'replaced')


def _record_server_crash(forwarder: requests.Forwarder, server: tables.Server,
                         proof: str) -> None:
    """Records that a server has crashed, and reports its lost requests."""
    if not quarantine.has_crashed(forwarder.suspects, server.id):
        quarantine.report_server_crash(forwarder.suspects, server.service,
                                       server.id, forwarder.clock.now())
        forwarder.logger.info('server_crashed', server=server.id, proof=proof)
    _report_lost_requests(forwarder, server.id)


def note_unlisted(forwarder: requests.Forwarder, server: tables.Server) -> None:
    """Records a crash if a server whose registration has ended doesn't answer.

    The server may be alive unless it lost requests and has answered none since.
    """
    with forwarder.lock:
        state = forwarder.server_states.get(server.id, placement.ServerState())
        unresponsive = any(
            _is_unresponsive(state, loss) and
            loss.lost_at > forwarder.clock.now() - LOSS_RETENTION_MS
            for loss in forwarder.lost_requests.get(server.id, []))
    if unresponsive and not _is_leaving(forwarder, server, 0.0):
        _record_server_crash(forwarder, server, 'unlisted')


def _report_lost_requests(forwarder: requests.Forwarder, server: str) -> None:
    """Records the requests lost on a crashed server as suspects."""
    table, now = forwarder.suspects, forwarder.clock.now()
    with forwarder.lock:
        losses = forwarder.lost_requests.pop(server, [])
    recent = [loss for loss in losses if loss.lost_at > now - LOSS_RETENTION_MS]
    for loss in recent:
        quarantine.report_crash(table, loss.fingerprint, loss.service, server,
                                loss.lost_at)
    if recent:
        forwarder.logger.info('requests_suspected',
                              server=server,
                              count=len(recent),
                              fingerprints=[
                                  loss.fingerprint.hex()
                                  for loss in recent[:_MAX_LOGGED_FINGERPRINTS]
                              ])
        forwarder.report_now.set()
    for fingerprint in {loss.fingerprint for loss in recent}:
        _clear_by_clean_run(forwarder, fingerprint)
        _log_crash_count(forwarder, fingerprint)


def _log_crash_count(forwarder: requests.Forwarder, fingerprint: bytes) -> None:
    """Logs how the crashes of a request with more than one are counted."""
    suspect = forwarder.suspects.suspects.get(fingerprint)
    if suspect is None or len(suspect.crashes) < 2:
        return
    found = list(suspect.crashes)
    forwarder.logger.info('suspect_counted',
                          fingerprint=fingerprint.hex(),
                          crashes=len(found),
                          independent=crashes.count_independent(
                              found, suspect.policy),
                          span_ms=round(found[-1].at - found[0].at),
                          blocked=bool(suspect.blocked_until))


def merge(forwarder: requests.Forwarder,
          evidence: Iterable[quarantine.Evidence], at: float) -> None:
    """Merges evidence from another entry.

    Args:
      forwarder: State of the entry.
      evidence: Evidence from the other entry.
      at: When the ages of the evidence were measured, ms.
    """
    evidence = list(evidence)
    quarantine.merge(forwarder.suspects, evidence, at)
    for server in {item.server for item in evidence if not item.fingerprint}:
        # The evidence may also be that the server is alive.
        if (server in forwarder.lost_requests and
                quarantine.has_crashed(forwarder.suspects, server)):
            _report_lost_requests(forwarder, server)
    for fingerprint in {item.fingerprint for item in evidence if item.crashes}:
        _clear_by_clean_run(forwarder, fingerprint)


def step(forwarder: requests.Forwarder) -> None:
    """Removes expired state and logs newly blocked and unblocked requests."""
    table, now = forwarder.suspects, forwarder.clock.now()
    quarantine.step(table, now)
    causes.update_blocks(table)
    with forwarder.lock:
        for server, losses in list(forwarder.lost_requests.items()):
            if losses[-1].lost_at <= now - LOSS_RETENTION_MS:
                del forwarder.lost_requests[server]
        for name, (_, at) in list(forwarder.refusals.items()):
            if at <= now - LOSS_RETENTION_MS:
                del forwarder.refusals[name]
    blocked = quarantine.list_blocked(table, now)
    for fingerprint in blocked.keys() - forwarder.logged_blocked:
        forwarder.logger.warning(
            'request_quarantined',
            fingerprint=fingerprint.hex(),
            service=blocked[fingerprint].service,
            servers=[crash.server for crash in blocked[fingerprint].crashes],
            left_ms=round(blocked[fingerprint].blocked_until - now))
    for fingerprint in forwarder.logged_blocked - blocked.keys():
        forwarder.logger.warning('request_released',
                                 fingerprint=fingerprint.hex())
    forwarder.logged_blocked = frozenset(blocked)
