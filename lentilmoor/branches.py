"""Teams' branches of the settings tree, as they are kept in the store.

A branch is one key; its value is a line of JSON (`Header`) and the YAML text
as it was written. `adopt` is how a process takes a version over: never an
older one, never one that does not parse. `changes` makes new versions.
"""

import dataclasses
import difflib
from typing import Annotated

import pydantic

from lentilmoor import exceptions
from lentilmoor import models
from lentilmoor import stores

PREFIX = 'teams/'
MAX_RETIRED = 256
_SUFFIX = '/branch'
_TEAM = pydantic.TypeAdapter(models.Name)


class RetiredServer(pydantic.BaseModel):
    """A server that a service had; its id stays taken.

    Attributes:
      service: Service name.
      id: Server id.
      address: The address it had.
      shard: The shard it was in.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    service: str
    id: str
    address: str
    shard: int


class Header(pydantic.BaseModel):
    """What is kept beside the text of a branch.

    Attributes:
      number: 1 for the first version, then one more each.
      author: Name of the credential that made the version.
      at_ms: When, ms since the epoch; shown to people only.
      shards: Number of shards by service, also of services that went.
      retired: Servers that went, oldest first, at most `MAX_RETIRED`.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    number: Annotated[int, pydantic.Field(ge=1)]
    author: str
    at_ms: float
    shards: dict[str, int] = {}
    retired: tuple[RetiredServer, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Branch:
    """One version of a team's branch.

    Attributes:
      version: The store's version of the key; never goes back.
      header: What is kept beside the text.
      text: YAML, as it was written.
      settings: The text, parsed and checked.
    """

    version: int
    header: Header
    text: str
    settings: models.TeamSettings

    @property
    def team(self) -> str:
        """The team's name."""
        return self.settings.team


def make_key(team: str) -> str:
    """Returns the store's key of a team's branch."""
    return PREFIX + team + _SUFFIX


def read_team(key: str) -> str | None:
    """Returns the team whose branch a key holds; None for any other key."""
    team = key.removeprefix(PREFIX).removesuffix(_SUFFIX)
    if make_key(team) != key:
        return None
    try:
        return _TEAM.validate_python(team)
    except pydantic.ValidationError:
        return None


def adopt(current: Branch | None,
          record: stores.Record) -> tuple[Branch | None, str]:
    """Takes a version over, unless it is older or does not parse.

    Args:
      current: The version in force, if any.
      record: What the store holds, or held.

    Returns:
      The version in force from now on, and the problem with the record if it
      was refused for one, else ''.
    """
    if current is not None and record.version <= current.version:
        return current, ''
    try:
        return parse(record), ''
    except exceptions.SettingsError as error:
        return current, f'{record.key}, version {record.version}: {error}'


def parse(record: stores.Record) -> Branch:
    """Reads a branch from what the store holds.

    Args:
      record: Record of the branch's key, or a copy in its history.

    Raises:
      SettingsError: The value is no branch of this team.
    """
    line, _, text = record.value.partition(b'\n')
    try:
        header = Header.model_validate_json(line)
        text = text.decode()
    except (pydantic.ValidationError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(
            ['not a branch: it must begin with a '
             'line of JSON, in UTF-8']) from error
    settings = models.parse_team(text)
    if make_key(settings.team) != record.key:
        raise exceptions.SettingsError(
            [f'team: expected the team of {record.key}'])
    return Branch(record.version, header, text, settings)


def dump(header: Header, text: str) -> bytes:
    """Returns the store's value of a branch; `parse` is the inverse."""
    return header.model_dump_json().encode() + b'\n' + text.encode()


def diff(before: str, after: str) -> str:
    """Returns the unified difference of two texts; empty if they are equal."""
    return ''.join(
        difflib.unified_diff(before.splitlines(keepends=True),
                             after.splitlines(keepends=True), 'before',
                             'after'))


def check_change(before: Branch | None,
                 after: models.TeamSettings) -> list[str]:
    """Returns what is wrong with a change from one version to the next.

    Args:
      before: The version that is replaced, if any.
      after: The new version.
    """
    if before is None:
        return []
    problems = []
    taken = {(item.service, item.id): item for item in before.header.retired}
    for item in _list_servers(before.settings):
        taken[item.service, item.id] = item
    for name, service in after.services.items():
        shards = before.header.shards.get(name, service.shards)
        if shards != service.shards:
            problems.append(f'services.{name}.shards: it is fixed; expected '
                            f'{shards}')
    for item in _list_servers(after):
        known = taken.get((item.service, item.id))
        if known is not None and known != item:
            problems.append(
                f'services.{item.service}.servers.{item.id}: an id keeps its '
                f'address and shard; expected {known.address} in shard '
                f'{known.shard}, or a new id')
    return problems


def make_header(before: Branch | None, after: models.TeamSettings, author: str,
                at_ms: float) -> Header:
    """Returns the header of a new version.

    Args:
      before: The version that is replaced, if any.
      after: The new version.
      author: Name of the credential that makes it.
      at_ms: When, ms since the epoch.
    """
    shards = {name: item.shards for name, item in after.services.items()}
    if before is None:
        return Header(number=1, author=author, at_ms=at_ms, shards=shards)
    return Header(number=before.header.number + 1,
                  author=author,
                  at_ms=at_ms,
                  shards=before.header.shards | shards,
                  retired=_retire(before, after))


def _retire(before: Branch,
            after: models.TeamSettings) -> tuple[RetiredServer, ...]:
    present = set(_list_servers(after))
    gone = [
        item for item in (*before.header.retired,
                          *_list_servers(before.settings))
        if item not in present
    ]
    return tuple(gone[-MAX_RETIRED:])


def _list_servers(settings: models.TeamSettings) -> list[RetiredServer]:
    return [
        RetiredServer(service=name,
                      id=server.id,
                      address=server.address,
                      shard=server.shard)
        for name, service in settings.services.items()
        for server in service.servers
    ]
