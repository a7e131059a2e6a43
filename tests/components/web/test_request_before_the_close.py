"""Requests reached a connection that the server had decided to close, and were lost."""

import pytest
import trio

from pistachiohaven.components.web import Server, listen

from .test_unanswered_request import (
    REQUEST,
    Application,
    connect,
    wait_until_accepted,
)

TURNS = 14


@pytest.mark.parametrize("turns", range(TURNS))
def test_request_that_arrives_before_the_close_is_answered(turns: int) -> None:
    """The server stops; the request arrives some turns of the event loop later."""
    outcomes: list[bytes] = []
    listener = listen("127.0.0.1:0")

    async def act() -> None:
        server = Server(listeners=[listener])
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, Application(), stop)
            connections = connect(listener.address)
            await wait_until_accepted(connections)
            stop.set()
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            for connection in connections:
                connection.setblocking(False)
                try:
                    assert connection.recv(1) == b""
                except BlockingIOError:
                    connection.send(REQUEST)
                    stream = trio.SocketStream(
                        trio.socket.from_stdlib_socket(connection)
                    )
                    try:
                        outcomes.append(bytes(await stream.receive_some(12)))
                    except trio.BrokenResourceError:
                        outcomes.append(b"")

    trio.run(act)
    assert set(outcomes) <= {b"HTTP/1.1 200"}
