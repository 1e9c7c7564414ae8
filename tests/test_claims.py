"""Tests of claims: one dispatch at most, whatever fails."""

import unittest

from lentilmoor import claimlogs
from lentilmoor import claims
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores

_SHARD = 'hsinchu/orders/0'
_RETENTION_S = 3600
_Kind = claimlogs.SettlementKind
_Verdict = claimtables.Verdict


class FakeStore:
    """Compare-and-swap over a dict."""

    def __init__(self):
        self.records: dict[str, stores.Record] = {}
        self.writes = 0

    def run(self, call):
        """Carries out a call of a table; returns the event."""
        if isinstance(call, claimtables.ReadSegments):
            return claimtables.SegmentsRead(call.prefix, self.list(call.prefix))
        return claimtables.SegmentSwapped(call.key, self.swap(call))

    def list(self, prefix):
        return tuple(record for key, record in sorted(self.records.items())
                     if key.startswith(prefix))

    def swap(self, call):
        self.writes += 1
        current = self.records.get(call.key)
        if (current.version if current else 0) != call.expected_version:
            return stores.Conflict(current)
        record = stores.Record(call.key, call.payload, self.writes)
        self.records[call.key] = record
        return record


class Grantor:
    """A table with its runner: one call of the store at a time."""

    def __init__(self, store, time, epoch=1):
        self.store = store
        self.time = time
        self.table = claimtables.make_table(_SHARD, epoch, _RETENTION_S,
                                            time.clock())
        self.replies = {}
        self.stepped_down = 0
        self.call = None
        self.handle(claimtables.AuthorityHeld(1e12))

    def handle(self, event):
        self._note(claims.apply(self.table, event, self.time.at))

    def step(self):
        self._note(claims.step_claims(self.table, self.time.at))

    def finish(self, outcome=None):
        """Ends the call that is under way."""
        call, self.call = self.call, None
        if outcome is None:
            self.handle(self.store.run(call))
        elif isinstance(call, claimtables.ReadSegments):
            self.handle(claimtables.SegmentsRead(call.prefix, outcome))
        else:
            self.handle(claimtables.SegmentSwapped(call.key, outcome))

    def run(self, ms=50, outcome=None):
        """Runs for some time, one step each 5 ms; calls end at once."""
        for _ in range(0, ms, 5):
            self.time.advance(5)
            self.step()
            while self.call is not None:
                self.finish(outcome)
                self.step()

    def ask(self,
            token,
            key='k',
            instance='e1',
            attempt=None,
            path='/orders',
            remaining_ms=2000):
        claim = claimlogs.Claim(
            claims.make_digest('hsinchu/orders', 'buyer', key),
            claims.make_fingerprint('POST', path, b''), instance,
            token if attempt is None else attempt)
        self.handle(claimtables.ClaimAsked(token, claim, remaining_ms))
        return claim

    def settle(self, token, claim, kind, answer=b''):
        self.handle(
            claimtables.SettleAsked(token, claim.digest, claim.attempt, kind,
                                    answer))

    def verdict(self, token):
        reply = self.replies.get(token)
        return reply.verdict if reply else None

    def _note(self, actions):
        for action in actions:
            match action:
                case claimtables.Reply() | claimtables.SettleReply():
                    assert action.token not in self.replies, action
                    self.replies[action.token] = action
                case claimtables.StepDown():
                    self.stepped_down = action.epoch
                case _:
                    assert self.call is None
                    self.call = action


class ClaimsTest(unittest.TestCase):

    def setUp(self):
        self.store = FakeStore()
        self.time = clocks.ManualTime(1000.0)
        self.grantor = Grantor(self.store, self.time)
        self.grantor.run()

    def test_grants_only_after_the_commit(self):
        self.grantor.ask(1)
        self.time.advance(30)
        self.grantor.step()
        self.assertIsNotNone(self.grantor.call)
        self.assertIsNone(self.grantor.verdict(1))
        self.grantor.finish()
        self.assertIs(self.grantor.verdict(1), _Verdict.GRANTED)

    def test_first_answer_is_given_again_also_by_the_next_grantor(self):
        claim = self.grantor.ask(1)
        self.grantor.run()
        self.grantor.ask(2, instance='e2')
        self.assertIs(self.grantor.verdict(2), _Verdict.RUNNING)
        self.grantor.settle(3, claim, _Kind.ANSWERED, b'placed')
        self.grantor.ask(4, instance='e2')
        self.grantor.ask(5, path='/other')
        self.assertEqual(self.grantor.replies[4].answer, b'placed')
        self.assertIs(self.grantor.verdict(5), _Verdict.MISMATCH)
        self.grantor.run(200)
        successor = Grantor(self.store, self.time, epoch=2)
        successor.ask(6, instance='e3')
        successor.run()
        self.assertEqual(successor.replies[6].answer, b'placed')

    def test_store_down_refuses_at_once(self):
        failed = outcomes.Failed(outcomes.Reason.TIMED_OUT)
        self.grantor.ask(1)
        self.grantor.run(outcome=failed)
        self.grantor.ask(2, key='other')
        self.assertIs(self.grantor.verdict(1), _Verdict.UNAVAILABLE)
        self.assertIs(self.grantor.verdict(2), _Verdict.UNAVAILABLE)
        self.grantor.run(1000)
        self.grantor.ask(3)
        self.grantor.run()
        self.assertIs(self.grantor.verdict(3), _Verdict.GRANTED)

    def test_archives_keep_what_the_slots_no_longer_hold(self):
        asked = 0
        for asked in range(1, 3000):
            claim = self.grantor.ask(asked, key=str(asked))
            self.grantor.run(25)
            self.grantor.settle(-asked, claim, _Kind.ANSWERED, b'%d' % asked)
        self.assertGreater(self.grantor.table.counters.archives, 5)
        successor = Grantor(self.store, self.time, epoch=2)
        for token in range(1, asked + 1):
            successor.ask(token, key=str(token), instance='e2', attempt=9)
        successor.run()
        for token in range(1, asked):
            self.assertIn(successor.verdict(token),
                          (_Verdict.ANSWERED, _Verdict.ENDED, _Verdict.RUNNING))
        self.assertEqual(successor.replies[asked - 1].answer,
                         b'%d' % (asked - 1))


if __name__ == '__main__':
    unittest.main()
