"""Runs entry processes against stand-ins for the users' platform."""

from collections.abc import Callable
import http.client
import io
import json
import math
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from unittest import mock
import uuid

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import logs
from lentilmoor.edge import entrycounts
from lentilmoor.edge import ports
from lentilmoor.edge import requests
from lentilmoor.platform import store
from standins import held_path
from standins import platform_server
from standins import platform_store
from standins import server_links

HOST = 'shop.example'
_LISTENING_PORTS = (12_000, 32_000)
_ports = random.SystemRandom()
# Each reserves a port for this process as long as it is open.
_reservations: list[socket.socket] = []
_BOUNDS = ('DrainMs=2000,GraceS=6,RetryRatio=0.2,RetrySlack=64,'
           'RetryWindowS=10,HoldMaxMs=10000')


def pick_port() -> int:
    """Returns a free loopback port to listen on.

    It is below the ephemeral range: the kernel could assign a port of that
    range to a connection before the process that is to listen there starts. It
    is reserved by a name, as other tests that run at the same time pick ports
    in the same way.
    """
    while True:
        port = _ports.randrange(*_LISTENING_PORTS)
        reservation = socket.socket(socket.AF_UNIX)
        try:
            reservation.bind(f'\0lentilmoor-test-port-{port}')
            with socket.create_server(('127.0.0.1', port)):
                _reservations.append(reservation)
                return port
        except OSError:
            reservation.close()


def make_configuration(version: int = 1, **changes) -> dict:
    """Returns an operator's configuration with three routes.

    Args:
      version: The configuration's version.
      **changes: Routes that are added or replace one of the three, by name.
    """
    routes = {
        'stock': {
            'Host': HOST,
            'Prefix': '/stock/',
            'Type': 'idempotent',
            'TimeoutMs': 2000,
            'LatencyTargetMs': 200,
            'Priority': 2,
            'Attempts': 2,
            'Service': 'catalog'
        },
        'order': {
            'Host': HOST,
            'Prefix': '/order/',
            'Type': 'non_idempotent',
            'TimeoutMs': 1000,
            'LatencyTargetMs': 250,
            'Priority': 1,
            'Attempts': 2,
            'Service': 'orders'
        },
        'report': {
            'Host': HOST,
            'Prefix': '/report/',
            'Type': 'download',
            'TimeoutMs': 1000,
            'LatencyTargetMs': 250,
            'Priority': 2,
            'Attempts': 2,
            'Service': 'orders'
        }
    }
    service = {'HealthPath': '/healthz', 'MaxConns': 100}
    return {
        'Version': version,
        'Routes': routes | changes,
        'Services': {
            'catalog': service | {
                'Sharded': True,
                'WarmS': 1.0
            },
            'orders': service
        },
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1048576,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000
        },
        'NotKnownYet': 1
    }


def connect_store(standin: platform_store.PlatformStore) -> ports.Store:
    """Returns a client of a stand-in store."""
    return store.connect_store(standin.address, clocks.make_suspend_clock(),
                               logs.make_logger('test'))


class Entry:
    """A running entry process with its settings file and log."""

    def __init__(self,
                 standin: platform_store.PlatformStore,
                 number: int = 1,
                 seeds: str = '',
                 link_mbps: float = 1_000.0):
        self.ports = [pick_port() for _ in range(3)]
        # `close` removes it.
        # pylint: disable-next=consider-using-with
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name) / 'node.conf'
        lines = [
            f'Node=edge-{number}', 'Zone=zone-a',
            'Listen.Front=' + self._make_address(0),
            'Listen.Ready=' + self._make_address(1),
            'Listen.Control=' + self._make_address(2), 'Bootstrap=true',
            'Limits.CpuShare=0.86', 'Limits.Cores=1',
            f'Limits.LinkMbps={link_mbps}', f'Seeds={seeds}',
            f'Bounds={_BOUNDS}', f'Platform.Addr={standin.address}'
        ]
        path.write_text('\n'.join(lines), encoding='utf-8')
        self.log = pathlib.Path(self.folder.name) / 'log'
        with self.log.open('wb') as log:
            # `close` kills it.
            self.process = subprocess.Popen(  # pylint: disable=consider-using-with
                [sys.executable, '-m', 'lentilmoor.platform'],
                env=os.environ | {'LENTILMOOR_BOOT': str(path)},
                stdout=log,
                stderr=subprocess.STDOUT)

    def _make_address(self, index: int) -> str:
        return f'127.0.0.1:{self.ports[index]}'

    @property
    def control(self) -> str:
        """The host:port on which other entries reach this one."""
        return self._make_address(2)

    def is_ready(self) -> bool:
        """Returns whether the readiness check succeeds."""
        try:
            return ask(self.ports[1], '/-/readyz')[0] == 200
        except OSError:
            return False

    def await_ready(self, seconds: float = 15.0) -> None:
        """Waits until the entry is ready; raises AssertionError otherwise."""
        wait_until(self.is_ready, seconds, self.read_log)

    def read_log(self) -> str:
        """Returns the log lines of the process."""
        return self.log.read_text(encoding='utf-8')

    def call(self, path: str, key: int | None = None, **options):
        """Sends the entry a request; returns status, headers and body."""
        return ask(self.ports[0], path, key, **options)

    def stop(self) -> None:
        """Sends SIGTERM, which starts a graceful shutdown."""
        self.process.send_signal(signal.SIGTERM)

    def close(self) -> None:
        """Kills the process and deletes its files."""
        self.process.kill()
        self.process.wait()
        self.folder.cleanup()


def settle_share(forwarder: requests.Forwarder) -> None:
    """Makes a forwarder use its share of limits, as the only entry."""
    own = ports.Peer('e1', '127.0.0.1:1')
    forwarder.entry_counts = entrycounts.EntryCounts(frozenset(('e1',)),
                                                     {'e1': own},
                                                     registration=1,
                                                     settling_since=-math.inf)


