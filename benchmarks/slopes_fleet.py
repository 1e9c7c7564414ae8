"""What real entry processes cost at rest and under modest traffic.

Starts a platform's stand-in, many stand-in servers in few processes, and
entries; reads their processor time, memory, bytes and calls over a span.
Times are of this machine and carry no bound.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time

import urllib3

from standins import fleet as fleets

REST_S = 8.0
SETTLE_S = 4.0
ENTRIES = (3, 6, 12)
SERVER_PROCESSES = 3
TRAFFIC_THREADS = 8
TRAFFIC_PAUSE_S = 0.04
_ANSWER_S = 5.0
_LOOK_S = 0.02
_PAGE = os.sysconf('SC_PAGE_SIZE')


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A user's services: name, whether keyed, servers."""

    team: str
    services: tuple[tuple[str, bool, int], ...]

    @property
    def servers(self) -> int:
        """Servers of all services."""
        return sum(count for _, _, count in self.services)


HSINCHU = Deployment('hsinchu', (('catalogue', True, 15), ('orders', False, 8),
                                 ('certificates', False, 13)))
NILEBRIDGE = Deployment('nilebridge',
                        (('shifts', True, 12), ('bookings', False, 7),
                         ('documents', False, 11)))


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What an entry process has used since it started."""

    at: float
    cpu_s: float
    rss: int
    threads: dict[str, float]
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One deployment of so many entries over one span; per entry if not said.

    Attributes:
      name: Deployment and whether at rest.
      entries: How many.
      servers: Backend servers.
      requests_per_s: Answered, of all entries.
      core: Mean share of a core.
      core_most: The most of any entry.
      rss_mb: Mean resident memory.
      sent_per_s: Bytes sent; 0 if not counted.
      received_per_s: Bytes received.
      packets_per_s: Socket calls that sent or received: about its packets.
      calls: Peer calls a second by kind, mean.
      store: Store calls a second of all entries, by kind.
      threads: Share of a core by thread, mean.
      actor_most: The most of any entry's control actor.
    """

    name: str
    entries: int
    servers: int
    requests_per_s: float
    core: float
    core_most: float
    rss_mb: float
    sent_per_s: float
    received_per_s: float
    packets_per_s: float
    calls: dict[str, float]
    store: dict[str, float]
    threads: dict[str, float]
    actor_most: float


@contextlib.contextmanager
def run_fleet(deployment: Deployment, entries: int, *, sockets: bool,
              profile: bool) -> Iterator[fleets.Fleet]:
    """Runs a deployment; ends its processes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder))
        try:
            fleets.start_store(fleet)
            _start_servers(fleet, deployment)
            for number in range(1, entries + 1):
                _start_entry(fleet, f'entry-{number}', sockets, profile)
            token = fleets.make_token(fleet, deployment.team)
            fleets.put_branch(fleet, token, make_branch(fleet, deployment))
            for name, keyed, _ in deployment.services:
                headers = {'Lentilmoor-Key': 'key-1'} if keyed else {}
                fleets.await_ready(fleet, f'/{deployment.team}/{name}/x',
                                   headers)
            yield fleet
        finally:
            fleets.stop_all(fleet)


def make_branch(fleet: fleets.Fleet,
                deployment: Deployment) -> dict[str, object]:
    """Returns a deployment's settings."""
    services = {}
    for service, keyed, count in deployment.services:
        services[service] = {
            'keyed':
                keyed,
            'servers': [{
                'id': f'{service}-{index}',
                'address': fleet.addresses[f'{service}-{index}'],
                'failure_domain': f'domain-{index % 3 + 1}'
            } for index in range(count)]
        }
    return {'team': deployment.team, 'services': services}


def _start_servers(fleet: fleets.Fleet, deployment: Deployment) -> None:
    names = [
        f'{service}-{index}' for service, _, count in deployment.services
        for index in range(count)
    ]
    for number in range(SERVER_PROCESSES):
        mine = names[number::SERVER_PROCESSES]
        path = fleet.folder / f'servers-{number}'
        # pylint: disable-next=consider-using-with
        process = subprocess.Popen([
            sys.executable, '-m', 'benchmarks.slopes_servers',
            str(path), *mine
        ])
        fleet.others.append(process)
        await_file(path)
        addresses = path.read_text('utf-8').split()
        fleet.addresses.update(zip(mine, addresses, strict=True))


