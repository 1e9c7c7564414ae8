"""Tests that the quarantine blocks only requests that crash servers."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from benchmarks import quarantine as benchmark
from benchmarks import quarantine_model
from lentilmoor import crashes
from lentilmoor import fingerprints
from lentilmoor import quarantine

_CRASHING = b'k' * 16
_HARMLESS = b'i' * 16
_SERVICE = 'team/orders'
_BLOCKED = quarantine.Verdict.BLOCKED
_SUSPECT = quarantine.Verdict.SUSPECT
_CLEAR = quarantine.Verdict.CLEAR


def _report_crash(table, fingerprint, server, now):
    return quarantine.report_crash(table, fingerprint, _SERVICE, server, now)


def _make_blocked_table() -> quarantine.Quarantine:
    table = quarantine.Quarantine()
    _report_crash(table, _CRASHING, 'a', 0.0)
    _report_crash(table, _CRASHING, 'b', 2_000.0)
    return table


class BlockTest(unittest.TestCase):

    def test_second_crash_blocks_and_the_first_does_not(self):
        table = quarantine.Quarantine()
        _report_crash(table, _CRASHING, 'a', 0.0)
        self.assertIs(quarantine.check(table, _CRASHING, 1.0), _SUSPECT)
        _report_crash(table, _CRASHING, 'a', 1.0)  # A report of the same crash.
        self.assertIs(quarantine.check(table, _CRASHING, 1.0), _SUSPECT)
        _report_crash(table, _CRASHING, 'b', 2_000.0)
        self.assertIs(quarantine.check(table, _CRASHING, 2_001.0), _BLOCKED)

    def test_clean_run_between_crashes_clears(self):
        table = quarantine.Quarantine()
        _report_crash(table, _HARMLESS, 'a', 0.0)
        quarantine.report_clean_run(table, _HARMLESS, 'b', 1_500.0)
        _report_crash(table, _HARMLESS, 'b', 2_000.0)
        self.assertIs(quarantine.check(table, _HARMLESS, 2_001.0), _SUSPECT)

    def test_block_ends_and_one_more_crash_blocks_for_longer(self):
        table = _make_blocked_table()
        end = 2_000.0 + crashes.BLOCK_MS
        quarantine.step(table, end)
        self.assertIs(quarantine.check(table, _CRASHING, end - 1), _BLOCKED)
        self.assertIs(quarantine.check(table, _CRASHING, end), _SUSPECT)
        _report_crash(table, _CRASHING, 'c', end)
        later = end + 1.5 * crashes.BLOCK_MS
        self.assertIs(quarantine.check(table, _CRASHING, later), _BLOCKED)
        quarantine.step(table, end + 4 * crashes.BLOCK_MS)
        self.assertFalse(table.suspects)

    def test_operator_releases_a_request_at_every_entry(self):
        here, there = _make_blocked_table(), _make_blocked_table()
        evidence = quarantine.release(here, _CRASHING, _SERVICE, 3_000.0)
        quarantine.merge(there, [evidence], 3_000.0)
        quarantine.merge(there, quarantine.export(_make_blocked_table(),
                                                  3_000.0), 3_000.0)
        for table in (here, there):
            self.assertIs(quarantine.check(table, _CRASHING, 3_001.0), _CLEAR)

    def test_crashes_of_a_blocked_request_clear_other_requests(self):
        table = _make_blocked_table()
        _report_crash(table, _HARMLESS, 'a', 10.0)
        quarantine.step(table, 4_000.0)
        self.assertIs(quarantine.check(table, _HARMLESS, 4_000.0), _CLEAR)
        _report_crash(table, b'o' * 16, 'a',
                      20.0)  # A late report of that crash.
        self.assertIs(quarantine.check(table, b'o' * 16, 4_000.0), _CLEAR)

    def test_answer_from_the_same_process_revokes_a_crash(self):
        table = quarantine.Quarantine()
        for at in (1_000.0, 3_000.0):
            _report_crash(table, _HARMLESS, 'a', at)
            cleared = quarantine.report_alive(table, 'a', 500.0, at + 1)
            self.assertEqual(len(cleared), 1)
        self.assertIs(quarantine.check(table, _HARMLESS, 3_001.0), _CLEAR)

    def test_answer_over_a_newer_connection_revokes_nothing(self):
        table = quarantine.Quarantine()
        _report_crash(table, _CRASHING, 'a', 1_000.0)
        quarantine.report_alive(table, 'a', 1_100.0, 1_200.0)
        self.assertIs(quarantine.check(table, _CRASHING, 1_200.0), _SUSPECT)

    def test_suspects_run_one_at_a_time(self):
        table = quarantine.Quarantine()
        self.assertTrue(quarantine.acquire_suspect_slot(table, 'a', _CRASHING))
        self.assertFalse(quarantine.acquire_suspect_slot(table, 'a', _CRASHING))
        self.assertFalse(quarantine.acquire_suspect_slot(table, 'a', _HARMLESS))
        self.assertTrue(quarantine.acquire_suspect_slot(table, 'b', _HARMLESS))
        quarantine.release_suspect_slot(table, 'a')
        self.assertTrue(quarantine.acquire_suspect_slot(table, 'a', _HARMLESS))


class GossipTest(unittest.TestCase):

    @settings(derandomize=True, deadline=None, database=None, max_examples=100)
    @given(
        st.lists(st.tuples(st.sampled_from((_CRASHING, _HARMLESS)),
                           st.sampled_from('abc'), st.booleans(),
                           st.integers(1_500, 90_000)),
                 max_size=8), st.randoms())
    def test_entries_agree_despite_reordering_and_duplicates(
            self, events, generator):
        first, second = quarantine.Quarantine(), quarantine.Quarantine()
        now = 0.0
        for fingerprint, server, crashed, gap in events:
            now += gap
            if crashed:
                _report_crash(first, fingerprint, server, now)
            else:
                quarantine.report_clean_run(first, fingerprint, server, now)
        for _ in range(4):
            items = quarantine.export(first, now)
            generator.shuffle(items)
            quarantine.merge(second, items, now + 30)
            quarantine.merge(first, quarantine.export(second, now + 30),
                             now + 60)
        for fingerprint in (_CRASHING, _HARMLESS):
            self.assertIs(quarantine.check(first, fingerprint, now + 60),
                          quarantine.check(second, fingerprint, now + 60))


class ModelTest(unittest.TestCase):

    def _run(self, policy):
        model = quarantine_model.Model(1, benchmark.POLICIES[policy], 4, 1.5)
        model.run(8_000.0)
        return model.tally

    def test_harmless_requests_beside_crashing_ones_are_not_blocked(self):
        """Harmless requests are often in flight at a crash beside its cause.

        Blocking all requests that were in flight at two crashes blocks some of
        them; running suspects one at a time must not.
        """
        naive, quarantined = self._run('two crashes'), self._run('ours')
        self.assertGreater(naive.innocents_blocked, 0)
        self.assertEqual(quarantined.innocents_blocked, 0)
        self.assertLessEqual(quarantined.crashes, 2 * 4)
        self.assertGreater(quarantined.killers_blocked, 0)

    def test_exceeded_bounds_are_reported(self):
        row = benchmark.Row('x', 'ours', 2.5, 100, 1, 0.0)
        bounds = {'x': {'crashes': 2, 'blocked': 0}}
        self.assertEqual(len(benchmark.find_breaches([row], bounds)), 2)


class FingerprintTest(unittest.TestCase):

    def _make(self, target='/stock', key='lot-1', body=b'', length=-1, **more):
        digest = fingerprints.BodyDigest()
        for start in range(0, len(body), 1_000):
            fingerprints.update_digest(digest, body[start:start + 1_000])
        return fingerprints.make_fingerprint(_SERVICE, 'POST', target, key,
                                             more, digest, length)

    def test_only_a_resend_has_the_same_fingerprint(self):
        seen = {
            self._make(),
            self._make(target='/stock?x=1'),
            self._make(key='lot-2'),
            self._make(body=b'a'),
            self._make(body=b'b'),
            self._make(body=b'aa'),
            self._make(range='bytes=0-1'),
        }
        self.assertEqual(len(seen), 7)
        self.assertIn(self._make(body=b'aa', traceparent='t'), seen)

    def test_long_body_is_identified_by_prefix_and_length(self):
        prefix = b'p' * fingerprints.PREFIX_BYTES
        whole = self._make(body=prefix + b'rest', length=70_000)
        self.assertEqual(whole, self._make(body=prefix, length=70_000))
        self.assertNotEqual(whole, self._make(body=prefix, length=70_001))


if __name__ == '__main__':
    unittest.main()
