"""A large configuration never arrived over a slow link: each read took too long."""

import pytest
import trio
from result import Err

from pistachiohaven.components.web import CallError, call, make_connection_pool

TIMEOUT_MS = 1_000
PIECES = 30
PIECE_DELAY_S = 0.05


@pytest.mark.parametrize(
    ("sent_pieces", "transfer_ms", "is_complete"),
    [(PIECES, 20_000, True), (PIECES, 0, False), (PIECES - 1, 20_000, False)],
    ids=["arrives", "may not take longer", "stops"],
)
def test_response_may_take_longer_while_it_arrives(
    sent_pieces: int, transfer_ms: int, *, is_complete: bool
) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {PIECES}\r\n\r\n"
        await stream.send_all(head.encode())
        for _ in range(sent_pieces):
            await trio.sleep(PIECE_DELAY_S)
            await stream.send_all(b"x")
        await trio.sleep_forever()

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            _, port = listener.socket.getsockname()
            nursery.start_soon(trio.serve_listeners, serve, [listener])
            result = await call(
                make_connection_pool(),
                address=f"127.0.0.1:{port}",
                path="/",
                method="GET",
                timeout_ms=TIMEOUT_MS,
                transfer_ms=transfer_ms,
            )
            nursery.cancel_scope.cancel()
        if is_complete:
            assert result.unwrap().body == PIECES * b"x"
        else:
            assert result == Err(CallError.TIMEOUT)

    trio.run(run)
