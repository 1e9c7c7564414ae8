"""Spread of versioned items to every entry, without each reading the store.

A changed item is pushed at once as a notice to the entry's few links, which
push it on: flooding of a sparse graph. A small value travels with its notice;
a larger one is fetched once, from whoever gave the notice first. What is lost
on the way is found by comparing digest trees, level by level, with the few
entries that each exchanges with. All is decided by version alone, so order and
repetition do not matter and nothing goes back.
"""

from collections.abc import Iterable
import dataclasses

from lentilmoor import items

_MAX_HOLDERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadSettings:
    """Bounds of what one message carries, and times.

    Attributes:
      eager_bytes: Values up to this size travel with their notice.
      notices: Notices in one push.
      fetch_keys: Keys asked for at once.
      page_bytes: Values in one reply to a fetch, but always one item.
      branches: Branches of the tree whose buckets are compared at once.
      listed: Buckets that are listed at once.
      retry_ms: When an unanswered fetch is tried elsewhere.
    """

    eager_bytes: int = 256
    notices: int = 64
    fetch_keys: int = 32
    page_bytes: int = 65_536
    branches: int = 4
    listed: int = 32
    retry_ms: float = 1_500.0


@dataclasses.dataclass(slots=True)
class Want:
    """An item that is known to exist at a version that we lack.

    Attributes:
      version: The newest version heard of.
      holders: Peers that gave notice of it, not yet asked in vain.
      asked_at: When it was asked for, ms; 0 if it is not being fetched.
    """

    version: int
    holders: list[str]
    asked_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Asks a peer for the values of some keys."""

    peer: str
    keys: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class Replica:
    """One entry's copy of all items.

    Attributes:
      table: The items.
      settings: Bounds.
      unsent: For each linked peer the keys that it is not known to have.
      wants: Items to be fetched, by key.
      changed: Items taken over since they were last collected.
      changed_at: When the table last changed, ms.
    """

    settings: SpreadSettings = SpreadSettings()
    table: items.ItemTable = dataclasses.field(default_factory=items.ItemTable)
    unsent: dict[str, dict[str, None]] = dataclasses.field(default_factory=dict)
    wants: dict[str, Want] = dataclasses.field(default_factory=dict)
    changed: list[items.Item] = dataclasses.field(default_factory=list)
    changed_at: float = 0.0


def set_peers(replica: Replica, peers: Iterable[str], greeting: str) -> None:
    """Sets the linked peers; what others had not got yet is forgotten.

    Args:
      replica: Our copy.
      peers: Ids of the linked peers.
      greeting: Key of an item that a new peer gets in any case.
    """
    replica.unsent = {
        peer: replica.unsent.get(peer, {greeting: None}) for peer in peers
    }


def put(replica: Replica,
        item: items.Item,
        now: float,
        source: str = '') -> bool:
    """Takes an item over if it is newer, and queues it for the linked peers.

    Args:
      replica: Gets the item.
      item: From the store, a peer or this entry itself.
      now: Milliseconds.
      source: The peer that it came from, if any.

    Returns:
      Whether it was newer.
    """
    want = replica.wants.get(item.key)
    if want is not None and want.version <= item.version:
        del replica.wants[item.key]
    if not items.put(replica.table, item):
        return False
    replica.changed.append(item)
    replica.changed_at = now
    for peer, keys in replica.unsent.items():
        if peer != source:
            keys[item.key] = None
    return True


def collect_changed(replica: Replica) -> list[items.Item]:
    """Returns the items taken over since the last call."""
    changed, replica.changed = replica.changed, []
    return changed


def take_notice(replica: Replica, peer: str,
                notice: items.Notice) -> items.Notice | None:
    """Learns that a peer holds a version of an item.

    Returns:
      What to tell the peer, if it is behind.
    """
    held = items.version_of(replica.table, notice.key)
    if notice.version < held:
        return items.Notice(notice.key, held)
    replica.unsent.get(peer, {}).pop(notice.key, None)
    if notice.version > held:
        _want(replica, peer, notice)
    return None


def pick_news(replica: Replica, peer: str) -> list[str]:
    """Takes the next keys to push to a peer out of the queue."""
    queue = replica.unsent.get(peer, {})
    keys = list(queue)[:replica.settings.notices]
    for key in keys:
        del queue[key]
    return keys


def return_news(replica: Replica, peer: str, keys: Iterable[str]) -> None:
    """Puts keys back whose push failed."""
    queue = replica.unsent.get(peer)
    if queue is not None:
        queue.update(dict.fromkeys(keys))


def is_eager(replica: Replica, item: items.Item) -> bool:
    """Returns whether an item's value travels with its notice."""
    return len(item.value) <= replica.settings.eager_bytes


