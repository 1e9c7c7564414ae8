"""Keeping the table small: cold slices join their neighbours again.

Cold neighbours of one owner are merged. A cold fragment between slices of
another owner is moved to its neighbour's owner first, which costs little as
it holds few keys, and merged by a later plan.
"""

from lentilmoor import bins
from lentilmoor import drafts
from lentilmoor import plans
from lentilmoor import scales
from lentilmoor import slices

# Of the bound on slices, the room below which merges reach further.
_SCARCE_SHARE = 0.5
# Of a slice's even share of load or points, what makes it cold or a fragment.
_COLD_SHARE = 0.25
_FRAGMENT_SHARE = 0.03


def tidy(draft: drafts.Draft, scale: scales.Scale) -> None:
    """Merges cold neighbours and brings cold fragments home."""
    pieces = [piece for owned in draft.pieces.values() for piece in owned]
    pieces.sort(key=lambda piece: piece.first)
    powered = sum(1 for item in draft.bins if item.capacity)
    even = powered * scale.limits.even_slices
    span = 1 + draft.span // even
    rate = draft.total / even
    if draft.room < _SCARCE_SHARE * powered * scale.limits.slices_per_server:
        span *= 2
        rate *= 2
    cut = {item.point for item in draft.splits}
    _merge(draft, pieces, span, rate, cut)
    _return_fragments(draft, scale, span, rate)


def _merge(draft: drafts.Draft, pieces: list[drafts.Piece], span: int,
           rate: float, cut: set[int]) -> None:
    left = pieces[0]
    for right in pieces[1:]:
        if right.first not in cut and _may_join(left, right, span, rate):
            draft.merges.append(plans.Merge(right.first))
            draft.pieces[right.owner].remove(right)
            left.last = right.last
            left.rate += right.rate
            left.hot.extend(right.hot)
            left.recent = left.recent or right.recent
            draft.room += 1
        else:
            left = right


def _may_join(left: drafts.Piece, right: drafts.Piece, span: int,
              rate: float) -> bool:
    if left.owner != right.owner or left.owner == slices.NO_OWNER:
        return False
    if left.moved or right.moved:
        return False
    single = min(left.span, right.span) == 1
    small = left.rate if left.span == 1 else right.rate
    if single and small > _COLD_SHARE * rate:
        return False
    return left.span + right.span <= span and left.rate + right.rate <= rate


def _return_fragments(draft: drafts.Draft, scale: scales.Scale, span: int,
                      rate: float) -> None:
    pieces = [piece for owned in draft.pieces.values() for piece in owned]
    pieces.sort(key=lambda piece: piece.first)
    highest = max(_fill(item, 0.0) for item in draft.bins if item.capacity)
    last = len(draft.moves) + scale.limits.moves_per_plan
    for index, piece in enumerate(pieces):
        if len(draft.moves) >= last:
            return
        if piece.moved or piece.recent or piece.rate > _COLD_SHARE * rate:
            continue
        if piece.span > _FRAGMENT_SHARE * span:
            continue
        neighbours = pieces[max(index - 1, 0):index] + pieces[index + 1:index +
                                                              2]
        target = _find_home(draft, piece, neighbours, highest)
        if target is not None:
            drafts.move_piece(draft, piece, target, plans.Cause.COOLED)


def _find_home(draft: drafts.Draft, piece: drafts.Piece,
               neighbours: list[drafts.Piece], highest: float) -> int | None:
    """Returns the neighbour's bin that may take a fragment, or None."""
    owners = [item.owner for item in neighbours if not item.moved]
    if piece.owner in owners or slices.NO_OWNER in owners:
        return None
    fills = {
        owner: _fill(draft.bins[owner], piece.rate)
        for owner in owners
        if draft.bins[owner].accepts and not draft.bins[owner].oversized
    }
    target = min(fills, key=fills.get, default=None)
    return None if target is None or fills[target] > highest else target


def _fill(item: bins.Bin, more: float) -> float:
    return (item.load + more) / item.capacity
