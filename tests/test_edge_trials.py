"""Explores all courses of a suspect's trials, with the product's own code."""

import unittest

from lentilmoor.edge import suspects
from tests import trialworlds

# Trials that may crash a server before the request is blocked: the first burst
# counts as one crash, each trial as another. A request that alone accounts for
# the first burst needs one trial less.
_MAX_TRIALS = suspects.BLOCK_POLICY.threshold - 1


class CrashingRequestTest(unittest.TestCase):
    """Runs of a request after all entries know that it is a suspect."""

    def _find_most_runs(self, scope: trialworlds.Scope) -> int:
        """Returns the most runs of any course."""
        most, blocked = 0, 0
        for world, _ in trialworlds.explore(scope):
            blocked += world.is_blocked
            most = max(most, world.runs)
        self.assertGreater(blocked, 0)
        return most

    def test_two_trials_at_most_whatever_the_order(self):
        scope = trialworlds.Scope(length=9)
        self.assertEqual(self._find_most_runs(scope), _MAX_TRIALS)

    def test_one_trial_at_most_for_the_only_cause_of_a_burst(self):
        scope = trialworlds.Scope(length=9, only_cause=True)
        self.assertEqual(self._find_most_runs(scope), _MAX_TRIALS - 1)

    def test_one_more_at_most_if_the_granting_entry_is_replaced_then(self):
        scope = trialworlds.Scope(length=8, only_cause=True, handovers=1)
        self.assertLessEqual(self._find_most_runs(scope), _MAX_TRIALS)

    def test_a_large_burst_allows_no_more(self):
        scope = trialworlds.Scope(first_burst=6, length=8)
        self.assertEqual(self._find_most_runs(scope), _MAX_TRIALS)

    def test_one_more_if_the_entry_that_grants_them_is_replaced(self):
        scope = trialworlds.Scope(length=8, handovers=1)
        self.assertLessEqual(self._find_most_runs(scope), _MAX_TRIALS + 1)

    def test_one_more_at_most_if_entries_start(self):
        scope = trialworlds.Scope(entries=3, length=6, restarts=1)
        self.assertLessEqual(self._find_most_runs(scope), _MAX_TRIALS + 1)

    def test_rejected_trials_are_counted(self):
        scope = trialworlds.Scope(first_burst=3, length=8, rejections=3)
        self.assertLessEqual(self._find_most_runs(scope),
                             suspects.BLOCK_POLICY.max_trials)


class SoundRequestTest(unittest.TestCase):

    def test_a_clean_trial_clears_in_every_course(self):
        scope = trialworlds.Scope(length=8, sound=True)
        cleared = 0
        for world, course in trialworlds.explore(scope):
            self.assertFalse(world.is_blocked, course)
            cleared += world.is_clear
        self.assertGreater(cleared, 0)


if __name__ == '__main__':
    unittest.main()
