"""Rate limits that backend servers set in their answers.

A server can state in each answer how many requests per second it accepts from
all entries combined. An answer without a limit clears the previous one.
"""

import dataclasses
import threading

from lentilmoor import clocks

# Minimum interval between log lines about requests to limited servers.
LOG_INTERVAL_MS = 1_000.0
# Maximum number of servers listed in one log line.
MAX_LOGGED_SERVERS = 20
# Capacity of a token bucket, as time at the full rate; at least one token.
BURST_MS = 500.0
# Minimum rate of a token bucket, per second. With a rate of zero, no request
# would be sent, and no answer could clear the limit.
MIN_RATE_PER_S = 0.1
# The end of a limit is reported to other entries for this time.
ENDED_RETENTION_MS = 10_000.0


@dataclasses.dataclass(slots=True)
class RateLimit:
    """The rate limit of one server.

    Attributes:
      rate: Requests per second from all entries combined.
      received_at: When the first answer with a limit was received, ms.
      confirmed_at: When the newest answer with a limit was received, ms.
      blocked_until: When the next permit may be requested, ms.
      sent: Requests sent to the server since they were last logged.
      retries: How many of those had already been sent to a server.
    """

    rate: float
    received_at: float
    confirmed_at: float
    blocked_until: float = 0.0
    sent: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class RateLimits:
    """Rate limits of all servers, shared between threads.

    Attributes:
      by_server: Limits in force, by server id.
      ended_at: When the answer that ended a limit was received, ms, by server
        id.
      logged_at: When requests to limited servers were last logged, ms.
      lock: Guards the other attributes.
    """

    by_server: dict[str, RateLimit] = dataclasses.field(default_factory=dict)
    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)
    logged_at: float = 0.0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket.

    Attributes:
      updated_at: When `tokens` was last updated, ms.
      tokens: Number of available tokens.
    """

    updated_at: float
    tokens: float = 1.0


def take_token(bucket: TokenBucket, rate: float, now: float) -> float:
    """Takes a token; returns 0, or the time until one is available, ms.

    Args:
      bucket: The bucket.
      rate: Tokens per second.
      now: ms.
    """
    tokens_per_ms = max(MIN_RATE_PER_S, rate) / clocks.MS_PER_S
    capacity = max(1.0, tokens_per_ms * BURST_MS)
    added = tokens_per_ms * max(0.0, now - bucket.updated_at)
    bucket.tokens = min(capacity, bucket.tokens + added)
    bucket.updated_at = now
    if bucket.tokens < 1.0:
        return (1.0 - bucket.tokens) / tokens_per_ms
    bucket.tokens -= 1.0
    return 0.0


def find_wait(table: RateLimits, server: str, now: float) -> float:
    """Returns the time until a permit may be requested for a server, ms."""
    limit = table.by_server.get(server)
    return 0.0 if limit is None else max(0.0, limit.blocked_until - now)


def note_denied(table: RateLimits, server: str, wait_ms: float,
                now: float) -> None:
    """Records that a permit was denied and when to request the next one."""
    with table.lock:
        limit = table.by_server.get(server)
        if limit is not None:
            limit.blocked_until = now + wait_ms


def note_answer(table: RateLimits, server: str, rate: float | None, now: float,
                logger) -> None:
    """Updates a server's limit from its answer.

    Args:
      table: The entry's limits.
      server: Id of the server that answered.
      rate: Its limit, requests per second; None if the answer sets no limit.
      now: ms.
      logger: Receives a log line when a limit starts or ends.
    """
    if rate is None and server not in table.by_server:
        return
    with table.lock:
        _set_rate(table, server, rate, now, logger)


def note_reported_limit(table: RateLimits, server: str, rate: float | None,
                        received_at: float, logger) -> None:
    """Updates a server's limit from an answer that another entry received.

    Ignored unless the answer is newer than the last known one.

    Args:
      table: The entry's limits.
      server: Id of the server.
      rate: Its limit, requests per second; None if the limit has ended.
      received_at: When the answer was received, ms.
      logger: Receives a log line when a limit starts or ends.
    """
    with table.lock:
        previous = table.by_server.get(server)
        previous_at = table.ended_at.get(server, float('-inf'))
        if previous is not None:
            previous_at = previous.confirmed_at
        if received_at > previous_at:
            _set_rate(table, server, rate, received_at, logger)


def _set_rate(table: RateLimits, server: str, rate: float | None,
              received_at: float, logger) -> None:
    """Sets or ends a server's limit. The caller must hold the lock."""
    previous = table.by_server.get(server)
    if rate is None:
        table.ended_at[server] = received_at
        if table.by_server.pop(server, None) is not None:
            logger.info('server_rate_limit_ended',
                        server=server,
                        rate=previous.rate,
                        lasted_ms=round(received_at - previous.received_at))
    elif previous is None:
        table.ended_at.pop(server, None)
        if not table.by_server:
            table.logged_at = received_at
        table.by_server[server] = RateLimit(rate, received_at, received_at)
        logger.info('server_rate_limit_started', server=server, rate=rate)
    else:
        previous.rate, previous.confirmed_at = rate, received_at


def list_limits(table: RateLimits,
                now: float) -> dict[str, tuple[float | None, float]]:
    """Returns limits in force and those that ended recently, with their ages.

    Returns:
      By server id: requests per second, None if the limit has ended, and how
      long ago the server's answer was received, ms.
    """
    with table.lock:
        for server, ended_at in list(table.ended_at.items()):
            if now - ended_at > ENDED_RETENTION_MS:
                del table.ended_at[server]
        limits: dict[str, tuple[float | None, float]] = {
            server: (None, now - ended_at)
            for server, ended_at in table.ended_at.items()
        }
        for server, limit in table.by_server.items():
            limits[server] = (limit.rate, now - limit.confirmed_at)
        return limits


def list_rates(table: RateLimits) -> dict[str, float]:
    """Returns the limits in force, requests per second by server id."""
    with table.lock:
        return {server: limit.rate for server, limit in table.by_server.items()}


def note_sent(table: RateLimits, server: str, is_retry: bool, now: float,
              logger) -> None:
    """Counts a request that is about to be sent.

    Args:
      table: The entry's limits.
      server: Id of the destination server.
      is_retry: Whether the request was already sent to a server.
      now: ms.
      logger: Receives the counts of requests to limited servers.
    """
    if not table.by_server:
        return
    with table.lock:
        limit = table.by_server.get(server)
        if limit is None:
            return
        limit.sent += 1
        limit.retries += is_retry
        if now - table.logged_at < LOG_INTERVAL_MS:
            return
        span_ms = now - table.logged_at
        table.logged_at = now
        counts = _collect_counts(table)
    logger.info('requests_to_limited_servers',
                span_ms=round(span_ms),
                servers=len(counts),
                counts=counts[:MAX_LOGGED_SERVERS])


def _collect_counts(table: RateLimits) -> list[tuple[str, float, int, int]]:
    """Returns (id, rate, sent, retries) per limited server and resets counts.

    The caller must hold the lock.
    """
    counts = []
    for server, limit in table.by_server.items():
        if limit.sent:
            counts.append((server, limit.rate, limit.sent, limit.retries))
            limit.sent = limit.retries = 0
    return counts


def remove_servers(table: RateLimits, servers: list[str]) -> None:
    """Removes the limits of servers that have left."""
    with table.lock:
        for server in servers:
            table.by_server.pop(server, None)
            table.ended_at.pop(server, None)
