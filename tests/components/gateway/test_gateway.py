"""Test the gateway over loopback against scripted targets and a scripted store."""

import functools
import json
import signal
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from .stand_ins import (
    EVENT_COUNT,
    GatewayHarness,
    ReceivedRequest,
    encode_response,
    event_bytes,
    make_config,
    run_harness,
    send_chunk,
)

COMPLETE_STREAM = b"".join(event_bytes(number) for number in range(1, EVENT_COUNT + 1))


def with_harness(
    **options: Any,
) -> Callable[[Callable[[GatewayHarness], Awaitable[None]]], Callable[[], None]]:
    """Return a decorator that runs a test with a GatewayHarness."""

    def decorate(
        test: Callable[[GatewayHarness], Awaitable[None]],
    ) -> Callable[[], None]:
        async def run_test() -> None:
            with trio.fail_after(30):
                async with run_harness(**options) as harness:
                    await test(harness)

        @functools.wraps(test)
        def run() -> None:
            trio.run(run_test)

        del run.__wrapped__  # type: ignore[attr-defined]
        return run

    return decorate


async def close_connection(
    _request: ReceivedRequest, _stream: trio.SocketStream
) -> bool:
    return False


async def reject(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
    headers = {
        "Pistachiohaven-Attempt-Id": request.attempt_id,
        "Pistachiohaven-Not-Executed": "1",
    }
    await stream.send_all(encode_response(503, b"", headers))
    return True


async def never_respond(_request: ReceivedRequest, _stream: trio.SocketStream) -> bool:
    await trio.sleep_forever()
    return False


def respond_with_status(
    code: int,
) -> Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]]:
    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        headers = {
            "Pistachiohaven-Attempt-Id": request.attempt_id,
            "Pistachiohaven-Server-Stamp": "stamp-bad",
        }
        await stream.send_all(encode_response(code, b"no", headers))
        return True

    return respond


def script_first_requests(
    harness: GatewayHarness,
    *steps: Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]],
) -> None:
    """Use `steps` for the first requests, one each, whichever target receives them.

    Later requests get a normal response.
    """
    remaining_steps = list(steps)

    for target in harness.targets:

        async def step(
            request: ReceivedRequest,
            stream: trio.SocketStream,
            respond_normally: Callable[..., Awaitable[bool]] = target.respond_normally,
        ) -> bool:
            if remaining_steps:
                return await remaining_steps.pop(0)(request, stream)
            return await respond_normally(request, stream)

        target.script.steps = [step] * 20


@with_harness()
async def test_response_is_forwarded_unchanged(harness: GatewayHarness) -> None:
    response = await harness.call("/again/x?q=1&q=%20", body=b"abc")
    (request,) = harness.received
    assert response.status == 200
    assert response.body.endswith(b":/again/x?q=1&q=%20")
    assert response.headers["pistachiohaven-server-stamp"].startswith("stamp-i-")
    assert (request.method, request.body) == ("POST", b"abc")
    assert request.headers["pistachiohaven-tenant-name"] == "org"
    assert 0 < int(request.headers["pistachiohaven-deadline-ms"]) <= 2_500


@with_harness()
async def test_stream_is_forwarded_completely(harness: GatewayHarness) -> None:
    response = await harness.call("/stream-once/x")
    assert response.is_complete
    assert response.body == COMPLETE_STREAM


@with_harness()
async def test_keep_alive_connection_serves_many_requests(
    harness: GatewayHarness,
) -> None:
    stream = await harness.connect()
    for _ in range(10):
        for path in ("/stream-once/x", "/again/x"):
            response = await harness.call(path, stream=stream)
            assert response.is_complete
    assert sum(target.connections for target in harness.targets) <= 4
    await stream.aclose()


@pytest.mark.parametrize("path", ["/again/x", "/stream-again/x"])
def test_repeatable_request_is_resent_after_a_lost_connection(path: str) -> None:
    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, close_connection)
        response = await harness.call(path)
        assert (response.status, response.is_complete) == (200, True)
        assert len(harness.received) == 2

    run_test()


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_non_repeatable_request_is_not_resent_after_a_lost_connection(
    path: str,
) -> None:
    """It may have run before the connection was lost.

    A resend could run it twice, and a 503 would wrongly state that it has not run.
    """

    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, close_connection)
        response = await harness.call(path)
        assert response.status == 502
        assert len(harness.received) == 1

    run_test()