def _start_entry(fleet: fleets.Fleet, name: str, sockets: bool,
                 profile: bool) -> None:
    path = fleets.write_settings(fleet, name)
    environment = os.environ | {'SLOPES_FILE': str(_find_counts(fleet, name))}
    if sockets:
        environment['SLOPES_SOCKETS'] = '1'
    if profile:
        environment['SLOPES_PROFILE'] = '1'
    log = fleet.folder / f'{name}.log'
    with open(log, 'ab') as file:
        # pylint: disable-next=consider-using-with
        process = subprocess.Popen([
            sys.executable, '-m', 'benchmarks.slopes_entry', 'entry',
            '--settings',
            str(path)
        ],
                                   env=environment,
                                   stdout=file,
                                   stderr=file)
    fleet.others.append(process)
    until = time.monotonic() + fleets.START_S
    while time.monotonic() < until and process.poll() is None:
        for line in log.read_text('utf-8').splitlines():
            if '"entry_started"' in line:
                found = json.loads(line)
                fleet.entries[name] = fleets.EntryProcess(
                    name, process, found['callers'], found['admin'])
                fleet.started += 1
                return
        time.sleep(_LOOK_S)
    raise fleets.FleetError(f'{name} did not start')


def _find_counts(fleet: fleets.Fleet, name: str) -> pathlib.Path:
    return fleet.folder / f'{name}.counts'


def await_file(path: pathlib.Path) -> None:
    """Waits until a process has written a file."""
    until = time.monotonic() + fleets.START_S
    while not path.exists():
        if time.monotonic() > until:
            raise fleets.FleetError(f'{path.name} was not written')
        time.sleep(_LOOK_S)


def read_sample(fleet: fleets.Fleet, name: str) -> Sample:
    """Asks an entry process what it has used so far."""
    path = _find_counts(fleet, name)
    path.unlink(missing_ok=True)
    process = fleet.entries[name].process
    process.send_signal(signal.SIGUSR1)
    await_file(path)
    found = json.loads(path.read_text('utf-8'))
    pages = pathlib.Path(f'/proc/{process.pid}/statm').read_text('ascii')
    rss = int(pages.split()[1]) * _PAGE
    return Sample(found['at'], found['cpu_s'], rss, found['threads'],
                  found['counts'])


def read_store(fleet: fleets.Fleet) -> dict[str, int]:
    """Returns the calls that the platform's stand-in has counted, by kind."""
    answer = urllib3.request('GET', f'http://{fleet.store}/v1/calls')
    return json.loads(answer.data)


class Callers:
    """A few callers that read, one request after another with a pause."""

    def __init__(self, fleet: fleets.Fleet, deployment: Deployment,
                 pause_s: float):
        self.answered = 0
        self._pause_s = pause_s
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._call,
                             daemon=True,
                             args=(number, fleet.callers, deployment))
            for number in range(TRAFFIC_THREADS)
        ]

    def start(self) -> None:
        """Starts them."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends them after their present request."""
        self._stopped.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join()

    def _call(self, number: int, addresses: list[str],
              deployment: Deployment) -> None:
        pool = urllib3.PoolManager(maxsize=len(addresses), retries=False)
        count = number
        while not self._stopped.wait(self._pause_s):
            count += 1
            address = addresses[count % len(addresses)]
            service, keyed, _ = deployment.services[count % 3]
            headers = {'Lentilmoor-Key': f'key-{count * 7919 % 1000}'}
            answer = pool.request(
                'GET',
                f'http://{address}/{deployment.team}/{service}/x',
                headers=headers if keyed else {},
                timeout=_ANSWER_S)
            with self._lock:
                self.answered += answer.status == 200


def measure_span(fleet: fleets.Fleet,
                 deployment: Deployment,
                 name: str,
                 seconds: float,
                 traffic: bool,
                 pause_s: float = TRAFFIC_PAUSE_S) -> Row:
    """Measures all entries over a span."""
    callers = Callers(fleet, deployment, pause_s)
    if traffic:
        callers.start()
        time.sleep(1.0)
    names = list(fleet.entries)
    answered = callers.answered
    store = read_store(fleet)
    began = [read_sample(fleet, item) for item in names]
    time.sleep(seconds)
    ended = [read_sample(fleet, item) for item in names]
    took = ended[0].at - began[0].at
    calls = _subtract(read_store(fleet), store, took)
    answered = (callers.answered - answered) / took
    callers.stop()
    return _summarize(name, deployment, list(zip(began, ended, strict=True)),
                      calls, answered)


