"""Test the gateway over loopback against scripted targets and a scripted store."""

import functools
import json
import signal
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from .stand_ins import (
    EVENT_COUNT,
    Received,
    Scene,
    answer_bytes,
    event_bytes,
    make_config,
    scene,
    send_chunk,
)

WHOLE_STREAM = b"".join(event_bytes(number) for number in range(1, EVENT_COUNT + 1))


def run_scene(
    **options: Any,
) -> Callable[[Callable[[Scene], Awaitable[None]]], Callable[[], None]]:
    """Turn a function of a scene into a test."""

    def wrap(test: Callable[[Scene], Awaitable[None]]) -> Callable[[], None]:
        async def play() -> None:
            with trio.fail_after(30):
                async with scene(**options) as running:
                    await test(running)

        @functools.wraps(test)
        def run() -> None:
            trio.run(play)

        del run.__wrapped__  # type: ignore[attr-defined]
        return run

    return wrap


async def cut(_request: Received, _stream: trio.SocketStream) -> bool:
    return False


async def rejected(_request: Received, stream: trio.SocketStream) -> bool:
    headers = {"Pistachiohaven-Not-Executed": "1"}
    await stream.send_all(answer_bytes(503, b"", headers))
    return True


async def silent(_request: Received, _stream: trio.SocketStream) -> bool:
    await trio.sleep_forever()
    return False


def status(code: int) -> Callable[[Received, trio.SocketStream], Awaitable[bool]]:
    async def answer(request: Received, stream: trio.SocketStream) -> bool:
        headers = {
            "Pistachiohaven-Attempt-Id": request.attempt,
            "Pistachiohaven-Server-Stamp": "stamp-bad",
        }
        await stream.send_all(answer_bytes(code, b"no", headers))
        return True

    return answer


def script_all(
    running: Scene, *steps: Callable[[Received, trio.SocketStream], Awaitable[bool]]
) -> None:
    """Let whichever target is asked first follow the steps, one a request."""
    left = list(steps)

    for target in running.targets:

        async def step(
            request: Received,
            stream: trio.SocketStream,
            good: Callable[..., Awaitable[bool]] = target.good,
        ) -> bool:
            if left:
                return await left.pop(0)(request, stream)
            return await good(request, stream)

        target.script.steps = [step] * 20


@run_scene()
async def test_an_answer_is_passed_on_unchanged(running: Scene) -> None:
    response = await running.call("/again/x?q=1&q=%20", body=b"abc")
    (request,) = running.received
    assert response.status == 200
    assert response.body.endswith(b":/again/x?q=1&q=%20")
    assert response.headers["pistachiohaven-server-stamp"].startswith("stamp-i-")
    assert (request.method, request.body) == ("POST", b"abc")
    assert request.headers["pistachiohaven-tenant-name"] == "org"
    assert 0 < int(request.headers["pistachiohaven-deadline-ms"]) <= 2_500


@run_scene()
async def test_a_stream_is_passed_on_whole(running: Scene) -> None:
    response = await running.call("/stream-once/x")
    assert response.complete
    assert response.body == WHOLE_STREAM


@run_scene()
async def test_a_kept_connection_serves_many_requests(running: Scene) -> None:
    stream = await running.connect()
    for _ in range(10):
        for path in ("/stream-once/x", "/again/x"):
            response = await running.call(path, stream=stream)
            assert response.complete
    assert sum(target.connections for target in running.targets) <= 4
    await stream.aclose()


@pytest.mark.parametrize("path", ["/again/x", "/stream-again/x"])
def test_a_repeatable_request_goes_elsewhere_after_a_cut(path: str) -> None:
    @run_scene()
    async def play(running: Scene) -> None:
        script_all(running, cut)
        response = await running.call(path)
        assert (response.status, response.complete) == (200, True)
        assert len(running.received) == 2

    play()


@pytest.mark.parametrize("path", ["/once/x", "/stream-once/x"])
def test_what_may_run_once_is_not_sent_again_and_not_called_unrun(path: str) -> None:
    @run_scene()
    async def play(running: Scene) -> None:
        script_all(running, cut)
        response = await running.call(path)
        assert response.status == 502
        assert len(running.received) == 1

    play()


