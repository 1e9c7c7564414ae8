"""How an entry becomes the coordinator of a keyed service, and ceases to be."""

from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import revisions

COORDINATOR_RENEW_INTERVAL_MS = 450.0
# Longest pause before an entry stands for coordinator: the first to do so
# spares the others the call.
MAX_CANDIDACY_DELAY_MS = 150.0
CANDIDACY_RETRY_MS = 500.0
# An entry on a small machine stands so much later; by the second figure if an
# entry on a larger one is registered.
SMALL_ENTRY_DELAY_MS = 300.0
LARGER_ENTRY_PRIORITY_MS = 1_000.0
# One that coordinates nevertheless makes way once it has done so for this long.
MIN_TENURE_MS = 1_000.0
# A service gets its first assignment after its servers had this time to
# register, unless none came.
REGISTRATION_WAIT_MS = 1_500.0


def run_for_coordinator(context: controlstate.Context, name: str,
                        role: controlstate.CoordinatorRole, now: float) -> None:
    """Stands for coordinator if there is none."""
    owned = context.owned
    coordinator = owned.store_snapshot.coordinators.get(name)
    if owned.handover_reason or role.is_call_pending or owned.store_lost_at:
        return
    replaced = 0
    if coordinator is not None and coordinator.instance != owned.instance:
        if not _is_succeeded(role, coordinator):
            role.candidacy_at = 0.0
            return
        replaced = coordinator.registration_revision
    elif (coordinator is not None and role.coordination_state is not None and
          owned.coordinator_lease is not None):
        return
    # Pauses begin here, or all would have passed when the service may begin.
    if not _may_begin(context, name, now):
        return
    if not role.candidacy_at:
        pause_ms = MAX_CANDIDACY_DELAY_MS * context.forwarder.generator.random()
        if context.peer.small:
            pause_ms += LARGER_ENTRY_PRIORITY_MS if _find_larger(
                context) else SMALL_ENTRY_DELAY_MS
        role.candidacy_at = now + (0.0 if role.coordination_state else pause_ms)
    if now < role.candidacy_at:
        return
    role.candidacy_at = now + CANDIDACY_RETRY_MS
    role.is_call_pending = True
    context.call(lambda: _take_role(context, name, replaced),
                 lambda result, sent: _role_taken(context, name, role, result))


def hand_over_to_larger(context: controlstate.Context, now: float) -> None:
    """Has an entry on a small machine leave its roles to a larger one."""
    owned = context.owned
    if owned.handover_reason:
        if owned.coordinator_lease is None and not owned.is_stopping:
            _note_handed_over(owned, now)
        return
    if (not context.peer.small or owned.store_lost_at or
            owned.coordinator_lease is None):
        return
    held = [role for role in owned.roles.values() if role.coordination_state]
    if not held or not _find_larger(context):
        return
    if now - max(role.coordination_state.active_since
                 for role in held) < MIN_TENURE_MS:
        return
    owned.handover_reason = 'an entry on a larger machine is there'
    owned.lease_due_at = 0.0


def _note_handed_over(owned: controlstate.ControlState, now: float) -> None:
    """Leaves others time to take the roles."""
    owned.handover_reason = ''
    for role in owned.roles.values():
        role.candidacy_at = now + LARGER_ENTRY_PRIORITY_MS


def _find_larger(context: controlstate.Context) -> bool:
    """Returns whether an entry on a machine that isn't small is registered."""
    return any(not peer.small
               for peer in context.owned.store_snapshot.entries.values())


def resign_lost_roles(context: controlstate.Context) -> None:
    """Gives up roles that another entry has taken."""
    for name, role in context.owned.roles.items():
        if role.coordination_state is None:
            continue
        apply_restore(context, name, role.coordination_state)
        coordinator = context.owned.store_snapshot.coordinators.get(name)
        rival = (coordinator is not None and
                 coordinator.instance != context.owned.instance and
                 not _is_succeeded(role, coordinator))
        saved = context.owned.store_snapshot.assignments.get(name)
        if rival:
            resign(context, name, role, 'another entry coordinates')
        elif saved and keyranges.is_later_term(
                saved.assignment, role.coordination_state.assignment):
            resign(context, name, role, 'another entry has coordinated')


def apply_restore(context: controlstate.Context, name: str,
                  state: ownership.Coordination) -> None:
    """Has a coordinator take in that the store was restored, if it was."""
    everything = context.owned.store_snapshot
    if revisions.find_era(everything.revision) <= state.era:
        return
    saved = everything.assignments.get(name)
    coordination.handle_store_restored(state, everything.revision,
                                       saved.revision if saved else 0)
    context.logger.info('coordination_continued',
                        service=name,
                        revision=revisions.format_revision(everything.revision),
                        saved_revision=revisions.format_revision(
                            state.revision))


def _is_succeeded(role: controlstate.CoordinatorRole,
                  coordinator: ports.Peer) -> bool:
    """Returns whether this entry has taken over from a listed coordinator.

    A restore of the store may bring back the election that came before.
    """
    return role.coordination_state is not None and (
        0 < coordinator.registration_revision <=
        role.coordination_state.restored_revision)


