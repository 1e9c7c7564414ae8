"""Tests of the store's client across a restore from an older copy."""

import unittest
from unittest import mock

from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.platform import store as store_module
from standins import platform_store
from tests import platformhelp

_ASSIGNMENT = keyranges.Assignment('x', 1, 2,
                                   (keyranges.KeyRange(0, 9, 'a', 1),))
_PEER = ports.Peer('e1', 'a:1')
_ROOM = 1e6


class RestoredStoreTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.store = self._connect()
        self._configure(1)
        self.copy = self.standin.copy()

    def _connect(self) -> ports.Store:
        return platformhelp.connect_store(self.standin)

    def _configure(self, version: int) -> None:
        self.standin.put('op/config', platformhelp.make_configuration(version))

    def test_watch_from_before_the_restore_requires_a_full_read(self):
        self._configure(2)
        before = self.store.load()
        self.standin.restore(self.copy)
        for version in (3, 4, 5):
            self._configure(version)
        # The store has passed the number that the watch begins from.
        self.assertGreater(self.standin.revision, self.copy.revision + 1)
        found = self.store.watch(before)
        self.assertIs(found.reason, outcomes.Reason.NOT_FOUND)
        after = self.store.load()
        self.assertGreater(after.revision, before.revision)
        self.assertEqual(after.configuration.version, 5)

    def test_write_from_before_the_restore_conflicts_at_the_same_number(self):
        revision = self.store.save(_ASSIGNMENT, 0)
        self.standin.restore(self.copy)
        other = self._connect()
        rival = keyranges.Assignment('x', 7, 9, ())
        self.assertIsInstance(other.save(rival, 0), int)
        self.assertEqual(self.standin.revision, self.copy.revision + 1)
        self.store.list_entries()
        found = self.store.save(_ASSIGNMENT, revision)
        self.assertIs(found.reason, outcomes.Reason.CONFLICT)
        self.assertEqual(self.store.load_assignment('x').assignment, rival)

    def test_lost_answer_to_a_write_keeps_the_era_of_the_write(self):
        find_own = store_module._find_own  # pylint: disable=protected-access

        def find_beside_a_restore(*args):
            self.standin.restore(self.copy)
            self.store.list_entries()
            return find_own(*args)

        self.standin.faults.lose_answers = 1
        with mock.patch.object(store_module, '_find_own',
                               find_beside_a_restore):
            revision = self.store.save(_ASSIGNMENT, 0)
        self.assertEqual(self.store.find_era(), 2)
        self.assertEqual(revisions.find_era(revision), 1)

    def test_role_under_an_earlier_lease_is_rewritten(self):
        first = self.store.open_lease(5_000.0)
        self.assertIsNone(self.store.claim_coordination('x', _PEER, first, 0))
        second = self.store.open_lease(5_000.0)
        self.assertIsNone(self.store.claim_coordination('x', _PEER, second, 0))
        self.store.end_lease(first)
        self.assertIn('x', self.store.load().coordinators)

    def test_news_does_not_span_the_restore(self):
        before = self.store.load()
        self.standin.restore(self.copy)
        self._configure(2)
        after = self.store.load()
        self.assertIsNone(self.store.encode_news(before.revision, _ROOM))
        self.assertEqual(self.store.encode_news(after.revision, _ROOM), b'')

    def test_dump_from_before_the_restore_brings_nothing_back(self):
        self.standin.put('lentilmoor/entry/e9', b'["e9","a:9",false,"d"]')
        behind = self._connect()
        behind.load()
        self.standin.restore(self.copy)
        after = self.store.load()
        self.assertEqual(after.entries, {})
        self.store.restore(behind.dump(0))
        found = self.store.load()
        self.assertEqual(found.entries, {})

    def test_dump_from_after_the_restore_replaces_the_copy(self):
        self.standin.put('lentilmoor/entry/e9', b'["e9","a:9",false,"d"]')
        before = self.store.load()
        self.assertIn('e9', before.entries)
        self.standin.restore(self.copy)
        ahead = self._connect()
        ahead.load()
        found = self.store.restore(ahead.dump(before.revision))
        self.assertEqual(found.entries, {})
        self.assertGreater(found.revision, before.revision)

    def test_restore_is_reported_once(self):
        told = []
        self.store.on_restore(lambda: told.append(self.store.find_era()))
        self.store.load()
        self.assertEqual(told, [])
        self.standin.restore(self.copy)
        self.store.load()
        self.store.load()
        self.assertEqual(told, [2])

    def test_store_without_eras_is_followed(self):
        self.standin.era = 0
        before = self.store.load()
        self.assertEqual(before.revision, self.standin.revision)
        self._configure(2)
        found = self.store.watch(before)
        self.assertEqual(found.configuration.version, 2)
        self.standin.faults.lose_answers = 1
        self.assertEqual(self.store.save(_ASSIGNMENT, 0), self.standin.revision)

    def test_answer_without_era_is_not_a_restore(self):
        before = self.store.load()
        self.standin.era = 0
        self._configure(2)
        found = self.store.watch(before)
        self.assertEqual(found.configuration.version, 2)

    def test_bad_era_fails_the_call(self):
        for era in ('x', '-1', '99999999'):
            self.standin.era = era
            found = self.store.load()
            self.assertIs(found.reason, outcomes.Reason.INVALID, era)


if __name__ == '__main__':
    unittest.main()
