"""Tests which servers an entry considers running and which ended."""

import io
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import control
from lentilmoor.edge import controlstate
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import tables


class SharedAddressTest(unittest.TestCase):
    """Two processes without start times are listed at the same address."""

    def setUp(self):
        super().setUp()
        self.owned = controlstate.ControlState('e1')
        self.revision = 0

    def _apply(self, *names: str) -> None:
        """Applies a list of servers, all at the same address, to an entry."""
        forwarder = requests.Forwarder(
            clocks.ManualTime(10_000.0).clock(), mock.Mock(),
            logs.make_logger('e1', io.StringIO()), None)
        actor = control.Control(self.owned,
                                forwarder,
                                forwarder.platform,
                                forwarder.logger,
                                mock.Mock(),
                                call=mock.Mock())
        self.revision += 1
        servers = {
            name: tables.Server(name, 'stock', 'x:1', 'd', 2, False, 0.0, 0.0)
            for name in names
        }
        configuration = tables.Configuration(
            1, {}, {'stock': tables.Service('stock', False, 100, 0.0)},
            tables.CallerLimits())
        actor.on_receive(
            control.StoreUpdate(
                ports.StoreSnapshot(configuration, servers, {}, {}, {},
                                    self.revision)))

    def test_first_read_marks_no_process_as_ended_by_order_of_ids(self):
        for names in (('i-1', 'i-2'), ('i-2', 'i-1')):
            self.setUp()
            self._apply(*names)
            self.assertEqual(self.owned.ended_servers, set())

    def test_later_process_marks_the_earlier_one_as_ended(self):
        self._apply('i-old')
        self._apply('i-old', 'i-new')
        self.assertEqual(self.owned.ended_servers, {'i-old'})

    def test_process_listed_alone_again_is_reinstated(self):
        self._apply('i-up')
        self._apply('i-up', 'i-late')
        self.assertEqual(self.owned.ended_servers, {'i-up'})
        self._apply('i-up')
        self.assertEqual(self.owned.ended_servers, set())


if __name__ == '__main__':
    unittest.main()
