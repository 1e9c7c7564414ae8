"""Tests of the fencing tokens of grants."""

import unittest

from lentilmoor.edge import coordination
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables
from tests import edgeworlds

_Answer = ownership.CallOutcome


def _make_server(name):
    return tables.Server(name, 'stock', f'{name}:1', 'd', 2, False, 0.0, 0.0)


def _make_view(*names):
    return ownership.ServiceView({name: _make_server(name) for name in names},
                                 frozenset(), {}, keyloads.KeyLoads({}), {})


class SaveWhileFencesChangeTest(unittest.TestCase):
    """A connection is closed while a save of an assignment is in flight."""

    def setUp(self):
        super().setUp()
        self.model = edgeworlds.ServerModel(_make_server('a'), 1.0)

    def _answer(self, state, actions, now, link):
        """Answers the grants to server a over a connection."""
        for grant in actions:
            if not isinstance(grant, ownership.Grant) or (grant.server.id
                                                          != 'a'):
                continue
            if grant.link is not None and grant.link != link:
                granted = ownership.GrantResult(_Answer.UNLINKED)
            else:
                granted = ownership.GrantResult(
                    self.model.grant(grant.key_range.first,
                                     grant.key_range.last, grant.fence,
                                     grant.hold_ms, now, now), link)
            coordination.handle_grant_result(state, grant, granted, now, now)

    def test_a_join_is_not_saved_below_a_fence_that_was_used_meanwhile(self):
        ranges = (keyranges.KeyRange(0, 99, 'a',
                                     2), keyranges.KeyRange(100, 199, 'a', 3),
                  keyranges.KeyRange(200, tables.KEY_COUNT - 1, 'gone', 4))
        state = coordination.start_coordination(
            keyranges.Assignment('stock', 1, 5, ranges), 1, 0.0, None)
        view = _make_view('a', 'c')
        actions = coordination.plan_actions(state, view, 0.0)
        save = next(x for x in actions if isinstance(x, ownership.Save))
        self._answer(state, actions, 1.0, 1)
        for now in (5.0, 10.0):
            self._answer(state, coordination.plan_actions(state, view, now),
                         now, 1)
        # The store answers after 0.8 s. Meanwhile the connection was closed.
        for now in (770.0, 775.0, 780.0, 785.0):
            self._answer(state, coordination.plan_actions(state, view, now),
                         now, 2)
        self.assertFalse(state.superseded)
        coordination.handle_saved(state, save, 2)
        for now in (805.0, 810.0, 815.0):
            self._answer(state, coordination.plan_actions(state, view, now),
                         now, 2)
        self.assertFalse(state.superseded)


class TwoGrantsOfOneFenceTest(unittest.TestCase):
    """The middle of a range moves, and the parts on both sides are renewed.

    If the process restarts between the two grants, they are carried by two
    connections, to two processes. The token must remain bound to the first.
    """

    def test_a_fence_stays_with_the_connection_that_carried_it_first(self):
        ranges = (keyranges.KeyRange(0, tables.KEY_COUNT - 1, 'a', 2),)
        state = coordination.start_coordination(
            keyranges.Assignment('stock', 1, 3, ranges), 1, 0.0, None)
        view = _make_view('a', 'b')
        grant, = coordination.plan_actions(state, view, 0.0)
        coordination.handle_grant_result(state, grant,
                                         ownership.GrantResult(_Answer.DONE, 1),
                                         0.0, 1.0)
        renewal = state.renewals[ranges[0]]
        ownership.replace_fence(state, renewal, 1)
        renewal.due_at = 0.0
        # The middle is about to move, so that both other parts are renewed.
        state.moves.append(
            ownership.Move(rebalancing.Transfer(100, 200, 'a', 'b'),
                           ownership.Phase.RELEASING, 0.0))
        state.rebalanced_at = 1e9
        one, two = coordination.plan_actions(state, view, 10.0)
        self.assertEqual((one.fence, one.link), (two.fence, two.link))
        # Between the two, the process ended and another one started.
        coordination.handle_grant_result(state, one,
                                         ownership.GrantResult(_Answer.DONE, 7),
                                         10.0, 11.0)
        coordination.handle_grant_result(state, two,
                                         ownership.GrantResult(_Answer.DONE, 8),
                                         10.0, 12.0)
        renewal.due_at = 0.0
        again = [
            x for x in coordination.plan_actions(state, view, 20.0)
            if isinstance(x, ownership.Grant) and x.key_range == one.key_range
        ]
        # The token that connection 7 carried must not be sent over 8.
        self.assertFalse(again and again[0].fence == one.fence and
                         again[0].link == 8)


if __name__ == '__main__':
    unittest.main()
