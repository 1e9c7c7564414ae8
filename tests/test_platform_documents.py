"""Tests of the adapter's settings, documents, headers and store client."""

import json
import math
import unittest

from lentilmoor import clocks
from lentilmoor import exceptions
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.edge import tables
from lentilmoor.platform import documents
from lentilmoor.platform import headerformat
from lentilmoor.platform import settings
from lentilmoor.platform import store
from standins import platform_store
from tests import platformhelp

_SETTINGS = '''Node=edge-1
Zone=a
Listen.Front=10.0.0.1:80
Listen.Ready=10.0.0.1:81
Listen.Control=10.0.0.1:82
Limits.MemoryMb=300
Limits.CpuShare=0.86
Limits.Cores=2
Limits.LinkMbps=1000.0
Seeds=10.0.0.1:82,10.0.0.2:82
Bounds=DrainMs=2000,GraceS=6,RetryRatio=0.2,RetrySlack=64,RetryWindowS=10,HoldMaxMs=9000,New=1
Platform.Addr=10.9.9.9:84
Something.New=x
'''

_SERVER = {
    'Service': 'x',
    'Addr': '1.2.3.4:5',
    'Zone': 'a',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1
}


class _LogRecorder:
    """Records the error lines that are logged."""

    def __init__(self):
        self.written = []

    def error(self, event: str, **fields) -> None:
        self.written.append((event, fields))


class SettingsTest(unittest.TestCase):

    def test_fields_are_read_and_unknown_ones_ignored(self):
        found, address = settings.parse_settings(_SETTINGS)
        self.assertEqual(address, '10.9.9.9:84')
        self.assertEqual(found.callers, '10.0.0.1:80')
        self.assertEqual(found.bounds.grace_ms, 6_000.0)
        self.assertEqual(found.bounds.config_apply_ms, math.inf)
        self.assertEqual((found.cores, found.link_mbps), (1.72, 1_000.0))
        self.assertEqual(found.seeds, ('10.0.0.1:82', '10.0.0.2:82'))

    def test_memory_of_the_machine_is_read(self):
        found, _ = settings.parse_settings(_SETTINGS)
        self.assertEqual(found.memory_mb, 300.0)
        found, _ = settings.parse_settings(
            _SETTINGS.replace('Limits.MemoryMb=300\n', ''))
        self.assertEqual(found.memory_mb, ports.MIN_MEMORY_MB)

    def test_the_bound_on_configurations_is_read(self):
        found, _ = settings.parse_settings(
            _SETTINGS.replace('New=1', 'ConfigApplyMs=2500'))
        self.assertEqual(found.bounds.config_apply_ms, 2_500.0)

    def test_only_bootstrap_true_means_a_first_start(self):
        for value, first in (('true', True), ('false', False), ('', False)):
            found, _ = settings.parse_settings(_SETTINGS +
                                               f'\nBootstrap={value}\n')
            self.assertIs(found.first_start, first)

    def test_a_bound_that_is_too_short_is_rejected(self):
        with self.assertRaisesRegex(exceptions.SettingsError, 'bounds: 300 ms'):
            settings.parse_settings(
                _SETTINGS.replace('New=1', 'ConfigApplyMs=300'))

    def test_error_messages_name_the_invalid_field(self):
        for before, after, named in (
            ('Zone=a', '', 'Zone: missing'),
            ('10.0.0.1:81', 'here', 'Listen.Ready: expected host:port'),
            ('GraceS=6', 'GraceS=soon', 'Bounds: GraceS: expected a number'),
            ('LinkMbps=1000.0', 'LinkMbps=', 'Limits.LinkMbps: expected'),
            ('MemoryMb=300', 'MemoryMb=all', 'Limits.MemoryMb: expected'),
            ('MemoryMb=300', 'MemoryMb=0', 'Limits.MemoryMb: expected'),
            ('MemoryMb=300', 'MemoryMb=nan', 'Limits.MemoryMb: expected'),
            ('MemoryMb=300', 'MemoryMb=inf', 'Limits.MemoryMb: expected'),
        ):
            with self.assertRaisesRegex(exceptions.SettingsError, named):
                settings.parse_settings(_SETTINGS.replace(before, after))


class DocumentsTest(unittest.TestCase):

    def test_an_operators_configuration_is_parsed(self):
        data = json.dumps(platformhelp.make_configuration(7)).encode()
        found = documents.parse_configuration(data)
        self.assertEqual(found.version, 7)
        self.assertTrue(found.services['catalog'].keyed)
        self.assertEqual(found.routes['order'].repeat, tables.RepeatPolicy.ONCE)
        self.assertEqual(found.routes['report'].repeat,
                         tables.RepeatPolicy.IDEMPOTENT)
        self.assertTrue(found.routes['report'].large_answers)
        self.assertEqual(found.limits.idle_timeout_ms, 15_000.0)

    def test_requests_of_an_unknown_type_are_never_retried(self):
        fields = platformhelp.make_configuration(7)
        fields['Routes']['report']['Type'] = 'newer'
        found = documents.parse_configuration(json.dumps(fields).encode())
        self.assertEqual(found.routes['report'].repeat,
                         tables.RepeatPolicy.ONCE)

    def test_parse_errors_are_returned_and_not_raised(self):
        for data in (b'', b'{}', b'{"Version": 1, "Routes": 7}'):
            self.assertIsInstance(documents.parse_configuration(data), str)
            self.assertIsInstance(documents.parse_server('s', data, 0.0), str)


