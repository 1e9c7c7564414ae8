"""Tests of which servers an entry takes for up, and which for ended."""

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
    """Two processes at one address are listed, and none tells its start."""

    def setUp(self):
        super().setUp()
        self.owned = controlstate.ControlState('e1')
        self.revision = 0

    def _see(self, *names: str) -> None:
        """Has an entry see a list of servers, all at one address."""
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

    def test_no_process_is_ended_by_the_order_of_ids_at_the_first_look(self):
        for names in (('i-1', 'i-2'), ('i-2', 'i-1')):
            self.setUp()
            self._see(*names)
            self.assertEqual(self.owned.ended_servers, set())

    def test_one_that_comes_later_ends_the_one_before(self):
        self._see('i-old')
        self._see('i-old', 'i-new')
        self.assertEqual(self.owned.ended_servers, {'i-old'})

    def test_one_that_goes_on_writing_is_not_ended_for_good(self):
        self._see('i-up')
        self._see('i-up', 'i-late')
        self.assertEqual(self.owned.ended_servers, {'i-up'})
        self._see('i-up')
        self.assertEqual(self.owned.ended_servers, set())


if __name__ == '__main__':
    unittest.main()
