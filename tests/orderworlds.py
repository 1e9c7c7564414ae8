"""A world with one key, two addresses and two coordinators, in coarse steps.

It decides nothing by chance: whoever explores it says what becomes of each
message and which faults come when. The coordinators run the real decision
functions; servers enforce grants as `edgeworlds.ServerModel` does, all by the
slowest clock allowed. Time jumps to what is due next. What belongs to one
instant happens in the order in which the explorer has it happen.

States are copied, compared by `make_key`, and never changed by a copy.
"""

from collections.abc import Mapping
import dataclasses
import enum

from lentilmoor.edge import coordination
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import tables
from tests import edgeworlds

# The only key that is served. Probes name key 0.
KEY = 7
ADDRESSES = ('a', 'b')
# Time limit of a release.
RELEASE_MS = 2_500.0
# Work that runs on a released key ends after this.
WORK_MS = 800.0
# A grant that waits for a free thread is sent after this.
QUEUE_MS = 400.0
# A grant that was taken in without an answer is applied so long after it had
# arrived. Later ones have run out by then.
APPLIED_MS = (1_200.0, 2_800.0)
# Where giving up aborts nothing, what was sent arrives so long after it.
STRAY_MS = (2_000.0, 6_200.0)
# A path is cut for so long: less than a hold, and more.
CUT_MS = (1_000.0, 5_000.0)
# Or, for one coordinator only, for so long: more than another's tenure.
APART_MS = 20_000.0
# A server takes calls in and applies them after so long.
FREEZE_MS = (3_600.0,)
# The store lists a process so long after its start: at once, before a grant is
# given up, after all that was granted before has ended.
LISTED_MS = (0.0, 900.0, 5_000.0)
# One that doesn't start at once does so after this.
START_MS = 1_300.0
# The store drops a process that has ended after this.
DROPPED_MS = 2_000.0
# An entry that ran out is back after this.
LAPSE_MS = 1_600.0
# Time jumps no further, so that faults come between what is due, too.
JUMP_MS = 750.0
# What is due is done up to so much later; what waits for the end of a hold is
# done at once, which is the hardest case.
GRID_MS = 750.0
_LOADS = keyloads.KeyLoads({})
# Views by what they show; names and starts of processes are always the same.
_views: dict[tuple, ownership.ServiceView] = {}

_Answer = ownership.CallOutcome


class Fate(enum.Enum):
    """What becomes of a message.

    A grant arrives at once or just before it is given up. QUEUED: it waits for
    a free thread first. HELD, HELD_LONG: it is taken in and applied much later.
    STRAY, STRAY_LONG: it arrives after it was given up.
    """

    ANSWERED = 'answered at once'
    UNANSWERED = 'arrives at once, its answer is lost'
    LATE = 'arrives and is answered just before it is given up'
    LATE_UNANSWERED = 'arrives just before it is given up, no answer'
    LOST = 'never arrives'
    QUEUED = 'waits for a thread, then answered'
    HELD = 'arrives just before it is given up, applied later'
    HELD_LONG = 'arrives just before it is given up, applied much later'
    STRAY = 'arrives after it was given up'
    STRAY_LONG = 'arrives long after it was given up'
    FAILED = 'not done'


class Breach(enum.Enum):
    """What must never be."""

    HOLDERS = 'two processes hold the key'
    FENCE = 'a process takes the key below a fence of another'


_HELD_MS = dict(zip((Fate.HELD, Fate.HELD_LONG), APPLIED_MS, strict=True))
_STRAY_MS = dict(zip((Fate.STRAY, Fate.STRAY_LONG), STRAY_MS, strict=True))


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What this world allows.

    Attributes:
      aborts: Whether a grant that was given up can't arrive any more.
      linked: Whether a grant goes over the link that it is bound to only.
      listed_ms: When the store may list a process after its start, ms.
    """

    aborts: bool = True
    linked: bool = True
    listed_ms: tuple[float, ...] = LISTED_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that is to happen.

    Attributes:
      at: When, ms.
      kind: Which method of `World` does it, and what it is called in traces.
      coordinator: Index of the coordinator that it belongs to; -1 if none.
      name: The process or the address that it belongs to.
      action: What was sent, if it is about that.
      sent_at: When that was sent, ms.
      arrived: When that arrived, ms; negative if it arrives by this.
      link: Number of the connection that carries it.
      answers: Whether the sender gets to know.
    """

    at: float
    kind: str
    coordinator: int = -1
    name: str = ''
    action: ownership.Action | None = None
    sent_at: float = 0.0
    arrived: float = -1.0
    link: int | None = None
    answers: bool = False


