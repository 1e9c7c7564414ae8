"""The settings file that the platform writes, as names and texts.

It imports nothing heavy: callers' connections are taken before the rest of the
program is loaded.
"""

import os

BOOT_VARIABLE = 'LENTILMOOR_BOOT'
CALLERS = 'Listen.Front'


def find_path() -> str:
    """Returns where the settings file is; '' if nothing says so."""
    return os.environ.get(BOOT_VARIABLE, '')


def read_text() -> str:
    """Returns the settings file's content.

    Raises:
      OSError: It can't be read.
    """
    with open(find_path(), encoding='utf-8') as file:
        return file.read()


def split_fields(text: str) -> dict[str, str]:
    """Returns values by name.

    Args:
      text: Lines of the form a.b=value.
    """
    return dict(line.split('=', 1) for line in text.splitlines() if '=' in line)
