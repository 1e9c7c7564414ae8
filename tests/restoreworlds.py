"""A world whose store may come back from an older copy at any moment.

Adds to `edgeworlds` a store with eras, and entries that hear what the living
coordinator has saved. A coordinator notices a restore some time after it.
"""

import dataclasses

from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import revisions
from tests import edgeworlds

# Entries hear of a new assignment this often.
_HEAR_MS = 250.0
# A restore is noticed within this.
_NOTICE_MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class Copy:
    """The store's state at a time."""

    saved: keyranges.Assignment
    number: int
    saved_number: int


class World(edgeworlds.World):
    """Servers, a store that may be restored, and coordinators in turn."""

    def __init__(self, seed: int, servers: int = 5):
        super().__init__(seed, servers)
        self.era, self.number_saved, self.saved_number = 0, 1, 1
        self.copy = self._copy()
        self.heard: keyranges.Assignment | None = self.saved
        self.heard_at = 0.0
        self.instances = 1
        self.coordinators[0].state.assignment = dataclasses.replace(
            self.saved, author='e1.1')

    @property
    def leader(self) -> edgeworlds.CoordinatorModel:
        """The coordinator that took the role last."""
        return self.coordinators[-1]

    def run(self, ms: float) -> None:
        """Lets time pass; entries hear what the leader has saved."""
        until = self.now + ms
        while self.now < until:
            super().run(edgeworlds.STEP_MS)
            if self.leader.up and self.now - self.heard_at >= _HEAR_MS:
                self.heard_at = self.now
                self.heard = self.leader.state.assignment

    def take_copy(self) -> None:
        """Copies the store."""
        self.copy = self._copy()

    def _copy(self) -> Copy:
        return Copy(self.saved, self.number_saved, self.saved_number)

    def restore(self) -> None:
        """Restores the store from the copy."""
        self.era += 1
        self.saved = self.copy.saved
        self.number_saved = self.copy.number
        self.saved_number = self.copy.saved_number
        for item in self.coordinators:
            self._after(self.random.uniform(0, _NOTICE_MS),
                        lambda item=item: self._notice(item))

    def _notice(self, item: edgeworlds.CoordinatorModel) -> None:
        if item.up and item.sees_store and item.state.era < self.era:
            coordination.handle_store_restored(
                item.state, revisions.combine(self.era, self.number_saved),
                revisions.combine(self.era, self.saved_number))

    def end_leader(self) -> None:
        """Ends the leader's process."""
        self.leader.up = False

    def replace_entries(self) -> None:
        """Ends all entries; those that follow have heard nothing."""
        self.end_leader()
        self.heard = None

    def take_over(self) -> None:
        """Another entry takes the role, by what the store and others tell."""
        self.instances += 1
        author = f'e{self.instances}.1'
        plan = coordination.plan_succession(edgeworlds.SERVICE,
                                            [self.saved, self.heard],
                                            self.list_servers(), author,
                                            self.era)
        self.number_saved += 1
        self.saved_number, self.saved = self.number_saved, plan.assignment
        for item in self.coordinators:
            item.sees_store = False
        revision = revisions.combine(self.era, self.saved_number)
        self.coordinators.append(
            edgeworlds.CoordinatorModel(
                coordination.start_coordination(
                    plan.assignment,
                    revision,
                    self.now,
                    plan.predecessor,
                    may_lack_moves=plan.may_lack_moves), self.now))

    def _save(self, item, action: ownership.Save) -> None:

        def apply():
            known = revisions.find_era(action.revision)
            done = (item.sees_store and known == self.era and
                    revisions.find_number(action.revision) == self.saved_number)
            if done:
                self.number_saved += 1
                self.saved_number = self.number_saved
                self.saved = action.assignment
                coordination.handle_saved(
                    item.state, action,
                    revisions.combine(self.era, self.saved_number))
                return
            item.state.superseded |= item.sees_store and known == self.era
            coordination.handle_save_failure(item.state, True, self.now)

        self._after(5, apply)
