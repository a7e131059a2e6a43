"""A server that stopped left connections open whose next request it had read."""

import socket

import pytest
import trio

from pistachiohaven.components.web import (
    Receive,
    Scope,
    Send,
    Server,
    ServerOptions,
    listen,
    send_response,
    start_response,
)

from .test_unanswered_request import read_status

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
GRACE_S = 10.0
STOPS = 12


def connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


async def answer(scope: Scope, receive: Receive, send: Send) -> None:
    await send_response(send, status=200, headers=[], body=b"")


@pytest.mark.parametrize("turns", range(8))
def test_request_read_before_the_end_of_the_previous_response_is_answered(
    turns: int,
) -> None:
    """The server stops while a response ends whose caller sends its next request."""
    requests = 0
    release = trio.Event()
    statuses: list[int | None] = []
    listener = listen("127.0.0.1:0")
    connection = connect(listener.address)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        nonlocal requests
        requests += 1
        if requests > 1:
            await answer(scope, receive, send)
            return
        headers = [(b"content-length", b"2")]
        await start_response(send, status=200, headers=headers)
        await release.wait()
        # The response is complete for its caller after this message.
        await send({"type": "http.response.body", "body": b"ok", "more_body": True})
        connection.send(REQUEST)
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        await send({"type": "http.response.body", "body": b""})

    async def act() -> float:
        server = Server(listeners=[listener], options=ServerOptions(grace_s=GRACE_S))
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, app, stop)
            connection.send(REQUEST)
            await trio.sleep(0.1)
            stop.set()
            await trio.sleep(0.1)
            stopped_s = trio.current_time()
            release.set()
            connection.setblocking(False)
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            head_and_body = b""
            while not head_and_body.endswith(b"\r\n\r\nok"):
                head_and_body += await stream.receive_some(1)
            statuses.append(await read_status(stream))
        return trio.current_time() - stopped_s

    stop_s = trio.run(act)
    connection.close()
    assert (statuses, stop_s < GRACE_S / 2) == ([200], True)


def test_options_set_while_the_server_stops_do_not_keep_idle_connections() -> None:
    """The options are set in each turn of the event loop around the stop."""

    async def stop_once() -> float:
        listener = listen("127.0.0.1:0")
        connection = connect(listener.address)
        options = ServerOptions(grace_s=GRACE_S, keep_alive_s=60.0)
        server = Server(listeners=[listener], options=options)
        stop = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, answer, stop)
            await trio.sleep(0.1)
            stop.set()
            stopped_s = trio.current_time()
            for _ in range(20):
                await trio.lowlevel.checkpoint()
                server.set_options(options)
        connection.close()
        return trio.current_time() - stopped_s

    # The order of the tasks within a turn is random.
    assert max(trio.run(stop_once) for _ in range(STOPS)) < GRACE_S / 2
