"""Branches under races, lost replies, outages and values that don't parse."""

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from lentilmoor import branches
from lentilmoor import changes
from lentilmoor import clocks
from lentilmoor import histories
from lentilmoor import outcomes
from lentilmoor import stores
from standins import store_state

_KEY = 'teams/shop/branch'


def _text(servers=('s-1',), team='shop', shards=1, port=9000, extra=''):
    lines = [f'team: {team}', 'services:', '  stock:', f'    shards: {shards}']
    lines.append('    servers:' if servers else '    servers: []')
    for index, server in enumerate(servers):
        lines.append(f'    - {{id: {server}, failure_domain: a, address: '
                     f"'127.0.0.1:{port + index}'}}")
    return '\n'.join(lines) + f'\n{extra}'


class BranchesTestCase(unittest.TestCase):

    def setUp(self):
        self.time = clocks.ManualTime(at=1_000.0)
        self.clock = self.time.clock()
        self.state = store_state.StoreState(self.clock)
        self.store = store_state.open_store(self.state, self.clock)

    def put(self, text, expected=0, author='ann', store=None):
        change = changes.Change('shop', text, expected, author)
        return changes.put(store or self.store, change, self.clock)

    def put_all(self, texts):
        version = 0
        for text in texts:
            version = self.put(text, version).branch.version
        return version


class PutTest(BranchesTestCase):

    def test_accepted_change_reads_back_as_written(self):
        text = _text(extra='# A comment: 鈦\n')
        accepted = self.put(text)
        self.assertTrue(accepted.changed)
        branch = changes.read(self.store, 'shop').branch
        self.assertEqual(branch, accepted.branch)
        self.assertEqual((branch.text, branch.header.author), (text, 'ann'))

    def test_two_operators_race(self):
        version = self.put_all([_text()])
        in_between = []

        def swap(key, value, expected):
            if key == _KEY and not in_between:
                in_between.append(None)
                in_between.append(
                    self.put(_text(('s-1', 's-2')), version, 'bob'))
            return self.store.swap(key, value, expected)

        racing = dataclasses.replace(self.store, swap=swap)
        lost = self.put(_text(('s-1', 's-3')), version, 'ann', racing)
        won = in_between[1]
        self.assertEqual(lost, changes.Outrun(won.branch.version))
        self.assertEqual(changes.read(self.store, 'shop').branch, won.branch)

    def test_lost_reply_of_the_store_is_settled(self):
        version = self.put_all([_text()])
        self.state.switches.lose_replies = 3
        accepted = self.put(_text(('s-1', 's-2')), version)
        self.assertIsInstance(accepted, changes.Accepted)
        self.assertEqual(
            changes.read(self.store, 'shop').branch, accepted.branch)

    def test_lost_reply_to_the_operator_is_settled_by_sending_again(self):
        version = self.put_all([_text()])
        text = _text(('s-1', 's-2'))
        first = self.put(text, version)
        again = self.put(text, version)
        self.assertEqual(again.branch, first.branch)
        self.assertFalse(again.changed)
        other = self.put(text, version, 'bob')
        self.assertEqual(other, changes.Outrun(first.branch.version))

    def test_outage_before_the_write_changes_nothing(self):
        version = self.put_all([_text()])
        for calls in range(5):
            with self.subTest(calls):
                result = self.put(_text(('s-1', f's-{calls}0')), version, 'ann',
                                  self._fail_after(calls))
                self.assertEqual(result.reason,
                                 outcomes.Reason.STORE_UNAVAILABLE)
                self.state.switches.outage = False
                branch = changes.read(self.store, 'shop').branch
                self.assertEqual(branch.version, version)

    def test_unsettled_write_is_reported_as_such_and_may_arrive_late(self):
        version = self.put_all([_text()])
        text = _text(('s-1', 's-2'))

        def swap(key, value, expected):
            if key == _KEY:
                self.state.switches.park_writes = 1_000
            return self.store.swap(key, value, expected)

        slow = dataclasses.replace(self.store, swap=swap)
        result = self.put(text, version, 'ann', slow)
        self.assertEqual(result.reason, outcomes.Reason.TIMED_OUT)
        self.state.switches.park_writes = 0
        self.state.deliver_parked()
        again = self.put(text, version)
        self.assertIsInstance(again, changes.Accepted)
        self.assertFalse(again.changed)

    def test_replaced_before_its_reply_was_settled(self):
        version = self.put_all([_text()])
        text = _text(('s-1', 's-2'))

        def swap(key, value, expected):
            if key != _KEY:
                return self.store.swap(key, value, expected)
            mine = self.store.swap(key, value, expected)
            other = self.put(_text(), mine.version, 'bob').branch
            current = self.store.read(_KEY)
            self.assertEqual(current.version, other.version)
            return stores.Conflict(current, maybe_applied=True)

        slow = dataclasses.replace(self.store, swap=swap)
        accepted = self.put(text, version, 'ann', slow)
        self.assertEqual(accepted.branch.text, text)
        self.assertLess(accepted.branch.version,
                        changes.read(self.store, 'shop').version)

    def test_never_in_force_though_its_reply_was_lost(self):
        version = self.put_all([_text()])

        def swap(key, value, expected):
            if key != _KEY:
                return self.store.swap(key, value, expected)
            self.put(_text(), version, 'bob')
            other = self.put(_text(('s-1', 's-3')), version, 'bob').branch
            self.put(_text(('s-1', 's-4')), other.version, 'bob')
            return stores.Conflict(self.store.read(_KEY), maybe_applied=True)

        slow = dataclasses.replace(self.store, swap=swap)
        self.assertIsInstance(
            self.put(_text(('s-1', 's-2')), version, 'ann', slow),
            changes.Outrun)

    def test_wrong_precondition(self):
        self.assertEqual(self.put(_text(), 7), changes.Outrun(0))
        version = self.put_all([_text()])
        self.assertEqual(self.put(_text(('x',)), 0), changes.Outrun(version))

    def test_same_text_writes_nothing(self):
        version = self.put_all([_text()])
        writes = self.store.counters.writes
        self.assertFalse(self.put(_text(), version).changed)
        self.assertEqual(self.store.counters.writes, writes)

    def _fail_after(self, calls):
        left = [calls]

        def guard(call):

            def guarded(*arguments):
                left[0] -= 1
                self.state.switches.outage = left[0] < 0
                return call(*arguments)

            return guarded

        return dataclasses.replace(self.store,
                                   read=guard(self.store.read),
                                   swap=guard(self.store.swap),
                                   list=guard(self.store.list))


