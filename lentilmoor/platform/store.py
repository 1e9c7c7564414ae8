"""The client of the platform's key-value store."""

import base64
import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import json
import secrets
import socket
import threading
import urllib.parse

from lentilmoor import clocks
from lentilmoor import httpcalls
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.edge import staleness
from lentilmoor.platform import documents
from lentilmoor.platform import pages
from lentilmoor.platform import views

# The store answers in 4 ms, and 60 times slower on its slow days.
CALL_TIMEOUT_MS = 1_200.0
# A page of a whole read: one with a large configuration takes long over a slow
# link that others use too.
PAGE_TIMEOUT_MS = 3_000.0
# The largest value that the store takes, as text, in Mbit.
_MAX_VALUE_MBITS = 11.2
# Times that a conditional write without an answer is sent again.
MAX_WRITE_ATTEMPTS = 4

# A watch whose connection went silent is noticed after about 3 s by probes of
# the kernel, which cost no call.
KEEPALIVE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_500),
)

# What calls are counted as, by the last part of their path.
_KINDS = {
    'kv-range': 'read_page',
    'kv-key': 'read_key',
    'kv-watch': 'watch',
    'kv-txn': 'write',
    'kv-lease': 'open_lease',
    'kv-keep': 'keep_lease',
    'kv-lease-end': 'end_lease',
}
_STALE = 'read_stale_page'
# Rises each time that the store comes back from an older copy.
_ERA_HEADER = 'Store-Era'

