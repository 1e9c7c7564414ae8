"""The coordinator's decisions: who is granted which keys, and when.

One entry coordinates a keyed service at a time. It renews what servers hold,
moves keys off servers that leave or fail, and evens out load. It decides
without doing I/O: `plan` returns what to call, the `note_` functions take in
what came of it.

No two servers hold a key at once. A key goes to another server only after the
one that held it answered a release, after its hold has surely run out, or
after its process has surely ended. A new coordinator grants everything once
more under a fence above all earlier ones: a server that answers this refuses
whatever an earlier coordinator may still send. For servers that don't answer,
it waits until an earlier coordinator can't have renewed their keys any more.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from msgspec import structs

from lentilmoor.edge import holds
from lentilmoor.edge import keyloads
from lentilmoor.edge import keyranges
from lentilmoor.edge import rebalancing
from lentilmoor.edge import tables

# How long a server holds keys without a renewal. Keys of a server that went
# silent stay unserved for so long; a coordinator that is lost must be
# replaced within what a renewal leaves of it.
HOLD_MS = 4_000.0
# A hold is renewed this long after it was last granted.
RENEW_MS = 1_000.0
# A grant without an answer is sent again after this.
AGAIN_MS = 300.0
# A coordinator that can't reach the store goes on renewing for so long, so
# that keys stay served through the store's outages, the longest of which took
# 9 s. A successor counts with it for servers that it can't reach.
TENURE_MS = 12_000.0
# A save that failed is tried again after this.
SAVE_AGAIN_MS = 300.0
# Servers that don't answer are tried again this often.
PROBE_MS = 1_000.0
# A grant that could not be sent for so long after it was decided is dropped.
STALE_MS = 500.0
# Pause between two plans that even out load.
BALANCE_MS = 500.0
# A server that leaves the list while the store was away may come back for so
# long after its return.
RETURN_MS = 2_500.0


class Phase(enum.Enum):
    """How far a move of keys has come."""

    RELEASE = 'release'
    RELEASING = 'releasing'
    WAIT = 'wait'
    SAVING = 'saving'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Grant keys to a server, or renew them.

    Attributes:
      service: Name of the service.
      server: The server.
      item: The keys, and their fence.
      hold_ms: How long it is to hold them.
      token: What their last holder handed over; empty if nothing.
      planned_at: When it was decided, ms. It is not to be sent much later.
    """

    service: str
    server: tables.Server
    item: keyranges.KeyRange
    hold_ms: float
    token: str
    planned_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Take keys back from a server."""

    service: str
    server: tables.Server
    item: keyranges.KeyRange


@dataclasses.dataclass(frozen=True, slots=True)
class Save:
    """Write an assignment over the revision that it follows."""

    service: str
    assignment: keyranges.Assignment
    revision: int


Action = Grant | Release | Save


class Answer(enum.Enum):
    """What came of a grant or a release."""

    DONE = 'done'
    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True)
class Move:
    """Keys on their way from one server to another.

    Attributes:
      transfer: Which keys, from whom, to whom.
      phase: How far it has come.
      token: What the source handed over; empty if nothing.
      began_at: When it was planned, ms.
    """

    transfer: rebalancing.Transfer
    phase: Phase
    began_at: float
    token: str = ''


@dataclasses.dataclass(slots=True)
class Renewal:
    """When a range was granted.

    Attributes:
      due_at: When to grant it again, ms.
      pending: Whether a grant is under way.
      answered: Whether its owner has answered its fence.
    """

    due_at: float = 0.0
    pending: bool = False
    answered: bool = False


@dataclasses.dataclass(slots=True)
class Coordination:
    """State of the coordinator of one keyed service.

    Attributes:
      assignment: Who owns what, as saved.
      revision: The store's revision of it.
      since: When this entry became coordinator, ms.
      held: What servers may hold.
      renewals: By range.
      tokens: Hand-over tokens of ranges that were not granted yet.
      moves: Keys on their way.
      saving: Whether a save is under way.
      save_at: No save is tried before, ms.
      predecessor: Instance id of the coordinator before; empty if none.
      balanced_at: When load was last evened out, ms.
      sent: Grants under way; what they grant is not in `held` yet.
      proven: Servers that answered their last call.
      unreleased: Servers that didn't answer a release: none is tried again
        before they have answered something.
      answered: When servers last answered a call, ms; when they were first
        seen, for those that were not called yet.
      probed_at: When servers that don't answer were last tried, ms.
      loose: Keys that could not move, as a grant without an answer may still
        be applied after a release. Their owner is granted them once more under
        a higher fence: from its answer on it refuses the lower one.
      lost: Whether another coordinator was seen.
    """

    assignment: keyranges.Assignment
    revision: int
    since: float
    held: list[holds.Hold] = dataclasses.field(default_factory=list)
    renewals: dict[keyranges.KeyRange,
                   Renewal] = dataclasses.field(default_factory=dict)
    tokens: dict[keyranges.KeyRange,
                 str] = dataclasses.field(default_factory=dict)
    moves: list[Move] = dataclasses.field(default_factory=list)
    saving: bool = False
    save_at: float = 0.0
    predecessor: str = ''
    balanced_at: float = 0.0
    sent: list[keyranges.KeyRange] = dataclasses.field(default_factory=list)
    proven: set[str] = dataclasses.field(default_factory=set)
    unreleased: set[str] = dataclasses.field(default_factory=set)
    answered: dict[str, float] = dataclasses.field(default_factory=dict)
    probed_at: float = 0.0
    loose: list[rebalancing.Transfer] = dataclasses.field(default_factory=list)
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the coordinator sees of the servers of its service.

    Attributes:
      servers: By id; those that left are missing.
      ended: Ids whose process has surely ended.
      left: Addresses that servers were last known at, by id.
      loads: Load by key.
      capacities: Relative speed by server id; 1 if unknown.
      works: Mean time of work by server id, ms.
    """

    servers: Mapping[str, tables.Server]
    ended: frozenset[str]
    left: Mapping[str, tables.Server]
    loads: keyloads.KeyLoads
    capacities: Mapping[str, float]
    works: Mapping[str, float] = dataclasses.field(default_factory=dict)


