"""A seeded model of entries that watch servers, in simulated time.

Only what liveness sees is modelled: when tries end and how, and messages
between entries. Ticks, probes and verdicts are those of the package. Two naive
detectors read the same tries: one entry that counts failures in a row, and a
poll of the health endpoint.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lentilmoor import evidence
from lentilmoor import liveness
from lentilmoor import probes
from lentilmoor import roles
from lentilmoor import tables

TICK_MS = 20.0
RENEW_MS = 125.0
RENEW_TIMEOUT_MS = 100.0
TRY_TIMEOUT_MS = 250.0
HEALTH_POLL_MS = 1_000.0
# Share of requests that need a new connection.
_FRESH_SHARE = 0.1
NAIVE_FAILURES = 3
SHARD = 'team/service/0'

_Result = evidence.Result
_Source = evidence.Source
Then = Callable[[_Result, float], None]
"""Takes the end of a try and when it began, ms."""


@dataclasses.dataclass(slots=True)
class ModelServer:
    """A backend server.

    Attributes:
      id: Server id.
      domain: Its failure domain.
      killed: Whether connections are refused.
      frozen: Whether connections stand but nothing answers.
      hung: Whether requests hang while probes are answered.
      full: Whether it refuses new connections, while old ones work.
      ill: Whether its health endpoint says "ill".
    """

    id: str
    domain: str
    killed: bool = False
    frozen: bool = False
    hung: bool = False
    full: bool = False
    ill: bool = False


@dataclasses.dataclass(slots=True)
class ModelEntry:
    """An entry.

    Attributes:
      id: Entry id.
      domain: Its failure domain.
      views: Its liveness table.
      probing: Its probes.
      row: How its peers know it.
      paused: Whether its process stands still; what arrives waits.
      dead: Whether its process has ended.
      cut_servers: Whether no server can be reached.
      cut_peers: Whether no other entry can be reached.
      inbox: What arrived while it was paused.
      streak: Failures in a row by server, for the naive detector.
    """

    id: str
    domain: str
    views: evidence.LivenessTable
    probing: probes.ProbeTable
    row: tables.Instance
    paused: bool = False
    dead: bool = False
    cut_servers: bool = False
    cut_peers: bool = False
    inbox: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    streak: dict[str, int] = dataclasses.field(default_factory=dict)


class Model:
    """Entries, servers and what is between them.

    Attributes:
      now: Simulated time, ms.
      service_ms: Mean time of service of a request.
      probe_ms: The same of a probe.
      lost_at: When the grantor held a server dead, by server.
      naive_lost_at: When the first entry counted enough failures in a row.
      health_lost_at: When the health endpoint had failed often enough.
      tells: Messages with evidence so far.
      probes: Probes so far.
    """

    def __init__(self,
                 seed: int,
                 entries: int = 12,
                 servers: int = 12,
                 rate: float = 20.0,
                 loss: float = 0.0,
                 latency_ms: float = 1.5):
        self.random = random.Random(seed)
        self.now = 10_000.0
        self.rate = rate
        self.loss = loss
        self.latency_ms = latency_ms
        self.service_ms = 5.0
        self.probe_ms = 1.0
        self.lost_at: dict[str, float] = {}
        self.naive_lost_at: dict[str, float] = {}
        self.health_lost_at: dict[str, float] = {}
        self.tells = 0
        self.probes = 0
        self.cut_domain = ''
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        domains = [f'd{index % 3}' for index in range(max(entries, servers))]
        self.servers = {
            f's{index}': ModelServer(f's{index}', domains[index])
            for index in range(servers)
        }
        self.entries = {
            f'e{index}': self._make_entry(f'e{index}', domains[index])
            for index in range(entries)
        }
        self.order = [
            row.id for row in roles.rank_grantors(SHARD, (
                entry.row for entry in self.entries.values()))
        ]
        self.grantor = self.order[0]
        self._assign_probes()
        self._start()

    def run(self, span_ms: float) -> None:
        """Lets simulated time pass."""
        until = self.now + span_ms
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def resume(self, entry: ModelEntry) -> None:
        """Ends a pause; what arrived meanwhile comes in first."""
        entry.paused = False
        waiting, entry.inbox = entry.inbox, []
        for action in waiting:
            action()

    def _make_entry(self, name: str, domain: str) -> ModelEntry:
        views = evidence.LivenessTable(name, domain)
        for server in self.servers:
            evidence.add_server(views, (SHARD, server))
        row = tables.Instance(name, '', '', 'region', domain)
        return ModelEntry(name, domain, views, probes.ProbeTable(), row)

    def _assign_probes(self) -> None:
        rows = [entry.row for entry in self.entries.values()]
        self.probers = {
            server: [row.id for row in roles.pick_probers(server, rows)]
            for server in self.servers
        }
        for entry in self.entries.values():
            known = {(SHARD, server): server for server in self.servers}
            mine = {(SHARD, server)
                    for server, chosen in self.probers.items()
                    if entry.id in chosen}
            granted = known.keys() if entry.id == self.grantor else set()
            probes.assign(entry.probing, known, mine, granted)

    def _start(self) -> None:
        for entry in self.entries.values():
            phase = self.random.uniform(0, TICK_MS)
            self._at(phase, lambda entry=entry: self._tick(entry))
        for server in self.servers.values():
            phase = self.random.uniform(0, RENEW_MS)
            self._at(phase, lambda server=server: self._renew(server))
            phase = self.random.uniform(0, HEALTH_POLL_MS)
            self._at(phase, lambda server=server: self._poll_health(server, 0))
            if not self.rate:
                continue
            for entry in self.entries.values():
                self._plan_request(entry, server)

    def _at(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self.now + delay_ms, next(self._numbers), action))

    def _tick(self, entry: ModelEntry) -> None:
        if entry.dead:
            return
        self._at(TICK_MS, lambda: self._tick(entry))
        if entry.paused:
            return
        instances = {item.id: item.row for item in self.entries.values()}
        if not entry.cut_peers:
            entry.row.heard_at = self.now
        if entry.cut_peers:
            instances = {}
        for action in liveness.step(entry.views, instances, self.now):
            if isinstance(action, liveness.Tell):
                self._tell(entry, action)
            elif (entry.id == self.grantor and
                  action.after is tables.Liveness.DEAD):
                self.lost_at.setdefault(action.server, self.now)
        for probe in probes.step(entry.probing, entry.views, self.now):
            self.probes += 1
            self._probe(entry, probe)

    def _linked(self, entry: ModelEntry, other: ModelEntry) -> bool:
        if entry is not other and (entry.cut_peers or other.cut_peers):
            return False
        return ((entry.domain == self.cut_domain)
                == (other.domain == self.cut_domain) or not self.cut_domain)

    def _tell(self, entry: ModelEntry, action: liveness.Tell) -> None:
        item = action.item
        others = action.doubters or self.probers[item.server]
        for name in sorted({*self.order[:3], *others} - {entry.id}):
            self.tells += 1
            other = self.entries[name]
            if self._linked(entry, other):
                self._send(entry, other, item)

    def _send(self, entry: ModelEntry, other: ModelEntry,
              item: evidence.Evidence) -> None:

        def take() -> None:
            evidence.merge(other.views, entry.id, entry.domain, [item],
                           self.now)

        delay = self._delay(entry.domain, other.domain)
        self._at(delay, lambda: self._arrive(other, take))

    def _arrive(self, entry: ModelEntry, action: Callable[[], None]) -> None:
        if entry.paused:
            entry.inbox.append(action)
        elif not entry.dead:
            action()

    def _delay(self, one: str, other: str) -> float:
        base = 0.3 if one == other else self.latency_ms
        return base * self.random.uniform(0.8, 1.5)

    def _reaches(self, entry: ModelEntry, server: ModelServer) -> bool:
        if entry.cut_servers:
            return False
        return ((entry.domain == self.cut_domain)
                == (server.domain == self.cut_domain) or not self.cut_domain)

    def _attempt(self, entry: ModelEntry, server: ModelServer, source: _Source,
                 timeout_ms: float, kept: bool, then: Then) -> None:
        """Plans the end of one try."""
        round_trip = 2 * self._delay(entry.domain, server.domain)
        request = source is _Source.REQUEST
        refused = server.killed or (server.full and self._opens(source, kept))
        stalled = server.frozen or (server.hung and request)
        took = timeout_ms
        result = _Result.TIMED_OUT
        if not self._reaches(entry, server) or self.random.random() < self.loss:
            stalled = False
        elif refused:
            result, took = _Result.REFUSED, round_trip
        elif not stalled:
            mean = self.service_ms if request else self.probe_ms
            took = round_trip + self.random.expovariate(1 / mean)
            if took < timeout_ms:
                result = _Result.ANSWERED
            took = min(took, timeout_ms)

        def end() -> None:
            final = self._settle(entry, server, source, result, stalled)
            began_at = self.now - took
            self._arrive(entry, lambda: then(final, began_at))

        self._at(took, end)

    def _opens(self, source: _Source, kept: bool) -> bool:
        """Returns whether a try needs a new connection."""
        if source is _Source.REQUEST:
            return self.random.random() < _FRESH_SHARE
        return not kept

    def _settle(self, entry: ModelEntry, server: ModelServer, source: _Source,
                result: _Result, stalled: bool) -> _Result:
        """Returns how a try ends, given what happened meanwhile."""
        if entry.paused:
            return _Result.TIMED_OUT  # Its timer fires before it reads.
        if stalled:
            hung = server.hung and source is _Source.REQUEST
            thawed = not (server.killed or server.frozen or hung)
            return _Result.ANSWERED if thawed else _Result.TIMED_OUT
        if result is _Result.ANSWERED and server.killed:
            return _Result.LOST
        if result is _Result.ANSWERED and server.frozen:
            return _Result.TIMED_OUT
        return result

    def _note(self, entry: ModelEntry, server: ModelServer, source: _Source,
              result: _Result, began_at: float) -> None:
        evidence.record(entry.views, (SHARD, server.id), source, result,
                        began_at, self.now)
        if result is _Result.ANSWERED:
            entry.streak[server.id] = 0
            return
        entry.streak[server.id] = entry.streak.get(server.id, 0) + 1
        if entry.streak[server.id] >= NAIVE_FAILURES:
            self.naive_lost_at.setdefault(server.id, self.now)

    def _plan_request(self, entry: ModelEntry, server: ModelServer) -> None:
        gap = self.random.expovariate(self.rate / 1_000)
        self._at(gap, lambda: self._request(entry, server))

    def _request(self, entry: ModelEntry, server: ModelServer) -> None:
        if entry.dead:
            return
        self._plan_request(entry, server)
        if not entry.paused:
            note = self._make_note(entry, server, _Source.REQUEST)
            self._attempt(entry, server, _Source.REQUEST, TRY_TIMEOUT_MS, False,
                          note)

    def _probe(self, entry: ModelEntry, probe: probes.Probe) -> None:
        server = self.servers[probe.server]
        note = self._make_note(entry, server, _Source.PROBE)

        def end(result: _Result, began_at: float) -> None:
            probes.note_end(entry.probing, probe)
            note(result, began_at)

        self._attempt(entry, server, _Source.PROBE, probe.timeout_ms,
                      probe.kept, end)

    def _renew(self, server: ModelServer) -> None:
        entry = self.entries[self.grantor]
        self._at(RENEW_MS, lambda: self._renew(server))
        if not entry.paused and not entry.dead:
            note = self._make_note(entry, server, _Source.PROBE)
            self._attempt(entry, server, _Source.PROBE, RENEW_TIMEOUT_MS, True,
                          note)

    def _make_note(self, entry: ModelEntry, server: ModelServer,
                   source: _Source) -> Then:
        return lambda result, began_at: self._note(entry, server, source,
                                                   result, began_at)

    def _poll_health(self, server: ModelServer, bad: int) -> None:
        lost = self.random.random() < self.loss
        bad = bad + 1 if (server.killed or server.frozen or server.ill or
                          lost) else 0
        if bad >= NAIVE_FAILURES:
            self.health_lost_at.setdefault(server.id, self.now)
        self._at(HEALTH_POLL_MS, lambda: self._poll_health(server, bad))
