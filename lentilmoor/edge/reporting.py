"""Sends reports to the hubs and handles the reports of other entries.

Each entry reports several times a second. The coordinator of each keyed
service is a hub. If no service has a coordinator, the hub is the entry on a
large machine with the lowest instance id; every entry derives it from its own
list of entries, without communication.
"""

from collections.abc import Callable
import dataclasses

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import control
from lentilmoor.edge import entrycounts
from lentilmoor.edge import hub
from lentilmoor.edge import keyranges
from lentilmoor.edge import learning
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from lentilmoor.edge import trials

PATH = '/report'
STATE_PATH = '/state'
# Interval between two reports of an entry: a few times the duration of a
# request. It grows with the number of entries so that the hub answers at most
# 125 reports per second, which takes about an eighth of a core.
REPORT_INTERVAL_MS = 250.0
REPORT_INTERVAL_PER_ENTRY_MS = 8.0
# Minimum interval between reports, for those sent early because a key moved. It
# limits the hub to at most 250 reports per second.
MIN_REPORT_INTERVAL_MS = 25.0
MIN_REPORT_INTERVAL_PER_ENTRY_MS = 4.0
TIMEOUT_MS = 300.0
# Timeout of a report in report intervals, if that exceeds `TIMEOUT_MS`. A reply
# may be late on a saturated link, and an entry that drops it keeps stale data.
TIMEOUT_INTERVALS = 2.0
# Timeout of a request for the store's state. The full state takes most of a
# second over a slow link, and an entry that times out requests it again. Most
# replies contain only changes.
STATE_TIMEOUT_MS = 2_500.0
# Maximum time for which sending the same news to all entries may occupy the
# sender's link. Larger news would arrive too late at every entry; entries read
# what was left out from the store.
NEWS_LINK_BUDGET_MS = 200.0
_BYTES_PER_MBIT = 125_000.0
# Probability that an entry requests the full state from a hub. Other entries
# may lack the same configuration, but the hub may be unreachable, so otherwise
# the entry asks any other entry.
HUB_PROBABILITY = 0.5
# Replies slower than this are logged, as are failed reports.
SLOW_REPLY_MS = 500.0
# Interval at which an entry requests the servers' times of work. They change
# slowly and make up a third of a reply.
WORK_TIMES_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class EvidenceVersions:
    """Quarantine versions up to which evidence was exchanged with a hub.

    Attributes:
      confirmed: Version of this entry's quarantine that the hub has merged.
      received: Version of the hub's quarantine that this entry has merged.
    """

    confirmed: int = 0
    received: int = 0