@pytest.mark.parametrize("code", [429, 503, 408])
def test_a_rejection_without_the_target_s_word_is_no_promise(code: int) -> None:
    @run_scene()
    async def play(running: Scene) -> None:
        script_all(running, status(code))
        response = await running.call("/once/x")
        assert response.status == 502
        assert "pistachiohaven-server-stamp" not in response.headers

    play()


@run_scene()
async def test_a_request_that_a_target_rejects_goes_elsewhere(running: Scene) -> None:
    script_all(running, rejected)
    response = await running.call("/once/x")
    assert response.status == 200
    assert len(running.received) == 2


@run_scene()
async def test_a_request_that_all_targets_reject_has_not_run(running: Scene) -> None:
    script_all(running, *[rejected] * 8)
    response = await running.call("/once/x")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0


@run_scene()
async def test_a_target_s_own_error_is_passed_on_with_its_signature(
    running: Scene,
) -> None:
    script_all(running, status(500))
    response = await running.call("/once/x")
    assert (response.status, response.body) == (500, b"no")
    assert response.headers["pistachiohaven-server-stamp"] == "stamp-bad"


@run_scene(targets=3)
async def test_connections_stay_usable_after_a_target_s_error(running: Scene) -> None:
    script_all(running, rejected, status(500))
    for _ in range(6):
        response = await running.call("/again/x")
        assert response.status == 200


@run_scene()
async def test_the_error_of_one_target_is_told_if_no_other_helps(
    running: Scene,
) -> None:
    script_all(running, status(500), rejected)
    response = await running.call("/again/x")
    assert (response.status, response.body) == (500, b"no")


@run_scene()
async def test_a_broken_stream_goes_on_where_it_stopped(running: Scene) -> None:
    async def break_midway(request: Received, stream: trio.SocketStream) -> bool:
        await running.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1) + event_bytes(2) + b"id: 3\nda")
        return False

    script_all(running, break_midway)
    response = await running.call("/stream-again/x")
    assert (response.body, response.complete) == (WHOLE_STREAM, True)
    assert running.received[-1].headers.get("last-event-id") in {"2", None}
    resumed = [each for each in running.received if "last-event-id" in each.headers]
    assert len(resumed) == 1


@run_scene()
async def test_a_broken_stream_that_can_not_resume_never_looks_whole(
    running: Scene,
) -> None:
    async def break_midway(request: Received, stream: trio.SocketStream) -> bool:
        await running.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1) + b"id: 2\nda")
        return False

    script_all(running, break_midway)
    response = await running.call("/stream-once/x")
    assert (response.body, response.complete) == (event_bytes(1), False)
    assert len(running.received) == 1


@run_scene()
async def test_a_silent_target_is_left_for_another(running: Scene) -> None:
    script_all(running, silent)
    response = await running.call("/again/x")
    assert response.status == 200
    assert len(running.received) == 2


@run_scene()
async def test_a_deadline_ends_what_may_run_without_a_promise(running: Scene) -> None:
    script_all(running, silent)
    response = await running.call(
        "/once/x", headers={"Pistachiohaven-Deadline-Ms": "300"}
    )
    assert response.status == 504


@run_scene()
async def test_an_answer_of_another_request_is_not_passed_on(running: Scene) -> None:
    async def foreign(request: Received, stream: trio.SocketStream) -> bool:
        headers = {
            "Pistachiohaven-Attempt-Id": "f" * 16,
            "Pistachiohaven-Server-Stamp": "stamp-other",
        }
        await stream.send_all(answer_bytes(200, b"foreign", headers))
        return True

    script_all(running, foreign)
    response = await running.call("/again/x")
    assert response.status == 200
    assert response.body != b"foreign"


@pytest.mark.parametrize("missing", ["Pistachiohaven-Server-Stamp", "coded"])
def test_a_success_without_signature_or_with_a_coding_is_none(missing: str) -> None:
    @run_scene()
    async def play(running: Scene) -> None:
        async def spoilt(request: Received, stream: trio.SocketStream) -> bool:
            headers = running.targets[0].signed(request)
            headers.pop(missing, None)
            if missing == "coded":
                headers["Content-Encoding"] = "gzip"
            await stream.send_all(answer_bytes(200, b"spoilt", headers))
            return True

        script_all(running, spoilt)
        response = await running.call("/once/x")
        assert response.status == 502

    play()


