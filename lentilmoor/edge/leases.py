"""Leases that an entry keeps: its own, and the coordinator's."""

import threading

from lentilmoor import outcomes
from lentilmoor.edge import beliefs
from lentilmoor.edge import elections
from lentilmoor.edge import ports

# An entry's own lease, by which the others count it.
ENTRY_LEASE_MS = 9_000.0
ENTRY_KEEP_MS = 1_000.0
# A lease that could not be kept for so long: the store may be away.
STORE_DOUBT_MS = 1_300.0


def keep(context: beliefs.Context, now: float) -> None:
    """Opens the entry's lease if there is none, and renews what is due."""
    owned = context.owned
    if owned.entry_lease is None:
        _open_entry_lease(context, now)
    elif owned.entry_keep_at <= now and not owned.entry_keeping:
        owned.entry_keep_at = now + ENTRY_KEEP_MS
        owned.entry_keeping = True
        lease = owned.entry_lease
        context.call(lambda: context.platform.store.keep_lease(lease),
                     lambda result, sent: _entry_kept(context, lease, result))
    if owned.lease is not None and owned.keep_at <= now:
        owned.keep_at = now + elections.KEEP_MS
        lease = owned.lease
        context.call(lambda: context.platform.store.keep_lease(lease),
                     lambda result, sent: _kept(context, result, sent))


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


def _entry_kept(context: beliefs.Context, lease: ports.Lease, result) -> None:
    """Takes in a renewal; the store may have been away unnoticed.

    A watch that waited meanwhile may never be answered.
    """
    owned = context.owned
    owned.entry_keeping = False
    if beliefs.is_ended(result) and owned.entry_lease is lease:
        context.logger.warning('entry_lease_lapsed',
                               lease=lease.id,
                               detail=result.detail)
        owned.entry_lease = None
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
    if not owned.lost_at or heard_ms >= context.forwarder.limits.seek_ms:
        return
    context.logger.info('store_regained',
                        away_ms=round(now - owned.lost_at),
                        heard_ms=round(heard_ms))
    owned.lost_at, owned.back_at = 0.0, now


def _kept(context: beliefs.Context, result, sent_at: float) -> None:
    owned = context.owned
    if result is None:
        owned.lease_sent_at = max(owned.lease_sent_at, sent_at)
    elif beliefs.is_ended(result):
        context.logger.warning('coordinator_lease_lapsed')
        owned.lease = None


def end(context: beliefs.Context, done: threading.Event) -> None:
    """Gives up all roles and leases, as this process is about to end.

    Args:
      context: The actor's.
      done: Set when others can take over.
    """
    owned = context.owned
    owned.leaving = True
    if context.clock.now() - owned.lease_sent_at > STORE_DOUBT_MS:
        # Nobody can follow now; go on until the process ends.
        done.set()
        return
    for name, role in owned.roles.items():
        if role.state is not None:
            elections.resign(context, name, role, 'this entry is about to end')
    held = [lease for lease in (owned.lease, owned.entry_lease) if lease]
    owned.lease = owned.entry_lease = None

    def end_all() -> None:
        for lease in held:
            context.platform.store.end_lease(lease)

    context.call(end_all, lambda result, sent: done.set())
