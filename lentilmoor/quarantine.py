"""Quarantine: requests that crash each server that runs them.

A request is known by its fingerprint (see `fingerprints`). Each request in
flight on a server when its process ended is a suspect; a suspect runs again
only alone among suspects, so the next crash names it. Two crashes with no clean
run between them block a fingerprint: it is answered as not run without
reaching a server. All follows from the crashes, the last clean run and the last
release; entries gossip these, so they agree without counting a crash twice.
Request threads and the control actor share the table, so each change holds its
lock; `check` takes none.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import threading

from lentilmoor import crashes

# A server that was taken for crashed may be proven alive for this long.
_DOUBT_MS = 10_000.0
_MOST_SUSPECTS = 4_096


class Verdict(enum.Enum):
    """What may be done with a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    BLOCKED = 'blocked'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """One observation as it travels between entries (peer.CrashEvidence).

    Attributes:
      fingerprint: 16 bytes.
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


@dataclasses.dataclass(slots=True)
class Quarantine:
    """The table of suspects, by fingerprint, and which of them run now.

    Attributes:
      suspects: By fingerprint.
      running: The one suspect that runs at a server, by server id.
      doubtful: Time of the newest crash by server id, while the server may
        still be proven alive.
      explained: Crashes that a blocked request accounts for.
      blocked: Requests answered as not run.
      dropped: Suspects forgotten for want of room.
      lock: Held while the table changes.
    """

    suspects: dict[bytes,
                   crashes.Suspect] = dataclasses.field(default_factory=dict)
    running: dict[str, bytes] = dataclasses.field(default_factory=dict)
    doubtful: dict[str, float] = dataclasses.field(default_factory=dict)
    explained: list[crashes.Crash] = dataclasses.field(default_factory=list)
    blocked: int = 0
    dropped: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def check(table: Quarantine, fingerprint: bytes, now: float) -> Verdict:
    """Returns whether a request may be dispatched.

    Args:
      table: The quarantine.
      fingerprint: Of the request.
      now: ms.

    Returns:
      BLOCKED: answer it as not run. SUSPECT: run it through the server's home
      entry, after `start_alone` there; without a home, answer it as not run.
      CLEAR: nothing is held against it.
    """
    suspect = table.suspects.get(fingerprint)
    if suspect is None or not suspect.crashes:
        return Verdict.CLEAR
    if suspect.blocked_until > now:
        table.blocked += 1
        return Verdict.BLOCKED
    return Verdict.SUSPECT


def start_alone(table: Quarantine, server: str, fingerprint: bytes) -> bool:
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
        if server in table.running:
            return False
        table.running[server] = fingerprint
        return True


def end_alone(table: Quarantine, server: str) -> None:
    """Gives a server's place for suspects back."""
    table.running.pop(server, None)


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
        crashes.clear(suspect, now)
    return Evidence(fingerprint, suspect.service, 0, 0.0, server)


def report_survived(table: Quarantine, server: str, since: float,
                    now: float) -> list[Evidence]:
    """Takes back crashes of a server that turned out to be alive.

    Args:
      table: The quarantine; updated.
      server: Server id.
      since: When a connection was opened that has answered just now, ms; the
        server's process has lived from then on.
      now: ms.

    Returns:
      Evidence for the peers that those requests did no harm.
    """
    if table.doubtful.get(server, since) <= since:
        return []
    with table.lock:
        table.doubtful.pop(server, None)
        return _take_back(table, server, since, now)


def _take_back(table: Quarantine, server: str, since: float,
               now: float) -> list[Evidence]:
    cleared = []
    for fingerprint, suspect in table.suspects.items():
        kept = [
            crash for crash in suspect.crashes
            if crash.server != server or crash.at <= since
        ]
        if len(kept) == len(suspect.crashes):
            continue
        crashes.set_crashes(suspect, kept)
        if not kept:
            suspect.ran_well_at = now
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
    if item.released:
        _release(table, item.fingerprint, item.service, at)
    elif item.crashes:
        _add_crash(table, item.fingerprint, item.service,
                   crashes.Crash(item.server, at))
    elif item.fingerprint in table.suspects:
        crashes.merge_clean_run(table.suspects[item.fingerprint], at)


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


def _describe(fingerprint: bytes, suspect: crashes.Suspect,
              now: float) -> Iterator[Evidence]:
    service = suspect.service
    for crash in suspect.crashes:
        yield Evidence(fingerprint, service, 1, now - crash.at, crash.server)
    if suspect.ran_well_at >= 0:
        yield Evidence(fingerprint, service, 0, now - suspect.ran_well_at)
    if suspect.released_at >= 0:
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


def step(table: Quarantine, now: float) -> None:
    """Forgets what is old and what a blocked request accounts for.

    Args:
      table: The quarantine; updated.
      now: ms.
    """
    if table.suspects:
        with table.lock:
            _forget(table, now)


def _forget(table: Quarantine, now: float) -> None:
    table.doubtful = {
        server: at
        for server, at in table.doubtful.items()
        if at > now - _DOUBT_MS
    }
    # Reports of a crash may still be under way for a while; only then is it
    # known which requests shared both crashes.
    settled = now - crashes.SAME_CRASH_MS
    table.explained = [
        crash for suspect in table.suspects.values()
        if suspect.blocked_until > now for crash in suspect.crashes
        if crash.at < settled
    ]
    for fingerprint, suspect in list(table.suspects.items()):
        if not suspect.blocked_until:
            _drop_explained(table, suspect)
        if crashes.is_past(suspect, now):
            del table.suspects[fingerprint]


def _drop_explained(table: Quarantine, suspect: crashes.Suspect) -> None:
    if not table.explained or not suspect.crashes:
        return
    suspect.crashes = [
        crash for crash in suspect.crashes if not _is_explained(table, crash)
    ]


def _is_explained(table: Quarantine, crash: crashes.Crash) -> bool:
    return any(crashes.is_same(crash, known) for known in table.explained)


def _add_crash(table: Quarantine, fingerprint: bytes, service: str,
               crash: crashes.Crash) -> None:
    """Adds a crash to a suspect, unless it is known or says nothing."""
    suspect = table.suspects.get(fingerprint)
    if suspect is None:
        if _is_explained(table, crash):
            return
        _make_room(table)
        suspect = table.suspects[fingerprint] = crashes.Suspect(service)
    if crash.at <= max(suspect.ran_well_at, suspect.released_at):
        return
    if any(crashes.is_same(crash, known) for known in suspect.crashes):
        return
    if not suspect.crashes and _is_explained(table, crash):
        return
    table.doubtful[crash.server] = crash.at
    known = sorted([*suspect.crashes, crash], key=lambda item: item.at)
    crashes.set_crashes(suspect, known[-crashes.MOST_CRASHES:])


def _release(table: Quarantine, fingerprint: bytes, service: str,
             at: float) -> None:
    new = crashes.Suspect(service)
    crashes.release(table.suspects.setdefault(fingerprint, new), at)


def _make_room(table: Quarantine) -> None:
    """Forgets the oldest suspect that was not blocked, if the table is full."""
    if len(table.suspects) < _MOST_SUSPECTS:
        return
    for fingerprint, suspect in table.suspects.items():
        if not suspect.blocked_until:
            del table.suspects[fingerprint]
            table.dropped += 1
            return
