"""Credentials: stored hashed, compared in constant time, kept in outages."""

import hmac
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import credentials
from lentilmoor import outcomes
from lentilmoor import verifiers
from standins import store_state

_ANN = credentials.Identity('shop', 'ann')


class CredentialsTest(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(at=1_000.0)
        clock = self.time.clock()
        self.state = store_state.StoreState(clock)
        self.store = store_state.open_store(self.state, clock)
        self.verify = verifiers.make_verifier(self.store, clock)

    def make(self, identity=_ANN):
        return credentials.make(self.store, identity, self.time.clock())

    def reason(self, text):
        result = self.verify(text)
        return None if result == _ANN else result.reason

    def test_only_the_whole_token_is_accepted(self):
        text = self.make().show()
        self.make(credentials.Identity('other', 'ann'))
        self.assertEqual(self.verify(text), _ANN)
        for wrong in (text[:-1], text + 'x', text.replace('shop', 'other'),
                      text.replace('ann', 'bob'), '', 'shop.ann', 'shop.ann.',
                      '..', text + '.x', 'x' * 10_000, 'shop.ann.\u00e9'):
            with self.subTest(wrong[:20]):
                self.assertEqual(self.reason(wrong),
                                 outcomes.Reason.NOT_AUTHORIZED)

    def test_the_secret_is_not_stored(self):
        token = self.make()
        value = self.store.read('credentials/shop').value
        self.assertNotIn(token.secret.encode(), value)
        self.assertNotIn(b'token', value)

    def test_comparison_is_constant_time_and_hashes_for_unknown_names_too(self):
        text = self.make().show()
        for wrong in (text[:-1] + '!', text.replace('ann', 'bob'),
                      text.replace('shop', 'nobody')):
            with mock.patch.object(credentials,
                                   'hash_secret',
                                   wraps=credentials.hash_secret) as hashed:
                with mock.patch.object(hmac,
                                       'compare_digest',
                                       wraps=hmac.compare_digest) as compared:
                    self.verify(wrong)
            hashed.assert_called_once()
            self.assertEqual(len(compared.call_args.args[0]), 64)
            self.assertEqual(len(compared.call_args.args[1]), 64)

    def test_a_proven_secret_is_not_hashed_again_until_a_change(self):
        text = self.make().show()
        with mock.patch.object(credentials,
                               'hash_secret',
                               wraps=credentials.hash_secret) as hashed:
            for _ in range(5):
                self.assertEqual(self.verify(text), _ANN)
                self.time.advance(verifiers.FRESH_MS)
            self.assertEqual(hashed.call_count, 1)
            self.verify(text + 'x')
            self.assertEqual(hashed.call_count, 2)

    def test_revoked_stops_within_the_fresh_time(self):
        text = self.make().show()
        self.verify(text)
        self.assertIsNone(credentials.revoke(self.store, _ANN))
        self.time.advance(verifiers.FRESH_MS)
        self.assertEqual(self.reason(text), outcomes.Reason.NOT_AUTHORIZED)
        again = credentials.revoke(self.store, _ANN)
        self.assertEqual(again.reason, outcomes.Reason.NOT_FOUND)

    def test_a_new_credential_works_at_once(self):
        self.assertEqual(self.reason('shop.ann.x'),
                         outcomes.Reason.NOT_AUTHORIZED)
        self.assertEqual(self.verify(self.make().show()), _ANN)
        bob = credentials.Identity('shop', 'bob')
        self.assertEqual(self.verify(self.make(bob).show()), bob)

    def test_outage_keeps_what_is_known_and_no_longer(self):
        text = self.make().show()
        self.verify(text)
        self.state.switches.outage = True
        self.time.advance(verifiers.FRESH_MS)
        self.assertEqual(self.verify(text), _ANN)
        self.assertEqual(self.reason(text + 'x'),
                         outcomes.Reason.NOT_AUTHORIZED)
        self.assertEqual(self.reason('other.ann.x'),
                         outcomes.Reason.STORE_UNAVAILABLE)
        self.time.advance(verifiers.STALE_MS)
        self.assertEqual(self.reason(text), outcomes.Reason.STORE_UNAVAILABLE)

    def test_a_flood_of_tokens_is_bounded_towards_the_store(self):
        text = self.make().show()
        self.verify(text)
        with mock.patch.object(credentials, 'prove', return_value=False):
            reasons = [self.reason(f'team-{n}.ann.x') for n in range(100)]
        self.assertIn(outcomes.Reason.OVERLOADED, reasons)
        self.assertLessEqual(self.state.calls['read'],
                             verifiers.MAX_READS_PER_S + 2)
        self.assertEqual(self.verify(text), _ANN)

    def test_name_is_taken_and_number_is_bounded(self):
        self.make()
        self.assertEqual(self.make().reason, outcomes.Reason.CONFLICT)
        with mock.patch.object(credentials, 'MAX_PER_TEAM', 1):
            more = self.make(credentials.Identity('shop', 'bob'))
        self.assertEqual(more.reason, outcomes.Reason.INVALID)

    def test_lost_reply_does_not_take_the_name_without_a_token(self):
        self.state.switches.lose_replies = 2
        self.assertEqual(self.verify(self.make().show()), _ANN)

    def test_credentials_that_do_not_parse(self):
        self.make()
        good = self.store.read('credentials/shop')
        for value in (good.value.replace(b':4096', b':1073741824'),
                      good.value.replace(b'"salt":"', b'"salt":"z'), b'[]'):
            with self.subTest(value[-20:]):
                version = self.store.read('credentials/shop').version
                self.store.swap('credentials/shop', value, version)
                verify = verifiers.make_verifier(self.store, self.time.clock())
                self.assertEqual(
                    verify('shop.ann.x').reason, outcomes.Reason.INVALID)
