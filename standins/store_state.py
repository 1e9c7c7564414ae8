"""The state of the platform's stand-in: keys, leases, watches, instances.

One plain class with one lock, so that tests can use it in process, beside the
program in `store` that serves it over HTTP. Faults are switches on it.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum
import random
import threading
import time

from lentilmoor import clocks
from lentilmoor import outcomes
from lentilmoor import stores

MAX_VALUE_BYTES = 1_000_000
_HISTORY = 4096


class Status(enum.Enum):
    """What became of a call."""

    DONE = 'done'
    ABSENT = 'absent'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'
    NO_LEASE = 'no-lease'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key's value; its version is the store's revision that wrote it."""

    key: str
    value: bytes
    version: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The outcome of a write; `entry` is what the key holds now."""

    status: Status
    entry: Entry | None = None


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease; the keys bound to it go when it lapses."""

    id: int
    ttl_ms: float
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of one key; `entry` is None if the key went."""

    revision: int
    key: str
    entry: Entry | None


@dataclasses.dataclass(slots=True)
class Switches:
    """Faults that can be switched on.

    Attributes:
      outage: No call is answered.
      delay_ms: Each call takes so much longer.
      lose_replies: The next so many writes take effect but are not answered.
      lose_share: Share of the writes treated so.
      park_writes: The next so many writes are neither answered nor done
        until `deliver_parked`: writes that arrive late.
      garbage: Answers are not what the protocol says.
      list_lag_ms: Age of the instance list that is shown.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0
    lose_share: float = 0.0
    park_writes: int = 0
    garbage: bool = False
    list_lag_ms: float = 0.0


class StoreState:
    """A key-value store with versions, leases, a history and instances.

    Attributes:
      switches: Faults; may be changed at any time.
      calls: How many calls of each kind came in, answered or not.
    """

    def __init__(self, clock: clocks.Clock, seed: int = 0):
        self.switches = Switches()
        self.calls = collections.Counter()
        self._clock = clock
        self._random = random.Random(seed)
        self._lock = threading.Condition()
        self._revision = 0
        self._lease_id = 0
        self._entries: dict[str, Entry] = {}
        self._history: collections.deque[Change] = collections.deque(
            maxlen=_HISTORY)
        self._leases: dict[int, Lease] = {}
        self._instances: dict[str, stores.ListedInstance] = {}
        self._lists = collections.deque([(float('-inf'), ())])
        self._parked: list[Callable[[], Written]] = []

    def count(self, kind: str) -> None:
        """Counts a call."""
        with self._lock:
            self.calls[kind] += 1

    @property
    def revision(self) -> int:
        """Number of writes so far."""
        return self._revision

    def get(self, key: str) -> Entry | None:
        """Returns what a key holds."""
        with self._lock:
            self._expire()
            return self._entries.get(key)

    def list_entries(self, prefix: str) -> tuple[int, tuple[Entry, ...]]:
        """Returns the revision and all entries under a prefix, by key."""
        with self._lock:
            self._expire()
            found = [
                entry for key, entry in sorted(self._entries.items())
                if key.startswith(prefix)
            ]
            return self._revision, tuple(found)

    def put(self,
            key: str,
            value: bytes,
            expected: int | None,
            lease: int = 0) -> Written:
        """Writes a key.

        Args:
          key: The key.
          value: Its new value, at most `MAX_VALUE_BYTES`.
          expected: Version it must have, 0 for absent, None for any.
          lease: Lease to bind it to, or 0.
        """
        with self._lock:
            self._expire()
            current = self._entries.get(key)
            if len(value) > MAX_VALUE_BYTES:
                return Written(Status.TOO_LARGE, current)
            if lease and lease not in self._leases:
                return Written(Status.NO_LEASE, current)
            if not _matches(current, expected):
                return Written(Status.CONFLICT, current)
            entry = Entry(key, value, self._revision + 1, lease)
            self._record(key, entry)
            return Written(Status.DONE, entry)

    def delete(self, key: str, expected: int | None) -> Written:
        """Deletes a key if it has the expected version (None: any)."""
        with self._lock:
            self._expire()
            current = self._entries.get(key)
            if current is None:
                return Written(Status.ABSENT)
            if not _matches(current, expected):
                return Written(Status.CONFLICT, current)
            self._record(key, None)
            return Written(Status.DONE)

    def list_history(self, key: str) -> list[stores.Record]:
        """Returns the values that a key has held, as far back as kept."""
        with self._lock:
            return [
                to_record(change.entry)
                for change in self._history
                if change.key == key and change.entry
            ]

    def grant_lease(self, ttl_ms: float) -> Lease:
        """Creates a lease."""
        with self._lock:
            self._lease_id += 1
            lease = Lease(self._lease_id, ttl_ms, self._clock.now() + ttl_ms)
            self._leases[lease.id] = lease
            return lease

    def keep_alive(self, lease_id: int) -> Lease | None:
        """Renews a lease; None if it has lapsed."""
        with self._lock:
            self._expire()
            lease = self._leases.get(lease_id)
            if lease:
                lease.expires_at = self._clock.now() + lease.ttl_ms
            return lease

    def changes(self, prefix: str, after: int) -> stores.Changes | None:
        """Returns the changes under a prefix after a revision, if any.

        A revision of 0, or one that the history no longer covers, is answered
        with a snapshot of all that the prefix holds.
        """
        with self._lock:
            self._expire()
            oldest = self._history[0].revision if self._history else 1
            if after <= 0 or after > self._revision or after < oldest - 1:
                found = self.list_entries(prefix)[1]
                return stores.Changes(self._revision,
                                      tuple(to_record(e) for e in found),
                                      snapshot=True)
            newest = {
                change.key: change.entry
                for change in self._history
                if change.revision > after and change.key.startswith(prefix)
            }
            if not newest:
                return None
            return stores.Changes(
                self._revision,
                tuple(to_record(entry) for entry in newest.values() if entry),
                tuple(key for key, entry in newest.items() if entry is None))

    def wait_changes(self, prefix: str, after: int,
                     wait_ms: float) -> stores.Changes:
        """Like `changes`, but waits for one up to `wait_ms` of real time."""
        ends = time.monotonic() + wait_ms / clocks.MS_PER_S
        with self._lock:
            while True:
                found = self.changes(prefix, after)
                left = ends - time.monotonic()
                if found or left <= 0:
                    return found or stores.Changes(max(after, self._revision))
                self._lock.wait(min(left, self._until_expiry()))

    def register(self, instance: stores.ListedInstance) -> None:
        """Lists an instance, or changes its listing."""
        with self._lock:
            self._instances[instance.id] = instance
            self._keep_list()

    def unregister(self, instance_id: str) -> None:
        """Takes an instance off the list."""
        with self._lock:
            self._instances.pop(instance_id, None)
            self._keep_list()

    def instances(self) -> tuple[stores.ListedInstance, ...]:
        """Returns the list as it was `list_lag_ms` ago."""
        with self._lock:
            shown_at = self._clock.now() - self.switches.list_lag_ms
            shown = ()
            for made_at, listed in self._lists:
                if made_at <= shown_at:
                    shown = listed
            return shown

    def take_write(self, write: Callable[[], Written]) -> Written | None:
        """Carries out a write under the switches; None if it is unanswered."""
        with self._lock:
            if self.switches.park_writes > 0:
                self.switches.park_writes -= 1
                self._parked.append(write)
                return None
            lost = self._random.random() < self.switches.lose_share
            if self.switches.lose_replies > 0:
                self.switches.lose_replies -= 1
                lost = True
            written = write()
            return None if lost else written

    def deliver_parked(self) -> list[Written]:
        """Lets the writes arrive that were parked."""
        with self._lock:
            parked, self._parked = self._parked, []
            return [write() for write in parked]

    def _record(self, key: str, entry: Entry | None) -> None:
        self._revision += 1
        if entry is None:
            self._entries.pop(key)
        else:
            self._entries[key] = entry
        self._history.append(Change(self._revision, key, entry))
        self._lock.notify_all()

    def _keep_list(self) -> None:
        listed = tuple(
            self._instances[name] for name in sorted(self._instances))
        self._lists.append((self._clock.now(), listed))

    def _expire(self) -> None:
        now = self._clock.now()
        lapsed = {
            lease.id
            for lease in self._leases.values()
            if lease.expires_at <= now
        }
        if not lapsed:
            return
        for lease_id in lapsed:
            del self._leases[lease_id]
        for entry in list(self._entries.values()):
            if entry.lease in lapsed:
                self._record(entry.key, None)

    def _until_expiry(self) -> float:
        now = self._clock.now()
        waits = [lease.expires_at - now for lease in self._leases.values()]
        return max(min(waits, default=60_000.0), 1.0) / clocks.MS_PER_S


