"""A short soak of entry processes under random faults."""

import http.client
import unittest

from tests import soak
from tests import soakanswers

_SEED = 1
_SECONDS = 40.0
_ENTRIES = 3


class SoakTest(unittest.TestCase):

    def test_no_promise_is_broken(self):
        found = soak.play(_SEED, _SECONDS, _ENTRIES)
        self.assertEqual(found.breaches[:3], [], found.events)
        self.assertTrue(any(sent.status == 200 for sent in found.orders))
        self.assertGreater(found.answers.successes, 500)


class FalseSuccessTest(unittest.TestCase):

    def _describe(self,
                  proof: str = 'seal.r1',
                  request_id: str = 'r1',
                  body: bytes = b'i-1 /x') -> str:
        headers = http.client.HTTPMessage()
        headers['Lentilmoor-Upstream-Seal'] = proof
        headers['Lentilmoor-Attempt-Id'] = request_id
        return soakanswers.describe_false_success(headers, body, 'r1',
                                                  [b'i-2 /x', b'i-1 /x'])

    def test_whole_answer_is_no_breach(self):
        self.assertEqual(self._describe(), '')

    def test_part_of_an_answer_is_a_breach(self):
        for changes in ({
                'proof': 'seal.r'
        }, {
                'proof': 'seal.r0'
        }, {
                'request_id': 'r0'
        }, {
                'body': b''
        }, {
                'body': b'i-1 /'
        }, {
                'body': b'i-3 /x'
        }):
            with self.subTest(changes):
                self.assertNotEqual(self._describe(**changes), '')

    def test_answer_without_a_proof_is_a_breach(self):
        found = soakanswers.describe_false_success(http.client.HTTPMessage(),
                                                   b'i-1 /x', 'r1', [b'i-1 /x'])
        self.assertNotEqual(found, '')

    def test_tracebacks_are_found_in_logs(self):
        log = '{"event": "ready"}\n{"exception": "Traceback (most recent"}\n'
        self.assertEqual(len(soakanswers.list_log_errors(log)), 1)
        self.assertEqual(soakanswers.list_log_errors('{"event": "ready"}'), [])


if __name__ == '__main__':
    unittest.main()
