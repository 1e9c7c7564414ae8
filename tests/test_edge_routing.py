"""Tests of routes, placement, waiting and the repeat budget."""

import random
import unittest

from lentilmoor.edge import admission
from lentilmoor.edge import matching
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import retrybudgets
from lentilmoor.edge import tables

_BOUNDS = ports.Bounds(2_000.0, 6_000.0, 0.2, 60.0, 10_000.0, 10_000.0)


def _make_route(name, host, prefix, *parts):
    return tables.Route(name, host, prefix, tables.Repeat.IDEMPOTENT, False,
                        tuple(tables.Part(*part) for part in parts), 2, 500.0,
                        200.0, 1)


def _make_server(name, domain='d1', slots=2, warm_at=0.0):
    return tables.Server(name, 'x', f'{name}:1', domain, slots, False, warm_at,
                         0.0)


class MatchingTest(unittest.TestCase):

    def setUp(self):
        rows = [
            _make_route('root', 'a.example', '/', ('x', 1.0)),
            _make_route('shop', 'a.example', '/shop/', ('x', 1.0)),
            _make_route('deep', 'a.example', '/shop/deep/', ('x', 1.0)),
            _make_route('other', 'b.example', '/shop/', ('x', 1.0)),
        ]
        self.index = matching.make_index({row.name: row for row in rows})

    def _find(self, host, path):
        found = matching.find_route(self.index, host, path)
        return found.name if found else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self._find('a.example', '/shop/deep/x'), 'deep')
        self.assertEqual(self._find('a.example', '/shop/x/y/z'), 'shop')
        self.assertEqual(self._find('a.example', '/shop/'), 'shop')
        self.assertEqual(self._find('a.example', '/shop'), 'root')

    def test_the_host_decides_whatever_its_case_or_port(self):
        self.assertEqual(self._find('B.Example:8080', '/shop/x'), 'other')
        self.assertIsNone(self._find('b.example', '/x'))
        self.assertIsNone(self._find('c.example', '/shop/x'))

    def test_parts_get_their_weights(self):
        route = _make_route('split', 'a', '/', ('x', 90.0), ('y', 10.0),
                            ('z', 0.0))
        draw = random.Random(1)
        picks = [
            matching.pick_service(route, draw.random()) for _ in range(10_000)
        ]
        self.assertAlmostEqual(picks.count('x') / 10_000, 0.9, delta=0.01)
        self.assertEqual(picks.count('z'), 0)


class PlacementTest(unittest.TestCase):

    def _choose(self, servers, states, **wish):
        fields = {'domain': 'd1', 'large': False, 'work_ms': 100.0} | wish
        found = placement.choose_server(servers, states,
                                        placement.ChoiceCriteria(**fields),
                                        1_000.0, lambda: 0.5)
        return found.server.id if found else None

    def test_the_server_that_is_expected_first_gets_it(self):
        servers = [_make_server('a'), _make_server('b')]
        states = {
            'a':
                placement.ServerState(inflight=4,
                                      work_ms=100.0,
                                      answer_count=30),
            'b':
                placement.ServerState(inflight=1,
                                      work_ms=150.0,
                                      answer_count=30)
        }
        self.assertEqual(self._choose(servers, states), 'b')

    def test_large_answers_stay_in_the_domain_while_it_costs_little(self):
        servers = [_make_server('a', 'd2'), _make_server('b', 'd1')]
        states = {
            'a': placement.ServerState(work_ms=90.0, answer_count=30),
            'b': placement.ServerState(work_ms=105.0, answer_count=30)
        }
        self.assertEqual(self._choose(servers, states), 'a')
        self.assertEqual(self._choose(servers, states, large=True), 'b')

    def test_a_server_that_was_not_reached_is_left_alone_for_a_while(self):
        servers = [_make_server('a')]
        state = placement.ServerState(inflight=1)
        placement.record_connect_failure(state, 1_000.0)
        self.assertIsNone(self._choose(servers, {'a': state}))
        self.assertEqual(state.inflight, 0)
        first = state.backoff_until
        placement.record_sent(state)
        placement.record_connect_failure(state, 1_000.0)
        self.assertGreater(state.backoff_until, first)

    def test_a_server_that_fails_requests_is_chosen_less(self):
        servers = [_make_server('a'), _make_server('b')]
        states = {
            'a': placement.ServerState(work_ms=50.0, answer_count=30),
            'b': placement.ServerState(work_ms=100.0, answer_count=30)
        }
        for _ in range(10):
            placement.record_sent(states['a'])
            placement.record_failure(states['a'], 0.0, False)
        self.assertEqual(self._choose(servers, states), 'b')

    def test_the_hubs_view_counts_for_long_work_and_for_owners_only(self):
        state = placement.ServerState(work_ms=60.0,
                                      answer_count=30,
                                      reported_in_flight=6.0,
                                      reported_in_flight_at=1_000.0)
        server = _make_server('a')
        self.assertEqual(
            placement.estimate_response(server, state, 60.0, 1_000.0)[0], 60)
        owner, _ = placement.estimate_response(server, state, 60.0, 1_000.0,
                                               True)
        self.assertEqual(owner, 60.0 * 3.5)
        state.work_ms = 240.0
        self.assertGreater(
            placement.estimate_response(server, state, 240.0, 1_000.0)[0],
            240.0)

    def test_one_long_answer_does_not_make_a_server_slow(self):
        # Entries see few answers of each server. After 1.1 s as the first one
        # they refused what a server had room for.
        state = placement.ServerState()
        placement.record_sent(state)
        placement.record_answer(state, 1_100.0, None, 0.0)
        expected, full = placement.estimate_response(_make_server('a'), state,
                                                     220.0, 0.0)
        self.assertFalse(full)
        self.assertLess(expected, 550.0)
        for _ in range(40):
            placement.record_sent(state)
            placement.record_answer(state, 400.0, None, 0.0)
        expected, _ = placement.estimate_response(_make_server('a'), state,
                                                  220.0, 0.0)
        self.assertAlmostEqual(expected, 400.0, delta=20.0)

    def test_what_all_entries_saw_of_a_server_counts_for_more(self):
        state = placement.ServerState(work_ms=900.0,
                                      answer_count=2,
                                      shared_work_ms=200.0)
        expected, _ = placement.estimate_response(_make_server('a'), state,
                                                  220.0, 0.0)
        self.assertEqual(expected, 200.0)

    def test_what_timed_out_tells_how_slow_a_server_is_at_least(self):
        choice = placement.Choice(_make_server('a'), 440.0, False, 220.0)
        self.assertEqual(placement.estimate_min_work(1_400.0, choice), 700.0)
        self.assertEqual(placement.estimate_min_work(400.0, choice), 0.0)


