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


def _rate_fill(draft: drafts.Draft, index: int) -> float:
    return draft.bins[index].load / draft.bins[index].capacity


def carry_out(draft: drafts.Draft, choice: Choice) -> None:
    """Makes a chosen move."""
    piece = choice.piece
    if choice.hot is not None:
        piece = drafts.isolate(draft, piece.owner, choice.hot)
    drafts.move_piece(draft, piece, choice.target, plans.Cause.IMBALANCE)


def choose(draft: drafts.Draft, scale: scales.Scale,
           source: int) -> Choice | None:
    """Returns the move off a bin that gains most for its price, if any."""
    target = find_roomiest(draft, scale, source)
    if target is None:
        return None
    best = None
    for piece in draft.pieces[source]:
        if not piece.recent and not piece.moved:
            choice = _weigh(draft, scale, piece, None, target)
            best = _pick(best, choice)
    if draft.room < _SLICES_OF_A_CUT:
        return best
    for hot in draft.hot[source]:
        piece = drafts.find_piece(draft, source, hot.point)
        if not piece.moved:
            choice = _weigh(draft, scale, piece, hot, target)
            best = _pick(best, choice)
    return best


def _pick(best: Choice | None, choice: Choice) -> Choice | None:
    if choice.gain <= choice.price:
        return best
    if best is None or choice.gain * best.price > best.gain * choice.price:
        return choice
    return best


def _weigh(draft: drafts.Draft, scale: scales.Scale, piece: drafts.Piece,
           hot: loads.HotPoint | None, target: int) -> Choice:
    rate = piece.rate if hot is None else hot.cost
    span = piece.span if hot is None else 1
    relief = scales.measure_relief(draft.bins[piece.owner], draft.bins[target],
                                   rate, scale)
    return Choice(target, piece, hot, scales.find_gain(relief, span, scale),
                  scales.find_price(rate, span, draft.span, scale))


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
