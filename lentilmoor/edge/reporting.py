"""Exchanges reports with the hub, several times a second.

The hub is the coordinator of a keyed service. Without one it is the entry
with the lowest id of those on large machines, on which all agree without
asking.
"""

from collections.abc import Callable
import dataclasses

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import control
from lentilmoor.edge import hub
from lentilmoor.edge import keyranges
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import tables

PATH = '/report'
STATE_PATH = '/state'
# Pause between two reports: a few times as long as a request takes. With many
# entries it grows, so that the hub answers 125 reports a second at most, about
# an eighth of a core.
REPORT_INTERVAL_MS = 250.0
REPORT_INTERVAL_PER_ENTRY_MS = 8.0
# Reports that a moved key asks for come no closer than this, so that the hub
# answers 250 of them a second at most.
MIN_REPORT_INTERVAL_MS = 25.0
MIN_REPORT_INTERVAL_PER_ENTRY_MS = 4.0
TIMEOUT_MS = 300.0
# A reply is waited for as long as two pauses at least: it may come late over a
# full link, and an entry that gives it up keeps to what it knows.
TIMEOUT_INTERVALS = 2.0
# All that the store holds is waited for so long: over a slow link it takes most
# of a second, and who gives it up asks again. Mostly it is just what changed.
STATE_TIMEOUT_MS = 2_500.0
# News may keep the link of who tells them busy for so long, told to all: what
# takes longer comes too late for everybody. The rest is read from the store.
NEWS_LINK_BUDGET_MS = 200.0
_BYTES_PER_MBIT = 125_000.0
# Who lacks a configuration that the hub has asks the hub for all that it knows
# with this probability, as others may lack it too, and any other entry else, as
# the hub may be gone.
HUB_PROBABILITY = 0.5
# A reply that took longer is told, as is one that didn't come.
SLOW_REPLY_MS = 500.0
# Servers' times of work change slowly, and are a third of a reply.
WORK_TIMES_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class EvidenceVersions:
    """How much of two quarantines' evidence has been exchanged.

    Attributes:
      told: Version of this entry's that the other one has taken in.
      heard: Version of the other's that this entry has taken in.
    """

    confirmed: int = 0
    received: int = 0


@dataclasses.dataclass(slots=True)
class Reporter:
    """What the exchange needs.

    Attributes:
      instance: This process's id.
      forwarder: What request threads share.
      caller: Makes calls to other entries.
      tell: Sends the control actor a message.
      table: What was reported to this entry.
      works_at: When it last asked for servers' times of work, ms.
      exchanged: Evidence exchanged with each hub, by its instance id.
      hear: Takes in how far the hub has followed the store.
    """

    instance: str
    forwarder: requests.Forwarder
    caller: httpclient.Client
    send_control: Callable[[object], None]
    table: hub.HubTable = dataclasses.field(default_factory=hub.HubTable)
    work_times_asked_at: float = float('-inf')
    evidence_versions: dict[str, EvidenceVersions] = dataclasses.field(
        default_factory=dict)
    on_news: Callable[[tables.News], object] = lambda unused_news: None


@dataclasses.dataclass(frozen=True, slots=True)
class HubReply:
    """What a hub replied.

    Attributes:
      reply: Its reply.
      asked_at: When it was asked, ms: ages count from then, as the reply's way
        may take long.
    """

    reply: reports.ReportReply
    sent_at: float


def report_forever(reporter: Reporter) -> None:
    """Reports for as long as the process lives."""
    forwarder = reporter.forwarder
    while True:
        entries = len(forwarder.snapshot.entries)
        hurry_ms = max(MIN_REPORT_INTERVAL_MS,
                       MIN_REPORT_INTERVAL_PER_ENTRY_MS * entries)
        pause_ms = find_report_interval(entries)
        clocks.pause(hurry_ms)
        forwarder.report_now.wait((pause_ms - hurry_ms) / clocks.MS_PER_S)
        forwarder.report_now.clear()
        exchange_reports(reporter)


