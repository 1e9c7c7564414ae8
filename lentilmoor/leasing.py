"""Routing leases as peer messages: the two directions of each conversion."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from array import array
from collections.abc import Iterable

from lentilmoor import grants
from lentilmoor import loads
from lentilmoor import slices
from lentilmoor.protocol import peer_pb2


def write_order(order: grants.LeaseOrder) -> peer_pb2.LeaseRequest:
    """Returns the message of a grantor's order."""
    message = peer_pb2.LeaseRequest(
        shard=order.shard,
        delegate=order.delegate,
        grantor=order.grantor,
        epoch=order.epoch,
        sequence=order.sequence,
        lifetime_ms=int(order.lifetime_ms),
        clock_echo_ms=order.clock_echo_ms,
        map_epoch=order.map_version[0],
        map_sequence=order.map_version[1],
        homes=order.homes,
        contended=sorted(order.contended),
        gather=order.gather,
    )
    for first, last in order.held:
        message.held.add(first=first, last=last)
    if order.assignment is not None:
        message.map.CopyFrom(write_map(order.assignment))
    return message


def read_order(message: peer_pb2.LeaseRequest) -> grants.LeaseOrder:
    """Returns the order in a message."""
    return grants.LeaseOrder(
        shard=message.shard,
        delegate=message.delegate,
        grantor=message.grantor,
        epoch=message.epoch,
        sequence=message.sequence,
        lifetime_ms=float(message.lifetime_ms),
        clock_echo_ms=message.clock_echo_ms,
        map_version=(message.map_epoch, message.map_sequence),
        assignment=read_map(message.map) if message.HasField('map') else None,
        held=tuple((item.first, item.last) for item in message.held),
        homes=tuple(message.homes),
        contended=frozenset(message.contended),
        gather=message.gather,
    )


def write_reply(reply: grants.LeaseReply) -> peer_pb2.LeaseReply:
    """Returns the message of a delegate's reply."""
    message = peer_pb2.LeaseReply(
        delegate=reply.delegate,
        accepted=reply.accepted,
        epoch=reply.epoch,
        sequence=reply.sequence,
        map_epoch=reply.map_version[0],
        map_sequence=reply.map_version[1],
        clock_ms=reply.clock_ms,
        quiet_ms=reply.quiet_ms,
        drained=reply.drained,
    )
    if reply.assignment is not None:
        message.map.CopyFrom(write_map(reply.assignment))
    return message


def read_reply(message: peer_pb2.LeaseReply) -> grants.LeaseReply:
    """Returns the reply in a message."""
    return grants.LeaseReply(
        delegate=message.delegate,
        accepted=message.accepted,
        epoch=message.epoch,
        sequence=message.sequence,
        map_version=(message.map_epoch, message.map_sequence),
        clock_ms=message.clock_ms,
        quiet_ms=message.quiet_ms,
        drained=message.drained,
        assignment=read_map(message.map) if message.HasField('map') else None,
    )


def write_map(slice_map: slices.SliceMap) -> peer_pb2.SliceMapMessage:
    """Returns the message of a slice map."""
    return peer_pb2.SliceMapMessage(
        epoch=slice_map.epoch,
        sequence=slice_map.sequence,
        servers=slice_map.servers,
        bounds=slice_map.bounds,
        owners=slice_map.owners,
    )


def read_map(message: peer_pb2.SliceMapMessage) -> slices.SliceMap:
    """Returns the slice map in a message."""
    return slices.SliceMap(message.epoch, message.sequence,
                           tuple(message.servers), array('Q', message.bounds),
                           array('H', message.owners))


def write_report(message: peer_pb2.LeaseReply, report: loads.Report) -> None:
    """Adds what slices and hot keys cost to a reply."""
    message.slices_epoch, message.slices_sequence = report.version
    for item in report.slices:
        message.slices.add(bound=item.first,
                           cost_ms=item.cost_ms,
                           requests=item.requests)
    for point in report.hot:
        message.hot_keys.add(point=point.point, cost_ms=point.cost)


def read_report(message: peer_pb2.LeaseReply) -> loads.Report:
    """Returns what slices and hot keys cost, from a reply."""
    return loads.Report(
        (message.slices_epoch, message.slices_sequence),
        tuple(
            loads.SliceCost(item.bound, item.cost_ms, item.requests)
            for item in message.slices),
        tuple(
            loads.HotPoint(item.point, item.cost_ms)
            for item in message.hot_keys))


def write_loads(message: peer_pb2.LeaseReply,
                rows: Iterable[peer_pb2.ServerLoad]) -> None:
    """Adds what this delegate has at each server to a reply."""
    message.loads.extend(rows)
