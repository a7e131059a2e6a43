"""Test that a sidecar cuts a target's response without end, or without a body."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from pistachiohaven.components.peer import OfferMessage
from pistachiohaven.components.sidecar import SidecarCore
from pistachiohaven.components.sidecar._response import BufferedResponse, ResponseState
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


def run_one_call(
    respond: Callable[[trio.SocketStream], Awaitable[None]],
) -> BufferedResponse:
    """Return the response of a target that answers with `respond`."""
    responses: list[BufferedResponse] = []

    async def run() -> None:
        core = SidecarCore(name="s", incarnation="s#1")
        core.lifecycle.serve()
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        _, port = listener.socket.getsockname()
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, respond, [listener])
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
                responses.append(response)
                nursery.cancel_scope.cancel()

    trio.run(run)
    return responses[0]


def test_response_without_end_is_cut() -> None:
    response = run_one_call(send_too_much)
    assert response.state is ResponseState.CUT
    assert response.size_bytes <= LIMIT_BYTES + READ_BYTES


@pytest.mark.parametrize(
    ("data", "state"),
    [
        (b"\r\n", ResponseState.CUT),
        (b"\r\nbody", ResponseState.WHOLE),
        (b"content-length: 0\r\n\r\n", ResponseState.WHOLE),
    ],
)
def test_response_that_ends_with_its_head_is_cut(
    data: bytes, state: ResponseState
) -> None:
    """Nothing says that a body of unknown length was empty."""

    async def respond(stream: trio.SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + data)
        await stream.aclose()

    assert run_one_call(respond).state is state


def wall_s() -> float:
    return WALL_MS / 1_000
