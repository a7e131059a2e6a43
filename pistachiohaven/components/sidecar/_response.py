"""Buffer of the response to one request, read by any number of readers."""

from enum import StrEnum
from typing import Final

import trio

from pistachiohaven.const import MAX_RESPONSE_BUFFER_BYTES, MS_PER_S
from pistachiohaven.core import Reason

MAX_UNREAD_BYTES: Final = MAX_RESPONSE_BUFFER_BYTES
"""Maximum number of bytes that the slowest reader may be behind the target."""


class ResponseState(StrEnum):
    """State of a response; CUT means that it ended incomplete."""

    WAITING = "waiting"
    """The response has not started."""

    REFUSED = "refused"
    """The request was refused, withdrawn or abandoned before it ran."""

    STREAMING = "streaming"
    """The response has started, but not ended."""

    WHOLE = "whole"
    """The response ended complete."""

    CUT = "cut"


class BufferedResponse:
    """Response of a target with a bounded buffer, which readers read at any offset.

    The first bytes are dropped only if the response outgrows the buffer, and only
    after every open reader has read them. `dropped_bytes` counts them.
    `reader_offsets` maps the id of each open reader to the offset of its next byte.
    """

    def __init__(self) -> None:
        self.state = ResponseState.WAITING
        self.status = 0
        self.content_type = b""
        self.reason: Reason | None = None
        self.retry_after_ms = 0
        self.dropped_bytes = 0
        self.reader_offsets: dict[int, int] = {}
        self._buffer = bytearray()
        self._changed = trio.Event()
        self._ended = trio.Event()
        self._last_reader_id = 0

    @property
    def end_offset_bytes(self) -> int:
        """Return the offset after the last byte in the buffer."""
        return self.dropped_bytes + len(self._buffer)

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes in the buffer."""
        return len(self._buffer)

    @property
    def is_ended(self) -> bool:
        """Return True if no more bytes will be appended."""
        return self.state in (
            ResponseState.REFUSED,
            ResponseState.WHOLE,
            ResponseState.CUT,
        )

    def begin(self, *, status: int, content_type: bytes) -> None:
        """Set the status and content type from the head of the target's response."""
        self.status = status
        self.content_type = content_type
        self.state = ResponseState.STREAMING
        self._notify()

    def append(self, chunk: bytes) -> None:
        """Append bytes; without a reader, drop the first ones beyond the buffer."""
        self._buffer += chunk
        if not self.reader_offsets:
            self._drop(len(self._buffer) - MAX_RESPONSE_BUFFER_BYTES)
        self._notify()

    def finish(self, state: ResponseState, reason: Reason | None = None) -> None:
        """Set the final state; a response that has already ended is not changed."""
        if self.is_ended:
            return
        self.state = state
        self.reason = reason
        self._ended.set()
        self._notify()

    def open_reader(self, offset_bytes: int) -> int | None:
        """Return the id of a new reader, or None if its first bytes were dropped."""
        if offset_bytes < self.dropped_bytes:
            return None
        self._last_reader_id += 1
        self.reader_offsets[self._last_reader_id] = offset_bytes
        return self._last_reader_id

    def close_reader(self, reader_id: int) -> None:
        """Remove a reader."""
        self.reader_offsets.pop(reader_id, None)
        self._notify()

    async def wait_until_started(self) -> None:
        """Wait until the response starts or the request ends without one."""
        while self.state is ResponseState.WAITING:
            await self._changed.wait()

    async def read(self, reader_id: int) -> bytes:
        """Return all bytes that the reader has not read; empty at the end.

        Wait for more bytes if there are none.
        """
        while True:
            next_offset = self.reader_offsets[reader_id]
            if next_offset < self.end_offset_bytes:
                chunk = bytes(self._buffer[next_offset - self.dropped_bytes :])
                self.reader_offsets[reader_id] = self.end_offset_bytes
                self._drop_read()
                return chunk
            if self.is_ended:
                return b""
            await self._changed.wait()

    async def wait_to_coalesce(self, *, max_wait_ms: int) -> None:
        """Wait `max_wait_ms` so that more bytes are sent in one write.

        The wait stops at the end of the response.
        """
        if not self.is_ended:
            with trio.move_on_after(max_wait_ms / MS_PER_S):
                await self._ended.wait()

    async def wait_for_space(self) -> None:
        """Wait until the slowest reader is less than `MAX_UNREAD_BYTES` behind."""
        while self.reader_offsets and not self.is_ended:
            slowest = min(self.reader_offsets.values())
            if self.end_offset_bytes - slowest < MAX_UNREAD_BYTES:
                return
            await self._changed.wait()

    def _drop_read(self) -> None:
        """Drop bytes beyond the buffer size that every reader has read."""
        excess_bytes = len(self._buffer) - MAX_RESPONSE_BUFFER_BYTES
        read_bytes = min(self.reader_offsets.values()) - self.dropped_bytes
        self._drop(min(excess_bytes, read_bytes))
        self._notify()

    def _drop(self, byte_count: int) -> None:
        """Drop the first `byte_count` bytes; none if it is not positive."""
        if byte_count > 0:
            del self._buffer[:byte_count]
            self.dropped_bytes += byte_count

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()
