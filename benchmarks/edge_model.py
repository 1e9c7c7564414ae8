"""A model of entries, servers and callers at worst load, without I/O.

It plays the decision functions of `lentilmoor.edge` in simulated time: where
requests wait, which are refused, where keys lie. Servers run two requests at a
time and queue some more; entries know only what they are told. Hand-overs,
faults of the network and of the store are left out: their place is the world
of the tests.
"""

import bisect
import dataclasses
import heapq
import itertools
import math
import random

from lentilmoor.edge import admission
from lentilmoor.edge import keyranges
from lentilmoor.edge import loads
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables

WAY_MS = 3.0
REPORT_MS = 250.0
BALANCE_MS = 500.0
MOVE_MS = 30.0
SERVER_QUEUE = 8
WINDOW_MS = 2_000.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """A load and what it meets.

    Attributes:
      name: Its name.
      per_s: Requests a second.
      work_ms: Mean time of work at speed 1.
      goal_ms: Answers within it are worth 1.
      patience_ms: Callers wait so long.
      late_worth: What a late answer is worth.
      speeds: Speeds of the servers.
      keyed: Whether each key has one owner.
      entries: Entries that choose without asking.
      seconds: How long it is played.
      burst: (begin, end, factor) in seconds.
      hot: (begin, end, share, keys) in seconds.
      shed: (begin, end, share) in seconds: all servers turn part away.
      skew: Exponent of the popularity of keys.
      spread: Spread of the times of work, as a lognormal's sigma.
      tail: (share, factor) of requests that take so many times as long.
      way_ms: One way between callers and entries.
    """

    name: str
    per_s: float
    work_ms: float
    goal_ms: float
    patience_ms: float
    late_worth: float
    speeds: tuple[float, ...]
    keyed: bool
    entries: int
    seconds: float = 30.0
    burst: tuple[float, float, float] = (0, 0, 1)
    hot: tuple[tuple[float, float, float, int], ...] = ()
    shed: tuple[float, float, float] = (0, 0, 0)
    skew: float = 0.7
    spread: float = 0.8
    tail: tuple[float, float] = (0, 1)
    way_ms: float = WAY_MS


@dataclasses.dataclass(frozen=True)
class Policy:
    """What is compared.

    Attributes:
      name: Its name.
      place: 'told' (least expected time), 'random', or 'mine' (by own
        requests only).
      balance: Whether keys move.
      refuse: 'late' (what can't be answered in time), 'goal' (what can't be
        answered within its goal) or 'never'.
    """

    name: str
    place: str = 'told'
    balance: bool = True
    refuse: str = 'late'


@dataclasses.dataclass
class Job:
    """A request."""

    born: float
    key: int
    entry: int
    work: float
    patience: float
    came_back: bool = False
    server: int = -1
    sent: float = 0.0


@dataclasses.dataclass
class Result:
    """What was earned.

    Attributes:
      worth: Worth earned per request.
      served: Share of requests that were served at all.
      worst: Worth per request of the worst two windows.
      refused: Share of requests that ended refused.
      moved: Times all keys moved.
    """

    worth: float
    served: float
    worst: float
    refused: float
    moved: float


