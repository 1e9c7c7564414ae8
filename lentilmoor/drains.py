"""Draining a server: the mark that it is leaving, in its team's branch.

The mark is a settings field, so it survives whatever is lost; the grantor of
the server's shard moves its keys away when it sees it.
"""

import dataclasses

from lentilmoor import branches
from lentilmoor import changes
from lentilmoor import clocks
from lentilmoor import documents
from lentilmoor import exceptions
from lentilmoor import models
from lentilmoor import outcomes
from lentilmoor import stores

_ATTEMPTS = 5
_FIELD = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """Which server is to be marked, and how.

    Attributes:
      team: The team.
      service: Service name.
      server: Server id.
      leaving: The mark's new value.
    """

    team: str
    service: str
    server: str
    leaving: bool


def put_mark(store: stores.Store, mark: Mark, author: str,
             clock: clocks.Clock) -> changes.Result:
    """Sets a server's mark in its team's branch, whoever else changes it.

    Args:
      store: The platform's store.
      mark: What to set.
      author: Name of the credential.
      clock: Dates the version.

    Returns:
      As `changes.put`; Failed(NOT_FOUND) if there is no such server.
    """
    result = changes.Outrun(0)
    for _ in range(_ATTEMPTS):
        reading = changes.read(store, mark.team)
        if isinstance(reading, outcomes.Failed):
            return changes.not_begun(reading)
        if reading.problem:
            return changes.Rejected((reading.problem,))
        if reading.branch is None:
            return _missing(mark)
        text = edit(reading.branch, mark)
        if not isinstance(text, str):
            return text
        change = changes.Change(mark.team, text, reading.version, author)
        result = changes.put(store, change, clock)
        if not isinstance(result, changes.Outrun):
            break
    return result


def edit(branch: branches.Branch,
         mark: Mark) -> str | changes.Rejected | outcomes.Failed:
    """Returns a branch's text with a mark set and all else as it was."""
    service = branch.settings.services.get(mark.service)
    servers = service.servers if service else []
    index = next((number for number, server in enumerate(servers)
                  if server.id == mark.server), None)
    if index is None:
        return _missing(mark)
    if mark.leaving and _is_last(servers, servers[index]):
        return changes.Rejected(
            (f'{mark.server} is the last server of its shard that is not '
             'leaving; expected another one first',))
    if servers[index].leaving == mark.leaving:
        return branch.text
    path = ('services', mark.service, 'servers', index)
    text = documents.set_flag(branch.text, path, _FIELD, mark.leaving)
    if text is None or not _is_only_change(branch, text, mark):
        return changes.Rejected(
            (f'services.{mark.service}.servers.{index}: it shares its YAML '
             f'with others; put the settings with {_FIELD} set instead',))
    return text


def _is_last(servers: list[models.ServerSettings],
             server: models.ServerSettings) -> bool:
    return not any(other.shard == server.shard and not other.leaving
                   for other in servers
                   if other.id != server.id)


def _is_only_change(branch: branches.Branch, text: str, mark: Mark) -> bool:
    try:
        after = models.parse_team(text).model_dump()
    except exceptions.SettingsError:
        return False
    expected = branch.settings.model_dump()
    for server in expected['services'][mark.service]['servers']:
        if server['id'] == mark.server:
            server[_FIELD] = mark.leaving
    return after == expected


def _missing(mark: Mark) -> outcomes.Failed:
    return outcomes.Failed(outcomes.Reason.NOT_FOUND,
                           f'no server {mark.server} in {mark.service}')
