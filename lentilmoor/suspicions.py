"""Suspicions: which servers to look at closely, and what to tell peers.

A server is suspected while some entry fails that others have not contradicted.
Then its probers ask it often, and entries tell each other what they see: who
fails tells the grantor and the probers, who was answered tells the grantor and
those who fail. Each false alarm makes the next slower, so that an overloaded
server is not asked all the time.
"""

from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import math

from lentilmoor import evidence

# Unanswered requests are told of and looked into after such a span, as some
# are just slow; a probe that failed or a refused connection at once.
_REQUEST_SPAN_MS = 100.0
# Least time between two messages on one server: failures, answers.
_FAILURE_PACE_MS = 25.0
_ANSWER_PACE_MS = 100.0
# Each false alarm lengthens the spans for this server by so much, for a while.
REFUSED_ALARM_MS = 10.0
SILENT_ALARM_MS = 40.0
_MOST_ALARMS = 10
_ALARM_LIFETIME_MS = 5_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """Evidence that others should have at once.

    All of it goes to the shard's grantor and the next candidates for that
    role; failures also go to the entries that probe the server.

    Attributes:
      item: The evidence.
      doubters: Entries that fail; an answer goes to them instead.
    """

    item: evidence.Evidence
    doubters: frozenset[str] = frozenset()


def is_isolated(table: evidence.LivenessTable, now: float) -> bool:
    """Returns whether this entry distrusts its own failures for now."""
    limits = table.thresholds
    limit = limits.isolated_alone_ms if table.alone else limits.isolated_ms
    return table.isolated_since >= 0 and now - table.isolated_since < limit


def is_suspected(table: evidence.LivenessTable, view: evidence.ServerView,
                 now: float) -> bool:
    """Returns whether somebody fails that nobody has contradicted."""
    return any(
        _is_suspicion(table, view, source, opinion, now)
        for _, source, opinion in list_trusted(table, view, now))


def _is_suspicion(table: evidence.LivenessTable, view: evidence.ServerView,
                  source: evidence.Source, opinion: evidence.Opinion,
                  now: float) -> bool:
    """Returns whether an opinion is reason enough to look closer.

    An entry whose failures others have long contradicted by their answers is
    cut off itself; it is no reason to go on probing.
    """
    limits = table.thresholds
    if not _is_serious(view, source, opinion):
        return False
    if now - opinion.failed_at > limits.fresh_ms:
        return False
    if view.answered_at - opinion.failing_since > limits.isolated_ms:
        return False
    return opinion.failed_at > view.answered_at


def _is_serious(view: evidence.ServerView, source: evidence.Source,
                opinion: evidence.Opinion) -> bool:
    """Returns whether failures are more than a slow answer or two."""
    span = span_of(opinion, view.answered_at)
    if opinion.refused:
        return span >= view.alarms * REFUSED_ALARM_MS
    least_ms = view.alarms * SILENT_ALARM_MS
    if source is evidence.Source.PROBE:
        return opinion.failures > 0 and span >= least_ms
    return opinion.failures > 1 and span >= max(least_ms, _REQUEST_SPAN_MS)


def note_suspicion(table: evidence.LivenessTable, view: evidence.ServerView,
                   now: float) -> bool:
    """Returns whether a server is suspected now, and counts false alarms."""
    suspected = is_suspected(table, view, now)
    if suspected and view.suspected_since == math.inf:
        if now - view.cleared_at > _ALARM_LIFETIME_MS:
            view.alarms = 0
        view.suspected_since = now
    elif not suspected and view.suspected_since < math.inf:
        view.suspected_since = math.inf
        view.cleared_at = now
        view.alarms = min(view.alarms + 1, _MOST_ALARMS)
    return suspected


def list_trusted(
        table: evidence.LivenessTable, view: evidence.ServerView,
        now: float) -> Iterator[tuple[str, evidence.Source, evidence.Opinion]]:
    """Yields opinions, without this entry's own while it is isolated."""
    isolated = is_isolated(table, now)
    for (entry, source), opinion in view.opinions.items():
        if entry != table.me or not isolated:
            yield entry, source, opinion


def tell(table: evidence.LivenessTable, view: evidence.ServerView,
         key: evidence.ServerKey, now: float) -> Iterator[Tell]:
    """Yields this entry's opinions on a server that somebody suspects."""
    failing = {
        entry: opinion
        for (entry, _), opinion in view.opinions.items()
        if opinion.failures
    }
    doubters = frozenset(failing) - {table.me}
    for source in evidence.Source:
        opinion = view.opinions.get((table.me, source))
        if opinion is None:
            continue
        if opinion.failures:
            due = _is_failure_due(table, view, source, opinion, now)
        else:
            due = _is_answer_due(table, view, opinion, failing.values(), now)
        if due and table.tells >= 1:
            table.tells -= 1
            opinion.told_at = now
            opinion.told = opinion.failures
            yield Tell(_make_evidence(key, source, opinion, now),
                       frozenset() if opinion.failures else doubters)


def _is_failure_due(table: evidence.LivenessTable, view: evidence.ServerView,
                    source: evidence.Source, opinion: evidence.Opinion,
                    now: float) -> bool:
    """Returns whether peers should hear of this entry's failures now."""
    if is_isolated(table, now) or not _is_serious(view, source, opinion):
        return False
    span = opinion.failed_at - opinion.failing_since
    longest = table.thresholds.fresh_ms / 2
    shortest = _FAILURE_PACE_MS * (1 + view.alarms)
    pace = min(max(span / 4, shortest), longest)
    return opinion.failed_at > opinion.told_at and now - opinion.told_at >= pace


def _is_answer_due(table: evidence.LivenessTable, view: evidence.ServerView,
                   opinion: evidence.Opinion,
                   failing: Collection[evidence.Opinion], now: float) -> bool:
    """Returns whether peers should hear of this entry's answer now.

    Args:
      table: The table.
      view: The server.
      opinion: This entry's own.
      failing: Those of entries that fail and have said so.
      now: ms.
    """
    pace = _ANSWER_PACE_MS + view.alarms * SILENT_ALARM_MS
    if now - opinion.told_at < pace:
        return False
    if opinion.told or not failing:
        return opinion.told > 0
    oldest = min(item.failing_since for item in failing)
    newest = max(item.failed_at for item in failing)
    if opinion.answered_at <= oldest or opinion.told_at >= newest:
        return False
    # Once somebody else has said so, nobody need repeat it.
    return not any(item.answered_at > newest
                   for (entry, _), item in view.opinions.items()
                   if entry != table.me)


def _make_evidence(key: evidence.ServerKey, source: evidence.Source,
                   opinion: evidence.Opinion, now: float) -> evidence.Evidence:
    if not opinion.failures:
        return evidence.Evidence(*key, source, 0, 0, now - opinion.answered_at)
    return evidence.Evidence(*key, source, opinion.failures, opinion.refused,
                             now - opinion.failed_at,
                             opinion.failed_at - opinion.failing_since)


def span_of(opinion: evidence.Opinion, answered_at: float) -> float:
    """Returns for how long an entry has failed with no answer to anybody."""
    return opinion.failed_at - max(opinion.failing_since, answered_at)
