"""Which backend servers live: the evidence of many entries, weighed.

A server is held dead only when entries of two failure domains have failed for
long enough with no answer to anybody in between, so one entry that is cut off,
paused or misled condemns nobody. Any answer proves life, also a refusal, an
error page or a health report that says "ill". Every entry runs the same step;
only a shard's grantor acts on a lost server, others take verdicts as hints.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math

from lentilmoor import evidence
from lentilmoor import suspicions
from lentilmoor import tables

# The last answer may have come so much later than the first failure began.
_OVERLAP_MS = 100.0
# A hold before a server counts as back doubles with each loss, this often.
_MOST_DOUBLINGS = 8

Tell = suspicions.Tell

_Liveness = tables.Liveness


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The verdict on a server changed.

    Attributes:
      shard: Shard id.
      server: Server id.
      before: The verdict before.
      after: The verdict now.
      since: Begin of the evidence for a loss, ms; else the time of change.
    """

    shard: str
    server: str
    before: tables.Liveness
    after: tables.Liveness
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Quorum:
    """Who must agree on a loss or a return.

    Attributes:
      needed: How many domains, or entries.
      by_entry: Whether entries are counted, not domains.
      factor: By how much spans are lengthened.
    """

    needed: int
    by_entry: bool
    factor: float


def step(table: evidence.LivenessTable, instances: Mapping[str,
                                                           tables.Instance],
         now: float) -> list[Change | suspicions.Tell]:
    """Weighs all evidence; to be called at least every 50 ms.

    Args:
      table: The table; updated.
      instances: Entries by id; those heard from lately count as live.
      now: ms.

    Returns:
      Changed verdicts, and evidence that peers should have at once.
    """
    evidence.note_time(table, now)
    if not table.active:
        return []
    quorum = _find_quorum(table, instances, now)
    table.alone = quorum.by_entry
    _judge_self(table, now)
    actions: list[Change | suspicions.Tell] = []
    for key in sorted(table.active):
        view = table.servers[key]
        after = _judge(table, view, quorum, now)
        if after is not view.liveness:
            actions.append(_change(view, key, after, now))
        actions.extend(suspicions.tell(table, view, key, now))
        if _is_quiet(table, view, now):
            _retire(table, key)
    return actions


def is_cut_off(table: evidence.LivenessTable, key: evidence.ServerKey) -> bool:
    """Returns whether only this entry can't reach a server others reach.

    Requests for such a server are better handed to another entry.
    """
    view = table.servers.get(key)
    if view is None or key not in table.active:
        return False
    own = evidence.own_opinions(table, view)
    if any(opinion.answered_at >= view.answered_at for opinion in own):
        return False
    return any(opinion.failures >= table.thresholds.failures and
               view.answered_at > opinion.failing_since for opinion in own)


def is_suspected(table: evidence.LivenessTable, key: evidence.ServerKey,
                 now: float) -> bool:
    """Returns whether a server should be looked at closely, also if leaving."""
    if key not in table.active:
        return False
    return suspicions.is_suspected(table, table.servers[key], now)


def _judge_self(table: evidence.LivenessTable, now: float) -> None:
    """Notes whether most servers fail for this entry."""
    if len(table.active) < table.thresholds.failures:
        table.isolated_since = evidence.NEVER
        return
    oldest = now - table.thresholds.isolated_ms
    seen = failing = 0
    for view in table.servers.values():
        own = evidence.own_opinions(table, view)
        answered_at = max((item.answered_at for item in own),
                          default=evidence.NEVER)
        failed_at = max((item.failed_at for item in own if item.failures),
                        default=evidence.NEVER)
        seen += max(answered_at, failed_at) >= oldest
        failing += failed_at >= oldest and failed_at > answered_at
    if failing < table.thresholds.failures or 2 * failing <= seen:
        table.isolated_since = evidence.NEVER
    elif table.isolated_since < 0:
        table.isolated_since = now


def _find_quorum(table: evidence.LivenessTable,
                 instances: Mapping[str,
                                    tables.Instance], now: float) -> _Quorum:
    """Returns two domains, or fewer where fewer are live."""
    limits = table.thresholds
    oldest = now - limits.heard_ms
    heard = [(row.id, row.failure_domain)
             for row in instances.values()
             if row.heard_at and row.heard_at >= oldest]
    heard += [(peer, domain)
              for peer, (domain, at) in table.heard.items()
              if at >= oldest]
    entries = {table.me, *(entry for entry, _ in heard)}
    domains = {table.domain, *(domain for _, domain in heard)}
    if len(domains) > 1:
        return _Quorum(2, False, 1.0)
    if len(entries) > 1:
        return _Quorum(2, True, limits.alone_factor)
    return _Quorum(1, True, 2 * limits.alone_factor)


