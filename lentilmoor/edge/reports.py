"""What entries tell each other, over HTTP with JSON bodies.

Each entry reports to the hub, which is the coordinator of a keyed service, or
any entry that all agree on. The hub answers with what follows from all
reports. So an entry that is cut off from the store learns new owners too.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import msgspec

from lentilmoor import quarantine
from lentilmoor.edge import keyranges
from lentilmoor.edge import tables

_T = TypeVar('_T')
# The age of what was never heard; JSON knows no infinity.
UNKNOWN_AGE_MS = 1e9

RequestSample = tuple[int, str, float]
"""Key, server id, time of work in ms; 0 if the server did not run it."""

ReportedLimits = dict[str, tuple[float | None, float]]
"""Rate limits by server id: requests per second, None if the limit has ended,
and the age of the server's answer, ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What an entry saw since its last report.

    Attributes:
      entry: Its instance id.
      rows: Requests for keys, by service.
      inflight: Its requests under way, by server id.
      known: The `next_fence` of the assignment that it knows, by service.
      revision: How far it has followed the store.
      wants_works: Whether it wants to be told servers' times of work.
      limits: Rate limits in force, and those that ended recently.
      draining: Ids of servers whose answers reported draining.
      evidence: What the hub doesn't know yet of requests that crash servers.
      hub: Instance id of the hub that the next field speaks of.
      evidence_seen: Version of the hub's quarantine that it knows.
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
    """What follows from all entries' reports.

    Attributes:
      others: Requests of other entries under way, by server id.
      assignments: Those that are newer than what the entry knows.
      coordinated: What the hub tells of services that it coordinates.
      revision: How far the hub has followed the store.
      since: The revision that the report named.
      changes: What has changed since then (see `ports.Store.encode_news`).
      news_age_ms: How long ago the hub last heard from the store.
      version: Of the newest configuration that the hub knows to be in force.
      configuration_age_ms: How long ago it knew that there was no newer one
        than it has.
      configuration_revision: Up to which revision it knows that.
      limits: The newest rate limit of each server, from all reports.
      hub: Instance id of who replies.
      evidence: What the entry doesn't know yet of requests that crash servers.
      evidence_version: Version of the hub's quarantine up to which that is all.
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


@dataclasses.dataclass(frozen=True, slots=True)
class NewsRequest:
    """What an entry asks another to be told of changes.

    Attributes:
      entry: Its instance id.
      revision: How far it has followed the store.
      version: Of the configuration that it knows; None if it doesn't say.
      waits: Whether to wait for a change if there is none.
    """

    entry: str
    revision: int
    version: int | None = None
    waits: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class NewsReply:
    """What has changed in the store.

    Attributes:
      revision: How far the one that replies has followed the store.
      since: The revision that the request named.
      changes: What has changed since then (see `ports.Store.encode_news`).
      news_age_ms: How long ago all that the store held was known.
      version: Of the newest configuration that it knows to be in force.
      held_ms: How long it waited for a change.
      configuration_age_ms: How long ago it knew that there was no newer one
        than it has.
      configuration_revision: Up to which revision it knows that.
      unanswered_ms: For how long the store has answered it nothing.
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


def encode_report(report: Report) -> bytes:
    """Returns a report as it travels."""
    return msgspec.json.encode(report)


def decode_report(data: bytes) -> Report | None:
    """Returns a report, or None if it doesn't parse."""
    return _decode(_read_report, data)


def encode_report_reply(reply: ReportReply) -> bytes:
    """Returns a reply as it travels."""
    return msgspec.json.encode(reply)


def decode_report_reply(data: bytes) -> ReportReply | None:
    """Returns a reply, or None if it doesn't parse."""
    return _decode(_read_reply, data)


def encode_news(message: NewsRequest | NewsReply) -> bytes:
    """Returns a request for news, or its reply, as it travels."""
    return msgspec.json.encode(message)


def decode_news_request(data: bytes) -> NewsRequest | None:
    """Returns a request for news, or None if it doesn't parse."""
    return _decode(_read_news_request, data)


def decode_news_reply(data: bytes) -> NewsReply | None:
    """Returns a reply to a request for news, or None if it doesn't parse."""
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


def _decode(read: Callable[[bytes], _T], data: bytes) -> _T | None:
    try:
        return read(data)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


_read_report = msgspec.json.Decoder(Report).decode
_read_reply = msgspec.json.Decoder(ReportReply).decode
_read_news_request = msgspec.json.Decoder(NewsRequest).decode
_read_news_reply = msgspec.json.Decoder(NewsReply).decode
_read_permit_request = msgspec.json.Decoder(PermitRequest).decode
_read_permit_reply = msgspec.json.Decoder(PermitReply).decode
