"""Items and counts to and from the messages of the peer protocol."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable

from lentilmoor import counts
from lentilmoor import items
from lentilmoor.protocol import peer_pb2


def write_item(item: items.Item) -> peer_pb2.Item:
    """Returns the message of an item with its value."""
    return peer_pb2.Item(key=item.key,
                         version=item.version,
                         value=item.value,
                         deleted=item.deleted,
                         retired=item.retired,
                         full=True)


def write_notice(notice: items.Notice) -> peer_pb2.Item:
    """Returns the message of a notice."""
    return peer_pb2.Item(key=notice.key, version=notice.version)


def read_item(message: peer_pb2.Item) -> items.Item:
    """Returns the item of a message that has its value."""
    return items.Item(message.key, message.version, message.value,
                      message.deleted, message.retired)


def read_notice(message: peer_pb2.Item) -> items.Notice:
    """Returns the notice of any item's message."""
    return items.Notice(message.key, message.version)


def write_counts(values: Iterable[counts.Count]) -> list[peer_pb2.AppliedCount]:
    """Returns the messages of counts."""
    return [
        peer_pb2.AppliedCount(key=value.key,
                              version=value.version,
                              entries=value.entries) for value in values
    ]


def read_counts(
        messages: Iterable[peer_pb2.AppliedCount]) -> list[counts.Count]:
    """Returns the counts of messages."""
    return [
        counts.Count(message.key, message.version, message.entries)
        for message in messages
    ]
