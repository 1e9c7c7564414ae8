"""Tests of key ranges, loads, reports between entries, logs and metrics."""

import dataclasses
import io
import json
import random
import threading
import time
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import linequeue
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import hub
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import loads
from lentilmoor.edge import ports
from lentilmoor.edge import rebalancing
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requestmetrics
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from lentilmoor.edge import workmeans
from tests import edgeworlds

_EVIDENCE = quarantine.Evidence(b'f' * 16, 'x', 1, 20.0, 's1')
_range = edgeworlds.make_range


class KeyRangesTest(unittest.TestCase):

    def test_every_key_has_one_owner_however_ranges_are_cut(self):
        ranges = keyranges.divide_by_weight('abc', {'b': 2.0}, 1)
        self.assertEqual(edgeworlds.count_keys(ranges), tables.KEY_COUNT)
        laid = keyranges.reassign(
            ranges, [_range(100, 200, 'b', 2),
                     _range(60_000, 65_535, 'a', 3)])
        self.assertEqual(edgeworlds.count_keys(laid), tables.KEY_COUNT)
        for one, two in zip(laid, laid[1:], strict=False):
            self.assertEqual(one.last + 1, two.first)
        assignment = keyranges.Assignment('x', 1, 4, laid)
        self.assertEqual(keyranges.find_owner(assignment, 150).server, 'b')
        self.assertEqual(keyranges.find_owner(assignment, 65_535).server, 'a')

    def test_neighbours_are_joined_under_a_fence_of_their_own(self):
        ranges = [
            _range(0, 9, 'a', 1),
            _range(10, 19, 'a', 2),
            _range(20, 29, 'a', 3),
            _range(30, 39, 'b', 4),
            _range(40, 49, 'b', 7)
        ]
        joined, fence = keyranges.merge_under_new_fences(ranges, 8, [(40, 49)])
        self.assertEqual(joined, (_range(0, 29, 'a', 8), _range(
            30, 39, 'b', 4), _range(40, 49, 'b', 7)))
        self.assertEqual(fence, 9)

    def test_a_report_and_its_reply_survive_the_way(self):
        report = reports.Report('e1', {'x': [(7, 's1', 12.5)]}, {'s1': 2},
                                {'x': 9},
                                evidence=[_EVIDENCE],
                                hub='e2')
        self.assertEqual(reports.decode_report(reports.encode_report(report)),
                         report)
        assignment = keyranges.Assignment('x', 2, 9, (_range(0, 9, 'a'),),
                                          {'a': 3.0}, {'a': 'a:1'}, 'e1')
        told = tables.CoordinatorStatus([(1, 2)], {'s1': 12.5})
        reply = reports.ReportReply({'s1': 3}, {'x': assignment}, {'x': told},
                                    evidence=[_EVIDENCE])
        found = reports.decode_report_reply(reports.encode_report_reply(reply))
        self.assertEqual(found, reply)
        self.assertEqual(found.assignments['x'].addresses, {'a': 'a:1'})

    def test_newest_answer_determines_rate_limit(self):
        # A late report must not replace a limit from a newer answer.
        table = hub.HubTable()
        hub.record_limits(table, {'s1': (8.5, 100.0)}, 1_000.0)
        hub.record_limits(table, {'s1': (None, 300.0)}, 1_100.0)
        self.assertEqual(hub.list_limits(table, 1_200.0), {'s1': (8.5, 300.0)})
        hub.record_limits(table, {'s1': (None, 50.0)}, 1_300.0)
        self.assertEqual(hub.list_limits(table, 1_300.0), {'s1': (None, 50.0)})
        self.assertEqual(
            hub.list_limits(table, 1_300.0 + hub.LIMIT_RETENTION_MS), {})

    def test_what_is_no_report_is_refused(self):
        for data in (b'', b'[]', b'{"entry": 1}', b'\xff'):
            self.assertIsNone(reports.decode_report(data))
            self.assertIsNone(reports.decode_report_reply(data))


