"""The client of the platform's key-value store."""

import base64
import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import json
import re
import secrets
import socket
import threading
from typing import TypeVar
import urllib.parse

from lentilmoor import clocks
from lentilmoor import httpclient
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor.edge import keyranges
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.edge import staleness
from lentilmoor.platform import documents
from lentilmoor.platform import pages
from lentilmoor.platform import storereplies
from lentilmoor.platform import views

# The store usually answers in 4 ms, and 60 times slower on its slow days.
CALL_TIMEOUT_MS = 1_200.0
# Timeout of a page of a full read: a large configuration takes long over a
# slow, shared link.
PAGE_TIMEOUT_MS = 3_000.0
# The largest value that the store accepts, encoded as text.
_MAX_VALUE_MBITS = 11.2
# Attempts at a conditional write, including retries of unanswered ones.
MAX_WRITE_ATTEMPTS = 4

# TCP keepalive detects a dead connection of a watch after about 3 s without
# extra calls to the store.
KEEPALIVE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_500),
)

# The kinds that calls are counted by, by the last part of their path.
_KINDS = {
    'kv-range': 'read_page',
    'kv-key': 'read_key',
    'kv-watch': 'watch',
    'kv-txn': 'write',
    'kv-lease': 'open_lease',
    'kv-keep': 'keep_lease',
    'kv-lease-end': 'end_lease',
}
_STALE_PAGE_KIND = 'read_stale_page'
# A counter that rises each time that the store is restored from an older copy.
_ERA_HEADER = 'Store-Era'
_ERA_FORMAT = re.compile('[0-9]{1,19}')

