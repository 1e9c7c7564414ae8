"""Successors: how soon a silent grantor is followed, and how often needlessly.

Twelve delegates hear their grantor at each renewal, tick, ask their peers and
answer them. Ours beside a naive rule: each delegate takes over once it has
missed the grantor for as long, whatever its peers hear. In simulated time.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import pathlib
import random
import sys

import numpy
import yaml

from lentilmoor import successors

_BOUNDS = pathlib.Path(__file__).with_name('bounds_liveness.yaml')
_SEEDS = 20
_DELEGATES = 12
_TICK_MS = 20.0
_RENEW_MS = 125.0
_LATENCY_MS = 1.5
_LATE_MS = 200.0
_PAUSE_MS = 200.0
_SPAN_MS = 3_000.0

_Advice = successors.Advice


@dataclasses.dataclass(slots=True)
class _Delegate:
    """One delegate; `deaf` to the grantor only, `paused` to everything."""

    id: str
    watch: successors.GrantorWatch
    stepped_at: float
    deaf: bool = False
    dead: bool = False
    paused: bool = False
    naive_took_at: float = math.inf


class _Model:
    """A grantor, its delegates, and what is between them."""

    def __init__(self, seed: int, late: float):
        self.random = random.Random(seed)
        self.now = 10_000.0
        self.grantor_up = True
        self.took: list[tuple[float, str]] = []
        self._late = late
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.delegates = {
            name:
                _Delegate(name,
                          successors.GrantorWatch('e0', _RENEW_MS, self.now),
                          self.now)
            for name in (f'e{number}' for number in range(_DELEGATES))
        }
        self.delegates['e0'].dead = True  # The grantor asks nobody.
        self._renew()
        for delegate in self.delegates.values():
            self._plan(self.random.uniform(0, _TICK_MS), self._tick, delegate)

    def run(self, span_ms: float) -> None:
        """Lets simulated time pass."""
        until = self.now + span_ms
        while self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def _plan(self, delay_ms: float, action: Callable[..., None],
              *arguments) -> None:
        heapq.heappush(self._events, (self.now + delay_ms, next(
            self._numbers), lambda: action(*arguments)))

    def _renew(self) -> None:
        self._plan(_RENEW_MS, self._renew)
        if self.grantor_up:
            self.renew_all()

    def renew_all(self) -> None:
        """Renews the lease of each delegate now."""
        for delegate in self.delegates.values():
            delay = _LATENCY_MS * self.random.uniform(0.2, 1.5)
            if self.random.random() < self._late:
                delay += self.random.uniform(0, _LATE_MS)
            self._plan(delay, self._hear, delegate)

    def _hear(self, delegate: _Delegate) -> None:
        if not delegate.deaf and not delegate.paused:
            successors.note_heard(delegate.watch, 'e0', self.now)

    def _tick(self, delegate: _Delegate) -> None:
        if delegate.dead:
            return
        self._plan(_TICK_MS, self._tick, delegate)
        if delegate.paused:
            return
        if self.now - delegate.stepped_at > _PAUSE_MS:
            successors.note_paused(delegate.watch, self.now)
        delegate.stepped_at = self.now
        silent_ms = self.now - delegate.watch.heard_at
        if silent_ms > successors.Patience().take * _RENEW_MS:
            delegate.naive_took_at = min(delegate.naive_took_at, self.now)
        heard = frozenset(other.id
                          for other in self.delegates.values()
                          if not other.dead and not other.paused)
        advice = successors.advise(delegate.watch, delegate.id,
                                   tuple(self.delegates), heard, self.now)
        if advice is _Advice.TAKE:
            self.took.append((self.now, delegate.id))
        elif advice is _Advice.ASK:
            self._ask(delegate)

    def _ask(self, delegate: _Delegate) -> None:
        for peer in self.delegates.values():
            if peer is not delegate and not peer.dead:
                delay = 2 * _LATENCY_MS * self.random.uniform(0.5, 1.5)
                self._plan(delay, self._answer, delegate, peer)

    def _answer(self, delegate: _Delegate, peer: _Delegate) -> None:
        if not peer.paused:
            age_ms = self.now - peer.watch.heard_at
            successors.note_answer(delegate.watch, peer.id, age_ms, self.now)


def _stop(model: _Model) -> None:
    model.grantor_up = False


def _kill_two(model: _Model) -> None:
    _stop(model)
    model.delegates['e1'].dead = True


def _lose_domain(model: _Model) -> None:
    _stop(model)
    for number in range(0, _DELEGATES, 3):
        model.delegates[f'e{number}'].dead = True


def _deafen(model: _Model) -> None:
    model.delegates['e1'].deaf = True


def _deafen_some(model: _Model) -> None:
    for number in range(1, _DELEGATES, 3):
        model.delegates[f'e{number}'].deaf = True


def _pause(model: _Model) -> None:
    model.delegates['e1'].paused = True
    model.run(1_500)
    model.delegates['e1'].paused = False


def _stall(model: _Model) -> None:
    model.grantor_up = False
    model.run(150)
    model.grantor_up = True
    model.renew_all()


def _do_nothing(_: _Model) -> None:
    """Leaves the model as it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens; `lost` tells whether the grantor is to be followed."""

    name: str
    act: Callable[[_Model], None]
    lost: bool
    late: float = 0.0


SCENARIOS = (
    Scenario('grantor', _stop, True),
    Scenario('grantor and first candidate', _kill_two, True),
    Scenario("grantor's domain", _lose_domain, True),
    Scenario('first candidate cut off', _deafen, False),
    Scenario('four delegates cut off', _deafen_some, False),
    Scenario('first candidate paused', _pause, False),
    Scenario('grantor stalls 150 ms', _stall, False),
    Scenario('a tenth of renewals late', _do_nothing, False, late=0.1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One scenario over all seeds.

    Attributes:
      scenario: Its name.
      p50: Median time to the first try to take over, ms; nan if none.
      most: Longest, ms.
      missed: Runs without one where the grantor was lost.
      needless: Runs with one where it was not.
      rivals: Most delegates that tried within 150 ms of the first.
      naive_needless: Runs in which a delegate by itself would have tried.
    """

    scenario: str
    p50: float
    most: float
    missed: int
    needless: int
    rivals: int
    naive_needless: int


