"""Plans: the changes to a slice map that the planner asks for.

The planner (see `balance`) makes a `Plan`; the grantor carries it out. Splits
and merges change bounds and no point's owner; moves change owners.
"""

from array import array
import dataclasses
import enum

from lentilmoor import exceptions
from lentilmoor import models
from lentilmoor import slices

# The bound on a server's slices, over those of the first assignment.
_SLICES_FACTOR = 4
# How long a planned move holds requests where servers check grants.
HOLD_MS = 200.0


class Cause(enum.Enum):
    """Why a slice moves."""

    SERVER_DEAD = 'server-dead'
    SERVER_LEAVING = 'server-leaving'
    IMBALANCE = 'imbalance'
    COOLED = 'cooled'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """A slice begins at this point; its owner stays.

    Attributes:
      point: First point of the new slice.
    """

    point: int


@dataclasses.dataclass(frozen=True, slots=True)
class Merge:
    """The slice that begins at this point joins the one before it.

    Attributes:
      point: First point of the slice that ends; both have one owner.
    """

    point: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A slice changes its owner.

    Attributes:
      point: First point of the slice, after the plan's splits and merges.
      source: Server id, or None if it has no owner.
      target: Server id.
      cause: Why.
    """

    point: int
    source: str | None
    target: str
    cause: Cause


@dataclasses.dataclass(frozen=True, slots=True)
class OversizedKey:
    """A single key costs more than a server's fair share; it can't be split.

    Attributes:
      point: The key's point.
      server: Its owner, which should carry nothing else.
      rate: Its cost, ms per second.
      fair: The fair share of its owner, ms per second.
    """

    point: int
    server: str
    rate: float
    fair: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """Slices stay without a live owner: there is no server to take them.

    Attributes:
      slices: How many.
    """

    slices: int


Note = OversizedKey | NoTarget


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Changes to a map: first splits, then merges, then moves.

    Attributes:
      splits: Bounds to add.
      merges: Bounds to drop; never of a slice that moves.
      moves: Changes of owner, at most one for each slice.
      notes: What the plan can't mend.
      peak_before: Highest load over fair share by the rates given.
      peak_after: The same after the plan.
    """

    splits: tuple[Split, ...] = ()
    merges: tuple[Merge, ...] = ()
    moves: tuple[Move, ...] = ()
    notes: tuple[Note, ...] = ()
    peak_before: float = 0.0
    peak_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds and prices of planning.

    Attributes:
      slices_per_server: The table's bound, times the servers of the shard.
      even_slices: Slices of a server that cold ones are merged back to.
      moves_per_plan: Moves for balance in one plan.
      tolerance: Load over the fair share that makes no move by itself.
      horizon_ms: How long the move of a range is expected to stay useful.
      hot_horizon_ms: The same of a single hot key.
      cold_start_ms: What a key's cold start costs its server.
      keys: Keys in use in the shard, as a guess.
      hold_ms: How long requests are held while a slice moves.
      residence_ms: How long a slice stays where it came, but for a loss.
      hot_residence_ms: The same of a single hot key.
      warm_up_ms: How long a cold server's share ramps up.
      observe_ms: How long loads are observed before moves for balance.
    """

    slices_per_server: int = 128
    even_slices: int = 32
    moves_per_plan: int = 32
    tolerance: float = 0.03
    horizon_ms: float = 600_000.0
    hot_horizon_ms: float = 60_000.0
    cold_start_ms: float = 20.0
    keys: int = 100_000
    hold_ms: float = HOLD_MS
    residence_ms: float = 20_000.0
    hot_residence_ms: float = 2_000.0
    warm_up_ms: float = 3_000.0
    observe_ms: float = 5_000.0


def make_limits(service: models.ServiceSettings) -> Limits:
    """Returns the limits for a service; the prices are the defaults.

    Where some server does not check grants, a move holds requests for as long
    as an order may be on its way to it.
    """
    hold_ms = HOLD_MS
    if not all(server.checks_grants for server in service.servers):
        hold_ms += service.grants.order_delay_ms
    return Limits(slices_per_server=_SLICES_FACTOR * service.slices_per_server,
                  even_slices=service.slices_per_server,
                  hold_ms=hold_ms,
                  warm_up_ms=service.warm_up_ms)


def apply(slice_map: slices.SliceMap, plan: Plan) -> slices.SliceMap:
    """Returns the map after a plan, one sequence later.

    Args:
      slice_map: The map that the plan was made for.
      plan: The plan.

    Returns:
      The map with new bounds and owners; servers that the plan brings in are
      appended to `servers`.

    Raises:
      InvariantError: The plan does not fit the map.
    """
    names = list(slice_map.servers)
    for move in plan.moves:
        if move.target not in names:
            names.append(move.target)
    bounds, owners = _change_bounds(slice_map, plan)
    index_of = {bound: index for index, bound in enumerate(bounds)}
    for move in plan.moves:
        if move.point not in index_of:
            raise exceptions.InvariantError(f'no slice at {move.point}')
        owners[index_of[move.point]] = names.index(move.target)
    return slices.SliceMap(slice_map.epoch, slice_map.sequence + 1,
                           tuple(names), bounds, owners)


def _change_bounds(slice_map: slices.SliceMap,
                   plan: Plan) -> tuple[array, array]:
    dropped = {merge.point for merge in plan.merges}
    added = {split.point for split in plan.splits}
    kept = (set(slice_map.bounds) | added) - dropped
    bounds = array('Q', sorted(kept))
    owners = array('H', (slice_map.owners[slice_map.find(b)] for b in bounds))
    for point in dropped:
        index = slice_map.find(point)
        before = slice_map.find(point - 1) if index else index
        if slice_map.owners[index] != slice_map.owners[before]:
            raise exceptions.InvariantError(f'merge of two owners at {point}')
    return bounds, owners
