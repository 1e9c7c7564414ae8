"""A small deployment on loopback for the scripts of `review/6` to `review/10`.

Entries are the project's own program, started with the command of
`deploy/system.toml` as separate processes. The store, the upstreams and the
paths to them are stand-ins of the project that run in the process of the
script. Each entry has a path of its own to the store.
"""

import http.client
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

# pylint: disable=wrong-import-position
from standins import held_path  # noqa: E402
from standins import platform_server  # noqa: E402
from standins import platform_store  # noqa: E402
from standins import server_links  # noqa: E402

HOST = 'shop.example'
BOUNDS = ('SeedLagS=3,ReuseAfterS=2,StabilityWindowMs=3000,AckMs=4000,'
          'CatchUpS=4,DrainMs=2000,GraceS=6,LossSlackMs=200,ConfigApplyMs=2000,'
          'RevertSlackMs=250,MaxStretchMs=5000,RetryRatio=0.2,RetryWindowS=10,'
          'RetrySlack=60,RecoverS=15,HoldMaxMs=10000,ThawMs=300')


class CouldNotRunError(Exception):
    """The deployment didn't come up."""


def pick_port() -> int:
    """Returns a free port below the range of outgoing connections."""
    import random  # pylint: disable=import-outside-toplevel
    while True:
        port = random.SystemRandom().randrange(12_000, 32_000)
        try:
            with socket.create_server(('127.0.0.1', port)):
                return port
        except OSError:
            continue


def make_manifest(version: int = 1) -> dict:
    """Returns a manifest with a keyed service and one that is not."""
    return {
        'Version': version,
        'Routes': {
            'shift': {
                'Host': HOST, 'Prefix': '/shift/', 'Type': 'idempotent',
                'TimeoutMs': 1500, 'LatencyTargetMs': 600, 'Priority': 2,
                'Attempts': 2, 'Service': 'shifts'
            },
            'book': {
                'Host': HOST, 'Prefix': '/book/', 'Type': 'non_idempotent',
                'TimeoutMs': 2000, 'LatencyTargetMs': 800, 'Priority': 1,
                'Attempts': 2, 'Service': 'bookings'
            },
        },
        'Services': {
            'shifts': {'HealthPath': '/healthz', 'MaxConns': 120,
                       'Sharded': True, 'WarmS': 3},
            'bookings': {'HealthPath': '/healthz', 'MaxConns': 120},
        },
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 1048576,
                   'HeaderTimeoutMs': 5000, 'IdleTimeoutMs': 10000},
    }


