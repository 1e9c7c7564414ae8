"""A seeded model of requests that crash servers, in simulated time.

Servers have two slots and a short queue and come back a while after a crash;
all that was in flight is lost with them. Some callers send a request that
crashes each server that runs it, again and again. Entries report what they
lost; reports travel for some milliseconds. What is blocked is a policy's.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

SERVERS = 4
ENTRIES = 6
SLOTS = 2
QUEUE = 2
SERVICE_MS = 8.0
CRASH_AFTER_MS = 5.0
DOWN_MS = 1_500.0
TAKEOVER_MS = 700.0
RESEND_MS = 800.0
RATE = 400.0
HOT_READS = 20
HOT_SHARE = 0.6
UNREPEATABLE = 0.3
PATHS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What a request asks for; equal contents have equal fingerprints."""

    path: str
    key: int
    body: int
    kills: bool = False

    @property
    def fingerprint(self) -> bytes:
        """A stand-in for the real fingerprint."""
        return f'{self.path}/{self.key}/{self.body}'.encode()


@dataclasses.dataclass(slots=True)
class Request:
    """One request on its way."""

    content: Content
    entry: int
    repeatable: bool
    arrived_at: float
    tries: int = 0
    alone: bool = False


@dataclasses.dataclass(slots=True)
class ModelServer:
    """A backend server; `life` counts its processes."""

    id: str
    up: bool = True
    life: int = 0
    down_at: float = 0.0
    running: list[Request] = dataclasses.field(default_factory=list)
    queue: list[Request] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Tally:
    """What came of a run."""

    crashes: int = 0
    innocents: int = 0
    innocents_blocked: int = 0
    killers_blocked: int = 0
    longest_wait_ms: float = 0.0


class Policy:
    """What is blocked: by itself nothing."""

    def __init__(self, model: 'Model'):
        self.model = model

    def check(self, request: Request) -> bool | None:
        """Returns whether a request may run; None if only alone."""
        del request
        return True

    def note_lost(self, request: Request, server: ModelServer) -> None:
        """Notes a request that was in flight at a crash."""

    def note_clean(self, request: Request, server: ModelServer) -> None:
        """Notes a request that was answered."""

    def tick(self) -> None:
        """Does what is due ten times a second."""


