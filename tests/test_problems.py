"""Tests of problem details: status, headers, body and parsing."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import outcomes
from lentilmoor import problems

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
_REASONS = strategies.sampled_from(outcomes.Reason)
_OUTCOMES = strategies.one_of(
    strategies.builds(outcomes.NotRun, _REASONS, strategies.text(min_size=1),
                      strategies.integers(0, 100_000)),
    strategies.builds(outcomes.Unknown, _REASONS, strategies.text(min_size=1)))


class ProblemsTest(unittest.TestCase):

    @_SETTINGS
    @hypothesis.given(_OUTCOMES)
    def test_parse_is_the_inverse_of_make(self, outcome):
        problem = problems.make(outcome, 'entry-1')
        headers = dict(problem.headers)
        parsed = problems.parse(headers['Lentilmoor-Outcome'],
                                headers['Lentilmoor-Reason'], problem.body)
        self.assertEqual(parsed, outcome)
        self.assertEqual(json.loads(problem.body)['status'], problem.status)
        self.assertEqual(headers['Content-Length'], str(len(problem.body)))

    @_SETTINGS
    @hypothesis.given(_REASONS)
    def test_unknown_outcome_never_invites_a_retry(self, reason):
        problem = problems.make(outcomes.Unknown(reason))
        self.assertNotEqual(problem.status, 503)
        self.assertNotIn('Retry-After', dict(problem.headers))

    def test_retry_after_is_whole_seconds_rounded_up(self):
        for ms, seconds in ((1, '1'), (1000, '1'), (1001, '2')):
            problem = problems.make(
                outcomes.NotRun(outcomes.Reason.OVERLOADED, '', ms))
            self.assertEqual(dict(problem.headers)['Retry-After'], seconds)
            self.assertEqual(json.loads(problem.body)['retry_after_ms'], ms)
        self.assertEqual(problem.status_line, '503 Service Unavailable')

    def test_status_per_reason(self):
        expected = {
            outcomes.Reason.UNKNOWN_SERVICE: 404,
            outcomes.Reason.BODY_TOO_LARGE: 413,
            outcomes.Reason.ALREADY_CLAIMED: 409,
            outcomes.Reason.KEY_REUSED: 422,
            outcomes.Reason.NO_OWNER: 503,
            outcomes.Reason.DEADLINE_PASSED: 504,
        }
        for reason, status in expected.items():
            self.assertEqual(problems.find_status(outcomes.NotRun(reason)),
                             status)

    def test_parse_returns_none_for_an_answer(self):
        self.assertIsNone(problems.parse(None, None, b'whatever'))
        self.assertIsNone(problems.parse('answered', None, b''))

    def test_parse_handles_unknown_reasons_and_invalid_bodies(self):
        parsed = problems.parse('not-run', 'made-up-later', b'{"detail": "x"}')
        self.assertEqual(
            parsed,
            outcomes.NotRun(outcomes.Reason.PEER_UNAVAILABLE,
                            'made-up-later: x'))
        self.assertEqual(problems.parse('unknown', 'timed-out', b'[cut'),
                         outcomes.Unknown(outcomes.Reason.TIMED_OUT))