class CheckTest(BranchesTestCase):

    def _rejects(self, texts, expected):
        version = self.put_all(texts[:-1])
        result = self.put(texts[-1], version)
        self.assertIsInstance(result, changes.Rejected)
        self.assertIn(expected, ' '.join(result.problems))
        self.assertEqual(
            changes.read(self.store, 'shop').version if version else 0, version)

    def test_every_problem_is_listed(self):
        text = _text(port=99_999).replace('shards: 1', 'shards: 0')
        problems = self.put(text).problems
        self.assertEqual(len(problems), 2)
        self.assertTrue(problems[0].startswith('line 4: services.stock.shards'))

    def test_another_team(self):
        self._rejects([_text(team='other')], 'team: expected shop')

    def test_shards_are_fixed(self):
        self._rejects([_text(), _text(shards=2)], 'expected 1')

    def test_shards_are_fixed_also_if_the_service_went_and_came(self):
        self._rejects([_text(), 'team: shop\nservices: {}\n',
                       _text(shards=2)], 'expected 1')

    def test_server_keeps_its_shard(self):
        moved = _text(shards=2).replace('id: s-1', 'id: s-1, shard: 1')
        self._rejects([_text(shards=2), moved], 's-1: an id keeps')

    def test_server_keeps_its_address(self):
        self._rejects([_text(), _text(port=9500)], 's-1: an id keeps')

    def test_id_of_a_removed_server_stays_taken(self):
        self._rejects([
            _text(('s-1', 's-2')),
            _text(),
            _text(extra='# Later.'),
            _text(('s-2',))
        ], 's-2: an id keeps')

    def test_removed_server_may_come_back_as_it_was(self):
        version = self.put_all(
            [_text(('s-1', 's-2')),
             _text(), _text(('s-1', 's-2'))])
        branch = changes.read(self.store, 'shop').branch
        self.assertEqual(branch.version, version)
        self.assertEqual(branch.header.retired, ())

    def test_dry_run_writes_nothing(self):
        version = self.put_all([_text()])
        calls = self.store.counters.writes
        change = changes.Change('shop', _text(('s-1', 's-2')), version, 'ann')
        draft = changes.check(self.store, change, self.clock)
        self.assertIn("+    - {id: s-2", branches.diff(draft.before,
                                                       change.text))
        self.assertEqual(self.store.counters.writes, calls)


