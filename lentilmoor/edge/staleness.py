"""Limits on the age of the copy of the store by which an entry decides.

The operator sets an upper bound on the time from the store's acknowledgement of
a change to its effect. Decisions that this bound concerns therefore need a copy
that is known to have been complete a short while ago. A slow, hung or silent
hop between the store and the entry then costs availability, but never breaks
the bound. The timeouts and pauses on the way from the store are fractions of
the bound.

While no entry can reach the store, the store acknowledges no change, and
refusing requests would protect nothing. An entry that can't reach the store
therefore goes on with an old copy if enough other entries report that they
can't reach it either.
"""

import collections
from collections.abc import Collection
import dataclasses
import math
import threading

from lentilmoor import clocks
from lentilmoor import exceptions

# Fractions and factors of the bound.
# Time for a request to reach the server after the last check of the copy's age.
DELIVERY_MARGIN_FRACTION = 0.25
# Time that remains when a leaving server that alone may run a request is sent
# its last one.
LAST_REQUEST_MARGIN_FRACTION = 0.5
# Age from which an entry asks random other entries for a newer copy, and relays
# read the store. It is above the usual delay on the way from the store.
REFRESH_AGE_FRACTION = 0.5
# Age from which some of the entries that relays send news to also read the
# store.
STORE_CHECK_AGE_FRACTION = 0.65
# How long a request for news waits for a change, and how long its reply may
# take beyond that.
POLL_WAIT_FRACTION = 0.1
POLL_REPLY_FRACTION = 0.2
# Pause between two requests to random other entries.
REFRESH_PAUSE_FRACTION = 0.05
# How long a watch of the store waits for a change, and how long its answer may
# take beyond that.
WATCH_WAIT_FRACTION = 0.2
WATCH_REPLY_FRACTION = 0.25
# Pauses between two watches: of an entry that watches on behalf of others, and
# of any other entry.
HUB_WATCH_PAUSE_FRACTION = 0.175
WATCH_PAUSE_FRACTION = 0.4
# A call that isn't answered for this long shows that the store is unreachable.
UNREACHABLE_AFTER_FRACTION = 0.125
# How long another entry's report that the store is unreachable stays valid.
REPLY_VALIDITY_FACTOR = 2.0
# An entry that has received nothing for this long restarts following.
SILENCE_TIMEOUT_FACTOR = 1.5
# Oldest copy of the configuration by which a request may be routed.
MAX_ROUTE_AGE_FRACTION = 0.95

MAX_HUB_WATCH_PAUSE_MS = 350.0
MAX_WATCH_PAUSE_MS = 850.0
# Polls and round trips don't become shorter with the bound.
MIN_BOUND_MS = 500.0
# Reports of other entries that suffice for the store to count as unavailable,
# however many entries there are.
MAX_REQUIRED_REPORTS = 8
# Factor by which the pauses between requests to random other entries grow while
# the copy stays old.
SLOW_REFRESH_FACTOR = 2.0
DEFAULT_BOUND_MS = 2_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Time limits between the store and a decision, ms.

    Attributes:
      max_send_age_ms: Oldest copy by which a request is sent to a server.
      max_route_age_ms: Oldest configuration by which a request is routed.
      max_deny_age_ms: Oldest configuration by which a request is rejected
        because its route does not exist.
      last_request_margin_ms: What remains of the bound when a leaving server is
        sent its last request.
      refresh_age_ms: Age from which random other entries are asked for a newer
        copy.
      refresh_pause_ms: Pause between two such requests.
      store_check_age_ms: Age from which some of the entries that relays send
        news to also read the store.
      poll_wait_ms: How long a request for news waits for a change.
      poll_reply_ms: How long its reply may take beyond that.
      watch_wait_ms: How long a watch of the store waits for a change.
      watch_reply_ms: How long its answer may take beyond that.
      hub_watch_pause_ms: Pause between two watches of an entry that watches on
        behalf of others.
      watch_pause_ms: Pause between two watches of an entry that no other sends
        news to.
      silence_timeout_ms: Silence after which an entry restarts following.
      reply_validity_ms: How long another entry's report that the store is
        unreachable stays valid.
      unreachable_after_ms: The store counts as unreachable when a call has had
        no answer for this long.
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
      drain_ms: Time after which a draining server is sent no requests.
      config_apply_ms: Time after which a configuration is in force everywhere;
        infinite if there is no bound.

    Raises:
      SettingsError: A bound is below `MIN_BOUND_MS`.
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
    """Times up to which a copy of the store is complete, ms.

    Attributes:
      servers_at: For everything but the configuration.
      configuration_at: For the configuration.
    """

    servers_at: float = -math.inf
    configuration_at: float = -math.inf


@dataclasses.dataclass(slots=True)
class Freshness:
    """Times up to which an entry's copy of the store is complete.

    Attributes:
      known_times: Of the copy that the entry holds and sends to others.
      pending_changes: Changes that request threads don't see yet: the number of
        each, and the times of the copy before it.
      last_change_number: Number of the last change.
      unreachable_reports: When each other entry last reported that it can't
        reach the store, ms, by address.
      newest_peer_copy_at: Time up to which the most recent copy of another
        entry is complete, ms.
      store_unavailable_at: When the store last seemed unavailable to all
        entries, ms.
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
    """Records times up to which the copy is complete, ms.

    All changes up to these times must have been passed to `add_pending_change`
    before. A time never goes back.
    """
    with freshness.changed:
        known = freshness.known_times
        freshness.known_times = Times(
            max(known.servers_at, servers_at),
            max(known.configuration_at, configuration_at))
        freshness.changed.notify_all()


def add_pending_change(freshness: Freshness) -> int:
    """Adds a change that request threads don't see yet; returns its number."""
    with freshness.changed:
        freshness.last_change_number += 1
        freshness.pending_changes.append(
            (freshness.last_change_number, freshness.known_times))
        return freshness.last_change_number


def mark_applied(freshness: Freshness, number: int) -> None:
    """Records that request threads see all changes up to a number."""
    with freshness.changed:
        while freshness.pending_changes and freshness.pending_changes[0][
                0] <= number:
            freshness.pending_changes.popleft()
        freshness.changed.notify_all()


def find_applied_times(freshness: Freshness) -> Times:
    """Returns the times up to which what request threads see is complete."""
    with freshness.changed:
        return freshness.pending_changes[0][
            1] if freshness.pending_changes else freshness.known_times


def record_unreachable_report(freshness: Freshness, address: str,
                              now: float) -> None:
    """Records another entry's report that it can't reach the store."""
    with freshness.changed:
        freshness.unreachable_reports[address] = now


def record_peer_copy(freshness: Freshness, known_at: float) -> None:
    """Records the time up to which another entry's copy is complete, ms."""
    with freshness.changed:
        freshness.newest_peer_copy_at = max(freshness.newest_peer_copy_at,
                                            known_at)


def is_store_unavailable(freshness: Freshness, others: Collection[str],
                         unanswered_ms: float, now: float,
                         limits: Limits) -> bool:
    """Returns whether the store seems to be unavailable to all entries.

    At least half of the other entries, but never more than
    `MAX_REQUIRED_REPORTS`, must have reported that they can't reach it.

    Args:
      freshness: Holds the reports of the other entries.
      others: Addresses of the other entries.
      unanswered_ms: For how long the store has not answered this entry.
      now: Current time, ms.
      limits: Limits of the age of the copy.
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
    """Waits until a time has advanced, for at most `wait_ms`."""
    with freshness.changed:
        freshness.changed.wait(max(0.0, wait_ms) / clocks.MS_PER_S)
