"""Read-only client of the platform, which publishes settings and instances."""

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
