"""How a coordinator hands over its role: at its end, and to larger machines.

The control actor runs by hand-moved time against a store that may be silent.
"""

import heapq
import io
import itertools
import threading
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import control
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import revisions
from lentilmoor.edge import tables
from tests import copyfleets

_SERVICE = 'stock'
_ANSWER_MS = 4.0
_TIMEOUT_MS = 1_200.0
_STEP_MS = 10.0
_GRACE_MS = 5_600.0
_READY_MS = 4_000.0


class World:
    """One entry, its store and three servers that answer each grant."""

    def __init__(self, small: bool = False):
        self.time = clocks.ManualTime(50_000.0)
        self.silent = False
        self.deaf = False
        self.era = self.known_era = 0
        self.unanswered_at: float | None = None
        self.grant_ms = _ANSWER_MS
        self.leases: set[int] = set()
        self.coordinator: int | None = None
        self.peers: dict[str, ports.Peer] = {}
        self.granted: dict[str, list[float]] = {}
        self.unlinked_at: list[float] = []
        self.ended_at: dict[int, float] = {}
        self._delay_ms = 0.0
        self._numbers = itertools.count(1)
        self._events: list = []
        self._seen: object = None
        self.owned = controlstate.ControlState('e1')
        clock, logger = self.time.clock(), logs.make_logger('e1', io.StringIO())
        settings = ports.Settings('e1', 'a', '', '', 'a:1', '', (),
                                  0.1 if small else 1.0, 1_000.0,
                                  copyfleets.BOUNDS)
        platform = ports.Platform(settings, self._make_store(),
                                  mock.Mock(grant=self._grant), mock.Mock())
        forwarder = requests.Forwarder(clock, platform, logger, None)
        forwarder.generator.seed(1)
        self.actor = control.Control(self.owned,
                                     forwarder,
                                     platform,
                                     logger,
                                     mock.Mock(),
                                     call=self._call)

    @property
    def role(self) -> controlstate.CoordinatorRole:
        """The entry's part in the service."""
        return self.owned.roles[_SERVICE]

    def run(self, ms: float) -> None:
        """Lets time pass."""
        until = self.time.at + ms
        while self.time.at < until:
            self.time.advance(_STEP_MS)
            while self._events and self._events[0][0] <= self.time.at:
                take = heapq.heappop(self._events)[2]
                self.actor.on_receive(control.CallCompleted(take))
            self._tell()
            self.actor.on_receive(control.Tick(self.time.at))

    def leave(self) -> threading.Event:
        """Has the entry told that it is to end."""
        done = threading.Event()
        self.actor.on_receive(control.PrepareShutdown(done))
        return done

    def find_longest_gap(self, since: float) -> float:
        """Returns the longest time without a grant to a server, ms."""
        gaps = []
        for times in self.granted.values():
            kept = [since, *(at for at in times if at > since), self.time.at]
            gaps += [after - at for at, after in itertools.pairwise(kept)]
        return max(gaps)

    def _tell(self) -> None:
        """Has the entry see what the store holds, if it is not silent."""
        state = (self.coordinator, tuple(self.peers), self.era)
        if self.silent or self.deaf or self._seen == state:
            return
        self._seen = state
        servers = {
            f'i-{number}':
                tables.Server(f'i-{number}', _SERVICE, f's{number}:1', 'a', 2,
                              False, 0.0, 50_000.0) for number in range(3)
        }
        configuration = tables.Configuration(
            1, {}, {_SERVICE: tables.Service(_SERVICE, True, 100, 0.0)},
            tables.CallerLimits())
        coordinators = {} if self.coordinator is None else {
            _SERVICE: ports.Peer('e1', 'a:1', registration_revision=1)
        }
        self.actor.on_receive(
            control.StoreUpdate(
                ports.StoreSnapshot(
                    configuration, servers, coordinators, {}, dict(self.peers),
                    revisions.combine(self.era, next(self._numbers)))))

    def _call(self, work, take, unused_pool=None) -> None:
        sent_at, self._delay_ms = self.time.at, 0.0
        result = work()
        heapq.heappush(self._events,
                       (sent_at + self._delay_ms, next(
                           self._numbers), lambda: take(result, sent_at)))

    def _answer(self, make):
        """Returns the store's answer, or none in time."""
        if self.silent:
            self._delay_ms += _TIMEOUT_MS
            if self.unanswered_at is None:
                self.unanswered_at = self.time.at
            return outcomes.Failed(outcomes.Reason.TIMED_OUT)
        self._delay_ms += _ANSWER_MS
        self.unanswered_at, self.known_era = None, self.era
        return make()

    def _find_silence(self) -> float:
        return (0.0 if self.unanswered_at is None else self.time.at -
                self.unanswered_at)

    def _make_store(self) -> mock.Mock:

        def open_lease(ttl_ms):
            lease = ports.Lease(next(self._numbers), ttl_ms)
            self.leases.add(lease.id)
            return lease

        def end(lease):
            if lease.id not in self.leases:
                return outcomes.Failed(outcomes.Reason.NOT_FOUND)
            self.leases.remove(lease.id)
            self.ended_at[lease.id] = self.time.at
            if self.coordinator == lease.id:
                self.coordinator = None
            return None

        def keep(lease):
            if lease.id not in self.leases:
                return outcomes.Failed(outcomes.Reason.NOT_FOUND)
            return None

        def take_role(lease):
            self.coordinator = lease.id

        return mock.Mock(
            open_lease=lambda ttl: self._answer(lambda: open_lease(ttl)),
            end_lease=lambda lease: self._answer(lambda: end(lease)),
            keep_lease=lambda lease: self._answer(lambda: keep(lease)),
            claim_coordination=lambda _, unused_peer, lease, unused_replaced:
            self._answer(lambda: take_role(lease)),
            register=lambda *unused_args: self._answer(lambda: None),
            load_assignment=lambda unused: self._answer(lambda: None),
            save=lambda *unused_args: self._answer(lambda: next(self._numbers)),
            find_unanswered_ms=self._find_silence,
            find_era=lambda: self.known_era)

    def _grant(self, grant: ownership.Grant) -> ownership.GrantResult:
        self._delay_ms += self.grant_ms
        if grant.link is None:
            self.unlinked_at.append(self.time.at)
        self.granted.setdefault(grant.server.id, []).append(self.time.at)
        return ownership.GrantResult(ownership.CallOutcome.DONE, 1)


