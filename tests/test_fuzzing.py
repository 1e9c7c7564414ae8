"""Short fuzzing of all readers, and tests of the fuzzing itself."""

import random
import unittest

from tests import fuzzing
from tests import fuzzmessages

_SEED = 1
_CASES = 250
_KEPT_CASES = 80
# Cases of readers that read from memory.
_QUICK_CASES = 1_500


class ReaderTest(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.readers = cls.enterClassContext(fuzzing.open_readers())

    def _assert_sound(self, reader: str, cases: int) -> None:
        found = fuzzing.run(reader, self.readers[reader], _SEED, range(cases))
        self.assertEqual(found.failures, {},
                         fuzzing.format_findings(reader, _SEED, found))

    def test_heads(self):
        self._assert_sound('heads', _QUICK_CASES)

    def test_chunks(self):
        self._assert_sound('chunks', _QUICK_CASES)

    def test_exchange(self):
        self._assert_sound('exchange', _CASES)

    def test_client(self):
        self._assert_sound('client', _CASES)

    def test_control(self):
        self._assert_sound('control', _CASES)

    def test_kept_exchange(self):
        self._assert_sound('kept exchange', _KEPT_CASES)

    def test_kept_client(self):
        self._assert_sound('kept client', _KEPT_CASES)

    def test_kept_control(self):
        self._assert_sound('kept control', _KEPT_CASES)

    def test_store(self):
        self._assert_sound('store', _CASES)

    def test_documents(self):
        self._assert_sound('documents', _QUICK_CASES)

    def test_views(self):
        self._assert_sound('views', _QUICK_CASES)

    def test_entry_messages(self):
        self._assert_sound('entry messages', _QUICK_CASES)

    def test_listener(self):
        self._assert_sound('listener', _CASES)


class RunTest(unittest.TestCase):

    def test_failures_are_told_with_their_numbers(self):

        def check(drawn: random.Random) -> None:
            assert drawn.random() < 0.5, 'too large'

        found = fuzzing.run('x', check, _SEED, range(100))
        told = fuzzing.format_findings('x', _SEED, found)
        self.assertEqual(len(found.failures), 1)
        kind, numbers = found.failures.popitem()
        self.assertTrue(30 <= len(numbers) <= 70, numbers)
        for number in numbers:
            again = fuzzing.run('x', check, _SEED, [number])
            self.assertEqual(again.failures, {kind: [number]})
        self.assertIn(f'seed {_SEED}', told)
        self.assertIn(str(numbers[:5]), told)


class MessagesTest(unittest.TestCase):

    def test_seed_repeats_mutations(self):

        def draw() -> list[bytes]:
            drawn = random.Random(_SEED)
            return [
                fuzzmessages.mutate(drawn, b'A: 1\r\nB: 2\r\n', b'other')
                for _ in range(300)
            ]

        self.assertEqual(draw(), draw())
        self.assertGreater(len(set(draw())), 200)

    def test_strict_reader_takes_no_part_for_an_answer(self):
        drawn = random.Random(_SEED)
        for _ in range(100):
            answer = fuzzmessages.draw_answer(drawn, 'r1', b'body', 200)
            message = fuzzmessages.read_answer(answer)
            self.assertEqual((message.body, message.following), (b'body', b''))
            if not message.ends_with_connection:
                for end in range(len(answer)):
                    self.assertIsNone(fuzzmessages.read_answer(answer[:end]))

    def test_strict_reader_takes_no_odd_or_ambiguous_head(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
        self.assertIsNotNone(fuzzmessages.read_answer(head + b'\r\n'))
        for line in (b'odd', b'A : b', b' folded', b'A: b\rC: d', b'A: b\nC: d',
                     b'Content-Length: 0', b'Transfer-Encoding: chunked'):
            with self.subTest(line=line):
                self.assertIsNone(
                    fuzzmessages.read_answer(head + line + b'\r\n\r\n'))


if __name__ == '__main__':
    unittest.main()
