"""Calls in background threads of a scenario."""

import threading
import time
from collections.abc import Callable
from typing import Any

from features.fleet import TIMEOUT_S, Fleet, Reply


class Caller(threading.Thread):
    """Thread that makes one call and stores its response or its error."""

    def __init__(self, call: Callable[..., Reply], *args: Any, **kwargs: Any) -> None:
        super().__init__(daemon=True)
        self._call = call
        self._args = args
        self._kwargs = kwargs
        self.reply: Reply | None = None
        self.error: Exception | None = None
        self.chunk_count = 0
        self.ended_at_s = 0.0
        self.start()

    def run(self) -> None:
        """Make the call."""
        try:
            self.reply = self._call(*self._args, **self._kwargs)
        except Exception as error:
            self.error = error
        self.ended_at_s = time.monotonic()

    def count_chunk(self, _chunk: bytes) -> None:
        """Count one chunk of the response."""
        self.chunk_count += 1

    def result(self) -> Reply:
        """Wait for the complete response and return it.

        Raises AssertionError if there is none after `TIMEOUT_S`.
        """
        self.join(TIMEOUT_S)
        assert self.reply is not None, f"no response: {self.error}"
        return self.reply


def stream_in_background(fleet: Fleet, entry: str, job: str, **kwargs: Any) -> Caller:
    """Start a streamed completion in a background thread."""
    caller: Caller

    def on_chunk(chunk: bytes) -> None:
        caller.count_chunk(chunk)

    caller = Caller.__new__(Caller)
    Caller.__init__(
        caller,
        fleet.request_completion,
        entry,
        job,
        stream=True,
        on_chunk=on_chunk,
        **kwargs,
    )
    return caller
