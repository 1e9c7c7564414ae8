"""Model checker: explores all orders of messages and faults.

A state is an `orderworlds.World`. From each state, the explorer applies every
fate to every message that is due, and every fault, and continues from each
outcome. A fate other than an immediate answer counts as one fault, and so does
a fault. Calm steps, without a fault, cost nothing and are always continued.
States with the same future are visited once, with the fewest faults that lead
to them. All courses with up to the given number of faults are therefore
covered, whatever their length.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import gc
import itertools

from lentilmoor.edge import ownership
from tests import orderworlds

# Longest step of time when no fault is left.
MAX_CALM_STEP_MS = 1_000.0
MAX_TRACE_LINES = 60

DEFAULT_RULES = orderworlds.Rules()

Fault = tuple[str, Callable[[orderworlds.World], None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Scope of an exploration.

    Attributes:
      max_faults: Maximum number of faults in one course.
      rules: What the simulation allows.
      fates: Fates besides an immediate answer; None for all.
      fault_kinds: Kinds of faults; None for all:
        cut: The path to a server is cut for some time.
        apart: The newest coordinator can't reach an address.
        freeze: A server answers nothing for some time.
        restart: A process crashes, another starts at once at its address.
        later: A process crashes, another starts later at its address.
        crash: A process crashes for good.
        drain: A server reports that it is about to leave.
        lapse: The registration of a process expires for some time.
        takeover: Another coordinator starts, the first one continues.
        succession: Another coordinator starts, the first one has ended.
      addresses: Addresses at which faults occur.
      max_lives: Maximum number of successive processes at one address.
      max_states: Number of states after which the exploration is aborted.
      stops_at_breach: Whether the exploration ends at the first breach.
    """

    max_faults: int
    rules: orderworlds.Rules = DEFAULT_RULES
    fates: frozenset[orderworlds.Fate] | None = None
    fault_kinds: frozenset[str] | None = None
    addresses: tuple[str, ...] = orderworlds.ADDRESSES
    max_lives: int = 3
    max_states: int = 10_000_000
    stops_at_breach: bool = False


@dataclasses.dataclass(slots=True)
class Report:
    """Results of an exploration.

    Attributes:
      state_count: Number of states visited.
      step_count: Number of steps between them.
      is_complete: Whether all states in scope were visited.
      traces: Course that leads to the first breach of each kind, one line per
        step.
      unserved_ms: Longest time until the key is served permanently if no more
        faults occur; infinite if it never is.
      unserved_trace: Course that leads to that time.
    """

    state_count: int = 0
    step_count: int = 0
    is_complete: bool = True
    traces: dict[orderworlds.Breach,
                 list[str]] = dataclasses.field(default_factory=dict)
    unserved_ms: float = 0.0
    unserved_trace: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Node:
    """A visited state.

    Attributes:
      parent: Index of the preceding state; -1 for the first.
      step: Description of the step that led here; empty if only time passed.
      now: Time of the state, ms.
      is_served: Whether the key is served.
      is_quiet: Whether no fault is in effect.
      calm_successor: Index of the state that follows without a fault; -1 if
        unknown.
      calm_ms: Time from this state to its calm successor, ms.
    """

    parent: int
    step: str
    now: float
    is_served: bool
    is_quiet: bool
    calm_successor: int = -1
    calm_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """A step from one state to another.

    Attributes:
      cost: Number of faults in the step.
      text: Description for traces.
      world: State to which it leads.
      is_calm: Whether it happens if nothing fails.
    """

    cost: int
    text: str
    world: orderworlds.World
    is_calm: bool = False


def explore(scope: Scope) -> Report:
    """Visits all states in scope, those with the fewest faults first."""
    # The states contain no reference cycles, and scanning so many objects would
    # only cost time.
    enabled = gc.isenabled()
    gc.disable()
    try:
        return _explore(scope)
    finally:
        if enabled:
            gc.enable()


