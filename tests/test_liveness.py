"""Tests of liveness: the dead are found, and nobody is condemned unheard."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks import liveness as benchmark
from benchmarks import liveness_model
from benchmarks import successors as takeovers
from lentilmoor import evidence
from lentilmoor import liveness
from lentilmoor import suspicions
from lentilmoor import tables

_KEY = ('t/s/0', 'a')
_DEAD = tables.Liveness.DEAD
_PROBE = evidence.Source.PROBE
_REQUEST = evidence.Source.REQUEST
_Result = evidence.Result


def _make_table(me='e1', domain='d1', servers=('a',)):
    table = evidence.LivenessTable(me, domain)
    for server in servers:
        evidence.add_server(table, (_KEY[0], server))
    return table


def _others(now, **domains):
    return {
        name: tables.Instance(name, '', '', 'r', domain, heard_at=now)
        for name, domain in domains.items()
    }


def _told(failures=5, refused=5, age=1.0, span=100.0, source=_PROBE):
    return evidence.Evidence(*_KEY, source, failures, refused, age, span)


def _fail(table, begin, end, result=_Result.REFUSED, pace=20, server='a'):
    for at in range(begin, end + 1, pace):
        evidence.record(table, (_KEY[0], server), _PROBE, result, at, at)


class VerdictTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.table = _make_table()

    def _verdict(self, now, instances=None):
        if instances is None:
            instances = _others(now, e2='d2', e3='d3')
        liveness.step(self.table, instances, now)
        return self.table.servers[_KEY].liveness

    def test_two_domains_condemn(self):
        _fail(self.table, 1_000, 1_100)
        self.assertIs(self._verdict(1_100), tables.Liveness.SUSPECT)
        evidence.merge(self.table, 'e2', 'd2', [_told()], 1_101)
        self.assertIs(self._verdict(1_159), tables.Liveness.SUSPECT)
        self.assertIs(self._verdict(1_160), _DEAD)

    def test_one_domain_does_not(self):
        for now in range(1_000, 9_000, 20):
            _fail(self.table, now, now)
            evidence.merge(self.table, 'e4', 'd1', [_told(span=now)], now)
            self.assertIsNot(self._verdict(now), _DEAD)

    def test_answer_to_anybody_clears(self):
        _fail(self.table, 1_000, 1_100)
        evidence.merge(self.table, 'e3', 'd3', [_told(0, 0, 1.0)], 1_101)
        evidence.merge(self.table, 'e2', 'd2', [_told()], 1_102)
        self.assertIsNot(self._verdict(1_102), _DEAD)

    def test_single_domain_left_takes_longer(self):
        peers = _others(1_100, e4='d1')
        evidence.merge(self.table, 'e4', 'd1', [_told()], 1_000)
        _fail(self.table, 1_000, 1_100)
        self.assertIsNot(self._verdict(1_100, peers), _DEAD)
        _fail(self.table, 1_120, 1_200)
        evidence.merge(self.table, 'e4', 'd1', [_told(span=200.0)], 1_200)
        self.assertIs(self._verdict(1_200, peers), _DEAD)

    def test_failures_of_a_paused_entry_do_not_count(self):
        evidence.record(self.table, _KEY, _PROBE, _Result.ANSWERED, 999, 1_000)
        for began_at in (1_010, 1_020, 1_030, 1_040):
            evidence.record(self.table, _KEY, _PROBE, _Result.TIMED_OUT,
                            began_at, 4_000)
        evidence.merge(self.table, 'e2', 'd2', [_told(span=3_000)], 4_000)
        self.assertIs(self._verdict(4_001), tables.Liveness.LIVE)
        self.assertEqual(self.table.pauses, 1)

    def test_lost_server_comes_back_after_steady_answers(self):
        _fail(self.table, 1_000, 1_000)
        self._verdict(1_000)
        _fail(self.table, 1_020, 1_100)
        evidence.merge(self.table, 'e2', 'd2', [_told()], 1_101)
        self.assertIs(self._verdict(1_101), _DEAD)
        for now in range(1_110, 1_300, 20):
            evidence.record(self.table, _KEY, _PROBE, _Result.ANSWERED, now,
                            now)
            self.assertIs(self._verdict(now), _DEAD)
        evidence.merge(self.table, 'e2', 'd2', [_told(0, 0)], 1_300)
        self._verdict(1_300)
        evidence.record(self.table, _KEY, _PROBE, _Result.ANSWERED, 1_490,
                        1_490)
        self.assertIs(self._verdict(1_501), tables.Liveness.LIVE)

    def test_health_that_says_well_does_not_cover_hanging_requests(self):
        verdict = None
        for now in range(1_000, 5_000, 50):
            evidence.record(self.table, _KEY, _PROBE, _Result.ANSWERED, now,
                            now)
            evidence.record(self.table, _KEY, _REQUEST, _Result.TIMED_OUT,
                            now - 40, now)
            told = _told(9, 0, 1.0, now - 1_000, _REQUEST)
            evidence.merge(self.table, 'e2', 'd2', [told], now)
            verdict = self._verdict(now)
            self.assertEqual(verdict is _DEAD, now >= 4_000)
        self.assertIs(verdict, _DEAD)

    def test_leaving_is_told_once_and_taken_back(self):
        evidence.mark_leaving(self.table, _KEY, True)
        first = liveness.step(self.table, {}, 1_000)
        second = liveness.step(self.table, {}, 1_020)
        self.assertEqual([item.after for item in first],
                         [tables.Liveness.LEAVING])
        self.assertFalse(second)
        evidence.mark_leaving(self.table, _KEY, False)
        self.assertIs(self._verdict(1_040), tables.Liveness.LIVE)

    def test_entry_that_loses_most_servers_distrusts_itself(self):
        names = 'abcde'
        self.table = _make_table(servers=names)
        for now in range(1_000, 1_800, 20):
            for name in names:
                _fail(self.table, now, now, server=name)
            evidence.merge(self.table, 'e2', 'd2', [_told()], now)
            for action in liveness.step(self.table, _others(now, e2='d2'), now):
                self.assertIsInstance(action, liveness.Change)
                self.assertIsNot(action.after, _DEAD)
        self.assertTrue(suspicions.is_isolated(self.table, 1_800))

    def test_cut_off_entry_knows_that_others_reach_the_server(self):
        _fail(self.table, 1_000, 1_100)
        self.assertFalse(liveness.is_cut_off(self.table, _KEY))
        evidence.merge(self.table, 'e2', 'd2', [_told(0, 0)], 1_110)
        self.assertTrue(liveness.is_cut_off(self.table, _KEY))


class PropertyTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None, database=None, max_examples=100)
    @given(
        st.lists(st.tuples(st.integers(1, 3), st.sampled_from(_Result),
                           st.integers(1, 60)),
                 min_size=10,
                 max_size=120))
    def test_nobody_is_condemned_by_one_domain_or_after_an_answer(self, tries):
        """Checked against the plain rule over the whole history."""
        table = _make_table()
        history = []
        now = 1_000
        for entry, result, gap in tries:
            now += gap
            history.append((now, entry, result))
            if entry == 1:
                evidence.record(table, _KEY, _PROBE, result, now - 1, now)
            else:
                recent = self._describe(history, entry, now)
                evidence.merge(table, f'e{entry}', f'd{entry}', [recent], now)
            peers = _others(now, e2='d2', e3='d3')
            before = table.servers[_KEY].liveness
            liveness.step(table, peers, now)
            if before is not _DEAD and table.servers[_KEY].liveness is _DEAD:
                self._check(history)

    def _describe(self, history, entry, now):
        failures = refused = 0
        began_at = now
        for at, who, result in reversed(history):
            if who != entry:
                continue
            if result is _Result.ANSWERED:
                break
            failures += 1
            refused += result is _Result.REFUSED
            began_at = at
        return _told(failures, refused, 0.0, now - began_at)

    def _check(self, history):
        since_answer = []
        for _, who, result in reversed(history):
            if result is _Result.ANSWERED:
                break
            since_answer.append(who)
        self.assertGreaterEqual(len(set(since_answer)), 2)


class ModelTest(unittest.TestCase):

    def test_killed_server_is_condemned_and_no_other(self):
        for seed in range(3):
            model = liveness_model.Model(seed, rate=5.0)
            model.run(1_000)
            model.servers['s1'].killed = True
            model.run(1_000)
            self.assertEqual(set(model.lost_at), {'s1'})

    def test_cut_off_grantor_condemns_nobody(self):
        """One entry that counts failures by itself condemns all servers."""
        model = liveness_model.Model(1, rate=5.0)
        model.run(1_000)
        grantor = model.entries[model.grantor]
        grantor.cut_servers = True
        model.run(3_000)
        self.assertFalse(model.lost_at)
        self.assertEqual(len(model.naive_lost_at), len(model.servers))

    def test_passed_bounds_are_found(self):
        good = benchmark.Detector(100.0, 200.0, 250.0, 0, 0)
        bad = benchmark.Detector(100.0, 200.0, 300.5, 1, 2)
        bounds = {'x': {'most_ms': 300, 'missed': 0, 'condemned': 0}}
        for ours, count in ((good, 0), (bad, 3)):
            row = benchmark.Row('x', ours, bad, bad, 0.0, 0.0)
            self.assertEqual(len(benchmark.find_breaches([row], bounds)), count)
        row = takeovers.Row('x', 280.0, 390.0, 0, 1, 0, 0)
        bounds = {'x': {'most': 380, 'missed': 0, 'needless': 0}}
        self.assertEqual(len(takeovers.find_breaches([row], bounds)), 2)


if __name__ == '__main__':
    unittest.main()
