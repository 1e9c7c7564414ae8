"""Tests that no entry decides by a copy of the store that is too old."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import time
import unittest
from unittest import mock

from lentilmoor.edge import relays
from tests import copyfleets

_BOUND_S = copyfleets.BOUND_MS / 1_000.0


def _cut_domain_from_store(fleet: copyfleets.Fleet) -> None:
    """The store answers neither the hub nor the rest of its failure domain."""
    hub = fleet.find_hub()
    for member in fleet.members:
        if member.domain == hub.domain:
            member.path.hold()


def _cut_hub_from_store(fleet: copyfleets.Fleet) -> None:
    fleet.find_hub().path.hold()


def _freeze_hub(fleet: copyfleets.Fleet) -> None:
    fleet.find_hub().faults.frozen = True


def _freeze_relay(fleet: copyfleets.Fleet) -> None:
    fleet.find_relay().faults.frozen = True


def _slow_down_relay(fleet: copyfleets.Fleet) -> None:
    fleet.find_relay().faults.request_delay_s = 0.5


def _delay_relay_answers(fleet: copyfleets.Fleet) -> None:
    """The replies of all entries arrive late."""
    for member in fleet.members:
        member.faults.reply_delay_s = 0.35


def _freeze_entry_over_change(fleet: copyfleets.Fleet) -> None:
    """An entry is frozen during the change and continues afterwards."""
    member = fleet.members[2]
    member.faults.frozen = True
    fleet.start(lambda: (time.sleep(1.5 * _BOUND_S),
                         setattr(member.faults, 'frozen', False)))


def _delay_actors(fleet: copyfleets.Fleet) -> None:
    """One entry receives changes but applies them late."""
    stuck = fleet.members[1].faults.actor_lock
    stuck.acquire()
    fleet.start(lambda: (time.sleep(2 * _BOUND_S), stuck.release()))


def _block_configuration_reads(fleet: copyfleets.Fleet) -> None:
    """The configuration is too large for news, and can't be read alone."""
    for member in fleet.members:
        member.faults.configuration_unreadable = True


Fault = Callable[[copyfleets.Fleet], None]
_FAULTS: dict[str, Fault] = {
    'domain cut from the store': _cut_domain_from_store,
    'hub cut from the store': _cut_hub_from_store,
    'hub frozen': _freeze_hub,
    'relay frozen': _freeze_relay,
    'relay slow': _slow_down_relay,
    'answers slow': _delay_relay_answers,
    'entry stands still': _freeze_entry_over_change,
    'changes applied late': _delay_actors,
    'configuration unread': _block_configuration_reads,
}


@dataclasses.dataclass(frozen=True)
class _RunResult:
    """Result of a change that is made while faults are present.

    Attributes:
      late: Decisions that rest on data replaced longer ago than the bound.
      refusing: Entries that, two bounds after the change, send no request to a
        server that stays.
    """

    late: list[str]
    refusing: list[str]


@contextlib.contextmanager
def _start_fleet(small_room: bool = False) -> Iterator[copyfleets.Fleet]:
    """Starts a fleet in which relays, and not only the hub, send news.

    Args:
      small_room: Whether the configuration is too large for news.
    """
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(relays, 'MAX_DIRECT_ENTRIES', 3))
        if small_room:
            stack.enter_context(
                mock.patch('lentilmoor.edge.reporting.find_news_budget',
                           return_value=200.0))
        yield stack.enter_context(copyfleets.Fleet())


def _run_change(faults: tuple[Fault, ...], gap_s: float = 0.5) -> _RunResult:
    """Makes a change while faults are present, and observes two bounds."""
    with _start_fleet(_block_configuration_reads in faults) as fleet:
        for fault in faults:
            fault(fleet)
            time.sleep(gap_s)
        acked_at = fleet.make_change()
        late = fleet.list_stale_decisions(acked_at, acked_at + 2 * _BOUND_S)
        return _RunResult(late, [
            member.address
            for member in fleet.members
            if not member.faults.frozen and
            not member.may_send_to(copyfleets.STEADY_SERVER)
        ])


class StaleCopyTest(unittest.TestCase):
    """No decision rests on a copy of the store that is older than allowed.

    Otherwise, when a hop between the store and an entry is slow, frozen or cut,
    the entry could send requests to a server that has left, or reject requests
    for a new route, after the operator's bound.
    """

    def test_each_fault_alone(self):
        for name, fault in _FAULTS.items():
            with self.subTest(name):
                self.assertEqual(_run_change((fault,)), _RunResult([], []))

    def test_two_faults_at_once(self):
        for first, second in (('domain cut from the store', 'relay frozen'),
                              ('hub frozen', 'changes applied late'),
                              ('configuration unread',
                               'hub cut from the store')):
            with self.subTest(f'{first}, {second}'):
                played = _run_change((_FAULTS[first], _FAULTS[second]))
                self.assertEqual(played.late, [])

    def test_entries_go_on_while_the_store_is_unreachable_for_all(self):
        with _start_fleet() as fleet:
            for member in fleet.members:
                member.path.hold()
            time.sleep(_BOUND_S)
            until = time.monotonic() + _BOUND_S
            refused = 0
            while time.monotonic() < until:
                refused += sum(not member.may_send_to(copyfleets.STEADY_SERVER)
                               for member in fleet.members)
                time.sleep(0.05)
            self.assertEqual(refused, 0)


if __name__ == '__main__':
    unittest.main()
