"""What one entry knows from the reports of all.

Requests under way add up over entries, which tells a server's backlog far
better than what the server told one of them a while ago.
"""

import dataclasses
import threading

from lentilmoor.edge import reports

# A report counts for so long; entries report several times as often.
REPORT_RETENTION_MS = 1_200.0
# A rate limit is dropped if no answer has confirmed it for this time.
LIMIT_RETENTION_MS = 10_000.0


@dataclasses.dataclass(slots=True)
class HubTable:
    """Reports by entry; for many threads.

    Attributes:
      inflight: When each entry last reported, ms, and its requests under way.
      totals: Requests of all entries under way, by server. They are kept up
        with each report, as adding them up for each reply would take the hub's
        time with many entries.
      expired_at: When old reports were last dropped, ms.
      limits: By server id: the newest rate limit, None if it has ended, and
        when the server's answer was received, ms.
      lock: Guards all of them.
    """

    inflight: dict[str,
                   tuple[float,
                         dict[str,
                              int]]] = dataclasses.field(default_factory=dict)
    inflight_totals: dict[str, int] = dataclasses.field(default_factory=dict)
    last_expiry_at: float = 0.0
    limits: dict[str, tuple[float | None,
                            float]] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def record_inflight(table: HubTable, entry: str, inflight: dict[str, int],
                    now: float) -> None:
    """Takes in an entry's requests under way."""
    with table.lock:
        _drop(table, entry)
        table.inflight[entry] = (now, inflight)
        for server, count in inflight.items():
            table.inflight_totals[server] = table.inflight_totals.get(
                server, 0) + count


def count_others_inflight(table: HubTable, entry: str,
                          now: float) -> dict[str, int]:
    """Returns requests under way at servers, less those of one entry."""
    with table.lock:
        if now - table.last_expiry_at > REPORT_RETENTION_MS / 4:
            table.last_expiry_at = now
            for name, (at, _) in list(table.inflight.items()):
                if now - at > REPORT_RETENTION_MS:
                    _drop(table, name)
        others = dict(table.inflight_totals)
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
        table.inflight_totals[server] -= count
        if not table.inflight_totals[server]:
            del table.inflight_totals[server]


def record_limits(table: HubTable, limits: reports.ReportedLimits,
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
