"""Seeded schedules of faults against sole ownership, ours and naive ones.

`LENTILMOOR_SCHEDULES` sets how many schedules each pair of faults gets.
"""

import itertools
import math
import os
import unittest
from unittest import mock

from benchmarks import ownership
from lentilmoor import authority
from lentilmoor import delegates
from lentilmoor import grantors
from lentilmoor import grants
from lentilmoor import leases
from lentilmoor import moves
from tests import faults
from tests import worlds

SCHEDULES = int(os.environ.get('LENTILMOOR_SCHEDULES', '1'))
SEARCHED = 200


def _replace(module, name, call):
    return mock.patch.object(module, name, call)


def _wait_for_nothing(row, move):
    move.stage = grants.MoveStage.REVOKING
    move.revoke_ends = grants.NEVER
    del row


def _settle_at_once(row):
    answered = _find_settled(row)
    return answered if answered == math.inf else grants.NEVER


def _adopt_record(row, now):
    row.gathered = None
    _adopt(row, now)


def _count_from_receipt(server, order, clock_ms):
    del server
    return clock_ms + order.lifetime_ms


def _lease_from_receipt(order, now):
    return now + order.lifetime_ms


def _offer_unfenced(server, order, clock_ms):
    fence = (order.epoch, order.sequence)
    server.fence = max(server.fence, fence)
    if order.owned is not None:
        server.owned = order.owned
    server.expires_at = server.count_lifetime(order, clock_ms)
    return True


def _forget_former(row, now):
    _track_members(row, now)
    members = authority.list_members(row)
    for member in set(row.delegates) - set(members):
        del row.delegates[member]


_find_settled = authority.find_settled
_adopt = grantors._adopt  # pylint: disable=protected-access
_track_members = leases.track_members

# Each leaves one rule out; the faults named must show that it is missed.
NAIVE = {
    'moves a slice without waiting its grant out':
        (_replace(moves, '_revoke', _wait_for_nothing), True,
         (faults.freeze_server, faults.mislead_liveness)),
    'does not wait for the grants of older epochs':
        (_replace(authority, 'find_settled', _settle_at_once), True,
         (faults.cut_corner, faults.double_messages)),
    'servers count a lifetime from receipt':
        (_replace(worlds.Server, 'count_lifetime', _count_from_receipt), True,
         (faults.pause_grantor, faults.freeze_server)),
    'delegates count a lifetime from receipt':
        (_replace(delegates, '_find_expiry', _lease_from_receipt), False,
         (faults.make_late, faults.cut_one)),
    'servers check no fence':
        (_replace(worlds.Server, 'offer', _offer_unfenced), True,
         (faults.make_late, faults.make_late, faults.mislead_liveness)),
    'renews without a majority':
        (_replace(authority, 'find_end',
                  lambda row: math.inf), True, (faults.cut_corner,)),
    'does not gather in a takeover':
        (_replace(grantors, '_adopt', _adopt_record), True,
         (faults.pause_grantor, faults.stop_store)),
    'routes before others have drained':
        (_replace(moves, '_is_clear',
                  lambda *_: True), False, (faults.cut_one, faults.make_late)),
    'forgets delegates that left the list':
        (_replace(leases, 'track_members', _forget_former), False,
         (faults.show_old_lists, faults.double_messages)),
}


def search(kinds, checks, seeds):
    """Returns the first seed under which an invariant breaks, if any."""
    for seed in seeds:
        try:
            faults.run_schedule(seed, kinds, checks)
        except worlds.BrokenInvariantError:
            return seed
    return None


class ScheduleTest(unittest.TestCase):

    def test_any_two_faults_together(self):
        pairs = itertools.combinations_with_replacement(faults.KINDS, 2)
        for number, kinds in enumerate(pairs):
            for seed in range(SCHEDULES):
                for checks in (True, False):
                    with self.subTest(seed=seed, kinds=kinds, checks=checks):
                        faults.run_schedule(number * 100_003 + seed, kinds,
                                            checks)

    def test_silence_must_not_count_as_the_end_of_a_delegate(self):
        kinds = (faults.presume_ended, faults.cut_corner, faults.cut_halves)
        self.assertIsNotNone(search(kinds, True, range(SEARCHED)))


class BoundsTest(unittest.TestCase):

    def test_a_passed_bound_and_a_loss_not_measured_are_told(self):
        row = ownership.Row('ours', 'server', ownership.Times(most=601.0),
                            ownership.Times())
        bounds = {'server': {'lost': 600, 'others': 5}, 'grantor': {}}
        self.assertEqual(len(ownership.find_breaches([row], bounds)), 2)
        bounds = {'server': {'lost': 601}}
        self.assertEqual(ownership.find_breaches([row], bounds), [])


class NaiveTest(unittest.TestCase):

    def test_each_missing_rule_is_noticed(self):
        for name, (patch, checks, kinds) in NAIVE.items():
            with self.subTest(name), patch:
                self.assertIsNotNone(search(kinds, checks, range(SEARCHED)))
