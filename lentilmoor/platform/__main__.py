"""Runs an entry on the platform: `python -m lentilmoor.platform`.

Callers' connections are taken before the program is loaded, which takes most of
a start.
"""

import socket
import sys

from lentilmoor.edge import sockets
from lentilmoor.platform import settingsfile


def _take_callers(found: dict[str, str]) -> socket.socket | None:
    """Returns the socket for callers; None if it can't be opened.

    The program tells why, when it tries again.
    """
    try:
        return sockets.open_listener(found.get(settingsfile.CALLERS, ''))
    except (OSError, ValueError):
        return None


def _read_fields() -> dict[str, str]:
    """Returns the settings; none if the file can't be read, as above."""
    try:
        return settingsfile.split_fields(settingsfile.read_text())
    except (OSError, ValueError):
        return {}


def main() -> int:
    """Starts an entry and runs it to its end."""
    callers = _take_callers(_read_fields())
    # pylint: disable-next=import-outside-toplevel
    from lentilmoor.platform import program
    return program.run(callers)


if __name__ == '__main__':
    sys.exit(main())