def resign(context: controlstate.Context, name: str,
           role: controlstate.CoordinatorRole, reason: str) -> None:
    """Gives up coordinating a service.

    Args:
      context: The actor's.
      name: The service.
      role: This entry's part in it.
      reason: Why, for the log.
    """
    context.logger.info('coordination_ended', service=name, reason=reason)
    _keep_newest(context.owned, name, role.coordination_state.assignment)
    role.coordination_state = None
    context.forwarder.coordinated = {
        service: told
        for service, told in context.forwarder.coordinated.items()
        if service != name
    }


def _keep_newest(owned: controlstate.ControlState, name: str,
                 assignment: keyranges.Assignment) -> None:
    owned.peer_assignments[name] = keyranges.find_newest(
        [owned.peer_assignments.get(name), assignment])


def retain_assignments(owned: controlstate.ControlState,
                       before: ports.StoreSnapshot) -> None:
    """Keeps what was known of assignments, as a restored store may lack it.

    Args:
      owned: What is believed.
      before: What the store held before the restore.
    """
    for name, saved in before.assignments.items():
        _keep_newest(owned, name, saved.assignment)


def _may_begin(context: controlstate.Context, name: str, now: float) -> bool:
    servers = [
        item for item in context.owned.servers.values()
        if item.service == name and not item.draining
    ]
    if name in context.owned.store_snapshot.assignments:
        return True
    return bool(servers) and (now - min(item.seen_at for item in servers)
                              >= REGISTRATION_WAIT_MS)


def _take_role(context: controlstate.Context, name: str,
               replaced: int) -> object:
    """Takes the role in the store; run by a thread.

    Args:
      context: The actor's.
      name: The service.
      replaced: Revision of the election that is overwritten; 0 if none.
    """
    owned, store = context.owned, context.platform.store
    lease = owned.coordinator_lease
    sent_at = context.clock.now()
    if lease is None:
        lease = store.open_lease(ownership.COORDINATOR_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
    taken = store.claim_coordination(name, context.peer, lease, replaced)
    if isinstance(taken, outcomes.Failed):
        return taken
    return lease, sent_at


def _role_taken(context: controlstate.Context, name: str,
                role: controlstate.CoordinatorRole, result) -> None:
    owned = context.owned
    if isinstance(result, outcomes.Failed):
        role.is_call_pending = False
        if controlstate.is_lease_expired(result):
            owned.coordinator_lease = None
        return
    lease, sent_at = result
    if (owned.coordinator_lease is None or
            owned.coordinator_lease.id != lease.id):
        owned.coordinator_lease, owned.lease_renewed_at = lease, sent_at
        owned.lease_due_at = context.clock.now() + COORDINATOR_RENEW_INTERVAL_MS
    if owned.handover_reason:
        role.is_call_pending, owned.lease_due_at = False, 0.0
        return
    if (role.coordination_state is not None and
            not role.coordination_state.superseded):
        role.is_call_pending = False
        return
    _begin(context, name, role)


def _begin(context: controlstate.Context, name: str,
           role: controlstate.CoordinatorRole) -> None:
    """Begins from the assignment as it is now: what was heard may be older."""

    def take(saved, unused_sent_at) -> None:
        if isinstance(saved, outcomes.Failed):
            _note_not_begun(context, name, role, saved)
        else:
            _save_first(context, name, role, saved)

    context.call(lambda: context.platform.store.load_assignment(name), take)


def _save_first(context: controlstate.Context, name: str,
                role: controlstate.CoordinatorRole,
                saved: ports.SavedAssignment | None) -> None:
    """Saves the assignment that this coordinator begins with."""
    owned = context.owned
    revision = saved.revision if saved else 0
    known = [
        saved.assignment if saved else None,
        context.forwarder.snapshot.assignments.get(name)
    ]
    servers = {
        item.id: item for item in owned.servers.values() if item.service == name
    }
    era = revisions.find_era(max(revision, owned.store_snapshot.revision))
    plan = coordination.plan_succession(name, known, servers, owned.instance,
                                        era)
    assignment = plan.assignment

    def take(result, unused_sent_at) -> None:
        if isinstance(result, outcomes.Failed):
            _note_not_begun(context, name, role, result)
            return
        role.is_call_pending = False
        if owned.handover_reason:
            return
        context.logger.info('coordination_begun',
                            service=name,
                            term=assignment.term,
                            waits=plan.may_lack_moves,
                            revision=revisions.format_revision(result),
                            ranges=len(assignment.ranges))
        role.load_table.seed_work_means(assignment.works)
        role.coordination_state = coordination.start_coordination(
            assignment, result, context.clock.now(), plan.predecessor,
            context.platform.settings.bounds.hold_max_ms, plan.may_lack_moves)
        role.coordination_state.predecessor_save_revision = revision
        context.publish()

    context.call(lambda: context.platform.store.save(assignment, revision),
                 take)


def _note_not_begun(context: controlstate.Context, name: str,
                    role: controlstate.CoordinatorRole,
                    failed: outcomes.Failed) -> None:
    role.is_call_pending = False
    context.logger.info('coordination_not_begun',
                        service=name,
                        reason=failed.reason.value)