@pytest.mark.parametrize("code", [429, 503, 408])
def test_rejection_without_not_executed_header_becomes_502(code: int) -> None:
    """Without that header the request may have run, so the status must not be kept."""

    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        script_first_requests(harness, respond_with_status(code))
        response = await harness.call("/once/x")
        assert response.status == 502
        assert "pistachiohaven-server-stamp" not in response.headers

    run_test()


@with_harness()
async def test_rejected_request_is_sent_to_another_target(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, reject)
    response = await harness.call("/once/x")
    assert response.status == 200
    assert len(harness.received) == 2


@with_harness()
async def test_request_rejected_by_all_targets_is_refused_with_a_retry_time(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, *[reject] * 8)
    response = await harness.call("/once/x")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


@with_harness()
async def test_error_of_a_target_is_forwarded_with_its_signature(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, respond_with_status(500))
    response = await harness.call("/once/x")
    assert (response.status, response.body) == (500, b"no")
    assert response.headers["pistachiohaven-server-stamp"] == "stamp-bad"


@with_harness(targets=3)
async def test_connections_are_reusable_after_errors_of_targets(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, reject, respond_with_status(500))
    for _ in range(6):
        response = await harness.call("/again/x")
        assert response.status == 200


@with_harness()
async def test_error_of_the_first_target_is_returned_if_others_reject(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, respond_with_status(500), reject)
    response = await harness.call("/again/x")
    assert (response.status, response.body) == (500, b"no")


@with_harness()
async def test_broken_stream_is_resumed_after_the_last_complete_event(
    harness: GatewayHarness,
) -> None:
    async def break_midway(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await harness.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1) + event_bytes(2) + b"id: 3\nda")
        return False

    script_first_requests(harness, break_midway)
    response = await harness.call("/stream-again/x")
    assert (response.body, response.is_complete) == (COMPLETE_STREAM, True)
    assert harness.received[-1].headers.get("last-event-id") in {"2", None}
    resumed = [
        request for request in harness.received if "last-event-id" in request.headers
    ]
    assert len(resumed) == 1


@with_harness()
async def test_broken_stream_without_resumption_is_left_incomplete(
    harness: GatewayHarness,
) -> None:
    """A cut stream must not end like a complete one, since events are missing."""

    async def break_midway(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await harness.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1) + b"id: 2\nda")
        return False

    script_first_requests(harness, break_midway)
    response = await harness.call("/stream-once/x")
    assert (response.body, response.is_complete) == (event_bytes(1), False)
    assert len(harness.received) == 1


@with_harness()
async def test_repeatable_request_moves_away_from_a_stalled_target(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, never_respond)
    response = await harness.call("/again/x")
    assert response.status == 200
    assert len(harness.received) == 2


@with_harness()
async def test_deadline_of_a_request_that_may_have_run_returns_504(
    harness: GatewayHarness,
) -> None:
    """A 503 would wrongly state that the request has not run."""
    script_first_requests(harness, never_respond)
    response = await harness.call(
        "/once/x", headers={"Pistachiohaven-Deadline-Ms": "300"}
    )
    assert response.status == 504


