"""Which piece or hot point of an overloaded bin to move, and where to.

A choice is the move with the highest gain for its price. Hot points are
weighed beside whole pieces and are only cut out when chosen.
"""

import dataclasses

from lentilmoor import drafts
from lentilmoor import loads
from lentilmoor import plans
from lentilmoor import scales

_SLICES_OF_A_CUT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A move that might be made.

    Attributes:
      target: Bin that takes over.
      piece: The piece, or the one that the hot point is cut out of.
      hot: The hot point, or None.
      gain: Work taken off overloaded servers, ms.
      price: Cold starts and waiting, ms.
    """

    target: int
    piece: drafts.Piece
    hot: loads.HotPoint | None
    gain: float
    price: float


def relieve(draft: drafts.Draft, scale: scales.Scale) -> None:
    """Moves pieces and hot points off overloaded bins, the fullest first."""
    _isolate_oversized(draft, scale)
    stuck = set()
    last = len(draft.moves) + scale.limits.moves_per_plan
    while len(draft.moves) < last:
        over = [
            index for index, item in enumerate(draft.bins)
            if index not in stuck and scales.is_overloaded(item, scale)
        ]
        if not over:
            return
        source = max(over, key=lambda i: _rate_fill(draft, i))
        choice = choose(draft, scale, source)
        if choice is None:
            stuck.add(source)
            _halve_largest(draft, scale, source)
        else:
            carry_out(draft, choice)


def _isolate_oversized(draft: drafts.Draft, scale: scales.Scale) -> None:
    """Cuts keys beyond a fair share out of slices whose rest is to leave."""
    for owner, item in enumerate(draft.bins):
        if item.oversized_point is None or draft.room < _SLICES_OF_A_CUT:
            continue
        piece = drafts.find_piece(draft, owner, item.oversized_point)
        if piece.moved or not scales.is_overloaded(item, scale):
            continue
        for hot in piece.hot:
            if hot.point == item.oversized_point:
                drafts.isolate(draft, piece, hot)
                break


def _rate_fill(draft: drafts.Draft, index: int) -> float:
    return draft.bins[index].load / draft.bins[index].capacity


def carry_out(draft: drafts.Draft, choice: Choice) -> None:
    """Makes a chosen move."""
    piece = choice.piece
    if choice.hot is not None:
        piece = drafts.isolate(draft, piece, choice.hot)
    drafts.move_piece(draft, piece, choice.target, plans.Cause.IMBALANCE)


def choose(draft: drafts.Draft, scale: scales.Scale,
           source: int) -> Choice | None:
    """Returns the move off a bin that gains most for its price, if any."""
    target = find_roomiest(draft, scale, source)
    if target is None:
        return None
    best = None
    may_cut = draft.room >= _SLICES_OF_A_CUT
    for piece in draft.pieces[source]:
        if piece.moved:
            continue
        if not piece.recent:
            best = _pick(draft, scale, best, target, piece, None)
        for hot in piece.hot if may_cut else ():
            best = _pick(draft, scale, best, target, piece, hot)
    return best


def _pick(draft: drafts.Draft, scale: scales.Scale, best: Choice | None,
          target: int, piece: drafts.Piece,
          hot: loads.HotPoint | None) -> Choice | None:
    """Returns the better of a choice and a move, if that is worth its price."""
    rate = piece.rate if hot is None else hot.cost
    span = piece.span if hot is None else 1
    relief = scales.measure_relief(draft.bins[piece.owner], draft.bins[target],
                                   rate, scale)
    if relief <= 0.0:
        return best
    gain = scales.find_gain(relief, span, scale)
    price = scales.find_price(rate, span, draft.span, scale)
    if gain <= price:
        return best
    if best is None or gain * best.price > best.gain * price:
        return Choice(target, piece, hot, gain, price)
    return best


def find_roomiest(draft: drafts.Draft, scale: scales.Scale,
                  source: int) -> int | None:
    """Returns the bin with most room but the source, or None."""
    others = [
        index for index, item in enumerate(draft.bins)
        if item.accepts and not item.oversized and index != source
    ]
    if not others:
        return None
    return max(others, key=lambda i: scales.find_room(draft.bins[i], scale))


def _halve_largest(draft: drafts.Draft, scale: scales.Scale,
                   source: int) -> None:
    """Splits the dearest piece, if the next plan would want to move a half."""
    target = find_roomiest(draft, scale, source)
    pieces = [
        piece for piece in draft.pieces[source]
        if piece.span > 1 and not piece.moved
    ]
    if not pieces or target is None or draft.room < 1:
        return
    piece = max(pieces, key=lambda piece: (piece.rate, piece.first))
    half = piece.span // 2
    relief = scales.measure_relief(draft.bins[source], draft.bins[target],
                                   piece.rate / 2.0, scale)
    gain = scales.find_gain(relief, half, scale)
    if gain > scales.find_price(piece.rate / 2.0, half, draft.span, scale):
        drafts.split(draft, piece, piece.first + half)