def measure(seeds: int = _SEEDS) -> list[Row]:
    """Runs all scenarios."""
    return [_run(scenario, seeds) for scenario in SCENARIOS]


def _run(scenario: Scenario, seeds: int) -> Row:
    times = []
    missed = needless = rivals = naive = 0
    for seed in range(seeds):
        model = _Model(seed, scenario.late)
        model.run(500 + 17 * seed)
        began_at = model.now
        scenario.act(model)
        model.run(_SPAN_MS)
        naive += not scenario.lost and any(
            delegate.naive_took_at < math.inf
            for delegate in model.delegates.values())
        if not model.took:
            missed += scenario.lost
            continue
        needless += not scenario.lost
        first = model.took[0][0]
        times.append(first - began_at)
        rivals = max(
            rivals,
            len({name for at, name in model.took if at < first + 150}) - 1)
    p50 = float(numpy.median(times)) if times else math.nan
    return Row(scenario.name, p50, max(times, default=math.nan), missed,
               needless, rivals, naive)


def find_breaches(rows: list[Row], bounds: dict) -> list[str]:
    """Returns one line per passed bound.

    Args:
      rows: What was measured.
      bounds: By scenario: most, missed, needless, rivals.
    """
    return [
        f'successors, {row.scenario}: {name} is {getattr(row, name)}, the '
        f'bound is {limit}'
        for row in rows
        for name, limit in bounds[row.scenario].items()
        if not getattr(row, name) <= limit
    ]


def run(seeds: int = _SEEDS) -> list[str]:
    """Prints the table and returns passed bounds."""
    rows = measure(seeds)
    print(f'Successors: {_DELEGATES} delegates, {seeds} seeds; time to the '
          'first try to take over')
    print(f'{"scenario":30}{"p50 ms":>8}{"max ms":>8}{"missed":>8}'
          f'{"needless":>10}{"rivals":>8}{"alone, needless":>17}')
    for row in rows:
        print(f'{row.scenario:30}{row.p50:8.0f}{row.most:8.0f}{row.missed:8}'
              f'{row.needless:10}{row.rivals:8}{row.naive_needless:17}')
    bounds = yaml.safe_load(_BOUNDS.read_text('utf-8'))
    return find_breaches(rows, bounds['successors'])


def main() -> None:
    """Prints the table and the passed bounds; takes the number of seeds."""
    for breach in run(int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS):
        print(breach)


if __name__ == '__main__':
    main()
