"""Seeded schedules of entries, grantors and a store that fail at any point.

`World.run` draws what happens next from a random generator, checks at every
step that no request runs twice and that "not run" is told only of requests
that were never dispatched, and in the end that a request which surely never
ran may run.
"""

import dataclasses
import random

from lentilmoor import claimcodecs
from lentilmoor import claimlogs
from lentilmoor import claims
from lentilmoor import claimtables
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores

SHARD = 'hsinchu/orders/0'
RETENTION_S = 3600
LEASE_MS = 500
Kind = claimlogs.SettlementKind
Verdict = claimtables.Verdict
DISPATCHED_TWICE = 'a request was dispatched twice'
GRANTED_AGAIN = 'a request that ran was granted again'


class ViolationError(AssertionError):
    """A promise to callers was broken."""


def find_violation(seed, steps, make=None):
    """Returns what a seeded schedule breaks, or ''."""
    try:
        World(random.Random(seed), make or Grantor).run(steps)
    except ViolationError as error:
        return str(error)
    return ''


class FakeStore:
    """Compare-and-swap over a dict."""

    def __init__(self):
        self.records: dict[str, stores.Record] = {}
        self.writes = 0

    def run(self, call):
        """Carries out a call of a table; returns its outcome."""
        if isinstance(call, claimtables.ReadSegments):
            return tuple(record for key, record in sorted(self.records.items())
                         if key.startswith(call.prefix))
        current = self.records.get(call.key)
        if (current.version if current else 0) != call.expected_version:
            return stores.Conflict(current)
        self.writes += 1
        record = stores.Record(call.key, call.payload, self.writes)
        self.records[call.key] = record
        return record


class Grantor:
    """The claims of a shard, and the one call of the store under way."""

    def __init__(self, epoch, time, emit):
        self.table = claimtables.make_table(SHARD, epoch, RETENTION_S,
                                            time.clock())
        self.time = time
        self.emit = emit
        self.call = None

    def handle(self, event):
        self._note(claims.apply(self.table, event, self.time.at))

    def step(self):
        self._note(claims.step_claims(self.table, self.time.at))

    def finish(self, outcome):
        """Hands in the outcome of the call under way."""
        call, self.call = self.call, None
        if isinstance(call, claimtables.ReadSegments):
            self.handle(claimtables.SegmentsRead(call.prefix, outcome))
        else:
            self.handle(claimtables.SegmentSwapped(call.key, outcome))

    def _note(self, actions):
        for action in actions:
            if isinstance(action,
                          (claimtables.ReadSegments, claimtables.SwapSegment)):
                assert self.call is None
                self.call = action
            else:
                self.emit(action)


@dataclasses.dataclass
class Attempt:
    """One arrival of a request at an entry."""

    number: int
    claim: claimlogs.Claim
    open: bool = True
    dispatched: bool = False
    entry_lost: bool = False


@dataclasses.dataclass
class Node:
    """A grantor in the world, with a call of the store in some state."""

    grantor: Grantor
    epoch: int
    authority_until: float = 0.0
    paused: bool = False
    applied: object = None


