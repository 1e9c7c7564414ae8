"""The coordinator's decisions: who is granted which keys, and when.

One entry coordinates a keyed service at a time. It renews the grants of the
servers, moves keys off servers that leave or fail, and balances load. It does
no I/O: `plan_actions` returns the calls to make, and the `handle_` functions
process their results.

No two servers hold a key at the same time. A key is granted to another server
only after its holder has answered a release, or after the hold must have
expired; without a wait only to the process that replaced the holder at its
address. A new coordinator grants all keys again under a fencing token above all
earlier ones. A server that has answered such a grant refuses any that an
earlier coordinator may still send. For servers that don't answer, the
coordinator waits until no renewal by an earlier coordinator can be in force.
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

# Placeholder id of servers that may hold keys by unknown grants.
_UNKNOWN_SERVER = ''


def make_first_assignment(service: str,
                          servers: Mapping[str, tables.Server],
                          author: str = '',
                          era: int = 0) -> keyranges.Assignment:
    """Returns the first assignment of a service.

    Args:
      service: Name of the service.
      servers: The service's servers, by id.
      author: Instance id of the coordinator.
      era: The store's era.
    """
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
    """Returns the assignment that a new coordinator starts with.

    Args:
      before: The newest known assignment.
      author: Instance id of the new coordinator.
      era: The store's era.
    """
    # The previous coordinator may have used fencing tokens that weren't saved.
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
    """Initial data of a new coordinator.

    Attributes:
      assignment: The assignment that it saves first.
      predecessor: Instance id of the previous coordinator; None if the service
        never had an assignment.
      may_lack_moves: Whether the assignment may lack moves that were made after
        it.
    """

    assignment: keyranges.Assignment
    predecessor: str | None
    may_lack_moves: bool


def plan_succession(service: str, known: Iterable[keyranges.Assignment | None],
                    servers: Mapping[str, tables.Server], author: str,
                    era: int) -> Succession:
    """Returns the initial data of a new coordinator.

    Args:
      service: Name of the service.
      known: Assignments from the store and from other entries; None is ignored.
      servers: The service's servers, by id.
      author: Instance id of the new coordinator.
      era: The store's era.
    """
    before = keyranges.find_newest(known)
    if before is None:
        return Succession(make_first_assignment(service, servers, author, era),
                          None, False)
    # Saves that a restore of the store undid are known only to their author.
    may_lack_moves = before.era < era and before.author != author
    following = make_next_assignment(before, author, era)
    if may_lack_moves:
        # Until this coordinator has waited, its successor may lack them too.
        following = dataclasses.replace(following, era=before.era)
    return Succession(following, before.author, may_lack_moves)


def start_coordination(assignment: keyranges.Assignment,
                       revision: int,
                       now: float,
                       predecessor: str | None,
                       longest_ms: float = ownership.HOLD_MS,
                       may_lack_moves: bool = False) -> ownership.Coordination:
    """Returns the initial state of a coordinator whose assignment was saved.

    Args:
      assignment: The saved assignment.
      revision: Store revision of the saved assignment.
      now: Current time, ms.
      predecessor: Instance id of the previous coordinator; None if the service
        never had an assignment.
      longest_ms: Longest hold that the operator allows, ms.
      may_lack_moves: Whether the assignment may lack moves that were made after
        it. The coordinator then waits until all earlier holds have expired.
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
            # Earlier coordinators granted the keys under lower fencing tokens.
            holds.Hold(item.first, item.last, item.server, item.fence - 1,
                       until, False) for item in assignment.ranges
        ]
    if may_lack_moves:
        _await_holds(state, now)
    return state


