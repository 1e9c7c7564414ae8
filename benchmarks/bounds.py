"""Checks measured values against the bounds in `bounds_spread.yaml`."""

from collections.abc import Mapping
import pathlib

import yaml

_FILE = pathlib.Path(__file__).with_name('bounds_spread.yaml')


def check(section: str, values: Mapping[str, float]) -> list[str]:
    """Returns one line per passed bound, and per bound that lacks a value.

    Args:
      section: Section of the file: one benchmark.
      values: What was measured, by the bound's name.
    """
    bounds = yaml.safe_load(_FILE.read_text(encoding='utf-8'))[section]
    return find_breaches(section, bounds, values)


def find_breaches(section: str, bounds: Mapping[str, float],
                  values: Mapping[str, float]) -> list[str]:
    """Compares values with bounds; see `check`."""
    breaches = []
    for name, limit in bounds.items():
        value = values.get(name)
        if value is None:
            breaches.append(f'{section}, {name}: not measured')
        elif not value <= limit:
            breaches.append(
                f'{section}, {name}: {value:.2f}, the bound is {limit}')
    return breaches
