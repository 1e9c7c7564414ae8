"""An entry's copy of the store, and how news and snapshots update it."""

from collections.abc import Callable
import dataclasses
import math
import threading

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import ports
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import revisions
from lentilmoor.edge import staleness
from lentilmoor.edge import tables

# Requests for news that may wait for a change at the same time; any more are
# answered at once.
MAX_WAITING_REQUESTS = 24
# Requests to random other entries that may be in flight at the same time.
MAX_RANDOM_REQUESTS = 9


@dataclasses.dataclass(slots=True)
class StoreFollower:
    """State of an entry that follows the store.

    Attributes:
      own: The `Peer` under which this entry registers.
      reporter: Exchanges reports with the hub.
      store: The platform's store.
      clock: Clock of this process.
      logger: Logs what following finds.
      apply: (snapshot, whether another entry sent it) -> None; passes a new
        snapshot on.
      report_store_lost: (reason) -> None; called when the store is unreachable.
      start_count: How often following was started; only the last start
        continues.
      store_snapshot: The newest snapshot; None before the first answer.
      started_at: When following was last started, ms.
      activity: What the thread that follows is doing, and since when, ms.
      needs_full_read: Whether the next read of the store must read everything.
      peer_version: Newest version of the configuration that other entries have
        in force.
      peer_version_at: When that version was received, ms.
      logged_version: The last such version that was logged.
      read_now: Set to read the store without waiting for the next interval.
      position: Position in the tree of relays; None if the hub serves it.
      relay_answered_at: When a relay last answered, ms.
      probed_at: When the store was last sent a probe, ms.
      probe: Sends the store a probe; returns at once.
      state_request_lock: Held while another entry is asked for its whole copy.
      peers_asked_at: When random other entries were last asked, ms.
      is_stale: Whether the copy is so old that they are asked.
      random_request_slots: Limits such requests in flight.
      lock: Guards `store_snapshot`: one thread at a time updates the copy.
      changed: Notified when the copy was updated.
      wait_slots: Limits requests for news that wait for an update.
    """

    own: ports.Peer
    reporter: reporting.Reporter
    store: ports.Store
    clock: clocks.Clock
    logger: logs.Logger
    apply: Callable[[ports.StoreSnapshot, bool], None]
    report_store_lost: Callable[[outcomes.Reason], None]
    start_count: int = 0
    store_snapshot: ports.StoreSnapshot | None = None
    started_at: float = float('-inf')
    activity: tuple[str, float] = ('', 0.0)
    needs_full_read: bool = True
    peer_version: int = 0
    peer_version_at: float = float('-inf')
    logged_version: int = 0
    read_now: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    position: relays.TreePosition | None = None
    relay_answered_at: float = float('-inf')
    probed_at: float = float('-inf')
    probe: Callable[[], object] = lambda: None
    state_request_lock: threading.Lock = dataclasses.field(
        default_factory=threading.Lock)
    peers_asked_at: float = float('-inf')
    is_stale: bool = False
    random_request_slots: threading.Semaphore = dataclasses.field(
        default_factory=lambda: threading.Semaphore(MAX_RANDOM_REQUESTS))
    lock: threading.RLock = dataclasses.field(default_factory=threading.RLock)
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)
    wait_slots: threading.Semaphore = dataclasses.field(
        default_factory=lambda: threading.Semaphore(MAX_WAITING_REQUESTS))


def find_version(seen: ports.StoreSnapshot) -> int:
    """Returns the version of the configuration in force; 0 if there is none."""
    return seen.configuration.version if seen.configuration else 0


def is_configuration_behind(follower: StoreFollower) -> bool:
    """Returns whether other entries have a newer configuration in force."""
    return (follower.store_snapshot is not None and
            find_version(follower.store_snapshot) < follower.peer_version)


def apply_snapshot(follower: StoreFollower, snapshot: ports.StoreSnapshot,
                   from_peer: bool) -> None:
    """Replaces the copy by a snapshot, unless the copy is newer.

    Args:
      follower: State of the entry that follows the store.
      snapshot: The snapshot.
      from_peer: Whether another entry sent it.
    """
    with follower.lock:
        seen = follower.store_snapshot
        if seen is not None and (snapshot.revision,
                                 find_version(snapshot)) < (seen.revision,
                                                            find_version(seen)):
            return
        _record_snapshot(follower, snapshot)
        follower.apply(snapshot, from_peer)
    with follower.changed:
        follower.changed.notify_all()


