"""Tests of request bodies.

They guard against a truncated body that passes for a complete one, and against
a long body that is held in memory or sent twice.
"""

import io
import unittest

from lentilmoor import bodies

_MAX_BYTES = 1 << 30
_BUFFER_BYTES = bodies.BUFFER_BYTES


def _make_body(data, length=None, max_bytes=_MAX_BYTES):
    return bodies.Body(io.BytesIO(data).read, length, max_bytes)


class BodyTest(unittest.TestCase):

    def test_a_small_body_is_buffered_and_can_be_sent_again(self):
        for length in (3, None):
            body = _make_body(b'abc', length)
            self.assertEqual(body.make_payload(), b'abc')
            self.assertEqual(body.make_payload(), b'abc')
            self.assertTrue(body.is_resendable)
        self.assertIsNone(_make_body(b'', 0).make_payload())

    def test_a_body_that_ends_early_is_an_error(self):
        with self.assertRaises(bodies.BodyError):
            _make_body(b'abc', 4)
        long = _make_body(b'x' * (_BUFFER_BYTES + 5), _BUFFER_BYTES + 6)
        with self.assertRaises(bodies.BodyError):
            list(long.make_payload())

    def test_a_failed_read_is_an_error(self):

        def fail(size):
            raise OSError(size)

        with self.assertRaises(bodies.BodyError):
            bodies.Body(fail, 3, _MAX_BYTES)

    def test_a_body_above_the_limit_is_rejected_while_it_streams(self):
        with self.assertRaises(bodies.BodyError):
            _make_body(b'abcd', None, max_bytes=3)
        long = _make_body(b'x' * (3 * _BUFFER_BYTES),
                          None,
                          max_bytes=2 * _BUFFER_BYTES)
        with self.assertRaises(bodies.BodyError):
            list(long.make_payload())

    def test_a_long_body_is_read_in_bounded_chunks_and_only_once(self):
        sizes = []
        source = io.BytesIO(b'x' * (5 * _BUFFER_BYTES + 7))

        def read(size):
            sizes.append(size)
            return source.read(size)

        body = bodies.Body(read, 5 * _BUFFER_BYTES + 7, _MAX_BYTES)
        self.assertEqual(source.tell(), _BUFFER_BYTES)
        self.assertTrue(body.is_resendable)
        chunks = body.make_payload()
        next(chunks)
        self.assertFalse(body.is_resendable)
        total = _BUFFER_BYTES + sum(len(chunk) for chunk in chunks)
        self.assertEqual(total, 5 * _BUFFER_BYTES + 7)
        self.assertLessEqual(max(sizes), _BUFFER_BYTES)

    def test_a_body_exactly_as_long_as_the_buffer_is_sent_completely(self):
        for length in (_BUFFER_BYTES, None):
            payload = _make_body(b'x' * _BUFFER_BYTES, length).make_payload()
            self.assertEqual(b''.join(payload), b'x' * _BUFFER_BYTES)


if __name__ == '__main__':
    unittest.main()
