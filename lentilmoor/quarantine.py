"""Quarantine of requests that crash each server that runs them.

Requests are identified by their fingerprint (see `fingerprints`). Each request
that was in flight on a server when its process ended is a suspect. A server
runs at most one suspect at a time, so that the next crash identifies the
request that caused it. Two crashes with no clean run between them block a
fingerprint: its requests are rejected as not run without reaching a server.

The state of a fingerprint depends only on its crashes, its last clean run and
its last release. Entries exchange these by gossip, so they reach the same state
and count no crash twice. Where suspects can't be run one at a time,
`crashes.BlockPolicy` requires more crashes, and `causes` compares those of
different fingerprints.

Request threads and the control actor share the table, so each change holds its
lock; `check` acquires no lock.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import math
import threading

from lentilmoor import crashes

# Time during which an answer can prove that a server has not crashed.
_REVOCATION_WINDOW_MS = 10_000.0
_MAX_SUSPECTS = 4_096
# Maximum number of server crashes kept. Each is kept for as long as it may
# explain a block.
_MAX_SERVER_CRASHES = 1_024
# Maximum error of a time that is computed from a report of another entry.
REPORTED_TIME_ERROR_MS = 1_000.0
# Maximum number of changed suspects and server crashes sent at a time.
_MAX_CHANGES_PER_MESSAGE = 64
# Maximum number of changes in a table.
MAX_CHANGES = _MAX_SUSPECTS + _MAX_SERVER_CRASHES


class Verdict(enum.Enum):
    """Whether a request may be dispatched (see `check`)."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    BLOCKED = 'blocked'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """One observation, as entries exchange it (peer.CrashEvidence).

    Attributes:
      fingerprint: 16 bytes; empty for the crash of a server regardless of its
        requests.
      service: 'team/service'.
      crashes: 1 for a crash or a trial, 0 for a clean run or a release.
      age_ms: Time since the observation.
      server: Id of the server that crashed or answered; empty for a release.
      released: Whether an operator released the request.
      trial: Id of the trial that was sent to a server; empty for any other
        observation.
    """

    fingerprint: bytes
    service: str
    crashes: int
    age_ms: float
    server: str = ''
    released: bool = False
    trial: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCrash:
    """The crash of a server, regardless of the requests that it ran.

    Attributes:
      service: 'team/service'.
      at: Time of the crash, ms.
      version: Version of the quarantine when the crash was recorded or refuted.
      refuted_until: Time up to which the server is known to have been alive,
        ms; -inf if nothing refutes the crash.
      time_error_ms: By how much `at` may be too early, as it was computed from
        a report.
    """

    service: str
    at: float
    version: int
    refuted_until: float = -math.inf
    time_error_ms: float = 0.0

    @property
    def is_refuted(self) -> bool:
        """Whether the server was alive at the time of the crash."""
        return self.refuted_until >= self.at


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The suspects and server crashes that an entry knows.

    Attributes:
      suspects: By fingerprint.
      running_suspects: Fingerprint of the one suspect that runs on a server, by
        server id.
      unconfirmed_crashes: Time of the newest crash that the server may still
        refute by an answer, ms, by server id.
      attributed_crashes: Crashes that a blocked request accounts for; empty
        unless the policy clears others of them.
      refused_count: Number of requests refused because they were blocked.
      evicted_count: Number of suspects removed because the table was full.
      policy: When requests are blocked.
      server_crashes: Crashes of servers, regardless of their requests, by
        server id; each start of a server has its own id.
      version: Incremented by each change of a suspect or a server crash.
      judged_version: Version up to which `causes` has judged the suspects.
      lock: Held while the table changes.
    """

    suspects: dict[bytes,
                   crashes.Suspect] = dataclasses.field(default_factory=dict)
    running_suspects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    unconfirmed_crashes: dict[str,
                              float] = dataclasses.field(default_factory=dict)
    attributed_crashes: list[crashes.Crash] = dataclasses.field(
        default_factory=list)
    refused_count: int = 0
    evicted_count: int = 0
    policy: crashes.BlockPolicy = crashes.BlockPolicy()
    server_crashes: dict[str,
                         ServerCrash] = dataclasses.field(default_factory=dict)
    version: int = 0
    judged_version: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def check(table: Quarantine, fingerprint: bytes, now: float) -> Verdict:
    """Returns whether a request may be dispatched.

    Args:
      table: The quarantine.
      fingerprint: Fingerprint of the request.
      now: ms.

    Returns:
      BLOCKED: reject it as not run. SUSPECT: run it through the home entry of
      the server, after `acquire_suspect_slot` there; reject it as not run if
      the server has no home entry. CLEAR: no crashes are attributed to it.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or not suspect.crashes:
        return Verdict.CLEAR
    if suspect.blocked_until > now:
        table.refused_count += 1
        return Verdict.BLOCKED
    return Verdict.SUSPECT


def acquire_suspect_slot(table: Quarantine, server: str,
                         fingerprint: bytes) -> bool:
    """Acquires the only slot of a server for suspects.

    Args:
      table: The quarantine of the server's home entry.
      server: Server id.
      fingerprint: Fingerprint of the suspect.

    Returns:
      Whether the suspect may run now. If not, another suspect runs there: try
      again after it has ended, and then `check` again, as the suspect may
      have been cleared.
    """
    with table.lock:
        if server in table.running_suspects:
            return False
        table.running_suspects[server] = fingerprint
        return True


def release_suspect_slot(table: Quarantine, server: str) -> None:
    """Releases the slot of a server for suspects."""
    table.running_suspects.pop(server, None)


def report_crash(table: Quarantine, fingerprint: bytes, service: str,
                 server: str, now: float) -> Evidence:
    """Records that a server's process seems to have ended during a request.

    Args:
      table: The quarantine; updated.
      fingerprint: Fingerprint of the request whose connection was lost.
      service: 'team/service'.
      server: Id of the server that seems to have crashed.
      now: ms.

    Returns:
      Evidence to send to the shard's grantor before any retry.
    """
    with table.lock:
        _add_crash(table, fingerprint, service, crashes.Crash(server, now))
    return Evidence(fingerprint, service, 1, 0.0, server)


def report_trial(table: Quarantine, fingerprint: bytes, trial: str,
                 at: float) -> None:
    """Records that a trial of a suspect was sent to a server.

    Args:
      table: The quarantine; updated.
      fingerprint: Fingerprint of the request.
      trial: Id of the trial.
      at: When it was sent, ms.
    """
    with table.lock:
        suspect = table.suspects.get(fingerprint)
        if suspect is not None:
            _add_trial(table, suspect, trial, at)


def report_clean_run(table: Quarantine, fingerprint: bytes, server: str,
                     now: float) -> Evidence | None:
    """Records that a request ran without crashing its server.

    Args:
      table: The quarantine; updated.
      fingerprint: Fingerprint of the request, whose answer is complete.
      server: Id of the server that answered.
      now: ms.

    Returns:
      Evidence for the peers if the request was a suspect, else None.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or not suspect.crashes:
        return None
    with table.lock:
        crashes.apply_clean_run(suspect, now)
        _mark_changed(table, suspect)
    return Evidence(fingerprint, suspect.service, 0, 0.0, server)


