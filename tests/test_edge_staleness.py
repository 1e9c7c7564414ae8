"""What entries decide by copies of the store that are too old."""

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


def _cut_domain(fleet: copyfleets.Fleet) -> None:
    """The store is silent for the hub and its whole failure domain."""
    hub = fleet.find_hub()
    for member in fleet.members:
        if member.domain == hub.domain:
            member.path.hold()


def _cut_hub(fleet: copyfleets.Fleet) -> None:
    fleet.find_hub().path.hold()


def _freeze_hub(fleet: copyfleets.Fleet) -> None:
    fleet.find_hub().faults.frozen = True


def _freeze_relay(fleet: copyfleets.Fleet) -> None:
    fleet.find_relay().faults.frozen = True


def _slow_relay(fleet: copyfleets.Fleet) -> None:
    fleet.find_relay().faults.slow_s = 0.5


def _slow_answers(fleet: copyfleets.Fleet) -> None:
    """What relays answer is long under way."""
    for member in fleet.members:
        member.faults.slow_back_s = 0.35


def _thaw(fleet: copyfleets.Fleet) -> None:
    """An entry stands still over the change and goes on."""
    member = fleet.members[2]
    member.faults.frozen = True
    fleet.start(lambda: (time.sleep(1.5 * _BOUND_S),
                         setattr(member.faults, 'frozen', False)))


def _stick_actors(fleet: copyfleets.Fleet) -> None:
    """Changes are known but not in force, as if applying them took long."""
    stuck = fleet.members[1].faults.stuck
    stuck.acquire()
    fleet.start(lambda: (time.sleep(2 * _BOUND_S), stuck.release()))


def _hide_configuration(fleet: copyfleets.Fleet) -> None:
    """The configuration is too large to tell, and can't be read alone."""
    for member in fleet.members:
        member.faults.unread = True


Fault = Callable[[copyfleets.Fleet], None]
_FAULTS: dict[str, Fault] = {
    'domain cut from the store': _cut_domain,
    'hub cut from the store': _cut_hub,
    'hub frozen': _freeze_hub,
    'relay frozen': _freeze_relay,
    'relay slow': _slow_relay,
    'answers slow': _slow_answers,
    'entry stands still': _thaw,
    'changes applied late': _stick_actors,
    'configuration unread': _hide_configuration,
}


@dataclasses.dataclass(frozen=True)
class _Played:
    """What became of a change beside faults.

    Attributes:
      late: Decisions by what had been replaced for too long.
      refusing: Entries that still send nothing to a server that stays.
    """

    late: list[str]
    refusing: list[str]


@contextlib.contextmanager
def _start_fleet(small_room: bool = False) -> Iterator[copyfleets.Fleet]:
    """Starts entries that relays tell, not the hub alone.

    Args:
      small_room: Whether the configuration is too large to tell.
    """
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(relays, 'MAX_DIRECT_ENTRIES', 3))
        if small_room:
            stack.enter_context(
                mock.patch('lentilmoor.edge.reporting.find_news_budget',
                           return_value=200.0))
        yield stack.enter_context(copyfleets.Fleet())


def _play(faults: tuple[Fault, ...], gap_s: float = 0.5) -> _Played:
    """Makes a change beside faults, and looks on for two bounds."""
    with _start_fleet(_hide_configuration in faults) as fleet:
        for fault in faults:
            fault(fleet)
            time.sleep(gap_s)
        acked_at = fleet.change()
        late = fleet.list_late(acked_at, acked_at + 2 * _BOUND_S)
        return _Played(late, [
            member.address
            for member in fleet.members
            if not member.faults.frozen and
            not member.would_send(copyfleets.STEADY)
        ])


class StaleCopyTest(unittest.TestCase):
    """No decision rests on a copy of the store that is older than allowed."""

    def test_each_hop_in_turn(self):
        for name, fault in _FAULTS.items():
            with self.subTest(name):
                self.assertEqual(_play((fault,)), _Played([], []))

    def test_two_at_once(self):
        for first, second in (('domain cut from the store', 'relay frozen'),
                              ('hub frozen', 'changes applied late'),
                              ('configuration unread',
                               'hub cut from the store')):
            with self.subTest(f'{first}, {second}'):
                played = _play((_FAULTS[first], _FAULTS[second]))
                self.assertEqual(played.late, [])

    def test_entries_go_on_while_the_store_is_away_from_all(self):
        with _start_fleet() as fleet:
            for member in fleet.members:
                member.path.hold()
            time.sleep(_BOUND_S)
            until = time.monotonic() + _BOUND_S
            refused = 0
            while time.monotonic() < until:
                refused += sum(not member.would_send(copyfleets.STEADY)
                               for member in fleet.members)
                time.sleep(0.05)
            self.assertEqual(refused, 0)


if __name__ == '__main__':
    unittest.main()