def pick_fetches(replica: Replica, now: float) -> list[Fetch]:
    """Returns what to fetch now; each key from one peer at a time."""
    by_peer: dict[str, list[str]] = {}
    for key, want in list(replica.wants.items()):
        if want.asked_at and now - want.asked_at < replica.settings.retry_ms:
            continue
        if not want.holders:
            # Nobody left to ask: the next comparison brings it up again.
            del replica.wants[key]
            continue
        keys = by_peer.setdefault(want.holders[0], [])
        if len(keys) < replica.settings.fetch_keys:
            keys.append(key)
            want.asked_at = now
            want.holders.pop(0)
    return [Fetch(peer, tuple(keys)) for peer, keys in by_peer.items()]


def end_fetch(replica: Replica, fetch: Fetch, more: bool) -> None:
    """Lets keys that a fetch did not bring be asked for again at once.

    Args:
      replica: Our copy.
      fetch: The fetch that ended.
      more: Whether the peer has them, but they did not fit into its reply.
    """
    for key in fetch.keys:
        want = replica.wants.get(key)
        if want is None:
            continue
        want.asked_at = 0.0
        if more:
            want.holders.insert(0, fetch.peer)


def read_page(replica: Replica, keys: Iterable[str]) -> list[items.Item]:
    """Returns the items of some keys, as many as fit into one reply."""
    page = []
    size = 0
    for key in keys:
        item = replica.table.items.get(key)
        if item is None:
            continue
        size += len(item.value)
        if page and size > replica.settings.page_bytes:
            break
        page.append(item)
    return page


def list_after(replica: Replica, key: str) -> list[str]:
    """Returns all keys after one, in order."""
    return sorted(name for name in replica.table.items if name > key)


def pick_branches(replica: Replica, theirs: Iterable[int]) -> list[int]:
    """Returns the branches to look into, given a peer's branch digests."""
    differing = items.find_differences(replica.table.branches, theirs)
    return differing[:replica.settings.branches]


def pick_buckets(replica: Replica, branches: Iterable[int],
                 theirs: list[int]) -> list[int]:
    """Returns the buckets to list, given a peer's digests below branches."""
    buckets = []
    for position, branch in enumerate(branches):
        start = position * items.FAN_OUT
        below = theirs[start:start + items.FAN_OUT]
        if len(below) != items.FAN_OUT or branch >= items.FAN_OUT:
            break
        ours = items.read_branch(replica.table, branch)
        buckets += [
            branch * items.FAN_OUT + index
            for index in items.find_differences(ours, below)
        ]
    return buckets[:replica.settings.listed]


def list_missing(replica: Replica, buckets: Iterable[int],
                 listed: Iterable[items.Notice]) -> list[items.Notice]:
    """Returns what we have in some buckets that a peer did not list."""
    names = {notice.key for notice in listed}
    return [
        notice for notice in items.list_buckets(replica.table, buckets)
        if notice.key not in names
    ]


def _want(replica: Replica, peer: str, notice: items.Notice) -> None:
    want = replica.wants.get(notice.key)
    if want is None:
        replica.wants[notice.key] = Want(notice.version, [peer])
        return
    if notice.version > want.version:
        # Only those who have the newest are worth asking.
        want.version = notice.version
        want.holders = []
        want.asked_at = 0.0
    if peer not in want.holders and len(want.holders) < _MAX_HOLDERS:
        if notice.version >= want.version:
            want.holders.append(peer)
