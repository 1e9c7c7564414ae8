"""What the hub's control actor costs, with many entries reporting.

`python -m benchmarks.edge_hub` prints the processor time that it takes for a
second of 59 and 88 entries, and how often it works out what is due. Servers
answer grants 3 ms after they were sent; entries report each 300 ms, as they do
when keys move; some keys are hot.
"""

import collections
import dataclasses
import heapq
import io
import itertools
import math
import random
import time
from unittest import mock

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import control
from lentilmoor.edge import controlstate
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import reporting
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import staleness
from lentilmoor.edge import tables

SERVICE = 'stock'
STEP_MS = 5.0
ANSWER_MS = 3.0
SILENT_MS = 400.0
SILENT_RELEASE_MS = 2_500.0
REPORT_MS = 300.0
LOOK_MS = 350.0
_HUB = 'e0.1'
_ROWS = 5
_INFLIGHT = 30
_HOT = range(20_000, 22_000, 10)
_HOT_PART = 0.35
_WORKS = (60.0, 140.0, 140.0)
_BOUNDS = ports.Bounds(2_500.0, 6_000.0, 0.2, 158.0, 10_000.0, 10_000.0)


@dataclasses.dataclass(slots=True)
class _Pool:
    """Threads that make calls.

    Attributes:
      threads: How many.
      waiting: Calls that wait for one.
      under_way: When each ends, a number, when it was sent, what comes of it
        and who takes that in.
    """

    threads: int
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque)
    under_way: list = dataclasses.field(default_factory=list)


