"""An entry's local copy of the store, merged from several sources.

Full reads, watches and the news of other entries may overlap and arrive in any
order. Each item carries the revision of its last change, so that an older item
never replaces a newer one. After a restore of the store everything is read
again: the copy is replaced as a whole, and changes from before the restore are
no longer sent to other entries.
"""

import base64
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import json
import re
import threading
import zlib

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor.edge import ports
from lentilmoor.edge import revisions
from lentilmoor.edge import tables
from lentilmoor.platform import documents

CONFIGURATION = 'op/config'
SERVERS = 'servers/'
COORDINATORS = 'lentilmoor/coordinator/'
ASSIGNMENTS = 'lentilmoor/assignment/'
ENTRIES = 'lentilmoor/entry/'
SUSPECTS = 'lentilmoor/suspect/'

# Keys whose last change is kept as news for other entries: some minutes' worth
# at a busy time.
MAX_NEWS = 500
# Deleted keys whose revision is kept, so that an older change that arrives late
# can't restore them.
MAX_DELETED_KEYS = 1_000
# Low: one large machine compresses for many entries at once, and the slow part
# is the link of the entry that asks.
COMPRESSION_LEVEL = 1
# Values of at least this size are compressed before they are sent as base64.
COMPRESSION_THRESHOLD_BYTES = 1_000
# Most entries ask for the same news, so the latest encodings are cached.
MAX_CACHED_NEWS = 8
# Registrations of servers and entries that are larger are refused unread.
MAX_RECORD_BYTES = 64 * 1024
MAX_SUSPECT_BYTES = 1024 * 1024
# An assignment of one range per key is smaller, and so is any item that the
# store returns.
MAX_VALUE_BYTES = 16 * 1024 * 1024
# Size of news or of a dump, unpacked.
MAX_UNPACKED_BYTES = 32 * 1024 * 1024
MAX_REVISION = 2**63 - 1
MAX_KEY_LENGTH = 512
# Longer reasons are cut in log lines.
MAX_REASON_LENGTH = 200
# Keys whose last refusal is kept, so that it is logged once.
MAX_REFUSALS = 1_000
# The end of a warm-up that heartbeats report varies with their latency.
WARMUP_TOLERANCE_MS = 1_000.0

_MAX_BYTES = {
    SERVERS: MAX_RECORD_BYTES,
    COORDINATORS: MAX_RECORD_BYTES,
    ENTRIES: MAX_RECORD_BYTES,
    SUSPECTS: MAX_SUSPECT_BYTES,
    ASSIGNMENTS: MAX_VALUE_BYTES
}
# Names in keys are sent in headers. A key that ends with a slash has no name.
_KEY_PATTERN = re.compile(rf'[!-~]{{0,{MAX_KEY_LENGTH - 1}}}[!-.0-~]')