def _judge(table: evidence.LivenessTable, view: evidence.ServerView,
           quorum: _Quorum, now: float) -> tables.Liveness:
    """Returns the verdict on one server."""
    suspected = suspicions.note_suspicion(table, view, now)
    if view.liveness is _Liveness.DEAD:
        if not _is_back(table, view, quorum, now):
            return _Liveness.DEAD
    elif _is_lost(table, view, quorum, now):
        return _Liveness.DEAD
    if view.leaving:
        return _Liveness.LEAVING
    return _Liveness.SUSPECT if suspected else _Liveness.LIVE


def _is_lost(table: evidence.LivenessTable, view: evidence.ServerView,
             quorum: _Quorum, now: float) -> bool:
    if now - view.suspected_since >= table.thresholds.confirm_ms:
        if _do_agree(table, view, quorum, _weigh_silence, now):
            return True
    return _do_agree(table, view, quorum, _weigh_requests, now)


_Weigh = Callable[[
    evidence.Thresholds, evidence.ServerView, evidence.Source, evidence.Opinion
], float]


def _do_agree(table: evidence.LivenessTable, view: evidence.ServerView,
              quorum: _Quorum, weigh: _Weigh, now: float) -> bool:
    """Returns whether enough entries hold a server dead by one measure."""
    limits = table.thresholds
    first = False
    agreeing = set()
    since = math.inf
    for entry, source, opinion in suspicions.list_trusted(table, view, now):
        if now - opinion.failed_at > limits.fresh_ms:
            continue
        share = weigh(limits, view, source, opinion) / quorum.factor
        if share >= limits.second_share:
            first |= share >= 1.0
            agreeing.add(entry if quorum.by_entry else opinion.domain)
            since = min(since, opinion.failing_since)
    if not first or len(agreeing) < quorum.needed:
        return False
    view.lost_since = since
    return True


def _weigh_silence(limits: evidence.Thresholds, view: evidence.ServerView,
                   _: evidence.Source, opinion: evidence.Opinion) -> float:
    """Returns how strongly one opinion holds the server dead; 1 is enough."""
    if opinion.failures < limits.failures:
        return 0.0
    if view.answered_at - opinion.failing_since > _OVERLAP_MS:
        least_ms = limits.contradicted_ms
    elif opinion.refused >= limits.failures:
        least_ms = limits.refused_ms + view.alarms * suspicions.REFUSED_ALARM_MS
    else:
        least_ms = limits.silent_ms + view.alarms * suspicions.SILENT_ALARM_MS
    return suspicions.span_of(opinion, view.answered_at) / least_ms


def _weigh_requests(limits: evidence.Thresholds, view: evidence.ServerView,
                    source: evidence.Source,
                    opinion: evidence.Opinion) -> float:
    """Weighs failing requests alone, whatever became of probes."""
    if source is evidence.Source.PROBE:
        return 0.0
    if opinion.failures < limits.request_failures:
        return 0.0
    return suspicions.span_of(opinion,
                              view.request_answered_at) / limits.requests_ms


def _is_back(table: evidence.LivenessTable, view: evidence.ServerView,
             quorum: _Quorum, now: float) -> bool:
    """Returns whether a lost server has answered enough to be trusted."""
    limits = table.thresholds
    agreeing = set()
    for (entry, _), opinion in view.opinions.items():
        recent = now - opinion.answered_at <= limits.isolated_ms
        if not opinion.failures and recent and (opinion.answered_at
                                                > view.changed_at):
            agreeing.add(entry if quorum.by_entry else opinion.domain)
    if len(agreeing) < quorum.needed:
        view.back_since = math.inf
        return False
    view.back_since = min(view.back_since, now)
    hold_ms = limits.back_ms * 2**min(view.losses - 1, _MOST_DOUBLINGS)
    return now - view.back_since >= hold_ms


def _change(view: evidence.ServerView, key: evidence.ServerKey,
            after: tables.Liveness, now: float) -> Change:
    before, view.liveness = view.liveness, after
    view.changed_at = now
    since = now
    if after is _Liveness.DEAD:
        view.losses += 1
        view.back_since = math.inf
        since = view.lost_since
    return Change(*key, before, after, since)


def _is_quiet(table: evidence.LivenessTable, view: evidence.ServerView,
              now: float) -> bool:
    """Returns whether nobody has had a failure of late."""
    if view.liveness in (_Liveness.DEAD, _Liveness.SUSPECT):
        return False
    oldest = now - table.thresholds.fresh_ms
    return not any(item.failures and item.failed_at > oldest
                   for item in view.opinions.values())


def _retire(table: evidence.LivenessTable, key: evidence.ServerKey) -> None:
    """Stops looking at a server, and forgets what peers said of it."""
    table.active.discard(key)
    view = table.servers[key]
    view.opinions = {
        name: opinion
        for name, opinion in view.opinions.items()
        if name[0] == table.me
    }
