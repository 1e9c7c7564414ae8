"""Tests that replies of the store which don't fit their call are refused."""

import base64
import io
import json
import unittest

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.platform import store
from lentilmoor.platform import views
from tests import bytepeers

_CLOCK = clocks.make_suspend_clock()
_NESTED = b'{"X":' + b'[' * 50_000 + b']' * 50_000 + b'}'
_ROW = {
    'Key': views.CONFIGURATION,
    'Value': base64.b64encode(b'x').decode(),
    'Rev': 3,
    'Created': 3,
    'Lease': 0,
    'New': [1]
}
_ODD_ROWS = (
    'x',
    None,
    {},
    _ROW | {
        'Key': 7
    },
    _ROW | {
        'Rev': 'x'
    },
    _ROW | {
        'Rev': -1
    },
    _ROW | {
        'Rev': 10**30
    },
    _ROW | {
        'Rev': 1 << 40
    },
    _ROW | {
        'Value': 'YQ'
    },
    _ROW | {
        'Value': '*'
    },
    _ROW | {
        'Value': 5
    },
    {
        'Key': 'k',
        'Rev': 3
    },
)
_NO_JSON = (b'', b'{}', b'[]', b'null', b'7', b'\xff', b'{"items":', _NESTED,
            b'{"items":{},"events":{},"CurrentRev":3}',
            b'{"items":[],"events":[]}',
            b'{"items":[],"events":[],"CurrentRev":"3"}',
            b'{"items":[],"events":[],"CurrentRev":%s}' % (b'9' * 6_000),
            b'{"events":7,"items":[],"CurrentRev":3,"Truncated":true}')


class StoreTest(unittest.TestCase):
    """A body without events ended the thread that follows the store."""

    def setUp(self):
        super().setUp()
        self._log = io.StringIO()
        self._peer = bytepeers.Peer(self, closes=False)
        self._store = store.connect_store(self._peer.address, _CLOCK,
                                          logs.make_logger('a', self._log))
        # All calls that read the body of a success.
        assignment = keyranges.Assignment('stock', 1, 2, ())
        snapshot = ports.StoreSnapshot(None, {}, {}, {}, {}, 2)
        self._reads = {
            'load': self._store.load,
            'list_entries': self._store.list_entries,
            'load_configuration': self._store.load_configuration,
            'load_assignment': lambda: self._store.load_assignment('stock'),
            'watch': lambda: self._store.watch(snapshot)
        }
        self._writes = {
            'open_lease': lambda: self._store.open_lease(900.0),
            'save': lambda: self._store.save(assignment, 1)
        }

    def _check_refused(self, name, call) -> None:
        result = call()
        self.assertIsInstance(result, outcomes.Failed, name)
        self.assertIs(result.reason, outcomes.Reason.CONNECTION_LOST)
        self.assertIn('store_reply_refused', self._log.getvalue())
        self._log.truncate(0)

    def test_body_that_does_not_fit_is_refused(self):
        for body in _NO_JSON:
            self._peer.reply = bytepeers.frame(body)
            for name, call in (self._reads | self._writes).items():
                with self.subTest(body=body[:40], call=name):
                    self._check_refused(name, call)

    def test_row_that_does_not_fit_is_refused(self):
        for row in _ODD_ROWS:
            fields = {'items': [row], 'events': [row], 'CurrentRev': 3}
            for name, call in self._reads.items():
                is_row = name in ('load_configuration', 'load_assignment')
                self._peer.reply = bytepeers.frame(
                    json.dumps(row if is_row else fields).encode())
                with self.subTest(row=row, call=name):
                    self._check_refused(name, call)

    def test_lease_that_does_not_fit_is_refused(self):
        for fields in ({
                'Lease': 0,
                'TtlMs': 900
        }, {
                'Lease': 'x',
                'TtlMs': 900
        }, {
                'Lease': 1
        }, {
                'Lease': 1,
                'TtlMs': -1
        }, {
                'Lease': 1,
                'TtlMs': 1e300
        }):
            self._peer.reply = bytepeers.frame(json.dumps(fields).encode())
            with self.subTest(fields=fields):
                self._check_refused('open_lease', self._writes['open_lease'])

    def test_refusal_that_does_not_fit_leaves_a_write_unknown(self):
        for body in (b'', b'{}', b'[]', b'{"items":7}', b'{"items":[7]}',
                     b'{"items":[{"Key":"k","Rev":"x"}]}', _NESTED,
                     b'{"items":[{"Key":"k","Rev":1,"Value":"*"}]}'):
            self._peer.reply = bytepeers.frame(body, b'412')
            with self.subTest(body=body[:40]):
                self._check_refused('save', self._writes['save'])

    def test_refusal_for_another_write_is_a_conflict(self):
        body = b'{"items":[{"Key":"k","Rev":0}]}'
        self._peer.reply = bytepeers.frame(body, b'412')
        self.assertIs(self._writes['save']().reason, outcomes.Reason.CONFLICT)

    def test_reply_cut_at_any_byte_is_no_reply(self):
        fields = {'items': [_ROW], 'events': [_ROW], 'CurrentRev': 3}
        whole = bytepeers.frame(json.dumps(fields).encode())
        self._peer.closes = True
        for size in range(len(whole)):
            self._peer.reply = whole[:size]
            for name in ('load', 'watch'):
                with self.subTest(call=name, size=size):
                    result = self._reads[name]()
                    self.assertIsInstance(result, outcomes.Failed)
        self._peer.reply, self._peer.closes = whole, False
        for name in ('load', 'watch'):
            self.assertEqual(self._reads[name]().revision, 3)

    def test_era_in_other_digits_or_without_end_is_refused(self):
        body = json.dumps({'items': [], 'CurrentRev': 3}).encode()
        for era in ('\xb2', '1\xb2', '9' * 5_000, '+1', ''):
            self._peer.reply = bytepeers.frame(body,
                                               headers=b'Store-Era: %s\r\n' %
                                               era.encode('latin-1'))
            with self.subTest(era=era[:10]):
                result = self._store.load()
                self.assertIs(result.reason, outcomes.Reason.INVALID)


if __name__ == '__main__':
    unittest.main()
