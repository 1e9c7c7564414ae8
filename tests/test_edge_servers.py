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


class SharedAddressWorld(unittest.TestCase):
    """An entry that reads servers, all at the same address.

    A name states a start time after an @.
    """

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
            name:
                tables.Server(name,
                              'stock',
                              'x:1',
                              'd',
                              2,
                              False,
                              0.0,
                              0.0,
                              name=name.partition('@')[0],
                              started_at=(int(name.partition('@')[2])
                                          if '@' in name else None))
            for name in names
        }
        configuration = tables.Configuration(
            1, {}, {'stock': tables.Service('stock', False, 100, 0.0)},
            tables.CallerLimits())
        actor.on_receive(
            control.StoreUpdate(
                ports.StoreSnapshot(configuration, servers, {}, {}, {},
                                    self.revision)))


class SharedAddressTest(SharedAddressWorld):
    """Two processes without start times are listed at the same address."""

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


class UnstatedStartTest(SharedAddressWorld):
    """A server that states its start, and an entry without one beside it."""

    def test_the_entry_without_a_start_time_ends_no_server_that_states_it(self):
        for names in (('i-1@5', 'other'), ('other', 'i-1@5')):
            for first in ((names[0],), (names[1],), ()):
                with self.subTest(names=names, first=first):
                    self.setUp()
                    if first:
                        self._apply(*first)
                    self._apply(*names)
                    self.assertEqual(self.owned.ended_servers, {'other'})
                    self._apply('i-1@5')
                    self.assertNotIn('i-1@5', self.owned.ended_servers)
                    self.assertIn('i-1@5', self.owned.servers)

    def test_it_is_used_once_it_is_listed_alone(self):
        self._apply('i-1@5')
        self._apply('i-1@5', 'other')
        self._apply('other')
        self.assertEqual(self.owned.ended_servers, set())
        self.assertIn('other', self.owned.servers)

    def test_a_later_start_replaces_both(self):
        self._apply('i-1@5', 'other')
        self._apply('i-1@5', 'other', 'i-2@6')
        self.assertEqual(self.owned.ended_servers, {'i-1@5', 'other'})


if __name__ == '__main__':
    unittest.main()
