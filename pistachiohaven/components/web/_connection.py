"""One connection of a caller to the HTTP server."""

import os
import select
import socket
from collections.abc import Callable
from math import inf
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import TrioSingleTask, WorkerContext
from hypercorn.typing import TaskGroup

from pistachiohaven.helpers import ComponentLogger

from .const import HAS_CALLER_LEFT


def is_readable(fd: int) -> bool:
    """Return True if the socket `fd` has data or has ended."""
    poll = select.poll()
    poll.register(fd, select.POLLIN)
    return bool(poll.poll(0))


def has_ended(fd: int) -> bool:
    """Return True if the other side of the connected socket `fd` has closed it.

    False while the socket has data before its end. No data is consumed.
    """
    if fd < 0:
        return True
    if not is_readable(fd):
        return False
    with socket.socket(fileno=os.dup(fd)) as duplicate:
        try:
            return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class IdleTimer(TrioSingleTask):
    """Idle time of a connection, as the deadline of its reads.

    hypercorn closes idle connections from a task of their own, which may do so after a
    request has been read. A read that has a deadline either returns data or ends, so a
    connection is closed only if it has no request.
    """

    def __init__(self, *, config: Config, stopping: trio.Event) -> None:
        super().__init__()
        self._config = config
        self._stopping = stopping
        self._idle_since_s: float | None = None
        self._deadline_s = inf
        self._read_scope: trio.CancelScope | None = None

    async def restart(
        self, task_group: TaskGroup, action: Callable[..., object]
    ) -> None:
        """Start the idle time; there is no task whose `action` is to be run."""
        self._idle_since_s = trio.current_time()
        self._set_deadline(self._idle_since_s + self._config.keep_alive_timeout)
        if self._stopping.is_set():
            self.expire()

    async def stop(self) -> None:
        """End the idle time, since a request has been read."""
        self._idle_since_s = None
        self._set_deadline(inf)

    def extend(self) -> None:
        """Apply a longer idle time to a connection that is idle.

        A shorter one applies from the next idle time on: the caller may count on the
        time that was in force before.
        """
        if self._idle_since_s is not None and not self._stopping.is_set():
            deadline_s = self._idle_since_s + self._config.keep_alive_timeout
            self._set_deadline(max(self._deadline_s, deadline_s))

    def expire(self) -> None:
        """End the idle time of a connection that is idle."""
        if self._idle_since_s is not None:
            self._set_deadline(-inf)

    def open_read_scope(self) -> trio.CancelScope:
        """Return the scope for the next read."""
        self._read_scope = trio.CancelScope(deadline=self._deadline_s)
        return self._read_scope

    def _set_deadline(self, deadline_s: float) -> None:
        self._deadline_s = deadline_s
        if self._read_scope is not None:
            self._read_scope.deadline = deadline_s


class ServerConnection(TCPServer):
    """Connection that is closed as idle only while it has no request."""

    def __init__(
        self,
        *,
        config: Config,
        stopping: trio.Event,
        log: ComponentLogger,
        **options: Any,
    ) -> None:
        # hypercorn closes a connection after a response once its context has ended,
        # even if it has read the next request. The idle timer does not.
        state = {HAS_CALLER_LEFT: self._has_caller_left}
        super().__init__(
            config=config, context=WorkerContext(None), state=state, **options
        )
        self._log = log
        self._has_request = False
        self.idle_task: IdleTimer = IdleTimer(config=config, stopping=stopping)

    async def run(self) -> None:
        """Serve the connection until it is closed."""
        try:
            await super().run()
        except trio.Cancelled:
            if self._has_request:
                self._log.info("request_cut")
            raise

    def _has_caller_left(self) -> bool:
        return has_ended(self.stream.socket.fileno())

    async def protocol_send(self, event: Event) -> None:
        """Handle an event of the HTTP protocol."""
        if isinstance(event, Updated):
            self._has_request = not event.idle
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        """Pass the data that the caller sends to the HTTP protocol."""
        while True:
            try:
                with self.idle_task.open_read_scope() as scope:
                    data = await self.stream.receive_some(MAX_RECV)
            except (trio.ClosedResourceError, trio.BrokenResourceError):
                break
            if scope.cancelled_caught:
                # Checked and closed within one turn of the event loop.
                if not is_readable(self.stream.socket.fileno()):
                    self.stream.socket.close()
                    break
                try:
                    data = await self.stream.receive_some(MAX_RECV)
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    break
            await self.protocol.handle(RawData(bytes(data)))
            if not data:
                break
        await self.protocol.handle(Closed())