class Model:
    """One run."""

    def __init__(self, shape: Shape, policy: Policy, seed: int):
        self.shape, self.policy = shape, policy
        self.random = random.Random(seed)
        self.events, self.order = [], itertools.count()
        self.now = 0.0
        names = [f's{i}' for i in range(len(shape.speeds))]
        self.servers = [
            tables.Server(name, 'x', '', '', 2, False, 0.0, 0.0)
            for name in names
        ]
        self.index = {name: i for i, name in enumerate(names)}
        self.running = [0] * len(names)
        self.queues = [[] for _ in names]
        self.states = [{
            name: placement.ServerState() for name in names
        } for _ in range(shape.entries)]
        self.inflight = [dict.fromkeys(names, 0) for _ in range(shape.entries)]
        self.ranges = keyranges.divide_by_weight(names, {}, 1)
        self.table = loads.LoadTable()
        self.rows = [[] for _ in range(shape.entries)]
        self.moved = 0
        self.done: dict[int, list[float]] = {}
        self.counts = [0, 0, 0]
        self.cumulative = self._make_keys()

    def _make_keys(self) -> list[float]:
        things = 2_000
        weights = [1 / (rank + 1)**self.shape.skew for rank in range(things)]
        return list(itertools.accumulate(weights))

    def play(self) -> Result:
        """Plays the shape and returns what was earned."""
        self._at(0.0, self._arrive)
        for entry in range(self.shape.entries):
            self._at(self.random.uniform(0, REPORT_MS), self._report, entry)
        if self.shape.keyed and self.policy.balance:
            self._at(BALANCE_MS, self._balance)
        end = self.shape.seconds * 1_000
        while self.events and self.events[0][0] < end:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)
        return self._sum_up()

    def _at(self, delay: float, work, *args) -> None:
        heapq.heappush(self.events,
                       (self.now + delay, next(self.order), work, args))

    def _pick_key(self) -> int:
        second = self.now / 1_000
        for begin, end, share, keys in self.shape.hot:
            if begin <= second < end and self.random.random() < share:
                return 21_000 + self.random.randrange(keys)
        draw = self.random.random() * self.cumulative[-1]
        # Busy keys lie close together.
        return bisect.bisect(self.cumulative, draw) * 32 % tables.KEY_COUNT

    def _arrive(self) -> None:
        shape = self.shape
        rate = shape.per_s
        begin, end, factor = shape.burst
        if begin <= self.now / 1_000 < end:
            rate *= factor
        self._at(self.random.expovariate(rate / 1_000), self._arrive)
        share, factor = shape.tail
        work = shape.work_ms * self.random.lognormvariate(
            -shape.spread**2 / 2, shape.spread)
        if share and self.random.random() < share:
            work *= factor
        work = min(work, shape.work_ms * 7.5)
        job = Job(self.now, self._pick_key(),
                  self.random.randrange(shape.entries), work, shape.patience_ms)
        self._at(shape.way_ms, self._take, job)

    def _take(self, job: Job) -> None:
        servers = self.servers
        states = self.states[job.entry]
        if self.shape.keyed:
            owner = keyranges.find_owner(
                keyranges.Assignment('x', 1, 1, self.ranges), job.key)
            servers = [self.servers[self.index[owner.server]]]
        if self.policy.place == 'random':
            server = self.random.choice(servers)
            expected, full = 0.0, False
        else:
            wish = placement.ChoiceCriteria(
                '', False, placement.average_work(self.servers, states))
            choice = self._choose(servers, states, wish)
            server, expected, full = (choice.server, choice.expected_ms,
                                      choice.full)
        back = self._judge(job, expected, full)
        if back is not None:
            self.rows[job.entry].append((job.key, server.id, 0.0))
            self._refuse(job, back)
            return
        job.server, job.sent = self.index[server.id], self.now
        placement.record_sent(states[server.id])
        self._at(1.0, self._reach, job)

    def _choose(self, servers, states, wish) -> placement.Choice:
        if len(servers) > 1:
            return placement.choose_server(servers, states, wish, self.now,
                                           self.random.random)
        server = servers[0]
        state = states[server.id]
        return placement.Choice(
            server,
            *placement.estimate_response(server, state, wish.work_ms, self.now,
                                         True))

    def _judge(self, job: Job, expected: float, full: bool) -> float | None:
        if self.policy.refuse == 'never':
            return None
        limit = (self.shape.goal_ms
                 if self.policy.refuse == 'goal' else self.shape.patience_ms)
        return admission.find_retry_after(
            admission.WaitEstimate(expected, full, job.born + limit - self.now))

    def _refuse(self, job: Job, back: float) -> None:
        left = job.born + self.shape.patience_ms - self.now
        back = min(back, left / 3)
        if job.came_back or back <= 0:
            self._end(job, 0.0, refused=True)
            return
        job.came_back = True
        job.entry = self.random.randrange(self.shape.entries)
        self._at(back + 2 * self.shape.way_ms, self._take, job)

    def _reach(self, job: Job) -> None:
        index = job.server
        begin, end, share = self.shape.shed
        shed = (begin <= self.now / 1_000 < end and
                self.random.random() < share)
        if shed or len(self.queues[index]) >= SERVER_QUEUE:
            self._at(1.0, self._turned_away, job)
        elif self.running[index] < 2:
            self._start(job)
        else:
            self.queues[index].append(job)

    def _start(self, job: Job) -> None:
        self.running[job.server] += 1
        took = job.work / self.shape.speeds[job.server]
        left = job.born + job.patience - self.now
        self._at(min(took, max(0.0, left)), self._finish, job, took <= left)

    def _finish(self, job: Job, whole: bool) -> None:
        index = job.server
        self.running[index] -= 1
        queue = self.queues[index]
        while queue and self.running[index] < 2:
            following = queue.pop(0)
            if following.born + following.patience <= self.now:
                self._at(0.0, self._turned_away, following)
            else:
                self._start(following)
        load = ports.ServerLoad(self.running[index], len(queue), 2)
        self._at(1.0, self._answered, job, whole, load)

    def _turned_away(self, job: Job) -> None:
        state = self.states[job.entry][self.servers[job.server].id]
        placement.record_failure(state, self.now, True)
        self._refuse(job, admission.MIN_RETRY_AFTER_MS)

    def _answered(self, job: Job, whole: bool, load: ports.ServerLoad) -> None:
        name = self.servers[job.server].id
        state = self.states[job.entry][name]
        took = self.now - job.sent
        placement.record_answer(state, took, load, self.now)
        self.rows[job.entry].append(
            (job.key, name, placement.estimate_work(took, load)))
        age = self.now + self.shape.way_ms - job.born
        if not whole or age > self.shape.patience_ms:
            self._end(job, 0.0)
        else:
            self._end(
                job,
                1.0 if age <= self.shape.goal_ms else self.shape.late_worth,
                served=True)

    def _end(self, job: Job, worth: float, served=False, refused=False):
        self.done.setdefault(int(job.born / WINDOW_MS), []).append(worth)
        self.counts[0] += 1
        self.counts[1] += served
        self.counts[2] += refused

    def _report(self, entry: int) -> None:
        self._at(REPORT_MS, self._report, entry)
        self.inflight[entry] = {
            name: state.inflight for name, state in self.states[entry].items()
        }
        self.table.add(self.rows[entry], self.now)
        self.rows[entry] = []
        if self.policy.place != 'told':
            return
        works = (self.table.estimate_work_means(self.servers)
                 if self.shape.keyed else {})
        for name, state in self.states[entry].items():
            state.shared_work_ms = works.get(name, 0.0)
            state.reported_in_flight = sum(
                counts[name]
                for other, counts in enumerate(self.inflight)
                if other != entry)
            state.reported_in_flight_at = self.now

    def _balance(self) -> None:
        self._at(BALANCE_MS, self._balance)
        for transfer in self.table.plan_transfers(self.ranges, self.servers,
                                                  self.now):
            self.moved += transfer.last - transfer.first + 1
            self._at(MOVE_MS, self._move, transfer)

    def _move(self, transfer: rebalancing.Transfer) -> None:
        self.ranges = keyranges.reassign(self.ranges, [
            keyranges.KeyRange(transfer.first, transfer.last, transfer.target,
                               1)
        ])

    def _sum_up(self) -> Result:
        windows = sorted(
            sum(items) / len(items)
            for number, items in self.done.items()
            if number < self.shape.seconds * 1_000 / WINDOW_MS - 1)
        total = max(1, self.counts[0])
        earned = sum(sum(items) for items in self.done.values())
        return Result(earned / total, self.counts[1] / total,
                      sum(windows[:2]) / 2, self.counts[2] / total,
                      self.moved / tables.KEY_COUNT)


