"""A seeded model of requests, tries and servers, in simulated time.

Servers have two slots and a short queue, and shed what exceeds it; entries
carry requests and ask a policy what follows a failed try. Control is modelled
by a single time: how long after a loss the keys have another owner.
"""

from collections.abc import Callable
import dataclasses
import enum
import heapq
import itertools
import random

from lentilmoor import outcomes
from lentilmoor import retries

SERVERS = 6
ENTRIES = 12
SLOTS = 2
QUEUE = 16
SERVICE_MS = 20.0
# What a server spends on a request that it sheds.
SHED_MS = 2.0
HOP_MS = 1.0
DEADLINE_MS = 2_000.0
TRY_TIMEOUT_MS = 250.0
SUSPECT_AFTER_MS = 5.0
TAKEOVER_MS = 700.0
CAPACITY = SERVERS * SLOTS * 1_000 / SERVICE_MS
# Parts of the requests.
UNREPEATABLE = 0.3
REUSED = 0.9

_Reason = outcomes.Reason


class State(enum.Enum):
    """What a server does with what reaches it."""

    UP = 'up'
    KILLED = 'killed'
    FROZEN = 'frozen'
    BROKEN = 'broken'
    SHEDDING = 'shedding'


@dataclasses.dataclass(slots=True)
class ModelServer:
    """A backend server: SLOTS at once, QUEUE in wait.

    Attributes:
      id: Server id.
      state: What it does.
      lost_at: When that last changed, ms.
      proven_at: When it last answered, ms.
      busy: Slots in use.
      owed_ms: Time spent on shedding, taken off the next service.
      queue: Requests that wait.
    """

    id: str
    state: State = State.UP
    lost_at: float = 0.0
    proven_at: float = 0.0
    busy: int = 0
    owed_ms: float = 0.0
    queue: list['Request'] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Request:
    """One request; `ran` counts the servers that began it."""

    key: int
    entry: int
    arrived_at: float
    progress: retries.Progress
    ran: int = 0
    tries: int = 0
    fresh: bool = False
    over: bool = False


@dataclasses.dataclass(slots=True)
class Tally:
    """What came of the requests that arrived in a window of time."""

    requests: int = 0
    tries: int = 0
    answered: int = 0
    unknown: int = 0
    not_run: int = 0
    doubled: int = 0
    untrue: int = 0
    gave_up_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def extra(self) -> float:
        """Tries beyond the first, as a share of the requests."""
        return self.tries / self.requests - 1.0


Policy = Callable[['Model', Request, retries.Ending],
                  retries.Retry | retries.AwaitChange | retries.GiveUp]
"""Decides what follows a failed try."""