class LoadsTest(unittest.TestCase):

    def test_refused_requests_move_keys_of_a_server_at_its_limit(self):
        # A full server answers at its limit: what it served alone looked like
        # its share, and its hot keys stayed.
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abcd'
        ]
        ranges = keyranges.divide_by_weight('abcd', {}, 1)
        rows = [(key,
                 keyranges.find_owner(keyranges.Assignment('x', 1, 1, ranges),
                                      key).server, 60.0)
                for key in range(0, tables.KEY_COUNT, 700)]
        table.add(rows, 0.0)
        self.assertEqual(table.plan_transfers(ranges, servers, 0.0), [])
        refused = [(key, 'a', 0.0) for key in range(20, 60)] * 3
        table.add(refused, 600.0)
        moved = table.plan_transfers(ranges, servers, 1_200.0)
        self.assertTrue(moved)
        self.assertEqual({item.source for item in moved}, {'a'})
        self.assertEqual(table.work_means['a'].ms, 60.0)

    def test_a_successor_begins_with_what_was_learned(self):
        table = loads.LoadTable()
        table.seed_work_means({'a': 50.0, 'b': 100.0})
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abc'
        ]
        found = table.find_capacities(servers, 0.0)
        self.assertGreater(found['a'], 1.3)
        self.assertLess(found['b'], 0.8)
        self.assertEqual(found['c'], 1.0)

    def test_share_of_load_stays_below_rate_limit(self):
        # A rate-limited server must not be assigned more load than it accepts.
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abcd'
        ]
        # 100 requests per second until the decaying counts are stable.
        for step in range(100):
            rows = [
                (key, 'a', 50.0) for key in range(0, tables.KEY_COUNT, 3_277)
            ]
            table.add(rows, step * 200.0)
        now = 20_000.0
        unlimited = table.find_capacities(servers, now)
        self.assertEqual(table.find_capacities(servers, now, {'a': 60.0}),
                         unlimited)
        for limits in ({'a': 5.0}, {'a': 5.0, 'b': 10.0}, {'a': 0.0}):
            found = table.find_capacities(servers, now, limits)
            weights = {
                name: capacity**rebalancing.SPEED_EXPONENT
                for name, capacity in found.items()
            }
            for name, rate in limits.items():
                share = weights[name] / sum(weights.values()) * 100.0
                self.assertLessEqual(share, max(rate, 0.1))
                self.assertGreaterEqual(share, rate * 0.6)
            self.assertEqual(found['d'], unlimited['d'])

    def test_keys_move_off_server_that_runs_no_requests(self):
        # Keys must not stay at a server that refuses all requests for them.
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abcd'
        ]
        ranges = keyranges.divide_by_weight('abcd', {}, 1)
        for step in range(10):
            rows = []
            for key in range(0, tables.KEY_COUNT, 700):
                owner = keyranges.find_range(ranges, key).server
                rows.append((key, owner, 0.0 if owner == 'a' else 50.0))
            table.add(rows, step * 250.0)
            moved = table.plan_transfers(ranges, servers, step * 250.0)
            is_refusing = step * 250.0 >= loads.MIN_REFUSED_MS
            self.assertEqual({item.source for item in moved},
                             {'a'} if is_refusing else set())
        self.assertNotIn('a', {item.target for item in moved})
        table.add([(0, 'a', 50.0)], 2_500.0)
        self.assertEqual(table.plan_transfers(ranges, servers, 2_500.0), [])

    def test_capacity_is_restored_when_refusals_expire(self):
        # A server without keys gets no requests that could end the refusals.
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'ab'
        ]
        for now in (0.0, loads.MIN_REFUSED_MS):
            rows = [(0, 'a', 0.0)] * loads.MIN_REFUSED_REQUESTS
            table.add([*rows, (1, 'b', 50.0)], now)
        self.assertLess(table.find_capacities(servers, now)['a'], 0.1)
        expired_at = now + loads.REFUSAL_RETENTION_MS + 1.0
        self.assertEqual(table.find_capacities(servers, expired_at)['a'], 1.0)

    def test_scraps_are_joined_when_there_are_many(self):
        ranges = []
        for number in range(40):
            ranges.append(
                _range(number * 1_000, number * 1_000 + 989, 'ab'[number % 2],
                       1))
            ranges.append(
                _range(number * 1_000 + 990, number * 1_000 + 999,
                       'ba'[number % 2], 2))
        load = keyloads.KeyLoads({})
        joins = rebalancing.plan_range_merges(ranges, load, {
            'a': 1.0,
            'b': 1.0
        })
        self.assertEqual(len(joins), rebalancing.MAX_RANGE_MERGES)
        for item in joins:
            self.assertEqual(item.last - item.first, 9)


