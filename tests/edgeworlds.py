"""Simulation of servers that enforce grants, for tests of the coordinator.

Servers hold keys by their own, slow clocks. Grants may be lost, delayed, left
without an answer or applied seconds later, and servers may crash, stop
answering or leave. A coordinator may be replaced while it continues to run.
Time is advanced manually. A grant arrives before it is answered or times out,
or never.
"""

import dataclasses
import heapq
import random

from lentilmoor.edge import coordination
from lentilmoor.edge import holds
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables

SERVICE = 'stock'
SLOWEST_CLOCK = 1 / 0.98
STEP_MS = 20.0


@dataclasses.dataclass
class Held:
    """Keys that a server holds."""

    first: int
    last: int
    fence: int
    until: float


@dataclasses.dataclass
class ServerModel:
    """A server that enforces grants."""

    entry: tables.Server
    pace: float
    up: bool = True
    reachable: bool = True
    # Accepts calls without answering; grants are applied much later.
    frozen: bool = False
    listed: bool = True
    # The network path is cut; messages in flight may still arrive in time.
    cut: bool = False
    # The process that listens at the address after this one has ended.
    successor: 'ServerModel | None' = None
    held: list[Held] = dataclasses.field(default_factory=list)
    seen: list[tuple[int, int, int]] = dataclasses.field(default_factory=list)

    def grant(self, first, last, fence, hold_ms, arrived, now):
        """Applies a grant, whose hold starts at its arrival."""
        if any(begin <= last and end >= first and seen > fence
               for begin, end, seen in self.seen):
            return ownership.CallOutcome.REFUSED
        self.seen.append((first, last, fence))
        until = arrived + hold_ms * self.pace
        self.release(first, last)
        if until > now:
            self.held.append(Held(first, last, fence, until))
        return ownership.CallOutcome.DONE

    def release(self, first, last):
        """Withdraws keys from the server."""
        kept = []
        for item in self.held:
            if item.last < first or item.first > last:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(dataclasses.replace(item, last=first - 1))
            if item.last > last:
                kept.append(dataclasses.replace(item, first=last + 1))
        self.held = kept

    def holds(self, key, now):
        """Returns whether it holds a key."""
        return self.up and any(
            item.first <= key <= item.last and item.until > now
            for item in self.held)


@dataclasses.dataclass
class CoordinatorModel:
    """A coordinator with its lease, connections and access to the store."""

    state: ownership.Coordination
    kept_at: float
    up: bool = True
    sees_store: bool = True
    links: dict[str, tuple[int, str]] = dataclasses.field(default_factory=dict)


