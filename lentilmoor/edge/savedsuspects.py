"""Blocked requests in the store.

An entry that starts while no other entry is running reads them from there.
"""

from lentilmoor import crashes
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import controlstate
from lentilmoor.edge import ports
from lentilmoor.edge import suspects

# Delay before the next write. The store's news normally confirm a write within
# this time; a failed write is repeated after it.
WRITE_RETRY_MS = 1_000.0


def merge_stored(context: controlstate.Context,
                 before: ports.StoreSnapshot | None,
                 everything: ports.StoreSnapshot) -> None:
    """Merges blocked requests that have changed in the store."""
    previous = before.suspects if before else {}
    now = context.clock.now()
    for name, saved in everything.suspects.items():
        if previous.get(name) is saved:
            continue
        evidence = [
            quarantine.Evidence(saved.fingerprint, saved.service, 1,
                                now - crash.at, crash.server)
            for crash in saved.crashes
        ]
        suspects.merge(context.forwarder, evidence, now)


def update_store(context: controlstate.Context, now: float) -> None:
    """Writes the next change of the blocked requests to the store.

    Does nothing unless this entry is the first hub and can reach the store.
    """
    owned, forwarder = context.owned, context.forwarder
    saved = owned.store_snapshot.suspects
    if not (forwarder.suspects.suspects or
            saved) or now < owned.suspects_due_at:
        return
    if forwarder.trials.issuing_since is None or owned.store_lost_at:
        return
    blocked = quarantine.list_uncleared_blocks(forwarder.suspects)
    for fingerprint, suspect in blocked.items():
        stored = saved.get(fingerprint.hex())
        if stored is None or _list_servers(suspect) - _list_servers(stored):
            _save_suspect(context, now, fingerprint, suspect, stored)
            return
    for name, stored in saved.items():
        if stored.fingerprint not in blocked:
            owned.suspects_due_at = now + WRITE_RETRY_MS
            context.logger.info('suspect_forgotten', fingerprint=name)
            context.call(
                lambda stored=stored: context.platform.store.delete_suspect(
                    stored),
                lambda result, unused_at: _log_failure(context, result))
            return


def _list_servers(suspect: crashes.Suspect | ports.SavedSuspect) -> set[str]:
    return {crash.server for crash in suspect.crashes}


def _save_suspect(context: controlstate.Context, now: float, fingerprint: bytes,
                  suspect: crashes.Suspect,
                  stored: ports.SavedSuspect | None) -> None:
    context.owned.suspects_due_at = now + WRITE_RETRY_MS
    revision = 0 if stored is None else stored.revision
    record = ports.SavedSuspect(fingerprint, suspect.service,
                                tuple(suspect.crashes), revision)
    context.logger.info('suspect_saved',
                        fingerprint=fingerprint.hex(),
                        crashes=len(record.crashes))
    context.call(lambda: context.platform.store.save_suspect(record),
                 lambda result, unused_at: _log_failure(context, result))


def _log_failure(context: controlstate.Context,
                 result: outcomes.Failed | None) -> None:
    if result is not None:
        context.logger.warning('suspect_not_saved', reason=result.reason.value)
