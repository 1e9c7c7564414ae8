"""Tests of the threads that read the store: no spin, nothing missed."""

import dataclasses
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import inbox
from lentilmoor import outcomes
from lentilmoor import stores
from lentilmoor import watchers
from standins import store_state

_FAILED = outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE)
_ROUNDS = 20


class FakeStopped:
    """Counts pauses, and stops after some rounds of a loop."""

    def __init__(self):
        self.rounds = 0
        self.paused_ms = []

    def is_set(self):
        self.rounds += 1
        return self.rounds > _ROUNDS

    def wait(self, seconds):
        self.paused_ms.append(seconds * clocks.MS_PER_S)


class WatchTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.stopped = FakeStopped()
        self.told = []
        self.watches = []
        self.is_watcher = True
        self.has_joined = False
        patch = mock.patch.object(watchers, 'JOIN_LOOKS', 0)
        patch.start()
        self.addCleanup(patch.stop)
        state = store_state.StoreState(clocks.Clock())
        self.state = state
        self.store = store_state.open_store(state, clocks.Clock())

    def _wiring(self, **fields):
        store = dataclasses.replace(self.store, **fields)
        own = stores.ListedInstance('e1', 'x:1', 'x:2', 'r', 'd')
        return watchers.WatchWiring(store,
                                    own=lambda: own,
                                    is_watcher=lambda: self.is_watcher,
                                    has_joined=lambda: self.has_joined,
                                    list_every_ms=self._find_pace,
                                    tell=self.told.append,
                                    stopped=self.stopped)

    def _find_pace(self):
        return 1_000.0 if self.is_watcher else 0.0

    def _watch(self, *results):
        results = list(results)

        def watch(prefix, after, wait_ms):
            self.watches.append(after)
            del prefix, wait_ms
            return results.pop(0) if len(results) > 1 else results[0]

        watchers.watch_branches(self._wiring(watch=watch))

    def test_an_empty_store_does_not_spin(self):
        self._watch(stores.Changes(0))
        self.assertEqual(len(self.stopped.paused_ms), _ROUNDS)
        self.assertGreaterEqual(min(self.stopped.paused_ms), 100.0)

    def test_a_store_that_is_down_does_not_spin_and_is_reported(self):
        self._watch(_FAILED)
        self.assertEqual(len(self.stopped.paused_ms), _ROUNDS)
        self.assertIn(inbox.StoreSeen(False), self.told)
        self.assertNotIn(inbox.StoreSeen(True), self.told)

    def test_a_watch_goes_on_where_the_last_one_ended(self):
        record = stores.Record('teams/a/branch', b'v', 1)
        self._watch(stores.Changes(4, (record,)), _FAILED, stores.Changes(9),
                    stores.Changes(9))
        self.assertEqual(self.watches[:4], [0, 4, 4, 9])
        found = [
            item for item in self.told if isinstance(item, inbox.BranchesFound)
        ]
        self.assertEqual(found, [inbox.BranchesFound((record,))])

    def test_who_is_no_watcher_reads_once_only(self):
        self.is_watcher = False
        self._watch(stores.Changes(4))
        self.assertEqual(self.watches, [0])

    def test_who_is_no_watcher_and_was_told_all_by_peers_reads_nothing(self):
        self.is_watcher = False
        self.has_joined = True
        with mock.patch.object(watchers, 'JOIN_LOOKS', 1):
            self._watch(stores.Changes(4))
        self.assertEqual(self.watches, [])

    def test_peers_that_give_nothing_are_waited_for_a_while_only(self):
        with mock.patch.object(watchers, 'JOIN_LOOKS', 2):
            self._watch(stores.Changes(4))
        self.assertEqual(self.stopped.paused_ms[:2],
                         [watchers.JOIN_LOOK_MS] * 2)
        self.assertEqual(self.watches[0], 0)

    def test_the_list_is_read_again_after_a_failure_and_only_by_watchers(self):
        self.is_watcher = False
        self.state.switches.outage = True
        answers = iter([_FAILED, ()])
        reads = []

        def instances():
            reads.append(1)
            return next(answers)

        watchers.read_instances(
            self._wiring(instances=instances, register=lambda own: _FAILED))
        self.assertEqual(len(reads), 2)
        self.assertEqual(len(self.stopped.paused_ms), _ROUNDS)

    def test_an_entry_registers_once(self):
        calls = []

        def register(own):
            calls.append(own.id)
            return None if len(calls) > 1 else _FAILED

        watchers.read_instances(self._wiring(register=register))
        self.assertEqual(calls, ['e1', 'e1'])


if __name__ == '__main__':
    unittest.main()
