"""Reads the platform's settings file as names and texts.

The module imports nothing that loads slowly, as it is used to open the socket
for callers before the rest of the program is imported.
"""

import os

BOOT_VARIABLE = 'LENTILMOOR_BOOT'
CALLERS_FIELD = 'Listen.Front'


def find_path() -> str:
    """Returns the path of the settings file; '' if the variable isn't set."""
    return os.environ.get(BOOT_VARIABLE, '')


def read_text() -> str:
    """Returns the settings file's content.

    Raises:
      OSError: The file can't be read.
    """
    with open(find_path(), encoding='utf-8') as file:
        return file.read()


def split_fields(text: str) -> dict[str, str]:
    """Returns the values of the settings by name.

    Args:
      text: Lines of the form a.b=value; other lines are ignored.
    """
    return dict(line.split('=', 1) for line in text.splitlines() if '=' in line)
