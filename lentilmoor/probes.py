"""Probes: which servers this entry asks for a sign of life, and when.

Each server has a few probers in different failure domains, chosen by
rendezvous hash (`roles.pick_probers`). In quiet times a prober asks only if it
has had no answer for a while; a suspect is asked often, so that two domains
can agree within a fraction of a second. Probes take fresh connections, so that
they don't share the fate of one that went silent; only a grantor probes over
the connection that its grants go by, so that a server which has no room for
new connections is not taken for dead.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math

from lentilmoor import evidence
from lentilmoor import liveness
from lentilmoor import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Paces:
    """How often a server is probed by each prober.

    Attributes:
      idle_ms: While it is held live and has not answered for so long.
      suspect_ms: While it is suspected.
      dead_ms: While it is held dead.
      timeout_ms: How long an answer may take.
      most_running: Probes of one server by this entry at once.
      burst: Probes per second by this entry in all; the rest wait.
    """

    idle_ms: float = 500.0
    suspect_ms: float = 30.0
    dead_ms: float = 250.0
    timeout_ms: float = 80.0
    most_running: int = 4
    burst: int = 200


@dataclasses.dataclass(slots=True)
class ProbeRow:
    """One server that this entry probes.

    Attributes:
      address: host:port.
      witness: Whether others probe it; this entry does so only to learn
        whether most servers are lost or just this entry is cut off.
      kept: Whether this entry grants to it, and asks over that connection.
      sent_at: When it was last probed, ms.
      running: Probes under way.
    """

    address: str
    witness: bool = False
    kept: bool = False
    sent_at: float = evidence.NEVER
    running: int = 0


@dataclasses.dataclass(slots=True)
class ProbeTable:
    """The servers that this entry probes.

    Attributes:
      paces: How often.
      rows: By (shard, server); also servers that only serve as witnesses.
      tokens: Probes that may be sent now.
      stepped_at: When the tokens were last counted, ms.
      held: Probes that had to wait for a token.
    """

    paces: Paces = Paces()
    rows: dict[evidence.ServerKey,
               ProbeRow] = dataclasses.field(default_factory=dict)
    tokens: float = 0.0
    stepped_at: float = 0.0
    held: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for any answer.

    Attributes:
      shard: Shard id.
      server: Server id.
      address: host:port.
      timeout_ms: When to give up.
      kept: Whether to use the connection that grants go by, not a fresh one.
      sent_at: When it was decided, ms.
    """

    shard: str
    server: str
    address: str
    timeout_ms: float
    kept: bool
    sent_at: float


def assign(table: ProbeTable, servers: Mapping[evidence.ServerKey, str],
           mine: Set[evidence.ServerKey],
           granted: Set[evidence.ServerKey]) -> None:
    """Sets which servers this entry probes.

    Args:
      table: The table; updated.
      servers: Addresses of all servers kept, by (shard, server).
      mine: Those for which `roles.pick_probers` chose this entry.
      granted: Those of the shards whose grantor this entry is.
    """
    for key in table.rows.keys() - servers.keys():
        del table.rows[key]
    for key, address in servers.items():
        row = table.rows.get(key)
        if row is None or row.address != address:
            row = table.rows[key] = ProbeRow(address)
        row.kept = key in granted
        row.witness = not row.kept and key not in mine


def step(table: ProbeTable, views: evidence.LivenessTable,
         now: float) -> list[Probe]:
    """Returns the probes to send now.

    Args:
      table: The table; updated.
      views: What is held true of the servers.
      now: ms.
    """
    _earn(table, now)
    probes: list[Probe] = []
    for key in _order(table, views):
        row = table.rows[key]
        view = views.servers.get(key)
        if view is None or now < _find_due(table, views, key, view, now):
            continue
        if table.tokens < 1:
            table.held += 1
            continue
        table.tokens -= 1
        row.running += 1
        row.sent_at = now
        probes.append(
            Probe(*key, row.address, table.paces.timeout_ms, row.kept, now))
    return probes


def note_end(table: ProbeTable, probe: Probe) -> None:
    """Notes that a probe ended; its result goes to `evidence.record`."""
    row = table.rows.get((probe.shard, probe.server))
    if row is not None:
        row.running = max(0, row.running - 1)


def _order(table: ProbeTable,
           views: evidence.LivenessTable) -> list[evidence.ServerKey]:
    """Returns suspects first, in case tokens run short."""
    return sorted(table.rows, key=lambda key: key not in views.active)


def _find_due(table: ProbeTable, views: evidence.LivenessTable,
              key: evidence.ServerKey, view: evidence.ServerView,
              now: float) -> float:
    """Returns when a server is to be probed next, ms."""
    paces, row = table.paces, table.rows[key]
    if row.running >= paces.most_running:
        return math.inf
    if row.witness:
        doubtful = views.isolated_since > max(view.answered_at, row.sent_at)
        return now if doubtful else math.inf
    if view.liveness is tables.Liveness.DEAD:
        return row.sent_at + paces.dead_ms
    if liveness.is_suspected(views, key, now):
        # False alarms of late make it slower: it may just be overloaded.
        return row.sent_at + paces.suspect_ms * (1 + view.alarms / 4)
    return max(row.sent_at, view.answered_at) + paces.idle_ms


def _earn(table: ProbeTable, now: float) -> None:
    """Adds the tokens of the time since the last step, one second's at most."""
    elapsed = max(0.0, now - table.stepped_at)
    earned = elapsed * table.paces.burst / 1_000
    table.tokens = min(table.paces.burst, table.tokens + earned)
    table.stepped_at = now
