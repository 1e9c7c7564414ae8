"""The calls that an entry makes for membership and spread, put together."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable

from google.protobuf import message as protobuf

from lentilmoor import counts
from lentilmoor import domains
from lentilmoor import gossiptables
from lentilmoor import items
from lentilmoor import messages
from lentilmoor import spread
from lentilmoor.protocol import peer_pb2

PROTOCOL = 1

_Call = gossiptables.Call
_Gossip = gossiptables.Gossip
_Outgoing = gossiptables.Outgoing


def exchange(gossip: _Gossip, peer: str, now: float) -> _Outgoing:
    """Returns an exchange with a peer, with what it has not got yet."""
    message = make_exchange(gossip, now)
    keys = spread.pick_news(gossip.replica, peer)
    add_news(gossip, message, keys)
    gossip.pushed_at[peer] = now
    return send(gossip, peer, message, keys=tuple(keys))


def push(gossip: _Gossip, now: float) -> list[_Outgoing]:
    """Returns the exchanges due to links that lack something."""
    sent = []
    for peer, queue in gossip.replica.unsent.items():
        due = gossip.pushed_at.get(peer, 0.0) + gossip.settings.push_ms
        if peer not in gossip.members.rows or peer in gossip.busy:
            continue
        if queue and now >= due:
            gossip.busy.add(peer)
            sent.append(exchange(gossip, peer, now))
    return sent


def fetch(gossip: _Gossip, now: float) -> list[_Outgoing]:
    """Returns the fetches of items known to exist and not held."""
    sent = []
    for wanted in spread.pick_fetches(gossip.replica, now):
        if wanted.peer not in gossip.members.rows:
            spread.end_fetch(gossip.replica, wanted, more=False)
            continue
        request = peer_pb2.FetchRequest(instance=gossip.members.own,
                                        keys=wanted.keys)
        sent.append(send(gossip, wanted.peer, request, keys=wanted.keys))
    return sent


def join(gossip: _Gossip) -> list[_Outgoing]:
    """Fetches everything from one peer, page by page, after a start."""
    if gossip.joined or gossip.joining:
        return []
    peers = gossip.links.list_all()
    if not peers:
        gossip.joined = gossip.listed
        return []
    gossip.joining = gossip.rng.choice(peers)
    return [next_page(gossip)]


def next_page(gossip: _Gossip) -> _Outgoing:
    """Returns the fetch of the next page from the peer that we copy."""
    request = peer_pb2.FetchRequest(instance=gossip.members.own,
                                    all=True,
                                    after=gossip.page_after)
    return send(gossip, gossip.joining, request)


def tell_parent(gossip: _Gossip, now: float) -> list[_Outgoing]:
    """Returns the exchange that tells our parent of changed counts."""
    untold = counts.list_untold(gossip.counts)
    if not untold or gossip.counts.parent not in gossip.members.rows:
        return []
    message = make_exchange(gossip, now)
    message.counts.extend(messages.write_counts(untold))
    return [send(gossip, gossip.counts.parent, message, told=tuple(untold))]


def make_exchange(gossip: _Gossip, now: float) -> peer_pb2.ExchangeMessage:
    """Returns an exchange that carries no items yet."""
    own = gossip.members.rows[gossip.members.own].instance
    message = peer_pb2.ExchangeMessage(protocol=PROTOCOL,
                                       instance=own.id,
                                       failure_domain=own.failure_domain,
                                       root=gossip.replica.table.root)
    domains.write_ages(gossip.members.domains, message, now)
    return message


def add_news(gossip: _Gossip, message: peer_pb2.ExchangeMessage,
             keys: Iterable[str]) -> None:
    """Adds items to an exchange: small ones whole, others by notice."""
    for key in keys:
        item = gossip.replica.table.items.get(key)
        if item is None:
            continue
        if spread.is_eager(gossip.replica, item):
            message.digest.append(messages.write_item(item))
        else:
            notice = items.Notice(item.key, item.version)
            message.digest.append(messages.write_notice(notice))


def send(
    gossip: _Gossip,
    peer: str,
    message: protobuf.Message,
    keys: tuple[str, ...] = (),
    told: tuple[counts.Count, ...] = ()
) -> _Outgoing:
    """Returns a call of a known peer."""
    fetching = isinstance(message, peer_pb2.FetchRequest)
    settings = gossip.settings
    return _Outgoing(peer=peer,
                     address=gossip.members.rows[peer].instance.peer_address,
                     call=_Call.FETCH if fetching else _Call.EXCHANGE,
                     message=message,
                     timeout_ms=(settings.fetch_timeout_ms
                                 if fetching else settings.timeout_ms),
                     keys=keys,
                     told=told)