def find_report_interval(entries: int) -> float:
    """Returns the pause between two reports of an entry, ms."""
    return max(REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_ENTRY_MS * entries)


def find_news_budget(link_mbps: float, entries: int) -> float:
    """Returns how many bytes of news a reply may carry."""
    bytes_per_ms = link_mbps * _BYTES_PER_MBIT / clocks.MS_PER_S
    return bytes_per_ms * NEWS_LINK_BUDGET_MS / max(1, entries)


def exchange_reports(reporter: Reporter) -> None:
    """Reports once to each hub, and takes in what they reply."""
    suspects.step(reporter.forwarder)
    peers = find_hubs(reporter)
    _note_hubs(reporter, peers)
    now = reporter.forwarder.clock.now()
    wants_works = now - reporter.work_times_asked_at >= WORK_TIMES_INTERVAL_MS
    if wants_works:
        reporter.work_times_asked_at = now
    replies: list[HubReply] = []
    rows = _take_rows(reporter.forwarder)
    for peer, services in peers.items():
        told = _ask(reporter, peer,
                    {name: rows[name] for name in services if name in rows},
                    wants_works)
        if told is not None:
            replies.append(told)
    if peers and not replies:
        _spread_evidence(reporter)
    apply_replies(reporter, replies)


def _ask(reporter: Reporter, peer: ports.Peer,
         rows: dict[str, list[reports.RequestSample]],
         wants_works: bool) -> HubReply | None:
    """Reports to an entry; returns what it replied."""
    forwarder, asked_at = reporter.forwarder, reporter.forwarder.clock.now()
    versions = reporter.evidence_versions.get(peer.instance, EvidenceVersions())
    evidence, version = quarantine.list_changes(forwarder.suspects,
                                                versions.confirmed, asked_at)
    reply = _send(
        reporter, peer,
        reports.Report(
            reporter.instance, rows, _count_inflight(forwarder), {
                name: item.next_fence
                for name, item in forwarder.snapshot.assignments.items()
            }, forwarder.followed_revision, wants_works,
            ratelimits.list_limits(forwarder.rate_limits, asked_at),
            _list_draining(forwarder), evidence, peer.instance,
            versions.received))
    if reply is None:
        return None
    suspects.merge(forwarder, reply.evidence, asked_at)
    if reply.hub == peer.instance:
        versions.confirmed, versions.received = version, reply.evidence_version
    return HubReply(reply, asked_at)


def _note_hubs(reporter: Reporter, peers: dict[ports.Peer, set[str]]) -> None:
    """Notes who the hubs are now; only the first tries blocked requests."""
    first = next(iter(peers), None)
    reporter.forwarder.runs_trials = (first is not None and
                                      first.instance == reporter.instance)
    reporter.evidence_versions = {
        peer.instance:
            reporter.evidence_versions.get(peer.instance, EvidenceVersions())
        for peer in peers
    }


def _spread_evidence(reporter: Reporter) -> None:
    """Tells any other entry what no hub knows yet, while none answers."""
    forwarder = reporter.forwarder
    told = max((row.confirmed for row in reporter.evidence_versions.values()),
               default=0)
    others = sorted(requests.list_other_entries(forwarder))
    if others and told < forwarder.suspects.version:
        _ask(reporter, ports.Peer('', forwarder.generator.choice(others)), {},
             False)


def find_hubs(reporter: Reporter) -> dict[ports.Peer, set[str]]:
    """Returns whom to report to, and which services' keys to tell them."""
    snapshot = reporter.forwarder.snapshot
    peers: dict[ports.Peer, set[str]] = {}
    for service, peer in sorted(snapshot.coordinators.items()):
        peers.setdefault(peer, set()).add(service)
    if not peers and snapshot.entries:
        first = min(snapshot.entries.values(),
                    key=lambda peer: (peer.small, peer.instance))
        peers[first] = set()
    return peers


