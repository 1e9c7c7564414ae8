"""Which servers' processes have ended, as far as the list of servers tells.

Entries may be written late, by processes that ended long ago or that nobody
here ever knew; not all servers tell when they started.
"""

import collections

from lentilmoor.edge import beliefs
from lentilmoor.edge import ports
from lentilmoor.edge import tables


def end_predecessors(owned: beliefs.Beliefs,
                     everything: ports.Everything) -> None:
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
        if name not in owned.servers and name not in owned.ended
    ]
    if not new:
        return
    known = [*owned.servers.values(), *owned.left.values()]
    for server in new:
        others = known if server.started_at is None else known + new
        owned.ended.update(
            other.id for other in others if tables.follows(server, other))


def take_back_ends(owned: beliefs.Beliefs,
                   everything: ports.Everything) -> list[str]:
    """Takes servers for up that are listed alone at their address.

    Only those that don't tell when they started: a late entry, of a process
    that nobody here knew, may have ended them.

    Returns:
      Their ids.
    """
    ended = owned.ended & everything.servers.keys()
    if not ended:
        return []
    listed = collections.Counter(
        server.address for server in everything.servers.values())
    found = []
    for name in ended:
        server = everything.servers[name]
        if server.started_at is None and listed[server.address] == 1:
            owned.ended.discard(name)
            found.append(name)
    return found
