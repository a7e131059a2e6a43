"""Adapter between the users' platform and this project's own types."""

from ._calls import (
    CallHead,
    CallHeadError,
    decode_call,
    encode_dispatch,
    encode_refusal,
    find_attempt_id,
    is_stamped,
    never_ran,
    response_headers,
)
from ._configuration import ConfigurationError, decode_configuration
from ._store import (
    Deletion,
    Item,
    Snapshot,
    StoreClient,
    StoreError,
    decode_changes,
    decode_item,
)
from ._targets import TargetError, decode_target
from .const import CONFIG_KEY, READINESS_PATH, TARGETS_PREFIX

__all__ = [
    "CONFIG_KEY",
    "READINESS_PATH",
    "TARGETS_PREFIX",
    "CallHead",
    "CallHeadError",
    "ConfigurationError",
    "Deletion",
    "Item",
    "Snapshot",
    "StoreClient",
    "StoreError",
    "TargetError",
    "decode_call",
    "decode_changes",
    "decode_configuration",
    "decode_item",
    "decode_target",
    "encode_dispatch",
    "encode_refusal",
    "find_attempt_id",
    "is_stamped",
    "never_ran",
    "response_headers",
]
