"""Requests taken late in a planned stop were passed on and then cut.

The first tests run in virtual time with scripted targets, the others over loopback.
"""

import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
import trio.testing

from pistachiohaven.components.gateway.const import DRAIN_ACCEPT_MS, DRAIN_MARGIN_MS
from pistachiohaven.const import MS_PER_S

from .scripted_targets import (
    Output,
    ScriptedGateway,
    Step,
    answer,
    stream_events,
)
from .stand_ins import (
    GatewayHarness,
    Response,
    make_config,
    read_response,
    run_harness,
)
from .test_cut_stream import DEADLINE_MS, raise_timeouts
from .test_gateway import never_respond, script_first_requests
from .test_unanswered_at_drain import wait_for_status

RUN_MS = 600
"""Time that requests have taken at the targets."""


def run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


async def make_gateway(*steps: Step, left_ms: int | None) -> ScriptedGateway:
    """Return a gateway that knows how long runs take.

    It leaves in `left_ms`, and does not leave if that is None.
    """
    gateway = ScriptedGateway(*steps)
    for load in gateway.state.scheduler.loads():
        for number in range(20):
            job = gateway.make_call("/once/x").job()
            load.record_sent(job, now_ms=gateway.clock.now_ms())
            await trio.sleep(RUN_MS / MS_PER_S)
            load.record_completed(
                job.request_id, events=0, tokens=0, now_ms=gateway.clock.now_ms()
            )
            assert number < 19 or load.service_ms == pytest.approx(RUN_MS, rel=0.2)
    if left_ms is not None:
        drain(gateway, left_ms=left_ms)
    return gateway


def drain(gateway: ScriptedGateway, *, left_ms: int) -> None:
    now_ms = gateway.clock.now_ms()
    gateway.state.start_draining(since_ms=now_ms, end_ms=now_ms + left_ms)


@pytest.mark.parametrize(
    ("path", "left_runs"),
    [
        ("/again/x", 0.9),
        ("/stream-again/x", 0.9),
        ("/once/x", 0.9),
        ("/once/x", 1.8),
        ("/stream-once/x", 1.8),
    ],
)
def test_request_that_can_not_end_before_the_gateway_is_refused(
    path: str, left_runs: float
) -> None:
    """It has not run, and another gateway can serve it.

    One that may run once only is refused if it might not end.
    """

    async def test() -> None:
        gateway = await make_gateway(answer(200), left_ms=int(left_runs * RUN_MS))
        recorded = await gateway.call(path)
        assert recorded.status == 503
        assert float(recorded.headers[b"retry-after"]) > 0
        assert gateway.pool.sent_headers == []
        assert [load.own_running for load in gateway.state.scheduler.loads()] == [0, 0]

    run(test)


@pytest.mark.parametrize(("path", "left_runs"), [("/once/x", 4.0), ("/again/x", 1.5)])
def test_request_that_ends_before_the_gateway_is_passed_on(
    path: str, left_runs: float
) -> None:
    async def test() -> None:
        gateway = await make_gateway(answer(200), left_ms=int(left_runs * RUN_MS))
        assert (await gateway.call(path)).status == 200

    run(test)


def test_target_is_told_the_time_that_is_left_to_the_gateway() -> None:
    async def test() -> None:
        left_ms = 4 * RUN_MS
        gateway = await make_gateway(answer(200), left_ms=left_ms)
        await gateway.call("/once/x")
        (headers,) = gateway.pool.sent_headers
        assert int(headers["pistachiohaven-deadline-ms"]) <= left_ms

    run(test)


def test_request_is_refused_if_the_time_runs_out_while_it_connects() -> None:
    """It is looked at again just before it is sent."""

    async def test() -> None:
        gateway = await make_gateway(answer(200), left_ms=4 * RUN_MS)
        acquire = gateway.pool.acquire

        async def acquire_slowly(address: str, **options: Any) -> object:
            await trio.sleep(3.5 * RUN_MS / MS_PER_S)
            return await acquire(address, **options)

        gateway.pool.acquire = acquire_slowly  # type: ignore[assignment]
        recorded = await gateway.call("/once/x")
        assert recorded.status == 503
        assert gateway.pool.sent_headers == []

    run(test)


def test_request_that_may_have_run_is_not_called_unrun_when_there_is_no_time() -> None:
    """Its first target broke off; there is no time for a second one."""

    async def test() -> None:
        def drain_and_break(headers: dict[str, str]) -> Output:
            drain(gateway, left_ms=RUN_MS // 2)
            return [b"HTTP/1.1 200 OK\r\n", b""]

        gateway = await make_gateway(drain_and_break, answer(200), left_ms=None)
        recorded = await gateway.call("/again/x")
        assert recorded.status == 502
        assert len(gateway.pool.sent_headers) == 1

    run(test)


def test_begun_stream_goes_on_at_another_target_until_the_gateway_ends() -> None:
    async def test() -> None:
        def drain_and_break(headers: dict[str, str]) -> Output:
            drain(gateway, left_ms=RUN_MS // 2)
            return stream_events(1, end=[b""])(headers)

        gateway = await make_gateway(drain_and_break, stream_events(2, 3), left_ms=None)
        recorded = await gateway.call("/stream-again/x")
        assert recorded.is_complete
        assert len(gateway.pool.sent_headers) == 2

    run(test)


def test_request_whose_body_comes_late_in_the_grace_period_is_refused() -> None:
    """Its head came in time."""

    async def act() -> None:
        with trio.fail_after(40):
            async with run_harness(targets=1) as harness:
                config = make_config(2)
                config["limits"]["headerTimeoutMs"] = DEADLINE_MS
                for route in config["routes"]:
                    route["timeoutMs"] = DEADLINE_MS
                harness.store.put("op/config", config)
                await trio.sleep(0.2)
                connection = await harness.connect()
                lines = ["POST /once/x HTTP/1.1", "Host: a.example"]
                lines += ["Content-Length: 2", "Pistachiohaven-Credential: key-1"]
                lines += [f"Pistachiohaven-Deadline-Ms: {DEADLINE_MS}"]
                lines += ["Pistachiohaven-Attempt-Id: 00000000000000aa"]
                await connection.send_all("\r\n".join([*lines, "", ""]).encode())
                await wait_for_status(harness, "in_flight", 1)
                signal.raise_signal(signal.SIGTERM)
                await trio.sleep((DRAIN_ACCEPT_MS + 300) / MS_PER_S)
                await connection.send_all(b"{}")
                response = await read_response(connection)
                assert response.status == 503
                assert harness.received == []

    trio.run(act)


def test_time_to_stop_runs_from_a_signal_that_is_handled_late() -> None:
    """The process stands still when the signal comes."""
    stood_still_s = 2.0

    async def act() -> None:
        async with run_harness(targets=1) as harness:
            await raise_timeouts(harness)
            script_first_requests(harness, never_respond)
            responses: list[Response] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_call, harness, responses)
                await wait_for_status(harness, "in_flight", 1)
                signal.raise_signal(signal.SIGTERM)
                signalled_s = trio.current_time()
                time.sleep(stood_still_s)
            waited_s = trio.current_time() - signalled_s
            assert responses[0].status == 502
            grace_ms = harness.settings.stop_grace_s * MS_PER_S
            assert waited_s <= (grace_ms - DRAIN_MARGIN_MS) / MS_PER_S

    trio.run(act)


async def _call(harness: GatewayHarness, responses: list[Response]) -> None:
    headers = {"Pistachiohaven-Deadline-Ms": str(DEADLINE_MS)}
    responses.append(await harness.call("/once/x", headers=headers))
