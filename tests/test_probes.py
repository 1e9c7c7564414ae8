"""Tests of probes, and of who follows a silent grantor."""

import math
import unittest

from lentilmoor import evidence
from lentilmoor import probes
from lentilmoor import successors

_SHARD = 't/s/0'
_CANDIDATES = ('g', 'a', 'b', 'c', 'd')
_PEERS = ('a', 'b', 'c', 'd')


def _make(servers):
    views = evidence.LivenessTable('e1', 'd1')
    known = {(_SHARD, name): '' for name in servers}
    for key in known:
        evidence.add_server(views, key)
    return views, known


class ProbesTest(unittest.TestCase):

    def test_answers_make_probes_needless(self):
        views, known = _make('a')
        table = probes.ProbeTable()
        probes.assign(table, known, known.keys(), set())
        sent = 0
        for now in range(1_000, 4_000, 20):
            if now < 3_000:
                evidence.record(views, (_SHARD, 'a'), evidence.Source.REQUEST,
                                evidence.Result.ANSWERED, now, now)
            for probe in probes.step(table, views, now):
                probes.note_end(table, probe)
                sent += 1
        self.assertEqual(sent, 2)

    def test_suspect_is_probed_often_but_within_bounds(self):
        views, known = _make('a')
        table = probes.ProbeTable()
        probes.assign(table, known, known.keys(), set())
        evidence.record(views, (_SHARD, 'a'), evidence.Source.PROBE,
                        evidence.Result.REFUSED, 1_000, 1_000)
        sent = [
            now for now in range(1_000, 1_200, 10)
            if probes.step(table, views, now)
        ]
        self.assertEqual(sent, [1_000, 1_030, 1_060, 1_090])

    def test_many_suspects_share_one_budget(self):
        names = [f's{index}' for index in range(500)]
        views, known = _make(names)
        table = probes.ProbeTable()
        probes.assign(table, known, known.keys(), set())
        sent = sum(
            len(probes.step(table, views, now))
            for now in range(1_000, 2_000, 20))
        self.assertLessEqual(sent, 2 * table.paces.burst)
        self.assertGreater(table.held, 0)

    def test_witnesses_are_asked_once_if_most_servers_fail(self):
        views, known = _make('abcd')
        table = probes.ProbeTable()
        probes.assign(table, known, {(_SHARD, 'a')}, set())
        first = probes.step(table, views, 1_000.0)
        self.assertEqual([probe.server for probe in first], ['a'])
        views.isolated_since = 1_010.0
        second = probes.step(table, views, 1_020.0)
        self.assertEqual([probe.server for probe in second], ['b', 'c', 'd'])
        self.assertFalse(probes.step(table, views, 1_040.0))


class SuccessorTest(unittest.TestCase):

    def _watch(self, silent, missing=()):
        watch = successors.GrantorWatch('g', 125.0, 1_000.0)
        now = 1_000.0 + silent * watch.renew_ms
        for peer in _PEERS:
            age = math.inf if peer in missing else 10.0
            successors.note_answer(watch, peer, age, now)
        return watch, now

    def _advise(self, watch, me, now, heard=_PEERS):
        return successors.advise(watch, me, _CANDIDATES, frozenset(heard), now)

    def test_first_candidate_takes_over_and_others_wait_for_it(self):
        watch, now = self._watch(2.7, _PEERS)
        self.assertIs(self._advise(watch, 'a', now), successors.Advice.TAKE)
        for later in ('b', 'c', 'd'):
            self.assertIsNot(self._advise(watch, later, now),
                             successors.Advice.TAKE)

    def test_next_candidate_does_if_the_first_is_gone_too(self):
        watch, now = self._watch(2.7, _PEERS)
        self.assertIs(self._advise(watch, 'b', now, ('c', 'd')),
                      successors.Advice.TAKE)

    def test_entry_that_alone_misses_the_grantor_keeps_it(self):
        watch, now = self._watch(4.0)
        self.assertIsNot(self._advise(watch, 'a', now), successors.Advice.TAKE)

    def test_peers_are_asked_before_and_not_too_often(self):
        watch = successors.GrantorWatch('g', 125.0, 1_000.0)
        advice = [
            self._advise(watch, 'a', now) for now in range(1_000, 1_300, 20)
        ]
        self.assertEqual(advice.count(successors.Advice.ASK), 2)
        self.assertNotIn(successors.Advice.ASK, advice[:10])

    def test_entry_that_hears_nobody_keeps_it_unless_none_is_listed(self):
        watch, now = self._watch(50.0)
        watch.answers.clear()
        advice = self._advise(watch, 'a', now, heard=())
        self.assertIsNot(advice, successors.Advice.TAKE)
        alone = successors.advise(watch, 'a', ('g', 'a'), frozenset(), now)
        self.assertIs(alone, successors.Advice.TAKE)

    def test_few_that_are_heard_are_enough_after_a_while(self):
        watch, now = self._watch(5.0, ('b',))
        for peer in ('c', 'd'):
            del watch.answers[peer]
        self.assertIsNot(self._advise(watch, 'a', now, ('b',)),
                         successors.Advice.TAKE)
        watch, now = self._watch(6.1, ('b',))
        self.assertIs(self._advise(watch, 'a', now, ('b',)),
                      successors.Advice.TAKE)

    def test_waking_from_a_pause_starts_anew(self):
        watch, now = self._watch(9.0, _PEERS)
        successors.note_paused(watch, now)
        self.assertIs(self._advise(watch, 'a', now), successors.Advice.KEEP)

    def test_shard_without_a_grantor_gets_the_first_candidate(self):
        watch = successors.GrantorWatch('', 125.0, 1_000.0)
        self.assertIs(self._advise(watch, 'a', 1_000.0), successors.Advice.TAKE)
        self.assertIs(self._advise(watch, 'b', 1_000.0), successors.Advice.KEEP)


if __name__ == '__main__':
    unittest.main()
