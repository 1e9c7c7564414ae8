"""Runs the benchmarks and fails if a committed bound is exceeded.

`python -m benchmarks` runs all, `python -m benchmarks NAME...` some.
"""

import importlib
import sys
import time

# Seeded and in simulated time, or by processor time; then by wall clock.
NAMES = ('ownership', 'balance', 'liveness', 'successors', 'admission',
         'retries', 'quarantine', 'claims', 'spread', 'membership',
         'connections', 'edge', 'edge_spread', 'instruments', 'peers', 'slopes',
         'speed')


def main(arguments: list[str]) -> int:
    """Runs benchmarks by name.

    Args:
      arguments: Names; all if there are none.

    Returns:
      The exit code: 1 if a bound was exceeded.
    """
    unknown = set(arguments) - set(NAMES)
    if unknown:
        print(f'unknown: {", ".join(sorted(unknown))}; known: '
              f'{", ".join(NAMES)}')
        return 2
    breaches = []
    for name in arguments or NAMES:
        began = time.monotonic()
        found = importlib.import_module(f'benchmarks.{name}').run()
        print(f'[{name}: {time.monotonic() - began:.1f} s, '
              f'{len(found)} bounds exceeded]\n')
        breaches.extend(found)
    for breach in breaches:
        print(f'BOUND EXCEEDED: {breach}')
    return 1 if breaches else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
