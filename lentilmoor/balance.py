"""Which slices to split, to merge and to move, so that load stays even.

`plan` is a pure function that the grantor of a shard calls every few seconds.
Costs and gains share one unit, milliseconds of servers' work: a move gains the
work it takes off overloaded servers over a horizon, and costs the cold starts
of its keys and the wait of the requests that are held meanwhile, each times
the team's weight. Cold starts grow with the key space that moves, so hot keys,
cut out into slices of one point, are moved before ranges.
"""

from collections.abc import Mapping
import dataclasses
import math

from lentilmoor import clocks
from lentilmoor import drafts
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import models
from lentilmoor import plans
from lentilmoor import slices
from lentilmoor import tables

# Servers are relieved down to this part of the tolerance.
_SETTLED = 0.3
# How many standard deviations of a load's noise make no move.
_NOISE_DEVIATIONS = 2.0
# What a move costs by itself, in ms of work: messages and a larger map.
_MOVE_MS = 100.0
# A dead server's hot points above this part of a fair share go one by one.
_LARGE_SHARE = 0.05
_SMALLEST_FACTOR = 0.5
_LARGEST_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Scale:
    """What the draft is measured by.

    Attributes:
      level: Fair load of one slot, ms per second.
      tolerance: Load over the fair share that makes no move by itself.
      weights: The team's weights.
      limits: Bounds and prices.
    """

    level: float
    tolerance: float
    weights: models.Weights
    limits: plans.Limits


@dataclasses.dataclass(slots=True)
class _Choice:
    """A move that might be made.

    Attributes:
      owner: Bin that is relieved.
      target: Bin that takes over.
      piece: The piece, or None for a hot point that is not yet cut out.
      hot: The hot point, or None.
      gain: Work taken off overloaded servers, ms.
      cost: Cold starts and waiting, ms.
    """

    owner: int
    target: int
    piece: drafts.Piece | None
    hot: loads.HotPoint | None
    gain: float
    cost: float


def plan(slice_map: slices.SliceMap, seen: means.Loads,
         servers: Mapping[str, tables.Server], weights: models.Weights,
         limits: plans.Limits, now: float) -> plans.Plan:
    """Plans the next changes of a shard's map.

    Args:
      slice_map: The map in force.
      seen: Rates aligned with the map (see `means.read`).
      servers: The shard's servers by id; one that is not listed is dead.
      weights: What the team holds against an assignment.
      limits: Bounds and prices.
      now: Time, ms.

    Returns:
      The plan; empty if nothing is worth its cost.
    """
    draft = drafts.make_draft(slice_map, seen, servers, limits, now)
    if not any(item.accepts for item in draft.bins):
        return _report_no_target(draft)
    before = _measure_peak(draft)
    scale = _make_scale(draft, weights, limits)
    _evacuate(draft, scale)
    if seen.observed_ms >= limits.observe_ms:
        _note_oversized(draft, scale, seen)
        _relieve(draft, scale)
    return plans.Plan(tuple(draft.splits), tuple(draft.merges),
                      tuple(draft.moves), tuple(draft.notes), before,
                      _measure_peak(draft))


def _report_no_target(draft: drafts.Draft) -> plans.Plan:
    stranded = sum(
        len(pieces)
        for owner, pieces in draft.pieces.items()
        if owner == slices.NO_OWNER or not draft.bins[owner].capacity)
    notes = (plans.NoTarget(stranded),) if stranded else ()
    return plans.Plan(notes=notes)


def _measure_peak(draft: drafts.Draft) -> float:
    """Returns the highest load for a slot over the mean for a slot."""
    powered = [item for item in draft.bins if item.capacity]
    slots = sum(item.capacity for item in powered)
    carried = sum(item.load for item in powered)
    if carried <= 0.0:
        return 0.0
    highest = max(item.load / item.capacity for item in powered)
    return highest * slots / carried


