"""Software versions at which streams began."""

from ._core import StreamOrigin, StreamOrigins, stream_key
from ._history import VersionHistory

__all__ = ["StreamOrigin", "StreamOrigins", "VersionHistory", "stream_key"]
