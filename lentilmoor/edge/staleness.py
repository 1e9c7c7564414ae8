"""How old an entry's copy of the store may be when the entry decides by it.

The operator bounds the time from the store's acknowledgement of a change to
its effect. So a decision that this concerns takes a copy that is known to have
been complete a short while ago; a slow, hung or silent hop on the way from the
store costs availability, not the promise. Limits of that way are parts of the
bound.

While the store is away from everybody it acknowledges nothing, and refusing
would help nobody: an entry that can't reach it goes on by an old copy if enough
others say that they can't either.
"""

import collections
from collections.abc import Collection
import dataclasses
import math
import threading

from lentilmoor import clocks
from lentilmoor import exceptions

# Parts of the bound.
# Left for a request's way to the server after the last check.
DELIVERY = 0.25
# Left when the last request is sent to a leaving server that alone may run it.
LEAVE = 0.5
# Age from which an entry asks any others for a newer copy, and relays look at
# the store; what usually passes on the way from the store stays below it.
SEEK = 0.5
# Age from which some of those that relays tell look at the store as well.
LOOK = 0.65
# A question waits so long for a change, and its reply may take so much more.
HOLD = 0.1
ASK = 0.2
# Pause between two questions to any others.
SEEK_PAUSE = 0.05
# A watch waits so long for a change, and its answer may take so much more.
WATCH = 0.2
READ = 0.25
# Pauses between two watches of who follows for others, and of all others.
LEAD_PAUSE = 0.175
FOLLOW_PAUSE = 0.4
# A call that isn't answered for so long shows that the store can't be reached.
UNANSWERED = 0.125
# A reply of another entry counts for so long.
MEMORY = 2.0
# An entry that heard from nobody for so long begins to follow anew.
SILENT = 1.5
# Age of a copy of the configuration by which a request may be routed.
ROUTE = 0.95