def make_first(service: str,
               servers: Mapping[str, tables.Server],
               author: str = '') -> keyranges.Assignment:
    """Returns the assignment of a service that never had one."""
    ready = [item.id for item in servers.values() if not item.draining]
    return keyranges.Assignment(service,
                                1,
                                2,
                                keyranges.divide_evenly(ready, {}, 1),
                                author=author)


def make_next(before: keyranges.Assignment,
              author: str = '') -> keyranges.Assignment:
    """Returns the assignment that a new coordinator begins with."""
    fence = before.next_fence
    ranges = keyranges.merge(
        structs.replace(item, fence=fence) for item in before.ranges)
    return dataclasses.replace(before,
                               term=before.term + 1,
                               next_fence=fence + 1,
                               ranges=ranges,
                               author=author)


def begin(assignment: keyranges.Assignment, revision: int, now: float,
          predecessor: str | None) -> Coordination:
    """Returns the state of a coordinator whose assignment was saved.

    Args:
      assignment: What was saved.
      revision: The store's revision of it.
      now: ms.
      predecessor: Instance id of the coordinator before; None if the service
        never had an assignment.
    """
    state = Coordination(assignment, revision, now)
    if predecessor is not None:
        state.predecessor = predecessor
        until = holds.find_end(now + TENURE_MS, HOLD_MS)
        state.held = [
            # Under the fences of earlier coordinators, which are lower.
            holds.Hold(item.first, item.last, item.server, item.fence - 1,
                       until, False) for item in assignment.ranges
        ]
    return state


def note_predecessor_ended(state: Coordination, now: float) -> None:
    """Takes in that the coordinator before can't renew anything any more."""
    if not state.predecessor:
        return
    state.predecessor = ''
    latest = holds.find_end(now, HOLD_MS)
    state.held = [
        dataclasses.replace(item, until=min(item.until, latest))
        for item in state.held
    ]


def plan(state: Coordination, view: View, now: float) -> list[Action]:
    """Returns what is to be done now."""
    state.held = holds.expire(state.held, now)
    for server in view.ended:
        state.held = holds.forget(state.held, server)
    for server in view.servers:
        state.answered.setdefault(server, now)
    _plan_moves(state, view, now)
    actions: list[Action] = []
    actions += _plan_releases(state, view, now)
    actions += _plan_save(state, view, now)
    actions += _plan_grants(state, view, now)
    actions += _plan_probes(state, view, now)
    return actions


