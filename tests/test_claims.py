"""Tests of claims: one dispatch at most, whatever fails."""

import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from lentilmoor import claimlogs
from lentilmoor import claims
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from tests import claimworlds

_SEEDS = 500
_STEPS = 120
# So small that schedules fill slots and archives many times over.
_SMALL_LOG = {
    'TAIL_SLOTS': 6,
    'ARCHIVE_AT': 2,
    'PAGE_ARCHIVES': 2,
    'ARCHIVE_BYTES': 300,
}
_TIMED_OUT = outcomes.Failed(outcomes.Reason.TIMED_OUT)
_DOUBLE = (claimworlds.DISPATCHED_TWICE, claimworlds.GRANTED_AGAIN)
_Kind = claimlogs.SettlementKind
_Verdict = claimtables.Verdict


class Runner(claimworlds.Grantor):
    """A grantor with one entry's replies by token."""

    def __init__(self, store, time, epoch=1, authority_until=1e12):
        super().__init__(epoch, time, self._keep)
        self.store = store
        self.replies = {}
        self.stepped_down = 0
        if authority_until:
            self.handle(claimtables.AuthorityHeld(authority_until))

    def run(self, ms=50, outcome=None):
        """Runs for some time, one step each 5 ms; calls end at once."""
        for _ in range(0, ms, 5):
            self.time.advance(5)
            self.step()
            while self.call is not None:
                self.finish(outcome or self.store.run(self.call))
                self.step()

    def send(self):
        """Steps until a call of the store is under way."""
        while self.call is None:
            self.time.advance(5)
            self.step()

    def ask(self, token, key='k', instance='e1', attempt=None, path='/orders'):
        claim = claimlogs.Claim(
            claims.make_digest('hsinchu/orders', 'buyer', key),
            claims.make_fingerprint('POST', path, b''), instance,
            token if attempt is None else attempt)
        self.handle(claimtables.ClaimAsked(token, claim, 2000))
        return claim

    def settle(self, token, claim, kind, answer=b''):
        self.handle(
            claimtables.SettleAsked(token, claim.digest, claim.attempt, kind,
                                    answer))

    def verdict(self, token):
        reply = self.replies.get(token)
        return reply.verdict if reply else None

    def _keep(self, action):
        if isinstance(action, claimtables.StepDown):
            self.stepped_down = action.epoch
            return
        assert action.token not in self.replies, action
        self.replies[action.token] = action


