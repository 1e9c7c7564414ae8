"""Selects the server with the lowest expected response time.

Entries select servers independently. Each entry knows its own requests in
flight, the load that servers reported with their last responses, and the load
that all entries reported to the hub.

All entries get the same data from the hub, so they would all select the server
that was idle when the data was collected (herd behaviour). The hub's data is
therefore used only if processing takes longer than reporting. In the load model
(146 requests per second of 78 ms each, 8 servers, 12 entries), using it lowered
the mean value earned per request from 0.924 to 0.878; with a processing time of
240 ms it raised it from 0.897 to 0.903.

In this module, "work" is the time for which a server processes a request,
without the time for which the request waits in the server's queue.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.edge import workmeans

# A reported load is used in full up to this age. Beyond it, it decays with this
# half-life.
LOAD_FRESH_MS = 1_200.0
LOAD_HALF_LIFE_MS = 1_000.0
# Minimum processing time at which the hub's data is used. Reports arrive every
# 250 ms, so their mean age is half of that.
MIN_HUB_DATA_WORK_MS = 150.0
# Weight of the newest response in the mean processing time.
NEWEST_WEIGHT = 0.04
# Assumed processing time while no server of the service has responded.
DEFAULT_WORK_MS = 100.0
# Backoff after a failed connection attempt; doubled with each further failure.
MIN_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 2_000.0
# Requests that a server is assumed to queue in addition to those in its slots.
# Beyond a few, some servers reset the connection, and a request that isn't
# idempotent then fails with an unknown outcome.
MAX_QUEUED_REQUESTS = 6
# Processing time of a server that is warming up, relative to a warm one.
COLD_FACTOR = 2.0
# Random spread of the scores, so that entries with the same data select
# different servers.
JITTER_FRACTION = 0.2
# Added to the score of a server in another failure domain. It is higher for
# large responses because traffic between failure domains is charged by volume.
CROSS_DOMAIN_MS = 3.0
CROSS_DOMAIN_LARGE_MS = 25.0
# Factor by which a successful response reduces the failure rate, and a failure
# reduces the success rate.
_FAILURE_DECAY_FACTOR = 0.8


@dataclasses.dataclass(slots=True)
class ServerState:
    """Observations of a server by an entry.

    Attributes:
      inflight: This entry's requests in flight at the server.
      work_ms: Mean processing time of this entry's requests; 0 if unknown.
      answer_count: Number of this entry's requests in `work_ms`.
      shared_work_ms: Mean processing time of all entries' requests, from the
        hub; 0 if unknown.
      other_in_flight: Requests of other entries at the server, derived from the
        load in its last response.
      other_in_flight_at: When that was received, ms.
      reported_in_flight: Requests of other entries at the server, as these
        entries reported them to the hub.
      reported_in_flight_at: When that was received, ms.
      backoff_until: The server isn't used before this time, ms.
      connect_failures: Consecutive failed connection attempts.
      failure_rate: Exponentially weighted fraction of failed requests, 0 to 1.
      answered_at: When the server last responded, ms.
      checked_at: When a connection was last attempted to check the server after
        a lost request, ms.
      draining_at: When the first response that reported the server as draining
        was received, ms; None if there was none.
      paused_until: When the pause that the server requested ends, ms; 0 if it
        requested none.
    """

    inflight: int = 0
    work_ms: float = 0.0
    answer_count: int = 0
    shared_work_ms: float = 0.0
    other_in_flight: float = 0.0
    other_in_flight_at: float = 0.0
    reported_in_flight: float = 0.0
    reported_in_flight_at: float = 0.0
    backoff_until: float = 0.0
    connect_failures: int = 0
    failure_rate: float = 0.0
    answered_at: float = -math.inf
    checked_at: float = -math.inf
    draining_at: float | None = None
    paused_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A selected server and its expected response time.

    Attributes:
      server: The server.
      expected_ms: Expected response time.
      full: Whether the server would probably reject the request.
      work_ms: Mean processing time that `expected_ms` was computed from.
    """

    server: tables.Server
    expected_ms: float
    full: bool
    work_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceCriteria:
    """Properties of a request that affect the choice of its server.

    Attributes:
      domain: The entry's failure domain.
      large: Whether a large response is expected.
      work_ms: Mean processing time of the service.
    """

    domain: str
    large: bool
    work_ms: float


