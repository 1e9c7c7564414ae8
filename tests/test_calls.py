"""Tests of the reading of callers' requests: what is refused, and why."""

import unittest

from lentilmoor import calls
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import slices
from tests import pathhelp

_Reason = outcomes.Reason
_NOW = 1_000.0
_SETTINGS = pathhelp.make_settings(classes=[
    models.ClassSettings(name='normal'),
    models.ClassSettings(name='sync', priority=9)
],
                                   limits=models.Limits(
                                       body_bytes=10,
                                       deadline_ms=500,
                                       longest_deadline_ms=5_000))
_ANY = models.ServiceSettings(keyed=False)


def _read(settings=_SETTINGS, **fields):
    if settings is _SETTINGS:
        fields = {'lentilmoor_key': 'k'} | fields
    return calls.read_call(
        pathhelp.make_raw(**fields), lambda team, service: settings
        if (team, service) == ('shop', 'stock') else None, _NOW)


class ReadCallTest(unittest.TestCase):

    def _assert_refused(self, reason, **fields):
        result = _read(**fields)
        self.assertIsInstance(result, outcomes.NotRun, fields)
        self.assertIs(result.reason, reason, fields)

    def test_bad_requests_are_refused_with_their_reason(self):
        unknown = ('/', '/shop', '/shop/other/x', '//stock/x', '/shop//x')
        for path in unknown:
            self._assert_refused(_Reason.UNKNOWN_SERVICE, path=path)
        self._assert_refused(_Reason.MISSING_KEY, lentilmoor_key='')
        for text in ('0', '-1'):
            self._assert_refused(_Reason.DEADLINE_PASSED,
                                 lentilmoor_deadline_ms=text)
        for text in ('5001', '1e3', 'soon', '1.5', '9' * 30):
            self._assert_refused(_Reason.BAD_REQUEST,
                                 lentilmoor_deadline_ms=text)
        self._assert_refused(_Reason.BAD_REQUEST, lentilmoor_class='vip')
        self._assert_refused(_Reason.BODY_TOO_LARGE, body=b'x' * 11)
        self._assert_refused(_Reason.BAD_REQUEST, idempotency_key='x' * 257)
        self._assert_refused(_Reason.BAD_REQUEST, lentilmoor_key='x' * 1025)

    def test_a_deadline_of_absurd_length_is_refused_not_a_fault(self):
        self._assert_refused(_Reason.BAD_REQUEST,
                             lentilmoor_deadline_ms='9' * 5_000)

    def test_limits_themselves_are_accepted(self):
        call = _read(lentilmoor_key='x' * 1024,
                     idempotency_key='x' * 256,
                     lentilmoor_deadline_ms='5000',
                     lentilmoor_class='sync',
                     body=b'x' * 10)
        self.assertIsInstance(call, calls.Call)
        self.assertEqual(call.deadline, _NOW + 5_000)
        self.assertEqual(call.class_name, 'sync')

    def test_a_plain_request_gets_the_defaults(self):
        call = _read(query='a=1')
        self.assertEqual((call.target, call.key, call.class_index),
                         ('/lots?a=1', 'k', 0))
        self.assertEqual(call.deadline, _NOW + 500)
        self.assertEqual(call.point, slices.hash_key('k'))
        self.assertEqual(call.shard_id, 'shop/stock/0')
        self.assertTrue(call.repeatable)
        self.assertFalse(_read(method='POST').repeatable)
        self.assertEqual(_read(path='/shop/stock').target, '/')

    def test_a_resend_without_key_meets_the_shard_of_the_first(self):
        first = _read(_ANY, idempotency_key='i', lentilmoor_caller='c')
        again = _read(_ANY, idempotency_key='i', lentilmoor_caller='c')
        other = _read(_ANY, idempotency_key='i', lentilmoor_caller='d')
        self.assertEqual(first.point, again.point)
        self.assertNotEqual(first.point, other.point)
        self.assertNotEqual(first.request_id, again.request_id)


if __name__ == '__main__':
    unittest.main()
