"""One request from its arrival to its outcome.

Finds the route, picks a server or the owner of the key, sends, and tries again
where that is safe: requests that may be repeated, and those that certainly
did not run. What can't be served in time is refused at once, with a time to
come back; what is given up on is answered at once.
"""

from collections.abc import Mapping
import dataclasses
import hashlib
import random
import threading

from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import outcomes
from lentilmoor import tries
from lentilmoor.edge import budgets
from lentilmoor.edge import exchange
from lentilmoor.edge import keyranges
from lentilmoor.edge import matching
from lentilmoor.edge import placement
from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.edge import waiting

# Servers that are looked at for one request, those included that can't be
# connected to.
MOST_PICKS = 6
# How long a request waits for its key to get an owner: a little more than the
# time in which keys are handed over.
OWNER_WAIT_MS = 400.0
# How long a request waits at least after the owner of its key said that it
# isn't, if no other owner is known yet. Keys are released when the work that
# runs on them has ended, so it is the server's time of work where that is more.
OWNER_LOOK_MS = 60.0
# Left for the way back of an answer to the caller, ms.
WAY_BACK_MS = 8.0
# A caller that doesn't say how long it waits.
PATIENCE_MS = 10_000.0
# Times to come back, ms: after a service was full, after a key had no owner,
# and while an entry starts.
FULL_RETRY_MS = 120
OWNER_RETRY_MS = 200
START_RETRY_MS = 300
BLOCKED_RETRY_MS = 30_000
_SERVER_FAULT = 500
_SUCCESS = range(200, 300)

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
      fields: What its headers say to entries.
      method: HTTP method.
      host: Host header.
      path: Path without its query, as it was sent.
      target: Path and query, as they were sent.
      headers: What goes on to the server.
      body: Its whole body.
      watch: Watches the caller's connection.
      arrived_at: ms.
    """

    fields: ports.CallerFields
    method: str
    host: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    watch: exchange.CallerWatch
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What was seen of a request for a key; reported to the coordinator.

    Requests that were refused count too: what a server could not serve is
    what tells that its keys are to move.
    """

    service: str
    key: int
    server: str
    work_ms: float


@dataclasses.dataclass(slots=True)
class Forwarder:
    """What request threads share.

    Attributes:
      clock: Time.
      platform: The adapter.
      logger: Takes a line for each request that isn't answered by a server.
      index: Routes of the configuration in force.
      snapshot: What is known; replaced as a whole.
      changed: Notified when the snapshot was replaced.
      states: What was seen of servers, by id.
      pools: Connections, by server id.
      repeats: Repeats, by service.
      samples: Requests for keys that are still to be reported.
      hurry: Set when a report should not wait: a key has moved.
      unserved: First and last keys that no server holds now, by service.
      coordinated: What this entry tells the others, of each service that it
        coordinates; replaced as a whole.
      watched: Fingerprints of requests that are suspected to crash servers.
      blocked: Fingerprints of requests that do.
      crashed: Of those suspected since the last report.
      cleared: Of those answered since the last report.
      news: How far this entry has followed the store.
      heard: How far the hub has, as it told last.
      lock: Guards states, pools and repeats.
    """

    clock: clocks.Clock
    platform: ports.Platform
    logger: object
    rules: connections.Rules
    index: matching.RouteIndex = dataclasses.field(
        default_factory=lambda: matching.make_index({}))
    snapshot: tables.Snapshot = dataclasses.field(
        default_factory=lambda: tables.Snapshot(None, {}, {}, {}, {}))
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)
    states: dict[str, placement.ServerState] = dataclasses.field(
        default_factory=dict)
    pools: dict[str, connections.Pool] = dataclasses.field(default_factory=dict)
    repeats: dict[str, budgets.Budget] = dataclasses.field(default_factory=dict)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    hurry: threading.Event = dataclasses.field(default_factory=threading.Event)
    unserved: dict[str,
                   list[tuple[int,
                              int]]] = dataclasses.field(default_factory=dict)
    coordinated: dict[str, tables.Coordinated] = dataclasses.field(
        default_factory=dict)
    watched: frozenset[str] = frozenset()
    blocked: frozenset[str] = frozenset()
    crashed: list[str] = dataclasses.field(default_factory=list)
    cleared: list[str] = dataclasses.field(default_factory=list)
    news: tables.News = tables.News()
    heard: tables.News = tables.News()
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    generator: random.Random = dataclasses.field(default_factory=random.Random)


