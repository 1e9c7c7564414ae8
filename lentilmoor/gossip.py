"""One entry's part in membership and spread: what to send, what to answer.

Pure functions over an entry's state: a runner calls `tick` every 100 ms or so,
sends what it returns, and brings the replies to `take_reply`; the server side
calls `answer_exchange` and `answer_fetch`. All on one thread, as an actor does.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable
import random

from google.protobuf import message as protobuf

from lentilmoor import counts
from lentilmoor import detectors
from lentilmoor import domains
from lentilmoor import gossipcalls
from lentilmoor import gossiptables
from lentilmoor import items
from lentilmoor import members as membership
from lentilmoor import messages
from lentilmoor import neighbours
from lentilmoor import outcomes
from lentilmoor import spread
from lentilmoor import tables
from lentilmoor.protocol import peer_pb2

Call = gossiptables.Call
Gossip = gossiptables.Gossip
GossipSettings = gossiptables.GossipSettings
Outgoing = gossiptables.Outgoing

_REFUTABLE = (membership.State.SUSPECT, membership.State.DEAD)


def make_gossip(own: tables.Instance,
                incarnation: int,
                now: float,
                rng: random.Random,
                settings: GossipSettings | None = None) -> Gossip:
    """Returns the state of an entry that has just started.

    Args:
      own: Its row.
      incarnation: Seconds of wall time; see `members.make_members`.
      now: Milliseconds.
      rng: Seeded source of chance.
      settings: Times.
    """
    members = membership.make_members(own, incarnation, now)
    gossip = Gossip(members, spread.Replica(), counts.Counts(), rng, settings or
                    GossipSettings())
    put_items(gossip, [membership.announce(members)], now)
    return gossip


def put_items(gossip: Gossip, news: Iterable[items.Item], now: float) -> None:
    """Takes over items, say settings that were read from the store."""
    for item in news:
        _put(gossip, item, now, '')


def take_list(gossip: Gossip, listed, now: float) -> None:
    """Weighs a reading of the platform's list; see `members.take_list`."""
    gossip.listed = True
    put_items(gossip, membership.take_list(gossip.members, listed, now), now)


def leave(gossip: Gossip, now: float) -> None:
    """Announces that this entry is leaving."""
    put_items(gossip, membership.leave(gossip.members, now), now)


def collect_settings(gossip: Gossip) -> list[items.Item]:
    """Returns items newly taken over that are not about members."""
    changed = spread.collect_changed(gossip.replica)
    return [
        item for item in changed if not item.key.startswith(membership.PREFIX)
    ]


def note_applied(gossip: Gossip, key: str, version: int) -> None:
    """Notes that a version of an item is in force here."""
    counts.note_applied(gossip.counts, key, version)


def tick(gossip: Gossip, now: float) -> list[Outgoing]:
    """Returns the calls to make now."""
    sent = []
    if now - gossip.beat_at >= gossip.settings.beat_ms:
        gossip.beat_at = now
        sent += _beat(gossip, now)
    sent += gossipcalls.push(gossip, now)
    sent += gossipcalls.fetch(gossip, now)
    return sent


def answer_exchange(gossip: Gossip, message: peer_pb2.ExchangeMessage,
                    now: float) -> peer_pb2.ExchangeMessage:
    """Takes in a peer's exchange and returns the reply."""
    peer = message.instance
    lacking = _take_exchange(gossip, message, now)
    reply = gossipcalls.make_exchange(gossip, now)
    gossipcalls.add_news(gossip, reply, lacking)
    gossipcalls.add_news(gossip, reply, spread.pick_news(gossip.replica, peer))
    _answer_level(gossip, message, reply)
    if message.count_keys:
        asked = [read_own_count(gossip, key) for key in message.count_keys]
        reply.counts.extend(messages.write_counts(asked))
    return reply


def answer_fetch(gossip: Gossip,
                 request: peer_pb2.FetchRequest) -> peer_pb2.FetchReply:
    """Returns the values that a peer asks for, as many as fit."""
    held = gossip.replica.table.items
    keys = [key for key in request.keys if key in held]
    if request.all:
        keys = spread.list_after(gossip.replica, request.after)
    page = spread.read_page(gossip.replica, keys)
    return peer_pb2.FetchReply(items=[messages.write_item(x) for x in page],
                               more=len(page) < len(keys))


