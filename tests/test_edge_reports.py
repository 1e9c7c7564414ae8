"""Tests of key ranges, loads, reports between entries, logs and metrics."""

import dataclasses
import io
import json
import random
import threading
import time
import unittest
from unittest import mock

from lentilmoor import answerheads
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
from lentilmoor.edge import refusedanswers
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

    def test_every_key_has_one_owner_after_reassignment(self):
        ranges = keyranges.divide_by_weight('abc', {'b': 2.0}, 1)
        self.assertEqual(edgeworlds.count_keys(ranges), tables.KEY_COUNT)
        reassigned = keyranges.reassign(
            ranges, [_range(100, 200, 'b', 2),
                     _range(60_000, 65_535, 'a', 3)])
        self.assertEqual(edgeworlds.count_keys(reassigned), tables.KEY_COUNT)
        for one, two in zip(reassigned, reassigned[1:], strict=False):
            self.assertEqual(one.last + 1, two.first)
        assignment = keyranges.Assignment('x', 1, 4, reassigned)
        self.assertEqual(keyranges.find_owner(assignment, 150).server, 'b')
        self.assertEqual(keyranges.find_owner(assignment, 65_535).server, 'a')

    def test_joined_neighbours_get_new_fences(self):
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

    def test_encoded_report_and_reply_decode_to_the_same(self):
        report = reports.Report('e1', {'x': [(7, 's1', 12.5)]}, {'s1': 2},
                                {'x': 9},
                                evidence=[_EVIDENCE],
                                hub='e2')
        self.assertEqual(reports.decode_report(reports.encode_report(report)),
                         report)
        assignment = keyranges.Assignment('x', 2, 9, (_range(0, 9, 'a'),),
                                          {'a': 3.0}, {'a': 'a:1'}, 'e1')
        coordinated = tables.CoordinatorStatus([(1, 2)], {'s1': 12.5})
        reply = reports.ReportReply({'s1': 3}, {'x': assignment},
                                    {'x': coordinated},
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

    def test_invalid_messages_decode_to_none(self):
        for data in (b'', b'[]', b'{"entry": 1}', b'\xff'):
            self.assertIsNone(reports.decode_report(data))
            self.assertIsNone(reports.decode_report_reply(data))


class LoadsTest(unittest.TestCase):

    def test_refused_requests_move_keys_off_server_at_its_limit(self):
        # A saturated server serves requests at its limit. If only served
        # requests counted, it would seem to have its share of the load and
        # would keep its hot keys.
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

    def test_successor_starts_with_recorded_times_of_work(self):
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

    def test_small_ranges_are_joined_when_there_are_many(self):
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
    """Tests means of times of work that vary as much as their mean."""

    def setUp(self):
        super().setUp()
        self.draw = random.Random(5)
        self.mean = workmeans.WorkMean()
        self._add(100.0, 400)

    def _add(self, ms: float, count: int) -> None:
        for _ in range(count):
            workmeans.record(self.mean,
                             ms * self.draw.lognormvariate(-0.32, 0.8))

    def test_variance_does_not_make_a_server_slow(self):
        for _ in range(200):
            self._add(100.0, 10)
            self.assertLess(self.mean.ms, 160.0)
            self.assertGreater(self.mean.ms, 60.0)

    def test_slowdown_is_detected_after_a_few_answers(self):
        self._add(500.0, 20)
        self.assertGreater(self.mean.ms, 300.0)
        self._add(100.0, 150)
        self.assertLess(self.mean.ms, 180.0)

    def test_keys_move_off_server_that_misses_deadlines(self):
        table = loads.LoadTable()
        servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in 'abcd'
        ]
        ranges = keyranges.divide_by_weight('abcd', {}, 1)
        assignment = keyranges.Assignment('x', 1, 1, ranges)

        def add_requests(slow_ms: float, now: float) -> None:
            rows = []
            for key in range(0, tables.KEY_COUNT, 1_200):
                server = keyranges.find_owner(assignment, key).server
                work_ms = slow_ms if server == 'a' else 220.0
                rows.append((key, server, work_ms))
            table.add(rows, now)

        for second in range(4):
            add_requests(220.0, second * 1_000.0)
        self.assertEqual(table.plan_transfers(ranges, servers, 4_000.0), [])
        add_requests(1_400.0, 5_000.0)
        moved = table.plan_transfers(ranges, servers, 5_600.0)
        self.assertIn('a', {item.source for item in moved})


