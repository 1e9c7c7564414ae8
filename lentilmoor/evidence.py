"""Evidence on backend servers: what each entry has seen of each of them.

Each entry keeps an *opinion* per server and source (requests, probes): when it
was answered last, since when it has failed. Its own come from `record`, those
of its peers from `merge`. What they amount to is judged in `liveness`.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math

from lentilmoor import clocks
from lentilmoor import tables

NEVER = -math.inf

ServerKey = tuple[str, str]
"""(shard, server)."""


class Source(enum.Enum):
    """How an observation was made; renewals of grants count as probes."""

    REQUEST = 'request'
    PROBE = 'probe'


class Result(enum.Enum):
    """What one try showed of a server."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'


@dataclasses.dataclass(frozen=True, slots=True)
class Thresholds:
    """When evidence is enough. Spans begin at the last answer to anybody.

    Attributes:
      failures: Failures in a row that make an opinion.
      refused_ms: Least span of refused connections.
      silent_ms: Least span of lost connections and timeouts.
      second_share: Share of a span that is enough for the domain that agrees
        second, while the first has the whole.
      requests_ms: Least span of failing requests while probes are answered:
        a health endpoint may lie.
      request_failures: Failures in a row for that.
      contradicted_ms: Least span of an entry that failed long before the last
        answer to anybody: it may just be cut off, and answers to others are
        told only now and then.
      confirm_ms: Least time from a suspicion, when peers are told and asked,
        to a loss: those who have answers must have had time to say so.
      fresh_ms: An opinion counts while its newest failure is younger.
      heard_ms: A failure domain counts as live if any of its entries was
        heard so lately.
      alone_factor: Spans are so much longer if only one domain is live.
      isolated_ms: An entry that sees most servers fail distrusts itself for
        so long before it counts its own opinions.
      isolated_alone_ms: The same if it hears entries of its own domain only.
      tells_per_s: Messages a second about all servers together, also the
        most at once; the rest wait.
      pause_ms: A step later than this shows that this process was paused.
      back_ms: A lost server must answer for so long; doubles with each loss.
    """

    failures: int = 3
    refused_ms: float = 60.0
    silent_ms: float = 220.0
    second_share: float = 0.6
    requests_ms: float = 3_000.0
    request_failures: int = 5
    contradicted_ms: float = 1_500.0
    confirm_ms: float = 60.0
    fresh_ms: float = 600.0
    heard_ms: float = 5_000.0
    alone_factor: float = 3.0
    isolated_ms: float = 1_000.0
    isolated_alone_ms: float = 10_000.0
    tells_per_s: float = 30.0
    pause_ms: float = 200.0
    back_ms: float = 200.0


@dataclasses.dataclass(slots=True)
class Opinion:
    """What one entry has seen of one server by one source; times in ms.

    Attributes:
      domain: The entry's failure domain.
      answered_at: Its newest answer.
      failed_at: Its newest failure.
      failing_since: Begin of the first try that failed since its last answer.
      failures: Failures since its last answer.
      refused: Of these, refused connections.
      told: Failures that peers were last told of; own opinions only.
      told_at: When they were.
    """

    domain: str
    answered_at: float = NEVER
    failed_at: float = NEVER
    failing_since: float = NEVER
    failures: int = 0
    refused: int = 0
    told: int = 0
    told_at: float = NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """One opinion as it travels between entries (peer.ServerEvidence).

    Attributes:
      shard: Shard id.
      server: Server id.
      source: Requests or probes.
      failures: Failures in a row; 0 if the newest try was answered.
      refused: Of these, refused connections.
      age_ms: Age of the newest failure or answer.
      span_ms: Time from the first failure's begin to the newest failure.
    """

    shard: str
    server: str
    source: Source
    failures: int
    refused: int
    age_ms: float
    span_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class ServerView:
    """What an entry holds true of one server, and why; times in ms.

    Attributes:
      opinions: By entry and source.
      liveness: The verdict.
      leaving: Whether somebody said that it is leaving.
      answered_at: Newest answer to anybody.
      request_answered_at: Newest answered request.
      changed_at: When the verdict last changed.
      suspected_since: Since when it is suspected; inf if it is not.
      cleared_at: When a suspicion last ended.
      alarms: Suspicions of late that an answer cleared; each makes the next
        slower, so that an overloaded server is not asked all the time.
      lost_since: Begin of the evidence for its loss.
      back_since: Since when enough entries have had answers after a loss.
      losses: How often it was lost.
    """

    opinions: dict[tuple[str, Source],
                   Opinion] = dataclasses.field(default_factory=dict)
    liveness: tables.Liveness = tables.Liveness.LIVE
    leaving: bool = False
    answered_at: float = NEVER
    request_answered_at: float = NEVER
    changed_at: float = NEVER
    suspected_since: float = math.inf
    cleared_at: float = NEVER
    alarms: int = 0
    lost_since: float = NEVER
    back_since: float = NEVER
    losses: int = 0


