"""Renewal and release of an entry's leases in the platform's store.

An entry has a lease for its own registration and, while it coordinates
services, one for the coordinator's role.
"""

from collections.abc import Callable
import threading

from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import elections
from lentilmoor.edge import ports
from lentilmoor.edge import revisions

# Time to live of the lease of an entry's registration. The other entries count
# this entry until the lease expires.
ENTRY_LEASE_MS = 9_000.0
ENTRY_RENEW_INTERVAL_MS = 1_000.0


def maintain_leases(context: controlstate.Context, now: float) -> None:
    """Opens the entry's lease if it has none; renews or ends leases when due.

    Signals a stopping entry's handover once it has no coordinator lease.
    """
    owned = context.owned
    _renew_coordinator_lease(context, now)
    if owned.entry_lease is None:
        _open_entry_lease(context, now)
    elif owned.entry_lease_due_at <= now and not owned.is_entry_lease_pending:
        owned.entry_lease_due_at = now + ENTRY_RENEW_INTERVAL_MS
        owned.is_entry_lease_pending = True
        _renew_or_end(context, owned.entry_lease, owned.is_stopping and
                      _is_ownership_certain(context),
                      _handle_entry_lease_result)
    if owned.is_stopping and owned.coordinator_lease is None:
        owned.handover_done.set()


def _renew_coordinator_lease(context: controlstate.Context, now: float) -> None:
    owned = context.owned
    if owned.coordinator_lease is None or owned.lease_due_at > now:
        return
    # A successor must not send grants while one over a new connection may still
    # arrive from this entry.
    if owned.handover_reason and owned.new_connection_grants:
        return
    owned.lease_due_at = now + elections.COORDINATOR_RENEW_INTERVAL_MS
    _renew_or_end(
        context, owned.coordinator_lease,
        bool(owned.handover_reason) and _is_ownership_certain(context),
        _handle_coordinator_lease_result)


def _is_ownership_certain(context: controlstate.Context) -> bool:
    """Returns whether this entry's leases certainly still belong to it.

    A store that was unavailable may have been restored from an older copy and
    have assigned the same lease numbers to other entries since.
    """
    store = context.platform.store
    known_era = revisions.find_era(context.owned.store_snapshot.revision)
    return store.find_unanswered_ms() == 0.0 and store.find_era() <= known_era


def _renew_or_end(context: controlstate.Context, lease: ports.Lease, ends: bool,
                  on_result: Callable[..., None]) -> None:
    """Sends the store a call that renews or ends a lease.

    Args:
      context: The control actor's context.
      lease: Lease to renew or to end.
      ends: Whether to end the lease instead of renewing it.
      on_result: Callback with the arguments (context, lease, ends, result,
        sent_at), where `sent_at` is the time at which the call was sent, ms.
    """
    store = context.platform.store
    operation = store.end_lease if ends else store.keep_lease
    context.call(
        lambda: operation(lease), lambda result, sent_at: on_result(
            context, lease, ends, result, sent_at))


def drop_missing_leases(owned: controlstate.ControlState) -> None:
    """Drops the leases of registrations that a restored store lacks.

    Such a lease may no longer exist, or its number may belong to another entry
    by now. The registrations are written again under new leases.
    """
    snapshot = owned.store_snapshot
    if owned.instance not in snapshot.entries:
        owned.entry_lease = None
        owned.entry_lease_due_at = 0.0
    if all(peer.instance != owned.instance
           for peer in snapshot.coordinators.values()):
        owned.coordinator_lease = None


def _open_entry_lease(context: controlstate.Context, now: float) -> None:
    owned = context.owned
    if (owned.entry_lease_due_at > now or owned.is_entry_lease_pending or
            owned.is_stopping):
        return
    owned.entry_lease_due_at = now + ENTRY_RENEW_INTERVAL_MS
    owned.is_entry_lease_pending = True
    store = context.platform.store

    def register() -> ports.Lease | outcomes.Failed:
        lease = store.open_lease(ENTRY_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
        return store.register(context.peer, lease) or lease

    def handle_result(result, unused_sent_at) -> None:
        owned.is_entry_lease_pending = False
        if isinstance(result, ports.Lease):
            owned.entry_lease = result
        _record_store_answer(context, isinstance(result, ports.Lease))

    context.call(register, handle_result)


def _handle_entry_lease_result(context: controlstate.Context,
                               lease: ports.Lease, ends: bool, result,
                               unused_sent_at: float) -> None:
    """Handles the result of renewing or ending the entry's lease.

    It also shows whether the store answers: an outage may have gone unnoticed
    otherwise.
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
    _record_store_answer(
        context, result is None or controlstate.is_lease_expired(result))


def _record_store_answer(context: controlstate.Context, answered: bool) -> None:
    """Restarts following the store when it answers after a failed call.

    A watch that was waiting during the outage may never be answered.
    """
    owned = context.owned
    if answered:
        _record_store_regained(context)
    if not answered:
        owned.is_renewal_unanswered = True
    elif owned.is_renewal_unanswered:
        owned.is_renewal_unanswered = False
        owned.store_regained_at = context.clock.now()
        context.logger.info('store_answers_again')
        context.restart_following()


def _record_store_regained(context: controlstate.Context) -> None:
    """Records that the store is available if recent news confirms it.

    An entry that receives its news from relays doesn't read the store itself.
    """
    owned, now = context.owned, context.clock.now()
    progress_age_ms = now - context.forwarder.hub_progress.seen_at
    if (not owned.store_lost_at or
            progress_age_ms >= context.forwarder.age_limits.refresh_age_ms):
        return
    context.logger.info('store_regained',
                        away_ms=round(now - owned.store_lost_at),
                        heard_ms=round(progress_age_ms))
    owned.store_lost_at, owned.store_regained_at = 0.0, now


def _handle_coordinator_lease_result(context: controlstate.Context,
                                     lease: ports.Lease, ends: bool, result,
                                     sent_at: float) -> None:
    """Handles the result of renewing or ending the coordinator's lease."""
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


def release_leases(context: controlstate.Context,
                   done: threading.Event) -> None:
    """Starts to release all leases because this process is about to stop.

    The entry continues to coordinate until the store has acknowledged the end
    of the coordinator's lease, because no other entry can take over earlier.

    Args:
      context: The control actor's context.
      done: Event that is set when other entries can take over.
    """
    owned = context.owned
    owned.is_stopping, owned.handover_done = True, done
    owned.handover_reason = 'this entry is stopping'
    owned.lease_due_at = owned.entry_lease_due_at = 0.0
    if owned.coordinator_lease is None:
        done.set()
