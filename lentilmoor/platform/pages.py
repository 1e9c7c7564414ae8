"""Whole reads of the platform's store, page by page."""

from collections.abc import Callable
import urllib.parse

from lentilmoor import outcomes

# Pages of a whole read; more than that is no store of ours.
_MOST_PAGES = 1_000
ALLOW_STALE = 'AllowStale'


def read_all(call: Callable[[str], dict | outcomes.Failed],
             prefix: str = '',
             stale: bool = False) -> tuple[list[dict], int] | outcomes.Failed:
    """Reads all items, and the store's revision before the first.

    Args:
      call: (target) -> the fields of the store's answer.
      prefix: What their keys begin with.
      stale: Whether they may be seconds old, which costs a tenth.

    Returns:
      The items in the store's own form, and the revision.
    """
    rows: list[dict] = []
    revision, after = None, ''
    for _ in range(_MOST_PAGES):
        query = {'Prefix': prefix}
        if stale:
            query[ALLOW_STALE] = '1'
        if after:
            query['after'] = after
        fields = call('/-/kv-range?' + urllib.parse.urlencode(query))
        if isinstance(fields, outcomes.Failed):
            return fields
        revision = fields['CurrentRev'] if revision is None else revision
        rows += fields['items']
        if not fields.get('Truncated'):
            break
        after = rows[-1]['Key']
    return rows, revision
