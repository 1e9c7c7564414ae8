"""The control actor's work on settings: adopt branches, put them in force."""

from lentilmoor import branches
from lentilmoor import catalogs
from lentilmoor import controltables
from lentilmoor import evidence
from lentilmoor import gossip
from lentilmoor import inbox
from lentilmoor import items
from lentilmoor import shardclaims
from lentilmoor import shardstates
from lentilmoor import shardwork
from lentilmoor import stores

_Tables = controltables.ControlTables


def step(tables: _Tables, now: float) -> None:
    """Puts in force what has spread to this entry."""
    if tables.gossip.joined:
        tables.informed = True
    changed = [
        _adopt(tables, item)
        for item in gossip.collect_settings(tables.gossip)
        if branches.read_team(item.key) is not None
    ]
    if any(changed):
        _put_in_force(tables, now)
    tables.dispatcher.informed = tables.informed


def take_found(tables: _Tables, message: inbox.BranchesFound,
               now: float) -> None:
    """Takes over records read from the store, to be spread."""
    news = [
        items.Item(record.key, record.version, record.value)
        for record in message.records
        if branches.read_team(record.key) is not None
    ]
    gossip.put_items(tables.gossip, news, now)
    step(tables, now)


def take_store(tables: _Tables, message: inbox.StoreSeen, now: float) -> None:
    """Notes whether the store answers the watcher."""
    tables.store_answers = message.answered
    if message.answered:
        tables.store_seen_at = now
        tables.informed = True
    state = 'answers' if message.answered else 'silent'
    tables.calls.note_change('store', 'watch', state)


def _adopt(tables: _Tables, item: items.Item) -> bool:
    """Returns whether another version of a branch is in force now."""
    team = branches.read_team(item.key)
    current = tables.branches.get(team)
    record = stores.Record(item.key, item.value, item.version)
    branch, problem = branches.adopt(current, record)
    if problem:
        tables.problems[team] = problem
        tables.calls.note_change('branch_problem', team, problem)
        return False
    if branch is current or branch is None:
        return False
    tables.problems.pop(team, None)
    tables.branches[team] = branch
    gossip.note_applied(tables.gossip, item.key, branch.version)
    tables.calls.note_change('branch_version', team, branch.version)
    return True


def _put_in_force(tables: _Tables, now: float) -> None:
    tables.catalog = catalogs.make_catalog(
        branch.settings for branch in tables.branches.values())
    shards = tables.catalog.shards
    for name in tables.shards.keys() - shards.keys():
        _drop_shard(tables, name, now)
    for name, shard in shards.items():
        state = tables.shards.get(name)
        if state is None:
            state = shardstates.make_state(shard, tables.me, now)
            tables.shards[name] = state
        else:
            shardstates.take_settings(state, shard, now)
        _follow_servers(tables, state)
        shardwork.rebuild_route(tables, state)
    tables.probes_due = True
    shardwork.put_snapshot(tables)


def _drop_shard(tables: _Tables, name: str, now: float) -> None:
    state = tables.shards.pop(name)
    shardstates.resign(state, now)
    shardclaims.drop(tables.claims, name)
    tables.routes.pop(name, None)
    for key in [key for key in tables.liveness.servers if key[0] == name]:
        evidence.remove_server(tables.liveness, key)


def _follow_servers(tables: _Tables, state: shardstates.ShardState) -> None:
    """Keeps liveness and gates for just the servers that there are."""
    shard = state.shard
    known = {key for key in tables.liveness.servers if key[0] == shard.id}
    for key in known - {(shard.id, name) for name in shard.servers}:
        evidence.remove_server(tables.liveness, key)
        tables.dispatcher.gates.pop(key, None)
    for name, settings in shard.servers.items():
        evidence.add_server(tables.liveness, (shard.id, name))
        evidence.mark_leaving(tables.liveness, (shard.id, name),
                              settings.leaving)
