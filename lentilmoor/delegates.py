"""The delegate's side of ownership: routing leases and the epoch fence.

A delegate accepts the orders of the highest epoch that it has seen and no
other, and dispatches to owner servers only while its routing lease lasts. The
lease is counted from this process's own clock as the grantor echoes it, so
that an order which arrives late gives what is left of it, or nothing.

Rows live as long as the process: a row that was forgotten would forget its
promise. A process that starts again must do so under a new id.
"""

import dataclasses

from lentilmoor import grants
from lentilmoor import ranges
from lentilmoor import slices


@dataclasses.dataclass(frozen=True, slots=True)
class RouteView:
    """What the request path reads of one shard; replaced, never changed.

    A request is dispatched only if, after it was registered as running under
    this view's version, the view is still the current one and `expires_at`
    has not come.

    Attributes:
      shard: The shard.
      epoch: The grantor's epoch.
      sequence: Version within the epoch.
      map: Owners; `NO_OWNER` where requests are to be held.
      expires_at: When dispatching must stop.
      homes: Home entry of each server, by index in the map.
      contended: Servers whose requests go by their home.
    """

    shard: str
    epoch: int
    sequence: int
    map: slices.SliceMap
    expires_at: float
    homes: tuple[str, ...] = ()
    contended: frozenset[str] = frozenset()

    @property
    def version(self) -> grants.Version:
        """(epoch, sequence) of the order that this view came from."""
        return (self.epoch, self.sequence)


@dataclasses.dataclass(slots=True)
class LeaseRow:
    """One shard's routing lease at this delegate.

    Attributes:
      shard: The shard.
      me: Id of this entry, one per process start.
      created_at: When this row was made.
      epoch: Highest epoch accepted: the fence.
      sequence: Highest sequence accepted in that epoch.
      grantor: Who holds that epoch.
      assignment: Newest assignment of that epoch, else what older ones left.
      older_at: When an order of an epoch below `epoch` was last accepted.
      accepted_at: When an order was last accepted.
      routes: The view for requests, once there is one.
    """

    shard: str
    me: str
    created_at: float
    epoch: int = 0
    sequence: int = 0
    grantor: str = ''
    assignment: slices.SliceMap | None = None
    older_at: float = 0.0
    accepted_at: float = 0.0
    routes: RouteView | None = None


def make_row(shard: str, me: str, now: float) -> LeaseRow:
    """Returns an empty row; its past counts as unknown."""
    return LeaseRow(shard, me, now, older_at=now, accepted_at=now)


def view(row: LeaseRow) -> RouteView | None:
    """Returns what the request path is to read."""
    return row.routes


def accept_lease(row: LeaseRow, order: grants.LeaseOrder,
                 now: float) -> grants.LeaseReply:
    """Applies a grantor's order, if its fence allows.

    Args:
      row: The shard's row; changed.
      order: The order.
      now: This process's clock, ms; not before the order arrived.

    Returns:
      The reply, without `drained` (see `add_drained`).
    """
    if order.delegate != row.me or _is_stale(row, order):
        return _make_reply(row, order, now, accepted=False)
    if order.epoch > row.epoch:
        row.older_at = row.accepted_at
        row.epoch = order.epoch
        row.sequence = 0
    row.grantor = order.grantor
    row.accepted_at = now
    if not order.gather:
        _apply(row, order, now)
    return _make_reply(row, order, now, accepted=True)


def add_drained(reply: grants.LeaseReply,
                oldest: grants.Version | None) -> grants.LeaseReply:
    """Completes a reply with what still runs.

    Args:
      reply: What `accept_lease` returned.
      oldest: Oldest view version under which a request still runs, read
        after the row's new view was put in force; None if none runs.

    Returns:
      The reply to send.
    """
    if not reply.accepted:
        return reply
    if oldest is None or oldest > (reply.epoch, reply.sequence):
        drained = reply.sequence
    else:
        drained = oldest[1] if oldest[0] == reply.epoch else 0
    return dataclasses.replace(reply, drained=drained)


def _is_stale(row: LeaseRow, order: grants.LeaseOrder) -> bool:
    return (order.epoch, order.sequence) < (row.epoch, row.sequence)


def _apply(row: LeaseRow, order: grants.LeaseOrder, now: float) -> None:
    if order.assignment is not None:
        row.assignment = order.assignment
    if row.assignment is None or row.assignment.version != order.map_version:
        return
    row.sequence = order.sequence
    expires_at = _find_expiry(order, now)
    version = (order.epoch, order.sequence)
    if row.routes is not None and row.routes.version == version:
        if expires_at > row.routes.expires_at:
            row.routes = dataclasses.replace(row.routes, expires_at=expires_at)
        return
    row.routes = RouteView(
        shard=row.shard,
        epoch=order.epoch,
        sequence=order.sequence,
        map=ranges.hide(row.assignment, order.held),
        expires_at=expires_at,
        homes=order.homes,
        contended=order.contended,
    )


def _find_expiry(order: grants.LeaseOrder, now: float) -> float:
    if order.clock_echo_ms > now:
        return grants.NEVER
    return order.clock_echo_ms + order.lifetime_ms


def _make_reply(row: LeaseRow, order: grants.LeaseOrder, now: float,
                accepted: bool) -> grants.LeaseReply:
    held = row.assignment
    version = grants.NO_VERSION if held is None else held.version
    wanted = order.gather and accepted and version > order.map_version
    return grants.LeaseReply(
        delegate=row.me,
        accepted=accepted,
        epoch=row.epoch,
        sequence=row.sequence,
        map_version=version,
        clock_ms=now,
        quiet_ms=now - row.older_at,
        assignment=held if wanted else None,
    )
