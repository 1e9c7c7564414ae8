"""A small deployment as real processes on loopback, for demo and tests.

Starts the platform's stand-in, backend servers' stand-ins and entries, puts
settings in, and ends just the processes that it started.
"""

import dataclasses
import json
import pathlib
import secrets
import signal
import subprocess
import sys
import time

import urllib3
import yaml

from lentilmoor import clocks
from lentilmoor import credentials
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores

START_S = 20.0
STOP_S = 20.0
_LOOK_EVERY_S = 0.02
_REGION = 'north'
_DOMAINS = ('domain-1', 'domain-2', 'domain-3')


class FleetError(Exception):
    """A process did not come up, or settings were not accepted."""


@dataclasses.dataclass(slots=True)
class EntryProcess:
    """One entry process and its addresses."""

    name: str
    process: subprocess.Popen
    callers: str
    admin: str


@dataclasses.dataclass(slots=True)
class Fleet:
    """The processes of one deployment.

    Attributes:
      folder: Where files of the run are kept.
      store: Address of the platform's stand-in.
      entries: Entries by name.
      servers: Processes of backend servers by id.
      addresses: host:port of backend servers by id.
      others: All processes that were started, whatever became of them.
      started: How many entries were started, for names of replacements.
    """

    folder: pathlib.Path
    store: str = ''
    entries: dict[str, EntryProcess] = dataclasses.field(default_factory=dict)
    servers: dict[str,
                  subprocess.Popen] = dataclasses.field(default_factory=dict)
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)
    others: list[subprocess.Popen] = dataclasses.field(default_factory=list)
    started: int = 0

    @property
    def callers(self) -> list[str]:
        """Addresses for callers."""
        return [entry.callers for entry in self.entries.values()]

    def journal(self, server: str) -> pathlib.Path:
        """Returns the file in which a server notes what it runs."""
        return self.folder / f'{server}.journal'


def start_store(fleet: Fleet) -> None:
    """Starts the platform's stand-in."""
    process = start_module(
        fleet, 'standins.store', 'store',
        ['--port_file', str(fleet.folder / 'store.port')])
    fleet.store = await_file(fleet.folder / 'store.port', process)


def start_server(fleet: Fleet, name: str, *options: str) -> None:
    """Starts a backend server's stand-in; on its old port if it had one."""
    port_file = fleet.folder / f'{name}.port'
    port_file.unlink(missing_ok=True)
    old = fleet.addresses.get(name, ':0')
    process = start_module(fleet, 'standins.backend', name, [
        '--id', name, '--port',
        old.rpartition(':')[2], '--port_file',
        str(port_file), '--journal_file',
        str(fleet.journal(name)), *options
    ])
    fleet.servers[name] = process
    fleet.addresses[name] = await_file(port_file, process)


def start_entry(fleet: Fleet, name: str, **settings: object) -> EntryProcess:
    """Starts an entry and waits until it is ready.

    Args:
      fleet: Has its store started.
      name: Instance id in its settings.
      **settings: Other fields of its settings.
    """
    path = write_settings(fleet, name, **settings)
    log = fleet.folder / f'{name}.log'
    log.unlink(missing_ok=True)
    process = start_module(
        fleet, 'lentilmoor', name,
        ['entry', '--settings', str(path)])
    started = _await_line(log, 'entry_started', process)
    entry = EntryProcess(name, process, started['callers'], started['admin'])
    _await_ready(entry)
    fleet.entries[name] = entry
    fleet.started += 1
    return entry


def write_settings(fleet: Fleet, name: str, **settings: object) -> pathlib.Path:
    """Writes the settings file of an entry and returns its path."""
    secret = fleet.folder / 'peers.secret'
    if not secret.exists():
        secret.write_text(secrets.token_hex(16), encoding='utf-8')
    domain = _DOMAINS[fleet.started % len(_DOMAINS)]
    fields = {
        'instance': name,
        'region': _REGION,
        'failure_domain': domain,
        'callers': '127.0.0.1:0',
        'peers': '127.0.0.1:0',
        'relay': '127.0.0.1:0',
        'admin': '127.0.0.1:0',
        'store': {
            'addresses': [fleet.store]
        },
        'peer_secret_file': str(secret),
    } | settings
    path = fleet.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(fields), encoding='utf-8')
    return path


