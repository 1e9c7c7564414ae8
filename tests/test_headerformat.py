"""Tests of the platform's headers."""

import unittest

from lentilmoor.platform import headerformat

_FORMAT = headerformat.make_header_format()
_DIGITS = '9' * 400


class OddNumberTest(unittest.TestCase):
    """Numbers that no part of the program can hold don't end a request."""

    def test_odd_key_or_timeout_of_a_caller_is_none(self):
        for text in (_DIGITS, 'nan', 'inf', '-1', '1e9', '+5', '1_0', '\xb2'):
            with self.subTest(text=text[:9]):
                fields = _FORMAT.parse_caller_headers({
                    b'Lentilmoor-Shard-Key': text.encode('latin-1'),
                    b'Lentilmoor-Deadline-Ms': text.encode('latin-1')
                })
                self.assertIsNone(fields.key)
                self.assertIsNone(fields.caller_timeout_ms)

    def test_odd_number_of_a_server_is_none(self):
        for text in (_DIGITS, 'nan', 'inf', '-1', '1e9', '\u0661'):
            with self.subTest(text=text[:9]):
                fields = _FORMAT.parse_answer_headers(
                    503, {
                        'Keep-Alive': f'timeout={text}',
                        'Lentilmoor-Upstream-Load': f'{text},1,1',
                        'Server-Limit': text,
                        'Retry-After': text
                    })
                self.assertIsNone(fields.keep_alive_ms)
                self.assertIsNone(fields.load)
                self.assertIsNone(fields.rate_limit)
                self.assertIsNone(fields.retry_after_ms)

    def test_numbers_are_read(self):
        fields = _FORMAT.parse_answer_headers(
            503, {
                'Keep-Alive': 'timeout=5, max=3',
                'Lentilmoor-Upstream-Load': '3, 0, 8',
                'Server-Limit': '12.5',
                'Retry-After': '0.25'
            })
        self.assertEqual(fields.keep_alive_ms, 5_000.0)
        self.assertEqual(fields.load.slots, 8)
        self.assertEqual(fields.rate_limit, 12.5)
        self.assertEqual(fields.retry_after_ms, 250.0)

    def test_empty_proof_is_none(self):
        self.assertFalse(
            _FORMAT.parse_answer_headers(200, {
                'Lentilmoor-Upstream-Seal': ''
            }).has_proof)


if __name__ == '__main__':
    unittest.main()
