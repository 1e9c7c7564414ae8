"""What the control actor keeps of each shard, and its step.

Joins the systems of one shard: settings become events of ownership, a silent
grantor is taken over, homes are set, loads are folded and plans made.
"""

from collections.abc import Mapping
import dataclasses

from lentilmoor import authority
from lentilmoor import balance
from lentilmoor import catalogs
from lentilmoor import delegates
from lentilmoor import grantors
from lentilmoor import grants
from lentilmoor import homes
from lentilmoor import loads
from lentilmoor import means
from lentilmoor import plans
from lentilmoor import roles
from lentilmoor import successors
from lentilmoor import tables

PLAN_EVERY_MS = 2_000.0
CONTENTION_EVERY_MS = 125.0
# A delegate's report of loads counts for so long.
LOAD_LIFETIME_MS = 1_000.0
# An entry heard so lately counts as there.
HEARD_MS = 2_500.0
# The grantor of a shard that is new to this entry: there may be one, so it
# is waited for and asked about like one that went silent.
UNKNOWN = '?'

_Liveness = tables.Liveness


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What one delegate has at one server.

    Attributes:
      in_flight: Requests sent and not ended.
      queued: Requests that wait at the delegate.
      at: When it was reported, ms.
    """

    in_flight: int
    queued: int
    at: float


@dataclasses.dataclass(slots=True)
class ShardState:
    """One shard at this entry.

    Attributes:
      shard: The shard as the settings describe it.
      grantor: Its row if this entry is, or may become, grantor.
      lease: Its routing lease at this entry.
      watch: What is seen of its grantor.
      servers: Rows of its servers by id.
      load_table: Costs by slice, while this entry is grantor.
      server_loads: Last report by (delegate, server).
      contention: Verdict by server.
      recorder: What this entry's own requests cost, by slice.
      reported_at: When that was last reported, ms.
      chosen_for: The membership's count of changes that `chosen` follows.
      chosen: Entries that should be delegates.
      ranked: The same as candidates for grantor, best first.
      planned_at: When loads were last weighed, ms.
      judged_at: When contention was last judged, ms.
      members_seen: The membership's count of changes last acted on.
      plan_now: A server came or went: plan without waiting.
      moves: Moves asked for, since the start.
      takeovers: How often this entry took the shard, since the start.
      cut_off: Servers that others reach and this entry does not.
      asks: The other delegates are to be asked when they heard the grantor.
    """

    shard: catalogs.Shard
    grantor: grants.GrantorRow
    lease: delegates.LeaseRow
    watch: successors.GrantorWatch
    servers: dict[str, tables.Server] = dataclasses.field(default_factory=dict)
    load_table: means.LoadTable | None = None
    server_loads: dict[tuple[str, str],
                       ServerLoad] = dataclasses.field(default_factory=dict)
    contention: dict[str,
                     homes.Contention] = dataclasses.field(default_factory=dict)
    recorder: loads.Recorder | None = None
    reported_at: float = 0.0
    chosen_for: int = -1
    chosen: list[tables.Instance] = dataclasses.field(default_factory=list)
    ranked: list[tables.Instance] = dataclasses.field(default_factory=list)
    planned_at: float = 0.0
    judged_at: float = 0.0
    members_seen: int = -1
    plan_now: bool = False
    moves: int = 0
    takeovers: int = 0
    asks: bool = False
    cut_off: frozenset[str] = frozenset()

    @property
    def table(self) -> grants.GrantorTable:
        """The grantor row as a table of one."""
        return {self.shard.id: self.grantor}


def make_state(shard: catalogs.Shard, me: str, now: float) -> ShardState:
    """Returns the state of a shard that is new to this entry."""
    timing = shard.settings.grants
    row = grantors.make_row(shard.id,
                            me,
                            lifetime_ms=float(timing.lifetime_ms),
                            renew_ms=float(timing.renew_ms),
                            order_delay_ms=float(timing.order_delay_ms),
                            slices_per_server=shard.settings.slices_per_server,
                            keyed=shard.settings.keyed,
                            number=shard.number,
                            shards=shard.settings.shards)
    state = ShardState(shard, row, delegates.make_row(shard.id, me, now),
                       successors.GrantorWatch(UNKNOWN, row.renew_ms, now))
    take_settings(state, shard, now)
    return state


def take_settings(state: ShardState, shard: catalogs.Shard, now: float) -> None:
    """Takes new settings over: servers that come, change, leave or go."""
    state.shard = shard
    for name in state.servers.keys() - shard.servers.keys():
        del state.servers[name]
        _apply(state, grants.ServerRemoved(shard.id, name), now)
    for name, settings in shard.servers.items():
        wanted = catalogs.make_server(shard, settings)
        known = state.servers.get(name)
        if known is None or _differs(known, wanted):
            if known is not None and known.liveness is _Liveness.DEAD:
                wanted.liveness = _Liveness.DEAD
            state.servers[name] = wanted
            _apply(
                state,
                grants.ServerAdded(shard.id, name, wanted.address,
                                   wanted.checks_grants), now)
            state.plan_now = True
        if wanted.liveness is _Liveness.LEAVING:
            _apply(state, grants.ServerLeaving(shard.id, name), now)


def _differs(known: tables.Server, wanted: tables.Server) -> bool:
    if (known.liveness is _Liveness.LEAVING) != (wanted.liveness
                                                 is _Liveness.LEAVING):
        return True
    same = dataclasses.replace(known,
                               liveness=wanted.liveness,
                               warm_since=wanted.warm_since)
    return same != wanted


def note_liveness(state: ShardState, server: str, after: tables.Liveness,
                  now: float) -> None:
    """Takes over a new verdict on a server."""
    row = state.servers.get(server)
    if row is None:
        return
    before, row.liveness = row.liveness, after
    if after is _Liveness.DEAD:
        _apply(state, grants.ServerLost(state.shard.id, server), now)
        state.plan_now = True
    elif before is _Liveness.DEAD:
        row.warm_since = now
        _apply(state, grants.ServerBack(state.shard.id, server), now)
        state.plan_now = True


def step(state: ShardState, instances: Mapping[str, tables.Instance],
         members_changes: int, me: str, now: float) -> list[grants.Action]:
    """Does what is due for one shard.

    Args:
      state: The shard; changed.
      instances: All entries by id.
      members_changes: Grows when a choice of roles may change.
      me: This entry's id.
      now: Milliseconds.

    Returns:
      Calls to be made.
    """
    if state.chosen_for != members_changes:
        state.chosen_for = members_changes
        state.chosen = roles.pick_delegates(state.shard.id, instances.values())
        state.ranked = roles.rank_grantors(state.shard.id, state.chosen)
    chosen = state.chosen
    _step_takeover(state, me, now)
    if is_grantor(state):
        _step_members(state, chosen, members_changes, now)
        _step_contention(state, chosen, now)
        _step_plan(state, now)
    else:
        state.members_seen = -1
        state.load_table = None
    return grantors.step_grantor(state.table, now)


def follow_up(state: ShardState, now: float) -> list[grants.Action]:
    """Returns the calls that an event has made due."""
    return grantors.step_grantor(state.table, now)


def note_ended(state: ShardState, ended: frozenset[str], now: float) -> None:
    """Notes which processes have certainly ended.

    Only the platform's word counts here, never silence: a delegate that is
    merely out of reach may go on with what an earlier grantor allowed it.

    Args:
      state: The shard.
      ended: Ids of entries.
      now: Milliseconds.
    """
    for name in authority.list_members(state.grantor):
        if name in ended:
            _apply(state, grants.DelegateEnded(state.shard.id, name), now)


def list_delegates(state: ShardState) -> list[str]:
    """Returns the delegates that the shard's record names."""
    return authority.list_members(state.grantor)


