"""Data after a connection's last request ended the server."""

import trio

from pistachiohaven.components.web import (
    Receive,
    Scope,
    Send,
    Server,
    ServerOptions,
    listen,
    read_body,
    start_response,
)

CONNECTIONS = 60
ROUNDS = 15
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def stream_parts(scope: Scope, receive: Receive, send: Send) -> None:
    await read_body(receive, limit_bytes=1_000, timeout_ms=1_000)
    await start_response(send, status=200, headers=[])
    for _ in range(20):
        await send({"type": "http.response.body", "body": b"a", "more_body": True})
    await send({"type": "http.response.body", "body": b""})


def test_data_after_the_last_request_does_not_end_the_server() -> None:
    """Sent while the response is on its way, in various turns of the event loop."""

    async def act() -> None:
        listener = listen("127.0.0.1:0")
        host, _, port = listener.address.rpartition(":")
        server = Server(listeners=[listener], options=ServerOptions(grace_s=0.5))
        stop = trio.Event()

        async def call(turns: int) -> None:
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(REQUEST)
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
                await stream.send_all(b"x\r\n\r\n")
                try:
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    pass

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, stream_parts, stop)
            async with trio.open_nursery() as callers:
                for number in range(CONNECTIONS):
                    callers.start_soon(call, number)
            stop.set()

    for _ in range(ROUNDS):
        trio.run(act)
