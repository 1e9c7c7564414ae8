"""Tests of retries: what is repeated, when, and within what budget."""

import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks import retries as benchmark
from benchmarks import retries_model
from lentilmoor import outcomes
from lentilmoor import retries

_Reason = outcomes.Reason
_DEADLINE = 10_000.0
_UNSENT = (_Reason.CONNECT_FAILED, _Reason.SERVER_SHED, _Reason.NOT_GRANTED)
_SENT = (_Reason.CONNECTION_LOST, _Reason.ANSWER_CUT, _Reason.TIMED_OUT)


def _end(reason=_Reason.CONNECTION_LOST, **changes) -> retries.Ending:
    ending = retries.Ending('a', reason, 100.0, reason in _SENT, version=(1, 1))
    return dataclasses.replace(ending, **changes)


def _decide(ending, route, repeatable=True, budget=None, deadline=_DEADLINE):
    progress = retries.Progress(repeatable, deadline)
    if budget is None:
        budget = retries.Budget()
    return retries.decide(progress, ending, route, budget, 100.0,
                          random.Random(1))


class DecideTest(unittest.TestCase):

    def test_moved_key_is_tried_at_its_new_owner(self):
        step = _decide(_end(), retries.Route('b', version=(1, 2)))
        self.assertIsInstance(step, retries.Retry)

    def test_dead_server_is_not_tried_again_while_nothing_changed(self):
        step = _decide(_end(), retries.Route('a'))
        self.assertIsInstance(step, retries.GiveUp)
        self.assertGreaterEqual(step.retry_after_ms, retries.TAKEOVER_MS)

    def test_news_of_the_server_allows_one_more_try(self):
        step = _decide(_end(), retries.Route('a', proven_at=101.0))
        self.assertIsInstance(step, retries.Retry)
        self.assertTrue(step.fresh)

    def test_used_connection_gets_a_fresh_one_once(self):
        progress = retries.Progress(True, _DEADLINE)
        budget = retries.Budget()
        route = retries.Route('a')
        generator = random.Random(1)
        first = retries.decide(progress, _end(reused=True), route, budget,
                               100.0, generator)
        second = retries.decide(progress, _end(), route, budget, 100.0,
                                generator)
        self.assertEqual(first, retries.Retry(fresh=True))
        self.assertIsInstance(second, retries.GiveUp)

    def test_not_granted_needs_a_newer_map_or_waits_for_it(self):
        ending = _end(_Reason.NOT_GRANTED)
        same = _decide(ending, retries.Route('a', version=(1, 1)))
        newer = _decide(ending, retries.Route('a', version=(1, 2)))
        self.assertIsInstance(same, retries.AwaitChange)
        self.assertIsInstance(newer, retries.Retry)

    def test_nothing_waits_when_the_deadline_comes_first(self):
        route = retries.Route('a', moving=True)
        step = _decide(_end(), route, deadline=100 + retries.TAKEOVER_MS)
        self.assertIsInstance(step, retries.GiveUp)

    def test_waiting_is_bounded_and_ends_without_a_second_token(self):
        budget = retries.Budget(most_waiting=1)
        route = retries.Route('a', moving=True)
        self.assertIsInstance(_decide(_end(), route, budget=budget),
                              retries.AwaitChange)
        self.assertIsInstance(_decide(_end(), route, budget=budget),
                              retries.GiveUp)
        tokens = budget.tokens
        progress = retries.Progress(True, _DEADLINE, 1)
        step = retries.resume(progress, _end(), retries.Route('b'), budget,
                              500.0, random.Random(1))
        self.assertEqual(step, retries.Retry())
        self.assertEqual((budget.tokens, budget.waiting), (tokens, 0))

    def test_shed_request_backs_off_past_the_servers_hint(self):
        step = _decide(_end(_Reason.SERVER_SHED, retry_after_ms=200),
                       retries.Route('a'))
        self.assertGreaterEqual(step.delay_ms, 200)


class PropertyTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(
        st.lists(st.tuples(st.sampled_from(_UNSENT + _SENT), st.booleans(),
                           st.sampled_from(('a', 'b', None)), st.booleans()),
                 min_size=1,
                 max_size=8), st.booleans())
    def test_never_doubled_and_not_run_is_true(self, script, repeatable):
        progress = retries.Progress(repeatable, _DEADLINE)
        budget = retries.Budget()
        ran = False
        for version, (reason, reused, server, moving) in enumerate(script):
            self.assertTrue(repeatable or not ran, 'dispatched after it ran')
            ending = _end(reason, reused=reused)
            ran |= ending.may_have_run
            route = retries.Route(server, moving, version=(2, version))
            step = retries.decide(progress, ending, route, budget, 100.0,
                                  random.Random(version))
            if isinstance(step, retries.AwaitChange):
                step = retries.resume(progress, ending, retries.Route('c'),
                                      budget, 200.0, random.Random(version))
            if isinstance(step, retries.GiveUp):
                self.assertEqual(ran, isinstance(step.outcome,
                                                 outcomes.Unknown))
                return

    @settings(derandomize=True, deadline=None, database=None, max_examples=50)
    @given(st.integers(0, 1 << 20), st.booleans())
    def test_extra_load_stays_under_a_tenth(self, seed, moves):
        generator = random.Random(seed)
        budget = retries.Budget()
        requests = 600
        tries = 0
        for number in range(requests):
            progress = retries.Progress(True, _DEADLINE)
            retries.note_first_try(budget)
            step = retries.Retry()
            while isinstance(step, retries.Retry):
                tries += 1
                ending = _end(generator.choice(_SENT + _UNSENT[:2]),
                              reused=generator.random() < 0.5)
                owner = generator.choice(('a', 'b')) if moves else 'a'
                route = retries.Route(owner, moves, version=(1, number))
                step = retries.decide(progress, ending, route, budget, 100.0,
                                      generator)
            budget.waiting = 0
        self.assertLess(tries, 1.1 * requests)


class ModelTest(unittest.TestCase):

    def _lose_all(self, policy):
        model = retries_model.Model(3, benchmark.POLICIES[policy], 0.6)
        model.run(1_000.0)
        model.tally = retries_model.Tally()
        for index in range(retries_model.SERVERS):
            model.lose(index, retries_model.State.BROKEN, moves=False)
        model.run(4_000.0)
        return model.tally

    def test_failing_servers_get_little_more_and_nothing_is_doubled(self):
        naive, ours = self._lose_all('x3'), self._lose_all('ours')
        self.assertGreater(naive.extra, 2.0)
        self.assertGreater(naive.doubled, 0)
        self.assertLess(ours.extra, 0.1)
        self.assertEqual((ours.doubled, ours.untrue), (0, 0))

    def test_passed_bounds_are_found(self):
        row = benchmark.Row('x', 'ours', 0.11, 0.9, 1, 0, 5.0, 9.0)
        bounds = {'x': {'extra': 0.1, 'doubled': 0, 'untrue': 0}}
        self.assertEqual(len(benchmark.find_breaches([row], bounds)), 2)
        bounds = {'x': {'least_answered': 0.95}}
        self.assertEqual(len(benchmark.find_breaches([row], bounds)), 1)


if __name__ == '__main__':
    unittest.main()
