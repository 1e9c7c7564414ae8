"""The shards that the teams' branches describe."""

from collections.abc import Iterable
import dataclasses

from lentilmoor import models
from lentilmoor import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """One shard as the settings in force describe it.

    Attributes:
      id: 'team/service/number'.
      number: Number of the shard within its service.
      settings: Of its service.
      weights: Of its team.
      servers: Its servers by id.
    """

    id: str
    number: int
    settings: models.ServiceSettings
    weights: models.Weights
    servers: dict[str, models.ServerSettings]


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """All services and shards in force.

    Attributes:
      services: Settings by (team, service).
      shards: Shards by id.
    """

    services: dict[tuple[str, str], models.ServiceSettings]
    shards: dict[str, Shard]


EMPTY = Catalog({}, {})


def make_catalog(teams: Iterable[models.TeamSettings]) -> Catalog:
    """Returns the services and shards of some teams."""
    services = {}
    shards = {}
    for team in teams:
        for name, service in team.services.items():
            services[team.team, name] = service
            for shard in _split_service(team, name, service):
                shards[shard.id] = shard
    return Catalog(services, shards)


def make_server(shard: Shard, settings: models.ServerSettings) -> tables.Server:
    """Returns the table row of a server."""
    liveness = tables.Liveness.LIVE
    if settings.leaving:
        liveness = tables.Liveness.LEAVING
    return tables.Server(id=settings.id,
                         address=settings.address,
                         shard=shard.id,
                         failure_domain=settings.failure_domain,
                         checks_grants=settings.checks_grants,
                         slots=settings.slots,
                         connections=settings.connections,
                         liveness=liveness)


def _split_service(team: models.TeamSettings, name: str,
                   service: models.ServiceSettings) -> list[Shard]:
    rows = [
        Shard(f'{team.team}/{name}/{number}', number, service, team.weights, {})
        for number in range(service.shards)
    ]
    for server in service.servers:
        rows[server.shard].servers[server.id] = server
    return rows
