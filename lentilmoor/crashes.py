"""Crashes: what is held against one fingerprint, and what follows from it.

All rules here depend only on when crashes, clean runs and releases were, so
entries that know the same of a request judge it alike.
"""

import dataclasses

CRASHES_TO_BLOCK = 2
# Reports of one crash by several entries lie closer together than this.
SAME_CRASH_MS = 1_000.0
# A first block lasts this long; each further crash doubles the next.
BLOCK_MS = 600_000.0
MOST_CRASHES = 8


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
      ran_well_at: When its last clean run ended, ms; -1 if never.
      released_at: When an operator released it, ms; -1 if never.
      blocked_until: End of its block, ms; 0 if it was not blocked.
    """

    service: str
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    ran_well_at: float = -1.0
    released_at: float = -1.0
    blocked_until: float = 0.0


def is_past(suspect: Suspect, now: float) -> bool:
    """Returns whether nothing said of a suspect matters any more."""
    newest = max(suspect.ran_well_at,
                 suspect.released_at, suspect.blocked_until,
                 *(crash.at for crash in suspect.crashes))
    return newest + BLOCK_MS < now


def set_crashes(suspect: Suspect, crashes: list[Crash]) -> None:
    """Sets the crashes and the block that follows from them."""
    suspect.crashes = crashes
    surplus = len(crashes) - CRASHES_TO_BLOCK
    if surplus < 0:
        suspect.blocked_until = 0.0
    else:
        suspect.blocked_until = crashes[-1].at + BLOCK_MS * 2**surplus


def is_same(one: Crash, other: Crash) -> bool:
    """Returns whether two reports are of one crash."""
    return (one.server == other.server and
            abs(one.at - other.at) < SAME_CRASH_MS)


def clear(suspect: Suspect, at: float) -> None:
    """Drops the crashes before a clean run."""
    suspect.ran_well_at = max(suspect.ran_well_at, at)
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)


def merge_clean_run(suspect: Suspect, at: float) -> None:
    """Takes in a peer's clean run if it clears anything.

    An item's age grows a little with each hop; were every echo taken in, the
    time of one clean run would creep forward for ever.
    """
    if any(crash.at <= at for crash in suspect.crashes):
        clear(suspect, at)


def release(suspect: Suspect, at: float) -> None:
    """Drops the crashes before an operator's release."""
    if at < suspect.released_at + SAME_CRASH_MS:
        return  # The same release by another way.
    suspect.released_at = at
    kept = [crash for crash in suspect.crashes if crash.at > at]
    set_crashes(suspect, kept)
