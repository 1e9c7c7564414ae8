"""Suspects in the store: blocked requests, and those with as many crashes.

An entry that starts while no other entry is running reads them from there.
"""

from lentilmoor import causes
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
    """Merges suspects that have changed in the store."""
    previous = before.suspects if before else {}
    now = context.clock.now()
    for name, saved in everything.suspects.items():
        if previous.get(name) is saved:
            continue
        suspect = crashes.Suspect(saved.service, list(saved.crashes),
                                  dict(saved.trials))
        suspects.merge(
            context.forwarder,
            quarantine.make_evidence(saved.fingerprint, suspect, now), now)
        if saved.is_only_cause:
            causes.restore_block(context.forwarder.suspects, saved.fingerprint)


def update_store(context: controlstate.Context, now: float) -> None:
    """Writes the next change of the suspects to the store.

    Does nothing unless this entry is the first hub and can reach the store.
    """
    owned, forwarder = context.owned, context.forwarder
    saved = owned.store_snapshot.suspects
    if not (forwarder.suspects.suspects or
            saved) or now < owned.suspects_due_at:
        return
    if forwarder.trials.issuing_since is None or owned.store_lost_at:
        return
    lasting = quarantine.list_lasting(forwarder.suspects)
    unsaved = [
        fingerprint for fingerprint, suspect in lasting.items()
        if _has_news(suspect, saved.get(fingerprint.hex()))
    ]
    if unsaved:
        # One write at a time: the gravest first.
        worst = max(unsaved, key=lambda item: _find_gravity(lasting[item]))
        _save_suspect(context, now, worst, lasting[worst],
                      saved.get(worst.hex()))
        return
    for name, stored in saved.items():
        if stored.fingerprint not in lasting:
            owned.suspects_due_at = now + WRITE_RETRY_MS
            context.logger.info('suspect_forgotten', fingerprint=name)
            context.call(
                lambda stored=stored: context.platform.store.delete_suspect(
                    stored),
                lambda result, unused_at: _log_failure(context, result))
            return


def _has_news(suspect: crashes.Suspect,
              stored: ports.SavedSuspect | None) -> bool:
    """Returns whether a suspect has more than what is stored of it."""
    if stored is None:
        return True
    servers = {crash.server for crash in stored.crashes}
    return (any(crash.server not in servers for crash in suspect.crashes) or
            bool(suspect.trials.keys() - stored.trials.keys()) or
            suspect.is_only_cause and not stored.is_only_cause)


def _find_gravity(suspect: crashes.Suspect) -> tuple[bool, int, int]:
    return (bool(suspect.blocked_until), len(suspect.trials),
            len(suspect.crashes))


def _save_suspect(context: controlstate.Context, now: float, fingerprint: bytes,
                  suspect: crashes.Suspect,
                  stored: ports.SavedSuspect | None) -> None:
    context.owned.suspects_due_at = now + WRITE_RETRY_MS
    revision = 0 if stored is None else stored.revision
    record = ports.SavedSuspect(fingerprint, suspect.service,
                                tuple(suspect.crashes), dict(suspect.trials),
                                revision, suspect.is_only_cause)
    context.logger.info('suspect_saved',
                        fingerprint=fingerprint.hex(),
                        crashes=len(record.crashes),
                        trials=len(record.trials),
                        blocked=bool(suspect.blocked_until))
    context.call(lambda: context.platform.store.save_suspect(record),
                 lambda result, unused_at: _log_failure(context, result))


def _log_failure(context: controlstate.Context,
                 result: outcomes.Failed | None) -> None:
    if result is not None:
        context.logger.warning('suspect_not_saved', reason=result.reason.value)
