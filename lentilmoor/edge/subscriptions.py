"""Has another entry tell an entry of changes, as they come.

A request for news waits at the entry that is asked, the parent in the tree of
`relays`, until there is a change or its time is over. So changes spread at
once, nothing is sent twice, and a parent that fell silent is noticed soon.
"""

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import outcomes
from lentilmoor.edge import knowledge
from lentilmoor.edge import relays
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import tables

PATH = '/news'
# How long a request waits for a change. Knowledge is as old as this for each
# step from the hub at most.
HOLD_MS = 250.0
# Changes that come in quick succession are told together.
PAUSE_MS = 30.0
# What a reply may take beyond the time for which it is held, on a full link.
REPLY_MS = 350.0
CONNECT_MS = 300.0
# One that doesn't answer isn't asked again for so long: if it was lost, each
# try keeps the entry from asking others.
AVOID_MS = 5_000.0
# Who knows nothing newer than the first figure isn't asked for the second, as
# others may know more.
STALE_MS = 1_500.0
AVOID_STALE_MS = 1_500.0


def listen(follower: knowledge.Follower) -> None:
    """Asks for news for as long as the process lives."""
    avoided: dict[str, float] = {}
    while True:
        follower.place = _find_place(follower)
        clocks.pause(exchange(follower, avoided))


def exchange(follower: knowledge.Follower, avoided: dict[str, float]) -> float:
    """Asks once for news, if there is somebody to ask.

    Args:
      follower: Takes them in.
      avoided: Until when others aren't to be asked, ms, by address.

    Returns:
      The pause until the next time, ms.
    """
    if follower.place is None or follower.seen is None:
        return HOLD_MS
    began = follower.clock.now()
    address = choose(follower.place, avoided, began)
    heard = _ask(follower, address)
    now = follower.clock.now()
    if heard is not None:
        follower.told_at = now
        knowledge.take_news(follower, heard)
    if heard is None:
        avoided[address] = now + AVOID_MS
    elif began - heard.seen_at > STALE_MS:
        avoided[address] = now + AVOID_STALE_MS
    if heard is not None and heard.changes:
        return PAUSE_MS
    return max(PAUSE_MS, HOLD_MS - (now - began))


def choose(place: relays.Place, avoided: dict[str, float], now: float) -> str:
    """Returns whom to ask: the first that isn't avoided, or was so longest."""
    return min(place.parents,
               key=lambda address: max(0.0,
                                       avoided.get(address, 0.0) - now))


def _find_place(follower: knowledge.Follower) -> relays.Place | None:
    reporter = follower.reporter
    hubs = {peer.address for peer in reporting.find_hubs(reporter)}
    return relays.find_place(follower.own, reporter.forwarder.snapshot.entries,
                             hubs)


def _ask(follower: knowledge.Follower, address: str) -> tables.News | None:
    """Asks an entry for news; None if it doesn't answer."""
    reporter = follower.reporter
    data = reports.encode_news(
        reports.NewsRequest(reporter.instance, reporter.forwarder.followed))
    asked_at = follower.clock.now()
    result = reporter.caller.call(address,
                                  httpcalls.Request('POST', PATH, data),
                                  HOLD_MS + REPLY_MS, CONNECT_MS)
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
    seen_at = asked_at + reply.held_ms - reply.news_age_ms
    return tables.News(reply.revision, seen_at, reply.since, reply.changes,
                       reply.version)


def answer(follower: knowledge.Follower,
           asked: reports.NewsRequest) -> reports.NewsReply | None:
    """Tells what has changed, once there is something; None if nothing known.

    Args:
      follower: Knows what has changed.
      asked: Who asks, and how far it has followed.
    """
    began = follower.clock.now()
    knowledge.await_change(follower, asked.revision, HOLD_MS)
    seen = follower.seen
    if seen is None:
        return None
    forwarder = follower.reporter.forwarder
    store, settings = forwarder.platform.store, forwarder.platform.settings
    age_ms = requests.find_news_age(forwarder)
    room = reporting.find_room(settings.link_mbps, relays.FANOUT)
    version = seen.configuration.version if seen.configuration else 0
    return reports.NewsReply(seen.revision, asked.revision,
                             store.tell_news(asked.revision, room), age_ms,
                             version,
                             follower.clock.now() - began)
