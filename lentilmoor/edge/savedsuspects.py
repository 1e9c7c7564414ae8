"""Blocked requests in the store, for entries that start when no other is up."""

from lentilmoor import crashes
from lentilmoor import outcomes
from lentilmoor import quarantine
from lentilmoor.edge import controlstate
from lentilmoor.edge import ports
from lentilmoor.edge import suspects

# Until a write is known by the store's news; a failed one is repeated then.
WRITE_RETRY_MS = 1_000.0


def merge_stored(context: controlstate.Context,
                 before: ports.StoreSnapshot | None,
                 everything: ports.StoreSnapshot) -> None:
    """Takes in blocked requests that are new in the store."""
    known = before.suspects if before else {}
    now = context.clock.now()
    for name, saved in everything.suspects.items():
        if known.get(name) is saved:
            continue
        evidence = [
            quarantine.Evidence(saved.fingerprint, saved.service, 1,
                                now - crash.at, crash.server)
            for crash in saved.crashes
        ]
        suspects.merge(context.forwarder, evidence, now)


def update_store(context: controlstate.Context, now: float) -> None:
    """Has the store hold what is blocked, if this entry is the first hub."""
    owned, forwarder = context.owned, context.forwarder
    saved = owned.store_snapshot.suspects
    if not (forwarder.suspects.suspects or
            saved) or now < owned.suspects_due_at:
        return
    if not forwarder.runs_trials or owned.store_lost_at:
        return
    blocked = quarantine.list_uncleared_blocks(forwarder.suspects)
    for fingerprint, suspect in blocked.items():
        known = saved.get(fingerprint.hex())
        if known is None or _list_servers(suspect) - _list_servers(known):
            _save(context, now, fingerprint, suspect, known)
            return
    for name, known in saved.items():
        if known.fingerprint not in blocked:
            owned.suspects_due_at = now + WRITE_RETRY_MS
            context.logger.info('suspect_forgotten', fingerprint=name)
            context.call(
                lambda known=known: context.platform.store.delete_suspect(known
                                                                         ),
                lambda result, unused_at: _note_result(context, result))
            return


def _list_servers(suspect: crashes.Suspect | ports.SavedSuspect) -> set[str]:
    return {crash.server for crash in suspect.crashes}


def _save(context: controlstate.Context, now: float, fingerprint: bytes,
          suspect: crashes.Suspect, known: ports.SavedSuspect | None) -> None:
    context.owned.suspects_due_at = now + WRITE_RETRY_MS
    revision = 0 if known is None else known.revision
    found = ports.SavedSuspect(fingerprint, suspect.service,
                               tuple(suspect.crashes), revision)
    context.logger.info('suspect_saved',
                        fingerprint=fingerprint.hex(),
                        crashes=len(found.crashes))
    context.call(lambda: context.platform.store.save_suspect(found),
                 lambda result, unused_at: _note_result(context, result))


def _note_result(context: controlstate.Context,
                 result: outcomes.Failed | None) -> None:
    if result is not None:
        context.logger.warning('suspect_not_saved', reason=result.reason.value)