def is_gathering(state: ShardState) -> bool:
    """Returns whether this entry waits for delegates' answers."""
    return state.grantor.stage is grants.Stage.GATHERING


def is_grantor(state: ShardState) -> bool:
    """Returns whether this entry is grantor, or about to be."""
    return state.grantor.stage is not grants.Stage.IDLE


def is_serving(state: ShardState, now: float) -> bool:
    """Returns whether this entry may act as grantor now."""
    return grantors.is_authoritative(state.grantor, now)


def authority_until(state: ShardState) -> float:
    """Returns when this entry's authority as grantor ends, ms."""
    return authority.find_end(state.grantor)


def resign(state: ShardState, now: float) -> None:
    """Stops being grantor; what was granted runs out or is taken over."""
    _apply(state, grants.Resign(state.shard.id), now)


def fold_report(state: ShardState, report: loads.Report, now: float) -> None:
    """Takes in what a delegate counted."""
    if state.load_table is not None:
        means.fold(state.load_table, report, now)


def apply(state: ShardState, event: grants.Event, now: float) -> None:
    """Takes in an event of ownership."""
    _apply(state, event, now)


def _apply(state: ShardState, event: grants.Event, now: float) -> None:
    grantors.apply_event(state.table, event, now)


def _step_takeover(state: ShardState, me: str, now: float) -> None:
    row = state.grantor
    if is_grantor(state):
        # Before it has an epoch of its own, any other one is higher.
        has_epoch = row.stage in (grants.Stage.GATHERING, grants.Stage.SERVING)
        superseded = (state.lease.epoch > row.epoch and
                      state.lease.grantor != me)
        if has_epoch and superseded:
            resign(state, now)
        return
    ranked = state.ranked
    if all(item.id != me for item in ranked):
        state.asks = False
        return
    heard = frozenset(
        item.id for item in ranked if now - item.heard_at < HEARD_MS)
    advice = successors.advise(state.watch, me, [item.id for item in ranked],
                               heard, now)
    state.asks = advice is successors.Advice.ASK
    if advice is not successors.Advice.TAKE:
        return
    successors.note_heard(state.watch, '', now)
    state.takeovers += 1
    names = tuple(item.id for item in ranked)
    _apply(state, grants.ChooseDelegates(state.shard.id, names), now)
    _apply(state, grants.Takeover(state.shard.id, 'silent'), now)