class World:
    """Simulates servers, coordinators and a store with the assignment."""

    def __init__(self, seed: int, servers: int = 6):
        self.random = random.Random(seed)
        self.now = 0.0
        self.servers: dict[str, ServerModel] = {}
        self.events: list = []
        self.number = 0
        self.loads: dict[int, float] = {}
        self.lost_share = 0.0
        self.late_share = 0.0
        self.delay_share = 0.0
        self.taken: set[tuple[int, int, int, str]] = set()
        self.queue_ms = 0.0
        for _ in range(servers):
            self.add_server()
        first = coordination.make_first_assignment(SERVICE, self.list_servers())
        self.saved, self.revision = first, 1
        self.coordinators = [
            CoordinatorModel(
                coordination.start_coordination(first, 1, 0.0, None), 0.0)
        ]
        self.breaches: list[str] = []

    def add_server(self, address: str = '') -> str:
        """Starts a server, registers it and returns its id."""
        self.number += 1
        name = f's{self.number}'
        entry = tables.Server(name, SERVICE, address or f'{name}:1', 'd1', 2,
                              False, 0.0, self.now)
        pace = self.random.uniform(1.0, SLOWEST_CLOCK)
        self.servers[name] = ServerModel(entry, pace)
        return name

    def restart(self, name: str, listed_after_ms: float) -> str:
        """Ends a server's process and starts another one at its address.

        Args:
          name: Id of the server.
          listed_after_ms: Delay before the new process is registered, ms.

        Returns:
          Id of the new server.
        """
        old = self.servers[name]
        new_name = self.add_server(old.entry.address)
        new = self.servers[new_name]
        new.entry = dataclasses.replace(new.entry,
                                        name='same',
                                        started_at=int(self.now) + 1)
        old.up, old.successor = False, new
        old.held.clear()
        new.listed = False

        def register():
            old.listed, new.listed = False, True

        self._after(listed_after_ms, register)
        return new_name

    def find_listening(self, name: str) -> ServerModel:
        """Returns the process that now listens at a server's address."""
        model = self.servers[name]
        while model.successor is not None:
            model = model.successor
        return model

    def list_servers(self) -> dict[str, tables.Server]:
        """Returns the registered servers, by id."""
        return {
            name: server.entry
            for name, server in self.servers.items()
            if server.listed
        }

    def run(self, ms: float) -> None:
        """Advances the time in steps and checks the invariants after each."""
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for item in self.coordinators:
                self._step(item)
            self._check()

    def take_over(self) -> None:
        """Starts another coordinator. The old one may continue to run."""
        following = coordination.make_next_assignment(self.saved)
        self.revision += 1
        self.saved = following
        for item in self.coordinators:
            if item.sees_store:
                item.kept_at = self.now - ownership.COORDINATOR_LEASE_MS
            item.sees_store = False
        self.coordinators.append(
            CoordinatorModel(
                coordination.start_coordination(following, self.revision,
                                                self.now, 'old.1'), self.now))

    def count_owners(self, key: int) -> int:
        """Returns how many servers hold a key."""
        return sum(
            server.holds(key, self.now) for server in self.servers.values())

    def _step(self, item: CoordinatorModel) -> None:
        if item.sees_store:
            item.kept_at = self.now
        if not item.up or item.state.superseded:
            return
        if self.now - item.kept_at > ownership.MAX_OFFLINE_MS:
            return
        for action in coordination.plan_actions(item.state, self._view(),
                                                self.now):
            self._carry_out(item, action)

    def _view(self) -> ownership.ServiceView:
        listed = self.list_servers()
        left = {
            name: server.entry
            for name, server in self.servers.items()
            if not server.listed
        }
        ended = frozenset(name for name, server in self.servers.items() if any(
            other.listed and other.entry.address == server.entry.address and
            other.entry.seen_at > server.entry.seen_at
            for other in self.servers.values()))
        return ownership.ServiceView(
            {
                name: entry
                for name, entry in listed.items()
                if name not in ended
            }, ended, left, keyloads.KeyLoads(self.loads), {})

    def _after(self, ms: float, work) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now + ms, self.number, work))

    def _carry_out(self, item, action) -> None:
        if isinstance(action, ownership.Grant):
            self._grant(item, action)
        elif isinstance(action, ownership.Release):
            self._release(item, action)
        elif isinstance(action, ownership.Probe):
            self._probe(item, action)
        else:
            self._save(item, action)

    def _grant(self, item, action) -> None:
        """Sends a grant, possibly after a wait for a free thread."""
        wait_ms = self.random.uniform(0, self.queue_ms)
        if wait_ms:
            self._after(wait_ms, lambda: self._send_grant(item, action))
        else:
            self._send_grant(item, action)

    def _send_grant(self, item, action) -> None:
        sent, model = self.now, self.find_listening(action.server.id)
        state, keys = item.state, action.key_range
        draw = self.random.random()

        def note(answer, link=None):
            coordination.handle_grant_result(
                state, action, ownership.GrantResult(answer, link), sent,
                self.now)

        if (self.now - action.planned_at > ownership.MAX_GRANT_AGE_MS or
                action.link is None and
                not ownership.may_open_connection(item.kept_at, self.now)):
            note(ownership.CallOutcome.NOT_SENT)
            return
        if not self._is_linked(item, action, model):
            note(ownership.CallOutcome.UNLINKED)
            return
        if not model.up or not model.reachable:
            item.links.pop(action.server.id, None)
            self._after(100, lambda: note(ownership.CallOutcome.NOT_SENT))
            return
        link = self._connect(item, action, model)

        def apply(arrived):
            if not model.up:
                return ownership.CallOutcome.UNKNOWN
            answer = model.grant(keys.first, keys.last, action.fence,
                                 action.hold_ms, arrived, self.now)
            if (answer is ownership.CallOutcome.DONE and
                    model.holds(keys.first, self.now)):
                self._check_accepted_fence(model, keys, action.fence)
            return answer

        def give_up():
            if item.links.get(action.server.id, (None,))[0] == link:
                del item.links[action.server.id]
            note(ownership.CallOutcome.UNKNOWN, link)

        def answer_later():
            answer = ownership.CallOutcome.UNKNOWN if model.cut else apply(
                self.now)
            if answer is ownership.CallOutcome.UNKNOWN:
                self._after(sent + ownership.GRANT_TIMEOUT_MS - self.now,
                            give_up)
            else:
                note(answer, link)

        arrival_ms = self.random.uniform(2, ownership.GRANT_TIMEOUT_MS - 2)
        if model.frozen or draw < self.late_share:
            arrived = self.now + arrival_ms
            self._after(self.random.uniform(2_000, 8_000),
                        lambda: apply(arrived))
            self._after(ownership.GRANT_TIMEOUT_MS, give_up)
        elif draw < self.late_share + self.lost_share:
            self._after(arrival_ms, lambda: apply(self.now))
            self._after(ownership.GRANT_TIMEOUT_MS, give_up)
        elif model.cut or draw > 1 - self.delay_share:
            self._after(arrival_ms, answer_later)
        else:
            self._after(4, answer_later)

    def _is_linked(self, item, action, model) -> bool:
        """Returns whether the connection that a grant requires is open."""
        known = item.links.get(action.server.id)
        if known is not None and (known[1] != model.entry.id or not model.up):
            del item.links[action.server.id]
            known = None
        return action.link is None or (known is not None and
                                       known[0] == action.link)

    def _connect(self, item, action, model) -> int:
        """Returns the number of the connection that carries a grant."""
        known = item.links.get(action.server.id)
        if known is None:
            self.number += 1
            known = item.links[action.server.id] = (self.number, model.entry.id)
        return known[0]

    def _check_accepted_fence(self, model, keys, fence) -> None:
        """Records a breach if another process had the keys with this token.

        A process must accept keys only with a fencing token above those of all
        other processes.
        """
        row = (keys.first, keys.last, fence, model.entry.id)
        if row in self.taken:
            return
        for first, last, other, name in self.taken:
            if (name != model.entry.id and other >= fence and
                    first <= keys.last and last >= keys.first):
                self.breaches.append(
                    f'{self.now:.0f} ms: {model.entry.id} takes {keys.first} '
                    f'to {keys.last} with fence {fence}, {name} had it with '
                    f'{other}')
        self.taken.add(row)

    def _release(self, item, action) -> None:
        model, state, keys = (self.find_listening(action.server.id), item.state,
                              action.key_range)

        def note(answer, token):
            coordination.handle_release_result(state, action, answer, token,
                                               self.now)

        if not model.up or not model.reachable:
            self._after(100, lambda: note(ownership.CallOutcome.NOT_SENT, ''))
            return
        if model.frozen or model.cut:
            self._after(400, lambda: note(ownership.CallOutcome.UNKNOWN, ''))
            return

        def apply():
            model.release(keys.first, keys.last)
            self._after(60, lambda: note(ownership.CallOutcome.DONE, 'token'))

        self._after(3, apply)

    def _probe(self, item, action) -> None:
        model, state = self.find_listening(action.server.id), item.state

        def note(answer):
            coordination.handle_probe_result(state, action, answer, self.now)

        if not model.up or not model.reachable:
            self._after(100, lambda: note(ownership.CallOutcome.NOT_SENT))
            return
        if model.frozen or model.cut:
            self._after(400, lambda: note(ownership.CallOutcome.UNKNOWN))
            return

        def apply():
            model.release(0, 0)
            self._after(4, lambda: note(ownership.CallOutcome.DONE))

        self._after(3, apply)

    def _save(self, item, action) -> None:

        def apply():
            done = item.sees_store and action.revision == self.revision
            if done:
                self.revision += 1
                self.saved = action.assignment
            else:
                item.state.superseded |= item.sees_store
            if done:
                coordination.handle_saved(item.state, action, self.revision)
            else:
                coordination.handle_save_failure(item.state, True, self.now)

        self._after(5, apply)

    def _check(self) -> None:
        held_ranges = [(item.first, item.last, name)
                       for name, server in self.servers.items() if server.up
                       for item in server.held if item.until > self.now]
        held_ranges.sort()
        for one, two in zip(held_ranges, held_ranges[1:], strict=False):
            if two[0] <= one[1] and one[2] != two[2]:
                self.breaches.append(f'{self.now:.0f} ms: {one} and {two}')


def find_end(sent_at: float) -> float:
    """Returns the latest expiry of a hold of the default duration, ms."""
    return holds.compute_expiry(sent_at, ownership.HOLD_MS)


def count_keys(ranges) -> int:
    """Returns how many keys ranges cover."""
    return sum(item.last - item.first + 1 for item in ranges)


def make_range(first, last, server, fence=1) -> keyranges.KeyRange:
    """Returns a range of keys."""
    return keyranges.KeyRange(first, last, server, fence)
