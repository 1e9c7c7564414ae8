"""Where to keep a key that is a large part of a server's fair share.

Such a key can't be split, so the rest of its server's load has to make room.
That is cheap where the rest is hot keys and dear where it is ranges; so the
key is moved to the server that can make room by hot keys alone, and the next
large key finds the same server. A key beyond a fair share ends up alone.
"""

import copy
import dataclasses

from lentilmoor import bins as bins_lib
from lentilmoor import choices
from lentilmoor import drafts
from lentilmoor import loads
from lentilmoor import scales

# Of a bin's fair share, what makes a key large.
_LARGE_SHARE = 0.25
# Of a fair share, what a change of server must save in load hard to move.
_WORTH_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Large:
    """A large key.

    Attributes:
      owner: Its bin.
      hot: Its point and its rate.
      alone: Whether it is a slice of its own.
    """

    owner: int
    hot: loads.HotPoint
    alone: bool


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
        changed = copy.deepcopy(draft)
        changed_scale = dataclasses.replace(scale)
        _move(changed, large, target)
        choices.relieve(changed, changed_scale)
        if bins_lib.measure_peak(changed.bins) < peak:
            return changed
    return draft


def _find_large(draft: drafts.Draft, scale: scales.Scale,
                owner: int) -> _Large | None:
    """Returns the largest key of a bin, if it is large and free to move."""
    singles = [
        _Large(owner, loads.HotPoint(piece.first, piece.rate), True)
        for piece in draft.pieces[owner]
        if piece.span == 1 and not piece.recent and not piece.moved
    ]
    if draft.room >= 2:
        singles.extend(
            _Large(owner, hot, False)
            for hot in draft.hot[owner]
            if not drafts.find_piece(draft, owner, hot.point).moved)
    large = max(singles, key=lambda item: item.hot.cost, default=None)
    least = _LARGE_SHARE * scale.level * draft.bins[owner].capacity
    return large if large is not None and large.hot.cost >= least else None


def _find_target(draft: drafts.Draft, scale: scales.Scale,
                 large: _Large) -> int | None:
    rate = large.hot.cost
    here = draft.bins[large.owner]
    least = _WORTH_SHARE * scale.level * here.capacity
    hard = {}
    for index, item in enumerate(draft.bins):
        if not item.accepts or item.oversized and index != large.owner:
            continue
        load = item.load - rate if index == large.owner else item.load
        room = scale.level * item.accepts - rate
        movable = _sum_movable(draft, scale, index, large.hot.point)
        hard[index] = max(load - max(room, 0.0) - movable, 0.0)
    target = min(hard, key=lambda index: (hard[index], index))
    return target if hard[target] + least < hard[large.owner] else None


def _sum_movable(draft: drafts.Draft, scale: scales.Scale, owner: int,
                 but: int) -> float:
    """Returns the load of the hot keys that one plan could move off a bin."""
    rates = [
        piece.rate
        for piece in draft.pieces[owner]
        if piece.span == 1 and not piece.recent and piece.first != but
    ]
    rates.extend(hot.cost for hot in draft.hot[owner] if hot.point != but)
    rates.sort(reverse=True)
    return sum(rates[:scale.limits.moves_per_plan - 1])


def _move(draft: drafts.Draft, large: _Large, target: int) -> None:
    owner = large.owner
    piece = drafts.find_piece(draft, owner, large.hot.point)
    hot = None if large.alone else _find_hot(draft, large)
    choices.carry_out(draft, choices.Choice(target, piece, hot, 0.0, 0.0))
    if draft.bins[owner].oversized_point == large.hot.point:
        draft.bins[target].oversized = draft.bins[owner].oversized
        draft.bins[target].oversized_point = large.hot.point
        draft.bins[owner].oversized = 0.0
        draft.bins[owner].oversized_point = None


def _find_hot(draft: drafts.Draft, large: _Large) -> loads.HotPoint:
    return next(
        hot for hot in draft.hot[large.owner] if hot.point == large.hot.point)
