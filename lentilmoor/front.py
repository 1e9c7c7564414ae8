"""The front of the library: start an entry from a file, and stop it."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lentilmoor import entries


def start(path: str) -> entries.Entry:
    """Starts an entry and returns it running.

    Args:
      path: Its settings file.

    Raises:
      SettingsError: The file does not parse.
      OSError: A file can't be read or an address can't be listened on.
    """
    # Whoever imports the package for a part of it need not load all of it.
    # pylint: disable=import-outside-toplevel
    from lentilmoor import entries
    from lentilmoor import models
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return entries.start_entry(models.parse_process(text))


def stop(entry: entries.Entry) -> None:
    """Stops an entry without interrupting a request."""
    # pylint: disable-next=import-outside-toplevel
    from lentilmoor import entries
    entries.stop_entry(entry)
