"""Keeping the table small: cold slices join their neighbours again.

Cold neighbours of one owner are merged. A cold fragment between slices of
another owner is moved to its neighbour's owner first, which costs little as
it holds few keys, and merged by a later plan.
"""

from lentilmoor import drafts
from lentilmoor import plans
from lentilmoor import scales
from lentilmoor import slices

# Of a slice's even share of load or points, what makes it cold or a fragment.
_COLD_SHARE = 0.25
_FRAGMENT_SHARE = 0.03


def tidy(draft: drafts.Draft, scale: scales.Scale) -> None:
    """Merges cold neighbours and brings cold fragments home."""
    pieces = [piece for owned in draft.pieces.values() for piece in owned]
    pieces.sort(key=lambda piece: piece.first)
    powered = sum(1 for item in draft.bins if item.capacity)
    even = powered * scale.limits.even_slices
    span = draft.span // even
    rate = draft.total / even
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
    left_over = scale.limits.moves_per_plan
    for left, piece in zip(pieces, pieces[1:], strict=False):
        if left_over <= 0:
            return
        if piece.moved or piece.recent or left.moved:
            continue
        if piece.span > _FRAGMENT_SHARE * span or left.owner == piece.owner:
            continue
        if piece.rate > _COLD_SHARE * rate or not _may_take(
                draft, scale, left, piece):
            continue
        drafts.move_piece(draft, piece, left.owner, plans.Cause.COOLED)
        left_over -= 1


def _may_take(draft: drafts.Draft, scale: scales.Scale, left: drafts.Piece,
              piece: drafts.Piece) -> bool:
    if left.owner == slices.NO_OWNER:
        return False
    item = draft.bins[left.owner]
    return item.accepts > 0.0 and scales.find_room(item, scale) >= piece.rate
