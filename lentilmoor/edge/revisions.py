"""Revisions of the store, in one order across its restores.

The store numbers its changes. When it is restored from an older copy, the
numbers go back and are given out again, and its era rises. A revision holds
both, the era in its upper bits, so that whatever is read after a restore is
newer than all that was read before. Revisions of a store that tells no era are
its plain numbers.
"""

_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
# Revisions fit a signed integer of 64 bits.
MAX_ERA = (1 << 63 - _NUMBER_BITS) - 1


def combine(era: int, number: int) -> int:
    """Returns the revision of a change.

    Args:
      era: The store's era, 0 to `MOST_ERA`.
      number: The number that the store gave the change in that era.
    """
    return era << _NUMBER_BITS | number


def find_era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> _NUMBER_BITS


def format_revision(revision: int) -> str:
    """Returns a revision for logs, as ERA.NUMBER."""
    return f'{find_era(revision)}.{find_number(revision)}'


def find_number(revision: int) -> int:
    """Returns the number by which the store knows a revision in its era."""
    return revision & _NUMBER_MASK