class Model:
    """Requests on their way.

    Attributes:
      now: Simulated time, ms.
      servers: The servers.
      owners: Owner of each key, by index.
      tally: What came of the requests so far.
      budgets: Retry budgets by entry.
    """

    def __init__(self, seed: int, policy: Policy, load: float):
        self.random = random.Random(seed)
        self.now = 10_000.0
        self.servers = [ModelServer(f's{index}') for index in range(SERVERS)]
        self.owners = list(range(SERVERS)) * 8
        self.version = 1
        self.tally = Tally()
        self.budgets = [retries.Budget() for _ in range(ENTRIES)]
        self.load = load
        self._policy = policy
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._waiting: list[tuple[Request, retries.Ending]] = []
        self._arrive()

    def run(self, span_ms: float) -> None:
        """Lets simulated time pass."""
        until = self.now + span_ms
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def lose(self, index: int, state: State, moves: bool = True) -> None:
        """Changes what a server does; its keys move after a while, or not."""
        server = self.servers[index]
        server.state, server.lost_at = state, self.now
        for request in server.queue:
            self._end_lost(server, request)
        server.queue.clear()
        if moves:
            self._at(TAKEOVER_MS, lambda: self._move_keys(index))

    def see_route(self, request: Request) -> retries.Route:
        """Returns where a request would go now."""
        server = self.servers[self.owners[request.key]]
        moving = (server.state in (State.KILLED, State.FROZEN) and
                  self.now - server.lost_at > SUSPECT_AFTER_MS and
                  any(item.state is State.UP for item in self.servers))
        return retries.Route(server.id, moving, server.proven_at,
                             (1, self.version))

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self.now + delay_ms, next(self._numbers), action))

    def _arrive(self) -> None:
        gap = self.random.expovariate(self.load * CAPACITY / 1_000)
        self._at(gap, self._arrive)
        repeatable = self.random.random() >= UNREPEATABLE
        progress = retries.Progress(repeatable, self.now + DEADLINE_MS)
        request = Request(self.random.randrange(len(self.owners)),
                          self.random.randrange(ENTRIES), self.now, progress)
        self.tally.requests += 1
        retries.note_first_try(self.budgets[request.entry])
        self._try(request)

    def _try(self, request: Request) -> None:
        server = self.servers[self.owners[request.key]]
        self.tally.tries += 1
        request.tries += 1
        self._at(HOP_MS, lambda: self._reach(server, request))

    def _reach(self, server: ModelServer, request: Request) -> None:
        if server.state is State.KILLED:
            self._fail(server, request, _Reason.CONNECT_FAILED, False)
        elif server.state is State.FROZEN:
            request.ran += 1  # It will run when the server goes on.
            self._at(TRY_TIMEOUT_MS,
                     lambda: self._fail(server, request, _Reason.TIMED_OUT))
        elif server.state is State.SHEDDING or len(server.queue) >= QUEUE:
            server.owed_ms += SHED_MS
            self._fail(server, request, _Reason.SERVER_SHED, False)
        else:
            self._watch_deadline(server, request)
            server.queue.append(request)
            self._serve(server)

    def _watch_deadline(self, server: ModelServer, request: Request) -> None:
        """Plans the end of a try that gets no answer in time.

        The server goes on with it: it may not notice that nobody waits.
        """
        number = request.tries
        left = request.progress.deadline - self.now

        def end() -> None:
            if not request.over and request.tries == number:
                self._fail(server, request, _Reason.TIMED_OUT)

        self._at(left, end)

    def _serve(self, server: ModelServer) -> None:
        while server.busy < SLOTS and server.queue:
            request = server.queue.pop(0)
            server.busy += 1
            request.ran += 1
            took = self.random.expovariate(1 / SERVICE_MS) + server.owed_ms
            server.owed_ms = 0.0
            number = request.tries
            self._at(took,
                     lambda request=request, number=number: self._finish(
                         server, request, number))

    def _finish(self, server: ModelServer, request: Request,
                number: int) -> None:
        server.busy -= 1
        if server.state is State.UP:
            server.proven_at = self.now
            if not request.over and request.tries == number:
                self._answer(request)
        elif request.tries == number:
            self._end_lost(server, request)
        self._serve(server)

    def _end_lost(self, server: ModelServer, request: Request) -> None:
        if not request.over:
            self._fail(server, request, _Reason.CONNECTION_LOST)

    def _fail(self,
              server: ModelServer,
              request: Request,
              reason: outcomes.Reason,
              sent: bool = True) -> None:
        if request.over:
            return
        reused = not request.fresh and self.random.random() < REUSED
        ending = retries.Ending(server.id,
                                reason,
                                self.now,
                                sent,
                                reused and reason is not _Reason.CONNECT_FAILED,
                                version=(1, self.version))
        self._follow(request, ending, self._policy(self, request, ending))

    def _follow(
            self, request: Request, ending: retries.Ending,
            step: retries.Retry | retries.AwaitChange | retries.GiveUp) -> None:
        if isinstance(step, retries.Retry):
            request.fresh = step.fresh
            self._at(step.delay_ms, lambda: self._try(request))
        elif isinstance(step, retries.AwaitChange):
            item = (request, ending)
            self._waiting.append(item)
            self._at(step.until - self.now, lambda: self._resume(item))
        else:
            self._give_up(request, step)

    def _resume(self, item: tuple[Request, retries.Ending]) -> None:
        if not any(item is waiting for waiting in self._waiting):
            return
        self._waiting.remove(item)
        request, ending = item
        budget = self.budgets[request.entry]
        step = retries.resume(request.progress, ending, self.see_route(request),
                              budget, self.now, self.random)
        self._follow(request, ending, step)

    def _move_keys(self, index: int) -> None:
        live = [
            other for other, server in enumerate(self.servers)
            if server.state is State.UP
        ]
        if not live:
            return
        for key, owner in enumerate(self.owners):
            if owner == index:
                self.owners[key] = live[key % len(live)]
        self.version += 1
        for item in list(self._waiting):
            if item[1].server == self.servers[index].id:
                self._resume(item)

    def _answer(self, request: Request) -> None:
        request.over = True
        self.tally.answered += 1
        self._note_end(request)

    def _give_up(self, request: Request, step: retries.GiveUp) -> None:
        request.over = True
        if isinstance(step.outcome, outcomes.NotRun):
            self.tally.not_run += 1
            self.tally.untrue += request.ran > 0
        else:
            self.tally.unknown += 1
        self.tally.gave_up_ms.append(self.now - request.arrived_at)
        self._note_end(request)

    def _note_end(self, request: Request) -> None:
        repeatable = request.progress.repeatable
        self.tally.doubled += request.ran > 1 and not repeatable
