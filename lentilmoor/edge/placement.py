"""Which server of a service runs a request that any of them may run.

Entries choose without asking each other. Each knows its own requests under
way, what servers told with their last answers, and what all entries reported
to the hub. The choice is the least expected time to an answer.

What all entries know alike misleads them alike: they would all run to the
server that looked free a moment ago. So the hub's view counts only where
requests run longer than it takes to be told. In the load model (146 requests
a second of 78 ms, 8 servers, 12 entries) its use lowered the worth earned from
0.924 to 0.878; with 240 ms of work it raised it from 0.897 to 0.903.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilmoor.edge import ports
from lentilmoor.edge import tables
from lentilmoor.edge import workmeans

# What is older than this fades, to half in so much time.
REPORT_FRESH_MS = 1_200.0
REPORT_HALF_LIFE_MS = 1_000.0
# The hub's view counts for servers whose requests take so long: reports come
# every 250 ms and are half as old on the mean.
MIN_SHARED_VIEW_WORK_MS = 150.0
# Weight of the newest answer in the mean time of work.
NEWEST_WEIGHT = 0.04
# Mean time of work of a server that has not answered yet, unless others of
# its service have, ms.
DEFAULT_WORK_MS = 100.0
# A server that could not be connected to is left alone for this long at
# first, twice as long each time after.
MIN_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 2_000.0
# Requests that servers take beyond their slots: a few; some reset the
# connection beyond that, and what may be run only once is lost then.
MAX_QUEUED_REQUESTS = 6
# A cold server takes this many times as long.
COLD_FACTOR = 2.0
# Spread of the choice, so that entries with the same view differ.
JITTER_FRACTION = 0.2
# What the way to another failure domain counts for, ms; more for large
# answers, whose bytes between failure domains are paid for.
CROSS_DOMAIN_MS = 3.0
CROSS_DOMAIN_LARGE_MS = 25.0
# Part of a failure that is forgotten with each good answer.
_FAILURE_DECAY_FACTOR = 0.8


@dataclasses.dataclass(slots=True)
class ServerState:
    """What an entry has seen of a server.

    Attributes:
      inflight: Own requests under way there.
      work_ms: Mean time of work of own requests; 0 if unknown.
      answers: Own requests that it answered.
      shared_ms: Mean time of work of all entries' requests, as the hub told;
        0 if it didn't.
      others: Requests of other entries there, when it last told.
      told_at: When that was, ms.
      reported: Requests of other entries there, as they reported.
      reported_at: When that was, ms.
      avoid_until: Not to be used before, ms.
      refusals: Connections in a row that failed.
      failing: Part of the last requests that failed, 0 to 1.
      answered_at: When it last answered, ms.
      checked_at: When it was last asked for a connection after a loss, ms.
      draining_at: When the first answer that reported it as draining was
        received, ms; None if there was none.
      paused_until: When the pause that it requested ends, ms; 0 if none.
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
    """A server and when it is expected to answer.

    Attributes:
      server: The server.
      expected_ms: Time until its answer.
      full: Whether it would probably turn the request away.
      work_ms: Mean time of work that this was worked out from.
    """

    server: tables.Server
    expected_ms: float
    full: bool
    work_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceCriteria:
    """What a request asks of a choice.

    Attributes:
      domain: The entry's failure domain.
      large: Whether a large answer is expected.
      work_ms: Mean time of work of the service.
    """

    domain: str
    large: bool
    work_ms: float


def choose_server(servers: Iterable[tables.Server], states: dict[str,
                                                                 ServerState],
                  wish: ChoiceCriteria, now: float, random) -> Choice | None:
    """Returns the server with the least expected time, or None if none is up.

    Args:
      servers: Those that may run the request.
      states: What was seen of them, by id.
      wish: What the request asks for.
      now: ms.
      random: Returns a number from 0 to 1.
    """
    best: Choice | None = None
    best_score = math.inf
    for server in servers:
        state = states.get(server.id) or _UNSEEN
        if state.backoff_until > now:
            continue
        expected, full = estimate_response(server, state, wish.work_ms, now)
        score = expected / (1.0 - 0.9 * state.failure_rate)
        if server.domain != wish.domain:
            score += CROSS_DOMAIN_LARGE_MS if wish.large else CROSS_DOMAIN_MS
        score *= 1.0 + JITTER_FRACTION * random()
        if full:
            score += 10_000.0
        if score < best_score:
            mean = estimate_server_work(state, wish.work_ms)
            best, best_score = Choice(server, expected, full, mean), score
    return best