@run_scene()
async def test_a_second_answer_is_never_taken_for_the_next(running: Scene) -> None:
    async def twice(request: Received, stream: trio.SocketStream) -> bool:
        answer = answer_bytes(200, b"first", running.targets[0].signed(request))
        await stream.send_all(answer + answer.replace(b"first", b"extra"))
        return True

    script_all(running, twice)
    bodies = [(await running.call("/again/x")).body for _ in range(4)]
    assert bodies[0] == b"first"
    assert b"extra" not in bodies


@run_scene()
async def test_a_caller_that_leaves_stops_the_work(running: Scene) -> None:
    stopped = trio.Event()

    async def wait_for_close(request: Received, stream: trio.SocketStream) -> bool:
        await running.targets[0].stream_head(request, stream)
        assert await stream.receive_some() == b""
        stopped.set()
        return False

    script_all(running, wait_for_close)
    stream = await running.connect()
    with trio.move_on_after(0.3):
        await running.call("/stream-once/x", stream=stream)
    await stream.aclose()
    await stopped.wait()


@run_scene()
async def test_callers_without_route_or_key_are_told_so(running: Scene) -> None:
    assert (await running.call("/nowhere/x")).status == 404
    wrong = {"Pistachiohaven-Credential": "key-9"}
    assert (await running.call("/again/x", headers=wrong)).status == 401
    none = {"Pistachiohaven-Credential": ""}
    assert (await running.call("/again/x", headers=none)).status == 401
    assert (await running.call("/open/x", headers=none)).status == 200
    assert len(running.received) == 1


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
def test_ambiguous_framing_never_reaches_a_target(head: str) -> None:
    @run_scene()
    async def play(running: Scene) -> None:
        stream = await running.connect()
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
        assert running.received == []

    play()


@run_scene()
async def test_over_quota_a_caller_is_told_when_to_come_back(running: Scene) -> None:
    limited = {"name": "org", "apiKeys": ["key-1"], "ratePerS": 10, "burst": 100}
    running.store.put("op/config", make_config(2, tenants=[limited]))
    counts = {"Pistachiohaven-Token-Counts": "30,10"}

    async def refused() -> bool:
        response = await running.call("/again/x", headers=counts)
        return response.status == 429 and float(response.headers["retry-after"]) > 0

    await running.until(refused)


@run_scene()
async def test_a_new_configuration_is_in_force_and_never_goes_back(
    running: Scene,
) -> None:
    first = make_config(1)
    running.store.put("op/config", {**first, "version": 5, "routes": []})

    async def gone() -> bool:
        return (await running.call("/again/x")).status == 404

    await running.until(gone)
    running.store.put("op/config", {**first, "version": 3})
    running.store.put("servers/i-9", running.targets[0].entry("p", slots=1))
    await trio.sleep(0.1)
    assert await gone()


@run_scene()
async def test_a_bad_configuration_leaves_the_old_one_in_force(running: Scene) -> None:
    running.store.put("op/config", b"{")
    running.store.put("servers/i-9", b"\xff")
    await trio.sleep(0.1)
    assert (await running.call("/again/x")).status == 200


@run_scene()
async def test_history_that_is_gone_is_read_anew(running: Scene) -> None:
    running.store.oldest = running.store.revision + 10
    running.store.put("op/config", make_config(2, routes=[]))

    async def gone() -> bool:
        return (await running.call("/again/x")).status == 404

    await running.until(gone)


@run_scene()
async def test_a_leaving_target_gets_nothing_new(running: Scene) -> None:
    first, second = running.targets
    running.store.put("servers/i-0", first.entry("p", state="draining"))

    async def seen() -> bool:
        response = await running.get(running.settings.control_address, "/status")
        targets = json.loads(response.body)["targets"]
        return any(each["leaving"] for each in targets)

    await running.until(seen)
    before = len(first.received)
    for _ in range(6):
        assert (await running.call("/again/x")).status == 200
    assert len(first.received) == before
    assert second.received


@run_scene()
async def test_a_target_restarted_under_its_id_is_used_again(running: Scene) -> None:
    running.store.delete("servers/i-1")
    for steps in range(1, 3):
        running.targets[0].script.steps = [cut] * 3
        await running.call("/once/x")
        entry = running.targets[0].entry("p", born=steps + 1)
        running.store.put("servers/i-0", entry)
        running.targets[0].script.steps = []

        async def served() -> bool:
            return (await running.call("/once/x")).status == 200

        await running.until(served)


