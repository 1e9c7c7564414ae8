"""Parts of an entry that are closures over it.

The calls of the request path, the handlers of the peer protocol, and the
tables that the control actor starts with.
"""

from __future__ import annotations

from collections.abc import Callable
from concurrent import futures
import logging
from typing import TYPE_CHECKING

from lentilmoor import adapters
from lentilmoor import claiming
from lentilmoor import clocks
from lentilmoor import connections
from lentilmoor import controltables
from lentilmoor import evidence
from lentilmoor import gateways
from lentilmoor import gossip
from lentilmoor import inbox
from lentilmoor import logs
from lentilmoor import outcomes
from lentilmoor import peers
from lentilmoor import runs
from lentilmoor import shardclaims

if TYPE_CHECKING:
    from lentilmoor import entries

SETTLE_THREADS = 4
# Another entry takes new connections as fast as they come.
RELAY_OPENS = {'opens_per_s': 200.0, 'burst': 64.0}


def make_error_log(base: entries.Base) -> gateways.LogError:
    """Returns what takes the faults of the HTTP servers."""
    errors = base.registry.counter('lentilmoor_request_errors',
                                   'Requests that ended in a fault').labeled()

    def log_error(message: str = '',
                  level: int = logging.INFO,
                  traceback: bool = False) -> None:
        if level < logging.WARNING:
            return
        if level < logging.ERROR:
            base.logger.warning('request_error', error=message)
            return
        errors.add()
        base.logger.error('request_error', error=message, exc_info=traceback)

    return log_error


def make_wiring(entry: entries.Entry) -> runs.Wiring:
    """Returns what the request path calls."""
    base = entry.base
    pools = adapters.Pools(connections.PoolLimits(), base.clock)
    relays = adapters.Pools(
        connections.PoolLimits(max_open=base.settings.relay_threads,
                               **RELAY_OPENS), base.clock)
    settling = futures.ThreadPoolExecutor(SETTLE_THREADS, 'settling')
    lines = claiming.Lines(tell=entry.tell,
                           peers=lambda: entry.peers,
                           later=settling.submit)
    return runs.Wiring(
        send=adapters.make_send(pools, base.clock),
        relay=adapters.make_hand(relays, base.clock, base.secret),
        claim=claiming.make_claim(entry.dispatcher, lines),
        spread_crash=lambda item: entry.tell(inbox.CrashSeen(item)))


def make_handlers(entry: entries.Entry) -> peers.Handlers:
    """Returns what answers other entries' calls."""

    def make(kind: Callable[[object, futures.Future], object]):

        def handle(message: object) -> futures.Future | outcomes.Failed:
            if entry.actor is None:
                return outcomes.Failed(outcomes.Reason.PEER_UNAVAILABLE,
                                       'starting')
            reply: futures.Future = futures.Future()
            entry.tell(kind(message, reply))
            return reply

        return handle

    return peers.Handlers(exchange=make(inbox.ExchangeAsked),
                          fetch=make(inbox.FetchAsked),
                          lease=make(inbox.LeaseAsked),
                          claim=make(inbox.ClaimAsked),
                          settle=make(inbox.SettleAsked))


def make_tables(entry: entries.Entry) -> controltables.ControlTables:
    """Returns the tables of the control actor, empty."""
    base = entry.base
    now = base.clock.now()
    incarnation = int(base.clock.wall() / clocks.MS_PER_S)
    runner = entry.runner
    calls = controltables.Calls(run=runner.run,
                                send_gossip=runner.send_gossip,
                                send_evidence=runner.send_evidence,
                                probe=runner.probe,
                                read_list=runner.read_list,
                                note_change=logs.make_change_logger(
                                    base.logger))
    return controltables.ControlTables(
        own=entry.own,
        settings=base.settings,
        clock=base.clock,
        calls=calls,
        dispatcher=entry.dispatcher,
        gossip=gossip.make_gossip(entry.own, incarnation, now, base.generator),
        liveness=evidence.LivenessTable(base.id, base.settings.failure_domain),
        claims=shardclaims.ShardClaims(base.clock, runner.run_claim))
