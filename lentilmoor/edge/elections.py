"""Elects the entry that coordinates a keyed service, and ends its role."""

from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import reachability
from lentilmoor.edge import revisions

COORDINATOR_RENEW_INTERVAL_MS = 450.0
# Upper bound of the random delay before an entry claims a role. Once one entry
# has claimed it, the others don't need to call the store.
MAX_CANDIDACY_DELAY_MS = 150.0
CANDIDACY_RETRY_MS = 500.0
# Additional delay of an entry on a small machine: the first applies if no entry
# on a larger machine is registered, the second if one is.
SMALL_ENTRY_DELAY_MS = 300.0
LARGER_ENTRY_PRIORITY_MS = 1_000.0
# Additional delay of an entry that reaches no server.
UNREACHABLE_DELAY_MS = 1_500.0
# Time for which an entry on a small machine coordinates, at least, before it
# hands over to an entry on a larger machine.
MIN_TENURE_MS = 1_000.0
# Time from the registration of a service's first server to its first
# assignment, so that the other servers can register.
REGISTRATION_WAIT_MS = 1_500.0


def run_for_coordinator(context: controlstate.Context, name: str,
                        role: controlstate.CoordinatorRole, now: float) -> None:
    """Claims the role of coordinator of a service that has none."""
    owned = context.owned
    coordinator = owned.store_snapshot.coordinators.get(name)
    if owned.handover_reason or role.is_call_pending or owned.store_lost_at:
        return
    replaced_revision = 0
    if coordinator is not None and coordinator.instance != owned.instance:
        if not _has_succeeded(role, coordinator):
            role.candidacy_at = 0.0
            return
        replaced_revision = coordinator.registration_revision
    elif (coordinator is not None and role.coordination_state is not None and
          owned.coordinator_lease is not None):
        return
    # The delay starts only when the service may have a coordinator. Otherwise
    # the delays of all entries would have passed by then, and all entries would
    # claim the role at the same time.
    if not _may_elect(context, name, now):
        return
    if not role.candidacy_at:
        pause_ms = MAX_CANDIDACY_DELAY_MS * context.forwarder.generator.random()
        if context.peer.small:
            pause_ms += LARGER_ENTRY_PRIORITY_MS if _is_larger_registered(
                context) else SMALL_ENTRY_DELAY_MS
        if context.forwarder.reachability.is_lost:
            pause_ms += UNREACHABLE_DELAY_MS
        role.candidacy_at = now + (0.0 if role.coordination_state else pause_ms)
    if now < role.candidacy_at:
        return
    role.candidacy_at = now + CANDIDACY_RETRY_MS
    role.is_call_pending = True
    context.call(
        lambda: _claim_role(context, name, replaced_revision),
        lambda result, sent: _handle_claim_result(context, name, role, result))


def hand_over_to_larger(context: controlstate.Context, now: float) -> None:
    """Hands the roles of a small machine over to an entry on a larger one."""
    owned = context.owned
    if owned.handover_reason:
        if owned.coordinator_lease is None and not owned.is_stopping:
            _finish_handover(owned, now)
        return
    if (not context.peer.small or owned.store_lost_at or
            owned.coordinator_lease is None):
        return
    held = [role for role in owned.roles.values() if role.coordination_state]
    if not held or not _is_larger_registered(context):
        return
    if now - max(role.coordination_state.active_since
                 for role in held) < MIN_TENURE_MS:
        return
    owned.handover_reason = 'an entry on a larger machine is registered'
    owned.lease_due_at = 0.0


def hand_over_if_unreachable(context: controlstate.Context) -> None:
    """Hands the roles of an entry that reaches no server over to another.

    Only a coordinator that reaches the servers can renew their grants.
    """
    owned = context.owned
    if (owned.handover_reason or owned.store_lost_at or
            owned.coordinator_lease is None or
            reachability.may_grant(context.forwarder) or
            len(owned.store_snapshot.entries) < 2):
        return
    if any(role.coordination_state for role in owned.roles.values()):
        owned.handover_reason = 'no server can be reached'
        owned.lease_due_at = 0.0


def _finish_handover(owned: controlstate.ControlState, now: float) -> None:
    """Delays the entry's next candidacies so that others can take the roles."""
    owned.handover_reason = ''
    for role in owned.roles.values():
        role.candidacy_at = now + LARGER_ENTRY_PRIORITY_MS


def _is_larger_registered(context: controlstate.Context) -> bool:
    """Returns whether an entry on a machine that isn't small is registered."""
    return any(not peer.small
               for peer in context.owned.store_snapshot.entries.values())


def resign_lost_roles(context: controlstate.Context) -> None:
    """Resigns from roles that another entry has taken over."""
    for name, role in context.owned.roles.items():
        if role.coordination_state is None:
            continue
        apply_restore(context, name, role.coordination_state)
        coordinator = context.owned.store_snapshot.coordinators.get(name)
        is_replaced = (coordinator is not None and
                       coordinator.instance != context.owned.instance and
                       not _has_succeeded(role, coordinator))
        saved = context.owned.store_snapshot.assignments.get(name)
        if is_replaced:
            resign(context, name, role, 'another entry is the coordinator')
        elif saved and keyranges.is_later_term(
                saved.assignment, role.coordination_state.assignment):
            resign(context, name, role, 'another entry has saved a later term')


