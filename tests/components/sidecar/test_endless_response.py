"""Test that a sidecar gives up a target's response without end."""

import trio

from pistachiohaven.components.peer import OfferMessage
from pistachiohaven.components.sidecar import SidecarCore
from pistachiohaven.components.sidecar._response import ResponseState
from pistachiohaven.components.sidecar._runner import EffectRunner
from pistachiohaven.components.target import ServiceTarget
from pistachiohaven.components.web import make_connection_pool
from pistachiohaven.helpers import Clock, ComponentLogger

from .test_core import WALL_MS, make_facts

LIMIT_BYTES = 16_777_216
"""Largest response that a sidecar passes on."""

READ_BYTES = 65_536


async def send_too_much(stream: trio.SocketStream) -> None:
    await stream.receive_some()
    try:
        await stream.send_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        for _ in range(LIMIT_BYTES // READ_BYTES + 16):
            await stream.send_all(b"x" * READ_BYTES)
    except trio.BrokenResourceError:
        pass
    await stream.aclose()


def test_response_without_end_is_cut() -> None:
    async def run() -> None:
        core = SidecarCore(name="s", incarnation="s#1")
        core.lifecycle.serve()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        _, port = listener.socket.getsockname()
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, send_too_much, [listener])
                runner = EffectRunner(
                    core=core,
                    target=ServiceTarget(address=f"127.0.0.1:{port}"),
                    pool=make_connection_pool(),
                    clock=Clock(monotonic_s=trio.current_time, wall_s=wall_s),
                    log=ComponentLogger(component="test"),
                    nursery=nursery,
                )
                facts = make_facts()
                runner.offer(
                    OfferMessage(facts=facts, path="/", content_type="", body=b"")
                )
                response = runner.responses.get(facts.work.request_id)
                assert response is not None
                while not response.is_ended:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        assert response.state is ResponseState.CUT
        assert response.size_bytes <= LIMIT_BYTES + READ_BYTES

    trio.run(run)


def wall_s() -> float:
    return WALL_MS / 1_000
