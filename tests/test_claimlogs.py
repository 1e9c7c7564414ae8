"""Tests of the log of claims, its sets and the kept answers."""

from array import array
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from lentilmoor import answers
from lentilmoor import claimcodecs
from lentilmoor import claimcommits
from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores
from tests import claimworlds
from tests import test_claims

_Kind = claimlogs.SettlementKind
_Verdict = claimtables.Verdict
_CLAIM = claimlogs.Claim(bytes(range(16)), b'12345678', 'e1', 2**60)


def _record(value):
    return stores.Record('key', value, 1)


class CodecTest(unittest.TestCase):

    def test_tail_is_read_as_it_was_written(self):
        settlement = claimlogs.Settlement(
            claimlogs.Claim(bytes(16), b'87654321', '', 4), _Kind.ANSWERED,
            b'answer')
        tail = claimlogs.Tail(3, 9, 1234.0, (settlement,), (_CLAIM,))
        value = claimcodecs.encode_tail(tail)
        self.assertEqual(claimcodecs.decode_tail(_record(value)), tail)

    def test_archive_is_read_as_it_was_written(self):
        run = claimsets.Run(array('Q', [1, 2**64 - 1]), array('I', [7, 8]), 5.0)
        archive = claimlogs.Archive(3, 9, 5.0, run, (_CLAIM,))
        value = claimcodecs.encode_archive(archive)
        self.assertEqual(claimcodecs.decode_archive(_record(value)), archive)

    def test_what_does_not_parse_is_a_typed_failure(self):
        for decode in (claimcodecs.decode_tail, claimcodecs.decode_archive):
            failed = decode(_record(b'\xff\xff'))
            self.assertIs(failed.reason, outcomes.Reason.INVALID)


class ClaimSetTest(unittest.TestCase):

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=40)
    @hypothesis.given(strategies.randoms(use_true_random=False),
                      strategies.integers(1, 300))
    def test_agrees_with_a_dict_until_the_retention(self, rng, number):
        held = {}
        with mock.patch.multiple(claimsets, RECENT_LIMIT=4, RUN_LIMIT=32):
            claims = claimsets.ClaimSet(retention_ms=1000.0)
            now = 0.0
            for _ in range(number):
                now += rng.randrange(20)
                digest = rng.randbytes(16)
                claimsets.add(claims, digest, digest[8:], now)
                held[digest] = now
                claimsets.expire(claims, now)
        for digest, made in held.items():
            if made + 1000.0 >= now:
                self.assertEqual(claimsets.find(claims, digest),
                                 claimsets.get_mark(digest[8:]))
        self.assertIsNone(claimsets.find(claims, b'absent' * 3))

    def test_forgets_after_the_retention(self):
        claims = claimsets.ClaimSet(retention_ms=1000.0)
        claimsets.add(claims, _CLAIM.digest, _CLAIM.fingerprint, 0.0)
        self.assertEqual(claimsets.expire(claims, 1000.0), 0)
        self.assertEqual(claimsets.expire(claims, 1001.0), 1)
        self.assertEqual(claimsets.count(claims), 0)


class AnswersTest(unittest.TestCase):

    def test_keeps_the_first_answer_and_drops_the_oldest(self):
        table = answers.Answers(max_bytes=700, max_answer_bytes=10)
        self.assertTrue(answers.keep(table, b'a', b'first'))
        self.assertFalse(answers.keep(table, b'a', b'second'))
        self.assertFalse(answers.keep(table, b'b', b'x' * 11))
        self.assertEqual(answers.find(table, b'a'), b'first')
        for digest in (b'c', b'd', b'e'):
            answers.keep(table, digest, b'1234567890')
        self.assertIsNone(answers.find(table, b'a'))
        self.assertLessEqual(table.used_bytes, 700)


