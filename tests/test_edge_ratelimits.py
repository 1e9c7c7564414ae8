"""Tests of rate limits that servers set in their answers."""

import unittest

from lentilmoor.edge import ratelimits


class RecordingLogger:
    """A logger that keeps events in memory."""

    def __init__(self):
        self.events: list[tuple[str, dict]] = []

    def info(self, event: str, **fields) -> None:
        """Records an event."""
        self.events.append((event, fields))


class RateLimitsTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.table = ratelimits.RateLimits()
        self.logger = RecordingLogger()

    def _note_answer(self, rate: float | None, now: float) -> None:
        ratelimits.note_answer(self.table, 's1', rate, now, self.logger)

    def _note_sent(self, server: str, repeat: bool, now: float) -> None:
        ratelimits.note_sent(self.table, server, repeat, now, self.logger)

    def test_the_start_and_the_end_of_a_limit_are_logged_once(self):
        for rate, now in ((None, 0.0), (8.5, 1_000.0), (8.5, 1_100.0),
                          (None, 3_000.0), (None, 3_100.0)):
            self._note_answer(rate, now)
        self.assertEqual(self.logger.events, [
            ('server_rate_limit_started', {
                'server': 's1',
                'rate': 8.5
            }),
            ('server_rate_limit_ended', {
                'server': 's1',
                'rate': 8.5,
                'lasted_ms': 2_000
            }),
        ])

    def test_requests_to_limited_servers_are_logged_once_per_second(self):
        self._note_sent('s1', False, 500.0)
        self._note_answer(8.5, 1_000.0)
        self.logger.events.clear()
        for server, repeat, now in (('s1', False, 1_000.0), ('s1', True,
                                                             1_400.0),
                                    ('s2', False, 1_500.0), ('s1', False,
                                                             2_000.0)):
            self._note_sent(server, repeat, now)
        self.assertEqual(self.logger.events, [('requests_to_limited_servers', {
            'span_ms': 1_000,
            'servers': 1,
            'counts': [('s1', 8.5, 3, 1)]
        })])

    def test_limits_of_servers_that_left_are_removed(self):
        self._note_answer(8.5, 0.0)
        ratelimits.remove_servers(self.table, ['s1', 's2'])
        self.assertEqual(self.table.by_server, {})
