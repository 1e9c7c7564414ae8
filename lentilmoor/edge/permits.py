"""Permits to send requests to backend servers that have set a rate limit.

A server's limit applies to all entries combined, so a single entry issues its
permits. This enforces the limit regardless of the number of entries and of how
unevenly requests are distributed among them. Entries select the issuer by
rendezvous hashing over the entries that are registered or were shortly before.
If the issuer is unreachable, the next entry in rank order issues permits at a
fraction of the rate, since the issuer may still be reachable from other
entries. An issuer whose own registration may be gone, so that others choose
another one, issues at that fraction too.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib
import heapq
import threading

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor.edge import ports
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reports

PATH = '/permit'
# Maximum number of entries that can issue permits for a server.
MAX_ISSUERS = 2
# Fraction of the limit at which a substitute issuer issues permits.
SUBSTITUTE_RATE_FACTOR = 0.25
# Timeout of a permit request to another entry.
REQUEST_TIMEOUT_MS = 150.0
# Delay before an issuer that did not reply is asked again.
ISSUER_RETRY_MS = 1_000.0
# Delay before the next permit request if no issuer replied.
NO_ISSUER_RETRY_MS = 100.0

SendRequest = Callable[[str, reports.PermitRequest], reports.PermitReply | None]


@dataclasses.dataclass(slots=True)
class PermitTable:
    """State for requesting and issuing permits, shared between threads.

    Attributes:
      address: Address of this entry for other entries; '' if it has no peers.
      send_request: Sends a permit request to the entry at an address; returns
        its reply, or None if there is no valid reply.
      buckets: Token buckets of the permits that this entry issues, by server id
        and whether it is a substitute issuer.
      unreachable_until: When an issuer that did not reply may be asked again,
        ms, by address.
      lock: Guards `buckets` and `unreachable_until`.
    """

    address: str = ''
    send_request: SendRequest = lambda unused_address, unused_request: None
    buckets: dict[tuple[str, bool], ratelimits.TokenBucket] = dataclasses.field(
        default_factory=dict)
    unreachable_until: dict[str,
                            float] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def make_permit_table(address: str, clock: clocks.Clock, logger,
                      socket_options: tuple) -> PermitTable:
    """Returns a permit table that requests permits over HTTP.

    Args:
      address: Address of this entry for other entries.
      clock: Clock of this process.
      logger: Receives a log line for each failed permit request.
      socket_options: Set on connections to other entries.
    """
    caller = httpclient.Client(clock, 2, socket_options,
                               httpclient.MAX_SHORT_REPLY_BYTES)

    def send_request(
            issuer: str,
            message: reports.PermitRequest) -> reports.PermitReply | None:
        request = httpclient.Request('POST', PATH,
                                     reports.encode_permit(message))
        result = caller.call(issuer, request, REQUEST_TIMEOUT_MS)
        reason = httpclient.find_failure(result)
        reply = None if reason else reports.decode_permit_reply(result.body)
        if reply is not None:
            return reply
        logger.info('permit_request_failed',
                    issuer=issuer,
                    server=message.server,
                    reason=reason or httpclient.INVALID_REPLY)
        return None

    return PermitTable(address, send_request)


def take(table: PermitTable,
         server: str,
         rate: float,
         entries: Iterable[ports.Peer],
         clock: clocks.Clock,
         is_replaced: bool = False) -> float:
    """Takes a permit for one request to a server.

    Args:
      table: The entry's permit table.
      server: Id of the server.
      rate: The server's limit, requests per second.
      entries: Entries that may issue permits.
      clock: Clock of this process.
      is_replaced: Whether others may choose an issuer in place of this entry.

    Returns:
      0 if the request may be sent; otherwise the delay before the next permit
      request, ms.
    """
    for rank, address in enumerate(rank_issuers(server, entries)):
        request = reports.PermitRequest(server, rate, rank > 0)
        if address == table.address:
            return issue(table, request, clock.now(), is_replaced).wait_ms
        if table.unreachable_until.get(address, 0.0) > clock.now():
            continue
        reply = table.send_request(address, request)
        if reply is not None:
            return reply.wait_ms
        with table.lock:
            table.unreachable_until[address] = clock.now() + ISSUER_RETRY_MS
    return NO_ISSUER_RETRY_MS


def rank_issuers(server: str, entries: Iterable[ports.Peer]) -> list[str]:
    """Returns the addresses of a server's permit issuers, in order of rank.

    Entries on small machines are included only if there are no other entries.
    """
    entries = list(entries)
    addresses = {peer.address for peer in entries if not peer.small}
    if not addresses:
        addresses = {peer.address for peer in entries}

    def score(address: str) -> bytes:
        return hashlib.blake2b(f'{server} {address}'.encode(),
                               digest_size=8).digest()

    return heapq.nlargest(MAX_ISSUERS, addresses, score)


def issue(table: PermitTable,
          request: reports.PermitRequest,
          now: float,
          is_replaced: bool = False) -> reports.PermitReply:
    """Issues a permit, or returns the time until the next one is available.

    Args:
      table: The issuer's permit table.
      request: The request for a permit.
      now: Current time, ms.
      is_replaced: Whether others may choose an issuer in place of this entry.
    """
    substitute = request.substitute or is_replaced
    rate = request.rate * (SUBSTITUTE_RATE_FACTOR if substitute else 1.0)
    with table.lock:
        bucket = table.buckets.setdefault((request.server, substitute),
                                          ratelimits.TokenBucket(now))
        return reports.PermitReply(ratelimits.take_token(bucket, rate, now))


def remove_servers(table: PermitTable, servers: Iterable[str]) -> None:
    """Removes the token buckets of servers that have left."""
    with table.lock:
        for server in servers:
            table.buckets.pop((server, False), None)
            table.buckets.pop((server, True), None)
