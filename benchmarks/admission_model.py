"""A seeded model of one group of servers, for comparing ways of controllers.

Requests arrive at entries and are sent to servers that run a few at once and
keep the rest in a first-in-first-out queue of their own. The decisions are
made by the package's own controllers; only time, hops and servers are
modelled. This is no model of a cluster: ownership and failures are left out,
but for the loss of one home.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import heapq
import itertools
import math
import random

from lentilmoor import controllers
from lentilmoor import homes
from lentilmoor import queues

ENTRIES = 12
DOMAINS = 3
NEAR_MS = 0.15
JITTER = 0.2
COLD_REQUESTS = 100
REPORT_MS = 125.0
CLASSES = (queues.ClassPolicy('urgent', 0,
                              0.05), queues.ClassPolicy('normal', 3, 0.05),
           queues.ClassPolicy('sync', 6, 0.05, deferrable=True))
STRICT_CLASSES = tuple(
    dataclasses.replace(policy, deferrable=False) for policy in CLASSES)
CLASS_MIX = (0.15, 0.55, 0.30)
DEADLINES_MS = (150.0, 500.0, 2_000.0)


class Policy(enum.Enum):
    """Ways of controllers."""

    NONE = 'none'
    LOCAL = 'local limit'
    HOME = 'home queue'
    HYBRID = 'hybrid'


class Comeback(enum.Enum):
    """What callers do after they were refused."""

    NEVER = 'never'
    FIXED = 'after 50 ms'
    TOLD = 'as told'


def exponential(rng: random.Random) -> float:
    """Draws a service time of mean 1 and coefficient of variation 1."""
    return rng.expovariate(1.0)


def narrow(rng: random.Random) -> float:
    """Draws a service time of mean 1, log-normal, coefficient 0.3."""
    sigma = math.sqrt(math.log(1 + 0.3**2))
    return rng.lognormvariate(-sigma * sigma / 2, sigma)


def two_sizes(rng: random.Random) -> float:
    """Draws a service time of mean 1: one request in twenty takes 8 times."""
    unit = 1.0 / (0.95 + 0.05 * 8)
    mean = 8 * unit if rng.random() < 0.05 else unit
    return mean * rng.uniform(0.5, 1.5)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What is simulated.

    Attributes:
      policy: Way of controllers.
      load: Offered work over the capacity of all servers.
      servers: How many.
      hop_ms: One way between failure domains.
      handling_ms: An entry's own work before a request leaves it.
      service_ms: Mean service time.
      draw: Distribution of the service time, of mean 1.
      demands: Relative demand of each caller.
      class_mix: Share of each class in the requests.
      duration_ms: Simulated time; the first fifth is not counted.
      slots: Requests that a server runs at once.
      classes: Policies of the classes.
      order: Of the package's settings.
      patience: Of the package's settings.
      comeback: What refused callers do.
      tries: Most times that a refused request is sent.
      lose_home_at: When the home of most servers dies, ms; 0 never.
      notice_ms: How long entries go on relaying to a dead home; 0 if its
        connections are refused at once.
      second_home: Whether requests then go to the next-ranked delegate; else
        they are sent straight.
      cold_factor: How much longer the first server's requests take at the
        end of the first fifth, when it comes up cold; falls by a part in
        `COLD_REQUESTS` with each, and grows with each that runs beside.
      warm_up_ms: How long controllers ramp it up.
      seed: Of everything random.
    """

    policy: Policy
    load: float
    servers: int = 15
    hop_ms: float = 1.5
    handling_ms: float = 0.0
    service_ms: float = 8.0
    draw: Callable[[random.Random], float] = exponential
    demands: tuple[float, ...] = (1.0,) * 12
    class_mix: tuple[float, ...] = CLASS_MIX
    duration_ms: float = 5_000.0
    slots: int = 2
    classes: tuple[queues.ClassPolicy, ...] = CLASSES
    order: queues.Order = queues.Order.OLDEST_FIRST
    patience: float = queues.PATIENCE
    comeback: Comeback = Comeback.NEVER
    tries: int = 1
    lose_home_at: float = 0.0
    notice_ms: float = 0.0
    second_home: bool = True
    cold_factor: float = 1.0
    warm_up_ms: float = 0.0
    seed: int = 1


