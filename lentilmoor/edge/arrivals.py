"""Arrivals of suspects at servers.

A request that may crash its servers costs one of them with each arrival, so
each arrival has a log line, and counts whatever came of it.
"""

from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import exchange
from lentilmoor.edge import requests
from lentilmoor.edge import suspects


def note_sent(forwarder: requests.Forwarder, run: requests.Run,
              server: str) -> None:
    """Records and logs that a suspect is being sent to a server.

    Args:
      forwarder: State of this entry.
      run: The request.
      server: Id of the server.
    """
    crash_count = suspects.count_crashes(forwarder, run)
    if not crash_count and run.trial is None:
        return
    if run.trial is not None:
        quarantine.report_trial(forwarder.suspects,
                                suspects.find_fingerprint(run), run.trial.trial,
                                run.sent_at)
        forwarder.report_now.set()
    run.logs_result = True
    forwarder.logger.info('suspect_sent',
                          **_describe(run, server),
                          crashes=crash_count,
                          uptime_ms=round(
                              requests.find_age(forwarder,
                                                forwarder.started_at)))


def note_result(forwarder: requests.Forwarder, run: requests.Run, server: str,
                result: exchange.Result) -> None:
    """Logs the result of a request that was a suspect when it was sent."""
    if not run.logs_result:
        return
    run.logs_result = False
    forwarder.logger.info('suspect_result',
                          **_describe(run, server),
                          result=_name_result(result))


def _describe(run: requests.Run, server: str) -> dict[str, str]:
    """Returns the fields that the lines of an arrival have in common."""
    return {
        'request': run.request.fields.request_id,
        'fingerprint': suspects.find_fingerprint(run).hex(),
        'server': server,
        'trial': run.trial.trial if run.trial else ''
    }


def _name_result(result: exchange.Result) -> str:
    if isinstance(result, exchange.ServerAnswer):
        kind = 'not-run' if result.fields.not_run else 'answered'
        return f'{kind} {result.answer.status}'
    if isinstance(result, outcomes.Unknown):
        return f'lost {result.reason.value}'
    return 'caller-left'
