"""Test the exchange of state between gateways over loopback datagrams."""

import socket
from collections.abc import Awaitable, Callable

import trio

from pistachiohaven.components.exchange import Update, encode_datagram
from pistachiohaven.components.fleet import Organisation, Pool, Target
from pistachiohaven.components.gateway._peers import PeerLink
from pistachiohaven.components.gateway._state import GatewayState
from pistachiohaven.components.placement import Job
from pistachiohaven.config import GatewaySettings
from pistachiohaven.helpers import Clock

POOL = Pool(
    name="p", is_engine=True, connection_limit=100, cache_tokens=500_000, event_tokens=6
)
ORGANISATION = Organisation(
    name="org",
    keys=frozenset(),
    rank=None,
    tokens_per_s=1_000.0,
    burst_tokens=100_000.0,
    default_tokens=10,
)


class PeerNode:
    """Gateway state with a peer socket, but without callers and a store."""

    def __init__(self, *, name: str, host: str, port: int = 0) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((host, port))
        self.host = host
        self.port = self.socket.getsockname()[1]
        self.name = name
        self.state: GatewayState | None = None

    def start(self, seeds: tuple[str, ...]) -> PeerLink:
        """Create the state with `seeds` and two targets; return the peer link."""
        settings = GatewaySettings(
            name=self.name,
            data_centre="z",
            listen=f"{self.host}:1",
            listen_readiness=f"{self.host}:2",
            internal_ports=(self.port, 3),
            store="127.0.0.1:4",
            seeds=seeds,
            quota_overage=1.0,
        )
        self.state = GatewayState(settings=settings, clock=Clock())
        self.state.scheduler.configure({"p": POOL})
        for name in ("i-0", "i-1"):
            self.add_target(name)
        self.state.quota.configure((ORGANISATION,), now_ms=self.now_ms)
        return PeerLink(state=self.state, sock=self.socket)

    @property
    def gateway_state(self) -> GatewayState:
        assert self.state is not None
        return self.state

    @property
    def now_ms(self) -> int:
        return self.gateway_state.clock.now_ms()

    def add_target(self, name: str) -> None:
        target = Target(
            name=name,
            pool="p",
            address="10.0.0.1:80",
            data_centre="z",
            slots=4,
            leaving=False,
            started_ms=1,
        )
        self.gateway_state.scheduler.put_target(target)

    def start_request(self, request_id: str, target: str) -> None:
        """Record a request of 1,000 prompt tokens as running on `target`."""
        now_ms = self.now_ms
        job = Job(
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
            wait_limit_ms=now_ms + 2_000,
            deadline_ms=now_ms + 12_000,
        )
        load = self.gateway_state.scheduler.load(target)
        assert load is not None
        load.record_sent(job, now_ms=now_ms)
        self.gateway_state.quota.charge("org", 1_000, now_ms=now_ms)

    def running(self, target: str) -> int:
        load = self.gateway_state.scheduler.load(target)
        assert load is not None
        return load.running(now_ms=self.now_ms)


def window_usage(node: PeerNode) -> dict[int, int]:
    return node.gateway_state.quota.window_usage_by_hash(now_ms=node.now_ms)


async def wait_until(condition: Callable[[], bool]) -> None:
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.01)


def run_with_two_gateways(
    test: Callable[[PeerNode, PeerNode], Awaitable[None]],
) -> None:
    """Run `test` with two gateways; the second has the first as its seed."""

    async def run() -> None:
        first = PeerNode(name="a", host="127.0.0.1")
        second = PeerNode(name="b", host="127.0.0.2", port=first.port)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(first.start(()).run)
            nursery.start_soon(second.start((f"{first.host}:{first.port}",)).run)
            await test(first, second)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_updates_report_started_and_ended_requests_and_token_use() -> None:
    async def test(first: PeerNode, second: PeerNode) -> None:
        first.start_request("r-1", "i-0")
        await wait_until(lambda: second.running("i-0") == 1)
        first.start_request("r-2", "i-1")
        await wait_until(lambda: second.running("i-1") == 1)
        load = first.gateway_state.scheduler.load("i-1")
        assert load is not None
        load.record_cancelled("r-2")
        await wait_until(lambda: second.running("i-1") == 0)
        used_tokens = window_usage(first)
        assert used_tokens
        await wait_until(lambda: window_usage(second) == used_tokens)

    run_with_two_gateways(test)