class World:
    """Entries, grantors of growing epochs, one store, and their messages."""

    def __init__(self, rng, make=Grantor):
        self.rng = rng
        self.make = make
        self.time = clocks.ManualTime(1000.0)
        self.store = FakeStore()
        self.nodes: list[Node] = []
        self.attempts: list[Attempt] = []
        self.inbox = []
        self.outbox = []
        self.late_writes = []
        self.store_down = False
        self.run_by: dict[bytes, Attempt] = {}
        self.first_answers: dict[bytes, bytes] = {}
        self.entries = ['e1', 'e2', 'e3']
        self.forgetful = False  # A claim may have ended unreleased.
        self.verdicts = {}
        self.accepted = set()
        self._start_grantor()

    def run(self, steps):
        """Runs a schedule and checks what must hold after it."""
        actions, weights = zip(*self._list_actions(), strict=True)
        for _ in range(steps):
            self.rng.choices(actions, weights)[0]()
        self._check_progress()

    def _list_actions(self):
        return ((self._send, 5), (self._ask_again, 2), (self._deliver, 12),
                (self._take_reply, 12), (self._step, 12),
                (self._call_store, 12), (self._apply_call, 3),
                (self._end_call, 3), (self._land_late, 2), (self._pause, 1),
                (self._start_grantor, 1), (self._answer, 3), (self._give_up, 1),
                (self._lose_entry, 0.3), (self._switch_store,
                                          0.7), (self._wait_long, 0.1))

    # What callers and entries do.

    def _send(self):
        key = self.rng.choice('xyz')
        path = self.rng.choice(('/a', '/a', '/a', '/b'))
        claim = claimlogs.Claim(claims.make_digest('orders', 'buyer', key),
                                claims.make_fingerprint('POST', path, b''),
                                self.rng.choice(self.entries),
                                len(self.attempts))
        self.attempts.append(Attempt(claim.attempt, claim))
        self._post(self._ask(self.attempts[-1]))

    def _ask_again(self):
        waiting = [item for item in self.attempts if item.open]
        if waiting:
            self._post(self._ask(self.rng.choice(waiting)))

    def _ask(self, attempt):
        return claimtables.ClaimAsked(attempt.number, attempt.claim, 2000)

    def _post(self, event):
        node = self.nodes[-1]
        if self.rng.random() < 0.3:
            node = self.rng.choice(self.nodes)
        self.inbox.append((node, event))

    def _deliver(self):
        if not self.inbox:
            return
        place = self.rng.randrange(len(self.inbox))
        node, event = self.inbox[place]
        if self.rng.random() < 0.9:  # Else it comes a second time.
            del self.inbox[place]
        if not node.paused and self.rng.random() < 0.95:
            node.grantor.handle(event)

    def _emit(self, action):
        if isinstance(action, claimtables.SettleReply):
            if action.accepted:
                self.accepted.add(action.token)
        if not isinstance(action, claimtables.Reply):
            return
        digest = self.attempts[action.token].claim.digest
        if action.verdict is Verdict.UNAVAILABLE and digest in self.run_by:
            raise ViolationError('"not run" was told of a request that ran')
        if action.verdict is Verdict.ANSWERED:
            if action.answer != self.first_answers[digest]:
                raise ViolationError('not the first answer')
        self.outbox.append(action)

    def _take_reply(self):
        if not self.outbox:
            return
        reply = self.outbox.pop(self.rng.randrange(len(self.outbox)))
        attempt = self.attempts[reply.token]
        if not attempt.open or self.rng.random() < 0.1:
            return
        if reply.verdict is Verdict.GRANTED:
            self._dispatch(attempt)
        elif reply.verdict not in (Verdict.RUNNING, Verdict.NOT_GRANTOR):
            attempt.open = False

    def _dispatch(self, attempt):
        digest = attempt.claim.digest
        if digest in self.run_by:
            raise ViolationError(DISPATCHED_TWICE)
        self.run_by[digest] = attempt
        attempt.open = False
        attempt.dispatched = True

    def _answer(self):
        running = list(self.run_by.items())
        if not running:
            return
        digest, attempt = self.rng.choice(running)
        kind = self.rng.choice(
            (Kind.ANSWERED, Kind.ANSWERED, Kind.ENDED, Kind.RELEASED))
        if attempt.entry_lost or digest in self.first_answers:
            return
        if kind is Kind.RELEASED:  # The server says that it did not start.
            if not attempt.dispatched:
                return
            del self.run_by[digest]
        answer = b''
        if kind is Kind.ANSWERED:
            answer = b'%d' % attempt.number
            self.first_answers[digest] = answer
        attempt.dispatched = False
        self._post(self._settle(attempt, kind, answer))

    def _settle(self, attempt, kind, answer=b''):
        return claimtables.SettleAsked(attempt.number, attempt.claim.digest,
                                       attempt.number, kind, answer)

    def _give_up(self):
        waiting = [item for item in self.attempts if item.open]
        if waiting:
            attempt = self.rng.choice(waiting)
            attempt.open = False
            self._post(self._settle(attempt, Kind.RELEASED))

    def _lose_entry(self):
        lost = self.rng.randrange(len(self.entries))
        name = self.entries[lost]
        self.entries[lost] = f'{name}+'
        for attempt in self.attempts:
            if attempt.claim.instance == name:
                attempt.open = False
                attempt.entry_lost = True
        self.forgetful = True
        for node in self.nodes:
            self.inbox.append((node, claimtables.InstanceLost(name)))

    # What the grantors do.

    def _start_grantor(self):
        if len(self.nodes) >= 4:
            return
        if self.nodes:  # A newer one waits until the older ones' leases end.
            latest = max(node.authority_until for node in self.nodes)
            self.time.advance(max(0, latest - self.time.at))
        epoch = len(self.nodes) + 1
        self.nodes.append(Node(self.make(epoch, self.time, self._emit), epoch))

    def _step(self):
        self.time.advance(self.rng.choice((1, 10, 30, 300)))
        node = self.rng.choice((self.nodes[-1], self.rng.choice(self.nodes)))
        if node.paused:
            return
        if node is self.nodes[-1] and self.rng.random() < 0.8:
            self._renew(node)
        node.grantor.step()

    def _renew(self, node):
        node.authority_until = self.time.at + LEASE_MS
        node.grantor.handle(claimtables.AuthorityHeld(node.authority_until))

    def _pause(self):
        node = self.rng.choice(self.nodes)
        node.paused = not node.paused

    def _wait_long(self):
        self.time.advance(80_000)
        self.forgetful = True

    # What the store does.

    def _switch_store(self):
        self.store_down = not self.store_down

    def _pick_calling(self):
        calling = [node for node in self.nodes if node.grantor.call is not None]
        return self.rng.choice(calling) if calling else None

    def _call_store(self):
        node = self._pick_calling()
        if node is not None and not node.paused:
            if not self.store_down:
                self._apply(node)
            self._end(node, self.store_down)

    def _apply_call(self):
        node = self._pick_calling()
        if node is not None and not self.store_down:
            self._apply(node)

    def _apply(self, node):
        if node.applied is None:
            node.applied = self.store.run(node.grantor.call)

    def _end_call(self):
        node = self._pick_calling()
        if node is not None and not node.paused:
            self._end(node, True)

    def _end(self, node, fail):
        outcome, node.applied = node.applied, None
        if fail and outcome is None and self.rng.random() < 0.3:
            failed = outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE)
            node.grantor.finish(failed)
            return
        if fail:
            if outcome is None and self.rng.random() < 0.5:
                self.late_writes.append(node.grantor.call)
            outcome = outcomes.Failed(outcomes.Reason.TIMED_OUT)
        node.grantor.finish(outcome)

    def _land_late(self):
        if self.late_writes:
            place = self.rng.randrange(len(self.late_writes))
            call = self.late_writes.pop(place)
            if isinstance(call, claimtables.SwapSegment):
                self.store.run(call)

    # What must hold in the end.

    def _check_progress(self):
        """All that surely never ran may run, and nothing else."""
        self.store_down = False
        self.late_writes.clear()
        node = self.nodes[-1]
        node.paused = False
        self._drive(node)
        for attempt in self.attempts:
            if not attempt.dispatched and not attempt.entry_lost:
                attempt.open = False
                if self.run_by.get(attempt.claim.digest) is not attempt:
                    node.grantor.handle(self._settle(attempt, Kind.RELEASED))
        self._drive(node)
        self.outbox.clear()
        for key in 'xyz':
            digest = claims.make_digest('orders', 'buyer', key)
            claim = claimlogs.Claim(digest,
                                    claims.make_fingerprint('POST', '/a', b''),
                                    'new', len(self.attempts))
            attempt = Attempt(claim.attempt, claim)
            self.attempts.append(attempt)
            node.grantor.handle(self._ask(attempt))
        self._drive(node)
        granted = {
            self.attempts[reply.token].claim.digest
            for reply in self.outbox
            if reply.verdict is Verdict.GRANTED
        }
        if granted & set(self.run_by):
            raise ViolationError(GRANTED_AGAIN)
        if not self.forgetful and len(granted) + len(self.run_by) != 3:
            raise ViolationError('a request that never ran stays unknown')

    def _drive(self, node):
        for _ in range(60):
            self.time.advance(20)
            self._renew(node)
            node.grantor.step()
            while node.grantor.call is not None:
                self._apply(node)
                self._end(node, False)