_T = TypeVar('_T')
_Reason = outcomes.Reason
_REASONS = {
    404: _Reason.NOT_FOUND,
    410: _Reason.NOT_FOUND,
    412: _Reason.CONFLICT,
    429: _Reason.OVERLOADED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Conflict(outcomes.Failed):
    """A conditional write that found another revision than it expected.

    Attributes:
      era: The store's era that the answer reported.
      items: The items as they are.
    """

    era: int = 0
    items: list[storereplies.State] = dataclasses.field(default_factory=list)


class _Client:
    """The HTTP client of one store.

    Attributes:
      era: The newest era that an answer reported; None before the first.
      unanswered_at: When the earliest unanswered call since the store's last
        answer was sent, ms; None if there is none.
      counts: Number of calls by kind.
    """

    def __init__(self, address: str, clock: clocks.Clock, logger: logs.Logger):
        self._address = address
        self._logger = logger
        self._lock = threading.Lock()
        self.era: int | None = None
        self.unanswered_at: float | None = None
        self._clock = clock
        self._restore_callback: Callable[[], None] = lambda: None
        # Watches have a connection pool of their own, so that a waiting watch
        # never takes a connection that other calls need.
        self._caller = httpclient.Client(clock, 4, KEEPALIVE_OPTIONS)
        self._watch_caller = httpclient.Client(clock, 1, KEEPALIVE_OPTIONS)
        self.counts: collections.Counter[str] = collections.Counter()

    def call(
        self,
        method: str,
        target: str,
        decode: Callable[[bytes], _T | outcomes.Failed],
        body: Mapping | None = None,
        timeout_ms: float = CALL_TIMEOUT_MS
    ) -> pages.StoreAnswer[_T] | outcomes.Failed:
        """Sends a call; returns the answer if its status is 200.

        Args:
          method: HTTP method.
          target: Path and query.
          decode: Decodes the body of the answer.
          body: Fields to send, or None.
          timeout_ms: Timeout of the call.
        """
        self.counts[_find_kind(target)] += 1
        data = None if body is None else json.dumps(body).encode()
        caller = (self._caller
                  if timeout_ms == CALL_TIMEOUT_MS else self._watch_caller)
        # A watch isn't answered before a change, so it counts as unanswered
        # only when it fails.
        if timeout_ms == CALL_TIMEOUT_MS:
            self._record_unanswered_call(self._clock.now())
        reply = caller.call(
            self._address,
            httpclient.Request(method, target, data,
                               {'Content-Type': 'application/json'}),
            timeout_ms)
        if isinstance(reply, outcomes.Failed):
            self._record_unanswered_call(self._clock.now())
            return reply
        if reply.status not in (429, 503):
            self.unanswered_at = None
        era = self._read_era(reply)
        if era is None:
            return self._refuse(
                target,
                outcomes.Failed(_Reason.INVALID,
                                f'invalid {_ERA_HEADER} header'))
        reason = _REASONS.get(reply.status, _Reason.STORE_UNAVAILABLE)
        if reply.status == 200:
            found = decode(reply.body)
        elif reason is _Reason.CONFLICT:
            found = storereplies.read_conflict(reply.body)
        else:
            return outcomes.Failed(reason,
                                   reply.body.decode('utf-8', 'replace'))
        if isinstance(found, outcomes.Failed):
            return self._refuse(target, found)
        if isinstance(found, storereplies.Conflict):
            return _Conflict(reason, '', era, found.items)
        return pages.StoreAnswer(era, found)

    def _refuse(self, target: str, failed: outcomes.Failed) -> outcomes.Failed:
        """Logs a reply that isn't one to the call; returns the failure."""
        self._logger.warning('store_reply_refused',
                             call=_find_kind(target),
                             reason=failed.detail)
        return failed

    def _record_unanswered_call(self, sent_at: float) -> None:
        with self._lock:
            if self.unanswered_at is None:
                self.unanswered_at = sent_at

    def find_silence_ms(self) -> float:
        """Returns for how long the store has answered no call, ms."""
        unanswered_at = self.unanswered_at
        return (0.0 if unanswered_at is None else self._clock.now() -
                unanswered_at)

    def _read_era(self, reply: httpclient.Reply) -> int | None:
        """Records and returns the era of an answer; None if it is invalid.

        An answer without an era is of the newest known era.
        """
        text = reply.headers.get(_ERA_HEADER)
        if text is None:
            return self.era or 0
        if not _ERA_FORMAT.fullmatch(text) or int(text) > revisions.MAX_ERA:
            return None
        self._record_era(int(text))
        return int(text)

    def _record_era(self, era: int) -> None:
        with self._lock:
            previous = self.era
            if previous is not None and era <= previous:
                return
            self.era = era
        if previous is not None:
            self._logger.warning('store_restored', era=era, before=previous)
            self._restore_callback()

    def on_restore(self, callback: Callable[[], None]) -> None:
        """Sets the callable that is called when the era has risen."""
        self._restore_callback = callback

    def is_from_earlier_era(self, revision: int) -> bool:
        """Returns whether the store was restored since a revision.

        A restored store may assign the revision's number again.
        """
        return self.era is not None and revisions.find_era(revision) < self.era

    def compare_and_swap(self, key: str, value: bytes, revision: int,
                         lease: int) -> int | outcomes.Failed:
        """Writes a key if it is at a revision; returns the new revision.

        The store may still execute a call that it didn't answer. Such a call is
        repeated until its outcome is certain; else its failure is returned.

        Args:
          key: The key.
          value: Its new value.
          revision: The revision that the key must be at; 0 if it must not
            exist.
          lease: The lease with whose end the key is deleted; 0: none.
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
        last_unanswered: outcomes.Failed | None = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            if revision and self.is_from_earlier_era(revision):
                return outcomes.Failed(
                    _Reason.CONFLICT,
                    'the store was restored from an older copy')
            answer = self.call('POST', '/-/kv-txn', storereplies.read_written,
                               body)
            if not isinstance(answer, outcomes.Failed):
                return revisions.combine(answer.era, answer.reply.rev)
            if isinstance(answer, _Conflict):
                own_write = _find_own(answer, key, value)
                if own_write is None:
                    return outcomes.Failed(
                        _Reason.CONFLICT, 'another client wrote the key first')
                if own_write.lease == lease:
                    return revisions.combine(answer.era, own_write.rev)
                # A restored store may hold our write under a lease that has
                # ended: write it again.
                body['ExpectRev'][0]['Rev'] = own_write.rev
                continue
            if answer.reason is _Reason.INVALID:
                answer = outcomes.Failed(_Reason.CONNECTION_LOST, answer.detail)
            if answer.reason not in (_Reason.TIMED_OUT,
                                     _Reason.CONNECTION_LOST):
                # A rejected attempt says nothing about an earlier unanswered
                # one, which may still be executed.
                return last_unanswered or answer
            last_unanswered = answer
        return last_unanswered or outcomes.Failed(
            _Reason.CONFLICT, 'every attempt met another revision')

    def delete(self, key: str, revision: int) -> outcomes.Failed | None:
        """Deletes a key if it is at a revision; returns None if it did."""
        if self.is_from_earlier_era(revision):
            return outcomes.Failed(_Reason.CONFLICT,
                                   'the store was restored from an older copy')
        row = {'Key': key, 'Rev': revisions.find_number(revision)}
        answer = self.call('POST', '/-/kv-txn', storereplies.ignore_body, {
            'ExpectRev': [row],
            'Writes': [],
            'Delete': [key]
        })
        return answer if isinstance(answer, outcomes.Failed) else None


def _find_kind(target: str) -> str:
    path, _, query = target.partition('?')
    kind = _KINDS[path.split('/')[2]]
    stale = kind == 'read_page' and pages.ALLOW_STALE in query
    return _STALE_PAGE_KIND if stale else kind


def _find_own(conflict: _Conflict, key: str,
              value: bytes) -> storereplies.State | None:
    """Finds this client's own earlier write whose answer was lost.

    Args:
      conflict: The failure of a repeated write.
      key: The key to write.
      value: The value to write.

    Returns:
      The key's state if it holds the value; None if another client wrote it.
    """
    return next((item for item in conflict.items
                 if item.rev and item.key == key and item.value == value), None)


def _read_page(
        client: _Client,
        target: str) -> pages.StoreAnswer[storereplies.Page] | outcomes.Failed:
    return client.call('GET',
                       target,
                       storereplies.read_page,
                       timeout_ms=PAGE_TIMEOUT_MS)


def _read_entries(client: _Client,
                  view: views.View) -> list[ports.Peer] | outcomes.Failed:
    full_read = pages.read_all(functools.partial(_read_page, client),
                               views.ENTRIES,
                               stale=True)
    if isinstance(full_read, outcomes.Failed):
        return full_read
    return view.read_peers(full_read.items)


def _save_suspect(client: _Client, clock: clocks.Clock,
                  suspect: ports.SavedSuspect) -> outcomes.Failed | None:
    result = client.compare_and_swap(views.SUSPECTS + suspect.fingerprint.hex(),
                                     documents.write_suspect(suspect, clock),
                                     suspect.revision, 0)
    return result if isinstance(result, outcomes.Failed) else None


def _delete_suspect(client: _Client,
                    suspect: ports.SavedSuspect) -> outcomes.Failed | None:
    return client.delete(views.SUSPECTS + suspect.fingerprint.hex(),
                         suspect.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTimes:
    """Wait time and timeout of watches.

    Attributes:
      wait_ms: For how long the store waits for a change before it answers.
      timeout_ms: When a watch without an answer counts as lost.
    """

    wait_ms: float
    timeout_ms: float


def make_watch_times(limits: staleness.Limits, link_mbps: float) -> WatchTimes:
    """Returns the wait time and timeout of watches.

    Args:
      limits: The limits on the age of an entry's data.
      link_mbps: Bandwidth of this machine's link, Mbit/s. The timeout allows
        for the transfer of the largest value.
    """
    transfer_ms = _MAX_VALUE_MBITS / link_mbps * clocks.MS_PER_S
    return WatchTimes(
        limits.watch_wait_ms,
        limits.watch_wait_ms + limits.watch_reply_ms + transfer_ms)


def _make_watch(
    client: _Client, view: views.View, times: WatchTimes
) -> Callable[[ports.StoreSnapshot], ports.StoreSnapshot | outcomes.Failed]:

    def watch(
            snapshot: ports.StoreSnapshot
    ) -> ports.StoreSnapshot | outcomes.Failed:
        if client.is_from_earlier_era(snapshot.revision):
            return outcomes.Failed(_Reason.NOT_FOUND,
                                   'the store was restored from an older copy')
        query = urllib.parse.urlencode({
            'Prefix': '',
            'after': revisions.find_number(snapshot.revision),
            'WaitMs': int(times.wait_ms)
        })
        answer = client.call('GET',
                             f'/-/kv-watch?{query}',
                             storereplies.read_events,
                             timeout_ms=times.timeout_ms)
        if isinstance(answer, outcomes.Failed):
            return answer
        if answer.era != revisions.find_era(snapshot.revision):
            return outcomes.Failed(_Reason.NOT_FOUND,
                                   'the store was restored from an older copy')
        reply = answer.reply
        items = [
            storereplies.make_item(row, answer.era) for row in reply.events
        ]
        return view.apply(items, revisions.combine(answer.era,
                                                   reply.current_rev))

    return watch


_DEFAULT_WATCH_TIMES = make_watch_times(staleness.make_limits(), 1_000.0)


def connect_store(address: str,
                  clock: clocks.Clock,
                  logger: logs.Logger,
                  watch_times: WatchTimes | None = None) -> ports.Store:
    """Returns a client of the store at an address.

    Args:
      address: host:port.
      clock: This process's clock.
      logger: Logs restores of the store and items that don't parse.
      watch_times: Wait time and timeout of watches.
    """
    client = _Client(address, clock, logger)
    view = views.View(clock, logger)

    def load() -> ports.StoreSnapshot | outcomes.Failed:
        full_read = pages.read_all(functools.partial(_read_page, client))
        if isinstance(full_read, outcomes.Failed):
            return full_read
        known_revision = view.find_revision()
        if full_read.revision < known_revision:
            logger.warning('store_behind',
                           revision=revisions.format_revision(
                               full_read.revision),
                           known=revisions.format_revision(known_revision))
        return view.replace(full_read.items, full_read.revision)

    def load_configuration() -> ports.StoreSnapshot | outcomes.Failed:
        query = urllib.parse.urlencode({'Key': views.CONFIGURATION})
        answer = client.call('GET',
                             f'/-/kv-key?{query}',
                             storereplies.read_row,
                             timeout_ms=PAGE_TIMEOUT_MS)
        if isinstance(answer, outcomes.Failed):
            return answer
        return view.apply([storereplies.make_item(answer.reply, answer.era)], 0)

    def open_lease(ttl_ms: float) -> ports.Lease | outcomes.Failed:
        answer = client.call('POST', '/-/kv-lease',
                             storereplies.read_opened_lease,
                             {'TtlMs': int(ttl_ms)})
        if isinstance(answer, outcomes.Failed):
            return answer
        return ports.Lease(answer.reply.lease, answer.reply.ttl_ms)

    def keep_lease(lease: ports.Lease) -> outcomes.Failed | None:
        answer = client.call('POST', f'/-/kv-keep/{lease.id}',
                             storereplies.ignore_body)
        return answer if isinstance(answer, outcomes.Failed) else None

    def end_lease(lease: ports.Lease) -> outcomes.Failed | None:
        answer = client.call('DELETE', f'/-/kv-lease-end/{lease.id}',
                             storereplies.ignore_body)
        return answer if isinstance(answer, outcomes.Failed) else None

    def claim_role(service: str, coordinator: ports.Peer, lease: ports.Lease,
                   replaced_revision: int) -> outcomes.Failed | None:
        result = client.compare_and_swap(views.COORDINATORS + service,
                                         documents.write_peer(coordinator),
                                         replaced_revision, lease.id)
        return result if isinstance(result, outcomes.Failed) else None

    def register(peer: ports.Peer,
                 lease: ports.Lease) -> outcomes.Failed | None:
        result = client.compare_and_swap(views.ENTRIES + peer.instance,
                                         documents.write_peer(peer), 0,
                                         lease.id)
        return result if isinstance(result, outcomes.Failed) else None

    def save(assignment: keyranges.Assignment,
             revision: int) -> int | outcomes.Failed:
        value = documents.write_assignment(assignment, secrets.token_hex(8))
        return client.compare_and_swap(views.ASSIGNMENTS + assignment.service,
                                       value, revision, 0)

    def load_assignment(
            service: str) -> ports.SavedAssignment | None | outcomes.Failed:
        query = urllib.parse.urlencode({'Key': views.ASSIGNMENTS + service})
        answer = client.call('GET', f'/-/kv-key?{query}', storereplies.read_row)
        if isinstance(answer, outcomes.Failed):
            is_absent = answer.reason is _Reason.NOT_FOUND
            return None if is_absent else answer
        item = storereplies.make_item(answer.reply, answer.era)
        try:
            return views.make_assignment_reader(item)(item.value or b'')
        except ValueError as error:
            logger.warning('assignment_refused',
                           service=service,
                           reason=str(error))
            return outcomes.Failed(_Reason.INVALID, str(error))

    return ports.Store(load=load,
                       load_configuration=load_configuration,
                       list_entries=functools.partial(_read_entries, client,
                                                      view),
                       watch=_make_watch(client, view, watch_times or
                                         _DEFAULT_WATCH_TIMES),
                       open_lease=open_lease,
                       keep_lease=keep_lease,
                       end_lease=end_lease,
                       claim_coordination=claim_role,
                       register=register,
                       load_assignment=load_assignment,
                       encode_news=view.encode_changes,
                       merge_news=view.merge_news,
                       dump=view.dump,
                       restore=view.restore,
                       save=save,
                       save_suspect=functools.partial(_save_suspect, client,
                                                      clock),
                       delete_suspect=functools.partial(_delete_suspect,
                                                        client),
                       find_unanswered_ms=client.find_silence_ms,
                       find_era=lambda: client.era or 0,
                       on_restore=client.on_restore,
                       count_calls=lambda: dict(client.counts))