class HubTest(unittest.TestCase):

    def test_requests_in_flight_add_up_over_entries(self):
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
    """An entry exchanges reports with the coordinators of two services."""

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
        """Replaces `httpclient.Client.call`."""
        self.sent.append((address, reports.decode_report(request.body)))
        if address not in self.replies:
            return outcomes.Failed(outcomes.Reason.CONNECT_FAILED, 'down')
        data = reports.encode_report_reply(self.replies[address])
        return httpclient.Reply(200, {}, data)

    def test_replies_of_two_coordinators_are_combined(self):
        reporting.exchange_reports(self.reporter)
        self.assertEqual(self.forwarder.unserved_ranges, {
            'x': [(1, 2)],
            'y': [(7, 9)]
        })
        self.assertEqual(self.forwarder.server_states['s1'].shared_work_ms,
                         30.0)
        self.assertEqual(self.forwarder.server_states['s2'].shared_work_ms,
                         70.0)

    def test_state_from_failed_coordinator_is_dropped(self):
        reporting.exchange_reports(self.reporter)
        del self.replies['a:1']
        reporting.exchange_reports(self.reporter)
        self.assertEqual(self.forwarder.unserved_ranges, {'y': [(7, 9)]})

    def test_requests_blocked_by_failed_coordinator_stay_blocked(self):
        reporting.exchange_reports(self.reporter)
        del self.replies['a:1']
        for _ in range(2):
            reporting.exchange_reports(self.reporter)
            self.assertEqual(
                quarantine.list_blocked(self.forwarder.suspects, 0.0).keys(),
                {_EVIDENCE.fingerprint})

    def test_evidence_is_sent_until_it_is_confirmed(self):
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's9', 0.0)
        replies, self.replies = self.replies, {}
        reporting.exchange_reports(self.reporter)
        self.replies = replies
        self.sent.clear()
        for _ in range(3):
            reporting.exchange_reports(self.reporter)
        sent_evidence = [[item.server
                          for item in report.evidence]
                         for address, report in self.sent
                         if address == 'a:2']
        self.assertIn('s9', sent_evidence[0])
        self.assertEqual(sent_evidence[-1], [])

    def test_new_process_at_hub_address_receives_all_evidence(self):
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
        sent_evidence = {
            item.server for address, report in self.sent if address == 'a:2'
            for item in report.evidence
        }
        self.assertLessEqual({'s8', 's9'}, sent_evidence)

    def test_evidence_is_sent_to_other_entry_when_no_hub_answers(self):
        quarantine.report_server_crash(self.forwarder.suspects, 'x', 's9', 0.0)
        self.replies = {'a:3': reports.ReportReply({}, {}, {}, hub='e3')}
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {}, {}, self.forwarder.snapshot.coordinators,
            {'e3': ports.Peer('e3', 'a:3')})
        reporting.exchange_reports(self.reporter)
        address, report = self.sent[-1]
        self.assertEqual(address, 'a:3')
        self.assertEqual([item.server for item in report.evidence], ['s9'])

    def test_reply_contains_only_coordinated_services(self):
        reporting.exchange_reports(self.reporter)
        report = reports.Report('e3', {}, {}, {})
        found = reporting.handle_report(self.reporter, report)
        self.assertEqual(found.coordinated, {})
        self.assertEqual(found.changes, b'news')


class _BlockedStream(io.StringIO):
    """A stream on which writes block until `unblocked` is set."""

    def __init__(self):
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text: str) -> int:
        self.unblocked.wait()
        return super().write(text)


class _PartialWrites(io.RawIOBase):
    """A descriptor that accepts only part of each write, as a pipe may."""

    def __init__(self):
        super().__init__()
        self.written = b''

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        part = bytes(data[:1_000])
        self.written += part
        return len(part)


class _TruncatedWrites(io.RawIOBase):
    """A descriptor whose reader keeps only the first 8 KB of each write."""

    def __init__(self):
        super().__init__()
        self.written = b''

    def writable(self) -> bool:
        return True

    def write(self, data) -> int:
        self.written += bytes(data[:8_192])
        return len(data)


