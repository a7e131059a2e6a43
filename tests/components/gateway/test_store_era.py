"""The store came back from an older copy, and its new changes were ignored."""

import json

import pytest

from .stand_ins import GatewayHarness, make_config
from .test_gateway import with_harness


async def target_states(harness: GatewayHarness) -> dict[str, bool]:
    """Return whether each known target is leaving."""
    response = await harness.get(harness.settings.control_address, "/status")
    return {
        target["name"]: target["leaving"]
        for target in json.loads(response.body)["targets"]
    }


async def call_repeatedly(harness: GatewayHarness) -> None:
    for _ in range(6):
        assert (await harness.call("/again/x")).status == 200


async def wait_for_target(harness: GatewayHarness, name: str) -> None:
    async def is_known() -> bool:
        return name in await target_states(harness)

    await harness.wait_until(is_known)


async def wait_for_era(harness: GatewayHarness) -> None:
    """Wait until a target that is written after the restore is known."""
    entry = harness.targets[0].entry("p", state="draining")
    harness.store.put("servers/i-marker", entry)
    await wait_for_target(harness, "i-marker")


async def write_more(harness: GatewayHarness, count: int) -> None:
    """Write some targets and wait until the gateway knows them."""
    entry = harness.targets[0].entry("p", state="draining")
    for number in range(count):
        harness.store.put(f"servers/i-more-{number}", entry)
    await wait_for_target(harness, f"i-more-{count - 1}")


@pytest.mark.parametrize("later_changes", [1, 8])
def test_changes_after_a_restore_are_applied(later_changes: int) -> None:
    """Revisions after the copy are given out again, some of them before the next watch.

    With eight later changes, the new revisions pass the one that is watched.
    """

    @with_harness()
    async def run(harness: GatewayHarness) -> None:
        copy = harness.store.copy()
        await write_more(harness, 4)
        harness.store.restore(copy)
        harness.store.put("op/config", make_config(2, routes=[]))
        entry = harness.targets[0].entry("p", state="draining")
        for number in range(later_changes - 1):
            harness.store.put(f"servers/i-later-{number}", entry)

        async def is_route_removed() -> bool:
            return (await harness.call("/again/x")).status == 404

        await harness.wait_until(is_route_removed)

    run()


@with_harness()
async def test_targets_that_a_restored_store_lacks_are_removed(
    harness: GatewayHarness,
) -> None:
    copy = harness.store.copy()
    await write_more(harness, 4)
    harness.store.restore(copy)
    await wait_for_era(harness)

    async def are_removed() -> bool:
        return not any("more" in name for name in await target_states(harness))

    await harness.wait_until(are_removed)


@with_harness()
async def test_restored_store_does_not_revive_a_leaving_target(
    harness: GatewayHarness,
) -> None:
    """The copy lists a target as ready that has said since that it leaves."""
    copy = harness.store.copy()
    first, second = harness.targets
    harness.store.put("servers/i-0", first.entry("p", state="draining"))
    await write_more(harness, 4)
    harness.store.restore(copy)
    await wait_for_era(harness)
    await call_repeatedly(harness)
    assert not first.received
    assert len(second.received) == 6


@with_harness()
async def test_restored_store_revives_a_removed_target_only_once_it_is_written(
    harness: GatewayHarness,
) -> None:
    copy = harness.store.copy()
    first, second = harness.targets
    harness.store.delete("servers/i-0")
    await write_more(harness, 4)
    harness.store.restore(copy)
    await wait_for_era(harness)
    await call_repeatedly(harness)
    assert not first.received
    harness.store.put("servers/i-0", first.entry("p"))
    harness.store.put("servers/i-1", second.entry("p", state="draining"))

    async def is_served_by_first() -> bool:
        return (await harness.call("/again/x")).status == 200 and bool(first.received)

    await harness.wait_until(is_served_by_first)


@with_harness()
async def test_restored_store_does_not_bring_back_an_older_configuration(
    harness: GatewayHarness,
) -> None:
    copy = harness.store.copy()
    harness.store.put("op/config", make_config(2, routes=[]))

    async def is_route_removed() -> bool:
        return (await harness.call("/again/x")).status == 404

    await harness.wait_until(is_route_removed)
    harness.store.restore(copy)
    await wait_for_era(harness)
    assert await is_route_removed()