class Record:
    """Writes what happened to `record.txt` and to standard output."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, 'w', encoding='utf-8')  # pylint: disable=consider-using-with
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def now(self) -> float:
        """Returns the time since the start, s."""
        return time.monotonic() - self._began

    def at(self, moment: float) -> float:
        """Returns a time of the steady clock as one since the start, s."""
        return moment - self._began

    def __call__(self, text: str, shown: bool = True) -> None:
        with self._lock:
            line = f'{self.now():8.3f} {text}'
            self._file.write(line + '\n')
            self._file.flush()
            if shown:
                print(line, flush=True)


class Entry:
    """One machine of the system and its process."""

    def __init__(self, deployment: 'Deployment', name: str, zone: str,
                 seeds: list[str], first: bool):
        self.name, self._deployment = name, deployment
        self.store_path = held_path.HeldPath(deployment.store.address)
        self.front = f'127.0.0.1:{pick_port()}'
        self.ready = f'127.0.0.1:{pick_port()}'
        self.control = f'127.0.0.1:{pick_port()}'
        self.first, self.zone, self.seeds = first, zone, seeds
        self.process: subprocess.Popen | None = None
        self.log = deployment.folder / f'{name}.log'

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = '\n'.join([
            f'Node={self.name}', 'Role=entry', 'MachineClass=edge',
            'Serves=edge,ctl', 'Ip=127.0.0.1', f'Zone={self.zone}',
            'Region=cairo', 'Zones.zone-a=cairo', 'Zones.zone-b=cairo',
            f'Listen.Front={self.front}', f'Listen.Ready={self.ready}',
            f'Listen.Control={self.control}', 'PortRange=7200,7215',
            'Seeds=' + ','.join(self.seeds or [self.control]),
            f'Bootstrap={"true" if self.first else "false"}',
            'LossCounts=false', 'Limits.CpuShare=0.86', 'Limits.Cores=1',
            'Limits.MemoryMb=300', 'Limits.MaxFds=4100',
            'Limits.LinkMbps=1000.0', 'Limits.DiskMb=0',
            'Discovery=platform', 'Entry=vip', 'HeartbeatMs=1500',
            'Contracts=base,drain,config,cost,retry,recover,own,platform',
            'FaultBudget.Machines=2', 'FaultBudget.Zones=0',
            'FaultBudget.Regions=0', f'Bounds={BOUNDS}', 'Grants=rpc',
            f'Platform.Addr={self.store_path.address}', 'Platform.form=kv',
            'Platform.WritesPerS=400', 'Platform.ReadsPerS=2000',
            'Platform.HistoryS=20', 'Platform.ValueBytes=1048576',
            'Platform.TtlMinMs=1000', ''
        ])
        conf = self._deployment.folder / f'{self.name}.conf'
        conf.write_text(text, encoding='utf-8')
        self.first = False
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        } | {
            'LENTILMOOR_BOOT': str(conf),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(self.log, 'ab') as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(self._deployment.command,
                                            cwd=ROOT, env=environment,
                                            stdout=log, stderr=log)
        for partition in self._deployment.partitions:
            partition.processes.add(self.process.pid)

    @property
    def pid(self) -> int:
        return self.process.pid

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self) -> bool:
        """Returns whether the balancer would send it requesters."""
        connection = http.client.HTTPConnection(self.ready, timeout=1.0)
        try:
            connection.request('GET', '/-/readyz')
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def find_events(self, *events: str) -> list[dict]:
        """Returns the lines of its log with one of some events."""
        found = []
        for line in self.log.read_text(encoding='utf-8',
                                       errors='replace').splitlines():
            if any(f'"{event}"' in line for event in events):
                found.append(json.loads(line))
        return found


class Deployment:
    """All that a script starts; `close` ends it."""

    def __init__(self, record: Record):
        self.record = record
        self._folder = tempfile.TemporaryDirectory()  # pylint: disable=consider-using-with
        self.folder = pathlib.Path(self._folder.name)
        self.store = platform_store.PlatformStore()
        self.store.era = 0  # The pages name no such header.
        # Callers that reset their connection are no errors.
        self.store._server.handle_error = lambda *_: None  # pylint: disable=protected-access
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8'))
        self.command = shlex.split(deploy['roles']['entry']['run'])
        self.entries: list[Entry] = []
        self.upstreams: list[platform_server.PlatformServer] = []
        self.partitions: list[server_links.Partition] = []

    def add_partition(self) -> server_links.Partition:
        """Adds a set of paths to upstreams that can be cut together."""
        partition = server_links.Partition()
        partition.processes |= {
            entry.pid for entry in self.entries if entry.process
        }
        self.partitions.append(partition)
        return partition

    def add_upstream(self, service: str, keyed: bool,
                     partition: server_links.Partition
                     ) -> platform_server.PlatformServer:
        """Starts an upstream that is reached over a path that can be cut."""
        upstream = platform_server.PlatformServer(self.store, service, keyed,
                                                  registers=False,
                                                  tells_start=False)
        upstream.work_s = 0.02
        link = server_links.ServerLink(upstream.address, partition)
        upstream.address = link.address
        self.upstreams.append(upstream)
        self.write_entry(upstream)
        return upstream

    def write_entry(self, upstream: platform_server.PlatformServer,
                    state: str = 'ready', seq: int = 1) -> None:
        """Writes the upstream's entry in the form of the page."""
        self.store.put(
            f'servers/{upstream.id}', {
                'Service': upstream.service, 'Addr': upstream.address,
                'Zone': 'zone-a', 'Version': 'v1', 'Slots': 2,
                'State': state, 'WarmupLeftMs': 0, 'Seq': seq
            })

    def add_entry(self, name: str, zone: str, seeds: list[str],
                  first: bool = False) -> Entry:
        """Starts a machine of the system."""
        entry = Entry(self, name, zone, seeds, first)
        self.entries.append(entry)
        entry.start()
        return entry

    def read_coordinator(self, service: str) -> str:
        """Returns the instance that the store lists as coordinator, or ''."""
        value = self.store.read(f'lentilmoor/coordinator/{service}')
        return json.loads(value)[0] if value else ''

    def close(self) -> None:
        """Ends all processes and stand-ins."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()
            entry.store_path.close()
        for partition in self.partitions:
            partition.end()
            for link in partition.links:
                link.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()
        self._folder.cleanup()


def wait_for(what: str, look, timeout_s: float):
    """Waits until `look` returns something true and returns it."""
    until = time.monotonic() + timeout_s
    while not (found := look()):
        if time.monotonic() > until:
            raise CouldNotRunError(f'never: {what}')
        time.sleep(0.02)
    return found


def send(address: str, method: str, path: str, request_id: str,
         deadline_ms: int, key: int | None = None,
         body: bytes | None = None) -> tuple[int, dict, bytes]:
    """Sends a request on a new channel; status 0 if there was no answer."""
    headers = {'Host': HOST, 'Lentilmoor-Attempt-Id': request_id,
               'Lentilmoor-Deadline-Ms': str(deadline_ms)}
    if key is not None:
        headers['Lentilmoor-Shard-Key'] = str(key)
    connection = http.client.HTTPConnection(address,
                                            timeout=deadline_ms / 1000.0)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b''
    finally:
        connection.close()
