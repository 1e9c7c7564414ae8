"""Tests of how entries tell and stop requests that crash their servers."""

import dataclasses
import io
import socket
import unittest
from unittest import mock

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import logs
from lentilmoor import quarantine
from lentilmoor.edge import exchange
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.edge import savedsuspects
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from standins import platform_store
from tests import platformhelp

_BLOCKED = quarantine.Verdict.BLOCKED
_CLEAR = quarantine.Verdict.CLEAR
_SUSPECT = quarantine.Verdict.SUSPECT
_SERVICE = tables.Service('orders', False, 100, 0.0)
_ROUTE = tables.Route('r', 'h', '/', tables.RepeatPolicy.IDEMPOTENT, False,
                      (tables.RouteTarget('orders', 1.0),), 3, 3_000.0, 500.0,
                      1)
_RULES = connections.PoolLimits(max_open=4,
                                max_idle_ms=8_000.0,
                                non_idempotent_idle_ms=8_000.0,
                                connect_timeout_ms=250.0,
                                opens_per_s=40.0,
                                burst=12.0)


def _make_request(target: str) -> requests.Request:
    return requests.Request(ports.CallerHeaders('r1', 1_000.0, None), 'GET',
                            'h', target, target, {}, b'', None, 0.0)


_BAD, _SOUND = _make_request('/bad'), _make_request('/sound')


class SuspectsCase(unittest.TestCase):
    """An entry whose time is moved by hand."""

    def setUp(self):
        super().setUp()
        self.time = clocks.ManualTime(100_000.0)
        self.forwarder = self._make_forwarder()
        self.number = 0

    def _make_forwarder(self) -> requests.Forwarder:
        return requests.Forwarder(self.time.clock(),
                                  mock.Mock(),
                                  logs.make_logger('test', io.StringIO()),
                                  _RULES,
                                  suspects=suspects.make_quarantine())

    def _start_server(self, up: bool) -> tuple[tables.Server, connections.Pool]:
        """Returns a server, which accepts connections if it is up."""
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        if not up:
            listener.close()
        self.number += 1
        server = tables.Server(f's{self.number}', 'orders', address, 'd', 2,
                               False, 0.0, 0.0)
        self._publish(server)
        pool = connections.Pool(address, _RULES, self.time.clock())
        self.addCleanup(pool.close)
        return server, pool

    def _publish(self, server: tables.Server) -> None:
        rows = self.forwarder.snapshot.servers.get('orders', {})
        self.forwarder.snapshot = tables.RoutingSnapshot(
            None, {'orders': rows | {
                server.id: server
            }}, {}, {}, {})

    def _lose(self, request: requests.Request, server: tables.Server,
              pool: connections.Pool) -> None:
        """Has a request be sent, and its connection be lost."""
        run = requests.Run(request, _ROUTE, _SERVICE, 0.0)
        run.sent_at = self.time.at
        self.time.advance(5.0)
        suspects.note_lost_request(self.forwarder, run, server, pool, False)

    def _answer(self,
                request: requests.Request,
                server: tables.Server,
                opened_at: float,
                sent_at: float | None = None) -> None:
        run = requests.Run(request, _ROUTE, _SERVICE, 0.0)
        run.sent_at = self.time.at - 1.0 if sent_at is None else sent_at
        state = self.forwarder.server_states.get(server.id)
        if state is not None:
            state.answered_at = self.time.at
        suspects.note_answer(self.forwarder, run, server, opened_at, True)

    def _crash(self, *wanted: requests.Request) -> tables.Server:
        """Has a server crash under requests; returns the server."""
        server, pool = self._start_server(False)
        for request in wanted:
            self._lose(request, server, pool)
        return server

    def _check(self, request: requests.Request = _BAD) -> quarantine.Verdict:
        return suspects.check(self.forwarder, request)

    def _count(self, request: requests.Request = _BAD) -> int:
        """Returns how many crashes are held against a request."""
        suspect = self.forwarder.suspects.suspects.get(
            suspects.make_fingerprint(request))
        return len(suspect.crashes) if suspect else 0


