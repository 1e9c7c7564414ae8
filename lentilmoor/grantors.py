"""The grantor of a shard: taking over, renewing, publishing.

A new grantor takes the epoch by compare-and-swap, gathers from a majority of
the record's delegates, commits what it found under its own epoch, and only
then grants. It changes no owner before all that older epochs granted has
ended.
"""

import math

from lentilmoor import authority
from lentilmoor import commits
from lentilmoor import grantorevents
from lentilmoor import grants
from lentilmoor import leases
from lentilmoor import moves
from lentilmoor import ranges
from lentilmoor import slices

_Stage = grants.Stage
_ANSWERS = (grants.LeaseAnswered, grants.ServerAnswered, grants.GrantAnswered,
            grants.GrantRefused, grants.CallFailed)


def make_row(shard: str,
             me: str,
             lifetime_ms: float,
             renew_ms: float,
             order_delay_ms: float,
             slices_per_server: int = 32,
             keyed: bool = True,
             number: int = 0,
             shards: int = 1) -> grants.GrantorRow:
    """Returns the row of a shard that this entry may become grantor of.

    Args:
      shard: Shard id.
      me: Id of this entry, one per process start.
      lifetime_ms: Lifetime of grants and leases, from the next takeover on.
      renew_ms: How often they are renewed.
      order_delay_ms: Longest way of a request to a server.
      slices_per_server: For the first assignment.
      keyed: Whether the shard has grants and slices at all.
      number: Number of the shard within its service.
      shards: How many shards the service has.
    """
    return grants.GrantorRow(shard, me, lifetime_ms, renew_ms, order_delay_ms,
                             slices_per_server, keyed, number, shards)


def is_authoritative(row: grants.GrantorRow, now: float) -> bool:
    """Returns whether this entry may act as the shard's grantor now.

    Until its authority ends, one of an older epoch may hold the same of
    itself; what both grant does not overlap.
    """
    return (row.stage is _Stage.SERVING and row.committed is not None and
            authority.find_end(row) > now)


def step_grantor(table: grants.GrantorTable, now: float) -> list[grants.Action]:
    """Returns what every shard's grantor does now.

    To be called each tick and after events; calls that are not due yet are
    not made again, and a step that nothing calls for costs next to nothing.

    Args:
      table: Rows by shard; changed.
      now: Time, ms.
    """
    actions: list[grants.Action] = []
    for row in table.values():
        if now >= row.due_at:
            actions.extend(_STEPS[row.stage](row, now))
            row.due_at = _find_due(row, now)
    return actions


def apply_event(table: grants.GrantorTable, event: grants.Event,
                now: float) -> None:
    """Takes in an answer or a decision of another part.

    Args:
      table: Rows by shard; changed. Events of unknown shards are ignored.
      event: What happened.
      now: Time, ms; not before the answer arrived.
    """
    action = getattr(event, 'action', event)
    row = table.get(action.shard)
    if row is None:
        return
    grantorevents.apply(row, event, now)
    if isinstance(event, _ANSWERS):
        row.due_at = min(row.due_at, row.read_at, _find_next(row, action))
    else:
        row.due_at = grants.NEVER


def _find_due(row: grants.GrantorRow, now: float) -> float:
    """Returns when a step is next of use; any event may bring that forward."""
    busy = (row.moves or row.proposed or row.unsettled or row.store_call or
            not row.had_authority or now < row.settled_at)
    if row.stage is not _Stage.SERVING or busy:
        return grants.NEVER
    calls = [
        row.delegates[member].next_at for member in authority.list_members(row)
    ]
    if row.keyed:
        calls += [
            server.next_at
            for server in row.servers.values()
            if server.checks_grants
        ]
    return min(row.read_at, authority.find_end(row), *calls)


def _find_next(row: grants.GrantorRow, action: grants.Action) -> float:
    """Returns when whom a call went to is due again."""
    peers = row.delegates if isinstance(action,
                                        grants.SendLease) else row.servers
    name = action.delegate if isinstance(action,
                                         grants.SendLease) else action.server
    return peers[name].next_at if name in peers else math.inf


