"""Which slices to split, to merge and to move, so that load stays even.

`plan` is a pure function that the grantor of a shard calls every few seconds.
A move gains the work it takes off overloaded servers over a horizon, and costs
the cold starts of its keys and the wait of the requests that are held
meanwhile, each times the team's weight (see `scales`). Cold starts grow with
the key space that moves, so hot keys, cut out into slices of one point, are
moved before ranges.
"""

from collections.abc import Mapping

from lentilmoor import bins as bins_lib
from lentilmoor import choices
from lentilmoor import drafts
from lentilmoor import largekeys
from lentilmoor import means
from lentilmoor import merges
from lentilmoor import models
from lentilmoor import plans
from lentilmoor import scales
from lentilmoor import slices
from lentilmoor import tables

# A lost server's hot points above this part of a slot's fair share go singly.
_LARGE_SHARE = 0.05
# Of the bound on slices, what makes the planner look for merges alone.
_COMFORTABLE_SHARE = 0.5


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
    bins = bins_lib.make_bins(slice_map, seen, servers, limits, now)
    if not any(item.accepts for item in bins):
        return _note_no_target(slice_map, bins)
    peak = bins_lib.measure_peak(bins)
    scale = scales.make_scale(sum(seen.rates), bins, weights, limits)
    observed = seen.observed_ms >= limits.observe_ms
    notes = _find_oversized(slice_map, seen, bins, scale) if observed else ()
    lost = slices.NO_OWNER in slice_map.owners or any(
        item.gone and item.slices for item in bins)
    over = observed and any(scales.is_overloaded(item, scale) for item in bins)
    large = _is_large(slice_map, bins, limits)
    if not lost and not over and not large:
        return plans.Plan(notes=notes, peak_before=peak, peak_after=peak)
    draft = drafts.make_draft(slice_map, seen, bins, limits, now)
    if lost:
        _evacuate(draft, scale)
    if over:
        draft = largekeys.place(draft, scale)
        choices.relieve(draft, scale)
    if observed:
        merges.tidy(draft, scale)
    return plans.Plan(tuple(draft.splits), tuple(draft.merges),
                      tuple(draft.moves), notes, peak,
                      bins_lib.measure_peak(draft.bins))


def _is_large(slice_map: slices.SliceMap, bins: list[bins_lib.Bin],
              limits: plans.Limits) -> bool:
    """Returns whether the table is past its size for comfort."""
    powered = sum(1 for item in bins if item.capacity)
    most = limits.slices_per_server * powered
    return len(slice_map.bounds) > _COMFORTABLE_SHARE * most


def _note_no_target(slice_map: slices.SliceMap,
                    bins: list[bins_lib.Bin]) -> plans.Plan:
    owned = sum(item.slices for item in bins if item.capacity)
    stranded = len(slice_map.bounds) - owned
    return plans.Plan(notes=(plans.NoTarget(stranded),) if stranded else ())


def _find_oversized(slice_map: slices.SliceMap, seen: means.Loads,
                    bins: list[bins_lib.Bin],
                    scale: scales.Scale) -> tuple[plans.OversizedKey, ...]:
    """Marks bins with a key beyond their fair share; fits the level."""
    notes = []
    slots = sum(item.carries for item in bins)
    rest = sum(seen.rates)
    for hot in seen.hot:
        owner = slice_map.owners[slice_map.find(hot.point)]
        item = bins[owner] if owner != slices.NO_OWNER else None
        if item is None or not item.accepts or item.oversized:
            continue
        fair = item.accepts * rest / slots
        if hot.cost <= fair or slots <= item.accepts:
            break
        item.oversized = hot.cost
        item.oversized_point = hot.point
        notes.append(plans.OversizedKey(hot.point, item.name, hot.cost, fair))
        rest -= hot.cost
        slots -= item.accepts
    scale.level = max(rest, 0.0) / slots
    scales.widen(scale, bins)
    return tuple(notes)


def _evacuate(draft: drafts.Draft, scale: scales.Scale) -> None:
    """Moves all pieces without a live owner, the dearest first."""
    pieces = []
    for owner in draft.pieces:
        if owner == slices.NO_OWNER or draft.bins[owner].gone:
            _isolate_large(draft, scale, owner)
            pieces.extend(draft.pieces[owner])
    pieces.sort(key=lambda piece: (-piece.rate, piece.first))
    for piece in pieces:
        target = _find_emptiest(draft, piece.rate)
        drafts.move_piece(draft, piece, target, _find_cause(draft, piece))


def _isolate_large(draft: drafts.Draft, scale: scales.Scale,
                   owner: int) -> None:
    least = _LARGE_SHARE * scale.level
    for piece in list(draft.pieces[owner]):
        for hot in sorted(piece.hot, key=lambda item: -item.point):
            if draft.room >= 2 and hot.cost > least:
                drafts.isolate(draft, piece, hot)


def _find_cause(draft: drafts.Draft, piece: drafts.Piece) -> plans.Cause:
    if piece.owner != slices.NO_OWNER and draft.bins[piece.owner].leaving:
        return plans.Cause.SERVER_LEAVING
    return plans.Cause.SERVER_DEAD


def _find_emptiest(draft: drafts.Draft, rate: float) -> int:
    """Returns the bin that would be the least loaded with `rate` more."""

    def fill(index: int) -> float:
        item = draft.bins[index]
        return (item.load + rate) / item.accepts

    accepting = [i for i, item in enumerate(draft.bins) if item.accepts]
    return min(accepting, key=lambda i: (fill(i), i))
