"""The messages that reach the control actor."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Callable
from concurrent import futures
import dataclasses
from typing import Any

from lentilmoor import claimtables
from lentilmoor import gossip
from lentilmoor import grants
from lentilmoor import outcomes
from lentilmoor import probes
from lentilmoor import quarantine
from lentilmoor import stores
from lentilmoor.protocol import peer_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Something is to be read from, or done to, the tables.

    Attributes:
      work: (tables, now) -> result.
      reply: Gets the result.
    """

    work: Callable[[Any, float], Any]
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAsked:
    """A grantor's order; the reply goes to a future."""

    message: peer_pb2.LeaseRequest
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAsked:
    """A dispatcher's question; the reply goes to a future."""

    message: peer_pb2.ClaimRequest
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class SettleAsked:
    """A dispatcher's report; the reply goes to a future."""

    message: peer_pb2.SettleRequest
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeAsked:
    """A peer's exchange; the reply goes to a future."""

    message: peer_pb2.ExchangeMessage
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAsked:
    """A peer's fetch; the reply goes to a future."""

    message: peer_pb2.FetchRequest
    reply: futures.Future


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReplied:
    """A delegate's reply, with the loads that came along."""

    event: grants.LeaseAnswered
    message: peer_pb2.LeaseReply


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimEvent:
    """What came of a shard's call of the store for its claims."""

    shard: str
    event: claimtables.Event


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReplied:
    """What came of a call that membership or spread had asked for."""

    outgoing: gossip.Outgoing
    reply: peer_pb2.ExchangeMessage | peer_pb2.FetchReply | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReplied:
    """A peer's reply to an exchange that carried evidence only."""

    peer: str
    reply: peer_pb2.ExchangeMessage | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed:
    """A reading of the platform's list."""

    listed: tuple[stores.ListedInstance, ...] | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class BranchesFound:
    """Records of branches, from the store or accepted a moment ago."""

    records: tuple[stores.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSeen:
    """Whether the last call of the watcher was answered."""

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What a probe of a server showed.

    Attributes:
      probe: The probe.
      answered: Whether anything came back.
      refused: Whether the connection was refused.
      leaving: Whether the server said that it is leaving.
    """

    probe: probes.Probe
    answered: bool
    refused: bool = False
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashSeen:
    """Evidence on a request that is to reach the peers at once."""

    evidence: quarantine.Evidence
