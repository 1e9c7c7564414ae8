"""Crashes: what is held against one fingerprint, and what follows from it.

All rules here depend only on when crashes, clean runs and releases were, so
entries that know the same of a request judge it alike.
"""

from collections.abc import Iterable
import dataclasses
import math

# Reports of one crash by several entries lie closer together than this.
SAME_CRASH_MS = 1_000.0
# A first block lasts this long; each further crash doubles the next.
BLOCK_MS = 600_000.0
MOST_CRASHES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """When crashes block a request.

    Attributes:
      to_block: Crashes without a clean run between them that block a request.
      same_ms: Reports of one server that lie closer together are of one crash;
        inf where each start of a server has an id of its own.
      apart_ms: Crashes of several servers that lie closer together count once,
        as they may have a common cause.
    """

    to_block: int = 2
    same_ms: float = SAME_CRASH_MS
    apart_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of a server's process.

    Attributes:
      server: Server id.
      at: When, ms.
    """

    server: str
    at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """What is known of one fingerprint.

    Attributes:
      service: 'team/service'.
      crashes: Crashes it was in flight at, since it last ran well.
      ran_well_at: When its last clean run ended, ms; -inf if never.
      released_at: When an operator released it, ms; -inf if never.
      blocked_until: End of its block, ms; 0 if it was not blocked.
      rules: When it is blocked.
      version: Of the quarantine when this last changed.
    """

    service: str
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    ran_well_at: float = -math.inf
    released_at: float = -math.inf
    blocked_until: float = 0.0
    rules: Rules = Rules()
    version: int = 0


def is_past(suspect: Suspect, now: float) -> bool:
    """Returns whether nothing said of a suspect matters any more."""
    newest = max(suspect.ran_well_at,
                 suspect.released_at, suspect.blocked_until,
                 *(crash.at for crash in suspect.crashes))
    return newest + BLOCK_MS < now


def set_crashes(suspect: Suspect, crashes: list[Crash]) -> None:
    """Sets the crashes, in order, and the block that follows from them."""
    suspect.crashes = crashes
    surplus = _count_apart(crashes, suspect.rules) - suspect.rules.to_block
    if surplus < 0:
        suspect.blocked_until = 0.0
    else:
        suspect.blocked_until = crashes[-1].at + BLOCK_MS * 2**surplus


def _count_apart(crashes: Iterable[Crash], rules: Rules) -> int:
    count, counted_at = 0, -math.inf
    for crash in crashes:
        if crash.at >= counted_at + rules.apart_ms:
            count, counted_at = count + 1, crash.at
    return count


def is_same(one: Crash, other: Crash, rules: Rules) -> bool:
    """Returns whether two reports are of one crash."""
    return (one.server == other.server and
            abs(one.at - other.at) < rules.same_ms)


def clear(suspect: Suspect, at: float) -> None:
    """Drops the crashes before a clean run."""
    suspect.ran_well_at = max(suspect.ran_well_at, at)
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)


def merge_clean_run(suspect: Suspect, at: float) -> bool:
    """Takes in a peer's clean run; returns whether it tells anything new.

    An item's age grows a little with each hop; were every echo taken in, the
    time of one clean run would creep forward for ever.
    """
    if (at < suspect.ran_well_at + SAME_CRASH_MS and
            all(crash.at > at for crash in suspect.crashes)):
        return False
    clear(suspect, at)
    return True


def release(suspect: Suspect, at: float) -> bool:
    """Drops the crashes before an operator's release, unless it is known."""
    if at < suspect.released_at + SAME_CRASH_MS:
        return False  # The same release by another way.
    suspect.released_at = at
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)
    return True