_Reason = outcomes.Reason
_REASONS = {
    404: _Reason.NOT_FOUND,
    410: _Reason.NOT_FOUND,
    412: _Reason.CONFLICT,
    429: _Reason.OVERLOADED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Conflict(outcomes.Failed):
    """A conditional write that came too late; the detail is the answer's body.

    Attributes:
      era: The store's, as the answer told it.
    """

    era: int = 0


class _Client:
    """Calls to one store.

    Attributes:
      era: The newest era that an answer told; None before the first.
      unanswered_at: When the first call that the store hasn't answered since
        its last answer was sent, ms; None if there is none.
      counts: Calls by kind.
    """

    def __init__(self, address: str, clock: clocks.Clock, logger: logs.Logger):
        self._address = address
        self._logger = logger
        self._lock = threading.Lock()
        self.era: int | None = None
        self.unanswered_at: float | None = None
        self._clock = clock
        self._restored: Callable[[], None] = lambda: None
        # A waiting watch must not keep other calls from their connection.
        self._caller = httpcalls.Caller(clock, 4, KEEPALIVE_OPTIONS)
        self._watcher = httpcalls.Caller(clock, 1, KEEPALIVE_OPTIONS)
        self.counts: collections.Counter[str] = collections.Counter()

    def call(
            self,
            method: str,
            target: str,
            body: Mapping | None = None,
            timeout_ms: float = CALL_TIMEOUT_MS
    ) -> pages.Answer | outcomes.Failed:
        """Makes a call; returns a successful answer."""
        self.counts[_find_kind(target)] += 1
        data = None if body is None else json.dumps(body).encode()
        caller = (self._caller
                  if timeout_ms == CALL_TIMEOUT_MS else self._watcher)
        # One that waits for a change says nothing before it is over.
        if timeout_ms == CALL_TIMEOUT_MS:
            self._note_unanswered(self._clock.now())
        reply = caller.call(
            self._address,
            httpcalls.Request(method, target, data,
                              {'Content-Type': 'application/json'}), timeout_ms)
        if isinstance(reply, outcomes.Failed):
            self._note_unanswered(self._clock.now())
            return reply
        if reply.status not in (429, 503):
            self.unanswered_at = None
        era = self._read_era(reply)
        if era is None:
            return outcomes.Failed(_Reason.INVALID, f'bad {_ERA_HEADER}')
        if reply.status == 200:
            try:
                return pages.Answer(era, json.loads(reply.body or b'{}'))
            except ValueError:
                return outcomes.Failed(_Reason.CONNECTION_LOST, 'not JSON')
        reason = _REASONS.get(reply.status, _Reason.STORE_UNAVAILABLE)
        if reason is _Reason.CONFLICT:
            return _Conflict(reason, reply.body.decode('utf-8', 'replace'), era)
        return outcomes.Failed(reason, reply.body.decode('utf-8', 'replace'))

    def _note_unanswered(self, sent_at: float) -> None:
        with self._lock:
            if self.unanswered_at is None:
                self.unanswered_at = sent_at

    def find_unanswered_ms(self) -> float:
        """Returns for how long the store has answered nothing, ms."""
        unanswered_at = self.unanswered_at
        return (0.0 if unanswered_at is None else self._clock.now() -
                unanswered_at)

    def _read_era(self, reply: httpcalls.Reply) -> int | None:
        """Takes in the era of an answer and returns it; None if it is bad.

        An answer without one is of the era that is known.
        """
        text = reply.headers.get(_ERA_HEADER)
        if text is None:
            return self.era or 0
        if not text.isdecimal() or int(text) > revisions.MAX_ERA:
            return None
        self._note_era(int(text))
        return int(text)

    def _note_era(self, era: int) -> None:
        with self._lock:
            before = self.era
            if before is not None and era <= before:
                return
            self.era = era
        if before is not None:
            self._logger.warning('store_restored', era=era, before=before)
            self._restored()

    def on_restore(self, restored: Callable[[], None]) -> None:
        """Sets what is called when the era has risen."""
        self._restored = restored

    def is_from_earlier_era(self, revision: int) -> bool:
        """Returns whether the store was restored since it told a revision.

        It may have given the number out again.
        """
        return self.era is not None and revisions.find_era(revision) < self.era

    def compare_and_swap(self, key: str, value: bytes, revision: int,
                         lease: int) -> int | outcomes.Failed:
        """Writes a key if it is at a revision; returns the new revision.

        A call without an answer may be carried out later; it is repeated
        until the outcome is certain, or TIMED_OUT is returned.

        Args:
          key: The key.
          value: Its new value.
          revision: The revision that it must be at; 0 if it must not exist.
          lease: The lease that it is to end with; 0: none.
        """
        write = {'Key': key, 'Value': base64.b64encode(value).decode()}
        if lease:
            write['Lease'] = lease
        body = {
            'ExpectRev': [{
                'Key': key,
                'Rev': revisions.find_number(revision)
            }],
            'Writes': [write],
            'Delete': [],
        }
        unanswered: outcomes.Failed | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            if revision and self.is_from_earlier_era(revision):
                return outcomes.Failed(_Reason.CONFLICT, 'store restored')
            answer = self.call('POST', '/-/kv-txn', body)
            if not isinstance(answer, outcomes.Failed):
                return revisions.combine(answer.era, answer.fields['Rev'])
            if isinstance(answer, _Conflict):
                own = _find_own(answer, value)
                if own is None:
                    return outcomes.Failed(_Reason.CONFLICT,
                                           'another write came first')
                if own.get('Lease', 0) == lease:
                    return revisions.combine(answer.era, own['Rev'])
                # A restored store may hold it under a lease that has ended.
                body['ExpectRev'][0]['Rev'] = own['Rev']
                continue
            if answer.reason not in (_Reason.TIMED_OUT,
                                     _Reason.CONNECTION_LOST):
                # A refusal says nothing of an earlier try without an answer.
                return unanswered or answer
            unanswered = answer
        return unanswered or outcomes.Failed(_Reason.CONFLICT, 'no agreement')

    def delete(self, key: str, revision: int) -> outcomes.Failed | None:
        """Deletes a key if it is at a revision."""
        if self.is_from_earlier_era(revision):
            return outcomes.Failed(_Reason.CONFLICT, 'store restored')
        row = {'Key': key, 'Rev': revisions.find_number(revision)}
        answer = self.call('POST', '/-/kv-txn', {
            'ExpectRev': [row],
            'Writes': [],
            'Delete': [key]
        })
        return answer if isinstance(answer, outcomes.Failed) else None


def _find_kind(target: str) -> str:
    path, _, query = target.partition('?')
    kind = _KINDS[path.split('/')[2]]
    stale = kind == 'read_page' and pages.ALLOW_STALE in query
    return _STALE if stale else kind


def _find_own(failed: outcomes.Failed, value: bytes) -> dict | None:
    """Returns our own earlier write, whose answer was lost; None if a rival's.

    Args:
      failed: The conflict.
      value: What was to be written.
    """
    try:
        items = json.loads(failed.detail)['items']
    except (ValueError, KeyError):
        return None
    return next((row for row in items
                 if row.get('Rev') and views.read_item(row).value == value),
                None)


def _read_entries(client: _Client,
                  view: views.View) -> list[ports.Peer] | outcomes.Failed:
    found = pages.read_all(
        lambda target: client.call('GET', target, timeout_ms=PAGE_TIMEOUT_MS),
        views.ENTRIES,
        stale=True)
    if isinstance(found, outcomes.Failed):
        return found
    return view.read_peers(found.items)


def _save_suspect(client: _Client, clock: clocks.Clock,
                  suspect: ports.SavedSuspect) -> outcomes.Failed | None:
    done = client.compare_and_swap(views.SUSPECTS + suspect.fingerprint.hex(),
                                   documents.write_suspect(suspect, clock),
                                   suspect.revision, 0)
    return done if isinstance(done, outcomes.Failed) else None


def _forget_suspect(client: _Client,
                    suspect: ports.SavedSuspect) -> outcomes.Failed | None:
    return client.delete(views.SUSPECTS + suspect.fingerprint.hex(),
                         suspect.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTimes:
    """Times of watches, ms.

    Attributes:
      wait_ms: How long one waits for a change.
      timeout_ms: When it counts as lost.
    """

    wait_ms: float
    timeout_ms: float


def make_watch_times(limits: staleness.Limits, link_mbps: float) -> WatchTimes:
    """Returns the times of watches.

    Args:
      limits: How old what is known may be.
      link_mbps: Speed of this machine's link, Mbit/s: an answer may hold a
        value that takes long over it.
    """
    transfer_ms = _MAX_VALUE_MBITS / link_mbps * clocks.MS_PER_S
    return WatchTimes(
        limits.watch_wait_ms,
        limits.watch_wait_ms + limits.watch_reply_ms + transfer_ms)


def _make_watch(
    client: _Client, view: views.View, times: WatchTimes
) -> Callable[[ports.StoreSnapshot], ports.StoreSnapshot | outcomes.Failed]:

    def watch(
            before: ports.StoreSnapshot
    ) -> ports.StoreSnapshot | outcomes.Failed:
        if client.is_from_earlier_era(before.revision):
            return outcomes.Failed(_Reason.NOT_FOUND, 'store restored')
        query = urllib.parse.urlencode({
            'Prefix': '',
            'after': revisions.find_number(before.revision),
            'WaitMs': int(times.wait_ms)
        })
        answer = client.call('GET',
                             f'/-/kv-watch?{query}',
                             timeout_ms=times.timeout_ms)
        if isinstance(answer, outcomes.Failed):
            return answer
        if answer.era != revisions.find_era(before.revision):
            return outcomes.Failed(_Reason.NOT_FOUND, 'store restored')
        fields = answer.fields
        items = [views.read_item(row, answer.era) for row in fields['events']]
        return view.apply(items,
                          revisions.combine(answer.era, fields['CurrentRev']))

    return watch


_USUAL_TIMES = make_watch_times(staleness.make_limits(), 1_000.0)


def connect_store(address: str,
                  clock: clocks.Clock,
                  logger: logs.Logger,
                  times: WatchTimes | None = None) -> ports.Store:
    """Returns the store at an address.

    Args:
      address: host:port.
      clock: This process's time.
      logger: Takes lines on entries that don't parse.
      times: Of watches.
    """
    client = _Client(address, clock, logger)
    view = views.View(clock, logger)

    def load() -> ports.StoreSnapshot | outcomes.Failed:
        found = pages.read_all(lambda target: client.call(
            'GET', target, timeout_ms=PAGE_TIMEOUT_MS))
        if isinstance(found, outcomes.Failed):
            return found
        known = view.find_revision()
        if found.revision < known:
            logger.warning('store_behind',
                           revision=revisions.format_revision(found.revision),
                           known=revisions.format_revision(known))
        return view.replace(found.items, found.revision)

    def load_configuration() -> ports.StoreSnapshot | outcomes.Failed:
        query = urllib.parse.urlencode({'Key': views.CONFIGURATION})
        answer = client.call('GET',
                             f'/-/kv-key?{query}',
                             timeout_ms=PAGE_TIMEOUT_MS)
        if isinstance(answer, outcomes.Failed):
            return answer
        return view.apply([views.read_item(answer.fields, answer.era)], 0)

    def open_lease(ttl_ms: float) -> ports.Lease | outcomes.Failed:
        answer = client.call('POST', '/-/kv-lease', {'TtlMs': int(ttl_ms)})
        if isinstance(answer, outcomes.Failed):
            return answer
        return ports.Lease(answer.fields['Lease'], answer.fields['TtlMs'])

    def keep_lease(lease: ports.Lease) -> outcomes.Failed | None:
        answer = client.call('POST', f'/-/kv-keep/{lease.id}')
        return answer if isinstance(answer, outcomes.Failed) else None

    def end_lease(lease: ports.Lease) -> outcomes.Failed | None:
        answer = client.call('DELETE', f'/-/kv-lease-end/{lease.id}')
        return answer if isinstance(answer, outcomes.Failed) else None

    def claim_coordination(service: str, coordinator: ports.Peer,
                           lease: ports.Lease,
                           replaced: int) -> outcomes.Failed | None:
        done = client.compare_and_swap(views.COORDINATORS + service,
                                       documents.write_peer(coordinator),
                                       replaced, lease.id)
        return done if isinstance(done, outcomes.Failed) else None

    def register(peer: ports.Peer,
                 lease: ports.Lease) -> outcomes.Failed | None:
        done = client.compare_and_swap(views.ENTRIES + peer.instance,
                                       documents.write_peer(peer), 0, lease.id)
        return done if isinstance(done, outcomes.Failed) else None

    def save(assignment: keyranges.Assignment,
             revision: int) -> int | outcomes.Failed:
        value = documents.write_assignment(assignment, secrets.token_hex(8))
        return client.compare_and_swap(views.ASSIGNMENTS + assignment.service,
                                       value, revision, 0)

    def load_assignment(
            service: str) -> ports.SavedAssignment | None | outcomes.Failed:
        query = urllib.parse.urlencode({'Key': views.ASSIGNMENTS + service})
        answer = client.call('GET', f'/-/kv-key?{query}')
        if isinstance(answer, outcomes.Failed):
            missing = answer.reason is _Reason.NOT_FOUND
            return None if missing else answer
        item = views.read_item(answer.fields, answer.era)
        return views.make_assignment_reader(item)(item.value)

    return ports.Store(load=load,
                       load_configuration=load_configuration,
                       list_entries=functools.partial(_read_entries, client,
                                                      view),
                       watch=_make_watch(client, view, times or _USUAL_TIMES),
                       open_lease=open_lease,
                       keep_lease=keep_lease,
                       end_lease=end_lease,
                       claim_coordination=claim_coordination,
                       register=register,
                       load_assignment=load_assignment,
                       encode_news=view.encode_news,
                       merge_news=view.merge_news,
                       dump=view.dump,
                       restore=view.restore,
                       save=save,
                       save_suspect=functools.partial(_save_suspect, client,
                                                      clock),
                       delete_suspect=functools.partial(_forget_suspect,
                                                        client),
                       find_unanswered_ms=client.find_unanswered_ms,
                       find_era=lambda: client.era or 0,
                       on_restore=client.on_restore,
                       count_calls=lambda: dict(client.counts))
