"""Follows the store: by watches, by others' news, or by what peers know.

One thread follows at a time. The hub watches for all; the others take in what
they are told, by the hub or by their parent among the relays, and look at the
store themselves when they are told nothing.
"""

import math
import threading

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import revisions
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables

# Pause before a store that can't be reached is tried again.
STORE_RETRY_MS = 300.0
# While the hub tells what has changed, the others look for themselves only this
# often: each look brings the heartbeats of all servers since the last one,
# which fill a slow link.
INFORMED_READ_INTERVAL_MS = 6_000.0
# Relays and those that they tell don't look while they are told.
NO_READ_MS = float('inf')
READ_CHECK_INTERVAL_MS = 50.0
# Entries that relays tell and that look at the store at a time, on the mean,
# once nobody tells anything recent.
MEAN_READING_LEAVES = 1.0
# A start on a small machine asks larger ones for what the store holds, which
# costs the store a call for each page, for so long, with such pauses.
BOOTSTRAP_TIMEOUT_MS = 1_500.0
BOOTSTRAP_RETRY_MS = 100.0
# Larger entries that are asked between two looks at who is registered.
BOOTSTRAP_PEERS = 2
# A configuration that others have in force is read from the store unless it
# comes by news meanwhile.
CONFIGURATION_WAIT_MS = 200.0
# A hub that fell silent may have ended: whoever takes its place is to know soon
# after its lease has run out, or grants run out before they are renewed.
HUB_LOSS_MS = 4_000.0
# A read of the store that took longer is told, as is one that failed. A watch
# waits for a change, of which there is one in nearly each second.
SLOW_READ_MS = 1_000.0
# A watch that has waited for so long when the store answers again may have been
# sent while it was silent, and may never be answered.
HUNG_WATCH_MS = 250.0


def restart_following(follower: storecopy.StoreFollower) -> None:
    """Begins to follow the store; an earlier watch is left to itself.

    Not if the store or the hub told something a moment ago, as whole reads fill
    a slow link. A watch that may hang is left all the same: until it times out,
    its thread can't look at the store.
    """
    hangs = _hangs(follower)
    silence_ms = _find_silence(follower, counts_relays=not hangs)
    limits = follower.reporter.forwarder.age_limits
    if not follower.start_count or silence_ms >= limits.refresh_age_ms:
        _begin(follower)
    elif hangs:
        _begin(follower, reads=False)


def restart_with_full_read(follower: storecopy.StoreFollower) -> None:
    """Begins with a whole read, as the store was restored."""
    follower.needs_full_read = True
    _begin(follower)


def _hangs(follower: storecopy.StoreFollower) -> bool:
    """Returns whether a watch may have been sent to a silent store."""
    what, since = follower.activity
    return what == 'watch' and follower.clock.now() - since >= HUNG_WATCH_MS


def restart_if_silent(follower: storecopy.StoreFollower) -> None:
    """Begins to follow anew if nobody has told anything for too long.

    A call may hang while the entry's leases are kept.
    """
    now = follower.clock.now()
    silence_ms = min(_find_silence(follower, counts_relays=True),
                     now - follower.started_at)
    if silence_ms < follower.reporter.forwarder.age_limits.silence_timeout_ms:
        return
    what, since = follower.activity
    follower.logger.warning('following_silent',
                            silence_ms=round(silence_ms),
                            doing=what,
                            doing_ms=round(now - since),
                            whole=follower.needs_full_read)
    _begin(follower)


def _find_silence(follower: storecopy.StoreFollower, *,
                  counts_relays: bool) -> float:
    """Returns how long ago the store, the hub or a relay told something, ms.

    Args:
      follower: Who follows.
      counts_relays: Whether what a relay told counts. It may be old: while the
        store is away relays know no more.
    """
    forwarder = follower.reporter.forwarder
    told_at = max(forwarder.own_progress.seen_at,
                  forwarder.hub_progress.seen_at)
    if _is_leaf(follower) and counts_relays:
        told_at = max(told_at, follower.relay_answered_at)
    return follower.clock.now() - told_at


def _is_leaf(follower: storecopy.StoreFollower) -> bool:
    """Returns whether relays tell this entry, and it isn't one of them."""
    return follower.position is not None and not follower.position.is_relay


