"""What entries decide by copies of the store that are too old."""

from collections.abc import Callable
import contextlib
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
    'changes applied late': _stick_actors,
    'configuration unread': _hide_configuration,
}


def _play(faults: tuple[Fault, ...], gap_s: float = 0.5) -> list[str]:
    """Returns what was decided too late after a change beside faults."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(mock.patch.object(relays, 'DIRECT', 3))
        if _hide_configuration in faults:
            stack.enter_context(
                mock.patch('lentilmoor.edge.reporting.find_room',
                           return_value=200.0))
        fleet = stack.enter_context(copyfleets.Fleet())
        for fault in faults:
            fault(fleet)
            time.sleep(gap_s)
        acked_at = fleet.change()
        return fleet.list_late(acked_at, acked_at + 2 * _BOUND_S)


class StaleCopyTest(unittest.TestCase):
    """No decision rests on a copy of the store that is older than allowed."""

    def test_each_hop_in_turn(self):
        for name, fault in _FAULTS.items():
            with self.subTest(name):
                self.assertEqual(_play((fault,)), [])


if __name__ == '__main__':
    unittest.main()