def handle_report(reporter: Reporter,
                  found: reports.Report) -> reports.ReportReply:
    """Takes in an entry's report and returns what follows from all."""
    forwarder = reporter.forwarder
    now, table = forwarder.clock.now(), reporter.table
    # What is told is at least as new as these say.
    known = forwarder.freshness.known_times
    configuration_revision = forwarder.configuration_revision
    revision, version = (forwarder.followed_revision,
                         forwarder.newest_configuration_version)
    hub.record_inflight(table, found.entry, found.inflight, now)
    suspects.merge(forwarder, found.evidence, now)
    heard = found.evidence_seen if found.hub == reporter.instance else 0
    evidence, evidence_version = quarantine.list_changes(
        forwarder.suspects, heard, now)
    hub.record_limits(table, found.limits, now)
    if found.draining:
        reporter.send_control(control.DrainingReported(found.draining))
    if found.rows:
        reporter.send_control(control.Reported(found.rows))
    assignments = {
        name: item
        for name, item in forwarder.snapshot.assignments.items()
        if item.next_fence > found.known.get(name, 0)
    }
    return reports.ReportReply(
        others=hub.count_others_inflight(table, found.entry, now),
        assignments=assignments,
        coordinated=_tell_coordinated(reporter, found.wants_works),
        revision=revision,
        since=found.revision,
        changes=forwarder.platform.store.encode_news(
            found.revision,
            find_news_budget(forwarder.platform.settings.link_mbps,
                             len(forwarder.snapshot.entries)), None),
        news_age_ms=requests.find_age(forwarder, known.servers_at),
        version=version,
        configuration_age_ms=requests.find_age(forwarder,
                                               known.configuration_at),
        configuration_revision=configuration_revision,
        limits=hub.list_limits(table, now),
        hub=reporter.instance,
        evidence=evidence,
        evidence_version=evidence_version)


def _tell_coordinated(reporter: Reporter,
                      works: bool) -> dict[str, tables.CoordinatorStatus]:
    """Returns what this entry tells of the services that it coordinates."""
    told = reporter.forwarder.coordinated
    if works:
        return told
    return {
        name: tables.CoordinatorStatus(item.unserved, {})
        for name, item in told.items()
    }


def fetch_state_from_peer(reporter: Reporter,
                          whole: bool) -> ports.StoreSnapshot | None:
    """Asks another entry what the store holds.

    Args:
      reporter: Knows the other entries.
      whole: Whether to ask for all, not for what has changed since.

    Returns:
      Everything, if another entry knows more than this one.
    """
    forwarder = reporter.forwarder
    known = requests.list_other_entries(forwarder)
    if not known:
        return None
    address = forwarder.generator.choice(sorted(known))
    hubs = known & {peer.address for peer in find_hubs(reporter)}
    if whole and hubs and forwarder.generator.random() < HUB_PROBABILITY:
        address = min(hubs)
    return fetch_state(reporter, address,
                       0 if whole else forwarder.followed_revision)


def fetch_state(reporter: Reporter, address: str,
                since: int) -> ports.StoreSnapshot | None:
    """Asks an entry what has changed in the store.

    Args:
      reporter: Makes the call.
      address: The entry's.
      since: The revision from which on; 0 for all that it knows.

    Returns:
      Everything, if it knows more than this one.
    """
    result = reporter.caller.call(
        address, httpclient.Request('POST', STATE_PATH,
                                    str(since).encode()), STATE_TIMEOUT_MS,
        TIMEOUT_MS)
    if isinstance(result, outcomes.Failed) or result.status != 200:
        return None
    return reporter.forwarder.platform.store.restore(result.body)


