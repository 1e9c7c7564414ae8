"""Control calls to backend servers that grant keys and release them."""

from collections.abc import Mapping
import http.client
import json

import urllib3.exceptions

from lentilmoor import boundedreads
from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.platform import grantconnections

_GRANT = '/-/grant'
_RELEASE = '/-/release'
_HANDOVER_TOKEN_HEADER = 'Lentilmoor-Handover'
_HEADERS = {'Content-Type': 'application/json'}
_DONE = 200
_REFUSED = 409
# A server answers a release once its requests for those keys have ended.
RELEASE_TIMEOUT_MS = 2_500.0

_Outcome = ownership.CallOutcome
_CONNECTION_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException,
                      OSError)


class _ForeignAnswerError(http.client.HTTPException):
    """Bytes on a connection aren't proved to be the grant's answer."""


def connect_servers(clock: clocks.Clock,
                    logger: logs.Logger) -> ports.ServerCalls:
    """Returns the functions that make the control calls.

    Args:
      clock: This process's clock.
      logger: Receives a log line for each grant without a proved answer.
    """
    pool = grantconnections.GrantConnectionPool(clock)
    # An answer to these calls has no id, so only a connection that carried no
    # other call proves whose it is. An old connection may also live on behind a
    # partition, where a check would find it open.
    caller = httpclient.Client(clock,
                               1,
                               grantconnections.SOCKET_OPTIONS,
                               httpclient.MAX_SHORT_REPLY_BYTES,
                               single_use=True)

    def call_release(address: str, fields: Mapping,
                     timeout_ms: float) -> httpclient.Reply | outcomes.Failed:
        request = httpclient.Request('POST', _RELEASE,
                                     json.dumps(fields).encode(), _HEADERS)
        return caller.call(address, request, timeout_ms)

    def grant(action: ownership.Grant) -> ownership.GrantResult:
        with pool.reserve(action) as connection:
            if isinstance(connection, _Outcome):
                return ownership.GrantResult(connection)
            return _send_grant(pool, connection, action, clock, logger)

    def release(action: ownership.Release) -> tuple[ownership.CallOutcome, str]:
        keys = action.key_range
        fields = {'From': keys.first, 'To': keys.last, 'fence': keys.fence}
        reply = call_release(action.server.address, fields, RELEASE_TIMEOUT_MS)
        outcome, token = _classify_reply(reply), ''
        if outcome is _Outcome.DONE:
            token = reply.headers.get(_HANDOVER_TOKEN_HEADER, '')
        return outcome, token

    def probe(action: ownership.Probe) -> ownership.CallOutcome:
        # A probe releases key 0. The keys of a probed server are about to move,
        # so it may as well lose one early.
        fields = {'From': 0, 'To': 0, 'fence': 0}
        return _classify_reply(
            call_release(action.server.address, fields,
                         ownership.GRANT_TIMEOUT_MS))

    def check(server: tables.Server, path: str, timeout_ms: float) -> bool:
        reply = caller.call(server.address, httpclient.Request('GET', path),
                            timeout_ms)
        return isinstance(reply, httpclient.Reply)

    return ports.ServerCalls(grant, release, probe, check)


def _send_grant(pool: grantconnections.GrantConnectionPool,
                connection: grantconnections.GrantConnection,
                action: ownership.Grant, clock: clocks.Clock,
                logger: logs.Logger) -> ownership.GrantResult:
    """Sends a grant over a connection whose lock the caller holds."""
    deadline_at = clock.now() + ownership.GRANT_TIMEOUT_MS
    if connection.http is not None and not connection.http.is_connected:
        connection.close()
    # Another grant may have closed or replaced the connection meanwhile.
    if action.link is not None and action.link != connection.number:
        return ownership.GrantResult(_Outcome.UNLINKED)
    try:
        pool.connect(connection, action.server.address, deadline_at)
    except _CONNECTION_ERRORS:
        return ownership.GrantResult(_Outcome.NOT_SENT)
    number = connection.number
    try:
        status, is_reusable = _post_grant(connection.http,
                                          _encode_grant(action), deadline_at,
                                          clock)
    except _CONNECTION_ERRORS as error:
        connection.close()
        logger.info('grant_unanswered',
                    server=action.server.id,
                    reason=type(error).__name__,
                    detail=str(error))
        return ownership.GrantResult(_Outcome.UNKNOWN, number)
    if not is_reusable:
        connection.close()
    return ownership.GrantResult(_classify_status(status), number)


def _post_grant(connection: boundedreads.BoundedConnection, body: bytes,
                deadline_at: float, clock: clocks.Clock) -> tuple[int, bool]:
    """Sends a grant.

    Returns:
      The status of the answer, and whether the connection may carry another
      grant: a second copy of a refusal could count as the answer to the next.
      A grant has no request id, as a server of another service that listens at
      the address would run a call with one as a request.

    Raises:
      _ForeignAnswerError: The answer isn't proved to be the grant's.
    """
    connection.timeout = grantconnections.find_remaining_s(clock, deadline_at)
    connection.request('POST',
                       _GRANT,
                       body,
                       _HEADERS,
                       preload_content=False,
                       decode_content=False)
    connection.timeout = grantconnections.find_remaining_s(clock, deadline_at)
    response = connection.getresponse()
    size = 0
    while block := response.read1(grantconnections.MAX_ANSWER_BYTES):
        size += len(block)
        if size >= grantconnections.MAX_ANSWER_BYTES:
            raise boundedreads.MessageTooLargeError('the answer is too large')
    # `http.client` closes a connection that the server announced to close.
    if connection.sock is not None and connection.has_unread_data():
        raise _ForeignAnswerError('bytes follow the answer')
    return response.status, response.status == _DONE


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


def _classify_reply(
        reply: httpclient.Reply | outcomes.Failed) -> ownership.CallOutcome:
    if isinstance(reply, outcomes.Failed):
        if reply.reason is outcomes.Reason.CONNECT_FAILED:
            return _Outcome.NOT_SENT
        return _Outcome.UNKNOWN
    return _classify_status(reply.status)


def _classify_status(status: int) -> ownership.CallOutcome:
    if status == _DONE:
        return _Outcome.DONE
    if status == _REFUSED:
        return _Outcome.REFUSED
    # Another process answered at this address, or the server rejected the call
    # for another reason than its fence.
    return _Outcome.DECLINED
