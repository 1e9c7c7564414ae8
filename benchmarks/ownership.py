"""Ownership: for how long a loss keeps keys from being served, and why.

Losses of a server, of the grantor, of both and of a whole failure domain, in
simulated time. Beside the package's way: a takeover that always waits for one
more lifetime, a long fixed lifetime, and leases of servers in the store.
"""

from collections.abc import Iterable
import dataclasses
import itertools
import pathlib
import random

import numpy
import yaml

from benchmarks import ownership_model as model
from lentilmoor import models

_BOUNDS = pathlib.Path(__file__).with_name('bounds_ownership.yaml')
_SEEDS = 24
_OTHER_SEEDS = 8
_LONG_MS = 10_000.0
_LONG_SEEDS = 2
_STORE_SEEDS = 1_000

_SETTINGS = models.GrantSettings()
OURS = model.Rules('ours', _SETTINGS.lifetime_ms, _SETTINGS.renew_ms)
RULES = (
    OURS,
    model.Rules('ours, 500/100', 500.0, 100.0),
    model.Rules('ours, 625/125', 625.0, 125.0),
    model.Rules('waits once more', OURS.lifetime, OURS.renew, told=False),
)
LONG = model.Rules('fixed 10 s',
                   _LONG_MS,
                   _LONG_MS / 4,
                   take_after=3 * OURS.renew)


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Quantiles of spans, ms; all 0 if there were none."""

    p50: float = 0.0
    p99: float = 0.0
    most: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One way under one loss.

    Attributes:
      rules: The way.
      loss: The loss.
      lost: Unavailable time of keys whose server was lost.
      others: The same of all other keys.
      detection: Part of it, as in `ownership_model.Spans`; so the others.
      lease: Until old grants had ended.
      grant: Until recorded and granted.
      publish: Until routed everywhere.
    """

    rules: str
    loss: str
    lost: Times
    others: Times
    detection: Times = Times()
    lease: Times = Times()
    grant: Times = Times()
    publish: Times = Times()


def measure() -> list[Row]:
    """Runs all losses in all ways."""
    rows = [
        _run(rules, loss, _SEEDS if rules is OURS else _OTHER_SEEDS)
        for loss, rules in itertools.product(model.Loss, RULES)
    ]
    rows += [_run(LONG, loss, _LONG_SEEDS) for loss in model.Loss]
    return rows + [_work_out_store_lease()]


def _run(rules: model.Rules, loss: model.Loss, seeds: int) -> Row:
    spans = [model.run(seed, rules, loss) for seed in range(seeds)]
    return Row(
        rules.name,
        loss.value,
        lost=_summarize(itertools.chain(*(item.lost for item in spans))),
        others=_summarize(itertools.chain(*(item.others for item in spans))),
        detection=_summarize(item.detection for item in spans),
        lease=_summarize(item.lease for item in spans),
        grant=_summarize(item.grant for item in spans),
        publish=_summarize(item.publish for item in spans),
    )


def _work_out_store_lease() -> Row:
    """Servers hold a 10 s lease in the store and renew it each third of it."""
    rng = random.Random(7)
    spans = [
        _LONG_MS - rng.uniform(0, _LONG_MS / 3) + rng.uniform(3, 9)
        for _ in range(_STORE_SEEDS)
    ]
    return Row('10 s store lease', model.Loss.SERVER.value, _summarize(spans),
               Times())


def _summarize(values: Iterable[float]) -> Times:
    values = list(values)
    if not values:
        return Times()
    p50, p99 = numpy.percentile(values, (50, 99))
    return Times(float(p50), float(p99), max(values))


def find_breaches(rows: list[Row], bounds: dict) -> list[str]:
    """Returns one line per passed bound, and per loss that was not measured.

    Args:
      rows: What was measured.
      bounds: By loss: the longest unavailable time of keys of lost servers
        and of other keys, ms.
    """
    measured = {row.loss: row for row in rows if row.rules == OURS.name}
    breaches = []
    for loss, limits in bounds.items():
        if loss not in measured:
            breaches.append(f'ownership, {loss}: not measured')
            continue
        for name, limit in limits.items():
            value = getattr(measured[loss], name).most
            if not value <= limit:
                breaches.append(f'ownership, {loss}: {name} is {value:.0f} ms, '
                                f'the bound is {limit}')
    return breaches


def run() -> list[str]:
    """Prints the table and returns passed bounds."""
    rows = measure()
    print('Ownership: 9 entries, 9 servers, 3 domains; lifetime/renewal '
          f'{OURS.lifetime:.0f}/{OURS.renew:.0f} ms unless named; unavailable '
          'time of keys, p50/p99/max ms')
    print(f'{"loss":19}{"way":18}{"lost servers":>18}{"other keys":>14}'
          f'{"detection":>14}{"lease":>16}{"grant":>10}{"publish":>10}')
    for row in rows:
        print(f'{row.loss:19}{row.rules:18}{_format(row.lost):>18}'
              f'{_format(row.others):>14}{_format(row.detection):>14}'
              f'{_format(row.lease):>16}{_format(row.grant):>10}'
              f'{_format(row.publish):>10}')
    return find_breaches(rows, yaml.safe_load(_BOUNDS.read_text('utf-8')))


def _format(item: Times) -> str:
    if not item.most:
        return '-'
    return f'{item.p50:.0f}/{item.p99:.0f}/{item.most:.0f}'


def main() -> None:
    """Prints the table and the passed bounds."""
    for breach in run():
        print(breach)


if __name__ == '__main__':
    main()