@run_scene(targets=1)
async def test_an_outage_of_the_store_changes_nothing_for_callers(
    running: Scene,
) -> None:
    running.store.down = True
    for _ in range(5):
        assert (await running.call("/again/x")).status == 200
    running.store.down = False


@run_scene()
async def test_a_stop_ends_no_answer_and_turns_the_balancer_away(
    running: Scene,
) -> None:
    release = trio.Event()

    async def slow(request: Received, stream: trio.SocketStream) -> bool:
        await running.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await release.wait()
        for number in range(2, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    script_all(running, slow)
    replies = []

    async def caller() -> None:
        replies.append(await running.call("/stream-once/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller)
        await trio.sleep(0.1)
        signal.raise_signal(signal.SIGTERM)

        async def unready() -> bool:
            return not await running.ready()

        await running.until(unready)
        during = await running.call("/again/x")
        release.set()
    assert (during.status, during.headers["connection"]) == (200, "close")
    assert (replies[0].body, replies[0].complete) == (WHOLE_STREAM, True)


@run_scene()
async def test_counters_and_status_are_served_to_operators(running: Scene) -> None:
    await running.call("/again/x")
    control = running.settings.control_address
    metrics = await running.get(control, "/metrics")
    assert b'gateway_dispatches_total{end="answered",pool="p"} 1.0' in metrics.body
    known = json.loads((await running.get(control, "/status")).body)
    assert known["config_version"] == 1


def paused_stream(
    running: Scene, pause_s: float
) -> Callable[[Received, trio.SocketStream], Awaitable[bool]]:
    """Return an answer that pauses within its stream and then ends well."""

    async def answer(request: Received, stream: trio.SocketStream) -> bool:
        await running.targets[0].stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await trio.sleep(pause_s)
        for number in range(2, EVENT_COUNT + 1):
            await send_chunk(stream, event_bytes(number))
        await stream.send_all(b"0\r\n\r\n")
        return True

    return answer


@run_scene(targets=1)
async def test_a_paused_stream_that_can_go_nowhere_else_is_waited_for(
    running: Scene,
) -> None:
    script_all(running, paused_stream(running, 1.5))
    response = await running.call("/stream-again/x")
    assert response.complete
    assert response.body == WHOLE_STREAM
    assert len(running.received) == 1


@run_scene()
async def test_a_paused_stream_stays_once_its_targets_are_spent(running: Scene) -> None:
    script_all(running, cut, paused_stream(running, 1.5))
    response = await running.call("/stream-again/x")
    assert response.complete
    assert response.body == WHOLE_STREAM


@run_scene(targets=1)
async def test_a_silent_target_that_speaks_again_is_used_again(running: Scene) -> None:
    script_all(running, paused_stream(running, 1.2))
    await running.call("/stream-again/x")
    response = await running.call("/stream-once/x")
    assert response.complete


@run_scene()
async def test_a_begun_stream_waits_for_a_place_to_go_on(running: Scene) -> None:
    """The second target is full for longer than a new request would wait."""
    busy, other = running.targets
    running.store.put("servers/i-1", other.entry("p", slots=1))
    running.store.put("servers/i-0", busy.entry("p", state="draining"))

    async def drained() -> bool:
        response = await running.get(running.settings.control_address, "/status")
        return any(target["leaving"] for target in json.loads(response.body)["targets"])

    await running.until(drained)

    async def broken(request: Received, stream: trio.SocketStream) -> bool:
        await other.stream_head(request, stream)
        await send_chunk(stream, event_bytes(1))
        await trio.sleep(0.2)
        return False

    async def slow(request: Received, stream: trio.SocketStream) -> bool:
        await trio.sleep(1.8)
        return await busy.good(request, stream)

    other.script.steps = [broken]
    busy.script.steps = [slow]
    replies = []

    async def first() -> None:
        replies.append(await running.call("/stream-again/x"))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(first)
        await running.until(lambda: _is(len(other.received) == 1))
        running.store.put("servers/i-0", busy.entry("p", slots=1))
        await running.until(running.ready)
        await trio.sleep(0.1)
        nursery.start_soon(running.call, "/once/x")
    (response,) = replies
    assert response.complete
    assert response.body == WHOLE_STREAM


async def _is(value: bool) -> bool:
    return value
