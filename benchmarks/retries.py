"""Retries: extra load, answers saved and work doubled, beside naive policies.

The naive policies are no retry at all, and up to three retries at once of
whatever failed. All in simulated time, on the same seeded arrivals.
"""

from collections.abc import Callable
import dataclasses
import pathlib
import statistics
import sys

import yaml

from benchmarks import retries_model
from lentilmoor import outcomes
from lentilmoor import retries

_BOUNDS = pathlib.Path(__file__).with_name('bounds_retries.yaml')
_SEEDS = 3
_WARM_UP_MS = 2_000.0
_RETRIES_OF_NAIVE = 3

_Step = retries.Retry | retries.AwaitChange | retries.GiveUp
Act = Callable[[retries_model.Model], None]


def decide(model: retries_model.Model, request: retries_model.Request,
           ending: retries.Ending) -> _Step:
    """Follows the package's policy."""
    return retries.decide(request.progress, ending, model.see_route(request),
                          model.budgets[request.entry], model.now, model.random)


def never_retry(_: retries_model.Model, request: retries_model.Request,
                ending: retries.Ending) -> _Step:
    """Gives up at the first failure."""
    request.progress.may_have_run |= ending.may_have_run
    return _give_up(request, ending)


def retry_everything(_: retries_model.Model, request: retries_model.Request,
                     ending: retries.Ending) -> _Step:
    """Tries three more times at once, whatever it is and whatever failed."""
    request.progress.may_have_run |= ending.may_have_run
    if request.tries <= _RETRIES_OF_NAIVE:
        return retries.Retry()
    return _give_up(request, ending)


def _give_up(request: retries_model.Request,
             ending: retries.Ending) -> retries.GiveUp:
    if request.progress.may_have_run:
        return retries.GiveUp(outcomes.Unknown(ending.reason), 0)
    return retries.GiveUp(outcomes.NotRun(ending.reason), 0)


POLICIES = {
    'ours': decide,
    'none': never_retry,
    'x3': retry_everything,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What happens to a model.

    Attributes:
      name: Name in the table and in the bounds.
      act: Done after a warm-up; what follows is counted.
      load: Offered load over capacity.
      span_ms: How long is counted.
    """

    name: str
    act: Act
    load: float = 0.6
    span_ms: float = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One scenario under one policy, mean over the seeds.

    Attributes:
      scenario: Its name.
      policy: Its name.
      extra: Tries beyond the first, as a share of the requests.
      answered: Share of the requests that were answered.
      doubled: Unrepeatable requests run more than once.
      untrue: Requests reported as not run that a server ran.
      gave_up_ms: Median time until a request was given up.
      longest_ms: Longest such time.
    """

    scenario: str
    policy: str
    extra: float
    answered: float
    doubled: int
    untrue: int
    gave_up_ms: float
    longest_ms: float


def _lose_all(state: retries_model.State) -> Act:

    def act(model: retries_model.Model) -> None:
        for index in range(retries_model.SERVERS):
            model.lose(index, state, moves=False)

    return act


def _lose_one(state: retries_model.State) -> Act:
    return lambda model: model.lose(0, state)


def _surge(model: retries_model.Model) -> None:
    """Offers 1.5 times capacity for three seconds, then 0.8 times."""
    model.load = 1.5
    model.run(3_000)
    model.load = 0.8
    model.run(1_000)
    model.tally = retries_model.Tally()


_State = retries_model.State
SCENARIOS = (
    Scenario('all refuse', _lose_all(_State.KILLED)),
    Scenario('all break off', _lose_all(_State.BROKEN)),
    Scenario('all silent', _lose_all(_State.FROZEN)),
    Scenario('all shed', _lose_all(_State.SHEDDING)),
    Scenario('one killed', _lose_one(_State.KILLED)),
    Scenario('one frozen', _lose_one(_State.FROZEN)),
    Scenario('overload 1.5', lambda model: None, load=1.5),
    Scenario('after a surge', _surge),
)


def measure(seeds: int = _SEEDS) -> list[Row]:
    """Runs all scenarios under all policies."""
    return [
        _run(scenario, name, seeds)
        for scenario in SCENARIOS
        for name in POLICIES
    ]


def _run(scenario: Scenario, policy: str, seeds: int) -> Row:
    tallies = [
        _run_model(scenario, POLICIES[policy], seed) for seed in range(seeds)
    ]
    gave_up = [value for tally in tallies for value in tally.gave_up_ms]
    ended = sum(
        tally.answered + tally.unknown + tally.not_run for tally in tallies)
    return Row(scenario.name, policy, max(tally.extra for tally in tallies),
               sum(tally.answered for tally in tallies) / ended,
               sum(tally.doubled for tally in tallies),
               sum(tally.untrue for tally in tallies),
               statistics.median(gave_up) if gave_up else 0.0,
               max(gave_up, default=0.0))


def _run_model(scenario: Scenario, policy: retries_model.Policy,
               seed: int) -> retries_model.Tally:
    model = retries_model.Model(seed, policy, scenario.load)
    model.run(_WARM_UP_MS)
    model.tally = retries_model.Tally()
    scenario.act(model)
    model.run(scenario.span_ms)
    return model.tally


def find_breaches(rows: list[Row], bounds: dict) -> list[str]:
    """Returns one line per passed bound.

    Args:
      rows: What was measured.
      bounds: By scenario: extra, least_answered, doubled, untrue, gave_up_ms.
    """
    breaches = []
    for row in rows:
        if row.policy != 'ours':
            continue
        for name, limit in bounds[row.scenario].items():
            if name == 'least_answered':
                passed = not row.answered >= limit
            else:
                passed = not getattr(row, name) <= limit
            if passed:
                breaches.append(f'retries, {row.scenario}: {name} {limit} is '
                                f'passed: {row}')
    return breaches


def run(seeds: int = _SEEDS) -> list[str]:
    """Prints the table and returns passed bounds."""
    rows = measure(seeds)
    print(f'Retries: {retries_model.SERVERS} servers, '
          f'{retries_model.ENTRIES} entries, {seeds} seeds')
    print(f'{"scenario":16}{"policy":>8}{"extra load":>12}{"answered":>10}'
          f'{"doubled":>9}{"untrue":>8}{"gave up ms, median/max":>24}')
    for row in rows:
        times = f'{row.gave_up_ms:.0f}/{row.longest_ms:.0f}'
        print(f'{row.scenario:16}{row.policy:>8}{row.extra:12.1%}'
              f'{row.answered:10.1%}{row.doubled:9}{row.untrue:8}{times:>24}')
    bounds = yaml.safe_load(_BOUNDS.read_text('utf-8'))
    return find_breaches(rows, bounds['retries'])


def main() -> None:
    """Prints the table and the passed bounds; takes the number of seeds."""
    for breach in run(int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS):
        print(breach)


if __name__ == '__main__':
    main()
