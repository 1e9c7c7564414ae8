"""What the servers' journals tell: owners at once, doubles, load, churn."""

from collections.abc import Iterable
import dataclasses
import json
import pathlib


@dataclasses.dataclass(frozen=True, slots=True)
class JournalRun:
    """One request that a server ran; times are ms of one common clock."""

    server: str
    request_id: str
    idempotency_key: str
    key: str
    started_ms: float
    ended_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """What the journals of all servers show.

    Attributes:
      runs: Requests run.
      overlaps: Pairs of runs of one key at two servers at one time.
      doubled: Idempotency keys that were run more than once.
      imbalance: Most runs of a server over the mean, in the last part.
      moved: Share of the keys that were run by more than one server.
    """

    runs: int
    overlaps: int
    doubled: int
    imbalance: float
    moved: float


def read_journal(server: str, path: pathlib.Path) -> list[JournalRun]:
    """Reads a server's journal: a line at the start and end of each run."""
    rows: dict[str, JournalRun] = {}
    if not path.exists():
        return []
    for line in path.read_text(encoding='utf-8').splitlines():
        try:
            item = json.loads(line)
        except ValueError:
            continue  # The last line of a server that was killed.
        ended = item.get('ended_ms') or 0.0
        name = f'{item["request_id"]}/{item["started_ms"]}'
        rows[name] = JournalRun(server, item['request_id'],
                                item['idempotency_key'], item['key'],
                                item['started_ms'],
                                max(ended, item['started_ms']))
    return list(rows.values())


def audit(journals: Iterable[list[JournalRun]], since_ms: float) -> Audit:
    """Checks the journals of all servers.

    Args:
      journals: Of each server.
      since_ms: Begin of the part in which load is compared.
    """
    runs = [run for journal in journals for run in journal]
    by_key: dict[str, list[JournalRun]] = {}
    by_claim: dict[str, int] = {}
    for run in runs:
        if run.key:
            by_key.setdefault(run.key, []).append(run)
        if run.idempotency_key:
            by_claim[run.idempotency_key] = by_claim.get(
                run.idempotency_key, 0) + 1
    moved = sum(
        len({run.server for run in rows}) > 1 for rows in by_key.values())
    return Audit(
        runs=len(runs),
        overlaps=sum(count_overlaps(rows) for rows in by_key.values()),
        doubled=sum(count > 1 for count in by_claim.values()),
        imbalance=find_imbalance(
            run for run in runs if run.key and run.started_ms >= since_ms),
        moved=moved / len(by_key) if by_key else 0.0)


def count_overlaps(rows: list[JournalRun]) -> int:
    """Returns how often a run began while another server ran the same key."""
    overlaps = 0
    latest: dict[str, float] = {}
    for run in sorted(rows, key=lambda item: item.started_ms):
        overlaps += any(ended > run.started_ms
                        for server, ended in latest.items()
                        if server != run.server)
        latest[run.server] = max(latest.get(run.server, 0.0), run.ended_ms)
    return overlaps


def find_imbalance(runs: Iterable[JournalRun]) -> float:
    """Returns the most runs of a server over the mean; 0 without runs."""
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.server] = counts.get(run.server, 0) + 1
    if not counts:
        return 0.0
    return max(counts.values()) * len(counts) / sum(counts.values())
