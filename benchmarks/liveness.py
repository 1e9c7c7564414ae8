"""Liveness: how soon the dead are found, and how often the living condemned.

Runs the seeded model of entries and servers, ours beside two naive detectors:
any one entry that counts three failures in a row, and three bad polls of the
health endpoint, one a second. All in simulated time.
"""

from collections.abc import Callable
import dataclasses
import math
import pathlib
import sys

import numpy
import yaml

from benchmarks import liveness_model

_BOUNDS = pathlib.Path(__file__).with_name('bounds_liveness.yaml')
_WARM_UP_MS = 1_000.0
_MANY, _SOME, _FEW = 6, 2, 1

Act = Callable[[liveness_model.Model], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to a model.

    Attributes:
      name: Name in the table and in the bounds.
      act: Done once, after a warm-up.
      rate: Requests a second by each entry to each server.
      loss: Share of tries that get no answer by themselves.
      span_ms: How long the model runs afterwards.
      seeds: Models run in CI.
      latency_ms: Between failure domains: 1.5 at Hsinchu, 0.5 at Nilebridge.
    """

    name: str
    act: Act
    rate: float = 5.0
    loss: float = 0.0
    span_ms: float = 1_500.0
    seeds: int = _SOME
    latency_ms: float = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Detector:
    """What one detector did over all seeds.

    Attributes:
      p50: Median time to find a lost server, ms; nan if none was lost.
      p99: 99th percentile, ms.
      most: Longest time, ms.
      missed: Lost servers not found.
      condemned: Servers held lost that were not.
    """

    p50: float
    p99: float
    most: float
    missed: int
    condemned: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One scenario's result.

    Attributes:
      scenario: Its name.
      ours: The package's verdicts, at the grantor.
      single: One entry's count of failures in a row.
      health: Polls of the health endpoint.
      probes: Probes a second by an entry.
      tells: Messages with evidence a second by an entry.
    """

    scenario: str
    ours: Detector
    single: Detector
    health: Detector
    probes: float
    tells: float


def _kill_one(model: liveness_model.Model) -> None:
    model.servers['s0'].killed = True


def _freeze_one(model: liveness_model.Model) -> None:
    model.servers['s0'].frozen = True


def _hang_one(model: liveness_model.Model) -> None:
    model.servers['s0'].hung = True


def _lose_domain(model: liveness_model.Model) -> None:
    """Kills all servers and entries of a domain the grantor is not in."""
    grantor = model.entries[model.grantor]
    domain = next(item.domain
                  for item in model.servers.values()
                  if item.domain != grantor.domain)
    for server in model.servers.values():
        server.killed |= server.domain == domain
    for entry in model.entries.values():
        entry.dead |= entry.domain == domain


def _cut_grantor(model: liveness_model.Model) -> None:
    model.entries[model.grantor].cut_servers = True


def _cut_two_entries(model: liveness_model.Model) -> None:
    """Cuts the grantor and an entry of another domain from all servers."""
    grantor = model.entries[model.grantor]
    grantor.cut_servers = True
    next(entry for entry in model.entries.values()
         if entry.domain != grantor.domain).cut_servers = True


def _isolate_grantor(model: liveness_model.Model) -> None:
    model.entries[model.grantor].cut_servers = True
    model.entries[model.grantor].cut_peers = True


def _pause(model: liveness_model.Model, name: str) -> None:
    entry = model.entries[name]
    entry.paused = True
    model.run(2_000)
    model.resume(entry)


def _pause_grantor(model: liveness_model.Model) -> None:
    _pause(model, model.grantor)


def _pause_another(model: liveness_model.Model) -> None:
    _pause(model, model.order[1])


def _say_ill(model: liveness_model.Model) -> None:
    for server in model.servers.values():
        server.ill = True


def _overload(model: liveness_model.Model) -> None:
    """Five requests in six run into their timeout; probes take 25 ms."""
    model.service_ms = 1_400.0
    model.probe_ms = 25.0


def _stall_briefly(model: liveness_model.Model) -> None:
    """All servers stop for 200 ms, one after the other."""
    for server in model.servers.values():
        server.frozen = True
        model.run(200)
        server.frozen = False
        model.run(100)


def _fill_up(model: liveness_model.Model) -> None:
    """All connections are in use: new ones are refused, old ones work."""
    for server in model.servers.values():
        server.full = True


def _do_nothing(_: liveness_model.Model) -> None:
    """Leaves the model as it is."""


SCENARIOS = (
    Scenario('killed, no traffic', _kill_one, rate=0, seeds=_MANY),
    Scenario('killed, traffic', _kill_one, seeds=_MANY),
    Scenario('frozen, no traffic', _freeze_one, rate=0, seeds=_MANY),
    Scenario('frozen, traffic', _freeze_one, seeds=_MANY),
    Scenario('killed, Nilebridge', _kill_one, seeds=_MANY, latency_ms=0.5),
    Scenario('frozen, Nilebridge', _freeze_one, seeds=_MANY, latency_ms=0.5),
    Scenario('killed, 1% loss', _kill_one, loss=0.01),
    Scenario('domain lost, no traffic', _lose_domain, rate=0),
    Scenario('domain lost, traffic', _lose_domain),
    Scenario('requests hang, health well', _hang_one, span_ms=4_000),
    Scenario('grantor cut from servers', _cut_grantor, span_ms=5_000),
    Scenario('same, no traffic', _cut_grantor, rate=0, span_ms=5_000),
    Scenario('two entries cut from servers', _cut_two_entries, span_ms=5_000),
    Scenario('two cut, no traffic', _cut_two_entries, rate=0, span_ms=5_000),
    Scenario('grantor cut from all', _isolate_grantor, span_ms=5_000),
    Scenario('grantor paused 2 s', _pause_grantor),
    Scenario('another paused 2 s', _pause_another),
    Scenario('health says ill', _say_ill, span_ms=5_000, seeds=_FEW),
    Scenario('1% of tries lost', _do_nothing, loss=0.01, span_ms=4_000),
    Scenario('5% of tries lost', _do_nothing, loss=0.05, span_ms=4_000),
    Scenario('servers overloaded', _overload, span_ms=3_000),
    Scenario('servers stall 200 ms', _stall_briefly),
    Scenario('new connections refused', _fill_up, span_ms=5_000),
)


def measure(scale: int = 1) -> list[Row]:
    """Runs all scenarios.

    Args:
      scale: By how many times more seeds are run than in CI.
    """
    return [_run(scenario, scenario.seeds * scale) for scenario in SCENARIOS]


def _run(scenario: Scenario, seeds: int) -> Row:
    models = [_run_model(scenario, seed) for seed in range(seeds)]
    seconds = sum(model.now - began_at for model, began_at in models) / 1_000
    shares = seconds * len(models[0][0].entries)
    return Row(
        scenario.name,
        _summarize(models, lambda model: model.lost_at),
        _summarize(models, lambda model: model.naive_lost_at),
        _summarize(models, lambda model: model.health_lost_at),
        sum(model.probes for model, _ in models) / shares,
        sum(model.tells for model, _ in models) / shares,
    )


def _run_model(scenario: Scenario,
               seed: int) -> tuple[liveness_model.Model, float]:
    """Returns a model that has run, and when the scenario began."""
    model = liveness_model.Model(seed,
                                 rate=scenario.rate,
                                 loss=scenario.loss,
                                 latency_ms=scenario.latency_ms)
    model.run(_WARM_UP_MS + 17 * seed)
    model.probes = model.tells = 0
    began_at = model.now
    scenario.act(model)
    model.run(scenario.span_ms)
    return model, began_at


def _summarize(
        models: list[tuple[liveness_model.Model, float]],
        read: Callable[[liveness_model.Model], dict[str, float]]) -> Detector:
    times = []
    missed = condemned = 0
    for model, began_at in models:
        lost_at = read(model)
        for server in model.servers.values():
            lost = server.killed or server.frozen or server.hung
            at = lost_at.get(server.id, math.inf)
            if not lost or at < began_at:
                condemned += at < math.inf
            elif at == math.inf:
                missed += 1
            else:
                times.append(at - began_at)
    if not times:
        return Detector(math.nan, math.nan, math.nan, missed, condemned)
    p50, p99 = numpy.percentile(times, (50, 99))
    return Detector(float(p50), float(p99), max(times), missed, condemned)


def find_breaches(rows: list[Row], bounds: dict) -> list[str]:
    """Returns one line per passed bound.

    Args:
      rows: What was measured.
      bounds: By scenario: most_ms, missed, condemned.
    """
    breaches = []
    for row in rows:
        limits = bounds[row.scenario]
        values = {
            'most_ms': row.ours.most,
            'missed': row.ours.missed,
            'condemned': row.ours.condemned,
        }
        for name, limit in limits.items():
            if not values[name] <= limit:
                breaches.append(f'liveness, {row.scenario}: {name} is '
                                f'{values[name]:.0f}, the bound is {limit}')
    return breaches


def run(scale: int = 1) -> list[str]:
    """Prints the table and returns passed bounds.

    Args:
      scale: By how many times more seeds are run than in CI.
    """
    rows = measure(scale)
    print('Liveness: 12 entries, 12 servers, 3 domains; p50/p99/max ms to '
          'find, missed, wrongly condemned')
    print(f'{"scenario":30}{"ours":>26}{"one entry counts":>26}'
          f'{"health polls":>26}{"probes/s":>10}{"tells/s":>9}')
    for row in rows:
        cells = ''.join(f'{_format(item):>26}' for item in (row.ours,
                                                            row.single,
                                                            row.health))
        print(f'{row.scenario:30}{cells}{row.probes:10.1f}{row.tells:9.1f}')
    bounds = yaml.safe_load(_BOUNDS.read_text('utf-8'))
    return find_breaches(rows, bounds['liveness'])


def _format(item: Detector) -> str:
    times = '-'
    if not math.isnan(item.p50):
        times = f'{item.p50:.0f}/{item.p99:.0f}/{item.most:.0f}'
    return f'{times}, {item.missed}, {item.condemned}'


def main() -> None:
    """Prints the table and the passed bounds; takes the scale."""
    for breach in run(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        print(breach)


if __name__ == '__main__':
    main()
