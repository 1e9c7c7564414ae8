"""Quarantine: crashes that requests cause, and innocents that are blocked.

Ours beside four naive rules: block nothing; block a path seen at two crashes;
block what was in flight at one crash; block what was in flight at two. All in
simulated time, on the same seeded requests.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import sys

import yaml

from benchmarks import quarantine_model
from lentilmoor import quarantine

_BOUNDS = pathlib.Path(__file__).with_name('bounds_retries.yaml')
_SEEDS = 4
_SPAN_MS = 20_000.0
_SERVICE = 'team/service'

_Policy = quarantine_model.Policy
_Request = quarantine_model.Request
_Server = quarantine_model.ModelServer


class _Counting(_Policy):
    """Blocks what was in flight at so many crashes."""

    crashes = 1

    def __init__(self, model: quarantine_model.Model):
        super().__init__(model)
        self._seen: dict[object, set[tuple[str, int]]] = {}

    def _name(self, request: _Request) -> object:
        return request.content.fingerprint

    def check(self, request: _Request) -> bool | None:
        seen = self._seen.get(self._name(request), ())
        return len(seen) < self.crashes

    def note_lost(self, request: _Request, server: _Server) -> None:
        seen = self._seen.setdefault(self._name(request), set())
        seen.add((server.id, server.life))


class _CountingTwo(_Counting):
    crashes = 2


class _CountingPaths(_CountingTwo):

    def _name(self, request: _Request) -> object:
        return request.content.path


class _Ours(_Policy):
    """The package's quarantine, one table for each entry."""

    def __init__(self, model: quarantine_model.Model):
        super().__init__(model)
        self._tables = [
            quarantine.Quarantine() for _ in range(quarantine_model.ENTRIES)
        ]

    def check(self, request: _Request) -> bool | None:
        verdict = quarantine.check(self._tables[request.entry],
                                   request.content.fingerprint, self.model.now)
        if verdict is quarantine.Verdict.SUSPECT:
            return None
        return verdict is quarantine.Verdict.CLEAR

    def note_lost(self, request: _Request, server: _Server) -> None:
        item = quarantine.report_crash(self._tables[request.entry],
                                       request.content.fingerprint, _SERVICE,
                                       server.id, self.model.now)
        self._spread(request.entry, item)

    def note_clean(self, request: _Request, server: _Server) -> None:
        item = quarantine.report_clean_run(self._tables[request.entry],
                                           request.content.fingerprint,
                                           server.id, self.model.now)
        if item is not None:
            self._spread(request.entry, item)

    def tick(self) -> None:
        for table in self._tables:
            quarantine.step(table, self.model.now)

    def _spread(self, entry: int, item: quarantine.Evidence) -> None:
        for other, table in enumerate(self._tables):
            if other != entry:
                self.model.after(self.model.random.uniform(1.0, 20.0),
                                 lambda table=table: quarantine.merge(
                                     table, [item], self.model.now))


POLICIES: dict[str, Callable[[quarantine_model.Model], _Policy]] = {
    'ours': _Ours,
    'none': _Policy,
    'path, two crashes': _CountingPaths,
    'one crash': _Counting,
    'two crashes': _CountingTwo,
}
# Name, requests that crash servers, mean time between other crashes in s.
SCENARIOS = (
    ('one killer', 1, 0.0),
    ('four killers', 4, 0.0),
    ('one killer, other crashes', 1, 3.0),
    ('other crashes only', 0, 1.5),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One scenario under one policy, over all seeds.

    Attributes:
      scenario: Its name.
      policy: Its name.
      crashes: Crashes for each killer.
      innocents: Innocent requests sent.
      blocked: Innocent requests blocked.
      longest_wait_ms: Longest wait of a suspect for its turn.
    """

    scenario: str
    policy: str
    crashes: float
    innocents: int
    blocked: int
    longest_wait_ms: float


def measure(seeds: int = _SEEDS) -> list[Row]:
    """Runs all scenarios under all policies."""
    return [
        _run(scenario, name, seeds)
        for scenario in SCENARIOS
        for name in POLICIES
    ]


def _run(scenario: tuple[str, int, float], policy: str, seeds: int) -> Row:
    name, killers, other_crashes_s = scenario
    tallies = []
    for seed in range(seeds):
        model = quarantine_model.Model(seed, POLICIES[policy], killers,
                                       other_crashes_s)
        model.run(_SPAN_MS)
        tallies.append(model.tally)
    crashes = sum(tally.crashes for tally in tallies)
    return Row(name, policy, crashes / max(1, killers * seeds),
               sum(tally.innocents for tally in tallies),
               sum(tally.innocents_blocked for tally in tallies),
               max(tally.longest_wait_ms for tally in tallies))


def find_breaches(rows: list[Row], bounds: dict) -> list[str]:
    """Returns one line per passed bound.

    Args:
      rows: What was measured.
      bounds: By scenario: crashes, blocked.
    """
    return [
        f'quarantine, {row.scenario}: {name} is {getattr(row, name)}, the '
        f'bound is {limit}' for row in rows if row.policy == 'ours'
        for name, limit in bounds[row.scenario].items()
        if not getattr(row, name) <= limit
    ]


def run(seeds: int = _SEEDS) -> list[str]:
    """Prints the table and returns passed bounds."""
    rows = measure(seeds)
    print(f'Quarantine: {quarantine_model.SERVERS} servers, '
          f'{quarantine_model.ENTRIES} entries, {seeds} seeds of '
          f'{_SPAN_MS / 1_000:.0f} s')
    print(f'{"scenario":28}{"policy":>20}{"crashes a killer":>18}'
          f'{"innocents blocked":>20}{"of":>8}{"longest wait ms":>17}')
    for row in rows:
        print(f'{row.scenario:28}{row.policy:>20}{row.crashes:18.2f}'
              f'{row.blocked:20}{row.innocents:8}{row.longest_wait_ms:17.0f}')
    bounds = yaml.safe_load(_BOUNDS.read_text('utf-8'))
    return find_breaches(rows, bounds['quarantine'])


def main() -> None:
    """Prints the table and the passed bounds; takes the number of seeds."""
    for breach in run(int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS):
        print(breach)


if __name__ == '__main__':
    main()
