"""One request from its arrival to its outcome.

Claimed if it may run only once, checked against the quarantine, then routed,
admitted, tried and perhaps tried again, until the outcome is certain. It is
returned at once; nothing is held back.
"""

from collections.abc import Callable
import dataclasses
import functools
import threading

from lentilmoor import admission
from lentilmoor import bodies
from lentilmoor import calls
from lentilmoor import clocks
from lentilmoor import dispatchers
from lentilmoor import fingerprints
from lentilmoor import homes
from lentilmoor import inflight
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor import queues
from lentilmoor import retries
from lentilmoor import routes
from lentilmoor import tables
from lentilmoor import traces
from lentilmoor import tries

# How long a request waits for a snapshot that can serve it: a little more
# than the second within which a lost server's keys are served again.
HOLD_MS = 1_500.0
MAX_ROUTES = 8

_Reason = outcomes.Reason
ALONE_LOOK_MS = 10.0
_End = dispatchers.TryEnd
_BLOCKED = outcomes.NotRun(_Reason.QUARANTINED,
                           'this request has crashed its servers')
_NO_HOME = outcomes.NotRun(
    _Reason.QUARANTINED, 'a suspect runs alone, and nobody can see to it now',
    int(HOLD_MS))
_NOT_ALONE = outcomes.NotRun(_Reason.DEADLINE_PASSED,
                             'another suspect ran until the deadline')
_NO_VERSION = (0, 0)
_NO_LEASE = routes.Hold(_Reason.NO_LEASE)

_ENDS = {
    _Reason.CONNECT_FAILED: _End.REFUSED,
    _Reason.CONNECTION_LOST: _End.LOST,
    _Reason.ANSWER_CUT: _End.LOST,
    _Reason.TIMED_OUT: _End.TIMED_OUT,
    _Reason.NOT_GRANTED: _End.NOT_GRANTED,
    _Reason.DEADLINE_PASSED: _End.ABANDONED,
    _Reason.NO_SERVER: _End.ABANDONED,
    _Reason.OVERLOADED: _End.ABANDONED,
    _Reason.SHUTTING_DOWN: _End.ABANDONED,
    _Reason.BAD_REQUEST: _End.ABANDONED,
    _Reason.CANCELLED: _End.ABANDONED,
}
_SLOT_ENDINGS = {
    _End.ANSWERED: admission.Ending.SERVED,
    _End.REFUSED: admission.Ending.FAILED,
    _End.LOST: admission.Ending.FAILED,
    _End.TIMED_OUT: admission.Ending.FAILED,
    _End.SHED: admission.Ending.SHED,
    _End.NOT_GRANTED: admission.Ending.UNUSED,
    _End.ABANDONED: admission.Ending.UNUSED,
}
# Ends of a try after which another one can't do better.
_FINAL = frozenset(
    (_Reason.DEADLINE_PASSED, _Reason.BAD_REQUEST, _Reason.CANCELLED))