def take_reply(gossip: Gossip, outgoing: Outgoing,
               reply: protobuf.Message | outcomes.Failed,
               now: float) -> list[Outgoing]:
    """Takes in the outcome of a call and returns the calls that follow."""
    gossip.busy.discard(outgoing.peer)
    if isinstance(reply, outcomes.Failed):
        return _take_failure(gossip, outgoing, now)
    if outgoing.call is Call.FETCH:
        membership.hear(gossip.members, outgoing.peer, now)
        return _take_fetched(gossip, outgoing, reply, now)
    if outgoing.told:
        counts.note_told(gossip.counts, outgoing.told)
    lacking = _take_exchange(gossip, reply, now)
    return _compare(gossip, outgoing.peer, reply, lacking, now)


def ask_counts(gossip: Gossip, keys: Iterable[str],
               now: float) -> list[Outgoing]:
    """Returns the calls that ask each failure domain's root for counts.

    If `gossip.counts.parent` is empty, this entry is the root of its own
    domain and `read_own_count` gives that domain's count.
    """
    rows = membership.list_instances(gossip.members)
    asked = []
    for domain in sorted({row.failure_domain for row in rows}):
        order = counts.order_domain(domain, rows)
        if order and order[0] != gossip.members.own:
            message = gossipcalls.make_exchange(gossip, now)
            message.count_keys.extend(keys)
            asked.append(gossipcalls.send(gossip, order[0], message))
    return asked


def read_own_count(gossip: Gossip, key: str) -> counts.Count:
    """Returns the count of a key at and below this entry."""
    return counts.read_count(gossip.counts, key)


def _beat(gossip: Gossip, now: float) -> list[Outgoing]:
    put_items(gossip, detectors.step(gossip.members, now), now)
    _forget(gossip)
    _relink(gossip, now)
    gossip.beats += 1
    targets = list(gossip.links.watched)
    for group in (gossip.links.local, gossip.links.remote):
        if group:
            targets.append(group[gossip.beats % len(group)])
    targets += detectors.list_to_confirm(gossip.members)
    targets += _pick_unreachable(gossip, now)
    sent = [
        gossipcalls.exchange(gossip, peer, now)
        for peer in dict.fromkeys(targets)
        if peer in gossip.members.rows
    ]
    sent += gossipcalls.tell_parent(gossip, now)
    return sent + gossipcalls.join(gossip)


def _pick_unreachable(gossip: Gossip, now: float) -> list[str]:
    """Tries somebody who is out of reach, so that partitions heal."""
    if now - gossip.healed_at < gossip.settings.heal_ms:
        return []
    lost = detectors.list_unreachable(gossip.members)
    if not lost:
        return []
    gossip.healed_at = now
    return [gossip.rng.choice(lost)]


def _relink(gossip: Gossip, now: float) -> None:
    if gossip.members.changes == gossip.linked_changes:
        return
    if now - gossip.linked_at < gossip.settings.relink_ms:
        return
    gossip.linked_at = now
    gossip.linked_changes = gossip.members.changes
    rows = membership.list_instances(gossip.members)
    own = gossip.members.rows[gossip.members.own].instance
    gossip.links = neighbours.choose(own, rows)
    # A new peer may not know us, and could not call us back.
    spread.set_peers(gossip.replica, gossip.links.list_all(),
                     membership.PREFIX + own.id)
    counts.set_place(gossip.counts, counts.find_place(own, rows))


def _forget(gossip: Gossip) -> None:
    for key in membership.collect_forgotten(gossip.members):
        items.drop(gossip.replica.table, key)


