"""Tests of the dispatcher's side of claims: doubt is never "not run"."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from concurrent import futures
import dataclasses
import unittest

from lentilmoor import claiming
from lentilmoor import clocks
from lentilmoor import inbox
from lentilmoor import outcomes
from lentilmoor import runs
from lentilmoor import transport
from lentilmoor.protocol import peer_pb2
from tests import pathhelp

_Reason = outcomes.Reason
_Verdict = peer_pb2.ClaimReply
_SETTINGS = pathhelp.make_settings()


class ClaimTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.clock = clocks.Clock()
        self.asked = []
        self.settled = []
        self.refused = 0
        self.verdicts = [peer_pb2.ClaimReply(verdict=_Verdict.GRANTED)]

    def _tell(self, message):
        if isinstance(message, inbox.SettleAsked):
            self.settled.append(message.message)
            accepted = len(self.settled) > self.refused
            message.reply.set_result(peer_pb2.SettleReply(accepted=accepted))
            return
        copy = peer_pb2.ClaimRequest()
        copy.CopyFrom(message.message)
        self.asked.append(copy)
        reply = self.verdicts[0]
        if len(self.verdicts) > 1:
            self.verdicts.pop(0)
        if reply is not None:
            message.reply.set_result(reply)

    def _claim(self, grantor=pathhelp.ENTRY_ID, deadline_ms='20000'):
        route = pathhelp.make_route(grantor=grantor)
        snapshot = pathhelp.make_snapshot(_SETTINGS, route)
        dispatcher = pathhelp.make_dispatcher(snapshot, self.clock)
        lines = claiming.Lines(self._tell, lambda: None, lambda work: work())
        call = pathhelp.make_call(_SETTINGS,
                                  self.clock.now(),
                                  method='POST',
                                  idempotency_key='i',
                                  lentilmoor_caller='c',
                                  lentilmoor_deadline_ms=deadline_ms)
        return claiming.make_claim(dispatcher, lines)(call, b'f' * 16)

    def test_a_granted_claim_is_settled_by_its_result(self):
        long = b'x' * (claiming.MAX_KEPT_BODY + 1)
        streamed = transport.Answer(200, [], b'', iter(()), lambda: None)
        for result, expected in ((pathhelp.make_not_run(_Reason.NO_OWNER),
                                  'not_run'),
                                 (outcomes.Unknown(_Reason.TIMED_OUT),
                                  'unknown'), (pathhelp.make_answer(),
                                               'answer'),
                                 (pathhelp.make_answer(long), ''), (streamed,
                                                                    '')):
            claimed = self._claim()
            self.assertIsInstance(claimed, runs.Claimed)
            claimed.settle(result)
            message = self.settled.pop()
            kinds = [
                name for name, is_set in (('not_run', message.not_run),
                                          ('unknown', message.unknown),
                                          ('answer',
                                           message.HasField('answer')))
                if is_set
            ]
            self.assertEqual(''.join(kinds), expected)
            self.assertEqual(message.attempt, self.asked[-1].attempt)

    def test_attempts_differ_and_claims_of_a_resend_are_the_same(self):
        self._claim()
        self._claim()
        first, again = self.asked[0], self.asked[1]
        self.assertEqual(first.digest, again.digest)
        self.assertEqual(first.fingerprint, again.fingerprint)
        self.assertNotEqual(first.attempt, again.attempt)

    def test_asking_again_keeps_the_attempt(self):
        self.verdicts = [
            peer_pb2.ClaimReply(verdict=_Verdict.NOT_GRANTOR),
            peer_pb2.ClaimReply(verdict=_Verdict.GRANTED)
        ]
        self.assertIsInstance(self._claim(), runs.Claimed)
        self.assertEqual(len({item.attempt for item in self.asked}), 1)
        self.assertEqual(len(self.asked), 2)

    def test_silence_is_unknown_and_the_attempt_is_given_back(self):
        cases = ((None, pathhelp.ENTRY_ID),
                 (peer_pb2.ClaimReply(verdict=_Verdict.NOT_GRANTOR),
                  pathhelp.ENTRY_ID), (None, ''), (None, 'not-known'))
        for verdict, grantor in cases:
            self.verdicts = [verdict]
            result = self._claim(grantor, deadline_ms='60')
            self.assertIsInstance(result, outcomes.Unknown)
            if grantor == pathhelp.ENTRY_ID:
                self.assertTrue(self.settled.pop().not_run)

    def test_verdicts_are_told_as_they_are(self):
        cases = ((_Verdict.RUNNING, outcomes.Unknown, _Reason.ALREADY_CLAIMED),
                 (_Verdict.ENDED, outcomes.Unknown, _Reason.RESULT_NOT_KEPT),
                 (_Verdict.MISMATCH, outcomes.NotRun,
                  _Reason.KEY_REUSED), (_Verdict.UNAVAILABLE, outcomes.NotRun,
                                        _Reason.CLAIM_UNAVAILABLE))
        for verdict, kind, reason in cases:
            self.verdicts = [peer_pb2.ClaimReply(verdict=verdict)]
            result = self._claim()
            self.assertIsInstance(result, kind)
            self.assertIs(result.reason, reason)

    def test_the_first_answer_comes_back_as_it_was(self):
        claimed = self._claim()
        first = dataclasses.replace(pathhelp.make_answer(b'first'), status=201)
        claimed.settle(first)
        kept = self.settled[0].answer
        self.verdicts = [
            peer_pb2.ClaimReply(verdict=_Verdict.ANSWERED, answer=kept)
        ]
        again = self._claim()
        self.assertEqual((again.status, again.headers, again.body),
                         (first.status, first.headers, first.body))

    def test_a_settlement_is_sent_until_it_is_accepted(self):
        self.refused = 2
        self._claim().settle(pathhelp.make_answer())
        self.assertEqual(len(self.settled), 3)

    def test_a_settlement_that_nobody_takes_is_given_up(self):
        self.refused = claiming.SETTLE_TRIES + 9
        self._claim().settle(pathhelp.make_answer())
        self.assertEqual(len(self.settled), claiming.SETTLE_TRIES)

    def test_a_peer_that_is_grantor_is_asked(self):
        reply = futures.Future()
        reply.set_result(self.verdicts[0])
        called = []

        class FakePeers:

            def call_claim(self, address, message, timeout_ms):
                called.append((address, message.shard, timeout_ms > 0))
                return reply

        route = pathhelp.make_route(grantor='e2')
        snapshot = dataclasses.replace(pathhelp.make_snapshot(_SETTINGS, route),
                                       peers={'e2': 'x:2'})
        dispatcher = pathhelp.make_dispatcher(snapshot, self.clock)
        lines = claiming.Lines(self._tell, FakePeers, lambda work: work())
        call = pathhelp.make_call(_SETTINGS,
                                  self.clock.now(),
                                  method='POST',
                                  idempotency_key='i',
                                  lentilmoor_deadline_ms='20000')
        result = claiming.make_claim(dispatcher, lines)(call, b'f' * 16)
        self.assertIsInstance(result, runs.Claimed)
        self.assertEqual(called, [('x:2', pathhelp.SHARD, True)])
        self.assertEqual(self.asked, [])


if __name__ == '__main__':
    unittest.main()
