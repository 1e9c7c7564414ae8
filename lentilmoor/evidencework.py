"""The control actor's work on evidence: servers' liveness, crashes, probes."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable
from collections.abc import Mapping

from lentilmoor import controltables
from lentilmoor import dispatchers
from lentilmoor import evidence
from lentilmoor import inbox
from lentilmoor import liveness
from lentilmoor import loads
from lentilmoor import outcomes
from lentilmoor import probes
from lentilmoor import quarantine
from lentilmoor import reports
from lentilmoor import roles
from lentilmoor import shardstates
from lentilmoor import shardwork
from lentilmoor import successors
from lentilmoor import tables as rows
from lentilmoor.protocol import peer_pb2

_Tables = controltables.ControlTables
_End = dispatchers.TryEnd

# Evidence goes to the grantor and to so many who would follow it.
TOLD_CANDIDATES = 2

# How a try's end counts for the liveness of its server. A server that
# refuses for load, or for want of a grant, is alive.
_RESULTS = {
    _End.ANSWERED: evidence.Result.ANSWERED,
    _End.SHED: evidence.Result.ANSWERED,
    _End.NOT_GRANTED: evidence.Result.ANSWERED,
    _End.REFUSED: evidence.Result.REFUSED,
    _End.LOST: evidence.Result.LOST,
    _End.TIMED_OUT: evidence.Result.TIMED_OUT,
}


def step(tables: _Tables, now: float) -> None:
    """Takes in what requests saw, weighs all evidence and sends probes."""
    _take_observations(tables, now)
    instances = tables.instances()
    if tables.probes_due:
        tables.probes_due = False
        assign_probes(tables, instances)
    for action in liveness.step(tables.liveness, instances, now):
        if isinstance(action, liveness.Change):
            _change(tables, action, now)
        else:
            _tell(tables, action, instances)
    _follow_pauses(tables, now)
    _follow_cuts(tables)
    for probe in probes.step(tables.probes, tables.liveness, now):
        tables.calls.probe(probe)
    quarantine.step(tables.dispatcher.suspects, now)


def take_probe(tables: _Tables, message: inbox.ProbeEnded, now: float) -> None:
    """Takes in what a probe showed."""
    probe = message.probe
    key = (probe.shard, probe.server)
    probes.note_end(tables.probes, probe)
    result = evidence.Result.TIMED_OUT
    if message.answered:
        result = evidence.Result.ANSWERED
    elif message.refused:
        result = evidence.Result.REFUSED
    evidence.record(tables.liveness, key, evidence.Source.PROBE, result,
                    probe.sent_at, now)
    if message.answered:
        settings = _find_settings(tables, probe.shard, probe.server)
        leaving = message.leaving or (settings is not None and settings.leaving)
        evidence.mark_leaving(tables.liveness, key, leaving)


def take_crash(tables: _Tables, message: inbox.CrashSeen, now: float) -> None:
    """Sends crash evidence to all delegates of its service at once."""
    del now
    crash = reports.write_crash(message.evidence)
    instances = tables.instances()
    names = set()
    for shard in tables.shards:
        if shard.rpartition('/')[0] == message.evidence.service:
            chosen = roles.pick_delegates(shard, instances.values())
            names.update(row.id for row in chosen)
    _send(tables, names, instances, crashes=[crash])


def take_peer_evidence(tables: _Tables, message: peer_pb2.ExchangeMessage,
                       now: float) -> None:
    """Takes in the evidence that a peer's exchange carries."""
    if message.servers:
        evidence.merge(tables.liveness, message.instance,
                       message.failure_domain,
                       reports.read_evidence(message.servers), now)
    if message.crashes:
        quarantine.merge(tables.dispatcher.suspects,
                         reports.read_crashes(message.crashes), now)


