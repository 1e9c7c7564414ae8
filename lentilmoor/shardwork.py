"""The control actor's work on shards: leases, steps, routes."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable
from collections.abc import Mapping

from lentilmoor import controltables
from lentilmoor import delegates
from lentilmoor import evidence
from lentilmoor import grants
from lentilmoor import inbox
from lentilmoor import leasework
from lentilmoor import replies
from lentilmoor import roles
from lentilmoor import routes
from lentilmoor import shardclaims
from lentilmoor import shardstates
from lentilmoor import snapshots
from lentilmoor import successors
from lentilmoor import tables as rows
from lentilmoor.protocol import peer_pb2

_Tables = controltables.ControlTables
_LONGEST_AGE_MS = 1e9
_ANSWERS = (grants.CallFailed, grants.ServerAnswered, grants.GrantAnswered,
            grants.GrantRefused)


def step(tables: _Tables, now: float) -> None:
    """Steps all shards and asks peers about silent grantors."""
    instances = tables.instances()
    for state in tables.shards.values():
        _step_one(tables, state, instances, now)
    _ask_about_grantors(tables, instances)


def take_event(tables: _Tables, event: grants.Event, now: float) -> None:
    """Takes in an event of ownership and does what follows at once."""
    action = getattr(event, 'action', event)
    state = tables.shards.get(action.shard)
    if state is None:
        return
    shardstates.apply(state, event, now)
    if isinstance(event, _ANSWERS):
        _note_server(tables, state, event, now)
    _run(tables, shardstates.follow_up(state, now))


def take_lease(tables: _Tables, message: inbox.LeaseAsked, now: float) -> None:
    """Applies a grantor's order and replies."""
    state = tables.shards.get(message.message.shard)
    if state is None:
        replies.give(message.reply, leasework.REFUSED)
        return
    reply = leasework.take_order(state, message.message, now)
    leasework.follow_map(state)
    refresh_route(tables, state)
    answer = leasework.write_reply(state, tables.dispatcher, reply)
    leasework.add_report(answer, state, now)
    replies.give(message.reply, answer)


def take_lease_reply(tables: _Tables, message: inbox.LeaseReplied,
                     now: float) -> None:
    """Takes in a delegate's reply to an order of ours."""
    state = tables.shards.get(message.event.action.shard)
    if state is None:
        return
    leasework.read_loads(state, message.event.reply.delegate, message.message,
                         now)
    take_event(tables, message.event, now)


def refresh_route(tables: _Tables, state: shardstates.ShardState) -> None:
    """Puts a shard's route in force if it changed."""
    shard = state.shard.id
    view = delegates.view(state.lease)
    known = tables.routes.get(shard)
    if view is not None and known is not None and (
            known.epoch, known.sequence) == view.version:
        if known.expires_at != view.expires_at:
            _put_route(tables, snapshots.renew_route(known, view))
        return
    rebuild_route(tables, state)


def rebuild_route(tables: _Tables, state: shardstates.ShardState) -> None:
    """Builds a shard's route anew and puts it in force."""
    nearest = snapshots.rank_delegates(state.shard.id, tables.instances(),
                                       tables.own)
    _put_route(tables, snapshots.make_route(state, nearest))


def put_snapshot(tables: _Tables) -> None:
    """Puts a snapshot of all tables in force."""
    tables.dispatcher.swap(
        snapshots.make_snapshot(tables.catalog, dict(tables.routes),
                                tables.relays, tables.peers))


def _put_route(tables: _Tables, route: routes.ShardRoute) -> None:
    tables.routes[route.id] = route
    put_snapshot(tables)


def _step_one(tables: _Tables, state: shardstates.ShardState,
              instances: Mapping[str, rows.Instance], now: float) -> None:
    actions = shardstates.step(state, instances, tables.gossip.members.changes,
                               tables.me, now)
    if tables.calls.note_change('grantor_stage', state.shard.id,
                                state.grantor.stage):
        tables.probes_due = True
    _step_claims(tables, state, now)
    _run(tables, actions)


def _step_claims(tables: _Tables, state: shardstates.ShardState,
                 now: float) -> None:
    shard = state.shard
    if not shardstates.is_serving(state, now):
        if not shardstates.is_grantor(state):
            shardclaims.drop(tables.claims, shard.id)
        return
    shardclaims.serve(
        tables.claims,
        shardclaims.Term(shard.id, state.grantor.epoch,
                         shardstates.authority_until(state),
                         shard.settings.claim_retention_s, len(tables.shards)),
        now)


def _run(tables: _Tables, actions: list[grants.Action]) -> None:
    for action in actions:
        tables.calls.run(action)


def _note_server(tables: _Tables, state: shardstates.ShardState,
                 event: grants.Event, now: float) -> None:
    """Counts a grant that was answered, or was not, as a probe."""
    action = event.action
    if not isinstance(action, (grants.SendGrant, grants.AskServer)):
        return
    result = evidence.Result.ANSWERED
    if isinstance(event, grants.CallFailed):
        result = evidence.Result.LOST
    evidence.record(tables.liveness, (state.shard.id, action.server),
                    evidence.Source.PROBE, result, action.sent_at, now)


def _ask_about_grantors(tables: _Tables,
                        instances: Mapping[str, rows.Instance]) -> None:
    """Asks the other delegates when they last heard a silent grantor."""
    asked: dict[str, list[str]] = {}
    for state in tables.shards.values():
        if not state.asks:
            continue
        for row in roles.pick_delegates(state.shard.id, instances.values()):
            asked.setdefault(row.id, []).append(state.shard.id)
    asked.pop(tables.me, None)
    for name, shards in asked.items():
        message = peer_pb2.ExchangeMessage(
            instance=tables.me,
            failure_domain=tables.own.failure_domain,
            asked_shards=shards)
        tables.calls.send_evidence(name, instances[name].peer_address, message)


def answer_about_grantors(tables: _Tables, shards: Iterable[str],
                          now: float) -> list[peer_pb2.GrantorHeard]:
    """Returns how long ago this entry heard the grantors of some shards."""
    heard = []
    for shard in shards:
        state = tables.shards.get(shard)
        if state is None:
            continue
        age_ms = min(now - state.watch.heard_at, _LONGEST_AGE_MS)
        heard.append(
            peer_pb2.GrantorHeard(shard=shard,
                                  grantor=state.watch.grantor,
                                  age_ms=int(age_ms)))
    return heard


def take_grantors(tables: _Tables, peer: str,
                  heard: Iterable[peer_pb2.GrantorHeard], now: float) -> None:
    """Takes in a peer's answer to the question when it heard grantors."""
    for item in heard:
        state = tables.shards.get(item.shard)
        if state is None:
            continue
        if _is_news(state, item):
            successors.note_heard(state.watch, item.grantor, now - item.age_ms)
        elif item.grantor in (state.watch.grantor, shardstates.UNKNOWN):
            successors.note_answer(state.watch, peer, float(item.age_ms), now)


def _is_news(state: shardstates.ShardState,
             item: peer_pb2.GrantorHeard) -> bool:
    """Returns whether a peer lately heard a grantor unknown to this entry."""
    return (state.watch.grantor == shardstates.UNKNOWN and
            item.grantor not in ('', shardstates.UNKNOWN) and
            item.age_ms < state.watch.renew_ms * 2)
