"""How an entry becomes the coordinator of a keyed service, and ceases to be."""

from lentilmoor import outcomes
from lentilmoor.edge import beliefs
from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import revisions

KEEP_MS = 450.0
# Longest pause before an entry stands for coordinator: the first to do so
# spares the others the call.
STAND_MS = 150.0
STAND_AGAIN_MS = 500.0
# An entry on a small machine stands so much later; by the second figure if an
# entry on a larger one is registered.
SMALL_MS = 300.0
LARGER_MS = 1_000.0
# One that coordinates nevertheless makes way once it has done so for this long.
MAKE_WAY_MS = 1_000.0
# A service gets its first assignment after its servers had this time to
# register, unless none came.
SETTLE_MS = 1_500.0


def stand(context: beliefs.Context, name: str, role: beliefs.Role,
          now: float) -> None:
    """Stands for coordinator if there is none."""
    owned = context.owned
    coordinator = owned.everything.coordinators.get(name)
    if owned.handing_over or role.busy or owned.lost_at:
        return
    replaced = 0
    if coordinator is not None and coordinator.instance != owned.instance:
        if not _is_succeeded(role, coordinator):
            role.stand_at = 0.0
            return
        replaced = coordinator.registration_revision
    elif (coordinator is not None and role.state is not None and
          owned.lease is not None):
        return
    # Pauses begin here, or all would have passed when the service may begin.
    if not _may_begin(context, name, now):
        return
    if not role.stand_at:
        pause_ms = STAND_MS * context.forwarder.generator.random()
        if context.peer.small:
            pause_ms += LARGER_MS if _find_larger(context) else SMALL_MS
        role.stand_at = now + (0.0 if role.state else pause_ms)
    if now < role.stand_at:
        return
    role.stand_at = now + STAND_AGAIN_MS
    role.busy = True
    context.call(lambda: _take_role(context, name, replaced),
                 lambda result, sent: _role_taken(context, name, role, result))


def make_way(context: beliefs.Context, now: float) -> None:
    """Has an entry on a small machine leave its roles to a larger one."""
    owned = context.owned
    if owned.handing_over:
        if owned.lease is None and not owned.leaving:
            _note_handed_over(owned, now)
        return
    if not context.peer.small or owned.lost_at or owned.lease is None:
        return
    held = [role for role in owned.roles.values() if role.state]
    if not held or not _find_larger(context):
        return
    if now - max(role.state.active_since for role in held) < MAKE_WAY_MS:
        return
    owned.handing_over = 'an entry on a larger machine is there'
    owned.keep_at = 0.0


def _note_handed_over(owned: beliefs.Beliefs, now: float) -> None:
    """Leaves others time to take the roles."""
    owned.handing_over = ''
    for role in owned.roles.values():
        role.stand_at = now + LARGER_MS


def _find_larger(context: beliefs.Context) -> bool:
    """Returns whether an entry on a machine that isn't small is registered."""
    return any(
        not peer.small for peer in context.owned.everything.entries.values())


def follow_rivals(context: beliefs.Context) -> None:
    """Gives up roles that another entry has taken."""
    for name, role in context.owned.roles.items():
        if role.state is None:
            continue
        follow_restore(context, name, role.state)
        coordinator = context.owned.everything.coordinators.get(name)
        rival = (coordinator is not None and
                 coordinator.instance != context.owned.instance and
                 not _is_succeeded(role, coordinator))
        saved = context.owned.everything.assignments.get(name)
        if rival:
            resign(context, name, role, 'another entry coordinates')
        elif saved and keyranges.is_later_term(saved.assignment,
                                               role.state.assignment):
            resign(context, name, role, 'another entry has coordinated')


def follow_restore(context: beliefs.Context, name: str,
                   state: ownership.Coordination) -> None:
    """Has a coordinator take in that the store was restored, if it was."""
    everything = context.owned.everything
    if revisions.find_era(everything.revision) <= state.era:
        return
    saved = everything.assignments.get(name)
    coordination.handle_store_restored(state, everything.revision,
                                       saved.revision if saved else 0)
    context.logger.info('coordination_continued',
                        service=name,
                        revision=revisions.show(everything.revision),
                        saved_revision=revisions.show(state.revision))


def _is_succeeded(role: beliefs.Role, coordinator: ports.Peer) -> bool:
    """Returns whether this entry has taken over from a listed coordinator.

    A restore of the store may bring back the election that came before.
    """
    return role.state is not None and (0 < coordinator.registration_revision <=
                                       role.state.restored_revision)