def choose_server(servers: Iterable[tables.Server],
                  states: dict[str, ServerState], criteria: ChoiceCriteria,
                  now: float, random) -> Choice | None:
    """Returns the server with the best score, or None if all are in backoff.

    The score is the expected response time, adjusted for failures, failure
    domain and a random spread.

    Args:
      servers: Servers that may run the request.
      states: Observations of the servers, by id.
      criteria: Properties of the request.
      now: Current time, ms.
      random: Returns a number from 0 to 1.
    """
    best: Choice | None = None
    best_score = math.inf
    for server in servers:
        state = states.get(server.id) or _UNSEEN
        if state.backoff_until > now:
            continue
        expected, full = estimate_response(server, state, criteria.work_ms, now)
        score = expected / (1.0 - 0.9 * state.failure_rate)
        if server.domain != criteria.domain:
            score += (CROSS_DOMAIN_LARGE_MS
                      if criteria.large else CROSS_DOMAIN_MS)
        score *= 1.0 + JITTER_FRACTION * random()
        if full:
            score += 10_000.0
        if score < best_score:
            mean = estimate_server_work(state, criteria.work_ms)
            best, best_score = Choice(server, expected, full, mean), score
    return best


def estimate_response(server: tables.Server,
                      state: ServerState,
                      work_ms: float,
                      now: float,
                      alone: bool = False) -> tuple[float, bool]:
    """Returns a server's expected response time, ms, and whether it is full.

    Args:
      server: The server.
      state: Observations of the server.
      work_ms: Mean processing time of the service.
      now: Current time, ms.
      alone: Whether no other server can run the request. The hub's data is then
        used in any case, since it can't cause herd behaviour.
    """
    mean = estimate_server_work(state, work_ms)
    if server.warmup_ends_at > now:
        mean = max(mean, work_ms * COLD_FACTOR)
    ahead = state.inflight + _count_others(state, mean, alone, now)
    queue_rounds = max(0.0, ahead + 1.0 - server.slots) / server.slots
    return mean * (1.0 +
                   queue_rounds), ahead >= server.slots + MAX_QUEUED_REQUESTS


def estimate_server_work(state: ServerState, work_ms: float) -> float:
    """Returns the estimated mean processing time of a server, ms.

    Args:
      state: Observations of the server.
      work_ms: Mean processing time of the service; 0 if unknown.
    """
    if state.shared_work_ms:
        return state.shared_work_ms
    if not work_ms:
        return state.work_ms or DEFAULT_WORK_MS
    return workmeans.blend_means(state.work_ms, state.answer_count,
                                 NEWEST_WEIGHT, work_ms)


def _count_others(state: ServerState, work_ms: float, alone: bool,
                  now: float) -> float:
    """Returns the estimated number of other entries' requests at a server."""
    others, others_at = state.other_in_flight, state.other_in_flight_at
    uses_hub = alone or work_ms >= MIN_HUB_DATA_WORK_MS
    if uses_hub and state.reported_in_flight_at > others_at:
        others, others_at = (state.reported_in_flight,
                             state.reported_in_flight_at)
    stale_ms = max(0.0, now - others_at - LOAD_FRESH_MS)
    return others * 0.5**(stale_ms / LOAD_HALF_LIFE_MS)


def record_sent(state: ServerState) -> None:
    """Records that a request is sent to a server."""
    state.inflight += 1


