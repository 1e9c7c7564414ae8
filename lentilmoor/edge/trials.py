"""Trials: single runs of requests that may crash their servers.

A request that was in flight at the crashes of several servers either crashed
them or was lost with them. The crashes alone may not tell these apart, so such
a suspect runs as a trial: one run at a time in the whole fleet, the next one
only when the outcome of the last is known and late enough for its crash to
count as independent. A trial reaches one server, once. A clean trial clears the
request; each crash adds one to the independent crashes that block it. Once all
entries know of the suspect, at most `BLOCK_POLICY.threshold` - 1 trials can
therefore crash a server before it is blocked, however its copies arrive, and
one fewer if the request is the only known cause of the first crashes. Trials
that servers reject or don't answer prove nothing, so they are counted too:
`BLOCK_POLICY.max_trials` without a clean run block the request. A trial that
has reached no server counts for nothing.

The first hub grants the trials. A hub that has just become the first one waits
until it knows the trials that its predecessor granted. While no hub can be
reached, suspects are refused as not run.
"""

import math
import uuid

from lentilmoor import crashes
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import learning
from lentilmoor.edge import ports
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import trialtables

# Maximum time for which a new first hub grants nothing. It waits until each
# entry that runs a trial has reported that, if that takes less time.
HANDOVER_MS = 3_000.0
# Pause after the first trial; each further one doubles it. What has rejected a
# trial, such as a server that does not hold the key yet, changes meanwhile.
PAUSE_MS = 500.0
# Retry-After if a trial is in progress, or the hub can't be reached.
RETRY_AFTER_MS = 120.0

_Reason = outcomes.Reason


def set_issuer(forwarder: requests.Forwarder, issuer: ports.Peer | None,
               is_self: bool) -> None:
    """Sets the entry that grants trials.

    Args:
      forwarder: State of this entry.
      issuer: The first hub; None if there is no hub.
      is_self: Whether it is this entry.
    """
    table = forwarder.trials
    with table.lock:
        table.issuer = issuer
        if not is_self:
            table.issuing_since = None
            table.granted.clear()
        elif table.issuing_since is None:
            table.issuing_since = forwarder.clock.now()


def begin(forwarder: requests.Forwarder,
          run: requests.Run) -> outcomes.NotRun | None:
    """Begins the trial of a suspect.

    Args:
      forwarder: State of this entry.
      run: The request; its trial is set if one is granted.

    Returns:
      None if the request may be sent; otherwise its refusal.
    """
    now = forwarder.clock.now()
    fingerprint = suspects.find_fingerprint(run)
    issuer = forwarder.trials.issuer
    if issuer is None:
        return _make_refusal('no hub grants its trial', RETRY_AFTER_MS)
    left_ms = max(0.0, run.deadline_at - now)
    message = reports.TrialRequest(
        uuid.uuid4().hex[:16], fingerprint, left_ms, False,
        quarantine.list_evidence(forwarder.suspects, fingerprint, now))
    reply = _call_issuer(forwarder, issuer, message)
    if reply is None:
        return _make_refusal('the hub that grants its trial does not reply',
                             RETRY_AFTER_MS)
    suspects.merge(forwarder, reply.evidence, now)
    if not reply.granted:
        return _make_refusal('its trial was not granted', reply.wait_ms)
    if suspects.check_fingerprint(forwarder,
                                  fingerprint) is quarantine.Verdict.CLEAR:
        return None
    run.trial = trialtables.HeldTrial(message.trial, fingerprint, issuer,
                                      _find_end(now, left_ms))
    with forwarder.trials.lock:
        forwarder.trials.held[message.trial] = run.trial
    forwarder.logger.warning('suspect_tried',
                             request=run.request.fields.request_id,
                             fingerprint=fingerprint.hex(),
                             trial=message.trial)
    return None


def _make_refusal(detail: str, wait_ms: float) -> outcomes.NotRun:
    return outcomes.NotRun(
        _Reason.QUARANTINED,
        f'this request may have crashed the servers that ran it; {detail}',
        round(wait_ms))


def _find_end(now: float, left_ms: float) -> float:
    """Returns when the outcome of a trial is known at the latest, ms."""
    return now + left_ms + suspects.LOSS_RETENTION_MS


def finish(forwarder: requests.Forwarder, run: requests.Run) -> None:
    """Notes that a request on trial is no longer in flight.

    The report thread tells the hub, as soon as the outcome is known.
    """
    if run.trial is not None:
        run.trial.running = False
        forwarder.report_now.set()


