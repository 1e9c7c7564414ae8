"""Infers from the store's list of servers which processes have ended.

Server records may be written late, by processes that ended long ago or that
this entry never knew, and not all servers report their start time. A restore of
the store brings back the records of departed servers.
"""

import collections
import dataclasses

from lentilmoor.edge import controlstate
from lentilmoor.edge import ports
from lentilmoor.edge import tables

# Records that their servers no longer renew have expired after this time.
CONFIRMATION_MS = 4_000.0


def mark_replaced(owned: controlstate.ControlState,
                  snapshot: ports.StoreSnapshot) -> None:
    """Marks servers as ended that new servers have replaced.

    A record that reappears after its process has ended was written late and
    replaces no server. If two servers without start times are new in the same
    snapshot, it is unknown which is older, so neither replaces the other. A
    server without a start time isn't used beside one that states its own at the
    same address.

    Args:
      owned: The control state, before the snapshot is applied.
      snapshot: The new content of the store.
    """
    new = [
        server for name, server in snapshot.servers.items()
        if name not in owned.servers and name not in owned.ended_servers
    ]
    if not new:
        return
    known = [*owned.servers.values(), *owned.departed_servers.values()]
    stated = [
        server for name, server in snapshot.servers.items()
        if server.started_at is not None and name not in owned.ended_servers
    ]
    owned.ended_servers.update(
        unstated.id for unstated in new if unstated.started_at is None and any(
            tables.has_replaced(server, unstated) for server in stated))
    for server in new:
        others = known if server.started_at is None else known + new
        owned.ended_servers.update(
            other.id for other in others if tables.has_replaced(server, other))


def reinstate_listed_alone(owned: controlstate.ControlState,
                           snapshot: ports.StoreSnapshot) -> list[str]:
    """Reinstates ended servers that are the only ones at their address.

    This applies only to servers without a start time: they may have been marked
    as ended because of the late record of a process unknown to this entry.

    Returns:
      The ids of the reinstated servers.
    """
    ended = owned.ended_servers & snapshot.servers.keys()
    if not ended:
        return []
    listed = collections.Counter(
        server.address for server in snapshot.servers.values())
    reinstated = []
    for name in ended:
        server = snapshot.servers[name]
        if server.started_at is None and listed[server.address] == 1:
            owned.ended_servers.discard(name)
            reinstated.append(name)
    return reinstated


def mark_unconfirmed(owned: controlstate.ControlState,
                     snapshot: ports.StoreSnapshot, now: float) -> None:
    """Marks departed servers that a restored store lists again.

    Args:
      owned: The control state, before the snapshot is applied.
      snapshot: The content of the store after the restore.
      now: Current time, ms.
    """
    for name in snapshot.servers:
        if (name in owned.departed_servers or name in owned.removal_times or
                name in owned.ended_servers):
            owned.unconfirmed_servers[name] = now + CONFIRMATION_MS


def exclude_unconfirmed(owned: controlstate.ControlState,
                        snapshot: ports.StoreSnapshot) -> ports.StoreSnapshot:
    """Returns the snapshot without servers whose process may have ended."""
    if not owned.unconfirmed_servers:
        return snapshot
    for name in owned.unconfirmed_servers.keys() - snapshot.servers.keys():
        del owned.unconfirmed_servers[name]
    return dataclasses.replace(snapshot,
                               servers={
                                   name: server
                                   for name, server in snapshot.servers.items()
                                   if name not in owned.unconfirmed_servers
                               })


def confirm_returned(owned: controlstate.ControlState, now: float) -> list[str]:
    """Returns unconfirmed servers that are still listed, as confirmed now."""
    confirmed = [
        name for name, at in owned.unconfirmed_servers.items() if at <= now
    ]
    for name in confirmed:
        del owned.unconfirmed_servers[name]
    return confirmed
