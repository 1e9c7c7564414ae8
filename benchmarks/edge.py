"""Waiting, refusing and placing at worst load, beside naive versions.

Plays each shape of `edge_model` with the naive version, with ranges that never
move, and with the policy in use, and checks the last against committed bounds.
"""

import concurrent.futures
import pathlib

import yaml

from benchmarks import bounds
from benchmarks import edge_model

SEEDS = 4
_PROCESSES = 3
_BOUNDS = pathlib.Path(__file__).with_name('bounds_edge.yaml')

POLICIES = (
    edge_model.Policy('naive', 'random', False, 'never'),
    edge_model.Policy('fixed', balance=False),
    edge_model.Policy('ours'),
)


def run() -> list[str]:
    """Prints a table and returns passed bounds."""
    limits = yaml.safe_load(_BOUNDS.read_text(encoding='utf-8'))
    breaches = []
    print(f'{"shape":16} {"policy":6} worth served worst refused moved')
    with concurrent.futures.ProcessPoolExecutor(_PROCESSES) as pool:
        for shape in edge_model.SHAPES:
            for policy in POLICIES:
                jobs = [(shape, policy, seed) for seed in range(SEEDS)]
                found = edge_model.average(list(pool.map(_play, jobs)))
                print(f'{shape.name:16} {policy.name:6} {found.worth:.3f} '
                      f'{found.served:.3f}  {found.worst:.3f} '
                      f'{found.refused:.3f}   {found.moved:.2f}')
                if policy.name != 'ours':
                    continue
                values = {
                    'lost_worth': 1 - found.worth,
                    'lost_worst': 1 - found.worst,
                    'not_served': 1 - found.served,
                }
                breaches += bounds.find_breaches(shape.name, limits[shape.name],
                                                 values)
    return breaches


def _play(job) -> edge_model.Result:
    shape, policy, seed = job
    return edge_model.Model(shape, policy, seed).play()