def make_proxy_forwarder() -> requests.Forwarder:
    """Returns the state of an entry that takes requests of other entries."""
    platform = mock.Mock()
    platform.settings.control, platform.settings.domain = 'self:1', 'a'
    return requests.Forwarder(clocks.make_suspend_clock(), platform,
                              logs.make_logger('test', io.StringIO()),
                              connections.PoolLimits())


def ask(port: int,
        path: str,
        key: int | None = None,
        method: str = 'GET',
        body: bytes | None = None,
        patience_ms: int = 2000,
        request_id: str = '',
        connection: http.client.HTTPConnection | None = None):
    """Sends a request; returns status, headers and body."""
    headers = {
        'Host': HOST,
        'Lentilmoor-Attempt-Id': request_id or uuid.uuid4().hex[:16],
        'Lentilmoor-Deadline-Ms': str(patience_ms)
    }
    if key is not None:
        headers['Lentilmoor-Shard-Key'] = str(key)
    used = connection or http.client.HTTPConnection('127.0.0.1', port, 10)
    try:
        used.request(method, path, body, headers)
        response = used.getresponse()
        return response.status, response.headers, response.read()
    finally:
        if connection is None:
            used.close()


def find_shared(servers: list[platform_server.PlatformServer],
                keys: range) -> list[tuple[int, list[str]]]:
    """Returns the keys that several servers hold now, with those servers."""
    shared = []
    for key in keys:
        owners = [server.id for server in servers if server.holds(key)]
        if len(owners) > 1:
            shared.append((key, owners))
    return shared


def find_low_fences(
        servers: list[platform_server.PlatformServer]) -> list[dict]:
    """Returns grants accepted with a fence not above another server's.

    Only earlier grants of overlapping key ranges to other servers count.
    """
    taken = sorted(((at, server.id, fields)
                    for server in servers
                    for at, fields in server.taken),
                   key=lambda row: row[0])
    return [
        fields for number, (_, name, fields) in enumerate(taken)
        if any(other != name and before['From'] <= fields['To'] and before['To']
               >= fields['From'] and before['fence'] >= fields['fence']
               for _, other, before in taken[:number])
    ]


def wait_until(check, seconds: float, explain=lambda: '') -> None:
    """Waits until a check succeeds.

    Args:
      check: () -> whether the condition holds.
      seconds: Timeout.
      explain: () -> text whose end is added to the error's message.

    Raises:
      AssertionError: The check didn't succeed in time.
    """
    until = time.monotonic() + seconds
    while not check():
        if time.monotonic() > until:
            raise AssertionError(f'not within {seconds} s\n{explain()[-3000:]}')
        time.sleep(0.02)


class Deployment:
    """A stand-in store with backend servers, and entry processes."""

    def __init__(self,
                 catalogs: int = 2,
                 orders: int = 2,
                 entries: int = 1,
                 link_mbps: float = 1_000.0,
                 held_paths: bool = False,
                 partition: server_links.Partition | None = None,
                 servers_tell_start: bool = True):
        self.store = platform_store.PlatformStore()
        self.store.put('op/config', make_configuration())
        self.catalogs = [
            platform_server.PlatformServer(self.store,
                                           'catalog',
                                           True,
                                           tells_start=servers_tell_start)
            for _ in range(catalogs)
        ]
        self.paths = []
        if held_paths:
            self._lead_through(held_path.HeldPath, self.catalogs)
        self.orders = [
            platform_server.PlatformServer(self.store, 'orders')
            for _ in range(orders)
        ]
        if partition is not None:
            self._lead_through(
                lambda address: server_links.ServerLink(address, partition),
                self.catalogs + self.orders)
        self.ended: list[Entry] = []
        self.entries = [
            Entry(self.store, n + 1, link_mbps=link_mbps)
            for n in range(entries)
        ]
        if partition is not None:
            partition.processes |= {entry.process.pid for entry in self.entries}
        try:
            self._await_ready()
        except BaseException:
            self.close()
            raise

    def _lead_through(self, make_path: Callable[[str], object],
                      servers: list[platform_server.PlatformServer]) -> None:
        """Registers servers at the addresses of paths to them."""
        for server in servers:
            self.paths.append(make_path(server.address))
            server.address = self.paths[-1].address
            server.register()

    def _await_ready(self) -> None:
        for entry in self.entries:
            entry.await_ready()
        wait_until(
            lambda: all(
                any(server.holds(key)
                    for server in self.catalogs)
                for key in (0, 20_000, 40_000, 65_535)), 10)

    def add_entry(self, **options) -> Entry:
        """Starts another entry, whose seed is the first entry."""
        entry = Entry(self.store,
                      len(self.entries) + 1, self.entries[0].control, **options)
        self.entries.append(entry)
        return entry

    def find_leader(self) -> Entry:
        """Returns the entry that coordinates the keyed service."""
        instance, *_ = json.loads(
            self.store.read('lentilmoor/coordinator/catalog'))
        return next(entry for number, entry in enumerate(self.entries, 1)
                    if instance.startswith(f'edge-{number}.'))

    def add_route(self, version: int, prefix: str) -> None:
        """Writes a configuration with another route, a copy of `report`."""
        route = make_configuration()['Routes']['report']
        self.store.put(
            'op/config',
            make_configuration(version, **{'new-0': route | {
                'Prefix': prefix
            }}))

    def close(self) -> None:
        """Stops all processes and stand-ins."""
        for entry in [*self.entries, *self.ended]:
            entry.close()
        for server in [*self.catalogs, *self.orders]:
            server.close()
        for path in self.paths:
            path.close()
        self.store.close()
