"""Read-only client of the platform, which publishes settings and instances."""

from ._client import PlatformClient, PlatformError
from ._models import InstanceRecord, InstancesResponse, SettingsResponse, VersionRecord

__all__ = [
    "InstanceRecord",
    "InstancesResponse",
    "PlatformClient",
    "PlatformError",
    "SettingsResponse",
    "VersionRecord",
]