def note_granted(state: Coordination, grant: Grant, answer: Answer,
                 sent_at: float, now: float) -> None:
    """Takes in what came of a grant.

    Args:
      state: The coordinator.
      grant: What was sent.
      answer: What came of it.
      sent_at: When it was sent, ms.
      now: ms.
    """
    item = grant.item
    state.sent.remove(item)
    if answer is Answer.DONE:
        state.answered[item.server] = sent_at
        state.proven.add(item.server)
        state.unreleased.discard(item.server)
    else:
        state.proven.discard(item.server)
    renewal = state.renewals.get(item)
    if answer is Answer.REFUSED:
        # What was merged or moved since has a higher fence of our own.
        state.lost |= item in state.assignment.ranges
        if renewal is not None:
            renewal.pending = False
        return
    if answer is not Answer.NOT_SENT:
        done = answer is Answer.DONE
        until = holds.find_end(sent_at, grant.hold_ms)
        state.held = holds.add(
            state.held,
            holds.Hold(item.first, item.last, item.server, item.fence, until,
                       done))
    if renewal is None:
        return
    renewal.pending = False
    if answer is Answer.DONE:
        renewal.answered = True
        renewal.due_at = sent_at + RENEW_MS
        state.tokens.pop(item, None)
    else:
        renewal.due_at = now + AGAIN_MS


def note_released(state: Coordination, release: Release, answer: Answer,
                  token: str, now: float) -> None:
    """Takes in what came of a release."""
    name = release.item.server
    if answer is Answer.DONE:
        state.answered[name] = now
        state.proven.add(name)
        state.unreleased.discard(name)
    else:
        state.proven.discard(name)
        state.unreleased.add(name)
    for move in state.moves:
        transfer = move.transfer
        if (move.phase is not Phase.RELEASING or
                transfer.source != release.item.server or
                transfer.first != release.item.first or
                transfer.last != release.item.last):
            continue
        move.phase = Phase.WAIT
        if answer is Answer.DONE:
            move.token = token
            state.held = holds.release(state.held, transfer.source,
                                       transfer.first, transfer.last)


def note_saved(state: Coordination, save: Save, revision: int | None,
               now: float) -> None:
    """Takes in what came of a save; without a revision it was not done."""
    state.saving = False
    if revision is None:
        state.save_at = now + SAVE_AGAIN_MS
        for move in state.moves:
            if move.phase is Phase.SAVING:
                move.phase = Phase.WAIT
        return
    before = set(state.assignment.ranges)
    state.assignment, state.revision = save.assignment, revision
    saved = [move for move in state.moves if move.phase is Phase.SAVING]
    state.moves = [
        move for move in state.moves if move.phase is not Phase.SAVING
    ]
    for item in save.assignment.ranges:
        if item in before:
            continue
        state.renewals[item] = _inherit(state, item, before)
        for move in saved:
            if move.token and (move.transfer.first,
                               move.transfer.last) == (item.first, item.last):
                state.tokens[item] = move.token
    known = set(save.assignment.ranges)
    for item in list(state.renewals):
        if item not in known:
            del state.renewals[item]


def _inherit(state: Coordination, item: keyranges.KeyRange,
             before: set[keyranges.KeyRange]) -> Renewal:
    """A piece that stayed with its owner keeps its renewal times."""
    for old in before:
        if (old.server == item.server and old.fence == item.fence and
                old.first <= item.first and old.last >= item.last):
            renewal = state.renewals.get(old, Renewal())
            return dataclasses.replace(renewal, pending=False)
    return Renewal()


def _plan_moves(state: Coordination, view: View, now: float) -> None:
    if state.saving:
        return
    capacities = {
        name: view.capacities.get(name, 1.0)
        for name, server in view.servers.items()
        if not server.draining and not _is_failing(state, name, now)
    }
    if not capacities:
        return
    state.moves = [
        move for move in state.moves if move.phase is not Phase.WAIT or
        move.token or not _is_back(state, view, move, now)
    ]
    owned = _list_unmoved(state)
    for item in owned:
        if item.server in capacities:
            continue
        if not _must_move(state, view, item, now):
            continue
        release = item.server not in view.ended and not _is_failing(
            state, item.server, now)
        for transfer in rebalancing.plan_leave(item, owned, view.loads,
                                               capacities):
            state.moves.append(
                Move(transfer, Phase.RELEASE if release else Phase.WAIT, now))
    under_way = any(move.phase is not Phase.WAIT for move in state.moves)
    if under_way or now - state.balanced_at < BALANCE_MS:
        return
    state.balanced_at = now
    owned = _list_unmoved(state)
    transfers = rebalancing.plan_transfers(owned, view.loads, capacities)
    if not transfers:
        transfers = rebalancing.plan_joins(owned, view.loads, capacities)
    for transfer in transfers:
        if _is_loose(state, transfer):
            state.loose.append(transfer)
        else:
            state.moves.append(Move(transfer, Phase.RELEASE, now))


