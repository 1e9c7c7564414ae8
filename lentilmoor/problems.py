"""Problem details (RFC 9457): HTTP responses for refusals and failures.

The headers of each response, and the body of one that is not a backend server's
answer, say whether the request was not run or its outcome is unknown, and why.
`parse` is the inverse of `make`, for responses of another entry.
"""

import dataclasses
import enum
import http
import json
import math

from lentilmoor import clocks
from lentilmoor import outcomes

CONTENT_TYPE = 'application/problem+json'
OUTCOME_HEADER = 'Lentilmoor-Outcome'
REASON_HEADER = 'Lentilmoor-Reason'
RETRY_AFTER_HEADER = 'Retry-After'
TYPE_PREFIX = 'urn:lentilmoor:problem:'
_MAX_PARSED_BYTES = 64 * 1024

_Reason = outcomes.Reason


class Outcome(enum.Enum):
    """Values of `OUTCOME_HEADER`."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """An HTTP response that is not an answer of a backend server.

    Attributes:
      status: HTTP status code.
      headers: Header fields, including Content-Type and Content-Length.
      body: JSON in UTF-8.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """The status in WSGI's form, such as '503 Service Unavailable'."""
        return f'{self.status} {http.HTTPStatus(self.status).phrase}'


_STATUSES = {
    _Reason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    _Reason.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    _Reason.MISSING_KEY: http.HTTPStatus.BAD_REQUEST,
    _Reason.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    _Reason.DEADLINE_PASSED: http.HTTPStatus.GATEWAY_TIMEOUT,
    _Reason.NOT_AUTHORIZED: http.HTTPStatus.FORBIDDEN,
    _Reason.QUARANTINED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    _Reason.ALREADY_CLAIMED: http.HTTPStatus.CONFLICT,
    _Reason.KEY_REUSED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    _Reason.RESULT_NOT_KEPT: http.HTTPStatus.CONFLICT,
    _Reason.CONNECT_FAILED: http.HTTPStatus.BAD_GATEWAY,
    _Reason.CONNECTION_LOST: http.HTTPStatus.BAD_GATEWAY,
    _Reason.ANSWER_CUT: http.HTTPStatus.BAD_GATEWAY,
    _Reason.TIMED_OUT: http.HTTPStatus.GATEWAY_TIMEOUT,
    _Reason.CONFLICT: http.HTTPStatus.CONFLICT,
    _Reason.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    _Reason.INVALID: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}
# The request itself is at fault: sending it again won't help.
_FAULTY_REQUESTS = frozenset(
    (_Reason.BAD_REQUEST, _Reason.UNKNOWN_SERVICE, _Reason.MISSING_KEY,
     _Reason.BODY_TOO_LARGE, _Reason.NOT_AUTHORIZED))


def find_status(outcome: outcomes.NotRun | outcomes.Unknown) -> int:
    """Returns the HTTP status code of an outcome.

    An unknown outcome never gets 503, as the request may have run: clients and
    proxies resend requests automatically after a 503.

    Args:
      outcome: The outcome of the request.
    """
    status = _STATUSES.get(outcome.reason, http.HTTPStatus.SERVICE_UNAVAILABLE)
    may_have_run = isinstance(outcome, outcomes.Unknown)
    if may_have_run and status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        status = http.HTTPStatus.BAD_GATEWAY
    return int(status)


def make(outcome: outcomes.NotRun | outcomes.Unknown,
         instance: str = '',
         fractional_seconds: bool = False,
         invite_retries: bool = False) -> Problem:
    """Returns the response that reports an outcome to a caller.

    Args:
      outcome: The outcome of the request.
      instance: The id of the entry that responds; '' leaves it out of the body.
      fractional_seconds: Whether callers accept a Retry-After with fractions of
        a second.
      invite_retries: Whether a request that was not run gets status 503, upon
        which callers resend it, unless the request itself is at fault.
    """
    status = find_status(outcome)
    if (invite_retries and isinstance(outcome, outcomes.NotRun) and
            outcome.reason not in _FAULTY_REQUESTS):
        status = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
    outcome_kind = _classify(outcome)
    retry_after_ms = getattr(outcome, 'retry_after_ms', 0)
    members = {
        'type': TYPE_PREFIX + outcome.reason.value,
        'title': http.HTTPStatus(status).phrase,
        'status': status,
        'detail': outcome.detail or outcome.reason.value,
        'outcome': outcome_kind.value,
        'reason': outcome.reason.value,
    }
    if retry_after_ms:
        members['retry_after_ms'] = retry_after_ms
    if instance:
        members['instance'] = f'urn:lentilmoor:entry:{instance}'
    headers = [(OUTCOME_HEADER, outcome_kind.value),
               (REASON_HEADER, outcome.reason.value)]
    if retry_after_ms:
        seconds = retry_after_ms / clocks.MS_PER_S
        retry_after = f'{seconds:.3f}' if fractional_seconds else str(
            math.ceil(seconds))
        headers.append((RETRY_AFTER_HEADER, retry_after))
    return make_document(status, members, headers)


def make_document(status: int,
                  members: dict[str, object],
                  headers: list[tuple[str, str]] | None = None) -> Problem:
    """Returns a problem details response with the given members.

    Args:
      status: HTTP status code.
      members: The members of the JSON object.
      headers: Header fields besides Content-Type and Content-Length.
    """
    body = json.dumps(members, ensure_ascii=False).encode()
    content_headers = [('Content-Type', CONTENT_TYPE),
                       ('Content-Length', str(len(body)))]
    return Problem(status, tuple(content_headers + (headers or [])), body)


def parse(outcome: str | None, reason: str | None,
          body: bytes) -> outcomes.NotRun | outcomes.Unknown | None:
    """Parses the outcome in a response of another entry.

    Args:
      outcome: Value of `OUTCOME_HEADER`, or None if it is absent.
      reason: Value of `REASON_HEADER`, or None.
      body: The response's body.

    Returns:
      The outcome; None if the response is a backend server's answer. A reason
      that this release doesn't know becomes `PEER_UNAVAILABLE`.
    """
    if outcome not in (Outcome.NOT_RUN.value, Outcome.UNKNOWN.value):
        return None
    members = _read_members(body)
    detail = str(members.get('detail', ''))
    try:
        known_reason = _Reason(reason)
    except ValueError:
        known_reason = _Reason.PEER_UNAVAILABLE
        detail = f'{reason}: {detail}'
    if outcome == Outcome.UNKNOWN.value:
        return outcomes.Unknown(known_reason, detail)
    retry_after_ms = members.get('retry_after_ms', 0)
    if not isinstance(retry_after_ms, int):
        retry_after_ms = 0
    return outcomes.NotRun(known_reason, detail, retry_after_ms)


def _classify(outcome: outcomes.NotRun | outcomes.Unknown) -> Outcome:
    if isinstance(outcome, outcomes.NotRun):
        return Outcome.NOT_RUN
    return Outcome.UNKNOWN


def _read_members(body: bytes) -> dict[str, object]:
    if len(body) > _MAX_PARSED_BYTES:
        return {}
    try:
        members = json.loads(body)
    except ValueError:
        return {}
    return members if isinstance(members, dict) else {}
