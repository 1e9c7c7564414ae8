"""Tests of other writers' keys and values in an entry's copy of the store."""

import base64
from collections.abc import Iterator
import contextlib
import io
import json
import threading
import time
import unittest
from unittest import mock
import zlib

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import following
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import requests
from lentilmoor.edge import revisions
from lentilmoor.edge import storecopy
from lentilmoor.platform import store
from lentilmoor.platform import views
from standins import platform_store
from tests import oddvalues
from tests import platformhelp

_MAX_LINE_LENGTH = 1_000


def _read_lines(stream: io.StringIO) -> list[dict]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class ViewTest(unittest.TestCase):

    def setUp(self):
        super().setUp()
        self.log = io.StringIO()
        self.view = views.View(clocks.Clock(), logs.make_logger('t', self.log))
        self.revision = 0

    def _apply(self, *values: tuple[str, bytes]) -> ports.StoreSnapshot:
        items = []
        for key, value in values:
            self.revision += 1
            items.append(views.Item(key, value, self.revision))
        return self.view.apply(items, self.revision)

    def test_an_odd_value_is_refused_alone_and_with_one_bounded_line(self):
        for kind in oddvalues.KINDS:
            for data in (*oddvalues.ODD_BYTES, *kind.odd):
                with self.subTest(key=kind.key, data=data[:200]):
                    self.setUp()
                    self._apply((kind.key, kind.valid))
                    found = self._apply(
                        (kind.key, data),
                        ('op/config', oddvalues.CONFIGURATION),
                        ('servers/last', oddvalues.KINDS[0].valid))
                    self.assertEqual(found.configuration.version, 9)
                    self.assertIn('last@5', found.servers)
                    # A server is dropped, other values stay.
                    self.assertEqual(kind.name in getattr(found, kind.field),
                                     kind.field != 'servers')
                    lines = self.log.getvalue().splitlines()
                    self.assertEqual(len(lines), 1)
                    self.assertLess(len(lines[0]), _MAX_LINE_LENGTH)
                    later = self._apply((kind.key, kind.valid))
                    self.assertIn(kind.name, getattr(later, kind.field))

    def test_an_odd_configuration_leaves_the_last_valid_one_in_force(self):
        for data in (*oddvalues.ODD_BYTES, *oddvalues.ODD_CONFIGURATIONS):
            with self.subTest(data=data[:200]):
                self.setUp()
                self._apply(('op/config', oddvalues.CONFIGURATION))
                found = self._apply(('op/config', data),
                                    ('servers/last', oddvalues.KINDS[0].valid))
                self.assertEqual(found.configuration.version, 9)
                self.assertIn('last@5', found.servers)
                lines = self.log.getvalue().splitlines()
                self.assertEqual(len(lines), 1)
                self.assertLess(len(lines[0]), _MAX_LINE_LENGTH)

    def test_an_odd_key_is_refused_alone_and_with_one_bounded_line(self):
        values = {kind.key.rpartition('/')[0]: kind for kind in oddvalues.KINDS}
        for key in oddvalues.ODD_KEYS:
            kind = values[key[:key.index('/', key.startswith('l') and 11)]]
            with self.subTest(key=key[:100]):
                self.setUp()
                found = self._apply((key, kind.valid),
                                    ('servers/last', oddvalues.KINDS[0].valid))
                self.assertEqual(list(found.servers), ['last@5'])
                self.assertFalse(found.entries or found.coordinators or
                                 found.assignments or found.suspects)
                lines = self.log.getvalue().splitlines()
                self.assertEqual(len(lines), 1)
                self.assertLess(len(lines[0]), _MAX_LINE_LENGTH)
                self.view.dump(0)
                self.view.encode_changes(0, 1e9)

    def test_an_assignment_counts_only_for_the_service_in_its_key(self):
        found = self._apply(
            ('lentilmoor/assignment/y', oddvalues.KINDS[3].valid))
        self.assertFalse(found.assignments)

    def test_a_name_passes_to_the_process_that_states_its_start(self):
        stated = oddvalues.KINDS[0].valid
        unstated = stated.replace(b', "born": 5', b'')
        self.assertNotEqual(stated, unstated)
        self._apply(('servers/i', unstated))
        found = self._apply(('servers/i', stated))
        self.assertEqual(list(found.servers), ['i@5'])
        found = self._apply(('servers/i', unstated))
        self.assertEqual(list(found.servers), ['i@5'])

    def test_a_value_refused_again_and_again_is_logged_once(self):
        for _ in range(5):
            self._apply(('servers/i', b'{'))
        self.assertEqual(len(self.log.getvalue().splitlines()), 1)
        self._apply(('servers/i', oddvalues.KINDS[0].valid))
        self._apply(('servers/i', b'{'))
        self.assertEqual(len(self.log.getvalue().splitlines()), 2)

    def test_a_large_value_is_not_passed_on_to_other_entries(self):
        large = oddvalues.KINDS[0].valid[:-1] + b',"L":"%s"}' % bytes(
            range(48, 58)) * 100_000
        other = views.View(clocks.Clock(), logs.make_logger('t', io.StringIO()))
        for valid, count in ((True, 1), (False, 0)):
            self._apply(
                ('servers/i', oddvalues.KINDS[0].valid if valid else large))
            news = self.view.encode_changes(0, 1e9)
            self.assertLess(len(news), 1_000)
            self.assertLess(len(zlib.decompress(self.view.dump(0))), 1_000)
            found = other.merge_news(news, self.revision)
            self.assertEqual(len(found.servers), count)

    def test_a_large_value_that_is_renewed_costs_under_a_millisecond(self):
        text = oddvalues.KINDS[0].valid[:-1]
        for data in (text + b',"L":[' + b'[],' * 333_000 + b'[]]}',
                     text + b',"L":' + oddvalues.NESTED + b'}'):
            took_s = []
            for _ in range(20):
                began = time.perf_counter()
                self._apply(('servers/i', data))
                took_s.append(time.perf_counter() - began)
            self.assertLess(min(took_s), 0.001)


