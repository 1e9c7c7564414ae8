"""Requests that crash the servers that run them.

A request without an answer is held against its server until one of three things
shows that the server has crashed: it refuses connections, another process is in
its place, or its registration has run out with no answer since. `quarantine`
tells what follows from the crashes. Entries exchange them with their reports,
and what is blocked is kept in the store too.
"""

from collections.abc import Iterable
import dataclasses
import math
import threading

from lentilmoor import connections
from lentilmoor import crashes
from lentilmoor import fingerprints
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import exchange
from lentilmoor.edge import placement
from lentilmoor.edge import requests
from lentilmoor.edge import tables

# Three crashes, as two in a row happen to sound requests when servers are lost.
# Servers that are lost together count once.
BLOCK_POLICY = crashes.BlockPolicy(threshold=3,
                                   duplicate_window_ms=math.inf,
                                   common_cause_window_ms=500.0)
# A request that crashed so many servers is sent to one server at a time.
_LAST_REPEAT = 2
# A request without an answer says nothing of a crash that is learned of later.
_LOSS_MS = 10_000.0
_MOST_LOSSES = 64
# A server is asked for a connection after a loss, for so long and so often.
_CHECK_MS = 100.0
_CHECK_AGAIN_MS = 250.0
# Answers that were under way when a server crashed come within this time.
_LAST_ANSWERS_MS = 250.0
# A blocked request may crash one more server after this time, where crashes
# that it had no part in speak for another cause.
TRIAL_DELAY_MS = 5_000.0
# Time for a caller of a blocked request to come back.
RETRY_AFTER_MS = 30_000
# When a crash was that another entry told of is known as well as this.
_TOLD_MS = 1_000.0
# Requests that one line names.
_MOST_NAMED = 20

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class LostRequest:
    """A request that a server has not answered.

    Attributes:
      fingerprint: Of the request.
      service: The server's service.
      sent_at: When it was sent, ms.
      lost_at: When the connection was lost or the request timed out, ms.
    """

    fingerprint: bytes
    service: str
    sent_at: float
    lost_at: float


def make_quarantine() -> quarantine.Quarantine:
    """Returns an empty quarantine for servers with an id for each start."""
    return quarantine.Quarantine(policy=BLOCK_POLICY)


def make_fingerprint(request: requests.Request) -> bytes:
    """Returns what tells a request from others, whoever sends it again."""
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


def check(forwarder: requests.Forwarder,
          request: requests.Request) -> quarantine.Verdict:
    """Returns whether a request may be sent.

    Returns:
      SUSPECT: it is blocked, but may be tried once (see `begin_trial`).
    """
    table = forwarder.suspects
    if not table.suspects:
        return quarantine.Verdict.CLEAR
    fingerprint, now = make_fingerprint(request), forwarder.clock.now()
    suspect = table.suspects.get(fingerprint)
    if suspect is None or not suspect.blocked_until:
        return quarantine.Verdict.CLEAR
    due = (now >= suspect.blocked_until or
           _is_doubtful(table, fingerprint, suspect, now))
    if due and _may_try(forwarder, fingerprint, now):
        return quarantine.Verdict.SUSPECT
    return quarantine.Verdict.BLOCKED


def _is_doubtful(table: quarantine.Quarantine, fingerprint: bytes,
                 suspect: crashes.Suspect, now: float) -> bool:
    """Returns whether a first block may have another cause."""
    last_at = max((crash.at for crash in suspect.crashes), default=now)
    is_first = suspect.blocked_until <= last_at + crashes.BLOCK_MS
    return (is_first and now >= last_at + TRIAL_DELAY_MS and
            quarantine.has_concurrent_crashes(table, fingerprint))


def _may_try(forwarder: requests.Forwarder, fingerprint: bytes,
             now: float) -> bool:
    """Returns whether this entry may try a blocked request.

    One entry alone tries it, and not again before the next block would end.
    """
    tried_at = forwarder.last_trials_at.get(fingerprint, -math.inf)
    return forwarder.runs_trials and now >= tried_at + crashes.BLOCK_MS