@dataclasses.dataclass(slots=True, eq=False)
class Request(queues.Ticket):
    """One request on its way.

    `deadline` is that of the hop it is at; `due` is the caller's.
    """

    arrived: float = 0.0
    first_arrived: float = 0.0
    due: float = 0.0
    entry: int = 0
    at: int = 0
    server: int = 0
    sent_at: float = 0.0
    work_ms: float = 0.0
    tries: int = 1
    controlled: bool = False
    over: bool = False


@dataclasses.dataclass(slots=True)
class _Server:
    running: int = 0
    factor: float = 1.0
    fifo: collections.deque = dataclasses.field(
        default_factory=collections.deque)


@dataclasses.dataclass(slots=True)
class Result:
    """What was counted after the first fifth.

    Attributes:
      goodput: Work finished in time over the capacity.
      wasted: Work that was run and came too late over the capacity.
      latency: Response times at the arrival entry, by class, sorted, ms.
      in_time: Requests in time, by class.
      offered: Requests that arrived, by class; resends are not counted.
      by_caller: Work finished in time of each caller, ms.
      offered_work: Work offered by each caller, ms.
      relayed: Share of arrivals that took the second hop.
      lost: Requests lost with their home.
      sends: Arrivals including resends, over `offered`.
      after_loss: Response times of urgent requests, from the loss on, at
        servers whose home was lost, sorted, ms.
      others: Response times of urgent requests of all but the first caller,
        sorted, ms.
      refusal_ms: Mean time from arrival to a refusal.
    """

    goodput: float
    wasted: float
    latency: list[list[float]]
    in_time: list[int]
    offered: list[int]
    by_caller: list[float]
    offered_work: list[float]
    relayed: float
    lost: int
    sends: float
    after_loss: list[float]
    others: list[float]
    refusal_ms: float


