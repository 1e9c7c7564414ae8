"""What one entry knows from the reports of all.

Requests under way add up over entries, which tells a server's backlog far
better than what the server told one of them a while ago. Requests that crash
their servers are found here too, as each attempt may come through another
entry.
"""

from collections.abc import Iterable
import dataclasses
import threading

from lentilmoor import logs
from lentilmoor.edge import reports

# A report counts for so long; entries report several times as often.
FRESH_MS = 1_200.0
# A request whose servers broke off so often, with no answer in between, is
# blocked: two in a row happen to sound requests when servers are lost.
MOST_CRASHES = 3
# It is forgotten after this time.
BLOCKED_MS = 30_000.0
# A rate limit is dropped if no answer has confirmed it for this time.
LIMIT_RETENTION_MS = 10_000.0
_MOST_FINGERPRINTS = 4_096


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request whose servers broke off.

    Attributes:
      crashes: How often.
      seen_at: When it was last seen, ms.
    """

    crashes: int
    seen_at: float


@dataclasses.dataclass(slots=True)
class HubTable:
    """Reports by entry, and suspects by fingerprint; for many threads.

    Attributes:
      inflight: When each entry last reported, ms, and its requests under way.
      totals: Requests of all entries under way, by server. They are kept up
        with each report, as adding them up for each reply would take the hub's
        time with many entries.
      expired_at: When old reports were last dropped, ms.
      suspects: By fingerprint.
      limits: By server id: the newest rate limit, None if it has ended, and
        when the server's answer was received, ms.
      lock: Guards all of them.
    """

    inflight: dict[str,
                   tuple[float,
                         dict[str,
                              int]]] = dataclasses.field(default_factory=dict)
    totals: dict[str, int] = dataclasses.field(default_factory=dict)
    expired_at: float = 0.0
    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    limits: dict[str, tuple[float | None,
                            float]] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def note_inflight(table: HubTable, entry: str, inflight: dict[str, int],
                  now: float) -> None:
    """Takes in an entry's requests under way."""
    with table.lock:
        _drop(table, entry)
        table.inflight[entry] = (now, inflight)
        for server, count in inflight.items():
            table.totals[server] = table.totals.get(server, 0) + count


def count_others(table: HubTable, entry: str, now: float) -> dict[str, int]:
    """Returns requests under way at servers, less those of one entry."""
    with table.lock:
        if now - table.expired_at > FRESH_MS / 4:
            table.expired_at = now
            for name, (at, _) in list(table.inflight.items()):
                if now - at > FRESH_MS:
                    _drop(table, name)
        others = dict(table.totals)
        _, own = table.inflight.get(entry, (0.0, {}))
    for server, count in own.items():
        others[server] -= count
        if not others[server]:
            del others[server]
    return others


def _drop(table: HubTable, entry: str) -> None:
    """Takes an entry's report out of the totals; the lock is held."""
    _, counts = table.inflight.pop(entry, (0.0, {}))
    for server, count in counts.items():
        table.totals[server] -= count
        if not table.totals[server]:
            del table.totals[server]


def note_crashes(table: HubTable, crashed: Iterable[str],
                 cleared: Iterable[str], now: float,
                 logger: logs.Logger) -> None:
    """Takes in requests whose servers broke off, and those answered since."""
    with table.lock:
        for fingerprint in cleared:
            if table.suspects.pop(fingerprint, None) is not None:
                logger.info('suspect_cleared', fingerprint=fingerprint)
        for fingerprint in crashed:
            suspect = table.suspects.setdefault(fingerprint, Suspect(0, now))
            suspect.crashes += 1
            suspect.seen_at = now
            logger.info('suspect_counted',
                        fingerprint=fingerprint,
                        crashes=suspect.crashes)
        if len(table.suspects) > _MOST_FINGERPRINTS:
            table.suspects.pop(next(iter(table.suspects)))


def list_blocked(table: HubTable, now: float, logger: logs.Logger) -> list[str]:
    """Returns fingerprints of requests that crash their servers."""
    with table.lock:
        for name, item in list(table.suspects.items()):
            if now - item.seen_at > BLOCKED_MS:
                del table.suspects[name]
                logger.info('suspect_forgotten',
                            fingerprint=name,
                            crashes=item.crashes)
        return [
            name for name, item in table.suspects.items()
            if item.crashes >= MOST_CRASHES
        ]


def list_suspects(table: HubTable) -> list[str]:
    """Returns fingerprints whose next answer is to be reported."""
    with table.lock:
        return list(table.suspects)


def note_limits(table: HubTable, limits: reports.ReportedLimits,
                now: float) -> None:
    """Records an entry's rate limits that are newer than the recorded ones."""
    with table.lock:
        for server, (rate, age_ms) in limits.items():
            received_at = now - age_ms
            _, previous_at = table.limits.get(server, (None, float('-inf')))
            if received_at > previous_at:
                table.limits[server] = (rate, received_at)


def list_limits(table: HubTable, now: float) -> reports.ReportedLimits:
    """Returns the newest rate limit of each server and drops expired ones."""
    with table.lock:
        for server, (_, received_at) in list(table.limits.items()):
            if now - received_at > LIMIT_RETENTION_MS:
                del table.limits[server]
        return {
            server: (rate, now - received_at)
            for server, (rate, received_at) in table.limits.items()
        }
