"""Outcomes of requests and calls that did not end with an answer.

They are returned as values: every failure that can occur in operation is one of
the classes below. Only broken invariants and bad input are raised (see
`exceptions`).
"""

import dataclasses
import enum


class Reason(enum.Enum):
    """Why a request or a call did not end with an answer."""

    # The request itself, or an entry that can't route it yet.
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
    # Idempotency keys and claims, which let a request run at most once.
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    ALREADY_CLAIMED = 'already-claimed'
    KEY_REUSED = 'idempotency-key-reused'
    RESULT_NOT_KEPT = 'result-not-kept'
    # Connections.
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    ANSWER_CUT = 'answer-cut'
    TIMED_OUT = 'timed-out'
    # The platform's store and the other entries.
    STORE_UNAVAILABLE = 'store-unavailable'
    CONFLICT = 'conflict'
    NOT_FOUND = 'not-found'
    INVALID = 'invalid'
    PEER_UNAVAILABLE = 'peer-unavailable'


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run by any backend server.

    Attributes:
      reason: Why it was not run.
      detail: A sentence for people, in logs and in responses.
      retry_after_ms: Time after which to send it again; 0 if that won't help.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have been run.

    Attributes:
      reason: Why the outcome is unknown.
      detail: A sentence for people, in logs and in responses.
      retry_after_ms: Time after which a repeated request may return the
        outcome; 0 if there is none.
    """

    reason: Reason
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call to the store, to a peer or to control a backend server failed.

    Attributes:
      reason: Why it failed.
      detail: A sentence for people, in logs and in responses.
    """

    reason: Reason
    detail: str = ''