def average(results: list[Result]) -> Result:
    """Returns the mean of results."""
    return Result(*(math.fsum(getattr(item, field.name)
                              for item in results) / len(results)
                    for field in dataclasses.fields(Result)))


_CATALOG = (0.7, 0.7, 1.6) * 5
_SHIFTS = (0.5, 1.0, 1.0, 1.5) * 3
_ORDERS = (0.5, 1.0, 1.0, 1.5) * 2

_STOCK = Shape('stock, steady', 353, 60, 200, 500, 0.1, _CATALOG, True, 12)
_SHIFTS_STEADY = Shape('shifts, steady', 79, 220, 600, 1_500, 0.3, _SHIFTS,
                       True, 10)
_ORDERS_STEADY = Shape('orders, steady', 146, 78, 250, 600, 0.1, _ORDERS, False,
                       12)
_HOT_NEIGHBOURS = ((8, 13, 0.4, 200), (16, 20, 0.4, 60))
_HOT_KEY = ((8, 13, 0.25, 1), (16, 20, 0.3, 1))
_BURST = (10, 14, 1.7)
_vary = dataclasses.replace

_BALANCES = Shape('balances, steady',
                  290,
                  60,
                  200,
                  800,
                  0.1, (0.5, 1.0, 1.0, 1.5) * 3 + (0.5, 1.0),
                  True,
                  8,
                  spread=0.3,
                  tail=(0.01, 5),
                  way_ms=10.0)

SHAPES = (
    _BALANCES,
    _vary(_BALANCES, name='balances, hot 60', per_s=250, hot=_HOT_NEIGHBOURS),
    _vary(_BALANCES, name='balances, one key', per_s=250, hot=_HOT_KEY),
    _vary(_BALANCES, name='balances, burst', per_s=250, burst=_BURST),
    _vary(_BALANCES, name='balances, shed', per_s=250, shed=(10, 16, 0.5)),
    _STOCK,
    _vary(_STOCK, name='stock, hot 60', hot=_HOT_NEIGHBOURS),
    _vary(_STOCK, name='stock, one key', per_s=300, hot=_HOT_KEY),
    _vary(_STOCK, name='stock, burst', per_s=300, burst=_BURST),
    _vary(_STOCK, name='stock, shed', per_s=300, shed=(10, 16, 0.5)),
    _SHIFTS_STEADY,
    _vary(_SHIFTS_STEADY, name='shifts, hot 60', hot=_HOT_NEIGHBOURS),
    _vary(_SHIFTS_STEADY, name='shifts, one key', per_s=50, hot=_HOT_KEY),
    _vary(_SHIFTS_STEADY, name='shifts, burst', per_s=65, burst=_BURST),
    _ORDERS_STEADY,
    _vary(_ORDERS_STEADY, name='orders, burst', per_s=120, burst=_BURST),
)
