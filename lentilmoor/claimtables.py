"""Rows, events and actions of the claims of one shard, held by its grantor.

A claim is *waiting* until its group commit landed, then *running* (by one
attempt of one entry) and then *ended*, with or without a kept answer. A claim
that was released never ran; its digest may be claimed again.
"""

from collections import deque
import dataclasses
import enum

from lentilmoor import answers
from lentilmoor import claimlogs
from lentilmoor import claimsets
from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores

# A claim that an earlier grantor left running is held to have ended after
# this time: the longest deadline there is, and some grace.
LONGEST_RUN_MS = 70_000.0

# What all claims of a deployment may take of the platform's store.
STORE_WRITES_PER_S = 160.0


class Verdict(enum.Enum):
    """Answers to a claim; values are those of ClaimReply.Verdict."""

    UNAVAILABLE = 0
    GRANTED = 1
    RUNNING = 2
    ANSWERED = 3
    ENDED = 4
    MISMATCH = 5
    NOT_GRANTOR = 6


class Phase(enum.Enum):
    """How far a grantor is with its shard's log."""

    READING = 'reading'
    FENCING = 'fencing'
    SERVING = 'serving'
    FENCED = 'fenced'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one shard's claims.

    Attributes:
      writes_per_s: Group commits a second in the long run.
      burst: Group commits that may follow each other at once.
      settle_ms: How long a settlement waits for company.
      max_wait_ms: How long a claim waits for its commit at most.
      retry_ms: Pause after a failed call of the store.
      max_waiting: Claims that wait at once.
      max_claims: Ended claims remembered; beyond, new ones are refused.
      expire_ms: How often running claims are checked for their end.
      grace_ms: How long after its deadline a claim is held to be running.
      max_answers_bytes: Memory for kept answers.
      max_answer_bytes: Longest answer kept, serialized.
    """

    writes_per_s: float = 80.0
    burst: float = 16.0
    settle_ms: float = 100.0
    max_wait_ms: float = 1_000.0
    retry_ms: float = 250.0
    max_waiting: int = 4_096
    max_claims: int = 1_000_000
    expire_ms: float = 500.0
    grace_ms: float = 10_000.0
    max_answers_bytes: int = 4 * 1024 * 1024
    max_answer_bytes: int = 4 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsked:
    """An entry asks for the right to dispatch a request.

    Attributes:
      token: Names the reply.
      claim: What is claimed, and for whom.
      remaining_ms: Of the request's deadline.
    """

    token: int
    claim: claimlogs.Claim
    remaining_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SettleAsked:
    """An entry tells what became of a claimed request.

    Attributes:
      token: Names the reply.
      digest: Of the claim.
      attempt: Of the claim.
      kind: RELEASED only if this attempt dispatched nothing and never will.
      answer: A serialized StoredAnswer, if kind is ANSWERED.
    """

    token: int
    digest: bytes
    attempt: int
    kind: claimlogs.SettlementKind
    answer: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentsRead:
    """The outcome of `ReadSegments`."""

    prefix: str
    outcome: tuple[stores.Record, ...] | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class SegmentSwapped:
    """The outcome of `SwapSegment`."""

    key: str
    outcome: stores.Record | stores.Conflict | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLost:
    """An entry is gone; what it dispatched will not be settled by it."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class AuthorityHeld:
    """No grantor of a newer epoch serves claims before this time.

    Attributes:
      until: Milliseconds of the monotonic clock that systems are handed.
    """

    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSegments:
    """List the store's records under a prefix; one call at a time."""

    prefix: str