class ArchivesTest(unittest.TestCase):
    """The log as slots and archives are filled and written again."""

    def setUp(self):
        self.store = claimworlds.FakeStore()
        self.time = clocks.ManualTime(1000.0)
        patch = mock.patch.multiple(claimlogs,
                                    TAIL_SLOTS=16,
                                    ARCHIVE_AT=8,
                                    PAGE_ARCHIVES=2,
                                    ARCHIVE_BYTES=400)
        patch.start()
        self.addCleanup(patch.stop)
        self.grantor = test_claims.Runner(self.store, self.time)
        self.grantor.run()

    def _fill(self, first, last):
        for number in range(first, last):
            claim = self.grantor.ask(number, key=str(number))
            self.grantor.run(30)
            self.grantor.settle(-number, claim, _Kind.ANSWERED, b'%d' % number)

    def test_archives_keep_what_the_slots_no_longer_hold(self):
        self._fill(1, 300)
        self.grantor.run(200)
        successor = test_claims.Runner(self.store, self.time, epoch=2)
        successor.run()
        self.assertGreater(len(successor.table.log.archive_versions), 4)
        for number in range(1, 300):
            successor.ask(number, key=str(number), instance='e2')
            self.assertEqual(successor.replies[number].answer, b'%d' % number)

    def test_archives_past_the_retention_are_written_again(self):
        self._fill(1, 100)
        keys = len(self.store.records)
        for start in range(100, 500, 100):
            self.time.advance(claimworlds.RETENTION_S * clocks.MS_PER_S + 1)
            self._fill(start, start + 100)
        self.assertLessEqual(len(self.store.records), keys + 1)

    def test_slots_are_not_written_again_before_they_are_archived(self):
        failed = outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE)
        for number in range(1, 40):
            self.grantor.ask(number, key=str(number))
            for _ in range(10):
                self.time.advance(5)
                self.grantor.step()
                call = self.grantor.call
                if call is not None and '/archive/' in call.key:
                    self.grantor.finish(failed)
                elif call is not None:
                    self.grantor.finish(self.store.run(call))
        self.assertEqual(self.grantor.table.log.sequence,
                         claimlogs.TAIL_SLOTS - 1)
        successor = test_claims.Runner(self.store, self.time, epoch=2)
        successor.run()
        successor.ask(1, key='1', instance='e2')
        self.assertIs(successor.verdict(1), _Verdict.RUNNING)

    def test_gap_in_what_was_read_is_noticed(self):
        self._fill(1, 6)
        successor = test_claims.Runner(self.store, self.time, epoch=2)
        successor.send()
        records = self.store.run(successor.call)
        successor.finish(records[:2] + records[3:])
        successor.send()
        successor.finish(())
        self.assertIs(successor.table.phase, claimtables.Phase.READING)
        self.assertIn('changed', successor.table.problem)
        successor.run(500)
        self.assertIs(successor.table.phase, claimtables.Phase.SERVING)

    def test_segment_that_does_not_parse_keeps_it_from_serving(self):
        key = claimlogs.tail_key(claimworlds.SHARD, 1)
        broken = stores.Record(key, b'\xff', 99)
        self.store.records[key] = broken
        successor = test_claims.Runner(self.store, self.time, epoch=2)
        successor.run(500)
        self.assertIs(successor.table.phase, claimtables.Phase.READING)
        self.assertIn(key, successor.table.problem)

    def test_gathers_longer_the_nearer_writes_are_to_the_budget(self):
        table = self.grantor.table
        table.tokens = table.limits.burst
        self.assertEqual(claimcommits.gather_ms(table), 0.0)
        table.tokens = 0.0
        self.assertEqual(claimcommits.gather_ms(table), 12.5)

    def test_shards_share_the_budget_of_the_store(self):
        for shards in (1, 2, 5, 4900):
            limits = claimtables.share_budget(shards)
            self.assertLessEqual(limits.writes_per_s * shards,
                                 claimtables.STORE_WRITES_PER_S + 1e-6)
            self.assertGreater(limits.retry_ms * limits.writes_per_s,
                               clocks.MS_PER_S)


if __name__ == '__main__':
    unittest.main()
