"""Builds the routing snapshot that requests read, from the control's tables."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilmoor import catalogs
from lentilmoor import delegates
from lentilmoor import homes
from lentilmoor import roles
from lentilmoor import routes
from lentilmoor import shardstates
from lentilmoor import tables

# A home and two that would take its place.
HOMES = 3

_RELAYED_TO = (tables.Liveness.LIVE, tables.Liveness.SUSPECT)


def make_relays(instances: Iterable[tables.Instance]) -> dict[str, str]:
    """Returns the relay addresses of entries that may be handed requests."""
    return {
        item.id: item.relay_address
        for item in instances
        if item.liveness in _RELAYED_TO
    }


def make_route(state: shardstates.ShardState,
               nearest: list[tables.Instance]) -> routes.ShardRoute:
    """Returns the route of one shard.

    Args:
      state: The shard.
      nearest: Entries that may dispatch, nearest first.
    """
    delegate_ids = tuple(item.id for item in nearest)
    places = [homes.Place(item.id, item.failure_domain) for item in nearest]
    view = delegates.view(state.lease)
    keyed = state.shard.settings.keyed
    if view is None:
        return routes.ShardRoute(state.shard.id,
                                 keyed, {},
                                 grantor=state.lease.grantor,
                                 delegates=delegate_ids)
    return routes.ShardRoute(state.shard.id,
                             keyed,
                             _make_servers(state, view, places),
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
                   me: tables.Instance) -> list[tables.Instance]:
    """Returns a shard's delegates, those in this entry's place first."""
    chosen = roles.pick_delegates(shard, instances.values())
    return sorted(
        chosen,
        key=lambda item:
        (item.failure_domain != me.failure_domain, item.region != me.region))


def make_snapshot(catalog: catalogs.Catalog,
                  shards: dict[str, routes.ShardRoute], relays: dict[str, str],
                  peers: dict[str, str]) -> routes.Snapshot:
    """Returns a snapshot of these parts."""
    return routes.Snapshot(catalog.services, shards, relays, peers)


def _make_servers(state: shardstates.ShardState, view: delegates.RouteView,
                  places: list[homes.Place]) -> dict[str, routes.ServerRoute]:
    home_of = dict(zip(view.map.servers, view.homes, strict=False))
    rows = {}
    for server in state.servers.values():
        place = homes.Place(server.id, server.failure_domain)
        ranked = [item.id for item in homes.rank_homes(place, places)]
        home = home_of.get(server.id, '')
        others = [name for name in ranked if name != home]
        chosen = ([home] if home else []) + others
        rows[server.id] = routes.ServerRoute(id=server.id,
                                             address=server.address,
                                             homes=tuple(chosen[:HOMES]),
                                             contended=server.id
                                             in view.contended,
                                             cut_off=server.id in state.cut_off,
                                             liveness=server.liveness)
    return rows