def _make_scale(draft: drafts.Draft, weights: models.Weights,
                limits: plans.Limits) -> _Scale:
    slots = sum(max(item.accepts, 0.0) for item in draft.bins)
    dearness = weights.unavailable + weights.churn
    factor = _LARGEST_FACTOR
    if weights.imbalance > 0.0:
        # Bands of a policy with fixed costs grow with the root of the ratio.
        factor = math.sqrt(dearness / (2.0 * weights.imbalance))
    factor = min(max(factor, _SMALLEST_FACTOR), _LARGEST_FACTOR)
    return _Scale(draft.total / slots, limits.tolerance * factor, weights,
                  limits)


def _evacuate(draft: drafts.Draft, scale: _Scale) -> None:
    """Moves all pieces without a live owner, the dearest first."""
    pieces = []
    for owner in draft.pieces:
        if owner != slices.NO_OWNER and draft.bins[owner].capacity:
            continue
        _isolate_large(draft, scale, owner)
        pieces.extend(draft.pieces[owner])
    pieces.sort(key=lambda piece: (-piece.rate, piece.first))
    for piece in pieces:
        target = _find_emptiest(draft, piece.rate)
        drafts.move_piece(draft, piece, target, _find_cause(draft, piece))


def _isolate_large(draft: drafts.Draft, scale: _Scale, owner: int) -> None:
    for hot in list(draft.hot[owner]):
        if draft.room >= 2 and hot.cost > _LARGE_SHARE * scale.level:
            drafts.isolate(draft, owner, hot)


def _find_cause(draft: drafts.Draft, piece: drafts.Piece) -> plans.Cause:
    if piece.owner != slices.NO_OWNER and draft.bins[piece.owner].leaving:
        return plans.Cause.SERVER_LEAVING
    return plans.Cause.SERVER_DEAD


def _find_emptiest(draft: drafts.Draft, rate: float) -> int:
    """Returns the bin that would be the least loaded with `rate` more."""
    open_bins = [i for i, item in enumerate(draft.bins) if item.accepts]
    return min(open_bins,
               key=lambda i:
               ((draft.bins[i].load + rate) / draft.bins[i].accepts, i))


def _note_oversized(draft: drafts.Draft, scale: _Scale,
                    seen: means.Loads) -> None:
    """Marks bins that hold a key beyond their fair share; fits the level."""
    slots = sum(item.accepts for item in draft.bins)
    rest = draft.total
    for hot in seen.hot:
        owner = _find_owner(draft, hot.point)
        item = draft.bins[owner]
        if not item.accepts or item.oversized or slots <= item.accepts:
            continue
        fair = item.accepts * rest / slots
        if hot.cost <= fair * (1.0 + scale.tolerance):
            break
        item.oversized = hot.cost
        draft.notes.append(
            plans.OversizedKey(hot.point, item.name, hot.cost, fair))
        rest -= hot.cost
        slots -= item.accepts
    scale.level = rest / slots


def _find_owner(draft: drafts.Draft, point: int) -> int:
    for owner, pieces in draft.pieces.items():
        if any(piece.first <= point <= piece.last for piece in pieces):
            return owner
    return slices.NO_OWNER


def _find_settled(item: drafts.Bin, scale: _Scale) -> float:
    """Returns the load down to which a bin is relieved, ms per second."""
    if item.oversized:
        return item.oversized
    settled = 1.0 + scale.tolerance * _SETTLED
    return scale.level * item.capacity * settled


def _is_overloaded(item: drafts.Bin, scale: _Scale) -> bool:
    if not item.accepts:
        return False
    noise = _NOISE_DEVIATIONS / math.sqrt(max(item.requests, 1.0))
    fair = scale.level * item.capacity
    band = fair * (scale.tolerance + noise)
    return item.load > max(fair, item.oversized) + band


def _relieve(draft: drafts.Draft, scale: _Scale) -> None:
    """Moves pieces and hot points off overloaded bins."""
    stuck = set()
    for _ in range(scale.limits.moves_per_plan):
        over = [
            i for i, item in enumerate(draft.bins)
            if i not in stuck and _is_overloaded(item, scale)
        ]
        if not over:
            return
        source = max(over,
                     key=lambda i: draft.bins[i].load / draft.bins[i].capacity)
        choice = _choose(draft, scale, source)
        if choice is None:
            stuck.add(source)
            _halve_largest(draft, scale, source)
            continue
        piece = choice.piece
        if choice.hot is not None:
            piece = drafts.isolate(draft, source, choice.hot)
        drafts.move_piece(draft, piece, choice.target, plans.Cause.IMBALANCE)


