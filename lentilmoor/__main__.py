"""Runs the command line: `python -m lentilmoor`."""

from lentilmoor import commands

if __name__ == '__main__':
    commands.run()
