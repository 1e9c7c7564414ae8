"""What waits and what is refused where more comes than servers can take."""

import dataclasses
import unittest

from benchmarks import edge_model
from lentilmoor.edge import waiting

_SHAPES = {
    shape.name: dataclasses.replace(shape, seconds=16.0)
    for shape in edge_model.SHAPES
}


def _play(name: str, refuse: str) -> edge_model.Result:
    policy = edge_model.Policy('x', refuse=refuse)
    return edge_model.average([
        edge_model.Model(_SHAPES[name], policy, seed).play()
        for seed in range(2)
    ])


class UnkeyedTest(unittest.TestCase):
    """Any server may run a request, and all have the same queue."""

    def test_what_comes_beyond_capacity_does_not_make_all_late(self):
        before = _play('cancels, few servers', 'patience')
        after = _play('cancels, few servers', 'late')
        self.assertGreater(after.worth, before.worth + 0.1)
        self.assertGreater(after.worst, before.worst + 0.1)
        self.assertGreater(after.served, 0.9)

    def test_a_burst_is_answered_within_its_goal(self):
        before = _play('cancels, burst', 'patience')
        after = _play('cancels, burst', 'late')
        self.assertGreater(after.worst, before.worst)
        self.assertGreater(after.served, 0.96)

    def test_load_that_fits_is_not_refused(self):
        after = _play('orders, steady', 'late')
        self.assertLess(after.refused, 0.002)


class JudgeTest(unittest.TestCase):

    def test_an_answer_that_comes_too_late_to_be_of_use_is_not_waited_for(self):
        useful_ms = waiting.find_useful(250.0, 10.0)
        self.assertEqual(useful_ms, 250.0 * waiting.GOALS - 10.0)
        self.assertIsNone(
            waiting.judge(waiting.Prospect(useful_ms, False, 1_000.0,
                                           useful_ms)))
        back = waiting.judge(
            waiting.Prospect(useful_ms + 250.0, False, 1_000.0, useful_ms))
        self.assertEqual(back, 250.0)


if __name__ == '__main__':
    unittest.main()