Outcome = tries.Answer | outcomes.NotRun | outcomes.Unknown | exchange.Gone


@dataclasses.dataclass(slots=True)
class _Run:
    """A request on its way.

    Attributes:
      request: The request.
      route: Its route.
      service: The service that runs it.
      until: When it is given up, ms.
      sent: Servers that it was sent to.
      avoid: Servers that are not to be tried again.
      may_have_run: Whether a try ended without a certain outcome.
      last: A server's failure that is passed on if no try does better.
    """

    request: Request
    route: tables.Route
    service: tables.Service
    until: float
    sent: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    last: tries.Answer | None = None

    @property
    def repeatable(self) -> bool:
        """Whether it may be run more than once."""
        return self.route.repeat is tables.Repeat.IDEMPOTENT


def forward(forwarder: Forwarder, request: Request) -> Outcome:
    """Carries a request to its outcome."""
    snapshot = forwarder.snapshot
    if snapshot.configuration is None:
        return outcomes.NotRun(_Reason.STARTING, 'no configuration yet',
                               START_RETRY_MS)
    route = matching.find_route(forwarder.index, request.host, request.path)
    if route is None:
        return outcomes.NotRun(_Reason.UNKNOWN_SERVICE, 'no such route')
    if forwarder.blocked and _fingerprint(request) in forwarder.blocked:
        return outcomes.NotRun(_Reason.QUARANTINED,
                               'this request crashes its servers',
                               BLOCKED_RETRY_MS)
    name = matching.pick_part(route, forwarder.generator.random())
    service = snapshot.configuration.services.get(name)
    if service is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no such service',
                               FULL_RETRY_MS)
    if service.keyed and request.fields.key is None:
        return outcomes.NotRun(_Reason.MISSING_KEY, 'the request has no key')
    patience_ms = request.fields.patience_ms or PATIENCE_MS
    until = request.arrived_at + min(patience_ms - WAY_BACK_MS,
                                     route.timeout_ms)
    run = _Run(request, route, service, until)
    with forwarder.lock:
        budgets.note_request(_budget_of(forwarder, name),
                             forwarder.platform.settings.bounds,
                             request.arrived_at)
    return _carry(forwarder, run)


def _carry(forwarder: Forwarder, run: _Run) -> Outcome:
    for _ in range(MOST_PICKS):
        choice = _pick(forwarder, run)
        if not isinstance(choice, placement.Choice):
            return _conclude(run, choice)
        if run.sent and not _may_repeat(forwarder, run):
            return _conclude(
                run,
                outcomes.NotRun(_Reason.OVERLOADED,
                                'no repeats are left for the service',
                                FULL_RETRY_MS))
        result = _try(forwarder, run, choice.server)
        if result is not None:
            return result
    return _conclude(
        run,
        outcomes.NotRun(_Reason.NO_SERVER, 'no server takes the request',
                        FULL_RETRY_MS))


def _may_repeat(forwarder: Forwarder, run: _Run) -> bool:
    if run.sent >= max(1, run.route.attempts):
        return False
    with forwarder.lock:
        return budgets.take_repeat(_budget_of(forwarder, run.service.name),
                                   forwarder.platform.settings.bounds,
                                   max(1, len(forwarder.snapshot.entries)),
                                   forwarder.clock.now())


def _pick(forwarder: Forwarder,
          run: _Run) -> placement.Choice | outcomes.NotRun:
    if run.service.keyed:
        return _pick_owner(forwarder, run)
    now = forwarder.clock.now()
    servers = [
        server for server in forwarder.snapshot.servers.get(
            run.service.name, {}).values()
        if not server.draining and server.id not in run.avoid
    ]
    with forwarder.lock:
        wish = placement.Wish(forwarder.platform.settings.domain,
                              run.route.large,
                              placement.mean_work(servers, forwarder.states))
        choice = placement.choose(servers, forwarder.states, wish, now,
                                  forwarder.generator.random)
    if choice is None:
        return outcomes.NotRun(_Reason.NO_SERVER, 'no server is up',
                               FULL_RETRY_MS)
    return _check_time(run, choice, now)