def _is_back(state: Coordination, view: View, move: Move, now: float) -> bool:
    """Returns whether a server that lost keys may keep them after all."""
    source = move.transfer.source
    server = view.servers.get(source)
    return (server is not None and not server.draining and
            source not in view.ended and not _is_failing(state, source, now) and
            state.answered[source] > move.began_at)


def _is_loose(state: Coordination, transfer: rebalancing.Transfer) -> bool:
    """Returns whether a grant without an answer would outlast a release."""
    return any(item.server == transfer.source and not item.certain and
               keyranges.overlaps(item, transfer.first, transfer.last)
               for item in state.held)


def _list_unmoved(state: Coordination) -> list[keyranges.KeyRange]:
    """Returns the assignment less what is on its way already."""
    return _leave_out(state.assignment.ranges, state.moves)


def _leave_out(ranges: Iterable[keyranges.KeyRange],
               moves: Iterable[Move]) -> list[keyranges.KeyRange]:
    """Returns ranges less the keys of moves."""
    marks = [
        keyranges.KeyRange(move.transfer.first, move.transfer.last, '', -1)
        for move in moves
    ]
    laid = keyranges.reassign(ranges, marks)
    return [item for item in laid if item.server]


def _must_move(state: Coordination, view: View, item: keyranges.KeyRange,
               now: float) -> bool:
    server = view.servers.get(item.server)
    if server is None or server.draining or item.server in view.ended:
        return True
    if not _is_failing(state, item.server, now):
        return False
    return holds.find_until(state.held, item.server, item.first,
                            item.last) <= now


def _is_failing(state: Coordination, name: str, now: float) -> bool:
    """Returns whether a server has not answered for as long as a hold."""
    return now - state.answered.get(name, now) > HOLD_MS


def _plan_probes(state: Coordination, view: View, now: float) -> list[Action]:
    """Calls servers that are to lose their keys as they didn't answer.

    They are sent no grants any more. Releasing a key that is taken away
    anyhow tells whether they answer again.
    """
    if now - state.probed_at < PROBE_MS:
        return []
    state.probed_at = now
    return [
        Release(state.assignment.service, server,
                keyranges.KeyRange(0, 0, name, 0))
        for name, server in view.servers.items()
        if _is_failing(state, name, now)
    ]


def _plan_releases(state: Coordination, view: View, now: float) -> list[Action]:
    actions: list[Action] = []
    calling = {
        move.transfer.source
        for move in state.moves
        if move.phase is Phase.RELEASING and
        move.transfer.source not in state.proven
    }
    for move in state.moves:
        if move.phase is not Phase.RELEASE:
            continue
        transfer = move.transfer
        server = _find_server(state, view, transfer.source)
        pieces = keyranges.intersect(state.assignment.ranges, transfer.first,
                                     transfer.last)
        if _is_under_way(state, transfer):
            continue  # A grant that arrives after the release would undo it.
        if transfer.source in state.unreleased:
            move.phase = Phase.WAIT
            continue
        if transfer.source in calling:
            continue  # Whether it answers is known soon.
        if server is None or len(pieces) != 1:
            move.phase = Phase.WAIT
            continue
        if not holds.find_until(state.held, transfer.source, transfer.first,
                                transfer.last) > now:
            move.phase = Phase.WAIT
            continue
        move.phase = Phase.RELEASING
        if transfer.source not in state.proven:
            calling.add(transfer.source)
        actions.append(Release(state.assignment.service, server, pieces[0]))
    return actions


def _find_server(state: Coordination, view: View,
                 name: str) -> tables.Server | None:
    """Returns a server as it is listed, or as it was last known."""
    server = view.servers.get(name) or view.left.get(name)
    address = state.assignment.addresses.get(name)
    if server is None and address:
        server = tables.Server(name, state.assignment.service, address, '', 1,
                               True, 0.0, 0.0)
    return server


def list_unserved(state: Coordination) -> list[tuple[int, int]]:
    """Returns first and last keys that wait for a server's hold to run out."""
    return [(move.transfer.first, move.transfer.last)
            for move in state.moves
            if move.phase is Phase.WAIT]


