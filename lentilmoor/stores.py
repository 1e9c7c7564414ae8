"""The adapter of the platform's key-value service and its instance list.

This module alone knows their wire format. `Store` is what the rest of the
package uses: every call ends by a deadline, returns a value, and a
compare-and-swap whose reply was lost is settled before it returns.
"""

import base64
import binascii
from collections.abc import Callable
import dataclasses
import enum
import functools
import json
import os
import threading
import time
import urllib.parse

import xxhash

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import models
from lentilmoor import outcomes

MAX_VALUE_BYTES = 1_000_000
DEFAULT_TIMEOUT_MS = 500
SWAP_TIMEOUTS = 2  # A swap is given up after so many times the timeout.

_MAGIC = b'LM1'
_ID_BYTES = 16
_HEADER_BYTES = len(_MAGIC) + _ID_BYTES
_MAX_ATTEMPTS = 6
_FIRST_PAUSE_MS = 20.0
_PAUSE_GROWTH = 4
_IDLE_CONNECTIONS = 8
_SERVER_ERROR = 500
_INSTANCE_FIELDS = ('id', 'peer_address', 'relay_address', 'region',
                    'failure_domain')

_Reason = outcomes.Reason
_Failed = outcomes.Failed


class InstanceState(enum.Enum):
    """What the platform says of an instance; it may lag."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One line of the platform's list of instances.

    Attributes:
      id: Instance id; a replaced instance gets a new one.
      peer_address: host:port of its peer protocol.
      relay_address: host:port where peers hand it requests.
      region: Its region.
      failure_domain: Its failure domain.
      state: Live or leaving.
    """

    id: str
    peer_address: str
    relay_address: str
    region: str
    failure_domain: str
    state: InstanceState = InstanceState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A key's value at one version.

    Attributes:
      key: The key.
      value: The value, as it was given to `swap`.
      version: The store's version; grows with each write and is never 0.
    """

    key: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A swap met another version than it expected.

    Attributes:
      current: What the key holds now; None if it is absent.
      maybe_applied: An earlier attempt went unanswered, so that this value
        may have been in force for a while before `current` replaced it. It
        will not come into force later.
    """

    current: Record | None
    maybe_applied: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed under a prefix after a revision.

    Attributes:
      revision: Where the next watch goes on.
      records: Keys written, each at its newest version.
      deleted: Keys that went.
      snapshot: `records` is all that the prefix holds: the store's history
        no longer reached back, or the watch began at 0.
    """

    revision: int
    records: tuple[Record, ...] = ()
    deleted: tuple[str, ...] = ()
    snapshot: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """Calls made to the platform since the start, by kind.

    Attributes:
      retries: Attempts of swaps after the first one; counted in `writes` too.
      failures: Calls that ended as `outcomes.Failed`.
    """

    reads: int = 0
    writes: int = 0
    lists: int = 0
    watches: int = 0
    instances: int = 0
    retries: int = 0
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """The platform's service as seen by this package.

    Attributes:
      read: Returns a key's record; Failed(NOT_FOUND) if it is absent.
      swap: Writes a key if it has the expected version (0: absent). Settles
        lost replies itself. Failed(TIMED_OUT) means not settled: the write may
        have taken effect or may yet do so; any other failure means that it
        has not and will not.
      list: Returns all records under a prefix.
      watch: Waits up to `wait_ms` for changes after a revision.
      instances: Returns the platform's list of instances, which lags.
      register: Puts an instance on that list, where the platform does not
        do so itself.
      counters: Calls made so far.
    """

    read: Callable[[str], Record | outcomes.Failed]
    swap: Callable[[str, bytes, int], Record | Conflict | outcomes.Failed]
    list: Callable[[str], tuple[Record, ...] | outcomes.Failed]
    watch: Callable[[str, int, float], Changes | outcomes.Failed]
    instances: Callable[[], tuple[ListedInstance, ...] | outcomes.Failed]
    register: Callable[[ListedInstance], outcomes.Failed | None]
    counters: Counters


@dataclasses.dataclass(frozen=True, slots=True)
class Transport:
    """Single attempts, each with a time limit in ms as its last argument.

    A write that ends as Failed(TIMED_OUT) may have taken effect or may yet do
    so; with Failed(STORE_UNAVAILABLE) it has not and will not.
    """

    read: Callable[[str, float], Record | outcomes.Failed | None]
    write: Callable[[str, bytes, int, float],
                    Record | Conflict | outcomes.Failed]
    list: Callable[[str, float], tuple[Record, ...] | outcomes.Failed]
    watch: Callable[[str, int, float, float], Changes | outcomes.Failed]
    instances: Callable[[float], tuple[ListedInstance, ...] | outcomes.Failed]
    register: Callable[[ListedInstance, float], outcomes.Failed | None]


def connect_store(settings: models.StoreSettings, clock: clocks.Clock,
                  writer_id: str) -> Store:
    """Returns the store behind the given addresses; connects when called.

    Args:
      settings: Addresses, tried in turn, and the timeout of a call.
      clock: This process's time.
      writer_id: Name of this instance; part of each write's id.
    """
    client = _Client(tuple(settings.addresses), clock)
    transport = Transport(
        read=functools.partial(_read, client),
        write=functools.partial(_write, client),
        list=functools.partial(_list, client),
        watch=functools.partial(_watch, client),
        instances=functools.partial(_instances, client),
        register=functools.partial(_register, client),
    )
    return make_store(transport, clock, settings.timeout_ms, writer_id, _pause)


def make_store(transport: Transport,
               clock: clocks.Clock,
               timeout_ms: float,
               writer_id: str,
               pause: Callable[[float], None] = lambda ms: None) -> Store:
    """Returns a store over single attempts.

    Args:
      transport: Carries out single attempts.
      clock: This process's time.
      timeout_ms: Time limit of one attempt.
      writer_id: Name of this instance.
      pause: Waits so many ms between attempts.
    """
    counters = Counters()
    lock = threading.Lock()

    def count(kind: str) -> None:
        with lock:
            setattr(counters, kind, getattr(counters, kind) + 1)

    def note(result):
        if isinstance(result, _Failed):
            count('failures')
        return result

    def read(key):
        count('reads')
        result = transport.read(key, timeout_ms)
        if result is None:
            return _Failed(_Reason.NOT_FOUND, key)
        return note(_unwrap(result))

    def swap(key, value, expected_version):
        if len(value) + _HEADER_BYTES > MAX_VALUE_BYTES:
            return note(
                _Failed(
                    _Reason.INVALID, f'{key}: value of {len(value)} bytes, '
                    f'expected at most {MAX_VALUE_BYTES - _HEADER_BYTES}'))

        def attempt(left_ms):
            count('writes')
            return transport.write(key, sealed, expected_version,
                                   min(left_ms, timeout_ms))

        write_id = _make_id(writer_id)
        sealed = _MAGIC + write_id + value
        return note(
            _settle(attempt, write_id, clock, timeout_ms * SWAP_TIMEOUTS,
                    lambda: count('retries'), pause))

    def list_all(prefix):
        count('lists')
        result = transport.list(prefix, timeout_ms)
        if isinstance(result, _Failed):
            return note(result)
        return tuple(_unwrap(record) for record in result)

    def watch(prefix, after_revision, wait_ms):
        count('watches')
        result = transport.watch(prefix, after_revision, wait_ms, timeout_ms)
        if isinstance(result, _Failed):
            return note(result)
        records = tuple(_unwrap(record) for record in result.records)
        return dataclasses.replace(result, records=records)

    def instances():
        count('instances')
        return note(transport.instances(timeout_ms))

    def register(instance):
        count('instances')
        return note(transport.register(instance, timeout_ms))

    return Store(read, swap, list_all, watch, instances, register, counters)


def _make_id(writer_id: str) -> bytes:
    return xxhash.xxh3_64_digest(writer_id.encode()) + os.urandom(8)


def _unwrap(record):
    """Takes the envelope off; a value that has none is another program's."""
    if not isinstance(record, Record) or not record.value.startswith(_MAGIC):
        return record
    return dataclasses.replace(record, value=record.value[_HEADER_BYTES:])


