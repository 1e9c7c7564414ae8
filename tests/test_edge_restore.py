"""Tests that no key has two owners after a restore of the store.

The store may be restored from an older copy during random histories of moves,
takeovers, replaced entries and restores. Each safeguard is also removed, to
show that some history fails without it.
"""

import dataclasses
import unittest
from unittest import mock

from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from tests import edgeworlds
from tests import restoreworlds

_SEEDS = 30
_STEPS = 8
# After this time the predecessor's lease has expired.
_ELECTION_MS = ownership.COORDINATOR_LEASE_MS + 200.0


def _replace_server(world: restoreworlds.World) -> None:
    """Drains one server and adds another one."""
    staying = [
        item for item in world.servers.values() if not item.entry.draining
    ]
    leaving = world.random.choice(staying)
    leaving.entry = dataclasses.replace(leaving.entry, draining=True)
    world.add_server()


def _take_over(world: restoreworlds.World) -> None:
    world.end_leader()
    world.run(_ELECTION_MS)
    world.take_over()


def _restore_without_leader(world: restoreworlds.World) -> None:
    """Ends the leader at the same time as the store is restored."""
    world.end_leader()
    world.restore()
    world.run(_ELECTION_MS)
    world.take_over()


def _replace_entries(world: restoreworlds.World) -> None:
    """Replaces all entries, so that none knows what the restore loses."""
    world.replace_entries()
    world.restore()
    world.run(_ELECTION_MS)
    world.take_over()


_EVENTS = (_replace_server, _replace_server, _replace_server, _take_over,
           _restore_without_leader, _replace_entries,
           restoreworlds.World.take_copy, restoreworlds.World.restore)


def _run_history(seed: int) -> restoreworlds.World:
    """Returns the world after a random history."""
    world = restoreworlds.World(seed)
    world.loads = {
        key: world.random.uniform(0.5, 3.0)
        for key in range(0, tables.KEY_COUNT, 4_096)
    }
    world.run(2_000)
    for _ in range(_STEPS):
        world.random.choice(_EVENTS)(world)
        world.run(world.random.uniform(100, 1_800))
    world.run(8_000)
    return world


def _is_served(world: restoreworlds.World) -> bool:
    """Returns whether all keys have an owner at some time within a second.

    Until then, keys may lack an owner while they are moving.
    """
    until = world.now + 1_000
    while world.now < until:
        if all(
                world.count_owners(key) == 1
                for key in range(0, tables.KEY_COUNT, 512)):
            return True
        world.run(edgeworlds.STEP_MS)
    return False


def _count_breached_histories() -> int:
    return sum(bool(_run_history(seed).breaches) for seed in range(_SEEDS))


def _restart_leader(world: restoreworlds.World,
                    coordinator: edgeworlds.CoordinatorModel) -> None:
    """Has the leader start again from the content of the restored store."""
    if coordinator is world.leader and coordinator.up:
        coordinator.up, world.peer_assignment = False, None
        with mock.patch.object(coordination, '_await_holds'):
            world.take_over()


class RestoreTest(unittest.TestCase):

    def test_no_key_has_two_owners_and_all_are_served(self):
        for seed in range(_SEEDS):
            world = _run_history(seed)
            self.assertEqual(world.breaches[:2], [], seed)
            self.assertTrue(_is_served(world), seed)

    def test_successor_of_a_waiting_coordinator_waits_too(self):
        world = restoreworlds.World(1)
        world.run(3_000)
        _restore_without_leader(world)
        world.end_leader()
        world.take_over()
        self.assertGreater(world.leader.state.active_since, world.now)
        world.run(8_000)
        self.assertTrue(_is_served(world))
        self.assertEqual(world.saved.era, world.era)


class SafeguardTest(unittest.TestCase):
    """Tests that without a safeguard some history gives a key two owners."""

    def test_fences_of_an_era_exceed_those_of_earlier_eras(self):
        with mock.patch.object(keyranges, 'find_first_fence', return_value=1):
            self.assertGreater(_count_breached_histories(), 0)

    def test_successor_waits_for_moves_that_it_may_lack(self):
        with mock.patch.object(coordination, '_await_holds'):
            self.assertGreater(_count_breached_histories(), 0)

    def test_leader_continues_with_its_own_state(self):
        with mock.patch.object(restoreworlds.World, '_notice_restore',
                               _restart_leader):
            self.assertGreater(_count_breached_histories(), 0)
