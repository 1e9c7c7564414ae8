"""Revisions of the store, in one order across restores of the store.

The store numbers its changes. When it is restored from an older copy, it goes
back to an earlier number and assigns the numbers after it again, and its era
rises. A revision holds both, with the era in the upper bits, so that whatever
is read after a restore is newer than everything that was read before. If a
store reports no era, its revisions are its plain numbers.
"""

_NUMBER_BITS = 40
# The largest number of a change.
MAX_NUMBER = (1 << _NUMBER_BITS) - 1
# A revision must fit a signed 64-bit integer.
MAX_ERA = (1 << 63 - _NUMBER_BITS) - 1


def combine(era: int, number: int) -> int:
    """Returns the revision of a change.

    Args:
      era: The store's era, 0 to `MAX_ERA`.
      number: Number that the store assigned to the change in that era.
    """
    return era << _NUMBER_BITS | number


def find_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> _NUMBER_BITS


def format_revision(revision: int) -> str:
    """Formats a revision for logs, as ERA.NUMBER."""
    return f'{find_era(revision)}.{find_number(revision)}'


def find_number(revision: int) -> int:
    """Returns the number that the store assigned to a revision in its era."""
    return revision & MAX_NUMBER
