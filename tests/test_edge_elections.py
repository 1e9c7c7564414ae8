"""Tests of when an entry claims the coordinator's role, and of succession."""

import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import ports
from lentilmoor.edge import roles
from lentilmoor.edge import serverpaths
from lentilmoor.edge import tables

_STEP_MS = 10.0


class CandidacyTest(unittest.TestCase):
    """Tests the delay before an entry claims the role of a new service.

    If the random delays start before the servers have had time to register,
    they have passed by then, and all entries claim the role at the same time.
    With 195 entries that made 360 useless calls to the store, and an entry on a
    small machine won the election and soon handed over its role.
    """

    def _measure_candidacy_delay(self, small: bool, seed: float) -> float:
        """Returns the time from the first server to the entry's claim, ms."""
        time_ = clocks.ManualTime(50_000.0)
        owned = controlstate.ControlState('e1')
        server = tables.Server('i-1', 'x', 'a:1', 'd', 2, False, 0.0,
                               time_.at + 3_000.0)
        larger = ports.Peer('e2', 'b:1')
        owned.store_snapshot = ports.StoreSnapshot(None, {}, {}, {},
                                                   {'e2': larger}, 1)
        owned.servers = {'i-1': server}
        context = mock.Mock(owned=owned,
                            peer=ports.Peer('e1', 'a:9', small),
                            clock=time_.clock())
        context.forwarder.generator.random.return_value = seed
        context.forwarder.reachability = serverpaths.Reachability()
        role = controlstate.CoordinatorRole()
        while not context.call.called:
            time_.advance(_STEP_MS)
            elections.run_for_coordinator(context, 'x', role, time_.at)
        return time_.at - server.seen_at

    def test_delay_starts_when_the_service_may_have_a_coordinator(self):
        self.assertAlmostEqual(self._measure_candidacy_delay(False, 0.0),
                               elections.REGISTRATION_WAIT_MS,
                               delta=2 * _STEP_MS)
        self.assertAlmostEqual(self._measure_candidacy_delay(False, 1.0),
                               elections.REGISTRATION_WAIT_MS +
                               elections.MAX_CANDIDACY_DELAY_MS,
                               delta=2 * _STEP_MS)

    def test_small_machines_wait_for_larger_ones(self):
        self.assertAlmostEqual(self._measure_candidacy_delay(True, 0.0),
                               elections.REGISTRATION_WAIT_MS +
                               elections.LARGER_ENTRY_PRIORITY_MS,
                               delta=2 * _STEP_MS)


class ReplacedEntryTest(unittest.TestCase):
    """Tests whether another process has replaced a predecessor.

    A replaced predecessor has ended, so its successor waits only for one hold,
    not for 12 s more. Only a later process proves that.
    """

    def test_an_earlier_process_of_the_entry_does_not_replace_it(self):
        # The registration of a killed process is listed for another 9 s.
        earlier, later = ports.Peer('e1.a', 'a:1'), ports.Peer('e1.b', 'a:1')
        owned = controlstate.ControlState('e2.c')
        owned.store_snapshot = ports.StoreSnapshot(None, {}, {}, {}, {
            'e1.a': earlier,
            'e1.b': later
        }, 1)
        context = mock.Mock(owned=owned)
        # pylint: disable-next=protected-access
        self.assertFalse(roles._is_replaced(context, 'e1.b'))

    def test_only_a_later_registration_replaces_an_entry(self):
        # A process that registered earlier must not shorten the wait, whether
        # or not the predecessor is still listed.
        owned = controlstate.ControlState('e2.c')
        context = mock.Mock(owned=owned)
        for registrations, save_revision, expected in (({
                'e1.a': 3,
                'e1.b': 5
        }, 4, False), ({
                'e1.a': 3
        }, 5, False), ({
                'e1.b': 5,
                'e1.d': 8
        }, 7, True), ({
                'e1.d': 8
        }, 7, True), ({
                'e1.d': 8
        }, 9, False), ({
                'e3.d': 8
        }, 7, False)):
            with self.subTest(registrations=registrations,
                              save_revision=save_revision):
                entries = {
                    name:
                        ports.Peer(name, 'a:1', registration_revision=revision)
                    for name, revision in registrations.items()
                }
                owned.store_snapshot = ports.StoreSnapshot(
                    None, {}, {}, {}, entries, 1)
                # pylint: disable-next=protected-access
                found = roles._is_replaced(context, 'e1.b', save_revision)
                self.assertEqual(found, expected)


if __name__ == '__main__':
    unittest.main()