def _begin(follower: storecopy.StoreFollower, reads: bool = True) -> None:
    follower.start_count += 1
    follower.started_at = follower.clock.now()
    threading.Thread(target=follow,
                     args=(follower, follower.start_count, reads),
                     daemon=True).start()


def follow(follower: storecopy.StoreFollower,
           number: int,
           reads: bool = True) -> None:
    """Follows the store until following was begun anew.

    Args:
      follower: What it needs.
      number: Which beginning this is.
      reads: Whether to read the store at once, not when it is time to.
    """
    known = not reads or (follower.store_snapshot is None and
                          follower.own.small and _learn(follower))
    while number == follower.start_count:
        # Relays and the hub try a store again that didn't answer; the others,
        # of which there may be many, leave that to them.
        if (not known and not read_store(follower, number) and
            (follower.needs_full_read or not _is_leaf(follower))):
            continue
        known = False
        _note_doing(follower, 'wait')
        _await_look(follower, number)


def _learn(follower: storecopy.StoreFollower) -> bool:
    """Learns from an entry on a larger machine what the store holds.

    So a start costs the store a call or two, and a slow link a part of the
    bytes.

    Returns:
      Whether it did; if not, the store is to be read.
    """
    until = follower.clock.now() + BOOTSTRAP_TIMEOUT_MS
    while follower.clock.now() < until:
        _note_doing(follower, 'learn')
        found = follower.store.list_entries()
        if isinstance(found, outcomes.Failed):
            return False
        for peer in _choose_larger(follower, found):
            learned = reporting.fetch_state(follower.reporter, peer.address, 0)
            if learned is not None and learned.configuration is not None:
                follower.logger.info('store_learned',
                                     peer=peer.instance,
                                     revision=revisions.format_revision(
                                         learned.revision))
                follower.needs_full_read = False
                storecopy.apply_snapshot(follower, learned, True)
                return True
        clocks.pause(BOOTSTRAP_RETRY_MS)
    return False


def _choose_larger(follower: storecopy.StoreFollower,
                   found: list[ports.Peer]) -> list[ports.Peer]:
    """Returns some entries on larger machines, near ones first."""
    generator = follower.reporter.forwarder.generator
    larger = [
        peer for peer in found
        if not peer.small and peer.address != follower.own.address
    ]
    larger.sort(key=lambda peer:
                (peer.domain != follower.own.domain, generator.random()))
    return larger[:BOOTSTRAP_PEERS]


def read_store(follower: storecopy.StoreFollower, number: int) -> bool:
    """Reads the store; returns whether what it holds was taken in."""
    seen, store = follower.store_snapshot, follower.store
    what = _find_read(follower)
    newest = seen is not None and storecopy.is_configuration_newest(follower)
    doing = _note_doing(follower, what)
    _, asked_at = doing
    if what == 'load':
        found = store.load()
    elif what == 'configuration':
        found = store.load_configuration()
    else:
        found = store.watch(seen)
    _note_read(follower, doing, seen, found)
    if number != follower.start_count:
        return False
    if isinstance(found, outcomes.Failed):
        _follow_loss(follower, found)
        return False
    if what == 'load':
        follower.needs_full_read = False
    if not follower.needs_full_read:
        follower.read_now.clear()
    forwarder = follower.reporter.forwarder
    if what != 'configuration':
        forwarder.own_progress = tables.News(found.revision, asked_at)
    storecopy.apply_snapshot(follower, found, False)
    behind = storecopy.is_configuration_behind(follower)
    if what == 'load' or what == 'watch' and newest:
        storecopy.record_newest_configuration(follower, found.revision)
    elif what == 'configuration' and not behind:
        storecopy.record_newest_configuration(follower, seen.revision)
    # When the store answered isn't known, only that it was after it was asked.
    staleness.record_known_times(
        forwarder.freshness,
        servers_at=-math.inf if what == 'configuration' else asked_at,
        configuration_at=(asked_at if not behind and
                          (newest or what != 'watch') else -math.inf))
    if what == 'configuration' and behind:
        # A restored store may hold an older one than others have in force.
        _ask_others(follower, whole=True)
    return True


