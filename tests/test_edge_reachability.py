"""Tests of how an entry finds that it reaches no backend server."""

import dataclasses
import io
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reachability
from lentilmoor.edge import requests
from lentilmoor.edge import tables


def _make_server(name: str, service: str) -> tables.Server:
    return tables.Server(name, service, f'{name}:1', 'd', 2, False, 0.0, 0.0)


_SERVERS = {
    'keyed': {
        name: _make_server(name, 'keyed') for name in ('k1', 'k2')
    },
    'orders': {
        name: _make_server(name, 'orders') for name in ('o1', 'o2')
    }
}
_CONFIGURATION = tables.Configuration(1, {}, {
    'keyed': tables.Service('keyed', True, 100, 0.0, '/keyed-health'),
    'orders': tables.Service('orders', False, 100, 0.0, '/orders-health')
}, tables.CallerLimits())


class ReachabilityCase(unittest.TestCase):
    """An entry whose checks of servers are answered as a test says."""

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime(100_000.0)
        self.reached: set[str] = set()
        self.checked: list[tuple[str, str]] = []
        platform = mock.Mock()
        platform.servers.check = self._check
        self.forwarder = requests.Forwarder(
            self.time.clock(), platform,
            logs.make_logger('test', io.StringIO()), mock.Mock())
        self.forwarder.snapshot = tables.RoutingSnapshot(
            _CONFIGURATION, _SERVERS, {}, {}, {})
        reachability.note_answer(self.forwarder)

    def _check(self, server: tables.Server, path: str,
               unused_timeout_ms: float) -> bool:
        self.checked.append((server.id, path))
        return server.id in self.reached

    def _fail(self, *servers: str) -> None:
        for server in servers:
            reachability.note_failure(self.forwarder, server)

    def _step(self) -> bool:
        """Runs due checks; returns whether no server is reached."""
        with mock.patch('threading.Thread') as thread:
            reachability.step(self.forwarder)
            started = thread.called
        if started:
            reachability.check_servers(self.forwarder)
            self.forwarder.reachability.is_checking = False
        return self.forwarder.reachability.is_lost

    def _cut(self) -> None:
        self.time.advance(reachability.SILENCE_MS)
        self._fail('k1', 'o1')
        self.assertTrue(self._step())


class DetectionTest(ReachabilityCase):

    def test_entry_that_reaches_no_server_knows_it(self):
        self._cut()
        self.assertEqual({server[0] for server, _ in self.checked}, {'k', 'o'})

    def test_requests_without_an_answer_are_enough(self):
        for server in ('k1', 'o1'):
            run = requests.Run(mock.Mock(), mock.Mock(), mock.Mock(), 0.0)
            run.server, run.sent_at = server, self.time.at
            self.forwarder.in_flight.add(run)
        self.assertFalse(self._step())
        self.time.advance(reachability.SILENCE_MS)
        self.assertTrue(self._step())

    def test_one_silent_server_is_no_suspicion(self):
        self.time.advance(reachability.SILENCE_MS)
        self._fail('k1')
        self.assertFalse(self._step())
        self.assertEqual(self.checked, [])

    def test_answer_of_another_server_is_no_suspicion(self):
        self.time.advance(reachability.SILENCE_MS)
        reachability.note_answer(self.forwarder)
        self._fail('k1', 'o1')
        self.assertFalse(self._step())
        self.assertEqual(self.checked, [])

    def test_service_without_servers_is_not_a_cut(self):
        self.reached = {'o1', 'o2'}
        self.time.advance(reachability.SILENCE_MS)
        self._fail('k1', 'k2')
        self.assertFalse(self._step())

    def test_first_answered_check_ends_it(self):
        self._cut()
        self.time.advance(reachability.CHECK_INTERVAL_MS)
        self.assertTrue(self._step())
        self.reached = {'k1', 'k2', 'o1', 'o2'}
        self.time.advance(reachability.CHECK_INTERVAL_MS)
        self.assertFalse(self._step())

    def test_without_a_server_to_check_requests_are_sent_again(self):
        self._cut()
        self.forwarder.snapshot = tables.RoutingSnapshot(
            _CONFIGURATION, {}, {}, {}, {})
        self.time.advance(reachability.CHECK_INTERVAL_MS)
        self.assertFalse(self._step())

    def test_checks_have_an_interval(self):
        self._cut()
        count = len(self.checked)
        self._step()
        self.assertEqual(len(self.checked), count)

    def test_servers_that_leave_pause_or_limit_are_not_checked(self):
        leaving = dataclasses.replace(_make_server('o1', 'orders'),
                                      draining=True,
                                      draining_at=self.time.at)
        replaced = _SERVERS | {'orders': _SERVERS['orders'] | {'o1': leaving}}
        self.forwarder.snapshot = tables.RoutingSnapshot(
            _CONFIGURATION, replaced, {}, {}, {})
        self.forwarder.server_states['k1'] = placement.ServerState(
            paused_until=self.time.at + 60_000.0)
        ratelimits.note_answer(self.forwarder.rate_limits, 'k2', 1.0,
                               self.time.at, self.forwarder.logger)
        self._cut()
        for _ in range(20):
            self.time.advance(reachability.CHECK_INTERVAL_MS)
            self._step()
        self.assertEqual({server for server, _ in self.checked}, {'o2'})


class CoordinatorTest(ReachabilityCase):

    def _make_context(self, entries: int = 2) -> mock.Mock:
        context = mock.Mock(forwarder=self.forwarder,
                            owned=controlstate.ControlState('e1.1'))
        context.owned.store_snapshot = mock.Mock(
            entries={
                f'e{number}.1': ports.Peer(f'e{number}.1', 'a')
                for number in range(entries)
            })
        context.owned.coordinator_lease = mock.Mock()
        context.owned.roles['keyed'] = controlstate.CoordinatorRole(
            coordination_state=mock.Mock())
        return context

    def test_coordinator_that_reaches_no_server_gives_way(self):
        context = self._make_context()
        elections.hand_over_if_unreachable(context)
        self.assertEqual(context.owned.handover_reason, '')
        self._cut()
        elections.hand_over_if_unreachable(context)
        self.assertNotEqual(context.owned.handover_reason, '')

    def test_coordinator_whose_grants_are_answered_keeps_its_role(self):
        self._cut()
        context = self._make_context()
        reachability.note_grant_answer(self.forwarder)
        elections.hand_over_if_unreachable(context)
        self.assertEqual(context.owned.handover_reason, '')
        self.time.advance(reachability.GRANT_SILENCE_MS)
        elections.hand_over_if_unreachable(context)
        self.assertNotEqual(context.owned.handover_reason, '')

    def test_only_entry_keeps_its_role(self):
        self._cut()
        context = self._make_context(entries=1)
        elections.hand_over_if_unreachable(context)
        self.assertEqual(context.owned.handover_reason, '')


if __name__ == '__main__':
    unittest.main()
