"""Which servers' processes have ended, as far as the list of servers tells.

Entries may be written late, by processes that ended long ago or that nobody
here ever knew; not all servers tell when they started. A restore of the store
brings back entries of servers that have left.
"""

import collections
import dataclasses

from lentilmoor.edge import controlstate
from lentilmoor.edge import ports
from lentilmoor.edge import tables

# Entries of servers that are silent have run out by then.
CONFIRMATION_MS = 4_000.0


def mark_replaced(owned: controlstate.ControlState,
                  everything: ports.StoreSnapshot) -> None:
    """Notes whose processes have ended, as others are in their place.

    An entry that comes back after its process has ended was written late, and
    proves nothing. Of two that are new at once and don't tell when they
    started, nobody knows which is older.

    Args:
      owned: What is believed, before the list is taken in.
      everything: The list.
    """
    new = [
        server for name, server in everything.servers.items()
        if name not in owned.servers and name not in owned.ended_servers
    ]
    if not new:
        return
    known = [*owned.servers.values(), *owned.departed_servers.values()]
    for server in new:
        others = known if server.started_at is None else known + new
        owned.ended_servers.update(
            other.id for other in others if tables.has_replaced(server, other))


def reinstate_listed_alone(owned: controlstate.ControlState,
                           everything: ports.StoreSnapshot) -> list[str]:
    """Takes servers for up that are listed alone at their address.

    Only those that don't tell when they started: a late entry, of a process
    that nobody here knew, may have ended them.

    Returns:
      Their ids.
    """
    ended = owned.ended_servers & everything.servers.keys()
    if not ended:
        return []
    listed = collections.Counter(
        server.address for server in everything.servers.values())
    found = []
    for name in ended:
        server = everything.servers[name]
        if server.started_at is None and listed[server.address] == 1:
            owned.ended_servers.discard(name)
            found.append(name)
    return found


def mark_unconfirmed(owned: controlstate.ControlState,
                     everything: ports.StoreSnapshot, now: float) -> None:
    """Notes which servers had left and are listed again by a restored store.

    Args:
      owned: What is believed, before the list is taken in.
      everything: The list after the restore.
      now: ms.
    """
    for name in everything.servers:
        if (name in owned.departed_servers or name in owned.removal_times or
                name in owned.ended_servers):
            owned.unconfirmed_servers[name] = now + CONFIRMATION_MS


def exclude_unconfirmed(owned: controlstate.ControlState,
                        everything: ports.StoreSnapshot) -> ports.StoreSnapshot:
    """Leaves out servers whose entry may be that of a process that has left."""
    if not owned.unconfirmed_servers:
        return everything
    for name in owned.unconfirmed_servers.keys() - everything.servers.keys():
        del owned.unconfirmed_servers[name]
    return dataclasses.replace(
        everything,
        servers={
            name: server
            for name, server in everything.servers.items()
            if name not in owned.unconfirmed_servers
        })


def confirm_returned(owned: controlstate.ControlState, now: float) -> list[str]:
    """Returns servers that are still listed and count as up from now on."""
    proven = [
        name for name, at in owned.unconfirmed_servers.items() if at <= now
    ]
    for name in proven:
        del owned.unconfirmed_servers[name]
    return proven
