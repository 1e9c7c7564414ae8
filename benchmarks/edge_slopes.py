"""Slopes of control on a platform that enforces grants.

`python -m benchmarks.edge_slopes` prints processor time and bytes of a report
at the hub, of a plan of the coordinator, and of taking in a change of the
store, at several sizes. What CAPACITY.md says of that path is worked out from
these.
"""

from collections.abc import Callable
import time

import msgspec

from lentilmoor.edge import coordination
from lentilmoor.edge import hub
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import reports
from lentilmoor.edge import tables

_ROUNDS = 20
_US_PER_S = 1e6


def measure_report(entries: int, servers: int) -> tuple[float, int]:
    """Returns the time of a report at the hub, us, and its bytes both ways.

    Args:
      entries: Entries that report.
      servers: Servers with requests under way, for each entry.
    """
    inflight = {f'i-{number:010}': 2 for number in range(servers)}
    rows = {'x': [(number * 7, 'i-0000000001', 61.5) for number in range(6)]}
    report = reports.Report('e0', rows, inflight, {'x': 9})
    table = hub.HubTable()
    for number in range(entries):
        hub.record_inflight(table, f'e{number}', inflight, 0.0)
    data = reports.encode_report(report)
    size = 0

    def answer() -> None:
        nonlocal size
        found = reports.decode_report(data)
        hub.record_inflight(table, found.entry, found.inflight, 0.0)
        reply = reports.ReportReply(hub.count_others_inflight(table, 'e0', 0.0),
                                    {}, {})
        size = len(reports.encode_report_reply(reply))

    return _time(answer), len(data) + size


def measure_plan(servers: int) -> float:
    """Returns the time of a coordinator's step when nothing is due, us."""
    names = [f's{number}' for number in range(servers)]
    view = ownership.ServiceView(
        {
            name: tables.Server(name, 'x', f'{name}:1', 'd', 2, False, 0.0, 0.0)
            for name in names
        }, frozenset(), {}, keyloads.KeyLoads({}), {})
    ranges = keyranges.divide_by_weight(names, {}, 1)
    state = coordination.start_coordination(
        keyranges.Assignment('x', 1, 2, ranges), 1, 0.0, None)
    state.rebalanced_at = 1.0
    for item in coordination.plan_actions(state, view, 1.0):
        coordination.handle_grant_result(
            state, item, ownership.GrantResult(ownership.CallOutcome.DONE), 1.0,
            1.0)
    return _time(lambda: coordination.plan_actions(state, view, 2.0))


def measure_assignment(servers: int) -> int:
    """Returns the bytes of an assignment with three ranges a server."""
    names = [f'i-{number:010}' for number in range(servers * 3)]
    ranges = keyranges.divide_by_weight(names, {}, 1)
    assignment = keyranges.Assignment(
        'x', 1, 2, ranges, dict.fromkeys(names[:servers], 61.5),
        dict.fromkeys(names[:servers], '10.10.10.10:8080'))
    return len(msgspec.json.encode(assignment))


def main() -> None:
    """Prints the slopes."""
    print('report at the hub: entries, servers, us, bytes')
    for entries, servers in ((12, 36), (59, 128), (88, 231), (300, 500)):
        took, size = measure_report(entries, servers)
        print(f'  {entries:5} {servers:5} {took:9.0f} {size:7}')
    print('step of the coordinator: servers, us')
    for servers in (15, 54, 95, 300):
        print(f'  {servers:5} {measure_plan(servers):9.0f}')
    print('assignment: servers, bytes')
    for servers in (15, 54, 95, 300):
        print(f'  {servers:5} {measure_assignment(servers):9}')


def _time(work: Callable[[], None]) -> float:
    work()
    began = time.process_time()
    for _ in range(_ROUNDS):
        work()
    return (time.process_time() - began) / _ROUNDS * _US_PER_S


if __name__ == '__main__':
    main()
