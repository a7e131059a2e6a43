"""Settings files of processes."""

from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import BaseModel, ConfigDict, Field, StringConstraints
from result import Err

from pistachiohaven.components.settings import parse_yaml
from pistachiohaven.core import TargetKind
from pistachiohaven.exceptions import SettingsError

Address = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
"""An IPv4 address and a port, `ip:port`."""

Port = Annotated[int, Field(ge=0, le=65_535)]
"""A port; with 0 the kernel chooses one."""

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]

ModelT = TypeVar("ModelT", bound=BaseModel)


class NodeSettings(BaseModel):
    """Settings that entries and sidecars have in common.

    `listen` and `platform` are `ip:port`. `seed` makes random choices repeatable.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    data_centre: Name
    region: Name
    listen: Address
    platform: Address
    seed: int | None = None


class EntrySettings(NodeSettings):
    """Settings of an entry.

    `balancer_lag_ms` is the longest time for which the load balancer still sends
    requests after `/readyz` fails.
    """

    balancer_lag_ms: int = Field(default=2_000, ge=0, le=60_000)


class SidecarSettings(NodeSettings):
    """Settings of a sidecar and its target, at `target`."""

    target: Address
    kind: TargetKind = TargetKind.ENGINE


class GatewaySettings(BaseModel):
    """Settings of a gateway, which is an entry that sends requests straight to targets.

    `listen` serves callers and `listen_readiness` the load balancer. The first of
    `internal_ports` receives peers' datagrams, the second serves peers and operators.
    `seeds` are the addresses of other gateways, `ip:port`; only the IP is used, since
    all gateways have the same ports. `stop_grace_s` is the time from the stop signal to
    the end of the process.

    Retry and quota limits apply to all gateways together. Within `retry_window_s`, they
    allow `retry_ratio` further dispatches per request, and `retry_extra` more. Within
    `quota_window_s`, an organisation may exceed its quota by the share `quota_overage`
    of it, and by `quota_tolerance_tokens` more. In any second, a target that is cold
    may get `cold_overage` times the requests that it tolerates, and
    `cold_tolerance_requests` more, from all gateways together.

    Hedging sends a repeatable request that is slow to a second target. Within
    `hedge_window_s`, all gateways together send at most `hedge_ratio` hedges per
    request of a pool; 0 turns it off. A request is slow if it takes longer than the
    share `hedge_percentile` of 100 of those of its route, and `hedge_min_delay_ms`.

    `regions` has the region of each data centre. With `hands_over_slots`, peers offer
    this gateway the slots that they free for its waiting requests. `memory_limit_mb` is
    the memory in MB (1,000,000 bytes) beyond which the process is ended, None if that
    is not known.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: Name
    data_centre: Name
    listen: Address
    listen_readiness: Address
    internal_ports: tuple[Port, Port]
    store: Address
    seeds: tuple[Address, ...] = ()
    stop_grace_s: float = Field(default=8.0, ge=1.0, le=600.0)
    retry_ratio: float = Field(default=0.2, ge=0.0, le=10.0)
    retry_extra: float = Field(default=10.0, ge=0.0)
    retry_window_s: float = Field(default=10.0, ge=0.1)
    quota_window_s: float = Field(default=8.0, ge=0.1)
    quota_overage: float = Field(default=0.0, ge=0.0, le=10.0)
    quota_tolerance_tokens: float = Field(default=0.0, ge=0.0)
    cold_overage: float = Field(default=1.0, ge=1.0, le=10.0)
    cold_tolerance_requests: float = Field(default=0.0, ge=0.0)
    hedge_ratio: float = Field(default=0.0, ge=0.0, le=1.0)
    hedge_percentile: float = Field(default=95.0, ge=50.0, le=99.9)
    hedge_min_delay_ms: int = Field(default=10, ge=1, le=60_000)
    hedge_window_s: float = Field(default=60.0, ge=1.0, le=600.0)
    hands_over_slots: bool = False
    memory_limit_mb: float | None = Field(default=None, gt=0.0)
    region: str = ""
    regions: dict[str, str] = {}

    @property
    def host(self) -> str:
        """Return the IP address of all listeners."""
        return self.listen.rpartition(":")[0]

    @property
    def exchange_address(self) -> str:
        """Return the `ip:port` that receives peers' datagrams."""
        return f"{self.host}:{self.internal_ports[0]}"

    @property
    def control_address(self) -> str:
        """Return the `ip:port` that serves peers and operators."""
        return f"{self.host}:{self.internal_ports[1]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return the `ip:port` of each seed that receives datagrams."""
        port = self.internal_ports[0]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)


def load(path: str, model: type[ModelT]) -> ModelT:
    """Return the validated settings of the file `path`.

    Raises SettingsError, whose text has the file, line and key of every issue.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: (file): {error}") from error
    parsed = parse_yaml(text, model)
    if isinstance(parsed, Err):
        raise SettingsError("\n".join(issue.text(path) for issue in parsed.err_value))
    return parsed.ok_value