MOST_LEAD_PAUSE_MS = 350.0
MOST_FOLLOW_PAUSE_MS = 850.0
# Polls and round trips don't shrink with the bound.
LEAST_BOUND_MS = 500.0
# Others that can't reach the store, at most, before it counts as away.
ENOUGH_REPLIES = 8
# Pauses between questions are so much longer while the copy stays old.
SLOW_SEEK = 2.0
ASSUMED_BOUND_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times on the way from the store to a decision, ms.

    Attributes:
      send_ms: Oldest copy by which a request is sent to a server.
      route_ms: Oldest configuration by which a request is routed.
      deny_ms: Oldest configuration by which a route is said not to exist.
      leave_ms: Left of the bound when a leaving server gets its last request.
      seek_ms: Age from which any others are asked.
      seek_pause_ms: Between two such questions.
      look_ms: Age from which some that relays tell look at the store.
      hold_ms: How long a question waits for a change.
      ask_ms: What its reply may take beyond that.
      watch_ms: How long a watch waits for a change.
      read_ms: What its answer may take beyond that.
      lead_pause_ms: Between two watches of who follows for others.
      follow_pause_ms: Between two watches of an entry that is told nothing.
      silent_ms: Silence after which an entry begins to follow anew.
      memory_ms: How long a reply of another entry counts.
      unanswered_ms: A call of the store that isn't answered for so long shows
        that it can't be reached.
    """

    send_ms: float
    route_ms: float
    deny_ms: float
    leave_ms: float
    seek_ms: float
    seek_pause_ms: float
    look_ms: float
    hold_ms: float
    ask_ms: float
    watch_ms: float
    read_ms: float
    lead_pause_ms: float
    follow_pause_ms: float
    silent_ms: float
    memory_ms: float
    unanswered_ms: float


def make_limits(drain_ms: float = ASSUMED_BOUND_MS,
                config_apply_ms: float = math.inf) -> Limits:
    """Derives the limits from the operator's bounds.

    Args:
      drain_ms: A draining server takes no request later than this.
      config_apply_ms: A configuration is in force by then; inf: no bound.

    Raises:
      SettingsError: A bound is too short to be kept.
    """
    bound = min(drain_ms, config_apply_ms)
    if bound < LEAST_BOUND_MS:
        raise exceptions.SettingsError([
            f'bounds: {bound:g} ms, expected at least {LEAST_BOUND_MS:g} ms '
            'for draining and for applying a configuration'
        ])
    return Limits(send_ms=drain_ms - DELIVERY * bound,
                  route_ms=ROUTE * config_apply_ms,
                  deny_ms=SEEK * bound,
                  leave_ms=LEAVE * bound,
                  seek_ms=SEEK * bound,
                  seek_pause_ms=SEEK_PAUSE * bound,
                  look_ms=LOOK * bound,
                  hold_ms=HOLD * bound,
                  ask_ms=ASK * bound,
                  watch_ms=WATCH * bound,
                  read_ms=READ * bound,
                  lead_pause_ms=min(MOST_LEAD_PAUSE_MS, LEAD_PAUSE * bound),
                  follow_pause_ms=min(MOST_FOLLOW_PAUSE_MS,
                                      FOLLOW_PAUSE * bound),
                  silent_ms=SILENT * bound,
                  memory_ms=MEMORY * bound,
                  unanswered_ms=UNANSWERED * bound)


@dataclasses.dataclass(frozen=True, slots=True)
class Times:
    """Up to when a copy of the store is complete, ms.

    Attributes:
      servers_at: All but the configuration.
      configuration_at: The configuration.
    """

    servers_at: float = -math.inf
    configuration_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Freshness:
    """Up to when an entry's copy of the store is complete.

    Attributes:
      known: Of the copy that the entry has, and tells others of.
      handed: Changes that requests don't see yet: their numbers, and the
        times of the copy before each.
      last: Number of the last change.
      replies: When others last said that they can't reach the store, ms, by
        address.
      recent_at: Up to when the most recent copy of another is complete, ms.
      away_at: When the store last seemed to be away from everybody, ms.
      changed: Notified when a time has advanced.
    """

    known: Times = Times()
    handed: collections.deque[tuple[int, Times]] = dataclasses.field(
        default_factory=collections.deque)
    last: int = 0
    replies: dict[str, float] = dataclasses.field(default_factory=dict)
    recent_at: float = -math.inf
    away_at: float = -math.inf
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)


def note_known(freshness: Freshness,
               servers_at: float = -math.inf,
               configuration_at: float = -math.inf) -> None:
    """Takes in up to when the copy is complete.

    Changes up to then must have been handed over before.
    """
    with freshness.changed:
        known = freshness.known
        freshness.known = Times(max(known.servers_at, servers_at),
                                max(known.configuration_at, configuration_at))
        freshness.changed.notify_all()


def hand_over(freshness: Freshness) -> int:
    """Notes a change that requests don't see yet; returns its number."""
    with freshness.changed:
        freshness.last += 1
        freshness.handed.append((freshness.last, freshness.known))
        return freshness.last


def note_applied(freshness: Freshness, number: int) -> None:
    """Notes that requests see all changes up to a number."""
    with freshness.changed:
        while freshness.handed and freshness.handed[0][0] <= number:
            freshness.handed.popleft()
        freshness.changed.notify_all()


def find_applied(freshness: Freshness) -> Times:
    """Returns up to when what requests see is complete."""
    with freshness.changed:
        return freshness.handed[0][1] if freshness.handed else freshness.known


def note_unreached(freshness: Freshness, address: str, now: float) -> None:
    """Notes that another entry said that it can't reach the store."""
    with freshness.changed:
        freshness.replies[address] = now


def note_copy(freshness: Freshness, known_at: float) -> None:
    """Notes up to when the copy of another entry is complete, ms."""
    with freshness.changed:
        freshness.recent_at = max(freshness.recent_at, known_at)


def is_store_away(freshness: Freshness, others: Collection[str],
                  unanswered_ms: float, now: float, limits: Limits) -> bool:
    """Returns whether the store seems to be away from everybody.

    Args:
      freshness: Holds the replies.
      others: Addresses of the other entries.
      unanswered_ms: For how long it has answered this entry nothing.
      now: ms.
      limits: The limits.
    """
    needed = min(ENOUGH_REPLIES, math.ceil(len(others) / 2))
    with freshness.changed:
        answered_at = max(freshness.recent_at, freshness.known.servers_at)
        if (unanswered_ms < limits.unanswered_ms or
                now - answered_at < limits.seek_ms):
            return False
        since = max(answered_at, now - limits.memory_ms)
        return needed <= sum(at > since
                             for address, at in freshness.replies.items()
                             if address in others)


def await_change(freshness: Freshness, wait_ms: float) -> None:
    """Waits until a time has advanced, or a time is over."""
    with freshness.changed:
        freshness.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)