def _take_exchange(gossip: Gossip, message: peer_pb2.ExchangeMessage,
                   now: float) -> list[str]:
    """Takes in a message; returns keys of items that its sender lacks."""
    peer = message.instance
    membership.hear(gossip.members, peer, now)
    domains.take_ages(gossip.members.domains, message, now)
    lacking = []
    for entry in message.digest:
        if entry.full:
            _put(gossip, messages.read_item(entry), now, peer)
        behind = spread.take_notice(gossip.replica, peer,
                                    messages.read_notice(entry))
        if behind is not None:
            lacking.append(behind.key)
    if message.counts:
        told = messages.read_counts(message.counts)
        counts.take_counts(gossip.counts, peer, told)
    member = gossip.members.rows.get(peer)
    if member and membership.read_state(member) in _REFUTABLE:
        # It may refute that it is suspected or dead.
        lacking.append(membership.PREFIX + peer)
    return lacking


def _put(gossip: Gossip, item: items.Item, now: float, source: str) -> None:
    if not spread.put(gossip.replica, item, now, source):
        return
    if not item.key.startswith(membership.PREFIX):
        return
    refuted = membership.take_item(gossip.members, item, now)
    put_items(gossip, refuted, now)


def _answer_level(gossip: Gossip, message: peer_pb2.ExchangeMessage,
                  reply: peer_pb2.ExchangeMessage) -> None:
    replica = gossip.replica
    if message.listed:
        listed = [messages.read_notice(entry) for entry in message.digest]
        missing = spread.list_missing(replica, message.listed, listed)
        gossipcalls.add_news(gossip, reply, [notice.key for notice in missing])
    elif len(message.level.digests) == items.FAN_OUT:
        for branch in spread.pick_branches(replica, message.level.digests):
            reply.level.branch.append(branch)
            reply.level.digests.extend(items.read_branch(replica.table, branch))


def _compare(gossip: Gossip, peer: str, reply: peer_pb2.ExchangeMessage,
             lacking: list[str], now: float) -> list[Outgoing]:
    """Goes down the digest tree, one level with each call."""
    replica = gossip.replica
    buckets = spread.pick_buckets(replica, reply.level.branch,
                                  list(reply.level.digests))
    begins = not buckets and _is_time_to_compare(gossip, reply.root, now)
    if not (buckets or begins or lacking):
        return []
    message = gossipcalls.make_exchange(gossip, now)
    gossipcalls.add_news(gossip, message, lacking)
    if buckets:
        message.listed.extend(buckets)
        listed = items.list_buckets(replica.table, buckets)
        message.digest.extend(messages.write_notice(x) for x in listed)
    if begins:
        gossip.compared_at = now
        message.level.digests.extend(replica.table.branches)
    return [gossipcalls.send(gossip, peer, message)]


def _is_time_to_compare(gossip: Gossip, root: int, now: float) -> bool:
    if root == gossip.replica.table.root or gossip.replica.wants:
        return False
    since = now - gossip.compared_at
    if since < gossip.settings.settle_ms:
        return False
    quiet = now - gossip.replica.changed_at >= gossip.settings.settle_ms
    return quiet or since >= gossip.settings.force_ms


def _take_fetched(gossip: Gossip, outgoing: Outgoing,
                  reply: peer_pb2.FetchReply, now: float) -> list[Outgoing]:
    for entry in reply.items:
        _put(gossip, messages.read_item(entry), now, outgoing.peer)
    if not outgoing.message.all:
        fetch = spread.Fetch(outgoing.peer, outgoing.keys)
        spread.end_fetch(gossip.replica, fetch, reply.more)
        return gossipcalls.fetch(gossip, now)
    if not reply.more:
        gossip.joined = True
        gossip.joining = ''
        return []
    gossip.page_after = reply.items[-1].key
    return [gossipcalls.next_page(gossip)]


def _take_failure(gossip: Gossip, outgoing: Outgoing,
                  now: float) -> list[Outgoing]:
    put_items(gossip, detectors.miss(gossip.members, outgoing.peer, now), now)
    if outgoing.call is Call.EXCHANGE:
        spread.return_news(gossip.replica, outgoing.peer, outgoing.keys)
        # Don't push to it again and again: the next beat tries it.
        gossip.pushed_at[outgoing.peer] = now + gossip.settings.beat_ms
    elif outgoing.message.all:
        gossip.joining = ''  # The next beat tries another peer.
    else:
        fetch = spread.Fetch(outgoing.peer, outgoing.keys)
        spread.end_fetch(gossip.replica, fetch, more=False)
    return []
