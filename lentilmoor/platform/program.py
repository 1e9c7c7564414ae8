"""The program that the platform runs on each machine."""

import os
import secrets
import socket
import sys

from lentilmoor import allocator
from lentilmoor import clocks
from lentilmoor import exceptions
from lentilmoor import linequeue
from lentilmoor import logs
from lentilmoor import signals
from lentilmoor.edge import entry
from lentilmoor.edge import ports
from lentilmoor.platform import headerformat
from lentilmoor.platform import servers
from lentilmoor.platform import settings as settings_module
from lentilmoor.platform import settingsfile
from lentilmoor.platform import store

_EXIT_REFUSED = 2


def run(callers: socket.socket | None = None) -> int:
    """Runs an entry with the settings that the platform wrote.

    Args:
      callers: The listening socket for callers, if it is already open.

    Returns:
      An exit code if the settings were rejected. Otherwise the process exits
      when the entry has stopped, and the call doesn't return.
    """
    try:
        settings, address = settings_module.parse_settings(
            settingsfile.read_text())
    except (OSError, exceptions.SettingsError) as error:
        print(
            f'{settingsfile.BOOT_VARIABLE}={settingsfile.find_path()}: {error}',
            file=sys.stderr)
        return _EXIT_REFUSED
    clock = clocks.make_suspend_clock()
    started_at = clock.now()
    signals.block(*entry.SIGNALS)
    instance = f'{settings.instance}.{secrets.token_hex(4)}'
    lines = linequeue.LineQueue(sys.stdout, clock)
    logger = logs.make_logger(instance, lines)
    if not allocator.return_freed_memory():
        logger.warning('freed_memory_kept')
    times = store.make_watch_times(settings.limits, settings.link_mbps)
    platform = ports.Platform(
        settings, store.connect_store(address, clock, logger, times),
        servers.connect_servers(clock, logger),
        headerformat.make_header_format())
    entry.run(platform, instance, clock, logger, store.KEEPALIVE_OPTIONS,
              callers, started_at)
    lines.close()
    # Threads that still wait for calls to other processes must not delay the
    # exit.
    os._exit(0)  # pylint: disable=protected-access
