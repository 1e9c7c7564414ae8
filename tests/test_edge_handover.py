"""Tests that a coordinator hands over its role without a gap in grants.

It does so when its process stops and when an entry on a larger machine is
registered. The control actor runs in simulated time against a store that may
be unavailable.
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
    """One entry, its store and three servers that answer each grant.

    Attributes:
      is_store_silent: Whether calls to the store time out.
      withholds_snapshots: Whether the entry receives no changes of the store.
      era: Number of restores of the store.
      known_era: Era of the store's latest answer.
      unanswered_at: Time of the first call since the store stopped answering,
        ms; None if it answers.
      granted_at: Times of the grants, ms, by server id.
      new_connection_grants_at: Times of grants over new connections, ms.
      ended_at: Times at which leases were ended, ms, by their numbers.
    """

    def __init__(self, small: bool = False):
        self.time = clocks.ManualTime(50_000.0)
        self.is_store_silent = False
        self.withholds_snapshots = False
        self.era = self.known_era = 0
        self.unanswered_at: float | None = None
        self.grant_answer_ms = _ANSWER_MS
        self.leases: set[int] = set()
        self.coordinator: int | None = None
        self.peers: dict[str, ports.Peer] = {}
        self.granted_at: dict[str, list[float]] = {}
        self.new_connection_grants_at: list[float] = []
        self.ended_at: dict[int, float] = {}
        self._delay_ms = 0.0
        self._numbers = itertools.count(1)
        self._events: list = []
        self._delivered: object = None
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
        """The entry's role for the service."""
        return self.owned.roles[_SERVICE]

    def run(self, ms: float) -> None:
        """Advances the time and processes what is due."""
        until = self.time.at + ms
        while self.time.at < until:
            self.time.advance(_STEP_MS)
            while self._events and self._events[0][0] <= self.time.at:
                take = heapq.heappop(self._events)[2]
                self.actor.on_receive(control.CallCompleted(take))
            self._deliver_snapshot()
            self.actor.on_receive(control.Tick(self.time.at))

    def stop(self) -> threading.Event:
        """Asks the entry to stop; returns the event of its handover."""
        done = threading.Event()
        self.actor.on_receive(control.PrepareShutdown(done))
        return done

    def find_longest_gap(self, since: float) -> float:
        """Returns the longest time without a grant to a server, ms."""
        gaps = []
        for times in self.granted_at.values():
            grant_times = [
                since, *(at for at in times if at > since), self.time.at
            ]
            gaps += [
                after - at for at, after in itertools.pairwise(grant_times)
            ]
        return max(gaps)

    def _deliver_snapshot(self) -> None:
        """Sends the entry a snapshot if the store has changed and answers."""
        state = (self.coordinator, tuple(self.peers), self.era)
        if (self.is_store_silent or self.withholds_snapshots or
                self._delivered == state):
            return
        self._delivered = state
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

    def _answer_call(self, make_answer):
        """Returns the store's answer, or a timeout if the store is silent."""
        if self.is_store_silent:
            self._delay_ms += _TIMEOUT_MS
            if self.unanswered_at is None:
                self.unanswered_at = self.time.at
            return outcomes.Failed(outcomes.Reason.TIMED_OUT)
        self._delay_ms += _ANSWER_MS
        self.unanswered_at, self.known_era = None, self.era
        return make_answer()

    def _find_unanswered_ms(self) -> float:
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

        def claim(lease):
            self.coordinator = lease.id

        return mock.Mock(
            open_lease=lambda ttl: self._answer_call(lambda: open_lease(ttl)),
            end_lease=lambda lease: self._answer_call(lambda: end(lease)),
            keep_lease=lambda lease: self._answer_call(lambda: keep(lease)),
            claim_coordination=lambda _, unused_peer, lease, unused_replaced:
            self._answer_call(lambda: claim(lease)),
            register=lambda *unused_args: self._answer_call(lambda: None),
            load_assignment=lambda unused: self._answer_call(lambda: None),
            save=lambda *unused_args: self._answer_call(lambda: next(self.
                                                                     _numbers)),
            find_unanswered_ms=self._find_unanswered_ms,
            find_era=lambda: self.known_era)

    def _grant(self, grant: ownership.Grant) -> ownership.GrantResult:
        self._delay_ms += self.grant_answer_ms
        if grant.link is None:
            self.new_connection_grants_at.append(self.time.at)
        self.granted_at.setdefault(grant.server.id, []).append(self.time.at)
        return ownership.GrantResult(ownership.CallOutcome.DONE, 1)


def _make_world(small: bool = False) -> World:
    world = World(small)
    world.run(_READY_MS)
    return world


