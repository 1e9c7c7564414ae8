"""A plan in the making: the planner's working copy of a shard.

Pieces are slices as the plan so far would leave them. Rates are milliseconds
of service time per second (see `means`).
"""

import dataclasses

from lentilmoor import bins as bins_lib
from lentilmoor import exceptions
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import plans
from lentilmoor import slices

# What points without observed requests are held to cost, of the whole load.
_PRIOR_SHARE = 0.01


@dataclasses.dataclass(slots=True, eq=False)
class Piece:
    """One slice of the draft.

    Attributes:
      first: First point.
      last: Last point.
      rate: Cost, ms per second.
      owner: Index of its bin, or `slices.NO_OWNER`.
      recent: Whether it came to its owner lately.
      moved: Whether this plan moves it.
      hot: Its hot points, if it is not itself a single point.
    """

    first: int
    last: int
    rate: float
    owner: int
    recent: bool = False
    moved: bool = False
    hot: list[loads.HotPoint] = dataclasses.field(default_factory=list)

    @property
    def span(self) -> int:
        """How many points it covers."""
        return self.last - self.first + 1


@dataclasses.dataclass(slots=True)
class Draft:
    """The working copy.

    Attributes:
      bins: The servers.
      pieces: The pieces of each bin, by its index or `slices.NO_OWNER`.
      span: Points that the map covers.
      total: Cost of all pieces, ms per second.
      room: Slices that may still be added.
      splits: Bounds added so far.
      merges: Bounds dropped so far.
      moves: Moves so far.
      notes: What can't be mended.
    """

    bins: list[bins_lib.Bin]
    pieces: dict[int, list[Piece]]
    span: int
    total: float
    room: int
    splits: list[plans.Split] = dataclasses.field(default_factory=list)
    merges: list[plans.Merge] = dataclasses.field(default_factory=list)
    moves: list[plans.Move] = dataclasses.field(default_factory=list)
    notes: list[plans.Note] = dataclasses.field(default_factory=list)


def make_draft(slice_map: slices.SliceMap, seen: means.Loads,
               bins: list[bins_lib.Bin], limits: plans.Limits,
               now: float) -> Draft:
    """Returns a draft without changes.

    Args:
      slice_map: The map in force.
      seen: Rates aligned with the map.
      bins: The servers; their loads are set from the pieces.
      limits: Bounds.
      now: Time, ms.
    """
    owners = [slices.NO_OWNER, *range(len(bins))]
    powered = sum(1 for item in bins if item.capacity)
    draft = Draft(
        bins,
        {owner: [] for owner in owners},
        slices.HASH_SPAN - slice_map.bounds[0],
        0.0,
        limits.slices_per_server * powered - len(slice_map.bounds),
    )
    pieces = _cut_pieces(draft, slice_map, seen, limits, now)
    for piece in pieces:
        draft.pieces[piece.owner].append(piece)
    for owner, item in enumerate(bins):
        item.load = sum(piece.rate for piece in draft.pieces[owner])
    draft.total = sum(piece.rate for piece in pieces)
    for hot in seen.hot:
        piece = pieces[slice_map.find(hot.point)]
        if piece.span > 1:
            piece.hot.append(hot)
    return draft


def _cut_pieces(draft: Draft, slice_map: slices.SliceMap, seen: means.Loads,
                limits: plans.Limits, now: float) -> list[Piece]:
    prior = (sum(seen.rates) * _PRIOR_SHARE or 1.0) / draft.span
    pieces = []
    for index, first in enumerate(slice_map.bounds):
        last = slice_map.last_point(index)
        rate = seen.rates[index] * (1.0 - _PRIOR_SHARE)
        rate += prior * (last - first + 1)
        residence = limits.residence_ms
        if first == last:
            residence = limits.hot_residence_ms
        recent = now - seen.owned_since[index] < residence
        pieces.append(Piece(first, last, rate, slice_map.owners[index], recent))
    return pieces


def copy_draft(draft: Draft) -> Draft:
    """Returns a draft that can be changed without changing this one."""
    return dataclasses.replace(
        draft,
        bins=[dataclasses.replace(item) for item in draft.bins],
        pieces={
            owner: [
                dataclasses.replace(piece, hot=list(piece.hot))
                for piece in pieces
            ] for owner, pieces in draft.pieces.items()
        },
        splits=list(draft.splits),
        merges=list(draft.merges),
        moves=list(draft.moves),
    )


def move_piece(draft: Draft, piece: Piece, target: int,
               cause: plans.Cause) -> None:
    """Moves a piece, once in a plan; it may not be cut after that."""
    source = None
    draft.pieces[piece.owner].remove(piece)
    if piece.owner != slices.NO_OWNER:
        source = draft.bins[piece.owner].name
        draft.bins[piece.owner].load -= piece.rate
        _move_oversized(draft.bins[piece.owner], draft.bins[target], piece)
    draft.moves.append(
        plans.Move(piece.first, source, draft.bins[target].name, cause))
    piece.owner = target
    piece.moved = True
    draft.pieces[target].append(piece)
    draft.bins[target].load += piece.rate


def _move_oversized(giver: bins_lib.Bin, taker: bins_lib.Bin,
                    piece: Piece) -> None:
    """Marks the bin that takes over a key beyond a fair share."""
    point = giver.oversized_point
    if point is not None and piece.first <= point <= piece.last:
        taker.oversized = giver.oversized
        taker.oversized_point = point
        giver.oversized = 0.0
        giver.oversized_point = None


def find_piece(draft: Draft, owner: int, point: int) -> Piece:
    """Returns the piece of an owner that covers a point."""
    for piece in draft.pieces[owner]:
        if piece.first <= point <= piece.last:
            return piece
    raise exceptions.InvariantError(f'no piece of {owner} covers {point}')


def isolate(draft: Draft, piece: Piece, hot: loads.HotPoint) -> Piece:
    """Cuts a hot point out of its piece.

    Args:
      draft: Is changed.
      piece: Is cut.
      hot: The point, in `piece.hot`.

    Returns:
      The piece of this point only.
    """
    if piece.first < hot.point:
        piece = split(draft, piece, hot.point)
    if hot.point < piece.last:
        split(draft, piece, hot.point + 1)
    piece.hot = []
    return piece


def split(draft: Draft, piece: Piece, point: int) -> Piece:
    """Cuts a piece in two; both rates are estimates.

    Args:
      draft: Is changed.
      piece: Is cut.
      point: First point of the new piece; after the first of the old one.

    Returns:
      The new piece.
    """
    if piece.moved:
        raise exceptions.InvariantError(f'{piece} was moved and is cut')
    inside = [item for item in piece.hot if item.point < point]
    kept = piece.rate * loads.share_rate(piece.rate, piece.hot, inside,
                                         (point - piece.first) / piece.span)
    cut = Piece(point,
                piece.last,
                piece.rate - kept,
                piece.owner,
                piece.recent,
                hot=[item for item in piece.hot if item.point >= point])
    piece.hot = inside
    piece.last = point - 1
    piece.rate = kept
    draft.pieces[piece.owner].append(cut)
    draft.splits.append(plans.Split(point))
    draft.room -= 1
    return cut
