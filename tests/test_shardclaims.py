"""Tests of a grantor's claims: every question gets its one reply."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from concurrent import futures
import unittest

from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import shardclaims
from lentilmoor.protocol import peer_pb2
from tests import claimworlds

_SHARD = claimworlds.SHARD
_FOREVER = 1e9
_Verdict = peer_pb2.ClaimReply


class ShardClaimsTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime(1_000.0)
        self.store = claimworlds.FakeStore()
        self.calls = []
        self.state = shardclaims.ShardClaims(
            self.time.clock(), lambda shard, call: self.calls.append(call))
        self._serve(1)

    def _serve(self, epoch):
        term = shardclaims.Term(_SHARD, epoch, _FOREVER, 3_600, 1)
        shardclaims.serve(self.state, term, self.time.at)

    def _run(self, store_down=False):
        """Runs until nothing is left to do."""
        for _ in range(100):
            self.time.advance(50.0)
            shardclaims.step(self.state, self.time.at)
            calls, self.calls[:] = list(self.calls), []
            for call in calls:
                self._finish(call, store_down)

    def _finish(self, call, store_down):
        outcome = outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE)
        if not store_down:
            outcome = self.store.run(call)
        if isinstance(call, claimtables.ReadSegments):
            event = claimtables.SegmentsRead(call.prefix, outcome)
        else:
            event = claimtables.SegmentSwapped(call.key, outcome)
        shardclaims.take_event(self.state, _SHARD, event, self.time.at)

    def _ask(self, attempt, shard=_SHARD, fingerprint=b'f' * 16):
        reply = futures.Future()
        message = peer_pb2.ClaimRequest(shard=shard,
                                        digest=b'd' * 16,
                                        fingerprint=fingerprint,
                                        instance='e1',
                                        attempt=attempt,
                                        remaining_ms=2_000)
        shardclaims.ask(self.state, message, reply, self.time.at)
        return reply

    def _settle(self, attempt, **fields):
        reply = futures.Future()
        message = peer_pb2.SettleRequest(shard=_SHARD,
                                         digest=b'd' * 16,
                                         attempt=attempt,
                                         instance='e1',
                                         **fields)
        shardclaims.settle(self.state, message, reply, self.time.at)
        return reply

    def _verdict(self, reply):
        self.assertTrue(reply.done())
        return reply.result().verdict

    def test_a_claim_is_granted_once_and_only_after_its_commit(self):
        first, second = self._ask(1), self._ask(2)
        self.assertFalse(first.done())
        self.assertEqual(self.store.records, {})
        self._run()
        self.assertEqual(self._verdict(first), _Verdict.GRANTED)
        self.assertEqual(self._verdict(second), _Verdict.RUNNING)
        self.assertTrue(self.store.records)

    def test_a_resend_gets_the_first_answer(self):
        self._ask(1)
        self._run()
        answer = peer_pb2.StoredAnswer(status=201, body=b'first')
        settled = self._settle(1, answer=answer)
        self._run()
        self.assertTrue(settled.result().accepted)
        again = self._ask(2)
        self._run()
        self.assertEqual(self._verdict(again), _Verdict.ANSWERED)
        self.assertEqual(again.result().answer, answer)

    def test_a_request_that_did_not_run_may_be_claimed_again(self):
        for fields, verdict in (({
                'not_run': True
        }, _Verdict.GRANTED), ({
                'unknown': True
        }, _Verdict.ENDED)):
            self.setUp()
            self._ask(1)
            self._run()
            self._settle(1, **fields)
            self._run()
            again = self._ask(2)
            self._run()
            self.assertEqual(self._verdict(again), verdict)

    def test_a_key_used_for_another_request_is_told(self):
        self._ask(1)
        self._run()
        other = self._ask(2, fingerprint=b'o' * 16)
        self._run()
        self.assertEqual(self._verdict(other), _Verdict.MISMATCH)

    def test_nothing_is_granted_while_the_store_is_down(self):
        unread = self._ask(1)
        self._run(store_down=True)
        # What was claimed before is not known, so this is no "not run".
        self.assertEqual(self._verdict(unread), _Verdict.ENDED)
        self._run()
        read = self._ask(2)
        self._run(store_down=True)
        self.assertEqual(self._verdict(read), _Verdict.UNAVAILABLE)
        # The first question after an outage only finds that it is over.
        self._ask(3)
        self._run()
        after = self._ask(4)
        self._run()
        self.assertEqual(self._verdict(after), _Verdict.GRANTED)

    def test_the_next_grantor_knows_what_was_granted(self):
        self._ask(1)
        self._run()
        self._serve(2)
        again = self._ask(2)
        self._run()
        self.assertEqual(self._verdict(again), _Verdict.RUNNING)

    def test_who_waits_is_sent_on_when_the_shard_goes(self):
        waiting, settling = self._ask(1), self._settle(9, not_run=True)
        shardclaims.drop(self.state, _SHARD)
        self.assertEqual(self._verdict(waiting), _Verdict.NOT_GRANTOR)
        self.assertTrue(settling.done())
        self.assertEqual(self._verdict(self._ask(2)), _Verdict.NOT_GRANTOR)
        self.assertFalse(self._settle(1, not_run=True).result().accepted)
        self.assertEqual(self._verdict(self._ask(3, shard='hsinchu/orders/1')),
                         _Verdict.NOT_GRANTOR)

    def test_no_reply_is_kept_once_given(self):
        replies = [self._ask(number) for number in range(1, 20)]
        self._run()
        self.assertTrue(all(reply.done() for reply in replies))
        self.assertEqual(self.state.waiting, {})


if __name__ == '__main__':
    unittest.main()
