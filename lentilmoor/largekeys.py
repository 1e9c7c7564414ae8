"""Where to keep a key that is a large part of a server's fair share.

Such a key can't be split, so the rest of its server's load has to make room.
That is cheap where the rest is hot keys and dear where it is ranges; so the
key is moved to the server that can make room by hot keys alone, and the next
large key finds the same server. A key beyond a fair share ends up alone.
"""

import dataclasses

from lentilmoor import bins as bins_lib
from lentilmoor import choices
from lentilmoor import drafts
from lentilmoor import scales

# Of a bin's fair share, what makes a key large.
_LARGE_SHARE = 0.25
# Of a fair share, what a change of server must save in load hard to move.
_WORTH_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Large:
    """A large key.

    Attributes:
      piece: The piece that it is, or is in.
      point: Its point.
      rate: Its cost, ms per second.
    """

    piece: drafts.Piece
    point: int
    rate: float


def place(draft: drafts.Draft, scale: scales.Scale) -> drafts.Draft:
    """Moves the large key of an overloaded bin, if another suits it better.

    Args:
      draft: Is left as it is.
      scale: What is weighed by.

    Returns:
      A draft in which the key is moved and room is made for it, or the same.
    """
    peak = bins_lib.measure_peak(draft.bins)
    for owner, item in enumerate(draft.bins):
        if not scales.is_overloaded(item, scale):
            continue
        large = _find_large(draft, scale, owner)
        target = None if large is None else _find_target(draft, scale, large)
        if target is None:
            continue
        changed = drafts.copy_draft(draft)
        _move(changed, owner, large.point, target)
        choices.relieve(changed, scale)
        if bins_lib.measure_peak(changed.bins) < peak:
            return changed
    return draft


def _find_large(draft: drafts.Draft, scale: scales.Scale,
                owner: int) -> _Large | None:
    """Returns the largest key of a bin, if it is large and free to move."""
    keys = []
    for piece in draft.pieces[owner]:
        if piece.moved:
            continue
        if piece.span == 1 and not piece.recent:
            keys.append(_Large(piece, piece.first, piece.rate))
        if draft.room >= 2:
            keys.extend(_Large(piece, hot.point, hot.cost) for hot in piece.hot)
    large = max(keys, key=lambda item: item.rate, default=None)
    least = _LARGE_SHARE * scale.level * draft.bins[owner].capacity
    return large if large is not None and large.rate >= least else None


def _find_target(draft: drafts.Draft, scale: scales.Scale,
                 large: _Large) -> int | None:
    """Returns the bin where least load that is hard to move is in the way."""
    owner = large.piece.owner
    least = _WORTH_SHARE * scale.level * draft.bins[owner].capacity
    hard = {}
    for index, item in enumerate(draft.bins):
        if not item.accepts or (item.oversized and index != owner):
            continue
        load = item.load - large.rate if index == owner else item.load
        room = max(scale.level * item.accepts - large.rate, 0.0)
        movable = _sum_movable(draft, scale, index, large.point)
        hard[index] = max(load - room - movable, 0.0)
    if owner not in hard:
        return None
    target = min(hard, key=lambda index: (hard[index], index))
    return target if hard[target] + least < hard[owner] else None


def _sum_movable(draft: drafts.Draft, scale: scales.Scale, owner: int,
                 but: int) -> float:
    """Returns the load of the hot keys that one plan could move off a bin."""
    rates = []
    for piece in draft.pieces[owner]:
        if piece.span == 1 and not piece.recent and piece.first != but:
            rates.append(piece.rate)
        rates.extend(hot.cost for hot in piece.hot if hot.point != but)
    rates.sort(reverse=True)
    return sum(rates[:scale.limits.moves_per_plan - 1])


def _move(draft: drafts.Draft, owner: int, point: int, target: int) -> None:
    piece = drafts.find_piece(draft, owner, point)
    hot = next((item for item in piece.hot if item.point == point), None)
    choices.carry_out(draft, choices.Choice(target, piece, hot, 0.0, 0.0))
