"""Which route a request takes, and which service of the route.

Routes are found by host and longest prefix. Every prefix ends at a slash, so
only the path's own prefixes that end at a slash are looked up: the time of a
look-up grows with the depth of the path, not with the number of routes.
"""

from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import tables


@dataclasses.dataclass(frozen=True, slots=True)
class RouteIndex:
    """Routes by host and prefix."""

    routes: Mapping[tuple[str, str], tables.Route]


def make_index(routes: Mapping[str, tables.Route]) -> RouteIndex:
    """Returns an index of routes."""
    return RouteIndex({
        (route.host, route.prefix): route for route in routes.values()
    })


def find_route(index: RouteIndex, host: str, path: str) -> tables.Route | None:
    """Returns the route with the longest prefix of a path.

    Args:
      index: All routes.
      host: The request's Host header; a port and its case don't matter.
      path: The request's path, without its query.
    """
    name = host.lower()
    if not name.endswith(']'):
        name = name.rpartition(':')[0] or name
    end = len(path)
    while (end := path.rfind('/', 0, end)) >= 0:
        route = index.routes.get((name, path[:end + 1]))
        if route is not None:
            return route
    return None


def pick_service(route: tables.Route, chance: float) -> str:
    """Returns the service that a request of a route goes to.

    Args:
      route: The route.
      chance: A random number from 0 to 1, 1 excluded.
    """
    parts = route.targets
    if len(parts) == 1:
        return parts[0].service
    left = chance * sum(part.weight for part in parts)
    for part in parts:
        left -= part.weight
        if left < 0:
            return part.service
    return parts[-1].service