class HubModel:
    """A hub's control actor, driven by hand.

    Attributes:
      owned: What the actor believes.
      saved: The last assignment that it saved.
      silent: Servers that answer nothing.
      granted: Who was last granted each key, and when, ms; None before.
    """

    def __init__(self, entries: int, keyed: int, others: int):
        """Makes a hub that has not begun to coordinate.

        Args:
          entries: Entries that report, itself included.
          keyed: Servers of its keyed service.
          others: Servers of another service.
        """
        self._time = clocks.ManualTime()
        self._random = random.Random(1)
        self._pools: dict[int, _Pool] = {}
        self._numbers = itertools.count()
        self._took_ms = ANSWER_MS
        self.silent: set[str] = set()
        self.granted: list[tuple[str, float] | None] = [None] * tables.KEY_COUNT
        self.saved: keyranges.Assignment | None = None
        self.owned = controlstate.ControlState(_HUB)
        self._everything = _make_everything(entries, keyed, others)
        self._forwarder, self._actor = self._make_actor()
        self._reporter = reporting.Reporter(_HUB, self._forwarder, None,
                                            self._actor.on_receive)
        self._due = [self._random.uniform(0, REPORT_MS) for _ in range(entries)]
        self._tick_at = self._look_at = 0.0

    def _make_actor(self) -> tuple[requests.Forwarder, control.Control]:
        clock = self._time.clock()
        store = mock.Mock(
            **{
                'open_lease.return_value': ports.Lease(1, 1_500.0),
                'register.return_value': None,
                'keep_lease.return_value': None,
                'claim_coordination.return_value': None,
                'load_assignment.return_value': None,
                'save.side_effect': self._save,
                'encode_news.return_value': b'',
                'find_unanswered_ms.return_value': 0.0
            })
        settings = ports.Settings('e0', 'd', '', '', 'h:1', '', (), 2.0, 200.0,
                                  _BOUNDS)
        servers = ports.ServerCalls(self._grant, self._release, self._probe,
                                    lambda *unused_args: True)
        logger = logs.make_logger(_HUB, io.StringIO())
        platform = ports.Platform(settings, store, servers, None)
        forwarder = requests.Forwarder(clock, platform, logger, None)
        staleness.record_known_times(forwarder.freshness, math.inf, math.inf)
        return forwarder, control.Control(self.owned,
                                          forwarder,
                                          platform,
                                          logger,
                                          mock.Mock(),
                                          call=self._call)

    def _save(self, assignment: keyranges.Assignment, revision: int) -> int:
        self.saved = assignment
        return revision + 1

    def _call(self, work, take, pool=None) -> None:
        """Queues a call for the threads of a pool."""
        threads = getattr(pool, '_max_workers', control.STORE_THREADS)
        self._pools.setdefault(threads, _Pool(threads)).waiting.append(
            (work, take))

    def _grant(self, grant: ownership.Grant) -> ownership.GrantResult:
        if grant.server.id in self.silent:
            self._took_ms = SILENT_MS
            return ownership.GrantResult(ownership.CallOutcome.UNKNOWN, 1)
        first, last = grant.key_range.first, grant.key_range.last
        self.granted[first:last + 1] = [(grant.server.id, self._time.at)
                                       ] * (last + 1 - first)
        return ownership.GrantResult(ownership.CallOutcome.DONE, 1)

    def _release(
            self,
            release: ownership.Release) -> tuple[ownership.CallOutcome, str]:
        if release.server.id in self.silent:
            self._took_ms = SILENT_RELEASE_MS
            return ownership.CallOutcome.UNKNOWN, ''
        return ownership.CallOutcome.DONE, 'token'

    def _probe(self, probe: ownership.Probe) -> ownership.CallOutcome:
        if probe.server.id in self.silent:
            self._took_ms = SILENT_MS
            return ownership.CallOutcome.UNKNOWN
        return ownership.CallOutcome.DONE

    def _begin_calls(self, pool: '_Pool') -> None:
        now = self._time.at
        while pool.waiting and len(pool.under_way) < pool.threads:
            work, take = pool.waiting.popleft()
            self._took_ms = ANSWER_MS
            result = work()
            heapq.heappush(
                pool.under_way,
                (now + self._took_ms, next(self._numbers), now, result, take))

    def _end_calls(self, pool: '_Pool') -> None:
        while pool.under_way and pool.under_way[0][0] <= self._time.at:
            _, _, sent_at, result, take = heapq.heappop(pool.under_way)
            self._actor.on_receive(
                control.CallCompleted(lambda take=take, result=result, sent_at=
                                      sent_at: take(result, sent_at)))

    @property
    def now(self) -> float:
        """The time, ms."""
        return self._time.at

    def find_oldest_grant(self) -> float:
        """Returns how long ago a server that answers was last granted, ms.

        The longest such time of all keys that were not moved since. Ranges may
        have been joined or cut meanwhile, so each key counts by itself.
        """
        oldest = self.now
        for item in self.saved.ranges:
            if item.server in self.silent:
                continue
            for known in self.granted[item.first:item.last + 1]:
                if known is not None and known[0] == item.server:
                    oldest = min(oldest, known[1])
        return self.now - oldest

    def drain(self, name: str) -> None:
        """Lists a server as leaving."""
        server = dataclasses.replace(self._everything.servers[name],
                                     draining=True,
                                     draining_at=self.now)
        self._everything = dataclasses.replace(
            self._everything,
            servers=dict(self._everything.servers) | {name: server},
            revision=self._everything.revision + 1)

    def owns(self, name: str) -> bool:
        """Returns whether a server owns any key."""
        return any(item.server == name for item in self.saved.ranges)

    def run(self, seconds: float) -> float:
        """Lets time pass; returns the processor time that it took, s."""
        until = self._time.at + seconds * clocks.MS_PER_S
        spent = 0.0
        while self._time.at < until:
            self._time.advance(STEP_MS)
            data = [self._make_report(n) for n in self._take_due()]
            began = time.process_time()
            self._step(data)
            spent += time.process_time() - began
        return spent

    def _take_due(self) -> list[int]:
        due = [n for n, at in enumerate(self._due) if at <= self._time.at]
        for number in due:
            self._due[number] += REPORT_MS
        return due

    def _step(self, data: list[bytes]) -> None:
        now = self._time.at
        for pool in list(self._pools.values()):
            self._end_calls(pool)
            self._begin_calls(pool)
        if now >= self._tick_at:
            self._tick_at = now + control.TICK_INTERVAL_MS
            self._actor.on_receive(control.Tick(now))
        if now >= self._look_at:
            self._look_at = now + LOOK_MS
            self._everything = dataclasses.replace(
                self._everything, revision=self._everything.revision + 1)
            self._actor.on_receive(control.StoreUpdate(self._everything))
        for report in data:
            reports.encode_report_reply(
                reporting.handle_report(self._reporter,
                                        reports.decode_report(report)))

    def _make_report(self, number: int) -> bytes:
        rows, fence = [], 0
        if self.saved is not None:
            fence = self.saved.next_fence
            for _ in range(_ROWS):
                key = self._random.randrange(tables.KEY_COUNT)
                if self._random.random() < _HOT_PART:
                    key = self._random.choice(_HOT)
                owner = keyranges.find_owner(self.saved, key).server
                rows.append((key, owner, _WORKS[int(owner[2:]) % 3]))
        inflight = {
            name: 1 for name in self._random.sample(
                list(self._everything.servers), _INFLIGHT)
        }
        return reports.encode_report(
            reports.Report(f'e{number}.1', {SERVICE: rows}, inflight,
                           {SERVICE: fence}))


def _make_everything(entries: int, keyed: int,
                     others: int) -> ports.StoreSnapshot:
    services = {
        SERVICE: tables.Service(SERVICE, True, 400, 5_000.0),
        'files': tables.Service('files', False, 400, 0.0)
    }
    names = [f'i-{number:010}' for number in range(keyed + others)]
    servers = {
        name:
            tables.Server(name, SERVICE if number < keyed else 'files',
                          f'10.0.0.{number}:1', 'd', 2, False, 0.0, 0.0)
        for number, name in enumerate(names)
    }
    peers = {
        f'e{number}.1': ports.Peer(f'e{number}.1', f'h{number}:1')
        for number in range(entries)
    }
    return ports.StoreSnapshot(
        tables.Configuration(1, {}, services, tables.CallerLimits()), servers,
        {SERVICE: peers[_HUB]}, {}, peers, 1)


def main() -> None:
    """Prints the figures."""
    print('entries, servers with keys, without: '
          'processor time of a second, s; steps')
    for entries, keyed, others in ((12, 15, 21), (59, 108, 148), (88, 95, 136)):
        model = HubModel(entries, keyed, others)
        model.run(6.0)
        steps = model.owned.timing.steps
        spent = model.run(5.0) / 5
        steps = (model.owned.timing.steps - steps) / 5
        print(f'  {entries:4} {keyed:4} {others:4} {spent:8.2f} {steps:6.0f}')


if __name__ == '__main__':
    main()
