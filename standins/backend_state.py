"""What a stand-in backend server keeps: slots, queue, grant, journal.

All methods of `BackendState` may be called by several threads at once.
"""

import collections
import dataclasses
import enum
import json
import threading
import typing

from lentilmoor import clocks
from lentilmoor import ranges
from lentilmoor import servers
from standins import grants_held

JOURNAL_LIMIT = 200_000
_LOADS_KEPT = 4096
# Servers that hold no grant warm up by such parts of the hash space.
_BUCKET_BITS = 52


class Refusal(enum.Enum):
    """Why a request was not run, as the Not-Run header says it."""

    SHED = 'shed'
    LEAVING = 'leaving'
    DEADLINE = 'deadline'
    NOT_GRANTED = 'not-granted'
    CANCELLED = 'cancelled'


class Ending(enum.Enum):
    """How a run ended."""

    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    CUT = 'cut'
    CRASHED = 'crashed'


@dataclasses.dataclass(slots=True)
class Switches:
    """How the server behaves; set by flags and over /control/switches.

    Attributes:
      check_grants: Whether it refuses requests without a valid grant; if not
        it accepts any order and ignores grants.
      service_ms: How long a request runs.
      cold_ms: Additional time of a slice's first request.
      slots: Requests that run at once.
      shed_beyond: Waiting requests beyond which it sheds.
      drain_ms: How long it still takes new work after it was told to drain.
      health_lie: '' for the truth, 'up' or 'down' for a lie.
      load_lag_ms: Age of the load that it reports.
    """

    check_grants: bool = True
    service_ms: float = 5.0
    cold_ms: float = 0.0
    slots: int = 2
    shed_beyond: int = 64
    drain_ms: float = 3_000.0
    health_lie: str = ''
    load_lag_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A request as it arrives.

    Attributes:
      request_id: Unique over all entries.
      idempotency_key: The caller's, or ''.
      key: The key, or '' if it has none.
      point: Its point in the hash space.
      epoch: Fence of the route that brought it, first part.
      sequence: Fence of the route, second part.
      deadline: When it is to be given up, on the server's clock, ms.
    """

    request_id: str
    idempotency_key: str
    key: str
    point: int
    epoch: int
    sequence: int
    deadline: float


@dataclasses.dataclass(slots=True)
class Run:
    """A request that was started; times are of the server's clock, ms.

    Attributes:
      order: The request.
      held_epoch: Fence of the server's grant at the start, first part.
      held_sequence: Fence of the server's grant at the start, second part.
      granted_until_ms: When that grant was to end, as last renewed for this
        request's point.
      started_ms: When it was started.
      ended_ms: When it ended, or 0.
      ending: How it ended.
      cold: Whether it was the first one of its slice.
      cancelled: Whether it is to stop.
    """

    order: Order
    held_epoch: int
    held_sequence: int
    granted_until_ms: float
    started_ms: float
    ended_ms: float = 0.0
    ending: Ending = Ending.RUNNING
    cold: bool = False
    cancelled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Load at one time."""

    at: float
    running: int
    queued: int


@dataclasses.dataclass(slots=True)
class _Waiting:
    order: Order
    turn: threading.Event
    refusal: Refusal | None = None


