"""Assignment beside naive versions: imbalance, churn and unavailable time.

Runs `balance_model` with each policy of `balance_policies` for the services of
both deployments, in simulated time. `python -m benchmarks.balance` takes flags
for longer runs; `run` is what the benchmark suite calls.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import concurrent.futures
import dataclasses
import pathlib

from absl import app
from absl import flags
import numpy as np
import yaml

from benchmarks import balance_costs
from benchmarks import balance_model as model
from benchmarks import balance_policies as policies
from benchmarks import bounds
from lentilmoor import balance
from lentilmoor import plans

_SECONDS = flags.DEFINE_integer('seconds', 600, 'simulated time of a run')
_KEYS = flags.DEFINE_integer('keys', 100_000, 'keys in use')
_ZIPF = flags.DEFINE_list('zipf', ['1.0'], 'exponents of popularity')
_SERVICES = flags.DEFINE_list('services',
                              [service.name for service in model.SERVICES],
                              'services to run')
_TURNOVER = flags.DEFINE_float('turnover', 180.0,
                               'mean seconds that a hot rank keeps its key')
_LOSSES = flags.DEFINE_bool('losses', True, 'servers leave, die and come')
_WEIGHTS = flags.DEFINE_enum('weights', 'own', ['own', 'hsinchu', 'nilebridge'],
                             'whose weights the services have')
_SEEDS = flags.DEFINE_integer('seeds', 1, 'runs of each, averaged')

GOAL_IMBALANCE = 1.15
GOAL_CHURN = 2.0
OURS = 'ours'
NAMES = ('mod-n', 'ring', 'rendezvous', 'greedy', OURS)
_BOUNDS = pathlib.Path(__file__).with_name('bounds_balance.yaml')
_CI_SECONDS = 400
_PROCESSES = 3
_PPM = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one policy came to for one service.

    Attributes:
      service: The service's name.
      zipf: Exponent of the keys' popularity.
      policy: The policy's name.
      mean: Peak over mean of true cost on powered servers, mean over time.
      p99: Its 99th percentile over time.
      within: Share of the time that it is at most the goal.
      floor: The lowest that the dearest key leaves possible, mean over time.
      over_floor: The imbalance over that floor, mean over time.
      keys: Share of the keys moved, over what the losses alone force, if any.
      load: Share of the load moved, over losses and the drift of hot keys.
      held: Of all request time, what was held by moves, parts in a million.
      cold: Cold starts in a thousand requests.
      slices: Slices at the end; 0 if the policy has none.
      versions: Maps published in a minute; 0 if the policy has none.
    """

    service: str
    zipf: float
    policy: str
    mean: float
    p99: float
    within: float
    floor: float
    over_floor: float
    keys: float
    load: float
    held: float
    cold: float
    slices: float
    versions: float


def measure(scenario: model.Scenario, name: str) -> Row:
    """Runs one policy through one scenario."""
    grantor = policies.make_grantor(scenario)
    figures = model.simulate(scenario, _make_policy(name, grantor))
    imbalance = np.array(figures.imbalance)
    floors = np.array(figures.floors)
    measured_s = len(imbalance)
    planned = grantor.plans > 0
    return Row(
        service=scenario.service.name,
        zipf=scenario.zipf,
        policy=name,
        mean=float(imbalance.mean()),
        p99=float(np.quantile(imbalance, 0.99)),
        within=float((imbalance <= GOAL_IMBALANCE).mean()),
        floor=float(floors.mean()),
        over_floor=float((imbalance / floors).mean()),
        keys=figures.key_churn / (figures.forced or 1.0),
        load=figures.load_churn / (figures.forced + figures.drifted or 1.0),
        held=_PPM * figures.load_churn * plans.HOLD_MS / model.MS_PER_S /
        measured_s,
        cold=1000.0 * figures.cold_starts / figures.requests,
        slices=float(len(grantor.slice_map.bounds)) if planned else 0.0,
        versions=60.0 * grantor.versions / scenario.seconds,
    )


def _make_policy(name: str, grantor: policies.Grantor) -> model.Policy:
    if name == OURS:
        return policies.make_planned(grantor, balance.plan, plans.Limits())
    if name == 'greedy':
        return policies.make_planned(grantor, policies.plan_greedily,
                                     plans.Limits())
    return {
        'mod-n': policies.make_modulo,
        'ring': policies.make_ring,
        'rendezvous': policies.make_rendezvous,
    }[name]()


