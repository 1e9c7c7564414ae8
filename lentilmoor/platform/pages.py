"""Full reads of the platform's store, page by page."""

from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar
import urllib.parse

from lentilmoor import outcomes
from lentilmoor.edge import revisions
from lentilmoor.platform import storereplies
from lentilmoor.platform import views

# Bounds a full read, should the store report pages without end.
_MAX_PAGES = 1_000
ALLOW_STALE = 'AllowStale'

_T = TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer(Generic[_T]):
    """A successful answer of the store.

    Attributes:
      era: The store's era.
      reply: The decoded body.
    """

    era: int
    reply: _T


@dataclasses.dataclass(frozen=True, slots=True)
class FullRead:
    """The result of a full read.

    Attributes:
      items: The items with the prefix.
      revision: The store's revision before the first item was read.
    """

    items: list[views.Item]
    revision: int


def read_all(call: Callable[[str],
                            StoreAnswer[storereplies.Page] | outcomes.Failed],
             prefix: str = '',
             stale: bool = False) -> FullRead | outcomes.Failed:
    """Reads all items whose keys have a prefix.

    Args:
      call: (target) -> the store's answer.
      prefix: The prefix.
      stale: Whether the items may be seconds old. Such a read costs a tenth.

    Returns:
      The items; CONFLICT if the store was restored between two pages.
    """
    full_read: FullRead | None = None
    after = ''
    for _ in range(_MAX_PAGES):
        query = {'Prefix': prefix}
        if stale:
            query[ALLOW_STALE] = '1'
        if after:
            query['after'] = after
        answer = call('/-/kv-range?' + urllib.parse.urlencode(query))
        if isinstance(answer, outcomes.Failed):
            return answer
        era, page = answer.era, answer.reply
        if full_read is None:
            full_read = FullRead([], revisions.combine(era, page.current_rev))
        elif era != revisions.find_era(full_read.revision):
            return outcomes.Failed(outcomes.Reason.CONFLICT,
                                   'the store was restored from an older copy')
        full_read.items.extend(
            storereplies.make_item(row, era) for row in page.items)
        if not page.truncated:
            break
        after = page.items[-1].key
    return full_read
