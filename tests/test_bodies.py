"""Tests of request bodies: cut ones never whole, long ones never kept."""

import io
import unittest

from lentilmoor import bodies

_LIMIT = 1 << 30
_BUFFER = bodies.BUFFER_BYTES


def _make(data, length=None, limit=_LIMIT):
    return bodies.Body(io.BytesIO(data).read, length, limit)


class BodyTest(unittest.TestCase):

    def test_a_small_body_is_whole_and_may_be_sent_again(self):
        for length in (3, None):
            body = _make(b'abc', length)
            self.assertEqual(body.make_payload(), b'abc')
            self.assertEqual(body.make_payload(), b'abc')
            self.assertTrue(body.is_resendable)
        self.assertIsNone(_make(b'', 0).make_payload())

    def test_a_body_that_ends_early_is_an_error(self):
        with self.assertRaises(bodies.BodyError):
            _make(b'abc', 4)
        long = _make(b'x' * (_BUFFER + 5), _BUFFER + 6)
        with self.assertRaises(bodies.BodyError):
            list(long.make_payload())

    def test_a_reader_that_fails_is_an_error(self):

        def fail(size):
            raise OSError(size)

        with self.assertRaises(bodies.BodyError):
            bodies.Body(fail, 3, _LIMIT)

    def test_a_body_beyond_the_limit_is_refused_while_it_streams(self):
        with self.assertRaises(bodies.BodyError):
            _make(b'abcd', None, limit=3)
        long = _make(b'x' * (3 * _BUFFER), None, limit=2 * _BUFFER)
        with self.assertRaises(bodies.BodyError):
            list(long.make_payload())

    def test_a_long_body_is_read_in_bounded_chunks_and_only_once(self):
        sizes = []
        source = io.BytesIO(b'x' * (5 * _BUFFER + 7))

        def read(size):
            sizes.append(size)
            return source.read(size)

        body = bodies.Body(read, 5 * _BUFFER + 7, _LIMIT)
        self.assertEqual(source.tell(), _BUFFER)
        self.assertTrue(body.is_resendable)
        chunks = body.make_payload()
        next(chunks)
        self.assertFalse(body.is_resendable)
        total = _BUFFER + sum(len(chunk) for chunk in chunks)
        self.assertEqual(total, 5 * _BUFFER + 7)
        self.assertLessEqual(max(sizes), _BUFFER)

    def test_a_body_just_as_long_as_the_buffer_arrives_whole(self):
        for length in (_BUFFER, None):
            payload = _make(b'x' * _BUFFER, length).make_payload()
            self.assertEqual(b''.join(payload), b'x' * _BUFFER)


if __name__ == '__main__':
    unittest.main()
