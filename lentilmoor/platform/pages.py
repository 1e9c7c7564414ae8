"""Whole reads of the platform's store, page by page."""

from collections.abc import Callable
import dataclasses
import urllib.parse

from lentilmoor import outcomes
from lentilmoor.edge import revisions
from lentilmoor.platform import views

# Pages of a whole read; more than that is no store of ours.
_MOST_PAGES = 1_000
ALLOW_STALE = 'AllowStale'


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer of the store.

    Attributes:
      era: The store's era.
      fields: The fields of its body.
    """

    era: int
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """What a whole read found.

    Attributes:
      items: All items.
      revision: The store's revision before the first was read.
    """

    items: list[views.Item]
    revision: int


def read_all(call: Callable[[str], Answer | outcomes.Failed],
             prefix: str = '',
             stale: bool = False) -> Found | outcomes.Failed:
    """Reads all items, and the store's revision before the first.

    Args:
      call: (target) -> the store's answer.
      prefix: What their keys begin with.
      stale: Whether they may be seconds old, which costs a tenth.

    Returns:
      What it found; CONFLICT if the store was restored between two pages.
    """
    found: Found | None = None
    after = ''
    for _ in range(_MOST_PAGES):
        query = {'Prefix': prefix}
        if stale:
            query[ALLOW_STALE] = '1'
        if after:
            query['after'] = after
        answer = call('/-/kv-range?' + urllib.parse.urlencode(query))
        if isinstance(answer, outcomes.Failed):
            return answer
        era, fields = answer.era, answer.fields
        if found is None:
            found = Found([], revisions.combine(era, fields['CurrentRev']))
        elif era != revisions.find_era(found.revision):
            return outcomes.Failed(outcomes.Reason.CONFLICT, 'store restored')
        found.items.extend(views.read_item(row, era) for row in fields['items'])
        if not fields.get('Truncated'):
            break
        after = fields['items'][-1]['Key']
    return found
