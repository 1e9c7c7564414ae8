"""Crashes attributed to one fingerprint, and the block that they cause.

All decisions depend only on the times of crashes, trials, clean runs and
releases, and on what `causes` concludes from those of other requests, so
entries with the same observations reach the same decision.
"""

from collections.abc import Iterable
import dataclasses
import math

# Reports by several entries within this time are reports of the same crash.
DUPLICATE_WINDOW_MS = 1_000.0
# Duration of the first block; each further crash doubles it.
BLOCK_MS = 600_000.0
# Maximum number of crashes kept per fingerprint (see `limit_crashes`).
MAX_CRASHES = 64
# Further crashes don't extend a block any more after this many doublings.
_MAX_DOUBLINGS = 6


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
      clears_attributed: Whether a crash that a blocked request accounts for no
        longer counts against the requests that were in flight beside it.
      max_trials: Number of trials without a clean run that block a request with
        `threshold` crashes, whatever their outcomes.
    """

    threshold: int = 2
    duplicate_window_ms: float = DUPLICATE_WINDOW_MS
    common_cause_window_ms: float = 0.0
    clears_attributed: bool = True
    max_trials: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a server while a request was in flight on it.

    Attributes:
      server: Server id.
      at: Time of the crash, ms.
    """

    server: str
    at: float


@dataclasses.dataclass(slots=True)
class Suspect:
    """The observations of the requests with one fingerprint.

    Attributes:
      service: 'team/service'.
      crashes: Crashes of servers that it was in flight on since its last clean
        run, sorted by time.
      trials: When its trials since its last clean run were sent to a server,
        ms, by id.
      clean_run_at: When its last clean run ended, ms; -inf if never.
      released_at: When an operator last released it, ms; -inf if never.
      is_only_cause: Whether nothing else explains so many of its crashes that
        they block it (see `causes`).
      blocked_until: End of its block, ms; 0 if it has not been blocked.
      policy: When it is blocked.
      version: Version of the quarantine at the last change of this suspect.
    """

    service: str
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    trials: dict[str, float] = dataclasses.field(default_factory=dict)
    clean_run_at: float = -math.inf
    released_at: float = -math.inf
    is_only_cause: bool = False
    blocked_until: float = 0.0
    policy: BlockPolicy = BlockPolicy()
    version: int = 0


def is_expired(suspect: Suspect, now: float) -> bool:
    """Returns whether the observations of a suspect are too old to matter."""
    newest = max(suspect.clean_run_at,
                 suspect.released_at, suspect.blocked_until,
                 *(crash.at for crash in suspect.crashes),
                 *suspect.trials.values())
    return newest + BLOCK_MS < now


def set_crashes(suspect: Suspect, crashes: list[Crash]) -> None:
    """Sets the crashes, sorted by time, and the block that they cause."""
    suspect.crashes = crashes
    suspect.is_only_cause = False
    _update_block(suspect)


def set_only_cause(suspect: Suspect, is_only_cause: bool) -> None:
    """Sets whether a suspect is the only known cause of enough crashes."""
    if suspect.is_only_cause != is_only_cause:
        suspect.is_only_cause = is_only_cause
        _update_block(suspect)


def add_trial(suspect: Suspect, trial: str, at: float) -> bool:
    """Adds a trial that was sent to a server; returns whether it is new.

    Args:
      suspect: The suspect; updated.
      trial: Id of the trial.
      at: When it was sent, ms.
    """
    if trial in suspect.trials or at <= max(suspect.clean_run_at,
                                            suspect.released_at):
        return False
    suspect.trials[trial] = at
    _update_block(suspect)
    return True


def has_trials_left(suspect: Suspect) -> bool:
    """Returns whether another trial may be sent to a server."""
    return (len(suspect.crashes) < suspect.policy.threshold or
            len(suspect.trials) < suspect.policy.max_trials)


def _update_block(suspect: Suspect) -> None:
    """Sets the block that the crashes and trials of a suspect cause."""
    surplus = count_independent(suspect.crashes,
                                suspect.policy) - suspect.policy.threshold
    if surplus < 0 and has_trials_left(suspect) and not suspect.is_only_cause:
        suspect.blocked_until = 0.0
        return
    doublings = min(max(0, surplus), _MAX_DOUBLINGS)
    newest = max([suspect.crashes[-1].at, *suspect.trials.values()])
    suspect.blocked_until = newest + BLOCK_MS * 2**doublings


def count_independent(crashes: Iterable[Crash], policy: BlockPolicy) -> int:
    """Returns the number of crashes that can't have a cause in common.

    Args:
      crashes: Crashes, sorted by time.
      policy: Tells which crashes may have a common cause.
    """
    return len(list_groups(crashes, policy))


def list_groups(crashes: Iterable[Crash],
                policy: BlockPolicy) -> list[list[Crash]]:
    """Returns the crashes in groups that may each have a cause in common.

    Args:
      crashes: Crashes, sorted by time.
      policy: Tells which crashes may have a common cause.
    """
    groups: list[list[Crash]] = []
    group_ends_at = -math.inf
    for crash in crashes:
        if crash.at >= group_ends_at:
            groups.append([])
            group_ends_at = crash.at + policy.common_cause_window_ms
        groups[-1].append(crash)
    return groups


def limit_crashes(crashes: list[Crash], policy: BlockPolicy) -> list[Crash]:
    """Returns at most `MAX_CRASHES` crashes, sorted by time.

    Keeps those that count as independent, then the newest of the others: the
    crashes of one large group must not displace those of earlier groups.
    """
    surplus = len(crashes) - MAX_CRASHES
    if surplus <= 0:
        return crashes
    independent = [group[0] for group in list_groups(crashes, policy)]
    others = [crash for crash in crashes if crash not in independent]
    return sorted([*independent, *others[surplus:]],
                  key=lambda crash: crash.at)[-MAX_CRASHES:]


def is_duplicate(one: Crash, other: Crash, policy: BlockPolicy) -> bool:
    """Returns whether two reports describe the same crash."""
    return (one.server == other.server and
            abs(one.at - other.at) < policy.duplicate_window_ms)


def apply_clean_run(suspect: Suspect, at: float) -> None:
    """Records a clean run and removes the crashes before it."""
    suspect.clean_run_at = max(suspect.clean_run_at, at)
    _drop_until(suspect, at)


def _drop_until(suspect: Suspect, at: float) -> None:
    """Drops the crashes and trials up to a time."""
    suspect.trials = {
        trial: sent_at
        for trial, sent_at in suspect.trials.items()
        if sent_at > at
    }
    set_crashes(suspect, [crash for crash in suspect.crashes if crash.at > at])


def merge_clean_run(suspect: Suspect, at: float) -> bool:
    """Merges a peer's clean run; returns whether it changes anything.

    The transmission time is missing from the age of an item, so each hop moves
    the computed time of the run forward. If repeated reports of the same run
    were merged, that time would advance forever.
    """
    if (at < suspect.clean_run_at + DUPLICATE_WINDOW_MS and
            all(crash.at > at for crash in suspect.crashes) and
            all(sent_at > at for sent_at in suspect.trials.values())):
        return False
    apply_clean_run(suspect, at)
    return True


def apply_release(suspect: Suspect, at: float) -> bool:
    """Records an operator's release and removes the crashes before it.

    Returns:
      False if the release was already known.
    """
    if at < suspect.released_at + DUPLICATE_WINDOW_MS:
        return False  # The same release, received again from another peer.
    suspect.released_at = at
    _drop_until(suspect, at)
    return True
