"""Quarantine: requests that crash each server that runs them.

A request is known by its fingerprint (see `fingerprints`). Each request in
flight on a server when its process ended is a suspect; a suspect runs again
only alone among suspects, so the next crash names it. Two crashes with no clean
run between them block a fingerprint: it is answered as not run without
reaching a server. All follows from the crashes, the last clean run and the last
release; entries gossip these, so they agree without counting a crash twice.
Where suspects can't be run alone, `crashes.BlockPolicy` asks for more crashes.
Request threads and the control actor share the table, so each change holds its
lock; `check` takes none.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import math
import threading

from lentilmoor import crashes

# A server that was taken for crashed may be proven alive for this long.
_DOUBT_MS = 10_000.0
_MOST_SUSPECTS = 4_096
# Crashes of servers are remembered for as long as they may explain a block.
_MOST_ENDS = 1_024
# Changed suspects and servers that are told at a time.
_MOST_TOLD = 64
# Servers that are lost together crash within this time of each other.
_COMMON_CAUSE_MS = 1_000.0


class Verdict(enum.Enum):
    """What may be done with a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    BLOCKED = 'blocked'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """One observation as it travels between entries (peer.CrashEvidence).

    Attributes:
      fingerprint: 16 bytes; empty for the crash of a server, whatever it ran.
      service: 'team/service'.
      crashes: 1 for a crash, 0 for a run that ended well.
      age_ms: Time since the observation.
      server: Where it was seen; empty for a release.
      released: An operator let the request pass again.
    """

    fingerprint: bytes
    service: str
    crashes: int
    age_ms: float
    server: str = ''
    released: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServerCrash:
    """The crash of a server, whatever it ran.

    Attributes:
      service: Its service.
      at: When, ms.
      version: Of the quarantine when this was learned.
    """

    service: str
    at: float
    version: int


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The suspects and server crashes that an entry knows.

    Attributes:
      suspects: By fingerprint.
      running_suspects: Fingerprint of the one suspect that runs on a server, by
        server id.
      unconfirmed_crashes: Time of the newest crash that the server may still
        refute by an answer, ms, by server id.
      attributed_crashes: Crashes that a blocked request accounts for.
      refused_count: Number of requests refused because they were blocked.
      evicted_count: Number of suspects removed because the table was full.
      policy: When requests are blocked.
      server_crashes: Crashes of servers, whatever they ran, by server id; each
        start of a server has its own id.
      version: Incremented by each change of a suspect or a server crash.
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
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def check(table: Quarantine, fingerprint: bytes, now: float) -> Verdict:
    """Returns whether a request may be dispatched.

    Args:
      table: The quarantine.
      fingerprint: Of the request.
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
    """Takes a server's one place for suspects.

    Args:
      table: The quarantine of the entry that is the server's home.
      server: Server id.
      fingerprint: Of the suspect.

    Returns:
      Whether it may run now. If not, another suspect runs there: wait for
      its end, then `check` again, as it may have been cleared.
    """
    with table.lock:
        if server in table.running_suspects:
            return False
        table.running_suspects[server] = fingerprint
        return True


def release_suspect_slot(table: Quarantine, server: str) -> None:
    """Gives a server's place for suspects back."""
    table.running_suspects.pop(server, None)


def report_crash(table: Quarantine, fingerprint: bytes, service: str,
                 server: str, now: float) -> Evidence:
    """Notes that a server's process seems to have ended during a request.

    Args:
      table: The quarantine; updated.
      fingerprint: Of the request whose connection was lost.
      service: 'team/service'.
      server: The server that ended.
      now: ms.

    Returns:
      Evidence to send to the shard's grantor before any retry.
    """
    with table.lock:
        _add_crash(table, fingerprint, service, crashes.Crash(server, now))
    return Evidence(fingerprint, service, 1, 0.0, server)