def record_answer(state: ServerState, took_ms: float,
                  load: ports.ServerLoad | None, now: float) -> None:
    """Records a response and the end of its request.

    Args:
      state: Observations of the server.
      took_ms: Time from sending the request to the complete response.
      load: Load that the server reported with the response, if any.
      now: Current time, ms.
    """
    state.inflight -= 1
    state.connect_failures = 0
    state.backoff_until = 0.0
    state.failure_rate *= _FAILURE_DECAY_FACTOR
    work_ms = estimate_work(took_ms, load)
    if load is not None:
        state.other_in_flight = max(
            0.0, load.running + load.waiting - state.inflight)
        state.other_in_flight_at = now
    record_work(state, work_ms)


def record_work(state: ServerState, work_ms: float) -> None:
    """Adds the processing time of a request, ms, to the server's mean."""
    state.answer_count += 1
    state.work_ms = workmeans.update_mean(state.work_ms, state.answer_count,
                                          NEWEST_WEIGHT, work_ms)


def estimate_work(took_ms: float, load: ports.ServerLoad | None) -> float:
    """Returns the estimated processing time of a request, ms.

    The number of requests that are queued now is used as an estimate of those
    that were queued ahead of this one.

    Args:
      took_ms: Time from sending the request to the complete response.
      load: Load that the server reported with the response, if any.
    """
    if load is None:
        return took_ms
    return took_ms / (1.0 + load.waiting / load.slots)


def estimate_min_work(took_ms: float, choice: Choice) -> float:
    """Returns a lower bound of the processing time of a timed-out request, ms.

    The time in the queue and in processing is assumed to have grown in
    proportion. Without this estimate, a server that has become too slow to
    respond before any timeout keeps its earlier mean: when five of
    30 servers were slow, 10% to 20% of the requests timed out for 9 s.

    Args:
      took_ms: Time from sending the request to its timeout.
      choice: The server that it was sent to, with the expected response time.

    Returns:
      0 if the request took no longer than expected: the timeout then doesn't
      show that the server is slow.
    """
    if not choice.work_ms or took_ms <= choice.expected_ms:
        return 0.0
    return took_ms * choice.work_ms / choice.expected_ms


def record_failure(state: ServerState, now: float, full: bool) -> None:
    """Records a request that was rejected or lost.

    Args:
      state: Observations of the server.
      now: Current time, ms.
      full: Whether the server rejected it because its queue was full.
    """
    state.inflight -= 1
    state.failure_rate = 1.0 - (1.0 -
                                state.failure_rate) * _FAILURE_DECAY_FACTOR
    if full:
        state.other_in_flight = max(state.other_in_flight, 6.0 - state.inflight)
        state.other_in_flight_at = now


def record_draining(state: ServerState, now: float) -> bool:
    """Records that a server is draining; returns whether this is new."""
    if state.draining_at is not None:
        return False
    state.draining_at = now
    return True


def record_pause(state: ServerState, pause_ms: float, now: float) -> bool:
    """Records a pause requested by a server, or extends the current one.

    Returns:
      Whether a new pause started.
    """
    started = state.paused_until <= now
    state.paused_until = max(state.paused_until, now + pause_ms)
    return started


def record_connect_failure(state: ServerState, now: float) -> None:
    """Records a failed connection attempt and extends the server's backoff."""
    state.inflight -= 1
    state.connect_failures += 1
    backoff_ms = min(MAX_BACKOFF_MS,
                     MIN_BACKOFF_MS * 2.0**(state.connect_failures - 1))
    state.backoff_until = now + backoff_ms


def record_abandoned(state: ServerState) -> None:
    """Records the end of a request without a result.

    It may have been withheld, or the caller may have closed its connection; the
    server's mean processing time and failure rate stay the same.
    """
    state.inflight -= 1


def average_work(servers: Iterable[tables.Server],
                 states: dict[str, ServerState]) -> float:
    """Returns the mean processing time of servers, ms; 0 if none is known."""
    total = weights = 0.0
    for server in servers:
        state = states.get(server.id, _UNSEEN)
        weight = 1 / NEWEST_WEIGHT
        if not state.shared_work_ms:
            weight = min(state.answer_count, weight)
        total += weight * (state.shared_work_ms or state.work_ms)
        weights += weight
    return total / weights if weights else 0.0


_UNSEEN = ServerState()
