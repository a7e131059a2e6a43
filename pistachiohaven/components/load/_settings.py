"""Settings of a load."""

from pydantic import BaseModel, ConfigDict, Field

from pistachiohaven.config import Address, Name
from pistachiohaven.core import TargetKind


class Lengths(BaseModel):
    """Range of lengths in tokens."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    shortest: int = Field(ge=1)
    longest: int = Field(ge=1)


class Burst(BaseModel):
    """Period during which the load is multiplied by `factor`.

    It begins `at_ms` after the start of the load.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    at_ms: int = Field(ge=0)
    length_ms: int = Field(ge=1)
    factor: float = Field(gt=0)


class Source(BaseModel):
    """Source of requests: a leaf of the settings tree and its share of the load.

    `good_within_ms` is the longest time to the first chunk of a good response.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    organisation: Name
    application: Name
    tier: Name
    share: float = Field(gt=0)
    kind: TargetKind = TargetKind.ENGINE
    good_within_ms: int = Field(default=10_000, ge=1)


class LoadSettings(BaseModel):
    """Settings of a load.

    `stream_share` is the share of engine calls that are streamed, and `repeat_share`
    the share of service calls that are repeated. `targets` are the addresses of the
    stand-ins whose run counts are read at the end.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    seed: int = 1
    length_ms: int = Field(ge=1, le=600_000)
    requests_per_s: float = Field(gt=0, le=2_000)
    bursts: tuple[Burst, ...] = ()
    sources: tuple[Source, ...] = Field(min_length=1)
    prompt_tokens: Lengths = Lengths(shortest=20, longest=2_000)
    answer_tokens: Lengths = Lengths(shortest=4, longest=100)
    stream_share: float = Field(default=0.5, ge=0, le=1)
    repeat_share: float = Field(default=0.3, ge=0, le=1)
    targets: tuple[Address, ...] = ()
