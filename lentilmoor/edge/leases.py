"""Leases that an entry keeps: its own, and the coordinator's."""

from collections.abc import Callable
import threading

from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import ports
from lentilmoor.edge import revisions

# An entry's own lease, by which the others count it.
ENTRY_LEASE_MS = 9_000.0
ENTRY_KEEP_MS = 1_000.0


def keep(context: controlstate.Context, now: float) -> None:
    """Opens the entry's lease if there is none; renews or ends what is due."""
    owned = context.owned
    _keep_role_lease(context, now)
    if owned.entry_lease is None:
        _open_entry_lease(context, now)
    elif owned.entry_lease_due_at <= now and not owned.is_entry_lease_pending:
        owned.entry_lease_due_at = now + ENTRY_KEEP_MS
        owned.is_entry_lease_pending = True
        _call(context, owned.entry_lease, owned.is_stopping and
              _is_certain(context), _entry_kept)
    if owned.is_stopping and owned.coordinator_lease is None:
        owned.handover_done.set()


def _keep_role_lease(context: controlstate.Context, now: float) -> None:
    owned = context.owned
    if owned.coordinator_lease is None or owned.lease_due_at > now:
        return
    # A grant that may still arrive must not meet a successor's.
    if owned.handover_reason and owned.new_connection_grants:
        return
    owned.lease_due_at = now + elections.KEEP_MS
    _call(context, owned.coordinator_lease,
          bool(owned.handover_reason) and _is_certain(context), _kept)


def _is_certain(context: controlstate.Context) -> bool:
    """Returns whether this entry's leases are surely still its own.

    A store that was away may have come back from an older copy, and have given
    their numbers to others.
    """
    store = context.platform.store
    known_era = revisions.find_era(context.owned.store_snapshot.revision)
    return store.find_unanswered_ms() == 0.0 and store.find_era() <= known_era


def _call(context: controlstate.Context, lease: ports.Lease, ends: bool,
          take: Callable[..., None]) -> None:
    """Has a lease renewed or ended.

    Args:
      context: The actor's.
      lease: The lease.
      ends: Whether it is to be ended.
      take: (context, lease, whether it was to be ended, result, time of
        sending) takes in what came of it.
    """
    store = context.platform.store
    work = store.end_lease if ends else store.keep_lease
    context.call(
        lambda: work(lease),
        lambda result, sent_at: take(context, lease, ends, result, sent_at))


def drop_lost(owned: controlstate.ControlState) -> None:
    """Drops leases of what a restored store lacks, which is written anew.

    Such a lease may be gone, or have been given to another entry since.
    """
    everything = owned.store_snapshot
    if owned.instance not in everything.entries:
        owned.entry_lease = None
        owned.entry_lease_due_at = 0.0
    if all(peer.instance != owned.instance
           for peer in everything.coordinators.values()):
        owned.coordinator_lease = None


def _open_entry_lease(context: controlstate.Context, now: float) -> None:
    owned = context.owned
    if (owned.entry_lease_due_at > now or owned.is_entry_lease_pending or
            owned.is_stopping):
        return
    owned.entry_lease_due_at = now + ENTRY_KEEP_MS
    owned.is_entry_lease_pending = True
    store = context.platform.store

    def register() -> ports.Lease | outcomes.Failed:
        lease = store.open_lease(ENTRY_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
        return store.register(context.peer, lease) or lease

    def take(result, unused_sent_at) -> None:
        owned.is_entry_lease_pending = False
        if isinstance(result, ports.Lease):
            owned.entry_lease = result
        _note_store(context, isinstance(result, ports.Lease))

    context.call(register, take)


def _entry_kept(context: controlstate.Context, lease: ports.Lease, ends: bool,
                result, unused_sent_at: float) -> None:
    """Takes in a renewal or an end; the store may have been away unnoticed.

    A watch that waited meanwhile may never be answered.
    """
    owned = context.owned
    owned.is_entry_lease_pending = False
    if owned.entry_lease is lease:
        if controlstate.is_lease_expired(result) and not ends:
            context.logger.warning('entry_lease_lapsed',
                                   lease=lease.id,
                                   detail=result.detail)
        if controlstate.is_lease_expired(result) or ends and result is None:
            owned.entry_lease = None
        elif owned.is_stopping and result is None:
            owned.entry_lease_due_at = 0.0
    _note_store(context, result is None or
                controlstate.is_lease_expired(result))


def _note_store(context: controlstate.Context, answers: bool) -> None:
    owned = context.owned
    if answers:
        _note_regained(context)
    if not answers:
        owned.is_renewal_unanswered = True
    elif owned.is_renewal_unanswered:
        owned.is_renewal_unanswered = False
        owned.store_regained_at = context.clock.now()
        context.logger.info('store_answers_again')
        context.restart_following()


def _note_regained(context: controlstate.Context) -> None:
    """Notes that the store is back, if others tell what it holds now.

    An entry that relays tell doesn't look at the store itself.
    """
    owned, now = context.owned, context.clock.now()
    heard_ms = now - context.forwarder.hub_progress.seen_at
    if (not owned.store_lost_at or
            heard_ms >= context.forwarder.age_limits.refresh_age_ms):
        return
    context.logger.info('store_regained',
                        away_ms=round(now - owned.store_lost_at),
                        heard_ms=round(heard_ms))
    owned.store_lost_at, owned.store_regained_at = 0.0, now


def _kept(context: controlstate.Context, lease: ports.Lease, ends: bool, result,
          sent_at: float) -> None:
    """Takes in a renewal or an end of the coordinator's lease."""
    owned = context.owned
    if owned.coordinator_lease is not lease:
        return
    if ends:
        context.states.log_change('coordinator_lease_end',
                                  str(lease.id),
                                  'ended' if result is None else result.reason,
                                  reason=owned.handover_reason)
    elif controlstate.is_lease_expired(result):
        context.logger.warning('coordinator_lease_lapsed')
    if controlstate.is_lease_expired(result) or ends and result is None:
        owned.coordinator_lease = None
    elif result is None:
        owned.lease_renewed_at = max(owned.lease_renewed_at, sent_at)
        if owned.handover_reason:
            owned.lease_due_at = 0.0


def leave(context: controlstate.Context, done: threading.Event) -> None:
    """Begins to give up all leases, as this process is about to end.

    Roles are kept until the store has acknowledged the end of their lease:
    nobody can take them before.

    Args:
      context: The actor's.
      done: Set when others can take over.
    """
    owned = context.owned
    owned.is_stopping, owned.handover_done = True, done
    owned.handover_reason = 'this entry is about to end'
    owned.lease_due_at = owned.entry_lease_due_at = 0.0
    if owned.coordinator_lease is None:
        done.set()
