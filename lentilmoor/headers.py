"""Names of HTTP headers of requests and responses, and how a line reads."""

import re

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# The name and the value, with the spaces around it (RFC 9112, section 5).
LINE = re.compile(rb'(' + TOKEN + rb'):([\t\x20-\x7e\x80-\xff]*)\r\n')

# Sent by a caller to an entry.
KEY = 'Lentilmoor-Key'
CLASS = 'Lentilmoor-Class'
CALLER = 'Lentilmoor-Caller'
DEADLINE_MS = 'Lentilmoor-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'
TRACEPARENT = 'traceparent'

# Sent by an entry to a caller.
REQUEST_ID = 'Lentilmoor-Request-Id'

# Sent by an entry to the entry that forwards requests to a server: the server's
# home, or a delegate.
RELAY_SECRET = 'Lentilmoor-Relay-Secret'
RELAY_SERVER = 'Lentilmoor-Relay-Server'
RELAY_SUSPECT = 'Lentilmoor-Relay-Suspect'
RELAY_REQUEST_ID = 'Lentilmoor-Relay-Request-Id'

# Hop-by-hop headers, which apply to one connection and must not be forwarded
# (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset((
    'connection',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))
