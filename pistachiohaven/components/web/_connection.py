"""One connection of a caller to the HTTP server."""

from enum import StrEnum

from hypercorn.events import Event, Updated
from hypercorn.trio.tcp_server import TCPServer

from pistachiohaven.helpers import ComponentLogger


class CloseCause(StrEnum):
    """Reason why this process closes a connection."""

    IDLE = "idle"
    """No request came within the idle time."""

    STOPPING = "stopping"
    """The server stops."""


class ServerConnection(TCPServer):
    """Connection that logs if it is closed with an unanswered request."""

    def __init__(self, *, log: ComponentLogger, **options: object) -> None:
        super().__init__(**options)  # type: ignore[arg-type]
        self._log = log
        self._has_request = False

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the HTTP protocol."""
        if isinstance(event, Updated):
            self._has_request = not event.idle
        await super().protocol_send(event)

    async def _initiate_server_close(self) -> None:
        if self._has_request:
            is_stopping = self.context.terminated.is_set()
            cause = CloseCause.STOPPING if is_stopping else CloseCause.IDLE
            self._log.info("request_cut", cause=cause)
        await super()._initiate_server_close()
