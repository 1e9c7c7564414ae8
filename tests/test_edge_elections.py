"""Who stands for coordinator, and when."""

import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import ports
from lentilmoor.edge import roles
from lentilmoor.edge import tables

_STEP_MS = 10.0


class StandTest(unittest.TestCase):
    """A service gets its first coordinator.

    All of 195 entries took a lease and wrote for the role at one moment, 360
    calls to the store in vain: their pauses had passed before the servers had
    had their time to register. One on a small machine won, and soon made way.
    """

    def _find_begin(self, small: bool, seed: float) -> float:
        """Returns when an entry stands, from the first server on, ms."""
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
        role = controlstate.CoordinatorRole()
        while not context.call.called:
            time_.advance(_STEP_MS)
            elections.run_for_coordinator(context, 'x', role, time_.at)
        return time_.at - server.seen_at

    def test_pauses_begin_when_the_service_may_have_one(self):
        self.assertAlmostEqual(self._find_begin(False, 0.0),
                               elections.REGISTRATION_WAIT_MS,
                               delta=2 * _STEP_MS)
        self.assertAlmostEqual(self._find_begin(False, 1.0),
                               elections.REGISTRATION_WAIT_MS +
                               elections.MAX_CANDIDACY_DELAY_MS,
                               delta=2 * _STEP_MS)

    def test_small_machines_leave_it_to_larger_ones(self):
        self.assertAlmostEqual(self._find_begin(True, 0.0),
                               elections.REGISTRATION_WAIT_MS +
                               elections.LARGER_ENTRY_PRIORITY_MS,
                               delta=2 * _STEP_MS)


class ReplacedEntryTest(unittest.TestCase):
    """Another process runs in the place of a predecessor.

    Its successor waits for a hold then, not for 12 s more: it has to be a later
    process.
    """

    def test_an_earlier_process_of_its_place_proves_no_end(self):
        # The entry of a process that was killed is listed for 9 s more.
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
