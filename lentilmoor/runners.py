"""Carries out what systems decide: calls to the store, servers and peers.

Systems return actions and do no I/O; a runner makes the call on a thread that
may wait and tells the control actor what came of it, as an event.
"""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
from concurrent import futures
import contextlib
import dataclasses

from lentilmoor import claimtables
from lentilmoor import exceptions
from lentilmoor import gossip
from lentilmoor import grants
from lentilmoor import inbox
from lentilmoor import leasing
from lentilmoor import outcomes
from lentilmoor import peers
from lentilmoor import probes
from lentilmoor import records
from lentilmoor import servers
from lentilmoor import stores
from lentilmoor.protocol import peer_pb2

STORE_THREADS = 4
SERVER_THREADS = 8
PROBE_THREADS = 8
LEASE_TIMEOUT_MS = 400.0
EVIDENCE_TIMEOUT_MS = 300.0

_Reason = outcomes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Outside:
    """What a runner calls.

    Attributes:
      me: This entry's id.
      store: The platform's store.
      servers: Backend servers' control.
      peers: Other entries.
      find_peer: Returns the peer address of an entry id, or None.
      tell: Takes an event; must not block.
    """

    me: str
    store: stores.Store
    servers: servers.Servers
    peers: peers.Peers
    find_peer: Callable[[str], str | None]
    tell: Callable[[object], None]


