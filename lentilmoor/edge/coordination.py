"""The coordinator's decisions: who is granted which keys, and when.

One entry coordinates a keyed service at a time. It renews what servers hold,
moves keys off servers that leave or fail, and evens out load. It decides
without doing I/O: `plan` returns what to call, the `note_` functions take in
what came of it.

No two servers hold a key at once. A key goes to another server only after the
one that held it answered a release, or after its hold has surely run out; at
once only to the process that has followed it at its address. A new coordinator
grants everything once more under a fence above all earlier ones: a server that
answers this refuses whatever an earlier coordinator may still send. For servers
that don't answer, it waits until an earlier coordinator can't have renewed
their keys any more.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from msgspec import structs

from lentilmoor.edge import holds
from lentilmoor.edge import keyranges
from lentilmoor.edge import moves
from lentilmoor.edge import ownership
from lentilmoor.edge import renewals
from lentilmoor.edge import revisions
from lentilmoor.edge import tables

# Stands for whichever servers may hold keys by grants that aren't known.
_UNKNOWN_SERVER = ''


def make_first_assignment(service: str,
                          servers: Mapping[str, tables.Server],
                          author: str = '',
                          era: int = 0) -> keyranges.Assignment:
    """Returns the assignment of a service that never had one."""
    ready = [item.id for item in servers.values() if not item.draining]
    fence = keyranges.find_first_fence(era)
    return keyranges.Assignment(
        service,
        1,
        fence + 1,
        keyranges.divide_by_weight(ready, {}, fence),
        addresses={name: servers[name].address for name in ready},
        author=author,
        era=era)


def make_next_assignment(before: keyranges.Assignment,
                         author: str = '',
                         era: int = 0) -> keyranges.Assignment:
    """Returns the assignment that a new coordinator begins with.

    Args:
      before: The newest one that is known.
      author: Instance id of the new coordinator.
      era: The store's era.
    """
    # Its author may have used fences that were not saved.
    fence = max(before.next_fence + ownership.MAX_UNSAVED_FENCES,
                keyranges.find_first_fence(era))
    ranges = keyranges.merge_adjacent(
        structs.replace(item, fence=fence) for item in before.ranges)
    return dataclasses.replace(before,
                               term=before.term + 1,
                               next_fence=fence + 1,
                               ranges=ranges,
                               author=author,
                               era=max(before.era, era))


@dataclasses.dataclass(frozen=True, slots=True)
class Succession:
    """What a new coordinator begins with.

    Attributes:
      assignment: The assignment that it saves first.
      predecessor: Instance id of the coordinator before; None if the service
        never had an assignment.
      may_lack_moves: Whether keys may have moved since, unknown to it.
    """

    assignment: keyranges.Assignment
    predecessor: str | None
    may_lack_moves: bool


def plan_succession(service: str, known: Iterable[keyranges.Assignment | None],
                    servers: Mapping[str, tables.Server], author: str,
                    era: int) -> Succession:
    """Returns what a new coordinator begins with.

    Args:
      service: Name of the service.
      known: Assignments that the store or other entries told; None for none.
      servers: The service's servers, by id.
      author: Instance id of the new coordinator.
      era: The store's era.
    """
    before = keyranges.find_newest(known)
    if before is None:
        return Succession(make_first_assignment(service, servers, author, era),
                          None, False)
    # Only its author knows all that followed what was saved before a restore.
    may_lack_moves = before.era < era and before.author != author
    following = make_next_assignment(before, author, era)
    if may_lack_moves:
        # Its own successor may lack them too, until it has waited.
        following = dataclasses.replace(following, era=before.era)
    return Succession(following, before.author, may_lack_moves)


def start_coordination(assignment: keyranges.Assignment,
                       revision: int,
                       now: float,
                       predecessor: str | None,
                       longest_ms: float = ownership.HOLD_MS,
                       may_lack_moves: bool = False) -> ownership.Coordination:
    """Returns the state of a coordinator whose assignment was saved.

    Args:
      assignment: What was saved.
      revision: The store's revision of it.
      now: ms.
      predecessor: Instance id of the coordinator before; None if the service
        never had an assignment.
      longest_ms: Longest hold that the operator allows.
      may_lack_moves: Whether keys may have moved since, unknown to this
        coordinator. It waits until nobody can hold them any more.
    """
    state = ownership.Coordination(assignment,
                                   revision,
                                   now,
                                   assignment.next_fence,
                                   min(ownership.HOLD_MS, longest_ms),
                                   era=max(assignment.era,
                                           revisions.find_era(revision)))
    if predecessor is not None:
        state.predecessor = predecessor
        latest = (now + ownership.MAX_OFFLINE_MS + ownership.POOL_TIMEOUT_MS +
                  ownership.GRANT_TIMEOUT_MS)
        until = holds.compute_expiry(latest, state.hold_ms)
        state.server_holds = [
            # Under the fences of earlier coordinators, which are lower.
            holds.Hold(item.first, item.last, item.server, item.fence - 1,
                       until, False) for item in assignment.ranges
        ]
    if may_lack_moves:
        _await_holds(state, now)
    return state


def _await_holds(state: ownership.Coordination, now: float) -> None:
    """Has no key granted until all grants of others have surely ended.

    An earlier coordinator that is up sees within a lease that it is replaced.
    """
    latest = (now + ownership.COORDINATOR_LEASE_MS + ownership.POOL_TIMEOUT_MS +
              ownership.GRANT_TIMEOUT_MS)
    until = holds.compute_expiry(latest, state.hold_ms)
    state.active_since = until
    state.server_holds.append(
        holds.Hold(0, tables.KEY_COUNT - 1, _UNKNOWN_SERVER, 0, until, False))
    for item in state.assignment.ranges:
        state.renewals[item] = ownership.Renewal(item.fence, due_at=until)


def handle_store_restored(state: ownership.Coordination, revision: int,
                          saved_revision: int) -> None:
    """Takes in that the store was restored from an older copy.

    What this coordinator saved last may be lost. It goes on with what it knows
    and saves that again, under fences that the store can't have given out.

    Args:
      state: The coordinator.
      revision: The store's revision when it was read after the restore.
      saved_revision: The revision of the assignment there; 0 if there is none.
    """
    state.era = revisions.find_era(revision)
    state.restored_revision = revision
    state.revision = saved_revision
    state.next_fence = max(state.next_fence,
                           keyranges.find_first_fence(state.era))
    if state.predecessor:
        state.predecessor_save_revision = revision


def handle_predecessor_ended(state: ownership.Coordination, now: float) -> None:
    """Takes in that the coordinator before can't renew anything any more."""
    if not state.predecessor:
        return
    state.predecessor = ''
    latest = holds.compute_expiry(now, state.hold_ms)
    state.server_holds = [
        dataclasses.replace(item, expires_at=min(item.expires_at, latest))
        for item in state.server_holds
    ]


