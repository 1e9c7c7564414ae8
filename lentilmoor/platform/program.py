"""The program that the platform runs on each machine."""

import os
import pathlib
import secrets
import sys

from lentilmoor import clocks
from lentilmoor import exceptions
from lentilmoor import linequeue
from lentilmoor import logs
from lentilmoor.edge import entry
from lentilmoor.edge import ports
from lentilmoor.platform import dialect
from lentilmoor.platform import servers
from lentilmoor.platform import settings as settings_module
from lentilmoor.platform import store

_EXIT_REFUSED = 2


def run() -> int:
    """Runs an entry with the settings that the platform wrote.

    Returns:
      An exit code, if it could not start.
    """
    path = os.environ.get(settings_module.BOOT_VARIABLE, '')
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        settings, address = settings_module.parse_settings(text)
    except (OSError, exceptions.SettingsError) as error:
        print(f'{settings_module.BOOT_VARIABLE}={path}: {error}',
              file=sys.stderr)
        return _EXIT_REFUSED
    clock = clocks.make_suspend_clock()
    instance = f'{settings.instance}.{secrets.token_hex(4)}'
    lines = linequeue.LineQueue(sys.stdout, clock)
    logger = logs.make_logger(instance, lines)
    platform = ports.Platform(settings,
                              store.connect_store(address, clock, logger),
                              servers.connect_servers(clock),
                              dialect.make_dialect())
    entry.run(platform, instance, clock, logger, store.KEEPALIVE)
    lines.close()
    # Threads that wait for outside calls must not hold the process.
    os._exit(0)  # pylint: disable=protected-access