def _written_by(record: Record | None, write_id: bytes) -> bool:
    return (record is not None and
            record.value[:_HEADER_BYTES] == _MAGIC + write_id)


def _settle(attempt, write_id: bytes, clock: clocks.Clock, limit_ms: float,
            on_retry, pause) -> Record | Conflict | outcomes.Failed:
    """Repeats one and the same write until its outcome is certain.

    Reading back alone would not do: a write that is still on its way may
    arrive after the read. Once a repetition succeeded or met a conflict, the
    expected version is gone for good and the earlier ones can only conflict.
    """
    ends = clock.now() + limit_ms
    unanswered = False
    pause_ms = _FIRST_PAUSE_MS
    for number in range(_MAX_ATTEMPTS):
        left_ms = ends - clock.now()
        if left_ms <= 0:
            break
        if number:
            on_retry()
        result = attempt(left_ms)
        if isinstance(result, Record):
            return _unwrap(result)
        if isinstance(result, Conflict):
            return _judge(result, write_id, unanswered)
        if result.reason is not _Reason.TIMED_OUT and not unanswered:
            return result
        unanswered = True
        pause(min(pause_ms, max(ends - clock.now(), 0)))
        pause_ms *= _PAUSE_GROWTH
    return _Failed(_Reason.TIMED_OUT, 'the outcome of a write is not settled')