def _make_world(small: bool = False) -> World:
    world = World(small)
    world.run(_READY_MS)
    return world


class OutageTest(unittest.TestCase):
    """A coordinator resigned into an outage, as it had just kept its lease."""

    def test_keys_are_renewed_until_the_end_at_each_phase_of_the_renewal(self):
        for phase_ms in range(0, 2_001, 100):
            with self.subTest(phase_ms=phase_ms):
                world = _make_world()
                world.run(phase_ms % elections.KEEP_MS)
                world.silent = True
                began = world.time.at
                world.run(phase_ms)
                done = world.leave()
                world.run(_GRACE_MS)
                self.assertFalse(done.is_set())
                self.assertLess(world.find_longest_gap(began),
                                ownership.HOLD_MS / 2)

    def test_the_role_goes_as_soon_as_the_store_is_back(self):
        world = _make_world()
        world.silent = True
        world.run(300.0)
        done = world.leave()
        world.run(2_000.0)
        world.silent = False
        world.run(600.0)
        self.assertTrue(done.is_set())
        self.assertIsNone(world.role.coordination_state)
        world.run(1_000.0)
        self.assertEqual(world.leases, set())

    def test_a_store_that_answers_is_left_at_once(self):
        world = _make_world()
        done = world.leave()
        world.run(50.0)
        self.assertTrue(done.is_set())
        self.assertIsNone(world.role.coordination_state)
        self.assertEqual(world.leases, set())

    def test_a_lease_that_was_being_opened_is_ended_too(self):
        world = World()
        world.run(20.0)
        world.leave()
        world.run(1_500.0)
        self.assertEqual(world.leases, set())

    def test_a_role_that_was_being_taken_is_not_begun(self):
        world = World()
        while not (world.owned.roles and world.role.is_call_pending):
            world.run(_STEP_MS)
        world.leave()
        world.run(3_000.0)
        self.assertIsNone(world.role.coordination_state)
        self.assertEqual(world.leases, set())
        self.assertEqual(world.granted, {})

    def test_nothing_is_granted_over_a_new_connection_any_more(self):
        # The process there may have been granted keys by a successor.
        world = _make_world()
        world.silent = True
        began = world.time.at
        world.leave()
        for renewal in world.role.coordination_state.renewals.values():
            renewal.link, renewal.due_at = None, world.time.at
        world.run(1_000.0)
        self.assertEqual([at for at in world.unlinked_at if at > began], [])

    def test_the_lease_outlasts_grants_over_new_connections(self):
        world = _make_world()
        world.grant_ms = 300.0
        for renewal in world.role.coordination_state.renewals.values():
            renewal.link, renewal.due_at = None, world.time.at
        world.run(2 * _STEP_MS)
        lease, began = world.owned.coordinator_lease.id, world.time.at
        world.leave()
        world.run(1_000.0)
        self.assertGreaterEqual(world.ended_at[lease] - began, 250.0)


class RestoreTest(unittest.TestCase):
    """An entry that left ended the lease of another after a restore."""

    def test_a_lease_that_may_be_anothers_is_not_ended(self):
        world = _make_world()
        world.silent = True
        world.run(100.0)
        done = world.leave()
        world.run(2_000.0)
        # Another entry has taken the role, under the same number.
        world.silent, world.deaf, world.era = False, True, 1
        world.run(600.0)
        self.assertEqual(world.ended_at, {})
        self.assertIsNotNone(world.role.coordination_state)
        world.deaf, world.coordinator = False, None
        world.run(100.0)
        self.assertEqual(world.ended_at, {})
        self.assertIsNone(world.role.coordination_state)
        self.assertTrue(done.is_set())


class MakeWayTest(unittest.TestCase):
    """A small entry resigned for a larger one, though the store was away."""

    def test_it_goes_on_until_the_store_has_ended_its_lease(self):
        world = _make_world(small=True)
        self.assertIsNotNone(world.role.coordination_state)
        world.peers['e2'] = ports.Peer('e2', 'b:1')
        world.run(_STEP_MS)
        world.silent = True
        began = world.time.at
        world.run(5_000.0)
        self.assertLess(world.find_longest_gap(began), ownership.HOLD_MS / 2)
        world.silent = False
        world.run(600.0)
        self.assertIsNone(world.role.coordination_state)


if __name__ == '__main__':
    unittest.main()
