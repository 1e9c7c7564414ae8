"""A plan in the making: the planner's working copy of a shard.

Pieces are slices as the plan so far would leave them. Rates are milliseconds
of service time per second, as in `means`.
"""

from collections.abc import Mapping
import dataclasses

from lentilmoor import exceptions
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import plans
from lentilmoor import slices
from lentilmoor import tables

# What points without observed requests are held to cost, of the whole load.
_PRIOR_SHARE = 0.01
_COLDEST_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class Piece:
    """One slice of the draft.

    Attributes:
      first: First point.
      last: Last point.
      rate: Cost, ms per second.
      owner: Index of its owner in the draft, or `slices.NO_OWNER`.
      recent: Whether it came to its owner lately.
      moved: Whether this plan moves it.
    """

    first: int
    last: int
    rate: float
    owner: int
    recent: bool = False
    moved: bool = False

    @property
    def span(self) -> int:
        """How many points it covers."""
        return self.last - self.first + 1


@dataclasses.dataclass(slots=True)
class Bin:
    """One server of the draft.

    Attributes:
      name: Server id.
      capacity: Slots; 0 unless the server is live or suspect.
      accepts: Slots as its warm-up stands; 0 unless the server is live.
      leaving: Whether it is to be emptied.
      load: Cost of its pieces, ms per second.
      requests: Decayed number of requests behind the load.
      oversized: Cost of its keys that exceed its fair share, or 0.
    """

    name: str
    capacity: float = 0.0
    accepts: float = 0.0
    leaving: bool = False
    load: float = 0.0
    requests: float = 0.0
    oversized: float = 0.0


@dataclasses.dataclass(slots=True)
class Draft:
    """The working copy.

    Attributes:
      bins: The servers, those of the map first and in its order.
      pieces: The pieces of each bin, by its index or `slices.NO_OWNER`.
      hot: Hot points that are no slices of their own, alike.
      span: Points that the map covers.
      total: Cost of all pieces, ms per second.
      room: Slices that may still be added.
      splits: Bounds added so far.
      merges: Bounds dropped so far.
      moves: Moves so far.
      notes: What can't be mended.
    """

    bins: list[Bin]
    pieces: dict[int, list[Piece]]
    hot: dict[int, list[loads.HotPoint]]
    span: int
    total: float
    room: int
    splits: list[plans.Split] = dataclasses.field(default_factory=list)
    merges: list[plans.Merge] = dataclasses.field(default_factory=list)
    moves: list[plans.Move] = dataclasses.field(default_factory=list)
    notes: list[plans.Note] = dataclasses.field(default_factory=list)


def make_draft(slice_map: slices.SliceMap, seen: means.Loads,
               servers: Mapping[str, tables.Server], limits: plans.Limits,
               now: float) -> Draft:
    """Returns a draft without changes."""
    bins = _make_bins(slice_map, servers, limits, now)
    span = slices.HASH_SPAN - slice_map.bounds[0]
    draft = Draft(bins, {slices.NO_OWNER: []}, {slices.NO_OWNER: []}, span, 0.0,
                  0)
    for index in range(len(bins)):
        draft.pieces[index] = []
        draft.hot[index] = []
    _add_pieces(draft, slice_map, seen, now - limits.residence_ms)
    _add_hot(draft, slice_map, seen)
    powered = sum(1 for item in bins if item.capacity)
    draft.room = limits.slices_per_server * powered - len(slice_map.bounds)
    return draft


def _make_bins(slice_map: slices.SliceMap, servers: Mapping[str, tables.Server],
               limits: plans.Limits, now: float) -> list[Bin]:
    names = list(slice_map.servers)
    known = set(names)
    names.extend(name for name in sorted(servers) if name not in known)
    return [_make_bin(name, servers.get(name), limits, now) for name in names]


def _make_bin(name: str, server: tables.Server | None, limits: plans.Limits,
              now: float) -> Bin:
    if server is None or server.liveness is tables.Liveness.DEAD:
        return Bin(name)
    if server.liveness is tables.Liveness.LEAVING:
        return Bin(name, leaving=True)
    if server.liveness is tables.Liveness.SUSPECT:
        return Bin(name, capacity=server.slots)
    return Bin(name,
               capacity=server.slots,
               accepts=server.slots * _warmth(server, limits, now))


