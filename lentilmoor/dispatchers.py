"""What the threads that carry requests share.

Threads read the routing snapshot by reference and report what they see in
batches, so no request asks an actor or waits for one.
"""

import collections
import dataclasses
import enum
import random
import threading

from lentilmoor import admission
from lentilmoor import calls
from lentilmoor import clocks
from lentilmoor import inflight
from lentilmoor import metrics
from lentilmoor import quarantine
from lentilmoor import queues
from lentilmoor import retries
from lentilmoor import routes


class TryEnd(enum.Enum):
    """How one try at a server ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LOST = 'lost'
    TIMED_OUT = 'timed-out'
    SHED = 'shed'
    NOT_GRANTED = 'not-granted'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """One try's end, for the liveness and load tables.

    Attributes:
      shard: Shard id.
      server: Server id.
      end: How it ended.
      began_at: When the try was sent, ms.
      at: When it ended, ms.
      point: Point of the key.
      cost_ms: Time of service, 0 if not served.
    """

    shard: str
    server: str
    end: TryEnd
    began_at: float
    at: float
    point: int
    cost_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Meters:
    """The metrics of the request path."""

    requests: metrics.Family[metrics.Counter]
    tries: metrics.Family[metrics.Counter]
    request_ms: metrics.Family[metrics.Summary]
    queue_ms: metrics.Family[metrics.Summary]


def make_meters(registry: metrics.Registry) -> Meters:
    """Registers the metrics of the request path."""
    return Meters(
        registry.counter('lentilmoor_requests',
                         'Requests by service, outcome and reason', 'service',
                         'outcome', 'reason'),
        registry.counter('lentilmoor_tries', 'Tries at servers by their end',
                         'service', 'end'),
        registry.summary('lentilmoor_request_ms',
                         'Time from arrival to the start of the answer, ms',
                         'service', 'class'),
        registry.summary('lentilmoor_queue_ms',
                         'Wait for a slot of a server, ms', 'service', 'class'))


class Dispatcher:
    """What request threads share.

    Attributes:
      instance: This entry's id.
      clock: Time.
      meters: Metrics of the request path.
      generator: Seeded source of random numbers.
      informed: Whether the settings in force are known; before that, an
        unknown service may just not be known yet.
      snapshot: The routing snapshot in force; swapped by reference.
      changed: Notified after each swap.
      waiting: Threads that may wait for a slot, shared by all gates.
      gates: Admission gates by (shard, server).
      budgets: Retry budgets by (team, service).
      inflight: Requests at servers.
      suspects: Requests that crash servers.
      observations: Ends of tries, not yet taken in by the control actor.
      proven: When a server last answered here, ms, by (shard, server).
      holding: Requests waiting for a snapshot.
      most_holding: Most that may wait at once.
    """

    def __init__(self, instance: str, clock: clocks.Clock, meters: Meters,
                 generator: random.Random, most_waiting: int):
        self.instance = instance
        self.clock = clock
        self.meters = meters
        self.generator = generator
        self.informed = False
        self.snapshot = routes.EMPTY
        self.changed = threading.Condition()
        self.waiting = admission.Pool(most_waiting)
        self.gates: dict[tuple[str, str], admission.Gate] = {}
        self.budgets: dict[tuple[str, str], retries.Budget] = {}
        self.inflight = inflight.InflightTable()
        self.suspects = quarantine.Quarantine()
        self.observations: collections.deque[Observation] = collections.deque()
        self.proven: dict[tuple[str, str], float] = {}
        self.holding = 0
        self.most_holding = most_waiting
        self.chance = routes.Chance(generator.random, self.inflight.count_at)

    def swap(self, snapshot: routes.Snapshot) -> None:
        """Puts a new snapshot in force and wakes the requests that wait."""
        self.snapshot = snapshot
        with self.changed:
            self.changed.notify_all()

    def hold(self, snapshot: routes.Snapshot, patience_ms: float) -> bool:
        """Waits until another snapshot than `snapshot` is in force.

        Args:
          snapshot: The one that did not serve.
          patience_ms: How long to wait at most.

        Returns:
          False at once if there is no time left or too many wait already.
        """
        if patience_ms <= 0 or self.holding >= self.most_holding:
            return False
        with self.changed:
            if self.snapshot is snapshot:
                self.holding += 1
                self.changed.wait(patience_ms / clocks.MS_PER_S)
                self.holding -= 1
        return True

    def budget_of(self, call: calls.Call) -> retries.Budget:
        """Returns the retry budget of a call's service."""
        name = (call.team, call.service)
        budget = self.budgets.get(name)
        if budget is None:
            budget = self.budgets.setdefault(name, retries.Budget())
        return budget

    def gate_of(self, call: calls.Call, server: str) -> admission.Gate:
        """Returns the admission gate of a server."""
        name = (call.shard_id, server)
        gate = self.gates.get(name)
        if gate is None:
            gate = self.gates.setdefault(name,
                                         _make_gate(call, server, self.waiting))
        return gate


def _make_gate(call: calls.Call, server: str,
               waiting: admission.Pool) -> admission.Gate:
    slots = next(
        (item.slots for item in call.settings.servers if item.id == server), 1)
    policies = tuple(
        queues.ClassPolicy(item.name, item.priority, item.floor,
                           item.deferrable) for item in call.settings.classes)
    return admission.Gate(
        server,
        admission.GateSettings(policies,
                               slots=slots,
                               warm_up_ms=call.settings.warm_up_ms), waiting)
