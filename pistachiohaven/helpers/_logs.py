"""Write structured logs through eliot, with a fixed prefix for each part."""

import os
import sys
from collections import deque
from typing import IO, Any

import eliot
import msgspec


class PartLogger:
    """Log short sentences under the prefix of one part."""

    __slots__ = ("_prefix",)

    def __init__(self, *, part: str) -> None:
        self._prefix = f"pistachiohaven:{part}:"

    def info(self, event: str, **fields: object) -> None:
        """Log `event`, a short name; `fields` carry units in their names."""
        eliot.log_message(message_type=self._prefix + event, **fields)


def log_to(stream: IO[str] = sys.stderr) -> None:
    """Send every log line as JSON to `stream`."""
    eliot.to_file(stream)


class BoundedLog:
    """Hold log lines until the file takes them, and count what it does not take.

    `flush` never blocks. Lines over `max_lines` are dropped; the next flush that
    succeeds writes how many.
    """

    def __init__(self, *, fd: int, max_lines: int) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._untold = 0
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message of eliot."""
        if len(self._lines) >= self._max_lines:
            self._untold += 1
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write what the file takes now."""
        if self._untold and len(self._lines) < self._max_lines:
            self._lines.append(b'{"dropped_lines":%d}\n' % self._untold)
            self._untold = 0
        if not self._rest:
            self._rest = b"".join(self._lines)
            self._lines.clear()
        while self._rest:
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            self._rest = self._rest[written:]


def log_bounded(fd: int, *, max_lines: int) -> BoundedLog:
    """Send every log line to the file `fd` without ever waiting for it."""
    os.set_blocking(fd, False)
    log = BoundedLog(fd=fd, max_lines=max_lines)
    eliot.add_destinations(log)
    return log