class HistoryTest(BranchesTestCase):

    def test_every_replaced_version_is_kept_up_to_the_bound(self):
        texts = [_text(extra=f'# {n}\n') for n in range(histories.KEPT + 11)]
        self.put_all(texts)
        lines = histories.list_lines(self.store, 'shop')
        self.assertEqual([line.number for line in lines],
                         list(range(11, histories.KEPT + 11)))
        for line in (lines[0], lines[-1]):
            copy = histories.read_copy(self.store, 'shop', line.version)
            record = stores.Record(_KEY, copy.value, line.version)
            self.assertEqual(
                branches.parse(record).text, texts[line.number - 1])
        gone = histories.read_copy(self.store, 'shop', 1)
        self.assertEqual(gone.reason, outcomes.Reason.NOT_FOUND)
        keys = self.store.list(histories.PREFIX)
        self.assertEqual(len(keys), histories.KEPT + 1)
        self.assertEqual(len(self.store.list(branches.PREFIX)), 1)

    def test_no_version_is_replaced_before_it_is_kept(self):
        version = self.put_all([_text()])
        for part in ('/01', '/index'):

            def swap(key, value, expected, failing=part):
                if key.endswith(failing):
                    return outcomes.Failed(outcomes.Reason.TIMED_OUT, key)
                return self.store.swap(key, value, expected)

            result = self.put(_text(('s-1', 's-2')), version, 'ann',
                              dataclasses.replace(self.store, swap=swap))
            self.assertEqual(result.reason, outcomes.Reason.STORE_UNAVAILABLE)
            self.assertEqual(changes.read(self.store, 'shop').version, version)

    @hypothesis.settings(derandomize=True,
                         deadline=None,
                         database=None,
                         max_examples=40)
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_no_accepted_version_is_missing(self, seed):
        self.setUp()
        draw = random.Random(seed)
        accepted = {}
        for step in range(25):
            self.state.switches.lose_share = draw.choice([0.0, 0.5])
            self.state.switches.outage = draw.random() < 0.2
            base = draw.choice([0, *accepted])
            text = _text(extra=f'# {seed} {step}\n')
            result = self.put(text, base)
            if isinstance(result, changes.Accepted):
                accepted[result.branch.version] = text
        self.state.switches.lose_share = 0.0
        self.state.switches.outage = False
        if not accepted:
            return
        self.assertEqual(
            changes.read(self.store, 'shop').version, max(accepted))
        kept = [
            line.version for line in histories.list_lines(self.store, 'shop')
        ]
        self.assertEqual([*kept, max(accepted)], sorted(accepted))


class AdoptTest(BranchesTestCase):

    def _record(self):
        return self.store.read(_KEY)

    def test_a_value_that_does_not_parse_leaves_the_last_good_one(self):
        self.put_all([_text()])
        good, problem = branches.adopt(None, self._record())
        self.assertEqual(problem, '')
        for value in (b'', b'\xff\n', b'{"number": 1}\nteam: shop',
                      b'{"number":1,"author":"a","at_ms":0}\n\xff',
                      b'{"number":1,"author":"a","at_ms":0}\nteam: other',
                      good.header.model_dump_json().encode() + b'\nteam: [\n'):
            with self.subTest(value):
                record = stores.Record(_KEY, value, good.version + 5)
                kept, problem = branches.adopt(good, record)
                self.assertIs(kept, good)
                self.assertIn(f'{_KEY}, version {good.version + 5}', problem)

    def test_an_older_version_is_not_taken(self):
        self.put_all([_text()])
        old = self._record()
        self.put(_text(('s-1', 's-2')), old.version)
        new, _ = branches.adopt(None, self._record())
        self.assertEqual(branches.adopt(new, old), (new, ''))

    def test_last_good_version_is_read_and_a_put_mends_the_value(self):
        version = self.put_all([_text(('s-1', 's-2')), _text()])
        broken = self.store.swap(_KEY, b'garbage', version)
        self.assertEqual(
            changes.read(self.store, 'shop').branch.header.number, 1)
        moved = self.put(_text(port=9500), broken.version)
        self.assertIsInstance(moved, changes.Rejected)
        mended = self.put(_text(), broken.version)
        self.assertEqual(mended.branch, changes.read(self.store, 'shop').branch)

    def test_keys_of_branches(self):
        self.assertEqual(branches.read_team(_KEY), 'shop')
        for key in ('teams/shop/other', 'teams//branch', 'teams/a/b/branch',
                    'history/shop/index', 'teams/branch', '/branch'):
            self.assertIsNone(branches.read_team(key))
