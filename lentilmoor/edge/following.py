"""Follows the store: by watches, by the hub's news, or by what peers know.

One thread follows at a time. The hub watches for all; the others take in what
it tells, and look at the store themselves when it tells nothing.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import tables

# Pause before a store that can't be reached is tried again.
STORE_AGAIN_MS = 300.0
# Changes that come in quick succession are taken in together: each watch is a
# call. What the store tells is due within 2 s; the coordinator, which has to
# act on it first, looks sooner.
WATCH_PAUSE_MS = 850.0
COORDINATOR_PAUSE_MS = 350.0
# While the hub tells what has changed, the others look for themselves only this
# often. Each look brings all heartbeats since the last one: with 230 servers
# they came to 66 KB a second, half of a link of 10 Mbit/s for some moments.
TOLD_PAUSE_MS = 6_000.0
# What the hub told counts for so long: it reports a few times as often, and a
# hub that can't reach the store itself must not keep others from it.
NEWS_FRESH_MS = 1_200.0
NEWS_LOOK_MS = 50.0
# An entry that heard from nobody for so long begins to follow anew, whatever it
# waits for: one of 60 did so for 10 s while its leases were kept.
SILENT_MS = 4_000.0
# A hub that fell silent may have ended: whoever takes its place is to know soon
# after its lease has run out, or grants run out before they are renewed.
LOST_HUB_MS = 4_000.0
# A read of the store that took longer is told, as is one that failed. A watch
# waits for a change, of which there is one in nearly each second.
SLOW_READ_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Follower:
    """What following the store needs.

    Attributes:
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
      hurried: Whether to look at the store now.
      lock: Guards `seen`: what is known is taken in by one thread at a time.
    """

    reporter: reporting.Reporter
    store: ports.Store
    clock: clocks.Clock
    logger: logs.Logger
    take: Callable[[ports.Everything, bool], None]
    lose: Callable[[outcomes.Reason], None]
    begun: int = 0
    seen: ports.Everything | None = None
    began_at: float = float('-inf')
    doing: tuple[str, float] = ('', 0.0)
    whole: bool = True
    hurried: threading.Event = dataclasses.field(
        default_factory=threading.Event)
    lock: threading.RLock = dataclasses.field(default_factory=threading.RLock)


def follow_again(follower: Follower) -> None:
    """Begins to follow the store; an earlier watch is left to itself.

    Not if the store or the hub told something a moment ago: an entry that the
    store answered by turns read it whole five times in 11 s, and took in the
    configuration 0.9 s too late.
    """
    if follower.begun and _find_silence(follower) < NEWS_FRESH_MS:
        return
    _begin(follower)


def check(follower: Follower) -> None:
    """Begins to follow anew if nobody has told anything for too long."""
    now = follower.clock.now()
    silence_ms = min(_find_silence(follower), now - follower.began_at)
    if silence_ms < SILENT_MS:
        return
    what, since = follower.doing
    follower.logger.warning('following_silent',
                            silence_ms=round(silence_ms),
                            doing=what,
                            doing_ms=round(now - since),
                            whole=follower.whole)
    _begin(follower)


def _find_silence(follower: Follower) -> float:
    """Returns how long ago the store or the hub told something, ms."""
    forwarder = follower.reporter.forwarder
    told_at = max(forwarder.news.seen_at, forwarder.heard.seen_at)
    return follower.clock.now() - told_at


def _begin(follower: Follower) -> None:
    follower.begun += 1
    follower.began_at = follower.clock.now()
    threading.Thread(target=follow,
                     args=(follower, follower.begun),
                     daemon=True).start()


def follow(follower: Follower, number: int) -> None:
    """Follows the store until following was begun anew."""
    store = follower.store
    while number == follower.begun:
        seen = follower.seen
        whole = seen is None or follower.whole
        _note_doing(follower, 'load' if whole else 'watch')
        found = store.load() if whole else store.watch(seen)
        _note_read(follower, seen, found)
        if number != follower.begun:
            return
        if isinstance(found, outcomes.Failed):
            _follow_loss(follower, found)
            continue
        if whole:
            follower.whole = False
        if not follower.whole:
            follower.hurried.clear()
        follower.reporter.forwarder.news = tables.News(found.revision,
                                                       follower.clock.now())
        _take(follower, found, False)
        _note_doing(follower, 'wait')
        _await_look(follower, number)


def _note_read(follower: Follower, seen: ports.Everything | None,
               found: ports.Everything | outcomes.Failed) -> None:
    """Tells of a read of the store that failed or was slow."""
    what, since = follower.doing
    took_ms = follower.clock.now() - since
    failed = isinstance(found, outcomes.Failed)
    if not failed and took_ms < SLOW_READ_MS:
        return
    follower.logger.info('store_read',
                         what=what,
                         outcome=found.reason.value if failed else 'done',
                         took_ms=round(took_ms),
                         since=seen.revision if seen else 0,
                         revision=0 if failed else found.revision)


def _note_doing(follower: Follower, what: str) -> None:
    follower.doing = (what, follower.clock.now())


def _take(follower: Follower, found: ports.Everything, heard: bool) -> None:
    with follower.lock:
        if follower.seen is not None and (found.revision
                                          < follower.seen.revision):
            return
        _note_seen(follower, found)
        follower.take(found, heard)


def _note_seen(follower: Follower, found: ports.Everything) -> None:
    follower.seen = found
    follower.reporter.forwarder.followed = found.revision


def _await_look(follower: Follower, number: int) -> None:
    """Waits until it is time to look at the store."""
    began = follower.clock.now()
    while number == follower.begun:
        if follower.hurried.wait(NEWS_LOOK_MS / clocks.MS_PER_S):
            follower.hurried.clear()
            return
        if follower.clock.now() - began >= _find_pause(follower):
            return


def take_news(follower: Follower, heard: tables.News) -> None:
    """Takes in what the hub told; looks at the store if that can't be used.

    It never waits for a watch: one that is not answered holds nothing up for
    the 3.3 s after which it counts as lost.
    """
    with follower.lock:
        seen = follower.seen
        if seen is None:
            return
        if heard.revision > seen.revision:
            seen = merge_news(follower, seen, heard)
            if seen is None:
                follower.hurried.set()
                return
    # One that is too large to tell is read: by a watch each of the versions
    # since would come, by a whole read just the last one.
    configuration = seen.configuration
    version = configuration.version if configuration else 0
    if heard.version > version and not follower.whole:
        follower.logger.warning('behind_the_hub',
                                version=version,
                                hub=heard.version,
                                revision=seen.revision)
        follower.whole = True
        follower.hurried.set()


def merge_news(follower: Follower, seen: ports.Everything,
               heard: tables.News) -> ports.Everything | None:
    """Returns what is known with the hub's news; None if it can't be used.

    News that begin later than what is known would leave a gap: an entry once
    went back to an older configuration by such.
    """
    if heard.changes is None or heard.since > seen.revision:
        return None
    merged = follower.store.merge_news(heard.changes, heard.revision)
    if merged is None:
        return None
    if not heard.changes:
        _note_seen(follower, merged)
        return merged
    follower.logger.info('news_heard',
                         revision=merged.revision,
                         news=merged.news,
                         age_ms=round(follower.clock.now() - heard.seen_at))
    _take(follower, merged, True)
    return merged


def _find_pause(follower: Follower) -> float:
    forwarder = follower.reporter.forwarder
    heard_ms = follower.clock.now() - forwarder.heard.seen_at
    leads = any(peer.instance == follower.reporter.instance
                for peer in reporting.find_hubs(follower.reporter))
    if leads or not _is_settled(forwarder.snapshot):
        return COORDINATOR_PAUSE_MS
    if heard_ms < NEWS_FRESH_MS:
        return TOLD_PAUSE_MS
    return COORDINATOR_PAUSE_MS if heard_ms < LOST_HUB_MS else WATCH_PAUSE_MS


def _is_settled(snapshot: tables.Snapshot) -> bool:
    """Returns whether all that needs a coordinator has one."""
    return snapshot.configuration is not None and all(
        name in snapshot.coordinators
        for name in snapshot.configuration.list_keyed())


def _follow_loss(follower: Follower, failed: outcomes.Failed) -> None:
    """Takes in that a call to the store failed, and asks another entry."""
    if failed.reason is outcomes.Reason.NOT_FOUND:
        follower.whole = True
        return
    follower.lose(failed.reason)
    _note_doing(follower, 'ask')
    whole = follower.whole
    heard = reporting.ask_peers(follower.reporter, whole)
    if heard is not None:
        follower.whole = False
        follower.logger.info('store_heard_from_peer',
                             revision=heard.revision,
                             whole=whole)
        _take(follower, heard, True)
    clocks.pause(STORE_AGAIN_MS)
