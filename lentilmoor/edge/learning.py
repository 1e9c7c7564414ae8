"""Learns the suspects of the other entries after a start or a pause.

A process that starts has an empty table of suspects, and one that was frozen an
old one. What such a table lacks may be known to other entries, so a request
that isn't in it may still be a suspect. A table is recent while the entry
exchanges evidence with entries whose tables are recent: with the hubs by its
reports, otherwise with any entry, which it asks for all that it has. Requests
wait for that for a short time, and are refused as not run after it.

If no entry has a recent table, all of them have started, and what the store
keeps is all there is. Entries that don't reply may be frozen and know more:
until they have had time to reply, each request that can't be judged is sent to
one server at most.
"""

import concurrent.futures

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import learningtables
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects

# Number of report intervals without an exchange of evidence after which a table
# isn't recent, if that is longer than `learningtables.MAX_AGE_MS`. Other
# entries are asked after this part of that time.
MAX_AGE_INTERVALS = 3.0
REFRESH_FRACTION = 0.5
# Time after which requests that can't be judged are sent to one server each.
# Replies of entries that run arrive well within it.
PATIENCE_MS = 1_000.0
# Time after which entries that have not replied are taken to have ended.
UNANSWERED_MS = 5_000.0
# Entries that are asked at the same time.
ASKED_AT_ONCE = 4
# Entries that are asked at most before the next check. In large fleets it is
# unlikely that none of so many has a recent table while others have.
MAX_ASKED = 16
# Interval between checks whether the table is recent, and the minimum interval
# while requests wait for it.
CHECK_INTERVAL_MS = 100.0
MIN_INTERVAL_MS = 25.0
# Retry-After of a request that can't be judged.
RETRY_AFTER_MS = 120

_Reason = outcomes.Reason
# Failures of calls to an entry whose process has ended.
_ENDED = (_Reason.CONNECT_FAILED, _Reason.CONNECTION_LOST)


def find_max_age(interval_ms: float) -> float:
    """Returns the maximum age of a recent table, ms.

    Args:
      interval_ms: Interval between two reports of an entry, ms.
    """
    return max(learningtables.MAX_AGE_MS, MAX_AGE_INTERVALS * interval_ms)


def is_recent(forwarder: requests.Forwarder) -> bool:
    """Returns whether this entry's table of suspects is recent."""
    return find_table_age(forwarder) <= forwarder.learning.max_age_ms


def find_table_age(forwarder: requests.Forwarder) -> float:
    """Returns the age of this entry's table of suspects, ms."""
    return requests.find_age(forwarder, forwarder.learning.recent_at)


def note_complete(forwarder: requests.Forwarder, at: float) -> None:
    """Records that the table lacked nothing that others knew at a time.

    Args:
      forwarder: State of this entry.
      at: The time, ms.
    """
    table = forwarder.learning
    with table.changed:
        table.recent_at = max(table.recent_at, at)
        since, table.outdated_since = table.outdated_since, None
        table.unjudged.clear()
        table.changed.notify_all()
    if since is not None:
        forwarder.logger.info('suspects_learned',
                              after_ms=round(forwarder.clock.now() - since),
                              suspects=len(forwarder.suspects.suspects))


def refuse_unjudged(forwarder: requests.Forwarder, run: requests.Run,
                    wait_until: float) -> outcomes.NotRun | None:
    """Refuses a request that can't be judged.

    Args:
      forwarder: State of this entry.
      run: The request.
      wait_until: How long to wait for evidence, ms.

    Returns:
      Its refusal; None if the table is recent, or if the request may be sent to
      one server.
    """
    if (_wait_until_recent(forwarder, wait_until) or
            _may_send_unjudged(forwarder, run)):
        return None
    return outcomes.NotRun(_Reason.STARTING,
                           'the requests that crash servers are not known yet',
                           RETRY_AFTER_MS)


