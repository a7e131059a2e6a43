"""Requests of callers while a data centre is evacuated, or bound to home regions."""

import ast
import inspect
import json
from pathlib import Path

from pistachiohaven.components import gateway
from tests.components.gateway.stand_ins import GatewayHarness, make_config
from tests.components.gateway.test_gateway import with_harness


async def put_data_centres(harness: GatewayHarness, *data_centres: str) -> None:
    """Move the targets to `data_centres`, in order, and wait until it is known."""
    for number, (target, data_centre) in enumerate(
        zip(harness.targets, data_centres, strict=True)
    ):
        entry = target.entry("p", zone=data_centre)
        harness.store.put(f"servers/i-{number}", entry)
    await wait_for_revision(harness)


async def wait_for_revision(harness: GatewayHarness) -> None:
    async def is_known() -> bool:
        response = await harness.get(harness.settings.control_address, "/status")
        known = int(json.loads(response.body)["revision"])
        return known & 0xFFFFFFFFFF == harness.store.revision

    await harness.wait_until(is_known)


@with_harness()
async def test_callers_are_served_by_the_targets_that_are_left(
    harness: GatewayHarness,
) -> None:
    await put_data_centres(harness, "a", "b")
    harness.store.put("op/evacuate/a", {})
    await wait_for_revision(harness)
    for path in ("/again/x", "/once/x", "/stream-again/x"):
        assert (await harness.call(path)).status == 200
    assert harness.targets[0].received == []
    harness.store.put("op/evacuate/b", {})
    await wait_for_revision(harness)
    refused = await harness.call("/again/x")
    assert refused.status == 503
    assert float(refused.headers["retry-after"]) > 0
    assert harness.targets[0].received == []
    harness.store.delete("op/evacuate/a")
    await wait_for_revision(harness)
    assert (await harness.call("/again/x")).status == 200
    assert len(harness.targets[0].received) == 1


@with_harness(settings={"regions": {"a": "north", "b": "south"}})
async def test_callers_are_served_in_the_regions_of_route_and_organisation(
    harness: GatewayHarness,
) -> None:
    await put_data_centres(harness, "a", "b")
    config = make_config(2)
    for route, regions in zip(
        config["routes"],
        (["north"], ["north", "south"], ["south"], [], ["north"]),
        strict=True,
    ):
        route["allowedRegions"] = regions
    config["tenants"][0]["allowedRegions"] = ["south", "east"]
    harness.store.put("op/config", config)
    await wait_for_revision(harness)
    for path in ("/stream-again/x", "/once/x", "/again/x"):
        assert (await harness.call(path)).status == 200
    assert harness.targets[0].received == []
    assert (await harness.call("/stream-once/x")).status == 503
    assert len(harness.received) == 3
    public = await harness.call("/open/x", headers={"Pistachiohaven-Credential": ""})
    assert public.status == 200
    assert len(harness.targets[0].received) == 1


def test_bodies_go_to_targets_only() -> None:
    """No call between gateways has a body, so none leaves its region."""
    senders = set()
    for path in Path(inspect.getfile(gateway)).parent.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            name = ast.unparse(node.func)
            has_body = any(keyword.arg == "body" for keyword in node.keywords)
            assert not (name == "call" and has_body), path
            if name == "send_request":
                senders.add(path.name)
    assert senders == {"_dispatch.py"}