def step(forwarder: requests.Forwarder) -> None:
    """Reports the trials whose outcomes are known, and drops expired state."""
    table, now = forwarder.trials, forwarder.clock.now()
    with table.lock:
        held = list(table.held.values())
        for fingerprint, tried_at in list(table.last_block_trials_at.items()):
            if now >= tried_at + crashes.BLOCK_MS:
                del table.last_block_trials_at[fingerprint]
        for fingerprint, granted in list(table.granted.items()):
            if now >= granted.ends_at:
                del table.granted[fingerprint]
                # Its entry may have ended, or lost its path to this one.
                quarantine.report_trial(forwarder.suspects, fingerprint,
                                        granted.trial, now)
    for trial in held:
        if now >= trial.ends_at or _report_end(forwarder, trial, now):
            with table.lock:
                table.held.pop(trial.trial, None)


def _report_end(forwarder: requests.Forwarder, trial: trialtables.HeldTrial,
                now: float) -> bool:
    """Reports the end of a trial; returns whether the hub knows it."""
    if trial.running or suspects.is_undecided(forwarder, trial.fingerprint):
        return False
    message = reports.TrialRequest(
        trial.trial, trial.fingerprint, 0.0, True,
        quarantine.list_evidence(forwarder.suspects, trial.fingerprint, now))
    return _call_issuer(forwarder, trial.issuer, message) is not None


def _call_issuer(forwarder: requests.Forwarder, issuer: ports.Peer,
                 message: reports.TrialRequest) -> reports.TrialReply | None:
    if issuer.address == forwarder.platform.settings.control:
        return handle_request(forwarder, message)
    return forwarder.trials.send_request(issuer.address, message)


def handle_request(forwarder: requests.Forwarder,
                   message: reports.TrialRequest) -> reports.TrialReply:
    """Grants or refuses a trial, or records its end."""
    now = forwarder.clock.now()
    suspects.merge(forwarder, message.evidence, now)
    with forwarder.trials.lock:
        wait_ms = 0.0
        if message.ended:
            _record_end(forwarder.trials, message)
        else:
            wait_ms = _grant(forwarder, message, now)
    return reports.TrialReply(
        not wait_ms, min(wait_ms, suspects.RETRY_AFTER_MS),
        quarantine.list_evidence(forwarder.suspects, message.fingerprint, now))


def _record_end(table: trialtables.TrialTable,
                message: reports.TrialRequest) -> None:
    granted = table.granted.get(message.fingerprint)
    if granted is not None and granted.trial == message.trial:
        del table.granted[message.fingerprint]


def _grant(forwarder: requests.Forwarder, message: reports.TrialRequest,
           now: float) -> float:
    """Grants a trial; returns the time to wait if it can't be granted, ms."""
    table, fingerprint = forwarder.trials, message.fingerprint
    verdict = suspects.check_fingerprint(forwarder, fingerprint)
    if verdict is quarantine.Verdict.CLEAR:
        return 0.0
    suspect = forwarder.suspects.suspects[fingerprint]
    tried_at = table.last_block_trials_at.get(fingerprint, -math.inf)
    if verdict is quarantine.Verdict.BLOCKED or (suspect.blocked_until and now
                                                 < tried_at + crashes.BLOCK_MS):
        return suspects.RETRY_AFTER_MS
    granted = table.granted.get(fingerprint)
    if (table.issuing_since is None or not learning.is_recent(forwarder) or
            granted is not None and now < granted.ends_at):
        return RETRY_AFTER_MS
    last_crash_at = max(crash.at for crash in suspect.crashes)
    handover_ms = min(HANDOVER_MS, forwarder.learning.max_age_ms)
    may_grant_at = max(table.issuing_since + handover_ms,
                       last_crash_at + suspect.policy.common_cause_window_ms,
                       _find_pause_end(suspect))
    if now < may_grant_at:
        return may_grant_at - now
    if suspect.blocked_until:
        table.last_block_trials_at[fingerprint] = now
    table.granted[fingerprint] = trialtables.GrantedTrial(
        message.trial, _find_end(now, message.left_ms))
    return 0.0


def _find_pause_end(suspect: crashes.Suspect) -> float:
    """Returns when the pause after the last trial of a suspect ends, ms."""
    if not suspect.trials:
        return -math.inf
    pause_ms = PAUSE_MS * 2**(len(suspect.trials) - 1)
    return max(suspect.trials.values()) + pause_ms
