"""Control calls to backend servers: granting keys and taking them back."""

from collections.abc import Mapping
import http.client
import json

from urllib3 import connection as http_connection
import urllib3.exceptions

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import outcomes
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.platform import grantconnections

_GRANT = '/-/grant'
_RELEASE = '/-/release'
_TOKEN = 'Lentilmoor-Handover'
_HEADERS = {'Content-Type': 'application/json'}
# A release is answered when the work that runs on its keys has ended.
RELEASE_MS = 2_500.0

_Answer = ownership.CallOutcome
_BROKEN = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError)


def connect_servers(clock: clocks.Clock) -> ports.ServerCalls:
    """Returns the control calls.

    Args:
      clock: This process's time.
    """
    pool = grantconnections.Links(clock)
    caller = httpcalls.Caller(clock, 4, grantconnections.OPTIONS)

    def call_release(address: str, fields: Mapping,
                     timeout_ms: float) -> httpcalls.Reply | outcomes.Failed:
        request = httpcalls.Request('POST', _RELEASE,
                                    json.dumps(fields).encode(), _HEADERS)
        return caller.call(address, request, timeout_ms)

    def grant(action: ownership.Grant) -> ownership.GrantResult:
        with pool.take(action) as link:
            if isinstance(link, _Answer):
                return ownership.GrantResult(link)
            return _grant_over(pool, link, action, clock)

    def release(action: ownership.Release) -> tuple[ownership.CallOutcome, str]:
        item = action.key_range
        fields = {'From': item.first, 'To': item.last, 'fence': item.fence}
        reply = call_release(action.server.address, fields, RELEASE_MS)
        token = ''
        if isinstance(reply, httpcalls.Reply):
            token = reply.headers.get(_TOKEN, '')
        return _judge_reply(reply), token

    def probe(action: ownership.Probe) -> ownership.CallOutcome:
        # Releases key 0. The keys of a server that is probed are about to move,
        # so that it may lose one early.
        fields = {'From': 0, 'To': 0, 'fence': 0}
        return _judge_reply(
            call_release(action.server.address, fields,
                         ownership.GRANT_TIMEOUT_MS))

    return ports.ServerCalls(grant, release, probe)


def _grant_over(pool: grantconnections.Links, link: grantconnections.Link,
                action: ownership.Grant,
                clock: clocks.Clock) -> ownership.GrantResult:
    """Sends a grant over a link, whose lock is held."""
    until = clock.now() + ownership.GRANT_TIMEOUT_MS
    if link.http is not None and not link.http.is_connected:
        link.close()
    # Another grant may have closed or replaced it while this one waited.
    if action.link is not None and action.link != link.number:
        return ownership.GrantResult(_Answer.UNLINKED)
    try:
        pool.connect(link, action.server.address, until)
    except _BROKEN:
        return ownership.GrantResult(_Answer.NOT_SENT)
    number = link.number
    try:
        status = _post(link.http, _encode_grant(action), until, clock)
    except _BROKEN:
        link.close()
        return ownership.GrantResult(_Answer.UNKNOWN, number)
    return ownership.GrantResult(_judge_status(status), number)


def _post(connection: http_connection.HTTPConnection, body: bytes, until: float,
          clock: clocks.Clock) -> int:
    """Sends a grant; returns the status of its answer."""
    connection.timeout = grantconnections.find_left_s(clock, until)
    connection.request('POST',
                       _GRANT,
                       body,
                       _HEADERS,
                       preload_content=False,
                       decode_content=False)
    connection.timeout = grantconnections.find_left_s(clock, until)
    response = connection.getresponse()
    response.read()
    return response.status


def _encode_grant(action: ownership.Grant) -> bytes:
    fields = {
        'From': action.key_range.first,
        'To': action.key_range.last,
        'fence': action.fence,
        'HoldMs': int(action.hold_ms),
    }
    if action.handover_token:
        fields['Handover'] = action.handover_token
    return json.dumps(fields).encode()


def _judge_reply(
        reply: httpcalls.Reply | outcomes.Failed) -> ownership.CallOutcome:
    if isinstance(reply, outcomes.Failed):
        if reply.reason is outcomes.Reason.CONNECT_FAILED:
            return _Answer.NOT_SENT
        return _Answer.UNKNOWN
    return _judge_status(reply.status)


def _judge_status(status: int) -> ownership.CallOutcome:
    if status == 200:
        return _Answer.DONE
    if status == 409:
        return _Answer.REFUSED
    # Another process at this address answers, or the server rejects the call.
    return _Answer.DECLINED
