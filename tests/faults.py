"""Faults for the world of ownership: each one is begun and ended by time."""

import itertools

from lentilmoor import grants
from tests import worlds


def find_grantor(world):
    """Returns the entry that serves under the highest epoch, or any."""
    live = [item for item in world.entries.values() if item.alive]
    return max(live,
               key=lambda item: (item.table[worlds.SHARD].stage is grants.Stage.
                                 SERVING, item.table[worlds.SHARD].epoch))


def pick_entry(world):
    live = [item for item in world.entries.values() if item.alive]
    return world.rng.choice(live)


def pause_grantor(world, length):
    """Paused past its lease and back, its orders arriving late."""
    entry = find_grantor(world)
    entry.paused_until = world.now + length
    make_late(world, length, entry)


def make_late(world, length, entry=None):
    """Orders of an entry, to servers, delegates and the store, are late."""
    entry = entry or find_grantor(world)
    entry.late_ms = 1.5 * world.timing.lifetime
    world.after(length + 100.0, setattr, entry, 'late_ms', 0.0)


def freeze_server(world, length):
    server = world.servers[world.rng.choice(list(world.servers))]
    server.paused_until = world.now + length


def restart_server(world, length):
    name = world.rng.choice(list(world.servers))
    world.servers[name].alive = False
    world.after(length, world.restart_server, name)


def stop_store(world, length):
    world.store.down = True
    world.after(2 * length, setattr, world.store, 'down', False)


def slow_store(world, length):
    world.store.slow_ms = 2 * world.timing.store_timeout
    world.after(length, setattr, world.store, 'slow_ms', 0.0)


def lose_replies(world, length):
    world.store.lose_reply = True
    world.after(length, setattr, world.store, 'lose_reply', False)


def show_old_lists(world, length):
    """Entries believe old lists: other delegates, takeovers for nothing."""
    end = world.now + length

    def mislead():
        entry = pick_entry(world)
        names = list(world.entries)
        listed = tuple(world.rng.sample(names, world.rng.randint(1,
                                                                 len(names))))
        world.apply(entry, grants.ChooseDelegates(worlds.SHARD, listed))
        if world.rng.random() < 0.5:
            world.takeover(entry)
        if world.now < end:
            world.after(120.0, mislead)

    mislead()


def cut_one(world, length):
    """One entry is cut off from everybody, in one or both directions."""
    entry = pick_entry(world)
    ways = {(entry.id, '*'), ('*', entry.id)}
    cut(world, length,
        world.rng.choice([ways, {(entry.id, '*')}, {('*', entry.id)}]))


def cut_halves(world, length):
    """Entries fall into two parts; each still reaches servers and store."""
    names = [*world.entries]
    world.rng.shuffle(names)
    half = set(names[:len(names) // 2])
    cut(
        world, length, {(one, other)
                        for one in names
                        for other in names
                        if (one in half) != (other in half)})


def cut_corner(world, length):
    """The grantor and one server reach each other, and nobody else."""
    corner = {find_grantor(world).id, world.rng.choice(list(world.servers))}
    rest = {*world.entries, *world.servers, 'store'} - corner
    cut(
        world, length, {
            pair for one in corner for other in rest
            for pair in ((one, other), (other, one))
        })


def cut_store(world, length):
    """The grantor alone cannot reach the store."""
    name = find_grantor(world).id
    cut(world, length, {(name, 'store'), ('store', name)})


def cut(world, length, ways):
    added = ways - world.cuts
    world.cuts |= added
    world.after(length, world.cuts.difference_update, added)


def crash_entry(world, length):
    """An entry is gone for good; a new one is started and listed."""
    del length
    entry = world.rng.choice([find_grantor(world), pick_entry(world)])
    entry.alive = False
    world.added += 1
    name = f'new{world.added}'
    world.after(200.0, world.add_entry, name)
    world.after(400.0, world.choose_live)
    world.after(900.0, world.report_ended, entry.id)


def presume_ended(world, length):
    """Entries take those out of reach for ended; a fault that breaks us."""
    end = world.now + length

    def presume():
        for one, other in itertools.permutations(world.entries.values(), 2):
            if world.is_cut(one.id, other.id):
                world.apply(one, grants.DelegateEnded(worlds.SHARD, other.id))
        if world.now < end:
            world.after(50.0, presume)

    presume()


def double_messages(world, length):
    world.doubled = True
    world.after(length, setattr, world, 'doubled', False)


def mislead_liveness(world, length):
    """The grantor is told that live servers are lost, and the reverse."""
    end = world.now + length

    def mislead():
        name = world.rng.choice(list(world.servers))
        kind = world.rng.choice([grants.ServerLost, grants.ServerBack])
        world.apply(find_grantor(world), kind(worlds.SHARD, name))
        if world.now < end:
            world.after(60.0, mislead)

    mislead()


KINDS = (pause_grantor, make_late, freeze_server, restart_server, stop_store,
         slow_store, lose_replies, show_old_lists, cut_one, cut_halves,
         cut_corner, cut_store, crash_entry, double_messages, mislead_liveness)


def heal(world):
    """Ends every fault that is still on."""
    world.cuts.clear()
    world.store.down = False
    world.store.slow_ms = 0.0
    world.store.lose_reply = False
    world.doubled = False
    world.moving = 0.0
    for process in [*world.entries.values(), *world.servers.values()]:
        process.paused_until = min(process.paused_until, world.now)
    for entry in world.entries.values():
        entry.late_ms = 0.0
    for name, server in list(world.servers.items()):
        if not server.alive:
            world.restart_server(name)
    world.choose_live()
    for entry in list(world.entries.values()):
        if not entry.alive:
            world.report_ended(entry.id)


def run_schedule(seed, kinds, checks=True):
    """Runs faults at seeded times, then heals the world and lets it settle.

    Raises:
      BrokenInvariantError: An invariant, or that the world serves again.
    """
    world = worlds.World(seed, checks=checks)
    if seed % 2:  # Every other world is quick to condemn.
        world.takeover_after_ms = world.timing.renew
        world.lost_after_ms = world.timing.tick
    for kind in kinds:
        world.after(world.rng.uniform(150, 900), kind, world,
                    world.rng.uniform(100, 1200))
    world.run(2000.0)
    heal(world)
    world.run(4500.0)
    world.check_history()
    world.check_served()
