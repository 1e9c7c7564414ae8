"""Control calls to backend servers: granting keys and taking them back."""

import json
import socket
import struct

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import outcomes
from lentilmoor.edge import ownership
from lentilmoor.edge import ports
from lentilmoor.platform import store

_GRANT = '/-/grant'
_RELEASE = '/-/release'
_TOKEN = 'Lentilmoor-Handover'
# A release is answered when the work that runs on its keys has ended.
RELEASE_MS = 2_500.0
# Closing a connection resets it, also when the process is killed. Otherwise the
# system would go on sending what was given up, for as long as its path is cut.
ABORT_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))

_Answer = ownership.Answer


def connect_servers(clock: clocks.Clock) -> ports.Servers:
    """Returns the control calls.

    Args:
      clock: This process's time.
    """
    caller = httpcalls.Caller(clock, 4, (*store.KEEPALIVE, ABORT_ON_CLOSE))

    def call(address: str, target: str, fields: dict,
             timeout_ms: float) -> httpcalls.Reply | outcomes.Failed:
        request = httpcalls.Request('POST', target,
                                    json.dumps(fields).encode(),
                                    {'Content-Type': 'application/json'})
        return caller.call(address, request, timeout_ms)

    def grant(action: ownership.Grant) -> ownership.Answer:
        item = action.item
        fields = {
            'From': item.first,
            'To': item.last,
            'fence': item.fence,
            'HoldMs': int(action.hold_ms),
        }
        if action.token:
            fields['Handover'] = action.token
        reply = call(action.server.address, _GRANT, fields, ownership.GRANT_MS)
        return _judge(reply)

    def release(action: ownership.Release) -> tuple[ownership.Answer, str]:
        item = action.item
        fields = {'From': item.first, 'To': item.last, 'fence': item.fence}
        reply = call(action.server.address, _RELEASE, fields, RELEASE_MS)
        token = ''
        if isinstance(reply, httpcalls.Reply):
            token = reply.headers.get(_TOKEN, '')
        return _judge(reply), token

    def probe(action: ownership.Probe) -> ownership.Answer:
        # Releases a key that is about to be taken from it anyhow.
        fields = {'From': 0, 'To': 0, 'fence': 0}
        return _judge(
            call(action.server.address, _RELEASE, fields, ownership.GRANT_MS))

    return ports.Servers(grant, release, probe)


def _judge(reply: httpcalls.Reply | outcomes.Failed) -> ownership.Answer:
    if isinstance(reply, outcomes.Failed):
        if reply.reason is outcomes.Reason.CONNECT_FAILED:
            return _Answer.NOT_SENT
        return _Answer.UNKNOWN
    if reply.status == 200:
        return _Answer.DONE
    if reply.status == 409:
        return _Answer.REFUSED
    # Another process at this address answers, or the server rejects the call.
    return _Answer.NOT_SENT
