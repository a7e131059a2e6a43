"""Find the route and the organisation of a request."""

from dataclasses import dataclass, field

from ._models import CallerLimits, Organisation, Pool, Route, Split


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """Hold one published configuration; `version` only rises."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    organisations: tuple[Organisation, ...]
    limits: CallerLimits


@dataclass(slots=True, kw_only=True)
class RouteTable:
    """Index one configuration by host, prefix and key."""

    config: FleetConfig
    _by_host: dict[str, dict[str, Route]] = field(init=False)
    _by_key: dict[str, Organisation] = field(init=False)

    def __post_init__(self) -> None:
        """Build the indexes."""
        self._by_host = {}
        for route in self.config.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._by_key = {
            key: organisation
            for organisation in self.config.organisations
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at `host`, if any.

        Prefixes end with a slash, so only the path's own slashes are tried.
        """
        routes = self._by_host.get(host.lower().partition(":")[0])
        end = len(path)
        while routes and end > 0:
            end = path.rfind("/", 0, end)
            route = routes.get(path[: end + 1]) if end >= 0 else None
            if route is not None:
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation that holds `key`, if any."""
        return self._by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Return True if requests on `route` must bear a key."""
        return bool(self.config.organisations) and not route.public

    def pick_split(self, route: Route, fraction: float) -> Split:
        """Return the split at `fraction` (0 to 1) of the route's summed weights."""
        point = fraction * sum(split.weight for split in route.splits)
        for split in route.splits:
            point -= split.weight
            if point < 0:
                return split
        return route.splits[-1]