def resign(context: beliefs.Context, name: str, role: beliefs.Role,
           reason: str) -> None:
    """Gives up coordinating a service.

    Args:
      context: The actor's.
      name: The service.
      role: This entry's part in it.
      reason: Why, for the log.
    """
    context.logger.info('coordination_ended', service=name, reason=reason)
    _keep_newest(context.owned, name, role.state.assignment)
    role.state = None
    context.forwarder.coordinated = {
        service: told
        for service, told in context.forwarder.coordinated.items()
        if service != name
    }


def _keep_newest(owned: beliefs.Beliefs, name: str,
                 assignment: keyranges.Assignment) -> None:
    owned.heard[name] = keyranges.find_newest(
        [owned.heard.get(name), assignment])


def keep_assignments(owned: beliefs.Beliefs, before: ports.Everything) -> None:
    """Keeps what was known of assignments, as a restored store may lack it.

    Args:
      owned: What is believed.
      before: What the store held before the restore.
    """
    for name, saved in before.assignments.items():
        _keep_newest(owned, name, saved.assignment)


def _may_begin(context: beliefs.Context, name: str, now: float) -> bool:
    servers = [
        item for item in context.owned.servers.values()
        if item.service == name and not item.draining
    ]
    if name in context.owned.everything.assignments:
        return True
    return bool(servers) and (now - min(item.seen_at for item in servers)
                              >= SETTLE_MS)


def _take_role(context: beliefs.Context, name: str, replaced: int) -> object:
    """Takes the role in the store; run by a thread.

    Args:
      context: The actor's.
      name: The service.
      replaced: Revision of the election that is overwritten; 0 if none.
    """
    owned, store = context.owned, context.platform.store
    lease = owned.lease
    sent_at = context.clock.now()
    if lease is None:
        lease = store.open_lease(ownership.COORDINATOR_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
    taken = store.take_role(name, context.peer, lease, replaced)
    if isinstance(taken, outcomes.Failed):
        return taken
    return lease, sent_at


def _role_taken(context: beliefs.Context, name: str, role: beliefs.Role,
                result) -> None:
    owned = context.owned
    if isinstance(result, outcomes.Failed):
        role.busy = False
        if beliefs.is_ended(result):
            owned.lease = None
        return
    lease, sent_at = result
    if owned.lease is None or owned.lease.id != lease.id:
        owned.lease, owned.lease_sent_at = lease, sent_at
        owned.keep_at = context.clock.now() + KEEP_MS
    if owned.handing_over:
        role.busy, owned.keep_at = False, 0.0
        return
    if role.state is not None and not role.state.superseded:
        role.busy = False
        return
    _begin(context, name, role)


def _begin(context: beliefs.Context, name: str, role: beliefs.Role) -> None:
    """Begins from the assignment as it is now: what was heard may be older."""

    def take(saved, unused_sent_at) -> None:
        if isinstance(saved, outcomes.Failed):
            _note_not_begun(context, name, role, saved)
        else:
            _save_first(context, name, role, saved)

    context.call(lambda: context.platform.store.load_assignment(name), take)


def _save_first(context: beliefs.Context, name: str, role: beliefs.Role,
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
    era = revisions.find_era(max(revision, owned.everything.revision))
    plan = coordination.plan_succession(name, known, servers, owned.instance,
                                        era)
    assignment = plan.assignment

    def take(result, unused_sent_at) -> None:
        if isinstance(result, outcomes.Failed):
            _note_not_begun(context, name, role, result)
            return
        role.busy = False
        if owned.handing_over:
            return
        context.logger.info('coordination_begun',
                            service=name,
                            term=assignment.term,
                            waits=plan.may_lack_moves,
                            revision=revisions.show(result),
                            ranges=len(assignment.ranges))
        role.measured.seed_works(assignment.works)
        role.state = coordination.start_coordination(
            assignment, result, context.clock.now(), plan.predecessor,
            context.platform.settings.bounds.hold_max_ms, plan.may_lack_moves)
        role.state.predecessor_save_revision = revision
        context.publish()

    context.call(lambda: context.platform.store.save(assignment, revision),
                 take)


def _note_not_begun(context: beliefs.Context, name: str, role: beliefs.Role,
                    failed: outcomes.Failed) -> None:
    role.busy = False
    context.logger.info('coordination_not_begun',
                        service=name,
                        reason=failed.reason.value)