def _judge(conflict: Conflict, write_id: bytes,
           unanswered: bool) -> Record | Conflict:
    if _written_by(conflict.current, write_id):
        return _unwrap(conflict.current)
    current = conflict.current and _unwrap(conflict.current)
    return Conflict(current, maybe_applied=unanswered)


def _pause(wait_ms: float) -> None:
    time.sleep(wait_ms / clocks.MS_PER_S)


class _Client:
    """Calls to one of several addresses; the last good one comes first."""

    def __init__(self, addresses: tuple[str, ...], clock: clocks.Clock):
        self._clock = clock
        self._addresses = addresses
        self._preferred = 0
        self._caller = httpclient.Client(clock, _IDLE_CONNECTIONS)

    def read(self, target: str,
             timeout_ms: float) -> httpclient.Reply | outcomes.Failed:
        """Makes a call that changes nothing; any failure means no answer."""
        result = self._call(httpclient.Request('GET', target), timeout_ms)
        if isinstance(result, _Failed):
            if result.reason is _Reason.TIMED_OUT:
                return result
            return _Failed(_Reason.STORE_UNAVAILABLE, result.detail)
        if result.status >= _SERVER_ERROR:
            return _Failed(_Reason.STORE_UNAVAILABLE, f'status {result.status}')
        return result

    def write(self, request: httpclient.Request,
              timeout_ms: float) -> httpclient.Reply | outcomes.Failed:
        """Makes a call that may take effect though it fails.

        Returns:
          The reply; Failed(STORE_UNAVAILABLE) if it certainly was not sent;
          Failed(TIMED_OUT) if it may have taken effect or may yet do so.
        """
        result = self._call(request, timeout_ms)
        if isinstance(result, _Failed):
            if result.reason is _Reason.CONNECT_FAILED:
                return _Failed(_Reason.STORE_UNAVAILABLE, result.detail)
            return _Failed(_Reason.TIMED_OUT, result.detail)
        if result.status >= _SERVER_ERROR:
            return _Failed(_Reason.TIMED_OUT, f'status {result.status}')
        return result

    def _call(self, request: httpclient.Request,
              timeout_ms: float) -> httpclient.Reply | outcomes.Failed:
        """Makes one call, on the next address if it surely was not sent."""
        ends = self._clock.now() + timeout_ms
        failed = _Failed(_Reason.CONNECT_FAILED, 'no time left')
        for _ in self._addresses:
            index = self._preferred
            left_ms = ends - self._clock.now()
            if left_ms <= 0:
                break
            result = self._caller.call(self._addresses[index], request, left_ms)
            if (isinstance(result, httpclient.Reply) and
                    result.status < _SERVER_ERROR):
                return result
            self._preferred = (index + 1) % len(self._addresses)
            if isinstance(result, httpclient.Reply):
                return result
            failed = result
            if failed.reason is not _Reason.CONNECT_FAILED:
                break
        return failed


