"""Settings of the stand-ins."""

from pydantic import BaseModel, ConfigDict, Field

from pistachiohaven.config import Address, Name
from pistachiohaven.core import TargetKind


class InstanceModel(BaseModel):
    """Instance in the list that the platform publishes."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Name
    role: str
    data_centre: Name
    region: Name
    address: Address
    leaving: bool = False
    kind: TargetKind = TargetKind.ENGINE
    pools: tuple[Name, ...] = ()
    generation: int = Field(default=1, ge=1)


class PlatformSettings(BaseModel):
    """Settings of the stand-in for the platform.

    `tree` is the path of a settings tree. `listed_before_ms` is the age of the first
    instance list at the start.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    listen: Address
    tree: str
    instances: tuple[InstanceModel, ...]
    listed_before_ms: int = Field(default=120_000, ge=0)


class EngineSettings(BaseModel):
    """Settings of the stand-in for a model engine.

    One token takes `token_ms` and `token_ms_per_stream` for each running stream. The
    prefix cache has room for `cache_prefixes` prompt prefixes.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    listen: Address
    prefill_tokens_per_s: float = Field(default=20_000, gt=0)
    token_ms: float = Field(default=10, ge=0)
    token_ms_per_stream: float = Field(default=0.5, ge=0)
    max_batch: int = Field(default=16, ge=1)
    cache_prefixes: int = Field(default=64, ge=0)


class ServiceSettings(BaseModel):
    """Settings of the stand-in for a plain service.

    A call takes `call_ms`, and up to `max_calls` run at the same time.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    listen: Address
    call_ms: float = Field(default=20, ge=0)
    max_calls: int = Field(default=8, ge=1)