class HeaderFormatTest(unittest.TestCase):

    def setUp(self):
        self.header_format = headerformat.make_header_format()

    def test_invalid_caller_headers_are_treated_as_absent(self):
        fields = self.header_format.parse_caller_headers({
            b'Lentilmoor-Deadline-Ms': b'soon',
            b'Lentilmoor-Shard-Key': b'12'
        })
        self.assertEqual(fields, ports.CallerHeaders('', None, 12))

    def test_a_servers_answer_headers_are_parsed(self):
        fields = self.header_format.parse_answer_headers(
            200, {
                'Lentilmoor-Upstream-Load': '2,3,2',
                'Keep-Alive': 'timeout=10',
                'Connection': 'Close',
                'Lentilmoor-Upstream-Seal': 'x'
            })
        self.assertEqual(fields.load, ports.ServerLoad(2, 3, 2))
        self.assertEqual(fields.keep_alive_ms, 10_000.0)
        self.assertTrue(fields.closes_connection and fields.has_proof)
        self.assertFalse(fields.not_run)

    def test_an_invalid_rate_limit_is_treated_as_absent(self):
        for text, rate in (('8.5', 8.5), ('0', 0.0), ('', None), ('few', None),
                           ('-1', None), ('nan', None), ('inf', None)):
            fields = self.header_format.parse_answer_headers(
                200, {'Server-Limit': text})
            self.assertEqual(fields.rate_limit, rate)

    def test_retry_after_is_read_from_429_and_503_only(self):
        read = self.header_format.parse_answer_headers
        for status, text, pause_ms in ((503, '3', 3_000.0), (429, '0.5', 500.0),
                                       (200, '3', None), (503, '', None),
                                       (503, '-1', None), (503, 'nan', None),
                                       (503, 'soon', None)):
            fields = read(status, {'Retry-After': text})
            self.assertEqual(fields.retry_after_ms, pause_ms)

    def test_draining_is_read_from_the_server_leaving_header(self):
        read = self.header_format.parse_answer_headers
        self.assertTrue(read(200, {'Server-Leaving': '1'}).draining)
        self.assertFalse(read(200, {'Server-Leaving': '0'}).draining)
        self.assertFalse(read(200, {}).draining)

    def test_only_421_and_the_not_executed_header_mean_not_run(self):
        read = self.header_format.parse_answer_headers
        self.assertTrue(read(421, {}).not_run)
        self.assertTrue(read(503, {'Lentilmoor-Not-Executed': '1'}).not_run)
        self.assertFalse(read(503, {}).not_run)
        self.assertFalse(read(429, {}).not_run)