def _subtract(after: dict[str, int], before: dict[str, int],
              seconds: float) -> dict[str, float]:
    return {
        kind: (count - before.get(kind, 0)) / seconds
        for kind, count in after.items()
        if count != before.get(kind, 0)
    }


def _summarize(name: str, deployment: Deployment, pairs: list[tuple[Sample,
                                                                    Sample]],
               store: dict[str, float], answered: float) -> Row:

    def take(read) -> list[float]:
        return [(read(after) - read(before)) / (after.at - before.at)
                for before, after in pairs]

    def mean_of(key: str) -> float:
        return statistics.mean(take(lambda item: item.counts.get(key, 0)))

    shares = take(lambda item: item.cpu_s)
    kinds = {
        key[len('call_'):]
        for _, after in pairs
        for key in after.counts
        if key.startswith('call_')
    }
    threads = {key for _, after in pairs for key in after.threads}
    by_thread = {
        key: take(lambda item, key=key: item.threads.get(key, 0.0))
        for key in threads
    }
    return Row(
        name=name,
        entries=len(pairs),
        servers=deployment.servers,
        requests_per_s=answered,
        core=statistics.mean(shares),
        core_most=max(shares),
        rss_mb=statistics.mean(after.rss for _, after in pairs) / 1e6,
        sent_per_s=mean_of('sent'),
        received_per_s=mean_of('received'),
        packets_per_s=mean_of('sent_calls') + mean_of('received_calls'),
        calls={kind: mean_of(f'call_{kind}') for kind in sorted(kinds)},
        store=store,
        threads={
            key: statistics.mean(value) for key, value in by_thread.items()
        },
        actor_most=max(by_thread.get('Control', [0.0])))


def measure(counts: tuple[int, ...] = ENTRIES,
            seconds: float = REST_S) -> list[Row]:
    """Measures both deployments, at rest and under modest traffic."""
    rows = []
    for deployment in (HSINCHU, NILEBRIDGE):
        for entries in counts:
            for sockets in (False, True):
                rows += _measure_one(deployment, entries, seconds, sockets)
    return rows


def _measure_one(deployment: Deployment, entries: int, seconds: float,
                 sockets: bool) -> list[Row]:
    with run_fleet(deployment, entries, sockets=sockets,
                   profile=False) as fleet:
        time.sleep(SETTLE_S)
        label = f'{deployment.team}{", counted" if sockets else ""}'
        rows = [
            measure_span(fleet, deployment, f'{label}, at rest', seconds, False)
        ]
        if not sockets:
            rows.append(
                measure_span(fleet, deployment, f'{label}, traffic', seconds,
                             True))
        return rows


def show(rows: list[Row]) -> None:
    """Prints the rows."""
    print('Entry processes, per entry: share of a core (most of any), resident '
          'memory, bytes a second, socket calls a second')
    for row in rows:
        print(f'{row.name:30} entries {row.entries:2} servers {row.servers:2} '
              f'req/s {row.requests_per_s:4.0f} core {row.core:6.1%} '
              f'({row.core_most:6.1%}) actor most {row.actor_most:5.1%} '
              f'{row.rss_mb:5.1f} MB '
              f'sent {row.sent_per_s:6.0f} got {row.received_per_s:6.0f} '
              f'packets {row.packets_per_s:4.0f}')
        print('   calls/s ', _format(row.calls, 1), '| store/s, all ',
              _format(row.store, 2))
        print(
            '   threads ',
            _format(
                {
                    key: value * 100
                    for key, value in sorted(row.threads.items(),
                                             key=lambda item: -item[1])
                    if value > 0.0005
                }, 2))


def _format(values: dict[str, float], digits: int) -> str:
    return ' '.join(
        f'{key}={value:.{digits}f}' for key, value in values.items())


def main() -> None:
    """Measures; with `profile`, prints the profile of a control actor."""
    if sys.argv[1:] == ['profile']:
        show_profile()
        return
    show(measure())


def show_profile(entries: int = 12) -> None:
    """Prints the profiles of the control actors of the first three entries."""
    with run_fleet(HSINCHU, entries, sockets=False, profile=True) as fleet:
        time.sleep(SETTLE_S)
        show([measure_span(fleet, HSINCHU, 'profiled', REST_S, False)])
        for name in list(fleet.entries)[:3]:
            path = _find_counts(fleet, name).with_suffix('.profile')
            print(name, path.read_text('utf-8'))


if __name__ == '__main__':
    main()
