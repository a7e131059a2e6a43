"""Configuration of the fleet, and lookup of a request's route and organisation."""

from dataclasses import dataclass, field

from ._models import CallerLimits, Organisation, Pool, Route, Split


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """Configuration published by operators; `version` only increases."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """Index of one configuration by host, path prefix and API key."""

    config: FleetConfig
    _routes_by_host: dict[str, dict[str, Route]] = field(init=False)
    _organisations_by_key: dict[str, Organisation] = field(init=False)

    def __post_init__(self) -> None:
        """Build the indexes."""
        self._routes_by_host = {}
        for route in self.config.routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.prefix] = (
                route
            )
        self._organisations_by_key = {
            key: organisation
            for organisation in self.config.organisations
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at `host`, if any.

        Prefixes end with a slash, so only the slashes of the path are tried.
        """
        routes = self._routes_by_host.get(host.lower().partition(":")[0])
        prefix_end = len(path)
        while routes and prefix_end > 0:
            prefix_end = path.rfind("/", 0, prefix_end)
            route = routes.get(path[: prefix_end + 1]) if prefix_end >= 0 else None
            if route is not None:
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation with the API key `key`, if any."""
        return self._organisations_by_key.get(key)

    def requires_key(self, route: Route) -> bool:
        """Return True if requests on `route` must have an API key."""
        return bool(self.config.organisations) and not route.is_public

    def pick_split(self, route: Route, fraction: float) -> Split:
        """Return the split at `fraction` (0 to 1) of the sum of the route's weights."""
        remaining_weight = fraction * sum(split.weight for split in route.splits)
        for split in route.splits:
            remaining_weight -= split.weight
            if remaining_weight < 0:
                return split
        return route.splits[-1]