def _choose(draft: drafts.Draft, scale: _Scale, source: int) -> _Choice | None:
    """Returns the move off a bin that gains most for its cost, if any."""
    best = None
    for piece in draft.pieces[source]:
        if piece.recent or piece.moved:
            continue
        if piece.rate < draft.bins[source].load:
            choice = _weigh(draft, scale, source, piece, None)
            best = _pick(best, choice)
    if draft.room >= 2:
        for hot in draft.hot[source]:
            if drafts.find_piece(draft, source, hot.point).moved:
                continue
            choice = _weigh(draft, scale, source, None, hot)
            best = _pick(best, choice)
    return best


def _pick(best: _Choice | None, choice: _Choice) -> _Choice | None:
    if choice.gain <= choice.cost:
        return best
    if best is None or choice.gain * best.cost > best.gain * choice.cost:
        return choice
    return best


def _weigh(draft: drafts.Draft, scale: _Scale, source: int,
           piece: drafts.Piece | None, hot: loads.HotPoint | None) -> _Choice:
    rate = hot.cost if piece is None else piece.rate
    span = 1 if piece is None else piece.span
    target = _find_roomiest(draft, scale, source)
    gain = _relief(draft, scale, source, target, rate)
    horizon = scale.limits.horizon_ms
    if span == 1:
        horizon = scale.limits.hot_horizon_ms
    gain *= scale.weights.imbalance * horizon / clocks.MS_PER_S
    return _Choice(source, target, piece, hot, gain,
                   _price(draft, scale, rate, span))


def _find_roomiest(draft: drafts.Draft, scale: _Scale, source: int) -> int:
    open_bins = [
        i for i, item in enumerate(draft.bins) if item.accepts and i != source
    ]
    if not open_bins:
        return source
    return max(open_bins,
               key=lambda i: scale.level * draft.bins[i].accepts - draft.bins[i]
               .load - draft.bins[i].oversized)


def _relief(draft: drafts.Draft, scale: _Scale, source: int, target: int,
            rate: float) -> float:
    """Returns by how much a move lowers the load over the settled one."""
    giver = draft.bins[source]
    taker = draft.bins[target]
    if source == target:
        return 0.0
    if (taker.load + rate) / taker.capacity >= giver.load / giver.capacity:
        return 0.0
    relieved = min(rate, giver.load - _find_settled(giver, scale))
    room = _find_settled(taker, scale) * taker.accepts / taker.capacity
    if taker.oversized:
        room = taker.load
    added = max(taker.load + rate - room, 0.0) - max(taker.load - room, 0.0)
    return relieved - added


def _price(draft: drafts.Draft, scale: _Scale, rate: float, span: int) -> float:
    """Returns what moving a piece costs, ms of work."""
    limits = scale.limits
    keys = 1.0 + limits.keys * (span - 1) / draft.span
    cold = scale.weights.churn * limits.cold_start_ms * keys
    wait_s = (limits.hold_ms + limits.cold_start_ms) / clocks.MS_PER_S
    return cold + scale.weights.unavailable * rate * wait_s + _MOVE_MS


def _halve_largest(draft: drafts.Draft, scale: _Scale, source: int) -> None:
    """Splits the dearest piece of a bin that has no move, for the next plan."""
    pieces = [
        piece for piece in draft.pieces[source]
        if piece.span > 1 and not piece.moved
    ]
    if not pieces or draft.room < 1:
        return
    piece = max(pieces, key=lambda piece: (piece.rate, piece.first))
    fair = scale.level * draft.bins[source].capacity
    if piece.rate > scale.tolerance * fair:
        middle = piece.first + piece.span // 2
        drafts.split(draft, piece, middle)