def report_server_crash(table: Quarantine, service: str, server: str,
                        now: float) -> None:
    """Records that a server crashed, regardless of its requests.

    Args:
      table: The quarantine; updated.
      service: The server's service.
      server: Server id; each start of a server has its own id.
      now: ms.
    """
    with table.lock:
        _add_server_crash(table, service, server, now)


def has_crashed(table: Quarantine, server: str) -> bool:
    """Returns whether a server is known to have crashed."""
    crash = table.server_crashes.get(server)
    return crash is not None and not crash.is_refuted


def refute_server_crash(table: Quarantine, server: str,
                        alive_at: float) -> None:
    """Records that a server that seemed to have crashed was alive.

    Its crashes up to then are also taken from the requests that it ran. Some
    entries may have lost their path to a server that others still reach.

    Args:
      table: The quarantine; updated.
      server: Server id.
      alive_at: Time at which its process was running, ms.
    """
    if not has_crashed(table, server):
        return
    with table.lock:
        _refute_server_crash(table, server, alive_at)


def _refute_server_crash(table: Quarantine, server: str,
                         alive_at: float) -> None:
    crash = table.server_crashes.get(server)
    if crash is None or alive_at <= max(crash.at, crash.refuted_until):
        return
    table.version += 1
    table.server_crashes[server] = dataclasses.replace(crash,
                                                       version=table.version,
                                                       refuted_until=alive_at)
    _revoke_crashes(table, server, -math.inf, alive_at, alive_at)


