"""One caller's request as the entry understands it.

`read_call` turns the parsed HTTP request into a `Call` or into the reason why
it was not run. It is the only place that interprets callers' headers.
"""

from collections.abc import Callable
import dataclasses
import functools
import itertools
import uuid

from lentilmoor import headers
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import slices

MAX_KEY_BYTES = 1024
MAX_IDEMPOTENCY_KEY_BYTES = 256
MAX_NAME_BYTES = 128

_Reason = outcomes.Reason
_PROCESS_TAG = uuid.uuid4().hex[:16]
_numbers = itertools.count(1)


@functools.cache
def _encode_name(name: str) -> bytes:
    """Returns a header's name as cheroot keeps it."""
    return name.title().encode()


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """A parsed HTTP request, not yet interpreted.

    Attributes:
      method: Upper case.
      path: Path without the query string.
      query: Query string, without '?'.
      headers: Values by title-case name, as cheroot keeps them.
      length: Length of the body in bytes, or None if it is chunked.
      read: Reads at most so many bytes of the body; b'' at its end.
      caller_gone: Whether the caller has closed its connection.
    """

    method: str
    path: str
    query: str
    headers: dict[bytes, bytes]
    length: int | None
    read: Callable[[int], bytes]
    caller_gone: Callable[[], bool]

    def header(self, name: str) -> str:
        """Returns the value of a header, or '' if it is absent."""
        value = self.headers.get(_encode_name(name))
        return value.decode('latin-1') if value else ''


@dataclasses.dataclass(slots=True)
class Call:
    """A request that is to be routed.

    Attributes:
      request_id: Unique over all entries.
      raw: The HTTP request.
      team: Team that owns the service.
      service: Service name within the team.
      settings: The service's settings when the request arrived.
      target: Path and query handed to the server.
      key: The key, or '' for a service without keys.
      point: The key's point in the hash space, or 0.
      shard: Number of the shard that owns the point.
      caller: Whom the request is accounted to.
      class_index: Index into the service's classes.
      deadline: Latest start of the answer, ms on the entry's clock.
      repeatable: Whether it may be run more than once.
      idempotency_key: The caller's key for at-most-once, or ''.
      relayed: Whether another entry handed it over.
      server: The server that entry meant, or ''.
      suspect: Whether that entry holds it suspect of crashing servers.
    """

    request_id: str
    raw: RawRequest
    team: str
    service: str
    settings: models.ServiceSettings
    target: str
    key: str
    point: int
    shard: int
    caller: str
    class_index: int
    deadline: float
    repeatable: bool
    idempotency_key: str
    relayed: bool = False
    server: str = ''
    suspect: bool = False

    @property
    def shard_id(self) -> str:
        """Id of the shard: 'team/service/number'."""
        return f'{self.team}/{self.service}/{self.shard}'

    @property
    def class_name(self) -> str:
        """Name of its class."""
        return self.settings.classes[self.class_index].name


FindSettings = Callable[[str, str], models.ServiceSettings | None]


def make_request_id() -> str:
    """Returns an id that is unique over all entries."""
    return f'{_PROCESS_TAG}-{next(_numbers):x}'


def read_call(raw: RawRequest, find_settings: FindSettings,
              now: float) -> Call | outcomes.NotRun:
    """Interprets a request.

    Args:
      raw: The request; its path is '/team/service/rest'.
      find_settings: Returns a service's settings by team and service.
      now: Milliseconds.

    Returns:
      The call, or why the request was not run.
    """
    found = _find_service(raw, find_settings)
    if isinstance(found, outcomes.NotRun):
        return found
    settings = found.settings
    fields = _read_fields(raw, settings, now)
    if isinstance(fields, outcomes.NotRun):
        return fields
    caller = raw.header(headers.CALLER)
    request_id = make_request_id()
    point = slices.hash_key(_pick_spread(fields, caller, request_id))
    return Call(request_id=request_id,
                raw=raw,
                team=found.team,
                service=found.service,
                settings=settings,
                target=f'{found.path}?{raw.query}' if raw.query else found.path,
                key=fields.key,
                point=point,
                shard=slices.pick_shard(point, settings.shards),
                caller=caller[:MAX_NAME_BYTES],
                class_index=fields.class_index,
                deadline=fields.deadline,
                repeatable=settings.may_repeat(raw.method, found.path),
                idempotency_key=fields.idempotency_key)