def apply_restore(context: controlstate.Context, name: str,
                  state: ownership.Coordination) -> None:
    """Adapts a coordinator to a restore of the store, if there was one."""
    snapshot = context.owned.store_snapshot
    if revisions.find_era(snapshot.revision) <= state.era:
        return
    saved = snapshot.assignments.get(name)
    coordination.handle_store_restored(state, snapshot.revision,
                                       saved.revision if saved else 0)
    context.logger.info('coordination_continued',
                        service=name,
                        revision=revisions.format_revision(snapshot.revision),
                        saved_revision=revisions.format_revision(
                            state.revision))


def _has_succeeded(role: controlstate.CoordinatorRole,
                   coordinator: ports.Peer) -> bool:
    """Returns whether this entry has taken over from a listed coordinator.

    A restore of the store may bring back the result of an earlier election.
    """
    return role.coordination_state is not None and (
        0 < coordinator.registration_revision <=
        role.coordination_state.restored_revision)


def resign(context: controlstate.Context, name: str,
           role: controlstate.CoordinatorRole, reason: str) -> None:
    """Ends this entry's coordination of a service.

    Args:
      context: The control actor's context.
      name: Name of the service.
      role: This entry's role for the service.
      reason: Reason for the log.
    """
    context.logger.info('coordination_ended', service=name, reason=reason)
    _retain_newest(context.owned, name, role.coordination_state.assignment)
    role.coordination_state = None
    context.forwarder.coordinated = {
        service: status
        for service, status in context.forwarder.coordinated.items()
        if service != name
    }


def _retain_newest(owned: controlstate.ControlState, name: str,
                   assignment: keyranges.Assignment) -> None:
    owned.peer_assignments[name] = keyranges.find_newest(
        [owned.peer_assignments.get(name), assignment])


def retain_assignments(owned: controlstate.ControlState,
                       before: ports.StoreSnapshot) -> None:
    """Retains the assignments from before a restore that may have lost them.

    Args:
      owned: State of the control actor.
      before: Content of the store before the restore.
    """
    for name, saved in before.assignments.items():
        _retain_newest(owned, name, saved.assignment)


def _may_elect(context: controlstate.Context, name: str, now: float) -> bool:
    """Returns whether a service may have a coordinator yet."""
    servers = [
        server for server in context.owned.servers.values()
        if server.service == name and not server.draining
    ]
    if name in context.owned.store_snapshot.assignments:
        return True
    return bool(servers) and (now - min(item.seen_at for item in servers)
                              >= REGISTRATION_WAIT_MS)


def _claim_role(context: controlstate.Context, name: str,
                replaced_revision: int) -> object:
    """Claims the role in the store; runs in a thread.

    Args:
      context: The control actor's context.
      name: Name of the service.
      replaced_revision: Revision of the election that the claim overwrites; 0
        if there is none.

    Returns:
      The lease and the time at which the claim was sent, ms, or the failure.
    """
    owned, store = context.owned, context.platform.store
    lease = owned.coordinator_lease
    sent_at = context.clock.now()
    if lease is None:
        lease = store.open_lease(ownership.COORDINATOR_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
    claim = store.claim_coordination(name, context.peer, lease,
                                     replaced_revision)
    if isinstance(claim, outcomes.Failed):
        return claim
    return lease, sent_at


def _handle_claim_result(context: controlstate.Context, name: str,
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
    _load_assignment(context, name, role)


def _load_assignment(context: controlstate.Context, name: str,
                     role: controlstate.CoordinatorRole) -> None:
    """Reads the current assignment, as the entry's copy may be older."""

    def handle_loaded(saved, unused_sent_at) -> None:
        if isinstance(saved, outcomes.Failed):
            _handle_start_failure(context, name, role, saved)
        else:
            _save_initial_assignment(context, name, role, saved)

    context.call(lambda: context.platform.store.load_assignment(name),
                 handle_loaded)


def _save_initial_assignment(context: controlstate.Context, name: str,
                             role: controlstate.CoordinatorRole,
                             saved: ports.SavedAssignment | None) -> None:
    """Saves this coordinator's first assignment, then starts to coordinate."""
    owned = context.owned
    revision = saved.revision if saved else 0
    known_assignments = [
        saved.assignment if saved else None,
        context.forwarder.snapshot.assignments.get(name)
    ]
    servers = {
        server.id: server
        for server in owned.servers.values()
        if server.service == name
    }
    era = revisions.find_era(max(revision, owned.store_snapshot.revision))
    plan = coordination.plan_succession(name, known_assignments, servers,
                                        owned.instance, era)
    assignment = plan.assignment

    def handle_saved(result, unused_sent_at) -> None:
        if isinstance(result, outcomes.Failed):
            _handle_start_failure(context, name, role, result)
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
                 handle_saved)


def _handle_start_failure(context: controlstate.Context, name: str,
                          role: controlstate.CoordinatorRole,
                          failed: outcomes.Failed) -> None:
    role.is_call_pending = False
    context.logger.info('coordination_not_begun',
                        service=name,
                        reason=failed.reason.value)
