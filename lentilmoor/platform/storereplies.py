"""Decodes the replies of the platform's store.

A reply without the fields of its call is no reply to it: an empty body
doesn't state that there are no items. Unknown fields are ignored.
"""

from collections.abc import Callable
import json
from typing import Annotated
from typing import TypeVar

import msgspec

from lentilmoor import outcomes
from lentilmoor.edge import revisions
from lentilmoor.platform import views

_Number = Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_NUMBER)]
_LeaseId = Annotated[int, msgspec.Meta(ge=0)]
_MAX_TTL_MS = 1e9
# The platform doesn't say how the store writes flags.
_Flag = bool | int

_T = TypeVar('_T')


class State(msgspec.Struct, rename='pascal', frozen=True):
    """The state of a key, which may not exist.

    Attributes:
      key: The key.
      rev: Number of its last change; 0 if it doesn't exist.
      value: Its value; None if there is none.
      tombstone: Whether the event is a deletion.
      lease: The lease with whose end the key is deleted; 0: none.
    """

    key: str
    rev: _Number
    value: bytes | None = None
    tombstone: _Flag = False
    lease: _LeaseId = 0


class Row(State, frozen=True):
    """An item or a watch event."""

    def __post_init__(self):
        """Raises ValueError, which `msgspec` reports as invalid input."""
        if self.value is None and not self.tombstone:
            raise ValueError('neither a value nor a tombstone')


class Page(msgspec.Struct, rename='pascal', frozen=True):
    """A page of items.

    Attributes:
      items: The items.
      current_rev: The store's revision.
      truncated: Whether another page follows.
    """

    items: list[Row] = msgspec.field(name='items')
    current_rev: _Number
    truncated: _Flag = False

    def __post_init__(self):
        """Raises ValueError, which `msgspec` reports as invalid input."""
        if self.truncated and not self.items:
            raise ValueError('another page follows a page without items')


class Events(msgspec.Struct, rename='pascal', frozen=True):
    """The reply to a watch.

    Attributes:
      events: The changes.
      current_rev: Revision from which the next watch continues.
    """

    events: list[Row] = msgspec.field(name='events')
    current_rev: _Number


class Written(msgspec.Struct, rename='pascal', frozen=True):
    """The reply to a write that was executed.

    Attributes:
      rev: Number of the change.
    """

    rev: _Number


class Conflict(msgspec.Struct, frozen=True):
    """The reply to a write that was refused.

    Attributes:
      items: The expected items as they are.
    """

    items: list[State]


class OpenedLease(msgspec.Struct, rename='pascal', frozen=True):
    """The reply to the opening of a lease.

    Attributes:
      lease: Number of the lease.
      ttl_ms: How long it lasts, ms.
    """

    lease: Annotated[int, msgspec.Meta(gt=0)]
    ttl_ms: Annotated[float, msgspec.Meta(gt=0.0, le=_MAX_TTL_MS)]


def make_decoder(model: type[_T]) -> Callable[[bytes], _T | outcomes.Failed]:
    """Returns a function that decodes replies with the fields of a model."""

    def decode(data: bytes) -> _T | outcomes.Failed:
        try:
            # The JSON decoder of msgspec would refuse all items for one whose
            # key has half of a surrogate pair.
            return msgspec.convert(json.loads(data), model)
        except (ValueError, RecursionError) as error:
            # A call without a proved reply may have been executed.
            return outcomes.Failed(outcomes.Reason.CONNECTION_LOST, str(error))

    return decode


read_row = make_decoder(Row)
read_page = make_decoder(Page)
read_events = make_decoder(Events)
read_written = make_decoder(Written)
read_conflict = make_decoder(Conflict)
read_opened_lease = make_decoder(OpenedLease)


def ignore_body(unused_data: bytes) -> None:
    """Decodes the reply to a call whose status states everything."""


def make_item(row: Row, era: int) -> views.Item:
    """Returns an item or a watch event."""
    return views.Item(row.key, None if row.tombstone else row.value,
                      revisions.combine(era, row.rev))