def _wait_until_recent(forwarder: requests.Forwarder,
                       wait_until: float) -> bool:
    """Waits for evidence; returns whether the table is recent."""
    table = forwarder.learning
    while not is_recent(forwarder):
        left_ms = wait_until - forwarder.clock.now()
        if left_ms <= 0:
            return False
        table.asked_now.set()
        with table.changed:
            if not is_recent(forwarder):
                table.changed.wait(
                    min(left_ms, CHECK_INTERVAL_MS) / clocks.MS_PER_S)
    return True


def _may_send_unjudged(forwarder: requests.Forwarder,
                       run: requests.Run) -> bool:
    """Returns whether a request is sent to one server without a judgement."""
    table, now = forwarder.learning, forwarder.clock.now()
    fingerprint = suspects.find_fingerprint(run)
    with table.changed:
        if table.outdated_since is None:
            table.outdated_since = now
        if (now < table.outdated_since + PATIENCE_MS or run.sent_to or
                fingerprint in table.unjudged):
            return False
        table.unjudged.add(fingerprint)
    return True


def may_send(forwarder: requests.Forwarder, run: requests.Run) -> bool:
    """Returns whether a request that was not refused may still be sent."""
    return (run.trial is not None or is_recent(forwarder) or
            suspects.find_fingerprint(run) in forwarder.learning.unjudged)


def note_clean_run(forwarder: requests.Forwarder, run: requests.Run) -> None:
    """Records that a request ran without crashing its server."""
    table = forwarder.learning
    if table.unjudged:
        with table.changed:
            table.unjudged.discard(suspects.find_fingerprint(run))


def learn_forever(forwarder: requests.Forwarder) -> None:
    """Keeps the table recent until the process ends."""
    table = forwarder.learning
    while True:
        clocks.pause(MIN_INTERVAL_MS)
        table.asked_now.wait(CHECK_INTERVAL_MS / clocks.MS_PER_S)
        table.asked_now.clear()
        step(forwarder)


def step(forwarder: requests.Forwarder) -> None:
    """Asks other entries for their evidence if the table is not recent."""
    table, age_ms = forwarder.learning, find_table_age(forwarder)
    # Without a configuration the other entries may not be known yet.
    if (forwarder.snapshot.configuration is None or
            age_ms <= REFRESH_FRACTION * table.max_age_ms):
        return
    with table.changed:
        if table.outdated_since is None and age_ms > table.max_age_ms:
            table.outdated_since = forwarder.clock.now()
    asked_at = forwarder.clock.now()
    if _ask_entries(forwarder, asked_at):
        note_complete(forwarder, asked_at)


def _ask_entries(forwarder: requests.Forwarder, asked_at: float) -> bool:
    """Merges the evidence of other entries.

    Returns:
      Whether nothing is missing: one of them has a recent table, or none that
      was asked has one and each of these has replied or has ended.
    """
    table, has_ended = forwarder.learning, True
    addresses = sorted(requests.list_other_entries(forwarder))
    forwarder.generator.shuffle(addresses)
    del addresses[MAX_ASKED:]
    # While the table is still recent, there is time to ask one by one.
    count = 1 if table.outdated_since is None else ASKED_AT_ONCE
    executor = concurrent.futures.ThreadPoolExecutor(count)
    try:
        for first in range(0, len(addresses), count):
            calls = [
                executor.submit(table.ask_entry, address)
                for address in addresses[first:first + count]
            ]
            for call in concurrent.futures.as_completed(calls):
                reply = call.result()
                if isinstance(reply, outcomes.Failed):
                    has_ended &= reply.reason in _ENDED
                    continue
                suspects.merge(forwarder, reply.evidence, asked_at)
                if reply.recent:
                    return True
    finally:
        # An entry that is frozen must not delay those that have replied.
        executor.shutdown(wait=False)
    since = table.outdated_since
    return since is not None and (has_ended or
                                  asked_at >= since + UNANSWERED_MS)


def handle_request(forwarder: requests.Forwarder) -> reports.SuspectsReply:
    """Returns all evidence that this entry has."""
    recent = is_recent(forwarder)
    evidence, _ = quarantine.list_changes(forwarder.suspects, 0,
                                          forwarder.clock.now(),
                                          quarantine.MAX_CHANGES)
    return reports.SuspectsReply(recent, evidence)
