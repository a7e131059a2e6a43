"""HTTP client of the platform."""

from enum import StrEnum
from typing import TypeVar

import httpcore
import trio
from result import Err, Result

from pistachiohaven.components.web import read_content
from pistachiohaven.const import MS_PER_S
from pistachiohaven.helpers import decode_json

from ._models import InstancesResponse, SettingsResponse
from .const import INSTANCES_PATH, READ_TIMEOUT_MS, SETTINGS_PATH

ResponseT = TypeVar("ResponseT", SettingsResponse, InstancesResponse)


class PlatformError(StrEnum):
    """Cause of a failed read."""

    UNREACHABLE = "unreachable"
    """The connection failed, or a network or protocol error ended the read."""

    TIMEOUT = "timeout"
    BAD_STATUS = "bad_status"
    """The response has another status than 200."""

    BAD_ANSWER = "bad_answer"
    """The response could not be decoded."""


class PlatformClient:
    """Client that reads and watches the settings and the instance list.

    `address` is `ip:port`. `reads` counts the requests sent, including failed ones.
    """

    def __init__(self, *, address: str, pool: httpcore.AsyncConnectionPool) -> None:
        self._base_url = f"http://{address}"
        self._pool = pool
        self.reads = 0

    async def settings(
        self, *, after: int, wait_ms: int
    ) -> Result[SettingsResponse, PlatformError]:
        """Return the settings, waiting up to `wait_ms` for a revision after `after`."""
        return await self._read(SETTINGS_PATH, after, wait_ms, SettingsResponse)

    async def instances(
        self, *, after: int, wait_ms: int
    ) -> Result[InstancesResponse, PlatformError]:
        """Return list versions after `after`, waiting up to `wait_ms` for one."""
        return await self._read(INSTANCES_PATH, after, wait_ms, InstancesResponse)

    async def _read(
        self, path: str, after: int, wait_ms: int, kind: type[ResponseT]
    ) -> Result[ResponseT, PlatformError]:
        url = f"{self._base_url}{path}?after={after}&wait_ms={wait_ms}"
        self.reads += 1
        with trio.move_on_after((wait_ms + READ_TIMEOUT_MS) / MS_PER_S):
            try:
                async with self._pool.stream("GET", url) as response:
                    content = await read_content(response)
            except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
                return Err(PlatformError.UNREACHABLE)
            except httpcore.TimeoutException:
                return Err(PlatformError.TIMEOUT)
            if response.status != 200:  # noqa: PLR2004
                return Err(PlatformError.BAD_STATUS)
            decoded = decode_json(content, kind)
            if isinstance(decoded, Err):
                return Err(PlatformError.BAD_ANSWER)
            return decoded
        return Err(PlatformError.TIMEOUT)