def _path(key: str) -> str:
    return '/v1/kv/' + urllib.parse.quote(key, safe='/')


def _invalid(what: str) -> outcomes.Failed:
    return _Failed(_Reason.INVALID, f'the store answered {what}')


def _read_version(reply: httpclient.Reply) -> int | None:
    tag = reply.headers.get('ETag', '').strip('"')
    return int(tag) if tag.isdecimal() and int(tag) > 0 else None


def _read(client: _Client, key: str, timeout_ms: float):
    reply = client.read(_path(key), timeout_ms)
    if isinstance(reply, _Failed):
        return reply
    if reply.status == 404:
        return None
    version = _read_version(reply)
    if reply.status != 200 or version is None:
        return _invalid(f'status {reply.status} without a version')
    return Record(key, reply.body, version)


def _write(client: _Client, key: str, value: bytes, expected: int,
           timeout_ms: float):
    if expected:
        condition = {'If-Match': f'"{expected}"'}
    else:
        condition = {'If-None-Match': '*'}
    reply = client.write(
        httpclient.Request('PUT', _path(key), value, condition), timeout_ms)
    if isinstance(reply, _Failed):
        return reply
    version = _read_version(reply)
    if reply.status == 200 and version is not None:
        return Record(key, value, version)
    if reply.status == 412:
        if version is None:
            return Conflict(None)
        return Conflict(Record(key, reply.body, version))
    if reply.status == 413:
        return _Failed(_Reason.INVALID, f'{key}: the store refused its size')
    return _invalid(f'status {reply.status} to a write')


def _list(client: _Client, prefix: str, timeout_ms: float):
    query = urllib.parse.urlencode({'prefix': prefix})
    reply = client.read(f'/v1/kv?{query}', timeout_ms)
    return _parse(reply, lambda body: _parse_records(body['records']))


def _watch(client: _Client, prefix: str, after: int, wait_ms: float,
           timeout_ms: float):
    query = urllib.parse.urlencode({
        'prefix': prefix,
        'after': after,
        'wait_ms': int(wait_ms)
    })
    reply = client.read(f'/v1/watch?{query}', wait_ms + timeout_ms)
    return _parse(
        reply, lambda body: Changes(
            int(body['revision']), _parse_records(body['records']),
            tuple(str(key) for key in body['deleted']), bool(body['snapshot'])))


def _instances(client: _Client, timeout_ms: float):
    reply = client.read('/v1/instances', timeout_ms)
    return _parse(
        reply,
        lambda body: tuple(parse_instance(item) for item in body['instances']))


def _register(client: _Client, instance: ListedInstance, timeout_ms: float):
    path = '/v1/instances/' + urllib.parse.quote(instance.id, safe='')
    body = json.dumps(format_instance(instance)).encode()
    reply = client.write(httpclient.Request('PUT', path, body), timeout_ms)
    if isinstance(reply, _Failed):
        return reply
    return None if reply.status == 200 else _invalid(f'status {reply.status}')


def _parse(reply: httpclient.Reply | outcomes.Failed, build):
    if isinstance(reply, _Failed):
        return reply
    if reply.status != 200:
        return _invalid(f'status {reply.status}')
    try:
        return build(json.loads(reply.body))
    except (ValueError, KeyError, TypeError, AttributeError,
            binascii.Error) as error:
        return _invalid(f'what does not parse: {error!r}')


def _parse_records(items: list) -> tuple[Record, ...]:
    return tuple(
        Record(str(item['key']), base64.b64decode(item['value'], validate=True),
               int(item['version'])) for item in items)


def parse_instance(item: dict) -> ListedInstance:
    """Returns one instance of the platform's list from its JSON form."""
    fields = {name: str(item[name]) for name in _INSTANCE_FIELDS}
    return ListedInstance(**fields, state=InstanceState(item['state']))


def format_instance(instance: ListedInstance) -> dict:
    """Returns the JSON form of one instance of the platform's list."""
    return dataclasses.asdict(instance) | {'state': instance.state.value}
