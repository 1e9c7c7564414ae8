"""Tests of what entries learn about suspects after a start or a pause."""

import dataclasses
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import learning
from lentilmoor.edge import learningtables
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from tests import trialworlds

_FINGERPRINT = suspects.make_fingerprint(trialworlds.make_request('/bad'))
_CRASH = quarantine.Evidence(_FINGERPRINT, 'orders', 1, 0.0, 's1')
_SILENT = outcomes.Failed(outcomes.Reason.TIMED_OUT, '')
_ENDED = outcomes.Failed(outcomes.Reason.CONNECT_FAILED, '')


class LearningTest(unittest.TestCase):
    """An entry that has started; the replies of the others are given."""

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime(100_000.0)
        self.forwarder = trialworlds.make_forwarder(self.time, 'self')
        self.forwarder.snapshot = dataclasses.replace(self.forwarder.snapshot,
                                                      configuration=mock.Mock())
        self.forwarder.learning = learningtables.LearningTable(
            max_age_ms=learningtables.MAX_AGE_MS)

    def _set_replies(self, *replies) -> None:
        """Sets the replies of the other entries."""
        by_address = {f'e{n}': reply for n, reply in enumerate(replies)}
        self.forwarder.platform.settings.seeds = tuple(by_address)
        self.forwarder.learning.ask_entry = by_address.get

    def _refuse(self, target: str = '/bad') -> outcomes.NotRun | None:
        """Returns the refusal of another copy of a request, or None."""
        run = requests.Run(trialworlds.make_request(target), trialworlds.ROUTE,
                           trialworlds.SERVICE, self.time.at + 1_000.0)
        return learning.refuse_unjudged(self.forwarder, run, self.time.at)

    def test_a_request_is_refused_as_not_run_before_evidence_arrives(self):
        refusal = self._refuse()
        self.assertEqual(refusal.reason, outcomes.Reason.STARTING)

    def test_one_entry_with_a_recent_table_is_enough(self):
        self._set_replies(_SILENT, reports.SuspectsReply(True, [_CRASH]),
                          _SILENT)
        learning.step(self.forwarder)
        self.assertTrue(learning.is_recent(self.forwarder))
        self.assertIn(_FINGERPRINT, self.forwarder.suspects.suspects)
        self.assertIsNone(self._refuse())

    def test_entries_that_all_started_have_nothing_to_learn(self):
        self._set_replies(reports.SuspectsReply(False), _ENDED)
        learning.step(self.forwarder)
        self.assertTrue(learning.is_recent(self.forwarder))

    def test_evidence_of_an_entry_that_was_frozen_is_merged(self):
        self._set_replies(reports.SuspectsReply(False, [_CRASH]), _ENDED)
        learning.step(self.forwarder)
        self.assertIn(_FINGERPRINT, self.forwarder.suspects.suspects)

    def test_silent_entries_may_know_more(self):
        self._set_replies(reports.SuspectsReply(False), _SILENT)
        learning.step(self.forwarder)
        self.assertFalse(learning.is_recent(self.forwarder))

    def test_each_request_is_sent_to_one_server_while_entries_are_silent(self):
        self._set_replies(_SILENT)
        learning.step(self.forwarder)
        self.time.advance(learning.PATIENCE_MS)
        self.assertIsNone(self._refuse())
        self.assertIsNotNone(self._refuse())
        self.assertIsNone(self._refuse('/other'))

    def test_a_clean_run_admits_the_next_copy(self):
        self._set_replies(_SILENT)
        learning.step(self.forwarder)
        self.time.advance(learning.PATIENCE_MS)
        self._refuse()
        learning.note_clean_run(
            self.forwarder,
            requests.Run(trialworlds.make_request('/bad'), trialworlds.ROUTE,
                         trialworlds.SERVICE, 0.0))
        self.assertIsNone(self._refuse())

    def test_entries_that_stay_silent_have_ended(self):
        self._set_replies(_SILENT)
        learning.step(self.forwarder)
        self.time.advance(learning.UNANSWERED_MS)
        learning.step(self.forwarder)
        self.assertTrue(learning.is_recent(self.forwarder))

    def test_an_entry_that_was_frozen_learns_before_it_sends(self):
        self._set_replies(reports.SuspectsReply(True))
        learning.step(self.forwarder)
        self.assertIsNone(self._refuse())
        self.time.advance(learningtables.MAX_AGE_MS + 1.0)
        self.assertIsNotNone(self._refuse())
        self._set_replies(reports.SuspectsReply(True, [_CRASH]))
        learning.step(self.forwarder)
        self.assertIn(_FINGERPRINT, self.forwarder.suspects.suspects)

    def test_a_silent_hub_is_replaced_by_other_entries_in_time(self):
        self._set_replies(reports.SuspectsReply(True))
        for _ in range(10):
            learning.step(self.forwarder)
            self.assertIsNone(self._refuse())
            self.time.advance(learningtables.MAX_AGE_MS / 2 + 1.0)

    def test_an_outdated_table_is_reported_as_such(self):
        self.assertFalse(learning.handle_request(self.forwarder).recent)


if __name__ == '__main__':
    unittest.main()
