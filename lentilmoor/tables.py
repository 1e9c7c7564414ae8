"""Rows of the tables that systems run over.

A table is a plain dict of rows by id; rows are data classes without behaviour.
Times are milliseconds of the entry's own monotonic clock.
"""

import dataclasses
import enum


class Liveness(enum.Enum):
    """What an entry holds to be true of a server or an instance."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class Instance:
    """One entry instance, as listed by the platform.

    Attributes:
      id: Instance id; a replaced instance gets a new one.
      peer_address: host:port of its peer protocol.
      relay_address: host:port where peers hand it requests.
      region: Its region.
      failure_domain: Its failure domain.
      liveness: What this entry holds true of it.
      heard_at: When it was last heard from, ms; 0 if never.
    """

    id: str
    peer_address: str
    relay_address: str
    region: str
    failure_domain: str
    liveness: Liveness = Liveness.LIVE
    heard_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Server:
    """One backend server.

    Attributes:
      id: Server id, unique within its service.
      address: host:port.
      shard: Shard id, 'team/service/number'.
      failure_domain: Its failure domain.
      checks_grants: Whether it refuses orders without a valid grant.
      slots: Requests it runs at once.
      connections: Connections it accepts from all entries together.
      liveness: What this entry holds true of it.
      warm_since: When it began to serve, ms; 0 if it was always warm.
    """

    id: str
    address: str
    shard: str
    failure_domain: str
    checks_grants: bool = True
    slots: int = 2
    connections: int = 125
    liveness: Liveness = Liveness.LIVE
    warm_since: float = 0.0
