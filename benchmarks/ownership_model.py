"""One loss in a small world, and for how long it kept keys from being served.

Nine entries, all of them delegates, and nine servers in three failure domains.
A key is served at an entry while that entry's routing lease is valid and names
a server that runs and holds a valid grant for the key; sampled every 5 ms.
"""

from collections.abc import Iterable
import dataclasses
import enum

from lentilmoor import grants
from lentilmoor import ranges
from tests import worlds

DOMAINS = 3
SAMPLE_MS = 5.0
LOSS_AT_MS = 1_000.0

# What the liveness benchmark shows for frozen servers, and successors.Patience
# for grantors: 2.6 renewals of silence, 0.8 more for each candidate in turn.
_FOUND_MS = (220.0, 440.0)
_TAKE_RENEWALS = 2.6
_STEP_RENEWALS = 0.8


class Loss(enum.Enum):
    """What is lost."""

    SERVER = 'server'
    GRANTOR = 'grantor'
    BOTH = 'server and grantor'
    DOMAIN = 'failure domain'


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The ways that are compared.

    Attributes:
      name: In the table.
      lifetime: Of grants and routing leases, ms.
      renew: How often they are renewed, ms.
      told: Whether a takeover waits from when a majority last heard an older
        epoch, and not from its own beginning.
      take_after: Time from the grantor's loss to a takeover, ms; 0: found as
        in the package, by missed renewals.
    """

    name: str
    lifetime: float
    renew: float
    told: bool = True
    take_after: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Spans:
    """One loss, in ms.

    Attributes:
      lost: Unavailable time of each key of a lost server at each entry.
      others: The same of all other keys.
      detection: From the loss until it was known.
      lease: From then until old grants had ended.
      grant: From then until the new assignment was recorded and granted.
      publish: From then until all entries routed by it.
    """

    lost: tuple[float, ...]
    others: tuple[float, ...]
    detection: float
    lease: float
    grant: float
    publish: float


class Model(worlds.World):
    """A world with failure domains whose marks and samples are kept."""

    def __init__(self, seed: int, rules: Rules):
        self.rules = rules
        self.died_at: dict[str, float] = {}
        self.marks: dict[str, float] = {}
        self.unserved: dict[tuple[int, str], list[float]] = {}
        timing = worlds.Timing(lifetime=rules.lifetime,
                               renew=rules.renew,
                               order_delay=1_000.0,
                               tick=25.0,
                               takeover_after=_TAKE_RENEWALS * rules.renew,
                               takeover_step=_STEP_RENEWALS * rules.renew,
                               wire=(0.5, 1.0))
        super().__init__(seed,
                         entries=9,
                         servers=9,
                         listed=9,
                         moving=0.0,
                         timing=timing)
        self.found_ms = self.rng.uniform(*_FOUND_MS)

    def lose(self, loss: Loss) -> None:
        """Ends processes for good."""
        gone = []
        if loss in (Loss.SERVER, Loss.BOTH):
            gone.append(self.servers['s1'])
        if loss in (Loss.GRANTOR, Loss.BOTH):
            gone.append(self.entries['e0'])
        if loss is Loss.DOMAIN:
            gone = list(self.entries.values())[::DOMAINS]
            gone += list(self.servers.values())[::DOMAINS]
        for process in gone:
            process.alive = False
            self.died_at[process.id] = self.now

    def watch_servers(self, entry: worlds.Entry,
                      row: grants.GrantorRow) -> None:
        """Tells the grantor of lost servers once liveness knows."""
        for name in self.servers.keys() & self.died_at.keys():
            if (not row.servers[name].lost and
                    self.now >= self.died_at[name] + self.found_ms):
                self.apply(entry, grants.ServerLost(worlds.SHARD, name))
                self.mark('found')

    def watch_grantor(self, entry: worlds.Entry) -> None:
        """Takes over after a fixed time, if so ruled."""
        if not self.rules.take_after:
            super().watch_grantor(entry)
        elif entry.id == 'e1' and self.now >= self.died_at.get(
                'e0', float('inf')) + self.rules.take_after:
            self.takeover(entry)

    def takeover(self, entry: worlds.Entry) -> None:
        """Notes when the first entry tries."""
        super().takeover(entry)
        if self.died_at:
            self.marks.setdefault('taken', self.now)

    def note_commit(self, row: grants.GrantorRow) -> None:
        """Notes when a proposal moves anything."""
        super().note_commit(row)
        moved = any(move.stage is grants.MoveStage.PROPOSED
                    for move in row.moves.values())
        if moved:
            self.marks.setdefault('proposed', self.now)

    def check_grant(self, server: worlds.Server) -> None:
        """Notes when each server last took new ranges."""
        super().check_grant(server)
        if server.granted != (server.fence, server.owned):
            server.granted = (server.fence, server.owned)
            self.mark('granted')

    def reply(self, name: str, entry: worlds.Entry, event: object) -> None:
        """Leaves out what delegates tell of older epochs, if so ruled."""
        if isinstance(event, grants.LeaseAnswered) and not self.rules.told:
            event = dataclasses.replace(event,
                                        reply=dataclasses.replace(event.reply,
                                                                  quiet_ms=0.0))
        super().reply(name, entry, event)

    def mark(self, name: str) -> None:
        """Notes the last time of something after the loss."""
        if self.died_at:
            self.marks[name] = self.now

    def sample(self, points: Iterable[int], until: float) -> None:
        """Notes which keys are not served where, until an end."""
        owners = {point: self.find_holder(point) for point in points}
        for entry in self.entries.values():
            routes = entry.lease.routes
            if not entry.alive:
                continue
            leased = routes.expires_at > entry.clock(self.now)
            for point, owner in owners.items():
                if not (leased and owner and
                        routes.map.owner_of(point) == owner):
                    self.unserved.setdefault((point, entry.id),
                                             []).append(self.now)
        if self.now < until:
            self.after(SAMPLE_MS, self.sample, points, until)

    def find_holder(self, point: int) -> str | None:
        """Returns the running server that holds a valid grant for a point."""
        for server in self.servers.values():
            if (server.alive and server.expires_at > server.clock(self.now) and
                    ranges.covers(server.owned, point)):
                return server.id
        return None


def run(seed: int, rules: Rules, loss: Loss) -> Spans:
    """Runs one loss, a while after all servers were first granted."""
    model = Model(seed, rules)
    began_at = LOSS_AT_MS + rules.renew + 17.0 * seed
    model.run(began_at)
    committed = model.entries['e0'].table[worlds.SHARD].committed
    model.lose(loss)
    until = began_at + 1.2 * rules.lifetime + 500.0
    model.after(0.0, model.sample, list(committed.bounds), until)
    model.run(until)
    model.check_history()
    return _measure(model, committed, loss, began_at)


def _measure(model: Model, committed, loss: Loss, began_at: float) -> Spans:
    lost = []
    others = []
    for entry in model.entries.values():
        for point in committed.bounds:
            times = model.unserved.get((point, entry.id), ())
            span = times[-1] - times[0] + SAMPLE_MS if times else 0.0
            gone = committed.owner_of(point) in model.died_at
            if entry.alive:
                (lost if gone else others).append(span)
    served_at = max((times[-1] for times in model.unserved.values()),
                    default=began_at)
    granted_at = model.marks.get('granted', began_at)
    if loss is Loss.GRANTOR:
        found_at = ended_at = model.marks['taken']
    else:
        found_at = max(model.marks['found'], model.marks.get('taken', 0.0))
        ended_at = model.marks['proposed']
    return Spans(tuple(lost), tuple(others), found_at - began_at,
                 max(0.0, ended_at - found_at), granted_at - ended_at,
                 max(0.0, served_at - granted_at))
