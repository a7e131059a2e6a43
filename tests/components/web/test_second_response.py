"""A second response to one call was taken for the response to the next one."""

from contextlib import suppress

import h11
import trio
from result import Err, Ok

from pistachiohaven.components.web import CallError, call, make_connection_pool


def test_response_that_came_before_its_request_is_no_response_to_it() -> None:
    """The server sends each response twice, at once."""
    requests = 0

    async def serve(stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError):
            await respond_twice(stream)

    async def respond_twice(stream: trio.SocketStream) -> None:
        nonlocal requests
        connection = h11.Connection(h11.SERVER)
        while data := await stream.receive_some():
            connection.receive_data(data)
            while (event := connection.next_event()) is not h11.NEED_DATA:
                if not isinstance(event, h11.EndOfMessage):
                    continue
                requests += 1
                body = b"response %d" % requests
                head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
                await stream.send_all((head + body) * 2)
                connection = h11.Connection(h11.SERVER)
                break

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            _, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            pool = make_connection_pool()
            for number in range(1, 5):
                result = await call(
                    pool, address=f"127.0.0.1:{port}", path="/", timeout_ms=5_000
                )
                if isinstance(result, Ok):
                    assert result.ok_value.body == b"response %d" % requests
                else:
                    assert result == Err(CallError.BROKEN)
                assert requests == number
            nursery.cancel_scope.cancel()

    trio.run(run)
