"""Targets that break responses off are told from those that have ended."""

import trio

from pistachiohaven.components.gateway._connections import ConnectionPool
from pistachiohaven.components.gateway._crashes import CrashChecks
from pistachiohaven.helpers import Clock


async def break_off(stream: trio.SocketStream) -> None:
    await stream.aclose()


def test_only_a_target_that_no_longer_listens_has_crashed() -> None:
    async def run() -> None:
        checks, pool = CrashChecks(), ConnectionPool(clock=Clock())
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        address = f"{host}:{port}"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, break_off, [listener])
            assert not await checks.has_crashed("i-0@1", address, pool)
            nursery.cancel_scope.cancel()
        assert await checks.has_crashed("i-0@1", address, pool)

    trio.run(run)


def test_requests_of_one_target_share_a_check() -> None:
    """A crash breaks all of them at once."""

    async def run() -> None:
        checks, pool = CrashChecks(), ConnectionPool(clock=Clock())
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        await listener.aclose()
        results: list[bool] = []

        async def check() -> None:
            address = f"{host}:{port}"
            results.append(await checks.has_crashed("i-0@1", address, pool))

        async with trio.open_nursery() as nursery:
            for _ in range(10):
                nursery.start_soon(check)
        assert results == [True] * 10
        assert pool.opened_count == 1

    trio.run(run)
