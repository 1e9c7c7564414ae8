"""Tests that only listed failures are passed over."""

import unittest

from tests import suite

_TEXT = '''# a comment | with a bar
tests.test_x.A.test_one | python -m unittest ... | 1 of 8 | not known | 10
'''


class SuiteTest(unittest.TestCase):

    def test_a_listed_test_is_passed_over_and_no_other(self):
        known = suite.read_known(_TEXT)
        self.assertEqual(list(known), ['tests.test_x.A.test_one'])
        failed = ['tests.test_x.A.test_one', 'tests.test_x.A.test_two']
        self.assertEqual(suite.find_unknown(failed, known), failed[1:])

    def test_a_failing_subtest_counts_for_its_test(self):
        known = suite.read_known(_TEXT)
        failed = ['tests.test_x.A.test_one (seed=3)']
        self.assertEqual(suite.find_unknown(failed, known), [])

    def test_names_of_all_tests_are_found(self):
        tests = unittest.TestLoader().loadTestsFromTestCase(SuiteTest)
        self.assertIn(self.id(), suite.list_names(unittest.TestSuite([tests])))

    def test_a_failure_without_a_test_is_printed_and_excuses_none(self):
        text = _TEXT + '- | hunt x --seed 7 | CONFIG 2 | open | 28\n'
        self.assertEqual(suite.read_known(text), suite.read_known(_TEXT))
        self.assertEqual(suite.list_untested(text),
                         ['hunt x --seed 7 | CONFIG 2 | open | 28'])


if __name__ == '__main__':
    unittest.main()
