"""State of one entry's part in membership and spread, and its calls."""

import dataclasses
import enum
import random

from google.protobuf import message as protobuf

from lentilmoor import counts
from lentilmoor import members as membership
from lentilmoor import neighbours
from lentilmoor import spread


@dataclasses.dataclass(frozen=True, slots=True)
class GossipSettings:
    """Times of the exchanges, ms.

    Attributes:
      beat_ms: How often the watched and one more of each kind are called.
      push_ms: Least time between two pushes to the same peer.
      relink_ms: Least time between two choices of links.
      settle_ms: A difference is looked into once our copy was quiet so long.
      force_ms: A difference is looked into after so long in any case.
      heal_ms: How often somebody out of reach is tried.
      timeout_ms: Deadline of a call.
      fetch_timeout_ms: Deadline of a fetch.
    """

    beat_ms: float = 1_000.0
    push_ms: float = 100.0
    relink_ms: float = 1_000.0
    settle_ms: float = 1_000.0
    force_ms: float = 10_000.0
    heal_ms: float = 5_000.0
    timeout_ms: float = 500.0
    fetch_timeout_ms: float = 2_000.0


class Call(enum.Enum):
    """Which call of the peer protocol carries a message."""

    EXCHANGE = 'exchange'
    FETCH = 'fetch'


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A call to be made; its outcome goes to `take_reply`.

    Attributes:
      peer: Instance id.
      address: host:port of the peer protocol.
      call: Which call.
      message: ExchangeMessage or FetchRequest; a runner may add evidence and
        load to an ExchangeMessage.
      timeout_ms: Its deadline.
      keys: Items pushed or fetched by it.
      told: Counts told by it.
    """

    peer: str
    address: str
    call: Call
    message: protobuf.Message
    timeout_ms: float
    keys: tuple[str, ...] = ()
    told: tuple[counts.Count, ...] = ()


@dataclasses.dataclass(slots=True)
class Gossip:
    """State of one entry's part.

    Attributes:
      members: Who is there.
      replica: Our copy of all items.
      counts: Who has which version in force.
      rng: Seeded source of chance.
      settings: Times.
      links: Present links.
      busy: Peers with a push or a fetch under way.
      joined: Whether everything that a peer held at our start is here.
      listed: Whether the platform's list has been read.
      joining: Peer from which it is being fetched; empty if from none.
      page_after: Last key fetched so.
      beat_at: When the last beat was, ms.
      linked_at: When links were last chosen, ms.
      linked_changes: `members.changes` at that time.
      compared_at: When a comparison of trees last began, ms.
      healed_at: When somebody out of reach was last tried, ms.
      beats: Count of beats.
      pushed_at: When each peer was last pushed to, ms.
    """

    members: membership.Members
    replica: spread.Replica
    counts: counts.Counts
    rng: random.Random
    settings: GossipSettings
    links: neighbours.Neighbours = neighbours.Neighbours()
    busy: set[str] = dataclasses.field(default_factory=set)
    joined: bool = False
    listed: bool = False
    joining: str = ''
    page_after: str = ''
    beat_at: float = float('-inf')
    linked_at: float = float('-inf')
    linked_changes: int = -1
    compared_at: float = 0.0
    healed_at: float = 0.0
    beats: int = 0
    pushed_at: dict[str, float] = dataclasses.field(default_factory=dict)
