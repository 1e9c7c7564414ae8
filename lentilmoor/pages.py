"""Requests and replies of the administration API, apart from what they do."""

from collections.abc import Iterable
import dataclasses
import http
import json
from typing import Any
import urllib.parse

from lentilmoor import credentials
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import problems

MAX_BODY_BYTES = models.MAX_BRANCH_BYTES
JSON = 'application/json'
YAML = 'application/yaml'
TEXT = 'text/plain; charset=utf-8'

_RETRY_AFTER_MS = 1_000
_MAX_VERSION_DIGITS = 19

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request of an operator.

    Attributes:
      method: HTTP method.
      path: Decoded path.
      query: First value of each parameter.
      headers: WSGI's environ.
      identity: Who asks; None on the open pages.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, Any]
    identity: credentials.Identity | None = None

    @property
    def author(self) -> str:
        """The name under which a change is kept."""
        return self.identity.name if self.identity else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply, whole."""

    status: int
    body: bytes
    headers: Headers = ()
    content_type: str = JSON

    @property
    def status_line(self) -> str:
        """The status as WSGI wants it."""
        return f'{self.status} {http.HTTPStatus(self.status).phrase}'


@dataclasses.dataclass(frozen=True, slots=True)
class Precondition:
    """What a change expects.

    Attributes:
      version: The version to be replaced; 0 for none.
    """

    version: int


def read_request(environ: dict[str, Any]) -> Request:
    """Returns the request that WSGI hands over, not yet authenticated."""
    query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''),
                                  keep_blank_values=True,
                                  max_num_fields=16)
    return Request(environ['REQUEST_METHOD'], environ.get('PATH_INFO', ''), {
        name: values[0] for name, values in query.items()
    }, environ)


def read_token(request: Request) -> str:
    """Returns the bearer token; empty if there is none."""
    scheme, _, token = request.headers.get('HTTP_AUTHORIZATION',
                                           '').partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def read_body(request: Request) -> str | Reply:
    """Returns the whole body as text, or why it is refused.

    A length is asked for, so that a body that was cut off on its way is never
    taken for a whole one.

    Args:
      request: The request.
    """
    declared = request.headers.get('CONTENT_LENGTH', '')
    if not declared.isdecimal():
        return reply_error(http.HTTPStatus.LENGTH_REQUIRED,
                           outcomes.Reason.BAD_REQUEST,
                           'expected a Content-Length')
    length = int(declared)
    if length > MAX_BODY_BYTES:
        return reply_error(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                           outcomes.Reason.BODY_TOO_LARGE,
                           f'expected at most {MAX_BODY_BYTES} bytes',
                           (('Connection', 'close'),))
    body = request.headers['wsgi.input'].read(length)
    if len(body) != length:
        return reply_error(http.HTTPStatus.BAD_REQUEST,
                           outcomes.Reason.BAD_REQUEST, 'the body was cut off',
                           (('Connection', 'close'),))
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        return reply_error(
            http.HTTPStatus.BAD_REQUEST, outcomes.Reason.BAD_REQUEST,
            f'expected UTF-8: {error.reason} at byte '
            f'{error.start}')


def read_precondition(request: Request) -> Precondition | Reply:
    """Returns the version that a change expects, or why it is refused."""
    match = request.headers.get('HTTP_IF_MATCH')
    none_match = request.headers.get('HTTP_IF_NONE_MATCH')
    if match is None and none_match is None:
        return reply_error(
            http.HTTPStatus.PRECONDITION_REQUIRED, outcomes.Reason.BAD_REQUEST,
            'expected If-Match with the ETag that was read, or '
            'If-None-Match: * for a first version')
    if match is None and none_match.strip() == '*':
        return Precondition(0)
    version = _read_etag(match) if none_match is None else None
    if version is None:
        return reply_error(
            http.HTTPStatus.BAD_REQUEST, outcomes.Reason.BAD_REQUEST,
            'expected one precondition: If-Match: "VERSION" or '
            'If-None-Match: *')
    return Precondition(version)


def make_etag(version: int) -> str:
    """Returns the entity tag of a version."""
    return f'"{version}"'


def reply_json(value: Any,
               status: int = http.HTTPStatus.OK,
               headers: Headers = ()) -> Reply:
    """Returns a reply with a JSON body."""
    return Reply(status,
                 json.dumps(value, ensure_ascii=False).encode() + b'\n',
                 headers)


def reply_error(status: int,
                reason: outcomes.Reason,
                detail: str,
                headers: Headers = (),
                **members: Any) -> Reply:
    """Returns a refusal: the request was not run.

    Args:
      status: HTTP status code.
      reason: Why.
      detail: One sentence for a person.
      headers: More header fields.
      **members: More members of the problem details.
    """
    problem = problems.make(outcomes.NotRun(reason, detail))
    body = json.loads(problem.body) | {
        'status': int(status),
        'title': http.HTTPStatus(status).phrase
    } | members
    told = ((problems.OUTCOME_HEADER, problems.Outcome.NOT_RUN.value),
            (problems.REASON_HEADER, reason.value))
    return Reply(status,
                 json.dumps(body, ensure_ascii=False).encode() + b'\n',
                 told + headers, problems.CONTENT_TYPE)


def reply_failure(failed: outcomes.Failed) -> Reply:
    """Returns what tells of a failed call to the store."""
    if failed.reason is outcomes.Reason.TIMED_OUT:
        detail = ('the change may have taken effect or may yet do so; read '
                  'before sending it again')
        problem = problems.make(outcomes.Unknown(failed.reason, detail))
    else:
        passing = failed.reason in (outcomes.Reason.STORE_UNAVAILABLE,
                                    outcomes.Reason.OVERLOADED)
        problem = problems.make(
            outcomes.NotRun(failed.reason, failed.detail,
                            _RETRY_AFTER_MS if passing else 0))
    headers = tuple(
        item for item in problem.headers if not item[0].startswith('Content-'))
    return Reply(problem.status, problem.body, headers, problems.CONTENT_TYPE)


def send(reply: Reply, method: str, start_response: Any) -> Iterable[bytes]:
    """Hands a reply to WSGI."""
    headers = [('Content-Type', reply.content_type),
               ('Content-Length', str(len(reply.body))),
               ('Cache-Control', 'no-store'), *reply.headers]
    if not any(name == problems.OUTCOME_HEADER for name, _ in headers):
        headers.append(
            (problems.OUTCOME_HEADER, problems.Outcome.ANSWERED.value))
    start_response(reply.status_line, headers)
    return [] if method == 'HEAD' else [reply.body]


def _read_etag(text: str) -> int | None:
    tag = text.strip()
    if len(tag) < 3 or tag[0] != '"' or tag[-1] != '"':
        return None
    digits = tag[1:-1]
    if not digits.isascii() or not digits.isdecimal():
        return None
    if len(digits) > _MAX_VERSION_DIGITS:
        return None
    return int(digits) or None
