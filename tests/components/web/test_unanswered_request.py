"""Requests that a server had read were never answered, since it closed as idle."""

import socket

import h11
import pytest
import trio
from trio.testing import MockClock

from pistachiohaven.components.web import (
    Receive,
    Scope,
    Send,
    Server,
    ServerOptions,
    listen,
    send_response,
)

KEEP_ALIVE_S = 5.0
CONNECTIONS = 40
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class Application:
    """Application that counts the requests it gets and answers them after a while."""

    def __init__(self) -> None:
        self.requests = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.requests += 1
        await trio.sleep(0.05)
        await send_response(send, status=200, headers=[], body=b"")


async def read_status(stream: trio.SocketStream) -> int | None:
    """Return the status of the response, None if the connection ends without one."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    connection.send(h11.EndOfMessage())
    try:
        while (event := connection.next_event()) is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some())
    except (h11.RemoteProtocolError, trio.BrokenResourceError):
        return None
    return event.status_code if isinstance(event, h11.Response) else None


def connect(address: str) -> list[socket.socket]:
    host, _, port = address.rpartition(":")
    return [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]


async def collect_statuses(connections: list[socket.socket]) -> list[int | None]:
    """Return the statuses of the responses, None for a connection without one."""
    statuses: list[int | None] = []

    async def collect(connection: socket.socket) -> None:
        connection.setblocking(False)
        trio_socket = trio.socket.from_stdlib_socket(connection)
        statuses.append(await read_status(trio.SocketStream(trio_socket)))

    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(collect, connection)
    return statuses


def test_request_read_while_the_idle_time_ends_is_answered() -> None:
    """Requests arrive in the turn of the event loop in which the idle time ends."""
    clock = MockClock(rate=1.0)
    application = Application()
    statuses: list[int | None] = []

    async def act() -> None:
        listener = listen("127.0.0.1:0")
        options = ServerOptions(keep_alive_s=KEEP_ALIVE_S)
        server = Server(listeners=[listener], options=options)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, application, stop)
            connections = connect(listener.address)
            await trio.sleep(0.1)
            for connection in connections:
                connection.send(REQUEST)
            clock.jump(KEEP_ALIVE_S)
            statuses.extend(await collect_statuses(connections))
            stop.set()

    trio.run(act, clock=clock)
    assert statuses.count(200) == application.requests == CONNECTIONS


async def wait_until_accepted(connections: list[socket.socket]) -> None:
    """Wait until the server has answered a first request on each connection.

    A server that stops resets those that it has not accepted yet.
    """
    for connection in connections:
        connection.send(REQUEST)
    assert set(await collect_statuses(connections)) == {200}


@pytest.mark.parametrize("turns", range(8))
def test_request_read_while_the_server_stops_is_answered(turns: int) -> None:
    """Requests arrive some turns of the event loop after the server was stopped."""
    application = Application()
    statuses: list[int | None] = []

    async def act() -> None:
        listener = listen("127.0.0.1:0")
        server = Server(listeners=[listener])
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, application, stop)
            connections = connect(listener.address)
            await wait_until_accepted(connections)
            application.requests = 0
            stop.set()
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            for connection in connections:
                connection.send(REQUEST)
            statuses.extend(await collect_statuses(connections))

    trio.run(act)
    assert statuses.count(200) == application.requests
