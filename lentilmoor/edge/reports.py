"""Messages between entries, sent over HTTP with JSON bodies.

Each entry reports to the hubs: the coordinators of the keyed services or, if
there are none, one entry that all entries derive from the list of entries. The
hub's reply combines the reports of all entries. It includes new assignments of
keys, so an entry that can't reach the store still receives them.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import msgspec

from lentilmoor import quarantine
from lentilmoor.edge import keyranges
from lentilmoor.edge import tables

_T = TypeVar('_T')
# Age of data that was never received; JSON can't represent infinity.
UNKNOWN_AGE_MS = 1e9

RequestSample = tuple[int, str, float]
"""A request: key, server id, and time of work in ms, 0 if it was not run."""

ReportedLimits = dict[str, tuple[float | None, float]]
"""Rate limits by server id: requests per second, None if the limit has ended,
and the age of the server's answer, ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """An entry's report to a hub.

    Attributes:
      entry: Instance id of the sender.
      rows: Requests with keys since the last report, by service.
      inflight: Number of the sender's requests in flight, by server id.
      known: The `next_fence` of the sender's current assignment, by service.
      revision: Revision of the store up to which the sender has followed it.
      wants_works: Whether the reply should contain the servers' times of work.
      limits: Rate limits in force, and those that ended recently.
      draining: Ids of servers whose answers reported draining.
      evidence: Evidence of requests that crash servers which the hub has not
        confirmed.
      hub: Instance id of the hub to which `evidence_seen` refers.
      evidence_seen: Version of the hub's quarantine that the sender has merged.
    """

    entry: str
    rows: dict[str, list[RequestSample]]
    inflight: dict[str, int]
    known: dict[str, int]
    revision: int = 0
    wants_works: bool = True
    limits: ReportedLimits = dataclasses.field(default_factory=dict)
    draining: list[str] = dataclasses.field(default_factory=list)
    evidence: list[quarantine.Evidence] = dataclasses.field(
        default_factory=list)
    hub: str = ''
    evidence_seen: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReply:
    """The reply to a report, which combines the reports of all entries.

    Attributes:
      others: Number of other entries' requests in flight, by server id.
      assignments: Assignments that are newer than those in the report, by
        service.
      coordinated: State of the services that the hub coordinates, by service.
      revision: Revision of the store up to which the hub has followed it.
      since: `revision` of the report.
      changes: Changes of the store since then (see `ports.Store.encode_news`).
      news_age_ms: Age of the hub's copy of the store.
      version: Version of the newest configuration that the hub knows to be in
        force.
      configuration_age_ms: Time since the hub's own configuration was last
        known to be the newest.
      configuration_revision: Revision of the store up to which it is known to
        be the newest.
      limits: The newest rate limit of each server, from all reports.
      hub: Instance id of the sender.
      evidence: Evidence of requests that crash servers which the entry has not
        confirmed.
      evidence_version: Version of the hub's quarantine that the entry has once
        it has merged `evidence`.
      evidence_complete: Whether the entry then has all that the hub has, and
        the hub's own table is recent (see `learning`).
      entries: Number of entries that the hub saw running; 0 from an earlier
        release.
    """

    others: dict[str, int]
    assignments: dict[str, keyranges.Assignment]
    coordinated: dict[str, tables.CoordinatorStatus]
    revision: int = 0
    since: int = 0
    changes: bytes | None = None
    news_age_ms: float = UNKNOWN_AGE_MS
    version: int = 0
    configuration_age_ms: float = UNKNOWN_AGE_MS
    configuration_revision: int = 0
    limits: ReportedLimits = dataclasses.field(default_factory=dict)
    hub: str = ''
    evidence: list[quarantine.Evidence] = dataclasses.field(
        default_factory=list)
    evidence_version: int = 0
    evidence_complete: bool = False
    entries: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsReply:
    """The reply to a request for all evidence on suspects.

    Attributes:
      recent: Whether the sender's table is recent (see `learning`).
      evidence: All evidence that the sender has.
    """

    recent: bool
    evidence: list[quarantine.Evidence] = dataclasses.field(
        default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class NewsRequest:
    """A request for news: for changes of the store.

    Attributes:
      entry: Instance id of the sender.
      revision: Revision of the store up to which the sender has followed it.
      version: Version of the sender's configuration; None to get no
        configuration in addition to the changes.
      waits: Whether the receiver waits for a change if there is none (a long
        poll).
    """

    entry: str
    revision: int
    version: int | None = None
    waits: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class NewsReply:
    """The reply to a request for news.

    Attributes:
      revision: Revision of the store up to which the sender has followed it.
      since: `revision` of the request.
      changes: Changes of the store since then (see `ports.Store.encode_news`).
      news_age_ms: Age of the sender's copy of the store.
      version: Version of the newest configuration that the sender knows to be
        in force.
      held_ms: How long the sender waited for a change.
      configuration_age_ms: Time since the sender's own configuration was last
        known to be the newest.
      configuration_revision: Revision of the store up to which it is known to
        be the newest.
      unanswered_ms: Time for which the store has answered none of the sender's
        calls; 0 if it answered the last one.
    """

    revision: int
    since: int
    changes: bytes | None
    news_age_ms: float
    version: int
    held_ms: float
    configuration_age_ms: float = UNKNOWN_AGE_MS
    configuration_revision: int = 0
    unanswered_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for a permit, sent to the issuer of a server's permits.

    Attributes:
      server: Id of the server.
      rate: Requests per second that the server accepts from all entries
        combined.
      substitute: Whether the receiver substitutes for an unreachable issuer.
    """

    server: str
    rate: float
    substitute: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """The reply to a permit request.

    Attributes:
      wait_ms: 0 if one request may be sent; otherwise the time until the next
        permit is available.
    """

    wait_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TrialRequest:
    """A request for a trial, or the report of its end, sent to the first hub.

    Attributes:
      trial: Id of the trial, chosen by the sender.
      fingerprint: Fingerprint of the request that is to be tried.
      left_ms: Time that the caller of the request still waits.
      ended: Whether the trial has ended with an outcome that is known.
      evidence: The sender's evidence on the request.
    """

    trial: str
    fingerprint: bytes
    left_ms: float = 0.0
    ended: bool = False
    evidence: list[quarantine.Evidence] = dataclasses.field(
        default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class TrialReply:
    """The reply to a request for a trial.

    Attributes:
      granted: Whether the request may be sent, once.
      wait_ms: If not, the time until the next trial may be granted.
      evidence: The hub's evidence on the request.
    """

    granted: bool
    wait_ms: float = 0.0
    evidence: list[quarantine.Evidence] = dataclasses.field(
        default_factory=list)


def encode_report(report: Report) -> bytes:
    """Returns a report encoded as JSON."""
    return msgspec.json.encode(report)


def decode_report(data: bytes) -> Report | None:
    """Returns a decoded report, or None if it is invalid."""
    return _decode(_read_report, data)


def encode_report_reply(reply: ReportReply) -> bytes:
    """Returns a reply to a report encoded as JSON."""
    return msgspec.json.encode(reply)


def decode_report_reply(data: bytes) -> ReportReply | None:
    """Returns a decoded reply to a report, or None if it is invalid."""
    return _decode(_read_reply, data)


def encode_suspects_reply(reply: SuspectsReply) -> bytes:
    """Returns a reply with all evidence encoded as JSON."""
    return msgspec.json.encode(reply)


def decode_suspects_reply(data: bytes) -> SuspectsReply | None:
    """Returns a decoded reply with all evidence, or None if it is invalid."""
    return _decode(_read_suspects_reply, data)


def encode_news(message: NewsRequest | NewsReply) -> bytes:
    """Returns a news request or reply encoded as JSON."""
    return msgspec.json.encode(message)


def decode_news_request(data: bytes) -> NewsRequest | None:
    """Returns a decoded news request, or None if it is invalid."""
    return _decode(_read_news_request, data)


def decode_news_reply(data: bytes) -> NewsReply | None:
    """Returns a decoded news reply, or None if it is invalid."""
    return _decode(_read_news_reply, data)


def encode_permit(message: PermitRequest | PermitReply) -> bytes:
    """Returns a permit request or reply encoded as JSON."""
    return msgspec.json.encode(message)


def decode_permit_request(data: bytes) -> PermitRequest | None:
    """Returns a decoded permit request, or None if it is invalid."""
    return _decode(_read_permit_request, data)


def decode_permit_reply(data: bytes) -> PermitReply | None:
    """Returns a decoded permit reply, or None if it is invalid."""
    return _decode(_read_permit_reply, data)


def encode_trial(message: TrialRequest | TrialReply) -> bytes:
    """Returns a trial request or reply encoded as JSON."""
    return msgspec.json.encode(message)


def decode_trial_request(data: bytes) -> TrialRequest | None:
    """Returns a decoded trial request, or None if it is invalid."""
    return _decode(_read_trial_request, data)


def decode_trial_reply(data: bytes) -> TrialReply | None:
    """Returns a decoded trial reply, or None if it is invalid."""
    return _decode(_read_trial_reply, data)


def _decode(read: Callable[[bytes], _T], data: bytes) -> _T | None:
    try:
        return read(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


_read_report = msgspec.json.Decoder(Report).decode
_read_reply = msgspec.json.Decoder(ReportReply).decode
_read_suspects_reply = msgspec.json.Decoder(SuspectsReply).decode
_read_news_request = msgspec.json.Decoder(NewsRequest).decode
_read_news_reply = msgspec.json.Decoder(NewsReply).decode
_read_permit_request = msgspec.json.Decoder(PermitRequest).decode
_read_permit_reply = msgspec.json.Decoder(PermitReply).decode
_read_trial_request = msgspec.json.Decoder(TrialRequest).decode
_read_trial_reply = msgspec.json.Decoder(TrialReply).decode
