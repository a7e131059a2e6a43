"""Test the handover of a freed slot between gateways over loopback datagrams."""

import trio

from pistachiohaven.components.placement import Decision, Job, Placement

from .test_peers import PeerNode, run_with_two_gateways, wait_until


def make_job(request_id: str, *, now_ms: int) -> Job:
    return Job(
        request_id=request_id,
        pool="p",
        organisation="org",
        rank=0,
        prompt_tokens=1_000,
        shared_tokens=0,
        output_tokens=10,
        session_part="",
        arrived_ms=now_ms,
        first_byte_due_ms=now_ms + 400,
        wait_limit_ms=now_ms + 9_000,
        deadline_ms=now_ms + 12_000,
    )


def test_freed_slot_is_handed_to_the_gateway_with_a_waiting_request() -> None:
    async def test(first: PeerNode, second: PeerNode) -> None:
        for node in (first, second):
            state = node.gateway_state
            state.settings = state.settings.model_copy(
                update={"hands_over_slots": True}
            )
            for peer in state.exchange.peers():
                peer.needs_digest = True
        for target in ("i-0", "i-1"):
            for number in range(4):
                first.start_request(f"{target}-{number}", target)
        await wait_until(
            lambda: (second.running("i-0"), second.running("i-1")) == (4, 4)
        )
        decisions: list[Decision] = []

        async def place() -> None:
            job = make_job("waits", now_ms=second.now_ms)
            decisions.append(await second.gateway_state.placer.place(job))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(place)
            await trio.sleep(0.3)
            load = first.gateway_state.scheduler.load("i-0")
            assert load is not None
            load.record_completed("i-0-0", events=1, tokens=0, now_ms=first.now_ms)
            first.gateway_state.placer.schedule_waiting()
            await wait_until(lambda: bool(decisions))
        assert isinstance(decisions[0], Placement)
        assert decisions[0].target == "i-0"
        assert decisions[0].handed_over
        await wait_until(lambda: first.running("i-0") == 4)

    run_with_two_gateways(test)