@dataclasses.dataclass(slots=True)
class Reporter:
    """State and dependencies of the exchange of reports.

    Attributes:
      instance: Instance id of this entry.
      forwarder: State shared by the request threads.
      caller: Makes calls to other entries.
      send_control: Sends a message to the control actor.
      table: Data that other entries reported to this one.
      work_times_asked_at: When this entry last requested the servers' times of
        work, ms.
      evidence_versions: Versions of the evidence exchanged with each hub, by
        the hub's instance id.
      on_news: Called with the news of the store in each reply.
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
    """A reply to a report.

    Attributes:
      reply: The reply as received.
      sent_at: When the report was sent, ms. Ages in the reply count from then,
        as the reply may have been in transit for a long time.
    """

    reply: reports.ReportReply
    sent_at: float


def report_forever(reporter: Reporter) -> None:
    """Exchanges reports with the hubs until the process ends."""
    forwarder = reporter.forwarder
    while True:
        entries = requests.count_running_entries(forwarder)
        min_interval_ms = max(MIN_REPORT_INTERVAL_MS,
                              MIN_REPORT_INTERVAL_PER_ENTRY_MS * entries)
        interval_ms = find_report_interval(entries)
        clocks.pause(min_interval_ms)
        forwarder.report_now.wait(
            (interval_ms - min_interval_ms) / clocks.MS_PER_S)
        forwarder.report_now.clear()
        exchange_reports(reporter)


def find_report_interval(entries: int) -> float:
    """Returns the interval between two reports of an entry, ms."""
    return max(REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_ENTRY_MS * entries)


def find_news_budget(link_mbps: float, entries: int) -> float:
    """Returns the maximum size of news in a reply, bytes.

    Args:
      link_mbps: Bandwidth of the sender's link, Mbit/s.
      entries: Number of entries that receive the same news.
    """
    bytes_per_ms = link_mbps * _BYTES_PER_MBIT / clocks.MS_PER_S
    return bytes_per_ms * NEWS_LINK_BUDGET_MS / max(1, entries)


def exchange_reports(reporter: Reporter) -> None:
    """Reports once to each hub and applies the replies."""
    suspects.step(reporter.forwarder)
    peers = find_hubs(reporter)
    _update_hubs(reporter, peers)
    trials.step(reporter.forwarder)
    now = reporter.forwarder.clock.now()
    times_due = now - reporter.work_times_asked_at >= WORK_TIMES_INTERVAL_MS
    if times_due:
        reporter.work_times_asked_at = now
    replies: list[HubReply] = []
    rows = _collect_samples(reporter.forwarder)
    for peer, services in peers.items():
        hub_reply = _report_to(
            reporter, peer,
            {name: rows[name] for name in services if name in rows}, times_due)
        if hub_reply is not None:
            replies.append(hub_reply)
    if peers and not replies:
        _spread_evidence(reporter)
    apply_replies(reporter, replies)


def _report_to(reporter: Reporter, peer: ports.Peer,
               rows: dict[str, list[reports.RequestSample]],
               wants_works: bool) -> HubReply | None:
    """Sends a report to an entry; returns its reply, or None if it failed."""
    forwarder, sent_at = reporter.forwarder, reporter.forwarder.clock.now()
    versions = reporter.evidence_versions.get(peer.instance, EvidenceVersions())
    evidence, version = quarantine.list_changes(forwarder.suspects,
                                                versions.confirmed, sent_at)
    reply = _deliver(
        reporter, peer,
        reports.Report(
            reporter.instance, rows, _count_inflight(forwarder), {
                name: item.next_fence
                for name, item in forwarder.snapshot.assignments.items()
            }, forwarder.followed_revision, wants_works,
            ratelimits.list_limits(forwarder.rate_limits, sent_at),
            _list_draining(forwarder), evidence, peer.instance,
            versions.received))
    if reply is None:
        return None
    suspects.merge(forwarder, reply.evidence, sent_at)
    if reply.hub == peer.instance:
        versions.confirmed, versions.received = version, reply.evidence_version
        if reply.evidence_complete:
            learning.note_complete(forwarder, sent_at)
    return HubReply(reply, sent_at)


def _update_hubs(reporter: Reporter, peers: dict[ports.Peer, set[str]]) -> None:
    """Updates state that depends on the current hubs.

    The first hub grants the trials of suspects.
    """
    forwarder = reporter.forwarder
    forwarder.learning.max_age_ms = learning.find_max_age(
        find_report_interval(requests.count_running_entries(forwarder)))
    first = next(iter(peers), None)
    trials.set_issuer(forwarder, first, first is not None and
                      first.instance == reporter.instance)
    reporter.evidence_versions = {
        peer.instance:
            reporter.evidence_versions.get(peer.instance, EvidenceVersions())
        for peer in peers
    }


def _spread_evidence(reporter: Reporter) -> None:
    """Sends evidence that no hub has confirmed to a random other entry.

    This is done while no hub answers.
    """
    forwarder = reporter.forwarder
    confirmed_version = max(
        (row.confirmed for row in reporter.evidence_versions.values()),
        default=0)
    others = sorted(requests.list_other_entries(forwarder))
    if others and confirmed_version < forwarder.suspects.version:
        _report_to(reporter, ports.Peer('', forwarder.generator.choice(others)),
                   {}, False)


def find_hubs(reporter: Reporter) -> dict[ports.Peer, set[str]]:
    """Returns the hubs, each with the services that it coordinates."""
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
                  report: reports.Report) -> reports.ReportReply:
    """Records an entry's report and returns the reply.

    The reply combines the reports of all entries.
    """
    forwarder = reporter.forwarder
    now, table = forwarder.clock.now(), reporter.table
    # Read before the data itself, so that the data is at least as recent as
    # these ages and revisions indicate.
    known = forwarder.freshness.known_times
    configuration_revision = forwarder.configuration_revision
    revision, version = (forwarder.followed_revision,
                         forwarder.newest_configuration_version)
    entrycounts.record_report(forwarder.entry_counts, report.entry,
                              forwarder.sharing_terms, now)
    entries = entrycounts.count_observed(forwarder.entry_counts,
                                         forwarder.sharing_terms, now)
    hub.record_inflight(table, report.entry, report.inflight, now)
    suspects.merge(forwarder, report.evidence, now)
    is_recent, newest = learning.is_recent(
        forwarder), forwarder.suspects.version
    evidence, evidence_version = quarantine.list_changes(
        forwarder.suspects,
        report.evidence_seen if report.hub == reporter.instance else 0, now)
    hub.record_limits(table, report.limits, now)
    if report.draining:
        reporter.send_control(control.DrainingReported(report.draining))
    if report.rows:
        reporter.send_control(control.RequestsReported(report.rows))
    assignments = {
        name: item
        for name, item in forwarder.snapshot.assignments.items()
        if item.next_fence > report.known.get(name, 0)
    }
    return reports.ReportReply(
        others=hub.count_others_inflight(table, report.entry, now),
        assignments=assignments,
        coordinated=_list_coordinated(reporter, report.wants_works),
        revision=revision,
        since=report.revision,
        changes=forwarder.platform.store.encode_news(
            report.revision,
            find_news_budget(forwarder.platform.settings.link_mbps, entries),
            None),
        news_age_ms=requests.find_age(forwarder, known.servers_at),
        version=version,
        configuration_age_ms=requests.find_age(forwarder,
                                               known.configuration_at),
        configuration_revision=configuration_revision,
        limits=hub.list_limits(table, now),
        hub=reporter.instance,
        evidence=evidence,
        evidence_version=evidence_version,
        evidence_complete=is_recent and evidence_version >= newest,
        entries=entries)


def _list_coordinated(
        reporter: Reporter,
        include_work_times: bool) -> dict[str, tables.CoordinatorStatus]:
    """Returns the state of the services that this entry coordinates."""
    services = reporter.forwarder.coordinated
    if include_work_times:
        return services
    return {
        name: tables.CoordinatorStatus(item.unserved, {})
        for name, item in services.items()
    }


def fetch_state_from_peer(reporter: Reporter,
                          whole: bool) -> ports.StoreSnapshot | None:
    """Fetches the store's state from a randomly chosen other entry.

    Args:
      reporter: Lists the other entries and makes the call.
      whole: Whether to fetch the full state, not only changes since the
        revision that this entry has followed.

    Returns:
      The merged state, or None if the call failed or returned nothing newer.
    """
    forwarder = reporter.forwarder
    addresses = requests.list_other_entries(forwarder)
    if not addresses:
        return None
    address = forwarder.generator.choice(sorted(addresses))
    hubs = addresses & {peer.address for peer in find_hubs(reporter)}
    if whole and hubs and forwarder.generator.random() < HUB_PROBABILITY:
        address = min(hubs)
    return fetch_state(reporter, address,
                       0 if whole else forwarder.followed_revision)


def fetch_state(reporter: Reporter, address: str,
                since: int) -> ports.StoreSnapshot | None:
    """Fetches the store's state from an entry.

    Args:
      reporter: Makes the call.
      address: Address of the other entry.
      since: Revision after which changes are fetched; 0 for the full state.

    Returns:
      The merged state, or None if the call failed or returned nothing newer.
    """
    result = reporter.caller.call(
        address, httpclient.Request('POST', STATE_PATH,
                                    str(since).encode()), STATE_TIMEOUT_MS,
        TIMEOUT_MS)
    reason = httpclient.find_failure(result)
    if reason:
        reporter.forwarder.logger.info('state_lost',
                                       entry=address,
                                       reason=reason)
        return None
    return reporter.forwarder.platform.store.restore(result.body)


def _deliver(reporter: Reporter, peer: ports.Peer,
             report: reports.Report) -> reports.ReportReply | None:
    if peer.instance == reporter.instance:
        return handle_report(reporter, report)
    clock = reporter.forwarder.clock
    interval_ms = find_report_interval(
        requests.count_running_entries(reporter.forwarder))
    data = reports.encode_report(report)
    sent_at = clock.now()
    result = reporter.caller.call(
        peer.address, httpclient.Request('POST', PATH, data),
        max(TIMEOUT_MS, TIMEOUT_INTERVALS * interval_ms))
    _log_failed_or_slow_reply(reporter, peer, len(data),
                              clock.now() - sent_at, result)
    if httpclient.find_failure(result):
        return None
    reply = reports.decode_report_reply(result.body)
    if reply is None:
        reporter.forwarder.logger.info('report_lost',
                                       hub=peer.instance,
                                       reason=httpclient.INVALID_REPLY)
    return reply


def _log_failed_or_slow_reply(
        reporter: Reporter, peer: ports.Peer, sent_bytes: int, took_ms: float,
        result: httpclient.Reply | outcomes.Failed) -> None:
    """Logs a failed report, an error status, or a slow reply."""
    failed = isinstance(result, outcomes.Failed)
    if not failed and result.status == 200 and took_ms < SLOW_REPLY_MS:
        return
    reporter.forwarder.logger.info(
        'report_lost' if failed else 'report_slow',
        hub=peer.instance,
        reason=httpclient.find_failure(result) or str(result.status),
        took_ms=round(took_ms),
        sent_bytes=sent_bytes,
        reply_bytes=0 if failed else len(result.body))


def _apply_rate_limits(reporter: Reporter, hub_reply: HubReply) -> None:
    """Updates the entry's rate limits from a hub's reply."""
    forwarder = reporter.forwarder
    for server, (rate, age_ms) in hub_reply.reply.limits.items():
        ratelimits.note_reported_limit(forwarder.rate_limits, server, rate,
                                       hub_reply.sent_at - age_ms,
                                       forwarder.logger)


def apply_replies(reporter: Reporter, replies: list[HubReply]) -> None:
    """Applies the hubs' replies.

    Unserved ranges that no reply contains are dropped.
    """
    forwarder = reporter.forwarder
    now = forwarder.clock.now()
    coordinated: dict[str, tables.CoordinatorStatus] = {}
    for hub_reply in replies:
        reply = hub_reply.reply
        coordinated.update(reply.coordinated)
        _apply_assignments(reporter, reply)
        news = tables.News(reply.revision,
                           hub_reply.sent_at - reply.news_age_ms, reply.since,
                           reply.changes, reply.version,
                           hub_reply.sent_at - reply.configuration_age_ms,
                           reply.configuration_revision)
        reporter.on_news(news)
        entrycounts.record_reported(forwarder.entry_counts, reply.entries,
                                    forwarder.sharing_terms, now)
        _apply_rate_limits(reporter, hub_reply)
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


def _apply_assignments(reporter: Reporter, reply: reports.ReportReply) -> None:
    for name, item in reply.assignments.items():
        known = reporter.forwarder.snapshot.assignments.get(name)
        if known is None or keyranges.is_newer(item, known):
            reporter.send_control(control.AssignmentReceived(item))


def _collect_samples(
        forwarder: requests.Forwarder
) -> dict[str, list[reports.RequestSample]]:
    samples, forwarder.samples = forwarder.samples, []
    rows: dict[str, list[reports.RequestSample]] = {}
    for item in samples:
        rows.setdefault(item.service, []).append(
            (item.key, item.server, round(item.work_ms, 1)))
    return rows


def _list_draining(forwarder: requests.Forwarder) -> list[str]:
    """Returns the ids of servers that reported in answers that they drain."""
    with forwarder.lock:
        return [
            name for name, state in forwarder.server_states.items()
            if state.draining_at is not None
        ]


def _count_inflight(forwarder: requests.Forwarder) -> dict[str, int]:
    """Returns the number of requests at each server, by server id.

    None counts while this entry reaches no server: they hang here, not there.
    """
    if forwarder.reachability.is_lost:
        return {}
    with forwarder.lock:
        return {
            name: state.inflight
            for name, state in forwarder.server_states.items()
            if state.inflight > 0
        }
