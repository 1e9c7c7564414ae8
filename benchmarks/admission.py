"""Admission: no admission, a limit per entry, a home queue, and our hybrid.

Runs the seeded model of one group of servers, in simulated time. `run` takes a
third of the servers and a few seconds; `--full` prints every table.
"""

from collections.abc import Iterable
import dataclasses
import pathlib
import sys

import yaml

from benchmarks import admission_model as model
from lentilmoor import queues

LOADS = (0.8, 1.0, 1.5, 3.0)
LIGHT_LOAD = 0.05
LIGHT_MS = 1_000_000.0  # Over all servers: about 10,000 requests.
GREEDY = (10.0,) + (1.0,) * 11
_BOUNDS = pathlib.Path(__file__).with_name('bounds_admission.yaml')


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The sizes of one user's keyed service.

    Attributes:
      name: Name in tables and bounds.
      servers: Backend servers.
      hop_ms: One way between failure domains.
      classes: Hsinchu's syncs can be deferred; Nilebridge shares strictly.
    """

    name: str
    servers: int
    hop_ms: float
    classes: tuple[queues.ClassPolicy, ...]


DEPLOYMENTS = (Deployment('hsinchu', 15, 1.5, model.CLASSES),
               Deployment('nilebridge', 12, 0.5, model.STRICT_CLASSES))


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One run in figures.

    Attributes:
      name: What was run.
      load: Offered work over capacity.
      goodput: Work finished in time over capacity.
      wasted: Work run too late over capacity.
      p99: By class, ms.
      ratio: Urgent p99 over that of the same way at a light load.
      others: Urgent p99 of all but the first caller over the same.
      fairness: Jain's index of the callers' shares; see `judge_fairness`.
      sync: Part of the sync requests that were in time.
      relayed: Part of the requests that took the second hop.
      refusal_ms: Mean time to a refusal.
      sends: Sends for each request, resends included.
    """

    name: str
    load: float
    goodput: float
    wasted: float
    p99: tuple[float, ...]
    ratio: float
    others: float
    fairness: float
    sync: float
    relayed: float
    refusal_ms: float
    sends: float


def rate(values: list[float], part: float) -> float:
    """Returns a quantile of sorted values; nan if there are none."""
    if not values:
        return float('nan')
    return values[min(len(values) - 1, int(part * len(values)))]


def judge_fairness(result: model.Result) -> float:
    """Returns Jain's index of what callers got over what was fair.

    Fair is the max-min allocation, by demand, of the work finished in time.
    """
    demands = result.offered_work
    order = sorted(range(len(demands)), key=demands.__getitem__)
    left = sum(result.by_caller)
    shares = []
    for place, caller in enumerate(order):
        fair = min(demands[caller], left / (len(order) - place))
        left -= fair
        shares.append(result.by_caller[caller] / fair)
    squares = sum(share * share for share in shares)
    return sum(shares)**2 / (len(shares) * squares)


def measure(name: str, scenario: model.Scenario, light_ms: float) -> Row:
    """Runs one scenario.

    Args:
      name: Name in the table.
      scenario: What to run.
      light_ms: Urgent p99 of the same way at a light load.
    """
    result = model.Model(scenario).run()
    p99 = tuple(rate(item, 0.99) for item in result.latency)
    return Row(name, scenario.load, result.goodput, result.wasted, p99,
               p99[0] / light_ms,
               rate(result.others, 0.99) / light_ms, judge_fairness(result),
               result.in_time[2] / max(1, result.offered[2]), result.relayed,
               result.refusal_ms, result.sends)


def measure_light(scenario: model.Scenario) -> float:
    """Returns the p99 of a scenario at a light load, ms.

    Taken over all classes, which differ in nothing while nobody waits.
    """
    light = dataclasses.replace(scenario,
                                load=LIGHT_LOAD,
                                duration_ms=LIGHT_MS / scenario.servers)
    result = model.Model(light).run()
    return rate(sorted(ms for row in result.latency for ms in row), 0.99)


def compare(base: model.Scenario, policies: Iterable[model.Policy],
            loads: Iterable[float]) -> list[Row]:
    """Runs each way of admission at each load."""
    rows = []
    for policy in policies:
        scenario = dataclasses.replace(base, policy=policy)
        light_ms = measure_light(scenario)
        rows += [
            measure(policy.value, dataclasses.replace(scenario, load=load),
                    light_ms) for load in loads
        ]
    return rows


def make_base(deployment: Deployment, full: bool) -> model.Scenario:
    """Returns the scenario that a deployment's runs are varied from."""
    servers = deployment.servers if full else deployment.servers // 3
    return model.Scenario(model.Policy.HYBRID,
                          1.0,
                          servers=servers,
                          hop_ms=deployment.hop_ms,
                          handling_ms=1.0,
                          classes=deployment.classes,
                          duration_ms=6_000.0 if full else 4_000.0)


def show(title: str, rows: Iterable[Row]) -> None:
    """Prints a table."""
    print(f'\n{title}')
    print('way            load  goodput  wasted   p99 urgent/normal/sync ms'
          '   ratio  others  Jain    sync  relayed  refusal ms  sends')
    for row in rows:
        p99 = '/'.join(f'{value:.0f}' for value in row.p99)
        print(f'{row.name:14s} {row.load:4.2g}  {row.goodput:7.3f} '
              f'{row.wasted:7.3f}  {p99:>25s}  {row.ratio:6.2f}  '
              f'{row.others:6.2f}  {row.fairness:.4f}  {row.sync:.2f}  '
              f'{row.relayed:7.2f}  {row.refusal_ms:10.1f}  {row.sends:5.2f}')


