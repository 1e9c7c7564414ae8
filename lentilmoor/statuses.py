"""What an entry tells its operators, as data classes that become JSON."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """An entry as this one sees it.

    Attributes:
      instance: Instance id.
      region: Its region.
      failure_domain: Its failure domain.
      liveness: 'live', 'suspect', 'dead' or 'leaving'.
      heard_ms_ago: Since it was last heard from.
    """

    instance: str
    region: str
    failure_domain: str
    liveness: str
    heard_ms_ago: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStatus:
    """A backend server as this entry sees it.

    Attributes:
      id: Server id.
      liveness: 'live', 'suspect', 'dead' or 'leaving'.
      leaving: Whether the settings say that it is leaving.
      slices: Slices that it owns.
      share: Share of the shard's hash space that it owns.
      in_flight: Requests that this entry has at it.
      queued: Requests that wait for it in this entry.
    """

    id: str
    liveness: str
    leaving: bool = False
    slices: int = 0
    share: float = 0.0
    in_flight: int = 0
    queued: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShardStatus:
    """A shard as this entry sees it.

    Attributes:
      shard: 'team/service/number'.
      grantor: The entry that grants, or '' if none is known.
      epoch: The grantor's epoch.
      sequence: Version of the map within the epoch.
      delegates: Entries that may dispatch to its servers.
      servers: Its servers.
    """

    shard: str
    grantor: str
    epoch: int
    sequence: int
    delegates: int
    servers: tuple[ServerStatus, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A stored branch that does not parse; the last good one is in force.

    Attributes:
      team: The team.
      detail: What is wrong.
    """

    team: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The state of the deployment as one entry sees it.

    Attributes:
      instance: The entry that tells it.
      ready: Whether it takes callers' requests.
      store_age_ms: Since its last successful call to the store.
      entries: The entries.
      shards: The shards.
      problems: Branches that do not parse.
    """

    instance: str
    ready: bool
    store_age_ms: float = 0.0
    entries: tuple[EntryStatus, ...] = ()
    shards: tuple[ShardStatus, ...] = ()
    problems: tuple[SettingsProblem, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """At how many entries a version of a branch is in force.

    Attributes:
      version: The store's version that is in force at the entry asked; 0:
        none yet.
      entries: Entries that have it, or a newer one, in force.
      total: Entries that are held live.
    """

    version: int
    entries: int
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Who owns a key.

    Attributes:
      shard: Shard that the key is in.
      server: Server id; '' while its slice moves.
      epoch: Fence, first part.
      sequence: Fence, second part.
      point: The key's hash, hexadecimal.
    """

    shard: str
    server: str
    epoch: int
    sequence: int
    point: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """A request that is held for what crashes servers.

    Attributes:
      fingerprint: Hexadecimal.
      service: 'team/service'.
      crashes: How often a server went while it ran.
      blocked: Whether it is answered without being run.
      remaining_ms: Until it is let through again by itself.
    """

    fingerprint: str
    service: str
    crashes: int
    blocked: bool
    remaining_ms: float = 0.0


def narrow(status: Status, team: str) -> Status:
    """Returns what one team may see of a status."""
    return dataclasses.replace(
        status,
        shards=tuple(shard for shard in status.shards
                     if shard.shard.startswith(f'{team}/')),
        problems=tuple(item for item in status.problems if item.team == team))


def belongs(item: Quarantined, team: str) -> bool:
    """Returns whether a quarantined request is for a team's service."""
    return item.service.startswith(f'{team}/')


def show(value: Any) -> Any:
    """Returns a data class, or a sequence of them, ready for JSON."""
    if isinstance(value, (tuple, list)):
        return [show(item) for item in value]
    return dataclasses.asdict(value)
