"""What the administration API asks of a running entry."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lentilmoor import branches
from lentilmoor import controltables
from lentilmoor import evidencework
from lentilmoor import gossip
from lentilmoor import hooks
from lentilmoor import inbox
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import roles
from lentilmoor import shardstates
from lentilmoor import slices
from lentilmoor import statuses
from lentilmoor import stores
from lentilmoor import verifiers

if TYPE_CHECKING:
    from lentilmoor import entries

_Tables = controltables.ControlTables


def make_hooks(entry: entries.Entry, store: stores.Store) -> hooks.AdminHooks:
    """Returns the closures by which the API reads and changes an entry."""
    base = entry.base
    return hooks.AdminHooks(
        store=store,
        verify=verifiers.make_verifier(store, base.clock),
        is_ready=lambda: entry.ready and _has_routes(entry),
        show_metrics=base.registry.render_text,
        read_status=lambda: entry.ask(lambda tables, now: _read_status(
            tables, entry.ready, now)),
        find_owner=lambda team, service, key: _find_owner(
            entry, team, service, key),
        count_applied=lambda team: _count_applied(entry, team),
        list_quarantine=lambda: entry.ask(_list_quarantine),
        release_quarantine=lambda fingerprint: entry.ask(
            lambda tables, now: _release(tables, fingerprint, now)),
        spread_now=lambda record: entry.tell(inbox.BranchesFound((record,))),
        logger=base.logger)


def _has_routes(entry: entries.Entry) -> bool:
    """Returns whether this entry can carry requests for every shard."""
    if not entry.dispatcher.informed:
        return False
    snapshot = entry.dispatcher.snapshot
    now = entry.base.clock.now()
    return all(route.expires_at > now or route.delegates
               for route in snapshot.shards.values())


def _read_status(tables: _Tables, ready: bool, now: float) -> statuses.Status:
    rows = [
        statuses.EntryStatus(row.id, row.region, row.failure_domain,
                             row.liveness.value,
                             now - row.heard_at if row.heard_at else 0.0)
        for row in tables.instances().values()
    ]
    shards = [_read_shard(tables, state) for state in tables.shards.values()]
    problems = [
        statuses.SettingsProblem(team, detail)
        for team, detail in tables.problems.items()
    ]
    return statuses.Status(tables.me, ready, now - tables.store_seen_at,
                           tuple(rows), tuple(shards), tuple(problems))


def _read_shard(tables: _Tables,
                state: shardstates.ShardState) -> statuses.ShardStatus:
    shard = state.shard.id
    route = tables.routes.get(shard)
    servers = tuple(_read_server(tables, state, name) for name in state.servers)
    return statuses.ShardStatus(shard, state.watch.grantor,
                                route.epoch if route else 0,
                                route.sequence if route else 0,
                                len(route.delegates) if route else 0, servers)


def _read_server(tables: _Tables, state: shardstates.ShardState,
                 name: str) -> statuses.ServerStatus:
    route = tables.routes.get(state.shard.id)
    owned = route.map.owned_by(name) if route and route.map else []
    gate = tables.dispatcher.gates.get((state.shard.id, name))
    row = state.servers[name]
    share = sum(last - first + 1 for first, last in owned) / slices.HASH_SPAN
    return statuses.ServerStatus(name, row.liveness.value,
                                 state.shard.servers[name].leaving, len(owned),
                                 share, gate.in_flight if gate else 0,
                                 gate.queued if gate else 0)


def _find_owner(entry: entries.Entry, team: str, service: str,
                key: str) -> statuses.Owner | outcomes.Failed:
    snapshot = entry.dispatcher.snapshot
    settings = snapshot.find_settings(team, service)
    if settings is None or not settings.keyed:
        return outcomes.Failed(outcomes.Reason.NOT_FOUND,
                               'no such service with keys')
    point = slices.hash_key(key)
    shard = f'{team}/{service}/{slices.pick_shard(point, settings.shards)}'
    route = snapshot.shards.get(shard)
    if route is None or route.map is None:
        return outcomes.Failed(outcomes.Reason.NO_LEASE,
                               'this entry has no map of the shard')
    return statuses.Owner(shard,
                          route.map.owner_of(point) or '', route.epoch,
                          route.sequence, f'{point:016x}')


def _count_applied(entry: entries.Entry, team: str) -> statuses.Applied:
    """Asks the root of each failure domain how many have it in force."""
    key = branches.make_key(team)
    asked = entry.ask(lambda tables, now: _ask_counts(tables, team, key, now))
    replies = [
        entry.peers.call_exchange(call.address, call.message, call.timeout_ms)
        for call in asked.calls
    ]
    count = asked.own
    for reply in replies:
        message = reply.result()
        if isinstance(message, outcomes.Failed):
            continue
        count += sum(item.entries
                     for item in message.counts
                     if item.key == key and item.version >= asked.version)
    return statuses.Applied(asked.version, count, asked.total)


@dataclasses.dataclass(frozen=True, slots=True)
class _Counting:
    """What is to be asked and what is known already."""

    calls: list[gossip.Outgoing]
    own: int
    version: int
    total: int


def _ask_counts(tables: _Tables, team: str, key: str, now: float) -> _Counting:
    branch = tables.branches.get(team)
    own = 0
    if branch is not None and not tables.gossip.counts.parent:
        own = gossip.read_own_count(tables.gossip, key).entries
    live = roles.list_eligible(tables.instances().values())
    return _Counting(gossip.ask_counts(tables.gossip, [key], now), own,
                     branch.version if branch else 0, len(live))


def _list_quarantine(tables: _Tables,
                     now: float) -> tuple[statuses.Quarantined, ...]:
    return tuple(
        statuses.Quarantined(fingerprint.hex(), row.service, len(row.crashes),
                             row.blocked_until > now,
                             max(0.0, row.blocked_until - now))
        for fingerprint, row in tables.dispatcher.suspects.suspects.items())


def _release(tables: _Tables, fingerprint: str, now: float) -> bool:
    suspects = tables.dispatcher.suspects
    try:
        key = bytes.fromhex(fingerprint)
    except ValueError:
        return False
    row = suspects.suspects.get(key)
    if row is None:
        return False
    item = quarantine.release(suspects, key, row.service, now)
    evidencework.take_crash(tables, inbox.CrashSeen(item), now)
    return True