def report_alive(table: Quarantine,
                 server: str,
                 since: float,
                 now: float,
                 until: float = math.inf) -> list[Evidence]:
    """Revokes crashes of a server that is still alive.

    Args:
      table: The quarantine; updated.
      server: Server id.
      since: When the connection was opened over which the server has just
        answered, ms; its process has been running since then.
      now: ms.
      until: Time until which the process is known to have been running, ms;
        later crashes are kept.

    Returns:
      Evidence for the peers that the requests did not crash the server.
    """
    if not since < table.unconfirmed_crashes.get(server, since) <= until:
        return []
    with table.lock:
        table.unconfirmed_crashes.pop(server, None)
        return _revoke_crashes(table, server, since, until, now)


def _revoke_crashes(table: Quarantine, server: str, since: float, until: float,
                    now: float) -> list[Evidence]:
    cleared = []
    for fingerprint, suspect in table.suspects.items():
        kept = [
            crash for crash in suspect.crashes
            if crash.server != server or not since < crash.at <= until
        ]
        if len(kept) == len(suspect.crashes):
            continue
        crashes.set_crashes(suspect, kept)
        _mark_changed(table, suspect)
        if not kept:
            suspect.clean_run_at = now
            cleared.append(
                Evidence(fingerprint, suspect.service, 0, 0.0, server))
    return cleared


def merge(table: Quarantine, items: Iterable[Evidence], now: float) -> None:
    """Merges evidence from peers; merging it again changes nothing.

    Args:
      table: The quarantine; updated.
      items: Evidence.
      now: ms.
    """
    with table.lock:
        for item in items:
            _merge_item(table, item, now - item.age_ms)


def _merge_item(table: Quarantine, item: Evidence, at: float) -> None:
    if not item.fingerprint and item.crashes:
        _add_server_crash(table, item.service, item.server, at,
                          REPORTED_TIME_ERROR_MS)
    elif not item.fingerprint:
        _refute_server_crash(table, item.server, at)
    elif item.released:
        _apply_release(table, item.fingerprint, item.service, at)
    elif item.trial:
        suspect = _get_or_add_suspect(table, item.fingerprint, item.service)
        _add_trial(table, suspect, item.trial, at)
    elif item.crashes:
        _add_crash(table, item.fingerprint, item.service,
                   crashes.Crash(item.server, at))
    else:
        # The suspect is added even if it is unknown, since reports of crashes
        # before the clean run may arrive later.
        suspect = _get_or_add_suspect(table, item.fingerprint, item.service)
        if crashes.merge_clean_run(suspect, at):
            _mark_changed(table, suspect)


def release(table: Quarantine, fingerprint: bytes, service: str,
            now: float) -> Evidence:
    """Unblocks a request at an operator's command.

    Args:
      table: The quarantine; updated.
      fingerprint: Fingerprint of the request.
      service: 'team/service'.
      now: ms.

    Returns:
      Evidence for the peers, which then ignore crashes before now too.
    """
    with table.lock:
        _apply_release(table, fingerprint, service, now)
    return Evidence(fingerprint, service, 0, 0.0, released=True)


