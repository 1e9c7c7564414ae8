"""What each caller has used of one server, over all classes.

A caller that is ahead of the least of those that wait by more than a burst is
over its share, whatever the class of its requests. An account that comes back
after a pause starts near that least, so idleness earns no claim.
"""

import dataclasses

BURST = 25  # Mean requests that a caller may be ahead of the others.
_MEAN_WEIGHT = 0.02
_SPARE_ACCOUNTS = 64


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """What one caller has used of a server.

    Attributes:
      used_ms: Service charged; only differences between accounts matter.
      waiting: Its requests that wait, in all classes.
      holding: Those of them in classes that can't be deferred.
      return_at: When the last of its refused requests may come back, ms.
    """

    used_ms: float
    waiting: int = 0
    holding: int = 0
    return_at: float = 0.0


class Ledger:
    """The accounts of all callers of one server.

    Attributes:
      floor_ms: The least used by a caller that waits; never goes back.
      burst_ms: How far a caller may be ahead of it.
    """

    def __init__(self):
        self.floor_ms = 0.0
        self.burst_ms = 0.0
        self._accounts: dict[str, Account] = {}
        self._waiting: dict[str, Account] = {}

    def find(self, caller: str) -> Account | None:
        """Returns a caller's account, if it has or lately had requests."""
        return self._accounts.get(caller)

    def join(self, caller: str, deferrable: bool) -> Account:
        """Counts in one waiting request of a caller."""
        account = self._accounts.get(caller)
        if account is None:
            if len(self._accounts) > 2 * len(self._waiting) + _SPARE_ACCOUNTS:
                self._prune()
            account = self._accounts[caller] = Account(self.floor_ms)
        if not account.holding:
            least = self.floor_ms - self.burst_ms
            account.used_ms = max(account.used_ms, least)
        account.waiting += 1
        account.holding += not deferrable
        self._waiting[caller] = account
        return account

    def part(self, caller: str, deferrable: bool) -> None:
        """Counts out one waiting request of a caller."""
        account = self._accounts[caller]
        account.waiting -= 1
        account.holding -= not deferrable
        if not account.waiting:
            del self._waiting[caller]

    def charge(self, caller: str, cost_ms: float) -> None:
        """Charges a caller, or gives back if `cost_ms` is negative."""
        account = self._accounts.get(caller)
        if account is not None:
            account.used_ms += cost_ms

    def learn(self, cost_ms: float) -> None:
        """Follows the mean cost of requests with the burst."""
        change = BURST * cost_ms - self.burst_ms
        self.burst_ms += change * (_MEAN_WEIGHT if self.burst_ms else 1.0)

    def raise_floor(self) -> float:
        """Brings the floor up to date and returns it.

        Callers that wait only with what can be deferred hold nobody back.
        """
        least = min(
            (item.used_ms for item in self._waiting.values() if item.holding),
            default=None)
        if least is None:
            least = min((item.used_ms for item in self._waiting.values()),
                        default=self.floor_ms)
        self.floor_ms = max(self.floor_ms, least)
        return self.floor_ms

    def forget(self) -> None:
        """Ends a busy period: past service gives no claim."""
        self.floor_ms = 0.0
        self._accounts.clear()
        self._waiting.clear()

    def _prune(self) -> None:
        self._accounts = {
            caller: item
            for caller, item in self._accounts.items()
            if item.waiting or item.used_ms > self.floor_ms
        }