@dataclasses.dataclass(frozen=True, slots=True)
class SwapSegment:
    """Compare-and-swap a key of the store; one call at a time."""

    key: str
    payload: bytes
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a `ClaimAsked`.

    Attributes:
      token: Of the question.
      verdict: UNAVAILABLE and MISMATCH: this request was not run.
      answer: The first answer, serialized, if the verdict is ANSWERED.
      retry_after_ms: When to come back, if that may help.
      detail: One sentence for a person.
    """

    token: int
    verdict: Verdict
    answer: bytes = b''
    retry_after_ms: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SettleReply:
    """The answer to a `SettleAsked`; if not accepted, it may be sent again."""

    token: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """A grantor of a newer epoch has taken the log over."""

    epoch: int


Event = (ClaimAsked | SettleAsked | SegmentsRead | SegmentSwapped |
         InstanceLost | AuthorityHeld)
Action = ReadSegments | SwapSegment | Reply | SettleReply | StepDown


@dataclasses.dataclass(slots=True)
class Waiting:
    """A claim that is not yet known to be committed."""

    claim: claimlogs.Claim
    token: int
    asked_at: float
    ends_at: float


@dataclasses.dataclass(slots=True)
class Running:
    """A committed claim: one attempt may dispatch, or has dispatched."""

    claim: claimlogs.Claim
    ends_at: float


@dataclasses.dataclass(slots=True)
class Unlogged:
    """A settlement on its way to the log.

    Attributes:
      settlement: What to log.
      queued_at: Since when it waits.
      token: Whom to answer when it has landed, or None.
    """

    settlement: claimlogs.Settlement
    queued_at: float
    token: int | None = None


@dataclasses.dataclass(slots=True)
class Unarchived:
    """What a tail segment holds that its archive has to tell."""

    sequence: int
    wall_ms: float
    digests: tuple[bytes, ...]
    released: tuple[claimlogs.Claim, ...]
    answered: tuple[bytes, ...]


@dataclasses.dataclass(slots=True)
class OpenArchive:
    """The archive that is still being added to.

    Attributes:
      index: Its place.
      ended: Mark by prefix.
      running: Its claims that ran when it was last written, by digest.
      released: Claims of earlier segments that were released.
      answered: Digests whose answers it holds, oldest first.
    """

    index: int
    ended: dict[int, int] = dataclasses.field(default_factory=dict)
    running: dict[bytes,
                  claimlogs.Claim] = dataclasses.field(default_factory=dict)
    released: list[claimlogs.Claim] = dataclasses.field(default_factory=list)
    answered: dict[bytes, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Counters:
    """What happened since the table was made."""

    claims: int = 0
    granted: int = 0
    refused: int = 0
    unknown: int = 0
    repeated: int = 0
    mismatched: int = 0
    commits: int = 0
    archives: int = 0
    conflicts: int = 0
    failures: int = 0
    forgotten: int = 0


@dataclasses.dataclass(slots=True)
class ClaimTable:
    """The claims of one shard at its grantor.

    Attributes:
      epoch: This grantor's.
      limits: Limits.
      wall_offset_ms: Wall time less monotonic time.
      log: What is known of the log.
      ended: Claims that have ended.
      answers: First answers that are kept.
      phase: How far the grantor is with the log.
      authority_until: See `AuthorityHeld`.
      waiting: Claims not yet known to be committed, by digest.
      running: Committed claims, by digest.
      unlogged: Settlements on their way to the log, oldest first.
      unarchived: Tail segments that no archive holds yet, oldest first.
      archive: The archive that is being added to, if any.
      call: The call of the store that is under way, or None.
      sent: The tail segment or archive that this call writes.
      expire_at: When running claims are checked for their end.
      retry_at: No call of the store before this time.
      archive_retry_at: No writing of an archive before this time.
      down: The last call of the store failed.
      dirty: Something may have landed that nobody was granted.
      tokens: Group commits that may be made at once.
      tokens_at: When `tokens` was true.
      pages: Prefixes of the log still to be read.
      read: What was read of the log so far.
      problem: Why the log cannot be used, or ''.
      counters: What happened since the table was made.
    """

    epoch: int
    limits: Limits
    wall_offset_ms: float
    log: claimlogs.Log
    ended: claimsets.ClaimSet
    answers: answers.Answers
    phase: Phase = Phase.READING
    authority_until: float = 0.0
    waiting: dict[bytes, Waiting] = dataclasses.field(default_factory=dict)
    running: dict[bytes, Running] = dataclasses.field(default_factory=dict)
    unlogged: list[Unlogged] = dataclasses.field(default_factory=list)
    unarchived: deque[Unarchived] = dataclasses.field(default_factory=deque)
    archive: OpenArchive | None = None
    call: ReadSegments | SwapSegment | None = None
    sent: claimlogs.Tail | claimlogs.Archive | None = None
    expire_at: float = 0.0
    retry_at: float = 0.0
    archive_retry_at: float = 0.0
    down: bool = False
    dirty: bool = False
    tokens: float = 0.0
    tokens_at: float = 0.0
    pages: list[str] = dataclasses.field(default_factory=list)
    read: list[stores.Record] = dataclasses.field(default_factory=list)
    problem: str = ''
    counters: Counters = dataclasses.field(default_factory=Counters)


def share_budget(shards: int) -> Limits:
    """Returns the limits of one of so many shards that share a store."""
    limits = Limits()
    writes_per_s = min(limits.writes_per_s, STORE_WRITES_PER_S / shards)
    retry_ms = max(limits.retry_ms, 2 * clocks.MS_PER_S / writes_per_s)
    return dataclasses.replace(limits,
                               writes_per_s=writes_per_s,
                               burst=max(1.0, writes_per_s / 5),
                               retry_ms=retry_ms)


def make_table(shard: str,
               epoch: int,
               retention_s: float,
               clock: clocks.Clock,
               limits: Limits = Limits()) -> ClaimTable:
    """Returns the table of a new grantor; it reads the log before it serves.

    Args:
      shard: 'team/service/number'.
      epoch: The grantor's, taken by compare-and-swap; never used twice.
      retention_s: How long a claim is remembered, at least.
      clock: Read once, to tell the ages of claims of earlier grantors.
      limits: Limits.
    """
    now = clock.now()
    return ClaimTable(epoch,
                      limits,
                      clock.wall() - now,
                      claimlogs.Log(shard),
                      claimsets.ClaimSet(retention_s * clocks.MS_PER_S),
                      answers.Answers(limits.max_answers_bytes,
                                      limits.max_answer_bytes),
                      tokens=limits.burst,
                      tokens_at=now)
