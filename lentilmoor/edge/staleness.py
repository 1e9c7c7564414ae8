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
DELIVERY_MARGIN_FRACTION = 0.25
# Left when the last request is sent to a leaving server that alone may run it.
LAST_REQUEST_MARGIN_FRACTION = 0.5
# Age from which an entry asks any others for a newer copy, and relays look at
# the store; what usually passes on the way from the store stays below it.
REFRESH_AGE_FRACTION = 0.5
# Age from which some of those that relays tell look at the store as well.
STORE_CHECK_AGE_FRACTION = 0.65
# A question waits so long for a change, and its reply may take so much more.
POLL_WAIT_FRACTION = 0.1
POLL_REPLY_FRACTION = 0.2
# Pause between two questions to any others.
REFRESH_PAUSE_FRACTION = 0.05
# A watch waits so long for a change, and its answer may take so much more.
WATCH_WAIT_FRACTION = 0.2
WATCH_REPLY_FRACTION = 0.25
# Pauses between two watches of who follows for others, and of all others.
HUB_WATCH_PAUSE_FRACTION = 0.175
WATCH_PAUSE_FRACTION = 0.4
# A call that isn't answered for so long shows that the store can't be reached.
UNREACHABLE_AFTER_FRACTION = 0.125
# A reply of another entry counts for so long.
REPLY_VALIDITY_FACTOR = 2.0
# An entry that heard from nobody for so long begins to follow anew.
SILENCE_TIMEOUT_FACTOR = 1.5
# Age of a copy of the configuration by which a request may be routed.
MAX_ROUTE_AGE_FRACTION = 0.95

MAX_HUB_WATCH_PAUSE_MS = 350.0
MAX_WATCH_PAUSE_MS = 850.0
# Polls and round trips don't shrink with the bound.
MIN_BOUND_MS = 500.0
# Others that can't reach the store, at most, before it counts as away.
MAX_REQUIRED_REPORTS = 8
# Pauses between questions are so much longer while the copy stays old.
SLOW_REFRESH_FACTOR = 2.0
DEFAULT_BOUND_MS = 2_000.0


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

    max_send_age_ms: float
    max_route_age_ms: float
    max_deny_age_ms: float
    last_request_margin_ms: float
    refresh_age_ms: float
    refresh_pause_ms: float
    store_check_age_ms: float
    poll_wait_ms: float
    poll_reply_ms: float
    watch_wait_ms: float
    watch_reply_ms: float
    hub_watch_pause_ms: float
    watch_pause_ms: float
    silence_timeout_ms: float
    reply_validity_ms: float
    unreachable_after_ms: float


def make_limits(drain_ms: float = DEFAULT_BOUND_MS,
                config_apply_ms: float = math.inf) -> Limits:
    """Derives the limits from the operator's bounds.

    Args:
      drain_ms: A draining server takes no request later than this.
      config_apply_ms: A configuration is in force by then; inf: no bound.

    Raises:
      SettingsError: A bound is too short to be kept.
    """
    bound = min(drain_ms, config_apply_ms)
    if bound < MIN_BOUND_MS:
        raise exceptions.SettingsError([
            f'bounds: {bound:g} ms, expected at least {MIN_BOUND_MS:g} ms '
            'for draining and for applying a configuration'
        ])
    return Limits(max_send_age_ms=drain_ms - DELIVERY_MARGIN_FRACTION * bound,
                  max_route_age_ms=MAX_ROUTE_AGE_FRACTION * config_apply_ms,
                  max_deny_age_ms=REFRESH_AGE_FRACTION * bound,
                  last_request_margin_ms=LAST_REQUEST_MARGIN_FRACTION * bound,
                  refresh_age_ms=REFRESH_AGE_FRACTION * bound,
                  refresh_pause_ms=REFRESH_PAUSE_FRACTION * bound,
                  store_check_age_ms=STORE_CHECK_AGE_FRACTION * bound,
                  poll_wait_ms=POLL_WAIT_FRACTION * bound,
                  poll_reply_ms=POLL_REPLY_FRACTION * bound,
                  watch_wait_ms=WATCH_WAIT_FRACTION * bound,
                  watch_reply_ms=WATCH_REPLY_FRACTION * bound,
                  hub_watch_pause_ms=min(MAX_HUB_WATCH_PAUSE_MS,
                                         HUB_WATCH_PAUSE_FRACTION * bound),
                  watch_pause_ms=min(MAX_WATCH_PAUSE_MS,
                                     WATCH_PAUSE_FRACTION * bound),
                  silence_timeout_ms=SILENCE_TIMEOUT_FACTOR * bound,
                  reply_validity_ms=REPLY_VALIDITY_FACTOR * bound,
                  unreachable_after_ms=UNREACHABLE_AFTER_FRACTION * bound)


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

    known_times: Times = Times()
    pending_changes: collections.deque[tuple[int, Times]] = dataclasses.field(
        default_factory=collections.deque)
    last_change_number: int = 0
    unreachable_reports: dict[str,
                              float] = dataclasses.field(default_factory=dict)
    newest_peer_copy_at: float = -math.inf
    store_unavailable_at: float = -math.inf
    changed: threading.Condition = dataclasses.field(
        default_factory=threading.Condition)


