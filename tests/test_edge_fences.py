"""Tests of the fences that keys are granted under."""

import unittest

from lentilmoor.edge import coordination
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables

_Answer = ownership.Answer


def _make_server(name):
    return tables.Server(name, 'stock', f'{name}:1', 'd', 2, False, 0.0, 0.0)


def _make_view(*names):
    return ownership.View({name: _make_server(name) for name in names},
                          frozenset(), {}, keyloads.KeyLoads({}), {})


class TwoGrantsOfOneFenceTest(unittest.TestCase):
    """A part of a range moves out, and those beside it are renewed."""

    def test_a_fence_stays_with_the_connection_that_carried_it_first(self):
        ranges = (keyranges.KeyRange(0, tables.KEYS - 1, 'a', 2),)
        state = coordination.begin(keyranges.Assignment('stock', 1, 3, ranges),
                                   1, 0.0, None)
        view = _make_view('a', 'b')
        grant, = coordination.plan(state, view, 0.0)
        coordination.note_granted(state, grant,
                                  ownership.Granted(_Answer.DONE, 1), 0.0, 1.0)
        renewal = state.renewals[ranges[0]]
        ownership.change_fence(state, renewal, 1)
        renewal.due_at = 0.0
        # The middle is about to move, so that both ends are renewed.
        state.moves.append(
            ownership.Move(rebalancing.Transfer(100, 200, 'a', 'b'),
                           ownership.Phase.RELEASING, 0.0))
        state.balanced_at = 1e9
        one, two = coordination.plan(state, view, 10.0)
        self.assertEqual((one.fence, one.link), (two.fence, two.link))
        # Its process ended, and another one started, between the two.
        coordination.note_granted(state, one,
                                  ownership.Granted(_Answer.DONE,
                                                    7), 10.0, 11.0)
        coordination.note_granted(state, two,
                                  ownership.Granted(_Answer.DONE,
                                                    8), 10.0, 12.0)
        renewal.due_at = 0.0
        again = [
            x for x in coordination.plan(state, view, 20.0)
            if isinstance(x, ownership.Grant) and x.item == one.item
        ]
        # What connection 7 carried must not go to the process behind 8.
        self.assertFalse(again and again[0].fence == one.fence and
                         again[0].link == 8)


if __name__ == '__main__':
    unittest.main()