def export(table: Quarantine, now: float) -> list[Evidence]:
    """Returns the evidence on all suspects, for the periodic exchange."""
    with table.lock:
        return [
            item for fingerprint, suspect in table.suspects.items()
            for item in make_evidence(fingerprint, suspect, now)
        ]


def list_changes(
        table: Quarantine,
        since: int,
        now: float,
        most: int = _MAX_CHANGES_PER_MESSAGE) -> tuple[list[Evidence], int]:
    """Returns the changes since a version, for a peer that has that version.

    Args:
      table: The quarantine.
      since: The version.
      now: ms.
      most: Maximum number of changed suspects and server crashes.

    Returns:
      Evidence, and the version up to which it includes all changes.
    """
    if table.version <= since:
        return [], table.version
    with table.lock:
        changed = [(suspect.version,
                    [*make_evidence(fingerprint, suspect, now)])
                   for fingerprint, suspect in table.suspects.items()
                   if suspect.version > since]
        changed += [(crash.version, _list_server_evidence(server, crash, now))
                    for server, crash in table.server_crashes.items()
                    if crash.version > since]
        version = table.version
    changed.sort(key=lambda row: row[0])
    if len(changed) > most:
        changed = changed[:most]
        version = changed[-1][0]
    return [item for _, items in changed for item in items], version


def _list_server_evidence(server: str, crash: ServerCrash,
                          now: float) -> list[Evidence]:
    found = [Evidence(b'', crash.service, 1, now - crash.at, server)]
    if crash.refuted_until > -math.inf:
        found.append(
            Evidence(b'', crash.service, 0, now - crash.refuted_until, server))
    return found


def list_evidence(table: Quarantine, fingerprint: bytes,
                  now: float) -> list[Evidence]:
    """Returns the evidence on one request."""
    with table.lock:
        suspect = table.suspects.get(fingerprint)
        return ([] if suspect is None else list(
            make_evidence(fingerprint, suspect, now)))


def make_evidence(fingerprint: bytes, suspect: crashes.Suspect,
                  now: float) -> Iterator[Evidence]:
    """Returns the evidence that a suspect consists of."""
    service = suspect.service
    for crash in suspect.crashes:
        yield Evidence(fingerprint, service, 1, now - crash.at, crash.server)
    for trial, sent_at in suspect.trials.items():
        yield Evidence(fingerprint, service, 1, now - sent_at, trial=trial)
    if suspect.clean_run_at > -math.inf:
        yield Evidence(fingerprint, service, 0, now - suspect.clean_run_at)
    if suspect.released_at > -math.inf:
        age_ms = now - suspect.released_at
        yield Evidence(fingerprint, service, 0, age_ms, released=True)


def list_blocked(table: Quarantine, now: float) -> dict[bytes, crashes.Suspect]:
    """Returns the suspects that are blocked now, by fingerprint."""
    with table.lock:
        return {
            fingerprint: suspect
            for fingerprint, suspect in table.suspects.items()
            if suspect.blocked_until > now
        }


def list_lasting(table: Quarantine) -> dict[bytes, crashes.Suspect]:
    """Returns suspects that must not be forgotten, by fingerprint.

    They were blocked, or have as many crashes as may block them, and were not
    cleared. Includes those whose block has expired.
    """
    with table.lock:
        return {
            fingerprint: suspect
            for fingerprint, suspect in table.suspects.items()
            if suspect.blocked_until or
            len(suspect.crashes) >= suspect.policy.threshold
        }


def step(table: Quarantine, now: float) -> None:
    """Removes expired observations and crashes that a blocked request caused.

    Args:
      table: The quarantine; updated.
      now: ms.
    """
    if table.suspects or table.server_crashes:
        with table.lock:
            _remove_expired(table, now)


