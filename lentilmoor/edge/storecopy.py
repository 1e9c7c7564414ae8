"""What an entry knows of the store, and how it takes in what it is told."""

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

# Requests for news that wait for a change at a time; more are answered at once.
MAX_WAITING_REQUESTS = 24
# Questions to others at random that are under way at a time.
MAX_RANDOM_REQUESTS = 9


@dataclasses.dataclass(slots=True)
class StoreFollower:
    """What following the store needs.

    Attributes:
      own: This entry, as the others know it.
      reporter: Exchanges reports with the hub.
      store: The store.
      clock: Time.
      logger: Takes lines.
      take: (everything, whether another entry told it) takes in what is known.
      lose: (reason) takes in that the store can't be reached.
      begun: How often following was begun; only the last one goes on.
      seen: What is known; None before the first answer.
      began_at: When it was last begun, ms.
      doing: What the thread that follows is at, and since when, ms.
      whole: Whether the store is to be read as a whole.
      wanted: Version of the configuration that others have in force.
      wanted_at: When that was heard, ms.
      logged: The last such version that was logged.
      hurried: Whether to look at the store now.
      place: This entry's place among the relays, if they tell it.
      told_at: When one of them last answered, ms.
      probed_at: When the store was last asked for a sign of life, ms.
      probe: Asks the store for a sign of life; returns at once.
      learning: Held while all that another entry knows is asked for.
      sought_at: When others were last asked at random, ms.
      outdated: Whether what is known is so old that they are.
      seeking: Counts such questions under way.
      lock: Guards `seen`: what is known is taken in by one thread at a time.
      changed: Notified when something was taken in.
      held: Counts requests for news that wait for that.
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
    """Returns whether others have a newer configuration in force."""
    return (follower.store_snapshot is not None and
            find_version(follower.store_snapshot) < follower.peer_version)


def apply_snapshot(follower: StoreFollower, found: ports.StoreSnapshot,
                   heard: bool) -> None:
    """Takes in what is known now, unless more is known already.

    Args:
      follower: Knows the rest.
      found: What is known.
      heard: Whether another entry told it.
    """
    with follower.lock:
        seen = follower.store_snapshot
        if seen is not None and (found.revision,
                                 find_version(found)) < (seen.revision,
                                                         find_version(seen)):
            return
        _note_seen(follower, found)
        follower.apply(found, heard)
    with follower.changed:
        follower.changed.notify_all()


def wait_for_change(follower: StoreFollower, revision: int,
                    hold_ms: float) -> None:
    """Waits for a change since a revision, unless many do so already."""
    if not follower.wait_slots.acquire(blocking=False):
        return
    until = follower.clock.now() + hold_ms
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


def _note_seen(follower: StoreFollower, found: ports.StoreSnapshot) -> None:
    follower.store_snapshot = found
    forwarder = follower.reporter.forwarder
    forwarder.followed_revision = found.revision
    forwarder.configuration_version = find_version(found)
    forwarder.newest_configuration_version = max(
        forwarder.configuration_version, follower.peer_version)


def apply_news(follower: StoreFollower, heard: tables.News) -> bool:
    """Takes in what another told; looks at the store if that can't be used.

    It never waits for a watch that is under way.

    Returns:
      Whether it could be used.
    """
    with follower.lock:
        seen = follower.store_snapshot
        if seen is None:
            return False
        if heard.version > max(find_version(seen), follower.peer_version):
            # Known before the revision is, or the configuration would count as
            # the newest of that revision.
            follower.peer_version = heard.version
            follower.peer_version_at = follower.clock.now()
            follower.reporter.forwarder.newest_configuration_version = (
                heard.version)
        behind = is_configuration_behind(follower)
        if (heard.revision > seen.revision or
                heard.version > find_version(seen) and heard.changes):
            seen = merge_news(follower, seen, heard)
            if seen is None:
                follower.read_now.set()
                return False
    forwarder = follower.reporter.forwarder
    forwarder.hub_progress = max(forwarder.hub_progress,
                                 heard,
                                 key=lambda item: item.seen_at)
    _note_times(follower, seen, heard)
    # One that is too large to tell is read: by a watch each of the versions
    # since would come.
    if behind and is_configuration_behind(
            follower) and follower.logged_version < heard.version:
        follower.logged_version = heard.version
        follower.logger.warning('behind_the_hub',
                                version=find_version(seen),
                                hub=heard.version,
                                revision=revisions.format_revision(
                                    seen.revision))
    return True


def _note_times(follower: StoreFollower, seen: ports.StoreSnapshot,
                heard: tables.News) -> None:
    """Notes up to when what is known is complete, as another told.

    Nothing that was known before a restore of the store is complete after it.
    """
    if revisions.find_era(heard.revision) < revisions.find_era(seen.revision):
        return
    newest = find_version(seen) >= max(heard.version, follower.peer_version)
    forwarder = follower.reporter.forwarder
    if newest:
        record_newest_configuration(follower, heard.configuration_revision)
    staleness.record_known_times(
        forwarder.freshness,
        heard.seen_at,
        configuration_at=heard.configuration_at if newest else -math.inf)


def record_newest_configuration(follower: StoreFollower, revision: int) -> None:
    """Notes that no configuration is newer up to a revision of the store."""
    forwarder = follower.reporter.forwarder
    forwarder.configuration_revision = max(forwarder.configuration_revision,
                                           revision)


def is_configuration_newest(follower: StoreFollower) -> bool:
    """Returns whether no configuration is newer up to what is known.

    What another entry tells may leave it out.
    """
    return (not is_configuration_behind(follower) and
            follower.reporter.forwarder.configuration_revision
            >= follower.store_snapshot.revision)


def merge_news(follower: StoreFollower, seen: ports.StoreSnapshot,
               heard: tables.News) -> ports.StoreSnapshot | None:
    """Returns what is known with the hub's news; None if it can't be used.

    News that begin later than what is known would leave a gap: an entry once
    went back to an older configuration by such.
    """
    if heard.changes is None or heard.base_revision > seen.revision:
        return None
    merged = follower.store.merge_news(heard.changes, heard.revision)
    if merged is None:
        return None
    if not heard.changes and merged == dataclasses.replace(
            seen, revision=merged.revision):
        _note_seen(follower, merged)
        return merged
    follower.logger.info('news_heard',
                         revision=revisions.format_revision(merged.revision),
                         news=revisions.format_revision(
                             merged.required_revision),
                         age_ms=round(follower.clock.now() - heard.seen_at))
    apply_snapshot(follower, merged, True)
    return merged
