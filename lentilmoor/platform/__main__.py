"""Runs an entry on the platform: `python -m lentilmoor.platform`."""

import sys

from lentilmoor.platform import program

if __name__ == '__main__':
    sys.exit(program.run())