def _explore(scope: Scope) -> Report:
    report = Report()
    nodes: list[_Node] = []
    known: dict[tuple, int] = {}
    queues = [collections.deque() for _ in range(scope.max_faults + 1)]

    def visit(parent: int, step: _Step, cost: int) -> int:
        key = step.world.make_key()
        index = known.get(key)
        if index is None:
            index = known[key] = len(nodes)
            nodes.append(
                _Node(parent, step.text, step.world.now,
                      bool(step.world.holders()), step.world.is_quiet()))
            queues[cost].append((index, step.world))
        return index

    visit(-1, _Step(0, '', orderworlds.World(scope.rules)), 0)
    for cost, queue in enumerate(queues):
        while queue:
            index, world = queue.popleft()
            started_at = world.now
            for step in _list_steps(scope, world, scope.max_faults - cost):
                report.step_count += 1
                report.state_count = len(nodes)
                successor = visit(index, step, cost + step.cost)
                if step.is_calm:
                    nodes[index].calm_successor = successor
                    nodes[index].calm_ms = step.world.now - started_at
                for breach, text in step.world.breaches.items():
                    if breach not in report.traces:
                        report.traces[breach] = [
                            *_list_trace(nodes, index),
                            f'{step.world.now:.0f} ms: {step.text}', text
                        ]
            if report.traces and scope.stops_at_breach or len(
                    nodes) >= scope.max_states:
                report.is_complete = False
                return report
    _measure_unserved(nodes, report)
    return report


def _list_trace(nodes: list[_Node], index: int) -> list[str]:
    lines = []
    while index >= 0:
        node = nodes[index]
        if node.step:
            lines.append(f'{node.now:.0f} ms: {node.step}')
        index = node.parent
    return lines[::-1]


def _list_calm_trace(nodes: list[_Node], index: int,
                     times: dict[int, float]) -> list[str]:
    """Returns the calm course until the key is served permanently."""
    lines, now = [], nodes[index].now
    while times[index] and len(lines) < MAX_TRACE_LINES:
        node = nodes[index]
        now += node.calm_ms
        index = node.calm_successor
        step = nodes[index].step or 'time passes'
        served = 'served' if nodes[index].is_served else 'not served'
        lines.append(f'{now:.0f} ms: {step} ({served})')
    return lines


def _list_steps(scope: Scope, world: orderworlds.World,
                faults_left: int) -> Iterator[_Step]:
    """Yields all steps from a state; modifies `world`."""
    if faults_left > 0:
        for text, apply in list_faults(scope, world):
            new = world.copy()
            apply(new)
            yield _Step(1, text, new)
    served = bool(world.holders())
    while True:
        if world.coordinators[-1].state.superseded:
            world.take_over(False, True)
            yield _Step(0, 'another coordinator starts', world, True)
            return
        decided = world.decide()
        if decided:
            break
        world.now = world.find_next(
            orderworlds.JUMP_MS if faults_left else MAX_CALM_STEP_MS)
        happened = world.do_due()
        if faults_left or happened or served != bool(world.holders()):
            yield _Step(0, happened, world, True)
            return
    if decided[0][0] != decided[-1][0]:
        yield from _list_send_steps(scope, world.copy(), decided[::-1],
                                    faults_left, False)
    yield from _list_send_steps(scope, world, decided, faults_left, True)


def _list_send_steps(scope: Scope, world: orderworlds.World,
                     decided: list[tuple], faults_left: int,
                     calm: bool) -> Iterator[_Step]:
    """Yields a step for each combination of the messages' fates."""
    choices = [[(fate, cost)
                for fate, cost in orderworlds.read_fates(world, *item).items()
                if cost <= faults_left and
                (not cost or scope.fates is None or fate in scope.fates)]
               for item in decided]
    for fates in reversed(list(itertools.product(*choices))):
        cost = sum(item[1] for item in fates)
        if cost > faults_left:
            continue
        # The last combination, immediate answers to all, may modify the state.
        new = world.copy() if cost else world
        texts = []
        for (index, action), (fate, _) in zip(decided, fates, strict=True):
            texts.append(_describe(new, index, action, fate))
            new.send(index, action, fate)
        yield _Step(cost, '; '.join(texts), new, calm and not cost)


def _describe(world: orderworlds.World, index: int, action: ownership.Action,
              fate: orderworlds.Fate) -> str:
    sender = ('first', 'second', 'third', 'next')[min(index, 3)]
    if isinstance(action, ownership.Grant):
        message = (f'grant to {action.server.id} with fence {action.fence} for '
                   f'{action.hold_ms:.0f} ms')
    elif isinstance(action, ownership.Save):
        item, = action.assignment.ranges
        message = f'save: {item.server} with fence {item.fence}'
    else:
        message = f'{type(action).__name__.lower()} at {action.server.id}'
    outcome = fate.value
    if (fate is orderworlds.Fate.ANSWERED and
            not world.is_answered(index, action)):
        outcome = 'not answered'
    return f'{sender} coordinator: {message}: {outcome}'


