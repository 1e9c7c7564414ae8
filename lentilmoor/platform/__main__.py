"""Runs an entry on the platform: `python -m lentilmoor.platform`.

The socket for callers is opened before the program is imported, as the import
takes most of the start-up time.
"""

import socket
import sys

from lentilmoor.edge import sockets
from lentilmoor.platform import settingsfile


def _open_caller_listener(found: dict[str, str]) -> socket.socket | None:
    """Returns the listening socket for callers; None if it can't be opened.

    The program reports the reason when it tries again.
    """
    try:
        return sockets.open_listener(found.get(settingsfile.CALLERS_FIELD, ''))
    except (OSError, ValueError):
        return None


def _read_settings() -> dict[str, str]:
    """Returns the settings; an empty dictionary if the file can't be read."""
    try:
        return settingsfile.split_fields(settingsfile.read_text())
    except (OSError, ValueError):
        return {}


def main() -> int:
    """Runs an entry until it stops; returns the exit code."""
    callers = _open_caller_listener(_read_settings())
    # pylint: disable-next=import-outside-toplevel
    from lentilmoor.platform import program
    return program.run(callers)


if __name__ == '__main__':
    sys.exit(main())