class StoreTest(unittest.TestCase):

    def setUp(self):
        self.standin = platform_store.PlatformStore()
        self.addCleanup(self.standin.close)
        self.store = store.connect_store(self.standin.address,
                                         clocks.make_suspend_clock(),
                                         logs.make_logger('test'))
        self.assignment = keyranges.Assignment(
            'x', 1, 2, (keyranges.KeyRange(0, 9, 'a', 1),))

    def test_many_items_are_read_in_pages(self):
        for number in range(120):
            self.standin.put(f'servers/i-{number:03}', _SERVER)
        self.assertEqual(len(self.store.load().servers), 120)

    def test_a_write_whose_answer_is_lost_differs_from_another_clients(self):
        self.standin.faults.lose_answers = 1
        revision = self.store.save(self.assignment, 0)
        self.assertIsInstance(revision, int)
        self.assertEqual(
            revision, revisions.combine(self.standin.era,
                                        self.standin.revision))
        rival = self.store.save(self.assignment, 0)
        self.assertEqual(rival.reason, outcomes.Reason.CONFLICT)

    def test_a_write_that_is_executed_late_is_executed_once(self):
        self.standin.faults.late_s = 0.2
        found = self.store.save(self.assignment, 0)
        self.standin.faults.late_s = 0.0
        if isinstance(found, outcomes.Failed):
            found = self.store.save(self.assignment, 0)
        platformhelp.wait_until(
            lambda: 'lentilmoor/assignment/x' in self.standin.items, 3.0)
        self.assertEqual(len(self.standin.events), 1)

    def test_renewing_an_ended_lease_fails(self):
        lease = self.store.open_lease(1_000.0)
        self.assertIsNone(self.store.keep_lease(lease))
        self.assertIsNone(self.store.end_lease(lease))
        found = self.store.keep_lease(lease)
        self.assertEqual(found.reason, outcomes.Reason.NOT_FOUND)

    def test_items_that_do_not_parse_leave_the_last_valid_ones_in_force(self):
        self.store.save(self.assignment, 0)
        before = self.store.load()
        self.standin.put('lentilmoor/assignment/x', {'service': 7})
        self.standin.put('lentilmoor/coordinator/x', b'\xff')
        self.standin.put('servers/i-1', {'Slots': 2})
        after = self.store.load()
        self.assertEqual(list(before.assignments), ['x'])
        self.assertFalse(after.coordinators)
        self.assertFalse(after.servers)

    def test_a_heartbeat_does_not_raise_the_required_revision(self):
        entry = _SERVER
        self.standin.put('servers/i-1', entry)
        first = self.store.load()
        self.standin.put('servers/i-1', entry | {'Seq': 2})
        second = self.store.watch(first)
        self.assertGreater(second.revision, first.revision)
        self.assertEqual(second.required_revision, first.required_revision)
        self.assertIs(second.servers['i-1'], first.servers['i-1'])
        self.standin.put('servers/i-1', entry | {'State': 'draining'})
        third = self.store.watch(second)
        self.assertEqual(third.required_revision, third.revision)
        self.assertTrue(third.servers['i-1'].draining)
        self.standin.delete('servers/i-1')
        self.assertGreater(
            self.store.watch(third).required_revision, third.required_revision)

    def test_an_invalid_registration_adds_no_server(self):
        self.standin.put('servers/i-1', _SERVER)
        self.standin.put('servers/i-2', _SERVER | {'Addr': '1.2.3.4:6'})
        strange = [
            b'\xff\x00', b'', b'[]', b'null', _SERVER | {
                'State': 'retired'
            }, _SERVER | {
                'State': ''
            }, _SERVER | {
                'Slots': '2'
            }, _SERVER | {
                'Slots': 0
            }, _SERVER | {
                'Service': ''
            }, _SERVER | {
                'Service': None
            }, _SERVER | {
                'Addr': 'here'
            }, _SERVER | {
                'Addr': 7
            }, _SERVER | {
                'WarmupLeftMs': '0'
            }, _SERVER | {
                'Seq': 'one'
            }, _SERVER | {
                'born': '1700000000000'
            }, _SERVER | {
                'born': 1.5
            }
        ] + [{
            name: value for name, value in _SERVER.items() if name != left_out
        } for left_out in _SERVER]
        for value in strange:
            self.standin.put('servers/i-x', value)
            self.assertEqual(list(self.store.load().servers), ['i-1', 'i-2'],
                             value)

    def test_an_overwritten_registration_removes_its_server_until_restored(
            self):
        lines = _LogRecorder()
        self.store = store.connect_store(self.standin.address,
                                         clocks.make_suspend_clock(), lines)
        self.standin.put('servers/i-1', _SERVER)
        first = self.store.load()
        self.standin.put('servers/i-1', b'{')
        second = self.store.watch(first)
        self.assertEqual(len(lines.written), 1)
        self.assertFalse(second.servers)
        self.assertEqual(second.required_revision, second.revision)
        self.standin.put('servers/i-1', _SERVER | {'Seq': 2})
        third = self.store.watch(second)
        self.assertEqual(list(third.servers), ['i-1'])

    def test_a_restart_under_the_same_id_is_another_server_lifetime(self):
        self.standin.put('servers/i-1', _SERVER | {'born': 1_000, 'Seq': 70})
        first = self.store.load()
        (old,) = first.servers.values()
        self.standin.put('servers/i-1', _SERVER | {'born': 2_000})
        second = self.store.watch(first)
        (new,) = second.servers.values()
        self.assertEqual(second.required_revision, second.revision)
        self.assertNotEqual(old.id, new.id)
        self.assertEqual((old.name, new.name), ('i-1', 'i-1'))
        self.assertTrue(tables.has_replaced(new, old))
        self.assertFalse(tables.has_replaced(old, new))
        # A heartbeat of the earlier process that was written late.
        self.standin.put('servers/i-1', _SERVER | {'born': 1_000, 'Seq': 71})
        third = self.store.watch(second)
        self.assertEqual(list(third.servers), [new.id])
        self.standin.delete('servers/i-1')
        self.assertFalse(self.store.watch(third).servers)

    def test_an_entry_restores_another_entrys_dump(self):
        self.standin.put('op/config', platformhelp.make_configuration(3))
        self.store.load()
        other = store.connect_store('127.0.0.1:1', clocks.make_suspend_clock(),
                                    logs.make_logger('test'))
        found = other.restore(self.store.dump(0))
        self.assertEqual(found.configuration.version, 3)
        self.assertIsNone(other.restore(self.store.dump(0)))
        self.assertIsNone(other.restore(b'nothing'))


if __name__ == '__main__':
    unittest.main()