class OutageTest(unittest.TestCase):
    """Tests that a stopping coordinator renews grants during a store outage.

    A coordinator that had just renewed its lease resigned although the store
    was unavailable, so that no other entry could take over its role.
    """

    def test_grants_are_renewed_at_each_phase_of_the_lease_renewal(self):
        for phase_ms in range(0, 2_001, 100):
            with self.subTest(phase_ms=phase_ms):
                world = _make_world()
                world.run(phase_ms % elections.COORDINATOR_RENEW_INTERVAL_MS)
                world.is_store_silent = True
                outage_at = world.time.at
                world.run(phase_ms)
                done = world.stop()
                world.run(_GRACE_MS)
                self.assertFalse(done.is_set())
                self.assertLess(world.find_longest_gap(outage_at),
                                ownership.HOLD_MS / 2)

    def test_the_role_is_released_when_the_store_answers_again(self):
        world = _make_world()
        world.is_store_silent = True
        world.run(300.0)
        done = world.stop()
        world.run(2_000.0)
        world.is_store_silent = False
        world.run(600.0)
        self.assertTrue(done.is_set())
        self.assertIsNone(world.role.coordination_state)
        world.run(1_000.0)
        self.assertEqual(world.leases, set())

    def test_leases_end_at_once_if_the_store_answers(self):
        world = _make_world()
        done = world.stop()
        world.run(50.0)
        self.assertTrue(done.is_set())
        self.assertIsNone(world.role.coordination_state)
        self.assertEqual(world.leases, set())

    def test_a_lease_that_was_being_opened_is_ended_too(self):
        world = World()
        world.run(20.0)
        world.stop()
        world.run(1_500.0)
        self.assertEqual(world.leases, set())

    def test_a_role_that_was_being_taken_is_not_begun(self):
        world = World()
        while not (world.owned.roles and world.role.is_call_pending):
            world.run(_STEP_MS)
        world.stop()
        world.run(3_000.0)
        self.assertIsNone(world.role.coordination_state)
        self.assertEqual(world.leases, set())
        self.assertEqual(world.granted_at, {})

    def test_no_grant_is_sent_over_a_new_connection(self):
        # A successor may have granted keys to the process there.
        world = _make_world()
        world.is_store_silent = True
        began = world.time.at
        world.stop()
        for renewal in world.role.coordination_state.renewals.values():
            renewal.link, renewal.due_at = None, world.time.at
        world.run(1_000.0)
        self.assertEqual(
            [at for at in world.new_connection_grants_at if at > began], [])

    def test_the_lease_outlasts_grants_over_new_connections(self):
        world = _make_world()
        world.grant_answer_ms = 300.0
        for renewal in world.role.coordination_state.renewals.values():
            renewal.link, renewal.due_at = None, world.time.at
        world.run(2 * _STEP_MS)
        lease, began = world.owned.coordinator_lease.id, world.time.at
        world.stop()
        world.run(1_000.0)
        self.assertGreaterEqual(world.ended_at[lease] - began, 250.0)


class RestoreTest(unittest.TestCase):
    """Tests that a stopping entry doesn't end the lease of another entry.

    After a restore of the store, the number of its lease may belong to another
    entry.
    """

    def test_a_lease_that_may_be_anothers_is_not_ended(self):
        world = _make_world()
        world.is_store_silent = True
        world.run(100.0)
        done = world.stop()
        world.run(2_000.0)
        # Another entry has taken the role under the same lease number.
        (world.is_store_silent, world.withholds_snapshots,
         world.era) = False, True, 1
        world.run(600.0)
        self.assertEqual(world.ended_at, {})
        self.assertIsNotNone(world.role.coordination_state)
        world.withholds_snapshots, world.coordinator = False, None
        world.run(100.0)
        self.assertEqual(world.ended_at, {})
        self.assertIsNone(world.role.coordination_state)
        self.assertTrue(done.is_set())


class LargerMachineTest(unittest.TestCase):
    """Tests the handover from a small machine to a larger one in an outage.

    An entry on a small machine resigned although the store was unavailable, so
    that the entry on the larger machine could not take over.
    """

    def test_it_coordinates_until_the_store_has_ended_its_lease(self):
        world = _make_world(small=True)
        self.assertIsNotNone(world.role.coordination_state)
        world.peers['e2'] = ports.Peer('e2', 'b:1')
        world.run(_STEP_MS)
        world.is_store_silent = True
        began = world.time.at
        world.run(5_000.0)
        self.assertLess(world.find_longest_gap(began), ownership.HOLD_MS / 2)
        world.is_store_silent = False
        world.run(600.0)
        self.assertIsNone(world.role.coordination_state)


if __name__ == '__main__':
    unittest.main()