def _plan_save(state: Coordination, view: View, now: float) -> list[Action]:
    if state.saving or now < state.save_at:
        return []
    state.moves = [move for move in state.moves if _is_sound(state, move)]
    ready = []
    for move in state.moves:
        transfer = move.transfer
        until = holds.find_until(state.held, transfer.source, transfer.first,
                                 transfer.last)
        if (move.phase is Phase.WAIT and until <= now and
                not _is_under_way(state, transfer)):
            ready.append(move)
    _redirect(state, view, ready)
    for move in ready:
        move.phase = Phase.SAVING
    laid = [(move.transfer.first, move.transfer.last, move.transfer.target)
            for move in ready]
    laid += _take_loose(state)
    if not laid:
        return []
    assignment = state.assignment
    changed = [
        keyranges.KeyRange(first, last, server, assignment.next_fence + number)
        for number, (first, last, server) in enumerate(laid)
    ]
    state.saving = True
    ranges = keyranges.reassign(assignment.ranges, changed)
    ranges, next_fence = keyranges.join_neighbours(
        ranges, assignment.next_fence + len(changed),
        [(item.first, item.last) for item in changed])
    following = dataclasses.replace(assignment,
                                    next_fence=next_fence,
                                    ranges=ranges,
                                    works=view.works,
                                    addresses=_list_addresses(
                                        state, view, ranges))
    return [Save(assignment.service, following, state.revision)]


def _take_loose(state: Coordination) -> list[tuple[int, int, str]]:
    """Returns ranges whose owners are to get them under a higher fence."""
    loose, state.loose = state.loose, []
    unmoved = _list_unmoved(state)
    return [(item.first, item.last, item.server)
            for item in unmoved
            if item.server in state.proven and any(
                transfer.source == item.server and
                keyranges.overlaps(item, transfer.first, transfer.last)
                for transfer in loose)]


def _list_addresses(state: Coordination, view: View,
                    ranges: tuple[keyranges.KeyRange, ...]) -> dict[str, str]:
    addresses = {}
    for item in ranges:
        server = _find_server(state, view, item.server)
        if server is not None:
            addresses[item.server] = server.address
    return addresses


def _is_sound(state: Coordination, move: Move) -> bool:
    """Returns whether all keys of a move are still its source's."""
    transfer = move.transfer
    pieces = keyranges.intersect(state.assignment.ranges, transfer.first,
                                 transfer.last)
    return all(piece.server == transfer.source for piece in pieces)


def _is_under_way(state: Coordination, transfer: rebalancing.Transfer) -> bool:
    """Returns whether a grant of keys that are to move may still arrive."""
    return any(item.server == transfer.source and
               keyranges.overlaps(item, transfer.first, transfer.last)
               for item in state.sent)


def _redirect(state: Coordination, view: View, ready: list[Move]) -> None:
    """Gives keys another target if theirs has left meanwhile."""
    staying = [
        name for name, server in view.servers.items() if not server.draining
    ]
    for move in ready:
        transfer = move.transfer
        if transfer.target not in staying and staying:
            counts = dict.fromkeys(staying, 0)
            for item in state.assignment.ranges:
                if item.server in counts:
                    counts[item.server] += item.last - item.first + 1
            target = min(counts, key=counts.__getitem__)
            move.transfer = dataclasses.replace(transfer, target=target)


def _plan_grants(state: Coordination, view: View, now: float) -> list[Action]:
    actions: list[Action] = []
    calling = {item.server for item in state.sent}
    for item in state.assignment.ranges:
        server = view.servers.get(item.server)
        if server is None or item.server in view.ended:
            continue
        if _is_failing(state, item.server, now):
            continue  # It is probed, and its keys are about to move.
        renewal = state.renewals.setdefault(item, Renewal())
        if renewal.pending or renewal.due_at > now:
            continue
        if item.server not in state.proven:
            if item.server in calling:
                continue  # One that doesn't answer must not hold up others.
            calling.add(item.server)
        pieces = _list_kept(item, state.moves)
        if pieces != [item]:
            # A part is on its way out: renewing it would undo the release.
            renewal.due_at = now + AGAIN_MS
            if renewal.answered:
                state.sent += pieces
                actions += [
                    Grant(state.assignment.service, server, piece, HOLD_MS, '',
                          now) for piece in pieces
                ]
                renewal.due_at = now + RENEW_MS
            continue
        renewal.pending = True
        state.sent.append(item)
        actions.append(
            Grant(state.assignment.service, server, item, HOLD_MS,
                  state.tokens.get(item, ''), now))
    return actions


def _list_kept(item: keyranges.KeyRange,
               moves: list[Move]) -> list[keyranges.KeyRange]:
    leaving = [move for move in moves if move.transfer.source == item.server]
    return _leave_out([item], leaving) if leaving else [item]
