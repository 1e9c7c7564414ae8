"""Explores all orders of messages and faults, up to a number of faults.

A state is a `orderworlds.World`. From each, the explorer has every message that
is due meet every fate, and every fault come, and goes on from each outcome. A
fate other than an answer at once, and a fault, count as one fault each; the
calm course costs nothing and goes on without end. States with the same future
are visited once, by the fewest faults that lead there, so that all courses with
so many faults are covered, however long they are.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import gc
import itertools

from lentilmoor.edge import ownership
from tests import orderworlds

# Time jumps no further once no fault may come any more, ms.
LEAP_MS = 1_000.0
# Lines of a trace, at most.
MOST_LINES = 60

USUAL = orderworlds.Rules()

Fault = tuple[str, Callable[[orderworlds.World], None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """What is explored.

    Attributes:
      faults: Faults in one course, at most.
      rules: What the world allows.
      fates: Fates besides an answer at once; None for all.
      kinds: Kinds of faults: cut, apart, freeze, restart, later, crash, drain,
        lapse, takeover, succession; None for all.
      addresses: Addresses where faults come.
      lives: Processes at one address, at most, one after another.
      states: States after which it is given up.
      hunts: Whether it ends with the first breach.
    """

    faults: int
    rules: orderworlds.Rules = USUAL
    fates: frozenset[orderworlds.Fate] | None = None
    kinds: frozenset[str] | None = None
    addresses: tuple[str, ...] = orderworlds.ADDRESSES
    lives: int = 3
    states: int = 10_000_000
    hunts: bool = False


@dataclasses.dataclass(slots=True)
class Report:
    """What was found.

    Attributes:
      states: How many were visited.
      steps: How many steps were taken between them.
      complete: Whether all in scope were visited.
      traces: The course that leads to a breach, a line for each step, for the
        first of each kind.
      unserved_ms: Longest time after which the key is served for good if
        nothing else fails; infinite if it never is.
      unserved_trace: The course that leads there.
    """

    states: int = 0
    steps: int = 0
    complete: bool = True
    traces: dict[orderworlds.Breach,
                 list[str]] = dataclasses.field(default_factory=dict)
    unserved_ms: float = 0.0
    unserved_trace: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _Node:
    """A state that was visited.

    Attributes:
      parent: The state before; -1 if it is the first.
      step: What led here; empty if time passed only.
      now: ms.
      served: Whether the key is served.
      quiet: Whether no fault lasts.
      calm: The state that follows if nothing fails; -1 if not known.
    """

    parent: int
    step: str
    now: float
    served: bool
    quiet: bool
    calm: int = -1
    calm_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """A step from one state to another.

    Attributes:
      cost: Faults that it takes.
      text: What happens.
      world: The state that it leads to.
      calm: Whether it is what happens if nothing fails.
    """

    cost: int
    text: str
    world: orderworlds.World
    calm: bool = False


def explore(scope: Scope) -> Report:
    """Visits all states in scope, those with the fewest faults first."""
    # Nothing refers to itself here, and there are many objects to look at.
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
    rows = [collections.deque() for _ in range(scope.faults + 1)]

    def visit(parent: int, step: _Step, cost: int) -> int:
        key = step.world.make_key()
        index = known.get(key)
        if index is None:
            index = known[key] = len(nodes)
            nodes.append(
                _Node(parent, step.text, step.world.now,
                      bool(step.world.holders()), step.world.is_quiet()))
            rows[cost].append((index, step.world))
        return index

    visit(-1, _Step(0, '', orderworlds.World(scope.rules)), 0)
    for cost, row in enumerate(rows):
        while row:
            index, world = row.popleft()
            began = world.now
            for step in _list_steps(scope, world, scope.faults - cost):
                report.steps += 1
                report.states = len(nodes)
                following = visit(index, step, cost + step.cost)
                if step.calm:
                    nodes[index].calm = following
                    nodes[index].calm_ms = step.world.now - began
                for breach, text in step.world.breaches.items():
                    if breach not in report.traces:
                        report.traces[breach] = [
                            *_trace(nodes, index),
                            f'{step.world.now:.0f} ms: {step.text}', text
                        ]
            if report.traces and scope.hunts or len(nodes) >= scope.states:
                report.complete = False
                return report
    _measure_unserved(nodes, report)
    return report


def _trace(nodes: list[_Node], index: int) -> list[str]:
    lines = []
    while index >= 0:
        node = nodes[index]
        if node.step:
            lines.append(f'{node.now:.0f} ms: {node.step}')
        index = node.parent
    return lines[::-1]


def _trace_calm(nodes: list[_Node], index: int,
                times: dict[int, float]) -> list[str]:
    """Returns the calm course until the key is served for good."""
    lines, now = [], nodes[index].now
    while times[index] and len(lines) < MOST_LINES:
        node = nodes[index]
        now += node.calm_ms
        index = node.calm
        step = nodes[index].step or 'time passes'
        served = 'served' if nodes[index].served else 'not served'
        lines.append(f'{now:.0f} ms: {step} ({served})')
    return lines


def _list_steps(scope: Scope, world: orderworlds.World,
                left: int) -> Iterator[_Step]:
    """Yields all steps from a state, which it uses up, with faults left."""
    if left > 0:
        for text, act in list_faults(scope, world):
            new = world.copy()
            act(new)
            yield _Step(1, text, new)
    served = bool(world.holders())
    while True:
        if world.coordinators[-1].state.superseded:
            world.take_over(False, True)
            yield _Step(0, 'another coordinator begins', world, True)
            return
        decided = world.decide()
        if decided:
            break
        world.now = world.find_next(orderworlds.JUMP_MS if left else LEAP_MS)
        happened = world.do_due()
        if left or happened or served != bool(world.holders()):
            yield _Step(0, happened, world, True)
            return
    if decided[0][0] != decided[-1][0]:
        yield from _list_sent(scope, world.copy(), decided[::-1], left, False)
    yield from _list_sent(scope, world, decided, left, True)


def _list_sent(scope: Scope, world: orderworlds.World, decided: list[tuple],
               left: int, calm: bool) -> Iterator[_Step]:
    """Yields the steps in which messages meet each fate."""
    choices = [[(fate, cost)
                for fate, cost in orderworlds.read_fates(world, *item).items()
                if cost <= left and
                (not cost or scope.fates is None or fate in scope.fates)]
               for item in decided]
    for fates in reversed(list(itertools.product(*choices))):
        cost = sum(item[1] for item in fates)
        if cost > left:
            continue
        # The last one, an answer at once to all, uses up the state.
        new = world.copy() if cost else world
        texts = []
        for (index, action), (fate, _) in zip(decided, fates, strict=True):
            texts.append(_describe(new, index, action, fate))
            new.send(index, action, fate)
        yield _Step(cost, '; '.join(texts), new, calm and not cost)


def _describe(world: orderworlds.World, index: int, action: ownership.Action,
              fate: orderworlds.Fate) -> str:
    who = ('first', 'second', 'third', 'next')[min(index, 3)]
    if isinstance(action, ownership.Grant):
        what = (f'grant to {action.server.id} with fence {action.fence} for '
                f'{action.hold_ms:.0f} ms')
    elif isinstance(action, ownership.Save):
        item, = action.assignment.ranges
        what = f'save: {item.server} with fence {item.fence}'
    else:
        what = f'{type(action).__name__.lower()} at {action.server.id}'
    outcome = fate.value
    if (fate is orderworlds.Fate.ANSWERED and
            not world.is_answered(index, action)):
        outcome = 'not answered'
    return f'{who} coordinator: {what}: {outcome}'


def list_faults(scope: Scope, world: orderworlds.World) -> list[Fault]:
    """Returns the faults in scope that may come now."""
    faults: list[tuple[str, str, Callable]] = []
    for address in scope.addresses:
        faults += _list_path_faults(world, address)
        faults += _list_process_faults(scope, world, address)
    if len(world.coordinators) == 1:
        faults += [
            ('takeover', 'another coordinator begins, the first goes on',
             lambda new: new.take_over(True, True)),
            ('succession', 'another coordinator begins, the first ended',
             lambda new: new.take_over(False, True)),
            ('succession', 'another coordinator begins, the first ended, '
             'nothing is known of before',
             lambda new: new.take_over(False, False))
        ]
    return [(text, act)
            for kind, text, act in faults
            if scope.kinds is None or kind in scope.kinds]


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
    if _count_lives(world, address) < scope.lives:
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
        faults.append(('lapse', f'the entry of {name} runs out for a while',
                       lambda new: new.lapse(name)))
    return faults


def _count_lives(world: orderworlds.World, address: str) -> int:
    return sum(
        item.entry.address == address for item in world.processes.values())


def _has_other(world: orderworlds.World, address: str) -> bool:
    """Returns whether a server at another address can take the key."""
    return any(
        item.up and not item.entry.draining and item.entry.address != address
        for item in world.processes.values())


def _measure_unserved(nodes: list[_Node], report: Report) -> None:
    """Finds the state whose calm course serves the key for good the latest."""
    times: dict[int, float] = {}
    for start, first in enumerate(nodes):
        path, seen = [], set()
        index = start
        while index not in times and index not in seen and index >= 0:
            seen.add(index)
            path.append(index)
            index = nodes[index].calm
        if index >= 0 and index not in times:
            cycle = path[path.index(index):]
            served = all(nodes[item].served for item in cycle)
            times.update(dict.fromkeys(cycle, 0.0 if served else float('inf')))
        for item in reversed(path):
            if item in times:
                continue
            node = nodes[item]
            rest = times.get(node.calm, 0.0)
            times[
                item] = rest + node.calm_ms if rest or not node.served else 0.0
        if first.quiet and times[start] > report.unserved_ms:
            report.unserved_ms = times[start]
            report.unserved_trace = _trace(nodes, start) + [
                f'{first.now:.0f} ms: calm from here on',
                *_trace_calm(nodes, start, times)
            ]