def list_faults(scope: Scope, world: orderworlds.World) -> list[Fault]:
    """Returns the faults in scope that are possible in this state."""
    faults: list[tuple[str, str, Callable]] = []
    for address in scope.addresses:
        faults += _list_path_faults(world, address)
        faults += _list_process_faults(scope, world, address)
    if len(world.coordinators) == 1:
        faults += [
            ('takeover', 'another coordinator starts, the first continues',
             lambda new: new.take_over(True, True)),
            ('succession', 'another coordinator starts, the first has ended',
             lambda new: new.take_over(False, True)),
            ('succession', 'another coordinator starts, the first has ended, '
             'earlier servers are unknown',
             lambda new: new.take_over(False, False))
        ]
    return [(text, apply)
            for kind, text, apply in faults
            if scope.fault_kinds is None or kind in scope.fault_kinds]


def _list_path_faults(world: orderworlds.World, address: str) -> list[tuple]:
    faults = []
    if (-1, address) not in world.cut:
        for ms in orderworlds.CUT_MS:
            faults.append(
                ('cut', f'the path to {address} is cut for {ms:.0f} ms',
                 lambda new, ms=ms: new.cut_path(address, ms)))
    newest = len(world.coordinators) - 1
    if newest and not world.cut:
        faults.append(
            ('apart', f'the newest coordinator does not reach {address}',
             lambda new: new.cut_path(address, orderworlds.APART_MS, newest)))
    if address not in world.frozen and world.find_listening(address):
        for ms in orderworlds.FREEZE_MS:
            faults.append(
                ('freeze', f'{address} answers nothing for {ms:.0f} ms',
                 lambda new, ms=ms: new.freeze(address, ms)))
    return faults


def _list_process_faults(scope: Scope, world: orderworlds.World,
                         address: str) -> list[tuple]:
    process = world.find_listening(address)
    if process is None:
        return []
    faults = []
    name = process.entry.id
    if _count_processes(world, address) < scope.max_lives:
        for ms in world.rules.listed_ms:
            faults.append(('restart',
                           f'{name} crashes, another starts at its address and '
                           f'is listed after {ms:.0f} ms',
                           lambda new, ms=ms: new.restart(address, ms)))
        faults.append(
            ('later', f'{name} crashes, another starts at its address later',
             lambda new: new.restart_later(address)))
    if not _has_other(world, address):
        return faults
    faults.append(
        ('crash', f'{name} crashes', lambda new: new.crash_for_good(address)))
    if name in world.listed and not process.entry.draining:
        faults.append(
            ('drain', f'{name} is about to leave', lambda new: new.drain(name)))
        faults.append(
            ('lapse', f'the registration of {name} expires for a while',
             lambda new: new.lapse(name)))
    return faults


def _count_processes(world: orderworlds.World, address: str) -> int:
    return sum(
        item.entry.address == address for item in world.processes.values())


def _has_other(world: orderworlds.World, address: str) -> bool:
    """Returns whether a server at another address can take the key."""
    return any(
        item.up and not item.entry.draining and item.entry.address != address
        for item in world.processes.values())


def _measure_unserved(nodes: list[_Node], report: Report) -> None:
    """Finds the state from which serving the key permanently takes longest."""
    times: dict[int, float] = {}
    for start, first in enumerate(nodes):
        path, seen = [], set()
        index = start
        while index not in times and index not in seen and index >= 0:
            seen.add(index)
            path.append(index)
            index = nodes[index].calm_successor
        if index >= 0 and index not in times:
            cycle = path[path.index(index):]
            served = all(nodes[item].is_served for item in cycle)
            times.update(dict.fromkeys(cycle, 0.0 if served else float('inf')))
        for item in reversed(path):
            if item in times:
                continue
            node = nodes[item]
            rest = times.get(node.calm_successor, 0.0)
            times[item] = (rest +
                           node.calm_ms if rest or not node.is_served else 0.0)
        if first.is_quiet and times[start] > report.unserved_ms:
            report.unserved_ms = times[start]
            report.unserved_trace = _list_trace(nodes, start) + [
                f'{first.now:.0f} ms: calm from here on',
                *_list_calm_trace(nodes, start, times)
            ]