class ClaimsTest(unittest.TestCase):

    def setUp(self):
        self.store = claimworlds.FakeStore()
        self.time = clocks.ManualTime(1000.0)
        self.grantor = Runner(self.store, self.time)
        self.grantor.run()

    def _succeed(self, epoch=2):
        successor = Runner(self.store, self.time, epoch)
        successor.run()
        return successor

    def test_grants_only_after_the_commit(self):
        self.grantor.ask(1)
        self.grantor.send()
        self.assertIsNone(self.grantor.verdict(1))
        self.grantor.finish(self.store.run(self.grantor.call))
        self.assertIs(self.grantor.verdict(1), _Verdict.GRANTED)

    def test_first_answer_is_given_again_also_by_the_next_grantor(self):
        claim = self.grantor.ask(1)
        self.grantor.run()
        self.grantor.ask(2, instance='e2')
        self.grantor.settle(3, claim, _Kind.ANSWERED, b'placed')
        self.grantor.ask(4, instance='e2')
        self.grantor.ask(5, path='/other')
        self.assertIs(self.grantor.verdict(2), _Verdict.RUNNING)
        self.assertEqual(self.grantor.replies[4].answer, b'placed')
        self.assertIs(self.grantor.verdict(5), _Verdict.MISMATCH)
        self.grantor.run(200)
        successor = self._succeed()
        successor.ask(6, instance='e3')
        self.assertEqual(successor.replies[6].answer, b'placed')

    def test_lost_dispatcher_makes_it_unknown(self):
        self.grantor.ask(1)
        self.grantor.run()
        self.grantor.handle(claimtables.InstanceLost('e1'))
        self.grantor.ask(2, instance='e2')
        self.assertIs(self.grantor.verdict(2), _Verdict.ENDED)

    def test_late_answer_of_a_lost_dispatcher_is_kept(self):
        claim = self.grantor.ask(1)
        self.grantor.run()
        self.grantor.handle(claimtables.InstanceLost('e1'))
        self.grantor.settle(2, claim, _Kind.ANSWERED, b'placed')
        self.grantor.ask(3, instance='e2')
        self.assertEqual(self.grantor.replies[3].answer, b'placed')

    def test_released_claim_may_be_claimed_again(self):
        claim = self.grantor.ask(1)
        self.grantor.run()
        self.grantor.settle(2, claim, _Kind.RELEASED)
        self.grantor.ask(3, instance='e2')
        self.grantor.run()
        self.assertIs(self.grantor.verdict(3), _Verdict.GRANTED)
        self.grantor.settle(4, claim, _Kind.RELEASED)  # Late and once more.
        self.grantor.ask(5, instance='e3')
        self.assertIs(self.grantor.verdict(5), _Verdict.RUNNING)

    def test_same_attempt_may_ask_again_also_the_next_grantor(self):
        self.grantor.ask(1, attempt=7)
        self.grantor.run()
        self.grantor.ask(2, attempt=7)
        successor = self._succeed()
        successor.ask(3, attempt=7)
        successor.ask(4, attempt=8)
        self.assertIs(self.grantor.verdict(2), _Verdict.GRANTED)
        self.assertIs(successor.verdict(3), _Verdict.GRANTED)
        self.assertIs(successor.verdict(4), _Verdict.RUNNING)

    def test_store_down_refuses_at_once(self):
        self.grantor.ask(1)
        self.grantor.run(outcome=_TIMED_OUT)
        self.grantor.ask(2, key='other')
        for token in (1, 2):
            reply = self.grantor.replies[token]
            self.assertIs(reply.verdict, _Verdict.UNAVAILABLE)
            self.assertGreater(reply.retry_after_ms, 0)
        self.grantor.run(1000)
        self.grantor.ask(3)
        self.grantor.run()
        self.assertIs(self.grantor.verdict(3), _Verdict.GRANTED)

    def test_claim_that_landed_without_a_reply_does_not_stay_unknown(self):
        self.grantor.ask(1)
        self.grantor.send()
        self.store.run(self.grantor.call)
        self.grantor.finish(_TIMED_OUT)
        self.assertIs(self.grantor.verdict(1), _Verdict.UNAVAILABLE)
        self.grantor.run(1000)
        successor = self._succeed()
        successor.ask(2, instance='e2')
        successor.run()
        self.assertIs(successor.verdict(2), _Verdict.GRANTED)

    def test_paused_grantor_cannot_commit_after_its_successor_read(self):
        self.grantor.ask(1)
        self.grantor.send()
        successor = self._succeed()
        self.grantor.finish(self.store.run(self.grantor.call))
        self.assertIs(self.grantor.verdict(1), _Verdict.NOT_GRANTOR)
        self.assertEqual(self.grantor.stepped_down, 2)
        successor.ask(2)
        successor.run()
        self.assertIs(successor.verdict(2), _Verdict.GRANTED)

    def test_successor_waits_for_authority(self):
        successor = Runner(self.store, self.time, 2, authority_until=0)
        successor.ask(1)
        successor.run(500)
        self.assertIsNone(claims.next_step_at(successor.table, self.time.at))
        self.grantor.ask(2)
        self.grantor.run()
        self.assertIs(self.grantor.verdict(2), _Verdict.GRANTED)
        successor.handle(claimtables.AuthorityHeld(1e12))
        successor.run()
        self.assertIs(successor.verdict(1), _Verdict.RUNNING)

    def test_outcome_of_an_earlier_tables_call_is_not_taken(self):
        self.grantor.ask(1)
        self.grantor.send()
        call = self.grantor.call
        landed = self.store.run(call)
        successor = Runner(self.store, self.time, 1)
        for _ in range(2):  # The tail, and the first page of archives.
            successor.send()
            successor.handle(claimtables.SegmentSwapped(call.key, landed))
            successor.finish(self.store.run(successor.call))
        successor.run()
        successor.ask(2)
        self.assertIs(successor.verdict(2), _Verdict.RUNNING)

    def test_own_segment_that_landed_late_is_taken_in(self):
        self.grantor.ask(1)
        self.grantor.send()
        successor = Runner(self.store, self.time, 1)
        for _ in range(2):
            successor.send()
            successor.finish(self.store.run(successor.call))
        successor.send()
        late = self.store.run(self.grantor.call)
        successor.handle(claimtables.SegmentSwapped(self.grantor.call.key,
                                                    late))
        successor.run()
        successor.ask(2)
        self.assertIs(successor.verdict(2), _Verdict.RUNNING)

    def test_without_the_log_or_authority_it_does_not_say_not_run(self):
        successor = Runner(self.store, self.time, 2)
        successor.ask(1)
        successor.run(2500, outcome=_TIMED_OUT)
        self.assertIs(successor.verdict(1), _Verdict.ENDED)
        self.grantor.table.authority_until = self.time.at
        self.grantor.ask(2)
        self.grantor.run(outcome=_TIMED_OUT)
        self.assertIs(self.grantor.verdict(2), _Verdict.ENDED)

    def test_full_memory_refuses_and_forgets_nothing_early(self):
        limits = claimtables.Limits(max_claims=1)
        self.grantor.table.limits = limits
        claim = self.grantor.ask(1, key='a')
        self.grantor.run()
        self.grantor.settle(2, claim, _Kind.ENDED)
        self.grantor.ask(3, key='b')
        self.grantor.ask(4, key='a', instance='e2')
        self.assertIs(self.grantor.verdict(3), _Verdict.UNAVAILABLE)
        self.assertIs(self.grantor.verdict(4), _Verdict.ENDED)
        self.time.advance(claimworlds.RETENTION_S * clocks.MS_PER_S + 1)
        self.grantor.run()
        self.grantor.ask(5, key='b')
        self.grantor.run()
        self.assertIs(self.grantor.verdict(5), _Verdict.GRANTED)

    def test_group_commits_stay_within_their_budget(self):
        before = self.store.writes
        limits = self.grantor.table.limits
        for token in range(1000):
            self.grantor.ask(token, key=str(token))
            self.grantor.run(5)
        granted = [self.grantor.verdict(token) for token in range(900)]
        self.assertEqual(set(granted), {_Verdict.GRANTED})
        self.assertLessEqual(self.store.writes - before,
                             5 * limits.writes_per_s + limits.burst + 1)


