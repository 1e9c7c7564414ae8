"""A short soak of entry processes under random faults."""

import unittest

from tests import soak

_SEED = 1
_SECONDS = 40.0
_ENTRIES = 3


class SoakTest(unittest.TestCase):

    def test_no_promise_is_broken(self):
        found = soak.play(_SEED, _SECONDS, _ENTRIES)
        self.assertEqual(found.breaches[:3], [], found.events)
        self.assertTrue(any(sent.status == 200 for sent in found.orders))


if __name__ == '__main__':
    unittest.main()
