"""Has other entries tell an entry of changes, as they come.

A request for news waits at the entry that is asked, the parent in the tree of
`relays`, until there is a change or its time is over. So changes spread at
once, nothing is sent twice, and a parent that fell silent is noticed soon.

That an entry answers doesn't make what it knows recent. An entry whose copy of
the store grows old asks a few others at random, again and again: whoever is
told by the store or by somebody else tells the rest within a few rounds.
"""

import threading

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import outcomes
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import storecopy
from lentilmoor.edge import tables

PATH = '/news'
# Changes that come in quick succession are told together.
BATCH_INTERVAL_MS = 30.0
CONNECT_TIMEOUT_MS = 300.0
# Entries that are asked at a time by one whose copy of the store is old.
RANDOM_PEERS = 3


def request_news_forever(follower: storecopy.StoreFollower) -> None:
    """Asks for news for as long as the process lives."""
    avoided: dict[str, float] = {}
    while True:
        follower.position = find_place(follower)
        clocks.pause(request_news(follower, avoided))


def request_news(follower: storecopy.StoreFollower,
                 avoided: dict[str, float]) -> float:
    """Asks once for news, if there is somebody to ask.

    Args:
      follower: Takes them in.
      avoided: Until when others aren't to be asked, ms, by address.

    Returns:
      The pause until the next time, ms.
    """
    limits = follower.reporter.forwarder.age_limits
    if follower.position is None or follower.store_snapshot is None:
        return limits.poll_wait_ms
    began = follower.clock.now()
    address = choose_parent(follower.position, avoided, began)
    heard = _ask(follower, address, True)
    now = follower.clock.now()
    if heard is not None:
        follower.relay_answered_at = now
        storecopy.apply_news(follower, heard)
    # One that doesn't answer or knows nothing recent keeps this entry from
    # asking others.
    if heard is None or began - heard.seen_at > limits.refresh_age_ms:
        avoided[address] = now + limits.refresh_age_ms
    if heard is not None and heard.changes:
        return BATCH_INTERVAL_MS
    return max(BATCH_INTERVAL_MS, limits.poll_wait_ms - (now - began))


def ask_random_peers(follower: storecopy.StoreFollower) -> None:
    """Asks others at random if what is known is old; returns at once."""
    forwarder, now = follower.reporter.forwarder, follower.clock.now()
    limits, known = forwarder.age_limits, forwarder.freshness.known_times
    known_at = min(known.servers_at, known.configuration_at)
    if (follower.store_snapshot is None or
            now - known_at < limits.refresh_age_ms):
        _note_sought(follower, now, False)
        return
    pause_ms = limits.refresh_pause_ms
    if now - known_at > limits.silence_timeout_ms:
        pause_ms *= staleness.SLOW_REFRESH_FACTOR
    if now - follower.peers_asked_at < pause_ms:
        return
    _note_sought(follower, now, True)
    if requests.is_store_unavailable(forwarder):
        forwarder.freshness.store_unavailable_at = now
    if now - follower.probed_at >= limits.watch_reply_ms:
        # Whether the store answers tells what the others' silence means.
        follower.probed_at = now
        follower.probe()
    others = sorted(requests.list_other_entries(forwarder))
    chosen = forwarder.generator.sample(others, min(RANDOM_PEERS, len(others)))
    for position, address in enumerate(chosen):
        if follower.random_request_slots.acquire(blocking=False):
            # One of them tells the configuration: it may be large.
            threading.Thread(target=_ask_any,
                             args=(follower, address, position == 0),
                             daemon=True).start()


def _note_sought(follower: storecopy.StoreFollower, now: float,
                 old: bool) -> None:
    """Logs when what is known turns old, and when it is recent again."""
    if old == follower.is_stale:
        follower.peers_asked_at = now if old else follower.peers_asked_at
        return
    follower.is_stale, follower.peers_asked_at = old, now
    forwarder = follower.reporter.forwarder
    known = forwarder.freshness.known_times
    follower.logger.info('copy_outdated' if old else 'copy_recent',
                         age_ms=round(
                             requests.find_age(forwarder, known.servers_at)),
                         configuration_age_ms=round(
                             requests.find_age(forwarder,
                                               known.configuration_at)))