class NewsTest(unittest.TestCase):
    """Tests news and dumps that were cut, changed or made to do harm."""

    def setUp(self):
        super().setUp()
        self.log = io.StringIO()
        self.view = views.View(clocks.Clock(), logs.make_logger('t', self.log))
        self.view.apply([views.Item('servers/i', oddvalues.KINDS[0].valid, 1)],
                        1)
        self.row = views.write_item(
            views.Item('servers/j', oddvalues.KINDS[0].valid, 2))

    def _list_odd_rows(self) -> Iterator[object]:
        yield from (None, 7, 'x', [], {})
        for fields in ({'Key': 7}, {'Key': None}, {'Rev': '2'}, {'Rev': 1.5},
                       {'Rev': -1}, {'Rev': 2**63}, {'Rev': 10**30},
                       {'Rev': None}, {'Rev': True}, {'Value': 7},
                       {'Value': None}, {'Value': 'abc'},
                       {'Value': '\u0661'}, {'Value': []}, {'Packed': 7},
                       {'Packed': None}, {'Packed': ''}, {'Packed': 'AAAA'},
                       {'Packed': '!'},
                       {'Packed': _pack(bytes(100_000_000))},
                       {'Packed': _pack(b'x' * 100)[:12]}):  # yapf: disable
            yield self.row | fields

    def test_news_and_dumps_with_an_odd_row_change_nothing(self):
        # A row left out would count as known, so all of it is refused.
        for row in self._list_odd_rows():
            with self.subTest(row=str(row)[:100]):
                self.setUp()
                rows = [self.row, row]
                self.assertIsNone(
                    self.view.merge_news(json.dumps(rows).encode(), 3))
                fields = {'CurrentRev': 3, 'items': rows}
                self.assertIsNone(
                    self.view.restore(zlib.compress(
                        json.dumps(fields).encode())))
                self._check_refusals(2)

    def test_odd_news_and_dumps_change_nothing(self):
        texts = (b'{', b'7', b'null', b'"x"', b'{"items":7}', b'[7', b'\xff',
                 oddvalues.NESTED, b'[' + oddvalues.NESTED_OBJECTS + b']')
        for text in texts:
            for data in (text, zlib.compress(text), zlib.compress(text)[:-5]):
                with self.subTest(data=data[:50]):
                    self.setUp()
                    self.assertIsNone(self.view.merge_news(data, 3))
                    self.assertIsNone(self.view.restore(data))
                    self._check_refusals(2)

    def test_a_dump_with_odd_revisions_changes_nothing(self):
        for fields in ({
                'CurrentRev': '3'
        }, {
                'CurrentRev': None
        }, {
                'CurrentRev': 2**63
        }, {
                'CurrentRev': -1
        }, {
                'Since': '0'
        }, {
                'Since': 1.5
        }, {
                'Since': 10**30
        }):
            with self.subTest(fields=fields):
                self.setUp()
                fields = {'CurrentRev': 3, 'items': [self.row]} | fields
                self.assertIsNone(
                    self.view.restore(zlib.compress(
                        json.dumps(fields).encode())))
                self._check_refusals(1)

    def test_a_small_text_that_unpacks_to_much_is_refused(self):
        bomb = zlib.compress(b'[' + b' ' * 300_000_000 + b']')
        for use in (lambda: self.view.merge_news(bomb, 3),
                    lambda: self.view.restore(bomb)):
            began = time.process_time()
            self.assertIsNone(use())
            self.assertLess(time.process_time() - began, 0.5)
        self._check_refusals(2)

    def _check_refusals(self, count: int) -> None:
        lines = self.log.getvalue().splitlines()
        self.assertEqual(len(lines), count)
        for line in lines:
            self.assertLess(len(line), _MAX_LINE_LENGTH)
        found = self.view.apply([], 0)
        self.assertEqual((list(found.servers), found.revision), (['i@5'], 1))