# Refusals of an entry after which another route may serve.
_REROUTED = frozenset((_Reason.CONNECT_FAILED, _Reason.NO_LEASE,
                       _Reason.PEER_UNAVAILABLE, _Reason.SHUTTING_DOWN))


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The idempotency key is claimed: this entry alone may dispatch, once.

    Attributes:
      settle: Called once with what came of it.
    """

    settle: Callable[[tries.Result], None]


ClaimResult = Claimed | tries.Result


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """What one try sends.

    Attributes:
      call: The request.
      body: Its body.
      span: The span of the try.
      fresh: Whether only a new connection will do.
      service_ms: Mean time of service at the server.
      suspect: Whether it is held suspect of crashing servers.
    """

    call: calls.Call
    body: bodies.Body
    span: traces.Span
    fresh: bool = False
    service_ms: float = 0.0
    suspect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Wiring:
    """What the request path calls outside itself.

    Attributes:
      send: Tries a call at a server.
      relay: Hands a call to another entry.
      claim: Claims a call's idempotency key, given its fingerprint.
      spread_crash: Sends crash evidence to the peers at once.
    """

    send: Callable[[routes.Straight, Outgoing], tries.Try]
    relay: Callable[[routes.Relay, Outgoing], tries.Try]
    claim: Callable[[calls.Call, bytes], ClaimResult]
    spread_crash: Callable[[quarantine.Evidence], None]


def dispatch_call(dispatcher: dispatchers.Dispatcher, wiring: Wiring,
                  call: calls.Call, body: bodies.Body,
                  span: traces.Span) -> tries.Result:
    """Carries one call to its outcome.

    Args:
      dispatcher: What request threads share.
      wiring: What is called outside.
      call: The request.
      body: Its body.
      span: Its span.

    Returns:
      The answer, or why there is none.
    """
    if call.repeatable or not call.idempotency_key or call.relayed:
        return _dispatch_checked(dispatcher, wiring, call, body, span)
    with span.child('claim') as claim_span:
        claimed = wiring.claim(call, make_fingerprint(call, body))
        claim_span.note('claimed', isinstance(claimed, Claimed))
    if not isinstance(claimed, Claimed):
        return claimed
    result = _dispatch_checked(dispatcher, wiring, call, body, span)
    claimed.settle(result)
    return result


def make_fingerprint(call: calls.Call, body: bodies.Body) -> bytes:
    """Returns what tells this request from another; 16 bytes."""
    raw = call.raw
    length = body.length
    content = {name: raw.header(name) for name in fingerprints.CONTENT_HEADERS}
    return fingerprints.make_fingerprint(
        f'{call.team}/{call.service}', raw.method, call.target, call.key,
        content, body.digest,
        fingerprints.LENGTH_UNKNOWN if length is None else length)


def _dispatch_checked(dispatcher: dispatchers.Dispatcher, wiring: Wiring,
                      call: calls.Call, body: bodies.Body,
                      span: traces.Span) -> tries.Result:
    run = _Run(dispatcher, wiring, call, body, span,
               retries.Progress(call.repeatable, call.deadline))
    return run.finish()


@dataclasses.dataclass(slots=True)
class _Run:
    """One call and what its tries have led to so far."""

    dispatcher: dispatchers.Dispatcher
    wiring: Wiring
    call: calls.Call
    body: bodies.Body
    span: traces.Span
    progress: retries.Progress
    suspect: bool = False
    fresh: bool = False
    avoid: frozenset[str] = frozenset()

    def finish(self) -> tries.Result:
        """Routes and tries until there is an outcome."""
        retries.note_first_try(self.dispatcher.budget_of(self.call))
        for _ in range(MAX_ROUTES):
            if self._is_blocked():
                return self._conclude(_BLOCKED)
            route = self._find_route()
            if isinstance(route, outcomes.NotRun):
                return self._conclude(route)
            if isinstance(route, routes.Relay):
                result = self._relay(route)
            else:
                result = self._go_straight(route)
            if result is not None:
                return result
        return self._conclude(
            outcomes.NotRun(_Reason.NO_OWNER, 'its owner keeps changing',
                            int(HOLD_MS)))

    def _is_blocked(self) -> bool:
        """Checks the quarantine; a suspect goes on, but alone."""
        suspects = self.dispatcher.suspects
        if not suspects.suspects:
            self.suspect = self.call.suspect
            return False
        verdict = quarantine.check(suspects,
                                   make_fingerprint(self.call, self.body),
                                   self.dispatcher.clock.now())
        self.suspect = (self.call.suspect or
                        verdict is quarantine.Verdict.SUSPECT)
        return verdict is quarantine.Verdict.BLOCKED

    def _conclude(self, refusal: outcomes.NotRun) -> tries.Result:
        """Says "not run" only if no earlier try may have run."""
        if self.progress.may_have_run:
            return outcomes.Unknown(refusal.reason, refusal.detail)
        return refusal

    def _find_route(self) -> routes.Straight | routes.Relay | outcomes.NotRun:
        dispatcher, call = self.dispatcher, self.call
        until = min(call.deadline, dispatcher.clock.now() + HOLD_MS)
        while True:
            snapshot = dispatcher.snapshot
            now = dispatcher.clock.now()
            route = self._pick_route(snapshot, now)
            if call.relayed and (route == _NO_LEASE or
                                 isinstance(route, routes.Relay)):
                return outcomes.NotRun(_Reason.NO_LEASE,
                                       'handed to an entry without a lease', 1)
            if not isinstance(route, routes.Hold):
                return route
            if not dispatcher.hold(snapshot, until - now):
                return outcomes.NotRun(route.reason,
                                       'nobody serves the key now',
                                       int(retries.TAKEOVER_MS))

    def _pick_route(self, snapshot: routes.Snapshot,
                    now: float) -> routes.Route:
        dispatcher, call = self.dispatcher, self.call
        if call.relayed and call.server:
            return routes.pick_relayed(snapshot, call.shard_id, call.point, now,
                                       call.server)
        return routes.pick_route(snapshot, call.shard_id, call.point, now,
                                 dispatcher.instance, self.avoid,
                                 dispatcher.chance)

    def _relay(self, route: routes.Relay) -> tries.Result | None:
        """Hands the call over; None if another route is to be found."""
        with self.span.child('relay') as span:
            span.note('entry', route.instance)
            sent = self.wiring.relay(
                route,
                Outgoing(self.call,
                         self.body,
                         span,
                         self.fresh,
                         suspect=self.suspect))
        result = sent.result
        if isinstance(result, tries.Answer):
            return result
        if isinstance(result, outcomes.Unknown):
            self.avoid |= {route.instance}
            return self._weigh(route.instance, sent, _NO_VERSION)
        if result.reason in _REROUTED:
            self.avoid |= {route.instance}
            return None
        return self._conclude(result)

    def _go_straight(self, route: routes.Straight) -> tries.Result | None:
        """Tries a server; None if another route is to be found."""
        if not self.suspect:
            return self._try_server(route)
        home = routes.pick_home(route.server, self.avoid)
        elsewhere = route.server.homes and home != self.dispatcher.instance
        if elsewhere and not self.call.relayed:
            address = self.dispatcher.snapshot.relays.get(home)
            if address is None:
                return self._conclude(_NO_HOME)
            return self._relay(routes.Relay(home, address, route.server.id))
        return self._try_alone(route)

    def _try_alone(self, route: routes.Straight) -> tries.Result | None:
        """Tries a server with no other suspect running there."""
        suspects = self.dispatcher.suspects
        fingerprint = make_fingerprint(self.call, self.body)
        server = route.server.id
        while not quarantine.start_alone(suspects, server, fingerprint):
            if self.dispatcher.clock.now() >= self.call.deadline:
                return self._conclude(_NOT_ALONE)
            threading.Event().wait(ALONE_LOOK_MS / clocks.MS_PER_S)
        try:
            if self._is_blocked():
                return self._conclude(_BLOCKED)
            return self._try_server(route)
        finally:
            quarantine.end_alone(suspects, server)

    def _try_server(self, route: routes.Straight) -> tries.Result | None:
        slot = self._admit(route)
        if isinstance(slot, routes.Relay):
            return self._relay(slot)
        if isinstance(slot, outcomes.NotRun):
            return None if slot.reason is _Reason.NO_OWNER else (
                self._conclude(slot))
        row = self._register(route)
        if row is None:
            self._leave(route, slot, _End.ABANDONED, 0.0)
            return None
        finish = functools.partial(self._finish_try, route, slot, row)
        try:
            sent = self._send(route)
        except BaseException:
            finish(_End.ABANDONED)
            raise
        result = sent.result
        if isinstance(result, tries.Answer) and result.rest is not None:
            _finish_later(result, finish)
            return result
        finish(_judge(result), sent.opened_at)
        if isinstance(result, tries.Answer):
            return result
        return self._weigh(route.server.id, sent, (route.epoch, route.sequence))

    def _send(self, route: routes.Straight) -> tries.Try:
        gate = self.dispatcher.gate_of(self.call, route.server.id)
        with self.span.child('try') as span:
            span.note('server', route.server.id)
            return self.wiring.send(
                route,
                Outgoing(self.call, self.body, span, self.fresh,
                         gate.response_ms))

    def _admit(
        self, route: routes.Straight
    ) -> admission.Slot | routes.Relay | outcomes.NotRun:
        dispatcher, call = self.dispatcher, self.call
        gate = dispatcher.gate_of(call, route.server.id)
        now = dispatcher.clock.now()
        ticket = queues.Ticket(call.caller, call.class_index, call.deadline)
        home = routes.pick_home(route.server, self.avoid)
        if home not in ('', dispatcher.instance) and not call.relayed:
            share = homes.straight_share(route.server.contended)
            slot = gate.try_enter(ticket, now, share)
            if slot is not None:
                return slot
            address = dispatcher.snapshot.relays.get(home)
            if address:
                return routes.Relay(home, address, route.server.id)
        with self.span.child('queue'):
            slot = gate.enter(ticket, now)
        if isinstance(slot, admission.Slot):
            dispatcher.meters.queue_ms.at(call.service, call.class_name).record(
                slot.waited_ms)
        return slot

    def _register(self,
                  route: routes.Straight) -> inflight.InflightRequest | None:
        """Registers the try; None if its route no longer holds."""
        dispatcher, call = self.dispatcher, self.call
        now = dispatcher.clock.now()
        row = inflight.InflightRequest(call.request_id, call.shard_id,
                                       route.server.id, route.server.address,
                                       call.point,
                                       (route.epoch, route.sequence), now,
                                       call.raw.caller_gone)
        dispatcher.inflight.begin(row)
        if _still_holds(dispatcher.snapshot, call, route, now):
            return row
        dispatcher.inflight.end(row)
        return None

    def _finish_try(self,
                    route: routes.Straight,
                    slot: admission.Slot,
                    row: inflight.InflightRequest,
                    end: _End,
                    opened_at: float = 0.0) -> None:
        """Gives back what a try held and reports how it ended."""
        dispatcher, call = self.dispatcher, self.call
        now = dispatcher.clock.now()
        took_ms = now - row.started_at
        dispatcher.inflight.end(row)
        dispatcher.meters.tries.at(call.service, end.value).add()
        self._leave(route, slot, end, took_ms)
        cost_ms = took_ms if end is _End.ANSWERED else 0.0
        dispatcher.observations.append(
            dispatchers.Observation(call.shard_id, route.server.id, end,
                                    row.started_at, now, call.point, cost_ms))
        if end is _End.ANSWERED:
            dispatcher.proven[call.shard_id, route.server.id] = now
            self._note_clean_run(route, opened_at, now)
        elif end is _End.LOST:
            self._note_crash(route, now)

    def _leave(self, route: routes.Straight, slot: admission.Slot, end: _End,
               took_ms: float) -> None:
        gate = self.dispatcher.gate_of(self.call, route.server.id)
        gate.leave(slot, took_ms, self.dispatcher.clock.now(),
                   _SLOT_ENDINGS[end])

    def _weigh(self, server: str, sent: tries.Try,
               version: tuple[int, int]) -> tries.Result | None:
        """Decides whether another try follows; None if it does."""
        dispatcher, call, result = self.dispatcher, self.call, sent.result
        now = dispatcher.clock.now()
        ending = retries.Ending(server=server,
                                reason=result.reason,
                                at=now,
                                may_have_run=isinstance(result,
                                                        outcomes.Unknown),
                                version=version,
                                reused=sent.reused,
                                retry_after_ms=result.retry_after_ms)
        budget = dispatcher.budget_of(call)
        if not self.body.may_resend or not _is_retried(result):
            return self._conclude_as(result)
        step = retries.decide(self.progress, ending, self._see_route(server),
                              budget, now, dispatcher.generator)
        if isinstance(step, retries.AwaitChange):
            self._await_change(ending, step.until)
            step = retries.resume(self.progress, ending,
                                  self._see_route(server), budget,
                                  dispatcher.clock.now(), dispatcher.generator)
        if isinstance(step, retries.GiveUp):
            return step.outcome
        self.fresh = step.fresh
        if step.delay_ms:
            threading.Event().wait(step.delay_ms / clocks.MS_PER_S)
        return None

    def _conclude_as(
            self, result: outcomes.NotRun | outcomes.Unknown) -> tries.Result:
        if isinstance(result, outcomes.NotRun):
            return self._conclude(result)
        return result

    def _await_change(self, ending: retries.Ending, until: float) -> None:
        dispatcher = self.dispatcher
        while True:
            snapshot = dispatcher.snapshot
            route = self._see_route(ending.server)
            if route.server not in (None, ending.server):
                return
            if route.server and route.version > ending.version:
                return
            if not dispatcher.hold(snapshot, until - dispatcher.clock.now()):
                return

    def _see_route(self, tried: str) -> retries.Route:
        """Returns where the call would go now, after a try at `tried`."""
        dispatcher, call = self.dispatcher, self.call
        shard = dispatcher.snapshot.shards.get(call.shard_id)
        if shard is None or shard.map is None:
            return retries.Route(None)
        version = (shard.epoch, shard.sequence)
        if not shard.keyed:
            self.avoid |= {tried}
            others = shard.servers.keys() - self.avoid
            return retries.Route(min(others, default=None), version=version)
        owner = shard.map.owner_of(call.point)
        if owner is None or owner not in shard.servers:
            return retries.Route(None, moving=True, version=version)
        liveness = shard.servers[owner].liveness
        proven_at = dispatcher.proven.get((shard.id, owner), 0.0)
        return retries.Route(owner, liveness is not tables.Liveness.LIVE,
                             proven_at, version)

    def _note_clean_run(self, route: routes.Straight, opened_at: float,
                        now: float) -> None:
        suspects = self.dispatcher.suspects
        if not suspects.suspects:
            return
        if opened_at:
            for item in quarantine.report_survived(suspects, route.server.id,
                                                   opened_at, now):
                self.wiring.spread_crash(item)
        evidence = quarantine.report_clean_run(
            suspects, make_fingerprint(self.call, self.body), route.server.id,
            now)
        if evidence is not None:
            self.wiring.spread_crash(evidence)

    def _note_crash(self, route: routes.Straight, now: float) -> None:
        call = self.call
        evidence = quarantine.report_crash(self.dispatcher.suspects,
                                           make_fingerprint(call, self.body),
                                           f'{call.team}/{call.service}',
                                           route.server.id, now)
        self.wiring.spread_crash(evidence)


def _finish_later(answer: tries.Answer, finish: Callable[[_End], None]) -> None:
    """Keeps a try open until its streamed answer has ended or is given up."""
    chunks, close = answer.rest, answer.close
    finished = False

    def end(how: _End) -> None:
        nonlocal finished
        if finished:
            return
        finished = True
        if how is not _End.ANSWERED:
            close()
        finish(how)

    def stream():
        try:
            yield from chunks
        except tries.CutError:
            end(_End.LOST)
            raise
        end(_End.ANSWERED)

    answer.rest = stream()
    answer.close = lambda: end(_End.ABANDONED)


def _judge(result: tries.Result) -> _End:
    if isinstance(result, tries.Answer):
        return _End.ANSWERED
    return _ENDS.get(result.reason, _End.SHED)


def _is_retried(result: outcomes.NotRun | outcomes.Unknown) -> bool:
    """Returns whether the end of a try may be followed by another."""
    return result.reason not in _FINAL


def _still_holds(snapshot: routes.Snapshot, call: calls.Call,
                 route: routes.Straight, now: float) -> bool:
    shard = snapshot.shards.get(call.shard_id)
    if shard is None or shard.expires_at <= now:
        return False
    if not shard.keyed:
        return route.server.id in shard.servers
    return shard.map.owner_of(call.point) == route.server.id
