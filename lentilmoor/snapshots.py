"""Builds the routing snapshot that requests read, from the control's tables."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor import catalogs
from lentilmoor import delegates
from lentilmoor import roles
from lentilmoor import routes
from lentilmoor import shardstates
from lentilmoor import tables

_RELAYED_TO = (tables.Liveness.LIVE, tables.Liveness.SUSPECT)


def make_relays(instances: Iterable[tables.Instance]) -> dict[str, str]:
    """Returns the relay addresses of entries that may be handed requests."""
    return {
        item.id: item.relay_address
        for item in instances
        if item.liveness in _RELAYED_TO
    }


def make_route(state: shardstates.ShardState,
               delegate_ids: tuple[str, ...]) -> routes.ShardRoute:
    """Returns the route of one shard.

    Args:
      state: The shard.
      delegate_ids: Entries that may dispatch, nearest first.
    """
    view = delegates.view(state.lease)
    keyed = state.shard.settings.keyed
    if view is None:
        return routes.ShardRoute(state.shard.id,
                                 keyed, {},
                                 grantor=state.lease.grantor,
                                 delegates=delegate_ids)
    return routes.ShardRoute(state.shard.id,
                             keyed,
                             _make_servers(state, view),
                             map=view.map,
                             expires_at=view.expires_at,
                             epoch=view.epoch,
                             sequence=view.sequence,
                             grantor=state.lease.grantor,
                             delegates=delegate_ids)


def renew_route(route: routes.ShardRoute,
                view: delegates.RouteView) -> routes.ShardRoute:
    """Returns the same route with the end of a renewed lease."""
    return dataclasses.replace(route, expires_at=view.expires_at)


def rank_delegates(shard: str, instances: Mapping[str, tables.Instance],
                   me: tables.Instance) -> tuple[str, ...]:
    """Returns a shard's delegates, those in this entry's place first."""
    chosen = roles.pick_delegates(shard, instances.values())
    ranked = sorted(
        chosen,
        key=lambda item:
        (item.failure_domain != me.failure_domain, item.region != me.region))
    return tuple(item.id for item in ranked)


def make_snapshot(catalog: catalogs.Catalog,
                  shards: dict[str, routes.ShardRoute], relays: dict[str, str],
                  peers: dict[str, str]) -> routes.Snapshot:
    """Returns a snapshot of these parts."""
    return routes.Snapshot(catalog.services, shards, relays, peers)


def _make_servers(state: shardstates.ShardState,
                  view: delegates.RouteView) -> dict[str, routes.ServerRoute]:
    home_of = dict(zip(view.map.servers, view.homes, strict=False))
    rows = {}
    for server in state.servers.values():
        rows[server.id] = routes.ServerRoute(server.id, server.address,
                                             home_of.get(server.id,
                                                         ''), server.id
                                             in view.contended, server.liveness)
    return rows
