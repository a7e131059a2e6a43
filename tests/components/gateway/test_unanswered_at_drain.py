"""Requests that still waited for a slot when the gateway ended got no answer."""

import json
import signal

import trio

from .stand_ins import GatewayHarness, ReceivedRequest, Response, run_harness
from .test_cut_stream import DEADLINE_MS, raise_timeouts
from .test_gateway import never_respond, script_first_requests

SLOTS = 4
DEADLINE = {"Pistachiohaven-Deadline-Ms": str(DEADLINE_MS)}


async def wait_for_status(harness: GatewayHarness, field: str, value: int) -> None:
    """Wait until the gateway's status document has `value` in `field`."""

    async def has_value() -> bool:
        response = await harness.get(harness.settings.control_address, "/status")
        return bool(json.loads(response.body)[field] == value)

    await harness.wait_until(has_value)


def test_request_without_a_slot_at_the_end_of_the_grace_period_is_refused() -> None:
    """All slots are taken until the gateway ends; the request has not run."""
    responses: list[Response] = []

    async def act() -> None:
        with trio.fail_after(40):
            async with run_harness(targets=1) as harness:
                await raise_timeouts(harness)
                script_first_requests(harness, *[never_respond] * SLOTS)

                async def call() -> None:
                    responses.append(await harness.call("/once/x", headers=DEADLINE))

                async with trio.open_nursery() as callers:
                    for _ in range(SLOTS):
                        callers.start_soon(call)
                    await wait_for_status(harness, "in_flight", SLOTS)
                    callers.start_soon(call)
                    await wait_for_status(harness, "waiting", 1)
                    signal.raise_signal(signal.SIGTERM)
                statuses = sorted(response.status for response in responses)
                assert statuses == [502] * SLOTS + [503]

    trio.run(act)


def test_response_that_begins_after_the_stop_signal_closes_its_connection() -> None:
    """Its request arrived before the signal."""
    release = trio.Event()

    async def act() -> None:
        with trio.fail_after(40):
            async with run_harness(targets=1) as harness:

                async def respond(
                    request: ReceivedRequest, stream: trio.SocketStream
                ) -> bool:
                    await release.wait()
                    return await harness.targets[0].respond_normally(request, stream)

                await raise_timeouts(harness)
                script_first_requests(harness, respond)
                responses: list[Response] = []

                async def call() -> None:
                    responses.append(await harness.call("/once/x", headers=DEADLINE))

                async with trio.open_nursery() as callers:
                    callers.start_soon(call)
                    await wait_for_status(harness, "in_flight", 1)
                    signal.raise_signal(signal.SIGTERM)

                    async def is_unready() -> bool:
                        return not await harness.is_ready()

                    await harness.wait_until(is_unready)
                    release.set()
                response = responses[0]
                connection = response.headers.get("connection")
                assert (response.status, connection) == (200, "close")

    trio.run(act)
