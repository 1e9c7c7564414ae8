"""The rules by which a backend server holds grants.

Pure: the server's clock is handed in, so that tests drive the same rules in
simulated time. Fences are (epoch, sequence) and never go back.
"""

import dataclasses

from lentilmoor import ranges
from lentilmoor import servers

Fence = tuple[int, int]


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """What one server holds; times are of its own clock, in milliseconds.

    Attributes:
      granted: Fence of the grant that it holds.
      fence: Fence below which it refuses; may be higher than `granted`.
      owned: Points granted.
      expires_at: When the grant ends.
    """

    granted: Fence = (0, 0)
    fence: Fence = (0, 0)
    owned: tuple[ranges.Range, ...] = ()
    expires_at: float = float('-inf')

    def offer(self, order: servers.GrantOrder, now: float) -> bool:
        """Accepts an order unless its fence is older.

        An order without points renews what is held under its very fence. One
        whose echo lies ahead of the clock was meant for an earlier run of this
        server and is refused.

        Returns:
          Whether the order was accepted; it may have ended on arrival.
        """
        fence = (order.epoch, order.sequence)
        if fence < self.fence or order.clock_echo_ms > now:
            return False
        expires_at = order.clock_echo_ms + order.lifetime_ms
        if fence == self.granted:
            if order.owned not in (None, self.owned):
                return False
            self.expires_at = max(self.expires_at, expires_at)
            return True
        if order.owned is None:
            return False
        self.granted = self.fence = fence
        self.owned = order.owned
        self.expires_at = expires_at
        return True

    def raise_fence(self, epoch: int) -> None:
        """Refuses orders of older epochs from now on; keeps what is held."""
        self.fence = max(self.fence, (epoch, 0))

    def covers(self, point: int, now: float) -> bool:
        """Returns whether a point is held now."""
        return now < self.expires_at and ranges.covers(self.owned, point)

    def remaining_ms(self, now: float) -> float:
        """Returns how long the grant still lasts."""
        return max(0.0, self.expires_at - now)