def _step_idle(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    del row, now
    return []


def _step_reading(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    if commits.is_store_busy(row, now) or row.read_at > now:
        return []
    return [commits.call_store(row, grants.ReadRecord(row.shard, now))]


def _step_gathering(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    leases.track_members(row, now)
    if authority.find_settled(row) == math.inf:
        actions = leases.send_gathers(row, now)
        actions.extend(leases.send_asks(row, now))
        return actions
    _adopt(row, now)
    return _step_serving(row, now)


def _adopt(row: grants.GrantorRow, now: float) -> None:
    assert row.record is not None
    newest = row.record.assignment
    row.uncertain = ()
    if row.gathered is not None and row.gathered.version > newest.version:
        row.uncertain = ranges.find_differences(newest, row.gathered)
        newest = row.gathered
    row.sequence += 1
    row.stage = _Stage.SERVING
    row.lapsed_at = now
    row.had_authority = False
    row.proposed = slices.SliceMap(row.epoch, row.sequence, newest.servers,
                                   newest.bounds, newest.owners)
    row.proposed_at = grants.NEVER


def _step_serving(row: grants.GrantorRow, now: float) -> list[grants.Action]:
    leases.track_members(row, now)
    if now < row.settled_at:
        row.settled_at = authority.find_settled(row)
    _note_authority(row, authority.find_end(row) > now, now)
    commits.commit_by_delegates(row)
    if row.committed is not None:
        _drop_servers(row, now)
        moves.step(row, now)
        _propose(row, now)
        _refresh_grants(row)
    _publish(row, now)
    actions = commits.step_store(row, now)
    end = authority.find_end(row)
    actions.extend(
        leases.send_leases(row, commits.find_published(row, now), end, now))
    if row.committed is not None:
        actions.extend(leases.send_grants(row, end, now))
    return actions


def _note_authority(row: grants.GrantorRow, has: bool, now: float) -> None:
    if has and not row.had_authority:
        leases.call_all(row)
    if row.had_authority and not has:
        row.lapsed_at = now
    row.had_authority = has


def _drop_servers(row: grants.GrantorRow, now: float) -> None:
    for server in list(row.servers.values()):
        if (server.removed and server.until <= now and
                server.id not in ranges.collect_owned(row.committed) and
                server.id not in [item.source for item in row.moves.values()]):
            del row.servers[server.id]


def _propose(row: grants.GrantorRow, now: float) -> None:
    if row.proposed is None:
        row.proposed = moves.propose(row)
        row.proposed_at = now


def _refresh_grants(row: grants.GrantorRow) -> None:
    if not row.keyed:
        return
    key = (
        row.committed.version,
        frozenset(
            (move.first, move.last, move.stage) for move in row.moves.values()),
        frozenset((server.id, server.lost) for server in row.servers.values()))
    if key == row.grants_key:
        return
    row.grants_key = key
    owned = moves.find_owned(row)
    changed = [
        server for server in row.servers.values()
        if server.owned != owned[server.id] or not server.sequence
    ]
    row.sequence += bool(changed)
    for server in changed:
        server.owned = owned[server.id]
        server.sequence = row.sequence
        server.next_at = grants.NEVER


def _publish(row: grants.GrantorRow, now: float) -> None:
    row.held = moves.find_held(row)
    key = (commits.find_published(row, now).version, row.held,
           tuple(sorted(row.homes.items())), row.contended)
    begun = any(not move.sequence for move in row.moves.values())
    if key == row.lease_key and not begun:
        return
    row.lease_key = key
    row.sequence += 1
    moves.mark_published(row)
    leases.call_delegates(row)


_STEPS = {
    _Stage.IDLE: _step_idle,
    _Stage.READING: _step_reading,
    _Stage.TAKING: commits.take_epoch,
    _Stage.GATHERING: _step_gathering,
    _Stage.SERVING: _step_serving,
}