def _find_read(follower: storecopy.StoreFollower) -> str:
    """Returns what to read of the store next."""
    if follower.store_snapshot is None or follower.needs_full_read:
        return 'load'
    return 'watch' if storecopy.is_configuration_newest(
        follower) else 'configuration'


def _note_read(follower: storecopy.StoreFollower, doing: tuple[str, float],
               seen: ports.StoreSnapshot | None,
               found: ports.StoreSnapshot | outcomes.Failed) -> None:
    """Tells of a read of the store that failed or was slow.

    Another thread may follow by now: `follower.activity` is what that one is
    at.
    """
    what, since = doing
    took_ms = follower.clock.now() - since
    failed = isinstance(found, outcomes.Failed)
    if not failed and took_ms < SLOW_READ_MS:
        return
    follower.logger.info(
        'store_read',
        what=what,
        outcome=found.reason.value if failed else 'done',
        took_ms=round(took_ms),
        since=revisions.format_revision(seen.revision if seen else 0),
        revision=revisions.format_revision(0 if failed else found.revision))


def _note_doing(follower: storecopy.StoreFollower,
                what: str) -> tuple[str, float]:
    doing = follower.activity = (what, follower.clock.now())
    return doing


def _await_look(follower: storecopy.StoreFollower, number: int) -> None:
    """Waits until it is time to look at the store."""
    began = follower.clock.now()
    while number == follower.start_count:
        if follower.read_now.wait(READ_CHECK_INTERVAL_MS / clocks.MS_PER_S):
            follower.read_now.clear()
            return
        now = follower.clock.now()
        if now - began >= find_read_interval(follower):
            return
        if storecopy.is_configuration_behind(
                follower
        ) and now - follower.peer_version_at >= CONFIGURATION_WAIT_MS:
            return


def find_read_interval(follower: storecopy.StoreFollower) -> float:
    """Returns the pause until the store is to be looked at again, ms."""
    forwarder, place = follower.reporter.forwarder, follower.position
    limits = forwarder.age_limits
    heard_ms = follower.clock.now() - min(
        forwarder.hub_progress.seen_at,
        forwarder.freshness.known_times.configuration_at)
    leads = any(peer.address == follower.own.address
                for peer in reporting.find_hubs(follower.reporter))
    if leads or place is None and not _is_settled(forwarder.snapshot):
        return limits.hub_watch_pause_ms
    if _is_leaf(follower):
        chosen = forwarder.generator.random() * len(
            forwarder.snapshot.entries) < MEAN_READING_LEAVES
        return (0.0 if heard_ms >= limits.store_check_age_ms and chosen else
                NO_READ_MS)
    if heard_ms < limits.refresh_age_ms:
        return INFORMED_READ_INTERVAL_MS if place is None else NO_READ_MS
    if heard_ms < HUB_LOSS_MS:
        return limits.hub_watch_pause_ms
    return limits.watch_pause_ms


def _is_settled(snapshot: tables.RoutingSnapshot) -> bool:
    """Returns whether all that needs a coordinator has one."""
    return snapshot.configuration is not None and all(
        name in snapshot.coordinators
        for name in snapshot.configuration.list_keyed())


def _follow_loss(follower: storecopy.StoreFollower,
                 failed: outcomes.Failed) -> None:
    """Takes in that a call to the store failed, and asks another entry."""
    if failed.reason is outcomes.Reason.NOT_FOUND:
        follower.needs_full_read = True
        return
    follower.report_store_lost(failed.reason)
    # What has changed since is asked for by `subscriptions.ask_random_peers`.
    if follower.needs_full_read or storecopy.is_configuration_behind(follower):
        _note_doing(follower, 'ask')
        _ask_others(follower, True)
    clocks.pause(STORE_RETRY_MS)


def _ask_others(follower: storecopy.StoreFollower, whole: bool) -> None:
    """Asks another entry what the store holds."""
    heard = reporting.fetch_state_from_peer(follower.reporter, whole)
    if heard is not None:
        follower.needs_full_read = False
        follower.logger.info('store_heard_from_peer',
                             revision=revisions.format_revision(heard.revision),
                             whole=whole)
        storecopy.apply_snapshot(follower, heard, True)
