"""Executes the decisions of the coordinator of a keyed service."""

import dataclasses

from lentilmoor import outcomes
from lentilmoor.edge import controlstate
from lentilmoor.edge import coordination
from lentilmoor.edge import elections
from lentilmoor.edge import holds
from lentilmoor.edge import moves
from lentilmoor.edge import ownership
from lentilmoor.edge import ratelimits
from lentilmoor.edge import reachability
from lentilmoor.edge import rebalancing
from lentilmoor.edge import revisions
from lentilmoor.edge import tables


def run_coordinator(context: controlstate.Context, name: str,
                    role: controlstate.CoordinatorRole, now: float) -> None:
    """Executes what is due now if this entry coordinates the service."""
    state, owned = role.coordination_state, context.owned
    if state is None:
        return
    elections.apply_restore(context, name, state)
    if state.superseded:
        elections.resign(context, name, role,
                         'a server has seen a higher fence')
        return
    if owned.handover_reason and owned.coordinator_lease is None:
        elections.resign(context, name, role, owned.handover_reason)
        return
    if now - owned.lease_renewed_at > ownership.MAX_OFFLINE_MS:
        elections.resign(context, name, role,
                         'the lease was not renewed for too long')
        return
    if _is_replaced(context, state.predecessor,
                    state.predecessor_save_revision):
        coordination.handle_predecessor_ended(state, now)
    servers = {
        server.id: server
        for server in owned.servers.values()
        if server.service == name and server.id not in owned.ended_servers
    }
    view = ownership.ServiceView(
        servers, frozenset(owned.ended_servers), owned.departed_servers,
        role.load_table.find_key_loads(now),
        role.load_table.find_capacities(
            servers.values(), now,
            ratelimits.list_rates(context.forwarder.rate_limits)),
        role.load_table.list_work_means(servers.values()))
    move_count_before = len(state.moves)
    for action in coordination.plan_actions(state, view, now):
        _execute_action(context, state, action)
    if len(state.moves) > move_count_before:
        _log_moves(context, state, view, len(state.moves) - move_count_before)
    status = tables.CoordinatorStatus(
        moves.list_unserved(state),
        role.load_table.estimate_work_means(servers.values()))
    context.forwarder.coordinated = context.forwarder.coordinated | {
        name: status
    }


def _log_moves(context: controlstate.Context, state: ownership.Coordination,
               view: ownership.ServiceView, count: int) -> None:
    imbalance = rebalancing.measure_imbalance(state.assignment.ranges,
                                              view.loads, view.capacities)
    context.logger.info('moves_planned',
                        service=state.assignment.service,
                        planned=count,
                        under_way=len(state.moves),
                        **dataclasses.asdict(imbalance))


def _is_replaced(context: controlstate.Context,
                 instance: str,
                 after_revision: int = 0) -> bool:
    """Returns whether a later process has replaced an instance.

    Processes that registered before the given instance don't count: they stay
    listed until their leases expire.

    Args:
      context: The control actor's context.
      instance: Instance id of the process in question; empty if none.
      after_revision: Store revision at which the instance was still running.
        Registrations up to this revision are ignored.
    """
    entry_name = instance.rpartition('.')[0]
    entries = context.owned.store_snapshot.entries
    if instance in entries:
        after_revision = max(after_revision,
                             entries[instance].registration_revision)
    return bool(entry_name) and any(
        other.rpartition('.')[0] == entry_name and
        peer.registration_revision > after_revision
        for other, peer in entries.items())


def _execute_action(context: controlstate.Context,
                    state: ownership.Coordination,
                    action: ownership.Action) -> None:
    if isinstance(action, ownership.Grant):
        _start_grant(context, state, action)
    elif isinstance(action, ownership.Release):
        context.call(
            lambda: context.platform.servers.release(action),
            lambda result, sent: _handle_release_result(
                context, state, action, *result), context.release_calls)
    elif isinstance(action, ownership.Probe):
        context.call(
            lambda: context.platform.servers.probe(action),
            lambda result, sent: coordination.handle_probe_result(
                state, action, result, context.clock.now()),
            context.server_calls)
    else:
        context.call(
            lambda: context.platform.store.save(action.assignment, action.
                                                revision), lambda result, sent:
            _handle_save_result(context, state, action, result))