def _check_time(run: _Run, choice: placement.Choice,
                now: float) -> placement.Choice | outcomes.NotRun:
    """Refuses at once what can't be served in time."""
    prospect = waiting.Prospect(choice.expected_ms, choice.full,
                                run.until - now)
    back_ms = waiting.judge(prospect)
    if back_ms is None:
        return choice
    return outcomes.NotRun(
        _Reason.OVERLOADED, f'{choice.server.id} is expected to answer in '
        f'{choice.expected_ms:.0f} ms, of {prospect.left_ms:.0f} ms left' +
        (', and is full' if choice.full else ''), round(back_ms))


def _pick_owner(forwarder: Forwarder,
                run: _Run) -> placement.Choice | outcomes.NotRun:
    """Finds the owner of the request's key; waits a little for a new one."""
    key = run.request.fields.key
    began = forwarder.clock.now()
    wait_until = min(run.until, began + OWNER_WAIT_MS)
    if _is_unserved(forwarder, run.service.name, key):
        return outcomes.NotRun(_Reason.NO_OWNER, 'no server holds the key now',
                               OWNER_RETRY_MS)
    while True:
        snapshot = forwarder.snapshot
        server = _find_owner(snapshot, run.service.name, key)
        now = forwarder.clock.now()
        if server is not None and (server.id not in run.avoid or now
                                   >= began + _find_look(forwarder, server)):
            break
        if now >= wait_until:
            return outcomes.NotRun(_Reason.NO_OWNER, 'the key has no owner',
                                   OWNER_RETRY_MS)
        if run.request.watch.is_gone():
            return outcomes.NotRun(
                _Reason.CANCELLED,
                f'waited for an owner of key {key}, sent to {run.avoid}')
        forwarder.hurry.set()
        _await_change(forwarder, snapshot,
                      min(wait_until, now + OWNER_LOOK_MS) - now)
    with forwarder.lock:
        state = forwarder.states.setdefault(server.id, placement.ServerState())
        if state.avoid_until > now:
            return outcomes.NotRun(_Reason.NO_SERVER,
                                   'the owner of the key is down',
                                   OWNER_RETRY_MS)
        work_ms = state.shared_ms or placement.mean_work(
            snapshot.servers[run.service.name].values(), forwarder.states)
        expected_ms, full = placement.expect(server, state, work_ms, now, True)
    checked = _check_time(run, placement.Choice(server, expected_ms, full), now)
    if isinstance(checked, outcomes.NotRun):
        forwarder.samples.append(Sample(run.service.name, key, server.id, 0.0))
    return checked


def _find_look(forwarder: Forwarder, server: tables.Server) -> float:
    """Returns how long to look for another owner of a key, ms."""
    state = forwarder.states.get(server.id)
    work_ms = state.shared_ms if state is not None else 0.0
    return min(OWNER_WAIT_MS, max(OWNER_LOOK_MS, work_ms))


def _is_unserved(forwarder: Forwarder, service: str, key: int) -> bool:
    return any(first <= key <= last
               for first, last in forwarder.unserved.get(service, ()))


def _find_owner(snapshot: tables.Snapshot, service: str,
                key: int) -> tables.Server | None:
    assignment = snapshot.assignments.get(service)
    if assignment is None:
        return None
    found = keyranges.find_owner(assignment, key)
    if found is None:
        return None
    return snapshot.servers.get(service, {}).get(found.server)


def _await_change(forwarder: Forwarder, seen: tables.Snapshot,
                  wait_ms: float) -> None:
    with forwarder.changed:
        if forwarder.snapshot is seen:
            forwarder.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)


def _try(forwarder: Forwarder, run: _Run,
         server: tables.Server) -> Outcome | None:
    """Sends the request to a server; None if another may be tried."""
    request = run.request
    state, pool = _enter(forwarder, server)
    headers = dict(request.headers)
    sent_at = forwarder.clock.now()
    forwarder.platform.dialect.mark(headers, server.id, run.until - sent_at)
    order = exchange.Order(request.fields.request_id, request.method,
                           request.target, headers, request.body,
                           run.repeatable, run.until)
    result = exchange.send(pool, order, request.watch,
                           forwarder.platform.dialect.read_answer,
                           forwarder.clock)
    now = forwarder.clock.now()
    if isinstance(result, exchange.Gone):
        with forwarder.lock:
            placement.note_left(state)
        return exchange.Gone(server.id, now - sent_at)
    if isinstance(result, exchange.NotSent):
        with forwarder.lock:
            placement.note_unreached(state, now)
            forwarder.crashed += placement.take_crashed(state, now)
        run.avoid.add(server.id)
        return None
    run.sent += 1
    if isinstance(result, outcomes.Unknown):
        return _weigh_loss(forwarder, run, server, state, result)
    return _weigh_answer(forwarder, run, server, state, result, now - sent_at)