class BackendState:
    """One stand-in server.

    Attributes:
      name: Server id.
      switches: How it behaves; may be changed at any time.
      held: The grant that it holds.
      clock_offset_ms: Added to the clock that it tells of.
      frozen_until: It does nothing until then, on its clock, ms.
      journal: The newest runs, oldest first.
    """

    def __init__(self,
                 name: str,
                 clock: clocks.Clock,
                 switches: Switches,
                 journal_file: typing.TextIO | None = None):
        self.name = name
        self.switches = switches
        self.held = grants_held.HeldGrant()
        self.frozen_until = float('-inf')
        self.clock_offset_ms = 0.0
        self.journal: collections.deque[Run] = collections.deque(
            maxlen=JOURNAL_LIMIT)
        self._clock = clock
        self._journal_file = journal_file
        self._lock = threading.RLock()
        self._taken = 0
        self._running: list[Run] = []
        self._queue: collections.deque[_Waiting] = collections.deque()
        self._refuse_from = float('inf')
        self._warm: tuple[ranges.Range, ...] = ()
        self._loads = collections.deque([LoadSample(float('-inf'), 0, 0)],
                                        maxlen=_LOADS_KEPT)

    def now(self) -> float:
        """Returns this server's clock, ms."""
        return self._clock.now()

    def offer(self, order: servers.GrantOrder) -> bool:
        """Takes an order; returns whether it was accepted."""
        with self._lock:
            if not self.switches.check_grants:
                return True
            accepted = self.held.offer(order, self.now())
            self._prolong_runs()
            gone = ranges.subtract(self._warm, self.held.owned)
            self._warm = ranges.subtract(self._warm, gone)
            return accepted

    def _prolong_runs(self) -> None:
        """Notes a renewal with the runs on points that are still granted."""
        for run in self._running:
            if run.order.key and ranges.covers(self.held.owned,
                                               run.order.point):
                run.granted_until_ms = max(run.granted_until_ms,
                                           self.held.expires_at)

    def raise_fence(self, epoch: int) -> None:
        """Refuses orders of older epochs from now on."""
        with self._lock:
            if self.switches.check_grants:
                self.held.raise_fence(epoch)

    def count_strays(self) -> int:
        """Returns how many requests run on points no longer granted."""
        with self._lock:
            if not self.switches.check_grants:
                return 0
            return sum(1 for run in self._running if run.order.key and
                       not ranges.covers(self.held.owned, run.order.point))

    def start(self, order: Order) -> Run | Refusal:
        """Waits for a slot and starts a request, or says why it does not."""
        with self._lock:
            refusal = self._refuse_arrival(order)
            if refusal:
                return refusal
            if self._taken < self.switches.slots:
                self._taken += 1
                return self._begin(order)
            waiting = _Waiting(order, threading.Event())
            self._queue.append(waiting)
            self._note_load()
        left_ms = max(0.0, order.deadline - self.now())
        waiting.turn.wait(left_ms / clocks.MS_PER_S)
        with self._lock:
            if waiting.refusal:
                return waiting.refusal
            if not waiting.turn.is_set():
                self._leave_queue(waiting)
                return Refusal.DEADLINE
            return self._begin(order)

    def end(self, run: Run, ending: Ending) -> None:
        """Ends a run and gives its slot to the next request."""
        with self._lock:
            run.ended_ms = self.now()
            run.ending = ending
            self._running.remove(run)
            self._free_slot()
            self._write(run)

    def cancel(self, request_id: str) -> bool:
        """Stops a request, waiting or running; returns whether it was here."""
        with self._lock:
            for waiting in self._queue:
                if waiting.order.request_id == request_id:
                    waiting.refusal = Refusal.CANCELLED
                    self._leave_queue(waiting)
                    waiting.turn.set()
                    return True
            found = [
                run for run in self._running
                if run.order.request_id == request_id
            ]
            for run in found:
                run.cancelled = True
            return bool(found)

    def drain(self) -> None:
        """Announces that it is leaving; it takes no new work soon."""
        with self._lock:
            self._refuse_from = min(self._refuse_from,
                                    self.now() + self.switches.drain_ms)

    @property
    def leaving(self) -> bool:
        """Whether it was told to drain."""
        return self._refuse_from < float('inf')

    def read_load(self) -> LoadSample:
        """Returns its load as it was `load_lag_ms` ago."""
        with self._lock:
            shown_at = self.now() - self.switches.load_lag_ms
            for sample in reversed(self._loads):
                if sample.at <= shown_at:
                    return sample
            return self._loads[0]

    def list_runs(self) -> list[Run]:
        """Returns the journal."""
        with self._lock:
            return list(self.journal)

    def _refuse_arrival(self, order: Order) -> Refusal | None:
        now = self.now()
        if now >= self._refuse_from:
            return Refusal.LEAVING
        if now >= order.deadline:
            return Refusal.DEADLINE
        if not self._may_run(order):
            return Refusal.NOT_GRANTED
        if (self._taken >= self.switches.slots and
                len(self._queue) >= self.switches.shed_beyond):
            return Refusal.SHED
        return None

    def _may_run(self, order: Order) -> bool:
        if not order.key or not self.switches.check_grants:
            return True
        return self.held.covers(order.point, self.now())

    def _begin(self, order: Order) -> Run | Refusal:
        """Starts a request that has a slot; checks once more before."""
        refusal = None
        if self.now() >= order.deadline:
            refusal = Refusal.DEADLINE
        elif not self._may_run(order):
            refusal = Refusal.NOT_GRANTED
        if refusal:
            self._free_slot()
            return refusal
        run = Run(order, *self.held.granted, self.held.expires_at, self.now())
        run.cold = self._touch(order)
        self._running.append(run)
        self.journal.append(run)
        self._note_load()
        self._write(run)
        return run

    def _free_slot(self) -> None:
        if self._queue:
            # The slot stays taken and goes to the one that waited longest.
            self._queue.popleft().turn.set()
        else:
            self._taken -= 1
        self._note_load()

    def _leave_queue(self, waiting: _Waiting) -> None:
        self._queue.remove(waiting)
        self._note_load()

    def _touch(self, order: Order) -> bool:
        if not order.key or ranges.covers(self._warm, order.point):
            return False
        touched = next((item for item in self.held.owned
                        if item[0] <= order.point <= item[1]), None)
        if touched is None:
            first = order.point >> _BUCKET_BITS << _BUCKET_BITS
            touched = (first, first + (1 << _BUCKET_BITS) - 1)
        self._warm = ranges.join((*self._warm, touched))
        return True

    def _note_load(self) -> None:
        self._loads.append(
            LoadSample(self.now(), len(self._running), len(self._queue)))

    def _write(self, run: Run) -> None:
        if self._journal_file:
            self._journal_file.write(json.dumps(format_run(run)) + '\n')
            self._journal_file.flush()


def format_run(run: Run) -> dict[str, typing.Any]:
    """Returns the JSON form of a run, one flat object."""
    fields = dataclasses.asdict(run)
    fields |= fields.pop('order')
    return fields | {'ending': run.ending.value}
