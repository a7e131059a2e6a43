"""Begun streams that the gateway took from a stalled target were cut."""

import json

import pytest
import trio

from .stand_ins import (
    GatewayHarness,
    ReceivedRequest,
    Responder,
    event_bytes,
    make_config,
    run_harness,
    send_chunk,
)
from .test_gateway import COMPLETE_STREAM, reject, script_first_requests

DEADLINE_MS = 20_000


async def raise_timeouts(harness: GatewayHarness) -> None:
    """Give the routes more time than a busy machine needs."""
    config = make_config(2)
    for route in config["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    harness.store.put("op/config", config)

    async def is_in_force() -> bool:
        response = await harness.get(harness.settings.control_address, "/status")
        return bool(json.loads(response.body)["config_version"] == 2)

    await harness.wait_until(is_in_force)


def stall_after_an_event(harness: GatewayHarness) -> Responder:
    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await harness.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await trio.sleep_forever()
        return False

    return respond


@pytest.mark.parametrize(("targets", "rejections"), [(2, 1), (4, 3), (2, 4)])
def test_moved_stream_survives_targets_that_reject_it(
    targets: int, rejections: int
) -> None:
    """Each rejecting target states that it did not run the request."""

    async def act() -> None:
        with trio.fail_after(30):
            async with run_harness(targets=targets) as harness:
                await raise_timeouts(harness)
                steps = [stall_after_an_event(harness), *[reject] * rejections]
                script_first_requests(harness, *steps)
                deadline = {"Pistachiohaven-Deadline-Ms": str(DEADLINE_MS)}
                response = await harness.call("/stream-again/x", headers=deadline)
                assert (response.body, response.is_complete) == (COMPLETE_STREAM, True)

    trio.run(act)