def estimate_response(server: tables.Server,
                      state: ServerState,
                      work_ms: float,
                      now: float,
                      alone: bool = False) -> tuple[float, bool]:
    """Returns the expected time to an answer, ms, and whether it is full.

    Args:
      server: The server.
      state: What was seen of it.
      work_ms: Mean time of work of its service.
      now: ms.
      alone: Whether no other server can run the request, so that entries
        can't all choose the same.
    """
    mean = estimate_server_work(state, work_ms)
    if server.warmup_ends_at > now:
        mean = max(mean, work_ms * COLD_FACTOR)
    ahead = state.inflight + _count_others(state, mean, alone, now)
    waits = max(0.0, ahead + 1.0 - server.slots) / server.slots
    return mean * (1.0 + waits), ahead >= server.slots + MAX_QUEUED_REQUESTS


def estimate_server_work(state: ServerState, work_ms: float) -> float:
    """Returns the mean time of work that a server is taken to have, ms.

    Args:
      state: What was seen of it.
      work_ms: Mean time of work of its service; 0 if unknown.
    """
    if state.shared_work_ms:
        return state.shared_work_ms
    if not work_ms:
        return state.work_ms or DEFAULT_WORK_MS
    return workmeans.blend_means(state.work_ms, state.answer_count,
                                 NEWEST_WEIGHT, work_ms)


def _count_others(state: ServerState, work_ms: float, alone: bool,
                  now: float) -> float:
    """Returns about how many requests of other entries are at a server."""
    others, told_at = state.other_in_flight, state.other_in_flight_at
    shared = alone or work_ms >= MIN_SHARED_VIEW_WORK_MS
    if shared and state.reported_in_flight_at > told_at:
        others, told_at = state.reported_in_flight, state.reported_in_flight_at
    stale_ms = max(0.0, now - told_at - REPORT_FRESH_MS)
    return others * 0.5**(stale_ms / REPORT_HALF_LIFE_MS)


def record_sent(state: ServerState) -> None:
    """Counts a request in."""
    state.inflight += 1


def record_answer(state: ServerState, took_ms: float,
                  load: ports.ServerLoad | None, now: float) -> None:
    """Takes in an answer; the request is counted out.

    Args:
      state: The server's.
      took_ms: From sending to the whole answer.
      load: What the server told, if it did.
      now: ms.
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
    """Takes in how long a server worked on a request, ms."""
    state.answer_count += 1
    state.work_ms = workmeans.update_mean(state.work_ms, state.answer_count,
                                          NEWEST_WEIGHT, work_ms)


def estimate_work(took_ms: float, load: ports.ServerLoad | None) -> float:
    """Returns about how long a server worked on a request, ms.

    As many requests as wait now waited before this one, on the mean.

    Args:
      took_ms: From sending to the whole answer.
      load: What the server told with the answer, if it did.
    """
    if load is None:
        return took_ms
    return took_ms / (1.0 + load.waiting / load.slots)


def estimate_min_work(took_ms: float, choice: Choice) -> float:
    """Returns how long a server has worked at least, ms, on what timed out.

    It waited as long for each of those before it. Without this a server that
    turned so slow that it answered nothing in time kept the speed that it once
    had: 10% to 20% of requests timed out at five slow servers of 30 for 9 s.

    Args:
      took_ms: From sending until it was given up.
      choice: Where it was sent, and what was expected.

    Returns:
      0 if it took no longer than was expected, which tells nothing.
    """
    if not choice.work_ms or took_ms <= choice.expected_ms:
        return 0.0
    return took_ms * choice.work_ms / choice.expected_ms


def record_failure(state: ServerState, now: float, full: bool) -> None:
    """Takes in a request that was turned away or lost.

    Args:
      state: The server's.
      now: ms.
      full: Whether the server said it had no room.
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
    """Takes in that no connection could be made."""
    state.inflight -= 1
    state.connect_failures += 1
    pause_ms = min(MAX_BACKOFF_MS,
                   MIN_BACKOFF_MS * 2.0**(state.connect_failures - 1))
    state.backoff_until = now + pause_ms


def record_abandoned(state: ServerState) -> None:
    """Counts out a request that was given up, which tells nothing."""
    state.inflight -= 1


def average_work(servers: Iterable[tables.Server],
                 states: dict[str, ServerState]) -> float:
    """Returns the mean time of work of servers, ms; 0 if none is known."""
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