class WaitingTest(unittest.TestCase):

    def test_what_can_be_answered_in_time_may_wait(self):
        self.assertIsNone(
            admission.find_retry_after(
                admission.WaitEstimate(400.0, False, 450.0)))

    def test_work_that_takes_longer_than_its_goal_is_no_reason_to_refuse(self):
        # A limit by the goal turned all requests of such a service away.
        goal_ms, work_ms = 250.0, 800.0
        self.assertGreater(work_ms, goal_ms)
        self.assertIsNone(
            admission.find_retry_after(
                admission.WaitEstimate(work_ms, False, 2_000.0)))

    def test_what_cannot_is_told_when_to_come_back(self):
        back = admission.find_retry_after(
            admission.WaitEstimate(900.0, False, 450.0))
        self.assertEqual(back, 450.0)
        self.assertEqual(
            admission.find_retry_after(
                admission.WaitEstimate(100.0, True, 1_000.0)),
            1_000.0 * admission.RETRY_AFTER_FRACTION)
        self.assertEqual(
            admission.find_retry_after(admission.WaitEstimate(20.0, True,
                                                              25.0)),
            admission.MIN_RETRY_AFTER_MS)
        self.assertEqual(
            admission.find_retry_after(admission.WaitEstimate(
                1e6, False, 450.0)), admission.MAX_RETRY_AFTER_MS)


class BudgetTest(unittest.TestCase):

    def _check_windows(self, asked: list[int], taken: list[int]) -> None:
        """Checks that no window has more repeats than it allows."""
        for begin in range(0, 30_000, 500):
            requests = sum(begin <= at < begin + 10_000 for at in asked)
            repeats = sum(begin <= at < begin + 10_000 for at in taken)
            self.assertLessEqual(repeats, 0.2 * requests + 60.0)

    def test_all_entries_together_stay_within_what_is_allowed(self):
        # 12 entries, one of which gets most of the requests; all repeat all.
        entries = [retrybudgets.RetryBudget() for _ in range(12)]
        draw = random.Random(3)
        asked, taken = [], []
        for now in range(0, 40_000, 5):
            index = min(11, int(draw.expovariate(0.5)))
            retrybudgets.record_request(entries[index], _BOUNDS, now)
            asked.append(now)
            for _ in range(2):
                if retrybudgets.take_retry(entries[index], _BOUNDS, 12, now):
                    taken.append(now)
        self._check_windows(asked, taken)
        self.assertGreater(len(taken), 0.1 * len(asked))

    def test_entries_that_start_again_do_not_repeat_more(self):
        # All of 12 entries are killed each 4 s; all repeat all.
        entries: list[retrybudgets.RetryBudget] = []
        asked, taken = [], []
        for now in range(0, 40_000, 50):
            if now % 4_000 == 0:
                entries = [
                    retrybudgets.RetryBudget(entry_started_at=now)
                    for _ in range(12)
                ]
            budget = entries[now // 50 % 12]
            retrybudgets.record_request(budget, _BOUNDS, now)
            asked.append(now)
            if retrybudgets.take_retry(budget, _BOUNDS, 12, now):
                taken.append(now)
        self._check_windows(asked, taken)
        self.assertGreater(len(taken), 0.05 * len(asked))

    def test_a_service_without_requests_keeps_its_fixed_part(self):
        budget = retrybudgets.RetryBudget()
        taken = sum(
            retrybudgets.take_retry(budget, _BOUNDS, 12, 0.0)
            for _ in range(100))
        self.assertEqual(taken, 4)


if __name__ == '__main__':
    unittest.main()
