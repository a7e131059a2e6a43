"""Structured logs through eliot, with a fixed prefix for each component."""

import os
import sys
from collections import deque
from typing import IO, Any

import eliot
import msgspec


class ComponentLogger:
    """Logger of one component; each event name is prefixed with the component."""

    __slots__ = ("_prefix",)

    def __init__(self, *, component: str) -> None:
        self._prefix = f"pistachiohaven:{component}:"

    def info(self, event: str, **fields: object) -> None:
        """Log `event`, a short name, with `fields`, whose names include units."""
        eliot.log_message(message_type=self._prefix + event, **fields)


def log_to(stream: IO[str] = sys.stderr) -> None:
    """Write every log line as JSON to `stream`."""
    eliot.to_file(stream)


class BoundedLog:
    """Buffer of log lines for a file descriptor that may not accept writes.

    Lines are written by `flush`, which never blocks. Lines beyond `max_lines` are
    dropped and counted in `dropped`; the next flush with room in the buffer writes the
    number of lines dropped since the last such report.
    """

    def __init__(self, *, fd: int, max_lines: int) -> None:
        self._fd = fd
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._unreported = 0
        self.dropped = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Add one eliot message to the buffer."""
        if len(self._lines) >= self._max_lines:
            self._unreported += 1
            self.dropped += 1
            return
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write as many lines as the file descriptor accepts now."""
        if self._unreported and len(self._lines) < self._max_lines:
            self._lines.append(b'{"dropped_lines":%d}\n' % self._unreported)
            self._unreported = 0
        if not self._unwritten:
            self._unwritten = b"".join(self._lines)
            self._lines.clear()
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            self._unwritten = self._unwritten[written:]


def log_bounded(fd: int, *, max_lines: int) -> BoundedLog:
    """Make `fd` non-blocking and return a buffer that gets every log line for it."""
    os.set_blocking(fd, False)
    log = BoundedLog(fd=fd, max_lines=max_lines)
    eliot.add_destinations(log)
    return log