def _step_members(state: ShardState, chosen: list[tables.Instance],
                  members_changes: int, now: float) -> None:
    if state.members_seen == members_changes:
        return
    state.members_seen = members_changes
    shard = state.shard.id
    _apply(state,
           grants.ChooseDelegates(shard, tuple(item.id for item in chosen)),
           now)


def _step_contention(state: ShardState, chosen: list[tables.Instance],
                     now: float) -> None:
    if now - state.judged_at < CONTENTION_EVERY_MS:
        return
    state.judged_at = now
    contended = frozenset(server.id
                          for server in state.servers.values()
                          if _judge_server(state, server, now))
    places = [homes.Place(item.id, item.failure_domain) for item in chosen]
    servers = [
        homes.Place(item.id, item.failure_domain)
        for item in state.servers.values()
    ]
    _apply(
        state,
        grants.SetHomes(state.shard.id, homes.assign_homes(servers, places),
                        contended), now)


def _judge_server(state: ShardState, server: tables.Server, now: float) -> bool:
    row = state.contention.setdefault(server.id, homes.Contention())
    in_flight = 0
    queued = 0
    for (_, name), load in state.server_loads.items():
        if name == server.id and now - load.at < LOAD_LIFETIME_MS:
            in_flight += load.in_flight
            queued += load.queued
    return homes.judge_contention(row, in_flight / server.slots, queued, now)


def _step_plan(state: ShardState, now: float) -> None:
    row = state.grantor
    if not state.shard.settings.keyed or not is_serving(state, now):
        return
    _follow_map(state, now)
    due = state.plan_now or now - state.planned_at >= PLAN_EVERY_MS
    if not due:
        return
    state.planned_at = now
    state.plan_now = False
    limits = plans.make_limits(state.shard.settings)
    plan = balance.plan(row.committed, means.read(state.load_table, now),
                        state.servers, state.shard.weights, limits, now)
    if plan.moves or plan.splits or plan.merges:
        state.moves += len(plan.moves)
        _apply(state, grants.PlanMoves(state.shard.id, plan), now)


def _follow_map(state: ShardState, now: float) -> None:
    committed = state.grantor.committed
    if state.load_table is None:
        state.load_table = means.make_table(committed, now)
    elif state.load_table.slice_map.version != committed.version:
        means.follow_map(state.load_table, committed, now)
