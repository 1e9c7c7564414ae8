"""Names of the HTTP headers that callers, entries and servers exchange."""

# From a caller to an entry.
KEY = 'Lentilmoor-Key'
CLASS = 'Lentilmoor-Class'
CALLER = 'Lentilmoor-Caller'
DEADLINE_MS = 'Lentilmoor-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'
TRACEPARENT = 'traceparent'

# From an entry to a caller.
REQUEST_ID = 'Lentilmoor-Request-Id'

# From an entry to the entry that is home or delegate for a server.
RELAY_SECRET = 'Lentilmoor-Relay-Secret'
RELAY_SERVER = 'Lentilmoor-Relay-Server'
RELAY_SUSPECT = 'Lentilmoor-Relay-Suspect'
RELAY_REQUEST_ID = 'Lentilmoor-Relay-Request-Id'

# Headers that describe one connection and are never passed on (RFC 9110,
# section 7.6.1).
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
