"""Sending grants to servers and routing leases to delegates.

Every lifetime is counted from the receiver's own clock, echoed, so that what
is sent ends one lifetime after the echo arrived here, whenever it arrives
there. Nothing that is sent outlasts the grantor's authority.
"""

from lentilmoor import authority
from lentilmoor import grants
from lentilmoor import slices

DRAIN_POLL_MS = 10.0
"""How often a delegate is asked again while it drains."""

RECHECK_MS = 250.0
"""Shortest time between reads of the record that refusals cause."""


def track_members(row: grants.GrantorRow, now: float) -> None:
    """Makes rows for new delegates; drops former ones of no consequence.

    A former delegate counts until its last request must have arrived.
    """
    members = authority.list_members(row)
    for member in members:
        if member not in row.delegates:
            row.delegates[member] = grants.DelegateLease(id=member)
    for member, lease in list(row.delegates.items()):
        arrived_at = lease.until + row.order_delay_ms
        if member not in members and arrived_at <= now:
            del row.delegates[member]


def start_epoch(row: grants.GrantorRow) -> None:
    """Forgets what was acknowledged in older epochs, and no lifetime."""
    row.sequence = 0
    row.grants_key = None
    row.lease_key = None
    for server in row.servers.values():
        server.owned = ()
        server.sequence = 0
        server.acked = -1
        server.next_at = grants.NEVER
    for member, lease in row.delegates.items():
        row.delegates[member] = grants.DelegateLease(
            id=member,
            clock_echo_ms=lease.clock_echo_ms,
            echo_at=lease.echo_at,
            echo_sent_at=lease.echo_sent_at,
            until=lease.until)


def call_all(row: grants.GrantorRow) -> None:
    """Makes every server and delegate due."""
    for server in row.servers.values():
        server.next_at = grants.NEVER
    call_delegates(row)


def call_delegates(row: grants.GrantorRow) -> None:
    """Makes every delegate due."""
    for lease in row.delegates.values():
        lease.next_at = grants.NEVER


