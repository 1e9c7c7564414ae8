"""What the administration API needs of the entry that it is part of."""

from collections.abc import Callable
import dataclasses

from lentilmoor import clocks
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import pages
from lentilmoor import statuses
from lentilmoor import stores
from lentilmoor import verifiers


@dataclasses.dataclass(frozen=True, slots=True)
class AdminHooks:
    """What the API needs of the entry that it is part of.

    Attributes:
      store: The platform's store.
      verify: Checks a token.
      is_ready: Whether the entry takes callers' requests.
      show_metrics: Returns the metrics' text form.
      read_status: Returns the state of the deployment.
      find_owner: (team, service, key) -> its owner, from the map in force.
      count_applied: (team) -> at how many entries its branch is in force.
      list_quarantine: Returns the requests that are held.
      release_quarantine: (fingerprint, hexadecimal) -> whether it was held.
      spread_now: Takes a branch's record that was just accepted, so that it
        need not wait for a watch; returns at once.
      logger: Where accepted changes are logged.
    """

    store: stores.Store
    verify: verifiers.Verify
    is_ready: Callable[[], bool]
    show_metrics: Callable[[], bytes]
    read_status: Callable[[], statuses.Status]
    find_owner: Callable[[str, str, str], statuses.Owner | outcomes.Failed]
    count_applied: Callable[[str], statuses.Applied]
    list_quarantine: Callable[[], tuple[statuses.Quarantined, ...]]
    release_quarantine: Callable[[str], bool]
    spread_now: Callable[[stores.Record], None]
    logger: logs.Logger


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request with what is needed to answer it.

    Attributes:
      hooks: The entry.
      clock: Its time.
      request: The request.
      parts: What the path's pattern named.
    """

    hooks: AdminHooks
    clock: clocks.Clock
    request: pages.Request
    parts: dict[str, str]

    @property
    def team(self) -> str:
        """The team that the path names."""
        return self.parts['team']


Handler = Callable[[Call], pages.Reply]
