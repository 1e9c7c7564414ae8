"""Counts the entries that share a limit which holds for all of them together.

Each entry divides such a limit by the number of entries that it knows. That
number can be too small: an entry whose registration has lapsed, was revoked or
was deleted while it ends goes on serving requests, and one that started a
moment ago may not be known yet. So an entry uses its share only while its own
registration is in its recent copy of the store, and has been for so long that
all others count it; and it counts the entries that have disappeared until what
they may have used lies outside of the limit's window. The shares in use at any
time then add up to no more than the limit, whatever each entry knows.

With an age limit A of the copy and a window W: an entry that uses its share has
been registered for A + W, so each other one that uses a share has counted it
for at least W; and its registration was deleted A ago at most, so whoever has
noticed that less than A + W ago still counts it.

Limits that leave every entry a minimum, such as connections, are divided by the
number of entries that seem to run: those on the list, those that disappeared a
short while ago, and those that sent reports, whatever the store lists.
"""

from collections.abc import Mapping
import dataclasses
import enum
import math
import threading

from lentilmoor.edge import ports


class ShareState(enum.Enum):
    """Whether an entry may use its share of a limit.

    Attributes:
      USABLE: It may.
      UNREGISTERED: It isn't registered, so others may not count it.
      SETTLING: It has not been registered for long enough.
      OUTDATED: Its copy of the store is too old.
    """

    USABLE = 'usable'
    UNREGISTERED = 'unregistered'
    SETTLING = 'settling'
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Times by which shares are used, ms; the same for all entries.

    Attributes:
      window_ms: Time span to which the limit applies.
      max_age_ms: Oldest copy of the store by which a share is used.
    """

    window_ms: float = 10_000.0
    max_age_ms: float = 1_500.0

    @property
    def retention_ms(self) -> float:
        """How long an entry that has disappeared is counted."""
        return self.window_ms + self.max_age_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """An entry's share of a limit.

    Attributes:
      entries: Number of entries among which the limit is divided.
      state: Whether the share may be used.
    """

    entries: int
    state: ShareState

    def divide(self, limit: float) -> float:
        """Returns this entry's part of a limit; 0 if it may use none."""
        if self.state is not ShareState.USABLE:
            return 0.0
        return limit / max(1, self.entries)


@dataclasses.dataclass(slots=True)
class EntryCounts:
    """The entries that this one knows or knew shortly before; thread-safe.

    Attributes:
      listed: Instance ids of the registered entries.
      peers: These and those in `removed_at`, by instance id.
      removed_at: When entries disappeared, ms, by instance id.
      registration: Store revision of this entry's registration; None if it has
        none.
      settling_since: Since when this entry has been registered and followed the
        list without a gap, ms; infinite if it isn't registered.
      heard_at: When entries last sent a report, ms, by instance id.
      reported: The largest number of running entries that a hub stated lately.
      reported_at: When it did, ms.
      lock: Guards all other attributes.
    """

    listed: frozenset[str] = frozenset()
    peers: dict[str, ports.Peer] = dataclasses.field(default_factory=dict)
    removed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    registration: int | None = None
    settling_since: float = math.inf
    heard_at: dict[str, float] = dataclasses.field(default_factory=dict)
    reported: int = 0
    reported_at: float = -math.inf
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def update(counts: EntryCounts, instance: str, entries: Mapping[str,
                                                                ports.Peer],
           terms: Terms, complete_at: float, now: float) -> None:
    """Records the registered entries.

    Args:
      counts: The counts to update.
      instance: Instance id of this entry.
      entries: The registered entries, by instance id.
      terms: Times by which shares are used.
      complete_at: Time up to which the list before this one was complete, ms.
      now: Current time, ms.
    """
    listed = frozenset(entries)
    own = entries.get(instance)
    registration = own.registration_revision if own is not None else None
    with counts.lock:
        for name in counts.listed - listed:
            counts.removed_at[name] = now
        expired_at = now - terms.retention_ms
        counts.removed_at = {
            name: at
            for name, at in counts.removed_at.items()
            if name not in listed and at > expired_at
        }
        counts.listed = listed
        known = counts.peers | dict(entries)
        counts.peers = {
            name: known[name] for name in (*listed, *counts.removed_at)
        }
        # In a long gap, an entry may have registered, used its share and
        # disappeared unseen.
        has_gap = now - complete_at >= terms.window_ms
        if registration is None:
            counts.settling_since = math.inf
        elif has_gap or registration != counts.registration:
            counts.settling_since = now
        counts.registration = registration


def find_share(counts: EntryCounts, terms: Terms, complete_at: float,
               now: float) -> Share:
    """Returns this entry's share of a limit.

    Args:
      counts: The entries that this one knows.
      terms: Times by which shares are used.
      complete_at: Time up to which the list was complete, ms. It must have been
        read before the call: the list may only be newer.
      now: Current time, ms.
    """
    entries = max(1, len(list_peers(counts, terms, now)))
    settling_since = counts.settling_since
    if settling_since == math.inf:
        state = ShareState.UNREGISTERED
    elif now - complete_at > terms.max_age_ms:
        state = ShareState.OUTDATED
    elif now < settling_since + terms.retention_ms:
        state = ShareState.SETTLING
    else:
        state = ShareState.USABLE
    return Share(entries, state)


def record_report(counts: EntryCounts, instance: str, terms: Terms,
                  now: float) -> None:
    """Records that an entry sent a report, so that it runs."""
    with counts.lock:
        if instance not in counts.heard_at:
            expired_at = now - terms.retention_ms
            counts.heard_at = {
                name: at
                for name, at in counts.heard_at.items()
                if at > expired_at
            }
        counts.heard_at[instance] = now


def record_reported(counts: EntryCounts, entries: int, terms: Terms,
                    now: float) -> None:
    """Records the number of running entries that a hub states."""
    with counts.lock:
        if (entries >= counts.reported or
                counts.reported_at <= now - terms.retention_ms):
            counts.reported, counts.reported_at = entries, now


def list_peers(counts: EntryCounts, terms: Terms,
               now: float) -> list[ports.Peer]:
    """Returns the registered entries and those that disappeared lately."""
    expired_at = now - terms.retention_ms
    with counts.lock:
        return [
            peer for name, peer in counts.peers.items()
            if counts.removed_at.get(name, now) > expired_at
        ]


def count_observed(counts: EntryCounts, terms: Terms, now: float) -> int:
    """Returns the number of entries that this one saw running.

    An entry that restarted counts once, as its earlier process has ended.
    """
    addresses = {peer.address for peer in list_peers(counts, terms, now)}
    # Entries report several times in this span. In a longer one, an entry that
    # restarts unlisted would count twice.
    heard_since = now - 2 * terms.max_age_ms
    with counts.lock:
        heard = sum(at > heard_since for at in counts.heard_at.values())
    return max(1, len(addresses), heard)


def count_running(counts: EntryCounts, terms: Terms, now: float) -> int:
    """Returns the number of entries that run, as seen here or by a hub."""
    observed = count_observed(counts, terms, now)
    with counts.lock:
        if counts.reported_at <= now - terms.retention_ms:
            return observed
        return max(observed, counts.reported)