def plan_actions(state: ownership.Coordination, view: ownership.ServiceView,
                 now: float) -> list[ownership.Action]:
    """Returns what is to be done now."""
    state.server_holds = holds.drop_expired(state.server_holds, now)
    for server in view.ended:
        replacement = ownership.find_replacement(state, view, server)
        if replacement is not None:
            state.server_holds = holds.transfer_to_replacement(
                state.server_holds, server, replacement)
    for server in view.servers:
        state.answered_at.setdefault(server, now)
    moves.plan_moves(state, view, now)
    actions: list[ownership.Action] = []
    actions += moves.plan_releases(state, view, now)
    actions += moves.plan_save(state, view, now)
    actions += renewals.plan_grants(state, view, now)
    actions += renewals.plan_probes(state, view, now)
    return actions


def handle_grant_result(state: ownership.Coordination, grant: ownership.Grant,
                        granted: ownership.GrantResult, sent_at: float,
                        now: float) -> None:
    """Takes in what came of a grant.

    Args:
      state: The coordinator.
      grant: What was sent.
      granted: What came of it.
      sent_at: When it was sent, ms.
      now: When it was answered or given up, ms; it can't arrive any more.
    """
    item, answer = grant.key_range, granted.outcome
    state.grants_in_flight.remove(item)
    if answer is ownership.CallOutcome.DONE:
        _note_answering(state, item.server, sent_at)
    else:
        state.responsive.discard(item.server)
    if answer in (ownership.CallOutcome.DONE, ownership.CallOutcome.UNKNOWN):
        _note_hold(state, grant, answer is ownership.CallOutcome.DONE, now)
    renewal = ownership.find_renewal(state, item)
    if answer is ownership.CallOutcome.REFUSED:
        # What was merged or moved since has a higher fence of our own.
        state.superseded |= (item in state.assignment.ranges and
                             (renewal is None or renewal.fence == grant.fence))
    if renewal is not None:
        _note_renewal(state, renewal, grant, granted, sent_at, now)


def _note_hold(state: ownership.Coordination, grant: ownership.Grant,
               answered: bool, now: float) -> None:
    """Notes what a server may hold by a grant, which may just have arrived."""
    item = grant.key_range
    until = holds.compute_expiry(now, grant.hold_ms)
    state.server_holds = holds.add(
        state.server_holds,
        holds.Hold(item.first, item.last, item.server, grant.fence, until,
                   answered))


def _note_renewal(state: ownership.Coordination, renewal: ownership.Renewal,
                  grant: ownership.Grant, granted: ownership.GrantResult,
                  sent_at: float, now: float) -> None:
    """Works out when and how keys are granted again."""
    whole = grant.key_range in state.renewals
    if whole:
        renewal.pending = False
    if (granted.outcome is ownership.CallOutcome.REFUSED or
            renewal.fence != grant.fence):
        return
    if granted.outcome is ownership.CallOutcome.DONE:
        _note_renewed(state, renewal, grant, granted.link)
        if whole:
            renewal.due_at = sent_at + grant.hold_ms * ownership.RENEW_FRACTION
        return
    if granted.outcome is not ownership.CallOutcome.NOT_SENT:
        ownership.replace_fence(state, renewal, granted.link)
    # A new fence needs no wait if the old one was not sent.
    at_once = (granted.outcome is ownership.CallOutcome.UNLINKED and
               renewal.link is None)
    renewal.due_at = now if at_once else now + ownership.GRANT_RETRY_MS


