"""State of this entry's paths to backend servers (see `reachability`)."""

import dataclasses
import math
import threading


@dataclasses.dataclass(slots=True)
class Reachability:
    """What this entry observes of its paths to servers; times in ms.

    Attributes:
      answered_at: When a server last answered anything.
      granted_at: When a server last answered a grant.
      failures: When a server was last found not to answer, by server id. Only
        servers that have not answered since `answered_at`.
      unreachable_since: When this entry found that it can't reach any server;
        None while it can.
      checked_at: When the last checks began.
      is_checking: Whether checks are in progress.
      lock: Guards all other attributes.
    """

    answered_at: float = -math.inf
    granted_at: float = -math.inf
    failures: dict[str, float] = dataclasses.field(default_factory=dict)
    unreachable_since: float | None = None
    checked_at: float = -math.inf
    is_checking: bool = False
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    @property
    def is_lost(self) -> bool:
        """Whether this entry can't reach any server."""
        return self.unreachable_since is not None
