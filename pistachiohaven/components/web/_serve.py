"""HTTP server for an ASGI application: hypercorn under trio."""

import socket
from dataclasses import dataclass
from functools import partial
from typing import cast

import trio
from hypercorn.config import Config
from hypercorn.trio import serve as hypercorn_serve
from hypercorn.typing import ASGIFramework

from ._asgi import App, Receive, Scope, Send
from .const import (
    BACKLOG,
    KEEP_ALIVE_S,
    MAX_HEADER_BYTES,
    MAX_KEEP_ALIVE_REQUESTS,
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
        self._config = _make_config(listeners)
        self.set_options(options or ServerOptions())

    def set_options(self, options: ServerOptions) -> None:
        """Replace the options, also for open connections."""
        self._config.graceful_timeout = options.grace_s
        self._config.keep_alive_timeout = options.keep_alive_s
        self._config.h11_max_incomplete_size = options.max_header_bytes

    async def serve(self, app: App, stop: trio.Event) -> None:
        """Serve `app` until `stop` is set and the running requests have finished."""
        await hypercorn_serve(
            cast(ASGIFramework, partial(_handle_scope, app)),
            self._config,
            shutdown_trigger=partial(_wait_for_stop, stop),
            mode="asgi",
        )


def _make_config(listeners: list[Listener]) -> Config:
    config = Config()
    config.bind = [f"fd://{listener.sock.detach()}" for listener in listeners]
    config.accesslog = None
    config.loglevel = "WARNING"
    config.backlog = BACKLOG
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.include_server_header = False
    return config


async def serve(app: App, listener: Listener, stop: trio.Event) -> None:
    """Serve `app` on `listener` until `stop` is set."""
    await Server(listeners=[listener]).serve(app, stop)


async def _handle_scope(app: App, scope: Scope, receive: Receive, send: Send) -> None:
    """Pass HTTP requests to `app` and acknowledge the lifespan messages."""
    if scope["type"] == "http":
        await app(scope, receive, send)
        return
    while scope["type"] == "lifespan":
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _wait_for_stop(stop: trio.Event) -> None:
    await stop.wait()
