"""Simulation of a store that may be restored from an older copy at any time.

Adds to `edgeworlds` a store with eras (each restore starts a new one) and
entries that receive the assignments of the running coordinator. A coordinator
notices a restore after a delay.
"""

import dataclasses

from lentilmoor.edge import coordination
from lentilmoor.edge import keyranges
from lentilmoor.edge import ownership
from lentilmoor.edge import revisions
from tests import edgeworlds

# Interval at which entries receive the current assignment.
_NEWS_INTERVAL_MS = 250.0
# A coordinator notices a restore within this time.
_MAX_NOTICE_DELAY_MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """Copy of the store's state.

    Attributes:
      saved: The saved assignment.
      revision_number: Number of the store's latest revision in its era.
      saved_number: Number of the revision that saved the assignment.
    """

    saved: keyranges.Assignment
    revision_number: int
    saved_number: int


class World(edgeworlds.World):
    """Servers, a store that may be restored, and successive coordinators."""

    def __init__(self, seed: int, servers: int = 5):
        super().__init__(seed, servers)
        self.era, self.latest_number, self.saved_number = 0, 1, 1
        self.copy = self._copy_store()
        self.peer_assignment: keyranges.Assignment | None = self.saved
        self.peer_assignment_at = 0.0
        self.instances = 1
        self.coordinators[0].state.assignment = dataclasses.replace(
            self.saved, author='e1.1')

    @property
    def leader(self) -> edgeworlds.CoordinatorModel:
        """The coordinator that took the role most recently."""
        return self.coordinators[-1]

    def run(self, ms: float) -> None:
        """Advances the time; entries receive the leader's assignment."""
        until = self.now + ms
        while self.now < until:
            super().run(edgeworlds.STEP_MS)
            if (self.leader.up and
                    self.now - self.peer_assignment_at >= _NEWS_INTERVAL_MS):
                self.peer_assignment_at = self.now
                self.peer_assignment = self.leader.state.assignment

    def take_copy(self) -> None:
        """Copies the store."""
        self.copy = self._copy_store()

    def _copy_store(self) -> StoreCopy:
        return StoreCopy(self.saved, self.latest_number, self.saved_number)

    def restore(self) -> None:
        """Restores the store from the copy."""
        self.era += 1
        self.saved = self.copy.saved
        self.latest_number = self.copy.revision_number
        self.saved_number = self.copy.saved_number
        for coordinator in self.coordinators:
            self._after(self.random.uniform(0, _MAX_NOTICE_DELAY_MS),
                        lambda coordinator=coordinator: self._notice_restore(
                            coordinator))

    def _notice_restore(self, coordinator: edgeworlds.CoordinatorModel) -> None:
        if (coordinator.up and coordinator.sees_store and
                coordinator.state.era < self.era):
            coordination.handle_store_restored(
                coordinator.state,
                revisions.combine(self.era, self.latest_number),
                revisions.combine(self.era, self.saved_number))

    def end_leader(self) -> None:
        """Ends the leader's process."""
        self.leader.up = False

    def replace_entries(self) -> None:
        """Ends all entries; their successors have received no assignment."""
        self.end_leader()
        self.peer_assignment = None

    def take_over(self) -> None:
        """Has another entry take the role.

        It starts from the assignments of the store and of the other entries.
        """
        self.instances += 1
        author = f'e{self.instances}.1'
        plan = coordination.plan_succession(edgeworlds.SERVICE,
                                            [self.saved, self.peer_assignment],
                                            self.list_servers(), author,
                                            self.era)
        self.latest_number += 1
        self.saved_number, self.saved = self.latest_number, plan.assignment
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
                self.latest_number += 1
                self.saved_number = self.latest_number
                self.saved = action.assignment
                coordination.handle_saved(
                    item.state, action,
                    revisions.combine(self.era, self.saved_number))
                return
            item.state.superseded |= item.sees_store and known == self.era
            coordination.handle_save_failure(item.state, True, self.now)

        self._after(5, apply)