class LineQueueTest(unittest.TestCase):

    def test_lines_are_complete_when_reader_truncates_large_writes(self):
        # Of the lines written at the same time, those after the first 34 were
        # lost.
        raw = _TruncatedWrites()
        stream = io.TextIOWrapper(io.BufferedWriter(raw), encoding='utf-8')
        lines = linequeue.LineQueue(stream, clocks.ManualTime().clock())
        expected = [f'{number:0240}\n' for number in range(200)]
        expected.insert(7, 'x' * 6_000 + '\n')
        for line in expected:
            lines.write(line)
        lines.close()
        self.assertEqual(raw.written.decode(), ''.join(expected))

    def test_lines_are_complete_after_partial_writes(self):
        # An unbuffered stream writes only the first part and does not report
        # the remainder.
        raw = _PartialWrites()
        stream = io.TextIOWrapper(raw, encoding='utf-8', write_through=True)
        lines = linequeue.LineQueue(stream, clocks.ManualTime().clock())
        expected = [f'{number:0250}\n' for number in range(200)]
        for line in expected:
            lines.write(line)
        lines.close()
        self.assertEqual(raw.written.decode(), ''.join(expected))

    def test_blocked_reader_loses_lines_without_delaying_writers(self):
        stream = _BlockedStream()
        time_ = clocks.ManualTime()
        lines = linequeue.LineQueue(stream, time_.clock())
        began = time.monotonic()
        for number in range(20_000):
            lines.write(f'{number}\n')
            time_.advance(5.0)
        self.assertLess(time.monotonic() - began, 2.0)
        stream.unblocked.set()
        lines.write('last\n')
        lines.close()
        self.assertIn('lines_left_out', stream.getvalue())

    def test_excess_lines_are_dropped_and_counted(self):
        stream = io.StringIO()
        time_ = clocks.ManualTime()
        lines = linequeue.LineQueue(stream, time_.clock())
        for _ in range(1_000):
            lines.write('x\n')
        time_.advance(1_000.0)
        lines.write('next\n')
        lines.close()
        text = stream.getvalue()
        self.assertEqual(text.count('x\n'), linequeue.MAX_LINES_PER_S)
        # The writing thread may report the count in several lines.
        counts = [
            json.loads(line)['count']
            for line in text.splitlines()
            if 'lines_left_out' in line
        ]
        self.assertEqual(sum(counts), 700)


class MeasuresTest(unittest.TestCase):

    def test_metrics_contain_counts_and_times(self):
        found = requestmetrics.RequestMetrics(clocks.Clock())
        found.record('answered', '200', 12.0)
        found.record('not-run', 'overloaded', 0.0)
        text = found.render({'entries': 3.0}, {}).decode()
        self.assertIn(
            'lentilmoor_requests_total{outcome="answered",reason="200"} 1.0',
            text)
        self.assertIn('lentilmoor_entries 3.0', text)
        self.assertIn('lentilmoor_request_ms_count{outcome="answered"} 1.0',
                      text)

    def test_metrics_name_the_servers_whose_answers_were_refused(self):
        found = requestmetrics.RequestMetrics(clocks.Clock())
        table = refusedanswers.RefusedAnswers()
        for number in range(refusedanswers.MAX_SERVERS + 1):
            for server in (f's{number}', 'faulty'):
                refusedanswers.note(table, logs.make_logger('e1'), 'r1', server,
                                    answerheads.Fault.HEAD_CUT, '')
            found.render({}, refusedanswers.list_counts(table))
        text = found.render({}, refusedanswers.list_counts(table)).decode()
        lines = [
            line for line in text.splitlines()
            if line.startswith('lentilmoor_refused_answers_total{')
        ]
        self.assertEqual(len(lines), refusedanswers.MAX_SERVERS)
        self.assertIn(
            'lentilmoor_refused_answers_total{fault="head-cut",server="faulty"}'
            f' {refusedanswers.MAX_SERVERS + 1}.0', lines)
        self.assertNotIn('"s0"', text)


if __name__ == '__main__':
    unittest.main()