class WorkMeanTest(unittest.TestCase):
    """Times of work vary as much as their mean."""

    def setUp(self):
        super().setUp()
        self.draw = random.Random(5)
        self.mean = workmeans.WorkMean()
        self._add(100.0, 400)

    def _add(self, ms: float, count: int) -> None:
        for _ in range(count):
            workmeans.record(self.mean,
                             ms * self.draw.lognormvariate(-0.32, 0.8))

    def test_chance_does_not_make_a_server_slow(self):
        for _ in range(200):
            self._add(100.0, 10)
            self.assertLess(self.mean.ms, 160.0)
            self.assertGreater(self.mean.ms, 60.0)

    def test_a_server_that_turns_slow_is_told_after_a_few_answers(self):
        self._add(500.0, 20)
        self.assertGreater(self.mean.ms, 300.0)
        self._add(100.0, 150)
        self.assertLess(self.mean.ms, 180.0)

    def test_keys_leave_a_server_that_answers_nothing_in_time(self):
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abcd'
        ]
        ranges = keyranges.divide_by_weight('abcd', {}, 1)
        assignment = keyranges.Assignment('x', 1, 1, ranges)

        def report(slow_ms: float, now: float) -> None:
            rows = []
            for key in range(0, tables.KEY_COUNT, 1_200):
                server = keyranges.find_owner(assignment, key).server
                work_ms = slow_ms if server == 'a' else 220.0
                rows.append((key, server, work_ms))
            table.add(rows, now)

        for second in range(4):
            report(220.0, second * 1_000.0)
        self.assertEqual(table.plan_transfers(ranges, servers, 4_000.0), [])
        report(1_400.0, 5_000.0)
        moved = table.plan_transfers(ranges, servers, 5_600.0)
        self.assertIn('a', {item.source for item in moved})


class HubTest(unittest.TestCase):

    def test_requests_under_way_add_up_over_entries(self):
        table = hub.HubTable()
        hub.record_inflight(table, 'e1', {'a': 2}, 0.0)
        hub.record_inflight(table, 'e2', {'a': 3, 'b': 1}, 0.0)
        self.assertEqual(hub.count_others_inflight(table, 'e1', 10.0), {
            'a': 3,
            'b': 1
        })
        hub.record_inflight(table, 'e2', {'b': 2}, 5.0)
        self.assertEqual(hub.count_others_inflight(table, 'e1', 10.0), {'b': 2})
        self.assertEqual(hub.count_others_inflight(table, 'e3', 10.0), {
            'a': 2,
            'b': 2
        })
        self.assertEqual(
            hub.count_others_inflight(table, 'e1',
                                      hub.REPORT_RETENTION_MS + 10.0), {})


def _make_crashes() -> list[quarantine.Evidence]:
    """Returns evidence that blocks a request."""
    return [
        dataclasses.replace(_EVIDENCE, age_ms=age_ms, server=f's{age_ms}')
        for age_ms in (1_000.0, 2_000.0, 3_000.0)
    ]


