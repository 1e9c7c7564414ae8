"""Crashes: what is held against one fingerprint, and what follows from it.

All rules here depend only on when crashes, clean runs and releases were, so
entries that know the same of a request judge it alike.
"""

from collections.abc import Iterable
import dataclasses
import math

# Reports of one crash by several entries lie closer together than this.
DUPLICATE_WINDOW_MS = 1_000.0
# A first block lasts this long; each further crash doubles the next.
BLOCK_MS = 600_000.0
MAX_CRASHES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class BlockPolicy:
    """When crashes block a request.

    Attributes:
      threshold: Number of crashes without a clean run in between that block a
        request.
      duplicate_window_ms: Reports of crashes of one server within this time are
        reports of the same crash; inf if each start of a server gets a new id.
      common_cause_window_ms: Crashes of several servers within this time count
        as one, since they may have a common cause.
    """

    threshold: int = 2
    duplicate_window_ms: float = DUPLICATE_WINDOW_MS
    common_cause_window_ms: float = 0.0


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
      clean_run_at: When its last clean run ended, ms; -inf if never.
      released_at: When an operator released it, ms; -inf if never.
      blocked_until: End of its block, ms; 0 if it was not blocked.
      policy: When it is blocked.
      version: Of the quarantine when this last changed.
    """

    service: str
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    clean_run_at: float = -math.inf
    released_at: float = -math.inf
    blocked_until: float = 0.0
    policy: BlockPolicy = BlockPolicy()
    version: int = 0


def is_expired(suspect: Suspect, now: float) -> bool:
    """Returns whether nothing said of a suspect matters any more."""
    newest = max(suspect.clean_run_at,
                 suspect.released_at, suspect.blocked_until,
                 *(crash.at for crash in suspect.crashes))
    return newest + BLOCK_MS < now


def set_crashes(suspect: Suspect, crashes: list[Crash]) -> None:
    """Sets the crashes, in order, and the block that follows from them."""
    suspect.crashes = crashes
    surplus = _count_independent(crashes,
                                 suspect.policy) - suspect.policy.threshold
    if surplus < 0:
        suspect.blocked_until = 0.0
    else:
        suspect.blocked_until = crashes[-1].at + BLOCK_MS * 2**surplus


def _count_independent(crashes: Iterable[Crash], policy: BlockPolicy) -> int:
    count, counted_at = 0, -math.inf
    for crash in crashes:
        if crash.at >= counted_at + policy.common_cause_window_ms:
            count, counted_at = count + 1, crash.at
    return count


def is_duplicate(one: Crash, other: Crash, policy: BlockPolicy) -> bool:
    """Returns whether two reports are of one crash."""
    return (one.server == other.server and
            abs(one.at - other.at) < policy.duplicate_window_ms)


def apply_clean_run(suspect: Suspect, at: float) -> None:
    """Drops the crashes before a clean run."""
    suspect.clean_run_at = max(suspect.clean_run_at, at)
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)


def merge_clean_run(suspect: Suspect, at: float) -> bool:
    """Takes in a peer's clean run; returns whether it tells anything new.

    An item's age grows a little with each hop; were every echo taken in, the
    time of one clean run would creep forward for ever.
    """
    if (at < suspect.clean_run_at + DUPLICATE_WINDOW_MS and
            all(crash.at > at for crash in suspect.crashes)):
        return False
    apply_clean_run(suspect, at)
    return True


def apply_release(suspect: Suspect, at: float) -> bool:
    """Drops the crashes before an operator's release, unless it is known."""
    if at < suspect.released_at + DUPLICATE_WINDOW_MS:
        return False  # The same release by another way.
    suspect.released_at = at
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)
    return True
