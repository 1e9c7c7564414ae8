"""The tables that the control actor owns, and what it calls."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from lentilmoor import branches
from lentilmoor import catalogs
from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import evidence
from lentilmoor import gossip
from lentilmoor import members
from lentilmoor import models
from lentilmoor import probes
from lentilmoor import routes
from lentilmoor import shardclaims
from lentilmoor import shardstates
from lentilmoor import tables
from lentilmoor.protocol import peer_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class Calls:
    """What systems' actions are carried out by; none of it blocks.

    Attributes:
      run: Carries out an action of ownership.
      send_gossip: Makes a call of membership or spread.
      send_evidence: (peer id, address, message) of an exchange for evidence.
      probe: Probes a server.
      read_list: Reads the platform's list of instances.
      note_change: Logs a change of state: (event, subject, state).
    """

    run: Callable[[object], None]
    send_gossip: Callable[[gossip.Outgoing], None]
    send_evidence: Callable[[str, str, peer_pb2.ExchangeMessage], None]
    probe: Callable[[probes.Probe], None]
    read_list: Callable[[], None]
    note_change: Callable[..., bool]


@dataclasses.dataclass(slots=True)
class ControlTables:
    """Everything that the control actor owns.

    Attributes:
      own: This entry's row.
      settings: The process's settings.
      clock: Time.
      calls: What actions are carried out by.
      dispatcher: What request threads share; its snapshot is swapped here.
      gossip: Membership and spread.
      branches: Branches in force by team.
      problems: Why a newer version of a branch was refused, by team.
      catalog: Services and shards in force.
      shards: State by shard id.
      routes: Routes by shard id, as in the snapshot.
      liveness: What is held true of servers.
      probes: Servers that this entry probes.
      claims: Claims of the shards that this entry is grantor of.
      relays: Relay address by entry id.
      peers: Peer address by entry id.
      members_seen: `members.changes` that the above follow.
      store_seen_at: When the store last answered the watcher, ms.
      store_answers: Whether its last call was answered.
      leaving: Whether this entry is leaving.
      informed: Whether all settings of the start are here, from a peer or
        from the store.
      listed_at: When the list was last read for a takeover, ms.
      unlisted_since: Since when delegates of a shard that is being taken are
        missing from the list, ms.
      pauses_seen: Pauses of this process that were acted on.
      probes_due: Which servers this entry probes is to be worked out again.
    """

    own: tables.Instance
    settings: models.ProcessSettings
    clock: clocks.Clock
    calls: Calls
    dispatcher: dispatchers.Dispatcher
    gossip: gossip.Gossip
    liveness: evidence.LivenessTable
    claims: shardclaims.ShardClaims
    probes: probes.ProbeTable = dataclasses.field(
        default_factory=probes.ProbeTable)
    branches: dict[str,
                   branches.Branch] = dataclasses.field(default_factory=dict)
    problems: dict[str, str] = dataclasses.field(default_factory=dict)
    catalog: catalogs.Catalog = catalogs.EMPTY
    shards: dict[str, shardstates.ShardState] = dataclasses.field(
        default_factory=dict)
    routes: dict[str,
                 routes.ShardRoute] = dataclasses.field(default_factory=dict)
    relays: dict[str, str] = dataclasses.field(default_factory=dict)
    peers: dict[str, str] = dataclasses.field(default_factory=dict)
    members_seen: int = -1
    store_seen_at: float = 0.0
    store_answers: bool = False
    leaving: bool = False
    informed: bool = False
    probes_due: bool = False
    pauses_seen: int = 0
    listed_at: float = 0.0
    unlisted_since: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def me(self) -> str:
        """This entry's id."""
        return self.own.id

    def instances(self) -> dict[str, tables.Instance]:
        """Returns all known entries by id."""
        return {
            row.id: row for row in members.list_instances(self.gossip.members)
        }
