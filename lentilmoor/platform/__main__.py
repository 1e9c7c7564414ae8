"""Runs an entry on the platform: `python -m lentilmoor.platform`."""

import socket
import sys

from lentilmoor.edge import sockets
from lentilmoor.platform import fields


def open_early() -> socket.socket | None:
    """Returns the socket for callers; None if the settings don't allow it.

    What is wrong with them is told by the program, which reads them all.
    """
    try:
        found = fields.split_fields(fields.read_text())
        return sockets.open_listening(found.get(fields.CALLERS, ''))
    except (OSError, ValueError):
        return None


def main() -> int:
    """Takes callers' connections, then loads and runs the program."""
    callers = open_early()
    # Loading it takes most of a start.
    # pylint: disable-next=import-outside-toplevel
    from lentilmoor.platform import program
    return program.run(callers)


if __name__ == '__main__':
    sys.exit(main())
