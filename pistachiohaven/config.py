"""Check the settings file of one process."""

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
"""A port; 0 lets the kernel choose."""

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]

ModelT = TypeVar("ModelT", bound=BaseModel)


class NodeSettings(BaseModel):
    """Check what an entry and a sidecar both need."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    data_centre: Name
    region: Name
    listen: Address
    platform: Address
    seed: int | None = None


class EntrySettings(NodeSettings):
    """Check the settings of an entry.

    `balancer_lag_ms` is how long the balancer may send calls after `/readyz` fails.
    """

    balancer_lag_ms: int = Field(default=2_000, ge=0, le=60_000)


class SidecarSettings(NodeSettings):
    """Check the settings of a sidecar and its target."""

    target: Address
    kind: TargetKind = TargetKind.ENGINE


class GatewaySettings(BaseModel):
    """Check the settings of a gateway: an entry that sends straight to targets.

    `listen` serves callers, `listen_readiness` the balancer. Of `internal_ports`, the
    first takes peers' datagrams, the last serves peers and operators. `seeds` are
    other gateways, `ip:port`; only the IP counts, since ports are the same everywhere.
    Retry and quota figures are those that operators allow for all gateways together.
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

    @property
    def host(self) -> str:
        """Return the IP that all listeners share."""
        return self.listen.rpartition(":")[0]

    @property
    def exchange_address(self) -> str:
        """Return where peers' datagrams arrive."""
        return f"{self.host}:{self.internal_ports[0]}"

    @property
    def control_address(self) -> str:
        """Return where peers and operators call."""
        return f"{self.host}:{self.internal_ports[1]}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return where the seeds take datagrams."""
        port = self.internal_ports[0]
        return tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in self.seeds)


def load(path: str, model: type[ModelT]) -> ModelT:
    """Return the checked settings in the file `path`.

    Raises SettingsError, whose text names file, line and key of every fault.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: (file): {error}") from error
    parsed = parse_yaml(text, model)
    if isinstance(parsed, Err):
        raise SettingsError("\n".join(fault.text(path) for fault in parsed.err_value))
    return parsed.ok_value
