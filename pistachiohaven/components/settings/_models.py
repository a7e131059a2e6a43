"""Models of the settings tree.

The classes named `*Model` are pydantic models that validate a settings file. All other
classes are plain data classes, which the rest of the code uses.
"""

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from pistachiohaven.const import TIER_COUNT

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")]


class PlainKeyPolicy(StrEnum):
    """Handling of an idempotency key that is not a ticket.

    HOME routes the claim of the key to its owner; REFUSE refuses the claim.
    """

    HOME = "home"
    REFUSE = "refuse"


class OverridesModel(BaseModel):
    """Settings that a file sets at one node of the tree; None means inherited.

    The data class of the same fields is `Overrides`.
    """

    model_config = ConfigDict(extra="forbid", strict=True)

    rank: int | None = Field(default=None, ge=0, lt=TIER_COUNT)
    pool: Name | None = None
    max_queue_ms: int | None = Field(default=None, ge=0, le=600_000)
    first_token_ms: int | None = Field(default=None, ge=1, le=3_600_000)
    deadline_ms: int | None = Field(default=None, ge=1, le=3_600_000)
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    weight: float | None = Field(default=None, gt=0, le=1000, strict=False)
    retry_share: float | None = Field(default=None, ge=0, le=1, strict=False)
    max_body_bytes: int | None = Field(default=None, ge=1, le=1_048_576)
    plain_keys: PlainKeyPolicy | None = Field(default=None, strict=False)


class TierModel(BaseModel):
    """Settings of a tier, a leaf of the tree."""

    model_config = ConfigDict(extra="forbid", strict=True)

    settings: OverridesModel = Field(default_factory=OverridesModel)


class ApplicationModel(BaseModel):
    """Settings of an application and its tiers."""

    model_config = ConfigDict(extra="forbid", strict=True)

    settings: OverridesModel = Field(default_factory=OverridesModel)
    tiers: dict[Name, TierModel] = Field(default_factory=dict)


class OrganisationModel(BaseModel):
    """Settings of an organisation and its applications."""

    model_config = ConfigDict(extra="forbid", strict=True)

    settings: OverridesModel = Field(default_factory=OverridesModel)
    applications: dict[Name, ApplicationModel] = Field(default_factory=dict)


class TreeModel(BaseModel):
    """Settings tree as operators write it."""

    model_config = ConfigDict(extra="forbid", strict=True)

    revision: int = Field(ge=1)
    settings: OverridesModel = Field(default_factory=OverridesModel)
    organisations: dict[Name, OrganisationModel] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Overrides:
    """Validated settings of one node of the tree; None means inherited.

    The fields are those of `OverridesModel`.
    """

    rank: int | None = None
    pool: str | None = None
    max_queue_ms: int | None = None
    first_token_ms: int | None = None
    deadline_ms: int | None = None
    max_tokens: int | None = None
    weight: float | None = None
    retry_share: float | None = None
    max_body_bytes: int | None = None
    plain_keys: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Leaf:
    """Resolved settings of one tier of an application.

    `path` is organisation/application/tier; `rank` 0 is the most urgent; `weight` is
    that of fair queueing between organisations; `retry_share` is the number of retries
    that each request adds to the retry budget; `plain_keys` is the value of a
    `PlainKeyPolicy`.
    """

    path: str
    rank: int
    pool: str
    max_queue_ms: int
    first_token_ms: int
    deadline_ms: int
    max_tokens: int
    weight: float
    retry_share: float
    max_body_bytes: int
    plain_keys: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ValidationIssue:
    """Validation issue of a settings file, located by line and key."""

    line: int
    key: str
    reason: str

    def text(self, file: str) -> str:
        """Return the issue as `file:line: key: reason`."""
        return f"{file}:{self.line}: {self.key}: {self.reason}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Changes between two revisions by path; None removes a node.

    `digest` is the digest of the tree at `to_revision`.
    """

    from_revision: int
    to_revision: int
    changes: dict[str, Overrides | None]
    digest: str


DEFAULT_OVERRIDES = Overrides(
    rank=TIER_COUNT - 1,
    max_queue_ms=2_000,
    first_token_ms=10_000,
    deadline_ms=60_000,
    max_tokens=1_024,
    weight=1.0,
    retry_share=0.2,
    max_body_bytes=262_144,
    plain_keys=PlainKeyPolicy.HOME.value,
)
"""Values that apply where no node of the tree sets one; `pool` has no default."""

OVERRIDE_NAMES = tuple(field.name for field in fields(Overrides))