def make_token(fleet: Fleet, team: str) -> str:
    """Makes a team's credential in the store and returns its token."""
    clock = clocks.Clock()
    store = stores.connect_store(models.StoreSettings(addresses=[fleet.store]),
                                 clock, 'fleet')
    token = credentials.make(store, credentials.Identity(team, 'demo'), clock)
    if isinstance(token, outcomes.Failed):
        raise FleetError(f'credential: {token.detail}')
    return token.show()


def put_branch(fleet: Fleet, token: str, branch: dict[str, object]) -> None:
    """Puts a team's first branch in through an entry's administration API."""
    entry = next(iter(fleet.entries.values()))
    answer = urllib3.request(
        'PUT',
        f'http://{entry.admin}/v1/teams/{branch["team"]}/branch',
        body=yaml.safe_dump(branch).encode(),
        headers={
            'Authorization': f'Bearer {token}',
            'If-None-Match': '*'
        })
    if answer.status not in (200, 201):
        raise FleetError(f'settings: {answer.status} {answer.data.decode()}')


def await_ready(fleet: Fleet, path: str, headers: dict[str, str]) -> None:
    """Waits until every entry answers a request.

    Args:
      fleet: Its entries are asked.
      path: Path of a GET request.
      headers: Its headers.
    """
    until = time.monotonic() + START_S
    for address in fleet.callers:
        while not _is_answered(address, path, headers):
            if time.monotonic() > until:
                raise FleetError(f'{address} does not answer {path}')
            time.sleep(_LOOK_EVERY_S)


def kill(process: subprocess.Popen) -> None:
    """Ends a process at once, as a loss of its instance would."""
    process.send_signal(signal.SIGKILL)
    process.wait()


def stop_gracefully(entry: EntryProcess) -> int:
    """Asks an entry to end and returns its exit code."""
    entry.process.send_signal(signal.SIGTERM)
    return entry.process.wait(STOP_S)


def stop_all(fleet: Fleet) -> None:
    """Ends every process that was started and still runs."""
    for process in fleet.others:
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
    for process in fleet.others:
        process.wait()


def start_module(fleet: Fleet, module: str, name: str,
                 options: list[str]) -> subprocess.Popen:
    """Starts a module as a process that logs to a file of its own."""
    with open(fleet.folder / f'{name}.log', 'ab') as log:
        # pylint: disable-next=consider-using-with
        process = subprocess.Popen([sys.executable, '-m', module, *options],
                                   stdout=log,
                                   stderr=log)
    fleet.others.append(process)
    return process


def await_file(path: pathlib.Path, process: subprocess.Popen) -> str:
    """Waits until a process has written a file and returns its text."""
    until = time.monotonic() + START_S
    while not path.exists():
        if process.poll() is not None or time.monotonic() > until:
            raise FleetError(f'{path.name}: the process did not come up')
        time.sleep(_LOOK_EVERY_S)
    return path.read_text(encoding='utf-8')


def _await_line(path: pathlib.Path, event: str,
                process: subprocess.Popen) -> dict[str, str]:
    until = time.monotonic() + START_S
    while True:
        for line in path.read_text(encoding='utf-8').splitlines():
            if f'"{event}"' in line:
                return json.loads(line)
        if process.poll() is not None or time.monotonic() > until:
            raise FleetError(f'{path.name}: no {event}')
        time.sleep(_LOOK_EVERY_S)


def _await_ready(entry: EntryProcess) -> None:
    """Waits, as the platform's balancer does, until it wants requests."""
    until = time.monotonic() + START_S
    while not _is_answered(entry.admin, '/readyz', {}):
        if entry.process.poll() is not None or time.monotonic() > until:
            raise FleetError(f'{entry.name} does not get ready')
        time.sleep(_LOOK_EVERY_S)


def _is_answered(address: str, path: str, headers: dict[str, str]) -> bool:
    try:
        answer = urllib3.request('GET',
                                 f'http://{address}{path}',
                                 headers=headers,
                                 retries=False,
                                 timeout=2.0)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