def begin_trial(forwarder: requests.Forwarder,
                request: requests.Request) -> bool:
    """Returns whether a blocked request may be tried, now and only by this."""
    fingerprint, now = make_fingerprint(request), forwarder.clock.now()
    with forwarder.lock:
        if not _may_try(forwarder, fingerprint, now):
            return False
        forwarder.last_trials_at[fingerprint] = now
    forwarder.logger.warning('suspect_tried',
                             request=request.fields.request_id,
                             fingerprint=fingerprint.hex())
    return True


def make_refusal() -> outcomes.NotRun:
    """Returns the refusal of a blocked request."""
    return outcomes.NotRun(_Reason.QUARANTINED,
                           'this request crashes its servers', RETRY_AFTER_MS)


def may_retry(forwarder: requests.Forwarder, run: requests.Run) -> bool:
    """Returns whether a request that was lost may go to another server."""
    if run.is_trial:
        return False
    suspect = forwarder.suspects.suspects.get(make_fingerprint(run.request))
    return suspect is None or len(suspect.crashes) < _LAST_REPEAT


def note_lost_request(forwarder: requests.Forwarder, run: requests.Run,
                      server: tables.Server, pool: connections.Pool,
                      timed_out: bool) -> None:
    """Takes in a request that a server did not answer.

    Asks the server for a connection, unless it has answered others meanwhile.
    Servers that leave may end with requests on them.

    Args:
      forwarder: What is known.
      run: The request.
      server: Who did not answer.
      pool: Connections to it.
      timed_out: Whether the caller's time is over; the server is asked by
        another thread then.
    """
    now = forwarder.clock.now()
    if _is_leaving(forwarder, server, run.sent_at):
        return
    loss = LostRequest(make_fingerprint(run.request), server.service,
                       run.sent_at, now)
    with forwarder.lock:
        state = forwarder.server_states.setdefault(server.id,
                                                   placement.ServerState())
        losses = forwarder.lost_requests.setdefault(server.id, [])
        losses.append(loss)
        del losses[:-_MOST_LOSSES]
        asks = (_is_silent(state, loss) and
                now >= state.checked_at + _CHECK_AGAIN_MS)
        if asks:
            state.checked_at = now
    if server.id in forwarder.suspects.server_crashes:
        _blame(forwarder, server.id)
    elif _find_known(forwarder, server).unlisted_at:
        note_unlisted(forwarder, server)
    elif asks and timed_out:
        threading.Thread(target=_check_server,
                         args=(forwarder, server, pool),
                         daemon=True).start()
    elif asks:
        _check_server(forwarder, server, pool)


def _check_server(forwarder: requests.Forwarder, server: tables.Server,
                  pool: connections.Pool) -> None:
    """Takes in that a server has crashed if it refuses connections."""
    if exchange.try_connect(pool, _CHECK_MS) is _Reason.CONNECT_FAILED:
        note_connection_refused(forwarder, server)


def _find_known(forwarder: requests.Forwarder,
                server: tables.Server) -> tables.Server:
    """Returns a server as it is known now."""
    servers = forwarder.snapshot.servers.get(server.service, {})
    return servers.get(server.id, server)


def _is_leaving(forwarder: requests.Forwarder, server: tables.Server,
                now: float) -> bool:
    """Returns whether a server drains, or was unlisted at a time."""
    known = _find_known(forwarder, server)
    state = forwarder.server_states.get(server.id)
    return (known.draining or 0.0 < known.unlisted_at <= now or
            state is not None and state.draining_at is not None)


def _is_silent(state: placement.ServerState, loss: LostRequest) -> bool:
    """Returns whether a server has answered nothing since a request."""
    return state.answered_at <= loss.sent_at + _LAST_ANSWERS_MS


