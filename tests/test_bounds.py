"""Tests that a passed bound, or one without a value, is told."""

import unittest

from benchmarks import bounds


class BoundsTest(unittest.TestCase):

    def test_a_value_within_its_bound_passes(self):
        self.assertEqual(bounds.find_breaches('s', {'x': 2}, {'x': 2}), [])

    def test_a_value_above_its_bound_is_told(self):
        breaches = bounds.find_breaches('s', {'x': 2}, {'x': 2.5})
        self.assertEqual(breaches, ['s, x: 2.50, the bound is 2'])

    def test_a_bound_without_a_value_is_told(self):
        breaches = bounds.find_breaches('s', {'x': 2}, {'y': 1})
        self.assertEqual(breaches, ['s, x: not measured'])

    def test_a_value_that_is_no_number_is_told(self):
        breaches = bounds.find_breaches('s', {'x': 2}, {'x': float('nan')})
        self.assertEqual(len(breaches), 1)


if __name__ == '__main__':
    unittest.main()