class SchedulesTest(unittest.TestCase):
    """Schedules of faults, ours and three naive versions."""

    def test_no_seeded_schedule_breaks_a_promise(self):
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                claimworlds.World(random.Random(seed)).run(_STEPS)

    def test_no_seeded_schedule_breaks_a_promise_with_a_small_log(self):
        archives = 0
        with mock.patch.multiple(claimlogs, **_SMALL_LOG):
            for seed in range(_SEEDS // 2):
                with self.subTest(seed=seed):
                    world = claimworlds.World(random.Random(seed))
                    world.run(_STEPS)
                    archives += sum(node.grantor.table.counters.archives
                                    for node in world.nodes)
        self.assertGreater(archives, 100)

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=60)
    @hypothesis.given(strategies.randoms(use_true_random=False))
    def test_hypothesis_finds_no_schedule_that_breaks_a_promise(self, rng):
        claimworlds.World(rng).run(_STEPS)

    def test_naive_versions_run_requests_twice(self):
        for make in (claimworlds.EntryMemory, claimworlds.GrantorMemory,
                     claimworlds.Unfenced):
            with self.subTest(make.__name__):
                found = {
                    claimworlds.find_violation(seed, _STEPS, make)
                    for seed in range(_SEEDS // 2)
                }
                self.assertTrue(found.intersection(_DOUBLE), found)


if __name__ == '__main__':
    unittest.main()