class Model:
    """Callers, entries and servers.

    Attributes:
      now: Simulated time, ms.
      tally: What came of it so far.
    """

    def __init__(self, seed: int, make_policy: Callable[['Model'], Policy],
                 killers: int, other_crashes_s: float):
        self.random = random.Random(seed)
        self.now = 10_000.0
        self.tally = Tally()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._alone: dict[str, list[Request]] = {}
        self.servers = [ModelServer(f's{index}') for index in range(SERVERS)]
        self.policy = make_policy(self)
        self._arrive()
        self._tick()
        for number in range(killers):
            self._plan_killer(number)
        if other_crashes_s:
            self._plan_other_crash(other_crashes_s)

    def run(self, span_ms: float) -> None:
        """Lets simulated time pass."""
        until = self.now + span_ms
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Plans an action."""
        heapq.heappush(self._events,
                       (self.now + delay_ms, next(self._numbers), action))

    def _tick(self) -> None:
        self.policy.tick()
        self.after(100.0, self._tick)

    def _arrive(self) -> None:
        self.after(self.random.expovariate(RATE / 1_000), self._arrive)
        if self.random.random() < HOT_SHARE:
            hot = int(self.random.paretovariate(1.0)) % HOT_READS
            content = Content('/stock', hot, 0)
        else:
            path = f'/path{self.random.randrange(PATHS)}'
            content = Content(path, self.random.randrange(10_000),
                              self.random.getrandbits(40))
        repeatable = self.random.random() >= UNREPEATABLE
        self._send(content, repeatable or content.path == '/stock')

    def _plan_killer(self, number: int) -> None:
        content = Content(f'/path{number % PATHS}', number, 0, kills=True)
        repeatable = number % 2 == 0

        def send() -> None:
            self._send(content, repeatable)
            self.after(RESEND_MS * self.random.uniform(0.8, 1.2), send)

        self.after(self.random.uniform(500, 3_000), send)

    def _plan_other_crash(self, every_s: float) -> None:
        """Crashes a server now and then for no reason of a request."""

        def crash() -> None:
            self._crash(self.random.choice(self.servers))
            self.after(self.random.expovariate(1 / every_s) * 1_000, crash)

        self.after(self.random.expovariate(1 / every_s) * 1_000, crash)

    def _send(self, content: Content, repeatable: bool) -> None:
        entry = self.random.randrange(ENTRIES)
        self.tally.innocents += not content.kills
        self._try(Request(content, entry, repeatable, self.now))

    def find_owner(self, key: int) -> ModelServer | None:
        """Returns the server that owns a key now."""
        for step in range(SERVERS):
            server = self.servers[(key + step) % SERVERS]
            if server.up:
                return server
            if self.now < server.down_at + TAKEOVER_MS:
                return None
        return None

    def _try(self, request: Request) -> None:
        allowed = self.policy.check(request)
        if allowed is False:
            self.tally.killers_blocked += request.content.kills
            self.tally.innocents_blocked += not request.content.kills
            return
        server = self.find_owner(request.content.key)
        if server is None:
            return  # Answered as not run: no owner.
        request.tries += 1
        if allowed is None:
            waiting = self._alone.setdefault(server.id, [])
            waiting.append(request)
            if len(waiting) == 1:
                self._start_alone(server)
        elif len(server.running) + len(server.queue) < SLOTS + QUEUE:
            server.queue.append(request)
            self._serve(server)

    def _start_alone(self, server: ModelServer) -> None:
        """Runs the next suspect at a server, if it still is one."""
        waiting = self._alone[server.id]
        while waiting:
            request = waiting[0]
            allowed = self.policy.check(request)
            if allowed is None and server.up:
                waited = self.now - request.arrived_at
                if request.tries == 1:
                    self.tally.longest_wait_ms = max(self.tally.longest_wait_ms,
                                                     waited)
                request.alone = True
                server.queue.append(request)
                self._serve(server)
                return
            waiting.pop(0)
            if allowed is not None:
                self._try(request)

    def _end_alone(self, request: Request, server: ModelServer) -> None:
        if request.alone:
            request.alone = False
            self._alone[server.id].pop(0)
            self._start_alone(server)

    def _serve(self, server: ModelServer) -> None:
        while len(server.running) < SLOTS and server.queue:
            request = server.queue.pop(0)
            server.running.append(request)
            took = self.random.expovariate(1 / SERVICE_MS)
            if request.content.kills:
                took = CRASH_AFTER_MS
            self._plan_end(server, request, server.life, took)

    def _plan_end(self, server: ModelServer, request: Request, life: int,
                  took: float) -> None:
        self.after(took, lambda: self._finish(server, request, life))

    def _finish(self, server: ModelServer, request: Request, life: int) -> None:
        if server.life != life:
            return
        if request.content.kills:
            self.tally.crashes += 1
            self._crash(server)
            return
        server.running.remove(request)
        self.policy.note_clean(request, server)
        self._end_alone(request, server)
        self._serve(server)

    def _crash(self, server: ModelServer) -> None:
        if not server.up:
            return
        lost = server.running + server.queue
        server.running, server.queue = [], []
        server.up, server.down_at = False, self.now
        server.life += 1
        self.after(DOWN_MS, lambda: self._restart(server))
        for request in lost:
            self.policy.note_lost(request, server)
        for request in lost:
            self._end_alone(request, server)
            if request.repeatable and request.tries == 1:
                self.after(TAKEOVER_MS + self.random.uniform(1, 10),
                           lambda request=request: self._try(request))

    def _restart(self, server: ModelServer) -> None:
        server.up = True
