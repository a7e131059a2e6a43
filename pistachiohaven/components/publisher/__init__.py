"""Read what the platform publishes; nothing is ever written to it."""

from ._client import PlatformClient, PlatformError
from ._models import InstanceRecord, InstancesAnswer, SettingsAnswer, VersionRecord

__all__ = [
    "InstanceRecord",
    "InstancesAnswer",
    "PlatformClient",
    "PlatformError",
    "SettingsAnswer",
    "VersionRecord",
]