def test_update_for_another_list_of_targets_is_not_applied() -> None:
    """Updates list loads by position.

    If the gateways have different targets, a load must not be applied to the wrong one.
    """

    async def test(first: PeerNode, second: PeerNode) -> None:
        second.add_target("i-00")
        first.start_request("r-1", "i-1")
        await wait_until(lambda: second.running("i-1") == 1)
        first.start_request("r-2", "i-0")
        await trio.sleep(0.5)
        assert (second.running("i-00"), second.running("i-1")) == (0, 1)

    run_with_two_gateways(test)


def test_rate_limit_of_a_target_and_its_end_are_passed_on() -> None:
    """Each of two gateways uses half of a limit that one of them was told."""

    async def test(first: PeerNode, second: PeerNode) -> None:
        now_ms = first.now_ms
        limits = (first.gateway_state.rate_limits, second.gateway_state.rate_limits)
        limits[0].observe("i-0", 3.0, sent_ms=now_ms - 10, now_ms=now_ms)
        await wait_until(lambda: all(each.share_per_s("i-0") == 1.5 for each in limits))
        limits[1].observe("i-0", None, sent_ms=now_ms + 60_000, now_ms=now_ms + 60_000)
        await wait_until(lambda: limits[0].share_per_s("i-0") is None)

    run_with_two_gateways(test)


def test_digest_is_requested_from_a_forgotten_peer() -> None:
    """Updates alone can't restore a peer's state after the gateway dropped it."""

    async def test(first: PeerNode, second: PeerNode) -> None:
        first.start_request("r-1", "i-0")
        await wait_until(
            lambda: second.gateway_state.quota.has_reported(
                first.gateway_state.incarnation
            )
        )
        second.gateway_state.quota.drop_peer(
            first.gateway_state.incarnation, now_ms=second.now_ms
        )
        await wait_until(
            lambda: second.gateway_state.quota.has_reported(
                first.gateway_state.incarnation
            )
        )

    run_with_two_gateways(test)


def make_unknown_update(number: int) -> bytes:
    update = Update(
        sender=number,
        sequence=1,
        leaving=False,
        revision=0,
        targets=0,
        running=b"",
        prefill=b"",
        waiting=(),
        used_tokens={},
    )
    return encode_datagram(update)


def test_updates_of_many_unknown_senders_do_not_block_known_peers() -> None:
    """Unknown senders cause digest requests, which must not stop the exchange.

    Their updates arrive while earlier digest requests are still being sent.
    """

    async def test(first: PeerNode, second: PeerNode) -> None:
        sockets = []
        for number in range(400):
            unknown_sender = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            await unknown_sender.bind(("127.0.0.3", 0))
            sockets.append(unknown_sender)
            await unknown_sender.sendto(
                make_unknown_update(number), (second.host, second.port)
            )
            await trio.sleep(0.001)
        for unknown_sender in sockets:
            unknown_sender.close()
        first.start_request("r-1", "i-0")
        await wait_until(lambda: second.running("i-0") == 1)

    run_with_two_gateways(test)


def test_notice_of_a_target_that_is_not_known_yet_is_kept() -> None:
    async def test(first: PeerNode, second: PeerNode) -> None:
        first.add_target("i-2")
        load = first.gateway_state.scheduler.load("i-2")
        assert load is not None
        first.gateway_state.observe_notices(load, 200, [(b"server-leaving", b"1")])
        notices = second.gateway_state.notices
        await wait_until(lambda: notices.is_leaving(load.incarnation_hash))
        second.add_target("i-2")
        known_load = second.gateway_state.scheduler.load("i-2")
        assert known_load is not None
        assert known_load.is_leaving
        notice = notices.leaving_notice(load.incarnation_hash)
        assert notice is not None
        assert notice.source == "a"

    run_with_two_gateways(test)
