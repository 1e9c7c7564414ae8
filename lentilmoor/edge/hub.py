"""Combines the reports of all entries at the hub.

The sum of all entries' requests in flight is a far better estimate of a
server's backlog than the load that the server last reported to one of them.
"""

import dataclasses
import threading

from lentilmoor.edge import reports

# Older reports are dropped. Entries report several times as often.
REPORT_RETENTION_MS = 1_200.0
# A rate limit is dropped if no answer has confirmed it for this time.
LIMIT_RETENTION_MS = 10_000.0


@dataclasses.dataclass(slots=True)
class HubTable:
    """Data from the latest report of each entry; thread-safe.

    Attributes:
      inflight: By entry: when it last reported, ms, and its requests in flight
        by server id.
      inflight_totals: Requests in flight of all entries, by server id. They are
        updated with each report, because computing the sums for each reply
        would take too much of the hub's processor time with many entries.
      last_expiry_at: When expired reports were last dropped, ms.
      limits: By server id: the newest rate limit, None if it has ended, and
        when the server's answer was received, ms.
      lock: Guards all other attributes.
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
    """Records an entry's requests in flight by server id."""
    with table.lock:
        _drop_report(table, entry)
        table.inflight[entry] = (now, inflight)
        for server, count in inflight.items():
            table.inflight_totals[server] = table.inflight_totals.get(
                server, 0) + count


def count_others_inflight(table: HubTable, entry: str,
                          now: float) -> dict[str, int]:
    """Returns the requests in flight of all other entries, by server id."""
    with table.lock:
        if now - table.last_expiry_at > REPORT_RETENTION_MS / 4:
            table.last_expiry_at = now
            for name, (at, _) in list(table.inflight.items()):
                if now - at > REPORT_RETENTION_MS:
                    _drop_report(table, name)
        others = dict(table.inflight_totals)
        _, own = table.inflight.get(entry, (0.0, {}))
    for server, count in own.items():
        others[server] -= count
        if not others[server]:
            del others[server]
    return others


def _drop_report(table: HubTable, entry: str) -> None:
    """Removes an entry's report from the totals; requires the lock."""
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