class Model:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario):
        self._set = scenario
        self._rng = random.Random(scenario.seed)
        self._now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self._servers = [_Server() for _ in range(scenario.servers)]
        settings = _make_settings(scenario)
        self._homes, self._next_homes = _place_homes(scenario.servers)
        self._controllers = [[
            controllers.Controller(settings) for _ in range(scenario.servers)
        ] for _ in range(ENTRIES)]
        self._contention = [homes.Contention() for _ in range(scenario.servers)]
        self._contended = [False] * scenario.servers
        self._dead = -1
        self._noticed_at = math.inf
        self._loser = max(range(ENTRIES), key=self._homes.count)
        self._lost_servers = {
            server for server, home in enumerate(self._homes)
            if home == self._loser
        }
        self._warm = scenario.duration_ms / 5
        self._wasted = 0.0
        self._good = 0.0
        self._latency = [[] for _ in CLASSES]
        self._in_time = [0] * len(CLASSES)
        self._offered = [0] * len(CLASSES)
        self._by_caller = [0.0] * len(scenario.demands)
        self._offered_work = [0.0] * len(scenario.demands)
        self._relayed = 0
        self._lost = 0
        self._sends = 0
        self._after_loss = []
        self._others = []
        self._refusals = 0
        self._refusal_ms = 0.0

    def run(self) -> Result:
        """Runs the scenario to its end."""
        self._after(0.0, self._arrive, None)
        self._after(REPORT_MS, self._report, None)
        if self._set.cold_factor > 1.0:
            self._after(self._warm, self._chill, None)
        if self._set.lose_home_at:
            self._after(self._set.lose_home_at, self._lose_entry, None)
        events = self._events
        end = self._set.duration_ms
        while events and events[0][0] < end:
            self._now, _, call, argument = heapq.heappop(events)
            call(argument)
        return self._sum_up()

    def _after(self, delay_ms: float, call, argument) -> None:
        event = (self._now + delay_ms, next(self._numbers), call, argument)
        heapq.heappush(self._events, event)

    def _hop(self, a: int, b: int) -> float:
        base = NEAR_MS if a % DOMAINS == b % DOMAINS else self._set.hop_ms
        return base * self._rng.uniform(1 - JITTER, 1 + JITTER)

    # Arrivals and refusals.

    def _arrive(self, _) -> None:
        scenario, rng = self._set, self._rng
        capacity = scenario.servers * scenario.slots / scenario.service_ms
        self._after(rng.expovariate(capacity * scenario.load), self._arrive,
                    None)
        caller = rng.choices(range(len(scenario.demands)), scenario.demands)[0]
        rank = rng.choices(range(len(CLASSES)), scenario.class_mix)[0]
        request = Request(str(caller), rank, 0.0)
        request.server = rng.randrange(scenario.servers)
        request.work_ms = scenario.service_ms * scenario.draw(rng)
        request.first_arrived = self._now
        if self._now >= self._warm:
            self._offered[rank] += 1
            self._offered_work[caller] += request.work_ms
        self._enter(request)

    def _enter(self, request: Request) -> None:
        request.arrived = self._now
        request.due = self._now + DEADLINES_MS[request.rank]
        request.deadline = request.due
        request.cost_ms = 0.0
        request.entry = self._rng.randrange(ENTRIES)
        while request.entry == self._dead:
            request.entry = self._rng.randrange(ENTRIES)
        request.at = request.entry
        if self._now >= self._warm:
            self._sends += 1
        self._route(request)

    def _route(self, request: Request) -> None:
        policy = self._set.policy
        entry, server = request.entry, request.server
        if policy is Policy.NONE:
            self._send(request)
            return
        home = self._homes[server]
        if policy is Policy.LOCAL or entry == home:
            self._admit(request)
            return
        controller = self._controllers[entry][server]
        if policy is Policy.HYBRID:
            share = homes.straight_share(self._contended[server])
            if share and controller.take(request, self._now, share):
                request.controlled = True
                self._send(request)
                return
        if home == self._dead and self._now >= self._noticed_at:
            if not self._set.second_home:
                self._admit(request)
                return
            home = self._next_homes[server]
        self._relay(request, home)

    def _relay(self, request: Request, home: int) -> None:
        if home == request.entry:
            self._admit(request)
            return
        if self._now >= self._warm:
            self._relayed += 1
        request.at = home
        request.deadline = request.due - self._set.hop_ms
        request.cost_ms = 0.0
        self._after(self._hop(request.entry, home), self._admit, request)

    def _admit(self, request: Request) -> None:
        if request.at == self._dead:
            self._lose(request)
            return
        controller = self._controllers[request.at][request.server]
        request.controlled = True
        if controller.take(request, self._now, controller.limit):
            self._send(request)
            return
        self._carry_out(controller.wait(request, self._now))

    def _carry_out(self, decision: controllers.Decision) -> None:
        for request in decision.started:
            self._send(request)
        for shed in decision.shed:
            self._refuse(shed)

    def _refuse(self, shed: queues.Shed) -> None:
        request = shed.ticket
        back = 0.0
        if request.at != request.entry:
            back = self._hop(request.at, request.entry)
        self._refusals += 1
        self._refusal_ms += self._now + back - request.arrived
        if (self._set.comeback is Comeback.NEVER or
                request.tries >= self._set.tries):
            return
        request.tries += 1
        wait = 50.0
        if self._set.comeback is Comeback.TOLD:
            wait = shed.retry_after_ms
        self._after(back + wait, self._enter, request)

    # Servers.

    def _send(self, request: Request) -> None:
        request.sent_at = self._now
        way = self._hop(request.at, request.server)
        self._after(self._set.handling_ms + way, self._receive, request)

    def _receive(self, request: Request) -> None:
        server = self._servers[request.server]
        server.fifo.append(request)
        self._start_next(server)

    def _start_next(self, server: _Server) -> None:
        while server.running < self._set.slots and server.fifo:
            request = server.fifo.popleft()
            left = request.due - self._now
            if left <= 0:
                self._answer(request, False)
                continue
            server.running += 1
            spent = min(left, request.work_ms * server.factor**server.running)
            server.factor -= (server.factor - 1.0) / COLD_REQUESTS
            self._after(spent, self._finish, request)

    def _finish(self, request: Request) -> None:
        server = self._servers[request.server]
        server.running -= 1
        self._answer(request, self._now < request.due)
        self._start_next(server)

    def _answer(self, request: Request, done: bool) -> None:
        self._after(self._hop(request.server, request.at),
                    self._leave if done else self._abandon, request)

    def _leave(self, request: Request) -> None:
        self._give_back(request, controllers.Ending.SERVED)
        if request.at == request.entry:
            self._complete(request)
        elif request.at == self._dead:
            self._lose(request)
        else:
            self._after(self._hop(request.at, request.entry), self._complete,
                        request)

    def _abandon(self, request: Request) -> None:
        self._give_back(request, controllers.Ending.FAILED)
        if self._now >= self._warm:
            self._wasted += request.work_ms

    def _give_back(self, request: Request, ending: controllers.Ending) -> None:
        response_ms = self._now - request.sent_at
        if not request.controlled or request.at == self._dead:
            return
        controller = self._controllers[request.at][request.server]
        self._carry_out(
            controller.leave(request, response_ms, self._now, ending))

    def _complete(self, request: Request) -> None:
        if self._now < self._warm:
            return
        if self._now > request.due:
            self._wasted += request.work_ms
            return
        self._good += request.work_ms
        self._by_caller[int(request.caller)] += request.work_ms
        self._in_time[request.rank] += 1
        took_ms = self._now - request.arrived
        self._latency[request.rank].append(took_ms)
        if request.rank:
            return
        if request.caller != '0':
            self._others.append(took_ms)
        if self._dead >= 0 and request.server in self._lost_servers:
            self._after_loss.append(took_ms)

    # Load reports and the loss of a home.

    def _report(self, _) -> None:
        """Judges contention as the grantor does, one report late."""
        verdicts = []
        for server in range(self._set.servers):
            flight = sum(row[server].in_flight for row in self._controllers)
            queued = sum(row[server].queue.length for row in self._controllers)
            verdicts.append(
                homes.judge_contention(self._contention[server],
                                       flight / self._set.slots, queued,
                                       self._now))
        self._after(REPORT_MS, self._publish, verdicts)
        self._after(REPORT_MS, self._report, None)

    def _publish(self, verdicts: list[bool]) -> None:
        self._contended = verdicts

    def _chill(self, _) -> None:
        self._servers[0].factor = self._set.cold_factor
        for row in self._controllers:
            if self._set.warm_up_ms:
                row[0].warm(self._now)

    def _lose_entry(self, _) -> None:
        self._dead = self._loser
        self._noticed_at = self._now + self._set.notice_ms
        for controller in self._controllers[self._dead]:
            for request in controller.queue.drain():
                self._lose(request)

    def _lose(self, request: Request) -> None:
        if not request.over:
            request.over = True
            self._lost += 1

    def _sum_up(self) -> Result:
        scenario = self._set
        span = scenario.duration_ms - self._warm
        capacity = span * scenario.servers * scenario.slots
        offered = max(1, sum(self._offered))
        return Result(goodput=self._good / capacity,
                      wasted=self._wasted / capacity,
                      latency=[sorted(item) for item in self._latency],
                      in_time=self._in_time,
                      offered=self._offered,
                      by_caller=self._by_caller,
                      offered_work=self._offered_work,
                      relayed=self._relayed / max(1, self._sends),
                      lost=self._lost,
                      sends=self._sends / offered,
                      after_loss=sorted(self._after_loss),
                      others=sorted(self._others),
                      refusal_ms=self._refusal_ms / max(1, self._refusals))


def _place_homes(count: int) -> tuple[list[int], list[int]]:
    """Returns the entry that is home to each server, and the next in rank."""
    servers = [homes.Place(f's{i}', f'd{i % DOMAINS}') for i in range(count)]
    entries = [homes.Place(f'e{i}', f'd{i % DOMAINS}') for i in range(ENTRIES)]
    chosen = homes.assign_homes(servers, entries)
    found = [int(chosen[server.id][1:]) for server in servers]
    following = []
    for server, home in zip(servers, found, strict=True):
        following.append(int(
            homes.pick_next(server, entries, {f'e{home}'})[1:]))
    return found, following


def _make_settings(scenario: Scenario) -> controllers.GateSettings:
    local = scenario.policy is Policy.LOCAL
    return controllers.GateSettings(scenario.classes,
                                    scenario.slots,
                                    gap_ms=2 * NEAR_MS + scenario.handling_ms,
                                    pipeline=2 if local else None,
                                    order=scenario.order,
                                    patience=scenario.patience,
                                    warm_up_ms=scenario.warm_up_ms)
