"""Leases that an entry keeps: its own, and the coordinator's."""

from collections.abc import Callable
import threading

from lentilmoor import outcomes
from lentilmoor.edge import beliefs
from lentilmoor.edge import elections
from lentilmoor.edge import ports
from lentilmoor.edge import revisions

# An entry's own lease, by which the others count it.
ENTRY_LEASE_MS = 9_000.0
ENTRY_KEEP_MS = 1_000.0


def keep(context: beliefs.Context, now: float) -> None:
    """Opens the entry's lease if there is none; renews or ends what is due."""
    owned = context.owned
    _keep_role_lease(context, now)
    if owned.entry_lease is None:
        _open_entry_lease(context, now)
    elif owned.entry_keep_at <= now and not owned.entry_keeping:
        owned.entry_keep_at = now + ENTRY_KEEP_MS
        owned.entry_keeping = True
        _call(context, owned.entry_lease, owned.leaving and
              _is_certain(context), _entry_kept)
    if owned.leaving and owned.lease is None:
        owned.handed_over.set()


def _keep_role_lease(context: beliefs.Context, now: float) -> None:
    owned = context.owned
    if owned.lease is None or owned.keep_at > now:
        return
    # A grant that may still arrive must not meet a successor's.
    if owned.handing_over and owned.unlinked_grants:
        return
    owned.keep_at = now + elections.KEEP_MS
    _call(context, owned.lease,
          bool(owned.handing_over) and _is_certain(context), _kept)


def _is_certain(context: beliefs.Context) -> bool:
    """Returns whether this entry's leases are surely still its own.

    A store that was away may have come back from an older copy, and have given
    their numbers to others.
    """
    store = context.platform.store
    known_era = revisions.find_era(context.owned.everything.revision)
    return store.find_unanswered_ms() == 0.0 and store.find_era() <= known_era


def _call(context: beliefs.Context, lease: ports.Lease, ends: bool,
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


def drop_lost(owned: beliefs.Beliefs) -> None:
    """Drops leases of what a restored store lacks, which is written anew.

    Such a lease may be gone, or have been given to another entry since.
    """
    everything = owned.everything
    if owned.instance not in everything.entries:
        owned.entry_lease = None
        owned.entry_keep_at = 0.0
    if all(peer.instance != owned.instance
           for peer in everything.coordinators.values()):
        owned.lease = None


def _open_entry_lease(context: beliefs.Context, now: float) -> None:
    owned = context.owned
    if owned.entry_keep_at > now or owned.entry_keeping or owned.leaving:
        return
    owned.entry_keep_at = now + ENTRY_KEEP_MS
    owned.entry_keeping = True
    store = context.platform.store

    def register() -> ports.Lease | outcomes.Failed:
        lease = store.open_lease(ENTRY_LEASE_MS)
        if isinstance(lease, outcomes.Failed):
            return lease
        return store.register(context.peer, lease) or lease

    def take(result, unused_sent_at) -> None:
        owned.entry_keeping = False
        if isinstance(result, ports.Lease):
            owned.entry_lease = result
        _note_store(context, isinstance(result, ports.Lease))

    context.call(register, take)


def _entry_kept(context: beliefs.Context, lease: ports.Lease, ends: bool,
                result, unused_sent_at: float) -> None:
    """Takes in a renewal or an end; the store may have been away unnoticed.

    A watch that waited meanwhile may never be answered.
    """
    owned = context.owned
    owned.entry_keeping = False
    if owned.entry_lease is lease:
        if beliefs.is_ended(result) and not ends:
            context.logger.warning('entry_lease_lapsed',
                                   lease=lease.id,
                                   detail=result.detail)
        if beliefs.is_ended(result) or ends and result is None:
            owned.entry_lease = None
        elif owned.leaving and result is None:
            owned.entry_keep_at = 0.0
    _note_store(context, result is None or beliefs.is_ended(result))


def _note_store(context: beliefs.Context, answers: bool) -> None:
    owned = context.owned
    if answers:
        _note_regained(context)
    if not answers:
        owned.doubted = True
    elif owned.doubted:
        owned.doubted = False
        owned.back_at = context.clock.now()
        context.logger.info('store_answers_again')
        context.watch_again()


def _note_regained(context: beliefs.Context) -> None:
    """Notes that the store is back, if others tell what it holds now.

    An entry that relays tell doesn't look at the store itself.
    """
    owned, now = context.owned, context.clock.now()
    heard_ms = now - context.forwarder.heard.seen_at
    if not owned.lost_at or heard_ms >= context.forwarder.limits.refresh_age_ms:
        return
    context.logger.info('store_regained',
                        away_ms=round(now - owned.lost_at),
                        heard_ms=round(heard_ms))
    owned.lost_at, owned.back_at = 0.0, now


def _kept(context: beliefs.Context, lease: ports.Lease, ends: bool, result,
          sent_at: float) -> None:
    """Takes in a renewal or an end of the coordinator's lease."""
    owned = context.owned
    if owned.lease is not lease:
        return
    if ends:
        context.states.note('coordinator_lease_end',
                            str(lease.id),
                            'ended' if result is None else result.reason,
                            reason=owned.handing_over)
    elif beliefs.is_ended(result):
        context.logger.warning('coordinator_lease_lapsed')
    if beliefs.is_ended(result) or ends and result is None:
        owned.lease = None
    elif result is None:
        owned.lease_sent_at = max(owned.lease_sent_at, sent_at)
        if owned.handing_over:
            owned.keep_at = 0.0


def leave(context: beliefs.Context, done: threading.Event) -> None:
    """Begins to give up all leases, as this process is about to end.

    Roles are kept until the store has acknowledged the end of their lease:
    nobody can take them before.

    Args:
      context: The actor's.
      done: Set when others can take over.
    """
    owned = context.owned
    owned.leaving, owned.handed_over = True, done
    owned.handing_over = 'this entry is about to end'
    owned.keep_at = owned.entry_keep_at = 0.0
    if owned.lease is None:
        done.set()
