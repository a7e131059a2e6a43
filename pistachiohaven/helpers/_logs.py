"""Write structured logs through eliot, with a fixed prefix for each part."""

import sys
from typing import IO

import eliot


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