_EMPTY_SNAPSHOT = ports.StoreSnapshot(None, {}, {}, {}, {}, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value, or its deletion.

    Attributes:
      key: The key.
      value: The value; None if the key was deleted.
      revision: The store's revision of the key's last change.
    """

    key: str
    value: bytes | None
    revision: int


def read_item(row: Mapping, era: int = 0) -> Item:
    """Decodes an item or a watch event.

    Args:
      row: The item, as the store or another entry encoded it.
      era: The store's era. Other entries send revisions that include the era;
        for their items it is 0.

    Raises:
      ValueError: The item can't be decoded.
    """
    try:
        return _decode_item(row, era)
    except (zlib.error, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'no item: {error!r}') from error


def _decode_item(row: Mapping, era: int) -> Item:
    key, revision = row['Key'], row['Rev']
    if not isinstance(key, str):
        raise ValueError('the key is no text')
    _check_revision(revision)
    value = None
    if 'Packed' in row:
        value = _unpack(base64.b64decode(row['Packed']), MAX_VALUE_BYTES)
    elif not row.get('Tombstone'):
        value = base64.b64decode(row.get('Value', ''))
    return Item(key, value, revisions.combine(era, revision))


def _check_revision(revision: object) -> None:
    if (not isinstance(revision, int) or isinstance(revision, bool) or
            not 0 <= revision <= MAX_REVISION):
        raise ValueError('the revision is no number of 63 bits')


def _unpack(data: bytes, max_bytes: int) -> bytes:
    """Decompresses data, which may be made to become too large.

    Raises:
      ValueError: It is larger than `max_bytes`, or incomplete.
      zlib.error: It isn't compressed.
    """
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(data, max_bytes + 1)
    if len(unpacked) > max_bytes:
        raise ValueError(f'unpacked, it has more than {max_bytes} bytes')
    if not decompressor.eof:
        raise ValueError('the compressed data is incomplete')
    return unpacked


def write_item(item: Item) -> dict[str, object]:
    """Encodes an item in the store's format; its revision includes the era."""
    row: dict[str, object] = {'Key': item.key, 'Rev': item.revision}
    if item.value is None:
        return row | {'Tombstone': True}
    return row | {'Value': base64.b64encode(item.value).decode()}


def _pack_item(item: Item) -> dict[str, object]:
    """Encodes an item for other entries and compresses a large value."""
    if item.value is None or len(item.value) < COMPRESSION_THRESHOLD_BYTES:
        return write_item(item)
    packed = zlib.compress(item.value, COMPRESSION_LEVEL)
    return {
        'Key': item.key,
        'Rev': item.revision,
        'Packed': base64.b64encode(packed).decode()
    }


class View:
    """A thread-safe copy of the store's items, with the latest snapshot."""

    def __init__(self, clock: clocks.Clock, logger: logs.Logger):
        self._clock = clock
        self._logger = logger
        self._snapshot = _EMPTY_SNAPSHOT
        # The latest registration of each server, by the name in its key. It
        # outlives the deletion of the key.
        self._servers_by_name: dict[str, tables.Server] = {}
        self._items: dict[str, Item] = {}
        # The reason of the last refusal, by key.
        self._refusals: dict[str, str] = {}
        self._deleted_revisions: collections.OrderedDict[
            str, int] = collections.OrderedDict()
        # The last change of each key, in the order in which they were applied,
        # and the revision since which they are complete.
        self._news: dict[str, Item] = {}
        self._news_base_revision = 0
        self._encoded_news: dict[tuple[int, float, bool], bytes] = {}
        self._lock = threading.RLock()

    def find_revision(self) -> int:
        """Returns the revision up to which the copy has all changes."""
        with self._lock:
            return self._snapshot.revision

    def replace(self, items: Iterable[Item],
                revision: int) -> ports.StoreSnapshot:
        """Replaces the copy by all that a full read or a full dump holds.

        Args:
          items: All items.
          revision: The store's revision before the first item was read.

        Returns:
          The new snapshot. Items that changed after that revision stay.
        """
        items = list(items)
        with self._lock:
            was_restored = (revisions.find_era(revision)
                            > revisions.find_era(self._snapshot.revision))
            if was_restored or not self._items:
                self._news.clear()
                self._news_base_revision = revision
            found_keys = {item.key for item in items}
            # Assignments are never deleted, and news leave them out: another
            # entry's dump may lack one that this copy has.
            deletions = [
                Item(key, None, revision)
                for key, item in self._items.items()
                if key not in found_keys and item.revision <= revision and
                (was_restored or not key.startswith(ASSIGNMENTS))
            ]
            items = sorted(deletions + items, key=lambda item: item.revision)
            return self.apply(items, revision)

    def apply(self, items: Iterable[Item],
              revision: int) -> ports.StoreSnapshot:
        """Applies changes and returns the new snapshot.

        Args:
          items: New, changed and deleted items, in order. Items of an earlier
            era are ignored.
          revision: The store's revision up to which these are all changes.
        """
        with self._lock:
            before = self._snapshot
            era = revisions.find_era(before.revision)
            updated = dataclasses.replace(
                before,
                servers=dict(before.servers),
                coordinators=dict(before.coordinators),
                assignments=dict(before.assignments),
                entries=dict(before.entries),
                suspects=dict(before.suspects),
                revision=max(before.revision, revision))
            for item in items:
                if (revisions.find_era(item.revision) < era or
                        self._is_known(item)):
                    continue
                if item.key == CONFIGURATION:
                    updated = self._apply_configuration(updated, item)
                    continue
                item = self._screen(item)
                if item is not None:
                    self._store_item(item)
                    updated = self._apply_item(updated, item)
            self._snapshot = updated
            return updated

    def encode_changes(self,
                       after: int,
                       max_configuration_bytes: float,
                       known_version: int | None = None) -> bytes | None:
        """Encodes the changes since a revision as news for another entry.

        Args:
          after: The revision.
          max_configuration_bytes: A configuration that is larger than this,
            when compressed, is left out.
          known_version: The version of the configuration that the other entry
            has. A newer configuration is included whenever it changed. None if
            the version isn't known.

        Returns:
          The news, compressed; None if the revision is too old.
        """
        with self._lock:
            if after < self._news_base_revision:
                return None
            needs_configuration = self._is_configuration_newer(known_version)
            news = self._encoded_news.get(
                (after, max_configuration_bytes, needs_configuration))
            if news is None:
                items = _select_changes(self._news.values(), after)
                if needs_configuration and all(
                        item.key != CONFIGURATION for item in items):
                    items.append(self._items[CONFIGURATION])
                news = _encode_news(items, max_configuration_bytes)
                if len(self._encoded_news) >= MAX_CACHED_NEWS:
                    del self._encoded_news[next(iter(self._encoded_news))]
                self._encoded_news[after, max_configuration_bytes,
                                   needs_configuration] = news
            return news

    def _is_configuration_newer(self, version: int | None) -> bool:
        """Returns whether the copy has a configuration newer than a version."""
        current = self._snapshot.configuration
        return (version is not None and current is not None and
                current.version > version and CONFIGURATION in self._items)

    def merge_news(self, data: bytes,
                   revision: int) -> ports.StoreSnapshot | None:
        """Applies another entry's news; returns None if it doesn't parse."""
        try:
            items = _decode_news(data)
        except (zlib.error, ValueError) as error:
            self._logger.warning('news_refused',
                                 reason=str(error)[:MAX_REASON_LENGTH])
            return None
        return self.apply(items, revision)

    def dump(self, after: int) -> bytes:
        """Encodes the copy, in the store's format, for another entry.

        Args:
          after: A revision. Only the changes since are returned, or everything
            if the revision is too old.
        """
        with self._lock:
            fields: dict[str, object] = {'CurrentRev': self._snapshot.revision}
            items: list[Item] = list(self._items.values())
            if after >= self._news_base_revision:
                fields['Since'] = after
                items = self._list_changes(after)
        fields['items'] = [write_item(item) for item in items]
        return zlib.compress(json.dumps(fields).encode(), COMPRESSION_LEVEL)

    def _list_changes(self, after: int) -> list[Item]:
        """Returns the changes since a revision, without heartbeats."""
        assignments = [
            item for key, item in self._items.items()
            if key.startswith(ASSIGNMENTS)
        ]
        return _select_changes((*self._news.values(), *assignments), after)

    def restore(self, data: bytes) -> ports.StoreSnapshot | None:
        """Applies another entry's dump.

        Returns:
          The new snapshot; None if the dump doesn't parse, holds nothing newer,
          or begins later than this copy ends.
        """
        try:
            items, revision, since = _decode_dump(data)
        except (zlib.error, ValueError) as error:
            self._logger.warning('dump_refused',
                                 reason=str(error)[:MAX_REASON_LENGTH])
            return None
        with self._lock:
            known_revision = self._snapshot.revision
            if since is not None:
                is_newer = since <= known_revision < revision
                return self.apply(items, revision) if is_newer else None
            # Items too large for news may be missing here below any revision,
            # so a full dump is also applied if its revision isn't newer.
            if revision <= known_revision and all(map(self._is_known, items)):
                return None
            return self.replace(items, revision)

    def _is_known(self, item: Item) -> bool:
        known = self._items.get(item.key)
        if item.key == CONFIGURATION:
            return known is not None and (known.revision == item.revision and
                                          known.value == item.value)
        revision = known.revision if known else self._deleted_revisions.get(
            item.key, 0)
        return item.revision <= revision

    def _screen(self, item: Item) -> Item | None:
        """Returns an item that may be kept and sent to other entries.

        Returns:
          None if the key is invalid. A value that is too large is left out:
          nothing accepts an empty one.
        """
        if not _KEY_PATTERN.fullmatch(item.key):
            if item.value is not None:
                self._log_refusal('key_refused',
                                  item,
                                  'an invalid key',
                                  key=item.key[:MAX_REASON_LENGTH])
            return None
        if item.value is None or len(item.value) <= MAX_RECORD_BYTES:
            return item
        max_bytes = next((size for prefix, size in _MAX_BYTES.items()
                          if item.key.startswith(prefix)), MAX_VALUE_BYTES)
        if len(item.value) > max_bytes:
            return dataclasses.replace(item, value=b'')
        return item

    def _store_item(self, item: Item) -> None:
        if item.value is not None:
            self._deleted_revisions.pop(item.key, None)
            self._items[item.key] = item
            return
        self._items.pop(item.key, None)
        self._deleted_revisions[item.key] = item.revision
        if len(self._deleted_revisions) > MAX_DELETED_KEYS:
            self._deleted_revisions.popitem(last=False)

    def _apply_item(self, snapshot: ports.StoreSnapshot,
                    item: Item) -> ports.StoreSnapshot:
        """Applies one item to a snapshot whose dictionaries may be changed."""
        if item.key.startswith(SERVERS):
            if not self._apply_server(snapshot.servers, item):
                return snapshot
        elif item.key.startswith(COORDINATORS):
            self._apply_entry(snapshot.coordinators, item, COORDINATORS,
                              make_peer_reader(item))
        elif item.key.startswith(ASSIGNMENTS):
            self._apply_entry(snapshot.assignments, item, ASSIGNMENTS,
                              make_assignment_reader(item))
            return snapshot
        elif item.key.startswith(ENTRIES):
            self._apply_entry(snapshot.entries, item, ENTRIES,
                              make_peer_reader(item))
        elif item.key.startswith(SUSPECTS):
            self._apply_entry(snapshot.suspects, item, SUSPECTS,
                              self._make_suspect_reader(item))
        self._add_news(item)
        return dataclasses.replace(snapshot,
                                   required_revision=max(
                                       snapshot.required_revision,
                                       item.revision))

    def _add_news(self, item: Item) -> None:
        """Adds a change to the news.

        An earlier one of its key is dropped, as it would never be sent; large
        values that change often would fill the memory.
        """
        self._encoded_news.clear()
        previous = self._news.pop(item.key, None)
        if previous is not None and previous.revision > item.revision:
            item = previous
        self._news[item.key] = item
        while len(self._news) > MAX_NEWS:
            dropped = self._news.pop(next(iter(self._news)))
            self._news_base_revision = max(self._news_base_revision,
                                           dropped.revision)

    def _apply_configuration(self, snapshot: ports.StoreSnapshot,
                             item: Item) -> ports.StoreSnapshot:
        """Applies the configuration if its version is newer.

        Its revision doesn't decide, as a restored store may hold an older
        configuration at a newer revision. The configuration in force then
        passes for the store's: it is sent to other entries at that revision.
        """
        known, before = self._items.get(CONFIGURATION), snapshot.configuration
        newest = before
        if item.value is not None and (known is None or
                                       item.value != known.value):
            newest = self._read_configuration(item, before)
        if newest is before:
            if known is not None and known.revision < item.revision:
                self._store_item(
                    dataclasses.replace(known, revision=item.revision))
            return snapshot
        self._store_item(item)
        self._add_news(item)
        return dataclasses.replace(snapshot,
                                   configuration=newest,
                                   required_revision=max(
                                       snapshot.required_revision,
                                       item.revision))

    def _read_configuration(
            self, item: Item,
            before: tables.Configuration | None) -> tables.Configuration | None:
        """Parses a configuration.

        Returns:
          The item's configuration; the one in force if the item doesn't parse
          or has a lower version.
        """
        found = documents.parse_configuration(item.value)
        if isinstance(found, str):
            self._log_refusal('configuration_refused', item, found)
            return before
        self._refusals.pop(item.key, None)
        if before is not None and found.version < before.version:
            self._logger.warning('configuration_older',
                                 version=found.version,
                                 in_force=before.version)
            return before
        return found

    def _apply_entry(self, entries: dict, item: Item, prefix: str,
                     read: Callable[[bytes], object]) -> None:
        """Applies an item that entries wrote, by its key without the prefix.

        If it doesn't parse, it is logged and the last valid one stays.
        """
        name = item.key.removeprefix(prefix)
        if item.value is None:
            entries.pop(name, None)
            return
        try:
            entries[name] = read(item.value)
        except ValueError as error:
            self._log_refusal('entry_refused', item, str(error), key=item.key)
        else:
            self._refusals.pop(item.key, None)

    def _apply_server(self, servers: dict[str, tables.Server],
                      item: Item) -> bool:
        """Applies a server's registration.

        Returns:
          Whether anything changed that a heartbeat alone doesn't change.
        """
        name = item.key.removeprefix(SERVERS)
        known = self._servers_by_name.get(name)
        if item.value is None:
            return known is not None and servers.pop(known.id, None) is not None
        now = self._clock.now()
        server = documents.parse_server(name, item.value, now)
        if isinstance(server, str):
            self._log_refusal('server_entry_refused', item, server, server=name)
            return known is not None and servers.pop(known.id, None) is not None
        if known is not None and known.id == server.id:
            # A restored store may hold a registration from before the server
            # began to drain.
            server = dataclasses.replace(
                server,
                seen_at=known.seen_at,
                draining=known.draining or server.draining,
                draining_at=(known.draining_at
                             if known.draining else server.draining_at))
            if _is_heartbeat(known, server, now):
                server = known
        elif known is not None and tables.has_replaced(known, server):
            self._log_refusal('server_entry_refused',
                              item,
                              'registered by an earlier process',
                              server=name)
            return False
        elif known is not None:
            servers.pop(known.id, None)
        self._refusals.pop(item.key, None)
        changed = servers.get(server.id) is not server
        self._servers_by_name[name] = servers[server.id] = server
        return changed

    def _make_suspect_reader(
            self, item: Item) -> Callable[[bytes], ports.SavedSuspect]:

        def read(data: bytes) -> ports.SavedSuspect:
            fingerprint = bytes.fromhex(item.key.removeprefix(SUSPECTS))
            return documents.read_suspect(fingerprint, data, item.revision,
                                          self._clock)

        return read

    def read_peers(self, items: Iterable[Item]) -> list[ports.Peer]:
        """Parses the registrations of entries; skips those that don't parse.

        Args:
          items: The items; the copy doesn't change.
        """
        peers: dict[str, ports.Peer] = {}
        with self._lock:
            for item in filter(None, map(self._screen, items)):
                self._apply_entry(peers, item, ENTRIES, documents.read_peer)
        return list(peers.values())

    def _log_refusal(self, event: str, item: Item, reason: str,
                     **fields: object) -> None:
        """Logs why an item is refused, unless the last line of its key did."""
        reason, key = reason[:MAX_REASON_LENGTH], item.key[:MAX_KEY_LENGTH]
        if self._refusals.pop(key, None) != reason:
            self._logger.error(event,
                               revision=revisions.format_revision(
                                   item.revision),
                               reason=reason,
                               **fields)
        self._refusals[key] = reason
        if len(self._refusals) > MAX_REFUSALS:
            del self._refusals[next(iter(self._refusals))]


def _is_heartbeat(known: tables.Server, found: tables.Server,
                  now: float) -> bool:
    """Returns whether only the remaining warm-up time has changed."""
    is_same_otherwise = dataclasses.replace(
        found, warmup_ends_at=known.warmup_ends_at) == known
    return is_same_otherwise and found.warmup_ends_at < max(
        known.warmup_ends_at, now) + WARMUP_TOLERANCE_MS


def _select_changes(items: Iterable[Item], after: int) -> list[Item]:
    """Returns the items that changed since a revision, in order."""
    return sorted((item for item in items if item.revision > after),
                  key=lambda item: item.revision)


def _encode_news(items: Iterable[Item],
                 max_configuration_bytes: float) -> bytes:
    rows = [
        row for item in items
        if len((row := _pack_item(item)).get('Packed', row.get('Value', ''))) <=
        max_configuration_bytes or item.key != CONFIGURATION
    ]
    return zlib.compress(json.dumps(rows).encode(),
                         COMPRESSION_LEVEL) if rows else b''


def _decode_news(data: bytes) -> list[Item]:
    """Decodes news; entries of an earlier release send them uncompressed.

    Raises:
      ValueError: The news or one of their items can't be decoded. Without it,
        the rest isn't all that changed.
      zlib.error: The news can't be unpacked.
    """
    if data and data[:1] != b'[':
        data = _unpack(data, MAX_UNPACKED_BYTES)
    rows = _parse_json(data or b'[]')
    if not isinstance(rows, list):
        raise ValueError('the news are no list')
    return [read_item(row) for row in rows]


def _decode_dump(data: bytes) -> tuple[list[Item], int, int | None]:
    """Decodes a dump.

    Returns:
      The items, the revision, and the revision from which these are all
      changes; None if these are all items.

    Raises:
      ValueError: The dump or one of its items can't be decoded.
      zlib.error: The dump can't be unpacked.
    """
    fields = _parse_json(_unpack(data, MAX_UNPACKED_BYTES))
    if not isinstance(fields, dict) or not isinstance(fields.get('items'),
                                                      list):
        raise ValueError('the dump has no items')
    revision, since = fields.get('CurrentRev'), fields.get('Since')
    _check_revision(revision)
    if since is not None:
        _check_revision(since)
    return [read_item(row) for row in fields['items']], revision, since


def _parse_json(data: bytes) -> object:
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError('nested too deeply') from error


def make_assignment_reader(
        item: Item) -> Callable[[bytes], ports.SavedAssignment]:
    """Returns a parser of an assignment that sets its revision."""

    def read(data: bytes) -> ports.SavedAssignment:
        assignment = documents.read_assignment(data)
        if assignment.service != item.key.removeprefix(ASSIGNMENTS):
            raise ValueError('the key is that of another service')
        return ports.SavedAssignment(assignment, item.revision)

    return read


def make_peer_reader(item: Item) -> Callable[[bytes], ports.Peer]:
    """Returns a parser of an entry or coordinator that sets its revision."""
    return lambda data: dataclasses.replace(documents.read_peer(data),
                                            registration_revision=item.revision)
