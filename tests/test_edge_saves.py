"""Tests of saves whose response is lost."""

import unittest
from unittest import mock

import urllib3

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import coordination
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from lentilmoor.platform import store
from tests import edgeworlds


def _make_server(name):
    return tables.Server(name, 'stock', f'{name}:1', 'd', 2, False, 0.0, 0.0)


class UnansweredSaveTest(unittest.TestCase):
    """The store executes a save, and its response is lost.

    The source of the saved move is reachable again meanwhile and could get its
    keys back, while a successor reads that they belong to the target.
    """

    def setUp(self):
        super().setUp()
        self.models = {
            name: edgeworlds.ServerModel(_make_server(name), 1.0)
            for name in 'ab'
        }
        self.cut = False
        self.shared = []

    def _step(self, state, now):
        """Plans actions and answers them, unless cut off; returns the saves."""
        view = ownership.ServiceView(
            {
                name: item.entry for name, item in self.models.items()
            }, frozenset(), {}, keyloads.KeyLoads({}), {})
        saves = []
        for action in coordination.plan_actions(state, view, now):
            if isinstance(action, ownership.Save):
                saves.append(action)
            elif isinstance(action, ownership.Probe):
                answer = (ownership.CallOutcome.UNKNOWN
                          if self.cut else ownership.CallOutcome.DONE)
                coordination.handle_probe_result(state, action, answer, now)
            elif isinstance(action, ownership.Grant):
                model = self.models[action.server.id]
                if self.cut and action.server.id == 'a':
                    granted = ownership.GrantResult(
                        ownership.CallOutcome.NOT_SENT)
                else:
                    granted = ownership.GrantResult(
                        model.grant(action.key_range.first,
                                    action.key_range.last, action.fence,
                                    action.hold_ms, now, now), 1)
                coordination.handle_grant_result(state, action, granted, now,
                                                 now)
        for key in (0, 100):
            owners = [n for n, m in self.models.items() if m.holds(key, now)]
            if len(owners) > 1:
                self.shared.append((now, key, owners))
        return saves

    def test_the_successor_gives_no_key_away_that_its_owner_got_back(self):
        ranges = (keyranges.KeyRange(0, 999, 'a', 2),
                  keyranges.KeyRange(1000, tables.KEY_COUNT - 1, 'b', 3))
        state = coordination.start_coordination(
            keyranges.Assignment('stock', 1, 4, ranges), 1, 0.0, None)
        state.rebalanced_at = 1e9
        now, saves = 0.0, []
        while now < 1_000:
            now += 20.0
            self._step(state, now)
        self.cut = True  # Cuts the path to a.
        while not saves and now < 20_000:
            now += 20.0
            saves = self._step(state, now)
        self.assertTrue(saves)
        # The store executes the save, but the response is lost, which is
        # detected after 1.2 s. Meanwhile the path to a is restored.
        stored, self.cut = saves[0].assignment, False
        until = now + 1_200.0
        while now < until:
            now += 20.0
            self._step(state, now)
        coordination.handle_save_failure(state, False, now)
        resent = []
        for _ in range(40):
            now += 20.0
            resent += self._step(state, now)
        self.assertTrue(resent)
        # Another entry, or this one again, takes over with the stored
        # assignment.
        following = coordination.start_coordination(
            coordination.make_next_assignment(stored, 'x.2'), 3, now, 'x.1')
        following.rebalanced_at = 1e9
        for _ in range(20):
            now += 20.0
            self._step(following, now)
        self.assertEqual(self.shared[:2], [])


class RepeatedWriteTest(unittest.TestCase):
    """A conditional write times out, and its retry is refused.

    The retry's response must not hide that the first write may be executed.
    """

    def test_whether_it_was_carried_out_is_not_known(self):
        replies = [
            outcomes.Failed(outcomes.Reason.TIMED_OUT),
            httpclient.Reply(503, urllib3.HTTPHeaderDict(), b'')
        ]
        client = store.connect_store('127.0.0.1:1', clocks.Clock(),
                                     logs.make_logger('test'))
        assignment = keyranges.Assignment('stock', 1, 2, ())
        with mock.patch.object(httpclient.Client, 'call', side_effect=replies):
            result = client.save(assignment, 1)
        self.assertIs(result.reason, outcomes.Reason.TIMED_OUT)


if __name__ == '__main__':
    unittest.main()