@dataclasses.dataclass(slots=True)
class LivenessTable:
    """All servers an entry knows of, as it sees them.

    Attributes:
      me: This entry's id.
      domain: Its failure domain.
      thresholds: When evidence is enough.
      servers: Views by (shard, server).
      heard: When evidence last came from a peer: its domain and the time.
      active: Servers that `liveness.step` has to look at.
      tells: Messages that `liveness.step` may still ask for now.
      stepped_at: When the table was last used.
      resumed_at: When this process last came back from a pause.
      isolated_since: Since when most servers fail for this entry; NEVER if
        they do not.
      alone: Whether only entries of its own domain were heard of late.
      pauses: Pauses noticed.
    """

    me: str
    domain: str
    thresholds: Thresholds = Thresholds()
    servers: dict[ServerKey,
                  ServerView] = dataclasses.field(default_factory=dict)
    heard: dict[str, tuple[str,
                           float]] = dataclasses.field(default_factory=dict)
    active: set[ServerKey] = dataclasses.field(default_factory=set)
    tells: float = 0.0
    stepped_at: float = NEVER
    resumed_at: float = NEVER
    isolated_since: float = NEVER
    alone: bool = False
    pauses: int = 0


def add_server(table: LivenessTable, key: ServerKey) -> None:
    """Begins to keep a server; nothing changes if it is kept already."""
    table.servers.setdefault(key, ServerView())


def remove_server(table: LivenessTable, key: ServerKey) -> None:
    """Forgets a server that is no longer part of the settings."""
    table.servers.pop(key, None)
    table.active.discard(key)


def mark_leaving(table: LivenessTable, key: ServerKey, leaving: bool) -> None:
    """Notes whether the server, the platform or a peer says it is leaving."""
    view = table.servers.get(key)
    if view is not None and view.leaving is not leaving:
        view.leaving = leaving
        table.active.add(key)


def record(table: LivenessTable, key: ServerKey, source: Source, result: Result,
           began_at: float, now: float) -> None:
    """Notes one try of this entry.

    Args:
      table: The table; updated.
      key: The server.
      source: A request or a probe.
      result: What came of it.
      began_at: When the try began, ms.
      now: When it ended, ms.
    """
    note_time(table, now)
    view = table.servers.get(key)
    if view is None:
        return
    opinion = view.opinions.get((table.me, source))
    if opinion is None:
        opinion = view.opinions[(table.me, source)] = Opinion(table.domain)
    if result is Result.ANSWERED:
        _note_answer(view, opinion, source, now)
    elif began_at > table.resumed_at and now >= opinion.answered_at:
        _note_failure(opinion, result, began_at, now)
        table.active.add(key)


def merge(table: LivenessTable, peer: str, domain: str,
          items: Iterable[Evidence], now: float) -> None:
    """Takes in what a peer tells.

    Args:
      table: The table; updated.
      peer: The peer's id.
      domain: The peer's failure domain.
      items: Its evidence.
      now: ms.
    """
    note_time(table, now)
    table.heard[peer] = (domain, now)
    for item in items:
        key = (item.shard, item.server)
        view = table.servers.get(key)
        if view is None or peer == table.me:
            continue
        opinion = view.opinions.setdefault((peer, item.source), Opinion(domain))
        at = now - item.age_ms
        if not item.failures:
            _note_answer(view, opinion, item.source, at)
        elif now > table.resumed_at + table.thresholds.pause_ms:
            # Right after a pause, a message may be older than it says.
            opinion.failures = item.failures
            opinion.refused = item.refused
            opinion.failed_at = at
            opinion.failing_since = at - item.span_ms
        table.active.add(key)


def own_opinions(table: LivenessTable, view: ServerView) -> list[Opinion]:
    """Returns this entry's own opinions on a server, one per source."""
    return [
        view.opinions[(table.me, source)]
        for source in Source
        if (table.me, source) in view.opinions
    ]


def note_time(table: LivenessTable, now: float) -> None:
    """Takes note of the time that went by since the table was last used.

    After a pause of this process all failures are dropped: what was timed
    meanwhile is worthless.
    """
    limit = table.thresholds.tells_per_s
    late = now - table.stepped_at > table.thresholds.pause_ms
    if late and table.stepped_at != NEVER:
        table.pauses += 1
        table.resumed_at = now
        for key in table.active:
            for opinion in table.servers[key].opinions.values():
                opinion.failures = opinion.refused = 0
    earned = (now - table.stepped_at) * limit / clocks.MS_PER_S
    table.tells = min(limit, table.tells + max(0.0, earned))
    table.stepped_at = max(table.stepped_at, now)


def _note_answer(view: ServerView, opinion: Opinion, source: Source,
                 at: float) -> None:
    opinion.answered_at = max(opinion.answered_at, at)
    if at >= opinion.failed_at:
        opinion.failures = opinion.refused = 0
    view.answered_at = max(view.answered_at, at)
    if source is Source.REQUEST:
        view.request_answered_at = max(view.request_answered_at, at)


def _note_failure(opinion: Opinion, result: Result, began_at: float,
                  at: float) -> None:
    if not opinion.failures:
        opinion.failing_since = began_at
    opinion.failures += 1
    opinion.refused += result is Result.REFUSED
    opinion.failed_at = max(opinion.failed_at, at)
