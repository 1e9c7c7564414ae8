"""A delegate's work on a grantor's order: accept it, swap routes, report."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from lentilmoor import delegates
from lentilmoor import dispatchers
from lentilmoor import grants
from lentilmoor import leasing
from lentilmoor import loads
from lentilmoor import outcomes
from lentilmoor import shardstates
from lentilmoor import successors
from lentilmoor.protocol import peer_pb2

# Costs by slice travel this often; loads by server with each renewal.
REPORT_EVERY_MS = 1_000.0


def take_order(state: shardstates.ShardState,
               order_message: peer_pb2.LeaseRequest,
               now: float) -> grants.LeaseReply:
    """Applies a grantor's order to a shard's routing lease.

    Args:
      state: The shard; changed.
      order_message: The order.
      now: Milliseconds.

    Returns:
      The reply, without what still runs.
    """
    order = leasing.read_order(order_message)
    reply = delegates.accept_lease(state.lease, order, now)
    if reply.accepted:
        successors.note_heard(state.watch, order.grantor, now)
    return reply


def write_reply(state: shardstates.ShardState,
                dispatcher: dispatchers.Dispatcher,
                reply: grants.LeaseReply) -> peer_pb2.LeaseReply:
    """Returns the reply's message; called once the new route is in force."""
    view = delegates.view(state.lease)
    oldest = None
    if view is not None:
        oldest = dispatcher.inflight.find_oldest(state.shard.id, view.map)
    message = leasing.write_reply(delegates.add_drained(reply, oldest))
    _add_loads(message, state, dispatcher)
    return message


def add_report(message: peer_pb2.LeaseReply, state: shardstates.ShardState,
               now: float) -> None:
    """Adds what slices cost, if it is time."""
    recorder = state.recorder
    if recorder is None or now - state.reported_at < REPORT_EVERY_MS:
        return
    state.reported_at = now
    leasing.write_report(message, loads.take_report(recorder))


def follow_map(state: shardstates.ShardState) -> None:
    """Lets the counts of costs follow the assignment in force."""
    assignment = state.lease.assignment
    if assignment is None or not state.shard.settings.keyed:
        return
    if state.recorder is None:
        state.recorder = loads.make_recorder(assignment)
    elif state.recorder.slice_map.version != assignment.version:
        loads.follow(state.recorder, assignment)


def _add_loads(message: peer_pb2.LeaseReply, state: shardstates.ShardState,
               dispatcher: dispatchers.Dispatcher) -> None:
    for server in state.servers:
        gate = dispatcher.gates.get((state.shard.id, server))
        if gate is None or not (gate.in_flight or gate.queued):
            continue
        message.loads.add(server=server,
                          in_flight=gate.in_flight,
                          queued=gate.queued,
                          service_ms=gate.response_ms)


def read_loads(state: shardstates.ShardState, delegate: str,
               message: peer_pb2.LeaseReply, now: float) -> None:
    """Takes in, as grantor, what a delegate reports."""
    for key in [key for key in state.server_loads if key[0] == delegate]:
        del state.server_loads[key]
    for item in message.loads:
        state.server_loads[delegate, item.server] = shardstates.ServerLoad(
            item.in_flight, item.queued, now)
    if message.slices:
        shardstates.fold_report(state, leasing.read_report(message), now)


REFUSED = outcomes.Failed(outcomes.Reason.NOT_FOUND,
                          'the shard is not known here')
