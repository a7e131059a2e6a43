"""Test the question where a request would go, over loopback, and its command."""

import json
import sys
from typing import Any

import pytest
import trio
from result import Err

from pistachiohaven.components.exchange import short_hash
from pistachiohaven.components.gateway._where import answer_where
from pistachiohaven.components.quarantine.const import MIN_CRASHES, SEPARATE_AFTER_MS

from .stand_ins import GatewayHarness, make_config
from .test_gateway import with_harness
from .test_state import config_item, make_state

AGAIN = ("--host", "a.example", "--path", "/again/x")


async def ask(harness: GatewayHarness, *options: str) -> tuple[int, str, str]:
    """Run the command and return its exit code and both outputs."""
    address = f"127.0.0.1:{harness.settings.internal_ports[1]}"
    command = [sys.executable, "-m", "pistachiohaven", "where", address, *options]
    done = await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


async def ask_json(harness: GatewayHarness, *options: str) -> dict[str, Any]:
    code, out, error = await ask(harness, *AGAIN, *options, "--as_json")
    assert code == 0, error
    content: dict[str, Any] = json.loads(out)
    return content


async def counters(harness: GatewayHarness) -> list[bytes]:
    """Return the gateway's counters of responses, dispatches, waits and requests."""
    address = f"127.0.0.1:{harness.settings.internal_ports[1]}"
    lines = (await harness.get(address, "/metrics")).body.splitlines()
    names = (b"gateway_answers", b"gateway_dispatch", b"gateway_wait", b"gateway_in")
    return [line for line in lines if line.startswith(names)]


@with_harness()
async def test_the_request_goes_where_the_gateway_said(harness: GatewayHarness) -> None:
    for _ in range(3):
        before = await counters(harness), len(harness.received)
        said = await ask_json(harness, "--organisation", "org")
        assert (await counters(harness), len(harness.received)) == before
        (pool,) = said["pools"]
        assert (pool["outcome"], pool["place"], pool["share"]) == ("placed", 0, 1.0)
        (target,) = [each for each in harness.targets if each.name == pool["target"]]
        received = len(target.received)
        assert (await harness.call("/again/x")).status == 200
        assert len(target.received) == received + 1
    (used,) = [
        each for each in said["pools"][0]["candidates"] if each["target"] == target.name
    ]
    assert used["objections"] == []


@with_harness()
async def test_the_table_names_no_key(harness: GatewayHarness) -> None:
    options = ("--key", "key-1", "--prompt_tokens", "20", "--parts", "a:15,b:5")
    code, text, _ = await ask(harness, *AGAIN, *options)
    assert code == 0
    assert "route again (idempotent), rank 0, organisation org" in text
    assert "pool p (100%): to i-" in text
    assert "key-1" not in text


@with_harness()
async def test_a_refusal_over_quota_is_predicted(harness: GatewayHarness) -> None:
    tenant = {"name": "org", "apiKeys": ["key-1"], "ratePerS": 0.01, "burst": 100}
    harness.store.put("op/config", make_config(2, tenants=[tenant]))

    async def is_refused() -> bool:
        said = await ask_json(harness, "--key", "key-1", "--prompt_tokens", "900")
        return said["refused"] is not None

    await harness.wait_until(is_refused)
    said = await ask_json(harness, "--organisation", "org", "--prompt_tokens", "900")
    assert said["refused"]["reason"] == "over_quota"
    headers = {"Pistachiohaven-Token-Counts": "900,0"}
    assert (await harness.call("/again/x", headers=headers)).status == 429


@with_harness()
async def test_each_pool_of_a_split_route_is_shown(harness: GatewayHarness) -> None:
    config = make_config(2)
    split = [{"service": "p", "weight": 90}, {"service": "q", "weight": 10}]
    config["routes"] = [{**config["routes"][3], "trafficSplit": split}]
    config["services"].append({"name": "q", "connectionLimit": 100})
    harness.store.put("op/config", config)

    async def is_split() -> bool:
        return len((await ask_json(harness, "--key", "key-1"))["pools"]) == 2

    await harness.wait_until(is_split)
    pools = (await ask_json(harness, "--key", "key-1"))["pools"]
    assert [(each["pool"], each["share"]) for each in pools] == [("p", 0.9), ("q", 0.1)]
    assert [each["outcome"] for each in pools] == ["placed", "refused"]
    assert pools[1]["reason"] == "no_target"


@with_harness()
async def test_errors_are_named_and_exit_with_1(harness: GatewayHarness) -> None:
    for options, message in (
        (("--host", "b.example", "--path", "/again/x"), "404 unknown_route"),
        ((*AGAIN, "--key", "0012"), "401 unknown_key"),
        ((*AGAIN, "--organisation", "none"), "no organisation 'none'"),
        ((*AGAIN, "--prompt_tokens", "many"), "prompt_tokens: not a number"),
    ):
        code, out, error = await ask(harness, *options)
        assert (code, out) == (1, "")
        assert message in error
        assert "0012" not in error
        assert "Traceback" not in error


@pytest.mark.parametrize(
    "query",
    [
        "",
        "host=a.example&path=again",
        "host=a.example&path=/again/x&max_output_tokens=-1",
        "host=a.example&path=/again/x&parts=a:b",
        "host=a.example&path=/again/x&hots=x",
        "host=a.example&path=/again/x&key=%E2%82%AC",
        "host=a.example&path=/again/x&key=key-1&organisation=org",
    ],
)
def test_bad_questions_have_no_answer(query: str) -> None:
    state = make_state([0.0])
    state.apply_changes([config_item(1, 1)], revision=1, source="store")
    answer = answer_where(state, query, now_ms=0)
    assert isinstance(answer, Err)
    assert answer.err_value.status == 400


def test_a_part_in_quarantine_is_named() -> None:
    state = make_state([0.0])
    state.apply_changes([config_item(1, 1)], revision=1, source="store")
    now_ms = 0
    for number in range(MIN_CRASHES):
        now_ms = number * SEPARATE_AFTER_MS
        state.quarantine.record_crash(
            (short_hash("a"),), target=number, is_repeat=False, now_ms=now_ms
        )
    query = "host=a.example&path=/again/x&organisation=org&parts=a:5,b:5"
    refused = answer_where(state, query, now_ms=now_ms).unwrap()["refused"]
    assert isinstance(refused, dict)
    assert refused["reason"] == "part_quarantined"