class Runner:
    """Makes calls on threads of its own.

    Attributes:
      outside: What is called.
    """

    def __init__(self, outside: Outside):
        self.outside = outside
        self._store_threads = futures.ThreadPoolExecutor(STORE_THREADS, 'store')
        self._server_threads = futures.ThreadPoolExecutor(
            SERVER_THREADS, 'servers')
        self._probe_threads = futures.ThreadPoolExecutor(
            PROBE_THREADS, 'probes')
        self._methods = {
            grants.ReadRecord: self._read_record,
            grants.SwapRecord: self._swap_record,
            grants.AskServer: self._ask_server,
            grants.SendGrant: self._send_grant,
        }

    def run(self, action: grants.Action) -> None:
        """Carries out an action of ownership."""
        if isinstance(action, grants.SendLease):
            self._send_lease(action)
            return
        threads = self._server_threads
        if isinstance(action, (grants.ReadRecord, grants.SwapRecord)):
            threads = self._store_threads
        method = self._methods[type(action)]
        self.submit(threads, lambda: self.outside.tell(method(action)))

    def run_claim(
            self, shard: str,
            action: claimtables.ReadSegments | claimtables.SwapSegment) -> None:
        """Carries out a call of the store for a shard's claims."""
        self.submit(
            self._store_threads, lambda: self.outside.tell(
                inbox.ClaimEvent(shard, self._call_segments(action))))

    def send_gossip(self, outgoing: gossip.Outgoing) -> None:
        """Makes a call of membership or spread."""
        call = self.outside.peers.call_exchange
        if outgoing.call is gossip.Call.FETCH:
            call = self.outside.peers.call_fetch
        done = call(outgoing.address, outgoing.message, outgoing.timeout_ms)
        done.add_done_callback(lambda reply: self.outside.tell(
            inbox.GossipReplied(outgoing, reply.result())))

    def send_evidence(self, peer: str, address: str,
                      message: peer_pb2.ExchangeMessage) -> None:
        """Sends a peer evidence or a question."""
        done = self.outside.peers.call_exchange(address, message,
                                                EVIDENCE_TIMEOUT_MS)
        done.add_done_callback(lambda reply: self.outside.tell(
            inbox.EvidenceReplied(peer, reply.result())))

    def probe(self, probe: probes.Probe) -> None:
        """Asks a server for any sign of life, over a fresh connection."""
        self.submit(self._probe_threads,
                    lambda: self.outside.tell(self._probe(probe)))

    def read_list(self) -> None:
        """Reads the platform's list of instances."""
        self.run_store(lambda: self.outside.tell(
            inbox.InstancesListed(self.outside.store.instances())))

    def run_store(self, work: Callable[[], None]) -> None:
        """Does other work with the store."""
        self.submit(self._store_threads, work)

    def run_server(self, work: Callable[[], None]) -> None:
        """Does other work with servers."""
        self.submit(self._server_threads, work)

    def submit(self, threads: futures.ThreadPoolExecutor,
               work: Callable[[], None]) -> None:
        """Does work on a thread; after `stop` nothing is done."""
        # A pool that is shut down refuses: the process is about to end.
        with contextlib.suppress(RuntimeError):
            threads.submit(work)

    def stop(self) -> None:
        """Makes no further calls."""
        self._store_threads.shutdown(wait=False, cancel_futures=True)
        self._server_threads.shutdown(wait=False, cancel_futures=True)
        self._probe_threads.shutdown(wait=False, cancel_futures=True)

    def _read_record(self, action: grants.ReadRecord) -> grants.Event:
        found = self.outside.store.read(records.make_key(action.shard))
        if isinstance(found, stores.Record):
            record = _decode(found)
            if record is None:
                return grants.StoreFailed(action)
            return grants.RecordRead(action, record, found.version)
        if found.reason is _Reason.NOT_FOUND:
            return grants.RecordRead(action, None, 0)
        return grants.StoreFailed(action)

    def _swap_record(self, action: grants.SwapRecord) -> grants.Event:
        result = self.outside.store.swap(records.make_key(action.shard),
                                         records.encode(action.record),
                                         action.expected_version)
        if isinstance(result, stores.Record):
            return grants.RecordSwapped(action, result.version)
        if isinstance(result, outcomes.Failed):
            return grants.StoreFailed(action)
        if result.current is None:
            return grants.SwapConflict(action, None, 0)
        record = _decode(result.current)
        if record is None:
            return grants.StoreFailed(action)
        return grants.SwapConflict(action, record, result.current.version)

    def _ask_server(self, action: grants.AskServer) -> grants.Event:
        held = self.outside.servers.ask(action.address, action.epoch)
        if isinstance(held, outcomes.Failed):
            return grants.CallFailed(action)
        return grants.ServerAnswered(action, held.clock_ms,
                                     (held.epoch, held.sequence))

    def _send_grant(self, action: grants.SendGrant) -> grants.Event:
        order = servers.GrantOrder(action.shard, action.epoch, action.sequence,
                                   action.clock_echo_ms, action.lifetime_ms,
                                   action.owned)
        answer = self.outside.servers.grant(action.address, order)
        if isinstance(answer, servers.GrantAnswer):
            return grants.GrantAnswered(action, answer.clock_ms)
        if isinstance(answer, servers.GrantRefused):
            return grants.GrantRefused(action, answer.clock_ms,
                                       (answer.epoch, answer.sequence))
        return grants.CallFailed(action)

    def _probe(self, probe: probes.Probe) -> inbox.ProbeEnded:
        if probe.kept:
            return self._probe_kept(probe)
        found = self.outside.servers.health(probe.address, probe.timeout_ms)
        if isinstance(found, outcomes.Failed):
            refused = found.reason is _Reason.CONNECT_FAILED
            return inbox.ProbeEnded(probe, answered=False, refused=refused)
        return inbox.ProbeEnded(probe, answered=True, leaving=found.leaving)

    def _probe_kept(self, probe: probes.Probe) -> inbox.ProbeEnded:
        """Asks on the connection that grants go by: it has one already."""
        held = self.outside.servers.ask(probe.address, None)
        failed = isinstance(held, outcomes.Failed)
        answered = not failed or held.reason is _Reason.INVALID
        refused = failed and held.reason is _Reason.CONNECT_FAILED
        return inbox.ProbeEnded(probe, answered, refused)

    def _send_lease(self, action: grants.SendLease) -> None:
        message = leasing.write_order(action.order)
        address = self.outside.find_peer(action.delegate)
        if action.delegate == self.outside.me:
            call: futures.Future = futures.Future()
            self.outside.tell(inbox.LeaseAsked(message, call))
        elif address is not None:
            call = self.outside.peers.call_lease(address, message,
                                                 LEASE_TIMEOUT_MS)
        else:
            self.outside.tell(grants.CallFailed(action))
            return
        call.add_done_callback(
            lambda done: self.outside.tell(_read_lease(action, done.result())))

    def _call_segments(
        self, action: claimtables.ReadSegments | claimtables.SwapSegment
    ) -> claimtables.Event:
        store = self.outside.store
        if isinstance(action, claimtables.ReadSegments):
            return claimtables.SegmentsRead(action.prefix,
                                            store.list(action.prefix))
        return claimtables.SegmentSwapped(
            action.key,
            store.swap(action.key, action.payload, action.expected_version))


def _decode(found: stores.Record) -> records.ShardRecord | None:
    """Returns the record; None if the store holds something else."""
    try:
        return records.decode(found.value)
    except exceptions.InvariantError:
        return None


def _read_lease(action: grants.SendLease,
                reply: object) -> inbox.LeaseReplied | grants.CallFailed:
    if not isinstance(reply, peer_pb2.LeaseReply):
        return grants.CallFailed(action)
    event = grants.LeaseAnswered(action, leasing.read_reply(reply))
    return inbox.LeaseReplied(event, reply)
