"""Model of copies of a crashing request at several entries, for exploration.

The entries are real: their quarantines, trials and messages are those of the
product. A world replays a course of events; `explore` visits every state that
courses of a limited length lead to.
"""

import collections
from collections.abc import Iterator
import dataclasses
import io
from unittest import mock

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import logs
from lentilmoor import quarantine
from lentilmoor.edge import arrivals
from lentilmoor.edge import learning
from lentilmoor.edge import learningtables
from lentilmoor.edge import ports
from lentilmoor.edge import reports
from lentilmoor.edge import requests
from lentilmoor.edge import suspects
from lentilmoor.edge import tables
from lentilmoor.edge import trials

SERVICE = tables.Service('orders', False, 100, 0.0)
ROUTE = tables.Route('r', 'h', '/', tables.RepeatPolicy.IDEMPOTENT, False,
                     (tables.RouteTarget('orders', 1.0),), 3, 1_000.0, 500.0, 1)


def make_request(target: str) -> requests.Request:
    """Returns a request to the route."""
    return requests.Request(ports.CallerHeaders('r1', 1_000.0, None), 'GET',
                            'h', target, target, {}, b'', None, 0.0)


def make_forwarder(
        time: clocks.ManualTime,
        control: str,
        rules: connections.PoolLimits | None = None) -> requests.Forwarder:
    """Returns the state of an entry with an empty quarantine.

    Args:
      time: Its clock, which tests advance.
      control: Address on which other entries reach it.
      rules: Limits of its connection pools, if it opens connections.
    """
    platform = mock.Mock()
    platform.settings.control = control
    return requests.Forwarder(time.clock(),
                              platform,
                              logs.make_logger('test', io.StringIO()),
                              rules,
                              suspects=suspects.make_quarantine())


_REQUEST = make_request('/bad')
_FINGERPRINT = suspects.make_fingerprint(_REQUEST)
_OTHER_FINGERPRINT = suspects.make_fingerprint(make_request('/other'))
_STEP_MS = 500.0

Event = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Scope:
    """Scope of an exploration.

    Attributes:
      entries: Number of entries. The first one grants trials at the start.
      first_burst: Number of servers that the first copies crash together.
      length: Maximum number of events.
      handovers: Maximum number of changes of the entry that grants trials.
      restarts: Maximum number of starts of entries. One that grants trials
        hands that over first.
      rejections: Maximum number of runs that a server rejects as not run.
      sound: Whether the request crashes no server after the first burst.
      only_cause: Whether no other request was in flight at the first burst.
    """

    entries: int = 2
    first_burst: int = 2
    length: int = 9
    handovers: int = 0
    restarts: int = 0
    rejections: int = 0
    sound: bool = False
    only_cause: bool = False


@dataclasses.dataclass(slots=True)
class _Run:
    """A copy in flight on a server of its own."""

    entry: int
    run: requests.Run
    server: str