def record_known_times(freshness: Freshness,
                       servers_at: float = -math.inf,
                       configuration_at: float = -math.inf) -> None:
    """Takes in up to when the copy is complete.

    Changes up to then must have been handed over before.
    """
    with freshness.changed:
        known = freshness.known_times
        freshness.known_times = Times(
            max(known.servers_at, servers_at),
            max(known.configuration_at, configuration_at))
        freshness.changed.notify_all()


def add_pending_change(freshness: Freshness) -> int:
    """Notes a change that requests don't see yet; returns its number."""
    with freshness.changed:
        freshness.last_change_number += 1
        freshness.pending_changes.append(
            (freshness.last_change_number, freshness.known_times))
        return freshness.last_change_number


def mark_applied(freshness: Freshness, number: int) -> None:
    """Notes that requests see all changes up to a number."""
    with freshness.changed:
        while freshness.pending_changes and freshness.pending_changes[0][
                0] <= number:
            freshness.pending_changes.popleft()
        freshness.changed.notify_all()


def find_applied_times(freshness: Freshness) -> Times:
    """Returns up to when what requests see is complete."""
    with freshness.changed:
        return freshness.pending_changes[0][
            1] if freshness.pending_changes else freshness.known_times


def record_unreachable_report(freshness: Freshness, address: str,
                              now: float) -> None:
    """Notes that another entry said that it can't reach the store."""
    with freshness.changed:
        freshness.unreachable_reports[address] = now


def record_peer_copy(freshness: Freshness, known_at: float) -> None:
    """Notes up to when the copy of another entry is complete, ms."""
    with freshness.changed:
        freshness.newest_peer_copy_at = max(freshness.newest_peer_copy_at,
                                            known_at)


def is_store_unavailable(freshness: Freshness, others: Collection[str],
                         unanswered_ms: float, now: float,
                         limits: Limits) -> bool:
    """Returns whether the store seems to be away from everybody.

    Args:
      freshness: Holds the replies.
      others: Addresses of the other entries.
      unanswered_ms: For how long it has answered this entry nothing.
      now: ms.
      limits: The limits.
    """
    needed = min(MAX_REQUIRED_REPORTS, math.ceil(len(others) / 2))
    with freshness.changed:
        answered_at = max(freshness.newest_peer_copy_at,
                          freshness.known_times.servers_at)
        if (unanswered_ms < limits.unreachable_after_ms or
                now - answered_at < limits.refresh_age_ms):
            return False
        since = max(answered_at, now - limits.reply_validity_ms)
        return needed <= sum(
            at > since
            for address, at in freshness.unreachable_reports.items()
            if address in others)


def wait_for_change(freshness: Freshness, wait_ms: float) -> None:
    """Waits until a time has advanced, or a time is over."""
    with freshness.changed:
        freshness.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)