class ReportingTest(unittest.TestCase):
    """An entry that two services' coordinators tell what they decide."""

    def setUp(self):
        super().setUp()
        clock = clocks.ManualTime().clock()
        store = mock.Mock(**{'encode_news.return_value': b'news'})
        platform = mock.Mock(store=store,
                             **{
                                 'settings.link_mbps': 1_000.0,
                                 'settings.seeds': (),
                                 'settings.control': 'a:9'
                             })
        self.forwarder = requests.Forwarder(clock,
                                            platform,
                                            logs.make_logger('test'),
                                            None,
                                            suspects=suspects.make_quarantine())
        peers = {
            'x': ports.Peer('e1', 'a:1'),
            'y': ports.Peer('e2', 'a:2'),
        }
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, peers, {})
        self.replies = {
            'a:1':
                reports.ReportReply(
                    {}, {},
                    {'x': tables.CoordinatorStatus([(1, 2)], {'s1': 30.0})},
                    hub='e1',
                    evidence=_make_crashes(),
                    evidence_version=4),
            'a:2':
                reports.ReportReply(
                    {'s2': 3}, {},
                    {'y': tables.CoordinatorStatus([(7, 9)], {'s2': 70.0})},
                    hub='e2'),
        }
        self.reporter = reporting.Reporter('e9', self.forwarder, self, None)
        self.sent: list[tuple[str, reports.Report]] = []

    def call(self, address, request, unused_timeout_ms):
        """Stands in for a caller of other entries."""
        self.sent.append((address, reports.decode_report(request.body)))
        if address not in self.replies:
            return outcomes.Failed(outcomes.Reason.CONNECT_FAILED, 'down')
        data = reports.encode_report_reply(self.replies[address])
        return httpclient.Reply(200, {}, data)

    def test_what_each_tells_of_its_service_stands_beside_the_other(self):
        reporting.exchange_reports(self.reporter)
        self.assertEqual(self.forwarder.unserved_ranges, {
            'x': [(1, 2)],
            'y': [(7, 9)]
        })
        self.assertEqual(self.forwarder.server_states['s1'].shared_work_ms,
                         30.0)
        self.assertEqual(self.forwarder.server_states['s2'].shared_work_ms,
                         70.0)

    def test_what_a_lost_one_told_of_its_service_is_forgotten(self):
        reporting.exchange_reports(self.reporter)
        del self.replies['a:1']
        reporting.exchange_reports(self.reporter)
        self.assertEqual(self.forwarder.unserved_ranges, {'y': [(7, 9)]})

    def test_what_a_lost_one_told_to_be_blocked_stays_blocked(self):
        reporting.exchange_reports(self.reporter)
        del self.replies['a:1']
        for _ in range(2):
            reporting.exchange_reports(self.reporter)
            self.assertEqual(
                quarantine.list_blocked(self.forwarder.suspects, 0.0).keys(),
                {_EVIDENCE.fingerprint})

    def test_evidence_is_told_again_until_it_has_arrived(self):
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's9', 0.0)
        replies, self.replies = self.replies, {}
        reporting.exchange_reports(self.reporter)
        self.replies = replies
        self.sent.clear()
        for _ in range(3):
            reporting.exchange_reports(self.reporter)
        told = [[item.server
                 for item in report.evidence]
                for address, report in self.sent
                if address == 'a:2']
        self.assertIn('s9', told[0])
        self.assertEqual(told[-1], [])

    def test_another_process_at_the_address_of_the_hub_is_told_everything(self):
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's9', 0.0)
        reporting.exchange_reports(self.reporter)
        self.replies['a:2'] = reports.ReportReply({}, {}, {}, hub='other')
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's8', 0.0)
        reporting.exchange_reports(self.reporter)
        peers = self.forwarder.snapshot.coordinators | {
            'y': ports.Peer('other', 'a:2')
        }
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, peers, {})
        self.sent.clear()
        reporting.exchange_reports(self.reporter)
        told = {
            item.server for address, report in self.sent if address == 'a:2'
            for item in report.evidence
        }
        self.assertLessEqual({'s8', 's9'}, told)

    def test_evidence_goes_to_others_where_no_hub_answers(self):
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's9', 0.0)
        self.replies = {'a:3': reports.ReportReply({}, {}, {}, hub='e3')}
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, self.forwarder.snapshot.coordinators,
            {'e3': ports.Peer('e3', 'a:3')})
        reporting.exchange_reports(self.reporter)
        address, report = self.sent[-1]
        self.assertEqual(address, 'a:3')
        self.assertEqual([item.server for item in report.evidence], ['s9'])

    def test_an_entry_tells_only_of_services_that_it_coordinates(self):
        reporting.exchange_reports(self.reporter)
        report = reports.Report('e3', {}, {}, {})
        found = reporting.handle_report(self.reporter, report)
        self.assertEqual(found.coordinated, {})
        self.assertEqual(found.changes, b'news')


