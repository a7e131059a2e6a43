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
