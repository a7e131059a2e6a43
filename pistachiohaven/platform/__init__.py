"""Adapter between the users' platform and this project's own types."""

from ._calls import (
    CallHead,
    CallHeadError,
    Headers,
    decode_call,
    decode_leaving,
    decode_pause,
    decode_rate_limit,
    encode_call,
    encode_dispatch,
    encode_refusal,
    find_attempt_id,
    is_stamped,
    never_ran,
    response_headers,
)
from ._configuration import ConfigurationError, decode_configuration
from ._evacuations import decode_evacuation
from ._store import (
    Deletion,
    Item,
    Snapshot,
    StoreClient,
    StoreError,
    decode_changes,
    decode_item,
    revision_era,
)
from ._targets import TargetError, decode_target
from .const import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    MISDIRECTED,
    READINESS_PATH,
    TARGETS_PREFIX,
)

__all__ = [
    "CONFIG_KEY",
    "EVACUATIONS_PREFIX",
    "MISDIRECTED",
    "READINESS_PATH",
    "TARGETS_PREFIX",
    "CallHead",
    "CallHeadError",
    "ConfigurationError",
    "Deletion",
    "Headers",
    "Item",
    "Snapshot",
    "StoreClient",
    "StoreError",
    "TargetError",
    "decode_call",
    "decode_changes",
    "decode_configuration",
    "decode_evacuation",
    "decode_item",
    "decode_leaving",
    "decode_pause",
    "decode_rate_limit",
    "decode_target",
    "encode_call",
    "encode_dispatch",
    "encode_refusal",
    "find_attempt_id",
    "is_stamped",
    "never_ran",
    "response_headers",
    "revision_era",
]
