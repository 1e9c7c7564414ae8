"""Matches requests to routes, and picks the service of a route.

Routes are matched by host and longest prefix. Every prefix ends with a slash,
so only the prefixes of the path that end with a slash are looked up: the cost
of a lookup grows with the depth of the path, not with the number of routes.
"""

from collections.abc import Mapping
import dataclasses

from lentilmoor.edge import tables


@dataclasses.dataclass(frozen=True, slots=True)
class RouteIndex:
    """Index of routes.

    Attributes:
      routes: Routes by host and prefix.
    """

    routes: Mapping[tuple[str, str], tables.Route]


def make_index(routes: Mapping[str, tables.Route]) -> RouteIndex:
    """Returns the index of routes that are given by name."""
    return RouteIndex({
        (route.host, route.prefix): route for route in routes.values()
    })


def find_route(index: RouteIndex, host: str, path: str) -> tables.Route | None:
    """Returns the route with the longest prefix that matches, or None.

    Args:
      index: All routes.
      host: Host header of the request. Its port and its case are ignored.
      path: Path of the request, without the query.
    """
    hostname = host.lower()
    if not hostname.endswith(']'):
        hostname = hostname.rpartition(':')[0] or hostname
    prefix_end = len(path)
    while (prefix_end := path.rfind('/', 0, prefix_end)) >= 0:
        route = index.routes.get((hostname, path[:prefix_end + 1]))
        if route is not None:
            return route
    return None


def pick_service(route: tables.Route, chance: float) -> str:
    """Picks a service of a route at random, according to the weights.

    Args:
      route: The route.
      chance: A random number from 0 to 1, 1 excluded.
    """
    parts = route.targets
    if len(parts) == 1:
        return parts[0].service
    remaining_weight = chance * sum(part.weight for part in parts)
    for part in parts:
        remaining_weight -= part.weight
        if remaining_weight < 0:
            return part.service
    return parts[-1].service