def _warmth(server: tables.Server, limits: plans.Limits, now: float) -> float:
    if server.warm_since <= 0.0 or limits.warm_up_ms <= 0.0:
        return 1.0
    share = (now - server.warm_since) / limits.warm_up_ms
    return min(max(share, _COLDEST_SHARE), 1.0)


def _add_pieces(draft: Draft, slice_map: slices.SliceMap, seen: means.Loads,
                settled_by: float) -> None:
    prior = sum(seen.rates) * _PRIOR_SHARE
    if prior <= 0.0:
        prior = 1.0
    bounds = slice_map.bounds
    end = slices.HASH_SPAN
    for index in range(len(bounds) - 1, -1, -1):
        first = bounds[index]
        rate = seen.rates[index] + prior * ((end - first) / draft.span)
        owner = slice_map.owners[index]
        draft.pieces[owner].append(
            Piece(first, end - 1, rate, owner, seen.owned_since[index]
                  > settled_by))
        end = first
        draft.total += rate
        if owner != slices.NO_OWNER:
            draft.bins[owner].load += rate
            draft.bins[owner].requests += seen.requests[index]


def _add_hot(draft: Draft, slice_map: slices.SliceMap,
             seen: means.Loads) -> None:
    for hot in seen.hot:
        index = slice_map.find(hot.point)
        if slice_map.last_point(index) > slice_map.bounds[index]:
            draft.hot[slice_map.owners[index]].append(hot)


def move_piece(draft: Draft, piece: Piece, target: int,
               cause: plans.Cause) -> None:
    """Moves a piece, once in a plan; it may not be cut after that."""
    source = None
    draft.pieces[piece.owner].remove(piece)
    if piece.owner != slices.NO_OWNER:
        source = draft.bins[piece.owner].name
        draft.bins[piece.owner].load -= piece.rate
    draft.moves.append(
        plans.Move(piece.first, source, draft.bins[target].name, cause))
    _move_hot(draft, piece, target)
    piece.owner = target
    piece.moved = True
    draft.pieces[target].append(piece)
    draft.bins[target].load += piece.rate


def _move_hot(draft: Draft, piece: Piece, target: int) -> None:
    left = draft.hot[piece.owner]
    taken = [hot for hot in left if piece.first <= hot.point <= piece.last]
    if taken:
        draft.hot[piece.owner] = [hot for hot in left if hot not in taken]
        draft.hot[target].extend(taken)


def find_piece(draft: Draft, owner: int, point: int) -> Piece:
    """Returns the piece of an owner that covers a point."""
    for piece in draft.pieces[owner]:
        if piece.first <= point <= piece.last:
            return piece
    raise exceptions.InvariantError(f'no piece of {owner} covers {point}')


def isolate(draft: Draft, owner: int, hot: loads.HotPoint) -> Piece:
    """Cuts a hot point out of its piece.

    Args:
      draft: Is changed.
      owner: Owner of the point.
      hot: The point, in `draft.hot[owner]`.

    Returns:
      The piece of this point only.
    """
    piece = find_piece(draft, owner, hot.point)
    if piece.first < hot.point:
        piece = split(draft, piece, hot.point)
    if hot.point < piece.last:
        split(draft, piece, hot.point + 1)
    draft.hot[owner].remove(hot)
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
    kept = _estimate_kept(draft, piece, point)
    cut = Piece(point, piece.last, piece.rate - kept, piece.owner, piece.recent)
    piece.last = point - 1
    piece.rate = kept
    draft.pieces[piece.owner].append(cut)
    draft.splits.append(plans.Split(point))
    draft.room -= 1
    return cut


def _estimate_kept(draft: Draft, piece: Piece, point: int) -> float:
    """Returns what [first, point) costs: its hot points, and by its span."""
    inside = 0.0
    hot = 0.0
    for item in draft.hot[piece.owner]:
        if piece.first <= item.point <= piece.last:
            hot += item.cost
            inside += item.cost if item.point < point else 0.0
    if hot > piece.rate:
        inside *= piece.rate / hot
        hot = piece.rate
    return inside + (piece.rate - hot) * (point - piece.first) / piece.span