@with_harness()
async def test_response_with_a_foreign_attempt_id_is_discarded(
    harness: GatewayHarness,
) -> None:
    """A caller must never receive the response of another caller's request."""

    async def respond_for_other_request(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        headers = {
            "Pistachiohaven-Attempt-Id": "f" * 16,
            "Pistachiohaven-Server-Stamp": "stamp-other",
        }
        await stream.send_all(encode_response(200, b"foreign", headers))
        return True

    script_first_requests(harness, respond_for_other_request)
    response = await harness.call("/again/x")
    assert response.status == 200
    assert response.body != b"foreign"


@pytest.mark.parametrize("defect", ["Pistachiohaven-Server-Stamp", "coded"])
def test_success_without_signature_or_with_content_coding_is_invalid(
    defect: str,
) -> None:
    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        async def respond_with_invalid_head(
            request: ReceivedRequest, stream: trio.SocketStream
        ) -> bool:
            headers = harness.targets[0].signed_headers(request)
            headers.pop(defect, None)
            if defect == "coded":
                headers["Content-Encoding"] = "gzip"
            await stream.send_all(encode_response(200, b"spoilt", headers))
            return True

        script_first_requests(harness, respond_with_invalid_head)
        response = await harness.call("/once/x")
        assert response.status == 502

    run_test()


@with_harness()
async def test_surplus_response_is_not_used_for_the_next_request(
    harness: GatewayHarness,
) -> None:
    """A target that responds twice leaves bytes on a reusable connection."""

    async def respond_twice(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        response_bytes = encode_response(
            200, b"first", harness.targets[0].signed_headers(request)
        )
        await stream.send_all(
            response_bytes + response_bytes.replace(b"first", b"extra")
        )
        return True

    script_first_requests(harness, respond_twice)
    bodies = [(await harness.call("/again/x")).body for _ in range(4)]
    assert bodies[0] == b"first"
    assert b"extra" not in bodies


@with_harness()
async def test_disconnect_of_the_caller_cancels_the_dispatch(
    harness: GatewayHarness,
) -> None:
    """The target would otherwise go on working for a caller that has disconnected."""
    stopped = trio.Event()

    async def wait_for_close(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        await harness.targets[0].stream_head(request, stream)
        assert await stream.receive_some() == b""
        stopped.set()
        return False

    script_first_requests(harness, wait_for_close)
    stream = await harness.connect()
    with trio.move_on_after(0.3):
        await harness.call("/stream-once/x", stream=stream)
    await stream.aclose()
    await stopped.wait()


@with_harness()
async def test_unknown_routes_and_keys_are_refused(
    harness: GatewayHarness,
) -> None:
    assert (await harness.call("/nowhere/x")).status == 404
    wrong_key = {"Pistachiohaven-Credential": "key-9"}
    assert (await harness.call("/again/x", headers=wrong_key)).status == 401
    no_key = {"Pistachiohaven-Credential": ""}
    assert (await harness.call("/again/x", headers=no_key)).status == 401
    assert (await harness.call("/open/x", headers=no_key)).status == 200
    assert len(harness.received) == 1


@pytest.mark.parametrize(
    "head",
    [
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: 3\r\nContent-Length: 4",
        "Transfer-Encoding: gzip",
        "Content-Length: +3",
        "Transfer-Encoding : chunked",
    ],
)
def test_request_with_ambiguous_framing_never_reaches_a_target(head: str) -> None:
    """Gateway and target could disagree on where the request ends (smuggling)."""

    @with_harness()
    async def run_test(harness: GatewayHarness) -> None:
        stream = await harness.connect()
        text = (
            "POST /again/x HTTP/1.1\r\nHost: a.example\r\n"
            "Pistachiohaven-Attempt-Id: 1\r\nPistachiohaven-Credential: key-1\r\n"
            f"{head}\r\n\r\n0\r\n\r\nGET /again/y HTTP/1.1\r\nHost: a.example\r\n\r\n"
        )
        await stream.send_all(text.encode())
        data = b""
        with trio.move_on_after(2):
            while chunk := await stream.receive_some():
                data += chunk
        assert data.startswith((b"HTTP/1.1 400", b"HTTP/1.1 501"))
        assert harness.received == []

    run_test()


@with_harness()
async def test_refusal_over_quota_has_a_retry_time(
    harness: GatewayHarness,
) -> None:
    limited_tenant = {"name": "org", "apiKeys": ["key-1"], "ratePerS": 10, "burst": 100}
    harness.store.put("op/config", make_config(2, tenants=[limited_tenant]))
    token_counts = {"Pistachiohaven-Token-Counts": "30,10"}

    async def is_refused() -> bool:
        response = await harness.call("/again/x", headers=token_counts)
        return response.status == 429 and float(response.headers["retry-after"]) > 0

    await harness.wait_until(is_refused)


@with_harness()
async def test_newer_configuration_is_applied_and_older_one_ignored(
    harness: GatewayHarness,
) -> None:
    """The store's latest revision may hold an older configuration version."""
    initial_config = make_config(1)
    harness.store.put("op/config", {**initial_config, "version": 5, "routes": []})

    async def is_route_removed() -> bool:
        return (await harness.call("/again/x")).status == 404

    await harness.wait_until(is_route_removed)
    harness.store.put("op/config", {**initial_config, "version": 3})
    harness.store.put("servers/i-9", harness.targets[0].entry("p", slots=1))
    await trio.sleep(0.1)
    assert await is_route_removed()


@with_harness()
async def test_invalid_configuration_leaves_the_previous_one_active(
    harness: GatewayHarness,
) -> None:
    harness.store.put("op/config", b"{")
    harness.store.put("servers/i-9", b"\xff")
    await trio.sleep(0.1)
    assert (await harness.call("/again/x")).status == 200


@with_harness()
async def test_store_is_read_in_full_after_its_history_is_gone(
    harness: GatewayHarness,
) -> None:
    """A watch from before the oldest revision fails with 410 and can't continue."""
    harness.store.oldest_revision = harness.store.revision + 10
    harness.store.put("op/config", make_config(2, routes=[]))

    async def is_route_removed() -> bool:
        return (await harness.call("/again/x")).status == 404

    await harness.wait_until(is_route_removed)


@with_harness()
async def test_draining_target_gets_no_new_requests(harness: GatewayHarness) -> None:
    first, second = harness.targets
    harness.store.put("servers/i-0", first.entry("p", state="draining"))

    async def is_target_draining() -> bool:
        response = await harness.get(harness.settings.control_address, "/status")
        targets = json.loads(response.body)["targets"]
        return any(target["leaving"] for target in targets)

    await harness.wait_until(is_target_draining)
    received_before = len(first.received)
    for _ in range(6):
        assert (await harness.call("/again/x")).status == 200
    assert len(first.received) == received_before
    assert second.received


@with_harness()
async def test_target_restarted_under_the_same_id_is_used_again(
    harness: GatewayHarness,
) -> None:
    """Failures before a restart must not exclude the restarted target.

    It registers with the same id and a later `born` time.
    """
    harness.store.delete("servers/i-1")
    for restart_count in range(1, 3):
        harness.targets[0].script.steps = [close_connection] * 3
        await harness.call("/once/x")
        entry = harness.targets[0].entry("p", born=restart_count + 1)
        harness.store.put("servers/i-0", entry)
        harness.targets[0].script.steps = []

        async def is_served() -> bool:
            return (await harness.call("/once/x")).status == 200

        await harness.wait_until(is_served)


@with_harness(targets=1)
async def test_outage_of_the_store_does_not_affect_callers(
    harness: GatewayHarness,
) -> None:
    harness.store.is_down = True
    for _ in range(5):
        assert (await harness.call("/again/x")).status == 200
    harness.store.is_down = False


@with_harness()
async def test_stop_signal_lets_streams_finish_and_reports_unready(
    harness: GatewayHarness,
) -> None:
    """Until the load balancer reacts, new requests are served without keep-alive."""
    release = trio.Event()

    async def respond_slowly(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        await harness.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await release.wait()
        for number in range(2, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    script_first_requests(harness, respond_slowly)
    responses = []

    async def caller() -> None:
        responses.append(await harness.call("/stream-once/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller)
        await trio.sleep(0.1)
        signal.raise_signal(signal.SIGTERM)

        async def is_unready() -> bool:
            return not await harness.is_ready()

        await harness.wait_until(is_unready)
        response_during_drain = await harness.call("/again/x")
        release.set()
    assert (
        response_during_drain.status,
        response_during_drain.headers["connection"],
    ) == (200, "close")
    assert (responses[0].body, responses[0].is_complete) == (COMPLETE_STREAM, True)


@with_harness()
async def test_metrics_and_status_are_served(
    harness: GatewayHarness,
) -> None:
    await harness.call("/again/x")
    control = harness.settings.control_address
    metrics = await harness.get(control, "/metrics")
    assert b'gateway_dispatches_total{end="answered",pool="p"} 1.0' in metrics.body
    status_document = json.loads((await harness.get(control, "/status")).body)
    assert status_document["config_version"] == 1


def respond_with_pause(
    harness: GatewayHarness, pause_s: float
) -> Callable[[ReceivedRequest, trio.SocketStream], Awaitable[bool]]:
    """Return a responder whose stream pauses after one event and then completes."""

    async def respond(request: ReceivedRequest, stream: trio.SocketStream) -> bool:
        await harness.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await trio.sleep(pause_s)
        for number in range(2, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    return respond


@with_harness(targets=1)
async def test_stalled_stream_without_another_target_is_not_cancelled(
    harness: GatewayHarness,
) -> None:
    """Cancelling would break a stream that only pauses."""
    script_first_requests(harness, respond_with_pause(harness, 1.5))
    response = await harness.call("/stream-again/x")
    assert response.is_complete
    assert response.body == COMPLETE_STREAM
    assert len(harness.received) == 1


@with_harness()
async def test_stalled_stream_is_not_cancelled_after_the_last_allowed_target(
    harness: GatewayHarness,
) -> None:
    """The route allows two targets, and the first one lost its connection."""
    script_first_requests(harness, close_connection, respond_with_pause(harness, 1.5))
    response = await harness.call("/stream-again/x")
    assert response.is_complete
    assert response.body == COMPLETE_STREAM


@with_harness(targets=1)
async def test_stalled_target_that_recovers_is_used_again(
    harness: GatewayHarness,
) -> None:
    script_first_requests(harness, respond_with_pause(harness, 1.2))
    await harness.call("/stream-again/x")
    response = await harness.call("/stream-once/x")
    assert response.is_complete


@with_harness()
async def test_started_stream_waits_for_a_slot_to_be_resumed(
    harness: GatewayHarness,
) -> None:
    """The other target is full for longer than a new request would wait.

    A caller that has received events waits until its deadline instead.
    """
    busy, other = harness.targets
    harness.store.put("servers/i-1", other.entry("p", slots=1))
    harness.store.put("servers/i-0", busy.entry("p", state="draining"))

    async def is_target_draining() -> bool:
        response = await harness.get(harness.settings.control_address, "/status")
        return any(target["leaving"] for target in json.loads(response.body)["targets"])

    await harness.wait_until(is_target_draining)

    async def break_after_first_event(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        await other.stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await trio.sleep(0.2)
        return False

    async def respond_slowly(
        request: ReceivedRequest, stream: trio.SocketStream
    ) -> bool:
        await trio.sleep(1.8)
        return await busy.respond_normally(request, stream)

    other.script.steps = [break_after_first_event]
    busy.script.steps = [respond_slowly]
    responses = []

    async def first() -> None:
        responses.append(await harness.call("/stream-again/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await harness.wait_until(lambda: async_value(len(other.received) == 1))
        harness.store.put("servers/i-0", busy.entry("p", slots=1))
        await harness.wait_until(harness.is_ready)
        await trio.sleep(0.1)
        nursery.start_soon(harness.call, "/once/x")
    (response,) = responses
    assert response.is_complete
    assert response.body == COMPLETE_STREAM


async def async_value(value: bool) -> bool:
    return value


@with_harness()
async def test_target_gets_no_more_requests_than_the_limit_that_it_names(
    harness: GatewayHarness,
) -> None:
    """One target names a limit of 0.2 a second; the other one serves the rest."""
    limited, other = harness.targets
    limited.rate_limit = "0.2"
    while not limited.received:
        assert (await harness.call("/again/x")).status == 200
    for _ in range(40):
        assert (await harness.call("/again/x")).status == 200
    assert len(limited.received) <= 3
    assert len(other.received) >= 38


@with_harness()
async def test_unreadable_limit_is_ignored(harness: GatewayHarness) -> None:
    for target in harness.targets:
        target.rate_limit = "few"
    for _ in range(10):
        assert (await harness.call("/again/x")).status == 200


@with_harness()
async def test_request_whose_caller_left_before_it_was_read_is_not_sent_on(
    harness: GatewayHarness,
) -> None:
    """A gateway that reads late finds the request and its end at the same time.

    The caller's calls do not let the gateway run in between.
    """
    for _ in range(3):
        assert (await harness.call("/again/x")).status == 200
    host, _, port = harness.settings.listen.rpartition(":")
    lines = ["POST /again/x HTTP/1.1", "Host: a.example", "Content-Length: 2"]
    lines += ["Pistachiohaven-Credential: key-1", "Pistachiohaven-Deadline-Ms: 2500"]
    for number in range(10):
        head = [*lines, f"Pistachiohaven-Attempt-Id: {number:016x}", "", ""]
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall("\r\n".join(head).encode() + b"{}")
    assert (await harness.call("/again/x")).status == 200
    assert len(harness.received) == 4
