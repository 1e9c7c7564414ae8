"""Numbers read from the parts of an entry when its metrics are shown."""

from collections.abc import Callable
import dataclasses

from lentilmoor import controltables
from lentilmoor import dispatchers
from lentilmoor import metrics
from lentilmoor import shardstates
from lentilmoor import stores
from lentilmoor import tables as rows


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What numbers are read from.

    Attributes:
      dispatcher: What request threads share.
      control: What the control actor owns; read without it, so a number may
        be a moment old.
      store: The platform's service.
    """

    dispatcher: dispatchers.Dispatcher
    control: controltables.ControlTables
    store: stores.Store


_Read = Callable[[Parts], float]

_GAUGES: tuple[tuple[str, str, _Read], ...] = (
    ('lentilmoor_in_flight', 'Requests at servers from this entry',
     lambda parts: parts.dispatcher.inflight.count()),
    ('lentilmoor_queued', 'Requests that wait for a slot in this entry',
     lambda parts: sum(gate.queued
                       for gate in list(parts.dispatcher.gates.values()))),
    ('lentilmoor_held', 'Requests held while their slice moves',
     lambda parts: parts.dispatcher.holding),
    ('lentilmoor_retries', 'Retries that took a token, since the start',
     lambda parts: sum(budget.retries
                       for budget in list(parts.dispatcher.budgets.values()))),
    ('lentilmoor_retries_refused', 'Retries not made for want of a token',
     lambda parts: sum(budget.refused
                       for budget in list(parts.dispatcher.budgets.values()))),
    ('lentilmoor_suspects', 'Requests suspected of crashing servers',
     lambda parts: len(parts.dispatcher.suspects.suspects)),
    ('lentilmoor_quarantined', 'Requests refused by the quarantine',
     lambda parts: parts.dispatcher.suspects.refused_count),
    ('lentilmoor_shards', 'Shards that this entry knows',
     lambda parts: len(parts.control.shards)),
    ('lentilmoor_shards_granted', 'Shards that this entry is grantor of',
     lambda parts: sum(
         shardstates.is_grantor(state)
         for state in list(parts.control.shards.values()))),
    ('lentilmoor_takeovers', 'Shards taken over since the start',
     lambda parts: sum(state.takeovers
                       for state in list(parts.control.shards.values()))),
    ('lentilmoor_moves', 'Moves of slices asked for since the start',
     lambda parts: sum(state.moves
                       for state in list(parts.control.shards.values()))),
    ('lentilmoor_servers_dead', 'Servers held dead',
     lambda parts: sum(server.liveness is rows.Liveness.DEAD
                       for state in list(parts.control.shards.values())
                       for server in list(state.servers.values()))),
    ('lentilmoor_entries_live', 'Entries held live', lambda parts: sum(
        member.instance.liveness is rows.Liveness.LIVE
        for member in list(parts.control.gossip.members.rows.values()))),
    ('lentilmoor_branch_problems', 'Branches of which a version was refused',
     lambda parts: len(parts.control.problems)),
    ('lentilmoor_store_answers', '1 if the store answered the last watch',
     lambda parts: parts.control.store_answers),
    ('lentilmoor_store_reads', 'Reads of the store',
     lambda parts: parts.store.counters.reads + parts.store.counters.lists),
    ('lentilmoor_store_writes', 'Writes to the store',
     lambda parts: parts.store.counters.writes),
    ('lentilmoor_store_watches', 'Watches of the store',
     lambda parts: parts.store.counters.watches),
    ('lentilmoor_store_failures', 'Calls of the store that failed',
     lambda parts: parts.store.counters.failures),
    ('lentilmoor_claims_granted', 'Claims granted by this entry',
     lambda parts: sum(table.counters.granted
                       for table in list(parts.control.claims.tables.values()))
    ),
    ('lentilmoor_claims_refused', 'Claims that could not be committed',
     lambda parts: sum(table.counters.refused
                       for table in list(parts.control.claims.tables.values()))
    ),
    ('lentilmoor_claim_commits', 'Group commits of claims',
     lambda parts: sum(table.counters.commits
                       for table in list(parts.control.claims.tables.values()))
    ),
    ('lentilmoor_pauses', 'Pauses of this process that were noticed',
     lambda parts: parts.control.liveness.pauses),
)


def register(registry: metrics.Registry, parts: Parts) -> None:
    """Registers all gauges.

    Args:
      registry: Where they are shown.
      parts: What they are read from.
    """
    for name, text, read in _GAUGES:
        registry.gauge(name, text, read=_bind(read, parts))


def _bind(read: _Read, parts: Parts) -> Callable[[], float]:
    return lambda: float(read(parts))
