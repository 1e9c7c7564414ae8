"""Starts entries with the deploy file's command, and keeps the record."""

import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

HOST = 'shop.example'
BOUNDS = ('SeedLagS=3,ReuseAfterS=2,StabilityWindowMs=3000,AckMs=4000,'
          'CatchUpS=4,DrainMs=2000,GraceS=6,LossSlackMs=200,'
          'ConfigApplyMs=2000,RevertSlackMs=250,MaxStretchMs=5000,'
          'RetryRatio=0.2,RetryWindowS=10,RetrySlack=64,RecoverS=15,'
          'HoldMaxMs=10000,ThawMs=300')


class Record:
    """What was sent, answered and run, written to `record.txt`."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.rows = []
        self.file = open(path, 'w', encoding='utf-8')

    def note(self, what, **fields):
        """Adds a row."""
        with self.lock:
            at = round(time.monotonic() - self.began, 4)
            self.rows.append((at, what, fields))
            text = ' '.join(f'{name}={value}' for name, value in fields.items())
            self.file.write(f'{at:9.4f} {what} {text}\n')

    def select(self, what):
        """Returns the rows of one kind."""
        with self.lock:
            return [(at, fields) for at, kind, fields in self.rows
                    if kind == what]

    def close(self):
        """Ends the file."""
        self.file.close()


def find_ports(count, hosts):
    """Returns ports below the ephemeral range that are free on all hosts."""
    found = []
    while len(found) < count:
        number = random.SystemRandom().randrange(12_000, 32_000)
        if number not in found and all(is_free(host, number) for host in hosts):
            found.append(number)
    return found


def is_free(host, number):
    """Returns whether a port is free."""
    with socket.socket() as probe:
        try:
            probe.bind((host, number))
        except OSError:
            return False
    return True


def find_command():
    """Returns the command of the deploy file's role."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    return shlex.split(re.search(r'^run = "(.*)"$', text, re.M)[1])


class Entry:
    """One process of the project."""

    def __init__(self, folder, number, addresses, seeds, store, record):
        self.number, self.record = number, record
        self.front, self.ready, self.control = addresses
        self.log = folder / f'entry-{number}.log'
        self.settings = folder / f'node-{number}.conf'
        self.settings.write_text('\n'.join([
            f'Node=edge-zone-a-{number}', 'Role=entry', 'MachineClass=edge',
            'Serves=edge,ctl', f'Ip=127.0.0.{number}', 'Zone=zone-a',
            'Region=region-a', 'Zones.zone-a=region-a',
            f'Listen.Front={self.front}', f'Listen.Ready={self.ready}',
            f'Listen.Control={self.control}', 'PortRange=7200,7215',
            f'Seeds={",".join(seeds)}', 'Bootstrap=true', 'LossCounts=false',
            'Limits.CpuShare=0.86', 'Limits.Cores=1', 'Limits.MemoryMb=300',
            'Limits.MaxFds=4100', 'Limits.LinkMbps=1000.0', 'Limits.DiskMb=0',
            'Discovery=platform', 'Entry=vip', 'HeartbeatMs=870',
            'Contracts=base,drain,config,cost,retry,recover,own,platform',
            'FaultBudget.Machines=2', 'FaultBudget.Zones=0',
            'FaultBudget.Regions=0', f'Bounds={BOUNDS}', 'Grants=rpc',
            f'Platform.Addr={store.address}', 'Platform.form=kv',
            'Platform.WritesPerS=400', 'Platform.ReadsPerS=2000',
            'Platform.HistoryS=20', 'Platform.ValueBytes=1048576',
            'Platform.TtlMinMs=1000', '']), encoding='utf-8')
        self.process = None

    def start(self):
        """Starts the process."""
        environment = {name: os.environ[name]
                       for name in ('PATH', 'HOME', 'LANG')
                       if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        # As the C library has it on a machine with one core.
        environment['MALLOC_ARENA_MAX'] = '8'
        environment['LENTILMOOR_BOOT'] = str(self.settings)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(find_command(), cwd=ROOT,
                                            env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)
        self.record.note('entry_started', entry=self.number)

    def is_ready(self):
        """Returns whether the readiness check answers 200."""
        host, port = self.ready.rsplit(':', 1)
        try:
            with socket.create_connection((host, int(port)), 1.0) as channel:
                channel.settimeout(1.0)
                channel.sendall(b'GET /-/readyz HTTP/1.1\r\nHost: ready\r\n'
                                b'Connection: close\r\n\r\n')
                return channel.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def signal(self, number):
        """Sends the process a signal."""
        self.record.note('signal', entry=self.number,
                         signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def stop(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Stage:
    """A small deployment: store, servers, entries; ends what it started."""

    def __init__(self, case, entries=3):
        from standins import platform_store
        from review.lib import upstream
        self.upstream_module = upstream
        self.case = pathlib.Path(case)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(self.case / 'record.txt')
        self.folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self.folder.name)
        self.store = platform_store.PlatformStore()
        self.store.era = 0  # The header that tells it isn't on the pages.
        # Callers may reset connections; that needs no trace on the terminal.
        # pylint: disable-next=protected-access
        self.store._server.handle_error = lambda *unused: None
        self.upstreams = []
        hosts = [f'127.0.0.{n + 1}' for n in range(entries)]
        numbers = find_ports(3, hosts)
        addresses = [[f'{host}:{port}' for port in numbers] for host in hosts]
        seeds = [row[2] for row in addresses[:3]]
        self.entries = [
            Entry(folder, n + 1, addresses[n], seeds, self.store, self.record)
            for n in range(entries)
        ]

    def add_upstream(self, service, sharded, **options):
        """Starts a server."""
        name = 'i-' + uuid.uuid4().hex[:8]
        server = self.upstream_module.Upstream(
            self.store, service, name, sharded, self.record, **options)
        self.upstreams.append(server)
        return server

    def start_entries(self, seconds=20.0):
        """Starts the entries and waits until they are ready."""
        for entry in self.entries:
            entry.start()
        return self.await_ready(self.entries, seconds)

    def await_ready(self, entries, seconds):
        """Waits for entries; returns whether all are ready in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all(entry.is_ready() for entry in entries):
                return True
            time.sleep(0.1)
        return False

    def close(self):
        """Ends everything that was started."""
        for entry in self.entries:
            entry.stop()
        self.store.close()
        self.record.close()
        if os.environ.get('KEEP_LOGS'):
            import shutil
            shutil.copytree(self.folder.name, os.environ['KEEP_LOGS'],
                            dirs_exist_ok=True)
        self.folder.cleanup()


def make_route(prefix, service, kind, timeout_ms=2000, attempts=2):
    """Returns a route of the manifest."""
    return {'Host': HOST, 'Prefix': prefix, 'Type': kind,
            'TimeoutMs': timeout_ms, 'LatencyTargetMs': 250, 'Priority': 1,
            'Attempts': attempts, 'Service': service}


def make_manifest(version, routes, services):
    """Returns a manifest; services maps names to whether they are sharded."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': {
            name: {'HealthPath': '/healthz', 'MaxConns': 130,
                   'Sharded': sharded, 'WarmS': 0.0}
            for name, sharded in services.items()
        },
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 1048576,
                   'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000}
    }