def note_answer(forwarder: requests.Forwarder, run: requests.Run,
                server: tables.Server, opened_at: float, ran: bool) -> None:
    """Takes in an answer.

    Args:
      forwarder: What is known.
      run: The request.
      server: Who answered.
      opened_at: When the connection was opened, ms. What was lost between then
        and the sending of this request has not crashed the server, as the same
        process has answered.
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
    if not table.suspects:
        return
    quarantine.report_alive(table, server.id, opened_at, now,
                            run.sent_at - _TOLD_MS)
    if ran:
        quarantine.report_clean_run(table, make_fingerprint(run.request),
                                    server.id, now)


def note_connection_refused(forwarder: requests.Forwarder,
                            server: tables.Server) -> None:
    """Takes in that a server refuses connections."""
    if not _is_leaving(forwarder, server, forwarder.clock.now()):
        _note_crash(forwarder, server, 'refused')


def note_process_replaced(forwarder: requests.Forwarder,
                          server: tables.Server) -> None:
    """Takes in that another process has taken a server's place."""
    if not _is_leaving(forwarder, server, forwarder.clock.now()):
        _note_crash(forwarder, server, 'replaced')


def _note_crash(forwarder: requests.Forwarder, server: tables.Server,
                proof: str) -> None:
    """Takes in that a server has crashed, and what was lost on it."""
    if server.id not in forwarder.suspects.server_crashes:
        quarantine.report_server_crash(forwarder.suspects, server.service,
                                       server.id, forwarder.clock.now())
        forwarder.logger.info('server_crashed', server=server.id, proof=proof)
    _blame(forwarder, server.id)


def note_unlisted(forwarder: requests.Forwarder, server: tables.Server) -> None:
    """Takes in that a server's registration has ended.

    It may be alive, unless requests were lost and none was answered since.
    """
    with forwarder.lock:
        state = forwarder.server_states.get(server.id, placement.ServerState())
        silent = any(
            _is_silent(state, loss) and loss.lost_at > forwarder.clock.now() -
            _LOSS_MS for loss in forwarder.lost_requests.get(server.id, []))
    if silent and not _is_leaving(forwarder, server, 0.0):
        _note_crash(forwarder, server, 'unlisted')


def _blame(forwarder: requests.Forwarder, server: str) -> None:
    """Reports the requests that were lost on a server that has crashed."""
    table, now = forwarder.suspects, forwarder.clock.now()
    with forwarder.lock:
        losses = forwarder.lost_requests.pop(server, [])
    recent = [loss for loss in losses if loss.lost_at > now - _LOSS_MS]
    for loss in recent:
        quarantine.report_crash(table, loss.fingerprint, loss.service, server,
                                loss.lost_at)
    if recent:
        forwarder.logger.info(
            'requests_suspected',
            server=server,
            count=len(recent),
            fingerprints=[
                loss.fingerprint.hex() for loss in recent[:_MOST_NAMED]
            ])
        forwarder.report_now.set()


def merge(forwarder: requests.Forwarder,
          evidence: Iterable[quarantine.Evidence], at: float) -> None:
    """Takes in what another entry knows.

    Args:
      forwarder: What is known.
      evidence: What the other knows.
      at: When its ages were measured, ms.
    """
    evidence = list(evidence)
    quarantine.merge(forwarder.suspects, evidence, at)
    for item in evidence:
        if not item.fingerprint and item.server in forwarder.lost_requests:
            _blame(forwarder, item.server)


def step(forwarder: requests.Forwarder) -> None:
    """Drops what is old, and logs which requests are blocked or no longer."""
    table, now = forwarder.suspects, forwarder.clock.now()
    quarantine.step(table, now)
    with forwarder.lock:
        for server, losses in list(forwarder.lost_requests.items()):
            if losses[-1].lost_at <= now - _LOSS_MS:
                del forwarder.lost_requests[server]
        for fingerprint, tried_at in list(forwarder.last_trials_at.items()):
            if now >= tried_at + crashes.BLOCK_MS:
                del forwarder.last_trials_at[fingerprint]
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