def send_gathers(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    """Returns what asks delegates for their promise and newest assignment."""
    return [
        _ask_delegate(row, lease, row.record.assignment, now)
        for lease in _list_due(row, now)
    ]


def send_leases(row: grants.GrantorRow, published: slices.SliceMap, end: float,
                now: float) -> list[grants.Action]:
    """Returns the routing leases that are due.

    Where no lease can be given, for want of authority or of the delegate's
    clock, it is only asked: what older epochs gave it may still last.

    Args:
      row: The shard's row.
      published: The assignment that delegates are to hold.
      end: When this grantor's authority ends.
      now: Time, ms.
    """
    actions: list[grants.Action] = []
    homes = tuple(row.homes.get(server, '') for server in published.servers)
    for lease in _list_due(row, now):
        lifetime = _take_lifetime(row, lease, end, now)
        if not lifetime:
            actions.append(_ask_delegate(row, lease, published, now))
            continue
        lacks_map = lease.map_version != published.version
        order = grants.LeaseOrder(
            row.shard,
            lease.id,
            row.me,
            row.epoch,
            row.sequence,
            lifetime_ms=lifetime,
            clock_echo_ms=lease.clock_echo_ms,
            map_version=published.version,
            assignment=published if lacks_map else None,
            held=row.held,
            homes=homes,
            contended=row.contended,
        )
        actions.append(grants.SendLease(row.shard, lease.id, order, now))
    return actions


def send_asks(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    """Returns what asks servers for their clocks, where these are unknown."""
    return [
        _ask(row, server, now)
        for server in row.servers.values()
        if row.keyed and server.checks_grants and server.next_at <= now and
        not _has_echo(row, server, now)
    ]


def send_grants(row: grants.GrantorRow, end: float,
                now: float) -> list[grants.Action]:
    """Returns the grants that are due.

    Args:
      row: The shard's row.
      end: When this grantor's authority ends.
      now: Time, ms.
    """
    actions = send_asks(row, now)
    if end <= now or not row.keyed:
        return actions
    for server in row.servers.values():
        if not server.checks_grants or server.next_at > now:
            continue
        if server.elsewhere_until > now:
            continue
        _schedule(row, server, now)
        renews = server.acked == server.sequence
        actions.append(
            grants.SendGrant(row.shard,
                             server.id,
                             server.address,
                             row.epoch,
                             server.sequence,
                             clock_echo_ms=server.clock_echo_ms,
                             lifetime_ms=_take_lifetime(row, server, end, now),
                             owned=None if renews else server.owned,
                             sent_at=now))
    return actions


def note_lease(row: grants.GrantorRow, event: grants.LeaseAnswered,
               now: float) -> grants.DelegateLease | None:
    """Takes in a delegate's answer.

    Returns:
      The delegate's row if it accepted an order of this epoch.
    """
    reply = event.reply
    lease = row.delegates.get(event.action.delegate)
    if lease is None or reply.delegate != lease.id:
        return None
    _note_clock(lease, event.action.sent_at, reply.clock_ms, now)
    if reply.epoch > row.epoch:
        recheck(row, now)
    if (not reply.accepted or reply.epoch != row.epoch or
            event.action.order.epoch != row.epoch):
        return None
    if event.action.sent_at >= lease.acked_sent_at:
        lease.acked_sent_at = event.action.sent_at
        lease.map_version = reply.map_version
    lease.sequence = max(lease.sequence, reply.sequence)
    lease.drained = max(lease.drained, reply.drained)
    lease.freed_at = min(
        lease.freed_at, now - reply.quiet_ms * (1 - grants.DRIFT) +
        row.earlier_ms * (1 + grants.DRIFT))
    return lease


def note_grant(row: grants.GrantorRow, event: grants.GrantAnswered,
               now: float) -> None:
    """Takes in a server's acceptance."""
    server = row.servers.get(event.action.server)
    if server is None:
        return
    _note_clock(server, event.action.sent_at, event.clock_ms, now)
    if event.action.epoch == row.epoch:
        server.acked = max(server.acked, event.action.sequence)


def note_refusal(row: grants.GrantorRow, event: grants.GrantRefused,
                 now: float) -> None:
    """Takes in a server's refusal; it may have lost what it held."""
    server = row.servers.get(event.action.server)
    if server is None:
        return
    _note_clock(server, event.action.sent_at, event.clock_ms, now)
    if event.fence[0] > row.epoch:
        recheck(row, now)
    elif event.action.owned is None and event.action.epoch == row.epoch:
        server.acked = -1
        server.next_at = grants.NEVER


def note_server(row: grants.GrantorRow, event: grants.ServerAnswered,
                now: float) -> None:
    """Takes in a server's clock."""
    server = row.servers.get(event.action.server)
    if server is None:
        return
    _note_clock(server, event.action.sent_at, event.clock_ms, now)
    if event.fence[0] > row.epoch:
        recheck(row, now)
    if event.action.epoch == row.epoch and event.fence < (row.epoch,
                                                          server.acked):
        server.acked = -1
    server.next_at = grants.NEVER


def recheck(row: grants.GrantorRow, now: float) -> None:
    """Has the record read soon: somebody has seen a newer epoch."""
    row.read_at = min(row.read_at, now + RECHECK_MS)


def _list_due(row: grants.GrantorRow, now: float) -> list[grants.DelegateLease]:
    """Returns the delegates that are due, and when they are so again."""
    leases = [row.delegates[member] for member in authority.list_members(row)]
    due = [lease for lease in leases if lease.next_at <= now]
    for lease in due:
        _schedule(row, lease, now)
    return due


def _schedule(row: grants.GrantorRow, peer: grants.Peer, now: float) -> None:
    """Sets when it is due again, so that late steps do not add up."""
    since = peer.next_at if peer.next_at > now - row.renew_ms else now
    peer.next_at = since + row.renew_ms


def _ask_delegate(row: grants.GrantorRow, lease: grants.DelegateLease,
                  known: slices.SliceMap, now: float) -> grants.SendLease:
    order = grants.LeaseOrder(row.shard,
                              lease.id,
                              row.me,
                              row.epoch,
                              row.sequence,
                              map_version=known.version,
                              gather=True)
    return grants.SendLease(row.shard, lease.id, order, now)


def _ask(row: grants.GrantorRow, server: grants.ServerGrant,
         now: float) -> grants.AskServer:
    _schedule(row, server, now)
    return grants.AskServer(row.shard, server.id, server.address, row.epoch,
                            now)


def _has_echo(row: grants.GrantorRow, peer: grants.Peer, now: float) -> bool:
    return now < peer.echo_at + row.lifetime_ms


def _take_lifetime(row: grants.GrantorRow, peer: grants.Peer, end: float,
                   now: float) -> float:
    if end <= now or not _has_echo(row, peer, now):
        return 0.0
    lifetime = min(row.lifetime_ms, (end - peer.echo_at) / (1 + grants.DRIFT))
    peer.until = max(peer.until, peer.echo_at + lifetime * (1 + grants.DRIFT))
    return lifetime


def _note_clock(peer: grants.Peer, sent_at: float, clock_ms: float,
                now: float) -> None:
    if sent_at >= peer.echo_sent_at:
        peer.clock_echo_ms = clock_ms
        peer.echo_at = now
        peer.echo_sent_at = sent_at
