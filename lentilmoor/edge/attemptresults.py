"""Evaluates the result of an attempt to send a request to a server.

It decides whether the request ends or another attempt may follow, and updates
the observations of the server.
"""

from lentilmoor import outcomes
from lentilmoor.edge import exchange
from lentilmoor.edge import learning
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reachability
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import tables

_MIN_SERVER_ERROR = 500
_SUCCESS_STATUSES = range(200, 300)

_Reason = outcomes.Reason


def handle_loss(forwarder: requests.Forwarder, run: requests.Run,
                choice: placement.Choice, state: placement.ServerState,
                lost: outcomes.Unknown,
                took_ms: float) -> requests.Outcome | None:
    """Records an attempt without a response.

    Returns:
      The outcome of the request, or None if another attempt may follow.
    """
    now, server = forwarder.clock.now(), choice.server
    # Without an answer of any server, the entry may have lost its paths.
    if (lost.reason is _Reason.TIMED_OUT and
            reachability.has_answered_since(forwarder, run.sent_at)):
        min_work_ms = placement.estimate_min_work(took_ms, choice)
        if min_work_ms:
            placement.record_work(state, min_work_ms)
            _record_sample(forwarder, run, server, min_work_ms)
    with forwarder.lock:
        placement.record_failure(state, now, False)
    run.excluded_servers.add(server.id)
    run.may_have_run = True
    forwarder.logger.info('try_lost',
                          request=run.request.fields.request_id,
                          server=server.id,
                          reason=lost.reason.value,
                          detail=lost.detail,
                          fingerprint=suspects.find_fingerprint(run).hex(),
                          age_ms=round(now - run.request.arrived_at))
    if not run.idempotent or lost.reason is _Reason.TIMED_OUT:
        return lost
    return None


def handle_answer(forwarder: requests.Forwarder, run: requests.Run,
                  server: tables.Server, state: placement.ServerState,
                  reply: exchange.ServerAnswer,
                  took_ms: float) -> requests.Outcome | None:
    """Records a server's response.

    Returns:
      The outcome of the request, or None if another attempt may follow.
    """
    now = forwarder.clock.now()
    status, fields = reply.answer.status, reply.fields
    state.answered_at = now
    ran = fields.has_proof and not fields.not_run
    suspects.note_answer(forwarder, run, server, reply.connection_opened_at,
                         ran)
    if ran:
        learning.note_clean_run(forwarder, run)
    ratelimits.note_answer(forwarder.rate_limits, server.id, fields.rate_limit,
                           now, forwarder.logger)
    _record_availability(forwarder, server, state, fields, now)
    if fields.not_run:
        with forwarder.lock:
            placement.record_failure(state, now, status == 503)
        run.excluded_servers.add(server.id)
        if run.service.keyed:
            forwarder.report_now.set()
        return None
    succeeded = status < _MIN_SERVER_ERROR
    if status in _SUCCESS_STATUSES and not fields.has_proof:
        succeeded = False
    with forwarder.lock:
        if succeeded:
            placement.record_answer(state, took_ms, fields.load, now)
        else:
            placement.record_failure(state, now, False)
    if succeeded:
        _record_sample(forwarder, run, server,
                       placement.estimate_work(took_ms, fields.load))
    if status in _SUCCESS_STATUSES and not fields.has_proof:
        run.may_have_run = True
        lost = outcomes.Unknown(
            _Reason.ANSWER_CUT, 'the response carries no proof from the server')
        return None if run.idempotent else lost
    if not succeeded and run.idempotent:
        run.excluded_servers.add(server.id)
        run.may_have_run = True
        run.last_failure = reply.answer
        return None
    if status in (408, 421, 429, 503) and not run.idempotent:
        # Callers interpret these statuses as a guarantee that the request has
        # not run.
        return outcomes.Unknown(_Reason.CONNECTION_LOST,
                                f'the server responded with status {status}')
    return reply.answer


def _record_availability(forwarder: requests.Forwarder, server: tables.Server,
                         state: placement.ServerState,
                         fields: ports.AnswerHeaders, now: float) -> None:
    """Records and logs that a server is draining or requests a pause."""
    if not (fields.draining or fields.retry_after_ms):
        return
    draining_started = pause_started = False
    with forwarder.lock:
        if fields.draining:
            draining_started = placement.record_draining(state, now)
        if fields.retry_after_ms:
            pause_started = placement.record_pause(state, fields.retry_after_ms,
                                                   now)
    if draining_started:
        forwarder.logger.info('server_draining', server=server.id)
    if pause_started:
        forwarder.logger.info('server_pause_started',
                              server=server.id,
                              pause_ms=round(fields.retry_after_ms))


def _record_sample(forwarder: requests.Forwarder, run: requests.Run,
                   server: tables.Server, work_ms: float) -> None:
    if run.service.keyed:
        forwarder.samples.append(
            requests.Sample(run.service.name, run.request.fields.key, server.id,
                            work_ms))


def find_outcome(run: requests.Run,
                 refusal: outcomes.NotRun) -> requests.Outcome:
    """Returns the outcome of a request for which no attempt is left.

    A refusal states that the request has not run. If it may have run, the
    outcome is a server's error response if there was one, otherwise unknown.
    """
    if refusal.reason is _Reason.CANCELLED:
        return exchange.CallerDisconnected(refusal.detail)
    if run.last_failure is not None:
        return run.last_failure
    if run.may_have_run and not run.idempotent:
        return outcomes.Unknown(refusal.reason, refusal.detail)
    if run.may_have_run:
        return outcomes.Unknown(_Reason.CONNECTION_LOST, refusal.detail)
    return refusal
