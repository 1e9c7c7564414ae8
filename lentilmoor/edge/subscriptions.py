"""Requests changes of the store ("news") from other entries.

Requests for news are long polls: each waits at the requested entry, the parent
in the tree of `relays`, until there is a change or it times out. So changes
spread immediately, nothing is sent twice, and a parent that no longer answers
is noticed soon.

An entry may answer although its own data is stale. So an entry whose copy of
the store becomes stale repeatedly asks a few other entries at random. If any
entry receives data from the store, it reaches all others within a few rounds.
"""

import threading

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables

PATH = '/news'
# Minimum pause between two requests. Changes in quick succession are sent
# together.
BATCH_INTERVAL_MS = 30.0
CONNECT_TIMEOUT_MS = 300.0
# Entries that an entry with a stale copy of the store asks in each round.
RANDOM_PEERS = 3


def request_news_forever(follower: storecopy.StoreFollower) -> None:
    """Requests news from the parent until the process ends."""
    avoided: dict[str, float] = {}
    while True:
        follower.position = find_place(follower)
        clocks.pause(request_news(follower, avoided))


def request_news(follower: storecopy.StoreFollower,
                 avoided: dict[str, float]) -> float:
    """Requests news once, if the entry has a parent, and applies it.

    Args:
      follower: State of the entry that follows the store.
      avoided: By address: the time until which an entry is avoided, ms. Updated
        by this function.

    Returns:
      The pause before the next request, ms.
    """
    limits = follower.reporter.forwarder.age_limits
    if follower.position is None or follower.store_snapshot is None:
        return limits.poll_wait_ms
    began = follower.clock.now()
    address = choose_parent(follower.position, avoided, began)
    news = _fetch_news(follower, address, True)
    now = follower.clock.now()
    if news is not None:
        follower.relay_answered_at = now
        storecopy.apply_news(follower, news)
    # A parent that doesn't answer or has only stale data is avoided for a
    # while. Otherwise this entry would not ask another one.
    if news is None or began - news.seen_at > limits.refresh_age_ms:
        avoided[address] = now + limits.refresh_age_ms
    if news is not None and news.changes:
        return BATCH_INTERVAL_MS
    return max(BATCH_INTERVAL_MS, limits.poll_wait_ms - (now - began))


def ask_random_peers(follower: storecopy.StoreFollower) -> None:
    """Asks random entries for news if the copy of the store is stale.

    The requests are sent by other threads; this function doesn't block.
    """
    forwarder, now = follower.reporter.forwarder, follower.clock.now()
    limits, known = forwarder.age_limits, forwarder.freshness.known_times
    known_at = min(known.servers_at, known.configuration_at)
    if (follower.store_snapshot is None or
            now - known_at < limits.refresh_age_ms):
        _update_staleness(follower, now, False)
        return
    pause_ms = limits.refresh_pause_ms
    if now - known_at > limits.silence_timeout_ms:
        pause_ms *= staleness.SLOW_REFRESH_FACTOR
    if now - follower.peers_asked_at < pause_ms:
        return
    _update_staleness(follower, now, True)
    if requests.is_store_unavailable(forwarder):
        forwarder.freshness.store_unavailable_at = now
    if now - follower.probed_at >= limits.watch_reply_ms:
        # If other entries have no news either, the result of the probe shows
        # whether the store is unavailable.
        follower.probed_at = now
        follower.probe()
    others = sorted(requests.list_other_entries(forwarder))
    chosen = forwarder.generator.sample(others, min(RANDOM_PEERS, len(others)))
    for position, address in enumerate(chosen):
        if follower.random_request_slots.acquire(blocking=False):
            # Only the first is asked for the configuration, as it may be large.
            threading.Thread(target=_ask_peer,
                             args=(follower, address, position == 0),
                             daemon=True).start()


def _update_staleness(follower: storecopy.StoreFollower, now: float,
                      stale: bool) -> None:
    """Records whether the copy of the store is stale; logs each change."""
    if stale == follower.is_stale:
        follower.peers_asked_at = now if stale else follower.peers_asked_at
        return
    follower.is_stale, follower.peers_asked_at = stale, now
    forwarder = follower.reporter.forwarder
    known = forwarder.freshness.known_times
    follower.logger.info('copy_outdated' if stale else 'copy_recent',
                         age_ms=round(
                             requests.find_age(forwarder, known.servers_at)),
                         configuration_age_ms=round(
                             requests.find_age(forwarder,
                                               known.configuration_at)))


def _ask_peer(follower: storecopy.StoreFollower, address: str,
              wants_configuration: bool) -> None:
    """Requests news from an entry, and the full state if the news leaves a gap.

    Args:
      follower: State of the entry that sends the request.
      address: Address of the other entry.
      wants_configuration: Whether the reply should contain the configuration
        if it is newer.
    """
    try:
        news = _fetch_news(follower, address, False, wants_configuration)
        if news is not None and not storecopy.apply_news(follower, news):
            _fetch_full_state(follower, address)
    finally:
        follower.random_request_slots.release()