class _StuckStream(io.StringIO):
    """A stream that nobody reads."""

    def __init__(self):
        super().__init__()
        self.go = threading.Event()

    def write(self, text: str) -> int:
        self.go.wait()
        return super().write(text)


class _ShortWrites(io.RawIOBase):
    """A descriptor that takes a part of what is written, as a pipe may."""

    def __init__(self):
        super().__init__()
        self.taken = b''

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        part = bytes(data[:1_000])
        self.taken += part
        return len(part)


class _CutWrites(io.RawIOBase):
    """A descriptor whose reader keeps no more than 8 KB of each write."""

    def __init__(self):
        super().__init__()
        self.taken = b''

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        self.taken += bytes(data[:8_192])
        return len(data)


class LineQueueTest(unittest.TestCase):

    def test_a_reader_of_short_writes_gets_all_lines(self):
        # The lines after the first 34 of one instant were missing.
        raw = _CutWrites()
        stream = io.TextIOWrapper(io.BufferedWriter(raw), encoding='utf-8')
        lines = linequeue.LineQueue(stream, clocks.ManualTime().clock())
        expected = [f'{number:0240}\n' for number in range(200)]
        expected.insert(7, 'x' * 6_000 + '\n')
        for line in expected:
            lines.write(line)
        lines.close()
        self.assertEqual(raw.taken.decode(), ''.join(expected))

    def test_lines_that_are_written_together_all_arrive(self):
        # An unbuffered stream hands on the first part, and tells of no rest.
        raw = _ShortWrites()
        stream = io.TextIOWrapper(raw, encoding='utf-8', write_through=True)
        lines = linequeue.LineQueue(stream, clocks.ManualTime().clock())
        expected = [f'{number:0250}\n' for number in range(200)]
        for line in expected:
            lines.write(line)
        lines.close()
        self.assertEqual(raw.taken.decode(), ''.join(expected))

    def test_a_reader_that_is_stuck_costs_lines_and_no_time(self):
        stream = _StuckStream()
        time_ = clocks.ManualTime()
        lines = linequeue.LineQueue(stream, time_.clock())
        began = time.monotonic()
        for number in range(20_000):
            lines.write(f'{number}\n')
            time_.advance(5.0)
        self.assertLess(time.monotonic() - began, 2.0)
        stream.go.set()
        lines.write('last\n')
        lines.close()
        self.assertIn('lines_left_out', stream.getvalue())

    def test_a_flood_is_cut_and_counted(self):
        stream = io.StringIO()
        time_ = clocks.ManualTime()
        lines = linequeue.LineQueue(stream, time_.clock())
        for _ in range(1_000):
            lines.write('x\n')
        time_.advance(1_000.0)
        lines.write('next\n')
        lines.close()
        text = stream.getvalue()
        self.assertEqual(text.count('x\n'), linequeue.LINES_PER_S)
        # The writing thread may tell of them in several lines.
        counts = [
            json.loads(line)['count']
            for line in text.splitlines()
            if 'lines_left_out' in line
        ]
        self.assertEqual(sum(counts), 700)


class MeasuresTest(unittest.TestCase):

    def test_counts_and_times_are_shown(self):
        found = requestmetrics.RequestMetrics(clocks.Clock())
        found.record('answered', '200', 12.0)
        found.record('not-run', 'overloaded', 0.0)
        text = found.render({'entries': 3.0}).decode()
        self.assertIn(
            'lentilmoor_requests_total{outcome="answered",reason="200"} 1.0',
            text)
        self.assertIn('lentilmoor_entries 3.0', text)
        self.assertIn('lentilmoor_request_ms_count{outcome="answered"} 1.0',
                      text)


if __name__ == '__main__':
    unittest.main()