def _remove_expired(table: Quarantine, now: float) -> None:
    table.unconfirmed_crashes = {
        server: at
        for server, at in table.unconfirmed_crashes.items()
        if at > now - _REVOCATION_WINDOW_MS
    }
    # Other reports of a recent crash may still arrive, and only they show which
    # requests were in flight at both crashes. A recent crash is therefore not
    # attributed to a blocked request yet.
    settled = now - crashes.DUPLICATE_WINDOW_MS
    if table.policy.clears_attributed:
        table.attributed_crashes = [
            crash for suspect in table.suspects.values()
            if suspect.blocked_until > now for crash in suspect.crashes
            if crash.at < settled
        ]
    for fingerprint, suspect in list(table.suspects.items()):
        if not suspect.blocked_until:
            _remove_attributed(table, suspect)
        if crashes.is_expired(suspect, now):
            del table.suspects[fingerprint]
    for server, server_crash in list(table.server_crashes.items()):
        if server_crash.at + crashes.BLOCK_MS < now:
            del table.server_crashes[server]


def _remove_attributed(table: Quarantine, suspect: crashes.Suspect) -> None:
    if not table.attributed_crashes or not suspect.crashes:
        return
    suspect.crashes = [
        crash for crash in suspect.crashes if not _is_attributed(table, crash)
    ]


def _is_attributed(table: Quarantine, crash: crashes.Crash) -> bool:
    return any(
        crashes.is_duplicate(crash, known, table.policy)
        for known in table.attributed_crashes)


def _add_crash(table: Quarantine, fingerprint: bytes, service: str,
               crash: crashes.Crash) -> None:
    """Adds a crash to a suspect unless it is known, outdated or attributed."""
    attributed = _is_attributed(table, crash)
    if fingerprint not in table.suspects and attributed:
        return
    suspect = _get_or_add_suspect(table, fingerprint, service)
    if crash.at <= max(suspect.clean_run_at, suspect.released_at):
        return
    if any(
            crashes.is_duplicate(crash, known, table.policy)
            for known in suspect.crashes):
        return
    if not suspect.crashes and attributed:
        return
    table.unconfirmed_crashes[crash.server] = crash.at
    known = sorted([*suspect.crashes, crash], key=lambda item: item.at)
    crashes.set_crashes(suspect, crashes.limit_crashes(known, suspect.policy))
    _mark_changed(table, suspect)


def _add_trial(table: Quarantine, suspect: crashes.Suspect, trial: str,
               at: float) -> None:
    if crashes.add_trial(suspect, trial, at):
        _mark_changed(table, suspect)


def _add_server_crash(table: Quarantine,
                      service: str,
                      server: str,
                      at: float,
                      time_error_ms: float = 0.0) -> None:
    known = table.server_crashes.get(server)
    if known is not None and (not known.is_refuted or
                              at <= known.refuted_until):
        return
    if len(table.server_crashes) >= _MAX_SERVER_CRASHES:
        del table.server_crashes[next(iter(table.server_crashes))]
    table.version += 1
    table.server_crashes[server] = ServerCrash(service,
                                               at,
                                               table.version,
                                               time_error_ms=time_error_ms)


def _get_or_add_suspect(table: Quarantine, fingerprint: bytes,
                        service: str) -> crashes.Suspect:
    """Returns the suspect of a fingerprint; adds it if it is unknown."""
    suspect = table.suspects.get(fingerprint)
    if suspect is None:
        _evict_if_full(table)
        suspect = crashes.Suspect(service, policy=table.policy)
        table.suspects[fingerprint] = suspect
    return suspect


def _mark_changed(table: Quarantine, suspect: crashes.Suspect) -> None:
    table.version += 1
    suspect.version = table.version


def _apply_release(table: Quarantine, fingerprint: bytes, service: str,
                   at: float) -> None:
    suspect = _get_or_add_suspect(table, fingerprint, service)
    if crashes.apply_release(suspect, at):
        _mark_changed(table, suspect)


def _evict_if_full(table: Quarantine) -> None:
    """Removes the oldest suspect that was not blocked if the table is full."""
    if len(table.suspects) < _MAX_SUSPECTS:
        return
    for fingerprint, suspect in table.suspects.items():
        if not suspect.blocked_until:
            del table.suspects[fingerprint]
            table.evicted_count += 1
            return