def _fetch_full_state(follower: storecopy.StoreFollower, address: str) -> None:
    """Fetches another entry's full state, unless a fetch is in progress."""
    if not follower.state_request_lock.acquire(blocking=False):
        return
    try:
        found = reporting.fetch_state(follower.reporter, address, 0)
        if found is not None:
            storecopy.apply_snapshot(follower, found, True)
    finally:
        follower.state_request_lock.release()


def choose_parent(place: relays.TreePosition, avoided: dict[str, float],
                  now: float) -> str:
    """Returns the first parent that isn't avoided.

    If all are avoided, it is the one that stops being avoided first.

    Args:
      place: The entry's place in the tree of relays.
      avoided: By address: the time until which an entry is avoided, ms.
      now: The current time, ms.
    """
    return min(place.parents,
               key=lambda address: max(0.0,
                                       avoided.get(address, 0.0) - now))


def find_place(follower: storecopy.StoreFollower) -> relays.TreePosition | None:
    """Returns the entry's place in the tree; None if it has no parents."""
    reporter = follower.reporter
    hubs = {peer.address for peer in reporting.find_hubs(reporter)}
    return relays.find_position(follower.own,
                                reporter.forwarder.snapshot.entries, hubs)


def _fetch_news(follower: storecopy.StoreFollower,
                address: str,
                waits: bool,
                wants_configuration: bool = True) -> tables.News | None:
    """Requests news from an entry; returns None if the request failed.

    Args:
      follower: State of the entry that sends the request.
      address: Address of the other entry.
      waits: Whether the other entry waits for a change.
      wants_configuration: Whether the reply should contain the configuration
        if it is newer.
    """
    reporter = follower.reporter
    forwarder = reporter.forwarder
    data = reports.encode_news(
        reports.NewsRequest(
            reporter.instance, forwarder.followed_revision,
            forwarder.configuration_version if wants_configuration else None,
            waits))
    asked_at = follower.clock.now()
    max_wait_ms = forwarder.age_limits.poll_wait_ms if waits else 0.0
    result = reporter.caller.call(
        address, httpclient.Request('POST', PATH, data),
        max_wait_ms + forwarder.age_limits.poll_reply_ms, CONNECT_TIMEOUT_MS)
    reason = httpclient.find_failure(result)
    reply = None if reason else reports.decode_news_reply(result.body)
    if reply is None:
        follower.logger.info('news_lost',
                             parent=address,
                             reason=reason or httpclient.INVALID_REPLY,
                             took_ms=round(follower.clock.now() - asked_at))
        return None
    # Ages in the reply count from when it was written. Apart from the time for
    # which the request was held, all the time may have been spent on the way
    # back, so the oldest possible time is assumed.
    replied_at = asked_at + reply.held_ms
    staleness.record_peer_copy(forwarder.freshness,
                               replied_at - reply.news_age_ms)
    if reply.unanswered_ms >= forwarder.age_limits.unreachable_after_ms:
        staleness.record_unreachable_report(forwarder.freshness, address,
                                            follower.clock.now())
    return tables.News(reply.revision, replied_at - reply.news_age_ms,
                       reply.since, reply.changes, reply.version,
                       replied_at - reply.configuration_age_ms,
                       reply.configuration_revision)


def handle_news_request(
        follower: storecopy.StoreFollower,
        request: reports.NewsRequest) -> reports.NewsReply | None:
    """Returns news for another entry, after waiting for a change if requested.

    Args:
      follower: State of this entry.
      request: The request.

    Returns:
      The reply, or None if this entry has no copy of the store yet.
    """
    forwarder = follower.reporter.forwarder
    began = follower.clock.now()
    stale = (request.version is not None and
             request.version < forwarder.configuration_version)
    if request.waits and not stale:
        storecopy.wait_for_change(follower, request.revision,
                                  forwarder.age_limits.poll_wait_ms)
    # Read before the data itself, so that the data is at least as recent as
    # these ages and revisions indicate.
    known = forwarder.freshness.known_times
    known_at = follower.clock.now()
    configuration_revision = forwarder.configuration_revision
    seen = follower.store_snapshot
    if seen is None:
        return None
    store, settings = forwarder.platform.store, forwarder.platform.settings
    max_bytes = reporting.find_news_budget(settings.link_mbps,
                                           relays.RELAY_FANOUT)
    return reports.NewsReply(
        revision=seen.revision,
        since=request.revision,
        changes=store.encode_news(request.revision, max_bytes, request.version),
        news_age_ms=min(known_at - known.servers_at, reports.UNKNOWN_AGE_MS),
        version=forwarder.newest_configuration_version,
        held_ms=known_at - began,
        configuration_age_ms=min(known_at - known.configuration_at,
                                 reports.UNKNOWN_AGE_MS),
        configuration_revision=configuration_revision,
        unanswered_ms=store.find_unanswered_ms())