def _note_renewed(state: ownership.Coordination, renewal: ownership.Renewal,
                  grant: ownership.Grant, link: int | None) -> None:
    """Notes that keys were granted over a connection."""
    state.handover_tokens.pop(grant.key_range, None)
    renewal.owner_answered = True
    if renewal.link in (None, link):
        renewal.link = link
    else:
        # Another part of the range went over another connection.
        ownership.replace_fence(state, renewal, link)


def handle_release_result(state: ownership.Coordination,
                          release: ownership.Release,
                          answer: ownership.CallOutcome, token: str,
                          now: float) -> None:
    """Takes in what came of a release."""
    _note_answer(state, release.key_range.server, answer, now)
    for move in state.moves:
        transfer = move.transfer
        if (move.phase is not ownership.Phase.RELEASING or
                transfer.source != release.key_range.server or
                transfer.first != release.key_range.first or
                transfer.last != release.key_range.last):
            continue
        move.phase = ownership.Phase.WAIT
        if answer is ownership.CallOutcome.DONE:
            move.handover_token = token
            state.server_holds = holds.release(state.server_holds,
                                               transfer.source, transfer.first,
                                               transfer.last)


def handle_probe_result(state: ownership.Coordination, probe: ownership.Probe,
                        answer: ownership.CallOutcome, now: float) -> None:
    """Takes in what came of a probe."""
    state.probes_in_flight.discard(probe.server.id)
    _note_answer(state, probe.server.id, answer, now)


def _note_answer(state: ownership.Coordination, name: str,
                 answer: ownership.CallOutcome, now: float) -> None:
    """Takes in whether a server answers a release or a probe."""
    if answer is ownership.CallOutcome.DONE:
        _note_answering(state, name, now)
    else:
        state.responsive.discard(name)
        state.release_suspended.add(name)


def _note_answering(state: ownership.Coordination, name: str,
                    at: float) -> None:
    state.answered_at[name] = at
    state.responsive.add(name)
    state.release_suspended.discard(name)


def handle_save_failure(state: ownership.Coordination, refused: bool,
                        now: float) -> None:
    """Takes in that a save failed.

    Args:
      state: The coordinator.
      refused: Whether the store said so. Otherwise it may be carried out all
        the same, and whoever reads it grants its targets the keys.
      now: ms.
    """
    state.saving = False
    state.next_save_at = now + ownership.SAVE_RETRY_MS
    for move in state.moves:
        if move.phase is ownership.Phase.SAVING:
            move.phase = ownership.Phase.WAIT
            move.may_be_saved |= not refused


def handle_saved(state: ownership.Coordination, save: ownership.Save,
                 revision: int) -> None:
    """Takes in that an assignment was saved."""
    state.saving = False
    before = set(state.assignment.ranges)
    state.assignment = save.assignment
    if revisions.find_era(revision) >= state.era:
        state.revision = revision
    saved = [
        move for move in state.moves if move.phase is ownership.Phase.SAVING
    ]
    state.moves = [
        move for move in state.moves if move.phase is not ownership.Phase.SAVING
    ]
    for item in save.assignment.ranges:
        if item in before:
            continue
        state.renewals[item] = _make_renewal(state, item, before)
        for move in saved:
            if move.handover_token and (move.transfer.first,
                                        move.transfer.last) == (item.first,
                                                                item.last):
                state.handover_tokens[item] = move.handover_token
    known = set(save.assignment.ranges)
    for item in list(state.renewals):
        if item not in known:
            del state.renewals[item]


def _make_renewal(state: ownership.Coordination, item: keyranges.KeyRange,
                  before: set[keyranges.KeyRange]) -> ownership.Renewal:
    """Returns how a range that was just saved is granted.

    A piece that stayed with its owner keeps its renewal times.
    """
    for old in before:
        if (old.server == item.server and old.fence == item.fence and
                old.first <= item.first and old.last >= item.last):
            renewal = state.renewals.get(old, ownership.Renewal(old.fence))
            kept = dataclasses.replace(renewal, pending=False)
            if renewal.pending:
                # The grant under way may have used the fence by now.
                ownership.replace_fence(state, kept, renewal.link)
            return kept
    renewal = ownership.Renewal(item.fence)
    if _has_higher_fence(state, item, before):
        ownership.replace_fence(state, renewal, None)
    return renewal


def _has_higher_fence(state: ownership.Coordination, item: keyranges.KeyRange,
                      before: set[keyranges.KeyRange]) -> bool:
    """Returns whether keys got a higher fence while they were being saved."""
    return any(old.server == item.server and
               keyranges.overlaps(old, item.first, item.last) and
               old in state.renewals and state.renewals[old].fence >= item.fence
               for old in before)
