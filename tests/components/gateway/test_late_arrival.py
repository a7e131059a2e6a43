"""A request that was given up reached its target later, beside its repeat.

Bytes that the network has not taken yet wait in the kernel, also after an ordinary end
of the connection. The operators count a request when it arrives.
"""

import socket

import trio

from pistachiohaven.components.gateway._connections import (
    ConnectionPool,
    send_request,
)
from pistachiohaven.helpers import Clock

BODY = b"x" * 15_000
"""More than the target's buffer takes while it does not read."""

RECEIVE_BUFFER_BYTES = 4_096


def listen() -> socket.socket:
    """Return a listening socket whose connections take few bytes at once."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def receive_all(sock: socket.socket) -> int:
    """Return how many bytes arrive until the connection ends."""
    received = 0
    sock.settimeout(5)
    try:
        while data := sock.recv(65_536):
            received += len(data)
    except ConnectionResetError:
        pass
    return received


async def give_up_late_request() -> int:
    """Give a request up that its target has not read; return what arrives of it."""
    pool = ConnectionPool(clock=Clock())
    with listen() as listener:
        host, port = listener.getsockname()
        connection = (await pool.acquire(f"{host}:{port}")).unwrap()
        target, _ = await trio.to_thread.run_sync(listener.accept)
        with trio.move_on_after(0.5):
            await send_request(
                connection,
                method="POST",
                request_target=b"/",
                headers=[
                    (b"host", b"a.example"),
                    (b"content-length", str(len(BODY)).encode()),
                ],
                body=BODY,
            )
        await pool.close(connection)
        with target:
            return await trio.to_thread.run_sync(receive_all, target)


def test_request_that_is_given_up_does_not_arrive_later() -> None:
    assert trio.run(give_up_late_request) < len(BODY)
