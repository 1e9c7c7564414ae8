"""Full reads of the platform's store, page by page."""

from collections.abc import Callable
import dataclasses
import urllib.parse

from lentilmoor import outcomes
from lentilmoor.edge import revisions
from lentilmoor.platform import views

# Bounds a full read, should the store report pages without end.
_MAX_PAGES = 1_000
ALLOW_STALE = 'AllowStale'


@dataclasses.dataclass(frozen=True, slots=True)
class StoreAnswer:
    """A successful answer of the store.

    Attributes:
      era: The store's era.
      fields: The fields of the answer's JSON body.
    """

    era: int
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class FullRead:
    """The result of a full read.

    Attributes:
      items: The items with the prefix.
      revision: The store's revision before the first item was read.
    """

    items: list[views.Item]
    revision: int


def read_all(call: Callable[[str], StoreAnswer | outcomes.Failed],
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
        era, fields = answer.era, answer.fields
        if full_read is None:
            full_read = FullRead([], revisions.combine(era,
                                                       fields['CurrentRev']))
        elif era != revisions.find_era(full_read.revision):
            return outcomes.Failed(outcomes.Reason.CONFLICT,
                                   'the store was restored from an older copy')
        full_read.items.extend(
            views.read_item(row, era) for row in fields['items'])
        if not fields.get('Truncated'):
            break
        after = fields['items'][-1]['Key']
    return full_read
