"""HTTP server for an ASGI application: hypercorn under trio."""

import socket
import traceback
from dataclasses import dataclass
from functools import partial

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config

from pistachiohaven.helpers import ComponentLogger

from ._asgi import App, Receive, RequestReader, Scope, Send
from ._connection import ServerConnection
from .const import (
    BACKLOG,
    KEEP_ALIVE_S,
    MAX_HEADER_BYTES,
    MAX_KEEP_ALIVE_REQUESTS,
    MAX_QUEUED_PARTS,
    SHUTDOWN_GRACE_S,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Listener:
    """Listening socket and its actual address, `ip:port`."""

    sock: socket.socket
    address: str


def listen(address: str) -> Listener:
    """Listen on `address`, `ip:port`; for port 0 the kernel chooses the port."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    bound_host, bound_port = sock.getsockname()
    return Listener(sock=sock, address=f"{bound_host}:{bound_port}")


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerOptions:
    """Limits on idle connections, on request heads and on the time to stop.

    `grace_s` is the time in seconds that requests get to finish when the server stops.
    """

    keep_alive_s: float = KEEP_ALIVE_S
    grace_s: float = SHUTDOWN_GRACE_S
    max_header_bytes: int = MAX_HEADER_BYTES


class Server:
    """Server of one application on several listeners."""

    def __init__(
        self, *, listeners: list[Listener], options: ServerOptions | None = None
    ) -> None:
        self._listeners = listeners
        self._config = _make_config()
        self._log = ComponentLogger(component="web")
        self._connections: set[ServerConnection] = set()
        self.set_options(options or ServerOptions())

    def set_options(self, options: ServerOptions) -> None:
        """Replace the options.

        A longer idle time applies to idle connections, too, a shorter one only from
        their next idle time on.
        """
        self._config.graceful_timeout = options.grace_s
        self._config.h11_max_incomplete_size = options.max_header_bytes
        if options.keep_alive_s == self._config.keep_alive_timeout:
            return
        self._config.keep_alive_timeout = options.keep_alive_s
        for connection in self._connections:
            connection.idle_task.extend()

    async def serve(self, app: App, stop: trio.Event) -> None:
        """Serve `app` until `stop` is set and the running requests have finished."""
        stopping = trio.Event()
        handle_connection = partial(
            self._handle_connection,
            ASGIWrapper(partial(self._handle_scope, app)),
            stopping,
        )
        listeners = [
            trio.SocketListener(trio.socket.from_stdlib_socket(listener.sock))
            for listener in self._listeners
        ]
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        handle_connection,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                await stop.wait()
                accepting.cancel_scope.cancel()
            stopping.set()
            for connection in self._connections:
                connection.idle_task.expire()
            connections.cancel_scope.deadline = (
                trio.current_time() + self._config.graceful_timeout
            )

    async def _handle_connection(
        self, app: ASGIWrapper, stopping: trio.Event, stream: trio.SocketStream
    ) -> None:
        connection = ServerConnection(
            log=self._log,
            app=app,
            config=self._config,
            stopping=stopping,
            stream=stream,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        except Exception as error:
            # An error of one connection must not end the others.
            self._log.info(
                "connection_failed",
                error=type(error).__name__,
                traceback="".join(traceback.format_exception(error)),
            )
        finally:
            self._connections.discard(connection)

    async def _handle_scope(
        self, app: App, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Pass HTTP requests to `app`, and log the errors that it raises."""
        if scope["type"] != "http":
            return
        request = RequestReader(receive)
        try:
            await app(scope, request.receive, partial(request.send, send))
        except Exception as error:
            self._log.info(
                "request_failed",
                error=type(error).__name__,
                traceback="".join(traceback.format_exception(error)),
            )
            raise


def _make_config() -> Config:
    config = Config()
    config.accesslog = None
    config.loglevel = "WARNING"
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.include_server_header = False
    config.max_app_queue_size = MAX_QUEUED_PARTS
    return config


async def serve(app: App, listener: Listener, stop: trio.Event) -> None:
    """Serve `app` on `listener` until `stop` is set."""
    await Server(listeners=[listener]).serve(app, stop)