@dataclasses.dataclass(frozen=True, slots=True)
class _Service:
    team: str
    service: str
    settings: models.ServiceSettings
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Fields:
    deadline: float
    key: str
    class_index: int
    idempotency_key: str


def _read_fields(raw: RawRequest, settings: models.ServiceSettings,
                 now: float) -> _Fields | outcomes.NotRun:
    deadline = _read_deadline(raw, settings.limits, now)
    if isinstance(deadline, outcomes.NotRun):
        return deadline
    key = _read_key(raw, settings)
    if isinstance(key, outcomes.NotRun):
        return key
    class_index = _read_class(raw, settings)
    if isinstance(class_index, outcomes.NotRun):
        return class_index
    idempotency_key = raw.header(headers.IDEMPOTENCY_KEY)
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_BYTES:
        return _refuse(
            _Reason.BAD_REQUEST, f'{headers.IDEMPOTENCY_KEY}: expected at most '
            f'{MAX_IDEMPOTENCY_KEY_BYTES} bytes')
    return _Fields(deadline, key, class_index, idempotency_key)


def _find_service(raw: RawRequest,
                  find_settings: FindSettings) -> _Service | outcomes.NotRun:
    parts = raw.path.split('/', 3)
    if len(parts) < 3:
        return _refuse(_Reason.UNKNOWN_SERVICE,
                       'expected a path of the form /team/service/...')
    settings = find_settings(parts[1], parts[2])
    if settings is None:
        return _refuse(_Reason.UNKNOWN_SERVICE, 'no such service')
    if raw.length is not None and raw.length > settings.limits.body_bytes:
        return _refuse(_Reason.BODY_TOO_LARGE,
                       f'expected at most {settings.limits.body_bytes} bytes')
    path = f'/{parts[3]}' if len(parts) > 3 else '/'
    return _Service(parts[1], parts[2], settings, path)


def _read_deadline(raw: RawRequest, limits: models.Limits,
                   now: float) -> float | outcomes.NotRun:
    text = raw.header(headers.DEADLINE_MS)
    if not text:
        return now + limits.deadline_ms
    try:
        remaining = int(text)
    except ValueError:
        return _refuse(_Reason.BAD_REQUEST,
                       f'{headers.DEADLINE_MS}: expected whole milliseconds')
    if remaining <= 0:
        return _refuse(_Reason.DEADLINE_PASSED, 'the deadline has passed')
    if remaining > limits.longest_deadline_ms:
        return _refuse(
            _Reason.BAD_REQUEST, f'{headers.DEADLINE_MS}: expected at most '
            f'{limits.longest_deadline_ms}')
    return now + remaining


def _read_key(raw: RawRequest,
              settings: models.ServiceSettings) -> str | outcomes.NotRun:
    if not settings.keyed:
        return ''
    key = raw.header(headers.KEY)
    if not key:
        return _refuse(_Reason.MISSING_KEY,
                       f'expected a key in the header {headers.KEY}')
    if len(key) > MAX_KEY_BYTES:
        return _refuse(
            _Reason.BAD_REQUEST,
            f'{headers.KEY}: expected at most {MAX_KEY_BYTES} bytes')
    return key


def _read_class(raw: RawRequest,
                settings: models.ServiceSettings) -> int | outcomes.NotRun:
    name = raw.header(headers.CLASS)
    if not name:
        return 0
    for index, item in enumerate(settings.classes):
        if item.name == name:
            return index
    known = ', '.join(item.name for item in settings.classes)
    return _refuse(_Reason.BAD_REQUEST,
                   f'{headers.CLASS}: expected one of: {known}')


def _pick_spread(fields: _Fields, caller: str, request_id: str) -> str:
    """Returns what places a request: a resend must meet the first claim."""
    if fields.key:
        return fields.key
    if fields.idempotency_key:
        return f'{caller}\0{fields.idempotency_key}'
    return request_id


def _refuse(reason: outcomes.Reason, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(reason, detail)
