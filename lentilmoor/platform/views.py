"""What an entry knows of the store, in whatever order it learns of it.

Whole reads, watches and other entries' news may overlap. Each item carries the
revision of its last change, so that what is older never replaces what is newer.
After a restore of the store everything is read anew: what was known before is
replaced as a whole, and isn't told to others any more.
"""

import base64
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import json
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

# Changes that are kept for others: some minutes of a busy day's.
MAX_NEWS = 500
# Deleted keys whose revision is kept, so that no older change brings them back.
MAX_DELETED_KEYS = 1_000
# Low, as many ask one large machine at once, and it is the link of who asks
# that is slow.
COMPRESSION_LEVEL = 1
# Values of more bytes are compressed before they are written as text.
COMPRESSION_THRESHOLD_BYTES = 1_000
# News that were told last are kept, as most ask for the same.
MAX_CACHED_NEWS = 8
# What a server says of its warming up varies by the way of its heartbeats.
WARMUP_TOLERANCE_MS = 1_000.0

_EMPTY_SNAPSHOT = ports.StoreSnapshot(None, {}, {}, {}, {}, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key of the store.

    Attributes:
      key: The key.
      value: Its value; None if it was deleted.
      revision: The store's revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


def read_item(row: Mapping, era: int = 0) -> Item:
    """Reads an item or an event.

    Args:
      row: The item, as the store or another entry wrote it.
      era: The store's era. Other entries write whole revisions, which need
        none.
    """
    value = None
    if 'Packed' in row:
        value = zlib.decompress(base64.b64decode(row['Packed']))
    elif not row.get('Tombstone'):
        value = base64.b64decode(row.get('Value', ''))
    return Item(row['Key'], value, revisions.combine(era, row['Rev']))


def write_item(item: Item) -> dict[str, object]:
    """Returns an item in the store's own form, with its whole revision."""
    row: dict[str, object] = {'Key': item.key, 'Rev': item.revision}
    if item.value is None:
        return row | {'Tombstone': True}
    return row | {'Value': base64.b64encode(item.value).decode()}


def _pack_item(item: Item) -> dict[str, object]:
    """Returns an item as it is told to other entries."""
    if item.value is None or len(item.value) < COMPRESSION_THRESHOLD_BYTES:
        return write_item(item)
    packed = zlib.compress(item.value, COMPRESSION_LEVEL)
    return {
        'Key': item.key,
        'Rev': item.revision,
        'Packed': base64.b64encode(packed).decode()
    }


class View:
    """What is known of the store; for many threads."""

    def __init__(self, clock: clocks.Clock, logger: logs.Logger):
        self._clock = clock
        self._logger = logger
        self._snapshot = _EMPTY_SNAPSHOT
        # The last entry of each server, by its key's name.
        self._servers_by_name: dict[str, tables.Server] = {}
        self._items: dict[str, Item] = {}
        self._deleted_revisions: collections.OrderedDict[
            str, int] = collections.OrderedDict()
        # News, and the revision since when they are complete.
        self._news: collections.deque[Item] = collections.deque()
        self._news_base_revision = 0
        self._encoded_news: dict[tuple[int, float, bool], bytes] = {}
        self._lock = threading.RLock()

    def find_revision(self) -> int:
        """Returns the revision up to which all changes are known."""
        with self._lock:
            return self._snapshot.revision

    def replace(self, items: Iterable[Item],
                revision: int) -> ports.StoreSnapshot:
        """Takes in all that the store holds.

        Args:
          items: The items.
          revision: The store's revision before the first was read.
        """
        items = list(items)
        with self._lock:
            restored = (revisions.find_era(revision)
                        > revisions.find_era(self._snapshot.revision))
            if restored or not self._items:
                self._news.clear()
                self._news_base_revision = revision
            found = {item.key for item in items}
            # Nobody deletes an assignment; news don't tell of a new one.
            gone = [
                Item(key, None, revision)
                for key, item in self._items.items()
                if key not in found and item.revision <= revision and
                (restored or not key.startswith(ASSIGNMENTS))
            ]
            items = sorted(gone + items, key=lambda item: item.revision)
            return self.apply(items, revision)

    def apply(self, items: Iterable[Item],
              revision: int) -> ports.StoreSnapshot:
        """Takes in changes; returns what is known then.

        Args:
          items: New, changed and deleted items, in order. Those of an earlier
            era are left out.
          revision: The store's revision up to which there are no others.
        """
        with self._lock:
            before = self._snapshot
            era = revisions.find_era(before.revision)
            changed = dataclasses.replace(
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
                    changed = self._apply_configuration(changed, item)
                    continue
                self._store_item(item)
                changed = self._apply_item(changed, item)
            self._snapshot = changed
            return changed

    def encode_news(self,
                    after: int,
                    room: float,
                    version: int | None = None) -> bytes | None:
        """Returns what has changed since a revision.

        Args:
          after: The revision.
          room: A configuration of more bytes, when compressed, is left out.
          version: Of the configuration that is known there; a newer one is told
            whenever it has changed. None if that isn't known.

        Returns:
          None if it isn't known.
        """
        with self._lock:
            if after < self._news_base_revision:
                return None
            lacks = self._is_configuration_newer(version)
            told = self._encoded_news.get((after, room, lacks))
            if told is None:
                items = _find_last_changes(self._news, after)
                if lacks and all(item.key != CONFIGURATION for item in items):
                    items.append(self._items[CONFIGURATION])
                told = _write_news(items, room)
                if len(self._encoded_news) >= MAX_CACHED_NEWS:
                    del self._encoded_news[next(iter(self._encoded_news))]
                self._encoded_news[after, room, lacks] = told
            return told

    def _is_configuration_newer(self, version: int | None) -> bool:
        """Returns whether the configuration is newer than a version."""
        known = self._snapshot.configuration
        return (version is not None and known is not None and
                known.version > version and CONFIGURATION in self._items)

    def merge_news(self, data: bytes,
                   revision: int) -> ports.StoreSnapshot | None:
        """Takes in what another entry told; None if it doesn't parse."""
        try:
            items = _read_news(data)
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            self._logger.warning('news_refused', reason=str(error))
            return None
        return self.apply(items, revision)

    def dump(self, after: int) -> bytes:
        """Returns what is known, in the store's own form.

        Args:
          after: A revision. What has changed since is returned, or all if that
            is too long ago to tell.
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
        """Returns what has changed since a revision, heartbeats left out."""
        saved = [
            item for key, item in self._items.items()
            if key.startswith(ASSIGNMENTS)
        ]
        return _find_last_changes((*self._news, *saved), after)

    def restore(self, data: bytes) -> ports.StoreSnapshot | None:
        """Returns what another entry knew; None if it knows nothing newer."""
        try:
            fields = json.loads(zlib.decompress(data))
            items = [read_item(row) for row in fields['items']]
            revision, since = fields['CurrentRev'], fields.get('Since')
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            self._logger.warning('dump_refused', reason=str(error))
            return None
        with self._lock:
            known = self._snapshot.revision
            if since is not None:
                news = since <= known < revision
                return self.apply(items, revision) if news else None
            # What was too large for news may be missing up to any revision.
            if revision <= known and all(map(self._is_known, items)):
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

    def _store_item(self, item: Item) -> None:
        if item.value is not None:
            self._deleted_revisions.pop(item.key, None)
            self._items[item.key] = item
            return
        self._items.pop(item.key, None)
        self._deleted_revisions[item.key] = item.revision
        if len(self._deleted_revisions) > MAX_DELETED_KEYS:
            self._deleted_revisions.popitem(last=False)

    def _apply_item(self, everything: ports.StoreSnapshot,
                    item: Item) -> ports.StoreSnapshot:
        """Takes one item in; the dictionaries are this call's own."""
        if item.key.startswith(SERVERS):
            if not self._apply_server(everything.servers, item):
                return everything
        elif item.key.startswith(COORDINATORS):
            self._apply_entry(everything.coordinators, item, COORDINATORS,
                              make_peer_reader(item))
        elif item.key.startswith(ASSIGNMENTS):
            self._apply_entry(everything.assignments, item, ASSIGNMENTS,
                              make_assignment_reader(item))
            return everything
        elif item.key.startswith(ENTRIES):
            self._apply_entry(everything.entries, item, ENTRIES,
                              make_peer_reader(item))
        elif item.key.startswith(SUSPECTS):
            self._apply_entry(everything.suspects, item, SUSPECTS,
                              self._make_suspect_reader(item))
        self._add_news(item)
        return dataclasses.replace(everything,
                                   required_revision=max(
                                       everything.required_revision,
                                       item.revision))

    def _add_news(self, item: Item) -> None:
        self._encoded_news.clear()
        self._news.append(item)
        while len(self._news) > MAX_NEWS:
            dropped = self._news.popleft()
            self._news_base_revision = max(self._news_base_revision,
                                           dropped.revision)

    def _apply_configuration(self, everything: ports.StoreSnapshot,
                             item: Item) -> ports.StoreSnapshot:
        """Takes in the configuration if its version is newer.

        Its revision doesn't tell, as a restored store may hold an older one.
        What is in force counts as the store's then, for those who ask.
        """
        known, before = self._items.get(CONFIGURATION), everything.configuration
        found = before
        if item.value is not None and (known is None or
                                       item.value != known.value):
            found = self._read_configuration(item, before)
        if found is before:
            if known is not None and known.revision < item.revision:
                self._store_item(
                    dataclasses.replace(known, revision=item.revision))
            return everything
        self._store_item(item)
        self._add_news(item)
        return dataclasses.replace(everything,
                                   configuration=found,
                                   required_revision=max(
                                       everything.required_revision,
                                       item.revision))

    def _read_configuration(
            self, item: Item,
            before: tables.Configuration | None) -> tables.Configuration | None:
        """Returns an item's configuration, or the one before if it is newer."""
        found = documents.parse_configuration(item.value)
        if isinstance(found, str):
            self._logger.error('configuration_refused',
                               revision=revisions.format_revision(
                                   item.revision),
                               reason=found)
            return before
        if before is not None and found.version < before.version:
            self._logger.warning('configuration_older',
                                 version=found.version,
                                 in_force=before.version)
            return before
        return found

    def _apply_entry(self, rows: dict, item: Item, prefix: str,
                     read: Callable[[bytes], object]) -> None:
        """Takes in an entry of our own, unless it does not parse.

        The last good one stays in force.
        """
        name = item.key.removeprefix(prefix)
        if item.value is None:
            rows.pop(name, None)
            return
        try:
            rows[name] = read(item.value)
        except ValueError as error:
            self._logger.error('entry_refused',
                               key=item.key,
                               revision=revisions.format_revision(
                                   item.revision),
                               reason=str(error))

    def _apply_server(self, servers: dict[str, tables.Server],
                      item: Item) -> bool:
        """Takes in a server's entry; returns if it is more than a heartbeat."""
        name = item.key.removeprefix(SERVERS)
        known = self._servers_by_name.get(name)
        if item.value is None:
            return known is not None and servers.pop(known.id, None) is not None
        now = self._clock.now()
        found = documents.parse_server(name, item.value, now)
        if isinstance(found, str):
            self._log_refused_server(name, item, found)
            return known is not None and servers.pop(known.id, None) is not None
        if known is not None and known.id == found.id:
            # A restored store may have lost that it is draining.
            found = dataclasses.replace(
                found,
                seen_at=known.seen_at,
                draining=known.draining or found.draining,
                draining_at=(known.draining_at
                             if known.draining else found.draining_at))
            if _is_heartbeat(known, found, now):
                found = known
        elif known is not None and tables.has_replaced(known, found):
            self._log_refused_server(name, item, 'of an earlier start')
            return False
        elif known is not None:
            servers.pop(known.id, None)
        changed = servers.get(found.id) is not found
        self._servers_by_name[name] = servers[found.id] = found
        return changed

    def _make_suspect_reader(
            self, item: Item) -> Callable[[bytes], ports.SavedSuspect]:

        def read(data: bytes) -> ports.SavedSuspect:
            fingerprint = bytes.fromhex(item.key.removeprefix(SUSPECTS))
            return documents.read_suspect(fingerprint, data, item.revision,
                                          self._clock)

        return read

    def read_peers(self, items: Iterable[Item]) -> list[ports.Peer]:
        """Returns the entries that registered; what doesn't parse names none.

        Args:
          items: Their items; they aren't taken in.
        """
        peers: dict[str, ports.Peer] = {}
        for item in items:
            self._apply_entry(peers, item, ENTRIES, documents.read_peer)
        return list(peers.values())

    def _log_refused_server(self, name: str, item: Item, reason: str) -> None:
        self._logger.error('server_entry_refused',
                           server=name,
                           revision=revisions.format_revision(item.revision),
                           reason=reason)


def _is_heartbeat(known: tables.Server, found: tables.Server,
                  now: float) -> bool:
    """Returns whether nothing has changed but what a heartbeat counts down."""
    same = dataclasses.replace(found,
                               warmup_ends_at=known.warmup_ends_at) == known
    return same and found.warmup_ends_at < max(known.warmup_ends_at,
                                               now) + WARMUP_TOLERANCE_MS


def _find_last_changes(items: Iterable[Item], after: int) -> list[Item]:
    """Returns the last change of each key since a revision, in order.

    Those before it would fill the links of all who are told.
    """
    last: dict[str, Item] = {}
    for item in items:
        known = last.get(item.key)
        if item.revision > after and (known is None or
                                      known.revision < item.revision):
            last[item.key] = item
    return sorted(last.values(), key=lambda item: item.revision)


def _write_news(items: Iterable[Item], room: float) -> bytes:
    rows = [
        row for item in items
        if len((row := _pack_item(item)).get('Packed', row.get('Value', ''))) <=
        room or item.key != CONFIGURATION
    ]
    return zlib.compress(json.dumps(rows).encode(),
                         COMPRESSION_LEVEL) if rows else b''


def _read_news(data: bytes) -> list[Item]:
    """Reads news; an entry of an earlier release doesn't compress them."""
    if data and data[:1] != b'[':
        data = zlib.decompress(data)
    return [read_item(row) for row in json.loads(data or b'[]')]


def make_assignment_reader(
        item: Item) -> Callable[[bytes], ports.SavedAssignment]:
    """Returns what reads the assignment that an item holds."""

    def read(data: bytes) -> ports.SavedAssignment:
        return ports.SavedAssignment(documents.read_assignment(data),
                                     item.revision)

    return read


def make_peer_reader(item: Item) -> Callable[[bytes], ports.Peer]:
    """Returns a parser of an entry or coordinator that sets its revision."""
    return lambda data: dataclasses.replace(documents.read_peer(data),
                                            registration_revision=item.revision)