def _send(reporter: Reporter, peer: ports.Peer,
          found: reports.Report) -> reports.ReportReply | None:
    if peer.instance == reporter.instance:
        return handle_report(reporter, found)
    clock = reporter.forwarder.clock
    pause_ms = find_report_interval(len(reporter.forwarder.snapshot.entries))
    data = reports.encode_report(found)
    sent_at = clock.now()
    result = reporter.caller.call(peer.address,
                                  httpclient.Request('POST', PATH, data),
                                  max(TIMEOUT_MS, TIMEOUT_INTERVALS * pause_ms))
    _note_reply(reporter, peer, len(data), clock.now() - sent_at, result)
    if isinstance(result, outcomes.Failed) or result.status != 200:
        return None
    return reports.decode_report_reply(result.body)


def _note_reply(reporter: Reporter, peer: ports.Peer, sent_bytes: int,
                took_ms: float,
                result: httpclient.Reply | outcomes.Failed) -> None:
    """Tells of a reply that didn't come, or was slow."""
    failed = isinstance(result, outcomes.Failed)
    if not failed and result.status == 200 and took_ms < SLOW_REPLY_MS:
        return
    reporter.forwarder.logger.info(
        'report_lost' if failed else 'report_slow',
        hub=peer.instance,
        reason=result.reason.value if failed else str(result.status),
        took_ms=round(took_ms),
        sent_bytes=sent_bytes,
        reply_bytes=0 if failed else len(result.body))


def _apply_rate_limits(reporter: Reporter, told: HubReply) -> None:
    """Updates the entry's rate limits from a hub's reply."""
    forwarder = reporter.forwarder
    for server, (rate, age_ms) in told.reply.limits.items():
        ratelimits.note_reported_limit(forwarder.rate_limits, server, rate,
                                       told.sent_at - age_ms, forwarder.logger)


def apply_replies(reporter: Reporter, replies: list[HubReply]) -> None:
    """Takes in what the hubs told; what none tells any more is forgotten."""
    forwarder = reporter.forwarder
    now = forwarder.clock.now()
    coordinated: dict[str, tables.CoordinatorStatus] = {}
    for told in replies:
        reply = told.reply
        coordinated.update(reply.coordinated)
        _hear_assignments(reporter, reply)
        heard = tables.News(reply.revision, told.sent_at - reply.news_age_ms,
                            reply.since, reply.changes, reply.version,
                            told.sent_at - reply.configuration_age_ms,
                            reply.configuration_revision)
        reporter.on_news(heard)
        _apply_rate_limits(reporter, told)
        with forwarder.lock:
            for name, state in forwarder.server_states.items():
                state.reported_in_flight = float(reply.others.get(name, 0))
                state.reported_in_flight_at = now
    forwarder.unserved_ranges = {
        name: item.unserved for name, item in coordinated.items()
    }
    with forwarder.lock:
        for item in coordinated.values():
            for name, work_ms in item.works.items():
                state = forwarder.server_states.setdefault(
                    name, placement.ServerState())
                state.shared_work_ms = work_ms


def _hear_assignments(reporter: Reporter, reply: reports.ReportReply) -> None:
    for name, item in reply.assignments.items():
        known = reporter.forwarder.snapshot.assignments.get(name)
        if known is None or keyranges.is_newer(item, known):
            reporter.send_control(control.AssignmentHeard(item))


def _take_rows(
        forwarder: requests.Forwarder
) -> dict[str, list[reports.RequestSample]]:
    samples, forwarder.samples = forwarder.samples, []
    rows: dict[str, list[reports.RequestSample]] = {}
    for item in samples:
        rows.setdefault(item.service, []).append(
            (item.key, item.server, round(item.work_ms, 1)))
    return rows


def _list_draining(forwarder: requests.Forwarder) -> list[str]:
    """Returns the ids of servers whose answers reported draining."""
    with forwarder.lock:
        return [
            name for name, state in forwarder.server_states.items()
            if state.draining_at is not None
        ]


def _count_inflight(forwarder: requests.Forwarder) -> dict[str, int]:
    with forwarder.lock:
        return {
            name: state.inflight
            for name, state in forwarder.server_states.items()
            if state.inflight > 0
        }
