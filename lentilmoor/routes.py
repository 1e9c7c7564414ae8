"""The routing snapshot that requests read, and how it picks a server.

A snapshot is immutable and swapped by reference, so the request path takes no
lock to read it. It holds, for each shard this entry is a delegate of, the
slice map and the end of the routing lease.
"""

from collections.abc import Callable
import dataclasses

from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import slices
from lentilmoor import tables

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRoute:
    """What a request needs to know of one server.

    Attributes:
      id: Server id.
      address: host:port.
      homes: Entries that keep the server's queue: the home, then who takes
        its place while it does not answer.
      contended: Whether requests go by the home.
      cut_off: Whether others reach it and this entry does not.
      liveness: What is held true of the server.
    """

    id: str
    address: str
    homes: tuple[str, ...] = ()
    contended: bool = False
    cut_off: bool = False
    liveness: tables.Liveness = tables.Liveness.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class ShardRoute:
    """One shard's part of a snapshot.

    Attributes:
      id: 'team/service/number'.
      keyed: Whether the slice map decides.
      servers: Routes by server id.
      map: Slice map, or None before the first lease.
      expires_at: End of the routing lease, ms; 0 if this entry holds none.
      epoch: The grantor's epoch.
      sequence: Version within the epoch.
      grantor: Id of the grantor, or ''.
      delegates: Ids of entries that may dispatch, nearest first.
    """

    id: str
    keyed: bool
    servers: dict[str, ServerRoute]
    map: slices.SliceMap | None = None
    expires_at: float = 0.0
    epoch: int = 0
    sequence: int = 0
    grantor: str = ''
    delegates: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything the request path reads.

    Attributes:
      services: Settings by (team, service).
      shards: Shard routes by shard id.
      relays: Relay address by entry id.
      peers: Peer address by entry id.
    """

    services: dict[tuple[str, str], models.ServiceSettings]
    shards: dict[str, ShardRoute]
    relays: dict[str, str]
    peers: dict[str, str]

    def find_settings(self, team: str,
                      service: str) -> models.ServiceSettings | None:
        """Returns a service's settings, or None if there is no such one."""
        return self.services.get((team, service))


EMPTY = Snapshot({}, {}, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Straight:
    """Dispatch to a server from here.

    Attributes:
      server: The server.
      epoch: Fence, first part.
      sequence: Fence, second part.
    """

    server: ServerRoute
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relay:
    """Hand the request to another entry.

    Attributes:
      instance: Entry id.
      address: Its relay address.
      server: The server it is meant for; '' leaves the pick to that entry.
    """

    instance: str
    address: str
    server: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Wait for a newer snapshot, within the deadline.

    Attributes:
      reason: What is waited for.
    """

    reason: outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Chance:
    """What the pick of a server without keys depends on.

    The less busy of two random servers is picked (power of two choices).

    Attributes:
      draw: Source of numbers in [0, 1).
      busy: Requests that this entry has at a server, by server id.
    """

    draw: Callable[[], float]
    busy: Callable[[str], int]


Route = Straight | Relay | Hold


def pick_route(snapshot: Snapshot, shard_id: str, point: int, now: float,
               instance: str, avoid: frozenset[str], chance: Chance) -> Route:
    """Picks where a request goes next.

    Args:
      snapshot: The snapshot in force.
      shard_id: Shard of the request.
      point: Point of its key.
      now: Milliseconds.
      instance: This entry's id.
      avoid: Servers and entries that failed this request already.
      chance: What an unkeyed service's pick depends on.

    Returns:
      A server, an entry to relay to, or what to wait for.
    """
    shard = snapshot.shards.get(shard_id)
    if shard is None:
        return Hold(_Reason.NO_LEASE)
    if shard.expires_at <= now:
        return _relay_to_delegate(snapshot, shard, instance, avoid)
    if shard.keyed:
        return _route_keyed(snapshot, shard, point, instance, avoid)
    return _route_unkeyed(snapshot, shard, instance, avoid, chance)


def pick_relayed(snapshot: Snapshot, shard_id: str, point: int, now: float,
                 server_id: str) -> Straight | Hold:
    """Picks the server of a request that another entry handed over.

    Args:
      snapshot: The snapshot in force.
      shard_id: Shard of the request.
      point: Point of its key.
      now: Milliseconds.
      server_id: The server that the other entry meant, or ''.

    Returns:
      The server; it is never handed on once more.
    """
    shard = snapshot.shards.get(shard_id)
    if shard is None or shard.expires_at <= now or shard.map is None:
        return Hold(_Reason.NO_LEASE)
    chosen = shard.map.owner_of(point) if shard.keyed else server_id
    server = shard.servers.get(chosen or '')
    if server is None:
        return Hold(_Reason.NO_OWNER)
    return Straight(server, shard.epoch, shard.sequence)


def _route_keyed(snapshot: Snapshot, shard: ShardRoute, point: int,
                 instance: str, avoid: frozenset[str]) -> Route:
    if shard.map is None:
        return Hold(_Reason.NO_LEASE)
    owner = shard.map.owner_of(point)
    server = shard.servers.get(owner) if owner else None
    if server is None:
        return Hold(_Reason.NO_OWNER)
    return _route_to_server(snapshot, shard, server, instance, avoid)


def _route_unkeyed(snapshot: Snapshot, shard: ShardRoute, instance: str,
                   avoid: frozenset[str], chance: Chance) -> Route:
    usable = [
        server for server in shard.servers.values()
        if server.liveness is tables.Liveness.LIVE and server.id not in avoid
    ]
    if not usable:
        return Hold(_Reason.NO_SERVER)
    first = usable[int(chance.draw() * len(usable))]
    second = usable[int(chance.draw() * len(usable))]
    server = min(first, second, key=lambda item: chance.busy(item.id))
    return _route_to_server(snapshot, shard, server, instance, avoid)


def _route_to_server(snapshot: Snapshot, shard: ShardRoute, server: ServerRoute,
                     instance: str, avoid: frozenset[str]) -> Route:
    if server.contended or server.cut_off:
        others = avoid | {instance} if server.cut_off else avoid
        home = pick_home(server, others)
        if home != instance and home in snapshot.relays:
            return Relay(home, snapshot.relays[home], server.id)
    return Straight(server, shard.epoch, shard.sequence)


def pick_home(server: ServerRoute, avoid: frozenset[str]) -> str:
    """Returns who keeps a server's queue, as far as it answers; or ''."""
    return next((home for home in server.homes if home not in avoid), '')


def _relay_to_delegate(snapshot: Snapshot, shard: ShardRoute, instance: str,
                       avoid: frozenset[str]) -> Route:
    for delegate in shard.delegates:
        if delegate == instance or delegate in avoid:
            continue
        if delegate in snapshot.relays:
            return Relay(delegate, snapshot.relays[delegate])
    return Hold(_Reason.NO_LEASE)
