"""The delegate's fence, lease and drain."""

import unittest

from lentilmoor import delegates
from lentilmoor import grants
from lentilmoor import ranges
from lentilmoor import slices

MAP = slices.make_map(('s0', 's1'), 1)


def make_order(epoch=1, sequence=1, **fields):
    fields.setdefault('lifetime_ms', 500.0)
    fields.setdefault('map_version', MAP.version)
    fields.setdefault('delegate', 'd')
    return grants.LeaseOrder('s', fields.pop('delegate'), 'g', epoch, sequence,
                             **fields)


class DelegateTest(unittest.TestCase):

    def setUp(self):
        self.row = delegates.make_row('s', 'd', 1_000.0)

    def accept(self, now, **fields):
        return delegates.accept_lease(self.row, make_order(**fields), now)

    def test_a_lease_counts_from_the_echo_and_a_late_order_gives_none(self):
        self.accept(1_000.0, assignment=MAP, clock_echo_ms=900.0)
        self.assertEqual(delegates.view(self.row).expires_at, 1_400.0)
        self.accept(1_100.0, clock_echo_ms=800.0)
        self.assertEqual(delegates.view(self.row).expires_at, 1_400.0)
        self.accept(9_000.0, sequence=2, clock_echo_ms=900.0)
        self.assertEqual(delegates.view(self.row).expires_at, 1_400.0)

    def test_an_echo_of_another_process_clock_gives_no_lease(self):
        self.accept(1_000.0, assignment=MAP, clock_echo_ms=5_000.0)
        self.assertLess(delegates.view(self.row).expires_at, 0.0)

    def test_older_epochs_and_sequences_are_refused(self):
        self.accept(1_000.0, epoch=2, sequence=5, assignment=MAP)
        before = delegates.view(self.row)
        for order in ({'epoch': 1, 'sequence': 9}, {'epoch': 2, 'sequence': 4}):
            reply = self.accept(1_001.0, clock_echo_ms=1_000.0, **order)
            self.assertFalse(reply.accepted)
            self.assertEqual(reply.epoch, 2)
        self.assertIs(delegates.view(self.row), before)

    def test_an_order_for_an_earlier_process_promises_nothing(self):
        reply = self.accept(1_000.0, epoch=3, delegate='d-before')
        self.assertFalse(reply.accepted)
        self.assertEqual(self.row.epoch, 0)

    def test_a_gather_fences_tells_the_past_and_keeps_routes(self):
        self.accept(1_050.0, assignment=MAP, clock_echo_ms=1_000.0)
        before = delegates.view(self.row)
        reply = self.accept(1_200.0,
                            epoch=2,
                            sequence=0,
                            gather=True,
                            map_version=(-1, 0))
        self.assertEqual(reply.quiet_ms, 150.0)
        self.assertIs(reply.assignment, MAP)
        self.assertIs(delegates.view(self.row), before)
        self.assertFalse(self.accept(1_201.0, sequence=2).accepted)

    def test_a_new_row_counts_its_past_as_unknown(self):
        self.assertEqual(self.accept(1_300.0).quiet_ms, 300.0)

    def test_held_ranges_have_no_owner(self):
        held = ((5, 9),)
        self.accept(1_000.0, assignment=MAP, held=held)
        routed = delegates.view(self.row).map
        self.assertEqual([routed.owner_of(point) for point in (4, 5, 9, 10)],
                         ['s0', None, None, 's0'])

    def test_a_map_it_lacks_is_asked_for_by_the_version_it_tells(self):
        reply = self.accept(1_000.0, map_version=(1, 4))
        self.assertTrue(reply.accepted)
        self.assertEqual(reply.map_version, grants.NO_VERSION)
        self.assertIsNone(delegates.view(self.row))

    def test_drained_follows_the_oldest_request(self):
        reply = self.accept(1_000.0, epoch=2, sequence=7, assignment=MAP)
        for oldest, drained in ((None, 7), ((2, 7), 7), ((2, 3), 3), ((1, 9),
                                                                      0)):
            reply = delegates.add_drained(reply, oldest)
            self.assertEqual(reply.drained, drained)


class RangesTest(unittest.TestCase):

    def test_arithmetic(self):
        self.assertEqual(ranges.join([(5, 9), (0, 4), (12, 20), (13, 15)]),
                         ((0, 9), (12, 20)))
        self.assertEqual(ranges.subtract([(0, 20)], [(0, 3), (8, 9), (20, 30)]),
                         ((4, 7), (10, 19)))

    def test_differences_are_what_was_painted(self):
        last = slices.HASH_SPAN - 1
        for item in ((0, 0), (7, 99), (last, last), (0, last)):
            hidden = ranges.hide(MAP, [item])
            self.assertEqual(ranges.find_differences(MAP, hidden), (item,))