class World:
    """The entries after a course of events."""

    def __init__(self, scope: Scope):
        self._scope = scope
        self.time = clocks.ManualTime(100_000.0)
        self._entries = [
            self._make_entry(number) for number in range(scope.entries)
        ]
        self._issuer = 0
        self._handovers = 0
        self._restarts = 0
        self._rejections = 0
        self._in_flight: list[_Run] = []
        self._server_count = 0
        self.runs = 0
        self._set_issuer()
        self.time.advance(trials.HANDOVER_MS)
        burst = [self._start(0) for _ in range(scope.first_burst)]
        for run in burst:
            self._crash(run)
        if not scope.only_cause:
            for server in ('s0', *(run.server for run in burst)):
                quarantine.report_crash(self._entries[0].suspects,
                                        _OTHER_FINGERPRINT, 'orders', server,
                                        self.time.at)
        # The promise holds from when all entries know of the crashes.
        for number in range(1, scope.entries):
            self._exchange(number)
        self.runs = 0

    def _make_entry(self, number: int) -> requests.Forwarder:
        entry = make_forwarder(self.time, f'e{number}')
        entry.platform.settings.seeds = tuple(
            f'e{other}' for other in range(self._scope.entries))
        entry.trials.send_request = self._send_request
        entry.learning.ask_entry = self._ask_entry
        entry.snapshot = dataclasses.replace(entry.snapshot,
                                             configuration=mock.Mock())
        return entry

    def _ask_entry(self, address: str) -> reports.SuspectsReply:
        return learning.handle_request(self._entries[int(address[1:])])

    def _send_request(self, address: str,
                      message: reports.TrialRequest) -> reports.TrialReply:
        return trials.handle_request(self._entries[int(address[1:])], message)

    def _set_issuer(self) -> None:
        peer = ports.Peer(f'e{self._issuer}', f'e{self._issuer}')
        for number, entry in enumerate(self._entries):
            trials.set_issuer(entry, peer, number == self._issuer)

    @property
    def is_blocked(self) -> bool:
        """Whether the entry that grants trials has blocked the request."""
        return suspects.check_fingerprint(
            self._entries[self._issuer],
            _FINGERPRINT) is quarantine.Verdict.BLOCKED

    @property
    def is_clear(self) -> bool:
        """Whether that entry has cleared the request."""
        return suspects.check_fingerprint(
            self._entries[self._issuer],
            _FINGERPRINT) is quarantine.Verdict.CLEAR

    def list_events(self) -> Iterator[Event]:
        """Returns what may happen next."""
        for number in range(len(self._entries)):
            yield 'arrive', number
            yield 'exchange', number
        for number in range(len(self._in_flight)):
            yield 'end', number
            if self._rejections < self._scope.rejections:
                yield 'reject', number
        yield 'wait', 0
        if self._handovers < self._scope.handovers:
            yield 'handover', 0
        if self._restarts < self._scope.restarts:
            for number in range(len(self._entries)):
                yield 'restart', number

    def apply(self, event: Event) -> None:
        """Has an event happen."""
        kind, number = event
        if kind == 'arrive':
            self._arrive(number)
        elif kind == 'exchange':
            self._exchange(number)
        elif kind == 'end':
            self._end(self._in_flight.pop(number))
        elif kind == 'reject':
            self._reject(self._in_flight.pop(number))
        elif kind == 'wait':
            self.time.advance(_STEP_MS)
            for entry in self._entries:
                learning.step(entry)
        elif kind == 'restart':
            self._restart(number)
        else:
            self._handovers += 1
            self._hand_over()

    def _hand_over(self) -> None:
        self._issuer = (self._issuer + 1) % len(self._entries)
        self._set_issuer()
        self.time.advance(trials.HANDOVER_MS)

    def _restart(self, number: int) -> None:
        """A new process takes the place of an entry; it knows nothing."""
        self._restarts += 1
        if number == self._issuer:
            self._hand_over()
        self._in_flight = [
            item for item in self._in_flight if item.entry != number
        ]
        entry = self._entries[number] = self._make_entry(number)
        entry.learning.max_age_ms = learningtables.MAX_AGE_MS
        self._set_issuer()

    def _arrive(self, number: int) -> None:
        """A copy arrives; it is sent if that is allowed."""
        entry = self._entries[number]
        run = requests.Run(_REQUEST, ROUTE, SERVICE, self.time.at + 1_000.0)
        if learning.refuse_unjudged(entry, run, self.time.at) is not None:
            return
        verdict = suspects.check(entry, _REQUEST)
        if verdict is quarantine.Verdict.BLOCKED:
            return
        if (verdict is quarantine.Verdict.SUSPECT and
                trials.begin(entry, run) is not None):
            return
        self._in_flight.append(self._start(number, run))

    def _start(self, number: int, run: requests.Run | None = None) -> _Run:
        run = run or requests.Run(_REQUEST, ROUTE, SERVICE, 0.0)
        self._server_count += 1
        self.runs += 1
        server = f's{self._server_count}'
        run.sent_at = self.time.at
        run.sent_to.add(server)
        arrivals.note_sent(self._entries[number], run, server)
        return _Run(number, run, server)

    def _reject(self, ended: _Run) -> None:
        """The server rejects a copy, which is sent again if that is allowed."""
        self._rejections += 1
        entry = self._entries[ended.entry]
        if suspects.may_retry(entry, ended.run):
            self._in_flight.append(self._start(ended.entry, ended.run))
        else:
            trials.finish(entry, ended.run)

    def _end(self, ended: _Run) -> None:
        if self._scope.sound:
            quarantine.report_clean_run(self._entries[ended.entry].suspects,
                                        _FINGERPRINT, ended.server,
                                        self.time.at)
        else:
            self._crash(ended)
        trials.finish(self._entries[ended.entry], ended.run)

    def _crash(self, ended: _Run) -> None:
        table = self._entries[ended.entry].suspects
        quarantine.report_server_crash(table, 'orders', ended.server,
                                       self.time.at)
        quarantine.report_crash(table, _FINGERPRINT, 'orders', ended.server,
                                self.time.at)

    def _exchange(self, number: int) -> None:
        """An entry reports to the issuer, and merges its reply."""
        entry, issuer = self._entries[number], self._entries[self._issuer]
        trials.step(entry)
        if learning.is_recent(issuer):
            learning.note_complete(entry, self.time.at)
        for source, target in ((entry, issuer), (issuer, entry)):
            evidence, _ = quarantine.list_changes(source.suspects, 0,
                                                  self.time.at)
            suspects.merge(target, evidence, self.time.at)

    def find_signature(self) -> tuple:
        """Returns all that decides what may follow."""
        now = self.time.at
        entries = tuple(
            (self._find_ages(entry),
             tuple((granted.trial in entry.trials.held,
                    round(granted.ends_at - now))
                   for granted in entry.trials.granted.values()),
             tuple(trial.running
                   for trial in entry.trials.held.values()),
             learning.is_recent(entry), tuple(sorted(entry.learning.unjudged)))
            for entry in self._entries)
        flights = tuple(
            (item.entry, item.run.trial is None) for item in self._in_flight)
        return (entries, flights, self._issuer, self._handovers, self._restarts,
                self._rejections, self.runs)

    def _find_ages(self, entry: requests.Forwarder) -> tuple:
        """Returns the ages of what an entry has observed of the request."""
        suspect = entry.suspects.suspects.get(_FINGERPRINT)
        if suspect is None:
            return ()
        now = self.time.at
        return (tuple(
            (crash.server, now - crash.at) for crash in suspect.crashes),
                tuple(now - sent_at for sent_at in suspect.trials.values()),
                now - suspect.clean_run_at)


def _replay(scope: Scope, course: tuple[Event, ...]) -> World:
    world = World(scope)
    for event in course:
        world.apply(event)
    return world


def explore(scope: Scope) -> Iterator[tuple[World, tuple[Event, ...]]]:
    """Returns each state of a scope once, with a course that leads to it."""
    seen = set()
    waiting = collections.deque([()])
    while waiting:
        course = waiting.popleft()
        world = _replay(scope, course)
        signature = world.find_signature()
        if signature in seen:
            continue
        seen.add(signature)
        yield world, course
        if len(course) < scope.length:
            waiting.extend((*course, event) for event in world.list_events())
