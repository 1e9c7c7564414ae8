"""The control actor's work on membership and spread."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from lentilmoor import controltables
from lentilmoor import evidencework
from lentilmoor import gossip
from lentilmoor import inbox
from lentilmoor import members
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import replies
from lentilmoor import reports
from lentilmoor import shardclaims
from lentilmoor import shardstates
from lentilmoor import shardwork
from lentilmoor import snapshots
from lentilmoor import stores
from lentilmoor import tables as rows
from lentilmoor.protocol import peer_pb2

# Crashes told in one exchange.
MOST_CRASHES = 32
LIST_AGAIN_MS = 2_000.0

_Tables = controltables.ControlTables


def step(tables: _Tables, now: float) -> None:
    """Makes the calls that are due and follows changes of membership."""
    _send(tables, gossip.tick(tables.gossip, now))
    _follow_members(tables, now)
    _read_list(tables, now)


def _read_list(tables: _Tables, now: float) -> None:
    """Has the platform's list read while a takeover waits for delegates.

    Whether a delegate has ended is the platform's to say, and this entry
    need not be one that reads the list anyway.
    """
    waiting = [
        state for state in tables.shards.values()
        if shardstates.is_gathering(state)
    ]
    if not waiting:
        return
    ended = _find_ended(tables, now)
    for state in waiting:
        shardstates.note_ended(state, ended, now)
    if now - tables.listed_at >= LIST_AGAIN_MS:
        tables.listed_at = now
        tables.calls.read_list()


def _find_ended(tables: _Tables, now: float) -> frozenset[str]:
    """Returns delegates that the platform has long not listed any more."""
    longest = tables.gossip.members.settings.absent_ms
    return frozenset(name for name, since in tables.unlisted_since.items()
                     if now - since >= longest)


def _note_unlisted(tables: _Tables, listed: tuple[stores.ListedInstance, ...],
                   now: float) -> None:
    """Notes since when delegates of a shard to be taken are not listed.

    Whoever was a delegate had been on the list; this entry may be too young
    to have seen it there.
    """
    names = {line.id for line in listed}
    wanted = {
        member for state in tables.shards.values()
        if shardstates.is_gathering(state)
        for member in shardstates.list_delegates(state)
    }
    tables.unlisted_since = {
        name: tables.unlisted_since.get(name, now) for name in wanted - names
    }


def take_list(tables: _Tables, message: inbox.InstancesListed,
              now: float) -> None:
    """Weighs a reading of the platform's list."""
    if isinstance(message.listed, outcomes.Failed):
        return
    gossip.take_list(tables.gossip, message.listed, now)
    _note_unlisted(tables, message.listed, now)
    _follow_members(tables, now)


def take_exchange(tables: _Tables, message: inbox.ExchangeAsked,
                  now: float) -> None:
    """Answers a peer's exchange."""
    asked = message.message
    reply = gossip.answer_exchange(tables.gossip, asked, now)
    evidencework.take_peer_evidence(tables, asked, now)
    reply.grantors.extend(
        shardwork.answer_about_grantors(tables, asked.asked_shards, now))
    replies.give(message.reply, reply)
    _follow_members(tables, now)


def take_fetch(tables: _Tables, message: inbox.FetchAsked, now: float) -> None:
    """Answers a peer's fetch."""
    del now
    replies.give(message.reply,
                 gossip.answer_fetch(tables.gossip, message.message))


def take_reply(tables: _Tables, message: inbox.GossipReplied,
               now: float) -> None:
    """Takes in the outcome of a call of membership or spread."""
    _send(
        tables,
        gossip.take_reply(tables.gossip, message.outgoing, message.reply, now))
    _follow_members(tables, now)


def take_evidence_reply(tables: _Tables, message: inbox.EvidenceReplied,
                        now: float) -> None:
    """Takes in a peer's answer to evidence or to a question."""
    if isinstance(message.reply, outcomes.Failed):
        return
    members.hear(tables.gossip.members, message.peer, now)
    shardwork.take_grantors(tables, message.peer, message.reply.grantors, now)


def leave(tables: _Tables, now: float) -> None:
    """Announces that this entry is leaving; its roles move to others."""
    tables.leaving = True
    gossip.leave(tables.gossip, now)


def _send(tables: _Tables, calls: list[gossip.Outgoing]) -> None:
    for call in calls:
        if call.call is gossip.Call.EXCHANGE:
            call.message.crashes.extend(_list_crashes(tables))
        tables.calls.send_gossip(call)


def _list_crashes(tables: _Tables) -> list[peer_pb2.CrashEvidence]:
    """Returns what peers should know of requests that crash servers."""
    suspects = tables.dispatcher.suspects
    if not suspects.suspects:
        return []
    known = quarantine.export(suspects, tables.clock.now())
    return [reports.write_crash(item) for item in known[:MOST_CRASHES]]


def _follow_members(tables: _Tables, now: float) -> None:
    """Brings what depends on the list of entries up to date."""
    changes = tables.gossip.members.changes
    if changes == tables.members_seen:
        return
    tables.members_seen = changes
    instances = tables.instances()
    tables.relays = snapshots.make_relays(instances.values())
    tables.peers = {row.id: row.peer_address for row in instances.values()}
    for row in instances.values():
        tables.calls.note_change('entry_liveness', row.id, row.liveness)
        if row.liveness is rows.Liveness.DEAD:
            shardclaims.lose_instance(tables.claims, row.id, now)
    tables.probes_due = True
    for state in tables.shards.values():
        shardwork.rebuild_route(tables, state)
    shardwork.put_snapshot(tables)
