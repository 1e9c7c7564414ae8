"""Tests the coordinator in all orders of messages and faults.

In each order a key has at most one holder, fences rise, and the key is served
again afterwards. See `orders` for what counts as a fault. The scopes here cover
all courses with one fault of any kind, with two faults of the given kinds and
fates, and with three faults around a takeover: about 70,000 states. All courses
with any two faults, `orders.Scope(2)`, have 300,000 states and take a minute or
more.
"""

import contextlib
import functools
import unittest
from unittest import mock

from lentilmoor.edge import coordination
from lentilmoor.edge import holds
from lentilmoor.edge import ownership
from tests import orders
from tests import orderworlds

_Fate = orderworlds.Fate
_Breach = orderworlds.Breach
# The store lists a process only after two grants have reached it.
_LATE_LISTING = orderworlds.Rules(listed_ms=(900.0,))
_ANY_FAULT = orders.Scope(1)
_MESSAGES = orders.Scope(2,
                         fault_kinds=frozenset(('cut', 'drain')),
                         fates=frozenset((_Fate.LATE, _Fate.LATE_UNANSWERED,
                                          _Fate.HELD_LONG)))
_RESTARTS = orders.Scope(2,
                         _LATE_LISTING,
                         fault_kinds=frozenset(('restart', 'drain')),
                         fates=frozenset((_Fate.UNANSWERED,)))
_LAPSES = orders.Scope(2,
                       _LATE_LISTING,
                       fault_kinds=frozenset(('restart', 'lapse')),
                       fates=frozenset())
_TAKEOVERS = orders.Scope(2, fault_kinds=frozenset(('takeover', 'succession')))
_REPLACED = orders.Scope(2,
                         _LATE_LISTING,
                         fault_kinds=frozenset(
                             ('takeover', 'succession', 'apart', 'restart')),
                         fates=frozenset())
# The first coordinator continues, and the second can't reach all servers.
_APART = orders.Scope(3,
                      orderworlds.Rules(listed_ms=(5_000.0,)),
                      fault_kinds=frozenset(('takeover', 'apart', 'restart')),
                      fates=frozenset(),
                      addresses=('a',),
                      max_lives=2)
# Covers a hold, the timeout of its grant, and a probe of the server to which
# the keys move.
_MAX_UNSERVED_MS = 5_000.0
# A successor that doesn't know the earlier servers also waits for its
# predecessor and for that one's last grant, which may have waited for a
# connection.
_MAX_UNSERVED_AFTER_TAKEOVER_MS = (ownership.MAX_OFFLINE_MS +
                                   ownership.POOL_TIMEOUT_MS + _MAX_UNSERVED_MS)

# Long enough that the first coordinator still continues when its successor,
# after a hold, finds that a server doesn't answer. A longer time only adds
# states.
_SHORT_MAX_OFFLINE_MS = 5_000.0


@functools.cache
def _explore(scope: orders.Scope) -> orders.Report:
    max_offline_ms = (_SHORT_MAX_OFFLINE_MS
                      if scope is _APART else ownership.MAX_OFFLINE_MS)
    with mock.patch.object(ownership, 'MAX_OFFLINE_MS', max_offline_ms):
        return orders.explore(scope)


class SingleHolderTest(unittest.TestCase):
    """Tests that no two processes hold the key at the same time."""

    def _check(self, scope: orders.Scope) -> None:
        report = _explore(scope)
        self.assertTrue(report.is_complete)
        self.assertEqual(report.traces.get(_Breach.HOLDERS, []), [])

    def test_whatever_fails_once(self):
        self._check(_ANY_FAULT)

    def test_if_grants_are_late_paths_are_cut_and_servers_leave(self):
        self._check(_MESSAGES)

    def test_if_servers_restart_and_leave(self):
        self._check(_RESTARTS)

    def test_if_servers_restart_and_their_entries_run_out(self):
        self._check(_LAPSES)

    def test_if_a_coordinator_takes_over_and_a_message_fails(self):
        self._check(_TAKEOVERS)

    def test_if_a_coordinator_takes_over_and_servers_restart(self):
        self._check(_REPLACED)

    def test_if_the_second_coordinator_does_not_reach_a_restarted_server(self):
        self._check(_APART)


class FenceTest(unittest.TestCase):
    """Tests that a process takes the key with a higher fence than others."""

    def _check(self, scope: orders.Scope) -> None:
        self.assertEqual(_explore(scope).traces.get(_Breach.FENCE, []), [])

    def test_whatever_fails_once(self):
        self._check(_ANY_FAULT)

    def test_if_grants_are_late_paths_are_cut_and_servers_leave(self):
        self._check(_MESSAGES)

    def test_if_servers_restart_and_leave(self):
        self._check(_RESTARTS)

    def test_if_servers_restart_and_their_entries_run_out(self):
        self._check(_LAPSES)

    def test_if_a_coordinator_takes_over_and_a_message_fails(self):
        self._check(_TAKEOVERS)

    def test_if_a_coordinator_takes_over_and_servers_restart(self):
        self._check(_REPLACED)

    def test_if_the_second_coordinator_does_not_reach_a_restarted_server(self):
        self._check(_APART)