def report_clean_run(table: Quarantine, fingerprint: bytes, server: str,
                     now: float) -> Evidence | None:
    """Notes that a request ran and its server lives.

    Args:
      table: The quarantine; updated.
      fingerprint: Of the request, whole answer received.
      server: The server that answered.
      now: ms.

    Returns:
      Evidence for the peers if it had been a suspect, else None.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or not suspect.crashes:
        return None
    with table.lock:
        crashes.apply_clean_run(suspect, now)
        _touch(table, suspect)
    return Evidence(fingerprint, suspect.service, 0, 0.0, server)


def report_server_crash(table: Quarantine, service: str, server: str,
                        now: float) -> None:
    """Notes that a server crashed, whatever it ran.

    Args:
      table: The quarantine; updated.
      service: Its service.
      server: Its id, which no later start has.
      now: ms.
    """
    with table.lock:
        _add_end(table, service, server, now)


def report_alive(table: Quarantine,
                 server: str,
                 since: float,
                 now: float,
                 until: float = math.inf) -> list[Evidence]:
    """Takes back crashes of a server that turned out to be alive.

    Args:
      table: The quarantine; updated.
      server: Server id.
      since: When a connection was opened that has answered just now, ms; the
        server's process has lived from then on.
      now: ms.
      until: Up to when that is certain, ms; later crashes stay.

    Returns:
      Evidence for the peers that those requests did no harm.
    """
    if not since < table.unconfirmed_crashes.get(server, since) <= until:
        return []
    with table.lock:
        table.unconfirmed_crashes.pop(server, None)
        return _take_back(table, server, since, until, now)


def _take_back(table: Quarantine, server: str, since: float, until: float,
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
        _touch(table, suspect)
        if not kept:
            suspect.clean_run_at = now
            cleared.append(
                Evidence(fingerprint, suspect.service, 0, 0.0, server))
    return cleared


def merge(table: Quarantine, items: Iterable[Evidence], now: float) -> None:
    """Takes in evidence from peers; the same evidence twice changes nothing.

    Args:
      table: The quarantine; updated.
      items: Evidence.
      now: ms.
    """
    with table.lock:
        for item in items:
            _merge_item(table, item, now - item.age_ms)


def _merge_item(table: Quarantine, item: Evidence, at: float) -> None:
    if not item.fingerprint:
        _add_end(table, item.service, item.server, at)
    elif item.released:
        _release(table, item.fingerprint, item.service, at)
    elif item.crashes:
        _add_crash(table, item.fingerprint, item.service,
                   crashes.Crash(item.server, at))
    else:
        # Crashes before it may still be under way.
        suspect = _find_suspect(table, item.fingerprint, item.service)
        if crashes.merge_clean_run(suspect, at):
            _touch(table, suspect)


def release(table: Quarantine, fingerprint: bytes, service: str,
            now: float) -> Evidence:
    """Lets a request pass again, by an operator's order.

    Args:
      table: The quarantine; updated.
      fingerprint: Of the request.
      service: 'team/service'.
      now: ms.

    Returns:
      Evidence for the peers; crashes before now no longer count anywhere.
    """
    with table.lock:
        _release(table, fingerprint, service, now)
    return Evidence(fingerprint, service, 0, 0.0, released=True)


def export(table: Quarantine, now: float) -> list[Evidence]:
    """Returns all that peers should know, for the periodic exchange."""
    with table.lock:
        return [
            item for fingerprint, suspect in table.suspects.items()
            for item in _describe(fingerprint, suspect, now)
        ]


def list_changes(table: Quarantine, since: int,
                 now: float) -> tuple[list[Evidence], int]:
    """Returns what has changed, for a peer that knows an earlier version.

    Args:
      table: The quarantine.
      since: The version.
      now: ms.

    Returns:
      Evidence, and the version up to which it tells everything.
    """
    if table.version <= since:
        return [], table.version
    with table.lock:
        changed = [(suspect.version, [*_describe(fingerprint, suspect, now)])
                   for fingerprint, suspect in table.suspects.items()
                   if suspect.version > since]
        changed += [(end.version,
                     [Evidence(b'', end.service, 1, now - end.at, server)])
                    for server, end in table.server_crashes.items()
                    if end.version > since]
        version = table.version
    changed.sort(key=lambda row: row[0])
    if len(changed) > _MOST_TOLD:
        changed = changed[:_MOST_TOLD]
        version = changed[-1][0]
    return [item for _, items in changed for item in items], version


def has_concurrent_crashes(table: Quarantine, fingerprint: bytes) -> bool:
    """Returns whether servers crashed together with those that ran a request.

    What lost them may have lost the others too, with the request on them.
    """
    with table.lock:
        suspect = table.suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return False
        known = {
            crash.server
            for crash in (*suspect.crashes, *table.attributed_crashes)
        }
        return any(
            end.service == suspect.service and server not in known and any(
                abs(end.at - crash.at) <= _COMMON_CAUSE_MS
                for crash in suspect.crashes)
            for server, end in table.server_crashes.items())


def _describe(fingerprint: bytes, suspect: crashes.Suspect,
              now: float) -> Iterator[Evidence]:
    service = suspect.service
    for crash in suspect.crashes:
        yield Evidence(fingerprint, service, 1, now - crash.at, crash.server)
    if suspect.clean_run_at > -math.inf:
        yield Evidence(fingerprint, service, 0, now - suspect.clean_run_at)
    if suspect.released_at > -math.inf:
        age_ms = now - suspect.released_at
        yield Evidence(fingerprint, service, 0, age_ms, released=True)


def list_blocked(table: Quarantine, now: float) -> dict[bytes, crashes.Suspect]:
    """Returns what is blocked now, for operators."""
    with table.lock:
        return {
            fingerprint: suspect
            for fingerprint, suspect in table.suspects.items()
            if suspect.blocked_until > now
        }


def list_uncleared_blocks(table: Quarantine) -> dict[bytes, crashes.Suspect]:
    """Returns what has been blocked and not cleared since."""
    with table.lock:
        return {
            fingerprint: suspect
            for fingerprint, suspect in table.suspects.items()
            if suspect.blocked_until
        }


def step(table: Quarantine, now: float) -> None:
    """Forgets what is old and what a blocked request accounts for.

    Args:
      table: The quarantine; updated.
      now: ms.
    """
    if table.suspects or table.server_crashes:
        with table.lock:
            _forget(table, now)


def _forget(table: Quarantine, now: float) -> None:
    table.unconfirmed_crashes = {
        server: at
        for server, at in table.unconfirmed_crashes.items()
        if at > now - _DOUBT_MS
    }
    # Reports of a crash may still be under way for a while; only then is it
    # known which requests shared both crashes.
    settled = now - crashes.DUPLICATE_WINDOW_MS
    table.attributed_crashes = [
        crash for suspect in table.suspects.values()
        if suspect.blocked_until > now for crash in suspect.crashes
        if crash.at < settled
    ]
    for fingerprint, suspect in list(table.suspects.items()):
        if not suspect.blocked_until:
            _drop_explained(table, suspect)
        if crashes.is_expired(suspect, now):
            del table.suspects[fingerprint]
    for server, end in list(table.server_crashes.items()):
        if end.at + crashes.BLOCK_MS < now:
            del table.server_crashes[server]


def _drop_explained(table: Quarantine, suspect: crashes.Suspect) -> None:
    if not table.attributed_crashes or not suspect.crashes:
        return
    suspect.crashes = [
        crash for crash in suspect.crashes if not _is_explained(table, crash)
    ]


def _is_explained(table: Quarantine, crash: crashes.Crash) -> bool:
    return any(
        crashes.is_duplicate(crash, known, table.policy)
        for known in table.attributed_crashes)


def _add_crash(table: Quarantine, fingerprint: bytes, service: str,
               crash: crashes.Crash) -> None:
    """Adds a crash to a suspect, unless it is known or says nothing."""
    if fingerprint not in table.suspects and _is_explained(table, crash):
        return
    suspect = _find_suspect(table, fingerprint, service)
    if crash.at <= max(suspect.clean_run_at, suspect.released_at):
        return
    if any(
            crashes.is_duplicate(crash, known, table.policy)
            for known in suspect.crashes):
        return
    if not suspect.crashes and _is_explained(table, crash):
        return
    table.unconfirmed_crashes[crash.server] = crash.at
    known = sorted([*suspect.crashes, crash], key=lambda item: item.at)
    crashes.set_crashes(suspect, known[-crashes.MAX_CRASHES:])
    _touch(table, suspect)


def _add_end(table: Quarantine, service: str, server: str, at: float) -> None:
    if server in table.server_crashes:
        return
    if len(table.server_crashes) >= _MOST_ENDS:
        del table.server_crashes[next(iter(table.server_crashes))]
    table.version += 1
    table.server_crashes[server] = ServerCrash(service, at, table.version)


def _find_suspect(table: Quarantine, fingerprint: bytes,
                  service: str) -> crashes.Suspect:
    """Returns what is known of a fingerprint; a new suspect if nothing is."""
    suspect = table.suspects.get(fingerprint)
    if suspect is None:
        _make_room(table)
        suspect = crashes.Suspect(service, policy=table.policy)
        table.suspects[fingerprint] = suspect
    return suspect


def _touch(table: Quarantine, suspect: crashes.Suspect) -> None:
    table.version += 1
    suspect.version = table.version


def _release(table: Quarantine, fingerprint: bytes, service: str,
             at: float) -> None:
    suspect = _find_suspect(table, fingerprint, service)
    if crashes.apply_release(suspect, at):
        _touch(table, suspect)


def _make_room(table: Quarantine) -> None:
    """Forgets the oldest suspect that was not blocked, if the table is full."""
    if len(table.suspects) < _MOST_SUSPECTS:
        return
    for fingerprint, suspect in table.suspects.items():
        if not suspect.blocked_until:
            del table.suspects[fingerprint]
            table.evicted_count += 1
            return