def _start_grant(context: controlstate.Context, state: ownership.Coordination,
                 grant: ownership.Grant) -> None:
    owned = context.owned
    needs_connection = grant.link is None
    if needs_connection and owned.handover_reason:
        # The grant could arrive after a successor has taken the role.
        _handle_grant_result(
            context, state, grant,
            ownership.GrantResult(ownership.CallOutcome.NOT_SENT),
            context.clock.now())
        return
    owned.new_connection_grants += needs_connection

    def handle_result(result: ownership.GrantResult, sent_at: float) -> None:
        owned.new_connection_grants -= needs_connection
        _handle_grant_result(context, state, grant, result, sent_at)

    context.call(lambda: _send_grant(context, grant), handle_result,
                 context.server_calls)


def _handle_grant_result(context: controlstate.Context,
                         state: ownership.Coordination, grant: ownership.Grant,
                         result: ownership.GrantResult, sent_at: float) -> None:
    now = context.clock.now()
    coordination.handle_grant_result(state, grant, result, sent_at, now)
    if result.outcome in (ownership.CallOutcome.DONE,
                          ownership.CallOutcome.REFUSED,
                          ownership.CallOutcome.DECLINED):
        reachability.note_grant_answer(context.forwarder)
    if result.outcome is ownership.CallOutcome.UNKNOWN:
        reachability.note_failure(context.forwarder, grant.server.id)
        in_force_ms = holds.compute_expiry(now, grant.hold_ms) - now
        context.logger.warning('grant_unanswered',
                               service=grant.service,
                               server=grant.server.id,
                               first=grant.key_range.first,
                               last=grant.key_range.last,
                               fence=grant.fence,
                               link=result.link,
                               took_ms=round(now - sent_at),
                               in_force_ms=round(in_force_ms))
    context.states.log_change('grant_answer',
                              grant.server.id,
                              result.outcome,
                              service=grant.service,
                              fence=grant.fence,
                              first=grant.key_range.first)


def _handle_release_result(context: controlstate.Context,
                           state: ownership.Coordination,
                           release: ownership.Release,
                           call_outcome: ownership.CallOutcome,
                           handover_token: str) -> None:
    coordination.handle_release_result(state, release, call_outcome,
                                       handover_token, context.clock.now())
    context.logger.info('keys_released',
                        server=release.server.id,
                        first=release.key_range.first,
                        last=release.key_range.last,
                        fence=release.key_range.fence,
                        answer=call_outcome.value,
                        handed_over=bool(handover_token))


def _send_grant(context: controlstate.Context,
                grant: ownership.Grant) -> ownership.GrantResult:
    """Sends a grant unless it is stale; runs in a thread."""
    now, renewed_at = context.clock.now(), context.owned.lease_renewed_at
    if (now - renewed_at > ownership.MAX_OFFLINE_MS or
            now - grant.planned_at > ownership.MAX_GRANT_AGE_MS or
            grant.link is None and
            not ownership.may_open_connection(renewed_at, now)):
        return ownership.GrantResult(ownership.CallOutcome.NOT_SENT)
    return context.platform.servers.grant(grant)


def _handle_save_result(context: controlstate.Context,
                        state: ownership.Coordination, save: ownership.Save,
                        result) -> None:
    if not isinstance(result, outcomes.Failed):
        coordination.handle_saved(state, save, result)
        context.logger.info('assignment_saved',
                            service=save.service,
                            revision=revisions.format_revision(result),
                            ranges=len(save.assignment.ranges))
        context.publish()
        return
    # After a restore, a conflict only means that the store holds an older
    # assignment than this coordinator expected, not that it was superseded.
    restored = save.assignment.era < context.platform.store.find_era()
    if result.reason is outcomes.Reason.CONFLICT and not restored:
        state.superseded = True
    refused = result.reason not in (outcomes.Reason.TIMED_OUT,
                                    outcomes.Reason.CONNECTION_LOST)
    coordination.handle_save_failure(state, refused, context.clock.now())
    context.logger.warning('assignment_not_saved',
                           service=save.service,
                           reason=result.reason.value)