def wait_for_change(follower: StoreFollower, revision: int,
                    wait_ms: float) -> None:
    """Waits for a change after a revision, at most `wait_ms`.

    Returns at once if `MAX_WAITING_REQUESTS` requests already wait.
    """
    if not follower.wait_slots.acquire(blocking=False):
        return
    until = follower.clock.now() + wait_ms
    try:
        with follower.changed:
            while (follower.store_snapshot is None or
                   follower.store_snapshot.required_revision <= revision):
                left_ms = until - follower.clock.now()
                if left_ms <= 0:
                    return
                follower.changed.wait(left_ms / clocks.MS_PER_S)
    finally:
        follower.wait_slots.release()


def _record_snapshot(follower: StoreFollower,
                     snapshot: ports.StoreSnapshot) -> None:
    follower.store_snapshot = snapshot
    forwarder = follower.reporter.forwarder
    forwarder.followed_revision = snapshot.revision
    forwarder.configuration_version = find_version(snapshot)
    forwarder.newest_configuration_version = (max(
        forwarder.configuration_version, follower.peer_version))


def apply_news(follower: StoreFollower, news: tables.News) -> bool:
    """Merges news from another entry into the copy.

    News that can't be merged causes a read of the store. The function never
    waits for a watch in flight.

    Returns:
      Whether the news could be merged.
    """
    with follower.lock:
        seen = follower.store_snapshot
        if seen is None:
            return False
        if news.version > max(find_version(seen), follower.peer_version):
            # Must be recorded before the revision: otherwise the configuration
            # in force would count as the newest at that revision.
            follower.peer_version = news.version
            follower.peer_version_at = follower.clock.now()
            follower.reporter.forwarder.newest_configuration_version = (
                news.version)
        behind = is_configuration_behind(follower)
        if (news.revision > seen.revision or
                news.version > find_version(seen) and news.changes):
            seen = merge_news(follower, seen, news)
            if seen is None:
                follower.read_now.set()
                return False
    forwarder = follower.reporter.forwarder
    forwarder.hub_progress = (max(forwarder.hub_progress,
                                  news,
                                  key=lambda item: item.seen_at))
    _record_times(follower, seen, news)
    # A configuration that is too large for news is read from the store: a watch
    # would deliver every version since.
    if behind and is_configuration_behind(
            follower) and follower.logged_version < news.version:
        follower.logged_version = news.version
        follower.logger.warning('behind_the_hub',
                                version=find_version(seen),
                                hub=news.version,
                                revision=revisions.format_revision(
                                    seen.revision))
    return True


def _record_times(follower: StoreFollower, seen: ports.StoreSnapshot,
                  news: tables.News) -> None:
    """Records times up to which the copy is complete, as stated by the news.

    A copy from before a restore of the store is never complete after it.
    """
    if revisions.find_era(news.revision) < revisions.find_era(seen.revision):
        return
    newest = find_version(seen) >= max(news.version, follower.peer_version)
    forwarder = follower.reporter.forwarder
    if newest:
        record_newest_configuration(follower, news.configuration_revision)
    staleness.record_known_times(
        forwarder.freshness,
        news.seen_at,
        configuration_at=news.configuration_at if newest else -math.inf)


def record_newest_configuration(follower: StoreFollower, revision: int) -> None:
    """Records that no configuration is newer up to a revision of the store."""
    forwarder = follower.reporter.forwarder
    forwarder.configuration_revision = max(forwarder.configuration_revision,
                                           revision)


def is_configuration_newest(follower: StoreFollower) -> bool:
    """Returns whether the copy has the newest configuration of its revision.

    It may not have it, as news from other entries may leave it out.
    """
    return (not is_configuration_behind(follower) and
            follower.reporter.forwarder.configuration_revision
            >= follower.store_snapshot.revision)


def merge_news(follower: StoreFollower, seen: ports.StoreSnapshot,
               received: tables.News) -> ports.StoreSnapshot | None:
    """Returns the copy with the news merged; None if that is impossible.

    News that begins later than the copy ends would leave a gap: an entry once
    went back to an older configuration because of one.
    """
    if received.changes is None or received.base_revision > seen.revision:
        return None
    merged = follower.store.merge_news(received.changes, received.revision)
    if merged is None:
        return None
    if not received.changes and merged == dataclasses.replace(
            seen, revision=merged.revision):
        _record_snapshot(follower, merged)
        return merged
    follower.logger.info('news_heard',
                         revision=revisions.format_revision(merged.revision),
                         news=revisions.format_revision(
                             merged.required_revision),
                         age_ms=round(follower.clock.now() - received.seen_at))
    apply_snapshot(follower, merged, True)
    return merged