def open_store(state: StoreState,
               clock: clocks.Clock,
               writer_id: str = 'local') -> stores.Store:
    """Returns an adapter that calls a state in process, for tests.

    It settles swaps with the same code as the adapter over HTTP. A watch never
    waits, and a call under `delay_ms` beyond the timeout fails as timed out
    without moving time.

    Args:
      state: The state, with its switches.
      clock: The caller's time.
      writer_id: Name of the writer.
    """
    return stores.make_store(open_transport(state), clock,
                             stores.DEFAULT_TIMEOUT_MS, writer_id)


def open_transport(state: StoreState) -> stores.Transport:
    """Returns single attempts at a state, under its switches."""

    def check(kind: str) -> outcomes.Failed | None:
        state.count(kind)
        switches = state.switches
        if switches.outage:
            return outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE, 'outage')
        if switches.garbage:
            return outcomes.Failed(outcomes.Reason.INVALID, 'garbage')
        if switches.delay_ms > stores.DEFAULT_TIMEOUT_MS and kind != 'write':
            return outcomes.Failed(outcomes.Reason.TIMED_OUT, 'slow')
        return None

    def read(key, _timeout_ms):
        failed = check('read')
        if failed:
            return failed
        entry = state.get(key)
        return to_record(entry) if entry else None

    def write(key, value, expected, _timeout_ms):
        failed = check('write')
        if failed:
            return failed
        written = state.take_write(lambda: state.put(key, value, expected))
        slow = state.switches.delay_ms > stores.DEFAULT_TIMEOUT_MS
        if written is None or slow:
            return outcomes.Failed(outcomes.Reason.TIMED_OUT, 'reply lost')
        if written.status is Status.CONFLICT:
            current = written.entry
            return stores.Conflict(to_record(current) if current else None)
        return to_record(written.entry)

    def list_records(prefix, _timeout_ms):
        return check('list') or tuple(
            to_record(entry) for entry in state.list_entries(prefix)[1])

    def watch(prefix, after_revision, _wait_ms, _timeout_ms):
        return (check('watch') or state.changes(prefix, after_revision) or
                stores.Changes(max(after_revision, state.revision)))

    def instances(_timeout_ms):
        return check('instances') or state.instances()

    def register(instance, _timeout_ms):
        return check('instances') or state.register(instance)

    return stores.Transport(read, write, list_records, watch, instances,
                            register)


def _matches(current: Entry | None, expected: int | None) -> bool:
    if expected is None:
        return True
    return (current.version if current else 0) == expected


def to_record(entry: Entry) -> stores.Record:
    """Returns an entry as the adapter sees it, envelope and all."""
    return stores.Record(entry.key, entry.value, entry.version)