def _ask_any(follower: storecopy.StoreFollower, address: str,
             lacks: bool) -> None:
    """Asks an entry what it knows, and for everything if that leaves a gap.

    Args:
      follower: Who asks.
      address: The other entry's.
      lacks: Whether it is to tell the configuration if that is newer.
    """
    try:
        heard = _ask(follower, address, False, lacks)
        if heard is not None and not storecopy.apply_news(follower, heard):
            _learn(follower, address)
    finally:
        follower.random_request_slots.release()


def _learn(follower: storecopy.StoreFollower, address: str) -> None:
    """Learns all that another entry knows, unless this is under way."""
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
    """Returns whom to ask: the first that isn't avoided, or was so longest."""
    return min(place.parents,
               key=lambda address: max(0.0,
                                       avoided.get(address, 0.0) - now))


def find_place(follower: storecopy.StoreFollower) -> relays.TreePosition | None:
    """Returns an entry's place among the relays; None if the hub tells it."""
    reporter = follower.reporter
    hubs = {peer.address for peer in reporting.find_hubs(reporter)}
    return relays.find_position(follower.own,
                                reporter.forwarder.snapshot.entries, hubs)


def _ask(follower: storecopy.StoreFollower,
         address: str,
         waits: bool,
         lacks: bool = True) -> tables.News | None:
    """Asks an entry for news; None if it doesn't answer.

    Args:
      follower: Who asks.
      address: The other entry's.
      waits: Whether the other is to wait for a change.
      lacks: Whether it is to tell the configuration if that is newer.
    """
    reporter = follower.reporter
    forwarder = reporter.forwarder
    data = reports.encode_news(
        reports.NewsRequest(reporter.instance, forwarder.followed_revision,
                            forwarder.configuration_version if lacks else None,
                            waits))
    asked_at = follower.clock.now()
    wait_ms = forwarder.age_limits.poll_wait_ms if waits else 0.0
    result = reporter.caller.call(address,
                                  httpclient.Request('POST', PATH, data),
                                  wait_ms + forwarder.age_limits.poll_reply_ms,
                                  CONNECT_TIMEOUT_MS)
    failed = isinstance(result, outcomes.Failed)
    reply = None
    if not failed and result.status == 200:
        reply = reports.decode_news_reply(result.body)
    if reply is None:
        follower.logger.info(
            'news_lost',
            parent=address,
            reason=result.reason.value if failed else str(result.status),
            took_ms=round(follower.clock.now() - asked_at))
        return None
    # What is known is as old as it was when the reply was written, and its way
    # may have taken all the time for which it wasn't held.
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


def handle_news_request(follower: storecopy.StoreFollower,
                        asked: reports.NewsRequest) -> reports.NewsReply | None:
    """Tells what has changed, once there is something; None if nothing known.

    Args:
      follower: Knows what has changed.
      asked: Who asks, and how far it has followed.
    """
    forwarder = follower.reporter.forwarder
    began = follower.clock.now()
    lacks = (asked.version is not None and
             asked.version < forwarder.configuration_version)
    if asked.waits and not lacks:
        storecopy.wait_for_change(follower, asked.revision,
                                  forwarder.age_limits.poll_wait_ms)
    # What is told is at least as new as these say.
    known = forwarder.freshness.known_times
    known_at = follower.clock.now()
    configuration_revision = forwarder.configuration_revision
    seen = follower.store_snapshot
    if seen is None:
        return None
    store, settings = forwarder.platform.store, forwarder.platform.settings
    room = reporting.find_news_budget(settings.link_mbps, relays.RELAY_FANOUT)
    return reports.NewsReply(
        revision=seen.revision,
        since=asked.revision,
        changes=store.encode_news(asked.revision, room, asked.version),
        news_age_ms=min(known_at - known.servers_at, reports.UNKNOWN_AGE_MS),
        version=forwarder.newest_configuration_version,
        held_ms=known_at - began,
        configuration_age_ms=min(known_at - known.configuration_at,
                                 reports.UNKNOWN_AGE_MS),
        configuration_revision=configuration_revision,
        unanswered_ms=store.find_unanswered_ms())