class EntryMemory:
    """Naive: each entry remembers what it dispatched."""

    def __init__(self, epoch, time, emit):
        del epoch, time
        self.emit = emit
        self.seen = {}
        self.call = None

    def handle(self, event):
        if not isinstance(event, claimtables.ClaimAsked):
            return
        holder = self.seen.setdefault(self.name(event.claim), event.claim)
        verdict = Verdict.GRANTED if holder == event.claim else Verdict.ENDED
        self.emit(claimtables.Reply(event.token, verdict))

    def name(self, claim):
        return claim.instance, claim.digest

    def step(self):
        pass


class GrantorMemory(EntryMemory):
    """Naive: the grantor remembers claims, and commits nothing."""

    def name(self, claim):
        return claim.digest


class Unfenced(GrantorMemory):
    """Naive: each grantor commits to a log of its own epoch.

    It reads the logs of all epochs before it serves, but an older one may go
    on committing.
    """

    def __init__(self, epoch, time, emit):
        super().__init__(epoch, time, emit)
        self.epoch = epoch
        self.count = 0
        self.waiting = []
        self.sent = None
        self.call = claimtables.ReadSegments('log/')

    def handle(self, event):
        if isinstance(event, claimtables.ClaimAsked):
            self.waiting.append(event)

    def step(self):
        if self.call is None and self.waiting:
            self.sent = self.waiting.pop(0)
            claim = self.sent.claim
            if self.seen.get(claim.digest, claim) != claim:
                self.emit(claimtables.Reply(self.sent.token, Verdict.ENDED))
                return
            self.count += 1
            tail = claimlogs.Tail(self.epoch, self.count, 0.0, (), (claim,))
            self.call = claimtables.SwapSegment(
                f'log/{self.epoch}/{self.count}', claimcodecs.encode_tail(tail),
                0)

    def finish(self, outcome):
        call, self.call = self.call, None
        if isinstance(outcome, outcomes.Failed):
            if isinstance(call, claimtables.ReadSegments):
                self.call = call
            return
        if isinstance(outcome, stores.Record):
            self.seen[self.sent.claim.digest] = self.sent.claim
            self.emit(claimtables.Reply(self.sent.token, Verdict.GRANTED))
            return
        for record in outcome if isinstance(outcome, tuple) else ():
            for claim in claimcodecs.decode_tail(record).claims:
                self.seen[claim.digest] = claim