def _pack(data: bytes) -> str:
    return base64.b64encode(zlib.compress(data)).decode()


class FollowingTest(unittest.TestCase):

    @contextlib.contextmanager
    def _follow(self) -> Iterator[tuple]:
        """Yields a stand-in, the snapshots applied, and a start."""
        standin = platform_store.PlatformStore()
        self.addCleanup(standin.close)
        clock = clocks.make_suspend_clock()
        logger = logs.make_logger('t', io.StringIO())
        applied: list[ports.StoreSnapshot] = []
        follower = storecopy.StoreFollower(
            ports.Peer('e1', 'a:1'),
            reporting.Reporter('e1',
                               requests.Forwarder(clock, None, logger, None),
                               None, None),
            store.connect_store(standin.address, clock, logger), clock, logger,
            lambda found, heard: applied.append(found), mock.Mock())
        follower.start_count = 1
        thread = threading.Thread(target=following.follow, args=(follower, 1))
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(setattr, follower, 'start_count', 2)
        self.addCleanup(follower.read_now.set)
        yield standin, applied, thread.start
        self.assertTrue(thread.is_alive())

    def _put_all(self, standin: platform_store.PlatformStore) -> None:
        number = 0
        for kind in oddvalues.KINDS:
            prefix = kind.key.rpartition('/')[0]
            for data in (*oddvalues.ODD_BYTES, *kind.odd):
                number += 1
                standin.put(f'{prefix}/{number:032x}', data)
        for key in oddvalues.ODD_KEYS:
            standin.put(key, oddvalues.KINDS[0].valid)
        for data in (*oddvalues.ODD_BYTES, *oddvalues.ODD_CONFIGURATIONS):
            standin.put('op/config', data)

    def test_a_start_on_odd_values_reads_the_rest(self):
        with self._follow() as (standin, applied, start):
            self._put_all(standin)
            for kind in oddvalues.KINDS:
                standin.put(kind.key, kind.valid)
            standin.put('op/config', oddvalues.CONFIGURATION)
            start()
            platformhelp.wait_until(lambda: applied, 5.0)
            self._check_rest(applied[-1])

    def test_odd_values_do_not_end_the_thread_that_watches(self):
        with self._follow() as (standin, applied, start):
            standin.put('op/config', oddvalues.CONFIGURATION)
            start()
            platformhelp.wait_until(lambda: applied, 5.0)
            self._put_all(standin)
            for kind in oddvalues.KINDS:
                standin.put(kind.key, kind.valid)
            platformhelp.wait_until(lambda: applied[-1].suspects, 8.0)
            self._check_rest(applied[-1])

    def _check_rest(self, found: ports.StoreSnapshot) -> None:
        self.assertEqual(found.configuration.version, 9)
        for kind in oddvalues.KINDS:
            self.assertEqual(list(getattr(found, kind.field)), [kind.name])
        self.assertGreater(revisions.find_number(found.revision), 100)


if __name__ == '__main__':
    unittest.main()