def _weigh_loss(forwarder: Forwarder, run: _Run, server: tables.Server,
                state: placement.ServerState,
                lost: outcomes.Unknown) -> Outcome | None:
    now = forwarder.clock.now()
    with forwarder.lock:
        placement.note_failure(state, now, False)
        if lost.reason is _Reason.CONNECTION_LOST:
            state.broken.append((_fingerprint(run.request), now))
    run.avoid.add(server.id)
    run.may_have_run = True
    forwarder.logger.info('try_lost',
                          request=run.request.fields.request_id,
                          server=server.id,
                          reason=lost.reason.value,
                          detail=lost.detail,
                          age_ms=round(now - run.request.arrived_at))
    if not run.repeatable or lost.reason is _Reason.TIMED_OUT:
        return lost
    return None


def _weigh_answer(forwarder: Forwarder, run: _Run, server: tables.Server,
                  state: placement.ServerState, reply: exchange.Reply,
                  took_ms: float) -> Outcome | None:
    now = forwarder.clock.now()
    status, fields = reply.answer.status, reply.fields
    if fields.not_run:
        with forwarder.lock:
            placement.note_failure(state, now, status == 503)
        run.avoid.add(server.id)
        if run.service.keyed:
            forwarder.hurry.set()
        return None
    if forwarder.watched:
        _clear(forwarder, run.request)
    good = status < _SERVER_FAULT
    if status in _SUCCESS and not fields.proven:
        good = False
    with forwarder.lock:
        if good:
            placement.note_answer(state, took_ms, fields.load, now)
        else:
            placement.note_failure(state, now, False)
    if run.service.keyed and good:
        work_ms = placement.find_work(took_ms, fields.load)
        forwarder.samples.append(
            Sample(run.service.name, run.request.fields.key, server.id,
                   work_ms))
    if status in _SUCCESS and not fields.proven:
        run.may_have_run = True
        lost = outcomes.Unknown(_Reason.ANSWER_CUT, 'an answer without proof')
        return None if run.repeatable else lost
    if not good and run.repeatable:
        run.avoid.add(server.id)
        run.may_have_run = True
        run.last = reply.answer
        return None
    if status in (408, 421, 429, 503) and not run.repeatable:
        # Callers would take it for a promise that it has not run.
        return outcomes.Unknown(_Reason.CONNECTION_LOST,
                                f'the server answered {status}')
    return reply.answer


def _clear(forwarder: Forwarder, request: Request) -> None:
    fingerprint = _fingerprint(request)
    if fingerprint in forwarder.watched:
        forwarder.cleared.append(fingerprint)


def _fingerprint(request: Request) -> str:
    """Returns what tells a request from others, whoever sends it again."""
    digest = hashlib.blake2b(digest_size=8)
    for part in (request.method, request.host, request.target,
                 str(request.fields.key)):
        digest.update(part.encode('latin-1', 'replace') + b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def _conclude(run: _Run, refusal: outcomes.NotRun) -> Outcome:
    if refusal.reason is _Reason.CANCELLED:
        return exchange.Gone(refusal.detail)
    if run.last is not None:
        return run.last
    if run.may_have_run and not run.repeatable:
        return outcomes.Unknown(refusal.reason, refusal.detail)
    if run.may_have_run:
        return outcomes.Unknown(_Reason.CONNECTION_LOST, refusal.detail)
    return refusal


def _enter(
        forwarder: Forwarder, server: tables.Server
) -> tuple[placement.ServerState, connections.Pool]:
    with forwarder.lock:
        state = forwarder.states.setdefault(server.id, placement.ServerState())
        placement.note_sent(state)
        pool = forwarder.pools.get(server.id)
        if pool is None:
            pool = connections.Pool(server.address, forwarder.rules,
                                    forwarder.clock)
            forwarder.pools[server.id] = pool
        return state, pool


def _budget_of(forwarder: Forwarder, service: str) -> budgets.Budget:
    return forwarder.repeats.setdefault(service, budgets.Budget())
