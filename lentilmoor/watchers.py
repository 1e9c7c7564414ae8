"""The thread that reads the platform's service: branches and instances.

Every entry reads both once when it starts. After that only the few entries
whose role it is keep a watch on the branches and read the list of instances;
the others hear from their peers.
"""

from collections.abc import Callable
import dataclasses
import threading

from lentilmoor import branches
from lentilmoor import clocks
from lentilmoor import inbox
from lentilmoor import outcomes
from lentilmoor import stores

WATCH_MS = 10_000.0
JOIN_LOOKS = 20
JOIN_LOOK_MS = 100.0
IDLE_MS = 1_000.0
RETRY_MS = 500.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchWiring:
    """What the watchers use.

    Attributes:
      store: The platform's service.
      own: This entry's line in the list, to be put there.
      is_watcher: Whether it is this entry's role to watch.
      has_joined: Whether everything that a peer held is here already.
      list_every_ms: How often to read the list; 0 if it is not to be read.
      tell: Sends the control actor a message.
      stopped: Set when the process ends.
    """

    store: stores.Store
    own: Callable[[], stores.ListedInstance]
    is_watcher: Callable[[], bool]
    has_joined: Callable[[], bool]
    list_every_ms: Callable[[], float]
    tell: Callable[[object], None]
    stopped: threading.Event


def start_watchers(wiring: WatchWiring) -> list[threading.Thread]:
    """Starts the threads that watch branches and read the list."""
    threads = [
        threading.Thread(target=watch_branches,
                         args=(wiring,),
                         name='branches',
                         daemon=True),
        threading.Thread(target=read_instances,
                         args=(wiring,),
                         name='instances',
                         daemon=True),
    ]
    for thread in threads:
        thread.start()
    return threads


def watch_branches(wiring: WatchWiring) -> None:
    """Watches branches while that is the role.

    An entry that starts reads them once, unless its peers give them to it
    first: after an outage all entries start at once, and the store is small.
    """
    revision = 0
    knows = _await_peers(wiring)
    while not wiring.stopped.is_set():
        if (revision or knows) and not wiring.is_watcher():
            # A watch taken up again later goes on where this one ended.
            _pause(wiring, IDLE_MS)
            continue
        changes = wiring.store.watch(branches.PREFIX, revision, WATCH_MS)
        if not isinstance(changes, stores.Changes):
            wiring.tell(inbox.StoreSeen(False))
            _pause(wiring, RETRY_MS)
            continue
        if changes.records:
            wiring.tell(inbox.BranchesFound(changes.records))
        wiring.tell(inbox.StoreSeen(True))
        if not changes.records and changes.revision == revision:
            # A watch that ends with nothing, at once, must not spin.
            _pause(wiring, IDLE_MS)
        revision = changes.revision


def read_instances(wiring: WatchWiring) -> None:
    """Puts this entry on the list and reads it while that is the role."""
    registered = False
    read_once = False
    while not wiring.stopped.is_set():
        if not registered:
            registered = wiring.store.register(wiring.own()) is None
        every_ms = wiring.list_every_ms()
        if not read_once or every_ms:
            listed = wiring.store.instances()
            wiring.tell(inbox.InstancesListed(listed))
            read_once = not isinstance(listed, outcomes.Failed)
        _pause(wiring, every_ms or IDLE_MS)


def _await_peers(wiring: WatchWiring) -> bool:
    """Waits a while for peers to give what they hold; whether they did."""
    for _ in range(JOIN_LOOKS):
        if wiring.has_joined() or wiring.stopped.is_set():
            return True
        _pause(wiring, JOIN_LOOK_MS)
    return False


def _pause(wiring: WatchWiring, ms: float) -> None:
    wiring.stopped.wait(ms / clocks.MS_PER_S)
