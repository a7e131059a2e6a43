"""Steps of the scenarios about callers."""

import json
import socket
import time
from typing import Any

import httpcore
from behave import then, when

from features.caller import Caller
from features.fleet import Fleet, Reply, request, wait_until
from features.relay import HOST

HEADERS = {
    "x-organisation": "reporting",
    "x-application": "drafts",
    "x-tier": "normal",
}


@when('job "{job}" is requested over HTTP/2 through "{entry}"')
def request_over_http2(context: Any, job: str, entry: str) -> None:
    port = context.fleet.members[entry].port
    body = json.dumps({"prompt": "x", "max_tokens": 5, "user": job, "stream": True})
    with httpcore.ConnectionPool(http1=False, http2=True) as pool:
        response = pool.request(
            "POST",
            f"http://{HOST}:{port}/v1/chat/completions",
            headers={"host": f"{HOST}:{port}", **HEADERS},
            content=body.encode(),
        )
    assert response.extensions["http_version"] == b"HTTP/2"
    context.replies[job] = Reply(response.status, {}, response.content)


@then('the response to "{job}" is complete')
def response_is_complete(context: Any, job: str) -> None:
    words = context.replies[job].words()
    assert words == [f"{job}-{number}" for number in range(5)], words


def raw_status(port: int, content: bytes) -> int:
    """Send raw bytes and return the status of the response."""
    with socket.create_connection((HOST, port), timeout=40) as connection:
        connection.sendall(content)
        received = connection.recv(4096)
    return int(received.split(b" ", 2)[1])


@when(
    '"{entry}" is sent invalid JSON, an oversized body, an oversized header '
    "and a slow body"
)
def send_invalid_requests(context: Any, entry: str) -> None:
    fleet: Fleet = context.fleet
    port = fleet.members[entry].port
    invalid_json_status = request(port, "/v1/completions", "{not json", HEADERS).status
    large_body_status = fleet.request_completion(
        entry, "large", prompt="x" * 1_200_000
    ).status
    lines = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
    request_head = f"POST /v1/completions HTTP/1.1\r\nhost: x\r\n{lines}"
    oversized_header = f"{request_head}x-more: {'y' * 70_000}\r\n\r\n"
    slow_body = f"{request_head}content-length: 50\r\n\r\n{{"
    statuses = [
        invalid_json_status,
        large_body_status,
        raw_status(port, oversized_header.encode()),
    ]
    context.statuses = [*statuses, raw_status(port, slow_body.encode())]


@then('the response statuses are "{expected}"')
def response_statuses_are(context: Any, expected: str) -> None:
    for expected_status, status in zip(
        expected.split(", "), context.statuses, strict=True
    ):
        matches = str(status) == expected_status or (
            expected_status == "4xx" and 400 <= status < 500
        )
        assert matches, context.statuses


@then('"{entry}" still responds')
def still_responds(context: Any, entry: str) -> None:
    assert context.fleet.request_completion(entry, "after").status == 200


def send_and_disconnect(
    port: int, path: str, body: dict[str, Any], headers: str
) -> None:
    """Send a call, wait for the first chunk or 0.5 s, and close the connection."""
    content = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nhost: x\r\nx-organisation: reporting\r\n{headers}"
        f"content-length: {len(content)}\r\n\r\n"
    )
    with socket.create_connection((HOST, port), timeout=40) as connection:
        connection.sendall(head.encode() + content)
        if body.get("stream"):
            connection.recv(4096)
        else:
            time.sleep(0.5)


@when('a caller of "{entry}" disconnects during job "{job}" of {tokens:d} tokens')
def disconnect_during_stream(context: Any, entry: str, job: str, tokens: int) -> None:
    body = {"prompt": "x", "max_tokens": tokens, "user": job, "stream": True}
    headers = "x-application: drafts\r\nx-tier: normal\r\n"
    send_and_disconnect(
        context.fleet.members[entry].port, "/v1/completions", body, headers
    )


@then('the metrics of "{sidecar}" show a cut for "{reason}"')
def cut_with_reason(context: Any, sidecar: str, reason: str) -> None:
    port = context.fleet.members[sidecar].port
    metric_label = f'how="{reason}"'.encode()
    wait_until(
        lambda: metric_label in request(port, "/metrics").body,
        f"a cut for {reason} in the metrics",
    )


@then('"{target}" has not finished job "{job}" 5 seconds later')
def not_finished(context: Any, target: str, job: str) -> None:
    time.sleep(5)  # longer than the complete response would take
    assert job not in context.fleet.target_runs(target)["ended"]


@when('a caller of "{entry}" disconnects while tag "{job}" runs')
def disconnect_during_tag(context: Any, entry: str, job: str) -> None:
    context.fleet.set_target_fault("target-1", slow=100.0)
    headers = "x-application: tags\r\nx-tier: normal\r\nx-non-idempotent: true\r\n"
    port = context.fleet.members[entry].port
    send_and_disconnect(port, "/v1/services/tag", {"job": job}, headers)
    assert context.fleet.run_count(job) == 1


@then('"{target}" finishes job "{job}", which it began once')
def finishes_once(context: Any, target: str, job: str) -> None:
    fleet = context.fleet
    wait_until(lambda: job in fleet.target_runs(target)["ended"], f"{job} finishes")
    assert fleet.target_runs(target)["begun"][job] == 1


@then("no urgent job is refused while less urgent work runs")
def no_refusal_over_lower_rank(context: Any) -> None:
    """Assert that no less urgent job kept running once an urgent one was refused.

    A less urgent job that is not preempted finishes without an error, seconds later.
    """
    refused_s = [
        context.replied_at_s[job]
        for job, reply in context.replies.items()
        if reply.error().get("outcome") == "not_run"
    ]
    first_refused_s = min(refused_s, default=float("inf"))
    replies = {job: caller.result() for job, caller in context.callers.items()}
    not_preempted = [
        job
        for job, reply in replies.items()
        if not reply.error() and context.callers[job].ended_at_s > first_refused_s
    ]
    assert not not_preempted, not_preempted


@when("the same ticket is used through both entries while its key owner is unreachable")
def send_tag_without_key_owner(context: Any) -> None:
    fleet = context.fleet
    ticket = fleet.create_ticket("entry-1")
    owner_name = bytes.fromhex(ticket.split(".")[1]).decode()
    callers = [Caller(fleet.call_tag_service, "entry-1", "seat", ticket)]
    relay = fleet.relays[owner_name]
    relay.is_open = False
    relay.cut()
    callers.append(Caller(fleet.call_tag_service, "entry-2", "seat", ticket))
    time.sleep(5)  # longer than an entry retries a claim at the key owner
    relay.is_open = True
    callers.append(Caller(fleet.call_tag_service, "entry-2", "seat", ticket))
    context.replies = {
        str(number): caller.result() for number, caller in enumerate(callers)
    }
