"""The control actor: owns the tables and runs the systems over them.

One actor per entry. Everything that reaches it is a typed message; what the
systems decide is carried out by a runner, whose results come back as
messages. Request threads never ask it: they read the snapshot it swaps in.
"""

import threading
from typing import Any

import pykka

from lentilmoor import controltables
from lentilmoor import evidencework
from lentilmoor import fleetwork
from lentilmoor import inbox
from lentilmoor import replies
from lentilmoor import settingswork
from lentilmoor import shardclaims
from lentilmoor import shardwork

_Tables = controltables.ControlTables


class Control(pykka.ThreadingActor):
    """The actor; its state is one `ControlTables`."""

    use_daemon_thread = True

    def __init__(self, tables: _Tables, failed: threading.Event):
        super().__init__()
        self._tables = tables
        self._failed = failed

    def on_receive(self, message: Any) -> None:
        """Handles one message; any other type is an event of ownership."""
        handler = _HANDLERS.get(type(message), shardwork.take_event)
        handler(self._tables, message, self._tables.clock.now())

    def on_failure(self, *_: object) -> None:
        """Lets the process end: an invariant is broken."""
        self._failed.set()


def _tick(tables: _Tables, message: inbox.Tick, now: float) -> None:
    del message
    evidencework.step(tables, now)
    fleetwork.step(tables, now)
    settingswork.step(tables, now)
    shardwork.step(tables, now)
    shardclaims.step(tables.claims, now)


def _ask(tables: _Tables, message: inbox.Ask, now: float) -> None:
    replies.give(message.reply, message.work(tables, now))


def _take_claim(tables: _Tables, message: inbox.ClaimAsked, now: float) -> None:
    shardclaims.ask(tables.claims, message.message, message.reply, now)


def _take_settlement(tables: _Tables, message: inbox.SettleAsked,
                     now: float) -> None:
    shardclaims.settle(tables.claims, message.message, message.reply, now)


def _take_claim_event(tables: _Tables, message: inbox.ClaimEvent,
                      now: float) -> None:
    shardclaims.take_event(tables.claims, message.shard, message.event, now)


_HANDLERS = {
    inbox.Tick: _tick,
    inbox.Ask: _ask,
    inbox.LeaseAsked: shardwork.take_lease,
    inbox.LeaseReplied: shardwork.take_lease_reply,
    inbox.ClaimAsked: _take_claim,
    inbox.SettleAsked: _take_settlement,
    inbox.ClaimEvent: _take_claim_event,
    inbox.ExchangeAsked: fleetwork.take_exchange,
    inbox.FetchAsked: fleetwork.take_fetch,
    inbox.GossipReplied: fleetwork.take_reply,
    inbox.EvidenceReplied: fleetwork.take_evidence_reply,
    inbox.InstancesListed: fleetwork.take_list,
    inbox.BranchesFound: settingswork.take_found,
    inbox.StoreSeen: settingswork.take_store,
    inbox.ProbeEnded: evidencework.take_probe,
    inbox.CrashSeen: evidencework.take_crash,
}
