"""Tests that a cut or foreign reply of another entry is refused and logged."""

from collections.abc import Callable
import io
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import learningtables
from lentilmoor.edge import permits
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import storecopy
from lentilmoor.edge import subscriptions
from lentilmoor.edge import tables
from lentilmoor.edge import trialtables
from lentilmoor.platform import store
from tests import bytepeers

_CLOCK = clocks.make_suspend_clock()
_NESTED = b'{"X":' + b'[' * 50_000 + b']' * 50_000 + b'}'
_FOREIGN_BODIES = (b'', b'{}', b'[]', b'null', b'7', b'\xff', b'x\x9c', _NESTED)


class PeerReplyTest(unittest.TestCase):
    """A reply of another call, or without a body, raised or left no trace."""

    def setUp(self):
        super().setUp()
        self._log = io.StringIO()
        logger = logs.make_logger('a', self._log)
        self._peer = bytepeers.Peer(self, closes=False)
        address = self._peer.address
        view = store.connect_store('127.0.0.1:1', _CLOCK, logger)
        forwarder = requests.Forwarder(
            _CLOCK,
            mock.Mock(**{
                'store': view,
                'settings.link_mbps': 200.0,
                'settings.seeds': ()
            }), logger, connections.PoolLimits())
        hub = ports.Peer('hub', address)
        forwarder.snapshot = tables.RoutingSnapshot(None, {}, {}, {'x': hub},
                                                    {'hub': hub})
        reporter = reporting.Reporter('own', forwarder,
                                      httpclient.Client(_CLOCK, 2), mock.Mock())
        follower = storecopy.StoreFollower(ports.Peer('own', 'own:1'), reporter,
                                           view, _CLOCK, logger, mock.Mock(),
                                           mock.Mock())
        permit_table = permits.make_permit_table('own:1', _CLOCK, logger, ())
        trial_table = trialtables.make_trial_table(_CLOCK, logger, ())
        learning_table = learningtables.make_learning_table(_CLOCK, logger, ())
        self._calls: dict[str, Callable[[], object]] = {
            'permit':
                lambda: permit_table.send_request(
                    address, reports.PermitRequest('s', 1.0)),
            'trial':
                lambda: trial_table.send_request(
                    address, reports.TrialRequest('t', b'f')),
            'suspects':
                lambda: learning_table.ask_entry(address),
            'report':
                lambda: reporting.exchange_reports(reporter),
            'state':
                lambda: reporting.fetch_state(reporter, address, 0),
            'news':
                lambda: subscriptions._fetch_news(  # pylint: disable=protected-access
                    follower, address, False),
        }
        self._replies = {
            'permit':
                reports.encode_permit(reports.PermitReply(1.0)),
            'trial':
                reports.encode_trial(reports.TrialReply(True)),
            'suspects':
                reports.encode_suspects_reply(reports.SuspectsReply(True)),
            'report':
                reports.encode_report_reply(
                    reports.ReportReply({}, {}, {}, hub='hub')),
            'state':
                view.dump(0),
            'news':
                reports.encode_news(reports.NewsReply(0, 0, None, 0.0, 0, 0.0)),
        }

    def _check_refused(self, name: str) -> None:
        """Makes a call, which must fail and be logged."""
        self._log.seek(0)
        self._log.truncate()
        result = self._calls[name]()
        if isinstance(result, outcomes.Failed):
            result = None
        self.assertIsNone(result)
        self.assertIn('"event"', self._log.getvalue())

    def test_reply_of_another_call_is_refused(self):
        for name in self._calls:
            bodies = [
                body for other, body in self._replies.items()
                # A permit has no field that a trial doesn't have, but the two
                # never share a connection.
                if other not in (name, 'state') and (name, other) != ('permit',
                                                                      'trial')
            ]
            for body in (*bodies, *_FOREIGN_BODIES):
                self._peer.reply = bytepeers.frame(body)
                with self.subTest(call=name, body=body[:60]):
                    self._check_refused(name)

    def test_reply_cut_at_any_byte_is_refused(self):
        self._peer.closes = True
        for name, body in self._replies.items():
            whole = bytepeers.frame(body)
            for size in range(17, len(whole)):
                self._peer.reply = whole[:size]
                with self.subTest(call=name, size=size):
                    self._check_refused(name)

    def test_other_status_is_refused(self):
        for name, body in self._replies.items():
            self._peer.reply = bytepeers.frame(body, b'503')
            with self.subTest(call=name):
                self._check_refused(name)

    def test_sound_reply_is_taken(self):
        for name in ('permit', 'trial', 'suspects', 'news'):
            self._peer.reply = bytepeers.frame(self._replies[name])
            with self.subTest(call=name):
                result = self._calls[name]()
                self.assertIsNotNone(result)
                self.assertNotIsInstance(result, outcomes.Failed)


if __name__ == '__main__':
    unittest.main()
