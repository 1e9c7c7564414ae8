"""Time without answers after a loss, against the servers of one grantor.

Real processes: the grantor of a keyed service is killed, then a process with a
third of its servers. Wall-clock figures of this machine; not bounded.
"""

import dataclasses
import json
import math
import threading
import time

import urllib3

from benchmarks import slopes_fleet
from standins import fleet as fleets

SIZES = (6, 24, 48, 96)
ENTRIES = 4
KEYS = 8
CALLERS = 4
SERVICE = 'keyed'
_PAUSE_S = 0.01
_BEFORE_S = 2.0
_AFTER_S = 5.0
_TIMEOUT_S = 3.0
_SERVED = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Longest time without an answer to some key at some entry, ms.

    Attributes:
      servers: Of the grantor's shard.
      loss: What was lost.
      longest_ms: Of all keys and entries.
      median_ms: The median over callers.
      failures: Requests that were not answered by 200.
    """

    servers: int
    loss: str
    longest_ms: float
    median_ms: float
    failures: int


class _Watch:
    """Callers that note when each key was answered, at entries that stay."""

    def __init__(self, addresses: list[str], team: str):
        self.failures = 0
        self.gaps: list[float] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call,
                             args=(addresses[number % len(addresses)], team,
                                   number)) for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[float]:
        """Returns the longest gap of each key and caller, ms."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return sorted(self.gaps)

    def _call(self, address: str, team: str, number: int) -> None:
        pool = urllib3.PoolManager(retries=False)
        keys = [f'key-{number}-{index}' for index in range(KEYS)]
        last = dict.fromkeys(keys, 0.0)
        gaps = dict.fromkeys(keys, 0.0)
        while not self._stopped.wait(_PAUSE_S):
            for key in keys:
                if not self._ask(pool, f'http://{address}/{team}/{SERVICE}/x',
                                 key):
                    self.failures += 1
                    continue
                now = time.monotonic()
                if last[key]:
                    gaps[key] = max(gaps[key], now - last[key])
                last[key] = now
        ended = time.monotonic()
        for key in keys:
            # One that is not answered to the end counts up to there.
            since = ended - last[key] if last[key] else math.inf
            self.gaps.append(max(gaps[key], since) * 1e3)

    def _ask(self, pool: urllib3.PoolManager, url: str, key: str) -> bool:
        try:
            answer = pool.request('GET',
                                  url,
                                  headers={'Lentilmoor-Key': key},
                                  timeout=_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == _SERVED


def measure() -> list[Recovery]:
    """Runs both losses at each size."""
    return [row for size in SIZES for row in _measure_one(size)]


def _measure_one(size: int) -> list[Recovery]:
    deployment = slopes_fleet.Deployment('bench', ((SERVICE, True, size),))
    with slopes_fleet.run_fleet(deployment,
                                ENTRIES,
                                sockets=False,
                                profile=False) as fleet:
        time.sleep(_BEFORE_S)
        name = find_grantor(fleet, f'bench/{SERVICE}/0')
        lost = fleet.entries.pop(name)
        rows = [_watch(fleet, size, 'grantor', lost.process)]
        third = fleet.others[slopes_fleet.SERVER_PROCESSES]
        rows.append(_watch(fleet, size, 'a third of the servers', third))
        return rows


def find_grantor(fleet: fleets.Fleet, shard: str) -> str:
    """Returns the entry whose log says that it serves a shard as grantor."""
    for name in fleet.entries:
        stage = ''
        for line in (fleet.folder /
                     f'{name}.log').read_text('utf-8').split('\n'):
            if '"grantor_stage"' in line:
                found = json.loads(line)
                stage = found['state'] if found['subject'] == shard else stage
        if stage == 'serving':
            return name
    raise fleets.FleetError(f'nobody is grantor of {shard}')


def _watch(fleet: fleets.Fleet, size: int, loss: str, process) -> Recovery:
    watch = _Watch(fleet.callers, 'bench')
    time.sleep(_BEFORE_S)
    fleets.kill(process)
    time.sleep(_AFTER_S)
    gaps = watch.stop()
    return Recovery(size, loss, gaps[-1], gaps[len(gaps) // 2], watch.failures)


def main() -> None:
    """Prints the table."""
    print(f'Longest time without an answer, ms; {ENTRIES} entries, of which '
          f'one is killed; {CALLERS} callers with {KEYS} keys each')
    for row in measure():
        print(f'{row.servers:4} servers, {row.loss:24} longest '
              f'{row.longest_ms:6.0f} median {row.median_ms:6.0f} '
              f'not answered {row.failures}')


if __name__ == '__main__':
    main()