def measure_all(scenarios: Sequence[model.Scenario]) -> list[Row]:
    """Runs every policy through every scenario, a few at a time."""
    jobs = [(scenario, name) for scenario in scenarios for name in NAMES]
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        return list(pool.map(measure, *zip(*jobs, strict=True)))


def average(rows: Sequence[Row]) -> list[Row]:
    """Averages the rows of one service, exponent and policy."""
    groups: dict[tuple[str, float, str], list[Row]] = {}
    for row in rows:
        key = (row.service, row.zipf, row.policy)
        groups.setdefault(key, []).append(row)
    names = [field.name for field in dataclasses.fields(Row)][3:]
    return [
        Row(
            *key, **{
                name: float(np.mean([getattr(row, name)
                                     for row in group]))
                for name in names
            })
        for key, group in groups.items()
    ]


def print_table(rows: Sequence[Row]) -> None:
    """Prints the rows, and by how much ours meets or misses the goals."""
    print(f'{"service":13}{"zipf":>5} {"policy":11}{"imbal.":>7}{"p99":>6}'
          f'{"<=1.15":>8}{"1 key":>7}{"over it":>8}{"keys":>6}{"load":>6}'
          f'{"held ppm":>9}{"cold":>6}{"slices":>7}{"maps/min":>9}')
    for row in rows:
        print(f'{row.service:13}{row.zipf:5.1f} {row.policy:11}'
              f'{row.mean:7.3f}{row.p99:6.2f}{row.within:8.0%}'
              f'{row.floor:7.3f}{row.over_floor:8.3f}{row.keys:6.2f}'
              f'{row.load:6.2f}{row.held:9.0f}{row.cold:6.1f}'
              f'{row.slices:7.0f}{row.versions:9.1f}')
    for row in rows:
        if row.policy == OURS:
            print(_describe(row))


def _describe(row: Row) -> str:
    text = (f'{row.service}, zipf {row.zipf}: imbalance goal '
            f'{_judge(GOAL_IMBALANCE - row.mean)}')
    if row.floor > 1.0:
        text += (f' (the dearest key alone makes {row.floor:.3f}; over that, '
                 f'{_judge(GOAL_IMBALANCE - row.over_floor)})')
    return f'{text}; churn goal {_judge(GOAL_CHURN - row.keys)}'


def _judge(spare: float) -> str:
    return f'{"met" if spare >= 0.0 else "missed"} by {abs(spare):.3f}'


def find_breaches(rows: Sequence[Row],
                  limits: Mapping[str, Mapping[str, float]]) -> list[str]:
    """Returns one line for each bound that ours passes."""
    breaches = []
    for row in rows:
        if row.policy == OURS:
            values = dataclasses.asdict(row)
            breaches.extend(
                bounds.find_breaches(row.service, limits[row.service], values))
    return breaches


def run() -> list[str]:
    """Prints the tables; returns the breaches of the committed bounds."""
    limits = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    scenarios = [
        model.Scenario(service, seconds=_CI_SECONDS)
        for service in model.SERVICES
    ]
    rows = measure_all(scenarios)
    print_table(rows)
    costs = balance_costs.measure()
    balance_costs.print_table(costs)
    return (find_breaches(rows, limits['services']) +
            balance_costs.find_breaches(costs, limits['costs']))


def _weigh(service: model.Service) -> model.Service:
    """Returns a service with the weights that the flags ask for."""
    if _WEIGHTS.value == 'own':
        return service
    weights = {'hsinchu': model.HSINCHU, 'nilebridge': model.NILEBRIDGE}
    return dataclasses.replace(service, weights=weights[_WEIGHTS.value])


def main(_: Sequence[str]) -> None:
    """Prints the table of what the flags ask for."""
    scenarios = [
        model.Scenario(_weigh(service),
                       zipf=float(zipf),
                       keys=_KEYS.value,
                       seconds=_SECONDS.value,
                       turnover_s=_TURNOVER.value,
                       losses=_LOSSES.value,
                       seed=seed) for service in model.SERVICES
        if service.name in _SERVICES.value
        for zipf in _ZIPF.value
        for seed in range(1, _SEEDS.value + 1)
    ]
    print_table(average(measure_all(scenarios)))


if __name__ == '__main__':
    app.run(main)