@dataclasses.dataclass(slots=True)
class Coordinator:
    """A coordinator, its links, and what it knows of servers.

    Attributes:
      state: What it decides by.
      kept_at: When the store knew it as the coordinator last, ms.
      up: Whether its process runs.
      sees_store: Whether it is the coordinator still.
      known: Ids of servers that it has seen listed.
      ended: Ids of servers that it knows to have ended.
      listed: Ids of servers that it sees listed.
      links: Number of the connection and the process at its other end, by
        server id.
    """

    state: ownership.Coordination
    kept_at: float
    up: bool = True
    sees_store: bool = True
    known: frozenset[str] = frozenset()
    ended: frozenset[str] = frozenset()
    listed: frozenset[str] = frozenset()
    links: dict[str, tuple[int, str]] = dataclasses.field(default_factory=dict)

    def is_active(self, now: float) -> bool:
        """Returns whether it still decides."""
        return (self.up and not self.state.superseded and
                now - self.kept_at <= ownership.MAX_OFFLINE_MS)


class World:
    """Processes, the store, coordinators, and what is under way.

    Attributes:
      now: ms.
      rules: What is allowed.
      processes: By id, in the order of their starts.
      listed: Ids that the store lists.
      coordinators: Coordinators, the one in force last.
      events: What is to happen, in order.
      cut: Paths that let nothing through: index of the coordinator, or -1 for
        all, and address.
      frozen: Addresses whose process applies calls later: when, ms.
      taken: Highest fence under which a process has held the key.
      breaches: What went wrong, the first of each kind.
    """

    def __init__(self, rules: Rules):
        """Makes a calm world in which the first server was just granted all.

        Args:
          rules: What is allowed.
        """
        self.now = 0.0
        self.rules = rules
        self.processes: dict[str, edgeworlds.ServerModel] = {}
        self.listed: frozenset[str] = frozenset()
        self.coordinators: list[Coordinator] = []
        self.events: list[Event] = []
        self.cut: frozenset[tuple[int, str]] = frozenset()
        self.frozen: dict[str, float] = {}
        self.taken: dict[str, int] = {}
        self.number = 0
        self.breaches: dict[Breach, str] = {}
        for address in ADDRESSES:
            self.start_process(address)
        self.listed = frozenset(self.processes)
        first = next(iter(self.processes))
        self.saved = keyranges.Assignment(
            edgeworlds.SERVICE,
            1,
            2, (keyranges.KeyRange(KEY, KEY, first, 1),),
            addresses={first: ADDRESSES[0]})
        self.revision = 1
        self.coordinators.append(
            Coordinator(
                coordination.start_coordination(self.saved, 1, 0.0, None), 0.0))
        self.follow_store()

    def copy(self) -> 'World':
        """Returns a world that goes its own way."""
        new = World.__new__(World)
        new.now, new.rules, new.listed = self.now, self.rules, self.listed
        new.processes = {
            name: _copy_process(item) for name, item in self.processes.items()
        }
        new.coordinators = [
            _copy_coordinator(item) for item in self.coordinators
        ]
        new.events = list(self.events)
        new.cut, new.frozen = self.cut, dict(self.frozen)
        new.taken, new.number = dict(self.taken), self.number
        new.saved, new.revision = self.saved, self.revision
        new.breaches = dict(self.breaches)
        return new

    # Processes and the store's list of them.

    def start_process(self, address: str) -> str:
        """Starts a process at an address; the store doesn't list it yet."""
        lives = sum(
            item.entry.address == address for item in self.processes.values())
        name = f'{address}{lives + 1}'
        entry = tables.Server(name,
                              edgeworlds.SERVICE,
                              address,
                              'd1',
                              2,
                              False,
                              0.0,
                              0.0,
                              name=address,
                              started_at=lives)
        self.processes[name] = edgeworlds.ServerModel(entry,
                                                      edgeworlds.SLOWEST_CLOCK)
        return name

    def find_listening(self, address: str) -> edgeworlds.ServerModel | None:
        """Returns the process that listens at an address."""
        return next((item for item in self.processes.values()
                     if item.up and item.entry.address == address), None)

    def list_process(self, name: str) -> None:
        """Has the store list a process, in place of the one before it."""
        address = self.processes[name].entry.address
        others = {
            other for other, item in self.processes.items()
            if item.entry.address == address
        }
        self.listed = self.listed - others | {name}
        self.follow_store()

    def drop_process(self, name: str) -> None:
        """Has the store drop a process."""
        self.listed -= {name}
        self.follow_store()

    def follow_store(self) -> None:
        """Has the coordinator that sees the store know what it lists."""
        for coordinator in self.coordinators:
            if not coordinator.sees_store:
                continue
            coordinator.listed = self.listed
            coordinator.known |= self.listed
            coordinator.ended |= {
                other for other in coordinator.known
                for name in self.listed if tables.has_replaced(
                    self.processes[name].entry, self.processes[other].entry)
            }

    def is_cut(self, index: int, address: str) -> bool:
        """Returns whether a coordinator's path to an address is cut."""
        return bool(self.cut) and ((-1, address) in self.cut or
                                   (index, address) in self.cut)

    def is_answered(self, index: int, action: ownership.Action) -> bool:
        """Returns whether a message is answered if nothing else fails."""
        if isinstance(action, ownership.Save):
            return True
        address = action.server.address
        if (self.is_cut(index, address) or
                self.frozen.get(address, 0.0) > self.now):
            return False
        if isinstance(action, ownership.Grant):
            return self.is_grant_carried(index, action)
        return self.find_listening(address) is not None

    def holders(self) -> list[str]:
        """Returns the ids of processes that hold the key now."""
        return [
            name for name, item in self.processes.items()
            if item.held and item.holds(KEY, self.now)
        ]

    # Messages.

    def send(self, index: int, action: ownership.Action, fate: Fate) -> None:
        """Sends what a coordinator decided.

        Args:
          index: Of the coordinator.
          action: What to send.
          fate: What becomes of it.
        """
        if isinstance(action, ownership.Grant):
            self._send_grant(index, action, fate)
        elif isinstance(action, ownership.Release):
            self._send_release(index, action, fate)
        elif isinstance(action, ownership.Probe):
            self._send_probe(index, action)
        else:
            self._save(index, action, fate)

    def is_grant_carried(self, index: int, action: ownership.Grant) -> bool:
        """Returns whether a grant gets a connection that may carry it."""
        coordinator, server = self.coordinators[index], action.server
        link = coordinator.links.get(server.id)
        if self.is_cut(index, server.address):
            return link is not None and action.link in (None, link[0])
        process = self.find_listening(server.address)
        if process is None:
            return False
        if not self.rules.linked or action.link is None:
            return True
        return link == (action.link, process.entry.id)

    def _send_grant(self, index, action, fate) -> None:
        now, coordinator, server = self.now, self.coordinators[
            index], action.server
        if action.link is None and not ownership.may_open_connection(
                coordinator.kept_at, now):
            self._note_grant(index, action, _Answer.NOT_SENT, None, now)
            return
        busy_until = max(
            (item.at for item in self.events if item.coordinator == index and
             item.kind == 'end_grant' and item.action.server == server),
            default=0.0)
        if busy_until > now or fate is Fate.QUEUED:
            at = busy_until if busy_until > now else now + QUEUE_MS
            self._add(
                Event(at, 'send_again', index, server.id, action, sent_at=now))
            return
        process = self.find_listening(server.address)
        cut = self.is_cut(index, server.address)
        link = coordinator.links.get(server.id)
        if (link is not None and not cut and
            (process is None or link[1] != process.entry.id)):
            del coordinator.links[server.id]
            link = None
        if (self.rules.linked and action.link is not None and
            (link is None or link[0] != action.link)):
            self._note_grant(index, action, _Answer.UNLINKED, None, now)
            return
        if link is None and (cut or process is None):
            if cut:
                self._add(
                    Event(now + ownership.GRANT_TIMEOUT_MS,
                          'end_grant',
                          index,
                          action=action,
                          sent_at=now))
            else:
                self._note_grant(index, action, _Answer.NOT_SENT, None, now)
            return
        if link is None:
            self.number += 1
            link = coordinator.links[server.id] = (self.number,
                                                   process.entry.id)
        self._carry_grant(index, action, fate, link)

    def _carry_grant(self, index, action, fate, link) -> None:
        """Has a grant go over a link."""
        now, address = self.now, action.server.address
        end = now + ownership.GRANT_TIMEOUT_MS
        usual = fate in (Fate.ANSWERED, Fate.UNANSWERED)
        thaws_at = self.frozen.get(address, 0.0)
        message = Event(now, 'apply', index, link[1], action, now, link=link[0])
        if fate is Fate.LATE:
            self._add(dataclasses.replace(message, at=end, answers=True))
            return
        if fate is Fate.LATE_UNANSWERED:
            self._add(dataclasses.replace(message, at=end))
        elif fate in _HELD_MS:
            self._add(
                dataclasses.replace(message,
                                    at=end + _HELD_MS[fate],
                                    arrived=end))
        elif fate in _STRAY_MS:
            self._add(dataclasses.replace(message, at=end + _STRAY_MS[fate]))
        elif usual and self.is_cut(index, address):
            pass
        elif usual and thaws_at > now:
            self._add(dataclasses.replace(message, at=thaws_at, arrived=now))
        elif fate is Fate.ANSWERED:
            self._do_apply(dataclasses.replace(message, answers=True))
            return
        elif fate is Fate.UNANSWERED:
            self._do_apply(message)
        self._add(
            Event(end,
                  'end_grant',
                  index,
                  action=action,
                  sent_at=now,
                  link=link[0]))

    def _send_release(self, index, action, fate) -> None:
        now, address = self.now, action.server.address
        process = self.find_listening(address)
        cut = self.is_cut(index, address)
        end = Event(now + RELEASE_MS, 'end_release', index, action=action)
        if process is None and not cut:
            self._note_released(index, action, _Answer.NOT_SENT)
            return
        if (process is None or fate is Fate.LOST or
            (cut and fate is not Fate.LATE_UNANSWERED)):
            self._add(end)
            return
        name = process.entry.id
        arrival = Event(now, 'release', index, name, action)
        if fate is Fate.LATE_UNANSWERED:
            self._add(dataclasses.replace(arrival, at=end.at))
            self._add(end)
        elif self.frozen.get(address, 0.0) > now:
            self._add(dataclasses.replace(arrival, at=self.frozen[address]))
            self._add(end)
        else:
            process.release(KEY, KEY)
            if fate is Fate.ANSWERED:
                self._note_released(index, action, _Answer.DONE)
            elif fate is Fate.LATE:
                self._add(
                    dataclasses.replace(end,
                                        at=now + WORK_MS,
                                        name=name,
                                        answers=True))
            else:
                self._add(end)

    def _send_probe(self, index, action) -> None:
        address = action.server.address
        process = self.find_listening(address)
        if (self.is_cut(index, address) or
                self.frozen.get(address, 0.0) > self.now):
            self._add(
                Event(self.now + ownership.GRANT_TIMEOUT_MS,
                      'end_probe',
                      index,
                      action=action))
            return
        answer = _Answer.NOT_SENT if process is None else _Answer.DONE
        coordination.handle_probe_result(self.coordinators[index].state, action,
                                         answer, self.now)

    def _save(self, index, action, fate) -> None:
        coordinator = self.coordinators[index]
        done = (coordinator.sees_store and action.revision == self.revision and
                fate is Fate.ANSWERED)
        if done:
            self.revision += 1
            self.saved = action.assignment
        elif coordinator.sees_store and action.revision != self.revision:
            coordinator.state.superseded = True
        if done:
            coordination.handle_saved(coordinator.state, action, self.revision)
        else:
            coordination.handle_save_failure(coordinator.state, True, self.now)

    # What happens when its time has come.

    def do_due(self) -> str:
        """Does what is due now, and tells what reached the servers."""
        told = []
        while self.events and self.events[0].at <= self.now:
            event = self.events.pop(0)
            getattr(self, f'_do_{event.kind}')(event)
            if event.kind == 'apply':
                told.append(f'a grant with fence {event.action.fence} is '
                            f'applied at {event.name}')
            elif not event.kind.startswith('end'):
                told.append(f'{event.kind} {event.name}')
        return '; '.join(told)

    def _do_apply(self, event: Event) -> None:
        process, grant = self.processes[event.name], event.action
        if not process.up:
            if event.answers:
                self._do_end_grant(event)
            return
        arrived = self.now if event.arrived < 0 else event.arrived
        before = {item.fence for item in process.held if item.until > self.now}
        answer = process.grant(KEY, KEY, grant.fence, grant.hold_ms, arrived,
                               self.now)
        process.seen = [max(process.seen, key=lambda item: item[2])]
        if answer is _Answer.DONE and process.holds(KEY, self.now):
            if grant.fence not in before:
                self._check_taken(event.name, grant.fence)
            self.taken[event.name] = max(grant.fence,
                                         self.taken.get(event.name, 0))
        self._check_holders()
        if event.answers:
            self._note_grant(event.coordinator, grant, answer, event.link,
                             event.sent_at)

    def _check_taken(self, name: str, fence: int) -> None:
        """Checks that a process takes the key above all fences of others."""
        for other, seen in self.taken.items():
            if other != name and seen >= fence:
                self.breaches.setdefault(
                    Breach.FENCE, f'{name} takes the key with fence {fence}, '
                    f'{other} had it with {seen}')

    def _check_holders(self) -> None:
        holders = self.holders()
        if len(holders) > 1:
            self.breaches.setdefault(Breach.HOLDERS,
                                     f'{" and ".join(holders)} hold the key')

    def _do_end_grant(self, event: Event) -> None:
        coordinator = self.coordinators[event.coordinator]
        if event.link is None:
            self._note_grant(event.coordinator, event.action, _Answer.NOT_SENT,
                             None, event.sent_at)
            return
        name = event.action.server.id
        if coordinator.links.get(name, (None,))[0] == event.link:
            del coordinator.links[name]
        self._note_grant(event.coordinator, event.action, _Answer.UNKNOWN,
                         event.link, event.sent_at)

    def _do_send_again(self, event: Event) -> None:
        coordinator, action = self.coordinators[event.coordinator], event.action
        if (coordinator.up and
                self.now - coordinator.kept_at <= ownership.MAX_OFFLINE_MS and
                self.now - action.planned_at <= ownership.MAX_GRANT_AGE_MS):
            self._send_grant(event.coordinator, action, Fate.ANSWERED)
        else:
            self._note_grant(event.coordinator, action, _Answer.NOT_SENT, None,
                             self.now)

    def _do_release(self, event: Event) -> None:
        process = self.processes[event.name]
        if process.up:
            process.release(KEY, KEY)

    def _do_end_release(self, event: Event) -> None:
        done = event.answers and self.processes[event.name].up
        self._note_released(event.coordinator, event.action,
                            _Answer.DONE if done else _Answer.UNKNOWN)

    def _do_end_probe(self, event: Event) -> None:
        coordinator = self.coordinators[event.coordinator]
        coordination.handle_probe_result(coordinator.state, event.action,
                                         _Answer.UNKNOWN, self.now)

    def _do_heal(self, event: Event) -> None:
        self.cut -= {(event.coordinator, event.name)}

    def _do_thaw(self, event: Event) -> None:
        self.frozen.pop(event.name, None)

    def _do_start(self, event: Event) -> None:
        name = self.start_process(event.name)
        self._add(Event(self.now + max(self.rules.listed_ms), 'list',
                        name=name))

    def _do_list(self, event: Event) -> None:
        if self.processes[event.name].up:
            self.list_process(event.name)

    def _do_drop(self, event: Event) -> None:
        self.drop_process(event.name)

    def _note_grant(self, index, action, answer, link, sent_at) -> None:
        coordination.handle_grant_result(self.coordinators[index].state, action,
                                         ownership.GrantResult(answer, link),
                                         sent_at, self.now)

    def _note_released(self, index, action, answer) -> None:
        token = 'token' if answer is _Answer.DONE else ''
        coordination.handle_release_result(self.coordinators[index].state,
                                           action, answer, token, self.now)

    def _add(self, event: Event) -> None:
        index = next((index for index, item in enumerate(self.events)
                      if item.at > event.at), len(self.events))
        self.events.insert(index, event)

    # Faults.

    def cut_path(self, address: str, ms: float, index: int = -1) -> None:
        """Cuts the path to an address for a time.

        Args:
          address: The address.
          ms: How long.
          index: Of the only coordinator whose path it is; -1 for all.
        """
        self.cut |= {(index, address)}
        self._add(Event(self.now + ms, 'heal', index, address))

    def freeze(self, address: str, ms: float) -> None:
        """Has the process at an address apply calls later."""
        self.frozen[address] = self.now + ms
        self._add(Event(self.now + ms, 'thaw', name=address))

    def crash(self, address: str) -> str:
        """Ends the process at an address; returns its id."""
        process = self.find_listening(address)
        process.up = False
        process.held = []
        self.frozen.pop(address, None)
        self.events = [
            item for item in self.events
            if (item.kind, item.name) != ('thaw', address)
        ]
        return process.entry.id

    def crash_for_good(self, address: str) -> None:
        """Ends the process at an address; the store drops it later."""
        name = self.crash(address)
        if name in self.listed:
            self._add(Event(self.now + DROPPED_MS, 'drop', name=name))

    def restart(self, address: str, ms: float) -> None:
        """Ends the process at an address and starts another in its place.

        Args:
          address: The address.
          ms: When the store lists the new one.
        """
        self.crash(address)
        name = self.start_process(address)
        if ms:
            self._add(Event(self.now + ms, 'list', name=name))
        else:
            self.list_process(name)

    def restart_later(self, address: str) -> None:
        """Ends the process at an address; another starts there later."""
        self.crash(address)
        self._add(Event(self.now + START_MS, 'start', name=address))

    def lapse(self, name: str) -> None:
        """Has the store miss a process for a while."""
        self.drop_process(name)
        self._add(Event(self.now + LAPSE_MS, 'list', name=name))

    def drain(self, name: str) -> None:
        """Has a server announce that it is about to leave."""
        process = self.processes[name]
        process.entry = dataclasses.replace(process.entry, draining=True)

    def take_over(self, goes_on: bool, knows: bool) -> None:
        """Another coordinator begins.

        Args:
          goes_on: Whether the one before goes on without the store; its process
            has ended otherwise.
          knows: Whether the new one saw the servers before, and that the one
            before has ended, if so.
        """
        before = self.coordinators[-1]
        before.sees_store, before.up = False, goes_on
        before.kept_at = self.now - ownership.COORDINATOR_LEASE_MS
        self.saved = coordination.make_next_assignment(self.saved)
        self.revision += 1
        state = coordination.start_coordination(self.saved, self.revision,
                                                self.now, 'one.1')
        coordinator = Coordinator(state, self.now)
        if knows:
            coordinator.known, coordinator.ended = before.known, before.ended
            if not goes_on:
                coordination.handle_predecessor_ended(state, self.now)
        self.coordinators.append(coordinator)
        self.follow_store()

    # Decisions, and the time of the next ones.

    def decide(self) -> list[tuple[int, ownership.Action]]:
        """Returns what all coordinators decide now, by their index."""
        decided = []
        for index, coordinator in enumerate(self.coordinators):
            if coordinator.sees_store:
                coordinator.kept_at = self.now
            if coordinator.is_active(self.now):
                decided += [
                    (index, action) for action in coordination.plan_actions(
                        coordinator.state, self._view(coordinator), self.now)
                ]
        return decided

    def _view(self, coordinator: Coordinator) -> ownership.ServiceView:
        draining = tuple(name for name, item in self.processes.items()
                         if item.entry.draining)
        key = (coordinator.known, coordinator.ended, coordinator.listed,
               draining)
        view = _views.get(key)
        if view is None:
            view = _views[key] = self._make_view(coordinator)
        return view

    def _make_view(self, coordinator: Coordinator) -> ownership.ServiceView:
        entries = {
            name: self.processes[name].entry
            for name in sorted(coordinator.known)
        }
        return ownership.ServiceView(
            {
                name: entry
                for name, entry in entries.items()
                if name in coordinator.listed and name not in coordinator.ended
            }, coordinator.ended, {
                name: entry
                for name, entry in entries.items()
                if name not in coordinator.listed
            }, _LOADS, {})

    def find_next(self, jump_ms: float) -> float:
        """Returns when something is due next, ms.

        Args:
          jump_ms: It is at most so much later.
        """
        now = self.now
        exact = [now + jump_ms]
        if self.events:
            exact.append(self.events[0].at)
        coarse = [exact[0]]
        for coordinator in self.coordinators:
            if coordinator.is_active(now):
                coarse += _list_due(coordinator.state, now)
                if coordinator.state.moves:
                    exact += [
                        item.expires_at
                        for item in coordinator.state.server_holds
                    ]
        due = min(time for time in coarse if time > now)
        return min(-(-due // GRID_MS) * GRID_MS,
                   *[time for time in exact if time > now])

    def is_quiet(self) -> bool:
        """Returns whether no fault lasts and the store lists who is up."""
        return not (self.cut or self.frozen or
                    any(item.kind in ('start', 'list', 'drop', 'apply')
                        for item in self.events))

    # Comparison.

    def make_key(self) -> tuple:
        """Returns what tells this world from those with another future."""
        fences: list[int] = []
        now = self.now
        row = (
            # Times are rounded up to the grid.
            round(now % GRID_MS, 1),
            tuple(
                _key_process(item, now, fences, self.taken.get(name, 0))
                for name, item in self.processes.items()),
            self.listed,
            tuple(
                _key_coordinator(item, now, fences, self.revision)
                for item in self.coordinators),
            tuple(self._key_event(item, fences) for item in self.events),
            self.cut,
            tuple((name, round(at - now)) for name, at in self.frozen.items()),
        )
        ranks = {fence: rank for rank, fence in enumerate(sorted(set(fences)))}
        return row, tuple(ranks[fence] for fence in fences)

    def _key_event(self, event: Event, fences: list[int]) -> tuple:
        action = event.action
        detail = ()
        if isinstance(action, ownership.Grant):
            fences.append(action.fence)
            fences.append(action.key_range.fence)
            link = self.coordinators[event.coordinator].links.get(
                action.server.id, (None,))
            detail = (action.server.id, action.key_range.server, action.hold_ms,
                      event.link is not None, link[0] == event.link,
                      round(self.now - event.sent_at),
                      round(self.now -
                            event.arrived) if event.arrived >= 0 else -1,
                      round(self.now - action.planned_at)
                      if event.kind == 'send_again' else 0)
        elif isinstance(action, ownership.Release):
            detail = (action.server.id,)
        elif isinstance(action, ownership.Probe):
            detail = (action.server.id,)
        return (event.kind, round(event.at - self.now), event.coordinator,
                event.name, event.answers, detail)


def _list_due(state: ownership.Coordination, now: float) -> list[float]:
    """Returns when a coordinator does something next, among other times."""
    times = [
        item.due_at for item in state.renewals.values() if not item.pending
    ]
    for name, at in state.answered_at.items():
        fails_at = at + state.hold_ms + 1.0
        times.append(fails_at)
        if fails_at <= now and name not in state.probes_in_flight:
            times.append(state.probed_at + ownership.PROBE_INTERVAL_MS)
    times.append(state.active_since + ownership.RETURN_GRACE_MS)
    if state.moves:
        times.append(state.next_save_at)
    return times


def _copy_process(item: edgeworlds.ServerModel) -> edgeworlds.ServerModel:
    new = edgeworlds.ServerModel(item.entry, item.pace, item.up)
    new.held, new.seen = list(item.held), list(item.seen)
    return new


def _copy_coordinator(item: Coordinator) -> Coordinator:
    return Coordinator(_copy_state(item.state), item.kept_at, item.up,
                       item.sees_store, item.known, item.ended, item.listed,
                       dict(item.links))


def _copy_state(old: ownership.Coordination) -> ownership.Coordination:
    new = object.__new__(ownership.Coordination)
    for name in _PLAIN:
        setattr(new, name, getattr(old, name))
    for name in _TABLES:
        setattr(new, name, getattr(old, name).copy())
    new.renewals = {
        item:
            ownership.Renewal(row.fence, row.link, row.due_at, row.pending,
                              row.owner_answered)
        for item, row in old.renewals.items()
    }
    new.moves = [
        ownership.Move(row.transfer, row.phase, row.planned_at,
                       row.handover_token, row.may_be_saved)
        for row in old.moves
    ]
    return new


_TABLES = ('server_holds', 'handover_tokens', 'grants_in_flight', 'responsive',
           'release_suspended', 'answered_at', 'probes_in_flight',
           'pending_regrants')
_PLAIN = [
    item.name
    for item in dataclasses.fields(ownership.Coordination)
    if item.name not in (*_TABLES, 'renewals', 'moves')
]


def _key_process(item: edgeworlds.ServerModel, now: float, fences: list[int],
                 taken: int) -> tuple:
    fences.append(taken)
    if not item.up:
        return (False,)
    fences.append(item.seen[0][2] if item.seen else 0)
    held = [row for row in item.held if row.until > now]
    fences += [row.fence for row in held]
    return (True, item.entry.draining,
            tuple(round(row.until - now, 1) for row in held))


def _key_coordinator(coordinator: Coordinator, now: float, fences: list[int],
                     revision: int) -> tuple:
    if not coordinator.is_active(now):
        return (coordinator.up, coordinator.state.superseded)
    kept = 0.0 if coordinator.sees_store else coordinator.kept_at - now
    return (kept, coordinator.known, coordinator.ended, coordinator.listed,
            tuple((name, link[1]) for name, link in coordinator.links.items()),
            _key_state(coordinator, now, fences, revision))


def _key_state(coordinator: Coordinator, now: float, fences: list[int],
               revision: int) -> tuple:
    state = coordinator.state
    fences += [state.next_fence, state.assignment.next_fence]
    fences += [item.fence for item in state.assignment.ranges]
    held = [item for item in state.server_holds if item.expires_at > now]
    fences += [item.fence for item in held]
    fences += [item.fence for item in state.renewals.values()]
    fences += [item.fence for item in state.grants_in_flight]
    return (
        tuple(item.server for item in state.assignment.ranges),
        tuple(state.assignment.addresses.items()),
        state.revision == revision,
        max(-ownership.RETURN_GRACE_MS, state.active_since - now),
        tuple((item.server, round(item.expires_at - now, 1), item.acknowledged)
              for item in held),
        tuple((_key_link(coordinator, item, row),
               max(0.0, round(row.due_at - now, 1)), row.pending,
               row.owner_answered) for item, row in state.renewals.items()),
        bool(state.handover_tokens),
        tuple((row.transfer, row.phase,
               bool(row.handover_token), row.may_be_saved,
               state.answered_at.get(row.transfer.source, now) > row.planned_at)
              for row in state.moves),
        max(0.0, state.next_save_at - now),
        state.predecessor,
        tuple(item.server for item in state.grants_in_flight),
        frozenset(state.responsive),
        frozenset(state.release_suspended),
        tuple((name, max(-state.hold_ms - 1.0, at - now))
              for name, at in state.answered_at.items()),
        max(-ownership.PROBE_INTERVAL_MS, state.probed_at - now),
        frozenset(state.probes_in_flight),
        tuple(state.pending_regrants),
    )


def _key_link(coordinator: Coordinator, item: keyranges.KeyRange,
              row: ownership.Renewal) -> bool | None:
    if row.link is None:
        return None
    return coordinator.links.get(item.server, (None,))[0] == row.link


def read_fates(world: World, index: int,
               action: ownership.Action) -> Mapping[Fate, int]:
    """Returns what may become of a message, and how many faults that takes."""
    if isinstance(action, ownership.Save):
        failed = [Fate.FAILED]
    elif isinstance(action, ownership.Release):
        failed = [Fate.LATE_UNANSWERED]
        if not world.is_cut(index, action.server.address):
            failed += [Fate.UNANSWERED, Fate.LATE, Fate.LOST]
    elif isinstance(action, ownership.Grant):
        failed = _list_grant_fates(world, index, action)
    else:
        failed = []
    return {Fate.ANSWERED: 0} | dict.fromkeys(failed, 1)


def _list_grant_fates(world: World, index: int,
                      action: ownership.Grant) -> list[Fate]:
    """Returns what may become of a grant if something fails."""
    address = action.server.address
    if not world.is_grant_carried(index, action):
        return [Fate.QUEUED]
    if world.frozen.get(address, 0.0) > world.now:
        return [Fate.LOST]
    fates = [Fate.LATE_UNANSWERED, Fate.HELD, Fate.HELD_LONG]
    if not world.rules.aborts:
        fates += [Fate.STRAY, Fate.STRAY_LONG]
    if not world.is_cut(index, address):
        fates += [Fate.UNANSWERED, Fate.LATE, Fate.LOST, Fate.QUEUED]
    return fates