class Requester:
    """Sends requests over kept connections, each with its own id."""

    def __init__(self, stage, entry, deadline_ms=1500):
        self.stage, self.entry, self.deadline_ms = stage, entry, deadline_ms
        self.channel = None

    def send(self, method, path, key=None, body=b'', keep=True,
             patience_ms=None):
        """Sends one request; returns (id, status, headers, body) or None.

        Args:
          method: HTTP method.
          path: Path of the request.
          key: Its key.
          body: Its body.
          keep: Whether the connection is used again.
          patience_ms: When it is given up; a second after its time limit if
            None.
        """
        attempt = uuid.uuid4().hex[:16]
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}',
                 f'Lentilmoor-Attempt-Id: {attempt}',
                 f'Lentilmoor-Deadline-Ms: {self.deadline_ms}']
        if key is not None:
            lines.append(f'Lentilmoor-Shard-Key: {key}')
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        data = '\r\n'.join(lines + ['', '']).encode() + body
        record = self.stage.record
        try:
            self.open()
            self.channel.settimeout(
                (patience_ms or self.deadline_ms + 1000) / 1000.0)
            record.note('sent', id=attempt, method=method, path=path,
                        entry=self.entry.number)
            self.channel.sendall(data)
            answer = self.stage.upstream_module.read_message(self.reader)
        except (OSError, ValueError) as error:
            record.note('failed', id=attempt, error=type(error).__name__)
            self.close()
            return None
        if answer is None:
            record.note('failed', id=attempt, error='closed')
            self.close()
            return None
        line, headers, content = answer
        status = int(line.split(' ')[1])
        record.note('answered', id=attempt, status=status, body=len(content))
        if not keep or headers.get('connection', '').lower() == 'close':
            self.close()
        return attempt, status, headers, content

    def open(self):
        """Opens a connection if there is none."""
        if self.channel is None:
            host, port = self.entry.front.rsplit(':', 1)
            self.channel = socket.create_connection((host, int(port)), 1.0)
            self.reader = self.channel.makefile('rb')

    def close(self):
        """Closes the connection."""
        if self.channel is not None:
            self.channel.close()
        self.channel = None


def json_text(value):
    """Returns a value as JSON text."""
    return json.dumps(value)


def run(main):
    """Runs a case and ends the process; 2 if the case couldn't run."""
    try:
        code = main()
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)  # Threads may still wait for answers.