class ServedTest(unittest.TestCase):
    """Tests that the key is served permanently soon after the last fault."""

    def _check(self, scope: orders.Scope, max_ms: float) -> None:
        report = _explore(scope)
        self.assertLessEqual(report.unserved_ms, max_ms, report.unserved_trace)

    def test_whatever_failed_once(self):
        self._check(_ANY_FAULT, _MAX_UNSERVED_MS)

    def test_if_grants_were_late_paths_cut_and_servers_left(self):
        self._check(_MESSAGES, _MAX_UNSERVED_MS)

    def test_if_servers_restarted_and_left(self):
        self._check(_RESTARTS, _MAX_UNSERVED_MS)

    def test_if_a_coordinator_took_over_and_a_message_failed(self):
        self._check(_TAKEOVERS, _MAX_UNSERVED_MS)

    def test_if_a_coordinator_took_over_and_servers_restarted(self):
        self._check(_REPLACED, _MAX_UNSERVED_AFTER_TAKEOVER_MS)


class RemovedSafeguardTest(unittest.TestCase):
    """Tests that the check finds a breach if a safeguard is removed."""

    def _find_course(self,
                     scope: orders.Scope,
                     breach: orderworlds.Breach,
                     patches=()) -> str:
        """Returns the course that leads to the breach."""
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(mock.patch.object(*patch))
            report = orders.explore(scope)
        self.assertIn(breach, report.traces)
        return '\n'.join(report.traces[breach])

    def test_holds_that_start_at_the_sending(self):
        handle_result, original_expiry = (coordination.handle_grant_result,
                                          holds.compute_expiry)

        def handle_result_early(state, grant, granted, sent_at, now):
            with mock.patch.object(
                    holds, 'compute_expiry',
                    lambda unused_by, hold_ms: original_expiry(
                        sent_at, hold_ms)):
                handle_result(state, grant, granted, sent_at, now)

        course = self._find_course(
            _make_search_scope(('cut',),
                               (_Fate.LATE_UNANSWERED,)), _Breach.HOLDERS,
            [(coordination, 'handle_grant_result', handle_result_early)])
        self.assertIn('just before it is given up', course)
        self.assertIn('a1 and b1 hold the key', course)

    def test_grants_that_arrive_after_their_timeout(self):
        course = self._find_course(
            _make_search_scope(('drain',), (_Fate.STRAY,),
                               orderworlds.Rules(aborts=False)),
            _Breach.HOLDERS)
        self.assertIn('arrives after it was given up', course)

    def test_fences_sent_over_any_connection(self):
        course = self._find_course(
            _make_search_scope(
                ('restart',), (),
                orderworlds.Rules(linked=False,
                                  listed_ms=_LATE_LISTING.listed_ms)),
            _Breach.FENCE,
            [(ownership, 'replace_fence', lambda state, renewal, link: None)])
        self.assertIn('a1 crashes, another starts at its address', course)
        self.assertIn('a2 takes the key with fence 1, a1 had it with 1', course)

    def test_holds_forgotten_as_a_process_ended(self):
        course = self._find_course(
            _make_search_scope(('restart', 'drain'), (),
                               _LATE_LISTING), _Breach.HOLDERS,
            [(holds, 'transfer_to_replacement',
              lambda rows, server, unused_replacement: _forget(rows, server))])
        self.assertIn('a2 is about to leave', course)
        self.assertIn('b1 and a2 hold the key', course)

    def test_releases_that_end_holds_without_an_answer(self):

        def release(rows, server, unused_first, unused_last):
            return _forget(rows, server)

        course = self._find_course(
            _make_search_scope(('drain',), (_Fate.HELD,)), _Breach.FENCE,
            [(holds, 'release', release)])
        self.assertIn('applied later', course)

    def test_moves_that_overtake_grants_in_flight(self):
        self._find_course(
            _make_search_scope(('drain',), (_Fate.LATE,)), _Breach.FENCE,
            [(ownership, 'has_grant_in_flight', lambda state, transfer: False)])

    def test_holds_without_a_margin_for_slow_clocks(self):
        self._find_course(_make_search_scope(('cut', 'drain'), ()),
                          _Breach.HOLDERS, [(holds, 'CLOCK_DRIFT_FACTOR', 1.0),
                                            (holds, 'DELIVERY_MARGIN_MS', 0.0)])


def _forget(rows, server: str):
    """Returns the holds without those of a server."""
    return [item for item in rows if item.server != server]


def _make_search_scope(
    kinds: tuple[str, ...],
    fates: tuple[orderworlds.Fate, ...],
    rules: orderworlds.Rules = orders.DEFAULT_RULES,
) -> orders.Scope:
    return orders.Scope(2,
                        rules,
                        fault_kinds=frozenset(kinds),
                        fates=frozenset(fates),
                        stops_at_breach=True)


if __name__ == '__main__':
    unittest.main()
