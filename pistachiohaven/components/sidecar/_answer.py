"""Hold the answer of one request while readers take it."""

from enum import StrEnum
from typing import Final

import trio

from pistachiohaven.const import MAX_ANSWER_BUFFER_BYTES, MS_PER_S
from pistachiohaven.core import Reason

UNREAD_LIMIT_BYTES: Final = MAX_ANSWER_BUFFER_BYTES
"""Bytes a target may run ahead of the only reader."""


class AnswerState(StrEnum):
    """Say how far an answer has come."""

    WAITING = "waiting"
    REFUSED = "refused"
    STREAMING = "streaming"
    WHOLE = "whole"
    CUT = "cut"


class Answer:
    """Collect the bytes of an answer; readers wait for more at any offset.

    The first bytes are dropped only once the answer outgrows its buffer, and never
    before the slowest reader took them; `base_bytes` counts them.
    """

    def __init__(self) -> None:
        self.state = AnswerState.WAITING
        self.status = 0
        self.content_type = b""
        self.reason: Reason | None = None
        self.retry_after_ms = 0
        self.base_bytes = 0
        self.readers: dict[int, int] = {}
        self._buffer = bytearray()
        self._update = trio.Event()
        self._end = trio.Event()
        self._next_reader = 0

    @property
    def end_bytes(self) -> int:
        """Return the offset after the last byte held."""
        return self.base_bytes + len(self._buffer)

    @property
    def size_bytes(self) -> int:
        """Return the bytes held now."""
        return len(self._buffer)

    @property
    def ended(self) -> bool:
        """Return True if no more bytes will come."""
        return self.state in (AnswerState.REFUSED, AnswerState.WHOLE, AnswerState.CUT)

    def begin(self, *, status: int, content_type: bytes) -> None:
        """Take in the head of the target's answer."""
        self.status = status
        self.content_type = content_type
        self.state = AnswerState.STREAMING
        self._wake()

    def append(self, chunk: bytes) -> None:
        """Take in bytes of the answer; without a reader the first ones give way."""
        self._buffer += chunk
        if not self.readers:
            self._drop(len(self._buffer) - MAX_ANSWER_BUFFER_BYTES)
        self._wake()

    def finish(self, state: AnswerState, reason: Reason | None = None) -> None:
        """Take in the end of the answer."""
        if self.ended:
            return
        self.state = state
        self.reason = reason
        self._end.set()
        self._wake()

    def open_reader(self, offset_bytes: int) -> int | None:
        """Return the number of a new reader, or None if its bytes are dropped."""
        if offset_bytes < self.base_bytes:
            return None
        self._next_reader += 1
        self.readers[self._next_reader] = offset_bytes
        return self._next_reader

    def close_reader(self, reader: int) -> None:
        """Forget a reader."""
        self.readers.pop(reader, None)
        self._wake()

    async def settled(self) -> None:
        """Wait until the answer begins or the request is refused."""
        while self.state is AnswerState.WAITING:
            await self._update.wait()

    async def read(self, reader: int) -> bytes:
        """Return the next bytes for `reader`, all there are; empty at the end."""
        while True:
            at = self.readers[reader]
            if at < self.end_bytes:
                chunk = bytes(self._buffer[at - self.base_bytes :])
                self.readers[reader] = self.end_bytes
                self._trim()
                return chunk
            if self.ended:
                return b""
            await self._update.wait()

    async def gather(self, *, within_ms: int) -> None:
        """Let what comes within a moment gather into one write.

        The end of the answer is not waited past.
        """
        if not self.ended:
            with trio.move_on_after(within_ms / MS_PER_S):
                await self._end.wait()

    async def room(self) -> None:
        """Wait until the slowest reader has taken enough of what is held."""
        while self.readers and not self.ended:
            slowest = min(self.readers.values())
            if self.end_bytes - slowest < UNREAD_LIMIT_BYTES:
                return
            await self._update.wait()

    def _trim(self) -> None:
        """Drop bytes beyond the buffer that every reader has taken."""
        excess = len(self._buffer) - MAX_ANSWER_BUFFER_BYTES
        taken = min(self.readers.values()) - self.base_bytes
        self._drop(min(excess, taken))
        self._wake()

    def _drop(self, count: int) -> None:
        """Drop the first `count` bytes, none if it is not positive."""
        if count > 0:
            del self._buffer[:count]
            self.base_bytes += count

    def _wake(self) -> None:
        update, self._update = self._update, trio.Event()
        update.set()