class CrashTest(SuspectsCase):
    """What shows that a server has crashed."""

    def test_a_server_that_refuses_connections_has_crashed(self):
        self._crash(_BAD)
        self.assertEqual(self._count(), 1)

    def test_what_is_lost_later_on_a_crashed_server_counts_too(self):
        server, pool = self._start_server(False)
        self._lose(_BAD, server, pool)
        self._lose(_SOUND, server, pool)
        self.assertEqual(self._count(_SOUND), 1)

    def test_a_server_that_accepts_connections_may_live(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        self.assertEqual(self._count(), 0)
        self.assertEqual(self.forwarder.suspects.server_crashes, {})

    def test_a_restart_that_nobody_noticed_is_a_crash(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        suspects.note_process_replaced(self.forwarder, server)
        self.assertEqual(self._count(), 1)

    def test_a_silent_server_whose_registration_runs_out_has_crashed(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        suspects.note_unlisted(self.forwarder, server)
        self.assertEqual(self._count(), 1)

    def test_one_that_was_unlisted_while_it_worked_has_crashed(self):
        # A request may run for longer than a registration lasts.
        server, pool = self._start_server(True)
        run = requests.Run(_BAD, _ROUTE, _SERVICE, 0.0)
        run.sent_at = self.time.at
        self.time.advance(5_000.0)
        self._publish(
            dataclasses.replace(server, unlisted_at=self.time.at - 2_000.0))
        suspects.note_lost_request(self.forwarder, run, server, pool, False)
        self.assertEqual(self._count(), 1)

    def test_an_answer_over_an_older_connection_clears_the_loss(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        self.time.advance(300.0)
        self._answer(_SOUND, server, 99_000.0)
        suspects.note_unlisted(self.forwarder, server)
        suspects.note_process_replaced(self.forwarder, server)
        self.assertEqual(self._count(), 0)

    def test_an_answer_that_was_under_way_at_the_crash_proves_nothing(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        self._answer(_SOUND, server, 99_000.0, self.time.at - 10.0)
        suspects.note_process_replaced(self.forwarder, server)
        self.assertEqual(self._count(), 1)
        self._answer(_SOUND, server, 99_000.0, self.time.at - 10.0)
        self.assertEqual(self._count(), 1)

    def test_a_later_answer_takes_a_crash_back(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        suspects.note_unlisted(self.forwarder, server)
        self.time.advance(2_000.0)
        self._answer(_SOUND, server, 99_000.0)
        self.assertEqual(self._count(), 0)

    def test_an_answer_over_a_newer_connection_proves_nothing(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        self.time.advance(300.0)
        self._answer(_SOUND, server, self.time.at - 10.0)
        suspects.note_process_replaced(self.forwarder, server)
        self.assertEqual(self._count(), 1)

    def test_the_end_of_a_draining_server_is_no_crash(self):
        server, pool = self._start_server(False)
        self._publish(dataclasses.replace(server, draining=True))
        self._lose(_BAD, server, pool)
        suspects.note_connection_refused(self.forwarder, server)
        self.assertEqual(self._count(), 0)
        self.assertEqual(self.forwarder.suspects.server_crashes, {})

    def test_another_entrys_proof_counts_for_what_was_lost_here(self):
        server, pool = self._start_server(True)
        self._lose(_BAD, server, pool)
        suspects.merge(self.forwarder,
                       [quarantine.Evidence(b'', 'orders', 1, 0.0, server.id)],
                       self.time.at)
        self.assertEqual(self._count(), 1)


class BlockTest(SuspectsCase):
    """What follows from crashes."""

    def _block(self) -> None:
        for _ in range(3):
            self._crash(_BAD)
            self.time.advance(1_000.0)

    def test_three_crashes_block_for_as_long_as_it_comes(self):
        self._block()
        for _ in range(59):
            self.assertIs(self._check(), _BLOCKED)
            self.time.advance(10_000.0)
            suspects.step(self.forwarder)

    def test_servers_that_are_lost_together_count_once(self):
        for _ in range(6):
            self._crash(_SOUND)
        self.assertIs(self._check(_SOUND), _CLEAR)

    def test_a_clean_run_anywhere_clears(self):
        self._block()
        clean = quarantine.Evidence(suspects.make_fingerprint(_BAD), 'orders',
                                    0, 0.0, 's9')
        suspects.merge(self.forwarder, [clean], self.time.at)
        self.assertIs(self._check(), _CLEAR)

    def test_a_clean_run_that_is_told_first_clears_an_earlier_crash(self):
        clean = quarantine.Evidence(suspects.make_fingerprint(_BAD), 'orders',
                                    0, 0.0, 's9')
        crash = dataclasses.replace(clean, crashes=1, age_ms=500.0)
        suspects.merge(self.forwarder, [clean, crash], self.time.at)
        self.assertEqual(self._count(), 0)

    def test_one_that_crashed_two_servers_is_not_repeated(self):
        run = requests.Run(_BAD, _ROUTE, _SERVICE, 0.0)
        self._crash(_BAD)
        self.assertTrue(suspects.may_retry(self.forwarder, run))
        self._crash(_BAD)
        self.assertFalse(suspects.may_retry(self.forwarder, run))

    def test_it_is_not_tried_where_it_explains_all_crashes(self):
        self._block()
        self.forwarder.runs_trials = True
        self.time.advance(60_000.0)
        self.assertIs(self._check(), _BLOCKED)

    def _block_by_mistake(self) -> None:
        for _ in range(3):
            self._crash(_SOUND)
            self._crash(_BAD)
            self.time.advance(1_000.0)
        self.time.advance(suspects.TRIAL_DELAY_MS)

    def test_one_entry_tries_it_once_where_others_crashed_beside_it(self):
        self._block_by_mistake()
        self.assertIs(self._check(_SOUND), _BLOCKED)
        self.forwarder.runs_trials = True
        self.assertIs(self._check(_SOUND), _SUSPECT)
        self.assertTrue(suspects.begin_trial(self.forwarder, _SOUND))
        self.assertFalse(suspects.begin_trial(self.forwarder, _SOUND))
        self.assertIs(self._check(_SOUND), _BLOCKED)
        self.time.advance(60_000.0)
        self.assertIs(self._check(_SOUND), _BLOCKED)

    def test_a_crash_of_the_trial_ends_all_trials(self):
        self._block_by_mistake()
        self._crash(_SOUND)
        self.time.advance(suspects.TRIAL_DELAY_MS)
        self.forwarder.runs_trials = True
        self.assertIs(self._check(_SOUND), _BLOCKED)

    def test_it_is_free_after_a_clean_trial(self):
        self._block_by_mistake()
        self.forwarder.runs_trials = True
        self.assertTrue(suspects.begin_trial(self.forwarder, _SOUND))
        server, _ = self._start_server(True)
        self._answer(_SOUND, server, self.time.at)
        self.assertIs(self._check(_SOUND), _CLEAR)

    def test_a_crash_of_long_ago_by_a_clock_that_began_since_counts(self):
        self.time.at = 1_000.0
        evidence = [
            quarantine.Evidence(suspects.make_fingerprint(_BAD), 'orders', 1,
                                age_ms, f's{age_ms}')
            for age_ms in (5_000.0, 6_000.0, 7_000.0)
        ]
        suspects.merge(self.forwarder, evidence, self.time.at)
        self.assertIs(self._check(), _BLOCKED)


class StoreTest(SuspectsCase):
    """Blocked requests are kept in the store."""

    def setUp(self):
        super().setUp()
        self.store = platform_store.PlatformStore()
        self.addCleanup(self.store.close)
        self.platform = platformhelp.connect_store(self.store)
        for _ in range(3):
            self._crash(_BAD)
            self.time.advance(1_000.0)
        self.forwarder.runs_trials = True
        self.context = self._make_context(self.forwarder)

    def _make_context(self, forwarder: requests.Forwarder) -> mock.Mock:
        context = mock.Mock(forwarder=forwarder,
                            clock=forwarder.clock,
                            call=lambda work, take: take(work(), 0.0))
        context.platform.store = self.platform
        context.owned.suspects_due_at = 0.0
        context.owned.store_lost_at = 0.0
        context.owned.store_snapshot = self.platform.load()
        return context

    def _keep(self) -> ports.StoreSnapshot:
        """Has the entry write what is due, and read it."""
        self.time.advance(savedsuspects.WRITE_RETRY_MS)
        self.context.owned.store_snapshot = self.platform.load()
        savedsuspects.update_store(self.context, self.time.at)
        return self.platform.load()

    def test_an_entry_that_starts_alone_knows_what_is_blocked(self):
        found = self._keep()
        self.forwarder = self._make_forwarder()
        savedsuspects.merge_stored(self._make_context(self.forwarder), None,
                                   found)
        self.assertIs(self._check(), _BLOCKED)

    def test_what_a_restored_store_has_lost_is_written_again(self):
        copy = self.store.copy()
        self._keep()
        self.store.restore(copy)
        self.platform.load()
        self.assertEqual(len(self._keep().suspects), 1)

    def test_only_the_first_hub_writes(self):
        self.forwarder.runs_trials = False
        self.assertEqual(self._keep().suspects, {})

    def test_what_has_been_cleared_is_deleted(self):
        self.assertEqual(len(self._keep().suspects), 1)
        quarantine.release(self.forwarder.suspects,
                           suspects.make_fingerprint(_BAD), 'orders',
                           self.time.at)
        self.assertEqual(self._keep().suspects, {})


class CheckTest(SuspectsCase):

    def test_a_connection_that_was_opened_to_check_is_used_again(self):
        _, pool = self._start_server(True)
        self.assertIsNone(exchange.check(pool, 100.0))
        self.assertIsNone(exchange.check(pool, 100.0))
        self.assertEqual(pool.state.opened_count, 2)
        taken = pool.acquire(True, False, 100.0)
        self.assertEqual(pool.state.opened_count, 2)
        pool.discard(taken)


if __name__ == '__main__':
    unittest.main()
