"""Changes of teams' branches: checked, written by compare-and-swap, kept.

A change names the version that its author has read, so teams race only with
themselves and a lost race changes nothing. Before a version is replaced it is
copied into the history, so a change that was accepted is never missing there,
whatever is lost between the two writes.
"""

import dataclasses

from lentilmoor import branches
from lentilmoor import clocks
from lentilmoor import exceptions
from lentilmoor import histories
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A proposed version of a branch.

    Attributes:
      team: The team whose branch it is.
      text: YAML.
      expected: Version that it replaces; 0 if there is to be none yet.
      author: Name of the credential.
    """

    team: str
    text: str
    expected: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in the store.

    Attributes:
      branch: What the branch is now.
      changed: Whether this differs from what it was.
    """

    branch: branches.Branch
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The change is not allowed.

    Attributes:
      problems: A line for each problem.
    """

    problems: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Outrun:
    """The branch has another version than the change expected.

    Attributes:
      current: The version it has; 0 if it does not exist.
    """

    current: int


Result = Accepted | Rejected | Outrun | outcomes.Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """A change that was checked and may be written.

    Attributes:
      header: Of the new version.
      settings: The new text, parsed.
      before: Text that it replaces.
    """

    header: branches.Header
    settings: models.TeamSettings
    before: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What the store holds of a branch.

    Attributes:
      record: What the key holds, whether it parses or not; None if absent.
      branch: The newest version that parses, from the history if need be.
      problem: Why `record` does not parse; empty if it does.
    """

    record: stores.Record | None = None
    branch: branches.Branch | None = None
    problem: str = ''

    @property
    def version(self) -> int:
        """The version that a change has to expect."""
        return self.record.version if self.record else 0


def read(store: stores.Store, team: str) -> Reading | outcomes.Failed:
    """Reads a branch; if its value does not parse, also the last good one.

    Args:
      store: The platform's store.
      team: The team.
    """
    record = store.read(branches.make_key(team))
    if isinstance(record, outcomes.Failed):
        absent = record.reason is outcomes.Reason.NOT_FOUND
        return Reading() if absent else record
    branch, problem = branches.adopt(None, record)
    if not problem:
        return Reading(record, branch)
    copies = histories.read_all(store, team)
    if isinstance(copies, outcomes.Failed):
        return copies
    for copy in copies:
        kept = stores.Record(record.key, copy.value, copy.line.version)
        branch, _ = branches.adopt(None, kept)
        if branch is not None:
            break
    return Reading(record, branch, problem)


def check(store: stores.Store, change: Change,
          clock: clocks.Clock) -> Draft | Rejected | Outrun | outcomes.Failed:
    """Checks a change without making it.

    Args:
      store: The platform's store.
      change: The proposal.
      clock: Dates the version.
    """
    prior = read(store, change.team)
    if isinstance(prior, outcomes.Failed):
        return prior
    return _check(prior, change, clock)


def put(store: stores.Store, change: Change, clock: clocks.Clock) -> Result:
    """Checks a change and makes it, if the branch is still as expected.

    A change that is in force already, as it is after a reply was lost on the
    way to its author, is accepted again.

    Args:
      store: The platform's store.
      change: The proposal.
      clock: Dates the version.

    Returns:
      What became of it. Failed(TIMED_OUT) means that it may yet take effect;
      after any other failure it has not and will not.
    """
    prior = read(store, change.team)
    if isinstance(prior, outcomes.Failed):
        return not_begun(prior)
    if _in_force(prior, change):
        return Accepted(prior.branch, changed=False)
    draft = _check(prior, change, clock)
    if not isinstance(draft, Draft):
        return draft
    failed = _archive(store, change.team, prior)
    if failed is not None:
        return not_begun(failed)
    return _write(store, change, draft)


def _write(store: stores.Store, change: Change,
           draft: Draft) -> Accepted | Outrun | outcomes.Failed:
    result = store.swap(branches.make_key(change.team),
                        branches.dump(draft.header, change.text),
                        change.expected)
    if isinstance(result, stores.Conflict):
        if result.maybe_applied:
            return _find_replaced(store, change, draft, result)
        return _outrun(result)
    if isinstance(result, outcomes.Failed):
        return result
    return _accept(result.version, change, draft)


def _find_replaced(
        store: stores.Store, change: Change, draft: Draft,
        conflict: stores.Conflict) -> Accepted | Outrun | outcomes.Failed:
    """Tells whether a write was in force before another replaced it.

    Whoever replaced it has copied it into the history first.
    """
    lines = histories.list_lines(store, change.team)
    if isinstance(lines, outcomes.Failed):
        return outcomes.Failed(outcomes.Reason.TIMED_OUT, lines.detail)
    for line in lines:
        if line.number != draft.header.number:
            continue
        copy = histories.read_copy(store, change.team, line.version)
        if isinstance(copy, outcomes.Failed):
            return outcomes.Failed(outcomes.Reason.TIMED_OUT, copy.detail)
        if copy.value == branches.dump(draft.header, change.text):
            return _accept(line.version, change, draft)
    return _outrun(conflict)


def _accept(version: int, change: Change, draft: Draft) -> Accepted:
    branch = branches.Branch(version, draft.header, change.text, draft.settings)
    return Accepted(branch, changed=True)


def _outrun(conflict: stores.Conflict) -> Outrun:
    return Outrun(conflict.current.version if conflict.current else 0)


def _check(prior: Reading, change: Change,
           clock: clocks.Clock) -> Draft | Rejected | Outrun:
    if prior.version != change.expected:
        return Outrun(prior.version)
    try:
        settings = models.parse_team(change.text)
    except exceptions.SettingsError as error:
        return Rejected(tuple(error.problems))
    problems = branches.check_change(prior.branch, settings)
    if settings.team != change.team:
        problems.append(f'team: expected {change.team}')
    if problems:
        return Rejected(tuple(problems))
    before = prior.branch.text if prior.branch else ''
    header = branches.make_header(prior.branch, settings, change.author,
                                  clock.wall())
    return Draft(header, settings, before)


def _archive(store: stores.Store, team: str,
             prior: Reading) -> outcomes.Failed | None:
    if prior.branch is None or prior.problem:
        return None
    copy = histories.Copy(make_line(prior.branch), prior.record.value)
    return histories.add(store, team, copy)


def make_line(branch: branches.Branch) -> histories.Line:
    """Returns the line of the history for a version."""
    header = branch.header
    return histories.Line(number=header.number,
                          version=branch.version,
                          author=header.author,
                          at_ms=header.at_ms)


def _in_force(prior: Reading, change: Change) -> bool:
    branch = prior.branch
    return (branch is not None and not prior.problem and
            branch.text == change.text and
            (prior.version == change.expected or
             branch.header.author == change.author))


def not_begun(failed: outcomes.Failed) -> outcomes.Failed:
    """Returns a failure met before the write: nothing can take effect."""
    if failed.reason is outcomes.Reason.TIMED_OUT:
        return outcomes.Failed(outcomes.Reason.STORE_UNAVAILABLE, failed.detail)
    return failed
