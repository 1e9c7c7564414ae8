"""Tests that the audit of journals can fail: it finds what it looks for."""

import json
import pathlib
import tempfile
import unittest

from standins import audits


def _run(server,
         key='k',
         started=0.0,
         ended=1.0,
         claim='',
         request='r',
         until=float('inf')):
    return audits.JournalRun(server, f'{request}{started}', claim, key, started,
                             ended, until)


def _audit(*runs):
    return audits.audit([list(runs)], 0.0)


class AuditTest(unittest.TestCase):

    def test_two_servers_that_run_one_key_at_once_are_found(self):
        self.assertEqual(
            _audit(_run('a', ended=9.0), _run('b', started=8.0,
                                              ended=9.0)).overlaps, 1)
        nested = (_run('a', ended=99.0), _run('a', started=1.0, ended=2.0),
                  _run('b', started=50.0, ended=51.0))
        self.assertEqual(_audit(*nested).overlaps, 1)

    def test_what_is_no_overlap_is_not_counted(self):
        after = (_run('a', ended=5.0), _run('b', started=5.0, ended=9.0))
        same_server = (_run('a', ended=5.0), _run('a', started=1.0, ended=9.0))
        other_key = (_run('a', ended=5.0), _run('b', 'l', 1.0, 9.0))
        no_key = (_run('a', '', ended=5.0), _run('b', '', 1.0, 9.0))
        for runs in (after, same_server, other_key, no_key):
            self.assertEqual(_audit(*runs).overlaps, 0)

    def test_work_that_outlasts_its_grant_is_no_ownership(self):
        # Times of a trace: a read began at c1 443 ms before its grant ended,
        # and c1 was frozen; c3 got the key 236 ms after the grant had ended.
        frozen = _run('c1', started=0.0, ended=2_184.0, until=443.0)
        after = _run('c3', started=679.5, ended=686.0, until=1_227.0)
        self.assertEqual(_audit(frozen, after).overlaps, 0)

    def test_an_owner_whose_grant_has_not_ended_is_found(self):
        before = _run('a', started=0.0, ended=900.0, until=443.0)
        for started in (1.0, 442.0):
            early = _run('b', started=started, ended=started + 5.0)
            self.assertEqual(_audit(before, early).overlaps, 1)
        shorter = _run('a', started=1.0, ended=800.0, until=700.0)
        between = _run('b', started=600.0, ended=605.0)
        self.assertEqual(_audit(before, shorter, between).overlaps, 1)

    def test_work_that_began_without_a_grant_is_found(self):
        late = _run('a', started=500.0, ended=900.0, until=443.0)
        other = _run('b', started=600.0, ended=605.0)
        checked = _audit(late, other)
        self.assertEqual(checked.overlaps, 1)
        self.assertEqual(checked.ungranted, (late,))

    def test_doubles_are_found(self):
        checked = _audit(_run('a', '', claim='i'), _run('b', '', 9.0,
                                                        claim='i'),
                         _run('a', '', claim='j'), _run('a', ''), _run('b', ''))
        self.assertEqual(checked.doubled, 1)
        self.assertEqual(
            _audit(_run('a', '', 0.0, claim='i'), _run('a', '', 2.0,
                                                       claim='i')).doubled, 1)

    def test_imbalance_and_moved_keys(self):
        checked = _audit(_run('a'), _run('a', 'l', 1.0), _run('a', 'm', 2.0),
                         _run('b', 'm', 3.0))
        self.assertEqual(checked.imbalance, 1.5)
        self.assertAlmostEqual(checked.moved, 1 / 3)

    def test_a_journal_survives_the_kill_of_its_server(self):
        start = {
            'request_id': 'r',
            'idempotency_key': 'i',
            'key': 'k',
            'started_ms': 5.0,
            'ended_ms': 0.0
        }
        lines = [
            json.dumps(start),
            json.dumps(start | {'ended_ms': 7.0}),
            json.dumps(start | {
                'request_id': 's',
                'started_ms': 6.0
            }), '{"request_id": "t'
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'journal'
            self.assertEqual(audits.read_journal('a', path), [])
            path.write_text('\n'.join(lines), encoding='utf-8')
            runs = audits.read_journal('a', path)
        self.assertEqual([(run.request_id, run.ended_ms) for run in runs],
                         [('r', 7.0), ('s', 6.0)])


if __name__ == '__main__':
    unittest.main()
