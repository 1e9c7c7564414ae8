"""All orders of messages and faults: one holder, rising fences, served again.

See `orders` for what counts as a fault. The scopes here cover all courses with
one fault of any kind, with two of the kinds and fates that they name, and with
three around a takeover: some 70,000 states. All courses with any two faults are
300,000 states, `orders.Scope(2)`; that takes a minute or more.
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
# A process is listed after two grants have reached it.
_LISTED = orderworlds.Rules(listed_ms=(900.0,))
_ALL = orders.Scope(1)
_MESSAGES = orders.Scope(2,
                         kinds=frozenset(('cut', 'drain')),
                         fates=frozenset((_Fate.LATE, _Fate.LATE_UNANSWERED,
                                          _Fate.HELD_LONG)))
_RESTARTS = orders.Scope(2,
                         _LISTED,
                         kinds=frozenset(('restart', 'drain')),
                         fates=frozenset((_Fate.UNANSWERED,)))
_LAPSES = orders.Scope(2,
                       _LISTED,
                       kinds=frozenset(('restart', 'lapse')),
                       fates=frozenset())
_TAKEOVERS = orders.Scope(2, kinds=frozenset(('takeover', 'succession')))
_REPLACED = orders.Scope(2,
                         _LISTED,
                         kinds=frozenset(
                             ('takeover', 'succession', 'apart', 'restart')),
                         fates=frozenset())
# The first coordinator goes on, and the second doesn't reach all servers.
_APART = orders.Scope(3,
                      orderworlds.Rules(listed_ms=(5_000.0,)),
                      kinds=frozenset(('takeover', 'apart', 'restart')),
                      fates=frozenset(),
                      addresses=('a',),
                      lives=2)
# A hold, giving up its grant, and a probe of the server that takes the keys.
_SERVED_MS = 5_000.0
# A successor that knows nothing of before also waits for its predecessor, and
# for the last grant that this one may have had wait for a connection.
_SUCCEEDED_MS = (ownership.MAX_OFFLINE_MS + ownership.POOL_TIMEOUT_MS +
                 _SERVED_MS)

# A successor finds a server silent after a hold; the first coordinator still
# goes on then. More of it only makes more states.
_TENURE_MS = 5_000.0


@functools.cache
def _explore(scope: orders.Scope) -> orders.Report:
    tenure_ms = _TENURE_MS if scope is _APART else ownership.MAX_OFFLINE_MS
    with mock.patch.object(ownership, 'MAX_OFFLINE_MS', tenure_ms):
        return orders.explore(scope)


class OneHolderTest(unittest.TestCase):
    """No two processes hold the key at once."""

    def _check(self, scope: orders.Scope) -> None:
        report = _explore(scope)
        self.assertTrue(report.complete)
        self.assertEqual(report.traces.get(_Breach.HOLDERS, []), [])

    def test_whatever_fails_once(self):
        self._check(_ALL)

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
    """A process takes the key above all fences that others had it under."""

    def _check(self, scope: orders.Scope) -> None:
        self.assertEqual(_explore(scope).traces.get(_Breach.FENCE, []), [])

    def test_whatever_fails_once(self):
        self._check(_ALL)

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
    """The key is served for good soon after the last fault has ended."""

    def _check(self, scope: orders.Scope, most_ms: float) -> None:
        report = _explore(scope)
        self.assertLessEqual(report.unserved_ms, most_ms, report.unserved_trace)

    def test_whatever_failed_once(self):
        self._check(_ALL, _SERVED_MS)

    def test_if_grants_were_late_paths_cut_and_servers_left(self):
        self._check(_MESSAGES, _SERVED_MS)

    def test_if_servers_restarted_and_left(self):
        self._check(_RESTARTS, _SERVED_MS)

    def test_if_a_coordinator_took_over_and_a_message_failed(self):
        self._check(_TAKEOVERS, _SERVED_MS)

    def test_if_a_coordinator_took_over_and_servers_restarted(self):
        self._check(_REPLACED, _SUCCEEDED_MS)


class FaultTest(unittest.TestCase):
    """With a safeguard taken out, the check finds a breach and its course."""

    def _find(self, scope: orders.Scope, breach: orderworlds.Breach,
              patches=()) -> str:
        """Returns the course that leads to a breach."""
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(mock.patch.object(*patch))
            report = orders.explore(scope)
        self.assertIn(breach, report.traces)
        return '\n'.join(report.traces[breach])

    def test_holds_that_count_from_the_sending(self):
        note, find_end = coordination.handle_grant_result, holds.compute_expiry

        def note_early(state, grant, granted, sent_at, now):
            with mock.patch.object(
                    holds, 'compute_expiry',
                    lambda unused_by, hold_ms: find_end(sent_at, hold_ms)):
                note(state, grant, granted, sent_at, now)

        course = self._find(_make_hunt(
            ('cut',), (_Fate.LATE_UNANSWERED,)), _Breach.HOLDERS,
                            [(coordination, 'handle_grant_result', note_early)])
        self.assertIn('just before it is given up', course)
        self.assertIn('a1 and b1 hold the key', course)

    def test_grants_that_arrive_after_they_were_given_up(self):
        course = self._find(
            _make_hunt(('drain',), (_Fate.STRAY,),
                       orderworlds.Rules(aborts=False)), _Breach.HOLDERS)
        self.assertIn('arrives after it was given up', course)

    def test_fences_that_go_over_any_connection(self):
        course = self._find(
            _make_hunt(('restart',), (),
                       orderworlds.Rules(linked=False,
                                         listed_ms=_LISTED.listed_ms)),
            _Breach.FENCE,
            [(ownership, 'replace_fence', lambda state, renewal, link: None)])
        self.assertIn('a1 crashes, another starts at its address', course)
        self.assertIn('a2 takes the key with fence 1, a1 had it with 1', course)

    def test_holds_forgotten_as_a_process_ended(self):
        course = self._find(
            _make_hunt(('restart', 'drain'), (), _LISTED), _Breach.HOLDERS,
            [(holds, 'transfer_to_replacement',
              lambda rows, server, unused_replacement: _forget(rows, server))])
        self.assertIn('a2 is about to leave', course)
        self.assertIn('b1 and a2 hold the key', course)

    def test_releases_that_end_holds_without_an_answer(self):

        def release(rows, server, unused_first, unused_last):
            return _forget(rows, server)

        course = self._find(_make_hunt(('drain',), (_Fate.HELD,)),
                            _Breach.FENCE, [(holds, 'release', release)])
        self.assertIn('applied later', course)

    def test_moves_that_overtake_grants_under_way(self):
        self._find(
            _make_hunt(('drain',), (_Fate.LATE,)), _Breach.FENCE,
            [(ownership, 'has_grant_in_flight', lambda state, transfer: False)])

    def test_holds_without_an_allowance_for_slow_clocks(self):
        self._find(_make_hunt(('cut', 'drain'), ()), _Breach.HOLDERS,
                   [(holds, 'CLOCK_DRIFT_FACTOR', 1.0),
                    (holds, 'DELIVERY_MARGIN_MS', 0.0)])


def _forget(rows, server: str):
    """Returns holds without those of a server."""
    return [item for item in rows if item.server != server]


def _make_hunt(
    kinds: tuple[str, ...],
    fates: tuple[orderworlds.Fate, ...],
    rules: orderworlds.Rules = orders.USUAL,
) -> orders.Scope:
    return orders.Scope(2,
                        rules,
                        kinds=frozenset(kinds),
                        fates=frozenset(fates),
                        hunts=True)


if __name__ == '__main__':
    unittest.main()