def show_loss(base: model.Scenario) -> None:
    """Prints what the loss of a home costs."""
    print('\nLoss of the home of most servers, half way; ours.\n'
          'then            notice ms  load  lost  urgent p99 after, ms')
    for load in (0.5, 0.8, 3.0):
        for notice_ms in (0.0, 300.0):
            for second in (True, False):
                scenario = dataclasses.replace(base,
                                               load=load,
                                               lose_home_at=base.duration_ms /
                                               2,
                                               notice_ms=notice_ms,
                                               second_home=second)
                result = model.Model(scenario).run()
                then = 'second home' if second else 'straight'
                print(f'{then:14s}  {notice_ms:9.0f}  {load:4.2g}  '
                      f'{result.lost:4d}  '
                      f'{rate(result.after_loss, 0.99):8.1f}')


def _pool(results: list[model.Result], rank: int) -> float:
    in_time = sum(item.in_time[rank] for item in results)
    return in_time / sum(item.offered[rank] for item in results)


def show_cold(base: model.Scenario) -> None:
    """Prints what the ramp does for a server that comes up cold."""
    print('\nOne server that comes up cold, 12 seeds; ours.\n'
          'factor  ramp ms  load  goodput  in time urgent/normal/sync')
    for factor in (2.0, 4.0):
        for load in (0.5, 0.7, 0.9):
            for warm_up_ms in (0.0, 3_000.0):
                results = [
                    model.Model(
                        dataclasses.replace(base,
                                            servers=1,
                                            duration_ms=8_000.0,
                                            load=load,
                                            cold_factor=factor,
                                            warm_up_ms=warm_up_ms,
                                            seed=seed)).run()
                    for seed in range(12)
                ]
                goodput = sum(item.goodput for item in results) / len(results)
                shares = '/'.join(
                    f'{_pool(results, rank):.3f}' for rank in range(3))
                print(f'{factor:6.0f}  {warm_up_ms:7.0f}  {load:4.2g}  '
                      f'{goodput:7.3f}  {shares}')


def show_details(deployment: Deployment) -> None:
    """Prints the tables that our choices rest on."""
    base = make_base(deployment, True)
    light_ms = measure_light(base)
    for draw in (model.exponential, model.narrow, model.two_sizes):
        varied = dataclasses.replace(base, draw=draw)
        show(f'{deployment.name}: ours, service times {draw.__name__}',
             compare(varied, [model.Policy.HYBRID], (0.8, 1.5, 3.0)))
    instant = dataclasses.replace(base, handling_ms=0.0)
    show(f'{deployment.name}: ours, entries that take no time themselves',
         compare(instant, [model.Policy.HYBRID], (0.8, 1.5, 3.0)))
    rows = []
    for order in queues.Order:
        for patience in (1.0, queues.PATIENCE):
            for load in (1.0, 3.0):
                varied = dataclasses.replace(base,
                                             order=order,
                                             patience=patience,
                                             load=load)
                rows.append(
                    measure(f'{order.name[:6]} {patience}', varied, light_ms))
    show(f'{deployment.name}: order and patience', rows)
    rows = []
    for comeback in model.Comeback:
        varied = dataclasses.replace(base, comeback=comeback, tries=5, load=3.0)
        rows.append(measure(comeback.value, varied, light_ms))
    show(f'{deployment.name}: refused callers come back, five sends at most',
         rows)
    show_loss(base)
    show_cold(base)


def show_seeds(deployment: Deployment) -> None:
    """Prints ours at three times capacity for several seeds."""
    rows = []
    for seed in range(1, 6):
        base = dataclasses.replace(make_base(deployment, True), seed=seed)
        rows += compare(base, [model.Policy.HYBRID], (3.0,))
    show(f'{deployment.name}: five seeds', rows)


def show_full() -> None:
    """Prints every table; takes minutes."""
    for deployment in DEPLOYMENTS:
        base = make_base(deployment, True)
        show(f'{deployment.name}: even demand',
             compare(base, model.Policy, LOADS))
        greedy = dataclasses.replace(base, demands=GREEDY)
        show(f'{deployment.name}: one caller sends ten times its share',
             compare(greedy, model.Policy, (1.5, 3.0)))
        show_seeds(deployment)
    show_details(DEPLOYMENTS[0])


def measure_short() -> dict[str, Row]:
    """Returns the rows that the bounds are set on, by name."""
    found = {}
    for deployment in DEPLOYMENTS:
        base = make_base(deployment, False)
        rows = compare(base, model.Policy, (3.0,))
        show(f'{deployment.name}, a third of the servers', rows)
        found |= {f'{deployment.name}/{row.name}': row for row in rows}
        greedy = dataclasses.replace(base, demands=GREEDY)
        row = compare(greedy, [model.Policy.HYBRID], (3.0,))[0]
        show('one caller sends ten times its share', [row])
        found[f'{deployment.name}/greedy'] = row
    return found


def find_breaches(found: dict[str, Row], bounds: dict) -> list[str]:
    """Returns a line for each figure beyond its bound."""
    breaches = []
    for name, limits in bounds.items():
        for figure, (least, most) in limits.items():
            value = getattr(found[name], figure)
            if not least <= value <= most:
                breaches.append(f'admission {name}: {figure} {value:.3f} '
                                f'is not in {least} to {most}')
    return breaches


def run() -> list[str]:
    """Prints the short table; returns the breaches of the bounds."""
    bounds = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    return find_breaches(measure_short(), bounds)


if __name__ == '__main__':
    if '--full' in sys.argv:
        show_full()
    else:
        print('\n'.join(run()))
