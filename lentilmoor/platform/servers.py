"""Control calls to backend servers: granting keys and taking them back."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import http.client
import itertools
import json
import socket
import struct
import threading

from urllib3 import connection as http_connection
import urllib3.exceptions

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import outcomes
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.platform import store

_GRANT = '/-/grant'
_RELEASE = '/-/release'
_TOKEN = 'Lentilmoor-Handover'
_HEADERS = {'Content-Type': 'application/json'}
# A release is answered when the work that runs on its keys has ended.
RELEASE_MS = 2_500.0
# Links to one server. A grant that is answered late must not keep the others
# beyond their time limit; each server takes a limited number of connections.
MOST_LINKS = 8
# Links to servers that are sent no grants any more are closed after this.
IDLE_MS = 30_000.0
# Closing a connection resets it, also when the process is killed. Otherwise the
# system would go on sending what was given up, for as long as its path is cut.
ABORT_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
_OPTIONS = (*store.KEEPALIVE, ABORT_ON_CLOSE)

_Answer = ownership.Answer
_BROKEN = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


@dataclasses.dataclass(slots=True)
class _Link:
    """A connection that carries one server's grants, one at a time.

    Attributes:
      lock: Held while a grant is under way.
      claims: Grants that are under way on it or wait for it.
      http: The connection; None before the first, or once it has ended.
      number: Its number; no other connection ever has the same.
    """

    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    claims: int = 0
    http: http_connection.HTTPConnection | None = None
    number: int | None = None

    def close(self) -> None:
        """Aborts the connection: what is on its way is lost."""
        if self.http is not None:
            self.http.close()
        self.http = self.number = None


@dataclasses.dataclass(slots=True)
class _Group:
    """The links to one server.

    Attributes:
      links: At most `MOST_LINKS`, free or not.
      used_at: When one was last asked for, ms.
    """

    used_at: float
    links: list[_Link] = dataclasses.field(default_factory=list)


class _Links:
    """The links to all servers; for many threads."""

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._groups: dict[tuple[str, str], _Group] = {}
        self._numbers = itertools.count(1)
        self._looked_at = clock.now()

    @contextlib.contextmanager
    def take(self,
             action: ownership.Grant) -> Iterator[_Link | ownership.Answer]:
        """Gives the link for a grant, with its lock held.

        Yields:
          A link, perhaps not connected yet; or why there is none: UNLINKED, or
          NOT_SENT if it didn't get free in time.
        """
        with self._lock:
            links = self._find(action.server)
            link = _choose(links, action.link)
            if link is not None:
                link.claims += 1
        if link is None:
            yield _Answer.UNLINKED
            return
        wait_s = ownership.GRANT_WAIT_MS / clocks.MS_PER_S
        held = link.lock.acquire(timeout=wait_s)
        try:
            yield link if held else _Answer.NOT_SENT
        finally:
            if held:
                link.lock.release()
            with self._lock:
                link.claims -= 1

    def _find(self, server: tables.Server) -> list[_Link]:
        """Returns the links to a server; the lock is held."""
        now = self._clock.now()
        self._close_idle(now)
        group = self._groups.setdefault((server.id, server.address),
                                        _Group(now))
        group.used_at = now
        return group.links

    def _close_idle(self, now: float) -> None:
        if now - self._looked_at < IDLE_MS:
            return
        self._looked_at = now
        idle = [
            key for key, group in self._groups.items()
            if now - group.used_at > IDLE_MS
        ]
        for key in idle:
            for link in self._groups.pop(key).links:
                if not link.claims:
                    link.close()

    def connect(self, link: _Link, address: str, until: float) -> None:
        """Connects a link, whose lock is held, if it isn't connected.

        Raises:
          urllib3.exceptions.HTTPError: It can't be connected in time.
        """
        if link.http is not None:
            return
        host, _, port = address.rpartition(':')
        left_s = _find_left_s(self._clock, until)
        connection = http_connection.HTTPConnection(host.strip('[]'),
                                                    int(port),
                                                    timeout=left_s,
                                                    socket_options=_OPTIONS)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        link.http, link.number = connection, next(self._numbers)


def _choose(links: list[_Link], number: int | None) -> _Link | None:
    """Returns the link for a grant; None if the one it is bound to has ended.

    Args:
      links: Those to the server; a new one may join them.
      number: The link that it is bound to; None if any will do.
    """
    if number is not None:
        return next((link for link in links if link.number == number), None)
    least = min(links, key=lambda link: link.claims, default=None)
    if least is not None and (not least.claims or len(links) == MOST_LINKS):
        return least
    links.append(_Link())
    return links[-1]


def connect_servers(clock: clocks.Clock) -> ports.Servers:
    """Returns the control calls.

    Args:
      clock: This process's time.
    """
    links = _Links(clock)
    caller = httpcalls.Caller(clock, 4, _OPTIONS)

    def call_release(address: str, fields: Mapping,
                     timeout_ms: float) -> httpcalls.Reply | outcomes.Failed:
        request = httpcalls.Request('POST', _RELEASE,
                                    json.dumps(fields).encode(), _HEADERS)
        return caller.call(address, request, timeout_ms)

    def grant(action: ownership.Grant) -> ownership.Granted:
        with links.take(action) as link:
            if isinstance(link, ownership.Answer):
                return ownership.Granted(link)
            return _grant_over(links, link, action, clock)

    def release(action: ownership.Release) -> tuple[ownership.Answer, str]:
        item = action.item
        fields = {'From': item.first, 'To': item.last, 'fence': item.fence}
        reply = call_release(action.server.address, fields, RELEASE_MS)
        token = ''
        if isinstance(reply, httpcalls.Reply):
            token = reply.headers.get(_TOKEN, '')
        return _judge_reply(reply), token

    def probe(action: ownership.Probe) -> ownership.Answer:
        # A server that is probed was silent for as long as a hold: it has no
        # keys that this could take.
        fields = {'From': 0, 'To': 0, 'fence': 0}
        return _judge_reply(
            call_release(action.server.address, fields, ownership.GRANT_MS))

    return ports.Servers(grant, release, probe)


def _grant_over(links: _Links, link: _Link, action: ownership.Grant,
                clock: clocks.Clock) -> ownership.Granted:
    """Sends a grant over a link, whose lock is held."""
    until = clock.now() + ownership.GRANT_MS
    if link.http is not None and not link.http.is_connected:
        link.close()
    if action.link is not None and action.link != link.number:
        return ownership.Granted(_Answer.UNLINKED)
    try:
        links.connect(link, action.server.address, until)
    except _BROKEN:
        return ownership.Granted(_Answer.NOT_SENT)
    number = link.number
    try:
        status = _post(link.http, _encode_grant(action), until, clock)
    except _BROKEN:
        link.close()
        return ownership.Granted(_Answer.UNKNOWN, number)
    return ownership.Granted(_judge(status), number)


def _post(connection: http_connection.HTTPConnection, body: bytes, until: float,
          clock: clocks.Clock) -> int:
    """Sends a grant; returns the status of its answer."""
    connection.timeout = _find_left_s(clock, until)
    connection.request('POST',
                       _GRANT,
                       body,
                       _HEADERS,
                       preload_content=False,
                       decode_content=False)
    connection.timeout = _find_left_s(clock, until)
    response = connection.getresponse()
    response.read()
    return response.status


def _encode_grant(action: ownership.Grant) -> bytes:
    fields = {
        'From': action.item.first,
        'To': action.item.last,
        'fence': action.fence,
        'HoldMs': int(action.hold_ms),
    }
    if action.token:
        fields['Handover'] = action.token
    return json.dumps(fields).encode()


def _find_left_s(clock: clocks.Clock, until: float) -> float:
    """Returns the time left, in seconds; never 0, which would not wait."""
    return max(1.0, until - clock.now()) / clocks.MS_PER_S


def _judge_reply(reply: httpcalls.Reply | outcomes.Failed) -> ownership.Answer:
    if isinstance(reply, outcomes.Failed):
        if reply.reason is outcomes.Reason.CONNECT_FAILED:
            return _Answer.NOT_SENT
        return _Answer.UNKNOWN
    return _judge(reply.status)


def _judge(status: int) -> ownership.Answer:
    if status == 200:
        return _Answer.DONE
    if status == 409:
        return _Answer.REFUSED
    # Another process at this address answers, or the server rejects the call.
    return _Answer.DECLINED
