"""Run calls beside a scenario."""

import threading
import time
from collections.abc import Callable
from typing import Any

from features.fleet import PATIENCE_S, Fleet, Reply


class Caller(threading.Thread):
    """Run one call beside the scenario and keep its reply."""

    def __init__(self, call: Callable[..., Reply], *args: Any, **kwargs: Any) -> None:
        super().__init__(daemon=True)
        self._call = call
        self._args = args
        self._kwargs = kwargs
        self.reply: Reply | None = None
        self.failure: Exception | None = None
        self.chunks = 0
        self.ended_s = 0.0
        self.start()

    def run(self) -> None:
        """Make the call."""
        try:
            self.reply = self._call(*self._args, **self._kwargs)
        except Exception as failure:
            self.failure = failure
        self.ended_s = time.monotonic()

    def count(self, _chunk: bytes) -> None:
        """Count one chunk of the answer."""
        self.chunks += 1

    def result(self) -> Reply:
        """Return the reply once it is whole."""
        self.join(PATIENCE_S)
        assert self.reply is not None, f"no reply: {self.failure}"
        return self.reply


def stream(fleet: Fleet, entry: str, job: str, **kwargs: Any) -> Caller:
    """Start a streamed completion beside the scenario."""
    caller: Caller

    def on_chunk(chunk: bytes) -> None:
        caller.count(chunk)

    caller = Caller.__new__(Caller)
    Caller.__init__(
        caller, fleet.ask, entry, job, stream=True, on_chunk=on_chunk, **kwargs
    )
    return caller
