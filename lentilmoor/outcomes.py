"""Outcomes as values: what became of a request or of a call, and why.

Only broken invariants are raised (see `exceptions`); everything that can go
wrong in operation is one of the values below.
"""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request or a call did not end with an answer."""

    # The request itself.
    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    MISSING_KEY = 'missing-key'
    BODY_TOO_LARGE = 'body-too-large'
    DEADLINE_PASSED = 'deadline-passed'
    NOT_AUTHORIZED = 'not-authorized'
    STARTING = 'starting'
    OUTDATED = 'outdated'
    # Routing and ownership.
    NO_OWNER = 'no-owner'
    NO_LEASE = 'no-lease'
    SUPERSEDED = 'superseded'
    NOT_GRANTED = 'not-granted'
    NO_SERVER = 'no-server'
    # Admission.
    OVERLOADED = 'overloaded'
    SHUTTING_DOWN = 'shutting-down'
    SERVER_SHED = 'server-shed'
    CANCELLED = 'cancelled'
    QUARANTINED = 'quarantined'
    # At most once.
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    ALREADY_CLAIMED = 'already-claimed'
    KEY_REUSED = 'idempotency-key-reused'
    RESULT_NOT_KEPT = 'result-not-kept'
    # Connections.
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_CUT = 'answer-cut'
    TIMED_OUT = 'timed-out'
    # The platform's store and the peers.
    STORE_UNAVAILABLE = 'store-unavailable'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not-found'
    INVALID = 'invalid'
    PEER_UNAVAILABLE = 'peer-unavailable'


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run by any backend server.

    Attributes:
      reason: Why not.
      detail: One sentence for a person.
      retry_after_ms: When to come back, or 0 if coming back will not help.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have been run.

    Attributes:
      reason: Why it cannot be told.
      detail: One sentence for a person.
      retry_after_ms: When asking again may tell more, or 0.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call to the store, a peer or a backend server's control failed.

    Attributes:
      reason: Why.
      detail: One sentence for a person.
    """

    reason: Reason
    detail: str = ''