def assign_probes(tables: _Tables, instances: Mapping[str,
                                                      rows.Instance]) -> None:
    """Sets which servers this entry probes."""
    addresses = {}
    mine = set()
    granted = set()
    for state in tables.shards.values():
        if shardstates.is_grantor(state):
            granted.update((state.shard.id, name) for name in state.servers)
        for server in state.servers.values():
            addresses[state.shard.id, server.id] = server.address
            name = f'{state.shard.id}/{server.id}'
            probers = roles.pick_probers(name, instances.values())
            if any(row.id == tables.me for row in probers):
                mine.add((state.shard.id, server.id))
    probes.assign(tables.probes, addresses, mine, granted)


def _take_observations(tables: _Tables, now: float) -> None:
    queue = tables.dispatcher.observations
    costs: dict[str, list[dispatchers.Observation]] = {}
    for _ in range(len(queue)):
        item = queue.popleft()
        result = _RESULTS.get(item.end)
        if result is None:
            continue
        evidence.record(tables.liveness, (item.shard, item.server),
                        evidence.Source.REQUEST, result, item.began_at, item.at)
        if item.cost_ms:
            costs.setdefault(item.shard, []).append(item)
    for shard, items in costs.items():
        state = tables.shards.get(shard)
        if state is not None and state.recorder is not None:
            loads.record(state.recorder, [item.point for item in items],
                         [item.cost_ms for item in items])
    del now


def _follow_pauses(tables: _Tables, now: float) -> None:
    """After a pause of this process, no grantor's silence in it counts."""
    if tables.liveness.pauses == tables.pauses_seen:
        return
    tables.pauses_seen = tables.liveness.pauses
    for state in tables.shards.values():
        successors.note_paused(state.watch, now)


def _follow_cuts(tables: _Tables) -> None:
    """Routes around servers that only this entry can't reach."""
    for state in tables.shards.values():
        cut_off = frozenset(
            name for name in state.servers
            if liveness.is_cut_off(tables.liveness, (state.shard.id, name)))
        if cut_off != state.cut_off:
            state.cut_off = cut_off
            shardwork.rebuild_route(tables, state)


def _change(tables: _Tables, change: liveness.Change, now: float) -> None:
    tables.calls.note_change('server_liveness',
                             f'{change.shard}/{change.server}', change.after)
    state = tables.shards.get(change.shard)
    if state is None:
        return
    shardstates.note_liveness(state, change.server, change.after, now)
    gate = tables.dispatcher.gates.get((change.shard, change.server))
    if gate is not None and change.after is rows.Liveness.DEAD:
        gate.evict(outcomes.Reason.NO_OWNER, 'its server is lost')
    elif gate is not None and change.before is rows.Liveness.DEAD:
        gate.warm(now)
    shardwork.rebuild_route(tables, state)


def _tell(tables: _Tables, told: liveness.Tell,
          instances: Mapping[str, rows.Instance]) -> None:
    """Sends an opinion to who is to act on it, and to who may confirm it."""
    item = told.item
    state = tables.shards.get(item.shard)
    if state is None:
        return
    chosen = roles.pick_delegates(item.shard, instances.values())
    candidates = roles.rank_grantors(item.shard, chosen)[:TOLD_CANDIDATES]
    names = {row.id for row in candidates} | {state.watch.grantor}
    if item.failures:
        probers = roles.pick_probers(f'{item.shard}/{item.server}',
                                     instances.values())
        names |= {row.id for row in probers}
    else:
        names |= told.doubters
    _send(tables, names, instances, servers=[reports.write_evidence(item)])


def _send(
    tables: _Tables,
    names: Iterable[str],
    instances: Mapping[str, rows.Instance],
    servers: Iterable[peer_pb2.ServerEvidence] = (),
    crashes: Iterable[peer_pb2.CrashEvidence] = ()
) -> None:
    for name in names:
        row = instances.get(name)
        if row is None or name == tables.me:
            continue
        message = peer_pb2.ExchangeMessage(
            instance=tables.me,
            failure_domain=tables.own.failure_domain,
            servers=servers,
            crashes=crashes)
        tables.calls.send_evidence(name, row.peer_address, message)


def _find_settings(tables: _Tables, shard: str, server: str):
    state = tables.shards.get(shard)
    return state.shard.servers.get(server) if state else None