def _await_holds(state: ownership.Coordination, now: float) -> None:
    """Delays all grants until the holds of earlier coordinators have expired.

    An earlier coordinator that is up detects within the duration of its lease
    that it was replaced.
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
    """Handles a restore of the store from an older copy.

    The last saves of this coordinator may be lost. It continues with its own
    state and saves that again, with fencing tokens above all earlier ones.

    Args:
      state: State of the coordinator.
      revision: The store's revision when it was read after the restore.
      saved_revision: Revision of the assignment in the restored store; 0 if
        there is none.
    """
    state.era = revisions.find_era(revision)
    state.restored_revision = revision
    state.revision = saved_revision
    state.next_fence = max(state.next_fence,
                           keyranges.find_first_fence(state.era))
    if state.predecessor:
        state.predecessor_save_revision = revision


def handle_predecessor_ended(state: ownership.Coordination, now: float) -> None:
    """Handles that the previous coordinator can no longer renew grants."""
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
    """Returns the actions that are due.

    Args:
      state: State of the coordinator.
      view: The service's servers and load.
      now: Current time, ms.
    """
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
    """Handles the result of a grant.

    Args:
      state: State of the coordinator.
      grant: The grant.
      granted: Its result.
      sent_at: When it was sent, ms.
      now: When it was answered or timed out, ms. It can't arrive later.
    """
    item, answer = grant.key_range, granted.outcome
    state.grants_in_flight.remove(item)
    if answer is ownership.CallOutcome.DONE:
        _record_answer(state, item.server, sent_at)
    else:
        state.responsive.discard(item.server)
    if answer in (ownership.CallOutcome.DONE, ownership.CallOutcome.UNKNOWN):
        _record_hold(state, grant, answer is ownership.CallOutcome.DONE, now)
    renewal = ownership.find_renewal(state, item)
    if answer is ownership.CallOutcome.REFUSED:
        # Keys that were merged or moved since have a higher token of this
        # coordinator. Their refusal doesn't prove that another one took over.
        state.superseded |= (item in state.assignment.ranges and
                             (renewal is None or renewal.fence == grant.fence))
    if renewal is not None:
        _schedule_next_grant(state, renewal, grant, granted, sent_at, now)


def _record_hold(state: ownership.Coordination, grant: ownership.Grant,
                 answered: bool, now: float) -> None:
    """Records the hold of a grant, which may have arrived as late as now."""
    item = grant.key_range
    until = holds.compute_expiry(now, grant.hold_ms)
    state.server_holds = holds.add(
        state.server_holds,
        holds.Hold(item.first, item.last, item.server, grant.fence, until,
                   answered))


def _schedule_next_grant(state: ownership.Coordination,
                         renewal: ownership.Renewal, grant: ownership.Grant,
                         granted: ownership.GrantResult, sent_at: float,
                         now: float) -> None:
    """Schedules the next grant of a range and selects its fencing token."""
    covers_range = grant.key_range in state.renewals
    if covers_range:
        renewal.pending = False
    if (granted.outcome is ownership.CallOutcome.REFUSED or
            renewal.fence != grant.fence):
        return
    if granted.outcome is ownership.CallOutcome.DONE:
        _record_accepted_grant(state, renewal, grant, granted.link)
        if covers_range:
            renewal.due_at = sent_at + grant.hold_ms * ownership.RENEW_FRACTION
        return
    if granted.outcome is not ownership.CallOutcome.NOT_SENT:
        ownership.replace_fence(state, renewal, granted.link)
    # If the grant was not sent, it may be repeated at once with a new token.
    retries_now = (granted.outcome is ownership.CallOutcome.UNLINKED and
                   renewal.link is None)
    renewal.due_at = now if retries_now else now + ownership.GRANT_RETRY_MS


def _record_accepted_grant(state: ownership.Coordination,
                           renewal: ownership.Renewal, grant: ownership.Grant,
                           link: int | None) -> None:
    """Records that a server accepted a grant over a connection."""
    state.handover_tokens.pop(grant.key_range, None)
    renewal.owner_answered = True
    if renewal.link in (None, link):
        renewal.link = link
    else:
        # Another part of the range was granted over another connection.
        ownership.replace_fence(state, renewal, link)


def handle_release_result(state: ownership.Coordination,
                          release: ownership.Release,
                          answer: ownership.CallOutcome, token: str,
                          now: float) -> None:
    """Handles the result of a release.

    Args:
      state: State of the coordinator.
      release: The release.
      answer: Its outcome.
      token: Handover token that the server returned; empty if there is none.
      now: Current time, ms.
    """
    _record_reachability(state, release.key_range.server, answer, now)
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
    """Handles the result of a probe."""
    state.probes_in_flight.discard(probe.server.id)
    _record_reachability(state, probe.server.id, answer, now)


def _record_reachability(state: ownership.Coordination, name: str,
                         answer: ownership.CallOutcome, now: float) -> None:
    """Records whether a server answered a release or a probe."""
    if answer is ownership.CallOutcome.DONE:
        _record_answer(state, name, now)
    else:
        state.responsive.discard(name)
        state.release_suspended.add(name)


def _record_answer(state: ownership.Coordination, name: str, at: float) -> None:
    state.answered_at[name] = at
    state.responsive.add(name)
    state.release_suspended.discard(name)


def handle_save_failure(state: ownership.Coordination, refused: bool,
                        now: float) -> None:
    """Handles a failed save.

    Args:
      state: State of the coordinator.
      refused: Whether the store refused the save. Otherwise it may have been
        executed, and a successor that reads it grants the keys to the targets.
      now: Current time, ms.
    """
    state.saving = False
    state.next_save_at = now + ownership.SAVE_RETRY_MS
    for move in state.moves:
        if move.phase is ownership.Phase.SAVING:
            move.phase = ownership.Phase.WAIT
            move.may_be_saved |= not refused


def handle_saved(state: ownership.Coordination, save: ownership.Save,
                 revision: int) -> None:
    """Handles a successful save of an assignment."""
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
    """Returns the grant state of a range that was just saved.

    A part of an earlier range of the same owner keeps that range's schedule.
    """
    for old in before:
        if (old.server == item.server and old.fence == item.fence and
                old.first <= item.first and old.last >= item.last):
            renewal = state.renewals.get(old, ownership.Renewal(old.fence))
            kept = dataclasses.replace(renewal, pending=False)
            if renewal.pending:
                # The grant in flight may already have used the token.
                ownership.replace_fence(state, kept, renewal.link)
            return kept
    renewal = ownership.Renewal(item.fence)
    if _has_higher_fence(state, item, before):
        ownership.replace_fence(state, renewal, None)
    return renewal


def _has_higher_fence(state: ownership.Coordination, item: keyranges.KeyRange,
                      before: set[keyranges.KeyRange]) -> bool:
    """Returns whether keys got a higher token while the save was in flight."""
    return any(old.server == item.server and
               keyranges.overlaps(old, item.first, item.last) and
               old in state.renewals and state.renewals[old].fence >= item.fence
               for old in before)
